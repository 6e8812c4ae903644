"""Two processes of one gateway, side by side in an upgrade: both spend from the same buckets."""

from __future__ import annotations

from collections.abc import Iterable

from switchline.policy import interface as api
from switchline.policy.quota.customer import Customer

MAX_REPLICATED_CUSTOMERS = 4_096  # that an upgrade passes over, those met last


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

    def replicate_spending(
        self,
        customer: Customer,
        actions: api.Actions,
        *,
        unreported_units: float = 0.0,
        tokens: float = 0.0,
        units: float = 0.0,
        ceiling_tokens: float = 0.0,
        open_attempts: int = 0,
    ) -> None:
        """Let the other process, if there is one, take the same from its copy of a customer's buckets."""
        if self.has_peer:
            record = api.SpendingRecord(
                customer.key,
                customer.plan.name,
                customer.even_share,
                unreported_units,
                tokens,
                units,
                ceiling_tokens,
                open_attempts,
            )
            actions.append(api.Replicate(record))
