"""Admission: whether a request is within its customer's limits and can be answered in time.

The checks run in a fixed order, because some of them draw random numbers: quota, attempts in flight, load,
durable state, ceiling, load shedding.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from switchline.policy import interface as api
from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.backends.recovery_ramp import RecoveryRamp
from switchline.policy.persistence.durable_state import DurableState
from switchline.policy.quota.counter_capacity import CounterCapacity
from switchline.policy.quota.customer import Customer
from switchline.policy.requests.latency import LatencyEstimate
from switchline.policy.requests.load import LoadEstimate
from switchline.policy.requests.loss_timeout import initial_loss_timeout_ms
from switchline.policy.requests.request import Request
from switchline.policy.requests.retry_budget import RetryBudget

# The weight of one reading in `QuotaCheck.admitted_ratio`, an exponential moving average.
READING_WEIGHT = 0.1
# The share of the admissible units that a very sparse customer uses once its demand is over its quota: its
# bucket is empty at times by chance.
VERY_SPARSE_RATIO = 0.8
# The load ratio above which requests of the highest priority are shed.
SHEDDING_RATIO = 0.55
SHEDDING_JITTER = 0.5  # the largest random increase of that ratio
SHEDDING_PRIORITY_SPAN = 0.45  # the share by which that ratio is lower for a class of priority 0
# Below this load ratio there is spare capacity.
LOW_LOAD_RATIO = 0.1


class Load(NamedTuple):
    """The load at the arrival of a request.

    Attributes:
        expected_ms: The expected latency of its answer.
        ratio: The expected latency as a multiple of the latency objective of its class.
    """

    expected_ms: float
    ratio: float

    @property
    def is_low(self) -> bool:
        """Whether there is clearly spare capacity."""
        return self.ratio < LOW_LOAD_RATIO


@dataclass(frozen=True, slots=True)
class AdmissionVerdict:
    """The result of the checks of one request.

    Attributes:
        missing_units: The units that the quota lacks for the request; 0 or less: none.
        quota_rate_per_s: The rate at which the quota refills, in units per second.
        is_over_limit: Whether it exceeds its quota, its limit of attempts in flight or its ceiling, and may
            not use spare capacity.
        is_too_late: Whether its answer would come too late.
        is_recovering: Whether the whole fleet is recovering from a power loss.
        limit: The limit that it exceeds, or `OVERLOAD`.
    """

    missing_units: float
    quota_rate_per_s: float
    is_over_limit: bool
    is_too_late: bool
    is_recovering: bool
    limit: api.RejectionCause

    @property
    def is_admitted(self) -> bool:
        """Whether the request may be sent if there is a backend for it."""
        return not (self.is_over_limit or self.is_too_late)

    @property
    def cause(self) -> api.RejectionCause:
        """The cause for which the request is rejected, if it is: a failed check or the lack of a backend.

        While the fleet is recovering, the cause of all requests that are not over a limit is RECOVERY, even
        if there is no backend.
        """
        if self.is_recovering and not self.is_over_limit:
            return api.RejectionCause.RECOVERY
        return api.RejectionCause.NO_BACKEND if self.is_admitted else self.limit


class QuotaCheck:
    """Compares a request with its customer's lease.

    Attributes:
        admitted_ratio: The share of the requests with a recent reading for which the quota had enough units.
    """

    def __init__(self, rng: random.Random, counter_capacity: CounterCapacity) -> None:
        self.admitted_ratio = 1.0
        self._rng = rng
        self._counter_capacity = counter_capacity

    def missing_units(self, customer: Customer, units: float) -> float:
        """Return the units that a customer's quota lacks for a request; 0 or less: none."""
        if self.uses_reading(customer):
            missing = self._missing_units_by_reading(customer, units)
            self.admitted_ratio += ((missing <= 0) - self.admitted_ratio) * READING_WEIGHT
            return missing
        if customer.is_very_sparse and self._rng.random() >= self.admitted_ratio**2:
            # If each of many gateways admitted it without a reading, the quota would be spent many times.
            return units
        return units - customer.tokens if customer.plan.rate_per_s else 0.0

    def uses_reading(self, customer: Customer) -> bool:
        """Whether a sparse quota is checked by the last reading of what all gateways have left."""
        return customer.is_sparse and customer.has_valid_reading and customer.plan.rate_per_s > 0

    def rate_per_s(self, customer: Customer) -> float:
        """Return a quota's refill rate in units per second; if checked by a reading, that of all gateways."""
        return customer.plan.rate_per_s * (1.0 if self.uses_reading(customer) else customer.quota_share)

    def _missing_units_by_reading(self, customer: Customer, units: float) -> float:
        """Return the missing units by the last reading; over the quota, admit a random part of requests."""
        if customer.admit_probability >= 1:
            return units - customer.fleet_remaining_units if customer.admit_probability == 1 else units
        probability = customer.admit_probability
        if customer.is_very_sparse:
            # The share of the requests that is admitted without a reading.
            unread_ratio = (1 - self._counter_capacity.ratio) * self.admitted_ratio
            probability = (VERY_SPARSE_RATIO * probability - unread_ratio) / self._counter_capacity.ratio
        return 0.0 if self._rng.random() < probability else units


