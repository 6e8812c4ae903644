"""A gateway whose agent is stuck: when it is behind, and what the others' word may do to its list."""

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


def own(*draining: str) -> list[dict[str, Any]]:
    health = {name: "draining" if name in draining else "up" for name in HOSTS}
    return [{"host": n, "dial": "127.0.0.1:1", "health": health[n], "born_ms": 0.0} for n in HOSTS]


def listed(seq: int, **health: str) -> EndpointList:
    known = dict.fromkeys(HOSTS, "up") | health
    rows = [ListedHost(n, "127.9.9.9:9", "a", 0, how, 0.0) for n, how in known.items() if how != "gone"]
    return EndpointList(seq, rows)


def test_behind_is_who_lacks_for_a_while_what_most_have() -> None:
    behind = StaleListWatch()
    assert not behind.is_stale(10.0, 5, [6, 6, 5])  # two of four are not most
    assert not behind.is_stale(20.0, 5, [6, 6, 6, 5])
    assert not behind.is_stale(20.0 + STALE_AFTER_S / 2, 5, [6, 6, 6, 5])
    assert behind.is_stale(20.0 + STALE_AFTER_S, 5, [7, 6, 6, 5])
    assert not behind.is_stale(22.0, 6, [7, 6, 6, 5])  # level with most: a newcomer's list is only its own
    assert not behind.is_stale(23.0, 5, [6, 6, 6])
    assert not behind.is_stale(30.0, 5, []) and not behind.is_stale(40.0, 5, [None, None, 6])


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.dictionaries(st.sampled_from(HOSTS), HEALTHS), max_size=5), st.sets(st.sampled_from(HOSTS))
)
def test_one_word_takes_nothing_away_and_no_words_add_anything(
    words: list[dict[str, str]], draining: set[str]
) -> None:
    found = {
        host["host"]: host for host in agreed_changes(own(*draining), [listed(9, **said) for said in words])
    }
    for name in HOSTS:
        against = [said.get(name, "up") for said in words]
        less = sum(how != "up" for how in against)
        if name in found:
            assert less >= 2 and found[name]["health"] != "up"
            assert (found[name]["health"] == "removed") <= (against.count("gone") >= 2)
            assert found[name]["dial"] == "127.0.0.1:1"
        elif against.count("gone") >= 2:
            raise AssertionError(f"{name}: two say that it is removed")
        elif name not in draining:
            assert less < 2


def test_a_version_that_most_do_not_have_is_told_once_and_its_end_too() -> None:
    apart = VersionDivergence()
    others: list[str | None] = ["b", "b", "b", "a", None]
    assert (
        other_majority_version("a", others) is None
        and other_majority_version("a", [*others, "b"]) == "b"
        and other_majority_version("a", []) is None
    )
    newcomer: list[str | None] = ["b"] * 4
    assert not apart.update(0.0, "config", "a", newcomer)
    assert not apart.update(DIVERGENCE_DELAY_S - 0.1, "config", "a", newcomer)
    assert apart.update(DIVERGENCE_DELAY_S, "config", "a", newcomer) and apart.majority_versions == {
        "config": "b"
    }
    assert not apart.update(DIVERGENCE_DELAY_S + 1, "config", "a", newcomer)
    assert apart.update(DIVERGENCE_DELAY_S + 2, "config", "b", newcomer) and not apart.majority_versions
    assert not apart.update(99.0, "config", "b", ["b", "b", "b", "a"])  # nobody is told of a newcomer


@pytest.mark.parametrize("told", [None, "None", "", "-1", "1.5", "9" * 30, "x", "\u0661" * 20])
def test_a_number_that_is_none_says_nothing(told: str | None) -> None:
    assert parse_list_seq(told) is None
    assert parse_list_seq("41") == 41


class Stuck:
    """Stands in for the parts that `ListRepair` joins: its own agent's list, and who hears of changes."""

    version: int | None = 5

    def __init__(self) -> None:
        self.changes: list[tuple[str, ...]] = []

    def saved_hosts(self) -> list[dict[str, Any]]:
        return own()

    def apply_list(self, scope: Any, members: tuple[Any, ...]) -> None:
        self.changes.append(tuple(f"{m.entry.state.value}" for m in members))


def test_a_list_is_brought_up_once_by_two_alike_and_not_by_one_however_often() -> None:
    stuck: Any = Stuck()
    one = ListRepair(stuck, stuck, stuck, cast(Any, None))
    one.is_behind = True

    def tell(sender: str, what: EndpointList) -> None:
        one.on_exchange(Exchange(sender, (1, 1), 1, True, [], [], listed=what))

    for _ in range(3):
        tell("g1", listed(7, h1="gone", h2="draining"))
    assert not stuck.changes and one.repaired_to == -1
    tell("g2", listed(6, h1="draining"))
    assert stuck.changes == [("draining",)] and one.repaired_to == 6
    tell("g2", listed(8, h1="gone", h2="gone"))
    assert stuck.changes[1:] == [("gone", "draining")] and one.repaired_to == 7
    tell("g3", listed(8, h1="gone", h2="draining"))
    assert len(stuck.changes) == 2  # nothing new
    everything = dict.fromkeys(HOSTS, "gone")
    tell("g4", listed(9, **everything))
    assert stuck.changes[2:] == [("gone",)]  # h2: that is two
    tell("g5", listed(9, **everything))
    assert len(stuck.changes) == 3  # nobody is left without any backend on others' word
    assert len(one.lists) <= list_repair.MAX_LISTS


@pytest.mark.timeout(120)
def test_a_gateway_with_a_stuck_agent_follows_drains_and_removals_of_the_others(lab: Plays) -> None:
    """With a fifth of the messages between gateways lost, and one way from it to another cut."""
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
    assert "the list here is behind" in log and "b1 draining" in log
    assert not [e for e in played.of("got", g="g2", b="b1") if e["t"] > 9.0]
