"""How long a peer may leave a command unfinished, or its answers unread. Pure: times are handed in.

All times are monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

COMMAND_TIMEOUT_S = 2.5  # for a head or the next piece of a value; a peer is owed an error within 3 s
MAX_VALUE_S = 30.0  # for a value that is collected, however steadily it arrives
MAX_STREAMED_VALUE_S = 120.0  # for a value that is streamed: longer than its request is kept
UNREAD_TIMEOUT_S = 15.0  # that a client may read nothing of an answer: nobody waits that long for one
MAX_UNREAD_S = 60.0  # that a client may take to read all it has been answered, however steadily


@dataclass(slots=True)
class ReceiveWatch:
    """What a peer owes: its first command, or the rest of one.

    Attributes:
        owed_since_s: since when; None if it owes nothing.
        last_bytes_s: when bytes of an unfinished command last arrived.
        stream_started_s: when the value that is being streamed began.
    """

    owed_since_s: float | None
    last_bytes_s: float = 0.0
    stream_started_s: float = 0.0

    def partial_command(self, now_s: float) -> None:
        """Note that bytes of an unfinished command have arrived."""
        self.last_bytes_s = now_s
        self.owed_since_s = self.owed_since_s or now_s

    def stream_started(self, now_s: float) -> None:
        """Note that a value to be streamed has begun."""
        self.last_bytes_s = now_s
        self.stream_started_s = now_s

    def is_stream_late(self, now_s: float) -> bool:
        """Whether a value that is being streamed stalls, or takes too long."""
        stalled = now_s - self.last_bytes_s > COMMAND_TIMEOUT_S
        return stalled or now_s - self.stream_started_s > MAX_STREAMED_VALUE_S

    def is_command_late(self, now_s: float, in_value: bool) -> bool:
        """Whether the peer has left a command unfinished for too long.

        Args:
            now_s: the time.
            in_value: what is arriving is the value of something that begins as a request; it may take
                longer as long as it arrives steadily.
        """
        if self.owed_since_s is None or now_s - self.owed_since_s <= COMMAND_TIMEOUT_S:
            return False
        arrives = now_s - self.last_bytes_s <= COMMAND_TIMEOUT_S
        steady = arrives and now_s - self.owed_since_s <= MAX_VALUE_S
        return not (steady and in_value)


@dataclass(slots=True)
class DeliveryWatch:
    """How a peer reads what it has been answered.

    Attributes:
        written: bytes given to the transport, in all.
        behind_since_s: since when bytes wait to be read by the peer; 0 if none do.
    """

    written: int = 0
    behind_since_s: float = 0.0
    _taken: int = 0  # bytes that have left for the peer, when last looked at
    _last_taken_s: float = 0.0

    def is_late(self, now_s: float, unsent: int, streaming: bool) -> bool:
        """Whether the peer has left its answers unread: it has vanished, or reads too slowly.

        Args:
            now_s: the time.
            unsent: bytes that still wait in the transport.
            streaming: a long answer is on its way, which may take as long as its bytes move.
        """
        if not unsent:
            self.behind_since_s = 0.0
            return False
        taken = self.written - unsent
        if not self.behind_since_s:
            self.behind_since_s = now_s
            self._last_taken_s = now_s
        elif taken != self._taken:
            self._last_taken_s = now_s
        self._taken = taken
        too_slow = not streaming and now_s - self.behind_since_s > MAX_UNREAD_S
        return now_s - self._last_taken_s > UNREAD_TIMEOUT_S or too_slow
