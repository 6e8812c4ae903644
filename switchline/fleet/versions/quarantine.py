"""Which gateways are quarantined because their versions stay stale: agreed without a leader. Pure.

A stale gateway publishes that it wants to be quarantined, and is once more than half of all members grant it
(`Quarantine`). Each member grants so few at a time (`QuarantineGrants`) that the grants of all suffice for no
more than the part that `max_quarantined` allows: with g grants of each and more than half needed, fewer than
2g can be quarantined. A member that begins grants nothing until all have heard of it. A gateway leaves
quarantine once it is up to date for `Quarantine.recovery_s`, in a minority, or where operators spare it.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.membership.members import Members
from switchline.fleet.messages import Incarnation, MemberState
from switchline.fleet.versions.staleness import VersionFloors, VersionKind, parse_list_seq, seq_or_no_list

MEMBERS_PER_QUARANTINED = 5  # of so many members one may be quarantined
RECOVERY_S = 3.0  # up to date for so long before it is back; twice as long for each time
MAX_RECOVERY_S = 60.0
REPEAT_WINDOW_S = 600.0  # quarantined again so soon: it counts as one more time
GRANT_DELAY_S = 5.0  # since its start a member grants nothing: its earlier process is known to be over then
NO_FLOORS = VersionFloors()


class QuarantineState(StrEnum):
    """The value of a `FactKind.QUARANTINE`."""

    WANTED = "wants"
    QUARANTINED = "out"


@dataclass(frozen=True, slots=True)
class StalenessView:
    """What a gateway knows of stale versions.

    Attributes:
        list_seq: The number of its own endpoint list.
        is_list_stale: Whether most have a newer list.
        spared: Names of gateways that operators keep from quarantine.
        floors: Versions below which a gateway is stale.
    """

    list_seq: int
    is_list_stale: bool
    spared: Collection[str]
    floors: VersionFloors = NO_FLOORS


def max_quarantined(members: int) -> int:
    """Return how many of so many members may be quarantined at once; at least one is not."""
    return max(0, min(members // MEMBERS_PER_QUARANTINED, members - 1))


def grants_of_each(members: int) -> int:
    """Return how many quarantines each member may grant at once: with g, 2g - 1 is the most there can be."""
    return (max_quarantined(members) + 1) // 2


def grant_value(incarnation: Incarnation) -> str:
    """Return the value of a grant: the incarnation of the gateway that may be quarantined."""
    return f"{incarnation[0]} {incarnation[1]}"


def version_below_floor(facts: Facts, name: str, list_seq: int, floors: VersionFloors) -> VersionKind | None:
    """Return which version of a gateway, as it publishes them, is below its floor."""
    release = facts.value(FactKind.RELEASE, "", name)
    return floors.stale_version(list_seq, release, facts.value(FactKind.CONFIG, "", name))


def quarantined_members(facts: Facts) -> set[str]:
    """Return the names of the gateways that are quarantined."""
    states = facts.of_kind(FactKind.QUARANTINE).items()
    return {origin for (_, origin), stored in states if stored.entry.value == QuarantineState.QUARANTINED}


class Quarantine:
    """Owns one gateway's part: whether it is quarantined, and whom it grants it. Times are seconds."""

    def __init__(self, patience_s: float, began_s: float) -> None:
        """Begin out of quarantine.

        Args:
            patience_s: How long it is stale before it wants to be quarantined; 0: it never does.
            began_s: When this process began.
        """
        self.patience_s = patience_s
        self.is_quarantined = False  # whether it is quarantined
        self.stale_version = ""  # of the version that is stale; empty for none
        self.reason = ""  # of the last change
        self._grants = QuarantineGrants(began_s)
        self._stale_since_s = math.inf
        self._current_since_s = -math.inf
        self._quarantined_at_s = -math.inf
        self._times = 0

    def evaluate(self, endpoint: ProtocolEndpoint, now_s: float, wall_ms: float, view: StalenessView) -> bool:
        """Publish what this gateway wants and grants; return whether it is to be quarantined now."""
        facts = endpoint.facts
        members = endpoint.members
        me = members.me
        stale = VersionKind.LIST if view.is_list_stale else None
        stale = stale or version_below_floor(facts, me.name, view.list_seq, view.floors)
        self.stale_version = stale.value if stale is not None else ""
        self._grants.update(endpoint, now_s, wall_ms, view, stale is not None)
        self._note_staleness(stale is not None, now_s)
        wants = self._wants(facts, members, now_s, view.spared)
        granted = wants and 2 * grants_for(facts, members) > members.size_with_dead
        if self.is_quarantined and wants and not granted:
            self._end("the others don't grant it any more")
        elif granted and not self.is_quarantined:
            self._begin(now_s)
        state = QuarantineState.QUARANTINED if self.is_quarantined else QuarantineState.WANTED
        facts.publish_if_allowed(wall_ms, FactKind.QUARANTINE, "", state if wants else None)
        return self.is_quarantined

    def _note_staleness(self, is_stale: bool, now_s: float) -> None:
        if is_stale:
            self._stale_since_s = min(now_s, self._stale_since_s)
            self._current_since_s = math.inf
        else:
            self._stale_since_s = math.inf
            self._current_since_s = min(now_s, self._current_since_s)

    def _wants(self, facts: Facts, members: Members, now_s: float, spared: Collection[str]) -> bool:
        """Return whether this gateway wants to be quarantined, or to stay so; end it where it may not be.

        It wants to be once it is stale for `patience_s`, and to stay so until it is up to date for
        `recovery_s`.
        """
        name = members.me.name
        is_lone = members.minority or members.superseded
        if is_lone or name in spared or not self.patience_s:
            self._end("it is in a minority" if is_lone else "operators spare it")
            return False
        if not self.is_quarantined and facts.value(FactKind.QUARANTINE, "", name) is None:
            return now_s - self._stale_since_s >= self.patience_s
        if self.stale_version or now_s - self._current_since_s < self.recovery_s:
            return True
        self._end("it is level again")
        return False

    @property
    def recovery_s(self) -> float:
        """How long it must be up to date before it is back: longer each time, up to a bound."""
        return float(min(MAX_RECOVERY_S, RECOVERY_S * 2 ** max(0, self._times - 1)))

    def _begin(self, now_s: float) -> None:
        is_repeat = now_s - self._quarantined_at_s < REPEAT_WINDOW_S
        self._times = self._times + 1 if is_repeat else 1
        self.is_quarantined = True
        self._quarantined_at_s = now_s
        stale_s = now_s - self._stale_since_s
        self.reason = f"its {self.stale_version} is behind for {stale_s:.0f} s, and most grant it"

    def _end(self, why: str) -> None:
        if self.is_quarantined:
            self.is_quarantined = False
            self.reason = why


