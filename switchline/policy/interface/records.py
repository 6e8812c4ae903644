"""State records, which are stored on disk and replicated between two processes of one gateway.

`persistence/codec.py` encodes them as the lists that are stored and sent. Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class FadingScore(NamedTuple):
    """A score that decays exponentially from the time at which it was set."""

    level: float
    set_at_ms: float


class RecordKind(Enum):
    """The kinds of records that can be deleted one by one."""

    CUSTOMER = "customer"
    BACKEND = "backend"


@dataclass(frozen=True, slots=True)
class GatewayRecord:
    """The time at which the gateway began, and its latency estimate (see `LatencyEstimate`)."""

    created_ms: float
    mean_ms: float
    recent_ms: float
    recent_at_ms: float
    sample_count: float
    rate_per_s: float
    answered_at_ms: float


@dataclass(frozen=True, slots=True)
class BackendRecord:
    """The outlier scores of a backend's process by name; `started_ms` None: valid for any process."""

    backend: int
    scores: dict[str, FadingScore]
    started_ms: float | None


@dataclass(frozen=True, slots=True)
class CustomerRecord:
    """The lease and the buckets of a customer; the fields mean the same as those of `Customer`."""

    customer: str
    plan: str
    in_flight: int
    even_share: float
    ceiling_share: float
    tokens: float
    filled_at_ms: float
    ceiling_tokens: float
    quota_share: float
    admit_probability: float
    fleet_remaining_units: float
    spent_units: float
    lease_expires_ms: float
    next_refresh_ms: float
    has_valid_reading: bool
    unreported_units: float
    own_demand_units: float
    fleet_demand_units: float
    period: int
    period_total: float
    read_at_ms: float


@dataclass(frozen=True, slots=True)
class SpendingRecord:
    """The units that one process spent from a customer's buckets; the peer process takes them off as well.

    Attributes:
        customer: The customer's key.
        plan: The name of its plan.
        even_share: One gateway's even share of its quota.
        unreported_units: Requested units that have not been added to the counter.
        tokens: Units taken from the bucket of the lease.
        units: Units taken from those that all gateways have left.
        ceiling_tokens: Units taken from the bucket of the ceiling.
        in_flight_change: The change of the number of its attempts in flight.
    """

    customer: str
    plan: str
    even_share: float
    unreported_units: float
    tokens: float
    units: float
    ceiling_tokens: float
    in_flight_change: float


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Deletes the stored record of this kind and name."""

    kind: RecordKind
    name: str


Record = GatewayRecord | BackendRecord | CustomerRecord | SpendingRecord | DeleteRecord
