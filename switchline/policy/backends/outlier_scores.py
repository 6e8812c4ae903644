"""Outlier scores of backends: their decay, their update, and the failure probability of a request."""

from __future__ import annotations

import math

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.backends.score_names import ALL_REQUESTS_SCORE, REFUSING_SCORE, SLOWNESS_SCORE
from switchline.policy.quota.customer import LEASE_MS
from switchline.policy.requests.latency import LatencyEstimate

# The time constant of the exponential decay of scores: the mean gap between two answers of a backend times
# `DECAY_GAPS`, but no less than `MIN_DECAY_MS`.
MIN_DECAY_MS = 4_000.0
DECAY_GAPS = 5.0
SLOWNESS_WEIGHT = 0.15  # weight of one outcome in the slowness score
FAILURE_WEIGHT = 0.3  # weight of one outcome in the failure scores
# Relative surcharge on the cost of a backend that always fails: it costs far more than any healthy backend.
BACKEND_FAILURE_COST = 8.0
# Score from which a backend counts as ejected: its cost is then five times that of a healthy one.
EJECTION_SCORE = 0.5
NEGLIGIBLE_SCORE = 0.01
# Outcomes of attempts that the backend did not accept.
REFUSED_BY_BACKEND = {
    api.Outcome.QUEUE_FULL,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.NO_CONNECTION,
}


class OutlierScores:
    """Reads and updates the outlier scores that are stored in each `Backend`."""

    def __init__(self, backends: BackendTable, latency: LatencyEstimate) -> None:
        self._backends = backends
        self._latency = latency

    def decay_ms(self) -> float:
        """Return the time constant of the decay of scores in milliseconds.

        It is longer for backends that seldom get a request, and at most the duration of a lease.
        """
        gap_ms = len(self._backends.subset) * 1000 / max(self._latency.rate_per_s, 0.1)
        return max(MIN_DECAY_MS, min(LEASE_MS, DECAY_GAPS * gap_ms))

    def score(self, now: float, backend: Backend, name: str) -> float:
        """Return a score of a backend after its decay up to now; 0 if it has none of that name."""
        level, set_at_ms = backend.scores.get(name, (0.0, now))
        return level * math.exp((set_at_ms - now) / self.decay_ms())

    def slowness_ms(self, now: float, backend: Backend) -> float:
        """Return how much slower a backend answers than the mean, in milliseconds."""
        return self.score(now, backend, SLOWNESS_SCORE)

    def failure_probability(self, now: float, backend: Backend, score_names: tuple[str, str, str]) -> float:
        """Return the probability that a backend fails a request, up to 1.

        A backend may fail requests of one class or plan and serve the others. A backend that is gone or full
        refuses work of every class and plan. A failing backend is assumed to fail also the classes and plans
        of which it has no score. Class and plan are assumed to act independently: each changes the
        probability by the ratio of its score to that of all requests.

        Args:
            now: The time in milliseconds.
            backend: The backend.
            score_names: Names of the request's scores: of all requests, of its class and of its plan.
        """
        refusing_score = self.score(now, backend, REFUSING_SCORE)
        all_score = self.score(now, backend, ALL_REQUESTS_SCORE)
        if all_score < NEGLIGIBLE_SCORE:
            return refusing_score
        class_score, plan_score = (
            self.score(now, backend, name) if name in backend.scores else all_score
            for name in score_names[1:]
        )
        return max(refusing_score, min(1.0, class_score * plan_score / all_score))

    def is_ejected(self, now: float, backend: Backend) -> bool:
        """Return whether a backend is avoided for its failures; it still gets an occasional request."""
        return (
            max(self.score(now, backend, name) for name in (ALL_REQUESTS_SCORE, REFUSING_SCORE))
            >= EJECTION_SCORE
        )

    def observe_slowness(self, now: float, backend: Backend, previous_ms: float, excess_ms: float) -> None:
        """Update the slowness score with an answer.

        Args:
            now: The time in milliseconds.
            backend: The backend that answered.
            previous_ms: The slowness score before the answer, in milliseconds.
            excess_ms: How much longer than the mean the answer took, in milliseconds.
        """
        level = previous_ms + (excess_ms - previous_ms) * SLOWNESS_WEIGHT
        backend.scores[SLOWNESS_SCORE] = api.FadingScore(level, now)

    def observe_outcome(
        self, now: float, backend: Backend, outcome: api.Outcome, score_names: tuple[str, str, str]
    ) -> None:
        """Update the failure scores with the outcome of an attempt.

        A refused attempt changes only the score of refusals: it says nothing of the classes and plans.

        Args:
            now: The time in milliseconds.
            backend: The backend of the attempt.
            outcome: The outcome.
            score_names: Names of the request's scores: of all requests, of its class and of its plan.
        """
        is_refusing = outcome in REFUSED_BY_BACKEND
        is_failed = outcome not in (api.Outcome.OK, api.Outcome.IGNORED)
        for name in (REFUSING_SCORE,) if is_refusing else (REFUSING_SCORE, *score_names):
            target = is_refusing or (name != REFUSING_SCORE and is_failed)
            level = self.score(now, backend, name)
            backend.scores[name] = api.FadingScore(level + (target - level) * FAILURE_WEIGHT, now)
