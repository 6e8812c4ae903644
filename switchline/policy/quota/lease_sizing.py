"""Sizes a customer's lease by a reading of the counter, and estimates what all gateways have left."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from switchline.policy.quota.ceiling_share import DEMAND_MEMORY_MS, UNKNOWN_TOTAL, granted_share
from switchline.policy.quota.customer import Customer, PendingPeriod

# The length of a counter period. The counter has one number for each customer and period; the period is long
# because each new number costs one more call.
PERIOD_MS = 15_000.0
# The shortest time between two refreshes: short enough that shares follow a shift of demand, and long enough
# that there are fewer calls than requests.
REFRESH_MS = 500.0
SPARSE_REFRESH_MS = 100.0  # the shortest time between two refreshes of a sparse lease
# A reading is used until demand at this multiple of the quota's rate could have spent what is left.
SURGE_MULTIPLE = 5.0
TOTAL_TOLERANCE_UNITS = 0.01  # the counter rounds its numbers


class QuotaGain(NamedTuple):
    """The units by which a quota has refilled over all gateways; `burst_units` of them come from a burst."""

    units: float
    burst_units: float = 0.0


def refresh_interval_ms(customer: Customer) -> float:
    """Return the shortest time in milliseconds between two calls to the counter for a customer."""
    return SPARSE_REFRESH_MS if customer.is_sparse else REFRESH_MS


def fill_buckets(now: float, customer: Customer, max_request_units: float) -> None:
    """Refill a customer's buckets for the time since the last refill."""
    plan = customer.plan
    elapsed_s = max(0.0, now - customer.filled_at_ms) / 1000
    customer.filled_at_ms = now
    # The share of a ceiling for old demand may be in use at other gateways by now: it decays as demand does.
    least_share = customer.least_ceiling_share
    decay_factor = math.exp(-elapsed_s * 1000 / DEMAND_MEMORY_MS)
    customer.ceiling_share = least_share + (customer.ceiling_share - least_share) * decay_factor
    bucket = max(max_request_units, plan.burst_units * customer.quota_share)
    customer.tokens = min(bucket, customer.tokens + elapsed_s * plan.rate_per_s * customer.quota_share)
    customer.fleet_remaining_units = min(
        plan.burst_units, customer.fleet_remaining_units + elapsed_s * plan.rate_per_s
    )
    ceiling_gain = elapsed_s * plan.ceiling_rate_per_s * customer.ceiling_share
    ceiling_bucket = plan.ceiling_burst_units * customer.ceiling_share
    customer.ceiling_tokens = min(ceiling_bucket, customer.ceiling_tokens + ceiling_gain)


@dataclass(slots=True)
class Reading:
    """One reading of a customer's number on the counter, and its differences from the previous reading.

    Attributes:
        period: The counter's period that was read.
        own_units: Units that this call added.
        other_units: Units that the other gateways added since the last reading.
        is_same_period: Whether the last reading was of the same period.
        is_next_period: Whether the last reading was of the period before.
        previous_total: The counter's number at the last reading, in units.
        window_s: The time since the last reading.
        spent_units: Units that this gateway has spent since the last reading.
        decay_factor: The factor by which demand has decayed since the last reading.
        lost_count: Whether the number is lower than at the last reading, because the counter has lost it.
    """

    period: int
    own_units: float
    other_units: float
    is_same_period: bool
    is_next_period: bool
    previous_total: float
    window_s: float
    spent_units: float
    decay_factor: float
    lost_count: bool


def take_reading(now: float, customer: Customer, period: int, own_units: float, total: float) -> Reading:
    """Replace a customer's last reading by a new one.

    Args:
        now: The time in milliseconds.
        customer: The customer.
        period: The counter's period that was read.
        own_units: Units that the call added.
        total: The counter's number after the call, in units.

    Returns:
        The new reading.
    """
    previous_total = customer.period_total
    is_same_period = period == customer.period
    reading = Reading(
        period=period,
        own_units=own_units,
        other_units=max(0.0, total - own_units - (previous_total if is_same_period else 0.0)),
        is_same_period=is_same_period,
        is_next_period=customer.period == period - 1,
        previous_total=previous_total,
        window_s=(now - customer.read_at_ms) / 1000,
        spent_units=customer.spent_units,
        decay_factor=math.exp((customer.read_at_ms - now) / DEMAND_MEMORY_MS),
        lost_count=is_same_period and total < previous_total - TOTAL_TOLERANCE_UNITS,
    )
    customer.period = period
    customer.period_total = total
    customer.read_at_ms = now
    customer.spent_units = 0.0
    return reading


def size_lease(now: float, customer: Customer, reading: Reading) -> None:
    """Set the lease to this gateway's share of all demand.

    The shares of a quota may add up to more than 1 while it has units left; those of a ceiling may not.
    """
    own_units, other_units = reading.own_units, reading.other_units
    if reading.is_same_period:
        customer.own_demand_units = customer.own_demand_units * reading.decay_factor + own_units
        customer.fleet_demand_units = (
            customer.fleet_demand_units * reading.decay_factor + own_units + other_units
        )
    size_ceiling_share(customer, reading)
    load = min(1.0, customer.fleet_demand_units * 1000 / DEMAND_MEMORY_MS / customer.plan.rate_per_s)
    if customer.fleet_demand_units:
        own_ratio = min(1.0, customer.own_demand_units / customer.fleet_demand_units)
        customer.quota_share = 1 - (1 - own_ratio) * load
    else:
        customer.quota_share = customer.even_share
    customer.next_refresh_ms = now + refresh_interval_ms(customer)


