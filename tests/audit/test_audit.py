"""The audit: chains of records, the files they lie in, their order, and questions to those of a fleet."""

from __future__ import annotations

import itertools
import json
import os
import random
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline import ctl
from switchline.audit import queries as audit_queries
from switchline.audit import sources as audit_sources
from switchline.audit.chain import (
    FIRST_DIGEST,
    GAP_KIND,
    Head,
    Record,
    decode_line,
    encode_line,
    verify_chain,
)
from switchline.audit.recorder import MAX_RECENT_RECORDS, Audit
from switchline.audit.segments import MAX_SEGMENTS, AuditError, Segments, segment_paths, text_lines
from switchline.audit.writer import AuditWriter
from switchline.config import ConfigError, parse_audit, parse_config
from switchline.fleet.hybrid_clock import MAX_AHEAD_MS, HybridClock
from testbed.fixture import Plays

LIFE = (7, 3)


def record(n: int, name: str = "g0", wall: float = 0.0, **given: Any) -> Record:
    made = {"kind": "list", "version": str(n), "uptime_s": 0.0, "timestamp": (int(wall) or n, 0)} | given
    return Record(number=n, name=name, incarnation=LIFE, wall_ms=wall or float(n), **made)


def chain(number: int, start: str = FIRST_DIGEST) -> tuple[list[str], Head]:
    made, before = [], start
    for n in range(1, number + 1):
        line, before = encode_line(record(n), before)
        made.append(line)
    return made, Head(number, before)


# ---- chains ----


def test_a_whole_chain_is_good_over_segments_and_from_where_the_oldest_gave_way() -> None:
    made, head = chain(12)
    parts = [("one", made[:5]), ("two", made[5:])]
    records, wrong, last = verify_chain(parts, head)
    assert [r.number for r in records] == list(range(1, 13)) and not wrong and last == head
    assert not verify_chain(parts[1:])[1]


@settings(max_examples=200, deadline=None)
@given(st.integers(2, 9), st.data())
def test_any_one_record_flipped_cut_swapped_or_dropped_shows(number: int, data: st.DataObject) -> None:
    made, head = chain(number)
    place = data.draw(st.integers(0, number - 1))
    line = made[place]
    match data.draw(st.sampled_from(["flip", "cut", "swap", "drop", "twice"])):
        case "flip":
            at = data.draw(st.integers(0, len(line) - 2))
            other = data.draw(st.sampled_from([c for c in "0aZ:{" if c != line[at]]))
            spoilt = [*made[:place], line[:at] + other + line[at + 1 :], *made[place + 1 :]]
        case "cut":
            spoilt = [*made[:place], line[: data.draw(st.integers(0, len(line) - 1))], *made[place + 1 :]]
        case "swap":
            other = (place + 1) % number
            spoilt = list(made)
            spoilt[place], spoilt[other] = made[other], made[place]
        case "drop":
            place = max(1, place)  # the oldest may give way
            spoilt = [*made[:place], *made[place + 1 :]]
        case _:
            spoilt = [*made[:place], line, *made[place:]]
    assert verify_chain([("one", spoilt)], head)[1]


@given(st.text(max_size=80))
def test_what_is_no_line_is_none(text: str) -> None:
    assert decode_line(text) is None


# ---- order ----


def test_the_order_respects_cause_whatever_the_clocks() -> None:
    """Random plays: each stamp is above all that its process had heard, with clocks minutes apart."""
    chance = random.Random(5)
    clocks = [HybridClock() for _ in range(4)]
    off = [0.0, 120_000.0, -90_000.0, 60_000.0]
    before: list[set[tuple[int, int, int]]] = [set() for _ in clocks]
    for step in range(2_000):
        wall = 1e12 + step * chance.choice([0, 1, 3])
        one, other = chance.sample(range(4), 2)
        stamp = clocks[one].next(wall + off[one])
        assert all((at, count) < stamp for at, count, _ in before[one])
        before[one].add((*stamp, one))
        if chance.random() < 0.5:
            clocks[other].observe(clocks[one].last, wall + off[other])
            before[other] |= before[one]
        before[one] = set(sorted(before[one])[-50:])
    liar = clocks[0].last
    clocks[0].observe((int(1e15), 0), 1e12)
    assert clocks[0].last == liar and clocks[0].refused == 1 and MAX_AHEAD_MS == 300_000


