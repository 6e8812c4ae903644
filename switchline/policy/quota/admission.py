"""Admission: whether a request is within its customer's limits, and can be answered in time.

The checks come in a fixed order, as some draw random numbers: quota, open requests, load, durable state,
ceiling, load shedding.
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

READING_WEIGHT = 0.1  # of one reading in the admitted ratio
# Of what a quota that is passed leaves: chance finds the bucket of a scattered customer empty at times.
SCATTERED_RATIO = 0.8
# The load ratio from which requests are shed, by how much chance varies it, and by which part it is lower for
# a class of no priority.
SHEDDING_RATIO = 0.55
SHEDDING_JITTER = 0.5
SHEDDING_PRIORITY_SPAN = 0.45
LOW_LOAD_RATIO = 0.1  # under which capacity counts as clearly spare


class Load(NamedTuple):
    """The load that a request meets.

    Attributes:
        expected_ms: The latency that its answer should have.
        ratio: The same, in latency objectives of its class.
    """

    expected_ms: float
    ratio: float

    @property
    def is_low(self) -> bool:
        """Whether capacity is clearly spare."""
        return self.ratio < LOW_LOAD_RATIO


@dataclass(frozen=True, slots=True)
class AdmissionVerdict:
    """What the checks of one request found.

    Attributes:
        missing_units: Units that the quota is short of; 0 or less: none.
        quota_rate_per_s: At which the quota regains them.
        is_over_limit: It is over its quota, open requests or ceiling, and may not use spare capacity.
        is_too_late: Its answer would come too late.
        is_recovering: The whole fleet recovers from a power loss.
        limit: The limit that it is over, or `OVERLOAD`.
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
        """Why the request is rejected, if it is: by the checks, or for want of a backend.

        While the fleet recovers, all that is not over a limit counts as RECOVERY, a lack of backends too.
        """
        if self.is_recovering and not self.is_over_limit:
            return api.RejectionCause.RECOVERY
        return api.RejectionCause.NO_BACKEND if self.is_admitted else self.limit


class QuotaCheck:
    """Compares a request with its customer's lease.

    Attributes:
        admitted_ratio: Of the requests whose quota was read lately, the part that it had capacity for.
    """

    def __init__(self, rng: random.Random, counter: CounterCapacity) -> None:
        self.admitted_ratio = 1.0
        self._rng = rng
        self._counter = counter

    def missing_units(self, customer: Customer, units: float) -> float:
        """Give the units that a customer's quota is short of for a request; 0 or less: none."""
        if self.is_read(customer):
            missing = self._missing_by_reading(customer, units)
            self.admitted_ratio += ((missing <= 0) - self.admitted_ratio) * READING_WEIGHT
            return missing
        if customer.is_very_sparse and self._rng.random() >= self.admitted_ratio**2:
            return units  # admitted without a reading by each of many gateways, it would be served many times
        return units - customer.tokens if customer.plan.rate_per_s else 0.0

    def is_read(self, customer: Customer) -> bool:
        """Whether a sparse quota goes by the last reading of what all gateways have left."""
        return customer.is_sparse and customer.has_valid_reading and customer.plan.rate_per_s > 0

    def rate_per_s(self, customer: Customer) -> float:
        """Give the rate at which the quota of a customer refills: by a reading, that of all gateways."""
        return customer.plan.rate_per_s * (1.0 if self.is_read(customer) else customer.quota_share)

    def _missing_by_reading(self, customer: Customer, units: float) -> float:
        """Past the quota, a fraction of all demand is admitted, by chance."""
        if customer.admit_probability >= 1:
            return units - customer.fleet_remaining_units if customer.admit_probability == 1 else units
        probability = customer.admit_probability
        if customer.is_very_sparse:
            unread_ratio = (1 - self._counter.ratio) * self.admitted_ratio  # admitted beside those read
            probability = (SCATTERED_RATIO * probability - unread_ratio) / self._counter.ratio
        return 0.0 if self._rng.random() < probability else units


class LoadShedding:
    """Decides which requests would be answered too late; a class of higher priority holds out longer."""

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
        self._max_weight = max((one.priority_weight for one in settings.classes), default=1.0)

    def load_of(self, now: float, request: Request) -> Load:
        """Give the load that a request meets."""
        expected_ms = self._load.expected_answer_ms(now)
        return Load(expected_ms, expected_ms / max(request.request_class.latency_objective_ms, 1.0))

    def is_too_late(self, now: float, request: Request, load: Load, is_recovering: bool) -> bool:
        """Whether a request should be rejected early, as its answer would come too late.

        Args:
            now: The time in milliseconds.
            request: The request.
            load: What it meets.
            is_recovering: Whether the whole fleet recovers from a power loss.
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
        """Give how far a class is below the highest priority, up to 1."""
        return 1 - request_class.priority_weight / self._max_weight if self._max_weight else 0.0


def has_too_many_open(customer: Customer) -> bool:
    """Whether one more attempt is over a customer's share of open requests; one is always within it."""
    limit = customer.plan.max_in_flight
    if not limit:
        return False
    in_flight = customer.in_flight + customer.peer_in_flight
    return in_flight + 1 > max(1.0, limit * customer.quota_share)


def is_over_ceiling(customer: Customer, units: float) -> bool:
    """Whether a request is over its customer's ceiling, which is never passed."""
    return bool(customer.plan.ceiling_rate_per_s) and customer.ceiling_tokens < units


def may_use_spare_capacity(plan: api.Plan, load: Load, is_recovering: bool) -> bool:
    """Whether a request over its quota earns more than it costs while capacity is clearly spare."""
    return not is_recovering and load.is_low and plan.overage_revenue > plan.overage_cost


class Admission:
    """Runs all checks of a request.

    Attributes:
        quota: The check of the quota.
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
        has_many_open = has_too_many_open(customer)
        load = self._shedding.load_of(now, request)
        self._retry_budget.earn(load.is_low)
        is_recovering = self._recovery_ramp.is_active(now)
        may_use_spare = may_use_spare_capacity(customer.plan, load, is_recovering)
        reserve = self._durable_state.shortfall(now, customer, units)
        missing_units = max(missing_units, reserve.units)
        over_ceiling = is_over_ceiling(customer, units) or reserve.over_ceiling
        over_quota = missing_units > 0 or has_many_open
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
    """Decides when the client of a rejected request should come back."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._rng = rng
        self._max_retry_after_ms = settings.max_retry_after_ms

    def wait_ms(self, request: Request, verdict: AdmissionVerdict) -> float:
        """Give when a rejected client should come back.

        Where units are missing: once the quota has them. For any other cause, the ceiling too: the usual
        wait, a part of the latency objective.

        While the whole fleet recovers, the waits are spread, so that those rejected don't all come back at
        once.
        """
        wait_ms = initial_loss_timeout_ms(request.request_class.latency_objective_ms)
        if verdict.missing_units > 0:
            wait_ms = verdict.missing_units * 1000 / max(verdict.quota_rate_per_s, 1e-9)
        if verdict.cause is api.RejectionCause.RECOVERY:
            wait_ms = self._rng.uniform(wait_ms, max(wait_ms, self._max_retry_after_ms))
        return wait_ms
