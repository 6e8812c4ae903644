"""Max-min fair shares of a number of slots among their holders, applied only under pressure.

While enough slots are free, there is no limit for a holder. Once most are in use, a holder gets a further
slot only if it has fewer than are free (a dynamic threshold): a holder of many gets no more until it has
released some, and a holder of none gets one as long as any is free. If many holders take all they can get,
each ends up with the same number.
"""

from __future__ import annotations

# Once this ratio of the slots is in use, the rest is shared out.
PRESSURE_RATIO = 0.75


class FairShares:
    """Counts the slots of each holder; a holder is removed when it releases its last slot.

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
        """Return whether a holder may take a further slot."""
        free = self.limit - self.slots_in_use
        return free > 0 and (
            self.slots_in_use < self.pressure_threshold or self.slots_by_holder.get(holder, 0) < free
        )

    def take(self, holder: str) -> None:
        """Give a holder a further slot."""
        self.slots_by_holder[holder] = self.slots_by_holder.get(holder, 0) + 1
        self.slots_in_use += 1

    def release(self, holder: str) -> None:
        """Free a slot of a holder. Raises KeyError if the holder has none."""
        remaining_slots = self.slots_by_holder[holder] - 1
        self.slots_in_use -= 1
        if remaining_slots:
            self.slots_by_holder[holder] = remaining_slots
        else:
            del self.slots_by_holder[holder]
