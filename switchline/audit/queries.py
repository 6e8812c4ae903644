"""Queries over the audits of a fleet: who acts on which version, when they took it, and why. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from switchline.audit.chain import Record

ACTS_NAMED_IN_CAUSE = frozenset({"brought up", "shut out"})  # their causes name the backends concerned
ZONE_SEPARATOR = ">"  # a zone's subject is OBSERVERS>ZONE

Audits = Mapping[str, list[Record]]  # by gateway, each in its own order


class Subject(NamedTuple):
    """What has a version: a kind, and the backend, zone or gateway of that kind, empty where there is one."""

    kind: str
    name: str


class Holding(NamedTuple):
    """A version that a gateway acts on.

    Attributes:
        name: of the gateway.
        of: the version's subject.
        version: that it acts on.
        since: when it took it, in milliseconds of wall time.
        behind_s: seconds since most gateways took another one; None if it has what most have.
    """

    name: str
    of: str
    version: str
    since: float
    behind_s: float | None


class Adoption(NamedTuple):
    """When a gateway took a version.

    Attributes:
        name: of the gateway.
        wall: when, in milliseconds of wall time.
        after_s: seconds after the first gateway.
        cause: why.
    """

    name: str
    wall: float
    after_s: float
    cause: str


def in_causal_order(audits: Audits) -> list[Record]:
    """Return the records of all gateways, each after what its gateway had received by then."""
    return sorted((record for records in audits.values() for record in records), key=causal_order_key)


def causal_order_key(record: Record) -> tuple[int, int, str, int]:
    """Return the place of a record in the fleet's order: its stamp, then its gateway and number."""
    return (*record.timestamp, record.name, record.number)


def versions_at(records: Iterable[Record], wall: float) -> dict[Subject, Record]:
    """Return what a gateway acted on at a moment, in milliseconds of wall time."""
    found: dict[Subject, Record] = {}
    for record in records:
        if record.wall_ms <= wall and record.version:
            found[Subject(record.kind, record.subject)] = record
    return found


def holdings(audits: Audits, kind: str, now: float) -> list[Holding]:
    """Return who acts on which version of a kind now, and for how long it has not been that of most.

    Args:
        audits: of all gateways.
        kind: of the versions.
        now: in milliseconds of wall time.
    """
    by_gateway = {name: versions_at(records, now) for name, records in audits.items()}
    names = {subject.name for versions in by_gateway.values() for subject in versions if subject.kind == kind}
    found: list[Holding] = []
    for name in sorted(names):
        subject = Subject(kind, name)
        holders = {
            gateway: versions[subject] for gateway, versions in by_gateway.items() if subject in versions
        }
        found.extend(holdings_of_subject(name, holders, len(audits), now))
    return found


def holdings_of_subject(name: str, holders: Mapping[str, Record], gateways: int, now: float) -> list[Holding]:
    """Return the holdings of one subject; `gateways` counts those without a version as well."""
    usual = most_common_version(record.version for record in holders.values())
    taken = sorted(record.wall_ms for record in holders.values() if record.version == usual)
    # A gateway is behind from the moment at which more than half of all had the usual version.
    majority_at = taken[gateways // 2] if len(taken) > gateways // 2 else None
    found = []
    for gateway, record in sorted(holders.items()):
        behind_s = None
        if majority_at is not None and record.version != usual:
            behind_s = max(0.0, now - majority_at) / 1000
        found.append(Holding(gateway, name, record.version, record.wall_ms, behind_s))
    return found


def most_common_version(versions: Iterable[str]) -> str:
    """Return the version that most have; of equally many, the greatest."""
    counts = Counter(versions)
    return max(counts, key=lambda version: (counts[version], version), default="")


def adoptions(audits: Audits, kind: str, version: str) -> list[Adoption]:
    """Return when each gateway first took a version, from the first gateway to the last.

    Args:
        audits: of all gateways.
        kind: of the version.
        version: its whole text, or the first word of it, as a list's number.
    """
    first_records: dict[str, Record] = {}
    for name, records in audits.items():
        for record in records:
            if record.kind == kind and version in (record.version, record.version.partition(" ")[0]):
                first_records.setdefault(name, record)
    taken = sorted(first_records.values(), key=lambda record: record.wall_ms)
    first_wall = taken[0].wall_ms if taken else 0.0
    return [
        Adoption(record.name, record.wall_ms, (record.wall_ms - first_wall) / 1000, record.cause)
        for record in taken
    ]


def trace(audits: Audits, name: str) -> list[Record]:
    """Return all that is recorded of a backend or a zone, over all gateways, in causal order."""
    return [record for record in in_causal_order(audits) if concerns(record, name)]


def concerns(record: Record, name: str) -> bool:
    """Return whether a record is of a backend or a zone, or names it as the cause of an act."""
    if record.subject == name or name in record.subject.split(ZONE_SEPARATOR):
        return True
    words = record.cause.replace(":", " ").replace(",", " ").split()
    return record.kind in ACTS_NAMED_IN_CAUSE and name in words
