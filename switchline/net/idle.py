"""How long an idle connection may stand before it is not worth a request any more."""

from __future__ import annotations

import bisect
import math

AT_ONCE_MS = 5.0  # a reset that comes sooner than any answer: the connection had been closed before
FIRST_EDGE_MS, EDGE_STEP = 10.0, 1.5  # of the idle times that are told apart
FADE_MS = 1_000.0  # between two rounds of fading
MEMORY_MS = 20_000.0  # an evidence of resets fades to a third, so that longer idle times are tried again
LEAST_RESETS, LEAST_SHARE, CLEARLY_MORE = 3.0, 0.2, 3.0  # of resets, to shun an idle time; over shorter ones


class IdleTimes:
    """Learns how long a connection may stand idle before a request on it is reset at once.

    The settings name only the longest time; machines, and boxes on the way, may drop it earlier unsaid.
    A reset request may have run, so a costly one can't be sent again: an old connection is worth less than a
    handshake. Uses and resets are kept by idle time; the shortest time with far more resets than those under
    it is the limit, for as long as the evidence lasts.
    """

    def __init__(self, most: float) -> None:
        self.most = self.limit = most
        steps = max(0, math.ceil(math.log(most / FIRST_EDGE_MS, EDGE_STEP))) if most > 0 else 0
        self.edges = [0.0, *(FIRST_EDGE_MS * EDGE_STEP**n for n in range(steps))]
        self.uses, self.resets, self.faded_at = [0.0] * len(self.edges), [0.0] * len(self.edges), 0.0

    def note(self, idle: float, reset: bool) -> None:
        place = bisect.bisect_right(self.edges, idle) - 1
        self.uses[place] += 1
        if reset:
            self.resets[place] += 1
            self.limit = self._shunned()

    def allows(self, now: float, idle: float) -> bool:
        if now - self.faded_at > FADE_MS:
            self._fade(now)
        return idle < self.limit

    def _fade(self, now: float) -> None:
        kept, self.faded_at = math.exp((self.faded_at - now) / MEMORY_MS), now
        self.uses = [use * kept for use in self.uses]
        self.resets = [reset * kept for reset in self.resets]
        self.limit = self._shunned()

    def _shunned(self) -> float:
        uses = resets = 0.0  # of all shorter idle times
        for edge, use, reset in zip(self.edges, self.uses, self.resets, strict=True):
            usual = resets / max(uses, 1.0)
            if reset >= LEAST_RESETS and reset > use * max(LEAST_SHARE, CLEARLY_MORE * usual):
                return edge
            uses, resets = uses + use, resets + reset
        return self.most
