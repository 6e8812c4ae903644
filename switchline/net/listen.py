"""Listening sockets, either opened by this process or inherited from the platform."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket

from switchline.config import Address
from switchline.errors import StartError

log = logging.getLogger(__name__)

INHERITED_FD_VARIABLE = "LB_INHERITED_FD"
INHERITED_FD_TRIES = 5  # how often the state of the inherited descriptor is queried
RETRY_INTERVAL_S = 0.05
# Errors of bind that a retry can't resolve.
PERMANENT_ERRORS = {errno.EACCES, errno.EPERM, errno.EINVAL, errno.EAFNOSUPPORT}


class ListenError(StartError):
    """The address can't be listened on, and another retry would not help."""


async def listen_with_retries(address: Address, backlog: int, timeout_s: float) -> socket.socket:
    """Open a listening socket, with retries for `timeout_s` while the system temporarily refuses it.

    An older process may still use the address, or a table of the system may be full.

    Raises:
        ListenError: If the error is permanent, or still occurs after the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        try:
            return listen(address, backlog)
        except OSError as error:
            if error.errno in PERMANENT_ERRORS or loop.time() > deadline_s:
                raise ListenError(f"can't listen at {address[0]}:{address[1]}: {error}") from error
            log.warning("not listening at %s:%d yet: %s", *address, error)
        await asyncio.sleep(RETRY_INTERVAL_S)


def listen(address: Address, backlog: int) -> socket.socket:
    """Open a listening socket; raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        close_socket(listener)
        raise
    return listener


def inherited_listener() -> socket.socket | None:
    """Return the listening socket that the platform passes in the environment; None if it is not usable."""
    number = os.environ.get(INHERITED_FD_VARIABLE)
    if not number:
        return None
    for _ in range(INHERITED_FD_TRIES):
        try:
            return listener_of_descriptor(int(number))
        except OSError as error:
            log.warning("inherited descriptor not usable, retried: fd=%r error=%s", number, error)
        except ValueError as error:  # a retry can't change this
            log.warning("inherited descriptor not usable: fd=%r error=%s", number, error)
            break
    log.warning("new listening socket opened instead of inherited descriptor: fd=%r", number)
    return None


def listener_of_descriptor(number: int) -> socket.socket:
    """Return the listening socket of a descriptor.

    Raises:
        OSError: If the system can't say whether the descriptor is a listening socket.
        ValueError: If it is a socket that does not listen.
    """
    candidate = socket.socket(fileno=number)
    try:
        if candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return candidate
    except OSError:
        candidate.detach()  # the descriptor belongs to the platform and must not be closed
        raise
    candidate.detach()
    raise ValueError("the socket does not listen")


def port_of(listener: socket.socket) -> int:
    """Return the port that a socket is bound to, or 0 if the system can't tell."""
    try:
        return int(listener.getsockname()[1])
    except OSError as error:
        log.warning("port of listening socket unknown: error=%s", error)
        return 0


def close_socket(sock: socket.socket) -> None:
    """Close a socket. An error is only logged: it concerns past data, and the descriptor is freed anyway."""
    try:
        sock.close()
    except OSError as error:
        log.info("error while closing a socket: error=%s", error)
