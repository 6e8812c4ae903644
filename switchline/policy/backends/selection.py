"""Selection of the backend of an attempt: at random by cost, within the rules on repeats and zones."""

from __future__ import annotations

import random

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.backends.outlier_scores import BACKEND_FAILURE_COST, OutlierScores
from switchline.policy.backends.recovery_ramp import RecoveryRamp
from switchline.policy.backends.zone_routing import ZoneRouting
from switchline.policy.backends.zones import Zones
from switchline.policy.requests.latency import LatencyEstimate
from switchline.policy.requests.request import Request

# A request gets its final answer this long before it expires. The margin is small beside any latency
# objective.
EXPIRY_MARGIN_MS = 50.0
# Exponent of the random factor on costs: a backend at half the cost is chosen sixteen times as often.
RANDOM_COST_EXPONENT = 0.25
# The multiples of the golden ratio, modulo 1, are a low-discrepancy sequence: evenly spaced for any count.
GOLDEN_RATIO = 0.618
# A warming backend with this failure probability or a higher one gets no share by slow start.
MAX_WARMING_FAILURE_PROBABILITY = 0.5


def may_repeat_at(now: float, request: Request, backend: Backend) -> bool:
    """Return whether the next attempt of a request may go to a backend.

    No effect may happen twice. A request that is not idempotent is not sent again once it may have run. A
    request with an idempotency key is sent again only to backends that recognise the key, and only until
    shortly before they forget it.
    """
    if backend.id in request.tried_backends:
        return False
    request_class = request.request_class
    if not request.may_have_run or request_class.effect is api.Effect.IDEMPOTENT:
        return True
    first_attempt = request.may_have_run[0]
    is_window_over = (
        now - first_attempt.sent_at_ms >= request_class.deduplication_window_ms - EXPIRY_MARGIN_MS
    )
    if request_class.effect is api.Effect.NOT_IDEMPOTENT or is_window_over:
        return False
    scope = request_class.deduplication_scope
    if scope is api.DeduplicationScope.ALL:
        return True
    is_same_zone = first_attempt.backend.zone == backend.zone
    return is_same_zone and (
        scope is not api.DeduplicationScope.CELL or first_attempt.backend.cell == backend.cell
    )


