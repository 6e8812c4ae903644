"""A backend's address, the connections to it, and whether new attempts may be sent to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from switchline.config import Address

if TYPE_CHECKING:
    from switchline.backends.attempt import Attempt
    from switchline.backends.connection import Connection


class Endpoint:
    """One backend with its connections and the queue of attempts that wait for one.

    The pool owns the endpoint. Connections add and remove themselves in the sets of this class.

    Args:
        address: The backend's host and port.
        zone: The name of the backend's zone.
    """

    def __init__(self, address: Address, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.listed = True  # whether the endpoint list has the backend as ready
        self.disabled = False  # whether an operator has disabled the backend or its zone
        self.idle: list[Connection] = []  # ordered by time of last use, the most recent last
        self.connecting: set[Connection] = set()  # connections whose handshake is in progress
        # Connections that are not reused yet, as an answer has just arrived on them.
        self.settling: set[Connection] = set()
        # Attempts that wait for a connection; insertion order is the order of arrival.
        self.waiting: dict[Attempt, None] = {}

    @property
    def accepts_attempts(self) -> bool:
        """Whether new attempts may be sent to the backend."""
        return self.listed and not self.disabled
