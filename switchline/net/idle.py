"""How long an idle connection may stand before a request on it is likely to be reset."""

from __future__ import annotations

import bisect
import math

IMMEDIATE_RESET_MS = 5.0  # a reset that comes sooner than any answer: the connection had been closed before
FIRST_BUCKET_MS = 10.0
BUCKET_GROWTH_RATIO = 1.5
DECAY_INTERVAL_MS = 1_000.0
EVIDENCE_DECAY_MS = (
    20_000.0  # evidence fades to a third in this time, so that longer idle times are tried again
)
MIN_RESETS = 3.0
MIN_RESET_RATIO = 0.2
MIN_EXCESS_RATIO = 3.0  # over the share of resets at shorter idle times


class IdleTimes:
    """Learns after which idle time connections are reset at once, and advises against using older ones.

    The settings name only the longest time; machines, and middleboxes on the way, may drop a connection
    earlier without notice. A request that is reset may have run, so one with effects can't be retried: an old
    connection is worth less than a handshake. Uses and resets are counted in buckets of idle time; the
    shortest bucket with far more resets than those below it is the limit, for as long as the evidence lasts.

    Args:
        max_idle_ms: the limit without evidence.
    """

    def __init__(self, max_idle_ms: float) -> None:
        self.max_idle_ms = max_idle_ms
        self.limit_ms = max_idle_ms
        self._bucket_starts_ms = bucket_starts_ms(max_idle_ms)
        self._uses = [0.0] * len(self._bucket_starts_ms)
        self._resets = [0.0] * len(self._bucket_starts_ms)
        self._decayed_at_ms = 0.0

    def record_use(self, idle_ms: float, reset: bool) -> None:
        """Count a request on a connection that had been idle; `reset`: it was reset at once."""
        bucket = bisect.bisect_right(self._bucket_starts_ms, idle_ms) - 1
        self._uses[bucket] += 1
        if reset:
            self._resets[bucket] += 1
            self.limit_ms = self._evaluate_limit_ms()

    def allows(self, now_ms: float, idle_ms: float) -> bool:
        """Whether a connection that has been idle for so long is still worth a request."""
        if now_ms - self._decayed_at_ms > DECAY_INTERVAL_MS:
            self._decay(now_ms)
        return idle_ms < self.limit_ms

    def _decay(self, now_ms: float) -> None:
        factor = math.exp((self._decayed_at_ms - now_ms) / EVIDENCE_DECAY_MS)
        self._decayed_at_ms = now_ms
        self._uses = [uses * factor for uses in self._uses]
        self._resets = [resets * factor for resets in self._resets]
        self.limit_ms = self._evaluate_limit_ms()

    def _evaluate_limit_ms(self) -> float:
        shorter_uses = 0.0
        shorter_resets = 0.0
        for start_ms, uses, resets in zip(self._bucket_starts_ms, self._uses, self._resets, strict=True):
            usual_ratio = shorter_resets / max(shorter_uses, 1.0)
            if resets >= MIN_RESETS and resets > uses * max(MIN_RESET_RATIO, MIN_EXCESS_RATIO * usual_ratio):
                return start_ms
            shorter_uses += uses
            shorter_resets += resets
        return self.max_idle_ms


def bucket_starts_ms(max_idle_ms: float) -> list[float]:
    """The shortest idle time of each bucket, growing by a constant ratio up to the longest."""
    if max_idle_ms <= 0:
        return [0.0]
    growing = max(0, math.ceil(math.log(max_idle_ms / FIRST_BUCKET_MS, BUCKET_GROWTH_RATIO)))
    return [0.0, *(FIRST_BUCKET_MS * BUCKET_GROWTH_RATIO**n for n in range(growing))]
