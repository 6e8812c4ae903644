"""What the system knows of a socket and this process has not read yet."""

from __future__ import annotations

import select


def _pending_events(fd: int, events: int) -> int:
    """Return the events that are pending; raises OSError where the system can't say."""
    poller = select.poll()
    poller.register(fd, events)
    ready = poller.poll(0)
    return ready[0][1] if ready else 0


def peer_has_closed(fd: int) -> bool:
    """Whether the peer has closed its side or reset the connection, even if unread bytes precede that.

    False where the system can't say.
    """
    closed = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    try:
        return bool(_pending_events(fd, select.POLLRDHUP) & closed)
    except OSError:
        return False


def has_unread_bytes(fd: int) -> bool:
    """Whether a read would return something: bytes, or the end of the stream.

    True where the system can't say, as a close over unread bytes would lose them.
    """
    try:
        return bool(_pending_events(fd, select.POLLIN))
    except OSError:
        return True
