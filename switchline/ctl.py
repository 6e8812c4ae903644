"""For staff: what the gateways of a fleet say of each other, of zones, and of a return after a power loss.

    python -m switchline.ctl members ADDRESS... [--json]
    python -m switchline.ctl recovery ADDRESS... [--json]
    python -m switchline.ctl zones ADDRESS... [--json]
    python -m switchline.ctl audit who|when|acts|trace|verify|plot ... SOURCE... [--json]

ADDRESS is a gateway's operator address, host:port. It needs the extra `ops`. Exit codes: 0 all answered and
agree (`recovery`: and are in whole service), 1 some don't or did not answer, 2 none answered.
"""

from __future__ import annotations

import json
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from switchline.audit.ctl import audit, fetch

AT_ONCE = 32  # calls side by side
NO_RECOVERY = "it tells of no recovery: `fleet` or `state` is not set"
MARKS = {
    "common": "the fleet lost power",
    "old_disk": "its disk was behind",
    "spoilt": "spoilt answers",
    "held_back": "discovery is behind",
}

View = dict[str, Any]


def ask(address: str) -> View | str:
    """A gateway's view of the fleet, or why there is none."""
    try:
        found = fetch(address, "fleet")
        return found if isinstance(found, dict) else "not a view of a fleet"
    except (OSError, ValueError) as error:
        return str(error)


def ask_all(addresses: tuple[str, ...]) -> tuple[dict[str, View], dict[str, str]]:
    """By address: the views, and why there is none."""
    with ThreadPoolExecutor(min(AT_ONCE, len(addresses))) as pool:
        answers = dict(zip(addresses, pool.map(ask, addresses), strict=True))
    views = {address: view for address, view in answers.items() if isinstance(view, dict)}
    return views, {address: why for address, why in answers.items() if isinstance(why, str)}


def differences(views: dict[str, View]) -> dict[str, list[str]]:
    """By member: what the views say of it, where they differ. A view's own row counts as alive."""
    names = sorted({name for view in views.values() for name in view["members"]})
    found = {}
    for name in names:
        said = sorted({state_of(view, name) for view in views.values()})
        if len(said) > 1:
            found[name] = said
    return found


def state_of(view: View, name: str) -> str:
    row = view["members"].get(name)
    if row is None:
        return "unknown"
    return "alive" if row["state"] == "self" else str(row["state"])


@click.group()
def cli() -> None:
    """Ask the gateways of a fleet."""


@cli.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True)
def members(addresses: tuple[str, ...], as_json: bool) -> None:
    """Who sees whom: a row for each member, a column for each gateway that was asked."""
    views, silent = ask_all(addresses)
    differ = differences(views)
    if as_json:
        click.echo(json.dumps({"views": views, "silent": silent, "differences": differ}, indent=1))
    else:
        show(views, silent, differ)
    sys.exit(2 if not views else 1 if differ or silent else 0)


def show(views: dict[str, View], silent: dict[str, str], differ: dict[str, list[str]]) -> None:
    console = Console(highlight=False)
    table = Table("member", "zone", "life", *(view["name"] for view in views.values()), "")
    for name in sorted({name for view in views.values() for name in view["members"]}):
        rows = [view["members"][name] for view in views.values() if name in view["members"]]
        life = max(rows, key=lambda row: row["life"])["life"]
        zone = next((row["zone"] for row in rows if "zone" in row), "")
        cells = [cell(view, name) for view in views.values()]
        mark = "[yellow]differs[/]" if name in differ else ""
        table.add_row(name, zone, str(life[0]), *cells, mark)
    console.print(table)
    for view in views.values():
        if view["minority"]:
            console.print(f"{view['name']} knows itself in a minority", style="yellow")
    for address, why in silent.items():
        console.print(f"{address} did not answer: {why}", style="red", markup=False)


def cell(view: View, name: str) -> str:
    state = state_of(view, name)
    row = view["members"].get(name, {})
    heard = f" {row['heard_s']:.0f} s" if state in ("suspect", "dead") and "heard_s" in row else ""
    colour = {"alive": "green", "suspect": "yellow", "dead": "red"}.get(state, "dim")
    return f"[{colour}]{state}{heard}[/]"