# ---- files ----


def filled(folder: Path, number: int) -> Head:
    segments = Segments(folder, "g0")
    for n in range(number):
        segments.add(record(n))
    segments.sync()
    segments.close()
    return segments.head


def found(folder: Path, head: Head | None = None) -> tuple[list[Record], list[Any]]:
    return verify_chain(((path.name, text_lines(path)) for path in segment_paths(folder)), head)[:2]


def test_a_chain_goes_on_after_a_start_and_a_torn_end_is_cut(tmp_path: Path) -> None:
    filled(tmp_path, 3)
    whole = segment_paths(tmp_path)[0].read_bytes()
    for torn in (whole[:-1], whole[: len(whole) - 40], whole + b"\xff{half a rec"):
        segment_paths(tmp_path)[0].write_bytes(torn)
        segments = Segments(tmp_path, "g0")
        assert segments.bytes_cut and segments.head.number in (2, 3)
        segments.add(record(0))
        segments.close()
        assert not found(tmp_path)[1]
        segment_paths(tmp_path)[0].write_bytes(whole)


def test_a_torn_end_after_a_line_that_is_no_text_is_cut_where_it_begins(tmp_path: Path) -> None:
    filled(tmp_path, 4)
    path = segment_paths(tmp_path)[0]
    made = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(made[0] + b"\xff\xfe\xfd\n" + b"".join(made[1:]) + b"torn off here, longer than that")
    Segments(tmp_path, "g0").close()
    assert path.read_bytes().endswith(made[-1])


def test_segments_rotate_and_the_oldest_give_way(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("switchline.audit.segments.MAX_SEGMENT_BYTES", 2_000)
    filled(tmp_path, 400)
    assert (
        len(segment_paths(tmp_path)) == MAX_SEGMENTS
        and sum(p.stat().st_size for p in segment_paths(tmp_path)) < 40_000
    )
    records, wrong = found(tmp_path)
    assert not wrong and records[-1].number == 400 and records[0].number > 1
    segment_paths(tmp_path)[7].unlink()
    assert found(tmp_path)[1]


def test_a_folder_of_another_gateway_or_held_by_another_process_is_refused(tmp_path: Path) -> None:
    filled(tmp_path, 2)
    with pytest.raises(AuditError, match="'g0'"):
        Segments(tmp_path, "g1")
    held = Segments(tmp_path, "g0")
    with pytest.raises(AuditError, match="another process"):
        Segments(tmp_path, "g0")
    held.close()


@settings(max_examples=60, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 900))
def test_spoilt_segments_are_taken_up_or_refused_and_never_raise_else(
    tmp_path_factory: pytest.TempPathFactory, noise: bytes, place: int
) -> None:
    folder = tmp_path_factory.mktemp("spoilt")
    filled(folder, 4)
    data = segment_paths(folder)[0].read_bytes()
    segment_paths(folder)[0].write_bytes(data[:place] + noise + data[place + len(noise) :])
    try:
        segments = Segments(folder, "g0")
        segments.add(record(0))
        segments.close()
    except AuditError:
        pass
    found(folder)


def waited(until: Any, limit_s: float = 20.0) -> bool:
    ends = time.monotonic() + limit_s
    while not until() and time.monotonic() < ends:
        time.sleep(0.01)
    return bool(until())


def test_a_disk_that_fails_is_counted_and_told_by_a_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("switchline.audit.writer.SYNC_INTERVAL_S", 0.01)
    monkeypatch.setattr("switchline.audit.writer.RETRY_INTERVAL_S", 0.01)
    heads: list[tuple[Head, bool]] = []
    folder = tmp_path / "audit"
    folder.write_text("no folder")

    def gap(why: str, lost: int) -> Record:
        return record(0, kind=GAP_KIND, version="", cause=why, counts={"lost": lost})

    monkeypatch.setattr("switchline.audit.writer.MAX_WAITING", 5)
    writer = AuditWriter(folder, "g0", gap, lambda head, on: heads.append((head, on)))
    for n in range(20):
        writer.add(record(n))
        assert waited(lambda: writer.queue.qsize() < 5)
    assert waited(lambda: writer.faults > 1 and writer.lost + writer.overflowed > 0)
    folder.unlink()
    assert waited(lambda: any(on for _, on in heads))
    writer.add(record(99))
    writer.close()
    records, wrong = found(folder)
    assert not wrong and records[0].kind == GAP_KIND and records[0].counts["lost"] >= 1
    assert [r for r in records if r.kind == GAP_KIND][0].cause and records[-1].version == "99"
    if os.geteuid():  # root writes where it may not
        os.chmod(folder, 0o500)


