"""Actions that a gateway's decisions give. Delays and times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


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
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """A final answer that promises nothing: the request may have run."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Give `TimerFired` with this token after a delay."""

    delay_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named number on the counter service (0 reads it); the reply carries the total."""

    name: str
    amount: float
    expires_in_ms: float


@dataclass(frozen=True, slots=True)
class FollowList:
    """Ask for the endpoint list and its changes."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Replicate:
    """A record for the other process of this gateway."""

    record: list[Any]


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """A record for the state file; `RecordsPersisted` with its serial number answers it."""

    serial: int
    record: list[Any]


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log."""

    text: str


Action = (
    Send | Cancel | Reject | Fail | SetTimer | Count | FollowList | Replicate | PersistRecord | LogMessage
)
Actions = list[Action]
