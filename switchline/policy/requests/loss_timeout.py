"""The loss timeout: how long an answer may take before its attempt counts as lost."""

from __future__ import annotations

from switchline.policy.backends.outlier_scores import BACKEND_FAILURE_COST
from switchline.policy.requests.latency import MAX_SAMPLE_MULTIPLE

INITIAL_OBJECTIVE_RATIO = 0.4  # the timeout before any latency is known, as a ratio of the latency objective
MIN_MEAN_MULTIPLE = 2.0  # the shortest timeout, at a failing backend, as a multiple of the mean latency


def initial_loss_timeout_ms(latency_objective_ms: float) -> float:
    """Return the loss timeout in milliseconds before any latency is known."""
    return latency_objective_ms * INITIAL_OBJECTIVE_RATIO


def loss_timeout_ms(mean_ms: float, failure_probability: float, latency_objective_ms: float) -> float:
    """Return the loss timeout in milliseconds, a multiple of the mean latency.

    It is `MAX_SAMPLE_MULTIPLE` at a healthy backend, and down to `MIN_MEAN_MULTIPLE` at a failing one.

    Args:
        mean_ms: The mean latency of answers; 0: not known.
        failure_probability: The probability that the backend fails the request.
        latency_objective_ms: The latency objective of the request's class.
    """
    multiple = max(MIN_MEAN_MULTIPLE, MAX_SAMPLE_MULTIPLE / (1 + BACKEND_FAILURE_COST * failure_probability))
    return multiple * mean_ms if mean_ms else initial_loss_timeout_ms(latency_objective_ms)
