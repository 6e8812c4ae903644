"""Max-min fair shares of places among holders, under pressure alone.

While there is room nobody meets a limit. Once most places are taken, a further one goes only to who holds
fewer than are free (a dynamic threshold): who holds much gets no more until it has given places back, and
who holds nothing finds one as long as any is left. Of many who want all they can get, each ends up with
as many.
"""

from __future__ import annotations

PRESSED = 0.75  # of the places: once so many are taken, the rest is shared out


class FairShares:
    """Counts the places that each holder has. State has an end with the last place given back."""

    def __init__(self, most: int) -> None:
        # Both may be changed at any time; places taken beyond them are not called back.
        self.most, self.pressed_at = most, int(most * PRESSED)
        self.held: dict[str, int] = {}
        self.total = 0

    def admits(self, holder: str) -> bool:
        free = self.most - self.total
        return free > 0 and (self.total < self.pressed_at or self.held.get(holder, 0) < free)

    def take(self, holder: str) -> None:
        self.held[holder] = self.held.get(holder, 0) + 1
        self.total += 1

    def give_back(self, holder: str) -> None:
        left = self.held[holder] - 1
        self.total -= 1
        if left:
            self.held[holder] = left
        else:
            del self.held[holder]
