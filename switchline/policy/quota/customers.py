"""The customers that a gateway knows."""

from __future__ import annotations

from switchline.policy import interface as api
from switchline.policy.persistence.durable_state import DurableState
from switchline.policy.quota.customer import LEASE_MS, Customer

MIN_EVEN_SHARE = 1e-3  # of a customer that another process or the disk reports


class CustomerTable:
    """Owns the customers by their keys, and forgets idle ones.

    Attributes:
        by_key: The customers.
        gateway_created_ms: The time of the gateway's first event, below 0 before it; ceilings fill since.
    """

    def __init__(self, settings: api.Settings, durable_state: DurableState) -> None:
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_key: dict[str, Customer] = {}
        self.gateway_created_ms = -1.0
        self._max_request_units = settings.max_request_units
        self._durable_state = durable_state
        self._idle_checked_ms = 0.0

    def begin(self, now: float) -> None:
        """Begin at the gateway's first event."""
        self.gateway_created_ms = now
        self._idle_checked_ms = now

    def get_or_create(self, now: float, key: str, plan: str, even_share: float) -> Customer:
        """Give a customer; a new one starts with what its gateways' even shares hold."""
        customer = self.by_key.get(key)
        if customer is None:
            known_plan = self.plans.get(plan) or api.Plan(plan)  # an unknown plan has no quota
            customer = Customer(
                key, known_plan, even_share, now, self.gateway_created_ms, self._max_request_units
            )
            self.by_key[key] = customer
            self._durable_state.on_new_customer(now, customer)
        return customer

    def remove_idle(self, now: float, actions: api.Actions) -> None:
        """Forget idle customers and delete their records, once a lease's time."""
        if now - self._idle_checked_ms <= LEASE_MS:
            return
        remaining = {key: customer for key, customer in self.by_key.items() if not customer.is_idle(now)}
        forgotten = [key for key in self.by_key if key not in remaining]
        self._durable_state.delete_customers(forgotten, actions)
        self.by_key = remaining
        self._idle_checked_ms = now

    def remove(self, key: str) -> None:
        """Forget one customer."""
        del self.by_key[key]
