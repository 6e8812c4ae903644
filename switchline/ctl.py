"""Command-line tool for operators: asks gateways of a fleet about members, zones, recovery and the audit.

    python -m switchline.ctl members ADDRESS... [--json]
    python -m switchline.ctl recovery ADDRESS... [--json]
    python -m switchline.ctl zones ADDRESS... [--json]
    python -m switchline.ctl audit who|when|acts|trace|verify|plot ... SOURCE... [--json]

ADDRESS is the operators' address of a gateway, host:port. The tool needs the extra `ops`. Exit codes: 0 if
all gateways answered and agree (`recovery`: have completed their recovery), 1 if some did not answer or
disagree, 2 if none answered.
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
EXIT_OK = 0
EXIT_PROBLEM = 1
EXIT_NONE_ANSWERED = 2
NO_RECOVERY = "it reports no recovery: `fleet` or `state` is not configured"
STAGE_COMPLETE = "whole"
# The text that is shown for each flag that is set in a gateway's recovery.
RECOVERY_FLAGS = {
    "common": "the fleet lost power",
    "old_disk": "its stored state was stale",
    "spoilt": "unreadable lists of other gateways",
    "held_back": "a stale list of discovery is held back",
}
RECOVERED_FROM_PEERS = ("bans", "hosts", "customers")  # counts of what other gateways sent
MEMBER_COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red"}
ZONE_COLOURS = {"up": "green", "left": "red"}
ERROR_STYLE = "red"

View = dict[str, Any]  # the JSON of `GET /ops/fleet`, or a part of it


class Views(NamedTuple):
    """The views of the fleet that gateways sent, and the errors of the other gateways, by address."""

    views: dict[str, View]
    failures: dict[str, str]


def fetch_view(address: str) -> View | str:
    """Return a gateway's view of the fleet, or the text of the error if it can't be fetched."""
    try:
        reply = fetch(address, "fleet")
    except (OSError, ValueError) as error:
        return str(error)
    return reply if isinstance(reply, dict) else "the reply is not a view of the fleet"


def fetch_views(addresses: tuple[str, ...]) -> Views:
    """Fetch the views of gateways in parallel."""
    with ThreadPoolExecutor(min(MAX_PARALLEL_CALLS, len(addresses))) as pool:
        replies = dict(zip(addresses, pool.map(fetch_view, addresses), strict=True))
    views = {address: reply for address, reply in replies.items() if isinstance(reply, dict)}
    return Views(views, {address: reply for address, reply in replies.items() if isinstance(reply, str)})


def exit_with_status(any_answered: bool, all_ok: bool) -> NoReturn:
    """Exit with the exit code for the gateways' answers."""
    if not any_answered:
        sys.exit(EXIT_NONE_ANSWERED)
    sys.exit(EXIT_OK if all_ok else EXIT_PROBLEM)


def print_failures(console: Console, lines: Iterable[str]) -> None:
    """Print one line for each failure."""
    for line in lines:
        console.print(line, style=ERROR_STYLE, markup=False)


@click.group()
def cli() -> None:
    """Query the gateways of a fleet."""


ADDRESSES = click.argument("addresses", nargs=-1, required=True)
AS_JSON = click.option("--json", "as_json", is_flag=True)


