"""How a reading of the counter sizes a customer's lease, and what it shows all gateways to have left."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from switchline.policy.quota.customer import Customer, PendingPeriod

PERIOD_MS = 15_000.0  # of a number on the counter: long, as each new one costs a call more
REFRESH_MS = 500.0  # between refreshes at least: shares follow a shift, calls stay under requests
DEMAND_MEMORY_MS = 3_000.0
# Of a ceiling: the part that is divided evenly, and by demand; the rest is for late readings.
EVEN_CEILING_RATIO = 0.5
DEMAND_CEILING_RATIO = 0.45
SPARSE_REFRESH_MS = 100.0
# A sparse reading stands until so many quotas at once could spend what is left.
SURGE_MULTIPLE = 5.0
TOTAL_TOLERANCE_UNITS = 0.01  # rounding on the counter's side


class QuotaGain(NamedTuple):
    """What some time has brought of a quota, over all gateways: all units, and a burst among them."""

    units: float
    burst_units: float = 0.0


def refresh_interval_ms(customer: Customer) -> float:
    """Give the shortest time between two calls to the counter for a customer."""
    return SPARSE_REFRESH_MS if customer.is_sparse else REFRESH_MS


def fill_buckets(now: float, customer: Customer, max_request_units: float) -> None:
    """Fill a customer's buckets with what the time since the last fill has brought."""
    plan = customer.plan
    passed_s = max(0.0, now - customer.filled_at_ms) / 1000
    customer.filled_at_ms = now
    # The part of a ceiling by demand of long ago is spent by others meanwhile: it fades as demand does.
    least_share = customer.even_share * (EVEN_CEILING_RATIO if customer.has_valid_reading else 1.0)
    fading = math.exp(-passed_s * 1000 / DEMAND_MEMORY_MS)
    customer.ceiling_share = least_share + (customer.ceiling_share - least_share) * fading
    bucket = max(max_request_units, plan.burst_units * customer.quota_share)
    customer.tokens = min(bucket, customer.tokens + passed_s * plan.rate_per_s * customer.quota_share)
    customer.fleet_remaining_units = min(
        plan.burst_units, customer.fleet_remaining_units + passed_s * plan.rate_per_s
    )
    ceiling_gain = passed_s * plan.ceiling_rate_per_s * customer.ceiling_share
    ceiling_bucket = plan.ceiling_burst_units * customer.ceiling_share
    customer.ceiling_tokens = min(ceiling_bucket, customer.ceiling_tokens + ceiling_gain)


@dataclass(slots=True)
class Reading:
    """One reading of a customer's number on the counter, beside what the gateway knew before it.

    Attributes:
        period: The counter's period that was read.
        own_units: Units that this call added.
        other_units: Units that the other gateways added since the last reading.
        is_same_period: Whether the last reading was of the same period.
        is_next_period: Whether the last reading was of the period before.
        previous_total: What that reading gave.
        window_s: The time since then.
        spent_units: What was sent here since then.
        fading: How much demand has faded since then, as a factor.
        lost_count: Whether the number is lower than it was: the counter has lost it.
    """

    period: int
    own_units: float
    other_units: float
    is_same_period: bool
    is_next_period: bool
    previous_total: float
    window_s: float
    spent_units: float
    fading: float
    lost_count: bool


def take_reading(now: float, customer: Customer, period: int, own_units: float, total: float) -> Reading:
    """Replace a customer's last reading by this one; gives what it shows."""
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
        fading=math.exp((customer.read_at_ms - now) / DEMAND_MEMORY_MS),
        lost_count=is_same_period and total < previous_total - TOTAL_TOLERANCE_UNITS,
    )
    customer.period = period
    customer.period_total = total
    customer.read_at_ms = now
    customer.spent_units = 0.0
    return reading


