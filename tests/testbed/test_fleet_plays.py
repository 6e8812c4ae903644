"""The line between gateways, with several processes of the program and faults between them."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from switchline import ctl
from switchline.audit import sources as audit_sources
from testbed.fixture import Played, Plays

ROOT = Path(__file__).parents[2]
LINE: dict[str, Any] = {"line": True, "seeds": 2}
AMONG = {"between": ["gateways"], "and": ["gateways"]}
MEET_S = 4.0  # for all to hear of one that has begun, on a starved machine
SMALL: dict[str, Any] = {"backends": {"count": 2}, "load": {"rate": 10.0, "customers": 4}}


def views(played: Played, gateway: str) -> list[dict[str, Any]]:
    return played.of("view", g=gateway, status=200)


def kept(played: Played, named: str, *gateways: str, call: str = "backends/down") -> bool:
    """Whether these said yes: where a disk takes over 0.8 s the answer is no, and the call is taken back."""
    return all(played.of("op", g=name, call=call, id=named, how="yes") for name in gateways)


def look(at_s: float, *gateways: str, for_s: float = 0.0) -> dict[str, Any]:
    return {"kind": "view", "at_s": at_s, "gateways": list(gateways) or ["*"], "for_s": for_s}


@pytest.mark.timeout(120)
def test_a_death_a_return_a_leave_and_what_is_out_by_hand_come_to_be_known_by_all(lab: Plays) -> None:
    played = lab(
        duration_s=10.0,
        fleet={"gateways": 6, "state": True, "settle_s": 2.0, **LINE},
        **SMALL,
        faults=[
            {"kind": "operators", "at_s": 0.1, "gateways": ["g1"], "call": "backends/down", "id": "b1"},
            {"kind": "link", "at_s": 0.2, "for_s": 9, "loss": 0.1, **AMONG},
            {"kind": "kill", "at_s": 0.5, "gateways": ["g0"], "back_s": 6.0},
            {"kind": "term", "at_s": 0.5, "gateways": ["g5"]},
            look(6.0),
            look(9.8),
        ],
    )
    assert not played.result.breaches
    first, last = (views(played, "g2")[0], views(played, "g2")[-1])
    assert first["members"]["g0"] == "dead" and first["members"]["g5"] == "left"
    assert {name: first["members"][name] for name in ("g1", "g3", "g4")} == dict.fromkeys(
        ("g1", "g3", "g4"), "alive"
    )
    assert ["held-host", "b1", "g1", "down"] in first["facts"]  # one disk and one call: all know of it
    assert last["members"]["g0"] == "alive"  # back under its name, with a higher life
    assert views(played, "g0")[-1]["members"]["g5"] == "left" and not last["minority"]
    known = {tuple(f[:3]) for f in views(played, "g0")[-1]["facts"]}
    assert {("zone", "", "g2"), ("ready", "", "g3"), ("held-host", "b1", "g1")} <= known


@pytest.mark.timeout(120)
def test_a_cut_off_minority_knows_it_and_serves_on(lab: Plays) -> None:
    few, many = ["g0", "g1"], ["g2", "g3", "g4"]
    cut = {"kind": "link", "at_s": 0.1, "for_s": 19.8, "between": few, "and": many, "cut": True}
    played = lab(  # on a starved machine a gateway that hears badly takes up to 17 s to declare others dead
        duration_s=20.0,
        fleet={"gateways": 5, "settle_s": 2.0, **LINE},
        **SMALL,
        faults=[cut, look(19.5)],
    )
    assert not played.result.breaches  # serving does not depend on the line
    for name in few:
        assert views(played, name)[0]["minority"] and views(played, name)[0]["members"]["g3"] == "dead"
    for name in many:
        assert not views(played, name)[0]["minority"] and views(played, name)[0]["members"]["g0"] == "dead"


@pytest.mark.timeout(120)
def test_a_stopped_process_and_a_one_way_link_kill_nobody(lab: Plays) -> None:
    one_way = {"between": ["g1"], "and": ["g2"], "cut": True, "one_way": True}
    played = lab(
        duration_s=9.5,
        fleet={"gateways": 6, "settle_s": 2.0, **LINE},
        **SMALL,
        faults=[
            {"kind": "link", "at_s": 0.2, "for_s": 8.0, **one_way},
            {"kind": "stop", "at_s": 1.0, "gateways": ["g4"], "for_s": 4.0},
            look(5.2, "g4"),
            look(9.0),
        ],
    )
    woken = views(played, "g4")[0]["members"]
    assert "dead" not in woken.values()  # it holds its own silence against nobody
    assert not played.result.breaches
    for name in ("g0", "g1", "g2", "g3", "g5"):
        seen = views(played, name)[-1]["members"]
        assert {seen[other] for other in ("g1", "g2") if other != name} == {"alive"}


@pytest.mark.timeout(120)
def test_sighup_adds_and_removes_the_line_and_a_bad_table_changes_nothing(lab: Plays, tmp_path: Path) -> None:
    secret = tmp_path / "secret"
    secret.write_text("another secret, long enough")
    other = {"name": "lab", "listen": "127.0.0.1:9", "seeds": [], "secret": str(tmp_path / "none")}
    played = lab(
        duration_s=14.0,
        fleet={"gateways": 4, "settle_s": 2.0, **LINE},
        **SMALL,
        faults=[
            {"kind": "hup", "at_s": 0.2, "gateways": ["g1"], "change": {"fleet": other}},
            {"kind": "hup", "at_s": 0.2, "gateways": ["g2"], "remove": ["fleet"]},
            look(5.5),
            {"kind": "hup", "at_s": 6.0, "gateways": ["g2"], "restore": ["fleet"]},
            look(13.5),
        ],
    )
    assert not played.result.breaches
    assert views(played, "g1")[0]["members"]["g0"] == "alive"  # as before: the new table is not taken
    assert played.of("view", g="g2")[0]["status"] == 404
    assert views(played, "g0")[0]["members"]["g2"] == "left"
    assert views(played, "g0")[-1]["members"]["g2"] == "alive"  # added anew
    assert views(played, "g2")[-1]["members"]["g1"] == "alive"
    log = (played.folder / "gateways/g1/life-1.log").read_text()
    assert (
        "the changed configuration is rejected, the previous one stays in force" in log
        and "fleet: secret" in log
    )


@pytest.mark.timeout(120)
def test_spoilt_and_foreign_datagrams_are_counted_and_two_of_one_name_are_told_apart(
    lab: Plays, monkeypatch: pytest.MonkeyPatch
) -> None:
    from testbed.play import stage

    def throw(self: stage.Stage, gateway: Any, before: Any = stage.Stage.start_gateway) -> Any:
        noise = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        noise.bind((gateway.host, 0))  # as if from a member
        for number in range(20):
            noise.sendto(bytes([1]) + b"x" * number * 70, self.gateways["g0"].fleet_advertise)
        noise.close()
        return before(self, gateway)

    monkeypatch.setattr(stage.Stage, "start_gateway", throw)
    played = lab(
        duration_s=6.0,
        fleet={"gateways": 3, "settle_s": 1.0, "extra": {}, **LINE},
        **SMALL,
        faults=[{"kind": "kill", "at_s": 0.2, "gateways": ["g2"], "back_s": 0.1}, look(5.5)],
    )
    seen = views(played, "g0")[0]
    assert seen["members"]["g2"] == "alive" and {"fleet", "garbage"} & seen["dropped"].keys()
    assert not played.result.breaches


@pytest.mark.timeout(120)
def test_a_ban_outlives_a_power_loss_of_all_while_one_disk_is_whole(lab: Plays) -> None:
    """With messages lost and one gateway cut off one way; and a later `up` is not undone by an older disk."""
    cut = {"between": ["g3"], "and": ["g1"], "cut": True, "one_way": True}
    played = lab(
        duration_s=14.0,
        fleet={"gateways": 4, "state": True, "settle_s": 2.0, **LINE},
        backends={"count": 4},
        load={"rate": 40.0, "customers": 8, "work": 0.2, "notice_s": 0.5},
        faults=[
            {"kind": "operators", "at_s": 0.1, "gateways": ["*"], "call": "backends/down", "id": "b1"},
            {"kind": "operators", "at_s": 0.1, "gateways": ["*"], "call": "backends/down", "id": "b2"},
            {"kind": "operators", "at_s": 1.5, "gateways": ["*"], "call": "backends/up", "id": "b2"},
            {"kind": "link", "at_s": 2.0, "for_s": 12.0, "loss": 0.2, **AMONG},
            {"kind": "link", "at_s": 2.0, "for_s": 12.0, **cut},
            {
                "kind": "power",
                "at_s": 3.0,
                "gateways": ["*"],
                "backends": ["*"],
                "disks": {"g0": "lost", "g1": "lost", "g2": "old", "g3": "kept"},
                "old_from_s": 1.0,
                "discovery_late_s": 1.0,
            },
            look(13.5),
        ],
    )
    # A gateway serves, after a bounded wait, without one that is not there yet: the whole disk may be late.
    known = max(e["t"] for e in played.of("life", g="g3", what="ready")) + MEET_S
    assert not [one for one in played.result.breaches if one["rule"] != "bans" or one["at"] > known]
    for name in ("g0", "g1", "g2", "g3"):
        words = {f[1]: f[3] for f in views(played, name)[0]["facts"] if f[0] == "held-host"}
        assert words["b1"] == "down" or not kept(played, "b1", "g3")
        assert words.get("b2", "up") == "up" or not kept(played, "b2", "g3", call="backends/up")
    later = [e["b"] for e in played.of("got") if e["t"] > known]
    assert later and ("b1" not in later or not kept(played, "b1", "g3"))


@pytest.mark.timeout(120)
def test_a_ban_binds_from_then_on_where_the_only_whole_disk_comes_back_last(lab: Plays) -> None:
    """Later than the others waited for word, and cut off for a while: they take of it what a start takes."""
    cut = {"between": ["g2"], "and": ["g0", "g1"], "cut": True}
    played = lab(
        duration_s=16.0,
        fleet={"gateways": 3, "state": True, "settle_s": 2.0, **LINE},
        backends={"count": 3},
        load={"rate": 30.0, "customers": 8, "work": 0.2, "notice_s": 0.5},
        faults=[
            {"kind": "operators", "at_s": 0.1, "gateways": ["*"], "call": "backends/down", "id": "b1"},
            {
                "kind": "power",
                "at_s": 2.0,
                "gateways": ["*"],
                "disks": {"g0": "lost", "g1": "lost"},
                "spacing_s": 3.0,
            },
            {"kind": "link", "at_s": 1.5, "for_s": 9.0, **cut},
            {"kind": "link", "at_s": 2.0, "for_s": 14.0, "loss": 0.1, **AMONG},
            look(15.5),
        ],
    )
    for name in ("g0", "g1"):
        assert recovered(played, name)["bans"] == 1 or not kept(played, "b1", "g2"), views(played, name)[-1]
    assert {one["rule"] for one in played.result.breaches} <= {"bans"}  # until they could know


def test_ctl_shows_who_sees_whom_and_marks_differences(monkeypatch: pytest.MonkeyPatch, capsys: Any) -> None:
    def view(name: str, **states: str) -> dict[str, Any]:
        rows = {n: {"state": s, "life": [1, 2], "heard_s": 3.0, "zone": "a"} for n, s in states.items()}
        return {"name": name, "members": rows, "minority": name == "g1"}

    answers = {
        "a:1": view("g0", g0="self", g1="alive", g2="dead"),
        "b:1": view("g1", g0="alive", g1="self", g2="alive"),
        "c:1": "refused",
    }
    monkeypatch.setattr(ctl, "fetch_view", answers.__getitem__)
    with pytest.raises(SystemExit) as ended:
        ctl.members.main(["a:1", "b:1", "c:1"], standalone_mode=False)
    shown = capsys.readouterr().out
    assert ended.value.code == 1
    assert (
        shown.count("differs") == 1 and "dead 3 s" in shown and "g1 reports that it is in a minority" in shown
    )
    assert "c:1 did not answer: refused" in shown
    with pytest.raises(SystemExit):
        ctl.members.main(["a:1", "b:1", "c:1", "--json"], standalone_mode=False)
    assert json.loads(capsys.readouterr().out)["differences"] == {"g2": ["alive", "dead"]}


def test_without_the_table_nothing_of_the_line_is_imported() -> None:
    code = (
        "import sys, switchline.service.program;"
        "line = 'switchline.fleet', 'switchline.fleet_runtime.transport', 'msgspec';"
        "sys.exit(any(m.startswith(line) for m in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


# ---- upgrades ----


def logs(played: Played, gateway: str) -> str:
    """The logs of all lives of a gateway."""
    return "".join(path.read_text() for path in (played.folder / "gateways" / gateway).glob("life-*.log"))


@pytest.mark.timeout(120)
def test_an_upgrade_has_one_name_on_the_line_and_one_half_done_changes_nothing(lab: Plays) -> None:
    """With a tenth of the messages lost; what an upgraded gateway has out by hand stays out."""
    played = lab(
        duration_s=14.0,
        fleet={"gateways": 4, "state": True, "audit": True, "settle_s": 2.0, **LINE},
        **SMALL,
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 13.9, "loss": 0.1, **AMONG},
            {"kind": "operators", "at_s": 0.2, "gateways": ["*"], "call": "backends/down", "id": "b1"},
            {"kind": "upgrade", "at_s": 1.0, "gateways": ["g0"]},
            {"kind": "upgrade", "at_s": 1.0, "gateways": ["g1"], "undone_s": 0.1},
            look(13.0),
        ],
    )
    assert not played.result.breaches
    assert played.of("life", g="g0", what="handed", code=0)  # the old process has handed over, and ended
    assert "takes over from another" in logs(played, "g0")
    seen = views(played, "g2")[0]
    assert seen["members"]["g0"] == seen["members"]["g1"] == "alive" and not seen["minority"]
    for name in ("g0", "g1"):
        told = views(played, name)[-1]
        assert not told["quiet"] and told["members"]["g3"] == "alive"
    lives = {e["life"] for e in played.of("life", g="g1", what="exit")}
    assert lives == {1}  # the first process served to the end of the play
    audit = audit_sources.read_folder(played.folder / "gateways/g0/audit")  # one chain, of both processes
    assert not audit.findings and [r.kind for r in audit.records].count("program") == 2
    sent = {(e["g"], e["b"]) for e in played.of("got") if e["t"] > 2.0}
    assert not [g for g, b in sent if b == "b1" and kept(played, "b1", g)]


@pytest.mark.timeout(120)
def test_a_power_loss_in_an_upgrade_and_in_a_drain_forgets_nothing(lab: Plays) -> None:
    """Two processes of one gateway die beside each other; another one was being drained by an operator."""
    played = lab(
        duration_s=16.0,
        fleet={"gateways": 4, "state": True, "settle_s": 2.0, **LINE},
        backends={"count": 3},
        load={"rate": 30.0, "customers": 8, "work": 0.2, "notice_s": 0.5},
        faults=[
            {"kind": "operators", "at_s": 0.1, "gateways": ["*"], "call": "backends/down", "id": "b1"},
            {"kind": "operators", "at_s": 1.0, "gateways": ["g2"], "call": "drain/start"},
            {"kind": "upgrade", "at_s": 1.5, "gateways": ["g0"]},
            {"kind": "upgrade", "at_s": 2.3, "gateways": ["g1"]},
            {"kind": "power", "at_s": 2.6, "gateways": ["*"], "backends": ["*"], "disks": {"g3": "lost"}},
            {"kind": "link", "at_s": 2.6, "for_s": 13.0, "loss": 0.1, **AMONG},
            look(15.5),
        ],
    )
    assert {one["rule"] for one in played.result.breaches} <= {"bans"}
    known = max(e["t"] for e in played.of("life", what="ready")) + MEET_S
    later = [(e["g"], e["b"]) for e in played.of("got") if e["t"] > known]
    known_to = [name for name in ("g0", "g1", "g2") if kept(played, "b1", name)]
    assert "b1" not in {b for _, b in later} or not known_to
    assert {g for g, _ in later} >= {"g0", "g1", "g2"}  # a drain ends with its process
    for name in ("g0", "g1", "g2", "g3"):
        told = recovered(played, name)
        assert told["common"] and not told["old_disk"], (name, told)
    assert recovered(played, "g3")["bans"] == 1 or not known_to


# ---- the whole fleet returns ----


def recovered(played: Played, gateway: str) -> dict[str, Any]:
    """What a gateway tells of its return, at the last look."""
    told: dict[str, Any] = views(played, gateway)[-1]["recovery"]
    return told


@pytest.mark.timeout(120)
def test_a_power_loss_of_all_is_known_as_one_and_a_lost_disk_has_bans_list_and_spending_of_others(
    lab: Plays,
) -> None:
    """With a fifth of the messages between gateways lost, and one of them cut off one way."""
    cut = {"between": ["g1"], "and": ["g0"], "cut": True, "one_way": True}
    played = lab(
        duration_s=16.0,
        fleet={"gateways": 5, "state": True, "settle_s": 2.0, **LINE},
        backends={"count": 4},
        load={"rate": 40.0, "customers": 6, "work": 0.2, "notice_s": 0.5},
        faults=[
            {"kind": "operators", "at_s": 0.1, "gateways": ["*"], "call": "backends/down", "id": "b1"},
            {"kind": "backend", "at_s": 1.0, "backends": ["b3"], "what": "drain"},
            {"kind": "link", "at_s": 3.5, "for_s": 6.0, "loss": 0.2, **AMONG},
            {"kind": "link", "at_s": 3.5, "for_s": 6.0, **cut},
            {
                "kind": "power",
                "at_s": 4.0,
                "gateways": ["*"],
                "backends": ["*"],
                "disks": {"g3": "lost", "g4": "lost"},
                "discovery_late_s": 3.0,
            },
            look(15.5),  # long after all are back on a busy machine, and before its cold stage ends
        ],
    )
    ready = max(e["t"] for e in played.of("life", what="ready"))
    told = {name: recovered(played, name) for name in ("g0", "g1", "g2", "g3", "g4")}
    assert all(one["common"] and one["stage"] == "cold" for one in told.values()), told
    for name in ("g3", "g4"):
        assert told[name]["down_s"] is None and not told[name]["spoilt"]
    if ready > 4.0 + 3.0 or not kept(played, "b1", "g0", "g1", "g2"):
        return  # on a starved machine the waits for others end before these are there, and buckets fill again
    assert not played.result.breaches
    for name in ("g3", "g4"):
        assert told[name]["bans"] == told[name]["hosts"] == 1 and told[name]["customers"] > 0
    assert all(e["b"] != "b1" for e in played.of("got") if e["t"] > 4.5)
    # Discovery tells nothing for 3 s, and what these two were started with knows nothing of the drain.
    sent = {e["b"] for e in played.of("got") if 4.5 < e["t"] < 8.0 and e["g"] in ("g3", "g4")}
    assert "b3" not in sent


@pytest.mark.timeout(120)
def test_a_late_riser_in_a_running_fleet_joins_and_begins_no_recovery(lab: Plays) -> None:
    played = lab(
        duration_s=8.0,
        fleet={"gateways": 4, "state": True, "settle_s": 2.0, **LINE},
        **SMALL,
        faults=[
            {"kind": "power", "at_s": 0.5, "gateways": ["g3"], "back_s": 1.0, "disks": {"g3": "lost"}},
            look(7.5),
        ],
    )
    assert not played.result.breaches
    late = recovered(played, "g3")
    assert not late["common"] and late["stage"] == "whole" and late["heard"] >= 2
    assert not any(recovered(played, name)["common"] for name in ("g0", "g1", "g2"))


@pytest.mark.timeout(120)
def test_power_that_flickers_and_a_part_of_the_fleet_that_never_returns_lose_nothing(lab: Plays) -> None:
    """Three losses in 3 s, the second amid the first one's recovery; two of five stay away, seeds both."""
    gone = {"kind": "power", "at_s": 4.4, "gateways": ["g0", "g1"], "back_s": 60.0}

    def loss(at_s: float, *gateways: str) -> dict[str, Any]:
        return {"kind": "power", "at_s": at_s, "gateways": list(gateways), "backends": ["*"], "back_s": 0.2}

    played = lab(
        duration_s=10.0,
        fleet={"gateways": 5, "state": True, "settle_s": 2.0, **LINE, "seeds": 5},
        backends={"count": 4},
        load={"rate": 30.0, "customers": 6, "work": 0.2, "notice_s": 0.5},
        faults=[
            {"kind": "operators", "at_s": 0.1, "gateways": ["g2"], "call": "backends/down", "id": "b1"},
            loss(1.5, "*"),
            loss(3.0, "*"),
            gone,
            loss(4.4, "g2", "g3", "g4"),
            look(9.7, "g2", "g3", "g4"),
        ],
    )
    assert not played.result.breaches
    for name in ("g2", "g3", "g4"):
        told = recovered(played, name)
        assert told["common"] and told["stage"] in ("cold", "whole"), told
        # Told anew by whoever finds it on its disk before it hears of it: of equal words one holds.
        said = [(kind, of, value) for kind, of, _, value in views(played, name)[-1]["facts"]]
        assert ("held-host", "b1", "down") in said or not kept(played, "b1", "g2")
    served = [e for e in played.of("ans", how="served") if e["t"] > 6.0]
    assert served


