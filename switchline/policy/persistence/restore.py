"""Restoring state after a restart: whether a state file is trusted, and what was spent since its write."""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchline.policy import interface as api
from switchline.policy.persistence.reserve import reserve_size_units
from switchline.policy.quota.customer import NO_PERIOD, Customer

# A state file that shows a longer downtime is not trusted: the clock may have been set.
MAX_DOWNTIME_MS = 600_000.0
# The units gained in this time may have been spent without a reserve; a commit takes half of it at most.
MAX_COMMIT_LAG_MS = 3_000.0
# After this many recent restarts, a customer without a record starts with the units of a single request and
# with no ceiling units.
MAX_COUNTED_RESTARTS = 8
# Maximum of any number in a record, except times.
MAX_RECORD_VALUE = 1e9


def check_customer(customer: Customer) -> None:
    """Check the numbers of a customer that was just loaded from a record.

    Raises:
        ValueError: A number is out of range.
    """
    ratios = {
        "even share": customer.even_share,
        "quota share": customer.quota_share,
        "ceiling share": customer.ceiling_share,
        "admit probability": customer.admit_probability,
    }
    for name, ratio in ratios.items():
        if not 0 <= ratio <= 1.0:
            raise ValueError(f"{name} of a customer record is out of range, expected 0 to 1")
    units = (
        customer.tokens,
        customer.ceiling_tokens,
        customer.fleet_remaining_units,
        customer.spent_units,
        customer.unreported_units,
        customer.own_demand_units,
        customer.fleet_demand_units,
    )
    if any(abs(number) > MAX_RECORD_VALUE for number in units):
        raise ValueError(
            "customer record: a number of units or a demand is out of range, expected at most 1e9"
        )


def check_record(record: api.Record) -> None:
    """Check the numbers of a stored record of the gateway or of a backend.

    Raises:
        ValueError: A number is out of range, or the record is of another kind.
    """
    match record:
        case api.GatewayRecord():
            numbers = (record.mean_ms, record.recent_ms, record.sample_count, record.rate_per_s)
            is_valid = all(0 <= number <= MAX_RECORD_VALUE for number in numbers)
        case api.BackendRecord(started_ms=float()):
            is_valid = all(abs(score.level) <= MAX_RECORD_VALUE for score in record.scores.values())
        case _:
            is_valid = False
    if not is_valid:
        raise ValueError(
            f"wrong kind of record, or a number out of range, expected at most 1e9: {type(record).__name__}"
        )


@dataclass(frozen=True, slots=True)
class RestartHistory:
    """What a state file shows of earlier incarnations of the gateway.

    Attributes:
        last_commit_ms: Time of the last write of the file, in milliseconds.
        restarts_ms: Times of the restarts since then, including this one, in milliseconds.
        is_trusted: Whether the file is the latest one and the downtime that it shows is plausible.
    """

    last_commit_ms: float = 0.0
    restarts_ms: tuple[float, ...] = ()
    is_trusted: bool = True

    @classmethod
    def from_state_file(cls, now: float, event: api.StateFileFound) -> RestartHistory:
        """Return the history that a state file shows, and whether the file is trusted."""
        is_trusted = event.is_latest and 0.0 <= now - event.last_commit_ms <= MAX_DOWNTIME_MS
        return cls(event.last_commit_ms, event.restarts_ms, is_trusted)

    def adjust_restored_customer(self, now: float, customer: Customer, written_ms: float) -> None:
        """Set a restored customer's times so that it gains the units that the downtime certainly yielded.

        Args:
            now: The time in milliseconds.
            customer: The customer.
            written_ms: Time at which its record was written, in milliseconds.
        """
        down_ms = now - self.last_commit_ms if self.is_trusted else 0.0
        last_filled_ms = min(customer.filled_at_ms, written_ms)
        customer.filled_at_ms = now - max(
            0.0, self.last_commit_ms - last_filled_ms + down_ms - MAX_COMMIT_LAG_MS
        )
        customer.has_valid_reading = False
        if self.is_trusted:
            customer.lease_expires_ms = min(customer.lease_expires_ms, now + customer.idle_ttl_ms)
            customer.read_at_ms = min(customer.read_at_ms, now)
        else:
            customer.lease_expires_ms = now - 1
            customer.read_at_ms = now
            customer.period = NO_PERIOD
            customer.ceiling_tokens = min(customer.ceiling_tokens, 0.0)

    def limit_new_customer(self, now: float, customer: Customer, max_request_units: float) -> None:
        """Take one reserve for each recent incarnation from a customer without a record.

        Args:
            now: The time in milliseconds.
            customer: The customer.
            max_request_units: The units of the largest request.
        """
        plan = customer.plan
        burst_fill_ms = plan.burst_units / plan.rate_per_s * 1000 if plan.rate_per_s else 0.0
        window_ms = max(customer.idle_ttl_ms, burst_fill_ms)
        recent_restarts = sum(now - at < window_ms or not self.is_trusted for at in self.restarts_ms)
        if not recent_restarts:
            return
        taken_units = math.inf
        if recent_restarts < MAX_COUNTED_RESTARTS:
            taken_units = recent_restarts * reserve_size_units(customer, max_request_units)
        customer.tokens = max(max_request_units, customer.tokens - taken_units)
        ceiling_burst = plan.ceiling_burst_units * customer.ceiling_share
        customer.ceiling_tokens = max(0.0, min(ceiling_burst, customer.ceiling_tokens) - taken_units)
