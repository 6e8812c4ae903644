"""The periodic log line with counts of requests, attempts and calls to the counter by outcome."""

from __future__ import annotations

import logging
from collections import Counter as Counts
from collections.abc import Callable

from switchline import log_events
from switchline.clock import Timers

log = logging.getLogger(__name__)

REPORT_INTERVAL_MS = 10_000.0


class PeriodicReport:
    """Owns the counts since the last log line."""

    def __init__(self, timers: Timers) -> None:
        self.counts: Counts[str] = Counts()
        self.connection_counts: Callable[[], dict[str, int]] = dict  # present number of connections by state
        timers.every(REPORT_INTERVAL_MS, "the report", self.log_counts)

    def log_counts(self) -> None:
        """Log the counts, if there are any, with the connections by state, and reset the counts."""
        if self.counts:
            counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
            connections = ", ".join(
                f"{name} {count}" for name, count in self.connection_counts().items() if count
            )
            log.info(log_events.REPORT, REPORT_INTERVAL_MS / 1000, counts, connections)
            self.counts.clear()
