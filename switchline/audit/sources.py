"""Where staff's commands read audits: the folders of gateways, and the addresses of running ones."""

from __future__ import annotations

import json
import urllib.request
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from switchline.audit.queries import causal_order_key
from switchline.audit.segments import segment_paths, text_lines
from switchline.fleet.chain import Finding, Head, Record, verify
from switchline.fleet.messages import HybridTimestamp, Incarnation

REPLY_TIMEOUT_S = 2.0  # of a gateway
MAX_PARALLEL_READS = 64
HEAD_FACT = "audit"  # kind of the facts by which gateways tell each other their last records


class Source(NamedTuple):
    """The audit of one gateway, as one source has it.

    Attributes:
        name: of the gateway.
        records: those that are sound.
        findings: what is wrong with the chain of a folder.
        heads: of other gateways by name, the last records that this one was told of.
        last: the last record of a folder's chain.
    """

    name: str
    records: list[Record]
    findings: list[Finding]
    heads: dict[str, Head]
    last: Head | None = None


class Readings(NamedTuple):
    """The audits by source, and why there is none of the others."""

    found: dict[str, Source]
    failures: dict[str, str]


class RecordIdentity(NamedTuple):
    """Identifies a record of a gateway that several sources have."""

    incarnation: Incarnation
    stamp: HybridTimestamp
    kind: str
    subject: str


def fetch(address: str, call: str) -> Any:
    """Return the JSON that a gateway replies to `GET /ops/CALL`.

    Raises:
        OSError: it can't be reached, or the status is an error.
        ValueError: the reply is no JSON.
    """
    with urllib.request.urlopen(f"http://{address}/ops/{call}", timeout=REPLY_TIMEOUT_S) as reply:
        return json.loads(reply.read())


def read_folder(folder: Path, heads: Mapping[str, Head] | None = None) -> Source:
    """Read a folder; `heads` are the last records that others were told of, by gateway.

    Raises:
        OSError: it can't be read.
    """
    segments = ((path.name, text_lines(path)) for path in segment_paths(folder))
    records, findings, last = verify(segments)
    source = Source(records[0].name if records else folder.name, records, findings, {}, last)
    findings += missing_end(source, heads or {})
    return source


def missing_end(source: Source, heads: Mapping[str, Head]) -> list[Finding]:
    """Return a finding if a chain lacks the last record that others were told of."""
    head = heads.get(source.name)
    last = source.last
    if head is None or (last is not None and (head == last or head.n < last.n)):
        return []
    return [Finding("", 0, f"record {head.n}, as others were told of it, is not there")]


def read_address(address: str, with_heads: bool = False) -> Source:
    """Read what a running gateway has in memory.

    Args:
        address: of its operators, host:port.
        with_heads: also what it was told of others' chains, which is much.

    Raises:
        OSError: it can't be reached; ValueError, KeyError and msgspec.MsgspecError: it replied something
            else.
    """
    reply = fetch(address, "audit")
    recent = msgspec.convert(reply["records"], list[Record])
    current = msgspec.convert(reply["versions"], list[Record])
    known = {(record.kind, record.of, record.at) for record in recent}
    older = [record for record in current if (record.kind, record.of, record.at) not in known]
    heads = fetch_heads(address) if with_heads else {}
    return Source(str(reply["name"]), sorted([*older, *recent], key=causal_order_key), [], heads)


def fetch_heads(address: str) -> dict[str, Head]:
    """Return, by gateway, the last record that it told the one at an address of."""
    try:
        facts = fetch(address, "fleet")["facts"]
    except (OSError, ValueError, KeyError):
        return {}  # a gateway without a fleet has none
    heads = {}
    for fact in facts:
        number, _, digest = str(fact["value"] or "").partition(" ")
        if fact["kind"] == HEAD_FACT and number.isdecimal():
            heads[str(fact["origin"])] = Head(int(number), digest)
    return heads


def read(source: str, with_heads: bool = False) -> Source | str:
    """Return the audit of a folder or an address, or why there is none."""
    try:
        if Path(source).is_dir():
            return read_folder(Path(source))
        return read_address(source, with_heads)
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as error:
        return str(error) or type(error).__name__


def read_all(sources: tuple[str, ...], with_heads: bool = False) -> Readings:
    """Read sources side by side."""
    with ThreadPoolExecutor(min(MAX_PARALLEL_READS, len(sources))) as pool:
        results = pool.map(partial(read, with_heads=with_heads), sources)
        by_source = dict(zip(sources, results, strict=True))
    found = {source: result for source, result in by_source.items() if isinstance(result, Source)}
    return Readings(found, {source: why for source, why in by_source.items() if isinstance(why, str)})


def audits_by_gateway(found: Mapping[str, Source]) -> dict[str, list[Record]]:
    """Return the records by gateway in causal order, from all its sources, each record once."""
    merged: dict[str, dict[RecordIdentity, Record]] = {}
    for source in found.values():
        for record in source.records:
            identity = RecordIdentity(record.life, record.at, record.kind, record.of)
            merged.setdefault(source.name, {}).setdefault(identity, record)
    return {name: sorted(records.values(), key=causal_order_key) for name, records in merged.items()}
