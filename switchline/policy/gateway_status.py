"""What staff and other gateways are shown of a gateway's module. Pure; nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from switchline.policy import interface as api
from switchline.policy.backend_selection import EJECTED
from switchline.policy.entities import Backend
from switchline.policy.gateway import Gateway
from switchline.policy.zones import BAD, SHARE_MS, State, Zone, Zones

SLOW_TIMES = 2.5  # of the usual time, and for a cold one of what it takes: a backend counts as slow


@dataclass(slots=True)
class Seen:
    """Of one zone: its usable backends, those that look lost, those that answer, how many are slow."""

    usable: int
    lost: dict[int, float] = field(default_factory=dict)  # milliseconds since then
    well: dict[int, float] = field(default_factory=dict)
    slow: int = 0
    warmth: float = 1.0  # of the youngest of them, as far as the list tells of starts


def ejected(gateway: Gateway, now: float) -> int:
    """How many of the listed backends are avoided."""
    return sum(avoids(gateway, b, now) for b in gateway.backends.values())


def avoids(gateway: Gateway, b: Backend, now: float) -> bool:
    """Whether a backend is avoided, by operators' word or for its failures."""
    by_hand = b.id in gateway.held or b.zone in gateway.zones.held
    return by_hand or max(gateway.mark(now, b, name) for name in ("all", "shut")) >= EJECTED


def lately(zone: Zone, now: float) -> float:
    """Attempts there of the last 10 s or so, fading."""
    return zone.recent * math.exp((zone.recent_at - now) / SHARE_MS)


def figures_of(zones: Zones, now: float) -> dict[str, dict[str, int]]:
    """By zone: counts since the start, percent of the traffic lately, the state by its place."""
    recent = {name: lately(zone, now) for name, zone in zones.zones.items()}
    whole = max(sum(recent.values()), 1e-9)
    states = list(State)
    return {
        name: {
            "attempts": zone.attempts,
            "failures": zone.failures,
            "share": round(100 * recent[name] / whole),
            "state": states.index(zone.state),
        }
        for name, zone in zones.zones.items()
    }


def spending(gateway: Gateway, now: float, most: int) -> list[api.PeerQuotaReport]:
    """What all gateways have left of customers' quotas, as this one knows: where most is spent first."""
    found = []
    for c in gateway.customers.values():
        if c.plan.rate_per_s:
            passed = max(0.0, now - c.filled_at) / 1000
            left = min(c.plan.burst_units, max(0.0, c.store + passed * c.plan.rate_per_s))
            if left < c.plan.burst_units:
                found.append(api.PeerQuotaReport(c.key, c.plan.name, c.even, left))
    found.sort(key=lambda told: told.remaining_units - gateway.plans[told.plan].burst_units)
    return found[:most]


def met(gateway: Gateway, now: float) -> dict[str, Seen]:
    """By zone: what this gateway met there lately, for the other gateways; ages are milliseconds.

    Of a zone that it has left it meets little more: what was lost there counts until an answer comes.
    """
    zones = gateway.zones
    found = {name: Seen(zone.usable) for name, zone in zones.zones.items()}
    for b in gateway.backends.values():
        if b.zone in found and gateway.usable(b):
            found[b.zone].warmth = min(found[b.zone].warmth, b.warmth(now))
    for name, zone in zones.zones.items():
        for backend, (lost, at) in zone.lost.items():
            age, seen = now - at, found[name]
            if lost * math.exp(-age / zones.memory) > BAD or (lost > BAD and zone.state is State.LEFT):
                seen.lost[backend] = age
            elif lost < BAD and age < zones.memory:
                seen.well[backend] = age
                if (known := gateway.backends.get(backend)) is not None and gateway.typical:
                    takes = (gateway.typical + gateway.mark(now, known, "slow")) * known.warmth(now)
                    seen.slow += takes > SLOW_TIMES * gateway.typical
    return found


def offered(gateway: Gateway, now: float) -> float:
    """Attempts a second that this gateway has made lately, to all zones."""
    memory = SHARE_MS * (1 - math.exp((gateway.created - now) / SHARE_MS))  # a young one remembers less
    return sum(lately(zone, now) for zone in gateway.zones.zones.values()) * 1000 / max(1.0, memory)
