"""The metrics of the state on disk, summed over all stores of a process."""

from __future__ import annotations

import time

from switchline.state.restore import StateRestorer
from switchline.state.store import StateStore


class StateMetrics:
    """Owns the counters, and measures for how long no state was stored on disk."""

    def __init__(self) -> None:
        self.failures = 0
        self.restore_ms = 0  # time that the restore added to the start
        self._past_commits = 0  # number of commits by closed stores
        self._outage_started_at_s: float | None = None  # by the monotonic clock; None outside an outage
        self._past_outages_s = 0.0

    def count_past_store(self, store: StateStore) -> None:
        """Add the counts of a closed store."""
        self._past_commits += store.commits

    def begin_outage(self) -> None:
        """Begin an outage, unless one is under way."""
        if self._outage_started_at_s is None:
            self._outage_started_at_s = time.monotonic()

    def end_outage(self) -> float | None:
        """End the outage; return its duration in seconds, None if there was none."""
        if self._outage_started_at_s is None:
            return None
        outage_s = time.monotonic() - self._outage_started_at_s
        self._outage_started_at_s = None
        self._past_outages_s += outage_s
        return outage_s

    def gauges(self, store: StateStore | None) -> dict[str, int]:
        """Return the gauges by metric name; `store` is the store in use, if any."""
        age_s = time.monotonic() - store.committed_at_s if store is not None else 0.0
        outage_s = (
            time.monotonic() - self._outage_started_at_s if self._outage_started_at_s is not None else 0.0
        )
        return {
            "state.on": int(store is not None),
            "state.age_ms": round(age_s * 1000),
            "state.restore_ms": self.restore_ms,
            "state.off_ms": round((self._past_outages_s + outage_s) * 1000),
        }

    def counts(self, store: StateStore | None, restorer: StateRestorer) -> dict[str, int]:
        """Return the counters by metric name; `store` is the store in use, if any."""
        return {
            "state.commits": self._past_commits + (store.commits if store is not None else 0),
            "state.failures": self.failures,
            "state.restored": restorer.restored,
            "state.dropped": restorer.dropped,
        }