@pytest.mark.timeout(120)
def test_discovery_back_empty_clocks_apart_and_an_empty_counter_break_no_rule(lab: Plays) -> None:
    played = lab(
        duration_s=10.0,
        fleet={
            "gateways": 4,
            "state": True,
            "settle_s": 2.0,
            "clock_s": {"g0": -150.0, "g1": 120.0},
            **LINE,
        },
        backends={"count": 4},
        load={"rate": 40.0, "customers": 6, "work": 0.2, "notice_s": 0.5},
        faults=[
            {"kind": "agent", "at_s": 2.0, "gateways": ["*"], "what": "empty", "for_s": 6.0},
            {"kind": "counter", "at_s": 2.0, "what": "empty"},
            {
                "kind": "power",
                "at_s": 2.0,
                "gateways": ["*"],
                "backends": ["*"],
                "backends_back_s": 2.0,
                "disks": {"g2": "lost"},
            },
            look(9.5),
        ],
    )
    assert not played.result.breaches
    for name in ("g0", "g1", "g2", "g3"):
        told = recovered(played, name)
        assert told["common"] and not told["old_disk"], (name, told)
    logs = [(played.folder / f"gateways/g{n}/life-2.log").read_text() for n in range(4)]
    assert any("is held back" in log for log in logs)


