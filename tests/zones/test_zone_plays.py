"""Zones left and returned to by several processes of the program, with faults on the links between them."""

from __future__ import annotations

from typing import Any

import pytest

from testbed.fixture import Played, Plays

LINE: dict[str, Any] = {"line": True, "seeds": 2, "settle_s": 2.0}
AMONG = {"between": ["gateways"], "and": ["gateways"]}
ZONES = ["a", "b", "c"]
NAMES = [f"g{number}" for number in range(6)]  # of zones a, b, c, a, b, c
REGIONS = {"regions": {"north": ["a", "b"], "south": ["c"]}}
BUSY: dict[str, Any] = {"backends": {"count": 12, "warm_s": 6.0}, "load": {"rate": 90.0, "customers": 30}}


def look(at_s: float, for_s: float = 0.0) -> dict[str, Any]:
    return {"kind": "view", "at_s": at_s, "gateways": ["*"], "for_s": for_s}


def acts(played: Played, gateway: str) -> dict[str, str]:
    """The fleet's state of each zone, as a gateway shows it last."""
    return {zone: row["state"] for zone, row in played.of("view", g=gateway, status=200)[-1]["zones"].items()}


def decided(played: Played, gateway: str) -> set[str]:
    """All states that the decisions on pairs of zones had, as a gateway showed them."""
    told = (view["facts"] for view in played.of("view", g=gateway, status=200))
    return {f"{name} {value[2:6]}" for facts in told for kind, name, _, value in facts if kind == "zone-act"}


@pytest.mark.timeout(120)
def test_a_zone_that_is_gone_is_left_by_all_and_comes_back_by_one_ramp(lab: Plays) -> None:
    """With a tenth of the messages between gateways lost, and one way of a link cut."""
    one_way = {"between": ["g0"], "and": ["g4"], "cut": True, "one_way": True}
    played = lab(
        duration_s=10.0,
        fleet={"gateways": 6, "zones": ZONES, "extra": REGIONS, **LINE},
        **BUSY,
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 9.8, "loss": 0.1, **AMONG},
            {"kind": "link", "at_s": 0.1, "for_s": 9.8, **one_way},
            {"kind": "backend", "at_s": 0.5, "backends": ["zone:b"], "what": "gone", "for_s": 4.0},
            look(4.3),
            look(9.8),
        ],
    )
    assert not played.result.breaches
    for name in NAMES:
        first = played.of("view", g=name, status=200)[0]["zones"]
        assert first["b"]["state"] == "left" and "a" not in first and "c" not in first, name
        assert "returning" in acts(played, name)["b"] or acts(played, name)["b"] == "up"
    log = (played.folder / "gateways/g2/life-1.log").read_text()
    assert "the fleet: zone b is left" in log and "the fleet: zone b is returning, step" in log


@pytest.mark.timeout(120)
def test_a_cut_between_two_zones_moves_those_two_alone(lab: Plays) -> None:
    cut = {"between": ["zone:a"], "and": ["zone:b"], "cut": True}
    played = lab(
        duration_s=7.0,
        fleet={"gateways": 6, "zones": ZONES, **LINE},
        **BUSY,
        faults=[{"kind": "link", "at_s": 0.5, "for_s": 6.4, **cut}, look(6.5)],
    )
    assert not played.result.breaches
    found = decided(played, "g2")
    assert {"a>b left", "b>a left"} <= found
    assert not {name for name in found if name.startswith("c>") or ">c" in name}
    assert acts(played, "g0") == {"b": "left"} and acts(played, "g1") == {"a": "left"}
    assert acts(played, "g2") == {}


@pytest.mark.timeout(120)
def test_lossy_links_and_stopped_gateways_make_nobody_leave(lab: Plays) -> None:
    lossy = {"kind": "link", "at_s": 0.1, "for_s": 8.8, "between": ["gateways"]}
    played = lab(
        duration_s=9.0,
        fleet={"gateways": 6, "zones": ZONES, **LINE},
        **BUSY,
        faults=[
            {"loss": 0.1, "and": ["gateways"], **lossy},
            {"loss": 0.02, "and": ["backends"], **lossy},
            {"kind": "stop", "at_s": 1.0, "gateways": ["g1"], "for_s": 2.0},
            {"kind": "stop", "at_s": 4.0, "gateways": ["g5"], "for_s": 2.0},
            look(8.5),
        ],
    )
    assert not played.result.breaches
    assert not decided(played, "g0") and not decided(played, "g4")


@pytest.mark.timeout(120)
def test_a_gateway_that_stands_still_in_a_ramp_and_one_that_dies_break_nothing(lab: Plays) -> None:
    played = lab(
        duration_s=10.0,
        fleet={"gateways": 6, "zones": ZONES, "state": True, **LINE},
        **BUSY,
        faults=[
            {"kind": "backend", "at_s": 0.5, "backends": ["zone:c"], "what": "gone", "for_s": 2.0},
            {"kind": "stop", "at_s": 4.5, "gateways": ["g3"], "for_s": 3.0},
            {"kind": "kill", "at_s": 5.0, "gateways": ["g1"], "back_s": 1.0},
            look(9.8),
        ],
    )
    assert not played.result.breaches
    versions = {played.of("view", g=name, status=200)[-1]["zones"]["c"]["for"] for name in NAMES}
    assert versions == set(ZONES)  # who came back in the ramp knows of it too


@pytest.mark.timeout(120)
def test_what_the_fleet_has_left_it_still_has_left_after_a_power_loss(lab: Plays) -> None:
    """One disk is lost, one is old; nobody serves before it knows, so no zone is lost to anew."""
    played = lab(
        duration_s=13.0,
        fleet={"gateways": 6, "zones": ZONES, "state": True, **LINE},
        **BUSY,
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 12.8, "loss": 0.1, **AMONG},
            {"kind": "backend", "at_s": 1.0, "backends": ["zone:b"], "what": "gone", "for_s": 11.9},
            look(4.5),
            {
                "kind": "power",
                "at_s": 5.0,
                "gateways": ["*"],
                "disks": {"g0": "lost", "g3": "old"},
                "old_from_s": 0.5,
            },
            look(12.5),
        ],
    )
    assert not played.result.breaches
    for name in NAMES:
        before, after = (view["zones"]["b"] for view in played.of("view", g=name, status=200))
        assert before["state"] == after["state"] == "left" and after["version"] >= before["version"]
        log = (played.folder / f"gateways/{name}/life-2.log").read_text()
        assert log.index("the fleet: zone b is left") < log.index(" serves at "), name
