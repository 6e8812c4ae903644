"""Pools the reports of several gateways on one zone into one body of evidence. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from switchline.zones.reports import ReceivedReport, latest_times

# Number of healthy backends assumed in addition to those observed.
UNSEEN_HEALTHY_BACKENDS = 0.75


@dataclass(frozen=True, slots=True)
class PooledEvidence:
    """The pooled observations of several gateways in one zone.

    Attributes:
        lost: Distinct backends whose latest observation is a loss.
        healthy: Distinct backends whose latest observation is an answer, since the first of those losses.
        loss_observers: Names of the gateways that report a loss of any of the lost backends.
        loss_zones: The zones that the gateways in `loss_observers` run in.
        healthy_observers: Names of the gateways that report at least one answer.
        slow: Number of slow backends, summed over the gateways' reports.
        observation_count: Number of observations since the first counted loss; one for each gateway and
            backend.
        lost_observation_ratio: The share of these observations that are losses, from 0 to 1.
        lost_leave_one_out: Leave-one-out count: the number of backends that are still reported lost when the
            gateway whose report matters most is left out.
    """

    lost: frozenset[str]
    healthy: frozenset[str]
    loss_observers: frozenset[str]
    loss_zones: frozenset[str]
    healthy_observers: frozenset[str]
    slow: int
    observation_count: int
    lost_observation_ratio: float
    lost_leave_one_out: int

    @property
    def failure_ratio(self) -> float:
        """How surely the zone is failing, from 0 to 1.

        One lost backend is not counted, as a single failing backend must not make a zone fail.
        """
        if not self.lost:
            return 0.0
        return (len(self.lost) - 1) / (len(self.lost) + len(self.healthy) - 1 + UNSEEN_HEALTHY_BACKENDS)


def pool_reports(
    reports: Iterable[ReceivedReport], known_healthy: frozenset[str] = frozenset()
) -> PooledEvidence:
    """Pool what gateways observed in one zone.

    For each backend the latest observation of any gateway counts. An answer from before the first counted
    loss says nothing about the present state, so it does not count as healthy.

    Args:
        reports: One report for each gateway.
        known_healthy: Backends that do not count as lost, whatever is reported.

    Returns:
        The pooled evidence; it does not depend on the order of the reports.
    """
    pooled = list(reports)
    answered_at = latest_times(report.answered_at_s for report in pooled)
    lost_at = latest_times(report.lost_at_s for report in pooled)
    lost = frozenset(
        backend
        for backend, at in lost_at.items()
        if at > answered_at.get(backend, -math.inf) and backend not in known_healthy
    )
    began_s = min((lost_at[backend] for backend in lost), default=-math.inf)
    loss_observers = {
        report.observer: report.observer_zone for report in pooled if not lost.isdisjoint(report.lost_at_s)
    }
    observation_count, lost_observation_ratio = _observations_since(pooled, began_s)
    return PooledEvidence(
        lost=lost,
        healthy=frozenset(
            backend for backend, at in answered_at.items() if backend not in lost and at >= began_s
        ),
        loss_observers=frozenset(loss_observers),
        loss_zones=frozenset(loss_observers.values()),
        healthy_observers=frozenset(report.observer for report in pooled if report.answered_at_s),
        slow=sum(report.slow for report in pooled),
        observation_count=observation_count,
        lost_observation_ratio=lost_observation_ratio,
        lost_leave_one_out=_lost_leave_one_out(pooled, lost),
    )


def _observations_since(reports: Sequence[ReceivedReport], began_s: float) -> tuple[int, float]:
    """Return the number of observations since `began_s`, and the share of them that are losses.

    Each report holds the losses and answers of one moment, so neither kind is newer than the other.
    """
    lost = sum(at >= began_s for report in reports for at in report.lost_at_s.values())
    healthy = sum(at >= began_s for report in reports for at in report.answered_at_s.values())
    return lost + healthy, lost / max(1, lost + healthy)


def _lost_leave_one_out(reports: Sequence[ReceivedReport], lost: frozenset[str]) -> int:
    """Return how many backends are still reported lost without the gateway whose report matters most."""
    observer_counts = Counter[str](
        backend for report in reports for backend in report.lost_at_s if backend in lost
    )
    lost_by_one_observer = (
        sum(observer_counts[backend] == 1 for backend in report.lost_at_s if backend in lost)
        for report in reports
    )
    return len(lost) - max(lost_by_one_observer, default=0)
