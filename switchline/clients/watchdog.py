"""How long a peer may leave a command unfinished, or its answers unread. Pure: times are handed in.

All times are monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

COMMAND_TIMEOUT_S = 2.5  # for a head or the next piece of a value; a peer is owed an error within 3 s
MAX_VALUE_DURATION_S = 30.0  # for a value that is collected, however steadily it is_arriving
MAX_STREAMED_VALUE_DURATION_S = 120.0  # for a value that is streamed: longer than its request is kept
UNREAD_TIMEOUT_S = 15.0  # that a client may read nothing of an answer: nobody waits that long for one
MAX_UNREAD_DURATION_S = 60.0  # that a client may take to read all it has been answered, however steadily


@dataclass(slots=True)
class ReceiveWatch:
    """What a peer owes: its first command, or the rest of one.

    Attributes:
        wait_started_at_s: since when; None if it owes nothing.
        last_received_s: when bytes of an unfinished command last arrived.
        stream_started_at_s: when the value that is being streamed began.
    """

    wait_started_at_s: float | None
    last_received_s: float = 0.0
    stream_started_at_s: float = 0.0

    def record_partial_command(self, now_s: float) -> None:
        """Note that bytes of an unfinished command have arrived."""
        self.last_received_s = now_s
        self.wait_started_at_s = self.wait_started_at_s or now_s

    def record_stream_start(self, now_s: float) -> None:
        """Note that a value to be streamed has begun."""
        self.last_received_s = now_s
        self.stream_started_at_s = now_s

    def has_stream_timed_out(self, now_s: float) -> bool:
        """Whether a value that is being streamed stalls, or takes too long."""
        has_stalled = now_s - self.last_received_s > COMMAND_TIMEOUT_S
        return has_stalled or now_s - self.stream_started_at_s > MAX_STREAMED_VALUE_DURATION_S

    def has_command_timed_out(self, now_s: float, in_value: bool) -> bool:
        """Whether the peer has left a command unfinished for too long.

        Args:
            now_s: the time.
            in_value: what is arriving is the value of something that begins as a request; it may take
                longer as long as it is_arriving steadily.
        """
        if self.wait_started_at_s is None or now_s - self.wait_started_at_s <= COMMAND_TIMEOUT_S:
            return False
        is_arriving = now_s - self.last_received_s <= COMMAND_TIMEOUT_S
        is_within_limit = is_arriving and now_s - self.wait_started_at_s <= MAX_VALUE_DURATION_S
        return not (is_within_limit and in_value)


@dataclass(slots=True)
class DeliveryWatch:
    """How a peer reads what it has been answered.

    Attributes:
        written_bytes: bytes given to the transport, in all.
        unread_started_at_s: since when bytes wait to be read by the peer; 0 if none do.
    """

    written_bytes: int = 0
    unread_started_at_s: float = 0.0
    _last_sent_bytes: int = 0  # bytes that have left for the peer, when last looked at
    _last_progress_s: float = 0.0

    def has_timed_out(self, now_s: float, unsent_bytes: int, streaming: bool) -> bool:
        """Whether the peer has left its answers unread: it has vanished, or reads too slowly.

        Args:
            now_s: the time.
            unsent_bytes: bytes that still wait in the transport.
            streaming: a long answer is on its way, which may take as long as its bytes move.
        """
        if not unsent_bytes:
            self.unread_started_at_s = 0.0
            return False
        sent_bytes = self.written_bytes - unsent_bytes
        if not self.unread_started_at_s:
            self.unread_started_at_s = now_s
            self._last_progress_s = now_s
        elif sent_bytes != self._last_sent_bytes:
            self._last_progress_s = now_s
        self._last_sent_bytes = sent_bytes
        too_slow = not streaming and now_s - self.unread_started_at_s > MAX_UNREAD_DURATION_S
        return now_s - self._last_progress_s > UNREAD_TIMEOUT_S or too_slow
