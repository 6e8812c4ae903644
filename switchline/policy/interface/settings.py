"""Settings of the policy: request classes, plans, safety rules for backends and the size of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether requests of a class may run more than once."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "token"  # safe to repeat with the same idempotency key
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
        priority_weight: The value of a request of the class, relative to those of the other classes.
        effect: Whether its requests may run more than once.
        deduplication_scope: The backends among which a request with an idempotency key may be repeated.
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
    """The limits of each customer of a plan; 0 means no limit.

    Attributes:
        name: Its name in requests.
        rate_per_s: The rate of the quota over all gateways, in units per second.
        burst_units: The size of the quota's bucket, in units.
        max_in_flight: The limit of one customer's attempts in flight over all gateways.
        overage_revenue: The revenue of a unit beyond the quota.
        overage_cost: The cost of a unit beyond the quota.
        ceiling_rate_per_s: The hard rate limit, in units per second.
        ceiling_burst_units: The size of the ceiling's bucket, in units.
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
    """Limits that protect backends from overload and from a loss of work.

    Attributes:
        drain_grace_ms: How long a draining backend continues its work; also the delay between polls of the
            endpoint list.
        start_capacity: The capacity of a backend that has just started, as a ratio of its full capacity.
        warm_up_ms: The time that a backend takes to reach its full capacity.
        overload_multiple: The load at which a backend fails, as a multiple of its capacity.
    """

    drain_grace_ms: float
    start_capacity: float
    warm_up_ms: float
    overload_multiple: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that the policy of a gateway is given at its start.

    Attributes:
        index: The index of this gateway among all, from 0.
        gateways: The number of gateways in the fleet.
        zone: The zone in which this gateway runs.
        classes: The classes of requests.
        plans: The customers' plans.
        rules: The limits that protect backends.
        max_attempts: The largest number of attempts of one request.
        can_hedge: Whether a request may have two attempts in flight at once.
        can_cancel: Whether an attempt in flight can be cancelled.
        uses_counter: Whether there is a counter service.
        must_watch_endpoint_list: Whether the endpoint list is sent only after a `WatchEndpointList`.
        max_retry_after_ms: The longest Retry-After of a rejection.
        counter_call_ms: The usual duration of a call to the counter.
        max_request_units: The units of the largest request.
        cross_zone_price: The price of an attempt at a backend in another zone.
        regions: Each zone and its region; empty: all zones are in one region.
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
