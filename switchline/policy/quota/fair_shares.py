"""Max-min fair shares of a number of slots among their holders, under pressure alone.

While enough slots are free nobody meets a limit. Once most are taken, a further one goes only to a holder of
fewer than are free (a dynamic threshold): who has many gets no more until it has released some, and who has
none finds one as long as any is left. Of many who want all they can get, each ends up with as many.
"""

from __future__ import annotations

PRESSURE_RATIO = 0.75  # of the slots: once so many are taken, the rest is shared out


class FairShares:
    """Counts the slots that each holder has; a holder is forgotten with the last slot that it releases.

    Attributes:
        limit: How many slots there are. It and `pressure_from` may change at any time; slots that are taken
            beyond a lower limit are not called back.
        pressure_from: How many taken slots are pressure.
        held: Slots by holder.
        total: Slots taken.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.pressure_from = int(limit * PRESSURE_RATIO)
        self.held: dict[str, int] = {}
        self.total = 0

    def admits(self, holder: str) -> bool:
        """Whether a holder may take a further slot."""
        free = self.limit - self.total
        return free > 0 and (self.total < self.pressure_from or self.held.get(holder, 0) < free)

    def take(self, holder: str) -> None:
        """Give a holder a further slot."""
        self.held[holder] = self.held.get(holder, 0) + 1
        self.total += 1

    def release(self, holder: str) -> None:
        """Take a slot back from a holder that has one."""
        left = self.held[holder] - 1
        self.total -= 1
        if left:
            self.held[holder] = left
        else:
            del self.held[holder]
