"""The lab plays real processes: faults strike whom they name, and the judge finds who breaks a rule."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from testbed import soak
from testbed.fixture import Plays
from testbed.verdict.report import compare, write_report

ROOT = Path(__file__).parents[2]
FEW: dict[str, Any] = {"count": 4, "warm_s": 4.0}


def alive(folder: Path) -> list[int]:
    """Processes whose configuration lies in a folder."""
    found = []
    for entry in Path("/proc").iterdir():
        try:
            if entry.name.isdigit() and str(folder).encode() in (entry / "environ").read_bytes():
                found.append(int(entry.name))
        except OSError:
            continue  # it has ended, or is not ours
    return [pid for pid in found if pid != os.getpid()]


def test_overlapping_faults_start_a_gateway_once_and_leave_no_process(lab: Plays, tmp_path: Path) -> None:
    """A second start of one gateway outlived its play, and held its address under the next one's."""
    played = lab(
        duration_s=5.0,
        fleet={"gateways": 2},
        backends=FEW,
        load={"rate": 10.0, "customers": 6, "spread": 1},
        faults=[
            {"kind": "kill", "at_s": 1.0, "gateways": ["g0"], "back_s": 1.0},
            {"kind": "kill", "at_s": 1.5, "gateways": ["g0"], "back_s": 1.0},
        ],
    )
    assert [event["life"] for event in played.of("life", g="g0", what="start")] == [1, 2]
    assert not played.breaches("crash") and not alive(tmp_path)


def test_faults_of_the_machine_strike_running_gateways_and_break_no_rule(lab: Plays) -> None:
    errors = {"accept": ["EPROTO"], "poll": ["ENOMEM"], "epoll_wait": ["EINTR"]}
    played = lab(
        duration_s=6.0,
        fleet={"gateways": 3, "state": True},
        backends=FEW,
        load={"rate": 30.0, "customers": 12, "spread": 2},
        faults=[
            {"kind": "calls", "at_s": 1.0, "for_s": 3.0, "gateways": ["g0"], "chance": 0.2, "errors": errors},
            {"kind": "disk", "at_s": 1.0, "for_s": 2.0, "gateways": ["g1"], "chance": 1.0},
            {"kind": "clock", "at_s": 2.0, "gateways": ["g2"], "step_s": -3600.0},
        ],
    )
    assert not played.result.breaches
    struck = {
        name: (played.folder / "gateways" / name / "failed-calls").exists() for name in ("g0", "g1", "g2")
    }
    assert struck == {"g0": True, "g1": True, "g2": False}
    failed = (played.folder / "gateways" / "g0" / "failed-calls").read_text().split()[1::3]
    assert set(failed) <= set(errors)
    log = (played.folder / "gateways" / "g1" / "life-1.log").read_text()
    assert "the state on disk is off" in log and "state is stored on disk again" in log


def test_the_soak_draws_the_same_scenario_from_a_seed_and_each_can_be_played() -> None:
    for seed in range(40):
        drawn = soak.draw(seed, 2 + seed, list(soak.KINDS))
        assert drawn == soak.draw(seed, 2 + seed, list(soak.KINDS))
        assert len(drawn.faults) == 15 and len(drawn.gateway_names) == 2 + seed


@pytest.mark.timeout(120)
def test_each_rule_is_seen_to_be_broken_by_whoever_breaks_it(lab: Plays) -> None:
    altered = {
        "g0": ["lose"],
        "g1": ["made-up"],
        "g2": ["twice", "denies"],
        "g3": ["deaf"],
        "g4": ["eager"],
        "g5": ["falls"],
        "g6": ["late"],
    }
    played = lab(
        duration_s=9.0,
        fleet={"gateways": 8, "altered": altered},
        backends={**FEW, "count": 6, "warm_s": 16.0, "queue": 500, "breaks": {"b0": "repeats"}},
        load={"rate": 120.0, "customers": 24, "spread": 3, "work": 0.2, "retries": True},
        faults=[
            {"kind": "operators", "at_s": 0.2, "gateways": ["*"], "call": "backends/down", "id": "b1"},
            {"kind": "backend", "at_s": 0.2, "backends": ["b2"], "what": "drain"},
            {"kind": "backend", "at_s": 0.5, "backends": ["b3"], "what": "restart"},
        ],
    )
    whose = {rule: {g for one in played.breaches(rule) for g in one["gateways"]} for rule in RULES}
    assert "g0" in whose["answers"] and "g6" in whose["answers"]
    assert whose["made-up"] == {"g1"} and whose["repeats"] == {"g2"}
    assert whose["drains"] == {"g3"} and whose["bans"] == {"g3"}
    assert whose["crash"] == {"g5"}
    assert "g7" not in set().union(*whose.values())  # which keeps them all
    assert played.result.verdict == 1 and played.result.figures["breaches"] >= len(played.result.breaches)


