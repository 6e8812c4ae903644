"""Containment of faults in the operation that raised them, and counts of violated invariants.

A failed system call, a bad message or a defect may end only the connection, call or request that it concerns.
It must not end the process, a periodic task or other work. So this module, and no other, catches every
`Exception`: everything that the event loop calls by itself (timers, periodic work, background tasks), each
event and action of the policy, and each step of a close runs through a `Guard`, which logs the error with its
traceback and counts it. An error that still reaches the event loop is logged and counted there, and the loop
continues.

The invariants are checked at run time, where the program acts. A violation is counted, logged with the
request or connection that it concerns, and prevented where that is possible.
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

RESTART_DELAY_S = 0.1  # pause before a failed background task is started again


class Invariant(Enum):
    """A condition that holds at all times, whatever the machine, the network or a peer does."""

    ONE_ANSWER = "one_answer"  # a request gets exactly one final answer
    NO_UNANSWERED_CLOSE = "no_unanswered_close"  # the gateway closes no connection with a request in flight
    # A request that must not run twice is not sent again once it may have run.
    NO_UNSAFE_REPEAT = "no_unsafe_repeat"
    NO_ESCAPED_ERROR = "no_escaped_error"  # no error reaches the event loop or ends a task


class Guard:
    """Contains faults; owns their counts by name of the operation, and those of violated invariants."""

    def __init__(self) -> None:
        self.contained_faults: Counts[str] = Counts()
        self.violations: Counts[Invariant] = Counts()

    def call(self, operation: str, callback: Callable[..., object], *arguments: Any) -> bool:
        """Run a callback and contain its error under the name `operation`; return whether there was none."""
        try:
            callback(*arguments)
        except Exception:
            self._contain(operation)
            return False
        return True

    def evaluate(self, operation: str, callback: Callable[..., Result], *arguments: Any) -> Result | None:
        """Return what `callback` returns; None after an error, which is contained under `operation`."""
        try:
            return callback(*arguments)
        except Exception:
            self._contain(operation)
            return None

    async def await_call(
        self, operation: str, callback: Callable[..., Awaitable[object]], *arguments: Any
    ) -> None:
        """Await what `callback` returns; an error is contained under the name `operation`."""
        try:
            await callback(*arguments)
        except Exception:
            self._contain(operation)

    def _contain(self, operation: str) -> None:
        """Count and log the exception that is being handled."""
        self.contained_faults[operation] += 1
        log.exception("%s could not be handled", operation)

    def record_violation(self, invariant: Invariant, subject: str) -> None:
        """Count and log a violated invariant; `subject` names the request or connection concerned."""
        self.violations[invariant] += 1
        log.error("invariant %s is violated: %s", invariant.value, subject)

    def on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Handle an error that reached the event loop, as its exception handler."""
        error = context.get("exception")
        if isinstance(error, OSError):
            # Transports of the event loop report failed system calls of their connections this way.
            self.contained_faults["event loop"] += 1
            log.warning("%s: %s", context.get("message"), error)
            return
        self.record_violation(Invariant.NO_ESCAPED_ERROR, str(context.get("message")))
        exc_info = (type(error), error, error.__traceback__) if error is not None else None
        log.error("error in the event loop: %s", context.get("message"), exc_info=exc_info)

    async def supervise(self, operation: str, work: Callable[[], Awaitable[object]]) -> None:
        """Run work until it returns; after an error it is started again."""
        while True:
            try:
                await work()
                return
            except Exception:
                self._contain(operation)
            await asyncio.sleep(RESTART_DELAY_S)

    def counts(self) -> dict[str, int]:
        """Return, by metric name, the violations of each invariant and the sum of contained faults."""
        counts = {f"invariant.{invariant.value}": self.violations[invariant] for invariant in Invariant}
        return counts | {"faults.contained": self.contained_faults.total()}
