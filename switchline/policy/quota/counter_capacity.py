"""How many refreshes of sparse leases a crowded counter service has capacity for."""

from __future__ import annotations

from switchline.policy import interface as api

# A few calls in a hundred that are lost on the way thin nothing out.
RECOVERY_STEP = 0.02
FAILED_FACTOR = 0.9
BUSY_FACTOR = 0.6
MIN_RATIO = 0.1


class CounterCapacity:
    """Owns the part of refreshes that are sent to the counter.

    A crowded counter fails everybody's calls, and their number keeps it crowded.

    Attributes:
        ratio: The part of refreshes that are sent, up to 1.
    """

    def __init__(self) -> None:
        self.ratio = 1.0

    def on_reply(self, outcome: api.Outcome) -> None:
        """Thin refreshes out as calls fail, and let them come back slowly."""
        if outcome is api.Outcome.OK:
            self.ratio = min(1.0, self.ratio + RECOVERY_STEP)
        else:
            factor = BUSY_FACTOR if outcome is api.Outcome.QUEUE_FULL else FAILED_FACTOR
            self.ratio = max(MIN_RATIO, self.ratio * factor)
