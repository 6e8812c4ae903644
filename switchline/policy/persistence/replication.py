"""Replication between the two processes of a gateway during an upgrade, as both spend the same quotas."""

from __future__ import annotations

from collections.abc import Iterable

from switchline.policy import interface as api
from switchline.policy.quota.customer import Customer

# An upgrade replicates at most this many customers, those with the latest requests.
MAX_REPLICATED_CUSTOMERS = 4_096

NOTHING_SPENT: dict[str, float] = {
    "unreported_units": 0.0,
    "tokens": 0.0,
    "units": 0.0,
    "ceiling_tokens": 0.0,
    "in_flight_change": 0,
}


class PeerReplication:
    """Holds whether there is another process of this gateway, and which of the two calls the counter.

    Attributes:
        has_peer: Whether there is another process.
        calls_counter: Whether this process calls the counter; only one of the two does.
    """

    def __init__(self) -> None:
        self.has_peer = False
        self.calls_counter = True

    def on_joined(
        self, state: Iterable[api.Record], customers: Iterable[Customer], actions: api.Actions
    ) -> None:
        """Replicate all state to a new process that takes over, and from now on the spending too.

        Without replication, each of the two processes would admit a customer's whole quota.

        Args:
            state: The records of the gateway and of backends.
            customers: All customers.
            actions: Receives the records.
        """
        self.has_peer = True
        self.calls_counter = False
        actions.extend(api.Replicate(record) for record in state)
        latest_customers = sorted(customers, key=lambda customer: customer.filled_at_ms)[
            -MAX_REPLICATED_CUSTOMERS:
        ]
        for customer in latest_customers:
            actions.append(api.Replicate(customer.record()))

    def on_left(self, customers: Iterable[Customer]) -> None:
        """Handle the end of the other process: its attempts have ended too."""
        self.has_peer = False
        self.calls_counter = True
        for customer in customers:
            customer.peer_in_flight = 0

    def replicate_request(
        self, customer: Customer, tokens: float, units: float, actions: api.Actions
    ) -> None:
        """Replicate an admitted request, for the other process to take from its copy of the buckets.

        Args:
            customer: The customer.
            tokens: Units that the request took from the bucket of the lease.
            units: Units that it took from the buckets of all gateways and of the ceiling.
            actions: Receives the record.
        """
        if self.has_peer:
            self._replicate(customer, actions, tokens=tokens, units=units, ceiling_tokens=units)

    def replicate_demand(self, customer: Customer, units: float, actions: api.Actions) -> None:
        """Replicate units that were requested here, for the other process to report to the counter."""
        if self.has_peer:
            self._replicate(customer, actions, unreported_units=units)

    def replicate_correction(
        self, customer: Customer, units: float, unreported_units: float, actions: api.Actions
    ) -> None:
        """Replicate the units that a request used beyond its estimate."""
        if self.has_peer:
            self._replicate(customer, actions, unreported_units=unreported_units, tokens=units, units=units)

    def replicate_in_flight_change(self, customer: Customer, change: int, actions: api.Actions) -> None:
        """Replicate the begin (1) or the end (-1) of an attempt."""
        if self.has_peer:
            self._replicate(customer, actions, in_flight_change=change)

    def _replicate(self, customer: Customer, actions: api.Actions, **spending: float) -> None:
        """Replicate spending, given as fields of `SpendingRecord`; fields that are left out are 0."""
        amounts = {name: spending.get(name, zero) for name, zero in NOTHING_SPENT.items()}
        record = api.SpendingRecord(customer.key, customer.plan.name, customer.even_share, **amounts)
        actions.append(api.Replicate(record))
