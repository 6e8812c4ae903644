"""What the system knows of the memory of a process.

The platform compares the anonymous memory of all processes of a gateway with the gateway's memory limit.
"""

from __future__ import annotations

import contextlib
import gc
import os
import socket
import struct

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_STATUS_BYTES = 256
CREDENTIALS = struct.Struct("3i")  # process, user and group id, as the system returns them
RESIDENT_FIELD = 1  # of /proc/PID/statm, in pages
SHARED_FIELD = 2  # resident pages that are mapped from files or shared, in pages


def anonymous_bytes(pid: int | None = None) -> int | None:
    """Return the anonymous memory of a process, by default of this one, in bytes.

    Returns:
        None if the system can't tell: it has no such process, no descriptor, or no `/proc`.
    """
    try:
        fd = os.open(f"/proc/{pid or 'self'}/statm", os.O_RDONLY)
    except OSError:
        return None
    try:
        fields = os.read(fd, MAX_STATUS_BYTES).split()
        return (int(fields[RESIDENT_FIELD]) - int(fields[SHARED_FIELD])) * PAGE_BYTES
    except (OSError, IndexError):
        return None
    finally:
        os.close(fd)


def give_back_freed_memory() -> None:
    """Collect garbage, and let the allocator return freed memory to the system, where it can."""
    gc.collect()
    import ctypes  # takes memory, and is needed in an upgrade alone

    with contextlib.suppress(OSError, AttributeError):  # not every C library has it
        ctypes.CDLL(None).malloc_trim(0)


def peer_process(connection: socket.socket) -> int:
    """Return the id of the process at the other end of a Unix socket; raises OSError."""
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return int(CREDENTIALS.unpack(credentials)[0])
