"""The periodic log line: what became of requests, attempts and calls to the counter."""

from __future__ import annotations

import logging
from collections import Counter as Counts
from collections.abc import Callable

from switchline import log_events
from switchline.clock import Timers

log = logging.getLogger(__name__)

REPORT_INTERVAL_MS = 10_000.0


class PeriodicReport:
    """Owns the counts since the last line."""

    def __init__(self, timers: Timers) -> None:
        self.counts: Counts[str] = Counts()
        self.connection_counts: Callable[[], dict[str, int]] = dict  # of connections, now
        timers.every(REPORT_INTERVAL_MS, "the report", self.log_counts)

    def log_counts(self) -> None:
        """Log the counts, if there are any, with the connections' states, and begin anew."""
        if self.counts:
            counts = ", ".join(f"{what} {number}" for what, number in sorted(self.counts.items()))
            connections = ", ".join(
                f"{what} {number}" for what, number in self.connection_counts().items() if number
            )
            log.info(log_events.REPORT, REPORT_INTERVAL_MS / 1000, counts, connections)
            self.counts.clear()
