"""Facts that gateways share by gossip: a table of limited size, whose merge is the join of a semilattice.

Merging the same entries in any order and any number of times gives the same table (a state-based CRDT;
Shapiro, Preguica, Baquero, Zawirski, 2011). `precedence` alone decides which entry overrides another, and
`has_expired` alone decides when an entry is dropped for its age. Operators' overrides have no owner: the
newest call wins, and a call whose time is too far ahead of this gateway's wall clock is refused. Nothing here
does I/O or reads a clock.
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

MAX_ENTRIES = 4_096  # the most entries in the table
MAX_ENTRIES_OF_ORIGIN = 64  # the most entries of one gateway; overrides and decisions may exceed it
MAX_DECISIONS = 256  # the most decisions of one kind (`VERSIONED_KINDS`)
MAX_CLOCK_SKEW_MS = 300_000.0  # an override from further ahead of this gateway's wall clock is refused
# Lifetime of decisions and of overrides that were taken back: longer than any network partition lasts.
SHARED_ENTRY_TTL_MS = 86_400_000.0
WITHDRAWAL_TTL_MS = 600_000.0  # lifetime of the withdrawal of a gateway's own fact
ORPHAN_TTL_MS = 60_000.0  # lifetime of a fact once its origin's incarnation is no longer present
MAX_PLACE_DIGITS = 5
OVERRIDE_DOWN = "down"  # the value of an operator's override that is in force


class FactKey(NamedTuple):
    """Identifies the fact that an entry is a version of. `origin` is empty for a shared kind."""

    kind: str
    name: str
    origin: str


class FactLimitError(Exception):
    """A fact of this gateway exceeds a limit on facts."""


def fact_key(entry: Entry) -> FactKey:
    """Return the key of the fact that an entry is a version of."""
    return FactKey(entry.kind, entry.name, "" if entry.kind in SHARED_KINDS else entry.origin)


def precedence(entry: Entry) -> tuple[Any, ...]:
    """Return the rank of an entry among those of its key: the highest wins.

    The order is total, so that every gateway gets the same result. If the fields that the merge rule names
    are equal, a withdrawal wins, and then the other fields are compared.
    """
    value = (entry.value is None, entry.value or "")
    match merge_rule(entry.kind):
        case MergeRule.HIGHEST_VERSION:
            return (entry.version, value, entry.origin, entry.incarnation, entry.at_ms)
        case MergeRule.NEWEST_CALL:
            return (entry.at_ms, value, entry.origin, entry.incarnation, entry.version)
        case MergeRule.OWNER:
            return (entry.incarnation, entry.version, entry.at_ms, value)


def overriding_entry(first: Entry, second: Entry) -> Entry:
    """Return the entry that overrides the other of two entries of one key."""
    return first if precedence(first) >= precedence(second) else second


def has_expired(entry: Entry, wall_ms: float) -> bool:
    """Return whether an entry has expired by its own age. It is then dropped, and not accepted again.

    Decisions, and overrides that were taken back, expire after `SHARED_ENTRY_TTL_MS`; an override that is in
    force never expires. Of a gateway's own facts only withdrawals expire, after `WITHDRAWAL_TTL_MS`.
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
    """The winning entry of a key.

    Attributes:
        entry: The entry.
        orphaned_at_s: When the origin's incarnation was first seen to be absent, in seconds; 0 while present.
    """

    entry: Entry
    orphaned_at_s: float = 0.0


