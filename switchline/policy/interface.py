"""Types of the decision module: its settings, the events it takes and the actions it gives.

All times are milliseconds on the caller's clock. Nothing here decides anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """Whether a class of requests may run more than once."""

    SAFE = "pure"
    KEYED = "token"
    UNSAFE = "side_effect"


class RepeatScope(Enum):
    """The backends that drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a backend list holds: changes, everything, everything as remembered, or nothing (a failed ask)."""

    CHANGES = "INCREMENTAL"
    FULL = "FULL"
    SAVED = "SAVED"
    FAILED = "FAILED"


class Outcome(Enum):
    """How an attempt or a counter call ended."""

    OK = "Ok"
    FAILED = "Failed"
    FULL = "QueueFull"
    TIMED_OUT = "TimedOut"
    CONNECT = "ConnectError"
    RESET = "ResetByPeer"
    CANCELLED = "Canceled"
    IGNORED = "Ignored"
    NO_CAPACITY = "no room"  # no connection of this gateway's own was left for it; the simulator knows none


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim: float
    deadline: float
    importance: float = 1.0
    effect: Effect = Effect.UNSAFE
    group: RepeatScope = RepeatScope.ALL
    repeat_window: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota (rate a second, burst, open attempts), prices, and hard ceiling; 0 means none."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    beyond_earns: float = 0.0
    beyond_costs: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class SafetyRules:
    drain_grace: float
    start_capacity: float
    warm_within: float
    fall_multiple: float


@dataclass(frozen=True, slots=True)
class Settings:
    index: int
    gateways: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: SafetyRules
    max_attempts: int
    may_duplicate: bool = False
    can_cancel: bool = False
    may_count: bool = False
    must_ask_for_list: bool = False
    max_retry_after: float = 0.0
    count_wait: float = 0.0
    most_units: float = 1.0
    cross_zone: float = 0.0  # the price of attempts that cross zones
    regions: tuple[tuple[str, str], ...] = ()  # zone and its region; none: all zones are of one region


@dataclass(frozen=True, slots=True)
class BackendEntry:
    backend: int
    zone: str
    cell: int
    started: float
    state: BackendState


@dataclass(frozen=True, slots=True)
class BackendsChanged:
    """The list, or what has changed of it.

    `held_until`: the time until which the list before this one was known to hold. It is of this gateway's
    monotonic clock, as `now` is; the starts of backends are told by other machines' wall clocks.
    """

    scope: ListScope
    entries: tuple[BackendEntry, ...]
    held_until: float = field(default=-math.inf, repr=False)


@dataclass(frozen=True, slots=True)
class BackendOverridden:
    """An operator took a backend out (nothing more may go there), or put it back, at a time."""

    backend: int
    out: bool
    since: float


@dataclass(frozen=True, slots=True)
class ZoneOverridden:
    """An operator took a zone out, or put it back, at a time."""

    zone: str
    out: bool
    since: float


@dataclass(frozen=True, slots=True)
class ZoneDirective:
    """What the gateways decided together on a zone; `state`: up, left, returning, or "": they have no word.

    While they return, `rate` is how many requests a second this gateway may send there, and `share` what is
    asked of each of its backends, of what a warm one bears. `gap`: milliseconds between two of its tests.
    `first` and `part`: where its own range of the zone's backends begins, in the order of their numbers, and
    how wide it is, both as parts of all: the ranges of all gateways cover each backend alike.
    """

    zone: str
    state: str
    rate: float = 0.0
    share: float = 1.0
    gap: float = 0.0
    first: float = 0.0
    part: float = 1.0


@dataclass(frozen=True, slots=True)
class StalenessChanged:
    """What this gateway acts on is behind the fleet's: until it is level, quotas go by the even share."""

    lags: bool


@dataclass(frozen=True, slots=True)
class FleetOutage:
    """The whole fleet lost power, at the earliest then; this gateway has come back, at `back`."""

    since: float
    back: float


