"""Decides which state records are stored on disk and when, and how much customers may spend ahead of them.

It does no I/O: it appends records to the actions (`PersistRecord`) and is notified which of them are
committed (`RecordsPersisted`). The record of a customer counts its reserve, the next units, as spent already.
The reserve may be spent without a further write once the record is committed. A process that restarts from
the record counts the reserve as spent, so no units are granted twice.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping

from switchline.policy import interface as api
from switchline.policy.persistence.reserve import (
    NO_SHORTFALL,
    Reserve,
    ReserveShortfall,
    is_limited,
    reserve_size_units,
    safe_rate,
)
from switchline.policy.persistence.restore import RestartHistory, check_customer
from switchline.policy.quota.customer import Customer

# Maximum age of the record of a customer in use, of a backend or of the gateway.
MAX_RECORD_AGE_MS = 1_000.0
MAX_CUSTOMER_RECORDS = 4_096
# The counter calls for restored customers are spread over this time, as a whole fleet may have restarted.
REFRESH_SPREAD_MS = 5_000.0


class DurableState:
    """Holds the reserves of customers and which records are outdated. It does nothing while it is disabled.

    Attributes:
        enabled: Whether state is persisted.
        next_write_ms: Time of the next write of changed records, in milliseconds.
        reserves: The reserves by the key of the customer.
        customer_records: Number of customers that have a record.
        restarts: What the state file shows of earlier incarnations.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.enabled = False
        self.next_write_ms = math.inf
        self.reserves: dict[str, Reserve] = {}
        self.customer_records = 0
        self.restarts = RestartHistory()
        self._rng = rng
        self._max_request_units = settings.max_request_units
        self._serial = 0
        self._uncommitted: dict[int, Customer] = {}  # by the serial number of their record
        # Customers whose record shows a lease that is no longer valid.
        self._outdated_customers: dict[str, Customer] = {}
        # The last written records of the gateway and of backends, by name.
        self._written_records: dict[str, api.Record] = {}

    def shortfall(self, now: float, customer: Customer, units: float) -> ReserveShortfall:
        """Return what a customer lacks for a request because its next record is not committed yet."""
        reserve = self._reserve(customer)
        return NO_SHORTFALL if reserve is None else reserve.shortfall(now, customer.plan, units)

    def spend(self, now: float, customer: Customer, units: float, actions: api.Actions) -> None:
        """Take a request's units from the reserve, and write a new record if it is low or the record old."""
        reserve = self._reserve(customer)
        if reserve is None:
            return
        reserve.spend(units)
        is_due = self._is_low(customer, reserve) or now - reserve.written_ms >= MAX_RECORD_AGE_MS
        if not reserve.pending_serial and is_due:
            self._write_customer(now, customer, reserve, actions)

    def correct(self, customer: Customer, units: float) -> None:
        """Take the units that a request used beyond its estimate; they are spent whatever was reserved."""
        reserve = self._reserve(customer)
        if reserve is not None:
            reserve.units -= units
            reserve.spent_since_write += units
            self._outdated_customers[customer.key] = customer

    def on_lease_renewed(self, customer: Customer) -> None:
        """Mark a customer's record as outdated after a change of its lease: the next write replaces it."""
        if self.enabled and is_limited(customer.plan):
            self._outdated_customers[customer.key] = customer

    def on_new_customer(self, now: float, customer: Customer) -> None:
        """Take from a customer without a record what it may have spent in recent incarnations."""
        if is_limited(customer.plan):
            self.restarts.limit_new_customer(now, customer, self._max_request_units)

    def delete_customers(self, keys: Iterable[str], actions: api.Actions) -> None:
        """Delete the records of customers that the gateway has removed."""
        for key in keys:
            reserve = self.reserves.pop(key, None)
            self._outdated_customers.pop(key, None)
            if reserve is not None and reserve.has_record:
                self._uncommitted.pop(reserve.pending_serial, None)
                self.customer_records -= 1
                self._append(api.DeleteRecord(api.RecordKind.CUSTOMER, key), actions)

    def on_committed(self, now: float, serial: int, actions: api.Actions) -> None:
        """Handle the commit of all records up to a serial number."""
        while self._uncommitted and (first_serial := next(iter(self._uncommitted))) <= serial:
            customer = self._uncommitted.pop(first_serial)
            reserve = self.reserves[customer.key]
            reserve.on_committed()
            if self._is_low(customer, reserve):
                self._write_customer(now, customer, reserve, actions)

    def write_changes(self, now: float, state: Mapping[str, api.Record], actions: api.Actions) -> None:
        """Write the records that changed since the last write: customers, the gateway and backends.

        Args:
            now: The time in milliseconds.
            state: The records of the gateway and of backends by name.
            actions: Receives the records and the timer of the next write.
        """
        for name in self._written_records.keys() - state.keys():
            self._append(api.DeleteRecord(api.RecordKind.BACKEND, name), actions)
        for name, record in state.items():
            if self._written_records.get(name) != record:
                self._append(record, actions)
        self._written_records = dict(state)
        for customer in list(self._outdated_customers.values()):
            reserve = self._reserve(customer)
            if reserve is not None and not reserve.pending_serial:
                self._write_customer(now, customer, reserve, actions)
        self.next_write_ms = now + MAX_RECORD_AGE_MS / 2
        actions.append(api.SetTimer(MAX_RECORD_AGE_MS / 2, api.Timer(api.TimerPurpose.PERSISTENCE)))

    def on_persistence_changed(
        self,
        now: float,
        event: api.PersistenceChanged,
        customers: Mapping[str, Customer],
        state: Mapping[str, api.Record],
        actions: api.Actions,
    ) -> None:
        """Begin to persist state to an empty file, or stop.

        Args:
            now: The time in milliseconds.
            event: Whether to begin, and whether nothing more will be spent.
            customers: All customers by key.
            state: The records of the gateway and of backends by name.
            actions: Receives the records.
        """
        if event.final:
            for key, reserve in self.reserves.items():
                if reserve.has_record and key in customers:
                    self._append(customers[key].record(), actions)
        self._reset(event.enabled)
        if not event.enabled:
            return
        for customer in sorted(customers.values(), key=lambda customer: -customer.filled_at_ms):
            if is_limited(customer.plan):
                reserve = self.reserves[customer.key] = Reserve(0.0, safe_rate(customer))
                self._write_customer(now, customer, reserve, actions)
        self.write_changes(now, state, actions)

    def on_file_found(self, now: float, event: api.StateFileFound, actions: api.Actions) -> None:
        """Check whether the downtime that a state file shows is plausible, and log if it is not."""
        self.restarts = RestartHistory.from_state_file(now, event)
        if not self.restarts.is_trusted:
            down_s = (now - event.last_commit_ms) / 1000
            actions.append(api.LogMessage(f"a downtime of {down_s:.0f} s is not believed"))

    def restore(self, now: float, customer: Customer, written_ms: float) -> None:
        """Restore a customer from its record, with the units that it certainly gained since.

        Args:
            now: The time in milliseconds.
            customer: The customer, loaded from its record.
            written_ms: Time at which the record was written, in milliseconds.

        Raises:
            ValueError: A number of the record is out of range.
        """
        check_customer(customer)
        self.restarts.adjust_restored_customer(now, customer, written_ms)
        customer.next_refresh_ms = now + self._rng.uniform(0, REFRESH_SPREAD_MS)

    def spread_refreshes(self, now: float, customers: Collection[Customer]) -> None:
        """Spread the counter calls of customers over time after a power loss of the whole fleet.

        Customers with the most units to spend before a counter call come first.
        """
        for position, customer in enumerate(sorted(customers, key=lambda customer: -customer.tokens)):
            slot = position + self._rng.random()
            customer.next_refresh_ms = now + REFRESH_SPREAD_MS * slot / len(customers)

    def _reserve(self, customer: Customer) -> Reserve | None:
        if not self.enabled or not is_limited(customer.plan):
            return None
        reserve = self.reserves.get(customer.key)
        if reserve is None:
            # Without a record: what it spent in earlier incarnations is covered by the restart history.
            units = reserve_size_units(customer, self._max_request_units)
            reserve = self.reserves[customer.key] = Reserve(units, safe_rate(customer))
        return reserve

    def _is_low(self, customer: Customer, reserve: Reserve) -> bool:
        return reserve.units < reserve_size_units(customer, self._max_request_units) / 2

    def _write_customer(self, now: float, customer: Customer, reserve: Reserve, actions: api.Actions) -> None:
        if not reserve.has_record:
            if self.customer_records >= MAX_CUSTOMER_RECORDS:
                reserve.units = 0.0  # beyond the limit of records, a customer may spend only at its safe rate
                return
            self.customer_records += 1
        self._outdated_customers.pop(customer.key, None)
        units = max(reserve_size_units(customer, self._max_request_units), reserve.units)
        reserve.on_written(now, units, safe_rate(customer))
        reserve.pending_serial = self._append(customer.record(units), actions)
        self._uncommitted[reserve.pending_serial] = customer

    def _append(self, record: api.Record, actions: api.Actions) -> int:
        self._serial += 1
        actions.append(api.PersistRecord(self._serial, record))
        return self._serial

    def _reset(self, enabled: bool) -> None:
        self.enabled = enabled
        self.next_write_ms = math.inf
        self.customer_records = 0
        self.reserves.clear()
        self._uncommitted.clear()
        self._outdated_customers.clear()
        self._written_records.clear()
