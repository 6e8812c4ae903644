"""Actions that the policy of a gateway returns. Delays and times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

from switchline.policy.interface.records import Record


class TimerPurpose(StrEnum):
    """What a timer is for."""

    ENDPOINT_LIST = "follow"  # poll the endpoint list again
    PERSISTENCE = "keep"  # write the changed state records
    REQUEST = "r"  # check a request: it may have expired, or an attempt or a counter call may be overdue


class Timer(NamedTuple):
    """The purpose of a timer; `request` is the identifier of the request to check, "" for the others."""

    purpose: TimerPurpose
    request: str = ""


class RejectionCause(Enum):
    """Why a request was rejected; the values are written to the periodic log line.

    Metrics count rejected requests by class only. A request that is rejected before it reaches the policy
    (`switchline.requests.lifecycle`: no slot for it, no place for its connection) is logged as "room" too.
    """

    QUOTA = "quota"  # over the quota, the limit of requests in flight, or the stored reservation
    CEILING = "ceiling"
    OVERLOAD = "time"  # the answer would come too late
    RECOVERY = "return"  # the whole fleet is recovering from a power loss
    NO_BACKEND = "backends"
    ATTEMPTS = "attempts"  # all attempts failed and no further one is allowed, or it expired before the first
    NO_CONNECTION = "room"  # this gateway has no free backend connection for it


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2, ... in the order of their sends.

    `timeout_ms`: the time after which the caller ends the attempt as timed out; 0: when the request expires.
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
    """A final answer that says when to retry; a retry by the client does no harm."""

    request: str
    retry_after_ms: float = 0.0
    cause: RejectionCause = RejectionCause.ATTEMPTS


@dataclass(frozen=True, slots=True)
class Fail:
    """A final answer that does not say whether the request has run; a retry by the client may not be safe."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for the event `TimerFired` with this timer after a delay."""

    delay_ms: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add an amount to a named number on the counter service (0 reads it); the reply has the new total."""

    name: str
    amount: float
    expires_in_ms: float


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Ask discovery for the endpoint list and its changes."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Replicate:
    """Send a state record to the peer process of an upgrade."""

    record: Record


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Write a state record to the state file; `RecordsPersisted` with its serial number confirms it."""

    serial: int
    record: Record


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

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
