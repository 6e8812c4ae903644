"""Events that the policy of a gateway takes. Times are Unix milliseconds on the caller's clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from switchline.policy.interface.actions import Timer
from switchline.policy.interface.records import Record
from switchline.policy.interface.states import BackendEntry, ListScope, Outcome, ZoneState


@dataclass(frozen=True, slots=True)
class BackendsChanged:
    """The endpoint list, or changes to it.

    Attributes:
        scope: Whether the entries are changes, the full list, a stored list or nothing.
        entries: The backends.
        previous_valid_until_ms: The last time at which the previous list was known to be valid. It is on this
            gateway's monotonic clock, as `now` is; the start times of backends come from the wall clocks of
            other machines.
    """

    scope: ListScope
    entries: tuple[BackendEntry, ...]
    previous_valid_until_ms: float = field(default=-math.inf, repr=False)


@dataclass(frozen=True, slots=True)
class BackendOverridden:
    """An operator disabled a backend (no request may be sent to it) or enabled it again."""

    backend: int
    disabled: bool
    overridden_at_ms: float


@dataclass(frozen=True, slots=True)
class ZoneOverridden:
    """An operator disabled a zone or enabled it again."""

    zone: str
    disabled: bool
    overridden_at_ms: float


@dataclass(frozen=True, slots=True)
class ZoneDirective:
    """The decision that the gateways have made together for a zone.

    Attributes:
        zone: The name of the zone.
        state: The state of the zone (up, left or returning); None: the fleet has made no decision.
        rate_per_s: The requests per second that this gateway may send to a returning zone.
        capacity_ratio: The load on each backend of a returning zone, as a ratio of what a warm backend
            can serve.
        probe_interval_ms: The mean time between two health checks of the zone by this gateway.
        range_start: The start of this gateway's range of the zone's backends, as a ratio of their number, in
            the order of their identifiers. The ranges of all gateways cover each backend equally.
        range_width: The width of that range, as a ratio of the number of backends.
    """

    zone: str
    state: ZoneState | None
    rate_per_s: float = 0.0
    capacity_ratio: float = 1.0
    probe_interval_ms: float = 0.0
    range_start: float = 0.0
    range_width: float = 1.0


@dataclass(frozen=True, slots=True)
class StalenessChanged:
    """Whether this gateway's data are older than the fleet's; while so, it uses even shares of quotas."""

    stale: bool


@dataclass(frozen=True, slots=True)
class FleetOutage:
    """The whole fleet lost power.

    Attributes:
        earliest_power_loss_ms: The earliest time at which the fleet may have lost power.
        recovered_at_ms: When this gateway was running again.
    """

    earliest_power_loss_ms: float
    recovered_at_ms: float


@dataclass(frozen=True, slots=True)
class GatewayQuotaReport:
    """The units of a customer's quota that all gateways together have left, as another gateway reports it.

    Attributes:
        customer: The customer's key.
        plan: The name of its plan.
        even_share: One gateway's even share of the quota, up to 1.
        remaining_units: The units that all gateways together have left.
    """

    customer: str
    plan: str
    even_share: float
    remaining_units: float


@dataclass(frozen=True, slots=True)
class RegionsChanged:
    """The table of zones and their regions has been replaced by this one."""

    regions: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request of a client has arrived, or the beginning of a streamed one.

    Attributes:
        request: The identifier of the request.
        request_class: The name of its class.
        plan: The name of its customer's plan.
        customer: The key of its customer.
        expires_ms: When its client stops waiting.
        units: The estimated size of the request, in units of quota.
        customer_gateway_count: The number of gateways over which this customer's requests are distributed.
        first_gateway: The index of the first of those gateways.
        is_repeat: Whether the client has sent it before.
        streamed: Whether its body is still being received; `RequestBodyReceived` follows.
    """

    request: str
    request_class: str
    plan: str
    customer: str
    expires_ms: float
    units: float
    customer_gateway_count: int
    first_gateway: int
    is_repeat: bool = False
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        request: The request's identifier.
        attempt: The attempt's number.
        backend: The backend to which it was sent.
        outcome: How it ended.
        latency_ms: The duration of the attempt.
        request_finished: Whether the request needs no further attempt.
        actual_units: The actual size of the request, given with its first successful answer; 0: not known.
        body_discarded: Whether the request can't be sent again, because its body was not buffered.
    """

    request: str
    attempt: int
    backend: int
    outcome: Outcome
    latency_ms: float
    request_finished: bool
    actual_units: float = 0.0
    body_discarded: bool = False


@dataclass(frozen=True, slots=True)
class RequestBodyReceived:
    """The body of a streamed request is complete; from now on its client waits for the answer."""

    request: str
    expires_ms: float


@dataclass(frozen=True, slots=True)
class RequestBodySent:
    """The last byte of a streamed request was sent; only now can its backend begin to work on it."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StreamedAnswerStarted:
    """A streamed answer has begun: the request has its final answer, and its attempt stays in flight."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """A backend has begun to answer; no decision depends on it."""

    request: str
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """A request needs no answer any more: its client has gone, or the caller has answered it."""

    request: str


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A call to the counter has ended; `total` is the number after the call if the outcome is OK."""

    name: str
    outcome: Outcome
    total: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` has fired."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message of another gateway; no decision depends on it."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerProcessJoined:
    """A new process of this gateway has started for an upgrade and asks for the state that both share."""


@dataclass(frozen=True, slots=True)
class PeerProcessMessage:
    """A record that the peer process of this gateway has replicated (`Replicate`).

    `record` is None for one that can't be read, which the gateway rejects with a ValueError.
    """

    record: Record | None


@dataclass(frozen=True, slots=True)
class PeerProcessLeft:
    """The peer process of this gateway has ended."""


@dataclass(frozen=True, slots=True)
class PersistenceChanged:
    """Storing state on disk was enabled, with an empty file, or disabled.

    Attributes:
        enabled: Whether state is persisted from now on.
        final: Whether this gateway will spend no more units, so that the records may show all that is left.
    """

    enabled: bool
    final: bool = False


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """All records up to this serial number are committed to disk."""

    up_to_serial: int


@dataclass(frozen=True, slots=True)
class StateFileFound:
    """A state file of this gateway was found at the start.

    Attributes:
        last_commit_ms: When it was last written.
        restarts_ms: The times of the restarts since then, including this one.
        is_latest: Whether it is the latest copy; False: other gateways' reports show that it is an older one.
    """

    last_commit_ms: float
    restarts_ms: tuple[float, ...]
    is_latest: bool = True


@dataclass(frozen=True, slots=True)
class RecordRestored:
    """A record of the state file that was found, and the time at which it was written.

    `record` is None for one that can't be read, which the gateway rejects with a ValueError.
    """

    record: Record | None
    written_ms: float


Event = (
    BackendsChanged
    | BackendOverridden
    | ZoneOverridden
    | RegionsChanged
    | ZoneDirective
    | StalenessChanged
    | FleetOutage
    | GatewayQuotaReport
    | RequestArrived
    | AttemptEnded
    | AnswerStarted
    | PeerProcessJoined
    | PeerProcessMessage
    | PeerProcessLeft
    | PersistenceChanged
    | RecordsPersisted
    | StateFileFound
    | RecordRestored
    | RequestBodyReceived
    | RequestBodySent
    | StreamedAnswerStarted
    | RequestAbandoned
    | CounterReplied
    | TimerFired
    | GossipReceived
)
