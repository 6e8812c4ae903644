"""One connection to the counter, on which calls are pipelined."""

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

# A connection with unanswered calls that receives no bytes for longer is considered lost.
SILENCE_LIMIT_MS = 1_000.0

# Called with the name of the number, the outcome of the call and the total after the addition.
Callback = Callable[[str, Outcome, float], None]


class Call:
    """One call to the counter.

    Args:
        name: Name of the number.
        line: The encoded call, with its line ending.
        callback: Called exactly once, when the call ends.
    """

    __slots__ = ("callback", "ended", "line", "name", "timer")

    def __init__(self, name: str, line: bytes, callback: Callback) -> None:
        self.name = name
        self.line = line
        self.callback = callback
        self.ended = False
        self.timer: Timer | None = None  # ends the call at its timeout

    def end(self, outcome: Outcome, total: float = 0.0) -> None:
        """End the call and call its callback, unless the call has already ended."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.callback(self.name, outcome, total)


class CounterConnection(asyncio.Protocol):
    """A connection with its written and unanswered calls; the oldest call gets the next answer, however late.

    Args:
        idle_times: Learns from resets how long a connection may be idle before it is used again.
        budget: Counts the descriptor of the connection.
    """

    def __init__(self, idle_times: IdleTimes, budget: Budget) -> None:
        self.idle_times = idle_times
        self.budget = budget
        self.transport: asyncio.Transport | None = None
        self.unanswered: deque[Call] = deque()
        self.closed = False
        self.last_received_ms = now_ms()
        self.last_written_ms = self.last_received_ms
        self._idle_before_ms = 0.0  # idle time before the unanswered calls were written
        self._partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass of it
        self.budget.acquire(DescriptorOwner.COUNTER)

    def write(self, calls: list[Call]) -> None:
        """Write calls in this order, in one piece."""
        assert self.transport is not None
        now = now_ms()
        if not self.unanswered:
            self._idle_before_ms = self.idle_ms(now)
            self.last_received_ms = now
        self.last_written_ms = now
        self.unanswered.extend(calls)
        self.transport.write(b"".join(call.line for call in calls))

    def idle_ms(self, now: float) -> float:
        """Return the milliseconds since bytes were last written or received."""
        return now - max(self.last_written_ms, self.last_received_ms)

    def is_silent(self, now: float) -> bool:
        """Whether calls are unanswered and no bytes have been received for too long.

        The machine of the counter may have disappeared; its connections then stay open and silent for ever.
        """
        return bool(self.unanswered) and now - self.last_received_ms > SILENCE_LIMIT_MS

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.last_received_ms = now_ms()
        self._record_use(reset=False)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self.unanswered:
                self.drop("received an answer while no call was unanswered")
                return
            # A late answer belongs to its own call, even if that has timed out, and not to the next call.
            answer = decode_answer(line)
            self.unanswered.popleft().end(answer.outcome, answer.total)
            if answer is UNREADABLE:
                # The end of this answer is unknown: later bytes could be mistaken for another call's answer.
                self.drop(f"received an unreadable answer: {line[:80]!r}")
                return
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.drop("received an answer longer than MAX_LINE_BYTES")

    def drop(self, reason: str = "") -> None:
        """Close the connection at once; its unanswered calls end as timed out.

        Args:
            reason: Logged as a warning if it is not empty.
        """
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
            call.end(Outcome.TIMED_OUT)  # the amount may have been added

    def _record_use(self, reset: bool) -> None:
        if self._idle_before_ms:
            self.idle_times.record_use(self._idle_before_ms, reset)
            self._idle_before_ms = 0.0