@dataclass(frozen=True, slots=True)
class PeerQuotaReport:
    """What another gateway knows all to have left of a customer's quota; `even`: a gateway's even share."""

    key: str
    plan: str
    even: float
    left: float  # units


@dataclass(frozen=True, slots=True)
class RegionsChanged:
    """Another table of zones and their regions holds from now on."""

    regions: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    request: str
    request_class: str
    plan: str
    customer: str
    expires: float
    units: float
    spread: int
    first: int
    repeat: bool = False
    streamed: bool = False  # a long value still comes in; its end is told by RequestWhole


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: str
    attempt: int
    backend: int
    outcome: Outcome
    lag: float
    finished: bool
    settled: float = 0.0  # the true units, told with a request's first good answer; 0: not told
    spent: bool = False  # the request can't be sent again, as what was sent of it was not kept


@dataclass(frozen=True, slots=True)
class RequestBodyReceived:
    """The long value of a streamed request has come in; only now its client begins to wait for the answer."""

    request: str
    expires: float


@dataclass(frozen=True, slots=True)
class RequestBodySent:
    """The last byte of a streamed request has left; only now its backend can begin."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class StreamedAnswerStarted:
    """A long answer has begun to be passed on: the request has its final answer, and its attempt goes on."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    request: str
    attempt: int
    backend: int


@dataclass(frozen=True, slots=True)
class RequestLapsed:
    request: str


@dataclass(frozen=True, slots=True)
class CounterReplied:
    name: str
    outcome: Outcome
    reading: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: str


@dataclass(frozen=True, slots=True)
class GossipReceived:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerProcessJoined:
    """A new process of this gateway starts beside this one, and asks for all that both must hold together."""


@dataclass(frozen=True, slots=True)
class PeerProcessMessage:
    """What the module of the other process of this gateway told (`Replicate`)."""

    said: list[Any]


@dataclass(frozen=True, slots=True)
class PeerProcessLeft:
    """The other process of this gateway has ended."""


@dataclass(frozen=True, slots=True)
class PersistenceChanged:
    """From now on all state is kept on disk, in a file that holds nothing yet; or no more."""

    on: bool
    last: bool = False  # nothing more will be spent: the rows may show all that is left


@dataclass(frozen=True, slots=True)
class RecordsPersisted:
    """All rows up to that one are committed."""

    serial: int


@dataclass(frozen=True, slots=True)
class StateFileFound:
    """A file of this gateway was found: when it was last written, and its restarts, this one too."""

    alive: float
    restarts: tuple[float, ...]
    whole: bool = True  # false: an older copy, by what the other gateways tell


@dataclass(frozen=True, slots=True)
class RecordRestored:
    """A row of that file, and when it was told."""

    said: list[Any]
    at: float


Event = (
    BackendsChanged
    | BackendOverridden
    | ZoneOverridden
    | RegionsChanged
    | ZoneDirective
    | StalenessChanged
    | FleetOutage
    | PeerQuotaReport
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
    | RequestLapsed
    | CounterReplied
    | TimerFired
    | GossipReceived
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2, ... in the order of their sends."""

    request: str
    backend: int
    timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """A final answer that promises a new try does no harm."""

    request: str
    retry_after: float = 0.0
    reason: str = ""  # for the log


@dataclass(frozen=True, slots=True)
class Fail:
    """A final answer that promises nothing."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named number on the counter service (0 reads it); the reply carries the total."""

    name: str
    amount: float
    expire_in: float


@dataclass(frozen=True, slots=True)
class FollowList:
    enable: bool = True


@dataclass(frozen=True, slots=True)
class Replicate:
    """Something for the module of the other process of this gateway."""

    said: list[Any]


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """A row for the disk, in the form of `Replicate`, or `["forget", KIND, NAME]`.

    `RecordsPersisted` answers it.
    """

    serial: int
    said: list[Any]


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log."""

    text: str


Action = (
    Send | Cancel | Reject | Fail | SetTimer | Count | FollowList | Replicate | PersistRecord | LogMessage
)
Actions = list[Action]
