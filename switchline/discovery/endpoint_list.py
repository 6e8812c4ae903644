"""The endpoint list as discovery sends it, decoded.

Discovery's own words for the fields of a host (`host`, `dial`, `site`, `block`, `born_ms`, `health`) and of a
list (`seq`, `whole`, `hosts`) are mapped here.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import Any

from switchline.config import Address, parse_address
from switchline.errors import SwitchlineError
from switchline.policy.interface import BackendEntry, BackendState

HEALTH = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}
NUMBER_BYTES = 8


class DiscoveryError(SwitchlineError):
    """Discovery sent something that can't be accepted."""


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """A backend on the list, with the address to connect to."""

    entry: BackendEntry
    address: Address


@dataclass(frozen=True, slots=True)
class BackendList:
    """The list, or a change of it.

    Attributes:
        version: of the list after the change.
        is_full: all backends are named; else only those that have changed.
        backends: that are named.
    """

    version: int
    is_full: bool
    backends: tuple[ListedBackend, ...]


def host_number(host: str) -> int:
    """Return a number for a host's name, the same at every gateway and after every start."""
    digest = hashlib.blake2b(host.encode(), digest_size=NUMBER_BYTES).digest()
    return int.from_bytes(digest, "big")


def read_list(raw: Any) -> BackendList:
    """Decode a list or a change; raises DiscoveryError if it is malformed."""
    try:
        backends = tuple(read_backend(host) for host in raw.get("hosts") or ())
        return BackendList(int(raw["seq"]), bool(raw.get("whole")), backends)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"{type(error).__name__}: {error}") from error


def read_backend(raw: dict[str, Any]) -> ListedBackend:
    """Decode a host; raises KeyError, TypeError or ValueError if it is malformed."""
    started = float(raw.get("born_ms") or 0)
    if not math.isfinite(started):
        raise ValueError("born_ms")
    entry = BackendEntry(
        backend=host_number(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=int(raw.get("block") or 0),
        started_ms=started,
        state=HEALTH[raw["health"]],
    )
    return ListedBackend(entry, parse_address(raw["dial"]))
