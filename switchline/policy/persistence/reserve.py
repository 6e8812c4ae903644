"""Spending ahead of the disk: what one customer may spend before its next record is committed."""

from __future__ import annotations

import math
from typing import NamedTuple

from switchline.policy import interface as api
from switchline.policy.quota.customer import Customer

# Reserved at a time: this part of a burst, or what this time brings if that is more.
RESERVED_RATIO = 0.25
RESERVED_MS = 100.0


class SafeRate(NamedTuple):
    """Units a second that may be spent without a reserve."""

    quota: float
    ceiling: float


class ReserveShortfall(NamedTuple):
    """What the reserve lacks for a request: units of the quota, and whether the ceiling has none either."""

    units: float
    over_ceiling: bool


NO_SHORTFALL = ReserveShortfall(0.0, False)


def is_limited(plan: api.Plan) -> bool:
    """Whether a plan has a quota or a ceiling to keep."""
    return bool(plan.rate_per_s or plan.ceiling_rate_per_s)


def reserved_at_once(customer: Customer, max_request_units: float) -> float:
    """Units of a customer that are reserved at a time: a part of its bucket, at least one request."""
    plan = customer.plan
    if plan.rate_per_s:
        burst = plan.burst_units * customer.quota_share
        rate = plan.rate_per_s * customer.quota_share
    else:
        burst = plan.ceiling_burst_units * customer.ceiling_share
        rate = plan.ceiling_rate_per_s * customer.ceiling_share
    return max(max_request_units, burst * RESERVED_RATIO, rate * RESERVED_MS / 1000)


def safe_rate(customer: Customer) -> SafeRate:
    """Give a customer's safe share of its rates, without a burst."""
    return SafeRate(
        customer.plan.rate_per_s * min(customer.quota_share, customer.even_share),
        customer.plan.ceiling_rate_per_s * min(customer.ceiling_share, customer.even_share),
    )


class Reserve:
    """What a customer may spend before its next record is on disk.

    Attributes:
        units: What the committed record shows as spent, and is not yet.
        pending_serial: The serial number of a record that is not committed yet; 0: there is none.
        pending_units: What that record reserves.
        spent_since_write: What was spent after that record was written.
        empty_since_ms: Since when nothing is reserved.
        spent_while_empty: What was spent since then.
        rate: What may be spent a second while nothing is reserved.
        pending_rate: The same once the record on its way is committed.
        written_ms: When the last record was written.
        has_record: Whether there is one.
    """

    __slots__ = (
        "empty_since_ms",
        "has_record",
        "pending_rate",
        "pending_serial",
        "pending_units",
        "rate",
        "spent_since_write",
        "spent_while_empty",
        "units",
        "written_ms",
    )

    def __init__(self, units: float, rate: SafeRate) -> None:
        self.units = units
        self.pending_serial = 0
        self.pending_units = 0.0
        self.spent_since_write = 0.0
        self.empty_since_ms = math.inf
        self.spent_while_empty = 0.0
        self.rate = rate
        self.pending_rate = rate
        self.written_ms = -math.inf
        self.has_record = False

    def shortfall(self, now: float, plan: api.Plan, units: float) -> ReserveShortfall:
        """Give what the reserve and the safe rate together lack for a request of so many units."""
        if self.units >= units:
            return NO_SHORTFALL
        if now < self.empty_since_ms:
            self.empty_since_ms = now
            self.spent_while_empty = 0.0
        passed_s = (now - self.empty_since_ms) / 1000
        wanted = self.spent_while_empty + units
        short = wanted - passed_s * self.rate.quota if plan.rate_per_s else 0.0
        over_ceiling = bool(plan.ceiling_rate_per_s) and wanted > passed_s * self.rate.ceiling
        return ReserveShortfall(max(0.0, short), over_ceiling)

    def spend(self, units: float) -> None:
        """Take a request's units from the reserve, or from the safe rate where it does not hold them."""
        if self.units >= units:
            self.units -= units
        else:
            self.spent_while_empty += units
        self.spent_since_write += units

    def on_written(self, now: float, units: float, rate: SafeRate) -> None:
        """A record that reserves so many units is on its way; `pending_serial` is set by the caller."""
        self.pending_units = units
        self.spent_since_write = 0.0
        self.has_record = True
        self.written_ms = now
        self.pending_rate = rate

    def on_committed(self) -> None:
        """The record on its way is committed."""
        self.units = self.pending_units - self.spent_since_write
        self.pending_serial = 0
        self.empty_since_ms = math.inf
        self.rate = self.pending_rate
