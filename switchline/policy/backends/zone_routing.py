"""Zones that a request may go to: open zones, the fleet's recovery ramp, health checks, cost of zones."""

from __future__ import annotations

import random

from switchline.policy import interface as api
from switchline.policy.backends.zones import Zone, Zones

# If less than this ratio of all usable backends remains, the fault is assumed to be common to all zones,
# and no zone is avoided.
PANIC_RATIO = 0.3
# Relative surcharge on the cost of a zone that surely fails. It is low, so that the zone still gets requests
# until it is left.
ZONE_FAILURE_COST = 1.0
# Relative surcharge for each step of distance from the own zone, if attempts that cross zones have no price.
MIN_DISTANCE_COST = 0.05
DISTANCE_COST_PER_PRICE = 5.0  # added to that surcharge for each unit of the price
MAX_DISTANCE_COST = 1.0  # the highest surcharge for each step
# Granted requests that may accumulate at this gateway during the fleet's ramp; below 2, so that there are no
# bursts.
MAX_GRANTED_REQUESTS = 1.5
OTHER_REGION_DISTANCE = 2  # distance from the own zone, in steps


class ZoneRouting:
    """Decides which zones a request may go to, by the state that `Zones` holds."""

    def __init__(self, settings: api.Settings, rng: random.Random, zones: Zones) -> None:
        self._rng = rng
        self._zones = zones
        self._own_zone = settings.zone
        self._start_capacity = settings.rules.start_capacity
        self._cross_zone_price = settings.cross_zone_price

    def closed_zones(self, now: float) -> set[str]:
        """Return the names of the zones that a request may not go to.

        These are the zones that are left and, at random, those that return.
        """
        zones = self._zones
        if self._is_panic():  # more than the fleet's ramp grants would overload a zone that returns
            return {name for name in zones.by_name if zones.is_rationed(name)}
        return {name for name, zone in zones.by_name.items() if not self._is_open(now, zone)}

    def granted_zone(self, now: float) -> Zone | None:
        """Return a zone that the fleet returns to and that grants this gateway another request, or None."""
        for name, zone in self._zones.by_name.items():
            directive = zone.directive
            if directive is None or zone.state is not api.ZoneState.RETURNING:
                continue
            if self._zones.is_rationed(name):
                new_requests = (now - zone.granted_requests_at_ms) / 1000 * directive.rate_per_s
                zone.granted_requests = min(MAX_GRANTED_REQUESTS, zone.granted_requests + new_requests)
                zone.granted_requests_at_ms = now
                if zone.granted_requests >= 1:
                    return zone
        return None

    def zone_to_check(self, now: float) -> str | None:
        """Return the name of a zone that is left and whose health check is due, or None."""
        for name, zone in self._zones.by_name.items():
            is_due = zone.state is api.ZoneState.LEFT and now >= zone.check_due_ms
            if is_due and not self._zones.is_rationed(name):
                return name
        return None

    def cost_factors(self, now: float) -> dict[str, float]:
        """Return by zone the factor on the cost of its backends, for its failures and its distance.

        Only the excess over the lowest failure score of a zone counts: if all zones fail alike, the fault is
        common.
        """
        zones = self._zones
        scores = {name: zone.failure_score(now, zones.decay_ms) for name, zone in zones.by_name.items()}
        least_score = min(
            (scores[name] for name, zone in zones.by_name.items() if zone.usable_backends), default=0.0
        )
        step_cost = self._step_cost()
        return {
            name: (1 + ZONE_FAILURE_COST * max(0.0, score - least_score))
            * (1 + step_cost * self.distance(name))
            for name, score in scores.items()
        }

    def distance(self, name: str) -> int:
        """Return the distance to a zone in steps: 0 to the own zone, 1 within its region, 2 elsewhere.

        Without a table of regions all zones are in one region.
        """
        regions = self._zones.regions
        if name == self._own_zone or not regions:
            return int(name != self._own_zone)
        own_region = regions.get(self._own_zone)
        return 1 if own_region is not None and own_region == regions.get(name) else OTHER_REGION_DISTANCE

    def _is_panic(self) -> bool:
        """Return whether so few backends remain that this gateway is cut off or the fault is common."""
        zones = self._zones.by_name
        usable = sum(zone.usable_backends for zone in zones.values())
        remaining = sum(
            zone.usable_backends for zone in zones.values() if zone.state is not api.ZoneState.LEFT
        )
        own_zone = zones.get(self._own_zone)
        if own_zone is not None and own_zone.usable_backends and own_zone.state is not api.ZoneState.LEFT:
            return False  # the own zone works: use it, and reject requests beyond its capacity
        return remaining < PANIC_RATIO * usable

    def _is_open(self, now: float, zone: Zone) -> bool:
        """Return whether a request may go to a zone; a zone that returns gets a growing share of them."""
        if zone.directive:
            return False  # the zone is left, or its requests are granted one by one
        if zone.state is api.ZoneState.RETURNING:
            min_share = self._start_capacity
            share = min_share + (1 - min_share) * (now - zone.ramp_began_ms) / max(1.0, zone.ramp_ms)
            return share >= 1 or self._rng.random() < share
        return zone.state is api.ZoneState.UP

    def _step_cost(self) -> float:
        """Return the relative surcharge for a step of distance, by the price of crossing zones.

        It is lower if the own zone has few backends: many gateways share them, and each observes little of
        the load that the others send.
        """
        zones = self._zones.by_name
        usable = [zone.usable_backends for zone in zones.values() if zone.usable_backends]
        own_backends = zones[self._own_zone].usable_backends if self._own_zone in zones else 0
        mean_backends = sum(usable) / max(1, len(usable))
        unbounded_step_cost = MIN_DISTANCE_COST + DISTANCE_COST_PER_PRICE * self._cross_zone_price
        step_cost = min(MAX_DISTANCE_COST, unbounded_step_cost)
        return (
            step_cost * min(1.0, own_backends / max(1.0, mean_backends)) ** 2 if own_backends else step_cost
        )
