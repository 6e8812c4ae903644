"""After a restart: how far a state file is believed, and what its customers may have spent since."""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchline.policy import interface as api
from switchline.policy.persistence.reserve import reserved_at_once
from switchline.policy.quota.customer import NO_PERIOD, Customer

MAX_DOWNTIME_MS = 600_000.0  # a longer one is not believed: the clock may have been set
# What such a time brought may have been spent without a reserve; a commit takes half of it at most.
MAX_COMMIT_LAG_MS = 3_000.0
MAX_COUNTED_RESTARTS = 8  # after so many, a customer without a record begins with nothing
MAX_RECORD_NUMBER = 1e9  # of any number that a record may hold, times apart


def check_customer(customer: Customer) -> None:
    """Check the numbers of a customer that was just loaded from a record.

    Raises:
        ValueError: One is out of range.
    """
    ratios = {
        "even share": customer.even_share,
        "quota share": customer.quota_share,
        "ceiling share": customer.ceiling_share,
        "admit probability": customer.admit_probability,
    }
    for name, ratio in ratios.items():
        if not 0 <= ratio <= 1.0:
            raise ValueError(f"{name} out of range")
    units = (
        customer.tokens,
        customer.ceiling_tokens,
        customer.fleet_remaining_units,
        customer.spent_units,
        customer.unreported_units,
        customer.own_demand_units,
        customer.fleet_demand_units,
    )
    if any(abs(number) > MAX_RECORD_NUMBER for number in units):
        raise ValueError("out of range")


def check_record(record: api.Record) -> None:
    """Check the numbers of a stored record of the gateway or of a backend.

    Raises:
        ValueError: One is out of range, or the record is of another kind.
    """
    match record:
        case api.GatewayRecord():
            numbers = (record.mean_ms, record.recent_ms, record.sample_count, record.rate_per_s)
            is_valid = all(0 <= number <= MAX_RECORD_NUMBER for number in numbers)
        case api.BackendRecord(started_ms=float()):
            is_valid = all(abs(score.level) <= MAX_RECORD_NUMBER for score in record.scores.values())
        case _:
            is_valid = False
    if not is_valid:
        raise ValueError(f"out of range: {type(record).__name__}")


@dataclass(frozen=True, slots=True)
class RestartHistory:
    """What a state file shows of the incarnations before this one.

    Attributes:
        last_commit_ms: When the file was last written.
        restarts_ms: The restarts since, this one too.
        is_believed: Whether the file is the latest one and the downtime it shows is plausible.
    """

    last_commit_ms: float = 0.0
    restarts_ms: tuple[float, ...] = ()
    is_believed: bool = True

    @classmethod
    def of_file(cls, now: float, event: api.StateFileFound) -> RestartHistory:
        """Judge a state file that was found."""
        is_believed = event.is_latest and 0.0 <= now - event.last_commit_ms <= MAX_DOWNTIME_MS
        return cls(event.last_commit_ms, event.restarts_ms, is_believed)

    def age_customer(self, now: float, customer: Customer, written_ms: float) -> None:
        """Set a restored customer's times so that it gains what the downtime surely brought."""
        down_ms = now - self.last_commit_ms if self.is_believed else 0.0
        filled_ms = min(customer.filled_at_ms, written_ms)
        customer.filled_at_ms = now - max(0.0, self.last_commit_ms - filled_ms + down_ms - MAX_COMMIT_LAG_MS)
        customer.has_valid_reading = False
        if self.is_believed:
            customer.lease_expires_ms = min(customer.lease_expires_ms, now + customer.idle_ttl_ms)
            customer.read_at_ms = min(customer.read_at_ms, now)
        else:
            customer.lease_expires_ms = now - 1
            customer.read_at_ms = now
            customer.period = NO_PERIOD
            customer.ceiling_tokens = min(customer.ceiling_tokens, 0.0)

    def limit_new_customer(self, now: float, customer: Customer, max_request_units: float) -> None:
        """Take from a customer without a record one reserve for each incarnation that has just ended."""
        plan = customer.plan
        burst_fill_ms = plan.burst_units / plan.rate_per_s * 1000 if plan.rate_per_s else 0.0
        window_ms = max(customer.idle_ttl_ms, burst_fill_ms)
        restarts = sum(now - at < window_ms or not self.is_believed for at in self.restarts_ms)
        if not restarts:
            return
        taken = math.inf
        if restarts < MAX_COUNTED_RESTARTS:
            taken = restarts * reserved_at_once(customer, max_request_units)
        customer.tokens = max(max_request_units, customer.tokens - taken)
        ceiling_burst = plan.ceiling_burst_units * customer.ceiling_share
        customer.ceiling_tokens = max(0.0, min(ceiling_burst, customer.ceiling_tokens) - taken)
