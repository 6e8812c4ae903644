"""What is stored on disk, and when: state records, and spending that is reserved ahead of them.

Pure, as all decisions: it gives records (`PersistRecord`) and is notified which of them are committed
(`RecordsPersisted`). A record shows a customer's buckets as if the next part of its units were spent. That
part is spent from memory once the record is committed, and whoever restarts from the record counts it as
spent, so nothing is ever given twice.
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
    reserved_at_once,
    safe_rate,
)
from switchline.policy.persistence.restore import RestartHistory, check_customer
from switchline.policy.quota.customer import Customer

MAX_RECORD_AGE_MS = 1_000.0  # of a customer in use, of a backend or of the gateway
MAX_CUSTOMER_RECORDS = 4_096
# Restored customers ask the counter again within so long, as a whole fleet may have restarted.
REFRESH_SPREAD_MS = 5_000.0


class DurableState:
    """Owns what customers may spend ahead of the disk, and which records are old. Off, it does nothing.

    Attributes:
        enabled: Whether state is persisted.
        next_write_ms: When records are looked through next.
        reserves: The reserves by customer.
        customer_records: How many customers have a record.
        restarts: What is known of the restarts before.
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
        self._outdated: dict[str, Customer] = {}  # customers whose record shows an old lease
        self._written: dict[str, api.Record] = {}  # the records of the gateway and of backends, by name

    def shortfall(self, now: float, customer: Customer, units: float) -> ReserveShortfall:
        """Give what a customer lacks for a request as the disk lags behind."""
        reserve = self._reserve(customer)
        return NO_SHORTFALL if reserve is None else reserve.shortfall(now, customer.plan, units)

    def spend(self, now: float, customer: Customer, units: float, actions: api.Actions) -> None:
        """Take a request's units from the reserve, and reserve more in time."""
        reserve = self._reserve(customer)
        if reserve is None:
            return
        reserve.spend(units)
        is_due = self._is_low(customer, reserve) or now - reserve.written_ms >= MAX_RECORD_AGE_MS
        if not reserve.pending_serial and is_due:
            self._write_customer(now, customer, reserve, actions)

    def correct(self, customer: Customer, units: float) -> None:
        """Take what a request used beyond its guess: it is spent whatever was reserved."""
        reserve = self._reserve(customer)
        if reserve is not None:
            reserve.units -= units
            reserve.spent_since_write += units
            self._outdated[customer.key] = customer

    def on_lease_renewed(self, customer: Customer) -> None:
        """A customer's lease has changed: its record is written anew at the next look."""
        if self.enabled and is_limited(customer.plan):
            self._outdated[customer.key] = customer

    def on_new_customer(self, now: float, customer: Customer) -> None:
        """Take from a customer without a record what it may have had in incarnations that ended lately."""
        if is_limited(customer.plan):
            self.restarts.limit_new_customer(now, customer, self._max_request_units)

    def delete_customers(self, keys: Iterable[str], actions: api.Actions) -> None:
        """Delete the records of customers that are forgotten."""
        for key in keys:
            reserve = self.reserves.pop(key, None)
            self._outdated.pop(key, None)
            if reserve is not None and reserve.has_record:
                self._uncommitted.pop(reserve.pending_serial, None)
                self.customer_records -= 1
                self._append(api.DeleteRecord(api.RecordKind.CUSTOMER, key), actions)

    def on_committed(self, now: float, serial: int, actions: api.Actions) -> None:
        """All records up to that one are committed."""
        while self._uncommitted and (first := next(iter(self._uncommitted))) <= serial:
            customer = self._uncommitted.pop(first)
            reserve = self.reserves[customer.key]
            reserve.on_committed()
            if self._is_low(customer, reserve):
                self._write_customer(now, customer, reserve, actions)

    def write_changes(self, now: float, state: Mapping[str, api.Record], actions: api.Actions) -> None:
        """Write what has changed since the last look: leases, the gateway and backends (`state`)."""
        for name in self._written.keys() - state.keys():
            self._append(api.DeleteRecord(api.RecordKind.BACKEND, name), actions)
        for name, record in state.items():
            if self._written.get(name) != record:
                self._append(record, actions)
        self._written = dict(state)
        for customer in list(self._outdated.values()):
            reserve = self._reserve(customer)
            if reserve is not None and not reserve.pending_serial:
                self._write_customer(now, customer, reserve, actions)
        self.next_write_ms = now + MAX_RECORD_AGE_MS / 2
        actions.append(api.SetTimer(MAX_RECORD_AGE_MS / 2, api.Timer(api.TimerPurpose.PERSISTENCE)))

    def switch(
        self,
        now: float,
        event: api.PersistenceChanged,
        customers: Mapping[str, Customer],
        state: Mapping[str, api.Record],
        actions: api.Actions,
    ) -> None:
        """Begin to persist, to a file that holds nothing, or stop it.

        Args:
            now: The time in milliseconds.
            event: Whether to begin, and whether nothing more will be spent.
            customers: All customers by key.
            state: The records of the gateway and of backends by name.
            actions: Takes the records.
        """
        if event.final:
            for key, reserve in self.reserves.items():
                if reserve.has_record and key in customers:
                    self._append(customers[key].record(), actions)
        self._reset(event.enabled)
        if not event.enabled:
            return
        for customer in sorted(customers.values(), key=lambda one: -one.filled_at_ms):
            if is_limited(customer.plan):
                reserve = self.reserves[customer.key] = Reserve(0.0, safe_rate(customer))
                self._write_customer(now, customer, reserve, actions)
        self.write_changes(now, state, actions)

    def on_file_found(self, now: float, event: api.StateFileFound, actions: api.Actions) -> None:
        """A state file was found: judge how long the gateway was down."""
        self.restarts = RestartHistory.of_file(now, event)
        if not self.restarts.is_believed:
            down_s = (now - event.last_commit_ms) / 1000
            actions.append(api.LogMessage(f"a downtime of {down_s:.0f} s is not believed"))

    def restore(self, now: float, customer: Customer, written_ms: float) -> None:
        """Give a customer of a record what time has brought it since, as far as that is sure.

        Raises:
            ValueError: A number of the record is out of range.
        """
        check_customer(customer)
        self.restarts.age_customer(now, customer, written_ms)
        customer.next_refresh_ms = now + self._rng.uniform(0, REFRESH_SPREAD_MS)

    def spread_refreshes(self, now: float, customers: Collection[Customer]) -> None:
        """After a power loss of the whole fleet, who has most to spend uncounted asks the counter first."""
        for place, customer in enumerate(sorted(customers, key=lambda one: -one.tokens)):
            turn = place + self._rng.random()
            customer.next_refresh_ms = now + REFRESH_SPREAD_MS * turn / len(customers)

    def _reserve(self, customer: Customer) -> Reserve | None:
        if not self.enabled or not is_limited(customer.plan):
            return None
        reserve = self.reserves.get(customer.key)
        if reserve is None:
            # It has no record: what earlier incarnations let in of it is covered by the restart history.
            units = reserved_at_once(customer, self._max_request_units)
            reserve = self.reserves[customer.key] = Reserve(units, safe_rate(customer))
        return reserve

    def _is_low(self, customer: Customer, reserve: Reserve) -> bool:
        return reserve.units < reserved_at_once(customer, self._max_request_units) / 2

    def _write_customer(self, now: float, customer: Customer, reserve: Reserve, actions: api.Actions) -> None:
        if not reserve.has_record:
            if self.customer_records >= MAX_CUSTOMER_RECORDS:
                reserve.units = 0.0  # beyond the bound, a customer has its safe share
                return
            self.customer_records += 1
        self._outdated.pop(customer.key, None)
        units = max(reserved_at_once(customer, self._max_request_units), reserve.units)
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
        self._outdated.clear()
        self._written.clear()
