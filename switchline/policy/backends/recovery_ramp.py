"""The recovery ramp of a whole fleet that lost power: how much work its cold backends get.

A cold backend answers late even with an empty queue: under the usual threshold requests would be shed while
its cores are idle. Slow start does not depend on the load, so its share is raised while answers come in time
and lowered once they come late.
"""

from __future__ import annotations

import math

# Expected latency from which requests are shed while backends are cold, in latency objectives. It is lower
# for classes of lower priority, by up to `RECOVERY_PRIORITY_SPAN`.
MAX_LOAD_RATIO = 0.95
RECOVERY_PRIORITY_SPAN = 0.3
# A load below this ratio of the shedding threshold raises the share of slow start.
RAISING_THRESHOLD_RATIO = 0.9
# The share rises or falls by a factor of at most e to this power in a second.
RISE_PER_S = 1.0
MAX_SHARE_MULTIPLIER = 16.0
# The share rises only if an answer came within this time: without answers there is no evidence.
MAX_ANSWER_AGE_MS = 1_000.0


class RecoveryRamp:
    """Holds whether the fleet recovers, and the multiplier on the share of slow start during it.

    Attributes:
        end_ms: Time at which the recovery ends, in milliseconds.
        share_multiplier: Factor by which the share of slow start is multiplied.
    """

    def __init__(self) -> None:
        self.end_ms = -math.inf
        self.share_multiplier = 1.0
        self._began_ms = 0.0
        self._updated_ms = 0.0

    def is_active(self, now: float) -> bool:
        """Return whether the fleet recovers at this time."""
        return now < self.end_ms

    def begin(self, now: float, end_ms: float) -> None:
        """Begin a recovery that ends at `end_ms` (milliseconds)."""
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
        """Return the load ratio from which requests are shed, and update the share multiplier.

        The multiplier rises while the load is low and answers are recent, and falls while the load is high.

        Args:
            now: The time in milliseconds.
            load_ratio: The expected latency, in latency objectives.
            usual_threshold: The threshold without a recovery.
            priority_deficit: How far the class is below the highest priority, up to 1.
            warm_ratio: Ratio of the backends' capacity that they certainly have, up to 1.
            last_answer_ms: Time of the last answer, in milliseconds.
        """
        threshold = min(
            MAX_LOAD_RATIO - RECOVERY_PRIORITY_SPAN * priority_deficit,
            usual_threshold / max(warm_ratio, 1e-3),
        )
        direction = int(last_answer_ms > max(self._began_ms, now - MAX_ANSWER_AGE_MS))
        if load_ratio >= RAISING_THRESHOLD_RATIO * threshold:
            direction = -1
        log_share_change = RISE_PER_S * min(1.0, (now - self._updated_ms) / 1000) * direction
        self.share_multiplier = min(
            MAX_SHARE_MULTIPLIER, max(1.0, self.share_multiplier * math.exp(log_share_change))
        )
        self._updated_ms = now
        if warm_ratio >= 1:  # all backends have completed slow start
            self.end_ms = now
        return threshold
