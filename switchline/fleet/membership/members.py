"""The table of members, and the merge of claims about them: SWIM's dissemination component.

Claims about a member have a total order (incarnation, refutation, state); the highest wins, so the order in
which messages arrive does not matter. Only a member itself begins a new incarnation or refutes a suspicion.
`suspicion` defines the timeouts, `sampling` the random choice of members. Nothing here does I/O or reads a
clock.
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
    EXPECTED_RECHECKERS,
    MAX_CONFIRMATIONS,
    RECHECK_TIMEOUT_S,
    STALL_PENALTY,
    LocalHealth,
    is_minority,
    is_widely_suspected,
    suspicion_timeout_s,
)
from switchline.fleet.messages import Incarnation, MemberState, MemberUpdate

MAX_MEMBERS = 5_000


class Members:
    """Owns the known state of each member, and this member's claim about itself."""

    def __init__(self, me: MemberUpdate, rng: random.Random) -> None:
        """`me` is this member's claim about itself; `rng` is the source of its random choices."""
        self.me = me
        self.others: dict[str, Member] = {}
        # The subsets of `others` that are present and that are suspected, as they are read for each datagram.
        self.present: dict[str, Member] = {}
        self.suspected: dict[str, Member] = {}
        self.health = LocalHealth()
        self.superseded = False  # whether a later process has this name, so that this one sends no gossip
        self.ignored_over_limit = 0  # number of members that were ignored above `MAX_MEMBERS`
        self.event_counts: Counter[str] = Counter(dict.fromkeys(MemberEvent, 0))
        self.probe_ring = ProbeRing(self.present, rng)
        self.sampler = MemberSampler(self.present, rng)
        # Called with each claim that changed something, after a refutation by this member, and with the new
        # incarnation that this member began.
        self.on_update: Callable[[MemberUpdate], None] = lambda update: None
        self.on_refutation: Callable[[], None] = lambda: None
        self.on_new_incarnation: Callable[[Incarnation], None] = lambda incarnation: None
        self._rng = rng

    # Reading.

    @property
    def size(self) -> int:
        """Number of members that are present, including this one."""
        return 1 + len(self.present)

    @property
    def size_with_dead(self) -> int:
        """Number of members that did not leave, including the dead and this one."""
        return 1 + sum(member.state is not MemberState.LEFT for member in self.others.values())

    @property
    def minority(self) -> bool:
        """Whether this member sees only half of the fleet or less; see `is_minority`."""
        return is_minority(self.size, self.size_with_dead)

    def incarnation_of(self, name: str) -> Incarnation | None:
        """Return the incarnation of a member; None if it is not present."""
        if name == self.me.name:
            return self.me.incarnation
        member = self.others.get(name)
        return member.update.incarnation if member is not None and member.is_present else None

    def later_claim(self, name: str, incarnation: Incarnation) -> MemberUpdate | None:
        """Return the claim about a later incarnation of a member than the given one; None if unknown."""
        if name == self.me.name:
            return self.me if incarnation < self.me.incarnation else None
        member = self.others.get(name)
        return member.update if member is not None and incarnation < member.update.incarnation else None

    # Claims about the others.

    def note_heard(self, name: str, incarnation: Incarnation, now_s: float) -> None:
        """Record the time of a message from a member itself."""
        member = self.others.get(name)
        if member is not None and member.update.incarnation == incarnation:
            member.last_heard_s = now_s

    def merge(self, update: MemberUpdate, now_s: float) -> bool:
        """Merge a claim; return whether it changed anything."""
        if update.name == self.me.name:
            return self._merge_about_self(update)
        member = self.others.get(update.name)
        if member is None:
            return self._add_member(update, now_s)
        if precedence(update) <= precedence(member.update):
            return self._is_confirmation(member, update) and self._confirm(member, update)
        was_present = member.is_present
        member.update = update
        member.state_changed_at_s = now_s
        member.suspecters = frozenset()
        member.dead_at_s = math.inf
        member.rechecked = False
        self._update_subsets(update.name, member)
        if update.state is MemberState.SUSPECT:
            self.event_counts[MemberEvent.SUSPECTED] += 1
            self._begin_suspicion(member, now_s)
        elif update.state is MemberState.ALIVE and not was_present:
            member.last_heard_s = now_s
            self.event_counts[MemberEvent.JOINED] += 1
            self.probe_ring.insert(update.name)
        elif was_present and not member.is_present:
            is_dead = update.state is MemberState.DEAD
            self.event_counts[MemberEvent.DIED if is_dead else MemberEvent.LEFT] += 1
        self.on_update(update)
        return True

    def _add_member(self, update: MemberUpdate, now_s: float) -> bool:
        """Add a member that was unknown; return whether there was room for it."""
        if len(self.others) >= MAX_MEMBERS:
            self.ignored_over_limit += 1
            return False
        member = self.others[update.name] = Member(update, now_s, now_s)
        self._update_subsets(update.name, member)
        if update.state is MemberState.SUSPECT:
            self._begin_suspicion(member, now_s)
        if member.is_present:
            self.event_counts[MemberEvent.JOINED] += 1
            self.probe_ring.insert(update.name)
        self.on_update(update)
        return True

    def _update_subsets(self, name: str, member: Member) -> None:
        """Add a member to `present` and `suspected`, or remove it, according to its state."""
        for subset, belongs in (
            (self.present, member.is_present),
            (self.suspected, member.state is MemberState.SUSPECT),
        ):
            if belongs:
                subset[name] = member
            else:
                subset.pop(name, None)

    def _begin_suspicion(self, member: Member, now_s: float) -> None:
        """Begin a suspicion's timeout.

        Each member decides at random whether it probes the suspected one next, so that a few of all do.
        """
        member.suspecters |= {member.update.suspected_by}
        member.dead_at_s = now_s + self._suspicion_timeout_s(0)
        is_from_another = member.update.suspected_by != self.me.name
        if is_from_another and self._rng.random() * self.size < EXPECTED_RECHECKERS:
            self.probe_ring.probe_next(member.update.name)

    @staticmethod
    def _is_confirmation(member: Member, update: MemberUpdate) -> bool:
        """Return whether a claim is another suspicion of a member that is suspected already."""
        known = member.update
        same_claim = update.incarnation == known.incarnation and update.refutation == known.refutation
        return same_claim and update.state is MemberState.SUSPECT is known.state

    def _confirm(self, member: Member, update: MemberUpdate) -> bool:
        """Record another member's suspicion: it shortens the timeout and is passed on.

        Returns:
            Whether it was recorded; false if it is known, or enough others share the suspicion.
        """
        suspecter = update.suspected_by
        if not suspecter or suspecter in member.suspecters or len(member.suspecters) > MAX_CONFIRMATIONS:
            return False
        member.suspecters |= {suspecter}
        timeout_s = self._suspicion_timeout_s(len(member.suspecters) - 1)
        member.dead_at_s = min(member.dead_at_s, member.state_changed_at_s + timeout_s)
        self.on_update(update)
        return True

    def _suspicion_timeout_s(self, confirmations: int) -> float:
        return suspicion_timeout_s(confirmations, self.size, self.health)

    # Claims about this member.

    def _merge_about_self(self, update: MemberUpdate) -> bool:
        """Merge a claim about this member's name.

        It may be about a later or an earlier process of the name. If it says that this process is suspected,
        dead or has left, this process refutes it.
        """
        if update.incarnation > self.me.incarnation:
            return self._merge_later_process(update)
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

    def _merge_later_process(self, update: MemberUpdate) -> bool:
        """Merge a claim about a later process of this name.

        While the later process runs, it owns the name and this process is superseded. Once the later one has
        ended, this process begins an incarnation above it. The same happens where the clock that numbers
        incarnations was set back.
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
        """Publish the claim that this member is alive, with the given refutation number."""
        self.me = self._claim(MemberState.ALIVE, self.me.incarnation, refutation)
        self.on_update(self.me)
        self.on_refutation()

    def leave(self) -> None:
        """Publish the claim that this member leaves."""
        self.me = self._claim(MemberState.LEFT, self.me.incarnation, self.me.refutation)
        self.on_update(self.me)

    # Timeouts.

    def suspect(self, name: str, now_s: float) -> None:
        """Suspect a member that answered neither a direct probe nor an indirect one."""
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
        """Declare the suspected members dead whose timeout is over.

        If few members share a suspicion, its refutation may only have been lost on the way to this member.
        The suspected member is then probed once more first.
        """
        dead = []
        for name, member in self.suspected.items():
            if member.dead_at_s > now_s:
                continue
            if member.rechecked or is_widely_suspected(len(member.suspecters), self.size):
                dead.append(name)
            else:
                member.rechecked = True
                member.dead_at_s = now_s + RECHECK_TIMEOUT_S * self.health.suspicion_multiplier
                self.probe_ring.probe_next(name)
        for name in dead:
            known = self.others[name].update
            self.merge(
                MemberUpdate(
                    name, known.incarnation, known.refutation, MemberState.DEAD, known.host, known.port
                ),
                now_s,
            )

    def restart_suspicions(self, now_s: float) -> None:
        """Restart the timeouts of all suspicions after this process was stalled.

        Messages that it missed during the stall are no evidence against the other members.
        """
        self.health.worsen(STALL_PENALTY)
        for member in self.suspected.values():
            member.state_changed_at_s = now_s
            member.dead_at_s = now_s + self._suspicion_timeout_s(len(member.suspecters) - 1)

    def expire(self, now_s: float) -> None:
        """Remove members that have been dead, or have left, for `DEAD_MEMBER_TTL_S`."""
        for name, member in list(self.others.items()):
            if not member.is_present and now_s - member.state_changed_at_s > DEAD_MEMBER_TTL_S:
                del self.others[name]
