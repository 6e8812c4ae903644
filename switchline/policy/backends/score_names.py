"""Names of a backend's outlier scores, as its state record has them."""

from __future__ import annotations

REFUSING_SCORE = "shut"  # it takes no work: gone or full
SLOWNESS_SCORE = "slow"  # milliseconds above the mean latency
ALL_REQUESTS_SCORE = "all"  # it fails requests of whichever class and plan


def score_of_class(request_class: str) -> str:
    """Name the score of the failures of one class of requests."""
    return "class " + request_class


def score_of_plan(plan: str) -> str:
    """Name the score of the failures of one plan's requests."""
    return "plan " + plan
