"""A hybrid logical clock: an order that respects cause, close to wall time. Pure.

Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks (2014). A stamp is milliseconds of wall
time and a count; what was told in a message that came is before all that is stamped after it. A clock that
is further ahead than clocks may differ moves nobody's.
"""

from __future__ import annotations

from switchline.fleet.messages import Stamp

AHEAD_MS = 300_000  # by which clocks may differ


class HybridClock:
    """Owns one process's clock. `wall` is milliseconds of wall time, which may step either way."""

    def __init__(self) -> None:
        self.last: Stamp = (0, 0)
        self.refused = 0  # stamps too far ahead

    def next(self, wall: float) -> Stamp:
        """A stamp above all that were given or heard."""
        now, (at, count) = max(0, int(wall)), self.last
        self.last = (now, 0) if now > at else (at, count + 1)
        return self.last

    def hear(self, stamp: Stamp, wall: float) -> None:
        """A message told the sender's last stamp."""
        if stamp[0] > wall + AHEAD_MS:
            self.refused += 1
        else:
            self.last = max(self.last, stamp)
