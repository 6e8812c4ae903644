"""Whether this gateway's versions are stale, and what others' newer endpoint lists take away alike. Pure."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from switchline.fleet.messages import EndpointList

DIVERGENT_S = 5.0  # a version that most don't have is shown to the operators after so long
STALE_AFTER_S = 1.0  # most have a newer list for so long: an agent's usual delay is well below
MAX_RELEASE_PARTS = 4  # numbers of a release that are compared
CONFIG_DIGEST = re.compile(r"[0-9a-f]{4,64}")
MAX_NUMBER_DIGITS = 18
LEAST_AGREEING_LISTS = 2  # never one gateway's alone
NO_LIST = -1  # below all numbers of lists

DiscoveryHost = dict[str, Any]  # a host as the discovery protocol gives it
Release = tuple[int, ...]


class VersionKind(StrEnum):
    """What a gateway may have an old version of."""

    LIST = "list"
    PROGRAM = "program"
    CONFIG = "config"


class StaleListWatch:
    """Owns since when most gateways that are present have a newer endpoint list than this one."""

    def __init__(self) -> None:
        self.since_s: float | None = None

    def is_stale(self, now_s: float, own: int, others: Iterable[int | None]) -> bool:
        """Return whether this gateway's list is stale.

        It is once more than half of all gateways that are present, this one too, have had a newer list for
        `STALE_AFTER_S`.

        Args:
            now_s: The time.
            own: The number of its list.
            others: The numbers of the others' lists; None where one is not known.
        """
        known = list(others)
        if 2 * sum(other is not None and other > own for other in known) <= 1 + len(known):
            self.since_s = None
            return False
        if self.since_s is None:
            self.since_s = now_s
        return now_s - self.since_s >= STALE_AFTER_S


@dataclass(frozen=True, slots=True)
class VersionFloors:
    """Versions below which a gateway is stale, whatever most have; set by operators.

    Attributes:
        list_seq: Of the endpoint list.
        release: Of the program.
        configs: Digests of configurations: any of them will do; none for no floor.
    """

    list_seq: int = NO_LIST
    release: Release = ()
    configs: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return self != VersionFloors()

    def stale_version(self, list_seq: int, release: str | None, config: str | None) -> VersionKind | None:
        """Return which of a gateway's versions is below its floor; one that can't be read is below none."""
        if list_seq < self.list_seq:
            return VersionKind.LIST
        if (parse_release(release) or self.release) < self.release:
            return VersionKind.PROGRAM
        if self.configs and config and config not in self.configs:
            return VersionKind.CONFIG
        return None


def parse_release(text: str | None) -> Release | None:
    """Return the numbers of a release such as 1.4.2, without zeros at its end; None for what is none."""
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
    """Return the floors that operators set: "list 43", "program 1.4.2", "config DIGEST"; others are none."""
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
    """Owns since when most gateways that are present have another version of something than this one.

    Nothing follows from it but that operators are shown it: during a roll-out the newcomer is the one that
    differs.
    """

    def __init__(self) -> None:
        self.majority_versions: dict[str, str] = {}  # by kind: what most have instead, once it has lasted
        self._since_s: dict[str, float] = {}  # by kind

    def update(self, now_s: float, kind: str, own: str, others: Iterable[str | None]) -> bool:
        """Return whether what operators are shown of a kind has changed."""
        other = other_majority_version(own, others)
        if other is None:
            self._since_s.pop(kind, None)
            return self.majority_versions.pop(kind, None) is not None
        lasts = now_s - self._since_s.setdefault(kind, now_s) >= DIVERGENT_S
        if not lasts or self.majority_versions.get(kind) == other:
            return False
        self.majority_versions[kind] = other
        return True


def other_majority_version(own: str, others: Iterable[str | None]) -> str | None:
    """Return the version that more than half of all gateways have, this one too; None if it is the own."""
    known = list(others)
    counts = Counter(version for version in known if version)
    if not counts:
        return None
    version, count = counts.most_common(1)[0]
    return version if version != own and 2 * count > 1 + len(known) else None


def parse_list_seq(text: str | None) -> int | None:
    """Return a list's number as another gateway publishes it; None for none."""
    return int(text) if text is not None and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS else None


def seq_or_no_list(number: int | None) -> int:
    """Return a list's number, or `NO_LIST`, below all numbers, where there is no list."""
    return NO_LIST if number is None else number


def removes_all(own: list[DiscoveryHost], changes: Iterable[DiscoveryHost]) -> bool:
    """Return whether changes of the own list would leave no backend."""
    return len([host for host in changes if host["health"] == "removed"]) == len(own)


def restrictive_changes(own: Iterable[DiscoveryHost], newer: EndpointList) -> Iterator[DiscoveryHost]:
    """Yield the hosts of the own list that a newer one drains, removes, or shows to have started again.

    Nothing is added, and each host keeps the address by which this gateway reaches it.
    """
    newer_hosts = {host.host: host for host in newer.hosts}
    for host in own:
        other = newer_hosts.get(str(host["host"]))
        born_ms = float(host.get("born_ms") or 0)
        if other is None:
            yield host | {"health": "removed"}
        elif other.health == "draining" != host["health"] or other.born_ms > born_ms:
            health = other.health if other.health == "draining" else host["health"]
            yield host | {"health": health, "born_ms": max(born_ms, other.born_ms)}


def agreed_changes(own: list[DiscoveryHost], lists: list[EndpointList]) -> list[DiscoveryHost]:
    """Return what at least two newer lists take away alike; a removal counts as a drain as well."""
    changes: dict[str, list[DiscoveryHost]] = {}
    for newer in lists:
        for host in restrictive_changes(own, newer):
            if host["health"] != "up":
                changes.setdefault(str(host["host"]), []).append(host)
    agreed = []
    for of_host in changes.values():
        removals = sum(change["health"] == "removed" for change in of_host)
        if len(of_host) >= LEAST_AGREEING_LISTS:
            health = "removed" if removals >= LEAST_AGREEING_LISTS else "draining"
            agreed.append(of_host[0] | {"health": health})
    return agreed
