"""How long an answer may take before its attempt counts as lost."""

from __future__ import annotations

from switchline.policy.backends.outlier_scores import BACKEND_FAILURE_COST
from switchline.policy.requests.latency import MAX_SAMPLE_MULTIPLE

UNKNOWN_RATIO = 0.4  # of the latency objective, before any latency is known
MIN_MEAN_MULTIPLE = 2.0  # the patience with a bad backend, in mean latencies


def initial_loss_timeout_ms(latency_objective_ms: float) -> float:
    """Give how long to wait where nothing is known of the latency."""
    return latency_objective_ms * UNKNOWN_RATIO


def loss_timeout_ms(mean_ms: float, failure_probability: float, latency_objective_ms: float) -> float:
    """Give how long an answer may take: five mean latencies, down to two at a backend that fails.

    Args:
        mean_ms: The mean latency of answers; 0: not known.
        failure_probability: How likely the backend fails the request.
        latency_objective_ms: That of the request's class.
    """
    multiple = max(MIN_MEAN_MULTIPLE, MAX_SAMPLE_MULTIPLE / (1 + BACKEND_FAILURE_COST * failure_probability))
    return multiple * mean_ms if mean_ms else initial_loss_timeout_ms(latency_objective_ms)
