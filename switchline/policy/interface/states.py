"""States of backends, lists, zones and attempts, as events name them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BackendState(Enum):
    """Whether the endpoint list lets a backend have new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What an endpoint list holds: changes, everything, everything as stored, or nothing (a failed poll)."""

    CHANGES = "INCREMENTAL"
    FULL = "FULL"
    SAVED = "SAVED"
    FAILED = "FAILED"


class ZoneState(Enum):
    """Whether a zone gets work."""

    UP = "up"
    RETURNING = "returning"  # its share of the work grows
    LEFT = "left"  # it gets health checks alone
    DISABLED = "out by hand"  # by an operator


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
    NO_CONNECTION = "no room"  # this gateway had no connection left for it; the simulator never reports it


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """One backend of the endpoint list; `started_ms` is when its process began, 0 if not known."""

    backend: int
    zone: str
    cell: int
    started_ms: float
    state: BackendState
