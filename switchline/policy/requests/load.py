"""Estimates the load: how long one more request would take, by the attempts in flight."""

from __future__ import annotations

import math
from collections.abc import Mapping

from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.requests.latency import MAX_SAMPLE_MULTIPLE, RECENT_WEIGHT, LatencyEstimate
from switchline.policy.requests.request import Attempt

# If the number of attempts that a gateway may have in flight at any load is below this, its own attempts show
# too little of the load.
MIN_INFORMATIVE_IN_FLIGHT = 2.0


class LoadEstimate:
    """Estimates the load by the attempts in flight and the latency estimate; it has no state of its own."""

    def __init__(
        self, in_flight: Mapping[tuple[str, int], Attempt], latency: LatencyEstimate, backends: BackendTable
    ) -> None:
        self._in_flight = in_flight
        self._latency = latency
        self._backends = backends

    def has_few_in_flight(self) -> bool:
        """Whether this gateway may have too few attempts in flight for them to show the load."""
        return self._backends.free_in_flight < MIN_INFORMATIVE_IN_FLIGHT

    def expected_answer_ms(self, now: float) -> float:
        """Return the expected latency in milliseconds of one more request, by Little's law.

        It is the number in flight divided by the rate of answers. The latency of answers would show an
        overload and its end only after a whole queue was served; the number in flight is known at once. Small
        numbers in flight vary widely by chance, so their square root is subtracted. If this gateway has too
        few in flight, the recent latency decides.
        """
        latency = self._latency
        answer_ms = max(1.0, latency.decayed_recent_ms(now))
        waiting_count = 1
        queue_limit_ms = max(MAX_SAMPLE_MULTIPLE * max(latency.mean_ms, latency.recent_ms), 1.0)
        for attempt in self._in_flight.values():
            age_ms = now - attempt.sent_at_ms
            # Lost attempts wait in no queue, and attempts with incomplete bodies do not wait yet.
            if 0 <= age_ms < queue_limit_ms:
                answer_ms *= max(1.0, age_ms / answer_ms) ** RECENT_WEIGHT
                waiting_count += 1
        if self.has_few_in_flight():
            return answer_ms * max(1.0, waiting_count / MIN_INFORMATIVE_IN_FLIGHT) ** 2
        if waiting_count <= self._backends.free_in_flight:
            return 0.0
        return (waiting_count - math.sqrt(waiting_count)) * 1000 / max(latency.decayed_rate_per_s(now), 1e-9)
