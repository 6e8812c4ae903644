"""Delays between calls to discovery. The module has no I/O: the caller passes random numbers and results.

A list that has to be polled comes from one service with a fixed capacity for all gateways. If all gateways
poll at the same time, or repeat their polls in step, they fill the queue of the service with calls that have
already been abandoned, and no gateway receives an answer. Polls are therefore spread over time.
"""

from __future__ import annotations

import random

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
BACKOFF_FACTOR = 2
# Each delay is lengthened or shortened at random by up to this share.
JITTER_RATIO = 0.5
# A fleet of up to this many gateways polls without spreading.
MAX_SIMULTANEOUS_POLLS = 4
FLEET_POLLS_PER_S = 4.0
# Bounds the spread for a fleet of any size; more would not fit into the time in which a change is due.
MAX_SPREAD_S = 1.0


def poll_spread_s(gateways: int) -> float:
    """Return the time in seconds over which the polls of all gateways are spread; 0 for a small fleet."""
    return min(MAX_SPREAD_S, max(0, gateways - MAX_SIMULTANEOUS_POLLS) / FLEET_POLLS_PER_S)


class PollSchedule:
    """Computes the delays between the calls of one gateway, with exponential backoff and jitter.

    Args:
        rng: Random number generator of the gateway.
        spread_s: Time in seconds over which the polls of all gateways are spread; 0 if a poll takes no
            capacity from other gateways.
    """

    def __init__(self, rng: random.Random, spread_s: float) -> None:
        self.spread_s = spread_s
        self._rng = rng
        self._backoff_s = FIRST_BACKOFF_S
        self._urgent = False

    def first_delay_s(self) -> float:
        """Return the delay in seconds before the first call of a gateway that already has a list."""
        return self._rng.uniform(0, self.spread_s)

    def make_urgent(self) -> None:
        """Make the next delay ignore the spread: the platform expects a new address to be used soon."""
        self._urgent = True

    def next_delay_s(self, received: bool) -> float:
        """Return the delay in seconds before the next call.

        Args:
            received: Whether the last call delivered something; this resets the backoff.
        """
        if received:
            self._backoff_s = FIRST_BACKOFF_S
        else:
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * BACKOFF_FACTOR)
        spread_s = 0.0 if self._urgent else self.spread_s
        self._urgent = False
        return max(self._backoff_s, spread_s) * self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
