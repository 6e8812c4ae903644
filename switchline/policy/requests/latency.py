"""Estimates the latency of backends by their answers: the mean, the recent latency and the answer rate."""

from __future__ import annotations

import math

MAX_MEAN_ANSWERS = 40.0  # the number of answers over which the mean is taken
RECENT_WEIGHT = 0.12  # the smallest weight of one answer in the recent latency
RECENT_MEMORY_MS = 4_000.0  # the time constant with which the recent latency decays
RATE_MEMORY_MS = 800.0  # the time constant of the answer rate: steady, yet quick to follow a shift
# A sample is limited to this multiple of the mean latency: otherwise a single attempt lost on the way would
# make its backend look too slow to use.
MAX_SAMPLE_MULTIPLE = 5.0


class LatencyEstimate:
    """Owns the estimate of latency over all backends.

    Attributes:
        mean_ms: The mean latency of the last answers; 0 before the first.
        recent_ms: The recent latency: a decaying geometric mean, which rare long answers change little.
        recent_at_ms: When the recent latency was last updated.
        sample_count: The number of answers over which the mean is taken.
        rate_per_s: Answers per second, a decaying average.
        answered_at_ms: When the last answer came.
    """

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self.recent_ms = 0.0
        self.recent_at_ms = 0.0
        self.sample_count = 0.0
        self.rate_per_s = 0.0
        self.answered_at_ms = 0.0

    def clamp(self, latency_ms: float) -> float:
        """Limit a sample to a multiple of the mean."""
        return min(latency_ms, MAX_SAMPLE_MULTIPLE * self.mean_ms) if self.mean_ms else latency_ms

    def observe_recent(self, now: float, latency_ms: float) -> None:
        """Update the recent latency by an answer or by the wait of an attempt that gave none.

        Old answers must not outweigh few new ones, or load shedding would never end.
        """
        weight = max(RECENT_WEIGHT, 1 - math.exp((self.recent_at_ms - now) / RECENT_MEMORY_MS))
        previous_ms = self.recent_ms or latency_ms
        self.recent_ms = previous_ms * (latency_ms / previous_ms) ** weight
        self.recent_at_ms = now

    def observe_answer(self, now: float, clamped_ms: float) -> None:
        """Update the mean and the rate by an answer."""
        self.sample_count = min(MAX_MEAN_ANSWERS, self.sample_count + 1)
        self.mean_ms += (clamped_ms - self.mean_ms) / self.sample_count
        self.rate_per_s = self.decayed_rate_per_s(now) + 1000 / RATE_MEMORY_MS
        self.answered_at_ms = now

    def decayed_recent_ms(self, now: float) -> float:
        """Return the recent latency in milliseconds, decayed up to now."""
        return self.recent_ms * math.exp((self.recent_at_ms - now) / RECENT_MEMORY_MS)

    def decayed_rate_per_s(self, now: float) -> float:
        """Return the answers per second, decayed up to now."""
        return self.rate_per_s * math.exp((self.answered_at_ms - now) / RATE_MEMORY_MS)
