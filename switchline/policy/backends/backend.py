"""One backend as a gateway knows it, and how much of its capacity it has while it warms up."""

from __future__ import annotations

import math

from switchline.policy import interface as api

# A backend that was enabled again gets a request after so long at the latest, as it may be worth using.
MAX_PROBE_DELAY_MS = 1_500.0


class Backend:
    """One backend as this gateway has seen it.

    Attributes:
        id: Its number.
        zone: Its zone.
        cell: Its cell, which may share the memory of idempotency keys.
        is_ready: Whether the endpoint list lets it have new work.
        started_ms: When its process began, by the list.
        in_flight: This gateway's attempts at it.
        scores: Its outlier scores by name.
        enabled_ms: When an operator enabled it again; 0: never.
        is_enabled_estimated: Whether that time is only an estimate, after a power loss of the whole fleet.
        process_started_ms: When its process began at the earliest, by this gateway's clock; 0: long ago.
        probe_due_ms: When it must get a request, infinite if it has had one.
    """

    def __init__(self, entry: api.BackendEntry, rules: api.SafetyRules) -> None:
        self.id = entry.backend
        self.in_flight = 0
        self.started_ms = -1.0
        self.enabled_ms = 0.0
        self.is_enabled_estimated = False
        self.probe_due_ms = math.inf
        self.process_started_ms = 0.0
        self.scores: dict[str, api.FadingScore] = {}
        self._rules = rules
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        """Take over its entry of the list; what was seen of an earlier process is dropped."""
        if entry.started_ms != self.started_ms:
            self.scores = {}
            if self.is_enabled_estimated:
                self.enabled_ms = 0.0
        self.zone = entry.zone
        self.cell = entry.cell
        self.started_ms = entry.started_ms
        self.is_ready = entry.state is api.BackendState.READY

    def on_new_process(self, now: float, previous_list_valid_until_ms: float) -> None:
        """Set when its process began, which is new to the list.

        Its start comes from another machine's wall clock, and this one's may be wrong: the process began no
        later than now, and no earlier than a list that lacked it was still known to be valid.
        """
        if self.started_ms > 0:
            self.process_started_ms = min(now, max(self.started_ms, previous_list_valid_until_ms))
        else:
            self.process_started_ms = 0.0

    def enable(self, now: float, since_ms: float, is_estimated: bool = False) -> None:
        """Count it as started when an operator enabled it: operators restart what they disable."""
        self.enabled_ms = min(since_ms, now)  # the time may come from a clock that is ahead
        self.probe_due_ms = self.enabled_ms + MAX_PROBE_DELAY_MS
        self.scores = {}
        self.is_enabled_estimated = is_estimated

    def on_sent(self) -> None:
        """It gets an attempt."""
        self.in_flight += 1
        self.probe_due_ms = math.inf

    def on_never_ran(self, now: float) -> None:
        """An attempt did not run: a backend that was enabled again has still had nothing."""
        if self.enabled_ms and self.warm_ratio(now) < 1:
            self.probe_due_ms = now + MAX_PROBE_DELAY_MS

    def warm_ratio(self, now: float) -> float:
        """Give the least part of its capacity that it surely has (slow start), up to 1."""
        began_ms = max(self.process_started_ms, self.enabled_ms)
        rules = self._rules
        warm_ratio = (now - began_ms) / max(1.0, rules.warm_up_ms) if began_ms > 0 else 1.0
        return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * warm_ratio)
