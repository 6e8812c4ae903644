"""The state of one customer at a gateway: its lease, its buckets and the last reading of the counter."""

from __future__ import annotations

from dataclasses import dataclass

from switchline.policy import interface as api
from switchline.policy.quota.ceiling_share import CeilingDemand, safe_share

# The time to live of a lease, during which other gateways may rely on the demand that this gateway reported.
LEASE_MS = 15_000.0
# A customer is sparse if the even share of its burst is smaller than this, in requests of the largest size:
# then it is too small to be spent locally.
SPARSE_REQUESTS = 1.5
VERY_SPARSE_REQUESTS = 0.25  # the same bound for a very sparse customer
NO_PERIOD = -2  # no reading yet; neither this nor the next number is a period


@dataclass(slots=True)
class PendingPeriod:
    """A period whose first reading waits for the final total of the period before it.

    Attributes:
        other_units: Units that were requested at the other gateways in the period.
        own_units: Units that were requested at this gateway in the period.
        gained_units: Units by which the quota has refilled.
        previous_total: This gateway's last reading of the period before, in units; below 0: it has none.
    """

    other_units: float = 0.0
    own_units: float = 0.0
    gained_units: float = 0.0
    previous_total: float = -1.0


def ceiling_fill_ms(plan: api.Plan) -> float:
    """Return the time in milliseconds in which the bucket of a plan's ceiling fills."""
    return plan.ceiling_burst_units / max(plan.ceiling_rate_per_s, 1e-9) * 1000


