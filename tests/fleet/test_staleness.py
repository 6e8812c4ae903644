"""A gateway whose agent is stuck: when its list is stale, and what newer lists of others may change in it."""

from __future__ import annotations

from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline.fleet.messages import EndpointList, Exchange, ListedHost
from switchline.fleet.versions.staleness import (
    DIVERGENCE_DELAY_S,
    STALE_AFTER_S,
    StaleListWatch,
    VersionDivergence,
    agreed_changes,
    other_majority_version,
    parse_list_seq,
)
from switchline.fleet_runtime import list_repair
from switchline.fleet_runtime.list_repair import ListRepair
from testbed.fixture import Plays

HOSTS = ("h0", "h1", "h2", "h3")
HEALTHS = st.sampled_from(["up", "draining", "gone"])


def own_hosts(*draining: str) -> list[dict[str, Any]]:
    health = {name: "draining" if name in draining else "up" for name in HOSTS}
    return [{"host": n, "dial": "127.0.0.1:1", "health": health[n], "born_ms": 0.0} for n in HOSTS]


def newer_list(seq: int, **health: str) -> EndpointList:
    known = dict.fromkeys(HOSTS, "up") | health
    rows = [ListedHost(n, "127.9.9.9:9", "a", 0, how, 0.0) for n, how in known.items() if how != "gone"]
    return EndpointList(seq, rows)


def test_a_list_is_stale_once_most_gateways_have_had_a_newer_one_for_a_while() -> None:
    watch = StaleListWatch()
    assert not watch.is_stale(10.0, 5, [6, 6, 5])  # two of four are no majority
    assert not watch.is_stale(20.0, 5, [6, 6, 6, 5])
    assert not watch.is_stale(20.0 + STALE_AFTER_S / 2, 5, [6, 6, 6, 5])
    assert watch.is_stale(20.0 + STALE_AFTER_S, 5, [7, 6, 6, 5])
    assert not watch.is_stale(22.0, 6, [7, 6, 6, 5])  # up to date with most; only one gateway has list 7
    assert not watch.is_stale(23.0, 5, [6, 6, 6])
    assert not watch.is_stale(30.0, 5, []) and not watch.is_stale(40.0, 5, [None, None, 6])


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.dictionaries(st.sampled_from(HOSTS), HEALTHS), max_size=5), st.sets(st.sampled_from(HOSTS))
)
def test_one_list_alone_removes_nothing_and_no_lists_add_anything(
    lists: list[dict[str, str]], draining: set[str]
) -> None:
    found = {
        host["host"]: host
        for host in agreed_changes(own_hosts(*draining), [newer_list(9, **said) for said in lists])
    }
    for name in HOSTS:
        healths = [said.get(name, "up") for said in lists]
        restrictions = sum(how != "up" for how in healths)
        if name in found:
            assert restrictions >= 2 and found[name]["health"] != "up"
            assert (found[name]["health"] == "removed") <= (healths.count("gone") >= 2)
            assert found[name]["dial"] == "127.0.0.1:1"
        elif healths.count("gone") >= 2:
            raise AssertionError(f"{name}: two lists lack it, but it is not removed")
        elif name not in draining:
            assert restrictions < 2


def test_a_divergent_version_is_reported_once_and_so_is_its_end() -> None:
    divergence = VersionDivergence()
    others: list[str | None] = ["b", "b", "b", "a", None]
    assert (
        other_majority_version("a", others) is None
        and other_majority_version("a", [*others, "b"]) == "b"
        and other_majority_version("a", []) is None
    )
    newcomer: list[str | None] = ["b"] * 4
    assert not divergence.update(0.0, "config", "a", newcomer)
    assert not divergence.update(DIVERGENCE_DELAY_S - 0.1, "config", "a", newcomer)
    assert divergence.update(
        DIVERGENCE_DELAY_S, "config", "a", newcomer
    ) and divergence.majority_versions == {"config": "b"}
    assert not divergence.update(DIVERGENCE_DELAY_S + 1, "config", "a", newcomer)
    assert (
        divergence.update(DIVERGENCE_DELAY_S + 2, "config", "b", newcomer)
        and not divergence.majority_versions
    )
    # A single gateway that differs is not reported.
    assert not divergence.update(99.0, "config", "b", ["b", "b", "b", "a"])


