"""What the system knows of a socket: events not read yet, and bytes that the peer has not received yet."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios

NO_COUNT = bytes(4)  # the system writes an int in its place
NO_LINGER = struct.pack("ii", 1, 0)  # a close drops what has not been sent, and resets the connection


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


def has_failed(fd: int) -> bool:
    """Whether the connection has been reset or has timed out, so that no byte reaches the peer any more.

    False if the system can't tell.
    """
    try:
        return bool(_pending_events(fd, 0) & select.POLLERR)
    except OSError:
        return False


def unacknowledged_bytes(fd: int) -> int:
    """Return how many written bytes the peer's system has not acknowledged; the end of the stream is one.

    0 if the system can't tell.
    """
    try:
        count = fcntl.ioctl(fd, termios.TIOCOUTQ, NO_COUNT)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def unread_bytes(fd: int) -> int:
    """Return how many bytes have arrived at a socket and are not read yet; 0 if the system can't tell."""
    try:
        count = fcntl.ioctl(fd, termios.FIONREAD, NO_COUNT)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def drop_unacknowledged(sock: socket.socket) -> None:
    """Let the close of a socket drop what the peer's system has not acknowledged, instead of sending it."""
    try:
        if unacknowledged_bytes(sock.fileno()):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    except OSError:
        pass  # the connection has failed, so that nothing is sent any more
