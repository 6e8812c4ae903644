"""Commands for operators: queries over the audits of a fleet.

    python -m switchline.ctl audit COMMAND SOURCE...

A SOURCE is an operator address (host:port), which gives the records that the gateway has in memory, or the
folder of an audit, which gives all records on disk. Sources that could not be read are listed. Exit codes:
0 all sources were read without a problem; 1 some sources were not read, a gateway has a stale version
(`who`), or a chain is broken, has a gap, or ends before a record that its gateway published (`verify`); 2 no
source was read.
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
from switchline.audit.sources import Source, SourceResults, audits_by_gateway, missing_head_findings, read_all

KINDS = ("list", "config", "program", "ban", "zone ban", "zone", "quota", "format", "stage", "ready")
EXIT_OK = 0
EXIT_PROBLEM = 1
EXIT_NONE_READ = 2
MAX_LEGEND_GATEWAYS = 20  # a plot of more gateways has no legend

Row = dict[str, Any]
"""A row of a table: the cells by column."""


def format_wall(wall_ms: float) -> str:
    """Return a wall time, given in Unix milliseconds, as text in the local time zone."""
    return datetime.fromtimestamp(wall_ms / 1000).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def parse_wall(text: str) -> float:
    """Return the Unix milliseconds of a wall time, given in ISO 8601 or in seconds since 1970.

    Raises:
        click.BadParameter: the text is in neither form.
    """
    try:
        if text.replace(".", "", 1).isdigit():
            return float(text) * 1000
        return datetime.fromisoformat(text).timestamp() * 1000
    except ValueError as error:
        raise click.BadParameter(f"{text!r}: not a time, expected ISO 8601 or seconds since 1970") from error


def report(rows: list[Row], results: SourceResults, as_json: bool, is_ok: bool = True) -> NoReturn:
    """Print rows as a table or as JSON, list the sources that were not read, and exit.

    Args:
        rows: the rows, all with the same columns.
        results: the audits that were read, and the errors of the other sources.
        as_json: print JSON.
        is_ok: whether the query found no problem.
    """
    if as_json:
        click.echo(json.dumps({"rows": rows, "others": results.failures}, indent=1))
    else:
        print_table(rows, results.failures)
    if not results.audits_by_source:
        sys.exit(EXIT_NONE_READ)
    sys.exit(EXIT_OK if is_ok and not results.failures else EXIT_PROBLEM)


def print_table(rows: list[Row], failures: Mapping[str, str]) -> None:
    """Print rows as a table, and the sources that were not read."""
    console = Console(highlight=False)
    if rows:
        table = Table(*rows[0])
        for row in rows:
            table.add_row(*(str(cell) for cell in row.values()))
        console.print(table)
    for source, reason in failures.items():
        console.print(f"{source}: {reason}", style="red", markup=False)


@click.group()
def audit() -> None:
    """Show which gateway acted on which version."""


SOURCES = click.argument("sources", nargs=-1, required=True)
AS_JSON = click.option("--json", "as_json", is_flag=True)
KIND = click.option("--kind", default="list", type=click.Choice(KINDS), show_default=True)


@audit.command()
@KIND
@SOURCES
@AS_JSON
def who(kind: str, sources: tuple[str, ...], as_json: bool) -> None:
    """Show which gateway acts on which version now, and for how long stale gateways have been stale."""
    results = read_all(sources)
    current_versions = queries.current_versions(
        audits_by_gateway(results.audits_by_source), kind, time.time() * 1000
    )
    rows = [
        {
            "gateway": current_version.name,
            "of": current_version.subject,
            "version": current_version.version,
            "since": format_wall(current_version.since_ms),
            "behind": "" if current_version.stale_s is None else f"{current_version.stale_s:.1f} s",
        }
        for current_version in current_versions
    ]
    report(
        rows, results, as_json, all(current_version.stale_s is None for current_version in current_versions)
    )


@audit.command()
@click.argument("kind")
@click.argument("version")
@SOURCES
@AS_JSON
def when(kind: str, version: str, sources: tuple[str, ...], as_json: bool) -> None:
    """Show when each gateway adopted a version, from the first to the last."""
    results = read_all(sources)
    audits = audits_by_gateway(results.audits_by_source)
    adoptions = queries.adoptions(audits, kind, version)
    rows = [
        {
            "gateway": adoption.name,
            "at": format_wall(adoption.at_ms),
            "after": f"{adoption.after_s:.3f} s",
            "cause": adoption.cause,
        }
        for adoption in adoptions
    ]
    takers = {adoption.name for adoption in adoptions}
    never = {name: "never took it" for name in audits.keys() - takers}
    report(rows, results._replace(failures=results.failures | never), as_json)


@audit.command()
@click.option("--at", "at", required=True, help="wall time: 2026-12-02T14:03:05.250, or seconds since 1970")
@SOURCES
@AS_JSON
def acts(at: str, sources: tuple[str, ...], as_json: bool) -> None:
    """Show the versions that each gateway acted on at a wall time."""
    wall_ms = parse_wall(at)
    results = read_all(sources)
    rows = [
        {
            "gateway": name,
            "kind": subject.kind,
            "of": subject.name,
            "version": record.version,
            "since": format_wall(record.wall_ms),
        }
        for name, records in sorted(audits_by_gateway(results.audits_by_source).items())
        for subject, record in sorted(queries.versions_at(records, wall_ms).items())
    ]
    report(rows, results, as_json)


@audit.command()
@click.argument("name")
@SOURCES
@AS_JSON
def trace(name: str, sources: tuple[str, ...], as_json: bool) -> None:
    """Show the records of all gateways about a backend or a zone, in causal order."""
    results = read_all(sources)
    rows = [
        {
            "at": format_wall(record.wall_ms),
            "order": f"{record.timestamp[0]}.{record.timestamp[1]}",
            "gateway": record.name,
            "what": f"{record.kind} {record.subject}".strip(),
            "version": record.version,
            "cause": record.cause,
        }
        for record in queries.trace(audits_by_gateway(results.audits_by_source), name)
    ]
    report(rows, results, as_json)


@audit.command("verify")
@SOURCES
@AS_JSON
def verify_chains(sources: tuple[str, ...], as_json: bool) -> None:
    """Check the chains in folders, also against the last records published to addresses among the sources."""
    results = read_all(sources, with_heads=True)
    heads: dict[str, Head] = {}
    for source in results.audits_by_source.values():
        for name, head in source.heads.items():
            heads[name] = max(head, heads.get(name, head))
    rows = []
    for path, source in results.audits_by_source.items():
        if Path(path).is_dir():
            rows += finding_rows(source, heads)
    report(rows, results, as_json, not rows)


def finding_rows(source: Source, heads: Mapping[str, Head]) -> list[Row]:
    """Return a row for each fault in the chain of a folder, and for each gap."""
    findings = source.findings + missing_head_findings(source, heads)
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
    """Plot the versions over time, with a line for each gateway (needs matplotlib)."""
    results = read_all(sources)
    save_plot(audits_by_gateway(results.audits_by_source), kind, out)
    report([], results, as_json=False)


def save_plot(audits: Mapping[str, list[Record]], kind: str, out: str) -> None:
    """Write a plot of the versions of a kind over time, in seconds since the first record, to a file."""
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
