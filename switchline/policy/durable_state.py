"""What is kept on disk, and when: rows of the state, and spending that is reserved ahead of them.

Pure, as all of the module: it gives rows (`PersistRecord`) and is told which of them are committed
(`RecordsPersisted`). A row shows a customer's buckets as if the next part of its units were spent. The part
is spent from memory once the row is committed, and whoever restarts from the row counts it as spent, so
nothing is ever given twice.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Mapping
from typing import Any

from switchline.policy import interface as api
from switchline.policy.customer import Customer
from switchline.policy.state_records import check_customer

PARTS, AHEAD_MS = 4.0, 100.0  # reserved at a time: a part of the burst, or what this time brings if more
LAG_MS = 3_000.0  # what such a time brought may have been spent unreserved; a commit has half of it
STALE_MS = 1_000.0  # how old the row of a customer in use, of a backend or of the gateway may get
DOWN_MS = 600_000.0  # a longer downtime is not believed: the clock may have been set
SPREAD_MS = 5_000.0  # restored customers ask the counter again within so long: a whole fleet may be back
MOST_KEPT = 4_096  # customers
MOST_RESTARTS = 8  # that are told apart; after so many, a customer without a row begins with nothing


class Reserve:
    """What a customer may spend before its next row is on disk."""

    __slots__ = (
        "ahead",
        "asked",
        "dry_at",
        "dry_spent",
        "next_pace",
        "pace",
        "row",
        "serial",
        "since",
        "told_at",
    )

    def __init__(self, ahead: float, pace: tuple[float, float]) -> None:
        self.ahead = ahead  # units that the committed row shows as spent, and that are not yet
        self.asked, self.serial, self.since = 0.0, 0, 0.0  # a row on its way: part, number, spent after
        self.dry_at, self.dry_spent = math.inf, 0.0  # since when there was no part left; let in since then
        self.pace = self.next_pace = pace  # units a second of quota and ceiling that may go unreserved then
        self.told_at, self.row = -math.inf, False


class DurableState:
    """Owns what customers may spend ahead of the disk, and which rows are old. Off, it does nothing."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.chance = settings, chance
        self.on, self.serial, self.due = False, 0, math.inf
        self.reserves: dict[str, Reserve] = {}  # by customer
        self.rows = 0  # customers of whom there is one
        self.waiting: dict[int, Customer] = {}  # rows on their way
        self.changed: dict[str, Customer] = {}  # customers whose row shows an old lease
        self.told: dict[str, Any] = {}  # what the rows of the gateway and of backends hold
        # Of a restart: the last commit, whether the downtime is believed, and the restarts, this one too.
        self.alive, self.believed = 0.0, True
        self.restarts: tuple[float, ...] = ()

    # ---- spending ----

    def part(self, c: Customer) -> float:
        """Units of a customer that are reserved at a time."""
        plan, least = c.plan, self.settings.max_request_units
        if plan.rate_per_s:
            return max(least, plan.burst_units * c.part / PARTS, plan.rate_per_s * c.part * AHEAD_MS / 1000)
        return max(
            least, plan.ceiling_burst_units * c.top / PARTS, plan.ceiling_rate_per_s * c.top * AHEAD_MS / 1000
        )

    def pace(self, c: Customer) -> tuple[float, float]:
        """The safe share: of a quota and of a ceiling, without a burst."""
        return c.plan.rate_per_s * min(c.part, c.even), c.plan.ceiling_rate_per_s * min(c.top, c.even)

    def lacks(self, now: float, c: Customer, units: float) -> tuple[float, bool]:
        """Units that the quota is short of as the disk lags, and whether the ceiling has none either."""
        r = self.reserve(c)
        if r is None or r.ahead >= units:
            return 0.0, False
        if now < r.dry_at:
            r.dry_at, r.dry_spent = now, 0.0
        passed, wanted = (now - r.dry_at) / 1000, r.dry_spent + units
        short = wanted - passed * r.pace[0] if c.plan.rate_per_s else 0.0
        return max(0.0, short), bool(c.plan.ceiling_rate_per_s) and wanted > passed * r.pace[1]

    def spent(self, now: float, c: Customer, units: float, out: api.Actions) -> None:
        if (r := self.reserve(c)) is None:
            return
        if r.ahead >= units:
            r.ahead -= units
        else:
            r.dry_spent += units
        r.since += units
        if not r.serial and (r.ahead < self.part(c) / 2 or now - r.told_at >= STALE_MS):
            self.tell(now, c, r, out)

    def settled(self, c: Customer, units: float) -> None:
        """True units replace the guess: they are spent whatever was reserved."""
        if (r := self.reserve(c)) is not None:
            r.ahead, r.since = r.ahead - units, r.since + units
            self.changed[c.key] = c

    def renewed(self, c: Customer) -> None:
        """A customer's lease is another one: its row is told anew within its time."""
        if self.on and self.limited(c):
            self.changed[c.key] = c

    def limited(self, c: Customer) -> bool:
        return bool(c.plan.rate_per_s or c.plan.ceiling_rate_per_s)

    def reserve(self, c: Customer) -> Reserve | None:
        if not self.on or not self.limited(c):
            return None
        if (r := self.reserves.get(c.key)) is None:
            # Nobody's row: whatever the earlier lives of this process let in of it, is told by the restarts.
            r = self.reserves[c.key] = Reserve(self.part(c), self.pace(c))
        return r

    # ---- rows ----

    def tell(self, now: float, c: Customer, r: Reserve, out: api.Actions) -> None:
        if not r.row:
            if self.rows >= MOST_KEPT:
                r.ahead = 0.0  # beyond the bound, a customer has its safe share
                return
            self.rows += 1
        self.changed.pop(c.key, None)
        r.asked, r.since, r.row, r.told_at = max(self.part(c), r.ahead), 0.0, True, now
        r.next_pace = self.pace(c)
        r.serial = self.keep(c.state(r.asked), out)
        self.waiting[r.serial] = c

    def keep(self, said: list[Any], out: api.Actions) -> int:
        self.serial += 1
        out.append(api.PersistRecord(self.serial, said))
        return self.serial

    def forget(self, keys: list[str], out: api.Actions) -> None:
        for key in keys:
            r = self.reserves.pop(key, None)
            self.changed.pop(key, None)
            if r is not None and r.row:
                self.waiting.pop(r.serial, None)
                self.rows -= 1
                self.keep(["forget", "customer", key], out)

    def kept(self, now: float, serial: int, out: api.Actions) -> None:
        """All rows up to that one are committed."""
        while self.waiting and (first := next(iter(self.waiting))) <= serial:
            c = self.waiting.pop(first)
            r = self.reserves[c.key]
            r.ahead, r.serial, r.dry_at, r.pace = r.asked - r.since, 0, math.inf, r.next_pace
            if r.ahead < self.part(c) / 2:
                self.tell(now, c, r, out)

    def look(self, now: float, state: Mapping[str, Any], out: api.Actions) -> None:
        """Tell what has changed since the last look: of the gateway and of backends, and leases."""
        for name in self.told.keys() - state.keys():
            self.keep(["forget", "backend", name], out)
        for name, said in state.items():
            if self.told.get(name) != said:
                self.keep(said, out)
        self.told = dict(state)
        for c in list(self.changed.values()):
            r = self.reserve(c)
            if r is not None and not r.serial:
                self.tell(now, c, r, out)
        self.due = now + STALE_MS / 2
        out.append(api.SetTimer(STALE_MS / 2, "keep"))

    def turn(
        self,
        now: float,
        event: api.PersistenceChanged,
        customers: Mapping[str, Customer],
        state: Mapping[str, Any],
        out: api.Actions,
    ) -> None:
        """Begin to keep with a file that holds nothing, or leave off."""
        if event.final:
            for c in [customers[key] for key, r in self.reserves.items() if r.row and key in customers]:
                self.keep(c.state(), out)
        self.on, self.due = event.enabled, math.inf
        self.rows = 0
        for held in (self.reserves, self.waiting, self.changed, self.told):
            held.clear()
        if not event.enabled:
            return
        for c in sorted(customers.values(), key=lambda c: -c.filled_at):
            if self.limited(c):
                r = self.reserves[c.key] = Reserve(0.0, self.pace(c))
                self.tell(now, c, r, out)
        self.look(now, state, out)

    # ---- after a restart ----

    def begin(self, now: float, event: api.StateFileFound, out: api.Actions) -> None:
        """What the file tells of the lives before this one: when it was last written, and the restarts."""
        self.alive, self.restarts = event.last_commit_ms, event.restarts_ms
        self.believed = event.complete and 0.0 <= now - self.alive <= DOWN_MS
        if not self.believed:
            out.append(api.LogMessage(f"a downtime of {(now - self.alive) / 1000:.0f} s is not believed"))

    def restore(self, now: float, c: Customer, at: float) -> None:
        """Give a customer of a row what time has brought it since, as far as that is sure."""
        check_customer(c)
        down = now - self.alive if self.believed else 0.0
        c.filled_at = now - max(0.0, self.alive - min(c.filled_at, at) + down - LAG_MS)
        c.lease_end = min(c.lease_end, now + c.keep_ms) if self.believed else now - 1
        c.read_at = min(c.read_at, now) if self.believed else now
        c.heard, c.fresh_until = False, now + self.chance.uniform(0, SPREAD_MS)
        if not self.believed:
            c.period, c.ceiling = -2, min(c.ceiling, 0.0)

    def take_turns(self, now: float, customers: Collection[Customer]) -> None:
        """Where a whole fleet is back, who has most to spend unheard asks the counter first."""
        for place, c in enumerate(sorted(customers, key=lambda c: -c.tokens)):
            c.fresh_until = now + SPREAD_MS * (place + self.chance.random()) / len(customers)

    def first(self, now: float, c: Customer) -> None:
        """A customer without a row: it may have had a part of its units in each life that has just ended."""
        window = max(c.keep_ms, c.plan.burst_units / c.plan.rate_per_s * 1000 if c.plan.rate_per_s else 0.0)
        lives = sum(now - at < window or not self.believed for at in self.restarts)
        if lives and self.limited(c):
            taken = math.inf if lives >= MOST_RESTARTS else lives * self.part(c)
            c.tokens = max(self.settings.max_request_units, c.tokens - taken)
            c.ceiling = max(0.0, min(c.plan.ceiling_burst_units * c.top, c.ceiling) - taken)
