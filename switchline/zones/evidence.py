"""The pooling of evidence: what several gateways observed in one zone, taken together. Pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from switchline.zones.reports import ReceivedReport, latest_times

UNSEEN_HEALTHY_BACKENDS = 0.75  # backends taken to be healthy in addition to those observed


@dataclass(frozen=True, slots=True)
class PooledEvidence:
    """What gateways observed in a zone together.

    Attributes:
        lost: Distinct backends whose latest observation is a loss.
        healthy: Distinct backends whose latest observation is an answer, since the first of those losses.
        loss_observers: The gateways that report losses of these backends.
        loss_zones: The zones of these gateways.
        healthy_observers: The gateways that report any answer.
        slow: Number of slow backends, summed over the gateways.
        votes: Number of observations (one for each gateway and backend) since the losses began.
        lost_vote_ratio: The part of the votes that are losses.
        lost_without_one: How many backends are still lost whichever single gateway is left out.
    """

    lost: frozenset[str]
    healthy: frozenset[str]
    loss_observers: frozenset[str]
    loss_zones: frozenset[str]
    healthy_observers: frozenset[str]
    slow: int
    votes: int
    lost_vote_ratio: float
    lost_without_one: int

    @property
    def failure_ratio(self) -> float:
        """How surely the zone is failing, from 0 to 1.

        The worst backend is left out, as a single one condemns no zone.
        """
        if not self.lost:
            return 0.0
        return (len(self.lost) - 1) / (len(self.lost) + len(self.healthy) - 1 + UNSEEN_HEALTHY_BACKENDS)


def pool_reports(reports: Iterable[ReceivedReport], vetoed: frozenset[str] = frozenset()) -> PooledEvidence:
    """Pool what gateways observed in one zone.

    Of each backend the latest observation of anybody counts. An answer from before the first of the losses
    that count says nothing of now, and does not count against them.

    Args:
        reports: One report for each gateway.
        vetoed: Backends that are not lost, whatever is reported.

    Returns:
        The pooled evidence; it does not depend on the order of the reports.
    """
    pooled = list(reports)
    answered_at = latest_times(report.healthy for report in pooled)
    lost_at = latest_times(report.lost for report in pooled)
    lost = frozenset(
        backend
        for backend, at in lost_at.items()
        if at > answered_at.get(backend, -math.inf) and backend not in vetoed
    )
    began_s = min((lost_at[backend] for backend in lost), default=-math.inf)
    loss_observers = {
        report.observer: report.observer_zone for report in pooled if not lost.isdisjoint(report.lost)
    }
    votes, lost_vote_ratio = _votes_since(pooled, began_s)
    return PooledEvidence(
        lost=lost,
        healthy=frozenset(b for b, at in answered_at.items() if b not in lost and at >= began_s),
        loss_observers=frozenset(loss_observers),
        loss_zones=frozenset(loss_observers.values()),
        healthy_observers=frozenset(report.observer for report in pooled if report.healthy),
        slow=sum(report.slow for report in pooled),
        votes=votes,
        lost_vote_ratio=lost_vote_ratio,
        lost_without_one=_lost_without_one(pooled, lost),
    )


def _votes_since(reports: Sequence[ReceivedReport], began_s: float) -> tuple[int, float]:
    """Return the number of observations since `began_s`, and the part of them that are losses.

    Each report is of one moment, so in their sum neither losses nor answers are later than the others.
    """
    lost = sum(at >= began_s for report in reports for at in report.lost.values())
    healthy = sum(at >= began_s for report in reports for at in report.healthy.values())
    return lost + healthy, lost / max(1, lost + healthy)


def _lost_without_one(reports: Sequence[ReceivedReport], lost: frozenset[str]) -> int:
    """Return how many backends are reported lost whichever single gateway is left out."""
    observers = Counter[str](backend for report in reports for backend in report.lost if backend in lost)
    alone = (sum(observers[b] == 1 for b in report.lost if b in lost) for report in reports)
    return len(lost) - max(alone, default=0)