class LoadShedding:
    """Decides which requests would be answered too late; higher priorities are shed at a higher load."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        load: LoadEstimate,
        recovery_ramp: RecoveryRamp,
        backends: BackendTable,
        latency: LatencyEstimate,
    ) -> None:
        self._rng = rng
        self._load = load
        self._recovery_ramp = recovery_ramp
        self._backends = backends
        self._latency = latency
        self._max_weight = max(
            (request_class.priority_weight for request_class in settings.classes), default=1.0
        )

    def load_of(self, now: float, request: Request) -> Load:
        """Return the load at the arrival of a request."""
        expected_ms = self._load.expected_answer_ms(now)
        return Load(expected_ms, expected_ms / max(request.request_class.latency_objective_ms, 1.0))

    def is_too_late(self, now: float, request: Request, load: Load, is_recovering: bool) -> bool:
        """Return whether a request should be rejected early because its answer would come too late.

        Args:
            now: The time in milliseconds.
            request: The request.
            load: The load at its arrival.
            is_recovering: Whether the whole fleet is recovering from a power loss.
        """
        deficit = self._priority_deficit(request.request_class)
        jitter = SHEDDING_JITTER * self._rng.random() if self._load.has_few_in_flight() else 0.0
        threshold = SHEDDING_RATIO * (1 - SHEDDING_PRIORITY_SPAN * deficit)
        if is_recovering:
            threshold = self._recovery_ramp.shedding_threshold(
                now,
                load_ratio=load.ratio,
                usual_threshold=threshold,
                priority_deficit=deficit,
                warm_ratio=self._backends.warm_ratio(now),
                last_answer_ms=self._latency.answered_at_ms,
            )
        return load.ratio > threshold + jitter or now + load.expected_ms > request.answer_due_ms

    def _priority_deficit(self, request_class: api.RequestClass) -> float:
        """Return how far a class is below the highest priority, from 0 to 1."""
        return 1 - request_class.priority_weight / self._max_weight if self._max_weight else 0.0


def has_too_many_in_flight(customer: Customer) -> bool:
    """Whether one more attempt exceeds a customer's share of its limit in flight; one is always allowed."""
    limit = customer.plan.max_in_flight
    if not limit:
        return False
    in_flight = customer.in_flight + customer.peer_in_flight
    return in_flight + 1 > max(1.0, limit * customer.quota_share)


def is_over_ceiling(customer: Customer, units: float) -> bool:
    """Whether a request is over its customer's ceiling, the hard rate limit."""
    return bool(customer.plan.ceiling_rate_per_s) and customer.ceiling_tokens < units


def may_use_spare_capacity(plan: api.Plan, load: Load, is_recovering: bool) -> bool:
    """Whether a request over its quota may use spare capacity, as it earns more than it costs."""
    return not is_recovering and load.is_low and plan.overage_revenue > plan.overage_cost


class Admission:
    """Runs all admission checks of a request.

    Attributes:
        quota: The check of the customer's quota.
    """

    def __init__(
        self,
        quota: QuotaCheck,
        shedding: LoadShedding,
        recovery_ramp: RecoveryRamp,
        durable_state: DurableState,
        retry_budget: RetryBudget,
    ) -> None:
        self.quota = quota
        self._shedding = shedding
        self._recovery_ramp = recovery_ramp
        self._durable_state = durable_state
        self._retry_budget = retry_budget

    def check(self, now: float, request: Request) -> AdmissionVerdict:
        """Check a request against its customer's limits and the load."""
        customer, units = request.customer, request.units
        quota_rate_per_s = self.quota.rate_per_s(customer)
        missing_units = self.quota.missing_units(customer, units)
        has_many_in_flight = has_too_many_in_flight(customer)
        load = self._shedding.load_of(now, request)
        self._retry_budget.earn(load.is_low)
        is_recovering = self._recovery_ramp.is_active(now)
        may_use_spare = may_use_spare_capacity(customer.plan, load, is_recovering)
        reserve = self._durable_state.shortfall(now, customer, units)
        missing_units = max(missing_units, reserve.units)
        over_ceiling = is_over_ceiling(customer, units) or reserve.over_ceiling
        over_quota = missing_units > 0 or has_many_in_flight
        is_too_late = self._shedding.is_too_late(now, request, load, is_recovering)
        limit = api.RejectionCause.OVERLOAD
        if over_quota:
            limit = api.RejectionCause.QUOTA
        elif over_ceiling:
            limit = api.RejectionCause.CEILING
        return AdmissionVerdict(
            missing_units=missing_units,
            quota_rate_per_s=quota_rate_per_s,
            is_over_limit=over_ceiling or (over_quota and not may_use_spare),
            is_too_late=is_too_late,
            is_recovering=is_recovering,
            limit=limit,
        )


class RetryAfter:
    """Decides when the client of a rejected request should retry."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng = rng
        self._max_retry_after_ms = settings.max_retry_after_ms

    def wait_ms(self, request: Request, verdict: AdmissionVerdict) -> float:
        """Return the time in milliseconds after which a rejected client should retry.

        If units are missing, it is the time until the quota has them. For any other cause, also the ceiling,
        it is the usual wait, a share of the latency objective.

        While the whole fleet is recovering, the waits are random, so that rejected clients don't all retry at
        the same time.
        """
        wait_ms = initial_loss_timeout_ms(request.request_class.latency_objective_ms)
        if verdict.missing_units > 0:
            wait_ms = verdict.missing_units * 1000 / max(verdict.quota_rate_per_s, 1e-9)
        if verdict.cause is api.RejectionCause.RECOVERY:
            wait_ms = self._rng.uniform(wait_ms, max(wait_ms, self._max_retry_after_ms))
        return wait_ms
