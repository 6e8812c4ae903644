"""What the answers of backends show of their latency: the mean, lately, and how many come a second."""

from __future__ import annotations

import math

MAX_MEAN_ANSWERS = 40.0  # the mean is that of so many answers
RECENT_WEIGHT = 0.12  # of one answer in the recent latency, at least
RECENT_MEMORY_MS = 4_000.0
RATE_MEMORY_MS = 800.0  # steady, yet quick to follow a shift
# A sample counts for so many mean latencies at most: one attempt lost on the way would otherwise make its
# backend look slow beyond use.
MAX_SAMPLE_MULTIPLE = 5.0


class LatencyEstimate:
    """Owns the estimate of latency over all backends.

    Attributes:
        mean_ms: The mean latency of the last answers; 0 before the first.
        recent_ms: The latency lately, a fading geometric mean: few answers are long.
        recent_at_ms: When it was last updated.
        answers: How many answers the mean is of.
        rate_per_s: Answers a second, fading.
        answered_at_ms: When the last answer came.
    """

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self.recent_ms = 0.0
        self.recent_at_ms = 0.0
        self.sample_count = 0.0
        self.rate_per_s = 0.0
        self.answered_at_ms = 0.0

    def bounded(self, latency_ms: float) -> float:
        """Bound a sample by the mean."""
        return min(latency_ms, MAX_SAMPLE_MULTIPLE * self.mean_ms) if self.mean_ms else latency_ms

    def observe_recent(self, now: float, latency_ms: float) -> None:
        """Take an answer, or a wait that was given up, into the recent latency.

        Old answers must not outweigh few new ones, or rejections would never end.
        """
        weight = max(RECENT_WEIGHT, 1 - math.exp((self.recent_at_ms - now) / RECENT_MEMORY_MS))
        before_ms = self.recent_ms or latency_ms
        self.recent_ms = before_ms * (latency_ms / before_ms) ** weight
        self.recent_at_ms = now

    def observe_answer(self, now: float, bounded_ms: float) -> None:
        """Take an answer into the mean and the rate."""
        self.sample_count = min(MAX_MEAN_ANSWERS, self.sample_count + 1)
        self.mean_ms += (bounded_ms - self.mean_ms) / self.sample_count
        self.rate_per_s = self.faded_rate_per_s(now) + 1000 / RATE_MEMORY_MS
        self.answered_at_ms = now

    def faded_recent_ms(self, now: float) -> float:
        """Give the recent latency as far as it has not faded."""
        return self.recent_ms * math.exp((self.recent_at_ms - now) / RECENT_MEMORY_MS)

    def faded_rate_per_s(self, now: float) -> float:
        """Give the rate of answers as far as it has not faded."""
        return self.rate_per_s * math.exp((self.answered_at_ms - now) / RATE_MEMORY_MS)
