"""The recovery ramp of a whole fleet that lost power: what its cold backends are given.

A cold backend answers later with nobody in its queue: judged as usual, its cores would idle. And slow start
knows nothing of the load: its share is raised while answers come in time, and lowered once they don't.
"""

from __future__ import annotations

import math

# The latest an answer may be expected while backends are cold, in latency objectives; less for low priority.
MAX_LOAD_RATIO = 0.95
RECOVERY_PRIORITY_SPAN = 0.3
RAISING_RATIO = 0.9  # of the threshold: a load under it raises the share
RISE_PER_S = 1.0  # how the share rises and falls, as an exponent of e
MAX_LIFT = 16.0
MAX_ANSWER_AGE_MS = 1_000.0  # of an answer that raises the share: silence is no evidence


class RecoveryRamp:
    """Owns whether the fleet recovers, and how far slow start's share is lifted meanwhile.

    Attributes:
        end_ms: Time at which the recovery ends.
        share_multiplier: Factor by which the share of slow start is multiplied.
    """

    def __init__(self) -> None:
        self.end_ms = -math.inf
        self.share_multiplier = 1.0
        self._began_ms = 0.0
        self._updated_ms = 0.0

    def is_active(self, now: float) -> bool:
        """Whether the fleet recovers."""
        return now < self.end_ms

    def begin(self, now: float, end_ms: float) -> None:
        """Begin a recovery."""
        self._began_ms = now
        self.end_ms = end_ms
        self.share_multiplier = 1.0
        self._updated_ms = now

    def shedding_threshold(
        self,
        now: float,
        *,
        load_ratio: float,
        usual_threshold: float,
        priority_deficit: float,
        warm_ratio: float,
        last_answer_ms: float,
    ) -> float:
        """Give the load ratio from which requests are shed; evidence raises or lowers the share multiplier.

        Args:
            now: The time in milliseconds.
            load_ratio: The expected latency, in latency objectives.
            usual_threshold: The threshold without a recovery.
            priority_deficit: How far the class is below the highest priority, up to 1.
            warm_ratio: The part of the backends' capacity that they surely have.
            last_answer_ms: Time of the last answer.
        """
        threshold = min(
            MAX_LOAD_RATIO - RECOVERY_PRIORITY_SPAN * priority_deficit,
            usual_threshold / max(warm_ratio, 1e-3),
        )
        direction = int(last_answer_ms > max(self._began_ms, now - MAX_ANSWER_AGE_MS))
        if load_ratio >= RAISING_RATIO * threshold:
            direction = -1
        step = RISE_PER_S * min(1.0, (now - self._updated_ms) / 1000) * direction
        self.share_multiplier = min(MAX_LIFT, max(1.0, self.share_multiplier * math.exp(step)))
        self._updated_ms = now
        if warm_ratio >= 1:  # the last of them has had its slow start
            self.end_ms = now
        return threshold
