"""States of backends, endpoint lists and zones, and outcomes of attempts, as events contain them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BackendState(Enum):
    """The state of a backend in the endpoint list; only a ready one is given new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What an endpoint list holds: changes, all backends, all backends as stored, or none (a failed poll)."""

    CHANGES = "INCREMENTAL"
    FULL = "FULL"
    SAVED = "SAVED"
    FAILED = "FAILED"


class ZoneState(Enum):
    """Whether requests are sent to a zone."""

    UP = "up"
    RETURNING = "returning"  # its share of the requests grows step by step
    LEFT = "left"  # it is sent health checks only
    DISABLED = "out by hand"  # disabled by an operator


class Outcome(Enum):
    """How an attempt or a counter call ended."""

    OK = "Ok"
    FAILED = "Failed"
    QUEUE_FULL = "QueueFull"
    TIMED_OUT = "TimedOut"
    CONNECT_FAILED = "ConnectError"
    RESET = "ResetByPeer"
    CANCELLED = "Canceled"
    IGNORED = "Ignored"
    NO_CONNECTION = "no room"  # no free connection at this gateway; the simulator never reports it


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """One backend of the endpoint list; `started_ms` is when its process started, 0 if not known."""

    backend: int
    zone: str
    cell: int
    started_ms: float
    state: BackendState
