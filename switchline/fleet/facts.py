"""Facts that gateways share by gossip: a bounded table, whose merge is a join of a semilattice.

The merge gives the same table in any order and any number of times (a state-based CRDT; Shapiro, Preguica,
Baquero, Zawirski, 2011). `precedence` is the one rule of which entry overrides another; `has_expired` the
one rule of when an entry is forgotten. What operators call is the fleet's: the newest call wins, and a call
from a clock too far ahead is not believed. Pure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from switchline.fleet.fact_kinds import (
    OVERRIDE_KINDS,
    SHARED_KINDS,
    VERSIONED_KINDS,
    FactKind,
    MergeRule,
    merge_rule,
)
from switchline.fleet.messages import MAX_NAME_CHARS, MAX_VALUE_CHARS, Entry, Incarnation

MAX_ENTRIES = 4_096
MAX_ENTRIES_OF_ORIGIN = 64
MAX_DECISIONS = 256  # names of one versioned kind
MAX_CLOCK_SKEW_MS = 300_000.0
SHARED_ENTRY_TTL_MS = 86_400_000.0  # longer than any partition
WITHDRAWAL_TTL_MS = 600_000.0
ORPHAN_TTL_MS = 60_000.0  # a fact whose origin's incarnation is gone
MAX_PLACE_DIGITS = 5
OVERRIDE_DOWN = "down"  # value of an operators' override that holds


class FactKey(NamedTuple):
    """Which fact an entry is a version of; `origin` is empty for a shared kind."""

    kind: str
    name: str
    origin: str


class FactLimitError(Exception):
    """A fact of this gateway that the bounds don't allow."""


def fact_key(entry: Entry) -> FactKey:
    """Return the key of the fact that an entry is a version of."""
    return FactKey(entry.kind, entry.name, "" if entry.kind in SHARED_KINDS else entry.origin)


def precedence(entry: Entry) -> tuple[Any, ...]:
    """Return the rank of an entry among those of its key: the highest holds.

    The order is total, so that the merge is the same everywhere: where the rule's own fields are equal, a
    withdrawal, and then the other fields decide.
    """
    value = (entry.value is None, entry.value or "")
    match merge_rule(entry.kind):
        case MergeRule.HIGHEST_VERSION:
            return (entry.version, value, entry.origin, entry.incarnation, entry.at_ms)
        case MergeRule.NEWEST_CALL:
            return (entry.at_ms, value, entry.origin, entry.incarnation, entry.version)
        case MergeRule.OWNER:
            return (entry.incarnation, entry.version, entry.at_ms, value)


def overriding_entry(one: Entry, other: Entry) -> Entry:
    """Return the one of two entries of a key that holds."""
    return one if precedence(one) >= precedence(other) else other


def has_expired(entry: Entry, wall_ms: float) -> bool:
    """Return whether an entry has ended by its own age; it is forgotten, and not taken again.

    Decisions end after `SHARED_LASTS_MS`, as do overrides that were taken back; an override that holds never
    does. Of a gateway's own facts withdrawals end, after `WITHDRAWN_LASTS_MS`.
    """
    age_ms = wall_ms - entry.at_ms
    match merge_rule(entry.kind):
        case MergeRule.HIGHEST_VERSION:
            return age_ms > SHARED_ENTRY_TTL_MS
        case MergeRule.NEWEST_CALL:
            return entry.value != OVERRIDE_DOWN and age_ms > SHARED_ENTRY_TTL_MS
        case MergeRule.OWNER:
            return entry.value is None and age_ms > WITHDRAWAL_TTL_MS


@dataclass(slots=True)
class StoredFact:
    """The entry of a key that holds.

    Attributes:
        entry: The entry.
        orphaned_s: Since when its origin's incarnation is gone; 0 while it is present.
    """

    entry: Entry
    orphaned_s: float = 0.0


