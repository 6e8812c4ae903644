"""Listening sockets: opened here, or inherited from the platform."""

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
INHERITED_TRIES = 5  # to ask the system what the descriptor is
RETRY_INTERVAL_S = 0.05
PERMANENT_ERRORS = {errno.EACCES, errno.EPERM, errno.EINVAL, errno.EAFNOSUPPORT}  # of bind


class ListenError(StartError):
    """The address can't be listened on, and waiting longer would not help."""


async def listen_with_retries(address: Address, backlog: int, timeout_s: float) -> socket.socket:
    """Open a listening socket, with retries where the machine refuses it for a moment.

    An older process may still hold the address, or a table of the system may be full.

    Raises:
        ListenError: the error is permanent, or has lasted for the whole time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        try:
            return listen(address, backlog)
        except OSError as error:
            if error.errno in PERMANENT_ERRORS or loop.time() > deadline:
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
    """Return the listening socket that the platform holds and passes on, if it names a usable one."""
    number = os.environ.get(INHERITED_FD_VARIABLE)
    if not number:
        return None
    for _ in range(INHERITED_TRIES):
        try:
            return listener_of_descriptor(int(number))
        except OSError as error:
            log.warning("descriptor %r can't be used yet: %s", number, error)
        except ValueError as error:  # no retry turns it into another one
            log.warning("descriptor %r can't be used: %s", number, error)
            break
    log.warning("a new socket is opened in place of descriptor %r", number)
    return None


def listener_of_descriptor(number: int) -> socket.socket:
    """Return the listening socket of a descriptor; raises OSError or ValueError for anything else."""
    candidate = socket.socket(fileno=number)
    try:
        if candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return candidate
    except OSError:
        candidate.detach()  # not ours to close
        raise
    candidate.detach()
    raise ValueError("it does not listen")


def port_of(listener: socket.socket) -> int:
    """Return the port that a socket is bound to, 0 where the system can't say."""
    try:
        return int(listener.getsockname()[1])
    except OSError as error:
        log.warning("the port of a listening socket is not known: %s", error)
        return 0


def close_socket(sock: socket.socket) -> None:
    """Close a socket. An error of close tells of the past, and the descriptor is free all the same."""
    try:
        sock.close()
    except OSError as error:
        log.info("a socket was closed with an error: %s", error)
