"""When discovery is called again. Pure: chance and results are handed in.

A list that has to be polled comes from one service of a fixed capacity for all gateways. A fleet that polls
at once, or again in step, fills its queue with calls that have been given up, and nobody is told anything;
so polls are spread over time.
"""

from __future__ import annotations

import random

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
BACKOFF_FACTOR = 2
JITTER_RATIO = 0.5  # of a delay, either way
FREE_POLLS = 4  # of the whole fleet at once
POLLS_PER_S = 4.0  # of the whole fleet
MAX_SPREAD_S = 1.0  # however large the fleet: more would not fit into the time in which a change is due


def poll_spread_s(gateways: int) -> float:
    """Return the time that the polls of all gateways are spread over: none in a small fleet."""
    return min(MAX_SPREAD_S, max(0, gateways - FREE_POLLS) / POLLS_PER_S)


class PollSchedule:
    """Owns the backoff of one gateway's calls.

    Args:
        rng: the gateway's random numbers.
        spread_s: that the fleet's polls are spread over; 0: a poll costs nobody anything.
    """

    def __init__(self, rng: random.Random, spread_s: float) -> None:
        self.spread_s = spread_s
        self._rng = rng
        self._backoff_s = FIRST_BACKOFF_S
        self._urgent = False

    def first_delay_s(self) -> float:
        """Return the delay before the first call of a gateway that has a list."""
        return self._rng.uniform(0, self.spread_s)

    def make_urgent(self) -> None:
        """Let the next delay ignore the spread: the platform expects changes to be followed soon."""
        self._urgent = True

    def next_delay_s(self, received: bool) -> float:
        """Return the delay before the next call, after one that brought something or did not."""
        if received:
            self._backoff_s = FIRST_BACKOFF_S
        else:
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * BACKOFF_FACTOR)
        spread_s = 0.0 if self._urgent else self.spread_s
        self._urgent = False
        return max(self._backoff_s, spread_s) * self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
