"""Passes over the tests that KNOWN-RED.txt lists, and prints them; each must still fail, or be taken off."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


def read_known_red(text: str) -> dict[str, str]:
    """The tests listed, `file::name: cause, issue` a line, with what is said of each."""
    listed = [line.partition(": ") for line in text.splitlines() if line.strip() and not line.startswith("#")]
    return {name.strip(): said.strip() for name, _, said in listed}


KNOWN = read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    if len(KNOWN) > MOST_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(KNOWN)} tests, {MOST_KNOWN_RED} at most")
    for item in items:
        said = KNOWN.get(item.nodeid.partition("[")[0])
        if said is not None:
            item.add_marker(pytest.mark.xfail(reason=said, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name, said in KNOWN.items():
        terminalreporter.write_line(f"known red: {name}: {said}")
