"""Names of the outlier scores of a backend, as they stand in its state record."""

from __future__ import annotations

# Score of refusals: the backend is gone or full and accepts no work.
REFUSING_SCORE = "shut"
# Score of slowness, in milliseconds above the mean latency.
SLOWNESS_SCORE = "slow"
# Score of failures over all classes and plans.
ALL_REQUESTS_SCORE = "all"


def score_of_class(request_class: str) -> str:
    """Return the name of the score of failures of one request class."""
    return "class " + request_class


def score_of_plan(plan: str) -> str:
    """Return the name of the score of failures of one plan."""
    return "plan " + plan
