"""Leaving zones and returning to them with several gateway processes and faults on their links."""

from __future__ import annotations

from typing import Any

import pytest

from testbed.fixture import Played, Plays

FLEET_LINK: dict[str, Any] = {"line": True, "seeds": 2, "settle_s": 2.0}
BETWEEN_GATEWAYS = {"between": ["gateways"], "and": ["gateways"]}
ZONES = ["a", "b", "c"]
NAMES = [f"g{number}" for number in range(6)]  # of zones a, b, c, a, b, c
REGIONS = {"regions": {"north": ["a", "b"], "south": ["c"]}}
LOADED: dict[str, Any] = {"backends": {"count": 12, "warm_s": 6.0}, "load": {"rate": 90.0, "customers": 30}}


def view_fault(at_s: float, for_s: float = 0.0) -> dict[str, Any]:
    return {"kind": "view", "at_s": at_s, "gateways": ["*"], "for_s": for_s}


def zone_states(played: Played, gateway: str) -> dict[str, str]:
    """The fleet's state of each zone in a gateway's last view."""
    return {zone: row["state"] for zone, row in played.of("view", g=gateway, status=200)[-1]["zones"].items()}


def decision_states(played: Played, gateway: str) -> set[str]:
    """All states of zone decisions in a gateway's views, as "OBSERVERS>ZONE STATE"."""
    fact_lists = (view["facts"] for view in played.of("view", g=gateway, status=200))
    return {
        f"{name} {value[2:6]}" for facts in fact_lists for kind, name, _, value in facts if kind == "zone-act"
    }


@pytest.mark.timeout(120)
def test_all_gateways_leave_a_lost_zone_and_return_to_it_by_one_ramp(lab: Plays) -> None:
    """A tenth of the messages between gateways is lost, and one direction of a link is cut."""
    one_way = {"between": ["g0"], "and": ["g4"], "cut": True, "one_way": True}
    played = lab(
        duration_s=10.0,
        fleet={"gateways": 6, "zones": ZONES, "extra": REGIONS, **FLEET_LINK},
        **LOADED,
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 9.8, "loss": 0.1, **BETWEEN_GATEWAYS},
            {"kind": "link", "at_s": 0.1, "for_s": 9.8, **one_way},
            {"kind": "backend", "at_s": 0.5, "backends": ["zone:b"], "what": "gone", "for_s": 4.0},
            view_fault(4.3),
            view_fault(9.8),
        ],
    )
    assert not played.result.breaches
    for name in NAMES:
        first = played.of("view", g=name, status=200)[0]["zones"]
        assert first["b"]["state"] == "left" and "a" not in first and "c" not in first, name
        assert "returning" in zone_states(played, name)["b"] or zone_states(played, name)["b"] == "up"
    log = (played.folder / "gateways/g2/life-1.log").read_text()
    assert "the fleet: zone b is left" in log and "the fleet: zone b is returning, step" in log


@pytest.mark.timeout(120)
def test_a_partition_between_two_zones_makes_only_those_two_leave_each_other(lab: Plays) -> None:
    cut = {"between": ["zone:a"], "and": ["zone:b"], "cut": True}
    played = lab(
        duration_s=7.0,
        fleet={"gateways": 6, "zones": ZONES, **FLEET_LINK},
        **LOADED,
        faults=[{"kind": "link", "at_s": 0.5, "for_s": 6.4, **cut}, view_fault(6.5)],
    )
    assert not played.result.breaches
    found = decision_states(played, "g2")
    assert {"a>b left", "b>a left"} <= found
    assert not {name for name in found if name.startswith("c>") or ">c" in name}
    assert zone_states(played, "g0") == {"b": "left"} and zone_states(played, "g1") == {"a": "left"}
    assert zone_states(played, "g2") == {}


@pytest.mark.timeout(120)
def test_lossy_links_and_stopped_gateways_make_no_gateway_leave_a_zone(lab: Plays) -> None:
    lossy = {"kind": "link", "at_s": 0.1, "for_s": 8.8, "between": ["gateways"]}
    played = lab(
        duration_s=9.0,
        fleet={"gateways": 6, "zones": ZONES, **FLEET_LINK},
        **LOADED,
        faults=[
            {"loss": 0.1, "and": ["gateways"], **lossy},
            {"loss": 0.02, "and": ["backends"], **lossy},
            {"kind": "stop", "at_s": 1.0, "gateways": ["g1"], "for_s": 2.0},
            {"kind": "stop", "at_s": 4.0, "gateways": ["g5"], "for_s": 2.0},
            view_fault(8.5),
        ],
    )
    assert not played.result.breaches
    assert not decision_states(played, "g0") and not decision_states(played, "g4")


@pytest.mark.timeout(120)
def test_a_gateway_stopped_in_a_ramp_and_one_killed_in_it_cause_no_breach(lab: Plays) -> None:
    played = lab(
        duration_s=10.0,
        fleet={"gateways": 6, "zones": ZONES, "state": True, **FLEET_LINK},
        **LOADED,
        faults=[
            {"kind": "backend", "at_s": 0.5, "backends": ["zone:c"], "what": "gone", "for_s": 2.0},
            {"kind": "stop", "at_s": 4.5, "gateways": ["g3"], "for_s": 3.0},
            {"kind": "kill", "at_s": 5.0, "gateways": ["g1"], "back_s": 1.0},
            view_fault(9.8),
        ],
    )
    assert not played.result.breaches
    versions = {played.of("view", g=name, status=200)[-1]["zones"]["c"]["for"] for name in NAMES}
    assert versions == set(ZONES)  # the restarted gateway knows the decision too


@pytest.mark.timeout(120)
def test_a_zone_that_was_left_stays_left_after_a_power_loss(lab: Plays) -> None:
    """One disk is lost and one is old. No gateway serves clients before it knows the decision."""
    played = lab(
        duration_s=13.0,
        fleet={"gateways": 6, "zones": ZONES, "state": True, **FLEET_LINK},
        **LOADED,
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 12.8, "loss": 0.1, **BETWEEN_GATEWAYS},
            {"kind": "backend", "at_s": 1.0, "backends": ["zone:b"], "what": "gone", "for_s": 11.9},
            view_fault(4.5),
            {
                "kind": "power",
                "at_s": 5.0,
                "gateways": ["*"],
                "disks": {"g0": "lost", "g3": "old"},
                "old_from_s": 0.5,
            },
            view_fault(12.5),
        ],
    )
    assert not played.result.breaches
    for name in NAMES:
        before, after = (view["zones"]["b"] for view in played.of("view", g=name, status=200))
        assert before["state"] == after["state"] == "left" and after["version"] >= before["version"]
        log = (played.folder / f"gateways/{name}/life-2.log").read_text()
        assert log.index("the fleet: zone b is left") < log.index(" serves at "), name
