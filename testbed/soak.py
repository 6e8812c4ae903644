"""A randomized soak: scenarios drawn from seeds, with faults of all kinds that overlap in time.

The oracle is the judge's rules and the gateways' own invariants. A play can be had again by its seed; what
the seed drew is written beside its record.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from testbed.machine import SOCKET_ERRORS
from testbed.play.play import RULES_BROKEN, Result, play
from testbed.scenario import Scenario, check_fault

DURATION_S = 30.0
QUIET_S = 4.0  # at both ends of a play without a fault that begins
RATE_PER_GATEWAY = 10.0
LONGEST_FAULT_S = 8.0
FAULTS_PER_S = 0.5
STEPS_S = (-3_600.0, -90.0, -7.0, -1.0, 1.0, 7.0, 90.0, 3_600.0)  # of wall clocks
CALL_CHANCES = (0.005, 0.02, 0.05)
DISK_CHANCES = (0.1, 0.4, 1.0)
VIOLATED = "invariants violated"

Draw = Callable[[random.Random, "Drawn"], dict[str, Any]]


class Drawn(msgspec.Struct):
    """What a fault may be drawn for."""

    gateways: list[str]
    backends: list[str]
    at_s: float
    for_s: float

    def some(self, chance: random.Random, names: list[str]) -> list[str]:
        return chance.sample(names, chance.randint(1, max(1, len(names) // 3)))


def kill(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    return {"gateways": drawn.some(chance, drawn.gateways), "back_s": chance.uniform(0.1, 2.0)}


def term(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    return kill(chance, drawn) | {"patience_s": 3.7}


def hup(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    change = {"connections": {"connects": chance.randint(2, 8)}}
    return {"gateways": drawn.some(chance, drawn.gateways), "change": change}


def stop(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    return {"gateways": drawn.some(chance, drawn.gateways), "for_s": chance.uniform(0.05, 0.15)}


def clock(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    return {"gateways": drawn.some(chance, drawn.gateways), "step_s": chance.choice(STEPS_S)}


def calls(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    return {
        "gateways": drawn.some(chance, drawn.gateways),
        "for_s": drawn.for_s,
        "chance": chance.choice(CALL_CHANCES),
        "errors": SURVIVABLE,
        "short": chance.choice((0.0, 0.3)),
    }


def disk(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    return {
        "gateways": drawn.some(chance, drawn.gateways),
        "for_s": drawn.for_s,
        "chance": chance.choice(DISK_CHANCES),
    }


def link(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    ills = ({"cut": True}, {"delay_ms": 80.0, "jitter_ms": 40.0}, {"refuse": True}, {"reset": True})
    return {
        "between": drawn.some(chance, drawn.gateways),
        # Not to agents: they stand on the gateway's own machine, and what they wrote counts as told.
        "and": chance.choice((drawn.some(chance, drawn.backends), ["counter"])),
        "for_s": min(drawn.for_s, 5.0),
        **chance.choice(ills),
    }


def backend(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    what = chance.choice(("die", "restart", "pause", "slow", "gone", "drain"))
    given = {"backends": drawn.some(chance, drawn.backends), "what": what, "for_s": drawn.for_s}
    return given | ({"factor": 0.3} if what == "slow" else {})


def agent(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    what = chance.choice(("late", "silent", "broken"))
    return {"gateways": drawn.some(chance, drawn.gateways), "what": what, "for_s": drawn.for_s}


def counter(chance: random.Random, drawn: Drawn) -> dict[str, Any]:
    return {"what": chance.choice(("silent", "empty", "slow", "busy", "refuse")), "for_s": drawn.for_s}


# An error of these may end a client's own open connection: what is open on it is lost by the machine's doing.
OF_OPEN_CONNECTIONS = {"read", "write", "setsockopt", "shutdown"}
# Errors after which the program can still keep its word to every client.
SURVIVABLE = {call: names for call, names in SOCKET_ERRORS.items() if call not in OF_OPEN_CONNECTIONS}
KINDS: dict[str, Draw] = {
    "kill": kill,
    "term": term,
    "hup": hup,
    "stop": stop,
    "clock": clock,
    "calls": calls,
    "disk": disk,
    "link": link,
    "backend": backend,
    "agent": agent,
    "counter": counter,
}


def draw(seed: int, gateways: int, kinds: list[str]) -> Scenario:
    """The scenario of a seed: a fleet, its load, and faults that overlap. Raises ScenarioError."""
    chance = random.Random(seed)
    names = [f"g{number}" for number in range(gateways)]
    backends = max(4, gateways)
    faults = []
    for _ in range(round(DURATION_S * FAULTS_PER_S)):
        kind = chance.choice(kinds)
        at_s = round(chance.uniform(QUIET_S, DURATION_S - LONGEST_FAULT_S - QUIET_S), 2)
        drawn = Drawn(names, [f"b{n}" for n in range(backends)], at_s, chance.uniform(1.0, LONGEST_FAULT_S))
        faults.append({"kind": kind, "at_s": at_s, **KINDS[kind](chance, drawn)})
    scenario = msgspec.convert(
        {
            "name": f"soak-{seed}",
            "about": "Faults of all kinds, drawn from a seed.",
            "duration_s": DURATION_S,
            "fleet": {"gateways": gateways, "zones": ["a", "b"], "state": True, "line": True},
            "backends": {"count": backends},
            "load": {"rate": gateways * RATE_PER_GATEWAY, "customers": gateways * 10},
            "faults": faults,
        },
        Scenario,
    )
    for fault in scenario.faults:
        check_fault(scenario, fault)
    return scenario


def soak(seeds: list[int], gateways: int, kinds: list[str], out: Path) -> Iterator[Result]:
    """Play the scenarios of some seeds one after another; raises what `play` does."""
    for seed in seeds:
        scenario = draw(seed, gateways, kinds)
        folder = out / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "scenario.json").write_bytes(msgspec.json.format(msgspec.json.encode(scenario), indent=1))
        result = play(scenario, seed, folder)
        violated = violations(folder)
        result.figures[VIOLATED] = sum(violated.values())
        if violated:
            result.verdict = max(result.verdict, RULES_BROKEN)
            result.why.append(f"invariants: {json.dumps(violated)}")
        yield result


def violations(folder: Path) -> dict[str, int]:
    """The violations of invariants that gateways logged, by gateway and life."""
    found = {}
    for log in sorted((folder / "gateways").glob("*/life-*.log")):
        lines = log.read_bytes().decode("utf-8", "replace").splitlines()
        if number := sum(" is violated: " in line or "could not be handled" in line for line in lines):
            found[f"{log.parent.name}/{log.stem}"] = number
    return found
