"""The table of members, and the merge of claims about them: SWIM's dissemination component. Pure.

Claims about a member have a total order (incarnation, refutation, state); the highest holds, so the order in
which messages arrive does not matter. Only a member itself begins a new incarnation, or refutes a suspicion.
`suspicion` has the rules of time, `sampling` the choice of members.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

from switchline.fleet.membership.member import Member, MemberEvent, precedence
from switchline.fleet.membership.sampling import MemberSampler, ProbeRing
from switchline.fleet.membership.suspicion import (
    DEAD_MEMBER_TTL_S,
    MAX_CONFIRMATIONS,
    RECHECK_S,
    RECHECKERS,
    STALL_PENALTY,
    LocalHealth,
    is_minority,
    is_widely_suspected,
    suspicion_timeout_s,
)
from switchline.fleet.messages import Incarnation, MemberState, MemberUpdate

MAX_MEMBERS = 5_000


class Members:
    """Owns what is known of each member."""

    def __init__(self, me: MemberUpdate, rng: random.Random) -> None:
        """`me`: this member's claim about itself; `rng`: source of its random choices."""
        self.me = me
        self.others: dict[str, Member] = {}
        # Of the others, those that are present and those that are suspected: needed for each datagram.
        self.present: dict[str, Member] = {}
        self.suspected: dict[str, Member] = {}
        self.health = LocalHealth()
        self.superseded = False  # a later process has this name: this one is silent
        self.over_limit = 0  # members that were not taken
        self.event_counts: Counter[str] = Counter(dict.fromkeys(MemberEvent, 0))
        self.probe_ring = ProbeRing(self.present, rng)
        self.sampler = MemberSampler(self.present, rng)
        # Called with each claim that is new here, after a refutation, and after the start of a later
        # incarnation of this member.
        self.on_update: Callable[[MemberUpdate], None] = lambda update: None
        self.on_refutation: Callable[[], None] = lambda: None
        self.on_new_incarnation: Callable[[Incarnation], None] = lambda incarnation: None
        self._rng = rng

    # Reading.

    @property
    def size(self) -> int:
        """Members that are present, this one too."""
        return 1 + len(self.present)

    @property
    def size_with_dead(self) -> int:
        """Members that did not leave, this one too; the dead are among them."""
        return 1 + sum(member.state is not MemberState.LEFT for member in self.others.values())

    @property
    def minority(self) -> bool:
        """Whether half or more of the fleet is lost to this member."""
        return is_minority(self.size, self.size_with_dead)

    def incarnation_of(self, name: str) -> Incarnation | None:
        """Return the incarnation of a member that is present."""
        if name == self.me.name:
            return self.me.incarnation
        member = self.others.get(name)
        return member.update.incarnation if member is not None and member.is_present else None

    def later_claim(self, name: str, incarnation: Incarnation) -> MemberUpdate | None:
        """Return what is known of a later incarnation of a member than this one."""
        if name == self.me.name:
            return self.me if incarnation < self.me.incarnation else None
        member = self.others.get(name)
        return member.update if member is not None and incarnation < member.update.incarnation else None

    # Claims about the others.

    def note_heard(self, name: str, incarnation: Incarnation, now_s: float) -> None:
        """Note a message of a member itself."""
        member = self.others.get(name)
        if member is not None and member.update.incarnation == incarnation:
            member.last_heard_s = now_s

    def merge(self, update: MemberUpdate, now_s: float) -> bool:
        """Take a claim if it overrides the one that holds; return whether it changed anything."""
        if update.name == self.me.name:
            return self._merge_about_self(update)
        member = self.others.get(update.name)
        if member is None:
            return self._add(update, now_s)
        if precedence(update) <= precedence(member.update):
            return self._is_confirmation(member, update) and self._confirm(member, update)
        was_present = member.is_present
        member.update = update
        member.state_changed_at_s = now_s
        member.suspecters = frozenset()
        member.dead_at_s = math.inf
        member.rechecked = False
        self._index(update.name, member)
        if update.state is MemberState.SUSPECT:
            self.event_counts[MemberEvent.SUSPECTED] += 1
            self._begin_suspicion(member, now_s)
        elif update.state is MemberState.ALIVE and not was_present:
            member.last_heard_s = now_s
            self.event_counts[MemberEvent.JOINED] += 1
            self.probe_ring.insert(update.name)
        elif was_present and not member.is_present:
            died = update.state is MemberState.DEAD
            self.event_counts[MemberEvent.DIED if died else MemberEvent.LEFT] += 1
        self.on_update(update)
        return True

    def _add(self, update: MemberUpdate, now_s: float) -> bool:
        """Take a member that was unknown."""
        if len(self.others) >= MAX_MEMBERS:
            self.over_limit += 1
            return False
        member = self.others[update.name] = Member(update, now_s, now_s)
        self._index(update.name, member)
        if update.state is MemberState.SUSPECT:
            self._begin_suspicion(member, now_s)
        if member.is_present:
            self.event_counts[MemberEvent.JOINED] += 1
            self.probe_ring.insert(update.name)
        self.on_update(update)
        return True

    def _index(self, name: str, member: Member) -> None:
        """Put a member among those that are present and suspected, or take it from there."""
        for index, belongs in (
            (self.present, member.is_present),
            (self.suspected, member.state is MemberState.SUSPECT),
        ):
            if belongs:
                index[name] = member
            else:
                index.pop(name, None)

    def _begin_suspicion(self, member: Member, now_s: float) -> None:
        """Begin the timeout; a few members, at random, probe the suspected one next."""
        member.suspecters |= {member.update.suspected_by}
        member.dead_at_s = now_s + self._timeout_s(0)
        by_another = member.update.suspected_by != self.me.name
        if by_another and self._rng.random() * self.size < RECHECKERS:
            self.probe_ring.probe_next(member.update.name)

    @staticmethod
    def _is_confirmation(member: Member, update: MemberUpdate) -> bool:
        """Return whether a claim is a further suspicion of what is suspected already."""
        known = member.update
        same = update.incarnation == known.incarnation and update.refutation == known.refutation
        return same and update.state is MemberState.SUSPECT is known.state

    def _confirm(self, member: Member, update: MemberUpdate) -> bool:
        """Take a further member's suspicion: it shortens the timeout, and is passed on."""
        by = update.suspected_by
        if not by or by in member.suspecters or len(member.suspecters) > MAX_CONFIRMATIONS:
            return False
        member.suspecters |= {by}
        timeout_s = self._timeout_s(len(member.suspecters) - 1)
        member.dead_at_s = min(member.dead_at_s, member.state_changed_at_s + timeout_s)
        self.on_update(update)
        return True

    def _timeout_s(self, confirmations: int) -> float:
        return suspicion_timeout_s(confirmations, self.size, self.health)

    # Claims about this member.

    def _merge_about_self(self, update: MemberUpdate) -> bool:
        """Take a claim about this name: of a later process, an earlier one, or a wrong one of this one."""
        if update.incarnation > self.me.incarnation:
            return self._merge_later_self(update)
        if update.incarnation < self.me.incarnation or self.superseded:
            return False
        if update.state is MemberState.ALIVE or update.refutation < self.me.refutation:
            return False
        if self.me.state is MemberState.LEFT:
            return False
        self.event_counts[MemberEvent.REFUTED] += 1
        self.health.worsen(1)
        self.refute(update.refutation + 1)
        return True

    def _merge_later_self(self, update: MemberUpdate) -> bool:
        """Take a claim about a later process of this name.

        While that lives it has the name, and this one is silent. Once it has ended, or where the clock of
        incarnations was set back, this one begins an incarnation above it.
        """
        if update.state in (MemberState.ALIVE, MemberState.SUSPECT):
            self.superseded = True
            return False
        incarnation = update.incarnation[0] + 1, self.me.incarnation[1]
        self.me = self._claim(MemberState.ALIVE, incarnation, 0)
        self.superseded = False
        self.on_new_incarnation(incarnation)
        self.on_update(self.me)
        return True

    def _claim(self, state: MemberState, incarnation: Incarnation, refutation: int) -> MemberUpdate:
        return MemberUpdate(self.me.name, incarnation, refutation, state, self.me.host, self.me.port)

    def refute(self, refutation: int) -> None:
        """Claim that this member is alive, above all that was claimed before."""
        self.me = self._claim(MemberState.ALIVE, self.me.incarnation, refutation)
        self.on_update(self.me)
        self.on_refutation()

    def leave(self) -> None:
        """Claim that this member leaves."""
        self.me = self._claim(MemberState.LEFT, self.me.incarnation, self.me.refutation)
        self.on_update(self.me)

    # The passing of time.

    def suspect(self, name: str, now_s: float) -> None:
        """Suspect a member: neither it nor those that were asked to probe it have answered."""
        member = self.others.get(name)
        if member is None or not member.is_present:
            return
        known = member.update
        self.merge(
            MemberUpdate(
                name,
                known.incarnation,
                known.refutation,
                MemberState.SUSPECT,
                known.host,
                known.port,
                self.me.name,
            ),
            now_s,
        )

    def declare_dead(self, now_s: float) -> None:
        """Declare those dead whose time to refute is over.

        Where few share a suspicion, the refutation may just not have come here: one more probe is due first.
        """
        dead = []
        for name, member in self.suspected.items():
            if member.dead_at_s > now_s:
                continue
            if member.rechecked or is_widely_suspected(len(member.suspecters), self.size):
                dead.append(name)
            else:
                member.rechecked = True
                member.dead_at_s = now_s + RECHECK_S * self.health.suspicion_multiplier
                self.probe_ring.probe_next(name)
        for name in dead:
            known = self.others[name].update
            self.merge(
                MemberUpdate(
                    name, known.incarnation, known.refutation, MemberState.DEAD, known.host, known.port
                ),
                now_s,
            )

    def resume(self, now_s: float) -> None:
        """Begin suspicions anew after this process stood still: what it missed says nothing of the others."""
        self.health.worsen(STALL_PENALTY)
        for member in self.suspected.values():
            member.state_changed_at_s = now_s
            member.dead_at_s = now_s + self._timeout_s(len(member.suspecters) - 1)

    def forget(self, now_s: float) -> None:
        """Forget members that are dead, or left, for `FORGET_S`."""
        for name, member in list(self.others.items()):
            if not member.is_present and now_s - member.state_changed_at_s > DEAD_MEMBER_TTL_S:
                del self.others[name]
