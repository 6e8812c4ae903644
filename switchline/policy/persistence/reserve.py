"""The reserve of a customer: the units that it may spend before its next record is committed on disk."""

from __future__ import annotations

import math
from typing import NamedTuple

from switchline.policy import interface as api
from switchline.policy.quota.customer import Customer

# A record reserves the larger of two amounts: this ratio of the burst, and the units that the rate yields in
# `RESERVED_RATE_MS`.
RESERVED_BURST_RATIO = 0.25
RESERVED_RATE_MS = 100.0


class SafeRate(NamedTuple):
    """Rates, in units per second, at which a customer may spend without a reserve."""

    quota: float
    ceiling: float


class ReserveShortfall(NamedTuple):
    """Units of quota that a reserve lacks for a request, and whether the ceiling lacks them too."""

    units: float
    over_ceiling: bool


NO_SHORTFALL = ReserveShortfall(0.0, False)


def is_limited(plan: api.Plan) -> bool:
    """Return whether a plan has a quota or a ceiling."""
    return bool(plan.rate_per_s or plan.ceiling_rate_per_s)


def reserve_size_units(customer: Customer, max_request_units: float) -> float:
    """Return the units that a customer's record reserves: a share of its bucket, at least one request."""
    plan = customer.plan
    if plan.rate_per_s:
        burst = plan.burst_units * customer.quota_share
        rate = plan.rate_per_s * customer.quota_share
    else:
        burst = plan.ceiling_burst_units * customer.ceiling_share
        rate = plan.ceiling_rate_per_s * customer.ceiling_share
    return max(max_request_units, burst * RESERVED_BURST_RATIO, rate * RESERVED_RATE_MS / 1000)


def safe_rate(customer: Customer) -> SafeRate:
    """Return the rates of a customer's safe share, without a burst."""
    return SafeRate(
        customer.plan.rate_per_s * min(customer.quota_share, customer.even_share),
        customer.plan.ceiling_rate_per_s * min(customer.ceiling_share, customer.even_share),
    )


class Reserve:
    """The units that a customer may spend before its next record is on disk.

    Attributes:
        units: Units that the committed record counts as spent and that are not spent yet.
        pending_serial: Serial number of a record that is not committed yet; 0 if there is none.
        pending_units: Units that the pending record reserves.
        spent_since_write: Units that were spent after the last record was written.
        empty_since_ms: Time since which the reserve is too small, in milliseconds; infinite if it is not.
        spent_while_empty: Units that were spent since that time at the safe rate.
        rate: Rates at which units may be spent while the reserve is too small.
        pending_rate: The value of `rate` once the pending record is committed.
        written_ms: Time at which the last record was written, in milliseconds; minus infinity if none was.
        has_record: Whether the customer has a record.
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
        """Return what the reserve and the safe rate lack for a request.

        Args:
            now: The time in milliseconds.
            plan: The customer's plan.
            units: The units of the request.
        """
        if self.units >= units:
            return NO_SHORTFALL
        if now < self.empty_since_ms:
            self.empty_since_ms = now
            self.spent_while_empty = 0.0
        elapsed_s = (now - self.empty_since_ms) / 1000
        needed_units = self.spent_while_empty + units
        shortfall_units = needed_units - elapsed_s * self.rate.quota if plan.rate_per_s else 0.0
        over_ceiling = bool(plan.ceiling_rate_per_s) and needed_units > elapsed_s * self.rate.ceiling
        return ReserveShortfall(max(0.0, shortfall_units), over_ceiling)

    def spend(self, units: float) -> None:
        """Take a request's units from the reserve, or from the safe rate if the reserve is too small."""
        if self.units >= units:
            self.units -= units
        else:
            self.spent_while_empty += units
        self.spent_since_write += units

    def on_written(self, now: float, units: float, rate: SafeRate) -> None:
        """Handle the write of a record that is not committed yet; the caller sets `pending_serial`.

        Args:
            now: The time in milliseconds.
            units: Units that the record reserves.
            rate: The customer's safe rates at this time.
        """
        self.pending_units = units
        self.spent_since_write = 0.0
        self.has_record = True
        self.written_ms = now
        self.pending_rate = rate

    def on_committed(self) -> None:
        """Apply the commit of the pending record."""
        self.units = self.pending_units - self.spent_since_write
        self.pending_serial = 0
        self.empty_since_ms = math.inf
        self.rate = self.pending_rate
