"""Accepting on a listening socket, a few connections at a time.

The descriptors are few: accepted in one stroke, a whole backlog would hold them all before the first surplus
connection is closed. The socket may be shared with another process, so it is only ever closed, not shut down.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
import time
from collections.abc import Callable

from switchline.config import Address
from switchline.net.descriptors import Budget

log = logging.getLogger(__name__)

AT_ONCE = 8  # connections accepted in one turn of the event loop; what they displace is closed by the next
MOST_REST = 64  # connections taken from the backlog before the socket is closed
TURN_S = 0.01  # between two turns that accept: a longer one keeps requests already taken waiting
REST_S = 0.05  # before the next try when the system gives no descriptor
INHERITED = "LB_INHERITED_FD"
INHERITED_TRIES = 5  # to ask the system what the descriptor is
LISTEN_AGAIN_S = 0.05  # between two tries to get an address
NEVER = {errno.EACCES, errno.EPERM, errno.EINVAL, errno.EAFNOSUPPORT}  # of bind: no wait changes these
# What accept tells of one connection that has failed meanwhile: the next one may be sound.
OF_ONE_CONNECTION = {
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EPERM,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENONET,
    errno.ETIMEDOUT,
}


class ListenError(Exception):
    """The address can't be listened on, and waiting longer would not help."""


async def listening_in_time(address: Address, backlog: int, within_s: float) -> socket.socket:
    """A new listening socket; tried again for so long where the machine refuses it for a moment.

    An older process may still hold the address, a table of the system may be full. Raises ListenError.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    while True:
        try:
            return listening(address, backlog)
        except OSError as error:
            if error.errno in NEVER or loop.time() > until:
                raise ListenError(f"can't listen at {address[0]}:{address[1]}: {error}") from error
            log.warning("not listening at %s:%d yet: %s", *address, error)
        await asyncio.sleep(LISTEN_AGAIN_S)


def close_socket(sock: socket.socket) -> None:
    """Close it; an error of close says something of the past, and the descriptor is free all the same."""
    try:
        sock.close()
    except OSError as error:
        log.info("a socket was closed with an error: %s", error)


def listening(address: Address, backlog: int) -> socket.socket:
    """A new listening socket; raises OSError."""
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind(address)
        made.listen(backlog)
    except OSError:
        close_socket(made)
        raise
    return made


def inherited() -> socket.socket | None:
    """The listening socket that the platform holds and passes on, if it names one."""
    named = os.environ.get(INHERITED)
    if not named:
        return None
    for _ in range(INHERITED_TRIES):
        try:
            return listening_descriptor(int(named))
        except OSError as error:
            log.warning("descriptor %r can't be used yet: %s", named, error)
        except ValueError as error:  # no further try makes it another one
            log.warning("descriptor %r can't be used: %s", named, error)
            break
    log.warning("a new socket is opened in place of descriptor %r", named)
    return None


def listening_descriptor(number: int) -> socket.socket:
    """The listening socket of this number; raises OSError or ValueError for anything else."""
    passed = socket.socket(fileno=number)
    try:
        if passed.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return passed
    except OSError:
        passed.detach()  # not ours to close
        raise
    passed.detach()
    raise ValueError("it does not listen")


class Pace:
    """How many connections to accept in a turn: in a rush, requests already taken must keep their time.

    A turn that came late had much to do, so half as many are accepted; after one in time, one more. At least
    one: a request that waits in the backlog counts as taken too.
    """

    def __init__(self) -> None:
        self.most, self.last = AT_ONCE, -1.0

    def turn(self, now: float, rushed: bool) -> int:
        """`rushed`: the turn before took all it might, so the time since then was spent on one turn."""
        if rushed:
            late = now - self.last > TURN_S
            self.most = max(1, self.most // 2) if late else min(AT_ONCE, self.most + 1)
        else:
            self.most = AT_ONCE
        self.last = now
        return self.most


def port_of(sock: socket.socket) -> int:
    """The port that a socket is bound to; 0 where the system can't say."""
    try:
        return int(sock.getsockname()[1])
    except OSError as error:
        log.warning("the port of a listening socket is not known: %s", error)
        return 0


class Acceptor:
    """Hands each connection that comes to a protocol of its own, until it is closed.

    `first`: it may use the budget's spare descriptor, as operators' calls go before all others.
    """

    def __init__(
        self,
        sock: socket.socket,
        make: Callable[[], asyncio.BaseProtocol],
        budget: Budget,
        first: bool = False,
    ) -> None:
        self.loop, self.socket, self.make = asyncio.get_running_loop(), sock, make
        self.budget, self.first = budget, first
        self.pace, self.rushed = Pace(), False
        self.opening: set[asyncio.Task[object]] = set()
        self.resting: asyncio.TimerHandle | None = None
        self.accepts = self.closed = False
        sock.setblocking(False)
        self.port = port_of(sock)
        self.resume()

    def resume(self) -> None:
        """Accept from now on, or as soon as the event loop can watch the socket."""
        if self.closed:
            return
        self.resting, self.accepts = None, True
        try:
            self.loop.add_reader(self.socket.fileno(), self._accept)
        except OSError as error:
            log.warning("the listening socket can't be watched yet: %s", error)
            self._rest()

    def _rest(self) -> None:
        self.resting = self.loop.call_later(REST_S, self.resume)

    def pause(self) -> None:
        """Accept nothing for now. Another process that holds the socket goes on accepting."""
        if self.accepts:
            self.accepts = False
            self.loop.remove_reader(self.socket.fileno())
        if self.resting is not None:
            self.resting.cancel()

    def accept_rest(self) -> None:
        """Take the connections that wait already: closing the socket would reset them with their requests."""
        if self.accepts and self.resting is None:
            self._take(MOST_REST)

    def _accept(self) -> None:
        most = self.pace.turn(time.monotonic(), self.rushed)
        self.rushed = self._take(most)

    def _take(self, most: int) -> bool:
        """Accept up to so many connections; whether there were as many."""
        for _ in range(most):
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno in OF_ONE_CONNECTION:
                    continue
                # Most likely no descriptor is left.
                if self.budget.relieve(error) and self.first and self.budget.lend_spare():
                    continue
                log.warning("no connection can be accepted: %s", error)
                self.loop.remove_reader(self.socket.fileno())
                self._rest()
                return False
            accepted.setblocking(False)
            task: asyncio.Task[object] = self.loop.create_task(self._open(accepted))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return True

    async def _open(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make, accepted)
        except OSError as error:  # it went away meanwhile, or has no room here
            close_socket(accepted)
            log.warning("a connection could not be taken: %s", error)

    def close(self) -> None:
        """Accept nothing more, and let go of this process's copy of the socket."""
        if not self.closed:
            self.pause()
            self.closed = True
            close_socket(self.socket)
