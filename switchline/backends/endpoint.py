"""A backend's address with the connections to it, and whether it takes new attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from switchline.config import Address

if TYPE_CHECKING:
    from switchline.backends.attempt import Attempt
    from switchline.backends.connection import Connection


class Endpoint:
    """One backend. The pool owns it; a connection moves itself between the sets here.

    Args:
        address: of the backend.
        zone: of the backend.
    """

    def __init__(self, address: Address, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.listed = True  # on the endpoint list, and not draining
        self.disabled = False  # by operators, itself or its zone
        self.idle: list[Connection] = []  # the last used at the end
        self.connecting: set[Connection] = set()  # handshakes under way
        self.settling: set[Connection] = set()  # an answer has just arrived on them
        self.waiting: dict[Attempt, None] = {}  # for a connection, the longest first

    @property
    def accepts_attempts(self) -> bool:
        """Whether new attempts may go there."""
        return self.listed and not self.disabled
