"""Who is in the fleet: SWIM's failure detection with Lifeguard's refinements and memberlist's practice.

Das, Gupta, Motivala: SWIM (2002). Dadgar, Phillips, Currey: Lifeguard (2017): local health that lengthens the
own time-outs, suspicions that end sooner the more members share them, and the suspected told first.
What is said of a member has an order (life, incarnation, state); the highest holds, so no order of messages
matters. A life is one process; only a member itself begins a new incarnation, to refute a suspicion.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from switchline.fleet.messages import Incarnation, Rumor, State

Address = tuple[str, int]

MOST_MEMBERS = 5_000
CONFIRMED = 3  # members, beside the first, whose suspicion ends one's time to refute soonest
LOOK_S = 1.0  # for a last probe of one that few suspect
LOOKERS = 6.0  # members, by lot, that probe a suspected one at once
LEAST_S, MOST_S = 1.1, 3.0  # for a suspicion: shared by that many; of one member alone
SLOWER = 2.0  # a fleet's size is felt from here on: suspicions last longer by log10(members) / this
GONE_S = 600.0  # the dead are remembered: to know a minority, and not to be raised by old news
HEALTH_MOST = 8  # of the local health: the own time-outs are at most so many times longer, and one
PROBE_S, ANSWER_S = 0.4, 0.1  # between two probes; for the answer to a direct one
LATELY_S = 3.0  # since a member was heard: in a fleet of any size some dozen are heard from in that time
SILENT_S = 3.0  # a gap between two of the own ticks from which on this process was stopped


@dataclass(slots=True)
class Member:
    """One member as it is known here."""

    rumor: Rumor
    since: float  # this state
    heard: float  # the last message of its own
    confirmed: frozenset[str] = frozenset()  # who suspects it; of most members nobody does
    ends: float = math.inf  # of the suspicion
    looked: bool = False  # it was probed once more before its end

    @property
    def state(self) -> State:
        return self.rumor.state

    @property
    def address(self) -> Address:
        return self.rumor.host, self.rumor.port

    @property
    def here(self) -> bool:
        return self.rumor.state in (State.ALIVE, State.SUSPECT)


def order_of(rumor: Rumor) -> tuple[Any, ...]:
    """Of two rumors of one name the higher holds; total, so that a merge is the same everywhere."""
    return (rumor.life, rumor.incarnation, rumor.state, rumor.host, rumor.port)


class Members:
    """Owns what is known of each member. Decides nothing of time but when suspicions end."""

    def __init__(self, me: Rumor, chance: random.Random) -> None:
        self.me, self.chance = me, chance
        self.others: dict[str, Member] = {}
        # Of the others, those that are here and those that are suspected: looked through with each datagram.
        self.present: dict[str, Member] = {}
        self.doubted: dict[str, Member] = {}
        self.ring: list[str] = []  # whom to probe next, from the end: all once, in an order of chance
        self.health = 0  # Lifeguard's: 0 is well
        self.taken_over = False  # a later life of this name is there: this one is quiet
        self.refused = 0  # members beyond the bound
        self.changed: Callable[[Rumor], None] = lambda rumor: None  # to be told on
        self.denied: Callable[[], None] = lambda: None  # of a suspicion of this one: it is urgent
        self.began: Callable[[Incarnation], None] = lambda life: None  # of a life above one that has ended
        self.counts = {"suspected": 0, "died": 0, "left": 0, "joined": 0, "refuted": 0}

    # ---- reading ----

    def here(self) -> list[Member]:
        return list(self.present.values())

    @property
    def size(self) -> int:
        """Members that are here, this one too."""
        return 1 + len(self.present)

    def life_of(self, name: str) -> Incarnation | None:
        """The life of a member that is here."""
        if name == self.me.name:
            return self.me.life
        member = self.others.get(name)
        return member.rumor.life if member is not None and member.here else None

    @property
    def stayed(self) -> int:
        """Members that did not leave, this one too; the dead are among them."""
        return 1 + sum(member.state is not State.LEFT for member in self.others.values())

    @property
    def minority(self) -> bool:
        """Whether half or more of those that did not leave are lost to this one."""
        return self.size * 2 <= self.stayed

    def lasts(self, confirmed: int) -> float:
        """Seconds for a suspicion that so many others share (Lifeguard's logarithm)."""
        scale = max(1.0, math.log10(max(1, self.size)) / SLOWER)
        needed = min(CONFIRMED, max(0, self.size - 2))
        part = 1.0 if needed == 0 else min(1.0, math.log(confirmed + 1) / math.log(needed + 1))
        return (MOST_S - (MOST_S - LEAST_S) * part) * scale * self.doubt

    @property
    def doubt(self) -> float:
        """How much longer a member that hears badly waits before it declares another dead: twice at most."""
        return 1 + min(self.health, 2) / 2

    # ---- what is heard ----

    def heard(self, name: str, life: Incarnation, now: float) -> None:
        member = self.others.get(name)
        if member is not None and member.rumor.life == life:
            member.heard = now

    def take(self, rumor: Rumor, now: float) -> bool:
        """Take what is said of a member; whether it changes anything here."""
        if rumor.name == self.me.name:
            return self._of_me(rumor)
        member = self.others.get(rumor.name)
        if member is None:
            return self._meet(rumor, now)
        known = member.rumor
        if order_of(rumor) <= order_of(known):
            same = rumor.life == known.life and rumor.incarnation == known.incarnation
            if same and rumor.state is State.SUSPECT is known.state:
                return self._confirm(member, rumor)
            return False
        was_here = member.here
        member.rumor, member.since = rumor, now
        member.confirmed = frozenset()
        member.ends, member.looked = math.inf, False
        self._place(rumor.name, member)
        if rumor.state is State.SUSPECT:
            self.counts["suspected"] += 1
            self._doubt(member, now)
        elif rumor.state is State.ALIVE and not was_here:
            member.heard = now
            self.counts["joined"] += 1
            self._into_ring(rumor.name)
        elif rumor.state in (State.DEAD, State.LEFT) and was_here:
            self.counts["died" if rumor.state is State.DEAD else "left"] += 1
        self.changed(rumor)
        return True

    def _meet(self, rumor: Rumor, now: float) -> bool:
        if len(self.others) >= MOST_MEMBERS:
            self.refused += 1
            return False
        member = self.others[rumor.name] = Member(rumor, now, now)
        self._place(rumor.name, member)
        if rumor.state is State.SUSPECT:
            self._doubt(member, now)
        if member.here:
            self.counts["joined"] += 1
            self._into_ring(rumor.name)
        self.changed(rumor)
        return True

    def _place(self, name: str, member: Member) -> None:
        for which, among in ((self.present, member.here), (self.doubted, member.state is State.SUSPECT)):
            if among:
                which[name] = member
            else:
                which.pop(name, None)

    def _doubt(self, member: Member, now: float) -> None:
        """A suspicion begins. By lot a few probe the suspected next: to share it, or hear that it lives."""
        member.confirmed |= {member.rumor.by}
        member.ends = now + self.lasts(0)
        if member.rumor.by != self.me.name and self.chance.random() * self.size < LOOKERS:
            self.ring.append(member.rumor.name)

    def _into_ring(self, name: str) -> None:
        if name not in self.ring:
            self.ring.insert(self.chance.randint(0, len(self.ring)), name)

    def _confirm(self, member: Member, rumor: Rumor) -> bool:
        """One more suspects it: its time gets shorter, and the others are told of this one as well."""
        if not rumor.by or rumor.by in member.confirmed or len(member.confirmed) > CONFIRMED:
            return False
        member.confirmed |= {rumor.by}
        member.ends = min(member.ends, member.since + self.lasts(len(member.confirmed) - 1))
        self.changed(rumor)
        return True

    def _of_me(self, rumor: Rumor) -> bool:
        """Somebody speaks of this name: of an earlier life, a later one, or wrongly of this one."""
        if rumor.life > self.me.life:
            if rumor.state in (State.ALIVE, State.SUSPECT):
                self.taken_over = True  # another process has this name; what it says holds
                return False
            # A later life has ended, or the clock that lives are counted by was set back: go on above it.
            me = self.me
            self.me = Rumor(me.name, (rumor.life[0] + 1, me.life[1]), 0, State.ALIVE, me.host, me.port)
            self.taken_over = False
            self.began(self.me.life)
            self.changed(self.me)
            return True
        if rumor.life < self.me.life or self.taken_over:
            return False
        if rumor.state is not State.ALIVE and rumor.incarnation >= self.me.incarnation:
            if self.me.state is State.LEFT:
                return False
            self.counts["refuted"] += 1
            self.worse(1)
            self.renew(rumor.incarnation + 1)
            return True
        return False

    def renew(self, incarnation: int) -> None:
        """Say of oneself, above all that was said before, that one is here."""
        me = self.me
        self.me = Rumor(me.name, me.life, incarnation, State.ALIVE, me.host, me.port)
        self.changed(self.me)
        self.denied()

    def leave(self) -> None:
        me = self.me
        self.me = Rumor(me.name, me.life, me.incarnation, State.LEFT, me.host, me.port)
        self.changed(self.me)

    # ---- suspicion ----

    def suspect(self, name: str, now: float) -> None:
        """It has not answered, neither this one nor those that were asked to ping it."""
        member = self.others.get(name)
        if member is None or not member.here:
            return
        known = member.rumor
        said = Rumor(name, known.life, known.incarnation, State.SUSPECT, known.host, known.port, self.me.name)
        self.take(said, now)

    def expire(self, now: float) -> None:
        """Declare those dead whose time to refute is over.

        Where few share a suspicion, its refutation may just not have come here: one more probe is due.
        """
        found = []
        for name, member in self.doubted.items():
            if member.ends > now:
                continue
            if len(member.confirmed) <= min(CONFIRMED, self.size - 2) and not member.looked:
                member.looked, member.ends = True, now + LOOK_S * self.doubt
                self.ring.append(name)
            else:
                found.append(name)
        for name in found:
            known = self.others[name].rumor
            self.take(Rumor(name, known.life, known.incarnation, State.DEAD, known.host, known.port), now)

    def woke(self, now: float) -> None:
        """This process was stopped: what it has not heard meanwhile says nothing of the others."""
        self.worse(3)
        for member in self.doubted.values():
            member.since, member.ends = now, now + self.lasts(len(member.confirmed) - 1)

    def forget(self, now: float) -> None:
        """The dead and those that left are forgotten after a time."""
        for name, member in list(self.others.items()):
            if not member.here and now - member.since > GONE_S:
                del self.others[name]

    # ---- local health ----

    def worse(self, by: int) -> None:
        self.health = min(HEALTH_MOST, self.health + by)

    def better(self) -> None:
        self.health = max(0, self.health - 1)

    # ---- whom to ask ----

    def next_probe(self) -> Member | None:
        """Round-robin in an order of chance: each is probed once before anyone is again."""
        for _ in range(len(self.ring) + 1):
            if not self.ring:
                self.ring = list(self.present)
                self.chance.shuffle(self.ring)
                if not self.ring:
                    return None
            name = self.ring.pop()
            if (member := self.present.get(name)) is not None:
                return member
        return None

    def some(self, number: int, without: Iterable[str] = ()) -> list[Member]:
        """A few members by chance that are here."""
        left = set(without)
        may = self.here() if not left else [m for name, m in self.present.items() if name not in left]
        return self.chance.sample(may, min(number, len(may)))

    def helpers(self, number: int, target: str, now: float) -> list[Member]:
        """A few members by chance that were heard from lately; others only where those are too few.

        Where many died at once most of all are dead and not known to be: they help nobody, and their silence
        would look as if this one heard badly.
        """
        lately = [m for n, m in self.present.items() if n != target and now - m.heard <= LATELY_S]
        found = self.chance.sample(lately, min(number, len(lately)))
        return found + self.some(number - len(found), [target, *(m.rumor.name for m in found)])
