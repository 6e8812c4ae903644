"""Decodes the endpoint list that discovery sends as JSON.

This module maps discovery's names for the fields of a host (`host`, `dial`, `site`, `block`, `born_ms`,
`health`) and of a list (`seq`, `whole`, `hosts`) to those of this program.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import Any

from switchline.config import Address, parse_address
from switchline.errors import SwitchlineError
from switchline.policy.interface import BackendEntry, BackendState

STATE_BY_HEALTH = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}
HOST_NUMBER_BYTES = 8


class DiscoveryError(SwitchlineError):
    """Discovery sent an answer, a list or a change that is not accepted."""


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """A backend on the endpoint list.

    Attributes:
        entry: What the policy is given of the backend.
        address: Host and port to connect to.
    """

    entry: BackendEntry
    address: Address


@dataclass(frozen=True, slots=True)
class BackendList:
    """The complete endpoint list, or a change of it.

    Attributes:
        version: Version of the list after the change.
        is_full: Whether all backends are listed, rather than only those that have changed.
        backends: The backends that are listed.
    """

    version: int
    is_full: bool
    backends: tuple[ListedBackend, ...]


def host_number(host: str) -> int:
    """Return a 64-bit number for a host name, which is the same at every gateway and after every start."""
    digest = hashlib.blake2b(host.encode(), digest_size=HOST_NUMBER_BYTES).digest()
    return int.from_bytes(digest, "big")


def read_list(raw: Any) -> BackendList:
    """Decode a list or a change from parsed JSON.

    Raises:
        DiscoveryError: The list or one of its hosts is malformed.
    """
    try:
        backends = tuple(read_backend(host) for host in raw.get("hosts") or ())
        return BackendList(int(raw["seq"]), bool(raw.get("whole")), backends)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"{type(error).__name__} in the endpoint list: {error}") from error


def read_backend(raw: dict[str, Any]) -> ListedBackend:
    """Decode one host of a list from parsed JSON.

    Raises:
        KeyError, TypeError, ValueError, AttributeError, OverflowError: The host is malformed.
    """
    started_ms = float(raw.get("born_ms") or 0)
    if not math.isfinite(started_ms):
        raise ValueError("born_ms of a host must be a finite number")
    entry = BackendEntry(
        backend=host_number(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=int(raw.get("block") or 0),
        started_ms=started_ms,
        state=STATE_BY_HEALTH[raw["health"]],
    )
    return ListedBackend(entry, parse_address(raw["dial"]))