@cli.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True)
def recovery(addresses: tuple[str, ...], as_json: bool) -> None:
    """How far the return of each gateway is, and what it came back with."""
    views, silent = ask_all(addresses)
    told = {a: view["recovery"] for a, view in views.items() if isinstance(view.get("recovery"), dict)}
    found = {address: one | {"name": views[address]["name"]} for address, one in told.items()}
    others = {a: silent.get(a, NO_RECOVERY) for a in addresses if a not in found}
    if as_json:
        click.echo(json.dumps({"gateways": found, "others": others}, indent=1))
    else:
        show_recovery(found, others)
    whole = all(one["stage"] == "whole" for one in found.values())
    sys.exit(2 if not found else 0 if whole and not others else 1)


def show_recovery(found: dict[str, View], others: dict[str, str]) -> None:
    console = Console(highlight=False)
    table = Table("gateway", "stage", "down", "of disk", "of peers", "withheld", "waits for", "")
    for one in sorted(found.values(), key=lambda one: one["name"]):
        down = "?" if one["down_s"] is None else f"{one['down_s']:.1f} s"
        marks = [text for key, text in MARKS.items() if one.get(key)]
        colour = "green" if one["stage"] == "whole" else "yellow"
        stage = f"[{colour}]{one['stage']}[/] {one['stage_s']:.0f} s"
        peers = " ".join(f"{one[key]} {key}" for key in ("bans", "hosts", "customers") if one[key])
        row = one["name"], stage, down, str(one["from_disk"]), peers, str(one["withheld"])
        table.add_row(*row, " ".join(one["waiting_for"]), ", ".join(marks))
    console.print(table)
    for address, why in others.items():
        console.print(f"{address}: {why}", style="red", markup=False)


@cli.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True)
def zones(addresses: tuple[str, ...], as_json: bool) -> None:
    """What the fleet decided of each zone, and who acts on which version of it."""
    views, others = ask_all(addresses)
    found = {view["name"]: view.get("zones", {}) for view in views.values()}
    behind = lagging(found)
    if as_json:
        click.echo(json.dumps({"gateways": found, "others": others, "behind": behind}, indent=1))
    else:
        show_zones(found, others, behind)
    sys.exit(2 if not found else 1 if behind or others else 0)


def lagging(found: dict[str, View]) -> dict[str, list[str]]:
    """By zone: gateways that act on another version than the newest of their own zone's gateways."""
    newest: dict[tuple[str, str], int] = {}
    rows = [(name, zone, row) for name, zones in found.items() for zone, row in zones.items()]
    for _, zone, row in rows:
        key = row["for"], zone
        newest[key] = max(newest.get(key, 0), row["version"])
    behind: dict[str, list[str]] = {}
    for name, zone, row in rows:
        if row["version"] < newest[row["for"], zone]:
            behind.setdefault(zone, []).append(name)
    return behind


def show_zones(found: dict[str, View], others: dict[str, str], behind: dict[str, list[str]]) -> None:
    console = Console(highlight=False)
    table = Table("zone", "gateway", "of zone", "state", "version", "step", "part", "per s", "why", "")
    for zone in sorted({zone for zones in found.values() for zone in zones}):
        for name, zones in sorted(found.items()):
            if (row := zones.get(zone)) is not None:
                colour = {"up": "green", "left": "red"}.get(row["state"], "yellow")
                numbers = (str(row[key]) for key in ("version", "step"))
                part = f"{row['part'] / 10:.1f}%", str(row["rate"])
                mark = "[yellow]behind[/]" if name in behind.get(zone, ()) else ""
                state = f"[{colour}]{row['state']}[/]"
                table.add_row(zone, name, row["for"], state, *numbers, *part, row["why"], mark)
    console.print(table)
    for address, why in others.items():
        console.print(f"{address}: {why}", style="red", markup=False)


cli.add_command(audit)

if __name__ == "__main__":
    cli()
