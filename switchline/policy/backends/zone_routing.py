"""Where work may go: open zones, the fleet's recovery ramp, health checks, and the cost of each zone."""

from __future__ import annotations

import random

from switchline.policy import interface as api
from switchline.policy.backends.zones import Zone, Zones

# Of all usable backends: where fewer remain, the fault is held to be common, and no zone is left.
PANIC_RATIO = 0.3
ZONE_FAILURE_COST = 1.0  # how much failing raises the cost of a zone: it is still met until it is surely lost
# The cost of a step away from the own zone: without a price for crossing, per price, and at most.
MIN_DISTANCE_COST = 0.05
DISTANCE_COST_PER_PRICE = 5.0
MAX_DISTANCE_COST = 1.0
MAX_GRANTED = 1.5  # requests that wait in this gateway's part of the fleet's ramp: it gives no bursts
OTHER_REGION = 2  # steps


class ZoneRouting:
    """Decides which zones a request may go to; the state of zones is that of `Zones`."""

    def __init__(self, settings: api.Settings, rng: random.Random, zones: Zones) -> None:
        self._rng = rng
        self._zones = zones
        self._own = settings.zone
        self._start_capacity = settings.rules.start_capacity
        self._cross_zone_price = settings.cross_zone_price

    def closed_zones(self, now: float) -> set[str]:
        """Give the zones that a request may not go to: those left, and by chance those that return."""
        zones = self._zones
        if self._is_panic():  # but what the fleet's ramp does not grant would overload what returns
            return {name for name in zones.by_name if zones.is_rationed(name)}
        return {name for name, zone in zones.by_name.items() if not self._is_open(now, zone)}

    def granted_zone(self, now: float) -> Zone | None:
        """Give a zone that the fleet returns to and that one more request of this gateway may go to."""
        for name, zone in self._zones.by_name.items():
            directive = zone.directive
            if directive is None or zone.state is not api.ZoneState.RETURNING:
                continue
            if self._zones.is_rationed(name):
                earned = (now - zone.granted_at_ms) / 1000 * directive.rate_per_s
                zone.granted = min(MAX_GRANTED, zone.granted + earned)
                zone.granted_at_ms = now
                if zone.granted >= 1:
                    return zone
        return None

    def zone_to_check(self, now: float) -> str | None:
        """Give a zone that is left and whose health check is due."""
        for name, zone in self._zones.by_name.items():
            is_due = zone.state is api.ZoneState.LEFT and now >= zone.check_due_ms
            if is_due and not self._zones.is_rationed(name):
                return name
        return None

    def cost_factors(self, now: float) -> dict[str, float]:
        """Give how much each zone raises the cost of its backends: by what fails there, and by distance.

        Only evidence beyond the least failing zone's counts: if all fail alike, the fault is common.
        """
        zones = self._zones
        scores = {name: zone.failure_score(now, zones.memory_ms) for name, zone in zones.by_name.items()}
        least = min(
            (scores[name] for name, zone in zones.by_name.items() if zone.usable_backends), default=0.0
        )
        step_cost = self._step_cost()
        return {
            name: (1 + ZONE_FAILURE_COST * max(0.0, score - least)) * (1 + step_cost * self.distance(name))
            for name, score in scores.items()
        }

    def distance(self, name: str) -> int:
        """Give 0 in the own zone, 1 in its region, 2 elsewhere. Without regions all zones are of one."""
        regions = self._zones.regions
        if name == self._own or not regions:
            return int(name != self._own)
        own_region = regions.get(self._own)
        return 1 if own_region is not None and own_region == regions.get(name) else OTHER_REGION

    def _is_panic(self) -> bool:
        """Whether so little remains that the gateway itself is cut off, or the fault is common."""
        zones = self._zones.by_name
        usable = sum(zone.usable_backends for zone in zones.values())
        remaining = sum(
            zone.usable_backends for zone in zones.values() if zone.state is not api.ZoneState.LEFT
        )
        own = zones.get(self._own)
        if own is not None and own.usable_backends and own.state is not api.ZoneState.LEFT:
            return False  # what works is near: use it, and reject what it can't take
        return remaining < PANIC_RATIO * usable

    def _is_open(self, now: float, zone: Zone) -> bool:
        """Whether a request may go to a zone; to one that returns, a growing part of them."""
        if zone.directive:
            return False  # left, or granted one by one
        if zone.state is api.ZoneState.RETURNING:
            least = self._start_capacity
            share = least + (1 - least) * (now - zone.ramp_began_ms) / max(1.0, zone.ramp_ms)
            return share >= 1 or self._rng.random() < share
        return zone.state is api.ZoneState.UP

    def _step_cost(self) -> float:
        """Give the cost of a step away, by the price of crossing; less where the own zone is small.

        In a zone of few backends gateways are many, and each sees little of what the others send.
        """
        zones = self._zones.by_name
        usable = [zone.usable_backends for zone in zones.values() if zone.usable_backends]
        own = zones[self._own].usable_backends if self._own in zones else 0
        mean = sum(usable) / max(1, len(usable))
        price_cost = MIN_DISTANCE_COST + DISTANCE_COST_PER_PRICE * self._cross_zone_price
        step_cost = min(MAX_DISTANCE_COST, price_cost)
        return step_cost * min(1.0, own / max(1.0, mean)) ** 2 if own else step_cost