class Customer:
    """One customer at this gateway. Units are those of its quota, times are milliseconds.

    Attributes:
        key: The key of the customer in requests.
        plan: Its plan.
        even_share: One gateway's even share of its quota, up to 1.
        in_flight: Its attempts in flight from this process.
        peer_in_flight: Its attempts in flight from the peer process of this gateway.
        quota_share: The lease: this gateway's share of the rate and the burst of the quota.
        ceiling_share: This gateway's share of the rate and the burst of the ceiling.
        ceiling_demand: The demand by which a part of the ceiling is divided.
        has_shared_readings: Whether its gateways read their demand from a counter.
        tokens: Units in the bucket of the lease.
        ceiling_tokens: Units in the bucket of the ceiling.
        fleet_remaining_units: The units that all gateways have left: those of the last reading, refilled
            since, less those that this gateway has spent since.
        filled_at_ms: The time up to which the buckets have been filled.
        admit_probability: The share of its requests for which the quota has units; used if it is sparse.
        spent_units: Units that this gateway has spent since the last reading.
        lease_expires_ms: When the lease expires unless a call to the counter renews it.
        next_refresh_ms: The earliest time of the next call to the counter.
        has_valid_reading: Whether the last call to the counter gave a reading that the gateway uses.
        unreported_units: Units requested here that have not been added to the counter.
        own_demand_units: Units requested here recently; older ones decay exponentially.
        fleet_demand_units: Units requested at all gateways recently; older ones decay exponentially.
        period: The counter's period of the last reading.
        period_total: The counter's number at the last reading, in units.
        read_at_ms: The time of the last reading.
        pending_period: A period whose first reading is not complete; None if there is none.
        idle_ttl_ms: How long the customer is kept while it sends no requests.
        is_sparse: Whether its even share of a burst is too small to be spent locally; then each request calls
            the counter.
        is_very_sparse: Whether it has so many gateways that its even share is far smaller than one request.
    """

    __slots__ = (
        "admit_probability",
        "ceiling_demand",
        "ceiling_share",
        "ceiling_tokens",
        "even_share",
        "filled_at_ms",
        "fleet_demand_units",
        "fleet_remaining_units",
        "idle_ttl_ms",
        "in_flight",
        "has_shared_readings",
        "has_valid_reading",
        "is_very_sparse",
        "is_sparse",
        "key",
        "lease_expires_ms",
        "next_refresh_ms",
        "own_demand_units",
        "peer_in_flight",
        "pending_period",
        "period",
        "period_total",
        "plan",
        "quota_share",
        "read_at_ms",
        "spent_units",
        "tokens",
        "unreported_units",
    )

    def __init__(
        self,
        key: str,
        plan: api.Plan,
        even_share: float,
        now: float,
        gateway_created_ms: float,
        settings: api.Settings,
    ) -> None:
        max_request_units = settings.max_request_units
        self.key = key
        self.plan = plan
        self.even_share = even_share
        self.in_flight = 0
        self.peer_in_flight = 0
        self.quota_share = even_share
        self.has_shared_readings = settings.uses_counter and plan.rate_per_s > 0
        self.ceiling_share = self.least_ceiling_share
        self.ceiling_demand = CeilingDemand()
        even_burst = plan.burst_units * even_share
        self.tokens = max(max_request_units, even_burst)
        # A restarted gateway does not know what it spent before its start. The bucket was empty then, so that
        # nothing is spent twice.
        self.ceiling_tokens = (now - gateway_created_ms) / 1000 * plan.ceiling_rate_per_s * self.ceiling_share
        self.fleet_remaining_units = plan.burst_units
        self.filled_at_ms = now
        self.admit_probability = 1.0
        self.spent_units = 0.0
        self.lease_expires_ms = now + LEASE_MS
        self.next_refresh_ms = now
        self.has_valid_reading = False
        self.unreported_units = 0.0
        self.own_demand_units = 0.0
        self.fleet_demand_units = 0.0
        self.period = NO_PERIOD
        self.period_total = 0.0
        self.read_at_ms = now
        self.pending_period: PendingPeriod | None = None
        self.idle_ttl_ms = max(LEASE_MS, ceiling_fill_ms(plan))
        self.is_sparse = even_burst < SPARSE_REQUESTS * max_request_units
        self.is_very_sparse = 0 < even_burst < VERY_SPARSE_REQUESTS * max_request_units

    def spend(self, tokens: float, units: float, ceiling_tokens: float) -> None:
        """Take a request's units from the buckets of the lease, of all gateways and of the ceiling."""
        self.tokens -= tokens
        self.ceiling_tokens -= ceiling_tokens
        self.fleet_remaining_units -= units
        self.spent_units += units

    def is_idle(self, now: float) -> bool:
        """Whether it has sent no requests for so long that it may be removed."""
        return not self.in_flight and now - self.filled_at_ms > self.idle_ttl_ms

    @property
    def least_ceiling_share(self) -> float:
        """The share of the ceiling that is safe if the demand at the other gateways is not known."""
        return safe_share(self.even_share, self.has_shared_readings)

    def use_even_share(self) -> None:
        """Fall back to the even shares, which are safe if the demand at the other gateways is not known."""
        self.quota_share = self.even_share
        self.ceiling_share = min(self.ceiling_share, self.least_ceiling_share)
        self.ceiling_demand = CeilingDemand()
        self.has_valid_reading = False

    def record(self, reserved_units: float = 0.0) -> api.CustomerRecord:
        """Return its state record, in which the reserved units count as spent."""
        return api.CustomerRecord(
            customer=self.key,
            plan=self.plan.name,
            in_flight=self.in_flight,
            even_share=self.even_share,
            ceiling_share=self.ceiling_share,
            tokens=self.tokens - reserved_units,
            filled_at_ms=self.filled_at_ms,
            ceiling_tokens=self.ceiling_tokens - reserved_units,
            quota_share=self.quota_share,
            admit_probability=self.admit_probability,
            fleet_remaining_units=self.fleet_remaining_units - reserved_units,
            spent_units=self.spent_units + reserved_units,
            lease_expires_ms=self.lease_expires_ms,
            next_refresh_ms=self.next_refresh_ms,
            has_valid_reading=self.has_valid_reading,
            unreported_units=self.unreported_units,
            own_demand_units=self.own_demand_units,
            fleet_demand_units=self.fleet_demand_units,
            period=self.period,
            period_total=self.period_total,
            read_at_ms=self.read_at_ms,
        )

    def restore(self, record: api.CustomerRecord) -> None:
        """Restore a state record; its attempts in flight are those of the peer process."""
        self.even_share = record.even_share
        self.ceiling_share = record.ceiling_share
        # The record does not say when the units of its period were requested: all of them may be recent.
        recent_units = record.fleet_demand_units + record.period_total
        self.ceiling_demand = CeilingDemand(record.own_demand_units, recent_units)
        self.tokens = record.tokens
        self.filled_at_ms = record.filled_at_ms
        self.ceiling_tokens = record.ceiling_tokens
        self.quota_share = record.quota_share
        self.admit_probability = record.admit_probability
        # An int stays an int, so that the stored record does not change: a plan's burst may be an int.
        self.fleet_remaining_units = type(self.fleet_remaining_units)(record.fleet_remaining_units)
        self.spent_units = record.spent_units
        self.lease_expires_ms = record.lease_expires_ms
        self.next_refresh_ms = record.next_refresh_ms
        self.has_valid_reading = record.has_valid_reading
        self.unreported_units = record.unreported_units
        self.own_demand_units = record.own_demand_units
        self.fleet_demand_units = record.fleet_demand_units
        self.period = record.period
        self.period_total = record.period_total
        self.read_at_ms = record.read_at_ms
        self.peer_in_flight = record.in_flight

    def limit_times(self, now: float) -> None:
        """Limit times from another process, whose clock may be ahead, to those possible on this clock."""
        self.filled_at_ms = min(self.filled_at_ms, now)
        self.read_at_ms = min(self.read_at_ms, now)
        self.lease_expires_ms = min(self.lease_expires_ms, now + LEASE_MS)
        self.next_refresh_ms = min(self.next_refresh_ms, now + LEASE_MS)
