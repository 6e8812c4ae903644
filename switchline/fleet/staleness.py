"""Whether this gateway's list is behind the fleet's, and what others' newer lists say alike. Pure."""

from __future__ import annotations

import re
from collections import Counter as Counts
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from switchline.fleet.messages import Listed

APART_S = 5.0  # a version that most don't have is told to staff after so long
BEHIND_S = 1.0  # most have a newer one for so long: an agent's lateness is well below
RELEASE_PARTS = 4  # numbers of a release that are compared
DIGEST = re.compile(r"[0-9a-f]{4,64}")  # of a configuration, as gateways tell it
LARGEST = 18  # digits of a list's number as it is told
WORDS = 2  # gateways that must say the same: never one peer's word

Raw = dict[str, Any]  # a host in discovery's words


class StaleList:
    """Owns since when most of those here have a newer list than this gateway. Times are seconds."""

    def __init__(self) -> None:
        self.since: float | None = None

    def look(self, now: float, own: int, others: Iterable[int | None]) -> bool:
        """Whether it is behind: most of all here, this one too, have had a newer list for long enough.

        `others` are the numbers of their lists, None where one tells none.
        """
        told = list(others)
        if 2 * sum(other is not None and other > own for other in told) <= 1 + len(told):
            self.since = None
            return False
        if self.since is None:
            self.since = now
        return now - self.since >= BEHIND_S


@dataclass(frozen=True, slots=True)
class Floors:
    """Versions under which a gateway is behind, whatever most have."""

    seq: int = -1  # of the list
    release: tuple[int, ...] = ()  # of the program
    configs: frozenset[str] = frozenset()  # digests: any of these will do, where there are some

    def __bool__(self) -> bool:
        return self != Floors()

    def below(self, seq: int, release: str | None, config: str | None) -> str:
        """Which of a gateway's versions is under its floor; "" for none. What can't be read is under none."""
        if seq < self.seq:
            return "list"
        if (read_release(release) or self.release) < self.release:
            return "program"
        return "config" if self.configs and config and config not in self.configs else ""


def read_release(told: str | None) -> tuple[int, ...] | None:
    """The numbers of a release such as 1.4.2, those at its end that are 0 left out; None for what is none."""
    parts = (told or "").split(".")
    if len(parts) > RELEASE_PARTS or not all(part.isdecimal() and len(part) <= LARGEST for part in parts):
        return None
    numbers = [int(part) for part in parts]
    while numbers and not numbers[-1]:
        numbers.pop()
    return tuple(numbers)


def floors_of(names: Iterable[str]) -> Floors:
    """What operators called floors: "list 43", "program 1.4.2" or "config DIGEST"; others are left out."""
    seq, release, configs = -1, tuple[int, ...](), set[str]()
    for name in names:
        kind, _, version = name.partition(" ")
        if kind == "list":
            found = number(version)
            seq = max(seq, -1 if found is None else found)
        elif kind == "program":
            release = max(release, read_release(version) or ())
        elif kind == "config" and DIGEST.fullmatch(version):
            configs.add(version)
    return Floors(seq, release, frozenset(configs))


class Divergence:
    """Owns since when most of those here tell another version of something than this gateway has.

    Nothing follows from it but that staff are told: during a release the newcomer is the one that differs.
    """

    def __init__(self) -> None:
        self.since: dict[str, float] = {}  # by kind
        self.told: dict[str, str] = {}  # what most have instead, once it has lasted

    def look(self, now: float, kind: str, own: str, others: Iterable[str | None]) -> bool:
        """Whether what staff are to be told of this kind has changed."""
        other = usual(own, others)
        if other is None:
            self.since.pop(kind, None)
            return self.told.pop(kind, None) is not None
        lasts = now - self.since.setdefault(kind, now) >= APART_S
        if not lasts or self.told.get(kind) == other:
            return False
        self.told[kind] = other
        return True


def usual(own: str, others: Iterable[str | None]) -> str | None:
    """What more than half of all here, this one too, tell alike, where that is another than the own."""
    told = list(others)
    counts = Counts(one for one in told if one)
    value, number_ = counts.most_common(1)[0] if counts else (own, 0)
    return value if value != own and 2 * number_ > 1 + len(told) else None


def number(told: str | None) -> int | None:
    """A list's number as another gateway tells it; None where it has none, or for what is none."""
    return int(told) if told is not None and told.isdecimal() and len(told) <= LARGEST else None


def seq_of(version: int | None) -> int:
    """A list's number, below all numbers where there is no list."""
    return -1 if version is None else version


def leaves_none(own: list[Raw], changes: Iterable[Raw]) -> bool:
    """Whether changes of one's own list would leave no backend at all."""
    return len([host for host in changes if host["health"] == "removed"]) == len(own)


def bound_by(own: Iterable[Raw], newer: Listed) -> Iterator[Raw]:
    """The hosts of the own list that a newer one drains, removes or tells a later start of.

    Nothing is added, and each host keeps the address that this gateway reaches it by.
    """
    told = {host.host: host for host in newer.hosts}
    for host in own:
        other, born = told.get(str(host["host"])), float(host.get("born_ms") or 0)
        if other is None:
            yield host | {"health": "removed"}
        elif other.health == "draining" != host["health"] or other.born_ms > born:
            health = other.health if other.health == "draining" else host["health"]
            yield host | {"health": health, "born_ms": max(born, other.born_ms)}


def agreed(own: list[Raw], lists: list[Listed]) -> list[Raw]:
    """What at least so many of the newer lists take away alike; a removal stands for a drain as well."""
    said: dict[str, list[Raw]] = {}
    for listed in lists:
        for host in bound_by(own, listed):
            if host["health"] != "up":
                said.setdefault(str(host["host"]), []).append(host)
    found = []
    for words in said.values():
        removed = sum(word["health"] == "removed" for word in words)
        if len(words) >= WORDS:
            found.append(words[0] | {"health": "removed" if removed >= WORDS else "draining"})
    return found
