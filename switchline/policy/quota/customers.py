"""The table of the customers of a gateway."""

from __future__ import annotations

from switchline.policy import interface as api
from switchline.policy.persistence.durable_state import DurableState
from switchline.policy.quota.customer import LEASE_MS, Customer

# The smallest even share that is accepted from a record of another process or from disk.
MIN_EVEN_SHARE = 1e-3


class CustomerTable:
    """Owns the customers, and removes idle ones.

    Attributes:
        plans: The plans by name.
        by_key: The customers by key.
        gateway_created_ms: The time of the gateway's first event, when ceilings begin to fill; below 0
            before it.
    """

    def __init__(self, settings: api.Settings, durable_state: DurableState) -> None:
        self.plans = {plan.name: plan for plan in settings.plans}
        self.by_key: dict[str, Customer] = {}
        self.gateway_created_ms = -1.0
        self._settings = settings
        self._durable_state = durable_state
        self._idle_checked_ms = 0.0

    def begin(self, now: float) -> None:
        """Set the time of the gateway's first event."""
        self.gateway_created_ms = now
        self._idle_checked_ms = now

    def get_or_create(self, now: float, key: str, plan: str, even_share: float) -> Customer:
        """Return a customer; a new one starts with the even share of its gateways."""
        customer = self.by_key.get(key)
        if customer is None:
            known_plan = self.plans.get(plan) or api.Plan(plan)  # an unknown plan has no quota
            customer = Customer(key, known_plan, even_share, now, self.gateway_created_ms, self._settings)
            self.by_key[key] = customer
            self._durable_state.on_new_customer(now, customer)
        return customer

    def remove_idle(self, now: float, actions: api.Actions) -> None:
        """Remove idle customers and delete their records, at most once in `LEASE_MS`."""
        if now - self._idle_checked_ms <= LEASE_MS:
            return
        remaining = {key: customer for key, customer in self.by_key.items() if not customer.is_idle(now)}
        removed_keys = [key for key in self.by_key if key not in remaining]
        self._durable_state.delete_customers(removed_keys, actions)
        self.by_key = remaining
        self._idle_checked_ms = now

    def remove(self, key: str) -> None:
        """Remove one customer. Raises KeyError if it is not in the table."""
        del self.by_key[key]