RULES = "answers", "made-up", "repeats", "drains", "bans", "crash"


@pytest.mark.timeout(120)
def test_a_fleet_that_eagerly_sends_breaks_ceilings_and_pushes_cold_backends_over(lab: Plays) -> None:
    played = lab(
        duration_s=9.0,
        slack_s=0.05,  # what is found here is found on a starved machine too
        fleet={"gateways": 3, "altered": {f"g{i}": ["eager"] for i in range(3)}},
        backends={"count": 3, "warm_s": 60.0, "queue": 5000, "cores": 4},
        load={"rate": 150.0, "customers": 8, "spread": 3},
        faults=[{"kind": "backend", "at_s": 0.5, "backends": ["b1"], "what": "restart"}],
    )
    assert played.breaches("cold") and played.breaches("cold")[0]["backend"] == "b1"
    assert played.of("back", b="b1", what="fell")
    assert played.breaches("ceilings") and played.result.figures["units beyond ceilings"] > 0


@pytest.mark.timeout(120)
def test_work_that_is_denied_and_a_backend_that_answers_for_others_are_found(lab: Plays) -> None:
    # At a restart the altered gateway may have nothing in flight there, so that there are several.
    times_s = [1.5 + 0.5 * number for number in range(8)]
    restarts = [{"kind": "backend", "at_s": at, "backends": ["b1"], "what": "restart"} for at in times_s]
    played = lab(
        duration_s=6.0,
        fleet={"gateways": 2, "altered": {"g0": ["denies"]}},
        backends={"count": 2, "breaks": {"b0": "value"}},
        load={"rate": 40.0, "customers": 12},
        faults=restarts,
    )
    assert {g for one in played.breaches("refusals") for g in one["gateways"]} == {"g0"}
    assert played.breaches("made-up") and "made-up" in played.breaches("made-up")[0]["what"]


@pytest.mark.timeout(120)
def test_faults_strike_whom_they_name_and_the_rest_keep_the_rules(lab: Plays, tmp_path: Path) -> None:
    played = lab(
        duration_s=9.5,
        fleet={"gateways": 5, "state": True, "clock_s": {"g3": 240.0}},
        backends=FEW,
        load={"rate": 30.0, "customers": 12, "work": 0.3, "notice_s": 0.5},
        faults=[
            {"kind": "operators", "at_s": 0.5, "gateways": ["g0"], "call": "backends/down", "id": "b3"},
            {"kind": "stop", "at_s": 1.0, "gateways": ["g1"], "for_s": 1.0},
            {"kind": "hup", "at_s": 1.0, "gateways": ["g2"], "text": "no JSON"},
            {"kind": "kill", "at_s": 2.0, "gateways": ["g2"], "back_s": 0.2},
            {"kind": "link", "at_s": 2.0, "between": ["g3"], "and": ["b0"], "for_s": 2.0, "cut": True},
            {"kind": "link", "at_s": 4.0, "between": ["gateways"], "and": ["b1"], "for_s": 1, "reset": True},
            {"kind": "term", "at_s": 3.0, "gateways": ["g4"], "back_s": 0.2},
            {
                "kind": "power",
                "at_s": 4.5,
                "gateways": ["g0", "g1"],
                "backends": ["b2"],
                "disks": {"g0": "old", "g1": "lost"},
                "old_from_s": 0.1,
                "discovery_late_s": 0.5,
                "order": "reversed",
            },
        ],
    )
    lives = {f"g{i}": [(e["life"], e["what"]) for e in played.of("life", g=f"g{i}")] for i in range(5)}
    assert [one for one in lives["g1"] if one[1] not in ("exit", "term")] == [
        *((1, what) for what in ("start", "ready", "stop", "cont", "power")),
        *((2, what) for what in ("start", "ready")),
    ]
    assert (1, "hup") in lives["g2"] and (2, "ready") in lives["g2"] and (2, "ready") in lives["g4"]
    assert (2, "start") not in lives["g3"]
    back = [e["g"] for e in played.of("life", what="start", life=2) if e["g"] in ("g0", "g1")]
    assert back == ["g1", "g0"]
    assert [e["how"] for e in played.of("disk", g="g0") + played.of("disk", g="g1")] == ["old", "lost"]
    assert [e["what"] for e in played.of("back", b="b2")] == ["dead", "cold"]
    wrong = [one for one in played.result.breaches if one["rule"] != "bans"]  # an old disk knows of no ban
    assert not wrong, wrong
    assert not alive(tmp_path)
    page = write_report(played.folder, tmp_path / "report.html").read_text()
    assert page.count("data:image/png;base64,") == 6
    ranges = compare({"one": [played.folder], "both": [played.folder] * 2})["offered"]
    assert ranges[0] == ranges[1] and ranges[0] is not None and ranges[0]["max"] > 0


