"""The status of a gateway for operators and other gateways. It has no side effects on decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.zones import LOST_BACKEND_SCORE, TRAFFIC_DECAY_MS, Zone, Zones
from switchline.policy.gateway import Gateway

# A backend counts as slow above this multiple of the mean latency. For a warming backend, the latency is
# first multiplied by its capacity ratio.
SLOW_LATENCY_MULTIPLE = 2.5


@dataclass(slots=True)
class ZoneObservation:
    """Recent evidence of this gateway on one zone.

    Attributes:
        usable_backends: Number of its backends that may get work.
        lost_backend_ages_ms: Milliseconds since the last outcome, by number of its backends that look lost.
        answering_backend_ages_ms: Milliseconds since the last outcome, by number of its backends that answer.
        slow_backends: Number of the answering backends that are slow.
        warm_ratio: Lowest ratio of certain capacity among its usable backends, by the starts in the list.
    """

    usable_backends: int
    lost_backend_ages_ms: dict[int, float] = field(default_factory=dict)
    answering_backend_ages_ms: dict[int, float] = field(default_factory=dict)
    slow_backends: int = 0
    warm_ratio: float = 1.0


def ejected_backend_count(gateway: Gateway, now: float) -> int:
    """Return the number of listed backends that are disabled by an operator or avoided for failures."""
    return sum(is_avoided(gateway, backend, now) for backend in gateway.backends.by_id.values())


def is_avoided(gateway: Gateway, backend: Backend, now: float) -> bool:
    """Return whether a backend is disabled by an operator or avoided for its failures."""
    is_disabled = backend.id in gateway.backends.disabled or backend.zone in gateway.zones.disabled
    return is_disabled or gateway.selection.outliers.is_ejected(now, backend)


def zone_metrics(zones: Zones, now: float) -> dict[str, dict[str, int]]:
    """Return the metrics of each zone by name.

    `attempts` and `failures` are counts since the start, `share` is the percentage of recent attempts, and
    `state` is the position of the state in `ZoneState`, from 0.
    """
    recent = {name: zone.decayed_recent_attempts(now) for name, zone in zones.by_name.items()}
    total = max(sum(recent.values()), 1e-9)
    states = list(api.ZoneState)
    return {
        name: {
            "attempts": zone.attempts,
            "failures": zone.failures,
            "share": round(100 * recent[name] / total),
            "state": states.index(zone.state),
        }
        for name, zone in zones.by_name.items()
    }


def quota_reports(gateway: Gateway, now: float, limit: int) -> list[api.GatewayQuotaReport]:
    """Return reports of the units that all gateways have left of customers' quotas, by this one's knowledge.

    Customers that have spent the most units of their burst come first.

    Args:
        gateway: The gateway.
        now: The time in milliseconds.
        limit: The maximum number of reports.
    """
    reports = []
    for customer in gateway.customers.by_key.values():
        plan = customer.plan
        if plan.rate_per_s:
            elapsed_s = max(0.0, now - customer.filled_at_ms) / 1000
            remaining_units = min(
                plan.burst_units, max(0.0, customer.fleet_remaining_units + elapsed_s * plan.rate_per_s)
            )
            if remaining_units < plan.burst_units:
                reports.append(
                    api.GatewayQuotaReport(customer.key, plan.name, customer.even_share, remaining_units)
                )
    plans = gateway.customers.plans
    reports.sort(key=lambda report: report.remaining_units - plans[report.plan].burst_units)
    return reports[:limit]


def zone_observations(gateway: Gateway, now: float) -> dict[str, ZoneObservation]:
    """Return the recent evidence of this gateway by zone, for the other gateways.

    A zone that is left gets only health checks, so a backend lost there counts as lost until it answers.
    """
    zones = gateway.zones
    observations = {name: ZoneObservation(zone.usable_backends) for name, zone in zones.by_name.items()}
    for backend in gateway.backends.by_id.values():
        if backend.zone in observations and gateway.backends.is_usable(backend):
            observation = observations[backend.zone]
            observation.warm_ratio = min(observation.warm_ratio, backend.warm_ratio(now))
    for name, zone in zones.by_name.items():
        observe_evidence(gateway, now, zone, observations[name])
    return observations


def observe_evidence(gateway: Gateway, now: float, zone: Zone, observation: ZoneObservation) -> None:
    """Add the lost backends, the answering backends and the number of slow ones to an observation."""
    decay_ms = gateway.zones.decay_ms
    is_left = zone.state is api.ZoneState.LEFT
    for number, (level, at) in zone.evidence.items():
        age_ms = now - at
        if level * math.exp(-age_ms / decay_ms) > LOST_BACKEND_SCORE or (
            level > LOST_BACKEND_SCORE and is_left
        ):
            observation.lost_backend_ages_ms[number] = age_ms
        elif level < LOST_BACKEND_SCORE and age_ms < decay_ms:
            observation.answering_backend_ages_ms[number] = age_ms
            backend = gateway.backends.by_id.get(number)
            if backend is not None:
                observation.slow_backends += is_slow(gateway, now, backend)


def is_slow(gateway: Gateway, now: float, backend: Backend) -> bool:
    """Return whether a backend answers far slower than the mean, considering its warm-up."""
    mean_ms = gateway.latency.mean_ms
    if not mean_ms:
        return False
    expected_ms = (mean_ms + gateway.selection.outliers.slowness_ms(now, backend)) * backend.warm_ratio(now)
    return expected_ms > SLOW_LATENCY_MULTIPLE * mean_ms


def attempt_rate_per_s(gateway: Gateway, now: float) -> float:
    """Return the recent rate of this gateway's attempts to all zones, in attempts per second."""
    # Soon after the start of the gateway, the decaying number of attempts covers a shorter time.
    age_ms = now - gateway.customers.gateway_created_ms
    window_ms = TRAFFIC_DECAY_MS * (1 - math.exp(-age_ms / TRAFFIC_DECAY_MS))
    recent = sum(zone.decayed_recent_attempts(now) for zone in gateway.zones.by_name.values())
    return recent * 1000 / max(1.0, window_ms)
