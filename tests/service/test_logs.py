"""The limit on the number of log lines of one kind."""

from __future__ import annotations

import logging

import pytest

from switchline.logs import MAX_LINES_PER_PERIOD, PERIOD_S, RateLimit


def log_record(text: str = "peer %d broke off", *values: object) -> logging.LogRecord:
    return logging.LogRecord("n", logging.WARNING, "f", 1, text, values, None)


def test_many_lines_of_one_kind_are_limited_and_counted_and_hide_no_other_kind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limit, now_s = RateLimit(), [0.0]
    monkeypatch.setattr("switchline.logs.time.monotonic", lambda: now_s[0])

    def passes(at_s: float, record: logging.LogRecord) -> bool:
        now_s[0] = at_s
        return limit.filter(record)

    passed = [passes(0.01 * n, log_record("peer %d broke off", n)) for n in range(100)]
    assert passed == [True] * MAX_LINES_PER_PERIOD + [False] * (100 - MAX_LINES_PER_PERIOD)
    assert passes(1.0, log_record("something else"))
    next_period_record = log_record("peer %d broke off", 7)
    assert passes(PERIOD_S, next_period_record)
    assert (
        next_period_record.getMessage()
        == f"peer 7 broke off (and {100 - MAX_LINES_PER_PERIOD} like it before)"
    )
    assert passes(PERIOD_S + 0.1, log_record("peer %d broke off", 8))
