"""Who is shut out because its list stays behind; agreed without a leader, and never more than a part. Pure.

A straggler tells that it wants to be out, and is once more than half of all members grant it. Each member
grants so few at a time that the grants of all suffice for no more than the part: with g grants of each and
more than half needed, fewer than 2g can be out. One that begins grants nothing until all have heard of it.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.messages import Incarnation, State
from switchline.fleet.node import Node
from switchline.fleet.staleness import Floors, number, seq_of

WANTS, OUT = "wants", "out"
PART = 5  # of so many members one may be out
NO_FLOORS = Floors()
LEVEL_S, LEVEL_MOST_S = 3.0, 60.0  # level for so long before it is back; each time twice as long, at most
FORGIVEN_S = 600.0  # since it was out last: begun anew from the first
YOUNG_S = 5.0  # since its start a member grants nothing: its earlier life is known to be over by then


def most_out(members: int) -> int:
    """How many of so many may be out at once; at least one stays."""
    return max(0, min(members // PART, members - 1))


def grants_each(members: int) -> int:
    """How many each may grant at once: 2g - 1 is the most that can then be out."""
    return (most_out(members) + 1) // 2


def grant_of(life: Incarnation) -> str:
    return f"{life[0]} {life[1]}"


class Quarantine:
    """Owns one gateway's part: whether it is out itself, and whom it grants it. Times are seconds."""

    def __init__(self, patience_s: float, began: float) -> None:
        """`patience_s`: behind for so long before it wants to be out; 0: never."""
        self.patience_s, self.began = patience_s, began
        self.behind_since, self.level_since = math.inf, -math.inf
        self.out, self.out_at, self.times = False, -math.inf, 0
        self.why = self.kind = ""  # and of what it is behind

    def look(
        self,
        node: Node,
        now: float,
        wall: float,
        own: int,
        behind: bool,
        spared: Collection[str],
        floors: Floors = NO_FLOORS,
    ) -> bool:
        """Whether this gateway is to be out now.

        `own`: its list's number; `behind`: most have a newer list; `spared`: gateways by name.
        """
        me, facts = node.members.me, node.facts
        self.kind = "list" if behind else self.below(facts, me.name, own, floors)
        behind = bool(self.kind)
        self.grant(node, now, wall, own, behind, spared, floors)
        if behind:
            self.behind_since, self.level_since = min(now, self.behind_since), math.inf
        else:
            self.behind_since, self.level_since = math.inf, min(now, self.level_since)
        lone = node.members.minority or node.members.taken_over
        if lone or me.name in spared or not self.patience_s:
            self.end("it is in a minority" if lone else "operators spare it")
            wants = False
        elif self.out or facts.value(FactKind.QUARANTINE, "", me.name) is not None:
            wants = behind or now - self.level_since < self.level_s()
            if not wants:
                self.end("it is level again")
        else:
            wants = now - self.behind_since >= self.patience_s
        granted = wants and 2 * self.granted(node) > node.members.stayed
        if self.out and wants and not granted:
            self.end("the others don't grant it any more")
        elif granted and not self.out:
            self.times = self.times + 1 if now - self.out_at < FORGIVEN_S else 1
            self.out, self.out_at = True, now
            self.why = f"its {self.kind} is behind for {now - self.behind_since:.0f} s, and most grant it"
        word = (OUT if self.out else WANTS) if wants else None
        facts.offer(wall, FactKind.QUARANTINE, "", word)
        return self.out

    def level_s(self) -> float:
        return float(min(LEVEL_MOST_S, LEVEL_S * 2 ** max(0, self.times - 1)))

    def end(self, why: str) -> None:
        if self.out:
            self.out, self.why = False, why

    def granted(self, node: Node) -> int:
        """Members that are here and grant it to this life."""
        me, facts, present = node.members.me, node.facts, node.members.present
        given = (
            (origin, held.entry)
            for (of, origin), held in facts.of_kind(FactKind.QUARANTINE_GRANT).items()
            if of == me.name and held.entry.value == grant_of(me.life)
        )
        return sum(who in present and present[who].rumor.life == entry.life for who, entry in given)

    @staticmethod
    def below(facts: Facts, name: str, seq: int, floors: Floors) -> str:
        """Which of a gateway's versions, as it tells them, is under its floor; "" for none."""
        return floors.below(
            seq, facts.value(FactKind.RELEASE, "", name), facts.value(FactKind.CONFIG, "", name)
        )

    def grant(
        self,
        node: Node,
        now: float,
        wall: float,
        own: int,
        behind: bool,
        spared: Collection[str],
        floors: Floors,
    ) -> None:
        """Grant it to stragglers that want it, no more than so many; take back what none needs any more.

        A grant to one that is not heard stays: it may be out, and is not known to be back.
        """
        facts, members, me = node.facts, node.members, node.members.me.name
        told = {
            of: held.entry.value
            for (of, origin), held in facts.of_kind(FactKind.QUARANTINE_GRANT).items()
            if origin == me
        }
        given = {name for name, life in told.items() if life}
        for name in list(given):
            member = members.others.get(name)
            if member is None or member.state is State.LEFT or told[name] != grant_of(member.rumor.life):
                needed = False
            else:
                needed = not member.here or facts.value(FactKind.QUARANTINE, "", name) is not None
            if not needed:
                facts.offer(wall, FactKind.QUARANTINE_GRANT, name, None)
                given.discard(name)
        if members.minority or behind or now - self.began < YOUNG_S:
            return
        shut = facts.of_kind(FactKind.QUARANTINE).items()
        asks = {origin for (_, origin), held in shut if held.entry.value in (WANTS, OUT)}
        for name in sorted((asks & members.present.keys()) - given):
            if len(given) >= grants_each(members.stayed):
                return
            seq = seq_of(number(facts.value(FactKind.LIST, "", name)))
            lags = seq < own or self.below(facts, name, seq, floors)
            if lags and name not in spared:
                facts.offer(wall, FactKind.QUARANTINE_GRANT, name, grant_of(members.present[name].rumor.life))
                given.add(name)


def outside(facts: Facts) -> set[str]:
    """Those that are out: what they tell of zones is not counted."""
    return {
        origin for (_, origin), held in facts.of_kind(FactKind.QUARANTINE).items() if held.entry.value == OUT
    }
