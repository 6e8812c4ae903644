"""The log on standard error, limited in rate: many faulty peers must not fill it with lines."""

from __future__ import annotations

import logging
import sys
import time

PERIOD_S = 10.0
MAX_LINES_PER_PERIOD = 5  # lines of one kind: enough to see what happens, whatever its rate


class RateLimit(logging.Filter):
    """Passes `MAX_LINES_PER_PERIOD` lines of each kind in a period of `PERIOD_S`.

    The first line of a kind in a later period says how many were dropped. A line's kind is its format string,
    the text without its values.
    """

    def __init__(self) -> None:
        super().__init__()
        # By kind: the start of its period in seconds of the monotonic clock, and the lines since then.
        self.periods: dict[str, tuple[float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is logged, and count it."""
        kind, now_s = str(record.msg), time.monotonic()  # the record's own time is that of the wall clock
        began_s, lines = self.periods.get(kind, (now_s, 0))
        if now_s - began_s >= PERIOD_S:
            if lines > MAX_LINES_PER_PERIOD:
                record.msg = f"{record.getMessage()} (and {lines - MAX_LINES_PER_PERIOD} like it before)"
                record.args = ()
            began_s = now_s
            lines = 0
        self.periods[kind] = began_s, lines + 1
        return lines < MAX_LINES_PER_PERIOD


def start() -> None:
    """Log to standard error, with the rate limit."""
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())
