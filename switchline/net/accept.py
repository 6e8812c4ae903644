"""Accepting on a listening socket, a few connections at a time.

Descriptors are few: accepted in one go, a whole backlog would hold all of them before the first surplus
connection is closed. The socket may be shared with another process, so it is only closed, never shut down.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Callable

from switchline.net.descriptors import Budget
from switchline.net.listen import close_socket, port_of

log = logging.getLogger(__name__)

MAX_BATCH = 8  # connections accepted in one turn of the event loop; what they displace is closed by the next
MAX_FINAL_BATCH = 64  # connections taken from the backlog before the socket is closed
LATE_TURN_S = 0.01  # a longer time between two turns that accept keeps accepted requests waiting
SHORTAGE_PAUSE_S = 0.05  # before the next try when the system gives no descriptor
# What accept reports of one connection that has failed meanwhile: the next one may be sound.
SINGLE_CONNECTION_ERRORS = {
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


class AcceptRate:
    """Decides how many connections to accept in a turn, so that accepted requests stay in time in a rush.

    A turn that came late had much to do, so half as many are accepted; after one in time, one more. At least
    one: a request that waits in the backlog is waiting as well.
    """

    def __init__(self) -> None:
        self.batch = MAX_BATCH
        self._last_turn_s = -1.0

    def next_batch(self, now_s: float, backlogged: bool) -> int:
        """Return how many connections to accept now.

        Args:
            now_s: monotonic time in seconds.
            backlogged: the turn before accepted a full batch, so the time since then was spent on one turn.
        """
        if not backlogged:
            self.batch = MAX_BATCH
        elif now_s - self._last_turn_s > LATE_TURN_S:
            self.batch = max(1, self.batch // 2)
        else:
            self.batch = min(MAX_BATCH, self.batch + 1)
        self._last_turn_s = now_s
        return self.batch


class Acceptor:
    """Hands each connection that arrives to a protocol of its own, until it is closed.

    Args:
        listener: owned from here on.
        make_protocol: called for each connection.
        budget: told of shortages.
        may_use_reserve: it may use the budget's reserved descriptor, as operators' calls have priority.
    """

    def __init__(
        self,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        budget: Budget,
        may_use_reserve: bool = False,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.socket = listener
        self.make_protocol = make_protocol
        self.budget = budget
        self.may_use_reserve = may_use_reserve
        self.accepting = False
        self.opening: set[asyncio.Task[object]] = set()  # accepted, and not yet handed to a protocol
        self._rate = AcceptRate()
        self._backlogged = False
        self.shortage_timer: asyncio.TimerHandle | None = None
        self._closed = False
        listener.setblocking(False)
        self.port = port_of(listener)
        self.resume()

    def resume(self) -> None:
        """Accept from now on, or as soon as the event loop can watch the socket."""
        if self._closed:
            return
        self.shortage_timer = None
        self.accepting = True
        try:
            self.loop.add_reader(self.socket.fileno(), self._accept)
        except OSError as error:
            log.warning("the listening socket can't be watched yet: %s", error)
            self._pause_for_shortage()

    def pause(self) -> None:
        """Accept nothing for now. Another process that holds the socket goes on accepting."""
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket.fileno())
        if self.shortage_timer is not None:
            self.shortage_timer.cancel()

    def accept_backlog(self) -> None:
        """Accept the connections that wait: closing the socket would reset them with their requests."""
        if self.accepting and self.shortage_timer is None:
            self._accept_up_to(MAX_FINAL_BATCH)

    def close(self) -> None:
        """Accept nothing more, and close this process's copy of the socket."""
        if not self._closed:
            self.pause()
            self._closed = True
            close_socket(self.socket)

    def _pause_for_shortage(self) -> None:
        self.shortage_timer = self.loop.call_later(SHORTAGE_PAUSE_S, self.resume)

    def _accept(self) -> None:
        batch = self._rate.next_batch(time.monotonic(), self._backlogged)
        self._backlogged = self._accept_up_to(batch)

    def _accept_up_to(self, count: int) -> bool:
        """Accept up to `count` connections; return whether there were as many."""
        for _ in range(count):
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if self._goes_on_after(error):
                    continue
                log.warning("no connection can be accepted: %s", error)
                self.loop.remove_reader(self.socket.fileno())
                self._pause_for_shortage()
                return False
            accepted.setblocking(False)
            task: asyncio.Task[object] = self.loop.create_task(self._open(accepted))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return True

    def _goes_on_after(self, error: OSError) -> bool:
        """Whether another connection may be accepted at once after an error."""
        if error.errno in SINGLE_CONNECTION_ERRORS:
            return True
        # Most likely no descriptor is left.
        return self.budget.handle_shortage(error) and self.may_use_reserve and self.budget.close_reserve()

    async def _open(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make_protocol, accepted)
        except OSError as error:  # the peer has gone meanwhile, or the system has no resources for it
            close_socket(accepted)
            log.warning("a connection could not be opened: %s", error)
