"""The idle time after which a request on a connection is likely to be reset, learned from resets."""

from __future__ import annotations

import bisect
import math

# A reset within this time after sending, sooner than any answer, means that the connection was closed before.
IMMEDIATE_RESET_MS = 5.0
FIRST_BUCKET_MS = 10.0
BUCKET_GROWTH_RATIO = 1.5
DECAY_INTERVAL_MS = 1_000.0
# Counts decay to 1/e, about a third, in this time, so that longer idle times are tried again.
EVIDENCE_DECAY_MS = 20_000.0
# A bucket sets the limit if it has at least `MIN_RESETS`, after decay, and its reset ratio (resets divided by
# uses) exceeds both `MIN_RESET_RATIO` and `MIN_EXCESS_RATIO` times that of all shorter idle times.
MIN_RESETS = 3.0
MIN_RESET_RATIO = 0.2
MIN_EXCESS_RATIO = 3.0


class IdleTimes:
    """Learns the idle time after which connections are reset at once, and limits the idle time accordingly.

    The settings name only the longest idle time; hosts and middleboxes may drop a connection earlier without
    notice. A request that is reset may have run and can't be retried unless it is idempotent, so a handshake
    is better than a connection that has been idle for long. Uses and resets are counted in buckets of idle
    time; the shortest bucket with a far higher reset ratio than all shorter ones sets the limit until its
    counts have decayed.

    Args:
        max_idle_ms: The limit while there are no such counts.
    """

    def __init__(self, max_idle_ms: float) -> None:
        self.max_idle_ms = max_idle_ms
        self.limit_ms = max_idle_ms
        self._bucket_starts_ms = bucket_starts_ms(max_idle_ms)
        self._uses = [0.0] * len(self._bucket_starts_ms)
        self._resets = [0.0] * len(self._bucket_starts_ms)
        self._decayed_at_ms = 0.0

    def record_use(self, idle_ms: float, reset: bool) -> None:
        """Count a request on a connection that was idle for `idle_ms`.

        Args:
            idle_ms: How long the connection was idle before the request.
            reset: Whether the request was reset at once.
        """
        bucket = bisect.bisect_right(self._bucket_starts_ms, idle_ms) - 1
        self._uses[bucket] += 1
        if reset:
            self._resets[bucket] += 1
            self.limit_ms = self._evaluate_limit_ms()

    def allows(self, now_ms: float, idle_ms: float) -> bool:
        """Whether a connection that has been idle for `idle_ms` may be used for a request."""
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
        """Return the shortest idle time of the first bucket with too many resets, else `max_idle_ms`."""
        shorter_uses = 0.0
        shorter_resets = 0.0
        for start_ms, uses, resets in zip(self._bucket_starts_ms, self._uses, self._resets, strict=True):
            shorter_reset_ratio = shorter_resets / max(shorter_uses, 1.0)
            if resets >= MIN_RESETS and resets > uses * max(
                MIN_RESET_RATIO, MIN_EXCESS_RATIO * shorter_reset_ratio
            ):
                return start_ms
            shorter_uses += uses
            shorter_resets += resets
        return self.max_idle_ms


def bucket_starts_ms(max_idle_ms: float) -> list[float]:
    """Return the shortest idle time of each bucket: 0, then values that grow by a constant ratio."""
    if max_idle_ms <= 0:
        return [0.0]
    growing_buckets = max(0, math.ceil(math.log(max_idle_ms / FIRST_BUCKET_MS, BUCKET_GROWTH_RATIO)))
    return [0.0, *(FIRST_BUCKET_MS * BUCKET_GROWTH_RATIO**n for n in range(growing_buckets))]
