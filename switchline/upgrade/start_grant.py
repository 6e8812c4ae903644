"""The first step of a process: it gets memory from an older process of the same gateway, if there is one.

Both processes of an upgrade count against one memory limit. Loading the program takes most of the memory that
a process needs without clients, so it must not begin before the older process has given back so much. Only a
few modules of the standard library are imported here, for the same reason.
"""

from __future__ import annotations

import contextlib
import errno
import json
import os
import socket
import time
from pathlib import Path

from switchline.net.process_memory import anonymous_bytes, peer_process
from switchline.private_files import private_file
from switchline.units import MEBIBYTE
from switchline.upgrade.memory_messages import (
    MAX_LINE_BYTES,
    PENDING_LINE,
    REQUEST_LINE,
    SOCKET_FILE,
    MemoryMessageError,
    decode_grant,
)

NAME_VARIABLE = "LB_NAME"
# The platform allows 30 s for a start. A start over the limit would end both processes.
GRANT_TIMEOUT_S = 20.0
# Without a word for so long the older process may be halted, and its memory is looked at.
SILENCE_S = 1.0
POLL_INTERVAL_S = 0.1
# The system may lack resources for a moment, which says nothing about an older process.
SHORTAGE_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EIO}
SHORTAGE_TIMEOUT_S = 2.0
UNGRANTED_START_BYTES = 16 * MEBIBYTE  # what a process needs without clients


class StartGrant:
    """What an older process has granted to this one before it loaded the program.

    Args:
        connection: To the older process, which sends further grants on it; None if there is none.
        granted_bytes: Of memory in all; None if there is no older process, so that the limit holds alone.
        waited_s: How long the older process took to give so much back.
    """

    def __init__(
        self, connection: socket.socket | None = None, granted_bytes: int | None = None, waited_s: float = 0.0
    ) -> None:
        self.connection = connection
        self.granted_bytes = granted_bytes
        self.waited_s = waited_s


def wait_for_grant(config_path: str) -> StartGrant:
    """Ask an older process of this gateway for memory, and wait until it has given back enough.

    Returns after `GRANT_TIMEOUT_S` at the latest, and at once if there is no older process, or one of a
    release that grants nothing.

    Args:
        config_path: The configuration file; it is read only if the environment does not name the gateway, or
            if the older process is silent.
    """
    name = os.environ.get(NAME_VARIABLE) or str(_read_config(config_path).get("name") or "")
    begun_s = time.monotonic()
    while True:
        try:
            return _ask(private_file(name, SOCKET_FILE), config_path, begun_s)
        except MemoryMessageError:
            return StartGrant()
        except ConnectionResetError:  # another process may have taken over from the older one
            if time.monotonic() - begun_s > GRANT_TIMEOUT_S:
                return StartGrant()
        except OSError as error:
            is_over = time.monotonic() - begun_s > SHORTAGE_TIMEOUT_S
            if error.errno not in SHORTAGE_ERRORS or is_over:
                return StartGrant()
        time.sleep(POLL_INTERVAL_S)


def _ask(path: Path, config_path: str, begun_s: float) -> StartGrant:
    """Ask the older process that listens at `path`, and wait for its grant.

    Raises:
        OSError: There is no such process, it has ended, or the system lacks resources.
        MemoryMessageError: It sent something else.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        connection.settimeout(POLL_INTERVAL_S)
        _connect(connection, path)
        connection.sendall(REQUEST_LINE)
        granted_bytes = _wait(connection, config_path, begun_s)
    except (OSError, MemoryMessageError):
        with contextlib.suppress(OSError):
            connection.close()
        raise
    return StartGrant(connection, granted_bytes, time.monotonic() - begun_s)


def _read_config(path: str) -> dict[str, object]:
    """Return the decoded configuration; empty if it can't be read, which the program reports later."""
    try:
        with open(path, "rb") as file:
            config = json.load(file)
    except (OSError, ValueError):
        return {}
    return config if isinstance(config, dict) else {}


def _connect(connection: socket.socket, path: Path) -> None:
    """Connect to the socket of the older process; raises OSError if there is none."""
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        connection.connect(f"/proc/self/fd/{directory}/{path.name}")  # the path itself may be too long
    finally:
        os.close(directory)


def _wait(connection: socket.socket, config_path: str, begun_s: float) -> int:
    """Return the granted bytes once the older process has sent a grant, or is silent and leaves enough.

    Raises:
        OSError: The older process has ended.
        MemoryMessageError: It sent something else.
    """
    received = b""
    while time.monotonic() - begun_s < GRANT_TIMEOUT_S:
        try:
            data = connection.recv(MAX_LINE_BYTES)
        except TimeoutError:
            is_silent = not received and time.monotonic() - begun_s > SILENCE_S
            if is_silent and _fits_beside(connection, config_path):
                break
            continue
        if not data:
            raise ConnectionResetError("the older process has ended")
        received += data
        lines = received.removeprefix(PENDING_LINE).split(b"\n")
        if len(lines) > 1:
            return decode_grant(lines[-2])
    return UNGRANTED_START_BYTES


def _fits_beside(connection: socket.socket, config_path: str) -> bool:
    """Whether this process fits under the limit beside the older one, as that is now."""
    older_bytes = anonymous_bytes(peer_process(connection))
    limits = _read_config(config_path).get("limits")
    limit_mb = limits.get("memory_mb") if isinstance(limits, dict) else None
    if older_bytes is None or not isinstance(limit_mb, int | float):
        return False
    return older_bytes + UNGRANTED_START_BYTES <= limit_mb * MEBIBYTE