def test_a_version_is_recorded_when_it_changes_with_the_acts_under_the_one_before() -> None:
    acts = {"forwards": 0}
    audit = Audit("g0", LIFE, None, lambda: acts)
    audit.record("list", "", "1", "start")
    acts["forwards"] = 12
    audit.record("list", "", "1")
    audit.record("list", "", "2", "discovery")
    audit.record("ban", "b1", "down 5")
    audit.record("behind", "list", "", "most have 3")
    told = json.loads(audit.to_json())
    assert [(r["kind"], r.get("version", "")) for r in told["records"]] == [
        *(("list", "1"), ("list", "2"), ("ban", "down 5"), ("behind", ""))
    ]
    assert told["records"][1]["before"] == "1" and told["records"][1]["counts"] == {"forwards": 12}
    assert {(r["kind"], r["version"]) for r in told["versions"]} == {("list", "2"), ("ban", "down 5")}
    for n in range(2 * MAX_RECENT_RECORDS):
        audit.record("ban", f"b{n}", "down 1" * 200)
    assert len(audit.recent) == MAX_RECENT_RECORDS == len(audit.versions)
    assert audit.gauges() == {"audit.records": 4 + 2 * MAX_RECENT_RECORDS}


# ---- questions ----


def three() -> dict[str, list[Record]]:
    """Three gateways: two take list 2 at 2 s and 2.5 s, the third never; a zone is left in between."""
    return {
        "g0": [record(1, "g0", 1_000.0, version="1 aa"), record(2, "g0", 2_000.0, version="2 bb")],
        "g1": [
            record(1, "g1", 1_100.0, version="1 aa"),
            record(2, "g1", 2_500.0, version="2 bb"),
            record(3, "g1", 2_600.0, kind="zone", subject="a>b", version="1 left", cause="failing"),
        ],
        "g2": [record(1, "g2", 1_200.0, version="1 aa")],
    }


def test_who_is_behind_when_each_took_it_and_what_each_acted_on() -> None:
    audits = three()
    held = {one.name: one.behind_s for one in audit_queries.holdings(audits, "list", 12_500.0)}
    assert held == {"g0": None, "g1": None, "g2": 10.0}
    took = audit_queries.adoptions(audits, "list", "2")
    assert [(one.name, one.after_s) for one in took] == [("g0", 0.0), ("g1", 0.5)]
    assert audit_queries.versions_at(audits["g1"], 2_400.0)["list", ""].version == "1 aa"
    assert [one.subject for one in audit_queries.trace(audits, "b")] == ["a>b"]
    assert [one.name for one in audit_queries.in_causal_order(audits)] == ["g0", "g1", "g2", "g0", "g1", "g1"]


def test_ctl_audit_answers_from_folders_and_names_what_it_could_not_reach(tmp_path: Path) -> None:
    for name, records in three().items():
        segments = Segments(tmp_path / name, name)
        for one in records:
            segments.add(one)
        segments.close()
    folders = [str(tmp_path / name) for name in three()]
    run = CliRunner()

    def asked(*words: str) -> tuple[int, str]:
        answer = run.invoke(ctl.cli, ["audit", *words], env={"COLUMNS": "200"})
        return answer.exit_code, answer.output

    code, told = asked("who", *folders, "--json")
    assert code == 1 and [row["gateway"] for row in json.loads(told)["rows"] if row["behind"]] == ["g2"]
    code, told = asked("when", "list", "2", *folders)
    assert code == 1 and "0.500 s" in told and "never took it" in told
    code, told = asked("acts", "--at", "2.4", *folders, "--json")
    assert [r["version"] for r in json.loads(told)["rows"]] == ["2 bb", "1 aa", "1 aa"]
    code, told = asked("trace", "b", *folders, str(tmp_path / "nowhere"))
    assert code == 1 and "a>b" in told and "nowhere" in told
    assert asked("verify", *folders)[0] == 0
    path = segment_paths(tmp_path / "g1")[0]
    path.write_text(path.read_text().replace("failing", "passing"))
    code, told = asked("verify", *folders)
    assert code == 1 and "not as it was written" in told
    assert asked("acts", "--at", "noon", *folders)[0] == 2
    assert asked("plot", "--out", str(tmp_path / "p.png"), *folders)[0] == 0
    assert (tmp_path / "p.png").stat().st_size > 1_000


