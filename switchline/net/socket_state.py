"""Queries to the system about events on a socket that this process has not read yet."""

from __future__ import annotations

import select


def _pending_events(fd: int, events: int) -> int:
    """Return the pending poll events of a descriptor; raises OSError if the system can't tell."""
    poller = select.poll()
    poller.register(fd, events)
    ready = poller.poll(0)
    return ready[0][1] if ready else 0


def peer_has_closed(fd: int) -> bool:
    """Whether the peer has closed its side or reset the connection, even if unread bytes precede that.

    False if the system can't tell.
    """
    closed = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    try:
        return bool(_pending_events(fd, select.POLLRDHUP) & closed)
    except OSError:
        return False


def has_unread_bytes(fd: int) -> bool:
    """Whether a read would return bytes or the end of the stream.

    True if the system can't tell, as closing the socket would discard unread bytes.
    """
    try:
        return bool(_pending_events(fd, select.POLLIN))
    except OSError:
        return True
