"""For staff: questions to the audits of a fleet.

    python -m switchline.ctl audit COMMAND SOURCE...

A SOURCE is an operator address (host:port: what the gateway has in memory) or the folder of an audit (all
that is on disk). What could not be reached is named. Exit codes: 0 all sources were read and nothing is
amiss, 1 some were not read, a gateway is behind (`who`), or a chain is broken, has a gap, or ends before a
record that others were told of (`verify`), 2 none was read.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Mapping
from datetime import datetime
from pathlib import Path
from typing import Any, NoReturn

import click
from rich.console import Console
from rich.table import Table

from switchline.audit import queries
from switchline.audit.chain import GAP_KIND, Head, Record
from switchline.audit.sources import Readings, Source, audits_by_gateway, missing_end, read_all

KINDS = ("list", "config", "program", "ban", "zone ban", "zone", "quota", "format", "stage", "ready")
EXIT_FINE = 0
EXIT_AMISS = 1
EXIT_NONE_READ = 2
MAX_LEGEND_GATEWAYS = 20  # in a plot

Row = dict[str, Any]  # of a table, by column


def format_wall(wall_ms: float) -> str:
    """Return wall time in the local zone, to the millisecond."""
    return datetime.fromtimestamp(wall_ms / 1000).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def parse_wall(text: str) -> float:
    """Return wall time in milliseconds, from ISO 8601 or seconds since 1970.

    Raises:
        click.BadParameter: it is neither.
    """
    try:
        if text.replace(".", "", 1).isdigit():
            return float(text) * 1000
        return datetime.fromisoformat(text).timestamp() * 1000
    except ValueError as error:
        raise click.BadParameter(f"{text!r}: no time") from error


def report(rows: list[Row], readings: Readings, as_json: bool, fine: bool = True) -> NoReturn:
    """Show rows as a table or as JSON, name what was not read, and exit.

    Args:
        rows: all with the same columns.
        readings: what was read, and why the rest was not.
        as_json: print JSON.
        fine: what was asked found nothing amiss.
    """
    if as_json:
        click.echo(json.dumps({"rows": rows, "others": readings.failures}, indent=1))
    else:
        print_table(rows, readings.failures)
    if not readings.found:
        sys.exit(EXIT_NONE_READ)
    sys.exit(EXIT_FINE if fine and not readings.failures else EXIT_AMISS)


def print_table(rows: list[Row], failures: Mapping[str, str]) -> None:
    """Print rows as a table, and what was not read."""
    console = Console(highlight=False)
    if rows:
        table = Table(*rows[0])
        for row in rows:
            table.add_row(*(str(cell) for cell in row.values()))
        console.print(table)
    for source, why in failures.items():
        console.print(f"{source}: {why}", style="red", markup=False)


@click.group()
def audit() -> None:
    """Who acted on which version."""


SOURCES = click.argument("sources", nargs=-1, required=True)
AS_JSON = click.option("--json", "as_json", is_flag=True)
KIND = click.option("--kind", default="list", type=click.Choice(KINDS), show_default=True)


@audit.command()
@KIND
@SOURCES
@AS_JSON
def who(kind: str, sources: tuple[str, ...], as_json: bool) -> None:
    """Who holds which version now, and who is behind most, by how long."""
    readings = read_all(sources)
    holdings = queries.holdings(audits_by_gateway(readings.found), kind, time.time() * 1000)
    rows = [
        {
            "gateway": holding.name,
            "of": holding.of,
            "version": holding.version,
            "since": format_wall(holding.since),
            "behind": "" if holding.behind_s is None else f"{holding.behind_s:.1f} s",
        }
        for holding in holdings
    ]
    report(rows, readings, as_json, all(holding.behind_s is None for holding in holdings))


@audit.command()
@click.argument("kind")
@click.argument("version")
@SOURCES
@AS_JSON
def when(kind: str, version: str, sources: tuple[str, ...], as_json: bool) -> None:
    """When each gateway took a version, from the first to the last."""
    readings = read_all(sources)
    audits = audits_by_gateway(readings.found)
    adoptions = queries.adoptions(audits, kind, version)
    rows = [
        {
            "gateway": adoption.name,
            "at": format_wall(adoption.wall),
            "after": f"{adoption.after_s:.3f} s",
            "cause": adoption.cause,
        }
        for adoption in adoptions
    ]
    takers = {adoption.name for adoption in adoptions}
    never = {name: "never took it" for name in audits.keys() - takers}
    report(rows, readings._replace(failures=readings.failures | never), as_json)


@audit.command()
@click.option("--at", "at", required=True, help="wall time: 2026-12-02T14:03:05.250, or seconds since 1970")
@SOURCES
@AS_JSON
def acts(at: str, sources: tuple[str, ...], as_json: bool) -> None:
    """What each gateway acted on at a moment."""
    wall = parse_wall(at)
    readings = read_all(sources)
    rows = [
        {
            "gateway": name,
            "kind": subject.kind,
            "of": subject.name,
            "version": record.version,
            "since": format_wall(record.wall_ms),
        }
        for name, records in sorted(audits_by_gateway(readings.found).items())
        for subject, record in sorted(queries.versions_at(records, wall).items())
    ]
    report(rows, readings, as_json)


@audit.command()
@click.argument("name")
@SOURCES
@AS_JSON
def trace(name: str, sources: tuple[str, ...], as_json: bool) -> None:
    """The story of a backend or a zone over all gateways, in an order that respects cause."""
    readings = read_all(sources)
    rows = [
        {
            "at": format_wall(record.wall_ms),
            "order": f"{record.timestamp[0]}.{record.timestamp[1]}",
            "gateway": record.name,
            "what": f"{record.kind} {record.subject}".strip(),
            "version": record.version,
            "cause": record.cause,
        }
        for record in queries.trace(audits_by_gateway(readings.found), name)
    ]
    report(rows, readings, as_json)


@audit.command("verify")
@SOURCES
@AS_JSON
def verify_chains(sources: tuple[str, ...], as_json: bool) -> None:
    """Whether the chains are whole: folders, held against what the addresses among the sources were told."""
    readings = read_all(sources, with_heads=True)
    heads: dict[str, Head] = {}
    for source in readings.found.values():
        for name, head in source.heads.items():
            heads[name] = max(head, heads.get(name, head))
    rows = []
    for path, source in readings.found.items():
        if Path(path).is_dir():
            rows += finding_rows(source, heads)
    report(rows, readings, as_json, not rows)


def finding_rows(source: Source, heads: Mapping[str, Head]) -> list[Row]:
    """Return a row for each fault of a folder's chain, and for each gap."""
    findings = source.findings + missing_end(source, heads)
    texts = [f"{finding.segment}:{finding.line}: {finding.problem}" for finding in findings]
    gaps = [record for record in source.records if record.kind == GAP_KIND]
    texts += [
        f"gap before record {gap.number}: {gap.counts.get('lost', 0)} lost, {gap.cause}" for gap in gaps
    ]
    return [{"gateway": source.name, "records": len(source.records), "found": text} for text in texts]


