"""A hybrid logical clock: an order that respects causality, close to wall time. Pure.

Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks (2014). A timestamp is milliseconds of wall
time and a count; what was known from a message is before all that is stamped after it. A timestamp that is
further ahead than clocks may differ moves nobody's clock.
"""

from __future__ import annotations

from switchline.fleet.messages import HybridTimestamp

MAX_AHEAD_MS = 300_000  # by which clocks may differ


class HybridClock:
    """Owns one process's clock."""

    def __init__(self) -> None:
        self.last: HybridTimestamp = (0, 0)
        self.refused = 0  # timestamps too far ahead

    def next(self, wall_ms: float) -> HybridTimestamp:
        """Return a timestamp above all that were given or observed.

        Args:
            wall_ms: Milliseconds of wall time, which may step either way.
        """
        now = max(0, int(wall_ms))
        last_ms, count = self.last
        self.last = (now, 0) if now > last_ms else (last_ms, count + 1)
        return self.last

    def observe(self, timestamp: HybridTimestamp, wall_ms: float) -> None:
        """Take the sender's last timestamp from a message that came."""
        if timestamp[0] > wall_ms + MAX_AHEAD_MS:
            self.refused += 1
        else:
            self.last = max(self.last, timestamp)
