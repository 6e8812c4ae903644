"""The log, bounded in rate: a flood of bad peers must not become a flood of lines."""

from __future__ import annotations

import logging
import sys
import time

PERIOD_S = 10.0
MOST_LINES = 5  # of one kind in a period: enough to see what comes, whatever its rate


class RateLimit(logging.Filter):
    """Lets a few lines of each kind through in a period, and tells how many it kept back."""

    def __init__(self) -> None:
        super().__init__()
        self.periods: dict[str, tuple[float, int]] = {}  # by the text before its values: begin and lines

    def filter(self, record: logging.LogRecord) -> bool:
        kind, now = str(record.msg), time.monotonic()  # the record's own time is of the wall clock
        begin, lines = self.periods.get(kind, (now, 0))
        if now - begin >= PERIOD_S:
            if lines > MOST_LINES:
                record.msg = f"{record.getMessage()} (and {lines - MOST_LINES} like it before)"
                record.args = ()
            begin, lines = now, 0
        self.periods[kind] = begin, lines + 1
        return lines < MOST_LINES


def start() -> None:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())
