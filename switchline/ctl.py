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
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple, NoReturn

import click
from rich.console import Console
from rich.table import Table

from switchline.audit.ctl import audit
from switchline.audit.sources import fetch

MAX_PARALLEL_CALLS = 32
EXIT_FINE = 0
EXIT_AMISS = 1
EXIT_NONE_ANSWERED = 2
NO_RECOVERY = "it tells of no recovery: `fleet` or `state` is not set"
STAGE_COMPLETE = "whole"
# What is shown for a flag of a gateway's recovery that is set.
RECOVERY_FLAGS = {
    "common": "the fleet lost power",
    "old_disk": "its disk was behind",
    "spoilt": "spoilt answers",
    "held_back": "discovery is behind",
}
RECOVERED_FROM_PEERS = ("bans", "hosts", "customers")  # numbers of what came from other gateways
MEMBER_COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red"}
ZONE_COLOURS = {"up": "green", "left": "red"}
ERROR_STYLE = "red"

View = dict[str, Any]  # the JSON of `GET /ops/fleet`, or a part of it


class Views(NamedTuple):
    """The views of the fleet by address, and why there is none of the others."""

    found: dict[str, View]
    failures: dict[str, str]


def fetch_view(address: str) -> View | str:
    """Return a gateway's view of the fleet, or why there is none."""
    try:
        reply = fetch(address, "fleet")
    except (OSError, ValueError) as error:
        return str(error)
    return reply if isinstance(reply, dict) else "not a view of a fleet"


def fetch_views(addresses: tuple[str, ...]) -> Views:
    """Fetch the views of gateways side by side."""
    with ThreadPoolExecutor(min(MAX_PARALLEL_CALLS, len(addresses))) as pool:
        replies = dict(zip(addresses, pool.map(fetch_view, addresses), strict=True))
    found = {address: reply for address, reply in replies.items() if isinstance(reply, dict)}
    return Views(found, {address: reply for address, reply in replies.items() if isinstance(reply, str)})


def leave(any_answered: bool, fine: bool) -> NoReturn:
    """Exit with the code for what was found."""
    if not any_answered:
        sys.exit(EXIT_NONE_ANSWERED)
    sys.exit(EXIT_FINE if fine else EXIT_AMISS)


def print_failures(console: Console, lines: Iterable[str]) -> None:
    """Print what went wrong, a line each."""
    for line in lines:
        console.print(line, style=ERROR_STYLE, markup=False)


@click.group()
def cli() -> None:
    """Ask the gateways of a fleet."""


ADDRESSES = click.argument("addresses", nargs=-1, required=True)
AS_JSON = click.option("--json", "as_json", is_flag=True)


@cli.command()
@ADDRESSES
@AS_JSON
def members(addresses: tuple[str, ...], as_json: bool) -> None:
    """Who sees whom: a row for each member, a column for each gateway that was asked."""
    views, failures = fetch_views(addresses)
    differing = differences(views)
    if as_json:
        shown = {"views": views, "silent": failures, "differences": differing}
        click.echo(json.dumps(shown, indent=1))
    else:
        print_members(views, failures, differing)
    leave(bool(views), not differing and not failures)


def member_names(views: Mapping[str, View]) -> list[str]:
    """Return the names of all members that any view has."""
    return sorted({name for view in views.values() for name in view["members"]})


def differences(views: Mapping[str, View]) -> dict[str, list[str]]:
    """Return, by member, the states that views have it in, where they differ."""
    found = {}
    for name in member_names(views):
        states = sorted({member_state(view, name) for view in views.values()})
        if len(states) > 1:
            found[name] = states
    return found


def member_state(view: View, name: str) -> str:
    """Return the state of a member in a view; the gateway itself counts as alive."""
    member = view["members"].get(name)
    if member is None:
        return "unknown"
    return "alive" if member["state"] == "self" else str(member["state"])


def print_members(
    views: Mapping[str, View], failures: Mapping[str, str], differing: Mapping[str, list[str]]
) -> None:
    """Print the table of members, and which gateways are in a minority or did not answer."""
    console = Console(highlight=False)
    table = Table("member", "zone", "life", *(view["name"] for view in views.values()), "")
    for name in member_names(views):
        seen = [view["members"][name] for view in views.values() if name in view["members"]]
        newest = max(seen, key=lambda member: member["life"])
        zone = next((member["zone"] for member in seen if "zone" in member), "")
        cells = [member_cell(view, name) for view in views.values()]
        mark = "[yellow]differs[/]" if name in differing else ""
        table.add_row(name, zone, str(newest["life"][0]), *cells, mark)
    console.print(table)
    for view in views.values():
        if view["minority"]:
            console.print(f"{view['name']} knows itself in a minority", style="yellow")
    print_failures(console, (f"{address} did not answer: {why}" for address, why in failures.items()))


