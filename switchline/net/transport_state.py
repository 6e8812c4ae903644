"""What the system knows of the socket behind a transport."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from switchline.net.socket_state import (
    has_failed,
    has_unread_bytes,
    peer_has_closed,
    unacknowledged_bytes,
    unread_bytes,
)

Answer = TypeVar("Answer", bool, int)


class TransportState:
    """Queries the system about the socket of a transport.

    Args:
        transport: The transport; it may be one without a socket.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side or reset the connection; False if the system can't tell."""
        return self._query(peer_has_closed, False, if_unavailable=False)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket has received bytes that are not read yet; True if the system can't tell."""
        return self._query(has_unread_bytes, False, if_unavailable=True)

    @property
    def unread_bytes(self) -> int:
        """The number of bytes that have arrived and are not read yet; 0 if the system can't tell."""
        return self._query(unread_bytes, 0, if_unavailable=0)

    @property
    def undelivered_bytes(self) -> int:
        """The number of written bytes that the peer's system has not received: here or in this system.

        0 once the connection has failed, as none can arrive any more.
        """
        held_by_system = self._query(unacknowledged_bytes, 0, if_unavailable=0)
        if held_by_system and self._query(has_failed, False, if_unavailable=False):
            return 0
        return self._transport.get_write_buffer_size() + held_by_system

    def _query(self, query: Callable[[int], Answer], if_closed: Answer, if_unavailable: Answer) -> Answer:
        """Query the system.

        Args:
            query: Takes the file descriptor.
            if_closed: Returned if the socket is closed.
            if_unavailable: Returned if the system can't provide the socket, for lack of a descriptor.
        """
        try:
            sock = self._transport.get_extra_info("socket")
        except OSError:
            return if_unavailable
        return query(sock.fileno()) if sock is not None and sock.fileno() >= 0 else if_closed
