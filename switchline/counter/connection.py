"""One connection to the counter, with its calls written one behind another."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import cast

from switchline.clock import Timer, now_ms
from switchline.counter.protocol import MAX_LINE_BYTES, UNREADABLE, decode_answer
from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.net.idle import IMMEDIATE_RESET_MS, IdleTimes
from switchline.policy.interface import Outcome

log = logging.getLogger(__name__)

SILENCE_LIMIT_MS = 1_000.0  # a connection that owes an answer and is silent for longer is taken for lost

Callback = Callable[[str, Outcome, float], None]  # name, outcome, total


class Call:
    """One call; the callback is called exactly once."""

    __slots__ = ("callback", "ended", "line", "name", "timer")

    def __init__(self, name: str, line: bytes, callback: Callback) -> None:
        self.name = name
        self.line = line
        self.callback = callback
        self.ended = False
        self.timer: Timer | None = None  # its time-out

    def end(self, outcome: Outcome, total: float = 0.0) -> None:
        """End the call, unless it has ended."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.callback(self.name, outcome, total)


class CounterConnection(asyncio.Protocol):
    """Owns the calls that are written and unanswered: the oldest gets the next answer, however late.

    Args:
        idle_times: learns from resets.
        budget: counts the descriptor.
    """

    def __init__(self, idle_times: IdleTimes, budget: Budget) -> None:
        self.idle_times = idle_times
        self.budget = budget
        self.transport: asyncio.Transport | None = None
        self.unanswered: deque[Call] = deque()
        self.closed = False
        self.last_received_ms = now_ms()
        self.last_written_ms = self.last_received_ms
        self._idle_before_ms = 0.0  # idle time before the calls that are unanswered
        self._partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.budget.acquire(DescriptorOwner.COUNTER)

    def write(self, calls: list[Call]) -> None:
        """Write calls at once, in this order."""
        assert self.transport is not None
        now = now_ms()
        if not self.unanswered:
            self._idle_before_ms = self.idle_ms(now)
            self.last_received_ms = now
        self.last_written_ms = now
        self.unanswered.extend(calls)
        self.transport.write(b"".join(call.line for call in calls))

    def idle_ms(self, now: float) -> float:
        """Milliseconds since bytes went either way."""
        return now - max(self.last_written_ms, self.last_received_ms)

    def is_silent(self, now: float) -> bool:
        """Whether it owes an answer for too long.

        The counter's machine may have vanished: such a connection stays open and silent for ever.
        """
        return bool(self.unanswered) and now - self.last_received_ms > SILENCE_LIMIT_MS

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.last_received_ms = now_ms()
        self._record_use(reset=False)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self.unanswered:
                self.drop("an answer to nothing")
                return
            # A late answer belongs to its own call, which has ended, and is not the next one's.
            answer = decode_answer(line)
            self.unanswered.popleft().end(answer.outcome, answer.total)
            if answer is UNREADABLE:
                # Where it ends is not known, so what follows could be taken for another call's answer.
                self.drop(f"it said {line[:80]!r}")
                return
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.drop("an endless line")

    def drop(self, reason: str = "") -> None:
        """Close at once; the calls that are unanswered end as timed out."""
        if reason:
            log.warning("counter connection dropped: %s", reason)
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """See asyncio.BaseProtocol."""
        self.budget.release(DescriptorOwner.COUNTER)
        if self.unanswered and not self.closed:
            self._record_use(reset=now_ms() - self.last_written_ms < IMMEDIATE_RESET_MS)
        self.closed = True
        unanswered = self.unanswered
        self.unanswered = deque()
        for call in unanswered:
            call.end(Outcome.TIMED_OUT)  # it may have been added

    def _record_use(self, reset: bool) -> None:
        if self._idle_before_ms:
            self.idle_times.record_use(self._idle_before_ms, reset)
            self._idle_before_ms = 0.0