def size_ceiling_share(customer: Customer, reading: Reading) -> None:
    """Set the share of the ceiling by a reading; it grows only once all recent demand is known."""
    demand = customer.ceiling_demand
    is_continued = reading.is_same_period or reading.is_next_period
    demand.add(reading.own_units, reading.other_units, reading.decay_factor if is_continued else 0.0)
    if not reading.is_same_period:
        demand.begin_period(reading.previous_total if reading.is_next_period else UNKNOWN_TOTAL)
    customer.ceiling_share = granted_share(customer.ceiling_share, customer.least_ceiling_share, demand)


def complete_ceiling_demand(now: float, customer: Customer, total: float) -> None:
    """Set the share of the ceiling by the final total (units) of the period before the customer's period."""
    demand = customer.ceiling_demand
    if demand.is_complete:
        return
    demand.complete(total, now - customer.period * PERIOD_MS, TOTAL_TOLERANCE_UNITS)
    customer.ceiling_share = granted_share(customer.ceiling_share, customer.least_ceiling_share, demand)


def apply_reading(now: float, customer: Customer, reading: Reading, max_request_units: float) -> bool:
    """Update by a reading what all gateways have left of the quota.

    Returns:
        Whether the reading was sufficient. If not, the first reading of a period waits for the final total of
        the period before it (`PendingPeriod`), as the burst may not have refilled yet.
    """
    plan = customer.plan
    if not reading.is_same_period:
        customer.pending_period = None
    rate_per_s, spent_units = plan.rate_per_s, reading.spent_units
    own_units, other_units = reading.own_units, reading.other_units
    window_units = rate_per_s * reading.window_s - spent_units
    if reading.is_same_period:
        set_remaining(
            now,
            customer,
            other_units,
            own_units,
            QuotaGain(max(customer.fleet_remaining_units, window_units)),
            max_request_units,
        )
        return True
    period_s = max(0.0, now - reading.period * PERIOD_MS) / 1000
    period_units = rate_per_s * period_s
    if customer.is_sparse and other_units + own_units + spent_units <= period_units:
        # All demand of this period is within its refill, whatever the final total of the last period was.
        gained_units = max(
            period_units - spent_units, customer.fleet_remaining_units if reading.is_next_period else 0.0
        )
        set_remaining(now, customer, other_units, own_units, QuotaGain(gained_units), max_request_units)
        return True
    gained_units = (
        max(customer.fleet_remaining_units, window_units) if reading.is_next_period else period_units
    )
    if not reading.is_next_period and other_units > max(gained_units + plan.burst_units, max_request_units):
        # The other gateways requested more than a whole burst would cover as well: the share is the same for
        # any final total of the period before.
        set_remaining(now, customer, other_units, own_units, QuotaGain(gained_units), max_request_units)
        return True
    previous_total = reading.previous_total if reading.is_next_period else -1.0
    customer.pending_period = PendingPeriod(other_units, own_units, gained_units, previous_total)
    return False


def apply_final_total(now: float, customer: Customer, total: float, max_request_units: float) -> None:
    """Complete a pending period with the final total of the period before it.

    If this gateway read that period, the demand after its last reading counts as demand of other gateways.
    Otherwise the burst counts as refilled, less the units by which the total exceeded that period's refill.

    Args:
        now: The time in milliseconds.
        customer: The customer that owns the lease.
        total: The final total, in units.
        max_request_units: The units of the largest request.
    """
    plan, pending = customer.plan, customer.pending_period
    if pending is None:
        return
    other_units, own_units, gained_units = pending.other_units, pending.own_units, pending.gained_units
    if pending.previous_total >= 0:  # this gateway read that period: what was left then is known
        other_units += max(0.0, total - pending.previous_total)
        set_remaining(now, customer, other_units, own_units, QuotaGain(gained_units), max_request_units)
        return
    burst_units = plan.burst_units
    burst_units -= min(burst_units, max(0.0, total - plan.rate_per_s * PERIOD_MS / 1000))
    set_remaining(
        now,
        customer,
        other_units,
        own_units,
        QuotaGain(gained_units + burst_units, burst_units),
        max_request_units,
    )


def set_remaining(
    now: float,
    customer: Customer,
    other_units: float,
    own_units: float,
    gain: QuotaGain,
    max_request_units: float,
) -> None:
    """Set what is left of the quota after the given demand, as a single gateway that got all of it would.

    Demand within the refill was admitted and is taken off. Above it, the admitted part is the refill, less a
    burst that went to the first requests, divided by all demand; but a lone request of another gateway that
    exceeded the refill took nothing.

    Args:
        now: The time in milliseconds.
        customer: The customer that owns the lease.
        other_units: Units that were requested at other gateways.
        own_units: Units that were requested at this gateway.
        gain: The refill of the quota.
        max_request_units: The units of the largest request.
    """
    customer.admit_probability = 1.0
    customer.has_valid_reading = True
    if other_units <= gain.units:
        customer.fleet_remaining_units = min(customer.plan.burst_units, gain.units - other_units)
    elif other_units <= max_request_units:
        customer.fleet_remaining_units -= (
            other_units if other_units <= customer.fleet_remaining_units else 0.0
        )
    else:
        customer.admit_probability = (gain.units - gain.burst_units) / (other_units + own_units)
        customer.fleet_remaining_units = 0.0
    customer.tokens = max(customer.tokens, customer.fleet_remaining_units * customer.quota_share)
    if customer.admit_probability == 1.0:
        customer.tokens = min(customer.tokens, customer.fleet_remaining_units)
    surge_ms = customer.fleet_remaining_units / (SURGE_MULTIPLE * customer.plan.rate_per_s) * 1000
    customer.next_refresh_ms = max(customer.next_refresh_ms, now + surge_ms)
