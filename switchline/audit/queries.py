"""Questions to the audits of a fleet: who holds which version, when it was taken, what was acted on. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from switchline.fleet.chain import Record

Audits = Mapping[str, list[Record]]  # by gateway, each in its own order


class Holding(NamedTuple):
    """A version that a gateway acts on; `behind_s`: seconds since most took another, None where it has it."""

    name: str
    of: str
    version: str
    since: float  # milliseconds of wall time
    behind_s: float | None


class Taking(NamedTuple):
    """When a gateway took a version; `after_s`: seconds after the first one."""

    name: str
    wall: float
    after_s: float
    cause: str


def in_order(audits: Audits) -> list[Record]:
    """The records of all in an order that respects cause: each after what its gateway had heard by then."""
    return sorted((one for records in audits.values() for one in records), key=place)


def place(record: Record) -> tuple[int, int, str, int]:
    return (*record.at, record.name, record.n)


def at_time(records: Iterable[Record], wall: float) -> dict[tuple[str, str], Record]:
    """By kind and subject, what a gateway acted on at a moment of wall time."""
    found: dict[tuple[str, str], Record] = {}
    for record in records:
        if record.wall <= wall and record.version:
            found[record.kind, record.of] = record
    return found


def who(audits: Audits, kind: str, now: float) -> list[Holding]:
    """Who holds which version of a kind now, and who has another one than most, for how long."""
    held = {name: at_time(records, now) for name, records in audits.items()}
    found = []
    for of in sorted({of for ones in held.values() for one, of in ones if one == kind}):
        have = {name: ones[kind, of] for name, ones in held.items() if (kind, of) in ones}
        usual = most(record.version for record in have.values())
        took = sorted(record.wall for record in have.values() if record.version == usual)
        # Behind from the moment on at which more than half had it.
        half = took[len(audits) // 2] if len(took) > len(audits) // 2 else None
        for name, record in sorted(have.items()):
            late = half is not None and record.version != usual
            behind = max(0.0, now - half) / 1000 if late and half is not None else None
            found.append(Holding(name, of, record.version, record.wall, behind))
    return found


def most(versions: Iterable[str]) -> str:
    """The version that most hold; of equally many the greatest."""
    counts = Counter(versions)
    return max(counts, key=lambda version: (counts[version], version), default="")


def when(audits: Audits, kind: str, version: str) -> list[Taking]:
    """When each took a version: the first time, from the first gateway to the last.

    A version is named by its whole text or its first word, as a list's number.
    """
    firsts: dict[str, Record] = {}
    for name, records in audits.items():
        for record in records:
            if record.kind == kind and version in (record.version, record.version.partition(" ")[0]):
                firsts.setdefault(name, record)
    took = sorted(firsts.values(), key=lambda record: record.wall)
    first = took[0].wall if took else 0.0
    return [Taking(one.name, one.wall, (one.wall - first) / 1000, one.cause) for one in took]


def trace(audits: Audits, name: str) -> list[Record]:
    """All that is recorded of a backend or a zone, over all gateways, in order."""
    return [record for record in in_order(audits) if concerns(record, name)]


def concerns(record: Record, name: str) -> bool:
    if record.of == name or name in record.of.split(">"):
        return True
    words = record.cause.replace(":", " ").replace(",", " ").split()
    return record.kind in ("brought up", "shut out") and name in words
