"""Actions that a gateway's decisions give. Delays and times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

from switchline.policy.interface.records import Record


class TimerPurpose(StrEnum):
    """What a timer is for."""

    ENDPOINT_LIST = "follow"  # poll the endpoint list again
    PERSISTENCE = "keep"  # write what has changed of the state
    REQUEST = "r"  # look at a request again


class Timer(NamedTuple):
    """What a timer is for; `request` is the request's identifier, where it is for one."""

    purpose: TimerPurpose
    request: str = ""


class RejectionCause(Enum):
    """Why a request was rejected; the values are those of the periodic log line.

    Metrics count rejected requests by class alone. A request that is rejected before it reaches the decisions
    (`switchline.requests.lifecycle`: no slot for it, no place for its connection) is logged as "room" too.
    """

    QUOTA = "quota"  # the quota, the open requests, or what the disk has reserved of the quota
    CEILING = "ceiling"
    OVERLOAD = "time"  # its answer would come too late
    RECOVERY = "return"  # the whole fleet recovers from a power loss
    NO_BACKEND = "backends"
    ATTEMPTS = "attempts"  # its attempts failed and no other may be made, or it expired before the first
    NO_CONNECTION = "room"  # this gateway has no connection left for it


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2, ... in the order of their sends.

    `timeout_ms`: when the attempt is to be given up; 0: when the request expires.
    """

    request: str
    backend: int
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """A final answer that says when to try again: a new attempt by the client does no harm."""

    request: str
    retry_after_ms: float = 0.0
    cause: RejectionCause = RejectionCause.ATTEMPTS


@dataclass(frozen=True, slots=True)
class Fail:
    """A final answer that promises nothing: the request may have run."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Give `TimerFired` with this timer after a delay."""

    delay_ms: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a named number on the counter service (0 reads it); the reply carries the total."""

    name: str
    amount: float
    expires_in_ms: float


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Ask for the endpoint list and its changes."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Replicate:
    """A record for the other process of this gateway."""

    record: Record


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """A record for the state file; `RecordsPersisted` with its serial number answers it."""

    serial: int
    record: Record


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log."""

    text: str


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | AddToCounter
    | WatchEndpointList
    | Replicate
    | PersistRecord
    | LogMessage
)
Actions = list[Action]
