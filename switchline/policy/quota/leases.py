"""The leases of customers: they refill with time, are refreshed by counter calls and are spent locally."""

from __future__ import annotations

import hashlib
import random
from collections import deque
from dataclasses import dataclass

from switchline.policy import interface as api
from switchline.policy.persistence.durable_state import DurableState
from switchline.policy.persistence.replication import PeerReplication
from switchline.policy.quota.counter_capacity import CounterCapacity
from switchline.policy.quota.customer import LEASE_MS, Customer
from switchline.policy.quota.customers import CustomerTable
from switchline.policy.quota.lease_sizing import (
    PERIOD_MS,
    apply_final_total,
    apply_reading,
    complete_ceiling_demand,
    fill_buckets,
    refresh_interval_ms,
    size_lease,
    take_reading,
)
from switchline.policy.requests.request import NEVER_RAN, Request

# The longest wait for a reply, as a multiple of a call's usual duration; it is longer than the timeout of the
# network code.
REPLY_WAIT_MULTIPLE = 5.0
MIN_REPORT_UNITS = 0.01  # the smallest amount to add, as an amount of 0 only reads
MIN_FOREIGN_UNITS = 0.1  # the smallest demand of other gateways that can't come from rounding
# Each customer's requests are distributed over several gateways. If no demand of other gateways was ever read
# for this many customers, that is not by chance.
MAX_CUSTOMERS_ALONE = 8


@dataclass(slots=True)
class PendingCall:
    """A call to the counter that has not been answered.

    Attributes:
        customer: The customer's key.
        period: The counter's period.
        amount: The units that it adds; 0 only reads.
        request: The identifier of the request that waits for the reply, or "".
    """

    customer: str
    period: int
    amount: float
    request: str


