"""For staff: questions to the audits of a fleet. `python -m switchline.ctl audit COMMAND SOURCE...`

A SOURCE is an operator address (host:port: what the gateway has in memory) or the folder of an audit (all
that is kept). What could not be reached is named. Exit codes as for the other commands; `verify`: 1 where a
chain is broken, has a gap, or ends before a record that others were told of.
"""

from __future__ import annotations

import json
import sys
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
from rich.console import Console
from rich.table import Table

from switchline.audit import queries as audit_queries
from switchline.audit.segments import lines, paths
from switchline.fleet.chain import GAP, Finding, Head, Record, verify

ANSWER_S, AT_ONCE = 2.0, 64
KINDS = ("list", "config", "program", "ban", "zone ban", "zone", "quota", "format", "stage", "ready")


class Source(NamedTuple):
    """What one source told: its gateway, records, and what is wrong with them."""

    name: str
    records: list[Record]
    findings: list[Finding]
    heads: dict[str, Head]  # of other gateways, as this one was told
    last: Head | None = None  # of a folder's chain


def fetch(address: str, call: str) -> Any:
    """What a gateway answers to `GET /ops/CALL`. Raises OSError and ValueError."""
    with urllib.request.urlopen(f"http://{address}/ops/{call}", timeout=ANSWER_S) as answer:
        return json.loads(answer.read())


def of_folder(folder: Path, heads: dict[str, Head] | None = None) -> Source:
    """Raises OSError."""
    segments = ((path.name, lines(path)) for path in paths(folder))
    records, findings, last = verify(segments)
    source = Source(records[0].name if records else folder.name, records, findings, {}, last)
    findings += ended_early(source, heads or {})
    return source


def ended_early(source: Source, heads: dict[str, Head]) -> list[Finding]:
    """Whether a chain lacks the last record that others were told of."""
    head, last = heads.get(source.name), source.last
    if head is None or (last is not None and (head == last or head.n < last.n)):
        return []
    return [Finding("", 0, f"record {head.n}, as others were told of it, is not there")]


def of_address(address: str, heads: bool = False) -> Source:
    """`heads`: with what it was told of others' chains, which is much. Raises OSError and ValueError."""
    told = fetch(address, "audit")
    records = msgspec.convert(told["records"], list[Record])
    held = msgspec.convert(told["versions"], list[Record])
    known = {(one.kind, one.of, one.at) for one in records}
    older = [one for one in held if (one.kind, one.of, one.at) not in known]
    told_of = heads_of(address) if heads else {}
    return Source(str(told["name"]), sorted([*older, *records], key=audit_queries.place), [], told_of)


def heads_of(address: str) -> dict[str, Head]:
    """Of each gateway the last record that it told this one of."""
    try:
        facts = fetch(address, "fleet")["facts"]
    except (OSError, ValueError, KeyError):
        return {}  # without a line there are none
    found = {}
    for fact in facts:
        number, _, sum_ = str(fact["value"] or "").partition(" ")
        if fact["kind"] == "audit" and number.isdecimal():
            found[str(fact["origin"])] = Head(int(number), sum_)
    return found


def read(source: str, heads: bool = False) -> Source | str:
    """A source's audit, or why there is none."""
    try:
        return of_folder(Path(source)) if Path(source).is_dir() else of_address(source, heads)
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as error:
        return str(error) or type(error).__name__


def read_all(sources: tuple[str, ...], heads: bool = False) -> tuple[dict[str, Source], dict[str, str]]:
    """By source; and what could not be reached."""
    with ThreadPoolExecutor(min(AT_ONCE, len(sources))) as pool:
        answers = dict(zip(sources, pool.map(partial(read, heads=heads), sources), strict=True))
    good = {source: found for source, found in answers.items() if isinstance(found, Source)}
    return good, {source: why for source, why in answers.items() if isinstance(why, str)}


def audits_of(good: dict[str, Source]) -> dict[str, list[Record]]:
    """By gateway, from all sources of it, each record once."""
    found: dict[str, dict[tuple[Any, ...], Record]] = {}
    for source in good.values():
        for record in source.records:
            key = record.life, record.at, record.kind, record.of
            found.setdefault(source.name, {}).setdefault(key, record)
    return {name: sorted(ones.values(), key=audit_queries.place) for name, ones in found.items()}


def clock(wall: float) -> str:
    return datetime.fromtimestamp(wall / 1000).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def end(rows: list[dict[str, Any]], others: dict[str, str], as_json: bool, reached: int, fine: bool) -> None:
    """Show rows as a table or JSON, name what was not reached, and leave with the code for it."""
    if as_json:
        click.echo(json.dumps({"rows": rows, "others": others}, indent=1))
    else:
        console = Console(highlight=False)
        if rows:
            table = Table(*rows[0])
            for row in rows:
                table.add_row(*(str(cell) for cell in row.values()))
            console.print(table)
        for source, why in others.items():
            console.print(f"{source}: {why}", style="red", markup=False)
    sys.exit(2 if not reached else 0 if fine and not others else 1)


@click.group()
def audit() -> None:
    """Who acted on which version."""