@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ("fleet", "rule", "text"),
    [
        ({"extra": {"operator": "nowhere"}}, "crash", "bad configuration"),
        ({"altered": {"g0": ["hangs"]}, "ready_s": 1.0}, "start", "ready"),
        ({"altered": {"g0": ["stays"]}}, "ends", "SIGTERM"),
    ],
)
def test_gateways_that_can_t_start_get_ready_or_end(
    lab: Plays, tmp_path: Path, fleet: dict[str, Any], rule: str, text: str
) -> None:
    load = {"rate": 0.0, "customers": 1}
    left = tmp_path / "play/gateways/g0/state/state.db"  # of an earlier play: nothing of it comes back
    left.parent.mkdir(parents=True)
    left.write_text("left")
    played = lab(duration_s=0.5, fleet={"gateways": 1, **fleet}, backends={"count": 1}, load=load)
    assert not left.exists()
    assert text in played.breaches(rule)[0]["what"] and played.result.verdict == 1
    assert not alive(tmp_path)


LONG = """
name = "long"
about = "A test that is ended from outside."
duration_s = 60
[fleet]
gateways = 2
[backends]
count = 1
[load]
rate = 5
customers = 2
[[faults]]
kind = "kill"
at_s = 0.2
gateways = ["g0"]
back_s = 30
"""


@pytest.mark.timeout(120)
@pytest.mark.parametrize("ending", [signal.SIGINT, signal.SIGKILL])
def test_an_interrupted_lab_leaves_no_process_and_a_record_that_can_be_read(
    tmp_path: Path, ending: signal.Signals
) -> None:
    (tmp_path / "long.toml").write_text(LONG)
    out = tmp_path / "out"
    command = (sys.executable, "-m", "testbed", "play", str(tmp_path / "long.toml"), "--out", str(out))
    lab = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        record = out / "events.jsonl"
        while not record.exists() or b'"what":"kill"' not in record.read_bytes():
            assert lab.poll() is None
            time.sleep(0.05)
        lab.send_signal(ending)
        assert lab.wait() != 0
    finally:
        lab.kill()
    while alive(out):
        time.sleep(0.05)
    assert "data:image" in write_report(out, tmp_path / "page.html").read_text()


@pytest.mark.timeout(120)
def test_a_record_that_can_t_be_written_voids_the_play(tmp_path: Path) -> None:
    (tmp_path / "long.toml").write_text(LONG)
    (tmp_path / "out").mkdir()
    (tmp_path / "out/events.jsonl").symlink_to("/dev/full")
    out = str(tmp_path / "out")
    command = (sys.executable, "-m", "testbed", "play", str(tmp_path / "long.toml"), "--out", out)
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert ended.returncode == 3 and "No space left" in ended.stderr and not alive(tmp_path)
