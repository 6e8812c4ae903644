"""What a gateway knows of one backend, and the share of its capacity that it has while it warms up."""

from __future__ import annotations

import math

from switchline.policy import interface as api

# A backend that an operator enabled again gets a request within this time, as it may have capacity to use.
MAX_PROBE_DELAY_MS = 1_500.0


class Backend:
    """One backend of the endpoint list, with what this gateway has observed of it.

    Attributes:
        id: The number of the backend.
        zone: Its zone.
        cell: Its cell; the backends of a cell may recognise the same idempotency keys.
        is_ready: Whether the endpoint list allows new work at the backend.
        started_ms: Start time of its process in the endpoint list, in milliseconds; 0 if not known.
        in_flight: Number of this gateway's attempts in flight at the backend.
        scores: Its outlier scores by name (`score_names`).
        enabled_ms: Time at which an operator enabled it again, in milliseconds; 0 if none did.
        is_enabled_ms_estimated: Whether `enabled_ms` is an estimate, made after a power loss of the whole
            fleet.
        process_started_ms: Earliest start time of its process that is plausible by this gateway's clock, in
            milliseconds; 0 if it is long past or not known.
        probe_due_ms: Time by which it must get a request, in milliseconds; infinite if none is due.
    """

    def __init__(self, entry: api.BackendEntry, rules: api.SafetyRules) -> None:
        self.id = entry.backend
        self.in_flight = 0
        self.started_ms = -1.0
        self.enabled_ms = 0.0
        self.is_enabled_ms_estimated = False
        self.probe_due_ms = math.inf
        self.process_started_ms = 0.0
        self.scores: dict[str, api.FadingScore] = {}
        self._rules = rules
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        """Apply an entry of the endpoint list; what was observed of an earlier process is dropped."""
        if entry.started_ms != self.started_ms:
            self.scores = {}
            if self.is_enabled_ms_estimated:
                self.enabled_ms = 0.0
        self.zone = entry.zone
        self.cell = entry.cell
        self.started_ms = entry.started_ms
        self.is_ready = entry.state is api.BackendState.READY

    def on_new_process(self, now: float, previous_list_valid_until_ms: float) -> None:
        """Set the start time of a process that is new in the endpoint list.

        The start time in the list comes from the wall clock of another machine, and this machine's clock may
        be wrong too. The process started no later than now, and no earlier than the time up to which a list
        without it was known to be valid.

        Args:
            now: The time in milliseconds.
            previous_list_valid_until_ms: Time up to which the previous list was known to be valid.
        """
        if self.started_ms > 0:
            self.process_started_ms = min(now, max(self.started_ms, previous_list_valid_until_ms))
        else:
            self.process_started_ms = 0.0

    def enable(self, now: float, operator_enabled_ms: float, is_estimated: bool = False) -> None:
        """Treat the backend as started when an operator enabled it, as operators restart what they disable.

        Args:
            now: The time in milliseconds.
            operator_enabled_ms: Time at which the operator enabled it, in milliseconds.
            is_estimated: Whether that time is an estimate.
        """
        self.enabled_ms = min(operator_enabled_ms, now)  # the time may come from a clock that is ahead
        self.probe_due_ms = self.enabled_ms + MAX_PROBE_DELAY_MS
        self.scores = {}
        self.is_enabled_ms_estimated = is_estimated

    def on_sent(self) -> None:
        """Count an attempt that is sent to the backend."""
        self.in_flight += 1
        self.probe_due_ms = math.inf

    def on_never_ran(self, now: float) -> None:
        """Schedule another probe of a backend that is warming up after an operator enabled it.

        Called when an attempt did not run at the backend: it has then still had no request.
        """
        if self.enabled_ms and self.warm_ratio(now) < 1:
            self.probe_due_ms = now + MAX_PROBE_DELAY_MS

    def warm_ratio(self, now: float) -> float:
        """Return the ratio of its capacity that the backend certainly has under slow start, up to 1."""
        warm_up_began_ms = max(self.process_started_ms, self.enabled_ms)
        rules = self._rules
        elapsed_ratio = (now - warm_up_began_ms) / max(1.0, rules.warm_up_ms) if warm_up_began_ms > 0 else 1.0
        return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * elapsed_ratio)
