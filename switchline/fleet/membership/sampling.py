"""Random choice of the members to probe, to gossip with, and to ask for indirect probes."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from switchline.fleet.membership.member import Member

# A member counts as recently heard until so long after its last message. In a fleet of any size about a dozen
# members are heard from in that time.
RECENTLY_HEARD_S = 3.0


class ProbeRing:
    """SWIM's round-robin order of probes: each member is probed once before any is probed again."""

    def __init__(self, present: Mapping[str, Member], rng: random.Random) -> None:
        """`present` are the members that are present; their owner keeps the mapping up to date."""
        self._present = present
        self._rng = rng
        self._names: list[str] = []  # in reverse order: the last one is probed next

    def insert(self, name: str) -> None:
        """Insert a member that joined at a random position."""
        if name not in self._names:
            self._names.insert(self._rng.randint(0, len(self._names)), name)

    def probe_next(self, name: str) -> None:
        """Make a member the next one to probe."""
        self._names.append(name)

    def next(self) -> Member | None:
        """Return the next member to probe; None if no member is present."""
        for _ in range(len(self._names) + 1):
            if not self._names:
                self._names = list(self._present)
                self._rng.shuffle(self._names)
                if not self._names:
                    return None
            member = self._present.get(self._names.pop())
            if member is not None:
                return member
        return None


class MemberSampler:
    """Chooses members at random."""

    def __init__(self, present: Mapping[str, Member], rng: random.Random) -> None:
        """`present` are the members that are present; their owner keeps the mapping up to date."""
        self._present = present
        self._rng = rng

    def sample(self, number: int, without: Iterable[str] = ()) -> list[Member]:
        """Return at most `number` random members, none of those named in `without`."""
        excluded = set(without)
        candidates = [member for name, member in self._present.items() if name not in excluded]
        return self._rng.sample(candidates, min(number, len(candidates)))

    def sample_helpers(self, number: int, target: str, now_s: float) -> list[Member]:
        """Return at most `number` members to probe `target` on this one's behalf, recently heard ones first.

        After many members died at once, most of those listed as present may be dead. A dead helper does not
        answer, and the missing nacks would make this member conclude that it misses messages itself.
        """
        recently_heard = [
            member
            for name, member in self._present.items()
            if name != target and now_s - member.last_heard_s <= RECENTLY_HEARD_S
        ]
        chosen = self._rng.sample(recently_heard, min(number, len(recently_heard)))
        excluded = [target, *(member.update.name for member in chosen)]
        return chosen + self.sample(number - len(chosen), excluded)