@cli.command()
@ADDRESSES
@AS_JSON
def members(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show the state of each member (rows) as each queried gateway (columns) sees it."""
    views, failures = fetch_views(addresses)
    differing = differences(views)
    if as_json:
        report = {"views": views, "silent": failures, "differences": differing}
        click.echo(json.dumps(report, indent=1))
    else:
        print_members(views, failures, differing)
    exit_with_status(bool(views), not differing and not failures)


def member_names(views: Mapping[str, View]) -> list[str]:
    """Return the names of all members in any of the views, sorted."""
    return sorted({name for view in views.values() for name in view["members"]})


def differences(views: Mapping[str, View]) -> dict[str, list[str]]:
    """Return the different states of each member on whose state the views disagree, by member."""
    differing = {}
    for name in member_names(views):
        states = sorted({member_state(view, name) for view in views.values()})
        if len(states) > 1:
            differing[name] = states
    return differing


def member_state(view: View, name: str) -> str:
    """Return the state of a member in a view; the gateway itself counts as alive."""
    member = view["members"].get(name)
    if member is None:
        return "unknown"
    return "alive" if member["state"] == "self" else str(member["state"])


def print_members(
    views: Mapping[str, View], failures: Mapping[str, str], differing: Mapping[str, list[str]]
) -> None:
    """Print the table of members, and the gateways that are in a minority or did not answer."""
    console = Console(highlight=False)
    table = Table("member", "zone", "life", *(view["name"] for view in views.values()), "")
    for name in member_names(views):
        entries = [view["members"][name] for view in views.values() if name in view["members"]]
        newest = max(entries, key=lambda member: member["life"])
        zone = next((member["zone"] for member in entries if "zone" in member), "")
        cells = [member_cell(view, name) for view in views.values()]
        mark = "[yellow]differs[/]" if name in differing else ""
        table.add_row(name, zone, str(newest["life"][0]), *cells, mark)
    console.print(table)
    for view in views.values():
        if view["minority"]:
            console.print(f"{view['name']} reports that it is in a minority", style="yellow")
    print_failures(console, (f"{address} did not answer: {error}" for address, error in failures.items()))


def member_cell(view: View, name: str) -> str:
    """Return the cell of a member in a view's column; for one not alive, with the time since it was heard."""
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
    """Show the stage of each gateway's recovery, and what it restored from disk and from other gateways."""
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
    exit_with_status(bool(gateways), complete and not others)


def print_recovery(gateways: Mapping[str, View], others: Mapping[str, str]) -> None:
    """Print the table of the gateways' recoveries, and the gateways that report none."""
    console = Console(highlight=False)
    table = Table("gateway", "stage", "down", "from disk", "from peers", "withheld", "waits for", "")
    for gateway in sorted(gateways.values(), key=lambda gateway: gateway["name"]):
        table.add_row(*recovery_cells(gateway))
    console.print(table)
    print_failures(console, (f"{address}: {error}" for address, error in others.items()))


def recovery_cells(gateway: View) -> list[str]:
    """Return the cells of a gateway's row in the table of recoveries."""
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
    """Show the fleet's decision on each zone, and the version of it that each gateway acts on."""
    views, failures = fetch_views(addresses)
    gateways = {view["name"]: view.get("zones", {}) for view in views.values()}
    stale = stale_gateways(gateways)
    if as_json:
        click.echo(json.dumps({"gateways": gateways, "others": failures, "behind": stale}, indent=1))
    else:
        print_zones(gateways, failures, stale)
    exit_with_status(bool(gateways), not stale and not failures)


class ZoneKey(NamedTuple):
    """Identifies a decision: the gateways of the zone `observers` take it on the zone `zone`."""

    observers: str
    zone: str


def stale_gateways(gateways: Mapping[str, View]) -> dict[str, list[str]]:
    """Return, by zone, the gateways that act on an older version than other gateways of their own zone.

    Args:
        gateways: decisions of each gateway by zone, by name of the gateway.
    """
    newest: dict[ZoneKey, int] = {}
    for decisions in gateways.values():
        for zone, decision in decisions.items():
            key = ZoneKey(decision["for"], zone)
            newest[key] = max(newest.get(key, 0), decision["version"])
    stale: dict[str, list[str]] = {}
    for name, decisions in gateways.items():
        for zone, decision in decisions.items():
            if decision["version"] < newest[ZoneKey(decision["for"], zone)]:
                stale.setdefault(zone, []).append(name)
    return stale


def print_zones(
    gateways: Mapping[str, View], failures: Mapping[str, str], stale: Mapping[str, list[str]]
) -> None:
    """Print the table of zones and gateways, and the gateways that did not answer."""
    console = Console(highlight=False)
    table = Table("zone", "gateway", "of zone", "state", "version", "step", "part", "per s", "why", "")
    for zone in sorted({zone for decisions in gateways.values() for zone in decisions}):
        for name, decisions in sorted(gateways.items()):
            if zone in decisions:
                mark = "[yellow]stale[/]" if name in stale.get(zone, ()) else ""
                table.add_row(zone, name, *decision_cells(decisions[zone]), mark)
    console.print(table)
    print_failures(console, (f"{address}: {error}" for address, error in failures.items()))


def decision_cells(decision: View) -> list[str]:
    """Return the cells of a decision; its `part` is given in thousandths and shown in percent."""
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