def test_a_chain_that_ends_before_what_others_were_told_of_is_found(tmp_path: Path) -> None:
    head = filled(tmp_path, 4)
    assert not audit_sources.read_folder(tmp_path, {"g0": head}).findings
    whole = segment_paths(tmp_path)[0].read_text().splitlines(keepends=True)
    segment_paths(tmp_path)[0].write_text("".join(whole[:-1]))
    assert audit_sources.read_folder(tmp_path, {"g0": head}).findings


@pytest.mark.parametrize("given", [3, "", "a\0b", ["x"], "x" * 2_000])
def test_a_malformed_folder_refuses_the_start(given: Any) -> None:
    with pytest.raises(ValueError, match="audit"):
        parse_audit(given)
    with pytest.raises(ConfigError):
        parse_config({"audit": given})


# ---- with processes ----


@pytest.mark.timeout(120)
def test_what_the_audits_say_is_what_the_lab_saw(lab: Plays) -> None:
    """A stuck agent, lost messages, a one-way cut; lists, a call for the fleet, a kill: record by record."""
    links: dict[str, Any] = {"kind": "link", "at_s": 0.1, "for_s": 8.8}
    called = {"kind": "operators", "gateways": ["g2"], "call": "backends/down", "id": "b2", "fleet": True}
    played = lab(
        duration_s=9.0,
        fleet={"gateways": 6, "state": True, "audit": True, "line": True, "seeds": 2, "settle_s": 2.0},
        backends={"count": 6},
        load={"rate": 40.0, "customers": 10, "work": 0.3},
        faults=[
            {"between": ["gateways"], "and": ["gateways"], "loss": 0.1, **links},
            {"between": ["g0"], "and": ["g5"], "cut": True, "one_way": True, **links},
            {"kind": "agent", "at_s": 0.5, "gateways": ["g3"], "what": "old", "for_s": 8.0},
            {"kind": "backend", "at_s": 1.5, "backends": ["b1"], "what": "drain"},
            {"at_s": 2.0, **called},
            {"kind": "kill", "at_s": 3.5, "gateways": ["g4"], "back_s": 0.5},
            {"kind": "backend", "at_s": 6.0, "backends": ["b1"], "what": "remove"},
        ],
    )
    assert not played.result.breaches
    folders = {name: played.folder / "gateways" / name / "audit" for name in (f"g{n}" for n in range(6))}
    audits = {}
    for name, folder in folders.items():
        source = audit_sources.read_folder(folder)
        assert source.name == name and not source.findings
        audits[name] = source.records
        told = {e["seq"] for e in played.of("told", g=name)}
        took = {int(r.version.split()[0]) for r in source.records if r.kind == "list" and r.version[0] != "N"}
        assert told <= took, (name, told, took)
    lists = [e["seq"] for e in played.of("list", b="b1", health="draining")]
    took_it = {one.name: one.after_s for one in audit_queries.adoptions(audits, "list", str(lists[0]))}
    assert {"g0", "g1", "g2", "g5"} <= took_it.keys() and took_it.get("g3", 9.0) > 5.0  # healed
    kinds = [r.kind for r in audits["g3"]]
    assert "behind" in kinds and "brought up" in kinds
    banned = {name for name, ones in audits.items() for r in ones if (r.kind, r.subject) == ("ban", "b2")}
    assert banned == set(audits)
    assert (
        len({r.incarnation for r in audits["g4"]}) >= 2
        and len([r for r in audits["g4"] if r.kind == "program"]) == 2
    )
    # The one that was called comes before all others in the order: they heard of it from there.
    order = [r.name for r in audit_queries.trace(audits, "b2") if r.kind == "ban"]
    assert order[0] == "g2"
    for one, other in itertools.pairwise(audit_queries.in_causal_order({"g1": audits["g1"]})):
        assert one.timestamp < other.timestamp
