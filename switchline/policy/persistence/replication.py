"""Two processes of one gateway, side by side in an upgrade: both spend from the same buckets."""

from __future__ import annotations

from collections.abc import Iterable

from switchline.policy import interface as api
from switchline.policy.quota.customer import Customer

MAX_REPLICATED_CUSTOMERS = 4_096  # that an upgrade passes over, those met last

NOTHING_SPENT: dict[str, float] = {
    "unreported_units": 0.0,
    "tokens": 0.0,
    "units": 0.0,
    "ceiling_tokens": 0.0,
    "in_flight_change": 0,
}


class PeerReplication:
    """Owns whether there is another process of this gateway, and which of the two calls the counter.

    Attributes:
        has_peer: Whether there is another process.
        calls_counter: Whether this one calls the counter: only one does.
    """

    def __init__(self) -> None:
        self.has_peer = False
        self.calls_counter = True

    def on_joined(
        self, state: Iterable[api.Record], customers: Iterable[Customer], actions: api.Actions
    ) -> None:
        """Replicate all state to a new process that takes over; from now on each replicates its spending.

        Two processes with a bucket each would let in everything twice.
        """
        self.has_peer = True
        self.calls_counter = False
        actions.extend(api.Replicate(record) for record in state)
        latest = sorted(customers, key=lambda customer: customer.filled_at_ms)[-MAX_REPLICATED_CUSTOMERS:]
        for customer in latest:
            actions.append(api.Replicate(customer.record()))

    def on_left(self, customers: Iterable[Customer]) -> None:
        """The other process has ended, and its attempts with it."""
        self.has_peer = False
        self.calls_counter = True
        for customer in customers:
            customer.peer_in_flight = 0

    def replicate_request(
        self, customer: Customer, tokens: float, units: float, actions: api.Actions
    ) -> None:
        """Let the other process take an admitted request from its copy of a customer's buckets.

        Args:
            customer: The customer.
            tokens: What the request took from the bucket of the lease.
            units: What it took from those of all gateways and of the ceiling.
            actions: Takes the record.
        """
        if self.has_peer:
            self._replicate(customer, actions, tokens=tokens, units=units, ceiling_tokens=units)

    def replicate_demand(self, customer: Customer, units: float, actions: api.Actions) -> None:
        """Let the other process, which calls the counter, report units that were asked here."""
        if self.has_peer:
            self._replicate(customer, actions, unreported_units=units)

    def replicate_correction(
        self, customer: Customer, units: float, unreported_units: float, actions: api.Actions
    ) -> None:
        """Let the other process take the units that a request used beyond its guess."""
        if self.has_peer:
            self._replicate(customer, actions, unreported_units=unreported_units, tokens=units, units=units)

    def replicate_in_flight_change(self, customer: Customer, change: int, actions: api.Actions) -> None:
        """Let the other process count an attempt that begins (1) or ends (-1) here."""
        if self.has_peer:
            self._replicate(customer, actions, in_flight_change=change)

    def _replicate(self, customer: Customer, actions: api.Actions, **spending: float) -> None:
        """Replicate what was spent: fields of `SpendingRecord`, those left out being 0."""
        taken = {name: spending.get(name, zero) for name, zero in NOTHING_SPENT.items()}
        record = api.SpendingRecord(customer.key, customer.plan.name, customer.even_share, **taken)
        actions.append(api.Replicate(record))
