"""Which backend gets an attempt: by cost and chance, within what may be repeated, warm-up and zones allow."""

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

# A request is ended so long before it expires; small beside any latency objective.
EXPIRY_MARGIN_MS = 50.0
# How far chance spreads the choice: half the cost is chosen sixteen times as often.
CHANCE_EXPONENT = 0.25
# Turns of any number fall evenly over a range if each goes on by its golden section.
GOLDEN_RATIO = 0.618
MAX_WARMING_FAILURE = 0.5  # a warming backend that fails more gets no share by slow start


def may_repeat_at(now: float, request: Request, backend: Backend) -> bool:
    """Whether a request's next attempt may go to a backend, given what may have run.

    No effect may happen twice. Unsafe work is never sent again once it may have run; keyed work only inside
    the group that recognises the repeat, and a little before that group forgets.
    """
    if backend.id in request.tried_backends:
        return False
    request_class = request.request_class
    if not request.may_have_run or request_class.effect is api.Effect.IDEMPOTENT:
        return True
    first = request.may_have_run[0]
    is_forgotten = now - first.sent_at_ms >= request_class.deduplication_window_ms - EXPIRY_MARGIN_MS
    if request_class.effect is api.Effect.NOT_IDEMPOTENT or is_forgotten:
        return False
    scope = request_class.deduplication_scope
    if scope is api.DeduplicationScope.ALL:
        return True
    is_same_zone = first.backend.zone == backend.zone
    return is_same_zone and (scope is not api.DeduplicationScope.CELL or first.backend.cell == backend.cell)


class BackendSelection:
    """Chooses backends; has no state of its own.

    Attributes:
        backends: The backends and the subset.
        outliers: Their outlier scores.
        zones: The zones' state.
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
        self._max_warming_lift = max(1.0, settings.rules.overload_multiple / 2)

    def pick(self, now: float, request: Request) -> Backend | None:
        """Choose the backend of a request's next attempt, or None: there is none that may have it."""
        candidates = self._candidates(now, request)
        cost_factors: dict[str, float] = {}
        if self.zones.is_multi_zone:
            by_zone = self._health_check(now, request) or self._granted(now, request)
            if by_zone is not None:
                return by_zone
            candidates = self._in_open_zones(now, request, candidates)
            cost_factors = self.routing.cost_factors(now)
        warm = [backend for backend in candidates if backend.warm_ratio(now) >= 1]
        if len(warm) < len(candidates):
            warming = self._warming_backend(now, request, candidates, cost_factors)
            if warming is not None:
                return warming
        return self._cheapest(now, request, warm, cost_factors) if warm else None

    def _candidates(self, now: float, request: Request) -> list[Backend]:
        """Give the backends of the subset that may have a request, else those of all."""
        candidates = [backend for backend in self.backends.subset if may_repeat_at(now, request, backend)]
        return candidates or [
            backend
            for backend in self.backends.by_id.values()
            if self.backends.is_usable(backend) and may_repeat_at(now, request, backend)
        ]

    def _warming_backend(
        self, now: float, request: Request, candidates: list[Backend], cost_factors: dict[str, float]
    ) -> Backend | None:
        """Choose a warming backend where slow start gives it this request.

        Sent more than it can do by all gateways together, a cold backend falls over. Each gateway gives it of
        its own requests what it surely can do of what all can, at most half of what overloads one that the
        usual load reaches. Given less, warm ones would be overloaded in a release while cold ones idle.
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
        share_multiplier = len(candidates) / max(1e-9, capacity)  # more where many are cold
        probability = backend.warm_ratio(now) * min(share_multiplier, self._max_warming_lift)
        if is_recovering:
            probability *= ramp.share_multiplier
        if backend.warm_ratio(now) >= 1 or self._rng.random() >= probability:
            return None
        failure_probability = self.outliers.failure_probability(now, backend, request.score_names)
        return backend if failure_probability < MAX_WARMING_FAILURE else None

    def _cheapest(
        self, now: float, request: Request, candidates: list[Backend], cost_factors: dict[str, float]
    ) -> Backend:
        """Choose by chance, cheap ones far more often."""
        costs = [
            self._cost(now, backend, request)
            * cost_factors.get(backend.zone, 1.0)
            * self._rng.expovariate(1.0) ** CHANCE_EXPONENT
            for backend in candidates
        ]
        return candidates[costs.index(min(costs))]

    def _cost(self, now: float, backend: Backend, request: Request) -> float:
        """Give what an answer should take in ms, with failures and attempts in flight as surcharges."""
        latency_ms = max(1.0, self._latency.mean_ms + self.outliers.slowness_ms(now, backend))
        failure_probability = self.outliers.failure_probability(now, backend, request.score_names)
        return latency_ms * (1 + BACKEND_FAILURE_COST * failure_probability) * (backend.in_flight + 1)

    def _in_open_zones(self, now: float, request: Request, candidates: list[Backend]) -> list[Backend]:
        """Of the candidates, give those in zones that are open.

        Where there are none in the subset it takes others. What may have run may be repeated only within what
        its key covers: it goes even to a zone that is left.
        """
        self.zones.memory_ms = self.outliers.memory_ms()
        self.zones.update_states(now)
        closed = self.routing.closed_zones(now)
        if not closed:
            return candidates
        remaining = [backend for backend in candidates if backend.zone not in closed]
        if remaining:
            return remaining
        others = [
            backend
            for backend in self.backends.by_id.values()
            if backend.zone not in closed
            and self.backends.is_usable(backend)
            and may_repeat_at(now, request, backend)
        ]
        return others or [
            backend
            for backend in candidates
            if request.may_have_run or not self.zones.is_rationed(backend.zone)
        ]

    def _granted(self, now: float, request: Request) -> Backend | None:
        """Choose a backend of a zone that the fleet returns to, in turn of this gateway's own range.

        The recovery ramp asks as much of all backends; one that is younger than the zone's return bears less.
        """
        zone = self.routing.granted_zone(now)
        if zone is None or zone.directive is None:
            return None
        candidates = [
            backend
            for backend in self._usable_of(zone.name)
            if may_repeat_at(now, request, backend)
            and self.outliers.failure_probability(now, backend, request.score_names) < MAX_WARMING_FAILURE
        ]
        if not candidates:
            return None
        directive = zone.directive
        turn = directive.range_start + directive.range_width * (zone.attempts * GOLDEN_RATIO % 1)
        place = min(len(candidates) - 1, int(turn * len(candidates)))
        backend = sorted(candidates, key=lambda one: one.id)[place]
        if self._rng.random() * directive.capacity_ratio > backend.warm_ratio(now):
            return None
        zone.granted -= 1
        return backend

    def _health_check(self, now: float, request: Request) -> Backend | None:
        """Choose a backend of a zone that is left for a request that may be repeated, now and then."""
        name = self.routing.zone_to_check(now)
        if name is None or request.attempts_made or request.is_streamed:
            return None
        if request.request_class.effect is not api.Effect.IDEMPOTENT:
            return None
        is_directed = self.zones.by_name[name].directive is not None
        candidates = [
            backend for backend in self._usable_of(name) if backend.warm_ratio(now) >= 1 or is_directed
        ]
        if not candidates:
            return None
        self.zones.on_checked(now, name)
        return self._rng.choice(candidates)

    def _usable_of(self, zone: str) -> list[Backend]:
        return [
            backend
            for backend in self.backends.by_id.values()
            if backend.zone == zone and self.backends.is_usable(backend)
        ]
