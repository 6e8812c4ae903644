"""What the system knows of a socket and this process has not read yet."""

from __future__ import annotations

import select


def _pending(fd: int, events: int) -> int:
    poller = select.poll()
    poller.register(fd, events)
    ready = poller.poll(0)
    return ready[0][1] if ready else 0


def peer_has_closed(fd: int) -> bool:
    """Whether the peer has closed its side or reset the connection, be it behind unread bytes."""
    ended = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return bool(_pending(fd, select.POLLRDHUP) & ended)


def has_unread_bytes(fd: int) -> bool:
    """Whether a read would give something: bytes, or the end of the stream."""
    return bool(_pending(fd, select.POLLIN))
