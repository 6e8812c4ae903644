"""The table of the customers of a gateway."""

from __future__ import annotations

import heapq
import itertools

from switchline.policy import interface as api
from switchline.policy.persistence.durable_state import MAX_CUSTOMER_RECORDS, DurableState
from switchline.policy.quota.customer import LEASE_MS, Customer

# The smallest even share that is accepted from a record of another process or from disk.
MIN_EVEN_SHARE = 1e-3
# Beyond this number, customers are removed before they are idle: a client can name ever new ones.
REMOVED_AT_ONCE = 64
MAX_CUSTOMERS = MAX_CUSTOMER_RECORDS + REMOVED_AT_ONCE


class CustomerTable:
    """Owns the customers, and removes idle ones, or others if there are too many.

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
        self._seen_once: dict[str, None] = {}  # keys of customers that have been asked for once, oldest first
        # From then on, new customers may be removed ones that have spent a part of their ceiling.
        self._forgotten_at_ms = -1.0

    def begin(self, now: float) -> None:
        """Set the time of the gateway's first event."""
        self.gateway_created_ms = now
        self._idle_checked_ms = now

    def get_or_create(self, now: float, key: str, plan: str, even_share: float) -> Customer:
        """Return a customer; a new one starts with the even share of its gateways."""
        customer = self.by_key.get(key)
        if customer is None:
            known_plan = self.plans.get(plan) or api.Plan(plan)  # an unknown plan has no quota
            known_since_ms = max(self.gateway_created_ms, self._forgotten_at_ms)
            customer = Customer(key, known_plan, even_share, now, known_since_ms, self._settings)
            self.by_key[key] = customer
            self._seen_once[key] = None
            self._durable_state.on_new_customer(now, customer)
        else:
            self._seen_once.pop(key, None)
        return customer

    def make_room(self, now: float, actions: api.Actions) -> None:
        """Remove some customers if there is no room for a new one.

        Those that were asked for once go first, then those that were not asked for longest. A customer with
        attempts in flight is not removed.
        """
        if len(self.by_key) < MAX_CUSTOMERS:
            return
        seen_once = (self.by_key[key] for key in self._seen_once if not self.by_key[key].in_flight)
        removed = list(itertools.islice(seen_once, REMOVED_AT_ONCE))
        if len(removed) < REMOVED_AT_ONCE:
            others = (
                customer
                for customer in self.by_key.values()
                if not customer.in_flight and customer.key not in self._seen_once
            )
            missing_count = REMOVED_AT_ONCE - len(removed)
            removed += heapq.nsmallest(missing_count, others, key=lambda customer: customer.filled_at_ms)
        if any(customer.plan.ceiling_rate_per_s for customer in removed):
            self._forgotten_at_ms = now
        removed_keys = [customer.key for customer in removed]
        self._durable_state.delete_customers(removed_keys, actions)
        for key in removed_keys:
            self.remove(key)

    def remove_idle(self, now: float, actions: api.Actions) -> None:
        """Remove idle customers and delete their records, at most once in `LEASE_MS`."""
        if now - self._idle_checked_ms <= LEASE_MS:
            return
        remaining = {key: customer for key, customer in self.by_key.items() if not customer.is_idle(now)}
        removed_keys = [key for key in self.by_key if key not in remaining]
        self._durable_state.delete_customers(removed_keys, actions)
        self.by_key = remaining
        for key in removed_keys:
            self._seen_once.pop(key, None)
        self._idle_checked_ms = now

    def remove(self, key: str) -> None:
        """Remove one customer. Raises KeyError if it is not in the table."""
        del self.by_key[key]
        self._seen_once.pop(key, None)
