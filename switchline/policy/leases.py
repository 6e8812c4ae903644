"""The lease of a customer: sized at each refresh by its share of all wants on the counter, spent locally."""

from __future__ import annotations

import hashlib
import math
from collections import deque

from switchline.policy import interface as api
from switchline.policy.customer import LEASE_MS, Customer
from switchline.policy.entities import NEVER_RAN, Request
from switchline.policy.gateway_state import GatewayState

PERIOD_MS = 15_000.0  # of a number on the counter: long, as each new one costs a call more
REFRESH_MS = 500.0  # between refreshes at least: shares follow a shift, calls stay under requests
WANTS_MS = 3_000.0  # memory of the wants
EVENLY, BY_WANTS = 0.5, 0.45  # of a ceiling: divided evenly, and by wants; the rest is for late readings
COUNT_PATIENCE = 5.0  # of a call's usual time: past what the network code waits for an answer
MET = 0.1  # units: wants of others that no rounding makes up
ALONE = 8  # customers of whom nobody else was seen to want anything: that is no chance any more
LEAST_SAID = 0.01  # units: an amount of 0 only reads
FRESH_MS, SURGE = 100.0, 5.0  # a sparse reading stands until so many quotas at once could spend what is left
# How refreshes thin out as calls fail, and come back: a few calls in a hundred lost on the way thin nothing.
ROOM_STEP, ROOM_CUT, ROOM_BUSY, ROOM_LEAST = 0.02, 0.9, 0.6, 0.1