def member_cell(view: View, name: str) -> str:
    """Return the cell of a member in a view's column, with the silence of one that is not alive."""
    state = member_state(view, name)
    member = view["members"].get(name, {})
    silence = ""
    if state in ("suspect", "dead") and "heard_s" in member:
        silence = f" {member['heard_s']:.0f} s"
    return f"[{MEMBER_COLOURS.get(state, 'dim')}]{state}{silence}[/]"


@cli.command()
@ADDRESSES
@AS_JSON
def recovery(addresses: tuple[str, ...], as_json: bool) -> None:
    """How far the return of each gateway is, and what it came back with."""
    views, failures = fetch_views(addresses)
    gateways = {
        address: view["recovery"] | {"name": view["name"]}
        for address, view in views.items()
        if isinstance(view.get("recovery"), dict)
    }
    others = {address: failures.get(address, NO_RECOVERY) for address in addresses if address not in gateways}
    if as_json:
        click.echo(json.dumps({"gateways": gateways, "others": others}, indent=1))
    else:
        print_recovery(gateways, others)
    complete = all(gateway["stage"] == STAGE_COMPLETE for gateway in gateways.values())
    leave(bool(gateways), complete and not others)


def print_recovery(gateways: Mapping[str, View], others: Mapping[str, str]) -> None:
    """Print the table of gateways' recoveries, and which ones tell of none."""
    console = Console(highlight=False)
    table = Table("gateway", "stage", "down", "of disk", "of peers", "withheld", "waits for", "")
    for gateway in sorted(gateways.values(), key=lambda gateway: gateway["name"]):
        table.add_row(*recovery_cells(gateway))
    console.print(table)
    print_failures(console, (f"{address}: {why}" for address, why in others.items()))


def recovery_cells(gateway: View) -> list[str]:
    """Return the row of a gateway's recovery."""
    colour = "green" if gateway["stage"] == STAGE_COMPLETE else "yellow"
    from_peers = (f"{gateway[key]} {key}" for key in RECOVERED_FROM_PEERS if gateway[key])
    return [
        gateway["name"],
        f"[{colour}]{gateway['stage']}[/] {gateway['stage_s']:.0f} s",
        "?" if gateway["down_s"] is None else f"{gateway['down_s']:.1f} s",
        str(gateway["from_disk"]),
        " ".join(from_peers),
        str(gateway["withheld"]),
        " ".join(gateway["waiting_for"]),
        ", ".join(text for key, text in RECOVERY_FLAGS.items() if gateway.get(key)),
    ]


@cli.command()
@ADDRESSES
@AS_JSON
def zones(addresses: tuple[str, ...], as_json: bool) -> None:
    """What the fleet decided of each zone, and who acts on which version of it."""
    views, failures = fetch_views(addresses)
    gateways = {view["name"]: view.get("zones", {}) for view in views.values()}
    behind = lagging(gateways)
    if as_json:
        click.echo(json.dumps({"gateways": gateways, "others": failures, "behind": behind}, indent=1))
    else:
        print_zones(gateways, failures, behind)
    leave(bool(gateways), not behind and not failures)


class ZoneKey(NamedTuple):
    """Identifies a zone's decision: it is taken by the gateways of one zone, of another one."""

    observers: str
    zone: str


def lagging(gateways: Mapping[str, View]) -> dict[str, list[str]]:
    """Return, by zone, the gateways that act on an older version than others of their own zone.

    Args:
        gateways: by name, each one's decisions by zone.
    """
    newest: dict[ZoneKey, int] = {}
    for decisions in gateways.values():
        for zone, decision in decisions.items():
            key = ZoneKey(decision["for"], zone)
            newest[key] = max(newest.get(key, 0), decision["version"])
    behind: dict[str, list[str]] = {}
    for name, decisions in gateways.items():
        for zone, decision in decisions.items():
            if decision["version"] < newest[ZoneKey(decision["for"], zone)]:
                behind.setdefault(zone, []).append(name)
    return behind


def print_zones(
    gateways: Mapping[str, View], failures: Mapping[str, str], behind: Mapping[str, list[str]]
) -> None:
    """Print the table of zones and gateways, and which ones did not answer."""
    console = Console(highlight=False)
    table = Table("zone", "gateway", "of zone", "state", "version", "step", "part", "per s", "why", "")
    for zone in sorted({zone for decisions in gateways.values() for zone in decisions}):
        for name, decisions in sorted(gateways.items()):
            if zone in decisions:
                mark = "[yellow]behind[/]" if name in behind.get(zone, ()) else ""
                table.add_row(zone, name, *decision_cells(decisions[zone]), mark)
    console.print(table)
    print_failures(console, (f"{address}: {why}" for address, why in failures.items()))


def decision_cells(decision: View) -> list[str]:
    """Return the cells of a decision; its part comes in thousandths."""
    colour = ZONE_COLOURS.get(decision["state"], "yellow")
    return [
        decision["for"],
        f"[{colour}]{decision['state']}[/]",
        str(decision["version"]),
        str(decision["step"]),
        f"{decision['part'] / 10:.1f}%",
        str(decision["rate"]),
        decision["why"],
    ]


cli.add_command(audit)

if __name__ == "__main__":
    cli()
