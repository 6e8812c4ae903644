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
        limit: How many slots there are. It and `pressure_threshold` may change at any time; slots in use
            above a lowered limit are not taken back from their holders.
        pressure_threshold: The number of slots in use from which the rest is shared out.
        slots_by_holder: The number of slots that each holder uses.
        slots_in_use: The number of slots in use, over all holders.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.pressure_threshold = int(limit * PRESSURE_RATIO)
        self.slots_by_holder: dict[str, int] = {}
        self.slots_in_use = 0

    def admits(self, holder: str) -> bool:
        """Whether a holder may take a further slot."""
        free = self.limit - self.slots_in_use
        return free > 0 and (
            self.slots_in_use < self.pressure_threshold or self.slots_by_holder.get(holder, 0) < free
        )

    def take(self, holder: str) -> None:
        """Give a holder a further slot."""
        self.slots_by_holder[holder] = self.slots_by_holder.get(holder, 0) + 1
        self.slots_in_use += 1

    def release(self, holder: str) -> None:
        """Take a slot back from a holder that has one."""
        left = self.slots_by_holder[holder] - 1
        self.slots_in_use -= 1
        if left:
            self.slots_by_holder[holder] = left
        else:
            del self.slots_by_holder[holder]
