"""What operators and other gateways are shown of a gateway. Pure; nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.zones import LOST_SCORE, TRAFFIC_MEMORY_MS, Zone, Zones
from switchline.policy.gateway import Gateway

# Of the mean latency, and for a warming backend of what it should take: a backend counts as slow.
SLOW_MULTIPLE = 2.5


@dataclass(slots=True)
class ZoneObservation:
    """What this gateway has seen of one zone lately.

    Attributes:
        usable_backends: Number of its backends that may get work.
        lost_backend_ages_ms: Time since the last outcome of each of its backends that look lost, by backend.
        answering_backend_ages_ms: Time since the last outcome of each of its backends that answer.
        slow_backends: Number of the answering backends that are slow.
        warm_ratio: That of the youngest of its backends, as far as the list shows their starts.
    """

    usable_backends: int
    lost_backend_ages_ms: dict[int, float] = field(default_factory=dict)
    answering_backend_ages_ms: dict[int, float] = field(default_factory=dict)
    slow_backends: int = 0
    warm_ratio: float = 1.0


def ejected_backend_count(gateway: Gateway, now: float) -> int:
    """Count the listed backends that are avoided, by an operator's override or for their failures."""
    return sum(is_avoided(gateway, backend, now) for backend in gateway.backends.by_id.values())


def is_avoided(gateway: Gateway, backend: Backend, now: float) -> bool:
    """Whether a backend is avoided, by an operator's override or for its failures."""
    is_disabled = backend.id in gateway.backends.disabled or backend.zone in gateway.zones.disabled
    return is_disabled or gateway.selection.outliers.is_ejected(now, backend)


def zone_metrics(zones: Zones, now: float) -> dict[str, dict[str, int]]:
    """Give by zone: counts since the start, percent of the traffic lately, the state by its place."""
    recent = {name: zone.faded_recent_attempts(now) for name, zone in zones.by_name.items()}
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
    """Give what all gateways have left of customers' quotas, as this one knows: where most is spent first.

    Args:
        gateway: The gateway.
        now: The time in milliseconds.
        limit: How many reports to give at most.
    """
    reports = []
    for customer in gateway.customers.by_key.values():
        plan = customer.plan
        if plan.rate_per_s:
            passed_s = max(0.0, now - customer.filled_at_ms) / 1000
            left = min(
                plan.burst_units, max(0.0, customer.fleet_remaining_units + passed_s * plan.rate_per_s)
            )
            if left < plan.burst_units:
                reports.append(api.GatewayQuotaReport(customer.key, plan.name, customer.even_share, left))
    plans = gateway.customers.plans
    reports.sort(key=lambda report: report.remaining_units - plans[report.plan].burst_units)
    return reports[:limit]


def zone_observations(gateway: Gateway, now: float) -> dict[str, ZoneObservation]:
    """Give by zone what this gateway has seen there lately, for the other gateways.

    Of a zone that it has left it sees little more: what was lost there counts until an answer comes.
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
    """Sort the backends of a zone into lost ones and ones that answer."""
    memory_ms = gateway.zones.memory_ms
    is_left = zone.state is api.ZoneState.LEFT
    for number, (level, at) in zone.evidence.items():
        age_ms = now - at
        if level * math.exp(-age_ms / memory_ms) > LOST_SCORE or (level > LOST_SCORE and is_left):
            observation.lost_backend_ages_ms[number] = age_ms
        elif level < LOST_SCORE and age_ms < memory_ms:
            observation.answering_backend_ages_ms[number] = age_ms
            backend = gateway.backends.by_id.get(number)
            if backend is not None:
                observation.slow_backends += is_slow(gateway, now, backend)


def is_slow(gateway: Gateway, now: float, backend: Backend) -> bool:
    """Whether a backend answers far slower than the mean, for how warm it is."""
    mean_ms = gateway.latency.mean_ms
    if not mean_ms:
        return False
    takes_ms = (mean_ms + gateway.selection.outliers.slowness_ms(now, backend)) * backend.warm_ratio(now)
    return takes_ms > SLOW_MULTIPLE * mean_ms


def attempt_rate_per_s(gateway: Gateway, now: float) -> float:
    """Give the attempts a second that this gateway has made lately, to all zones."""
    # A young gateway has less to remember.
    age_ms = now - gateway.customers.gateway_created_ms
    memory_ms = TRAFFIC_MEMORY_MS * (1 - math.exp(-age_ms / TRAFFIC_MEMORY_MS))
    recent = sum(zone.faded_recent_attempts(now) for zone in gateway.zones.by_name.values())
    return recent * 1000 / max(1.0, memory_ms)
