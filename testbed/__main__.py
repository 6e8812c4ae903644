"""The lab's command line: `python -m testbed`.

Exit codes: 0 the rules held, 1 a rule broken or an expectation missed, 2 bad input, 3 the play is void.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec
import structlog
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from testbed import scenario as given
from testbed import soak as soaks
from testbed.network.addresses import AddressError
from testbed.play.play import BAD_INPUT, VOID, PlayError, Result, play
from testbed.verdict.judge import Breach
from testbed.verdict.records import RecordError
from testbed.verdict.report import ReportError, compare, write_report

VERDICTS = {0: "[green]rules held[/]", 1: "[red]broken[/]", 3: "[yellow]void[/]"}
MOST_LINES = 12  # breaches that are printed
SHOWN = (
    "offered",
    "served share",
    "refused share",
    "broken share",
    "unreached share",
    "silent share",
    "latency p50 ms",
    "latency p99 ms",
    "sends to what is out by hand",
    "sends on an old list",
    "units beyond quotas",
    "units beyond ceilings",
    "backends fallen",
    "queued over 3 s",
    "breaches",
)


def fail(error: Exception, code: int = BAD_INPUT) -> None:
    click.echo(f"testbed: {error}", err=True)
    sys.exit(code)


@click.group()
def cli() -> None:
    """Play many real gateways with faults between them, and judge what they did."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


@cli.command("list")
def list_() -> None:
    """The scenarios that come with the lab."""
    table = Table("scenario", "gateways", "backends", "requests/s", "seconds", "about")
    for path in given.shipped():
        try:
            one = given.load(path)
        except given.ScenarioError as error:
            return fail(error)
        row = (one.fleet.gateways, one.backends.count, f"{one.load.rate:g}", f"{one.duration_s:g}")
        table.add_row(one.name, *map(str, row), one.about)
    Console().print(table)


@cli.command()
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True)
def check(scenario: str, seed: int) -> None:
    """Check SCENARIO, a shipped one's name or a file, and print the digest of its timetable."""
    try:
        found = given.load(given.find(scenario))
    except given.ScenarioError as error:
        return fail(error)
    table = given.timetable(found, seed)
    click.echo(f"{found.name} seed {seed}: {len(table.arrivals)} arrivals, digest {table.digest}")


@cli.command("play")
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def play_(scenario: str, seed: int, out: Path, as_json: bool) -> None:
    """Play SCENARIO and judge it; the record goes to the folder OUT."""
    try:
        found = given.load(given.find(scenario))
        result = show_progress(found, seed, out, quiet=as_json)
    except PlayError as error:
        return fail(error, VOID if "record" in str(error) or "lab failed" in str(error) else BAD_INPUT)
    except (given.ScenarioError, AddressError, RecordError, OSError) as error:
        return fail(error)
    if as_json:
        click.echo(msgspec.json.encode(result).decode())
    else:
        show(result)
    sys.exit(result.verdict)


def show_progress(scenario: given.Scenario, seed: int, out: Path, quiet: bool) -> Result:
    columns = TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn()
    with Progress(*columns, console=Console(stderr=True), disable=quiet, transient=True) as bars:
        bar = bars.add_task(scenario.name, total=scenario.duration_s)

        def progress(seconds: float, what: str) -> None:
            bars.update(bar, completed=seconds, description=f"{scenario.name}: {what}")

        return play(scenario, seed, out, progress)


def show(result: Result) -> None:
    console = Console(highlight=False)
    console.print(f"{result.scenario} seed {result.seed} digest {result.digest}: {VERDICTS[result.verdict]}")
    for line in result.why:
        console.print(f"  {line}", markup=False)
    for one in result.breaches[:MOST_LINES]:
        console.print(f"  {Breach(**one).line()}", markup=False)
    if (more := len(result.breaches) - MOST_LINES) > 0:
        console.print(f"  and {more} more, in the record")
    table = Table("figure", "value")
    for name in SHOWN:
        table.add_row(name, f"{result.figures.get(name, 0.0):g}")
    for name, value in result.lab.items():
        table.add_row(f"lab: {name}", f"{value:g}")
    console.print(table)


@cli.command("soak")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1, 1_000), default=5, show_default=True, help="How many.")
@click.option("--gateways", type=click.IntRange(2, 40), default=12, show_default=True)
@click.option("--kind", "kinds", multiple=True, type=click.Choice(list(soaks.KINDS)), help="Default: all.")
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), required=True)
def soak_(first: int, seeds: int, gateways: int, kinds: tuple[str, ...], out: Path) -> None:
    """Play faults of all kinds, drawn from seeds, that overlap in time; exits 1 if a rule is broken."""
    worst = 0
    try:
        chosen = list(kinds) or list(soaks.KINDS)
        for result in soaks.soak(list(range(first, first + seeds)), gateways, chosen, out):
            worst = max(worst, result.verdict)
            offered, served = result.figures.get("offered", 0), result.figures.get("served share", 0.0)
            click.echo(
                f"{result.scenario}: verdict {result.verdict}, offered {offered:g}, served {served:.2f}"
            )
            for line in result.why:
                click.echo(f"  {line}")
            for one in result.breaches[:MOST_LINES]:
                click.echo(f"    {Breach(**one).line()}")
    except (PlayError, given.ScenarioError, AddressError, RecordError, OSError) as error:
        return fail(error)
    sys.exit(worst)


@cli.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--out", type=click.Path(path_type=Path), help="The page; by default report.html in FOLDER.")
def report(folder: Path, out: Path | None) -> None:
    """Make one HTML page with plots of the play recorded in FOLDER."""
    try:
        click.echo(str(write_report(folder, out or folder / "report.html")))
    except (RecordError, ReportError, OSError) as error:
        fail(error)


@cli.command("compare")
@click.argument("sets", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True)
def compare_(sets: tuple[str, ...], as_json: bool) -> None:
    """Put plays, or sets of plays, side by side: each of SETS is NAME=FOLDER[,FOLDER...], or folders."""
    named: dict[str, list[Path]] = {}
    for text in sets:
        name, equals, folders = text.partition("=")
        named[name] = [Path(f) for f in (folders if equals else text).split(",")]
    try:
        rows = compare(named)
    except (RecordError, ReportError) as error:
        return fail(error)
    if as_json:
        click.echo(msgspec.json.encode(rows).decode())
        return
    table = Table("figure", *(f"{name} ({len(folders)})" for name, folders in named.items()))
    for figure, ranges in rows.items():
        table.add_row(figure, *(text_of(one) for one in ranges))
    Console(highlight=False).print(table)


def text_of(one: dict[str, Any] | None) -> str:
    if one is None:
        return "-"
    low, middle, high = one["min"], one["median"], one["max"]
    return f"{middle:g}" if low == high else f"{middle:g} ({low:g} to {high:g})"


if __name__ == "__main__":
    cli()
