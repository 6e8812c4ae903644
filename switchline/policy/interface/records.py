"""State records: what is stored on disk and replicated between two processes of one gateway.

`persistence/codec.py` turns them into the lists that are stored and sent. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class FadingScore(NamedTuple):
    """A score that fades exponentially from the time at which it was set."""

    level: float
    set_at_ms: float


class RecordKind(Enum):
    """The kinds of records of which one can be deleted."""

    CUSTOMER = "customer"
    BACKEND = "backend"


@dataclass(frozen=True, slots=True)
class GatewayRecord:
    """The gateway's age and its estimate of latency (see `LatencyEstimate`)."""

    created_ms: float
    mean_ms: float
    recent_ms: float
    recent_at_ms: float
    sample_count: float
    rate_per_s: float
    answered_at_ms: float


@dataclass(frozen=True, slots=True)
class BackendRecord:
    """The outlier scores of a backend's process, by name; `started_ms` None: of whichever process it has."""

    backend: int
    scores: dict[str, FadingScore]
    started_ms: float | None


@dataclass(frozen=True, slots=True)
class CustomerRecord:
    """A customer's lease and buckets; the fields are those of `Customer`."""

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
    """What one process took from a customer's buckets, for the other to take as well.

    Attributes:
        customer: The customer's key.
        plan: The name of its plan.
        even_share: One gateway's even share of its quota.
        unreported_units: Units asked that the counter has not been given.
        tokens: Units taken from the lease's own bucket.
        units: Units taken from what all gateways have left.
        ceiling_tokens: Units taken from the ceiling's bucket.
        in_flight_change: The change of its attempts in flight.
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
    """The stored record of that kind and name is to be deleted."""

    kind: RecordKind
    name: str


Record = GatewayRecord | BackendRecord | CustomerRecord | SpendingRecord | DeleteRecord
