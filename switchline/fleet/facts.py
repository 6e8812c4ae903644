"""Facts that the fleet shares: a bounded table, whose merge is the same in any order and any number of times.

Each kind has an order in which one entry overrides another; the merge of a name is the highest. Facts of a
gateway about itself are ordered by its life and version. What operators take out by hand is the fleet's: the
newest call wins, equal times by a fixed order, and a call from a clock too far ahead is not believed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from switchline.fleet.fact_kinds import OPERATOR_KINDS, SHARED_KINDS, VERSIONED_KINDS, FactKind
from switchline.fleet.messages import LONGEST_NAME, LONGEST_VALUE, Entry, Incarnation

MOST_ENTRIES, MOST_OF_ORIGIN = 4_096, 64
MOST_DECISIONS = 256  # names of one such kind
CLOCK_MS = 300_000.0  # by which clocks may differ
LASTS_MS = 86_400_000.0  # what was put back is remembered for so long: longer than anyone is cut off
WITHDRAWN_MS = 600_000.0  # a withdrawn fact is remembered
ORPHAN_MS = 60_000.0  # a fact whose origin is gone

Key = tuple[str, str, str]  # kind, name, and the origin where the kind has one


def key_of(entry: Entry) -> Key:
    return entry.kind, entry.name, "" if entry.kind in SHARED_KINDS else entry.origin


def order_of(entry: Entry) -> tuple[Any, ...]:
    """Of two entries with one key the higher one holds: total, so that a merge is the same everywhere."""
    value = (entry.value is None, entry.value or "")
    if entry.kind in VERSIONED_KINDS:
        return (entry.version, value, entry.origin, entry.life, entry.at)
    if entry.kind in OPERATOR_KINDS:
        return (entry.at, value, entry.origin, entry.life, entry.version)
    return (entry.life, entry.version, entry.at, value)


def higher(one: Entry, other: Entry) -> Entry:
    return one if order_of(one) >= order_of(other) else other


class TooMuch(Exception):
    """A fact that the table's bounds don't allow."""


@dataclass(slots=True)
class Held:
    """An entry in the table."""

    entry: Entry
    orphaned: float = 0.0  # since when (seconds on the caller's clock) its origin is gone; 0: it lives


class Facts:
    """Owns the table. Times are seconds on a clock that never steps; `wall` is milliseconds of wall time."""

    def __init__(self, origin: str, life: Incarnation) -> None:
        self.origin, self.life = origin, life
        self.table: dict[Key, Held] = {}
        self.kinds: dict[str, dict[Key, Held]] = {}  # the same, by kind
        self.of: dict[str, int] = {}  # how many entries are of an origin
        self.version = 0
        self.refused: dict[str, int] = {"full": 0, "clock": 0, "own": 0}
        self.changed: Callable[[Entry], None] = lambda entry: None

    # ---- telling ----

    def tell(self, wall: float, kind: str, name: str, value: str | None) -> Entry | None:
        """Tell a fact, or (None) withdraw it; gives the entry if that changes anything. Raises TooMuch.

        `wall` is when it became so; of an operator's call, the time of the call.
        """
        if len(value or "") > LONGEST_VALUE or len(name) > LONGEST_NAME:
            raise TooMuch(f"{kind} {name[:LONGEST_NAME]!r}: too long to be told")
        key = kind, name, "" if kind in OPERATOR_KINDS else self.origin
        held = self.table.get(key)
        if held is not None or value is None:
            known = held.entry if held is not None else None
            same = (known.value if known is not None else None) == value
            if same and (kind not in OPERATOR_KINDS or (known is not None and known.at >= wall)):
                return None
        if held is None and self.of.get(self.origin, 0) >= MOST_OF_ORIGIN and kind not in OPERATOR_KINDS:
            raise TooMuch(f"{kind} {name!r}: {MOST_OF_ORIGIN} facts of one gateway are the most")
        self.version += 1
        entry = Entry(kind, name, self.origin, self.life, self.version, wall, value)
        if not self.merge(wall, entry):
            if self.table.get(key) is None:
                raise TooMuch(f"{kind} {name!r}: the table holds {MOST_ENTRIES} entries")
            return None
        return entry

    def offer(self, wall: float, kind: str, name: str, value: str | None) -> None:
        """Tell or withdraw a fact as far as the bounds allow: what is over them is left out and counted."""
        try:
            self.tell(wall, kind, name, value)
        except TooMuch:
            self.refused["own"] += 1

    def decide(self, wall: float, kind: str, name: str, value: str) -> Entry | None:
        """Put a decision above the one that holds; None where the table is full."""
        entry = Entry(kind, name, self.origin, self.life, self.count(kind, name) + 1, wall, value)
        return entry if self.merge(wall, entry) else None

    def count(self, kind: str, name: str) -> int:
        """The version of the decision that holds; 0 where there is none."""
        held = self.table.get((kind, name, ""))
        return held.entry.version if held is not None else 0

    def merge(self, wall: float, entry: Entry) -> bool:
        """Take an entry if it overrides what is there; whether it did."""
        if entry.kind in OPERATOR_KINDS and entry.at > wall + CLOCK_MS:
            self.refused["clock"] += 1
            return False
        key = key_of(entry)
        held = self.table.get(key)
        if held is not None:
            if held.entry == entry or higher(held.entry, entry) == held.entry:
                return False
            self._count(held.entry, -1)
            held.entry, held.orphaned = entry, 0.0
        else:
            if self.over(wall, entry):
                return False
            if entry.kind in VERSIONED_KINDS:
                over = len(self.kinds.get(entry.kind, ())) >= MOST_DECISIONS
            else:
                over = entry.kind not in OPERATOR_KINDS and self.of.get(entry.origin, 0) >= MOST_OF_ORIGIN
            if over or len(self.table) >= MOST_ENTRIES:
                self.refused["full"] += 1
                return False
            self.table[key] = self.kinds.setdefault(entry.kind, {})[key] = Held(entry)
        self._count(entry, 1)
        self.changed(entry)
        return True

    def _count(self, entry: Entry, step: int) -> None:
        left = self.of.get(entry.origin, 0) + step
        if left:
            self.of[entry.origin] = left
        else:
            self.of.pop(entry.origin, None)

    def over(self, wall: float, entry: Entry) -> bool:
        """Whether an entry has ended by its own time: told again, it would bring back what is forgotten."""
        if entry.kind in VERSIONED_KINDS:
            return wall - entry.at > LASTS_MS
        if entry.kind in OPERATOR_KINDS:
            return entry.value != "down" and wall - entry.at > LASTS_MS
        return entry.value is None and wall - entry.at > WITHDRAWN_MS

    # ---- the end of facts ----

    def tidy(self, now: float, wall: float, life_of: Callable[[str], Incarnation | None]) -> None:
        """Forget what has ended, and, some time after its end, what was told by a life that is gone."""
        for key, held in list(self.table.items()):
            entry = held.entry
            if entry.kind not in SHARED_KINDS and entry.origin != self.origin:
                if life_of(entry.origin) == entry.life:
                    held.orphaned = 0.0
                elif not held.orphaned:
                    held.orphaned = now
                elif (now - held.orphaned) * 1000 > ORPHAN_MS:
                    self._drop(key, held)
                    continue
            if self.over(wall, entry):
                self._drop(key, held)

    def _drop(self, key: Key, held: Held) -> None:
        del self.table[key], self.kinds[key[0]][key]
        if not self.kinds[key[0]]:
            del self.kinds[key[0]]
        self._count(held.entry, -1)

    # ---- reading ----

    def entries(self) -> Iterable[Entry]:
        return (held.entry for held in self.table.values())

    def value(self, kind: str, name: str, origin: str = "") -> str | None:
        held = self.table.get((kind, name, origin))
        return held.entry.value if held is not None else None

    def place(self, origin: str) -> int | None:
        """A gateway's place among all, as it tells it; None for what is none."""
        value = self.value(FactKind.PLACE, "", origin)
        return int(value) if value is not None and value.isdecimal() and len(value) < 6 else None

    def of_kind(self, kind: str) -> dict[tuple[str, str], Held]:
        """By name and origin."""
        return {(key[1], key[2]): held for key, held in self.kinds.get(kind, {}).items()}

    def begin(self, life: Incarnation) -> None:
        """From here on this gateway tells as a later life, and tells anew all that it has told."""
        self.life = life
        for held in list(self.table.values()):
            entry = held.entry
            if entry.kind not in SHARED_KINDS and entry.origin == self.origin:
                self.version += 1
                given = entry.kind, entry.name, self.origin, life, self.version, entry.at, entry.value
                self.merge(entry.at, Entry(*given))
