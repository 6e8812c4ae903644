"""The log on standard error, bounded in rate: a flood of faulty peers must not become a flood of lines."""

from __future__ import annotations

import logging
import sys
import time

PERIOD_S = 10.0
MAX_LINES_PER_PERIOD = 5  # of one kind in a period: enough to see what comes, whatever its rate


class RateLimit(logging.Filter):
    """Passes a few lines of each kind in a period, and says with a later one how many it dropped.

    A line's kind is its text without its values.
    """

    def __init__(self) -> None:
        super().__init__()
        self.periods: dict[str, tuple[float, int]] = {}  # by kind: when the period began, and its lines

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line passes."""
        kind, now = str(record.msg), time.monotonic()  # the record's own time is of the wall clock
        began, lines = self.periods.get(kind, (now, 0))
        if now - began >= PERIOD_S:
            if lines > MAX_LINES_PER_PERIOD:
                record.msg = f"{record.getMessage()} (and {lines - MAX_LINES_PER_PERIOD} like it before)"
                record.args = ()
            began = now
            lines = 0
        self.periods[kind] = began, lines + 1
        return lines < MAX_LINES_PER_PERIOD


def start() -> None:
    """Log to standard error, within the bound."""
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())
