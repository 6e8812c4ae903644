"""Settings of a gateway's decisions: request classes, plans, safety rules, what the fleet looks like."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether requests of a class may run more than once."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "token"  # idempotent by an idempotency key
    NOT_IDEMPOTENT = "side_effect"


class DeduplicationScope(Enum):
    """The backends that recognise and drop a repeated request with the same idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        name: Its name in requests.
        latency_objective_ms: The latency within which its requests should be answered.
        deadline_ms: The latency after which an answer is worth nothing.
        priority_weight: What a request of the class is worth beside those of the others.
        effect: Whether its requests may run more than once.
        deduplication_scope: The backends among which a keyed request may be repeated.
        deduplication_window_ms: How long those backends remember an idempotency key.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    effect: Effect = Effect.NOT_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What the customers of a plan may use; 0 means no limit.

    Attributes:
        name: Its name in requests.
        rate_per_s: The quota's rate, in units a second over all gateways.
        burst_units: The quota's bucket, in units.
        max_in_flight: Attempts of one customer in flight over all gateways.
        overage_revenue: What a unit beyond the quota earns.
        overage_cost: What a unit beyond the quota costs.
        ceiling_rate_per_s: The rate that is never passed, in units a second.
        ceiling_burst_units: The ceiling's bucket, in units.
    """

    name: str
    rate_per_s: float = 0.0
    burst_units: float = 0.0
    max_in_flight: int = 0
    overage_revenue: float = 0.0
    overage_cost: float = 0.0
    ceiling_rate_per_s: float = 0.0
    ceiling_burst_units: float = 0.0


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """What backends need.

    Attributes:
        drain_grace_ms: How long a draining backend still ends its work; also the pause between polls of the
            endpoint list.
        start_capacity: The part of its capacity that a backend has when it starts.
        warm_up_ms: How long a backend takes to reach its full capacity.
        overload_multiple: The load, in multiples of its capacity, under which a backend fails.
    """

    drain_grace_ms: float
    start_capacity: float
    warm_up_ms: float
    overload_multiple: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway's decisions know from the start.

    Attributes:
        index: This gateway's number among all, from 0.
        gateways: How many gateways the fleet has.
        zone: The zone that this gateway is in.
        classes: The classes of requests.
        plans: The customers' plans.
        rules: What backends need.
        max_attempts: Attempts of one request.
        can_hedge: Whether a request may have two attempts in flight at once.
        can_cancel: Whether an attempt in flight can be cancelled.
        uses_counter: Whether there is a counter service.
        must_watch_endpoint_list: Whether the endpoint list comes only once it is asked for.
        max_retry_after_ms: The longest Retry-After of a rejection.
        counter_call_ms: How long a call to the counter usually takes.
        max_request_units: The units of the largest request.
        cross_zone_price: The price of attempts that cross zones.
        regions: Each zone and its region; none: all zones are of one region.
    """

    index: int
    gateways: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: SafetyRules
    max_attempts: int
    can_hedge: bool = False
    can_cancel: bool = False
    uses_counter: bool = False
    must_watch_endpoint_list: bool = False
    max_retry_after_ms: float = 0.0
    counter_call_ms: float = 0.0
    max_request_units: float = 1.0
    cross_zone_price: float = 0.0
    regions: tuple[tuple[str, str], ...] = ()
