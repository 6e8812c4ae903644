"""How long one more request should take: the load on what this gateway has in flight."""

from __future__ import annotations

import math
from collections.abc import Mapping

from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.requests.latency import MAX_SAMPLE_MULTIPLE, RECENT_WEIGHT, LatencyEstimate
from switchline.policy.requests.request import Attempt

# A gateway that may always have fewer in flight than this learns too little from its own attempts.
MIN_TELLING_IN_FLIGHT = 2.0


class LoadEstimate:
    """Judges the load by the attempts in flight and the latency estimate; has no state of its own."""

    def __init__(
        self, in_flight: Mapping[tuple[str, int], Attempt], latency: LatencyEstimate, backends: BackendTable
    ) -> None:
        self._in_flight = in_flight
        self._latency = latency
        self._backends = backends

    def has_few_in_flight(self) -> bool:
        """Whether this gateway sends too little for its own queue to show the load."""
        return self._backends.free_in_flight < MIN_TELLING_IN_FLIGHT

    def expected_answer_ms(self, now: float) -> float:
        """Give what is in flight over the rate of answers (Little's law): how long one more should take.

        Judged by the latency of answers, overload and its end would be seen a whole queue too late; what is
        in flight is known at once. A few in flight swing widely by chance, so the square root of their number
        is taken off. Where one gateway's few tell nothing, the recent latency decides.
        """
        latency = self._latency
        answer_ms = max(1.0, latency.faded_recent_ms(now))
        waiting = 1
        queue_limit_ms = max(MAX_SAMPLE_MULTIPLE * max(latency.mean_ms, latency.recent_ms), 1.0)
        for attempt in self._in_flight.values():
            age_ms = now - attempt.sent_at_ms
            # Lost ones don't wait in any queue, and streamed bodies not yet.
            if 0 <= age_ms < queue_limit_ms:
                answer_ms *= max(1.0, age_ms / answer_ms) ** RECENT_WEIGHT
                waiting += 1
        if self.has_few_in_flight():
            return answer_ms * max(1.0, waiting / MIN_TELLING_IN_FLIGHT) ** 2
        if waiting <= self._backends.free_in_flight:
            return 0.0
        return (waiting - math.sqrt(waiting)) * 1000 / max(latency.faded_rate_per_s(now), 1e-9)