class Facts:
    """Owns the table of facts. `now_s` is of a clock that never steps, `wall_ms` of the wall clock."""

    def __init__(self, origin: str, incarnation: Incarnation) -> None:
        """`origin`: this gateway's name."""
        self.origin = origin
        self.incarnation = incarnation
        self.table: dict[FactKey, StoredFact] = {}
        self.by_kind: dict[str, dict[FactKey, StoredFact]] = {}  # the same entries by kind
        self.count_by_origin: dict[str, int] = {}
        self.last_version = 0
        self.refused: dict[str, int] = {"full": 0, "clock": 0, "own": 0}
        # Called with each entry that is new here.
        self.on_change: Callable[[Entry], None] = lambda entry: None

    # Writing.

    def publish(self, wall_ms: float, kind: str, name: str, value: str | None) -> Entry | None:
        """Write a fact, or withdraw it.

        Args:
            wall_ms: When it became so; of an operators' override, the time of the call.
            kind: The kind of the fact.
            name: What it is about; empty for this gateway itself.
            value: The value; None to withdraw the fact.

        Returns:
            The entry; None if nothing changes.

        Raises:
            FactLimitError: The fact is too long, or one too many.
        """
        if len(value or "") > MAX_VALUE_CHARS or len(name) > MAX_NAME_CHARS:
            raise FactLimitError(f"{kind} {name[:MAX_NAME_CHARS]!r}: too long to be told")
        is_override = kind in OVERRIDE_KINDS
        key = FactKey(kind, name, "" if is_override else self.origin)
        stored = self.table.get(key)
        if self._is_known(stored, wall_ms, value, is_override):
            return None
        at_bound = self.count_by_origin.get(self.origin, 0) >= MAX_ENTRIES_OF_ORIGIN
        if stored is None and at_bound and not is_override:
            raise FactLimitError(
                f"{kind} {name!r}: {MAX_ENTRIES_OF_ORIGIN} facts of one gateway are the most"
            )
        self.last_version += 1
        entry = Entry(kind, name, self.origin, self.incarnation, self.last_version, wall_ms, value)
        if not self.merge(wall_ms, entry):
            if self.table.get(key) is None:
                raise FactLimitError(f"{kind} {name!r}: the table holds {MAX_ENTRIES} entries")
            return None
        return entry

    @staticmethod
    def _is_known(stored: StoredFact | None, wall_ms: float, value: str | None, is_override: bool) -> bool:
        """Return whether a value is the one that holds; an override must not be of a newer call either."""
        if stored is None:
            return value is None and not is_override
        return stored.entry.value == value and (not is_override or stored.entry.at_ms >= wall_ms)

    def publish_if_allowed(self, wall_ms: float, kind: str, name: str, value: str | None) -> None:
        """As `publish`, but count a fact that the bounds don't allow, and leave it out."""
        try:
            self.publish(wall_ms, kind, name, value)
        except FactLimitError:
            self.refused["own"] += 1

    def publish_decision(self, wall_ms: float, kind: str, name: str, value: str) -> Entry | None:
        """Write the next version of a decision; return None where the table is full."""
        version = self.version(kind, name) + 1
        entry = Entry(kind, name, self.origin, self.incarnation, version, wall_ms, value)
        return entry if self.merge(wall_ms, entry) else None

    def begin_incarnation(self, incarnation: Incarnation) -> None:
        """Write all facts of this gateway anew, as of a later incarnation."""
        self.incarnation = incarnation
        for stored in list(self.table.values()):
            old = stored.entry
            if old.kind not in SHARED_KINDS and old.origin == self.origin:
                self.last_version += 1
                entry = Entry(
                    old.kind, old.name, self.origin, incarnation, self.last_version, old.at_ms, old.value
                )
                self.merge(entry.at_ms, entry)

    # Merging.

    def merge(self, wall_ms: float, entry: Entry) -> bool:
        """Take an entry if it overrides the one that holds; return whether it did.

        An entry that has expired, is over a bound, or is an override from a clock too far ahead is refused.
        """
        if entry.kind in OVERRIDE_KINDS and entry.at_ms > wall_ms + MAX_CLOCK_SKEW_MS:
            self.refused["clock"] += 1
            return False
        key = fact_key(entry)
        stored = self.table.get(key)
        if stored is not None:
            if stored.entry == entry or overriding_entry(stored.entry, entry) == stored.entry:
                return False
            self._count(stored.entry, -1)
            stored.entry = entry
            stored.orphaned_s = 0.0
        else:
            if has_expired(entry, wall_ms):
                return False
            if self._is_over_bound(entry):
                self.refused["full"] += 1
                return False
            self.table[key] = self.by_kind.setdefault(entry.kind, {})[key] = StoredFact(entry)
        self._count(entry, 1)
        self.on_change(entry)
        return True

    def _is_over_bound(self, entry: Entry) -> bool:
        """Return whether the table has no room for one more key of this entry's kind and origin."""
        if len(self.table) >= MAX_ENTRIES:
            return True
        if entry.kind in VERSIONED_KINDS:
            return len(self.by_kind.get(entry.kind, ())) >= MAX_DECISIONS
        of_origin = self.count_by_origin.get(entry.origin, 0)
        return entry.kind not in OVERRIDE_KINDS and of_origin >= MAX_ENTRIES_OF_ORIGIN

    def _count(self, entry: Entry, step: int) -> None:
        count = self.count_by_origin.get(entry.origin, 0) + step
        if count:
            self.count_by_origin[entry.origin] = count
        else:
            self.count_by_origin.pop(entry.origin, None)

    # Expiry.

    def expire(
        self, now_s: float, wall_ms: float, incarnation_of: Callable[[str], Incarnation | None]
    ) -> None:
        """Forget facts that have expired, and those whose origin's incarnation is gone for `ORPHAN_LASTS_MS`.

        Args:
            now_s: The time.
            wall_ms: The wall time.
            incarnation_of: Gives the incarnation of a member that is present, by its name.
        """
        for key, stored in list(self.table.items()):
            orphaned = self._is_orphaned_for_long(stored, now_s, incarnation_of)
            if orphaned or has_expired(stored.entry, wall_ms):
                self._drop(key, stored)

    def _is_orphaned_for_long(
        self, stored: StoredFact, now_s: float, incarnation_of: Callable[[str], Incarnation | None]
    ) -> bool:
        entry = stored.entry
        if entry.kind in SHARED_KINDS or entry.origin == self.origin:
            return False
        if incarnation_of(entry.origin) == entry.incarnation:
            stored.orphaned_s = 0.0
        elif not stored.orphaned_s:
            stored.orphaned_s = now_s
        else:
            return (now_s - stored.orphaned_s) * 1000 > ORPHAN_TTL_MS
        return False

    def _drop(self, key: FactKey, stored: StoredFact) -> None:
        del self.table[key], self.by_kind[key.kind][key]
        if not self.by_kind[key.kind]:
            del self.by_kind[key.kind]
        self._count(stored.entry, -1)

    # Reading.

    def entries(self) -> Iterable[Entry]:
        """Return all entries that hold."""
        return (stored.entry for stored in self.table.values())

    def value(self, kind: str, name: str, origin: str = "") -> str | None:
        """Return the value of a fact; None where it is unknown or withdrawn."""
        stored = self.table.get(FactKey(kind, name, origin))
        return stored.entry.value if stored is not None else None

    def version(self, kind: str, name: str) -> int:
        """Return the version of a decision that holds; 0 where there is none."""
        stored = self.table.get(FactKey(kind, name, ""))
        return stored.entry.version if stored is not None else 0

    def place(self, origin: str) -> int | None:
        """Return a gateway's place among all, as it tells it; None for what is none."""
        value = self.value(FactKind.PLACE, "", origin)
        if value is None or not value.isdecimal() or len(value) > MAX_PLACE_DIGITS:
            return None
        return int(value)

    def of_kind(self, kind: str) -> dict[tuple[str, str], StoredFact]:
        """Return the facts of a kind by name and origin."""
        return {(key.name, key.origin): stored for key, stored in self.by_kind.get(kind, {}).items()}
