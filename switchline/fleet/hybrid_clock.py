"""A hybrid logical clock: an order that respects causality, close to wall time. Pure.

Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks (2014). A timestamp consists of
milliseconds of wall time and a count. Every timestamp that a process gives after a message is above the
timestamps that the message carried. A received timestamp that is further ahead of the wall clock than
`MAX_AHEAD_MS` is ignored.
"""

from __future__ import annotations

from switchline.fleet.messages import HybridTimestamp

MAX_AHEAD_MS = 300_000  # the largest difference between wall clocks that is accepted


class HybridClock:
    """Owns the hybrid logical clock of one process."""

    def __init__(self) -> None:
        self.last: HybridTimestamp = (0, 0)
        self.refused = 0  # number of received timestamps that were too far ahead

    def next(self, wall_ms: float) -> HybridTimestamp:
        """Return a timestamp above all that were returned or observed before.

        Args:
            wall_ms: The wall time in milliseconds, which may step forward or back.
        """
        now_ms = max(0, int(wall_ms))
        last_ms, count = self.last
        self.last = (now_ms, 0) if now_ms > last_ms else (last_ms, count + 1)
        return self.last

    def observe(self, timestamp: HybridTimestamp, wall_ms: float) -> None:
        """Advance the clock to the timestamp of a received message; ignore one too far ahead of `wall_ms`."""
        if timestamp[0] > wall_ms + MAX_AHEAD_MS:
            self.refused += 1
        else:
            self.last = max(self.last, timestamp)