class LeaseKeeper:
    """Owns the calls to the counter and the estimate of its capacity; sizes and refills leases.

    Attributes:
        is_stale: Whether this gateway's data are older than the fleet's; then it uses even shares of
            quotas and does not call the counter.
        counter_capacity: The share of refreshes for which the counter has capacity.
    """

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        customers: CustomerTable,
        durable_state: DurableState,
        replication: PeerReplication,
    ) -> None:
        self.is_stale = False
        self.counter_capacity = CounterCapacity()
        self._settings = settings
        self._rng = rng
        self._customers = customers
        self._durable_state = durable_state
        self._replication = replication
        self._calls: dict[str, deque[PendingCall]] = {}  # by the counter's name, the oldest call first
        self._has_seen_others = False  # whether demand of other gateways was ever read
        self._customers_alone: set[str] = set()  # keys of customers without demand of others in a reading

    def fill(self, now: float, customer: Customer) -> None:
        """Refill a customer's buckets, at the even share of its quota once its lease has expired.

        The even shares of the customer's gateways add up to its quota, so they are safe without a reading.
        """
        if now > customer.lease_expires_ms or self.is_stale:
            customer.use_even_share()
        fill_buckets(now, customer, self._settings.max_request_units)

    def refresh(self, now: float, request: Request, actions: api.Actions) -> bool:
        """Report the units requested since the last call, also rejected ones, and so read all demand.

        Returns:
            Whether the request waits for the reply. A sparse lease is refreshed by the request that needs it:
            a local bucket would be empty, or full of units that a hundred other gateways count as theirs too.
        """
        customer = request.customer
        if not self._replication.calls_counter:
            self._replication.replicate_demand(customer, request.units, actions)
            return False
        customer.unreported_units += 0.0 if self.is_stale else request.units
        if now < customer.next_refresh_ms or self.is_stale:
            return False
        if not self._settings.uses_counter or not customer.plan.rate_per_s:
            return False
        if self._rng.random() > self.counter_capacity.ratio:
            # For a sparse lease, the requests that are reported are scaled up for those that are not.
            customer.unreported_units -= request.units if customer.is_sparse else 0.0
            return False
        # Corrections may exceed the requested units and make the sum negative.
        amount = max(MIN_REPORT_UNITS, customer.unreported_units)
        customer.unreported_units -= amount
        amount /= self.counter_capacity.ratio if customer.is_sparse else 1.0
        customer.next_refresh_ms = now + refresh_interval_ms(customer)
        waiting = request.id if customer.is_sparse else ""
        self._call(customer, int(now // PERIOD_MS), amount, waiting, actions)
        return customer.is_sparse

    def max_reply_wait_ms(self) -> float:
        """Return the longest time in milliseconds that a request waits for the counter."""
        return REPLY_WAIT_MULTIPLE * self._settings.counter_call_ms

    def correct(self, customer: Customer, units: float, actions: api.Actions) -> None:
        """Take off the units that a request used beyond its estimate, here and for all gateways."""
        calls_counter = self._replication.calls_counter
        unreported_units = 0.0 if calls_counter else units
        self._replication.replicate_correction(customer, units, unreported_units, actions)
        customer.unreported_units += units if calls_counter else 0.0
        customer.spent_units += units
        customer.fleet_remaining_units -= units
        customer.tokens -= units
        self._durable_state.correct(customer, units)

    def on_reply(self, now: float, event: api.CounterReplied, actions: api.Actions) -> str:
        """Renew a lease by a reply of the counter; return the request that no longer waits, or ""."""
        calls = self._calls.get(event.name)
        if not calls:
            return ""
        call = calls.popleft()
        if not calls:
            del self._calls[event.name]
        is_ok = event.outcome is api.Outcome.OK
        ratio = self.counter_capacity.ratio  # before this reply
        self.counter_capacity.on_reply(event.outcome)
        customer = self._customers.by_key.get(call.customer)
        if customer is None:
            return call.request
        if is_ok:
            waits = self.renew(now, customer, call, event.total, actions)
            return "" if waits else call.request
        customer.has_valid_reading = False  # the demand of others is unknown: use the lease's own bucket
        if event.outcome in NEVER_RAN:
            customer.unreported_units += call.amount * (ratio if customer.is_sparse else 1.0)
        return call.request

    def _call(
        self, customer: Customer, period: int, amount: float, request: str, actions: api.Actions
    ) -> None:
        # A digest bounds the length of the name, as keys may be long.
        digest = hashlib.blake2b(customer.key.encode(), digest_size=16).hexdigest()
        name = f"{period}:{digest}"
        call = PendingCall(customer.key, period, round(amount, 3), request)
        self._calls.setdefault(name, deque()).append(call)
        actions.append(api.AddToCounter(name, call.amount, 2 * PERIOD_MS))

    def renew(
        self, now: float, customer: Customer, call: PendingCall, total: float, actions: api.Actions
    ) -> bool:
        """Size the lease by the demand here and at all gateways, and update what all have left.

        Returns:
            Whether it still waits for the final total of the last period.
        """
        max_request_units = self._settings.max_request_units
        self.fill(now, customer)
        self._durable_state.on_lease_renewed(customer)
        customer.lease_expires_ms = now + LEASE_MS
        if not call.amount:  # it has read the final total of the last period
            if call.period == customer.period - 1:
                complete_ceiling_demand(now, customer, total)
            apply_final_total(now, customer, total, max_request_units)
            return False
        reading = take_reading(now, customer, call.period, call.amount, total)
        if reading.lost_count:
            return False  # the reading would look as if there had been no demand
        if self._has_wrong_period(customer, reading.other_units):
            customer.use_even_share()
            customer.next_refresh_ms = now + refresh_interval_ms(customer)
            return False
        size_lease(now, customer, reading)
        is_sufficient = apply_reading(now, customer, reading, max_request_units)
        needs_final_total = customer.plan.ceiling_rate_per_s > 0 and not customer.ceiling_demand.is_complete
        if needs_final_total or not is_sufficient:
            waiting = "" if is_sufficient else call.request
            self._call(customer, call.period - 1, 0.0, waiting, actions)
        return not is_sufficient

    def _has_wrong_period(self, customer: Customer, other_units: float) -> bool:
        """Whether this gateway uses other periods than the rest, because its clock is wrong.

        One reading that shows demand of others proves the clock right.
        """
        if other_units >= MIN_FOREIGN_UNITS:
            self._has_seen_others = True
        if self._has_seen_others or customer.even_share >= 1:
            return False
        if len(self._customers_alone) < MAX_CUSTOMERS_ALONE:
            self._customers_alone.add(customer.key)
        return len(self._customers_alone) >= MAX_CUSTOMERS_ALONE