def size_lease(now: float, customer: Customer, reading: Reading) -> None:
    """Size the lease by this gateway's part of all demand.

    The parts of a quota may add up to more than one while it has units left; those of a ceiling may not.
    """
    own, others = reading.own_units, reading.other_units
    if reading.is_same_period:
        customer.own_demand_units = customer.own_demand_units * reading.fading + own
        customer.fleet_demand_units = customer.fleet_demand_units * reading.fading + own + others
        demand_share = customer.own_demand_units / customer.fleet_demand_units
    else:
        demand_share = own / (own + others)
    customer.ceiling_share = EVEN_CEILING_RATIO * customer.even_share + DEMAND_CEILING_RATIO * demand_share
    load = min(1.0, customer.fleet_demand_units * 1000 / DEMAND_MEMORY_MS / customer.plan.rate_per_s)
    if customer.fleet_demand_units:
        own_ratio = min(1.0, customer.own_demand_units / customer.fleet_demand_units)
        customer.quota_share = 1 - (1 - own_ratio) * load
    else:
        customer.quota_share = customer.even_share
    customer.next_refresh_ms = now + refresh_interval_ms(customer)


def share_reading(now: float, customer: Customer, reading: Reading, max_request_units: float) -> bool:
    """Follow what all gateways have left after a reading.

    Returns:
        Whether the reading says enough. If not, the first reading of a period waits for how the period
        before it ended (`PendingPeriod`), as the burst may not be paid back yet.
    """
    plan = customer.plan
    rate, spent = plan.rate_per_s, reading.spent_units
    own, others = reading.own_units, reading.other_units
    window_units = rate * reading.window_s - spent
    if reading.is_same_period:
        share_remaining(
            now,
            customer,
            others,
            own,
            QuotaGain(max(customer.fleet_remaining_units, window_units)),
            max_request_units,
        )
        return True
    period_s = max(0.0, now - reading.period * PERIOD_MS) / 1000
    period_units = rate * period_s
    if customer.is_sparse and others + own + spent <= period_units:
        # All demand of this period fits into what its time brought, however the last one ended.
        gained = max(period_units - spent, customer.fleet_remaining_units if reading.is_next_period else 0.0)
        share_remaining(now, customer, others, own, QuotaGain(gained), max_request_units)
        return True
    gained = max(customer.fleet_remaining_units, window_units) if reading.is_next_period else period_units
    if not reading.is_next_period and others > max(gained + plan.burst_units, max_request_units):
        # Others asked for more than a whole burst could pay as well: the share is the same however the
        # period before ended.
        share_remaining(now, customer, others, own, QuotaGain(gained), max_request_units)
        return True
    previous_total = reading.previous_total if reading.is_next_period else -1.0
    customer.pending_period = PendingPeriod(others, own, gained, previous_total)
    return False


def share_after_period(now: float, customer: Customer, total: float, max_request_units: float) -> None:
    """Complete a pending period with the total at which the period before it ended."""
    plan, pending = customer.plan, customer.pending_period
    others, own, gained = pending.other_units, pending.own_units, pending.gained_units
    if pending.previous_total >= 0:  # that period was read before, and what was left then is known
        others += max(0.0, total - pending.previous_total)
        share_remaining(now, customer, others, own, QuotaGain(gained), max_request_units)
        return
    burst = plan.burst_units
    burst -= min(burst, max(0.0, total - plan.rate_per_s * PERIOD_MS / 1000))
    share_remaining(now, customer, others, own, QuotaGain(gained + burst, burst), max_request_units)


def share_remaining(
    now: float,
    customer: Customer,
    other_units: float,
    own_units: float,
    gain: QuotaGain,
    max_request_units: float,
) -> None:
    """Set what is left of the quota after some demand, as one gateway that saw it all would find it.

    Demand that fits into what the time brought was let in and is taken off. Past that, what it brought, less
    a burst that went to the first of it, over all demand is the part let in; but another gateway's lone
    request that did not fit took nothing.

    Args:
        now: The time in milliseconds.
        customer: Whose lease it is.
        other_units: Units that other gateways asked.
        own_units: Units that this one asked.
        gain: What the time brought.
        max_request_units: The largest request.
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
