"""Events that a gateway's decisions take. Times are Unix milliseconds on the caller's clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from switchline.policy.interface.actions import Timer
from switchline.policy.interface.records import Record
from switchline.policy.interface.states import BackendEntry, ListScope, Outcome, ZoneState


@dataclass(frozen=True, slots=True)
class BackendsChanged:
    """The endpoint list, or what has changed of it.

    Attributes:
        scope: What the entries are.
        entries: The backends.
        previous_valid_until_ms: Until when the list before this one was known to be valid. It is of this
            gateway's monotonic clock, as `now` is; the starts of backends come from other machines' wall
            clocks.
    """

    scope: ListScope
    entries: tuple[BackendEntry, ...]
    previous_valid_until_ms: float = field(default=-math.inf, repr=False)


@dataclass(frozen=True, slots=True)
class BackendOverridden:
    """An operator disabled a backend (nothing more may go there), or enabled it again."""

    backend: int
    disabled: bool
    overridden_at_ms: float


@dataclass(frozen=True, slots=True)
class ZoneOverridden:
    """An operator disabled a zone, or enabled it again."""

    zone: str
    disabled: bool
    overridden_at_ms: float


@dataclass(frozen=True, slots=True)
class ZoneDirective:
    """What the gateways decided together on a zone.

    Attributes:
        zone: Its name.
        state: Up, left, returning, or None: the fleet has decided nothing.
        rate_per_s: While it returns, the requests a second that this gateway may send there.
        capacity_ratio: While it returns, the load asked of each backend, of what a warm one bears.
        probe_interval_ms: The mean time between two health checks of the zone by this gateway.
        range_start: Where this gateway's own range of the zone's backends begins, in the order of their
            numbers, as a part of all. The ranges of all gateways cover each backend alike.
        range_width: How wide that range is, as a part of all.
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
    """Whether this gateway acts on older data than the fleet: while it does, quotas go by the even share."""

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
    """What another gateway knows all gateways together to have left of a customer's quota.

    Attributes:
        customer: The customer's key.
        plan: The name of its plan.
        even_share: One gateway's even share of the quota, up to 1.
        remaining_units: What is left over all gateways.
    """

    customer: str
    plan: str
    even_share: float
    remaining_units: float


@dataclass(frozen=True, slots=True)
class RegionsChanged:
    """Another table of zones and their regions is valid from now on."""

    regions: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, or the beginning of one.

    Attributes:
        request: Its identifier.
        request_class: The name of its class.
        plan: The name of its customer's plan.
        customer: Its customer's key.
        expires_ms: When its client stops waiting.
        units: Its size as guessed, in units of quota.
        customer_gateway_count: Over how many gateways the front spreads this customer.
        first_gateway: The first of those gateways.
        is_repeat: Whether the client has sent it before.
        streamed: Whether its body is still coming in; `RequestBodyReceived` follows.
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
        backend: The backend it went to.
        outcome: How it ended.
        latency_ms: How long it took.
        request_finished: Whether the request needs no further attempt.
        actual_units: The true units, given with a request's first good answer; 0: not known.
        body_discarded: The request can't be sent again, as its body was not buffered.
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
    """The body of a streamed request is complete; only now its client begins to wait for the answer."""

    request: str
    expires_ms: float


@dataclass(frozen=True, slots=True)
class RequestBodySent:
    """The last byte of a streamed request has left; only now its backend can begin."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StreamedAnswerStarted:
    """A streamed answer has begun: the request has its final answer, and its attempt goes on."""

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
    """A request needs no answer any more."""

    request: str


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A call to the counter has ended; `total` is the number after it, if the outcome is OK."""

    name: str
    outcome: Outcome
    total: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that `SetTimer` asked for is due."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message of another gateway; no decision depends on it."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerProcessJoined:
    """A new process of this gateway starts beside this one, and asks for the state that both share."""


@dataclass(frozen=True, slots=True)
class PeerProcessMessage:
    """A record that the other process of this gateway replicated (`Replicate`).

    None: one that can't be read, which the gateway refuses with a ValueError.
    """

    record: Record | None


@dataclass(frozen=True, slots=True)
class PeerProcessLeft:
    """The other process of this gateway has ended."""


@dataclass(frozen=True, slots=True)
class PersistenceChanged:
    """State is persisted from now on, to an empty file; or no more.

    Attributes:
        enabled: Whether state is persisted.
        final: Nothing more will be spent: the records may show all that is left.
    """

    enabled: bool
    final: bool = False


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """All records up to that one are committed."""

    up_to_serial: int


@dataclass(frozen=True, slots=True)
class StateFileFound:
    """A state file of this gateway was found.

    Attributes:
        last_commit_ms: When it was last written.
        restarts_ms: The restarts since, this one too.
        is_latest: False: an older copy, as the other gateways' reports show.
    """

    last_commit_ms: float
    restarts_ms: tuple[float, ...]
    is_latest: bool = True


@dataclass(frozen=True, slots=True)
class RecordRestored:
    """A record of that file, and when it was written.

    None: one that can't be read, which the gateway refuses with a ValueError.
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
