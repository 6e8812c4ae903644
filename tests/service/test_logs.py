"""The log's bound."""

from __future__ import annotations

import logging

import pytest

from switchline.logs import MAX_LINES_PER_PERIOD, PERIOD_S, RateLimit


def line(text: str = "peer %d broke off", *values: object) -> logging.LogRecord:
    return logging.LogRecord("n", logging.WARNING, "f", 1, text, values, None)


def test_a_flood_of_one_kind_is_cut_and_counted_and_hides_no_other_kind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limit, now = RateLimit(), [0.0]
    monkeypatch.setattr("switchline.logs.time.monotonic", lambda: now[0])

    def passes(at: float, record: logging.LogRecord) -> bool:
        now[0] = at
        return limit.filter(record)

    shown = [passes(0.01 * n, line("peer %d broke off", n)) for n in range(100)]
    assert shown == [True] * MAX_LINES_PER_PERIOD + [False] * (100 - MAX_LINES_PER_PERIOD)
    assert passes(1.0, line("something else"))
    later = line("peer %d broke off", 7)
    assert passes(PERIOD_S, later)
    assert later.getMessage() == f"peer 7 broke off (and {100 - MAX_LINES_PER_PERIOD} like it before)"
    assert passes(PERIOD_S + 0.1, line("peer %d broke off", 8))
