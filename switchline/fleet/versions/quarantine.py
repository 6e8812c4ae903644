"""Quarantine of gateways whose versions stay stale, agreed on without a leader. Pure: no I/O, no clock.

A stale gateway publishes that it wants to be quarantined, and enters quarantine once more than half of all
members grant it (`Quarantine`). Each member grants only a few quarantines at a time (`QuarantineGrants`), so
that all grants together suffice for at most `max_quarantined` gateways: with g grants by each member and more
than half needed, fewer than 2g gateways can be quarantined. A member that has just started grants nothing
until all have received its new incarnation. A gateway leaves quarantine once it has been up to date for
`Quarantine.recovery_s`, is in a minority, or is spared by operators.
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

MEMBERS_PER_QUARANTINED = 5  # number of members for each one that may be quarantined
# How long a gateway must be up to date before it leaves quarantine; doubled by each repeated quarantine.
RECOVERY_S = 3.0
MAX_RECOVERY_S = 60.0
REPEAT_WINDOW_S = 600.0  # a quarantine that begins within this time of the last one counts as repeated
# A member grants nothing for this long after its start. Then all know that its earlier process has ended.
GRANT_DELAY_S = 5.0
NO_FLOORS = VersionFloors()


class QuarantineState(StrEnum):
    """The value of a `FactKind.QUARANTINE`."""

    WANTED = "wants"
    QUARANTINED = "out"


@dataclass(frozen=True, slots=True)
class StalenessView:
    """What a gateway knows about stale versions.

    Attributes:
        list_seq: The sequence number of its own endpoint list; `NO_LIST` if it has none.
        is_list_stale: Whether most gateways have a newer list.
        spared: Names of gateways that operators spare from quarantine.
        floors: Versions below which a gateway is stale.
    """

    list_seq: int
    is_list_stale: bool
    spared: Collection[str]
    floors: VersionFloors = NO_FLOORS


def max_quarantined(members: int) -> int:
    """Return how many of `members` members may be quarantined at once; at least one member is not."""
    return max(0, min(members // MEMBERS_PER_QUARANTINED, members - 1))


def max_grants_per_member(members: int) -> int:
    """Return how many quarantines each member may grant at once.

    A quarantine needs the grants of more than half of all members, so that with g grants by each member at
    most 2g - 1 gateways can be quarantined.
    """
    return (max_quarantined(members) + 1) // 2


def grant_value(incarnation: Incarnation) -> str:
    """Return the value of a grant: the incarnation of the gateway that may be quarantined."""
    return f"{incarnation[0]} {incarnation[1]}"


def version_below_floor(facts: Facts, name: str, list_seq: int, floors: VersionFloors) -> VersionKind | None:
    """Return which published version of a gateway is below its floor; None if none is."""
    release = facts.value(FactKind.RELEASE, "", name)
    return floors.stale_version(list_seq, release, facts.value(FactKind.CONFIG, "", name))


def quarantined_members(facts: Facts) -> set[str]:
    """Return the names of the gateways that are quarantined."""
    states = facts.of_kind(FactKind.QUARANTINE).items()
    return {origin for (_, origin), stored in states if stored.entry.value == QuarantineState.QUARANTINED}


class Quarantine:
    """Owns whether this gateway is quarantined, and its grants to others. Times are monotonic seconds."""

    def __init__(self, quarantine_after_s: float, started_at_s: float) -> None:
        """Begin out of quarantine.

        Args:
            quarantine_after_s: How long it is stale before it wants to be quarantined; 0 means never.
            started_at_s: When this process started.
        """
        self.quarantine_after_s = quarantine_after_s
        self.is_quarantined = False
        self.stale_version = ""  # a `VersionKind`; empty if no version is stale
        self.reason = ""  # the reason of the last change of `is_quarantined`
        self._grants = QuarantineGrants(started_at_s)
        self._stale_since_s = math.inf
        self._up_to_date_since_s = -math.inf
        self._quarantined_at_s = -math.inf
        self._repeat_count = 0

    def evaluate(self, endpoint: ProtocolEndpoint, now_s: float, wall_ms: float, view: StalenessView) -> bool:
        """Publish whether this gateway wants quarantine, and its grants; return whether it is quarantined."""
        facts = endpoint.facts
        members = endpoint.members
        me = members.me
        stale = VersionKind.LIST if view.is_list_stale else None
        stale = stale or version_below_floor(facts, me.name, view.list_seq, view.floors)
        self.stale_version = stale.value if stale is not None else ""
        self._grants.update(endpoint, now_s, wall_ms, view, stale is not None)
        self._track_staleness(stale is not None, now_s)
        wants = self._wants(facts, members, now_s, view.spared)
        granted = wants and 2 * grants_for(facts, members) > members.size_with_dead
        if self.is_quarantined and wants and not granted:
            self._end("the others don't grant it any more")
        elif granted and not self.is_quarantined:
            self._begin(now_s)
        state = QuarantineState.QUARANTINED if self.is_quarantined else QuarantineState.WANTED
        facts.publish_if_allowed(wall_ms, FactKind.QUARANTINE, "", state if wants else None)
        return self.is_quarantined

    def _track_staleness(self, is_stale: bool, now_s: float) -> None:
        if is_stale:
            self._stale_since_s = min(now_s, self._stale_since_s)
            self._up_to_date_since_s = math.inf
        else:
            self._stale_since_s = math.inf
            self._up_to_date_since_s = min(now_s, self._up_to_date_since_s)

    def _wants(self, facts: Facts, members: Members, now_s: float, spared: Collection[str]) -> bool:
        """Return whether this gateway wants to enter quarantine or to stay in it; end one that must not last.

        It wants to enter once it has been stale for `quarantine_after_s`, and to stay until it has been up to
        date for `recovery_s`.
        """
        name = members.me.name
        is_lone = members.minority or members.superseded
        if is_lone or name in spared or not self.quarantine_after_s:
            self._end("it is in a minority" if is_lone else "operators spare it")
            return False
        if not self.is_quarantined and facts.value(FactKind.QUARANTINE, "", name) is None:
            return now_s - self._stale_since_s >= self.quarantine_after_s
        if self.stale_version or now_s - self._up_to_date_since_s < self.recovery_s:
            return True
        self._end("it is level again")
        return False

    @property
    def recovery_s(self) -> float:
        """Seconds of being up to date that end a quarantine; doubled by each repeat, up to a limit."""
        return float(min(MAX_RECOVERY_S, RECOVERY_S * 2 ** max(0, self._repeat_count - 1)))

    def _begin(self, now_s: float) -> None:
        is_repeat = now_s - self._quarantined_at_s < REPEAT_WINDOW_S
        self._repeat_count = self._repeat_count + 1 if is_repeat else 1
        self.is_quarantined = True
        self._quarantined_at_s = now_s
        stale_s = now_s - self._stale_since_s
        self.reason = f"its {self.stale_version} is behind for {stale_s:.0f} s, and most grant it"

    def _end(self, why: str) -> None:
        if self.is_quarantined:
            self.is_quarantined = False
            self.reason = why


def grants_for(facts: Facts, members: Members) -> int:
    """Return how many present members grant quarantine to this gateway's current incarnation."""
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

    def __init__(self, started_at_s: float) -> None:
        """Begin without grants; this process started at `started_at_s`."""
        self.started_at_s = started_at_s

    def update(
        self,
        endpoint: ProtocolEndpoint,
        now_s: float,
        wall_ms: float,
        view: StalenessView,
        is_stale: bool,
    ) -> None:
        """Withdraw grants that are no longer needed, and grant quarantine to stale gateways that want it.

        A gateway that is in a minority, is stale itself or has just started makes no new grants.
        """
        facts = endpoint.facts
        members = endpoint.members
        granted = self._withdraw_needless(facts, members, wall_ms)
        if members.minority or is_stale or now_s - self.started_at_s < GRANT_DELAY_S:
            return
        wanted = {
            origin
            for (_, origin), stored in facts.of_kind(FactKind.QUARANTINE).items()
            if stored.entry.value in (QuarantineState.WANTED, QuarantineState.QUARANTINED)
        }
        for name in sorted((wanted & members.present.keys()) - granted):
            if len(granted) >= max_grants_per_member(members.size_with_dead):
                return
            if name not in view.spared and self._is_stale(facts, name, view):
                incarnation = members.present[name].update.incarnation
                facts.publish_if_allowed(wall_ms, FactKind.QUARANTINE_GRANT, name, grant_value(incarnation))
                granted.add(name)

    @staticmethod
    def _is_stale(facts: Facts, name: str, view: StalenessView) -> bool:
        """Return whether a gateway's list is older than this one's, or a version is below its floor."""
        list_seq = seq_or_no_list(parse_list_seq(facts.value(FactKind.LIST, "", name)))
        return list_seq < view.list_seq or bool(version_below_floor(facts, name, list_seq, view.floors))

    @staticmethod
    def _withdraw_needless(facts: Facts, members: Members, wall_ms: float) -> set[str]:
        """Withdraw grants that are no longer needed; return the names of the gateways still granted one.

        A grant to a dead gateway stays: it may be quarantined, as nobody knows that it has left quarantine.
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