class Facts:
    """Owns the table of facts.

    In its methods `now_s` is seconds of a monotonic clock, `wall_ms` milliseconds of the wall clock.
    """

    def __init__(self, origin: str, incarnation: Incarnation) -> None:
        """`origin` is this gateway's name, `incarnation` its current incarnation."""
        self.origin = origin
        self.incarnation = incarnation
        self.table: dict[FactKey, StoredFact] = {}
        self.by_kind: dict[str, dict[FactKey, StoredFact]] = {}  # the entries of `table` by kind
        self.count_by_origin: dict[str, int] = {}
        self.last_version = 0
        self.refused: dict[str, int] = {"full": 0, "clock": 0, "own": 0}
        # Called with each entry that is added to the table or replaces another there.
        self.on_change: Callable[[Entry], None] = lambda entry: None

    # Writing.

    def publish(self, wall_ms: float, kind: str, name: str, value: str | None) -> Entry | None:
        """Publish a fact of this gateway or an operator's override, or withdraw it.

        Args:
            wall_ms: When the value became valid; for an override, the time of the operator's call.
            kind: The kind of the fact.
            name: What it is about; empty for this gateway itself.
            value: The value; None to withdraw the fact.

        Returns:
            The new entry; None if nothing changes.

        Raises:
            FactLimitError: The name or value is too long, or this gateway or the table has too many entries.
        """
        if len(value or "") > MAX_VALUE_CHARS or len(name) > MAX_NAME_CHARS:
            raise FactLimitError(
                f"{kind} {name[:MAX_NAME_CHARS]!r}: the name or the value is longer than allowed"
            )
        is_override = kind in OVERRIDE_KINDS
        key = FactKey(kind, name, "" if is_override else self.origin)
        stored = self.table.get(key)
        if self._is_stored(stored, wall_ms, value, is_override):
            return None
        is_at_limit = self.count_by_origin.get(self.origin, 0) >= MAX_ENTRIES_OF_ORIGIN
        if stored is None and is_at_limit and not is_override:
            raise FactLimitError(
                f"{kind} {name!r}: {MAX_ENTRIES_OF_ORIGIN} facts of one gateway are allowed, all in use"
            )
        self.last_version += 1
        entry = Entry(kind, name, self.origin, self.incarnation, self.last_version, wall_ms, value)
        if not self.merge(wall_ms, entry):
            if self.table.get(key) is None:
                raise FactLimitError(
                    f"{kind} {name!r}: the table of facts is full, with {MAX_ENTRIES} entries"
                )
            return None
        return entry

    @staticmethod
    def _is_stored(stored: StoredFact | None, wall_ms: float, value: str | None, is_override: bool) -> bool:
        """Return whether a value is stored already; for an override, with a time that is no earlier."""
        if stored is None:
            return value is None and not is_override
        return stored.entry.value == value and (not is_override or stored.entry.at_ms >= wall_ms)

    def publish_if_allowed(self, wall_ms: float, kind: str, name: str, value: str | None) -> None:
        """Publish a fact as `publish` does, but only count it in `refused["own"]` if it exceeds a limit."""
        try:
            self.publish(wall_ms, kind, name, value)
        except FactLimitError:
            self.refused["own"] += 1

    def publish_decision(self, wall_ms: float, kind: str, name: str, value: str) -> Entry | None:
        """Publish the next version of a decision; return its entry, or None if the table is full."""
        version = self.version(kind, name) + 1
        entry = Entry(kind, name, self.origin, self.incarnation, version, wall_ms, value)
        return entry if self.merge(wall_ms, entry) else None

    def begin_incarnation(self, incarnation: Incarnation) -> None:
        """Publish all facts of this gateway again under a later incarnation."""
        self.incarnation = incarnation
        for stored in list(self.table.values()):
            old_entry = stored.entry
            if old_entry.kind not in SHARED_KINDS and old_entry.origin == self.origin:
                self.last_version += 1
                entry = Entry(
                    old_entry.kind,
                    old_entry.name,
                    self.origin,
                    incarnation,
                    self.last_version,
                    old_entry.at_ms,
                    old_entry.value,
                )
                self.merge(entry.at_ms, entry)

    # Merging.

    def merge(self, wall_ms: float, entry: Entry) -> bool:
        """Store an entry if it overrides the stored one; return whether it was stored.

        A new entry is refused if it has expired or exceeds a limit, an override also if its time is too far
        ahead of this gateway's clock.
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
            stored.orphaned_at_s = 0.0
        else:
            if has_expired(entry, wall_ms):
                return False
            if self._exceeds_limit(entry):
                self.refused["full"] += 1
                return False
            self.table[key] = self.by_kind.setdefault(entry.kind, {})[key] = StoredFact(entry)
        self._count(entry, 1)
        self.on_change(entry)
        return True

    def _exceeds_limit(self, entry: Entry) -> bool:
        """Return whether the table has no room for another key of this entry's kind and origin."""
        if len(self.table) >= MAX_ENTRIES:
            return True
        if entry.kind in VERSIONED_KINDS:
            return len(self.by_kind.get(entry.kind, ())) >= MAX_DECISIONS
        origin_entries = self.count_by_origin.get(entry.origin, 0)
        return entry.kind not in OVERRIDE_KINDS and origin_entries >= MAX_ENTRIES_OF_ORIGIN

    def _count(self, entry: Entry, change: int) -> None:
        count = self.count_by_origin.get(entry.origin, 0) + change
        if count:
            self.count_by_origin[entry.origin] = count
        else:
            self.count_by_origin.pop(entry.origin, None)

    def shared_entry(self, kind: str, name: str) -> Entry | None:
        """Return the entry of a shared kind, whichever gateway published it; None without one."""
        stored = self.table.get(FactKey(kind, name, ""))
        return stored.entry if stored is not None else None

    # Expiry.

    def expire(
        self, now_s: float, wall_ms: float, incarnation_of: Callable[[str], Incarnation | None]
    ) -> None:
        """Drop facts that have expired, and those whose origin's incarnation is absent for `ORPHAN_TTL_MS`.

        Args:
            now_s: The monotonic time in seconds.
            wall_ms: The wall time in milliseconds.
            incarnation_of: Returns the incarnation of a member that is present, by its name; otherwise None.
        """
        for key, stored in list(self.table.items()):
            is_orphaned = self._is_orphaned_too_long(stored, now_s, incarnation_of)
            if is_orphaned or has_expired(stored.entry, wall_ms):
                self._drop(key, stored)

    def _is_orphaned_too_long(
        self, stored: StoredFact, now_s: float, incarnation_of: Callable[[str], Incarnation | None]
    ) -> bool:
        entry = stored.entry
        if entry.kind in SHARED_KINDS or entry.origin == self.origin:
            return False
        if incarnation_of(entry.origin) == entry.incarnation:
            stored.orphaned_at_s = 0.0
        elif not stored.orphaned_at_s:
            stored.orphaned_at_s = now_s
        else:
            return (now_s - stored.orphaned_at_s) * 1000 > ORPHAN_TTL_MS
        return False

    def _drop(self, key: FactKey, stored: StoredFact) -> None:
        del self.table[key], self.by_kind[key.kind][key]
        if not self.by_kind[key.kind]:
            del self.by_kind[key.kind]
        self._count(stored.entry, -1)

    # Reading.

    def entries(self) -> Iterable[Entry]:
        """Return all entries of the table."""
        return (stored.entry for stored in self.table.values())

    def value(self, kind: str, name: str, origin: str = "") -> str | None:
        """Return the value of a fact; None if it is unknown or withdrawn."""
        stored = self.table.get(FactKey(kind, name, origin))
        return stored.entry.value if stored is not None else None

    def version(self, kind: str, name: str) -> int:
        """Return the version of the stored decision; 0 if there is none."""
        stored = self.table.get(FactKey(kind, name, ""))
        return stored.entry.version if stored is not None else 0

    def place(self, origin: str) -> int | None:
        """Return the place among all gateways that a gateway publishes; None if it is missing or invalid."""
        value = self.value(FactKind.PLACE, "", origin)
        if value is None or not value.isdecimal() or len(value) > MAX_PLACE_DIGITS:
            return None
        return int(value)

    def of_kind(self, kind: str) -> dict[tuple[str, str], StoredFact]:
        """Return the facts of a kind by name and origin."""
        return {(key.name, key.origin): stored for key, stored in self.by_kind.get(kind, {}).items()}
