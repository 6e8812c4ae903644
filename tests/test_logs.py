"""The log's bound."""

from __future__ import annotations

import logging

from roadpulley.logs import MOST_LINES, PERIOD_S, RateLimit


def line(at: float, text: str = "peer %d broke off", *values: object) -> logging.LogRecord:
    record = logging.LogRecord("n", logging.WARNING, "f", 1, text, values, None)
    record.created = at
    return record


def test_a_flood_of_one_kind_is_cut_and_counted_and_hides_no_other_kind() -> None:
    limit = RateLimit()
    shown = [limit.filter(line(0.01 * n, "peer %d broke off", n)) for n in range(100)]
    assert shown == [True] * MOST_LINES + [False] * (100 - MOST_LINES)
    assert limit.filter(line(1.0, "something else"))
    later = line(PERIOD_S, "peer %d broke off", 7)
    assert limit.filter(later)
    assert later.getMessage() == f"peer 7 broke off (and {100 - MOST_LINES} like it before)"
    assert limit.filter(line(PERIOD_S + 0.1, "peer %d broke off", 8))
