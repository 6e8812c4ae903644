"""Messages about memory between two processes of a gateway: one line each, in ASCII.

A new process needs this module before it may load the program, so it imports nothing. The lines on the wire
are fixed, because the two processes may be of different releases.
"""

from __future__ import annotations

SOCKET_FILE = "memory.sock"
MAX_LINE_BYTES = 64
REQUEST_LINE = b"memory wanted\n"
PENDING_LINE = b"memory pending\n"  # the request has arrived, and a grant will follow
GRANT_PREFIX = b"memory granted "


class MemoryMessageError(ValueError):
    """The peer process sent a line that is no message about memory."""


def encode_grant(granted_bytes: int) -> bytes:
    """Return the line that grants a process so many bytes in all."""
    return GRANT_PREFIX + b"%d\n" % granted_bytes


def decode_grant(line: bytes) -> int:
    """Return the bytes that a line grants; the line may lack its line feed.

    Raises:
        MemoryMessageError: The line grants nothing.
    """
    number = line.strip().removeprefix(GRANT_PREFIX)
    if not line.startswith(GRANT_PREFIX) or not number.isdigit():
        raise MemoryMessageError(f"not a grant of memory: {line[:MAX_LINE_BYTES]!r}")
    return int(number)
