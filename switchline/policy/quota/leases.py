"""The leases of customers: filled as time passes, refreshed by calls to the counter, spent locally."""

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
    fill_buckets,
    refresh_interval_ms,
    share_after_period,
    share_reading,
    size_lease,
    take_reading,
)
from switchline.policy.requests.request import NEVER_RAN, Request

SILENCE_MULTIPLE = 5.0  # of a call's usual time: past what the network code waits for an answer
MIN_REPORT_UNITS = 0.01  # an amount of 0 only reads
MIN_FOREIGN_UNITS = 0.1  # demand of others that no rounding makes up
# The front spreads each customer over several gateways: that nobody else was ever seen to ask anything of so
# many customers is no chance.
MAX_CUSTOMERS_ALONE = 8


@dataclass(slots=True)
class PendingCall:
    """A call to the counter that has not been answered.

    Attributes:
        customer: The customer's key.
        period: The counter's period.
        amount: Units that it adds.
        request: The request that waits for it, or "".
    """

    customer: str
    period: int
    amount: float
    request: str


class LeaseKeeper:
    """Owns the calls to the counter and what their replies say of the counter; sizes and fills leases.

    Attributes:
        is_stale: This gateway acts on older data than the fleet: quotas go by the even share, and the
            counter is not called.
        counter: How many refreshes the counter has capacity for.
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
        self._calls: dict[str, deque[PendingCall]] = {}  # by the name of the number, the oldest first
        self._has_seen_others = False  # demand of other gateways was read in a period of this one's
        self._seen_alone: set[str] = set()  # customers of whom a reading showed none

    def fill(self, now: float, customer: Customer) -> None:
        """Fill a customer's buckets; without a live lease the safe capacity is the even share."""
        if now > customer.lease_expires_ms or self.is_stale:
            customer.use_even_share()
        fill_buckets(now, customer, self._settings.max_request_units)

    def refresh(self, now: float, request: Request, actions: api.Actions) -> bool:
        """Add the units asked since the last call, rejected ones too, and so learn of all that were asked.

        Returns:
            Whether the request waits for the reply. A sparse lease is refreshed by the request that needs it:
            a local bucket would be empty, or full of units that a hundred other gateways have too.
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
            # Of a sparse lease, the requests that are counted stand for those that are not.
            customer.unreported_units -= request.units if customer.is_sparse else 0.0
            return False
        amount = max(MIN_REPORT_UNITS, customer.unreported_units)  # corrections may outweigh what was asked
        customer.unreported_units -= amount
        amount /= self.counter_capacity.ratio if customer.is_sparse else 1.0
        customer.next_refresh_ms = now + refresh_interval_ms(customer)
        waiting = request.id if customer.is_sparse else ""
        self._call(customer, int(now // PERIOD_MS), amount, waiting, actions)
        return customer.is_sparse

    def max_reply_wait_ms(self) -> float:
        """Give how long a request waits for the counter at most."""
        return SILENCE_MULTIPLE * self._settings.counter_call_ms

    def correct(self, customer: Customer, units: float, actions: api.Actions) -> None:
        """Take the units that an answer shows a request to have used beyond its guess, here and over all."""
        calls_counter = self._replication.calls_counter
        unreported_units = 0.0 if calls_counter else units
        self._replication.replicate_correction(customer, units, unreported_units, actions)
        customer.unreported_units += units if calls_counter else 0.0
        customer.spent_units += units
        customer.fleet_remaining_units -= units
        customer.tokens -= units
        self._durable_state.correct(customer, units)

    def on_reply(self, now: float, event: api.CounterReplied, actions: api.Actions) -> str:
        """Renew a lease by a reply of the counter; gives the request that waits no longer, or ""."""
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
        customer.has_valid_reading = False  # what others took is not known: the lease's own bucket pays
        if event.outcome in NEVER_RAN:
            customer.unreported_units += call.amount * (ratio if customer.is_sparse else 1.0)
        return call.request

    def _call(
        self, customer: Customer, period: int, amount: float, request: str, actions: api.Actions
    ) -> None:
        digest = hashlib.blake2b(customer.key.encode(), digest_size=16).hexdigest()  # keys may be long
        name = f"{period}:{digest}"
        call = PendingCall(customer.key, period, round(amount, 3), request)
        self._calls.setdefault(name, deque()).append(call)
        actions.append(api.AddToCounter(name, call.amount, 2 * PERIOD_MS))

    def renew(
        self, now: float, customer: Customer, call: PendingCall, total: float, actions: api.Actions
    ) -> bool:
        """Size the lease by the demand that was added, here and by all, and follow what all have left.

        Returns:
            Whether it still waits for how the last period ended.
        """
        max_request_units = self._settings.max_request_units
        self.fill(now, customer)
        self._durable_state.on_lease_renewed(customer)
        customer.lease_expires_ms = now + LEASE_MS
        if not call.amount:  # how the last period ended
            share_after_period(now, customer, total, max_request_units)
            return False
        reading = take_reading(now, customer, call.period, call.amount, total)
        if reading.lost_count:
            return False  # it would look as if nobody had asked for anything
        if self._is_counted_apart(customer, reading.other_units):
            customer.use_even_share()
            customer.next_refresh_ms = now + refresh_interval_ms(customer)
            return False
        size_lease(now, customer, reading)
        if share_reading(now, customer, reading, max_request_units):
            return False
        self._call(customer, call.period - 1, 0.0, call.request, actions)
        return True

    def _is_counted_apart(self, customer: Customer, other_units: float) -> bool:
        """Whether the periods here are not those of the other gateways, as this one's clock is wrong.

        One reading that shows others' demand proves the clock good.
        """
        if other_units >= MIN_FOREIGN_UNITS:
            self._has_seen_others = True
        if self._has_seen_others or customer.even_share >= 1:
            return False
        if len(self._seen_alone) < MAX_CUSTOMERS_ALONE:
            self._seen_alone.add(customer.key)
        return len(self._seen_alone) >= MAX_CUSTOMERS_ALONE
