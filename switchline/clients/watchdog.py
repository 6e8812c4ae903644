"""Timeouts for peers that leave a command incomplete or their answers unread.

Nothing here reads a clock: callers pass the time, in monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

# Limits the time for the arguments before a value, and for each further piece of a value. A peer that
# exceeds it must receive an error within 3 s.
COMMAND_TIMEOUT_S = 2.5
# Limits the time in which a value that is collected in memory must arrive, however steadily it does.
MAX_VALUE_DURATION_S = 30.0
# Limits the time in which a streamed value must arrive. It is longer than the lifetime of its request.
MAX_STREAMED_VALUE_DURATION_S = 120.0
# Limits the time in which a client reads nothing of its answers: no client waits that long for an answer.
UNREAD_TIMEOUT_S = 15.0
# Limits the time in which a client must read the answers that wait for it, however steadily it reads.
MAX_UNREAD_DURATION_S = 60.0


@dataclass(slots=True)
class ReceiveWatch:
    """Tracks how long a peer takes to send its first command, or the rest of an incomplete one.

    Attributes:
        wait_started_at_s: time at which the wait for a complete, valid command began; None if none is
            awaited.
        last_received_s: time at which bytes of an incomplete command last arrived.
        stream_started_at_s: time at which the value that is being streamed began.
    """

    wait_started_at_s: float | None
    last_received_s: float = 0.0
    stream_started_at_s: float = 0.0

    def record_partial_command(self, now_s: float) -> None:
        """Record that bytes of an incomplete command have arrived."""
        self.last_received_s = now_s
        self.wait_started_at_s = self.wait_started_at_s or now_s

    def record_stream_start(self, now_s: float) -> None:
        """Record that a value to be streamed has begun."""
        self.last_received_s = now_s
        self.stream_started_at_s = now_s

    def has_stream_timed_out(self, now_s: float) -> bool:
        """Whether the value that is being streamed has stalled, or takes too long in all."""
        has_stalled = now_s - self.last_received_s > COMMAND_TIMEOUT_S
        return has_stalled or now_s - self.stream_started_at_s > MAX_STREAMED_VALUE_DURATION_S

    def has_command_timed_out(self, now_s: float, in_value: bool) -> bool:
        """Whether the peer has left a command incomplete for too long.

        Args:
            now_s: the current time.
            in_value: whether the bytes that arrive are the value of a request. A value may take up to
                MAX_VALUE_DURATION_S as long as it arrives steadily.
        """
        if self.wait_started_at_s is None or now_s - self.wait_started_at_s <= COMMAND_TIMEOUT_S:
            return False
        is_arriving = now_s - self.last_received_s <= COMMAND_TIMEOUT_S
        is_within_limit = is_arriving and now_s - self.wait_started_at_s <= MAX_VALUE_DURATION_S
        return not (is_within_limit and in_value)


@dataclass(slots=True)
class DeliveryWatch:
    """Tracks how a peer reads its answers.

    Attributes:
        written_bytes: number of bytes given to the transport since the connection opened.
    """

    written_bytes: int = 0
    _waiting_since_s: float | None = None  # None if no bytes wait
    _delivered_bytes: int = 0  # number of bytes that the peer's system had received at the last check
    _last_progress_s: float | None = None  # None if everything was delivered at the last check

    def has_timed_out(
        self, now_s: float, undelivered_bytes: int, waiting_bytes: int, streaming: bool
    ) -> bool:
        """Whether the peer has left its answers unread for too long: it has vanished, or reads too slowly.

        Args:
            now_s: the current time.
            undelivered_bytes: number of bytes that the peer's system has not received.
            waiting_bytes: number of those that something waits for: memory, or the end of the connection.
                Some must move within UNREAD_TIMEOUT_S; of others within MAX_UNREAD_DURATION_S.
            streaming: whether a long answer is being written, which may take any time as long as its bytes
                move. Else all must be read within MAX_UNREAD_DURATION_S.
        """
        delivered_bytes = self.written_bytes - undelivered_bytes
        if not undelivered_bytes:
            self._last_progress_s = None
        elif self._last_progress_s is None or delivered_bytes != self._delivered_bytes:
            self._last_progress_s = now_s
        self._delivered_bytes = delivered_bytes
        if streaming or not waiting_bytes:
            self._waiting_since_s = None
        elif self._waiting_since_s is None:
            self._waiting_since_s = now_s
        stall_timeout_s = UNREAD_TIMEOUT_S if waiting_bytes else MAX_UNREAD_DURATION_S
        has_stalled = self._duration_s(now_s, self._last_progress_s) > stall_timeout_s
        return has_stalled or self._duration_s(now_s, self._waiting_since_s) > MAX_UNREAD_DURATION_S

    def unread_s(self, now_s: float) -> float:
        """Return for how long bytes have waited for the peer to read them."""
        since_s = self._waiting_since_s if self._waiting_since_s is not None else self._last_progress_s
        return self._duration_s(now_s, since_s)

    @staticmethod
    def _duration_s(now_s: float, since_s: float | None) -> float:
        return now_s - since_s if since_s is not None else 0.0
