"""The share of lease refreshes for which an overloaded counter service has capacity."""

from __future__ import annotations

from switchline.policy import interface as api

# Added to the ratio after a successful call; it makes up for a few lost calls in a hundred.
RECOVERY_STEP = 0.02
FAILED_FACTOR = 0.9  # multiplies the ratio after a call that failed
BUSY_FACTOR = 0.6  # multiplies the ratio after a call that the busy counter refused
MIN_RATIO = 0.1


class CounterCapacity:
    """Owns the share of refreshes that are sent to the counter.

    An overloaded counter fails the calls of all gateways, and their number keeps it overloaded.

    Attributes:
        ratio: The ratio of refreshes that are sent, up to 1.
    """

    def __init__(self) -> None:
        self.ratio = 1.0

    def on_reply(self, outcome: api.Outcome) -> None:
        """Lower the ratio after a failed call, and raise it slowly after a successful one."""
        if outcome is api.Outcome.OK:
            self.ratio = min(1.0, self.ratio + RECOVERY_STEP)
        else:
            factor = BUSY_FACTOR if outcome is api.Outcome.QUEUE_FULL else FAILED_FACTOR
            self.ratio = max(MIN_RATIO, self.ratio * factor)