SOURCES = click.argument("sources", nargs=-1, required=True)
AS_JSON = click.option("--json", "as_json", is_flag=True)


@audit.command()
@click.option("--kind", default="list", type=click.Choice(KINDS), show_default=True)
@SOURCES
@AS_JSON
def who(kind: str, sources: tuple[str, ...], as_json: bool) -> None:
    """Who holds which version now, and who is behind most, by how long."""
    good, others = read_all(sources)
    held = audit_queries.who(audits_of(good), kind, time.time() * 1000)
    rows = [
        {
            "gateway": one.name,
            "of": one.of,
            "version": one.version,
            "since": clock(one.since),
            "behind": "" if one.behind_s is None else f"{one.behind_s:.1f} s",
        }
        for one in held
    ]
    end(rows, others, as_json, len(good), all(one.behind_s is None for one in held))


@audit.command()
@click.argument("kind")
@click.argument("version")
@SOURCES
@AS_JSON
def when(kind: str, version: str, sources: tuple[str, ...], as_json: bool) -> None:
    """When each gateway took a version, from the first to the last."""
    good, others = read_all(sources)
    audits = audits_of(good)
    took = audit_queries.when(audits, kind, version)
    rows = [
        {"gateway": one.name, "at": clock(one.wall), "after": f"{one.after_s:.3f} s", "cause": one.cause}
        for one in took
    ]
    never = {name: "never took it" for name in audits.keys() - {one.name for one in took}}
    end(rows, others | never, as_json, len(good), True)


@audit.command()
@click.option("--at", "at", required=True, help="wall time: 2026-12-02T14:03:05.250, or seconds since 1970")
@SOURCES
@AS_JSON
def acts(at: str, sources: tuple[str, ...], as_json: bool) -> None:
    """What each gateway acted on at a moment."""
    try:
        wall = (
            float(at) * 1000
            if at.replace(".", "", 1).isdigit()
            else datetime.fromisoformat(at).timestamp() * 1000
        )
    except ValueError as error:
        raise click.BadParameter(f"{at!r}: no time") from error
    good, others = read_all(sources)
    rows = [
        {"gateway": name, "kind": kind, "of": of, "version": one.version, "since": clock(one.wall)}
        for name, records in sorted(audits_of(good).items())
        for (kind, of), one in sorted(audit_queries.at_time(records, wall).items())
    ]
    end(rows, others, as_json, len(good), True)


@audit.command()
@click.argument("name")
@SOURCES
@AS_JSON
def trace(name: str, sources: tuple[str, ...], as_json: bool) -> None:
    """The story of a backend or a zone over all gateways, in an order that respects cause."""
    good, others = read_all(sources)
    rows = [
        {
            "at": clock(one.wall),
            "order": f"{one.at[0]}.{one.at[1]}",
            "gateway": one.name,
            "what": f"{one.kind} {one.of}".strip(),
            "version": one.version,
            "cause": one.cause,
        }
        for one in audit_queries.trace(audits_of(good), name)
    ]
    end(rows, others, as_json, len(good), True)


@audit.command("verify")
@SOURCES
@AS_JSON
def check(sources: tuple[str, ...], as_json: bool) -> None:
    """Whether the chains are whole: folders, held against what the addresses among the sources were told."""
    good, others = read_all(sources, heads=True)
    heads: dict[str, Head] = {}
    for source in good.values():
        for name, head in source.heads.items():
            heads[name] = max(head, heads.get(name, head))
    rows = []
    for given, found in good.items():
        if Path(given).is_dir():
            gaps = [r for r in found.records if r.kind == GAP]
            findings = found.findings + ended_early(found, heads)
            whats = [f"{one.segment}:{one.line}: {one.what}" for one in findings]
            whats += [f"gap before record {r.n}: {r.counts.get('lost', 0)} lost, {r.cause}" for r in gaps]
            rows += [{"gateway": found.name, "records": len(found.records), "found": what} for what in whats]
    end(rows, others, as_json, len(good), not rows)


@audit.command()
@click.option("--kind", default="list", type=click.Choice(KINDS), show_default=True)
@click.option("--out", required=True, type=click.Path(dir_okay=False))
@SOURCES
def plot(kind: str, out: str, sources: tuple[str, ...]) -> None:
    """Versions over time, a line for each gateway (needs matplotlib)."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    good, others = read_all(sources)
    audits = audits_of(good)
    versions = sorted(
        {r.version for records in audits.values() for r in records if r.kind == kind and r.version}
    )
    figure, axes = pyplot.subplots(figsize=(10, 5))
    begin = min((r.wall for records in audits.values() for r in records), default=0.0)
    for name, records in sorted(audits.items()):
        taken = [r for r in records if r.kind == kind and r.version]
        times = [(r.wall - begin) / 1000 for r in taken]
        axes.step(times, [versions.index(r.version) for r in taken], where="post", label=name, alpha=0.7)
    axes.set_yticks(range(len(versions)), versions)
    axes.set_xlabel("seconds")
    if len(audits) <= 20:
        axes.legend()
    figure.tight_layout()
    figure.savefig(out)
    end([], others, False, len(good), True)