@audit.command()
@KIND
@click.option("--out", required=True, type=click.Path(dir_okay=False))
@SOURCES
def plot(kind: str, out: str, sources: tuple[str, ...]) -> None:
    """Versions over time, a line for each gateway (needs matplotlib)."""
    readings = read_all(sources)
    save_plot(audits_by_gateway(readings.found), kind, out)
    report([], readings, as_json=False)


def save_plot(audits: Mapping[str, list[Record]], kind: str, out: str) -> None:
    """Write a plot of the versions of a kind over time, in seconds since the first record."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    taken = {
        name: [record for record in records if record.kind == kind and record.version]
        for name, records in sorted(audits.items())
    }
    versions = sorted({record.version for records in taken.values() for record in records})
    start_ms = min((record.wall_ms for records in audits.values() for record in records), default=0.0)
    figure, axes = pyplot.subplots(figsize=(10, 5))
    for name, records in taken.items():
        times_s = [(record.wall_ms - start_ms) / 1000 for record in records]
        heights = [versions.index(record.version) for record in records]
        axes.step(times_s, heights, where="post", label=name, alpha=0.7)
    axes.set_yticks(range(len(versions)), versions)
    axes.set_xlabel("seconds")
    if len(audits) <= MAX_LEGEND_GATEWAYS:
        axes.legend()
    figure.tight_layout()
    figure.savefig(out)
