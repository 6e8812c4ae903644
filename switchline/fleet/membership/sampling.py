"""Random choices among the members that are present: whom to probe, gossip with and ask for help. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from switchline.fleet.membership.member import Member

HEARD_LATELY_S = (
    3.0  # since a member's last message: in a fleet of any size some dozen are heard in that time
)


class ProbeRing:
    """SWIM's round-robin order of probes: each member is probed once before any is probed again."""

    def __init__(self, present: Mapping[str, Member], rng: random.Random) -> None:
        """`present`: the members that are present, kept up to date by their owner."""
        self._present = present
        self._rng = rng
        self._names: list[str] = []  # the next one is the last

    def insert(self, name: str) -> None:
        """Put a member that joined at a random place."""
        if name not in self._names:
            self._names.insert(self._rng.randint(0, len(self._names)), name)

    def probe_next(self, name: str) -> None:
        """Put a member before all others."""
        self._names.append(name)

    def next(self) -> Member | None:
        """Return the next member to probe; None where there is none."""
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
        """`present`: the members that are present, kept up to date by their owner."""
        self._present = present
        self._rng = rng

    def sample(self, number: int, without: Iterable[str] = ()) -> list[Member]:
        """Return at most so many members, none of those named in `without`."""
        excluded = set(without)
        candidates = [member for name, member in self._present.items() if name not in excluded]
        return self._rng.sample(candidates, min(number, len(candidates)))

    def helpers(self, number: int, target: str, now_s: float) -> list[Member]:
        """Return members to probe `target` on this one's behalf: those that were heard from lately first.

        Where many died at once, most members are dead and not known to be. They would help nobody, and their
        silence would look as if this member missed messages.
        """
        lately = [
            member
            for name, member in self._present.items()
            if name != target and now_s - member.last_heard_s <= HEARD_LATELY_S
        ]
        chosen = self._rng.sample(lately, min(number, len(lately)))
        excluded = [target, *(member.update.name for member in chosen)]
        return chosen + self.sample(number - len(chosen), excluded)