class Leases(GatewayState):
    """Owns no state of its own: what of a gateway sizes and fills leases."""

    def fill(self, now: float, c: Customer) -> None:
        if now > c.lease_end or self.lags:
            # A lease unheard, or a gateway that acts on what is old: the safe capacity is the even share.
            c.part, c.top, c.heard = c.even, c.even, False
        passed, c.filled_at = max(0.0, now - c.filled_at) / 1000, now
        # Danger: a part of a ceiling by wants of long ago is spent by others meanwhile. It fades as wants do.
        least = c.even * (EVENLY if c.heard else 1.0)
        c.top = least + (c.top - least) * math.exp(-passed * 1000 / WANTS_MS)
        most = max(self.settings.max_request_units, c.plan.burst_units * c.part)
        c.tokens = min(most, c.tokens + passed * c.plan.rate_per_s * c.part)
        c.store = min(c.plan.burst_units, c.store + passed * c.plan.rate_per_s)
        c.ceiling = min(
            c.plan.ceiling_burst_units * c.top, c.ceiling + passed * c.plan.ceiling_rate_per_s * c.top
        )

    def refresh(self, now: float, request: Request, out: api.Actions) -> bool:
        """Add the units asked since the last call, refused ones too, and so learn of all that were asked.

        A sparse lease is refreshed by the request that needs it, which waits for the reply (true): a local
        bucket would be empty, or full of units that a hundred other gateways hold too.
        """
        c = request.customer
        if not self.counts:
            self.tell(c, out, asked=request.units)
            return False
        c.unsaid += 0.0 if self.lags else request.units
        if now < c.fresh_until or self.lags or not self.settings.uses_counter or not c.plan.rate_per_s:
            return False
        if self.random.random() > self.counter_room:
            # Crowded: of a sparse lease, the requests that find room stand for those that find none.
            c.unsaid -= request.units if c.sparse else 0.0
            return False
        said = max(LEAST_SAID, c.unsaid)  # units given back may outweigh those asked
        c.unsaid -= said
        said /= self.counter_room if c.sparse else 1.0
        c.fresh_until = now + (FRESH_MS if c.sparse else REFRESH_MS)
        self.count(c, int(now // PERIOD_MS), said, out, request.id if c.sparse else "")
        if c.sparse:
            self.watch(now, request, now + COUNT_PATIENCE * self.settings.counter_call_ms, out)
        return c.sparse

    def settle(self, c: Customer, more: float, out: api.Actions) -> None:
        """A quota counts the true units, which the answer tells: the guess is put right here and by all."""
        self.tell(c, out, asked=0.0 if self.counts else more, tokens=more, units=more)
        c.unsaid += more if self.counts else 0.0
        c.spent += more
        c.store -= more
        c.tokens -= more
        self.durable_state.settled(c, more)

    def count(self, c: Customer, period: int, amount: float, out: api.Actions, request: str) -> None:
        name = f"{period}:" + hashlib.blake2b(c.key.encode(), digest_size=16).hexdigest()  # keys may be long
        self.calls.setdefault(name, deque()).append((c.key, period, round(amount, 3), request))
        out.append(api.Count(name, round(amount, 3), 2 * PERIOD_MS))

    def on_counted(self, now: float, event: api.CounterReplied, out: api.Actions) -> None:
        waiting = self.calls.get(event.name)
        if not waiting:
            return
        key, period, amount, held = waiting.popleft()
        if not waiting:
            del self.calls[event.name]
        # Danger: a crowded counter fails everybody's calls, and their number keeps it crowded.
        ok, room = event.outcome is api.Outcome.OK, self.counter_room
        cut = ROOM_BUSY if event.outcome is api.Outcome.FULL else ROOM_CUT
        self.counter_room = min(1.0, room + ROOM_STEP) if ok else max(ROOM_LEAST, room * cut)
        c, request = self.customers.get(key), self.requests.get(held)
        if c and ok and self.renew(now, c, period, amount, event.total, held, out):
            return
        if c and not ok:
            c.heard = False  # what others took is not known: the lease's own bucket pays
        if c and event.outcome in NEVER_RAN:
            c.unsaid += amount * (room if c.sparse else 1.0)  # what it said of itself
        if request and not request.attempts:
            self.admit(now, request, out)

    def renew(
        self, now: float, c: Customer, period: int, amount: float, total: float, held: str, out: api.Actions
    ) -> bool:
        """Size the lease by the wants that were added, here and by all, and follow what all have left.

        True: the lease waits for how the last period ended, as the burst may not be paid back yet.
        """
        self.fill(now, c)
        self.durable_state.renewed(c)
        c.lease_end, rate, burst = now + LEASE_MS, c.plan.rate_per_s, c.plan.burst_units
        if not amount:  # how the last period ended
            others, mine, brought, read = c.begun
            if read >= 0:  # this gateway read it before, and then its store was known
                return self.share_out(now, c, others + max(0.0, total - read), mine, brought, 0.0)
            burst -= min(burst, max(0.0, total - rate * PERIOD_MS / 1000))
            return self.share_out(now, c, others, mine, brought + burst, burst)
        before, same, last = c.reading, period == c.period, c.period == period - 1
        fade, window = math.exp((c.read_at - now) / WANTS_MS), (now - c.read_at) / 1000
        c.period, c.reading, c.read_at = period, total, now
        spent, c.spent = c.spent, 0.0
        if same and total < before - 0.01:
            # Danger: the counter lost its numbers; it would look as if nobody had asked for anything.
            return False
        others = max(0.0, total - amount - (before if same else 0.0))
        if self.counts_apart(c, others):
            return self.even_share(now, c)
        if same:
            c.mine, c.all = c.mine * fade + amount, c.all * fade + amount + others
        # Danger: the parts of a quota add up to more than one while it has room; those of a ceiling may not.
        c.top = EVENLY * c.even + BY_WANTS * (c.mine / c.all if same else amount / (amount + others))
        load = min(1.0, c.all * 1000 / WANTS_MS / rate)
        c.part = 1 - (1 - min(1.0, c.mine / c.all)) * load if c.all else c.even
        c.fresh_until = now + (FRESH_MS if c.sparse else REFRESH_MS)
        if same:
            return self.share_out(now, c, others, amount, max(c.store, rate * window - spent), 0.0)
        since = max(0.0, now - period * PERIOD_MS) / 1000  # its beginning
        if c.sparse and others + amount + spent <= rate * since:
            # All wants of this period fit into what its time brought, however the last one ended.
            brought = max(rate * since - spent, c.store if last else 0.0)
            return self.share_out(now, c, others, amount, brought, 0.0)
        brought = max(c.store, rate * window - spent) if last else rate * since
        if not last and others > max(brought + burst, self.settings.max_request_units):
            # They are more than a whole burst could pay as well: that share is the same however it ended.
            return self.share_out(now, c, others, amount, brought, 0.0)
        c.begun = others, amount, brought, before if last else -1.0
        self.count(c, period - 1, 0.0, out, held)
        return True

    def counts_apart(self, c: Customer, others: float) -> bool:
        """Whether the periods here are not those of the other gateways, as this one's clock is wrong.

        The front spreads each customer over several gateways: that of so many customers nobody else was ever
        seen to want anything is no chance. One reading that shows others' wants proves the clock good.
        """
        if others >= MET:
            self.met_others = True
        if self.met_others or c.even >= 1:
            return False
        if len(self.read_alone) < ALONE:
            self.read_alone.add(c.key)
        return len(self.read_alone) >= ALONE

    def even_share(self, now: float, c: Customer) -> bool:
        """What counts apart is safe with an even share alone."""
        c.part, c.top, c.heard = c.even, c.even, False
        c.fresh_until = now + (FRESH_MS if c.sparse else REFRESH_MS)
        return False

    def share_out(
        self, now: float, c: Customer, others: float, mine: float, brought: float, burst: float
    ) -> bool:
        """What is left of the quota after some wants, as one gateway that saw them all would find it.

        Wants that fit into what the time brought were let in and are taken off. Past that, what it brought,
        less a burst that went to the first of them, over all wants is the part let in; but another gateway's
        lone request that did not fit took nothing.
        """
        c.chance, c.heard = 1.0, True
        if others <= brought:
            c.store = min(c.plan.burst_units, brought - others)
        elif others <= self.settings.max_request_units:
            c.store -= others if others <= c.store else 0.0
        else:
            c.chance, c.store = (brought - burst) / (others + mine), 0.0
        c.tokens = max(c.tokens, c.store * c.part)
        if c.chance == 1.0:
            c.tokens = min(c.tokens, c.store)
        c.fresh_until = max(c.fresh_until, now + c.store / (SURGE * c.plan.rate_per_s) * 1000)
        return False