@pytest.mark.parametrize("text", [None, "None", "", "-1", "1.5", "9" * 30, "x", "\u0661" * 20])
def test_an_invalid_list_number_is_parsed_as_none(text: str | None) -> None:
    assert parse_list_seq(text) is None
    assert parse_list_seq("41") == 41


class StuckDiscovery:
    """Stands in for the discovery, state and driver of `ListRepair`; records the changes it applies."""

    version: int | None = 5

    def __init__(self) -> None:
        self.changes: list[tuple[str, ...]] = []

    def saved_hosts(self) -> list[dict[str, Any]]:
        return own_hosts()

    def apply_list(self, scope: Any, members: tuple[Any, ...]) -> None:
        self.changes.append(tuple(f"{m.entry.state.value}" for m in members))


def test_a_stale_list_is_repaired_once_two_lists_agree_and_never_by_one_alone() -> None:
    stuck: Any = StuckDiscovery()
    repair = ListRepair(stuck, stuck, stuck, cast(Any, None))
    repair.is_stale = True

    def send_list(sender: str, what: EndpointList) -> None:
        repair.on_exchange(Exchange(sender, (1, 1), 1, True, [], [], endpoint_list=what))

    for _ in range(3):
        send_list("g1", newer_list(7, h1="gone", h2="draining"))
    assert not stuck.changes and repair.repaired_seq == -1
    send_list("g2", newer_list(6, h1="draining"))
    assert stuck.changes == [("draining",)] and repair.repaired_seq == 6
    send_list("g2", newer_list(8, h1="gone", h2="gone"))
    assert stuck.changes[1:] == [("gone", "draining")] and repair.repaired_seq == 7
    send_list("g3", newer_list(8, h1="gone", h2="draining"))
    assert len(stuck.changes) == 2  # no new change
    everything = dict.fromkeys(HOSTS, "gone")
    send_list("g4", newer_list(9, **everything))
    assert stuck.changes[2:] == [("gone",)]  # h2 is now gone in two lists
    send_list("g5", newer_list(9, **everything))
    assert len(stuck.changes) == 3  # other gateways' lists never remove all backends
    assert len(repair.lists) <= list_repair.MAX_LISTS


@pytest.mark.timeout(120)
def test_a_gateway_with_a_stuck_agent_follows_drains_and_removals_of_other_gateways(lab: Plays) -> None:
    """A fifth of the messages between gateways is lost, and one direction of its link to another is cut."""
    among = {"between": ["gateways"], "and": ["gateways"]}
    cut = {"between": ["g2"], "and": ["g0"], "cut": True, "one_way": True}
    played = lab(
        duration_s=10.0,
        fleet={"gateways": 4, "state": True, "line": True, "seeds": 2, "settle_s": 2.0},
        backends={"count": 4},
        load={"rate": 40.0, "customers": 6, "work": 0.2},
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 9.8, "loss": 0.2, **among},
            {"kind": "link", "at_s": 0.1, "for_s": 9.8, **cut},
            {"kind": "agent", "at_s": 0.2, "gateways": ["g2"], "what": "old", "for_s": 9.7},
            {"kind": "backend", "at_s": 0.5, "backends": ["b1"], "what": "drain"},
            {"kind": "backend", "at_s": 4.0, "backends": ["b1"], "what": "remove"},
        ],
    )
    assert not played.result.breaches
    log = (played.folder / "gateways/g2/life-1.log").read_text()
    assert "the endpoint list here is stale" in log and "b1 draining" in log
    assert not [e for e in played.of("got", g="g2", b="b1") if e["t"] > 9.0]
