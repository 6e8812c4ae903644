"""Accepting connections on a listening socket, a few in each iteration of the event loop.

Descriptors are limited: if a whole backlog was accepted at once, it could use all of them before the first
surplus connection is closed. The socket may be shared with another process, so it is closed but never shut
down.
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

# Connections accepted in one iteration of the event loop; those that they displace are closed by the next.
MAX_BATCH = 8
MAX_FINAL_BATCH = 64  # connections taken from the backlog before the socket is closed
# A longer interval between two iterations that accept means that accepted requests wait.
MAX_ITERATION_INTERVAL_S = 0.01
SHORTAGE_PAUSE_S = 0.05  # delay before accepting again after the system had no descriptor
# Errors of accept that concern a single connection that has failed; the next one may be usable.
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
    """Sets how many connections to accept in an event loop iteration, so that accepted requests stay on time.

    After an iteration that came late, as the gateway had much to do, half as many connections are accepted;
    after one on time, one more. At least one is always accepted, as requests in the backlog wait too.
    """

    def __init__(self) -> None:
        self.batch = MAX_BATCH
        self._last_accepted_at_s = -1.0

    def next_batch(self, now_s: float, backlogged: bool) -> int:
        """Return how many connections to accept in this iteration.

        Args:
            now_s: The monotonic time in seconds.
            backlogged: Whether the previous iteration accepted a full batch. Only then is the time since its
                call the length of a single iteration.
        """
        if not backlogged:
            self.batch = MAX_BATCH
        elif now_s - self._last_accepted_at_s > MAX_ITERATION_INTERVAL_S:
            self.batch = max(1, self.batch // 2)
        else:
            self.batch = min(MAX_BATCH, self.batch + 1)
        self._last_accepted_at_s = now_s
        return self.batch


class Acceptor:
    """Accepts connections until it is closed and creates a protocol object for each.

    Args:
        listener: The listening socket, which the acceptor owns from now on.
        make_protocol: Called for each connection; returns its protocol object.
        budget: The descriptor budget, which is notified when the system has no descriptor.
        may_use_reserve: Whether the budget's reserved descriptor may be used, as for operators' calls.
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
        self.opening: set[asyncio.Task[object]] = set()  # for accepted connections without a protocol yet
        self._rate = AcceptRate()
        self._backlogged = False
        self.shortage_timer: asyncio.TimerHandle | None = None
        self._closed = False
        listener.setblocking(False)
        self.port = port_of(listener)
        self.resume()

    def resume(self) -> None:
        """Start to accept; if the event loop can't watch the socket now, retry after a pause."""
        if self._closed:
            return
        self.shortage_timer = None
        self.accepting = True
        try:
            self.loop.add_reader(self.socket.fileno(), self._accept)
        except OSError as error:
            log.warning("listening socket can't be watched, retried: error=%s", error)
            self._pause_for_shortage()

    def pause(self) -> None:
        """Stop to accept for now. Another process that shares the socket continues to accept."""
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket.fileno())
        if self.shortage_timer is not None:
            self.shortage_timer.cancel()

    def accept_backlog(self) -> None:
        """Accept the connections in the backlog, which closing the socket would reset with their requests."""
        if self.accepting and self.shortage_timer is None:
            self._accept_up_to(MAX_FINAL_BATCH)

    def close(self) -> None:
        """Stop to accept, and close this process's copy of the socket."""
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
        """Accept up to `count` connections; return whether there were that many."""
        for _ in range(count):
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if self._may_continue_after(error):
                    continue
                log.warning("accept failed, paused: error=%s", error)
                self.loop.remove_reader(self.socket.fileno())
                self._pause_for_shortage()
                return False
            accepted.setblocking(False)
            task: asyncio.Task[object] = self.loop.create_task(self._open(accepted))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return True

    def _may_continue_after(self, error: OSError) -> bool:
        """Whether the next connection may be accepted immediately after an error.

        After a shortage of descriptors, idle connections are closed and accepting pauses, unless the reserved
        descriptor may be used and was closed to make room for the next connection.
        """
        if error.errno in SINGLE_CONNECTION_ERRORS:
            return True
        # The most likely cause of any other error is that no descriptor is left.
        return self.budget.handle_shortage(error) and self.may_use_reserve and self.budget.close_reserve()

    async def _open(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make_protocol, accepted)
        except OSError as error:  # the peer has closed the connection, or the system lacks resources
            close_socket(accepted)
            log.warning("accepted connection could not be set up: error=%s", error)
