"""The audits of a fleet of gateway processes, compared with the events that the test bed recorded."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from switchline.audit import queries as audit_queries
from switchline.audit import sources as audit_sources
from testbed.fixture import Plays


@pytest.mark.timeout(120)
def test_the_audits_match_the_events_of_a_play(lab: Plays) -> None:
    """Compares records with events in a play of list changes, an operator's call for the fleet and a kill.

    The play has a stuck discovery agent, lost messages, and a link that is cut in one direction.
    """
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
    assert {"g0", "g1", "g2", "g5"} <= took_it.keys() and took_it.get("g3", 9.0) > 5.0  # repaired
    kinds = [r.kind for r in audits["g3"]]
    assert "behind" in kinds and "brought up" in kinds
    banned = {name for name, ones in audits.items() for r in ones if (r.kind, r.subject) == ("ban", "b2")}
    assert banned == set(audits)
    assert (
        len({r.incarnation for r in audits["g4"]}) >= 2
        and len([r for r in audits["g4"] if r.kind == "program"]) == 2
    )
    # The gateway that was called comes first in causal order, as the others heard of the call from it.
    order = [r.name for r in audit_queries.trace(audits, "b2") if r.kind == "ban"]
    assert order[0] == "g2"
    for one, other in itertools.pairwise(audit_queries.in_causal_order({"g1": audits["g1"]})):
        assert one.timestamp < other.timestamp
