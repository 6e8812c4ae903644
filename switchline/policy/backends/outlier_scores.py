"""Outlier scores of backends: how they fade, what raises them, and how likely a backend fails a request."""

from __future__ import annotations

import math

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.backends.score_names import ALL_REQUESTS_SCORE, REFUSING_SCORE, SLOWNESS_SCORE
from switchline.policy.quota.customer import LEASE_MS
from switchline.policy.requests.latency import LatencyEstimate

# A score fades to a third in this time, or in so many usual gaps between two answers of a backend.
MIN_MEMORY_MS = 4_000.0
MEMORY_GAPS = 5.0
# Weight of one outcome in the score of slowness, and in those of failures.
SLOWNESS_WEIGHT = 0.15
FAILURE_WEIGHT = 0.3
BACKEND_FAILURE_COST = 8.0  # how much failing always raises a backend's cost: clearly behind any healthy peer
EJECTION_SCORE = 0.5  # from which on a backend counts as ejected: it costs five times as much
NEGLIGIBLE_SCORE = 0.01
REFUSED_BY_BACKEND = {
    api.Outcome.QUEUE_FULL,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.NO_CONNECTION,
}  # the backend took no work


class OutlierScores:
    """Reads and updates the outlier scores of backends, which each backend holds."""

    def __init__(self, backends: BackendTable, latency: LatencyEstimate) -> None:
        self._backends = backends
        self._latency = latency

    def memory_ms(self) -> float:
        """Give the time in which a score fades to a third: longer for backends that are met seldom."""
        gap_ms = len(self._backends.subset) * 1000 / max(self._latency.rate_per_s, 0.1)
        return max(MIN_MEMORY_MS, min(LEASE_MS, MEMORY_GAPS * gap_ms))

    def score(self, now: float, backend: Backend, name: str) -> float:
        """Give a score as far as it has not faded."""
        level, set_at_ms = backend.scores.get(name, (0.0, now))
        return level * math.exp((set_at_ms - now) / self.memory_ms())

    def slowness_ms(self, now: float, backend: Backend) -> float:
        """Give how much slower a backend is than the mean."""
        return self.score(now, backend, SLOWNESS_SCORE)

    def failure_probability(self, now: float, backend: Backend, score_names: tuple[str, str, str]) -> float:
        """Give how likely a backend fails a request: a class or plan may fare ill where others are served.

        A backend that takes no work, gone or full, takes none of any class or plan. One that fails is taken
        to fail the classes and plans that it has not met.

        Args:
            now: The time in milliseconds.
            backend: The backend.
            score_names: Those of the request: of all, of its class and of its plan.
        """
        refusing = self.score(now, backend, REFUSING_SCORE)
        of_all = self.score(now, backend, ALL_REQUESTS_SCORE)
        if of_all < NEGLIGIBLE_SCORE:
            return refusing
        of_class, of_plan = (
            self.score(now, backend, name) if name in backend.scores else of_all for name in score_names[1:]
        )
        return max(refusing, min(1.0, of_class * of_plan / of_all))

    def is_ejected(self, now: float, backend: Backend) -> bool:
        """Whether a backend is avoided for its failures; it still gets a request now and then."""
        return (
            max(self.score(now, backend, name) for name in (ALL_REQUESTS_SCORE, REFUSING_SCORE))
            >= EJECTION_SCORE
        )

    def observe_slowness(self, now: float, backend: Backend, before_ms: float, excess_ms: float) -> None:
        """Take into the score of slowness how much longer than the mean an answer took."""
        level = before_ms + (excess_ms - before_ms) * SLOWNESS_WEIGHT
        backend.scores[SLOWNESS_SCORE] = api.FadingScore(level, now)

    def observe_outcome(
        self, now: float, backend: Backend, outcome: api.Outcome, score_names: tuple[str, str, str]
    ) -> None:
        """Take an outcome into the scores of failures: one that took no work says nothing of the others."""
        is_refusing = outcome in REFUSED_BY_BACKEND
        is_failed = outcome not in (api.Outcome.OK, api.Outcome.IGNORED)
        for name in (REFUSING_SCORE,) if is_refusing else (REFUSING_SCORE, *score_names):
            target = is_refusing or (name != REFUSING_SCORE and is_failed)
            level = self.score(now, backend, name)
            backend.scores[name] = api.FadingScore(level + (target - level) * FAILURE_WEIGHT, now)
