"""The return of a whole fleet that lost power: what its cold backends are given. Pure.

A cold backend answers later with nobody in its queue: judged as usual, its cores would idle. And the cold
rule's lot knows nothing of the load: it is lifted while answers come in time, and lowered once they don't.
"""

from __future__ import annotations

import math

# Of the aim: what an answer may take while backends are cold; less for low worth; the part that lifts the lot
LATEST, SPAN, CALM = 0.95, 0.3, 0.9
RISE, MOST = 1.0, 16.0  # how the lot rises and falls in a second (by e), and how far it is lifted at most
FRESH_MS = 1_000.0  # how old an answer may be that lifts it: silence is no evidence


class RecoveryRamp:
    """Owns whether the fleet returns, and how far the cold rule's lot is lifted meanwhile."""

    def __init__(self) -> None:
        self.since, self.until, self.lift, self.at = 0.0, -math.inf, 1.0, 0.0

    def begin(self, now: float, until: float) -> None:
        self.since, self.until, self.lift, self.at = now, until, 1.0, now

    def bar(self, now: float, strain: float, usual: float, lesser: float, warm: float, heard: float) -> float:
        """Over which part of its aim an answer is held to come too late; evidence lifts or lowers the lot.

        `warm`: of the backends' capacity, the part that they surely have; `heard`: when one answered last.
        """
        bar = min(LATEST - SPAN * lesser, usual / max(warm, 1e-3))
        rises = -1 if strain >= CALM * bar else heard > max(self.since, now - FRESH_MS)
        step = RISE * min(1.0, (now - self.at) / 1000) * rises
        self.lift, self.at = min(MOST, max(1.0, self.lift * math.exp(step))), now
        self.until = now if warm >= 1 else self.until  # the last of them has had its slow start
        return bar
