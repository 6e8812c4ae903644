"""A gateway's share of a customer's ceiling, the hard rate limit that all gateways together must not exceed.

One half of a ceiling is divided evenly: this part is safe without any reading. Most of the other half is
divided by demand, and only a gateway that knows the demand of all gateways gets a share of it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

DEMAND_MEMORY_MS = 3_000.0  # the time constant with which demand decays
# The ratio of a ceiling that is divided evenly, and the ratio that is divided by demand. The rest is a margin
# for late readings.
EVEN_CEILING_RATIO = 0.5
DEMAND_CEILING_RATIO = 0.45
UNKNOWN_TOTAL = -1.0


@dataclass(slots=True)
class CeilingDemand:
    """The recent demand of one customer, as far as readings of the counter show it. Older demand decays.

    The counter has a new number in each period. The first reading in one does not show what other gateways
    added to the last number since it was read; until its final total is read, the demand is not complete.

    Attributes:
        own_units: Units requested at this gateway.
        fleet_units: Units requested at all gateways; never less than that once `is_complete`.
        is_complete: Whether all demand until the last reading is known.
        last_total: This gateway's last reading of the period before, in units, if it is not complete;
            `UNKNOWN_TOTAL` if it has none.
    """

    own_units: float = 0.0
    fleet_units: float = 0.0
    is_complete: bool = False
    last_total: float = UNKNOWN_TOTAL

    def add(self, own_units: float, other_units: float, decay_factor: float) -> None:
        """Add what a reading shows.

        Args:
            own_units: Units requested at this gateway since the last reading.
            other_units: Units requested at the others.
            decay_factor: The factor by which older demand has decayed; 0 if it is not known.
        """
        self.own_units = self.own_units * decay_factor + own_units
        self.fleet_units = self.fleet_units * decay_factor + own_units + other_units

    def begin_period(self, last_total: float) -> None:
        """Handle the first reading in a period, after which the final total of the last one is missing."""
        self.is_complete = False
        self.last_total = last_total

    def complete(self, total: float, age_ms: float, tolerance_units: float) -> None:
        """Add the rest of the last period's demand, of which each unit counts as the latest possible.

        Args:
            total: The final total of the last period, in units.
            age_ms: The time since the end of that period.
            tolerance_units: By how much a total may be too low, as the counter rounds.
        """
        missing_units = total - max(0.0, self.last_total)
        if missing_units < -tolerance_units:
            return  # the counter has lost its numbers, so the demand remains unknown
        self.fleet_units += max(0.0, missing_units) * math.exp(-max(0.0, age_ms) / DEMAND_MEMORY_MS)
        self.is_complete = True

    @property
    def own_ratio(self) -> float:
        """The share of all demand that is this gateway's."""
        return min(1.0, self.own_units / self.fleet_units) if self.fleet_units else 0.0


def safe_share(even_share: float, is_divided_by_demand: bool) -> float:
    """Return the share that a gateway may use without a reading.

    Args:
        even_share: The even share of the customer's gateways.
        is_divided_by_demand: Whether the other gateways may have a share by demand.
    """
    if not is_divided_by_demand or even_share >= 1:
        return even_share
    return even_share * EVEN_CEILING_RATIO


def granted_share(current_share: float, least_share: float, demand: CeilingDemand) -> float:
    """Return the share after a reading; it grows only if the demand at all gateways is known.

    Args:
        current_share: The share before it.
        least_share: The share that needs no reading (`safe_share`).
        demand: The demand that the readings show.
    """
    if least_share >= 1:
        return least_share
    share = least_share + DEMAND_CEILING_RATIO * demand.own_ratio
    return share if demand.is_complete else min(current_share, share)
