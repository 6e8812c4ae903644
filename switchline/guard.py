"""Containment of faults where they arose, and counts of violated invariants.

One failed system call, one bad message or one defect may cost what it is about: a connection, a call, a
request. It must not end the process, a periodic task or the work of others. So this module, and no other,
catches every `Exception`: whatever the event loop calls by itself (timers, periodic work, background tasks),
each event and action of the policy, and each step of a close runs through a `Guard`, which logs the error
with its trace and counts it. An error that still reaches the event loop is logged and counted there, and the
loop goes on.

The invariants are checked where the program acts, at run time. A violation is counted, logged with the
request that it concerns, and prevented where that is possible.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter as Counts
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, TypeVar

log = logging.getLogger(__name__)

Result = TypeVar("Result")

RESTART_DELAY_S = 0.1  # before a background task that failed is started again


class Invariant(Enum):
    """What holds at any moment, whatever the machine, the network or the other side does."""

    ONE_ANSWER = "one_answer"  # a request gets one final answer
    NO_UNANSWERED_CLOSE = "no_unanswered_close"  # this side ends no connection under an open request
    NO_UNSAFE_REPEAT = "no_unsafe_repeat"  # what may not run twice is not sent again once it may have run
    NO_ESCAPED_ERROR = "no_escaped_error"  # no error reaches the event loop or ends a task


class Guard:
    """Contains faults; owns their counts, by place, and those of violated invariants."""

    def __init__(self) -> None:
        self.contained_faults: Counts[str] = Counts()
        self.violations: Counts[Invariant] = Counts()

    def call(self, place: str, callback: Callable[..., object], *given: Any) -> bool:
        """Call back; an error is contained, under the name of its place. Whether there was none."""
        try:
            callback(*given)
        except Exception:
            self._contain(place)
            return False
        return True

    def evaluate(self, place: str, callback: Callable[..., Result], *given: Any) -> Result | None:
        """What `callback` returns; None after an error, which is contained under the name of its place."""
        try:
            return callback(*given)
        except Exception:
            self._contain(place)
            return None

    async def await_call(self, place: str, callback: Callable[..., Awaitable[object]], *given: Any) -> None:
        """Await what `callback` returns; an error is contained, under the name of its place."""
        try:
            await callback(*given)
        except Exception:
            self._contain(place)

    def _contain(self, place: str) -> None:
        """Count and log the exception that is being handled."""
        self.contained_faults[place] += 1
        log.exception("%s could not be handled", place)

    def record_violation(self, invariant: Invariant, concerns: str) -> None:
        """Something was about to happen that must not; `concerns` names the request or connection."""
        self.violations[invariant] += 1
        log.error("invariant %s is violated: %s", invariant.value, concerns)

    def on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The last resort of the event loop: an error that nobody has handled."""
        error = context.get("exception")
        if isinstance(error, OSError):
            # The transports of the event loop report failed system calls of their connections here.
            self.contained_faults["event loop"] += 1
            log.warning("%s: %s", context.get("message"), error)
            return
        self.record_violation(Invariant.NO_ESCAPED_ERROR, str(context.get("message")))
        trace = (type(error), error, error.__traceback__) if error is not None else None
        log.error("in the event loop: %s", context.get("message"), exc_info=trace)

    async def supervise(self, place: str, work: Callable[[], Awaitable[object]]) -> None:
        """Run work that is to go on for ever: after a fault it is started again."""
        while True:
            try:
                await work()
                return
            except Exception:
                self._contain(place)
            await asyncio.sleep(RESTART_DELAY_S)

    def counts(self) -> dict[str, int]:
        """For operators: each invariant with its violations, and all contained faults."""
        counts = {f"invariant.{one.value}": self.violations[one] for one in Invariant}
        return counts | {"faults.contained": self.contained_faults.total()}