class BackendSelection:
    """Chooses the backends of attempts; it has no state of its own.

    Attributes:
        backends: The backends and the subset.
        outliers: The outlier scores of the backends.
        zones: The state of the zones.
        routing: Which zones a request may go to.
        recovery_ramp: The recovery of a whole fleet.
    """

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        backends: BackendTable,
        zones: Zones,
        recovery_ramp: RecoveryRamp,
        latency: LatencyEstimate,
    ) -> None:
        self.backends = backends
        self.outliers = OutlierScores(backends, latency)
        self.zones = zones
        self.recovery_ramp = recovery_ramp
        self.routing = ZoneRouting(settings, rng, zones)
        self._rng = rng
        self._latency = latency
        self._max_warming_multiplier = max(1.0, settings.rules.overload_multiple / 2)

    def pick(self, now: float, request: Request) -> Backend | None:
        """Return the backend of a request's next attempt, or None if no backend may get it."""
        candidates = self._candidates(now, request)
        cost_factors: dict[str, float] = {}
        if self.zones.is_multi_zone:
            zone_backend = self._health_check_backend(now, request) or self._granted_backend(now, request)
            if zone_backend is not None:
                return zone_backend
            candidates = self._in_open_zones(now, request, candidates)
            cost_factors = self.routing.cost_factors(now)
        warm = [backend for backend in candidates if backend.warm_ratio(now) >= 1]
        if len(warm) < len(candidates):
            warming = self._warming_backend(now, request, candidates, cost_factors)
            if warming is not None:
                return warming
        return self._cheapest(now, request, warm, cost_factors) if warm else None

    def _candidates(self, now: float, request: Request) -> list[Backend]:
        """Return the backends of the subset that may get a request; if there are none, those of all."""
        candidates = [backend for backend in self.backends.subset if may_repeat_at(now, request, backend)]
        return candidates or [
            backend
            for backend in self.backends.by_id.values()
            if self.backends.is_usable(backend) and may_repeat_at(now, request, backend)
        ]

    def _warming_backend(
        self, now: float, request: Request, candidates: list[Backend], cost_factors: dict[str, float]
    ) -> Backend | None:
        """Return a warming backend if slow start gives it this request, else None.

        A cold backend fails if all gateways together send it more than it can do. Each gateway sends it a
        share of its own requests: the backend's certain capacity as a ratio of that of all candidates. The
        share is at most half of what overloads a backend under the usual load. With a smaller share, warm
        backends would be overloaded during a release while cold ones are idle.
        """
        for backend in candidates:
            if backend.probe_due_ms <= now and backend.warm_ratio(now) < 1:
                return backend
        ramp = self.recovery_ramp
        is_recovering = ramp.is_active(now)
        if is_recovering:
            backend = self._cheapest(now, request, candidates, cost_factors)
        else:
            backend = self._rng.choice(candidates)
        capacity = sum(candidate.warm_ratio(now) for candidate in candidates)
        share_multiplier = len(candidates) / max(1e-9, capacity)  # higher if many backends are cold
        probability = backend.warm_ratio(now) * min(share_multiplier, self._max_warming_multiplier)
        if is_recovering:
            probability *= ramp.share_multiplier
        if backend.warm_ratio(now) >= 1 or self._rng.random() >= probability:
            return None
        failure_probability = self.outliers.failure_probability(now, backend, request.score_names)
        return backend if failure_probability < MAX_WARMING_FAILURE_PROBABILITY else None

    def _cheapest(
        self, now: float, request: Request, candidates: list[Backend], cost_factors: dict[str, float]
    ) -> Backend:
        """Return a candidate at random; those of low cost are chosen far more often."""
        costs = [
            self._cost(now, backend, request)
            * cost_factors.get(backend.zone, 1.0)
            * self._rng.expovariate(1.0) ** RANDOM_COST_EXPONENT
            for backend in candidates
        ]
        return candidates[costs.index(min(costs))]

    def _cost(self, now: float, backend: Backend, request: Request) -> float:
        """Return the cost of a backend: the expected latency in milliseconds with surcharges.

        The surcharges are for its failure probability and for the attempts in flight there.
        """
        latency_ms = max(1.0, self._latency.mean_ms + self.outliers.slowness_ms(now, backend))
        failure_probability = self.outliers.failure_probability(now, backend, request.score_names)
        return latency_ms * (1 + BACKEND_FAILURE_COST * failure_probability) * (backend.in_flight + 1)

    def _in_open_zones(self, now: float, request: Request, candidates: list[Backend]) -> list[Backend]:
        """Return the candidates in open zones, or others in open zones if there are none.

        A request that may have run can be repeated only at the backends that recognise its idempotency key,
        so it may go even to a zone that is left.
        """
        self.zones.decay_ms = self.outliers.decay_ms()
        self.zones.update_states(now)
        closed = self.routing.closed_zones(now)
        if not closed:
            return candidates
        remaining = [backend for backend in candidates if backend.zone not in closed]
        if remaining:
            return remaining
        other_backends = [
            backend
            for backend in self.backends.by_id.values()
            if backend.zone not in closed
            and self.backends.is_usable(backend)
            and may_repeat_at(now, request, backend)
        ]
        return other_backends or [
            backend
            for backend in candidates
            if request.may_have_run or not self.zones.is_rationed(backend.zone)
        ]

    def _granted_backend(self, now: float, request: Request) -> Backend | None:
        """Return a backend of a zone that the fleet returns to, from this gateway's range of them, or None.

        The fleet's ramp asks the same load of all backends of the zone. A backend that started later than the
        zone's return has less capacity, so a part of its requests goes elsewhere.
        """
        zone = self.routing.granted_zone(now)
        if zone is None or zone.directive is None:
            return None
        candidates = [
            backend
            for backend in self._usable_backends_of(zone.name)
            if may_repeat_at(now, request, backend)
            and self.outliers.failure_probability(now, backend, request.score_names)
            < MAX_WARMING_FAILURE_PROBABILITY
        ]
        if not candidates:
            return None
        directive = zone.directive
        range_position = directive.range_start + directive.range_width * (zone.attempts * GOLDEN_RATIO % 1)
        position = min(len(candidates) - 1, int(range_position * len(candidates)))
        backend = sorted(candidates, key=lambda candidate: candidate.id)[position]
        if self._rng.random() * directive.capacity_ratio > backend.warm_ratio(now):
            return None
        zone.granted_requests -= 1
        return backend

    def _health_check_backend(self, now: float, request: Request) -> Backend | None:
        """Return a backend of a zone whose health check is due, if the request is idempotent, else None."""
        name = self.routing.zone_to_check(now)
        if name is None or request.attempts_made or request.is_streamed:
            return None
        if request.request_class.effect is not api.Effect.IDEMPOTENT:
            return None
        is_directed = self.zones.by_name[name].directive is not None
        candidates = [
            backend
            for backend in self._usable_backends_of(name)
            if backend.warm_ratio(now) >= 1 or is_directed
        ]
        if not candidates:
            return None
        self.zones.schedule_health_check(now, name)
        return self._rng.choice(candidates)

    def _usable_backends_of(self, zone: str) -> list[Backend]:
        return [
            backend
            for backend in self.backends.by_id.values()
            if backend.zone == zone and self.backends.is_usable(backend)
        ]
