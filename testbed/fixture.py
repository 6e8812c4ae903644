"""For pytest: plays of a few processes and some seconds, whose verdict no busy machine changes."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from testbed.play.play import Result, play
from testbed.scenario import Scenario, check_fault
from testbed.verdict.records import Event, read

MOST_GATEWAYS, MOST_S = 8, 20.0
PATIENT = {"slack_s": 2.0, "late_ms": 1e6, "stall_ms": 1e6}  # a starved machine breaks no rule


class Played:
    """A play that has ended: its result and its record."""

    def __init__(self, result: Result, folder: Path) -> None:
        self.result, self.folder = result, folder
        self.events: list[Event] = list(read(folder))

    def of(self, kind: str, /, **given: Any) -> list[Event]:
        """The events of a kind that carry these values."""
        return [e for e in self.events if e["e"] == kind and all(e.get(k) == v for k, v in given.items())]

    def breaches(self, rule: str) -> list[dict[str, Any]]:
        return [one for one in self.result.breaches if one["rule"] == rule]


Plays = Callable[..., Played]


@pytest.fixture
def lab(tmp_path: Path) -> Plays:
    """Plays a scenario given as a dictionary; the folder of a test that failed is kept, with its record."""

    def run(seed: int = 1, **given: Any) -> Played:
        scenario = msgspec.convert({"name": "test", "about": "a test", **PATIENT, **given}, Scenario)
        assert scenario.fleet.gateways <= MOST_GATEWAYS and scenario.duration_s <= MOST_S
        for fault in scenario.faults:
            check_fault(scenario, fault)
        folder = tmp_path / "play"
        return Played(play(scenario, seed, folder), folder)

    return run