@pytest.mark.timeout(120)
def test_whole_sets_without_disks_late_backends_and_a_counter_back_last_break_no_rule(lab: Plays) -> None:
    """Three of four disks are lost, and one backend falls again: no stage is without an end."""
    played = lab(
        duration_s=16.0,
        fleet={"gateways": 4, "state": True, "settle_s": 2.0, **LINE},
        backends={"count": 4, "warm_s": 6.0},
        load={"rate": 40.0, "customers": 8, "work": 0.2, "notice_s": 0.5},
        faults=[
            {"kind": "link", "at_s": 2.0, "for_s": 12.0, "loss": 0.1, **AMONG},
            {"kind": "counter", "at_s": 2.0, "what": "silent", "for_s": 6.0},
            {
                "kind": "power",
                "at_s": 2.0,
                "gateways": ["*"],
                "backends": ["*"],
                "backends_back_s": 2.5,
                "order": "reversed",
                "disks": dict.fromkeys(("g0", "g1", "g2"), "lost"),
            },
            {"kind": "backend", "at_s": 5.0, "backends": ["b2"], "what": "die", "for_s": 4.0},
            look(15.0),
        ],
    )
    assert not played.result.breaches
    assert played.result.figures["units beyond ceilings"] == 0
    for name in ("g0", "g1", "g2", "g3"):
        told = recovered(played, name)
        assert told["common"] and told["stage"] in ("cold", "whole") and not told["waiting_for"], (name, told)
    assert [e for e in played.of("ans", how="served") if e["t"] > 6.0]


