"""Queries over the audits of a fleet: which gateway acts on which version, since when, and why. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from switchline.audit.chain import Record

KINDS_NAMING_BACKENDS_IN_CAUSE = frozenset({"brought up", "shut out"})
ZONE_SEPARATOR = ">"  # the subject of a zone's record is OBSERVERS>ZONE

Audits = Mapping[str, list[Record]]
"""The records of each gateway, in the order in which it wrote them."""


class Subject(NamedTuple):
    """The subject of a version: its kind, and a backend, zone or gateway; empty if the kind has only one."""

    kind: str
    name: str


class CurrentVersion(NamedTuple):
    """The version of a subject that a gateway acts on.

    Attributes:
        name: the gateway.
        subject: the name of the version's subject.
        version: the version.
        since_ms: the wall time at which the gateway adopted it, in Unix milliseconds.
        stale_s: seconds since the majority of gateways adopted another version; None if it is not stale.
    """

    name: str
    subject: str
    version: str
    since_ms: float
    stale_s: float | None


class Adoption(NamedTuple):
    """The adoption of a version by a gateway.

    Attributes:
        name: the gateway.
        at_ms: the wall time of the adoption, in Unix milliseconds.
        after_s: seconds after the adoption by the first gateway.
        cause: the cause that the gateway recorded.
    """

    name: str
    at_ms: float
    after_s: float
    cause: str


def in_causal_order(audits: Audits) -> list[Record]:
    """Return the records of all gateways, each after the records that its gateway had heard of by then."""
    return sorted((record for records in audits.values() for record in records), key=causal_order_key)


def causal_order_key(record: Record) -> tuple[int, int, str, int]:
    """Return the sort key of causal order: the timestamp (hybrid logical clock), gateway and number."""
    return (*record.timestamp, record.name, record.number)


def versions_at(records: Iterable[Record], wall_ms: float) -> dict[Subject, Record]:
    """Return the record of each version that a gateway acted on at a wall time, in Unix milliseconds."""
    latest: dict[Subject, Record] = {}
    for record in records:
        if record.wall_ms <= wall_ms and record.version:
            latest[Subject(record.kind, record.subject)] = record
    return latest


def current_versions(audits: Audits, kind: str, now_ms: float) -> list[CurrentVersion]:
    """Return which gateways act on which version of a kind now, and for how long stale ones have been stale.

    Args:
        audits: the audits of all gateways.
        kind: the kind of the versions.
        now_ms: the wall time in Unix milliseconds.
    """
    by_gateway = {name: versions_at(records, now_ms) for name, records in audits.items()}
    names = {subject.name for versions in by_gateway.values() for subject in versions if subject.kind == kind}
    result: list[CurrentVersion] = []
    for name in sorted(names):
        subject = Subject(kind, name)
        record_by_gateway = {
            gateway: versions[subject] for gateway, versions in by_gateway.items() if subject in versions
        }
        result.extend(current_versions_of_subject(name, record_by_gateway, len(audits), now_ms))
    return result


def current_versions_of_subject(
    name: str, record_by_gateway: Mapping[str, Record], gateway_count: int, now_ms: float
) -> list[CurrentVersion]:
    """Return the current versions of one subject; `gateway_count` includes gateways without a version."""
    most_common = most_common_version(record.version for record in record_by_gateway.values())
    taken = sorted(record.wall_ms for record in record_by_gateway.values() if record.version == most_common)
    # A gateway is stale from the time at which more than half of all had adopted the most common version.
    majority_at_ms = taken[gateway_count // 2] if len(taken) > gateway_count // 2 else None
    result = []
    for gateway, record in sorted(record_by_gateway.items()):
        stale_s = None
        if majority_at_ms is not None and record.version != most_common:
            stale_s = max(0.0, now_ms - majority_at_ms) / 1000
        result.append(CurrentVersion(gateway, name, record.version, record.wall_ms, stale_s))
    return result


def most_common_version(versions: Iterable[str]) -> str:
    """Return the most common version; of several, the greatest."""
    counts = Counter(versions)
    return max(counts, key=lambda version: (counts[version], version), default="")


def adoptions(audits: Audits, kind: str, version: str) -> list[Adoption]:
    """Return when each gateway first adopted a version, in the order of wall time.

    Args:
        audits: the audits of all gateways.
        kind: the kind of the version.
        version: the text of the version, or its first word, such as the number of a list.
    """
    first_records: dict[str, Record] = {}
    for name, records in audits.items():
        for record in records:
            if record.kind == kind and version in (record.version, record.version.partition(" ")[0]):
                first_records.setdefault(name, record)
    taken = sorted(first_records.values(), key=lambda record: record.wall_ms)
    first_wall_ms = taken[0].wall_ms if taken else 0.0
    return [
        Adoption(record.name, record.wall_ms, (record.wall_ms - first_wall_ms) / 1000, record.cause)
        for record in taken
    ]


def trace(audits: Audits, name: str) -> list[Record]:
    """Return the records of all gateways about a backend or a zone, in causal order."""
    return [record for record in in_causal_order(audits) if concerns(record, name)]


def concerns(record: Record, name: str) -> bool:
    """Return whether a record is about a backend or a zone, or its cause names that backend."""
    if record.subject == name or name in record.subject.split(ZONE_SEPARATOR):
        return True
    words = record.cause.replace(":", " ").replace(",", " ").split()
    return record.kind in KINDS_NAMING_BACKENDS_IN_CAUSE and name in words
