"""Fixtures of all tests, and the pass over the tests that KNOWN-RED.txt lists.

A listed test must still fail, or be taken off; all that are listed are printed at the end.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

from testbed.fixture import lab  # noqa: F401

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """Gateways in tests have no front that still sends them connections."""
    monkeypatch.setattr("switchline.service.drain.DRAIN_NOTICE_S", 0.01)
    monkeypatch.setattr("switchline.service.service.FIRST_LIST_TIMEOUT_S", 0.01)


@pytest.fixture(autouse=True)
def private_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each test's gateways start with no files of earlier ones."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))


@pytest.fixture(autouse=True)
def patient_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """No test depends on the disk's speed, unless it sets these itself."""
    monkeypatch.setattr("switchline.state.store.COMMIT_TIMEOUT_S", 30.0)
    for name in ("LOAD_TIMEOUT_S", "OVERRIDE_COMMIT_TIMEOUT_S", "LOCK_TIMEOUT_S"):
        monkeypatch.setattr(f"switchline.state.persistence.{name}", 15.0)


def read_known_red(text: str) -> dict[str, str]:
    """The tests listed, `file::name: cause, issue` a line, with what is said of each."""
    listed = [line.partition(": ") for line in text.splitlines() if line.strip() and not line.startswith("#")]
    return {name.strip(): said.strip() for name, _, said in listed}


KNOWN = read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    if len(KNOWN) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(KNOWN)} tests, {MAX_KNOWN_RED} at most")
    for item in items:
        said = KNOWN.get(item.nodeid.partition("[")[0])
        if said is not None:
            item.add_marker(pytest.mark.xfail(reason=said, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name, said in KNOWN.items():
        terminalreporter.write_line(f"known red: {name}: {said}")