# ---- a call for the whole fleet ----


def call(at_s: float, gateway: str, what: str, named: str) -> dict[str, Any]:
    told = {"call": what, "id": named, "fleet": True}
    return {"kind": "operators", "at_s": at_s, "gateways": [gateway], **told}


@pytest.mark.timeout(120)
def test_a_call_for_the_fleet_holds_at_all_but_those_that_its_answer_names(lab: Plays) -> None:
    """With messages lost, and one gateway cut off from the others: it is named, and has it after the cut."""
    cut = {"between": ["g4"], "and": ["gateways"], "cut": True}
    played = lab(
        duration_s=10.0,
        fleet={"gateways": 5, "settle_s": 2.0, "zones": ["a", "b"], **LINE},
        backends={"count": 4},
        load={"rate": 30.0, "customers": 6, "work": 0.2},
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 9.8, "loss": 0.1, **AMONG},
            {"kind": "link", "at_s": 0.5, "for_s": 3.5, **cut},
            call(0.9, "g0", "zones/down", "b"),
            look(9.0),
        ],
    )
    assert not played.result.breaches
    (called, answered) = played.of("op", g="g0")
    assert called["how"] == "called" and answered["how"] == "yes" and "g4" in answered["text"]
    for name in ("g1", "g2", "g3", "g4"):
        words = {tuple(fact[:2]): fact[3] for fact in views(played, name)[0]["facts"]}
        assert words["fleet-zone", "b"] == words["held-zone", "b"] == "down"
    zone = {name: zone for name, zone, _ in played.of("play")[0]["backends"]}
    late = [e for e in played.of("got") if e["t"] > 9.0]
    assert all(zone[e["b"]] == "a" for e in late)


@pytest.mark.timeout(120)
def test_a_call_for_the_fleet_in_a_minority_is_no_yes(lab: Plays) -> None:
    few, many = ["g0", "g1"], ["g2", "g3", "g4"]
    cut = {"between": few, "and": many, "cut": True}
    played = lab(
        duration_s=9.0,
        fleet={"gateways": 5, "settle_s": 2.0, **LINE},
        backends={"count": 3},
        load={"rate": 10.0, "customers": 4},
        faults=[
            {"kind": "link", "at_s": 0.1, "for_s": 8.8, **cut},
            call(6.0, "g1", "backends/down", "b1"),
            call(6.0, "g3", "backends/down", "b2"),
            look(8.0),
        ],
    )
    assert not played.result.breaches
    answers = {e["g"]: e for e in played.of("op") if e["how"] != "called"}
    assert answers["g1"]["how"] == "no" and answers["g3"]["how"] == "yes"
    assert "spread" in answers["g1"]["text"]
    words = {tuple(fact[:2]): fact[3] for fact in views(played, "g0")[0]["facts"]}
    assert words["fleet-host", "b1"] == "down"  # it has it all the same
