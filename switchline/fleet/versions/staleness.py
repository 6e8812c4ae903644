"""Detects stale versions, and finds the changes that other gateways' newer endpoint lists agree on. Pure."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from switchline.fleet.messages import EndpointList

DIVERGENCE_DELAY_S = 5.0  # operators are shown a version that most others lack after this time
# A list is stale once most gateways have had a newer one for so long; an agent's usual delay is far shorter.
STALE_AFTER_S = 1.0
MAX_RELEASE_PARTS = 4  # a release has at most so many numbers
CONFIG_DIGEST = re.compile(r"[0-9a-f]{4,64}")
MAX_NUMBER_DIGITS = 18
MIN_AGREEING_LISTS = 2  # one other gateway's list alone changes nothing
NO_LIST = -1  # stands for no list; lower than the sequence number of any list

DiscoveryHost = dict[str, Any]  # a host in the form of the discovery protocol
Release = tuple[int, ...]


class VersionKind(StrEnum):
    """What a gateway may have a stale version of."""

    LIST = "list"
    PROGRAM = "program"
    CONFIG = "config"


class StaleListWatch:
    """Owns since when most present gateways have a newer endpoint list than this one."""

    def __init__(self) -> None:
        self.stale_since_s: float | None = None

    def is_stale(self, now_s: float, own: int, others: Iterable[int | None]) -> bool:
        """Return whether this gateway's list is stale.

        It is stale once more than half of all present gateways, including this one, have had a newer list
        for `STALE_AFTER_S`.

        Args:
            now_s: Monotonic time in seconds.
            own: The sequence number of its list.
            others: The sequence numbers of the others' lists; None for one that is not known.
        """
        known = list(others)
        if 2 * sum(other is not None and other > own for other in known) <= 1 + len(known):
            self.stale_since_s = None
            return False
        if self.stale_since_s is None:
            self.stale_since_s = now_s
        return now_s - self.stale_since_s >= STALE_AFTER_S


@dataclass(frozen=True, slots=True)
class VersionFloors:
    """Versions set by operators; a gateway below one is stale, whatever versions most gateways have.

    Attributes:
        list_seq: The lowest sequence number of the endpoint list.
        release: The lowest release of the program; empty for no floor.
        configs: Digests of the accepted configurations; empty for no floor.
    """

    list_seq: int = NO_LIST
    release: Release = ()
    configs: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return self != VersionFloors()

    def stale_version(self, list_seq: int, release: str | None, config: str | None) -> VersionKind | None:
        """Return which of a gateway's versions is below its floor; None if none is.

        A release that is missing or can't be parsed, or a missing configuration, is not below a floor.
        """
        if list_seq < self.list_seq:
            return VersionKind.LIST
        if (parse_release(release) or self.release) < self.release:
            return VersionKind.PROGRAM
        if self.configs and config and config not in self.configs:
            return VersionKind.CONFIG
        return None


def parse_release(text: str | None) -> Release | None:
    """Return the numbers of a release such as 1.4.2, without trailing zeros; None if it is invalid."""
    parts = (text or "").split(".")
    if len(parts) > MAX_RELEASE_PARTS:
        return None
    if not all(part.isdecimal() and len(part) <= MAX_NUMBER_DIGITS for part in parts):
        return None
    numbers = [int(part) for part in parts]
    while numbers and not numbers[-1]:
        numbers.pop()
    return tuple(numbers)


def parse_floors(names: Iterable[str]) -> VersionFloors:
    """Return the version floors in operators' names; names of any other form are ignored.

    The forms are "list 43", "program 1.4.2" and "config DIGEST".
    """
    list_seq = NO_LIST
    release: Release = ()
    configs = set[str]()
    for name in names:
        kind, _, version = name.partition(" ")
        if kind == VersionKind.LIST:
            list_seq = max(list_seq, seq_or_no_list(parse_list_seq(version)))
        elif kind == VersionKind.PROGRAM:
            release = max(release, parse_release(version) or ())
        elif kind == VersionKind.CONFIG and CONFIG_DIGEST.fullmatch(version):
            configs.add(version)
    return VersionFloors(list_seq, release, frozenset(configs))


class VersionDivergence:
    """Owns since when most present gateways have another version of something than this one.

    It is only shown to operators and changes nothing else, as during a roll-out it is the first updated
    gateway that differs.
    """

    def __init__(self) -> None:
        self.majority_versions: dict[str, str] = {}  # by kind, once most have had it for long
        self._since_s: dict[str, float] = {}  # when the divergence began, by kind

    def update(self, now_s: float, kind: str, own: str, others: Iterable[str | None]) -> bool:
        """Update one kind of version; return whether `majority_versions` has changed for it."""
        majority_version = other_majority_version(own, others)
        if majority_version is None:
            self._since_s.pop(kind, None)
            return self.majority_versions.pop(kind, None) is not None
        is_due = now_s - self._since_s.setdefault(kind, now_s) >= DIVERGENCE_DELAY_S
        if not is_due or self.majority_versions.get(kind) == majority_version:
            return False
        self.majority_versions[kind] = majority_version
        return True


def other_majority_version(own: str, others: Iterable[str | None]) -> str | None:
    """Return the version that more than half of all gateways have; None if none, or if it is this one's."""
    known = list(others)
    counts = Counter(version for version in known if version)
    if not counts:
        return None
    version, count = counts.most_common(1)[0]
    return version if version != own and 2 * count > 1 + len(known) else None


def parse_list_seq(text: str | None) -> int | None:
    """Return the sequence number of a list from its published text; None if missing or invalid."""
    return int(text) if text is not None and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS else None


def seq_or_no_list(seq: int | None) -> int:
    """Return a list's sequence number, or `NO_LIST` if there is no list."""
    return NO_LIST if seq is None else seq


def removes_all(own: list[DiscoveryHost], changes: Iterable[DiscoveryHost]) -> bool:
    """Return whether these changes to the own list would remove every backend."""
    return len([host for host in changes if host["health"] == "removed"]) == len(own)


def restrictive_changes(own: Iterable[DiscoveryHost], newer: EndpointList) -> Iterator[DiscoveryHost]:
    """Yield the hosts of the own list that a newer list drains, removes, or shows as restarted.

    No host is added, and each keeps the address at which this gateway reaches it.
    """
    newer_hosts = {host.host: host for host in newer.hosts}
    for host in own:
        newer_host = newer_hosts.get(str(host["host"]))
        born_ms = float(host.get("born_ms") or 0)
        if newer_host is None:
            yield host | {"health": "removed"}
        elif newer_host.health == "draining" != host["health"] or newer_host.born_ms > born_ms:
            health = newer_host.health if newer_host.health == "draining" else host["health"]
            yield host | {"health": health, "born_ms": max(born_ms, newer_host.born_ms)}


def agreed_changes(own: list[DiscoveryHost], lists: list[EndpointList]) -> list[DiscoveryHost]:
    """Return the drains and removals that at least two newer lists agree on; a removal is also a drain."""
    changes: dict[str, list[DiscoveryHost]] = {}
    for newer in lists:
        for host in restrictive_changes(own, newer):
            if host["health"] != "up":
                changes.setdefault(str(host["host"]), []).append(host)
    agreed = []
    for host_changes in changes.values():
        removals = sum(change["health"] == "removed" for change in host_changes)
        if len(host_changes) >= MIN_AGREEING_LISTS:
            health = "removed" if removals >= MIN_AGREEING_LISTS else "draining"
            agreed.append(host_changes[0] | {"health": health})
    return agreed