def grants_for(facts: Facts, members: Members) -> int:
    """Return how many members that are present grant quarantine to this incarnation of this gateway."""
    me = members.me
    present = members.present
    granted = grant_value(me.incarnation)
    entries = [
        stored.entry
        for (name, _), stored in facts.of_kind(FactKind.QUARANTINE_GRANT).items()
        if name == me.name and stored.entry.value == granted
    ]
    return sum(
        entry.origin in present and present[entry.origin].update.incarnation == entry.incarnation
        for entry in entries
    )


class QuarantineGrants:
    """Owns the quarantines that one gateway grants to others."""

    def __init__(self, began_s: float) -> None:
        """`began_s`: when this process began."""
        self.began_s = began_s

    def update(
        self,
        endpoint: ProtocolEndpoint,
        now_s: float,
        wall_ms: float,
        view: StalenessView,
        is_stale: bool,
    ) -> None:
        """Withdraw the grants that none needs any more, and grant quarantine to stale gateways that want it.

        A gateway in a minority, one that is stale itself and one that has just begun grant none.
        """
        facts = endpoint.facts
        members = endpoint.members
        granted = self._withdraw_needless(facts, members, wall_ms)
        if members.minority or is_stale or now_s - self.began_s < GRANT_DELAY_S:
            return
        wanted = {
            origin
            for (_, origin), stored in facts.of_kind(FactKind.QUARANTINE).items()
            if stored.entry.value in (QuarantineState.WANTED, QuarantineState.QUARANTINED)
        }
        for name in sorted((wanted & members.present.keys()) - granted):
            if len(granted) >= grants_of_each(members.size_with_dead):
                return
            if name not in view.spared and self._is_stale(facts, name, view):
                incarnation = members.present[name].update.incarnation
                facts.publish_if_allowed(wall_ms, FactKind.QUARANTINE_GRANT, name, grant_value(incarnation))
                granted.add(name)

    @staticmethod
    def _is_stale(facts: Facts, name: str, view: StalenessView) -> bool:
        """Return whether a gateway has an older list than this one, or a version below a floor."""
        list_seq = seq_or_no_list(parse_list_seq(facts.value(FactKind.LIST, "", name)))
        return list_seq < view.list_seq or bool(version_below_floor(facts, name, list_seq, view.floors))

    @staticmethod
    def _withdraw_needless(facts: Facts, members: Members, wall_ms: float) -> set[str]:
        """Withdraw grants that none needs any more; return the names of the gateways that have one still.

        A grant to a gateway that is dead stays: it may be quarantined, and is not known to be back.
        """
        me = members.me.name
        grants = {
            name: stored.entry.value
            for (name, origin), stored in facts.of_kind(FactKind.QUARANTINE_GRANT).items()
            if origin == me
        }
        granted = {name for name, value in grants.items() if value}
        for name in list(granted):
            member = members.others.get(name)
            is_needed = member is not None and member.state is not MemberState.LEFT
            if member is not None and is_needed:
                is_current = grants[name] == grant_value(member.update.incarnation)
                wants = facts.value(FactKind.QUARANTINE, "", name) is not None
                is_needed = is_current and (wants or not member.is_present)
            if not is_needed:
                facts.publish_if_allowed(wall_ms, FactKind.QUARANTINE_GRANT, name, None)
                granted.discard(name)
        return granted
