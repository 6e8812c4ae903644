"""The clock of a gateway, and the queue of its timers.

Times are Unix milliseconds. The start times of backends and the counter's periods are compared with them, so
a time must mean the same moment at all gateways. The wall clock is read once, at the start; from then on the
monotonic clock is added to it, since a step of the wall clock must not stop timers or expire every lease.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import time
from collections.abc import Callable

from switchline.guard import Guard

MIN_CANCELLED = 64  # timers, before the heap is looked through for them
# The wall clock less the monotonic clock, at the start of the process.
_OFFSET_MS = time.time() * 1000 - time.monotonic() * 1000


def now_ms() -> float:
    """Return the time in Unix milliseconds; steps of the wall clock after the start do not change it."""
    return time.monotonic() * 1000 + _OFFSET_MS


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback", "timers")

    def __init__(self, callback: Callable[[], None], timers: Timers) -> None:
        self.callback: Callable[[], None] | None = callback
        self.timers = timers

    def cancel(self) -> None:
        """Cancel the callback."""
        if self.callback is not None:
            self.callback = None
            self.timers.on_cancelled()


class Timers:
    """Runs callbacks at times of `now_ms`, never earlier, with a single timer of the event loop.

    An error that a callback raises is contained by the guard.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, guard: Guard | None = None) -> None:
        self._loop = loop
        self.guard = guard or Guard()
        self._heap: list[tuple[float, int, Timer]] = []
        self._cancelled = 0  # timers in the heap that are cancelled
        self._serial = itertools.count()
        self._handle: asyncio.TimerHandle | None = None
        self._handle_due_ms = math.inf

    def at(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback for `due_ms`, in Unix milliseconds."""
        timer = Timer(callback, self)
        heapq.heappush(self._heap, (due_ms, next(self._serial), timer))
        if due_ms < self._handle_due_ms:
            self._arm(due_ms)
        return timer

    def every(self, period_ms: float, operation: str, callback: Callable[[], None]) -> PeriodicTimer:
        """Schedule a callback every `period_ms`, first after one period.

        Errors are contained and counted under the name `operation`.
        """
        return PeriodicTimer(self, period_ms, operation, callback)

    def on_cancelled(self) -> None:
        """Remove cancelled timers once they are most of the heap; they would stay until they are due."""
        self._cancelled += 1
        if self._cancelled < MIN_CANCELLED or self._cancelled * 2 < len(self._heap):
            return
        self._heap[:] = [entry for entry in self._heap if entry[2].callback is not None]
        heapq.heapify(self._heap)
        self._cancelled = 0

    def _arm(self, due_ms: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle_due_ms = due_ms
        self._handle = self._loop.call_later(max(0.0, due_ms - now_ms()) / 1000, self._run)

    def _run(self) -> None:
        heap = self._heap
        self._handle = None
        self._handle_due_ms = -math.inf  # a callback that schedules another one must not arm the event loop
        # The event loop rounds to whole milliseconds and can call early. Timers that are not due yet stay, as
        # the policy ignores a timer that fires early, and the request would then never end.
        reached_ms = now_ms()
        while heap and (heap[0][2].callback is None or heap[0][0] <= reached_ms):
            timer = heapq.heappop(heap)[2]
            if timer.callback is None:
                self._cancelled -= 1
                continue
            callback = timer.callback
            timer.callback = None  # it is not in the heap any more, so that a later `cancel` does not count
            self.guard.call("timer", callback)
            reached_ms = now_ms()
        self._handle_due_ms = math.inf
        if heap:
            self._arm(heap[0][0])


class PeriodicTimer:
    """A callback that is run periodically, also after it has raised an error."""

    def __init__(
        self, timers: Timers, period_ms: float, operation: str, callback: Callable[[], None]
    ) -> None:
        self.timers = timers
        self.period_ms = period_ms
        self.operation = operation
        self.callback = callback
        self.timer = timers.at(now_ms() + period_ms, self._run)

    def _run(self) -> None:
        self.timer = self.timers.at(now_ms() + self.period_ms, self._run)
        self.timers.guard.call(self.operation, self.callback)

    def cancel(self) -> None:
        """Cancel all further callbacks."""
        self.timer.cancel()
