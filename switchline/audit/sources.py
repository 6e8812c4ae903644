"""The sources from which operators' commands read audits: folders, and addresses of running gateways."""

from __future__ import annotations

import json
import urllib.request
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from switchline.audit.chain import Finding, Head, Record, verify_chain
from switchline.audit.queries import causal_order_key
from switchline.audit.segments import segment_paths, text_lines
from switchline.fleet.messages import HybridTimestamp, Incarnation

REPLY_TIMEOUT_S = 2.0  # limits a call to a gateway
MAX_PARALLEL_READS = 64
HEAD_FACT = "audit"  # the kind of the facts by which gateways publish their last records


class Source(NamedTuple):
    """The audit of one gateway, read from one source.

    Attributes:
        name: the gateway.
        records: the valid records.
        findings: the faults in the chain of a folder.
        heads: the last records that other gateways published to this one, by gateway.
        last: the last record in the chain of a folder; None for an address.
    """

    name: str
    records: list[Record]
    findings: list[Finding]
    heads: dict[str, Head]
    last: Head | None = None


class SourceResults(NamedTuple):
    """The audits by source, and the error by source for those that could not be read."""

    audits_by_source: dict[str, Source]
    failures: dict[str, str]


class RecordIdentity(NamedTuple):
    """Identifies a record of a gateway, to find it in several sources."""

    incarnation: Incarnation
    timestamp: HybridTimestamp
    kind: str
    subject: str


def fetch(address: str, call: str) -> Any:
    """Return the decoded JSON reply of a gateway to `GET /ops/CALL`; `address` is host:port.

    Raises:
        OSError: the gateway can't be reached, or replies with an error status.
        ValueError: the reply is not JSON.
    """
    with urllib.request.urlopen(f"http://{address}/ops/{call}", timeout=REPLY_TIMEOUT_S) as reply:
        return json.loads(reply.read())


def read_folder(folder: Path, heads: Mapping[str, Head] | None = None) -> Source:
    """Read the audit in a folder; `heads` are the last records that gateways published, by gateway.

    Raises:
        OSError: the folder can't be read.
    """
    segments = ((path.name, text_lines(path)) for path in segment_paths(folder))
    records, findings, last_head = verify_chain(segments)
    source = Source(records[0].name if records else folder.name, records, findings, {}, last_head)
    findings += missing_head_findings(source, heads or {})
    return source


def missing_head_findings(source: Source, heads: Mapping[str, Head]) -> list[Finding]:
    """Return a finding if a chain lacks the last record that its gateway published."""
    published_head = heads.get(source.name)
    last_head = source.last
    if published_head is None or (
        last_head is not None and (published_head == last_head or published_head.number < last_head.number)
    ):
        return []
    return [Finding("", 0, f"record {published_head.number}, which the gateway published, is missing")]


def read_address(address: str, with_heads: bool = False) -> Source:
    """Read the records that a running gateway has in memory.

    Args:
        address: its operator address, host:port.
        with_heads: also read the heads that other gateways published to it, which is a large reply.

    Raises:
        OSError: the gateway can't be reached.
        ValueError, KeyError, msgspec.MsgspecError: its reply is malformed.
    """
    reply = fetch(address, "audit")
    recent = msgspec.convert(reply["records"], list[Record])
    current = msgspec.convert(reply["versions"], list[Record])
    recent_keys = {(record.kind, record.subject, record.timestamp) for record in recent}
    older = [
        record for record in current if (record.kind, record.subject, record.timestamp) not in recent_keys
    ]
    heads = fetch_heads(address) if with_heads else {}
    return Source(str(reply["name"]), sorted([*older, *recent], key=causal_order_key), [], heads)


def fetch_heads(address: str) -> dict[str, Head]:
    """Return the last records that gateways published to the one at an address, by gateway."""
    try:
        facts = fetch(address, "fleet")["facts"]
    except (OSError, ValueError, KeyError):
        return {}  # a gateway without a fleet receives no heads
    heads = {}
    for fact in facts:
        number, _, digest = str(fact["value"] or "").partition(" ")
        if fact["kind"] == HEAD_FACT and number.isdecimal():
            heads[str(fact["origin"])] = Head(int(number), digest)
    return heads


def read_source(source: str, with_heads: bool = False) -> Source | str:
    """Return the audit of a folder or an address, or the text of the error."""
    try:
        if Path(source).is_dir():
            return read_folder(Path(source))
        return read_address(source, with_heads)
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as error:
        return str(error) or type(error).__name__


def read_all(sources: tuple[str, ...], with_heads: bool = False) -> SourceResults:
    """Read sources in parallel."""
    with ThreadPoolExecutor(min(MAX_PARALLEL_READS, len(sources))) as pool:
        results = pool.map(partial(read_source, with_heads=with_heads), sources)
        by_source = dict(zip(sources, results, strict=True))
    audits_by_source = {source: result for source, result in by_source.items() if isinstance(result, Source)}
    return SourceResults(
        audits_by_source, {source: reason for source, reason in by_source.items() if isinstance(reason, str)}
    )


def audits_by_gateway(audits_by_source: Mapping[str, Source]) -> dict[str, list[Record]]:
    """Return the records of each gateway from all its sources, in causal order, without duplicates."""
    merged: dict[str, dict[RecordIdentity, Record]] = {}
    for source in audits_by_source.values():
        for record in source.records:
            identity = RecordIdentity(record.incarnation, record.timestamp, record.kind, record.subject)
            merged.setdefault(source.name, {}).setdefault(identity, record)
    return {name: sorted(records.values(), key=causal_order_key) for name, records in merged.items()}
