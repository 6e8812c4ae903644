"""Every decision of one mintford gateway. Types, events and actions: see mintford/interface.py.

A gateway knows its settings, its seed, the `now` it is handed and its own events; nothing else.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from . import interface as api
from .customers import LEASE_MS, Customer
from .durable_state import DurableState
from .recovery_ramp import RecoveryRamp
from .state_records import StateRecords, check, read_numbers
from .zones import Zones

OWED_MS = 1_500.0  # a backend put back gets a request after so long at the latest, as it may be worth using
PERIOD_MS = 15_000.0  # of a number on the counter: long, as each new one costs a call more
REFRESH_MS = 500.0  # between refreshes at least: shares follow a shift, calls stay under requests
WANTS_MS = 3_000.0  # memory of the wants
EVENLY, BY_WANTS = 0.5, 0.45  # of a ceiling: divided evenly, and by wants; the rest is for late readings
COUNT_PATIENCE = 5.0  # of a call's usual time: past what the network code waits for an answer
MET = 0.1  # units: wants of others that no rounding makes up
ALONE = 8  # customers of whom nobody else was seen to want anything: that is no chance any more
LEAST_SAID = 0.01  # units: an amount of 0 only reads
FRESH_MS, SURGE = 100.0, 5.0  # a sparse reading stands until so many quotas at once could spend what is left
FITTING_WEIGHT, CHANCE_PART = 0.1, 0.8  # of one reading; of a passed quota, which chance finds empty at times
# How refreshes thin out as calls fail, and come back: a few calls in a hundred lost on the way thin nothing.
ROOM_STEP, ROOM_CUT, ROOM_BUSY, ROOM_LEAST = 0.02, 0.9, 0.6, 0.1
END_MS = 50.0  # a request is ended this long before it expires; small beside any aim
TYPICAL_OVER = 40.0  # answers that the typical latency is the mean of
RECENT, SLOW, BAD = 0.12, 0.15, 0.3  # weight of one answer in the recent latency and a backend's two marks
MARK_MS, MARK_MEETINGS = 4_000.0, 5.0  # a mark fades to a third in this time or in so many usual gaps
ERROR_COST = 8.0  # how much failing always raises a backend's cost: clearly behind any healthy peer
GOLDEN = 0.618  # of a range, the golden section: turns of any number fall evenly over it
CHANCE = 0.25  # how far chance spreads the choice: half the cost is chosen sixteen times as often
EJECTED = 0.5  # a mark of failing from which on a backend counts as avoided: five times the cost
SUBSET, COVER = 8, 10  # backends that a gateway of a large fleet uses; gateways that each backend needs
RETRY_SHARE, RETRY_CALM, RETRY_STORE = 0.15, 0.6, 10.0  # extra attempts earned a request; when calm; the most
PATIENCE = 0.4  # of the aim: how long to wait before anything is known
LONGEST, SHORTEST = 5.0, 2.0  # typical latencies: the most a sample counts for; a bad backend's patience
SHED_AT, SHED_BAND, SHED_SPAN = 0.55, 0.5, 0.45  # of the aim: refusals begin; to all; earlier for low worth
FLOOR_OUT, LEAST_OUT = 3.0, 2.0  # always allowed out: a backend over all gateways; too few to tell anything
RATE_MS = 800.0  # memory of the rate of answers: steady, yet quick to follow a shift
CALM = 0.1  # of the aim: latency under which capacity counts as clearly spare
NEVER_RAN = {api.Outcome.FULL, api.Outcome.CONNECT, api.Outcome.IGNORED, api.Outcome.NO_ROOM}
CALLED_OFF = {api.Outcome.TIMED_OUT, api.Outcome.CANCELLED}


class Backend:
    """One backend as this gateway has seen it."""

    def __init__(self, entry: api.BackendEntry, rules: api.SafetyRules) -> None:
        self.id, self.out, self.started, self.rules = entry.backend, 0, -1.0, rules
        self.returned, self.owed_at = 0.0, math.inf  # put back by operators; a request is owed to it
        self.guessed = False  # that it came back then is only a guess
        self.begun = 0.0  # when its process began at the earliest, by this gateway's clock; 0: long ago
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        if entry.started != self.started:  # a new process: what was seen of the old one says nothing
            self.marks: dict[str, tuple[float, float]] = {}  # level and when it was set
            self.returned = 0.0 if self.guessed else self.returned
        self.zone, self.cell, self.started = entry.zone, entry.cell, entry.started
        self.ready = entry.state is api.BackendState.READY

    def begins(self, now: float, held_until: float) -> None:
        """Its process is new to the list.

        Its start is told by another machine's wall clock, and this one's may be wrong: the process began no
        later than now, and no earlier than a list that lacked it was still known to hold.
        """
        self.begun = min(now, max(self.started, held_until)) if self.started > 0 else 0.0

    def put_back(self, now: float, since: float, guessed: bool = False) -> None:
        since = min(since, now)  # it may be told by a clock that is ahead
        self.returned, self.owed_at, self.marks, self.guessed = since, since + OWED_MS, {}, guessed

    def warmth(self, now: float) -> float:
        """The least part of its capacity that it surely has."""
        begun = max(self.begun, self.returned)  # operators restart what they take out
        age = (now - begun) / max(1.0, self.rules.warm_within) if begun > 0 else 1.0
        return min(1.0, self.rules.start_capacity + (1 - self.rules.start_capacity) * age)


class Request:
    """One request that is owed a final answer."""

    def __init__(self, event: api.RequestArrived, kind: api.RequestClass, c: Customer, now: float) -> None:
        self.id, self.kind, self.customer, self.units = event.request, kind, c, event.units
        self.expires = event.expires
        self.aim_at = event.expires if event.streamed else min(event.expires, now + kind.aim)
        self.attempts, self.check_at, self.settled = 0, math.inf, False
        self.marks = "all", "class " + kind.name, "plan " + c.plan.name  # of a backend that this one bears on
        self.streamed, self.whole = event.streamed, not event.streamed  # a long value; it has come in
        self.live: set[int] = set()  # numbers of the attempts out
        self.tried: set[int] = set()
        self.ran: list[Attempt] = []  # attempts that may have run or are out, the earliest first


class Attempt:
    """One attempt of a request at a backend."""

    def __init__(self, request: Request, backend: Backend, sent_at: float) -> None:
        self.request, self.backend, self.sent_at = request, backend, sent_at  # infinite until all is sent
        self.began = False  # its long answer is being passed on


def slice_of(turn: int, backend: int, slices: int) -> int:
    digest = hashlib.blake2b(f"{turn}:{backend}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % slices


class Gateway(StateRecords):
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.top_importance = max((c.importance for c in settings.classes), default=1.0)
        self.customers: dict[str, Customer] = {}
        self.beside, self.counts, self.lags = False, True, False
        self.calls: dict[str, deque[tuple[str, int, float, str]]] = {}  # customer, period, added, request
        self.backends: dict[int, Backend] = {}
        self.held: set[int] = set()  # backends that operators took out
        self.returned: dict[int, float] = {}  # backends that they put back lately, and when
        self.subset: list[Backend] = []  # the backends that this gateway uses
        self.zones = Zones(settings, self.random)
        self.recovery_ramp = RecoveryRamp()
        self.durable_state = DurableState(
            settings, random.Random(seed)
        )  # a lot of its own: it changes nothing if off
        self.met_others = False  # wants of other gateways were read in a period of this one's
        self.read_alone: set[str] = set()  # customers that were read and showed none
        self.requests: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # out, the oldest first
        self.created = -1.0  # the time of the first event
        self.typical, self.recent, self.recent_at = 0.0, 0.0, 0.0  # mean latency of the answers, and lately
        self.samples, self.rate, self.answered_at = 0.0, 0.0, 0.0  # answers; a second
        self.fitting = 1.0  # of the requests whose quota was read lately, the part that it held
        self.counter_room = 1.0  # the part of refreshes that a crowded counter leaves room for
        self.retries, self.tidied_at, self.floor = RETRY_STORE, 0.0, 0.0
        self.handlers: dict[type, Callable[[float, Any, api.Actions], object]] = {
            api.RequestArrived: self.on_request,
            api.AttemptEnded: self.on_ended,
            api.TimerFired: self.on_timer,
            api.CounterReplied: self.on_counted,
            api.RequestWhole: self.on_whole,
            api.AttemptWritten: self.on_written,
            api.ValueBegan: self.on_began,
            api.BesideCame: self.on_beside_came,
            api.BesideSaid: self.on_beside_said,
            api.BesideLeft: self.on_beside_left,
            api.KeepingTurned: lambda now, e, o: self.durable_state.turn(
                now, e, self.customers, self.state(), o
            ),
            api.Recovered: self.on_recovered,
            api.ZoneHeld: self.on_zone_held,
            api.Kept: lambda now, event, out: self.durable_state.kept(now, event.serial, out),
            api.Restarted: lambda now, event, out: self.durable_state.begin(now, event, out),
            api.BackendsChanged: self.on_list,
            api.BackendHeld: self.on_held,
            api.RegionsChanged: lambda _, event, __: setattr(self.zones, "regions", dict(event.regions)),
            api.Outage: self.on_outage,
            api.PeerTold: self.on_peer_told,
            api.Lagging: lambda _, event, __: setattr(self, "lags", event.lags),
            api.ZoneTold: lambda now, event, _: self.zones.follow(now, event),
            api.RequestLapsed: lambda _, event, __: self.requests.pop(event.request, None),
        }  # peers' messages and begun answers change no decision

    def handle(self, now: float, event: api.Event) -> api.Actions:
        out: api.Actions = []
        if self.created < 0:
            self.created = self.tidied_at = self.answered_at = now
            if self.settings.must_ask_for_list:
                out.append(api.FollowList())
        if handler := self.handlers.get(type(event)):
            handler(now, event, out)
        out.extend(api.Remark(text) for text in self.zones.told)
        self.zones.told.clear()
        return out

    # ---- leases and buckets ----

    def fill(self, now: float, c: Customer) -> None:
        if now > c.lease_end or self.lags:
            # A lease unheard, or a gateway that acts on what is old: the safe capacity is the even share.
            c.part, c.top, c.heard = c.even, c.even, False
        passed, c.filled_at = max(0.0, now - c.filled_at) / 1000, now
        # Danger: a part of a ceiling by wants of long ago is spent by others meanwhile. It fades as wants do.
        least = c.even * (EVENLY if c.heard else 1.0)
        c.top = least + (c.top - least) * math.exp(-passed * 1000 / WANTS_MS)
        most = max(self.settings.most_units, c.plan.burst * c.part)
        c.tokens = min(most, c.tokens + passed * c.plan.rate * c.part)
        c.store = min(c.plan.burst, c.store + passed * c.plan.rate)
        c.ceiling = min(c.plan.ceiling_burst * c.top, c.ceiling + passed * c.plan.ceiling_rate * c.top)

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
        if now < c.fresh_until or self.lags or not self.settings.may_count or not c.plan.rate:
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
            self.watch(now, request, now + COUNT_PATIENCE * self.settings.count_wait, out)
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
        if c and ok and self.renew(now, c, period, amount, event.reading, held, out):
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
        c.lease_end, rate, burst = now + LEASE_MS, c.plan.rate, c.plan.burst
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
        if not last and others > max(brought + burst, self.settings.most_units):
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
            c.store = min(c.plan.burst, brought - others)
        elif others <= self.settings.most_units:
            c.store -= others if others <= c.store else 0.0
        else:
            c.chance, c.store = (brought - burst) / (others + mine), 0.0
        c.tokens = max(c.tokens, c.store * c.part)
        if c.chance == 1.0:
            c.tokens = min(c.tokens, c.store)
        c.fresh_until = max(c.fresh_until, now + c.store / (SURGE * c.plan.rate) * 1000)
        return False

    # ---- admission ----

    def on_request(self, now: float, event: api.RequestArrived, out: api.Actions) -> None:
        if now - self.tidied_at > LEASE_MS:  # forget idle customers
            kept = {k: c for k, c in self.customers.items() if c.out or now - c.filled_at <= c.keep_ms}
            self.durable_state.forget([key for key in self.customers if key not in kept], out)
            self.customers, self.tidied_at = kept, now
        left = event.expires - now
        kind = self.classes.get(event.request_class) or api.RequestClass(event.request_class, left, left)
        c = self.customer(now, event.customer, event.plan, 1 / max(1, event.spread))
        self.fill(now, c)
        request = self.requests[event.request] = Request(event, kind, c, now)
        if not self.refresh(now, request, out):
            self.admit(now, request, out)

    def admit(self, now: float, request: Request, out: api.Actions) -> None:
        """Send the request on if the lease, the guards and the backends let it, else refuse it."""
        c, kind, plan, units = request.customer, request.kind, request.customer.plan, request.units
        short = units - c.tokens if plan.rate else 0.0
        if by_store := c.sparse and c.heard and plan.rate > 0:  # past the quota, a fraction of all wants
            unread = (1 - self.counter_room) * self.fitting  # let in beside those that are read
            part = (CHANCE_PART * c.chance - unread) / self.counter_room if c.scattered else c.chance
            lucky = c.chance < 1 and self.random.random() < part
            short = 0.0 if lucky else units - c.store if c.chance == 1 else units
            self.fitting += ((short <= 0) - self.fitting) * FITTING_WEIGHT
        elif c.scattered and self.random.random() >= self.fitting**2:
            short = units  # Danger: let in unread at each of many gateways, it would be served many times.
        crowded = bool(plan.open_limit) and c.out + c.elsewhere + 1 > max(1.0, plan.open_limit * c.part)
        strain = (expected := self.time_to_answer(now)) / max(kind.aim, 1.0)
        self.retries = min(RETRY_STORE, self.retries + (RETRY_CALM if strain < CALM else RETRY_SHARE))
        returning = now < self.recovery_ramp.until
        spare = not returning and strain < CALM and plan.beyond_earns > plan.beyond_costs
        over_ceiling = bool(plan.ceiling_rate) and c.ceiling < units
        lacks, over = self.durable_state.lacks(now, c, units)
        short, over_ceiling = max(short, lacks), over_ceiling or over
        beyond = over_ceiling or ((short > 0 or crowded) and not spare)
        # Refuse early what would be answered too late; a class worth more holds out longer.
        lesser = 1 - kind.importance / self.top_importance if self.top_importance else 0.0
        band = SHED_BAND * self.random.random() if self.floor < LEAST_OUT else 0.0
        bar = SHED_AT * (1 - SHED_SPAN * lesser)
        if returning:
            bar = self.recovery_ramp.bar(now, strain, bar, lesser, self.warmth(now), self.answered_at)
        too_late = strain > bar + band or now + expected > request.aim_at
        backend = None if beyond or too_late else self.pick(now, request)
        if backend is None:
            pace = plan.rate * (1.0 if by_store else c.part)  # all of the rate fills what all share
            wait = short * 1000 / max(pace, 1e-9) if short > 0 else kind.aim * PATIENCE
            short_of = "quota" if short > 0 or crowded else "ceiling" if over_ceiling else "time"
            if returning and not beyond:  # so that those sent away don't all come back at once
                wait, short_of = self.random.uniform(wait, max(wait, self.settings.max_retry_after)), "return"
            known = beyond or too_late or returning
            return self.finish(request, out, wait, short_of if known else "backends")
        taken = units if 0 < units <= c.tokens else 0.0
        self.spend(c, taken, units, units)
        self.durable_state.spent(now, c, units, out)
        self.tell(c, out, tokens=taken, units=units, ceiling=units)
        self.send(now, request, backend, out)

    def spend(self, c: Customer, tokens: float, units: float, ceiling: float) -> None:
        c.tokens, c.ceiling = c.tokens - tokens, c.ceiling - ceiling
        c.store, c.spent = c.store - units, c.spent + units

    # ---- beside another process of this gateway, in an upgrade ----

    def on_beside_said(self, now: float, event: api.BesideSaid, out: api.Actions) -> None:
        """Take over what the other process holds. Raises ValueError for what no such process says."""
        self.beside = True
        match event.said:
            case ["spent", str(key), str(plan), *rest] if plan in self.plans and len(rest) == 6:
                even, asked, tokens, units, ceiling, away = read_numbers(rest)
                c = self.customer(now, key, plan, max(1e-3, even))
                self.fill(now, c)
                self.spend(c, tokens, units, ceiling)
                self.durable_state.spent(now, c, units, out)
                c.unsaid, c.elsewhere = c.unsaid + asked, max(0, c.elsewhere + int(away))
            case said:
                if told := self.take(now, said):
                    told.by_clock(now)

    # ---- the disk ----

    def on_recovered(self, now: float, event: api.Recovered, _: api.Actions) -> None:
        """Take over a row of an earlier life. Raises ValueError for what this program never wrote."""
        if event.said[:1] != ["customer"]:
            check(event.said)
            if self.durable_state.believed:
                self.take(now, event.said)
                self.created, self.recent_at, self.answered_at = (
                    min(now, at) for at in (self.created, self.recent_at, self.answered_at)
                )
            return
        if c := self.take(now, event.said):
            try:
                self.durable_state.restore(now, c, event.at)
            except ValueError:
                del self.customers[c.key]
                raise
            c.elsewhere = 0  # nobody is left to take the answers
            c.period = min(c.period, int(now // PERIOD_MS))
            self.fill(now, c)

    def customer(self, now: float, key: str, plan: str, even: float) -> Customer:
        """The customer of that key; a new one starts with what its gateways' even shares hold."""
        if (c := self.customers.get(key)) is None:
            of_plan = self.plans.get(plan) or api.Plan(plan)  # an unknown plan has no quota to keep
            c = Customer(key, of_plan, even, now, self.created, self.settings.most_units)
            self.customers[key] = c
            self.durable_state.first(now, c)
        return c

    def time_to_answer(self, now: float) -> float:
        """What is out over the rate of answers: how long one more request should take (Little's law).

        Danger: judged by the latency of answers, overload and its end are seen a whole queue too late. What
        is out is known at once; few swing widely by chance, so it counts less its usual swing. Where one
        gateway's few tell nothing, recent latency decides.
        """
        answer, waiting = max(1.0, self.recent * math.exp((self.recent_at - now) / MARK_MS)), 1
        for attempt in self.attempts.values():
            age = now - attempt.sent_at
            # Lost ones don't wait in any queue, and long values not yet.
            if 0 <= age < max(LONGEST * max(self.typical, self.recent), 1.0):
                answer, waiting = answer * max(1.0, age / answer) ** RECENT, waiting + 1
        if self.floor < LEAST_OUT or waiting <= self.floor:
            return answer * max(1.0, waiting / LEAST_OUT) ** 2 if self.floor < LEAST_OUT else 0.0
        rate = self.rate * math.exp((self.answered_at - now) / RATE_MS)
        return (waiting - math.sqrt(waiting)) * 1000 / max(rate, 1e-9)

    # ---- backend choice and health ----

    def on_list(self, now: float, event: api.BackendsChanged, out: api.Actions) -> None:
        if event.scope is api.ListScope.FAILED:  # the old list stays
            return out.append(api.SetTimer(self.settings.rules.drain_grace, "follow"))
        if event.scope is not api.ListScope.CHANGES:
            listed = {e.backend for e in event.entries}
            self.backends = {i: b for i, b in self.backends.items() if i in listed}
        for entry in event.entries:
            self.on_entry(now, entry, event.held_until)
        self.regroup(now)

    def on_entry(self, now: float, entry: api.BackendEntry, held_until: float) -> None:
        if entry.state is api.BackendState.GONE:
            self.backends.pop(entry.backend, None)
        elif b := self.backends.get(entry.backend):
            restarted = entry.started != b.started
            if restarted:
                self.zones.forget(b.id, b.zone)
            b.update(entry)
            if restarted:
                b.begins(now, held_until)
        else:
            b = self.backends[entry.backend] = Backend(entry, self.settings.rules)
            b.begins(now, held_until)
            if entry.backend in self.returned:
                b.put_back(now, self.returned[entry.backend])

    def on_held(self, now: float, event: api.BackendHeld, _: api.Actions) -> None:
        """Operators' word goes before the list's, and lasts until they take it back."""
        warm_at = now - self.settings.rules.warm_within
        self.returned = {i: at for i, at in self.returned.items() if at > warm_at}
        if event.out:
            self.held.add(event.backend)
            self.returned.pop(event.backend, None)
        else:
            self.held.discard(event.backend)
            self.returned[event.backend] = event.since
            if b := self.backends.get(event.backend):
                b.put_back(now, event.since)
        self.regroup(now)

    def on_zone_held(self, now: float, event: api.ZoneHeld, _: api.Actions) -> None:
        """As for a backend: operators' word goes before the list's, and what is put back counts as cold."""
        self.zones.hold(now, event.zone, event.out)
        for b in self.backends.values():
            if b.zone == event.zone and not event.out:
                self.returned[b.id] = event.since
                b.put_back(now, event.since)
        self.regroup(now)

    def on_outage(self, now: float, event: api.Outage, _: api.Actions) -> None:
        """The whole fleet lost power: so may the backends have, whatever an old list tells of their ages."""
        self.recovery_ramp.begin(now, event.back + self.settings.rules.warm_within)
        for b in self.backends.values():
            if b.started < event.since:
                b.put_back(now, event.back, guessed=True)
        self.durable_state.take_turns(now, self.customers.values())

    def on_peer_told(self, now: float, event: api.PeerTold, _: api.Actions) -> None:
        """What a peer knows all to have left of a quota: a disk that is lost or old forgets what it spent."""
        plan = self.plans.get(event.plan)
        if plan and 0 <= event.left <= plan.burst and 0 < event.even <= 1:
            c = self.customer(now, event.key, event.plan, event.even)
            self.fill(now, c)
            c.tokens, c.store = min(c.tokens, event.left * c.even), min(c.store, event.left)

    def regroup(self, now: float) -> None:
        self.floor = FLOOR_OUT * len(self.backends) / max(1, self.settings.gateways)
        self.zones.regroup(now, [(b.id, b.zone, self.usable(b)) for b in self.backends.values()])
        self.subset = self.choose_subset([b for b in self.backends.values() if self.usable(b)])

    def warmth(self, now: float) -> float:
        """Of the capacity of this gateway's backends, the part that they surely have."""
        return sum(b.warmth(now) for b in self.subset) / max(1, len(self.subset))

    def usable(self, b: Backend) -> bool:
        return b.ready and b.id not in self.held and b.zone not in self.zones.held

    def choose_subset(self, ready: list[Backend]) -> list[Backend]:
        """Few enough backends to meet each often and judge it; all of them in a small fleet.

        A round of gateways shares the backends out by hash, so each is covered once a round and a change
        moves no backend but its own. Where a slice is short, its gateway takes wider ones.
        """
        for slices in range(min(self.settings.gateways // COVER, len(ready) // SUBSET), 1, -1):
            turn, place = divmod(self.settings.index, slices)
            mine = [b for b in ready if slice_of(turn, b.id, slices) == place]
            if len(mine) >= SUBSET / 2:
                return mine + self.uncovered(ready, mine) if self.zones.several else mine
        return ready

    def uncovered(self, ready: list[Backend], mine: list[Backend]) -> list[Backend]:
        """A backend of each zone that a slice has none of, the first by a hash of this gateway's own."""
        covered, first = {b.zone for b in mine}, dict[str, tuple[int, Backend]]()
        for b in ready:
            if b.zone not in covered:
                place = slice_of(self.settings.index, b.id, 2**64)
                if b.zone not in first or place < first[b.zone][0]:
                    first[b.zone] = place, b
        return [b for _, b in first.values()]

    def mark(self, now: float, b: Backend, name: str) -> float:
        """A mark as far as it has not faded."""
        level, at = b.marks.get(name, (0.0, now))
        return level * math.exp((at - now) / self.memory())

    def memory(self) -> float:
        """The time in which a mark fades to a third; a backend that is met seldom is remembered longer."""
        gap = len(self.subset) * 1000 / max(self.rate, 0.1)
        return max(MARK_MS, min(LEASE_MS, MARK_MEETINGS * gap))

    def failing(self, now: float, b: Backend, request: Request) -> float:
        """How likely it fails this request: one class or plan may fare ill where the others are served.

        A backend that takes no work, gone or full, takes none of any class or plan. One that fails is taken
        to fail those that it has not met.
        """
        shut = self.mark(now, b, "shut")
        if (of_all := self.mark(now, b, "all")) < 0.01:
            return shut
        of_class, of_plan = (self.mark(now, b, n) if n in b.marks else of_all for n in request.marks[1:])
        return max(shut, min(1.0, of_class * of_plan / of_all))

    def cost(self, now: float, b: Backend, request: Request) -> float:
        """What an answer from this backend should take, judged by answers, failures and silence alike."""
        latency = max(1.0, self.typical + self.mark(now, b, "slow"))
        return latency * (1 + ERROR_COST * self.failing(now, b, request)) * (b.out + 1)

    def pick(self, now: float, request: Request) -> Backend | None:
        """A backend by chance, cheap ones far more often; a cold one only by the cold rule's own lot.

        Danger: sent more than it can do by all gateways together, a cold backend falls over. Each gateway
        gives it of its own requests what it surely can do of what all can, at most half of what pushes over
        one that the usual load reaches. Given less, warm ones drown in a release while cold ones idle.
        """
        may = [b for b in self.subset if self.may_go(now, request, b)]
        may = may or [b for b in self.backends.values() if self.usable(b) and self.may_go(now, request, b)]
        factors: dict[str, float] = {}
        if self.zones.several:
            if (b := self.test_of_zone(now, request) or self.granted(now, request)) is not None:
                return b
            may, factors = self.open_to(now, request, may), self.zones.factors(now)
        warm = [b for b in may if b.warmth(now) >= 1]
        if len(warm) < len(may):
            if owed := [b for b in may if b.owed_at <= now and b.warmth(now) < 1]:
                return owed[0]
            back = self.recovery_ramp if now < self.recovery_ramp.until else None
            b = self.cheapest(now, request, may, factors) if back else self.random.choice(may)
            lift = len(may) / max(1e-9, sum(o.warmth(now) for o in may))  # more where many are cold
            part = b.warmth(now) * min(lift, max(1.0, self.settings.rules.fall_multiple / 2))
            part *= back.lift if back else 1.0
            if b.warmth(now) < 1 and self.random.random() < part and self.failing(now, b, request) < 0.5:
                return b
        return self.cheapest(now, request, warm, factors) if warm else None

    def cheapest(self, now: float, request: Request, may: list[Backend], by: dict[str, float]) -> Backend:
        costs = [
            self.cost(now, b, request) * by.get(b.zone, 1.0) * self.random.expovariate(1.0) ** CHANCE
            for b in may
        ]
        return may[costs.index(min(costs))]

    def open_to(self, now: float, request: Request, may: list[Backend]) -> list[Backend]:
        """Of the backends that a request may go to, those of zones that are open to it.

        Where there is none among this gateway's own it takes others. What may have run may be repeated only
        within what its key covers: it goes even to a zone that is left.
        """
        self.zones.memory = self.memory()
        self.zones.look(now)
        if not (closed := self.zones.closed(now)):
            return may
        if kept := [b for b in may if b.zone not in closed]:
            return kept
        others = [b for b in self.backends.values() if b.zone not in closed and self.usable(b)]
        others = [b for b in others if self.may_go(now, request, b)]
        return others or [b for b in may if request.ran or not self.zones.rationed(b.zone)]

    def granted(self, now: float, request: Request) -> Backend | None:
        """A backend of a zone that the fleet returns to, in turn of those dealt to this gateway.

        Danger: the ramp asks all backends for as much; one that is younger than the zone's return bears less.
        """
        if (zone := self.zones.grants(now)) is None or zone.word is None:
            return None
        there = [b for b in self.backends.values() if b.zone == zone.name and self.usable(b)]
        may = [b for b in there if self.may_go(now, request, b) and self.failing(now, b, request) < 0.5]
        turn = zone.word.first + zone.word.part * (zone.attempts * GOLDEN % 1)  # its own range, all in turn
        b = sorted(may, key=lambda b: b.id)[min(len(may) - 1, int(turn * len(may)))] if may else None
        if b is None or self.random.random() * zone.word.share > b.warmth(now):
            return None
        zone.granted -= 1
        return b

    def test_of_zone(self, now: float, request: Request) -> Backend | None:
        """A zone that is left gets a request now and then, one that may be repeated, to see if it answers."""
        name = self.zones.to_test(now)
        if name is None or request.attempts or request.streamed or request.kind.effect is not api.Effect.SAFE:
            return None
        there = [b for b in self.backends.values() if b.zone == name and self.usable(b)]
        may = [b for b in there if b.warmth(now) >= 1 or self.zones.zones[name].word]
        if not may:
            return None
        self.zones.tested(now, name)
        return self.random.choice(may)

    # ---- attempts and retries ----

    def send(self, now: float, request: Request, b: Backend, out: api.Actions) -> None:
        b.out, b.owed_at = b.out + 1, math.inf
        self.zones.sent(now, b.zone)
        request.customer.out += 1
        if request.customer.plan.open_limit:
            self.tell(request.customer, out, open=1)
        attempt = self.attempts[request.id, request.attempts] = Attempt(
            request, b, math.inf if request.streamed else now
        )
        request.live.add(request.attempts)
        request.ran.append(attempt)
        request.tried.add(b.id)
        request.attempts += 1
        out.append(api.Send(request.id, b.id))
        self.watch(now, request, now + self.patience(now, attempt) if request.whole else math.inf, out)

    def on_whole(self, now: float, event: api.RequestWhole, out: api.Actions) -> None:
        if request := self.requests.get(event.request):
            request.whole, request.expires = True, event.expires
            request.aim_at = min(event.expires, now + request.kind.aim)
            self.watch(now, request, request.check_at, out)

    def on_written(self, now: float, event: api.AttemptWritten, out: api.Actions) -> None:
        """A long value has left: only now the backend can begin, and its time is counted from here."""
        if attempt := self.attempts.get((event.request, event.attempt)):
            attempt.sent_at = now

    def on_began(self, now: float, event: api.ValueBegan, out: api.Actions) -> None:
        """A long answer is the final one: nothing may cut it off, and its other attempts are not needed."""
        attempt = self.attempts.get((event.request, event.attempt))
        request = self.requests.pop(event.request, None)
        if attempt and request:
            self.judge(now, attempt, api.Outcome.OK)
            attempt.began = True
            request.live.discard(event.attempt)
            self.cancel_all(request, out)
            request.live.add(event.attempt)

    def patience(self, now: float, attempt: Attempt) -> float:
        """How long an answer may take before the attempt counts as lost."""
        failing = self.failing(now, attempt.backend, attempt.request)
        times = max(SHORTEST, LONGEST / (1 + ERROR_COST * failing))
        return times * self.typical if self.typical else PATIENCE * attempt.request.kind.aim

    def watch(self, now: float, request: Request, at: float, out: api.Actions) -> None:
        request.check_at = min(at, request.expires - END_MS)
        out.append(api.SetTimer(max(0.0, request.check_at - now), "r" + request.id))

    def on_timer(self, now: float, event: api.TimerFired, out: api.Actions) -> None:
        if event.token == "follow":
            out.append(api.FollowList())
        if event.token == "keep" and now >= self.durable_state.due - 1:
            self.durable_state.look(now, self.state(), out)
        request = self.requests.get(event.token[1:])
        if request is None or now < request.check_at - 1:
            return
        if now >= request.expires - END_MS - 1:
            return self.finish(request, out)  # every request held ends here at the latest
        if not request.attempts:
            return self.admit(now, request, out)  # the counter is silent
        self.watch(now, request, math.inf, out)
        for number in request.live:  # silence tells of a zone before the attempt has ended
            silent = self.attempts[request.id, number]
            if now - silent.sent_at >= self.patience(now, silent) - 1:
                self.zones.note(now, silent.backend.id, silent.backend.zone, lost=True, ended=False)
        # An attempt out far longer than usual is doubled, or called off and its outcome brings the next.
        if len(request.live) == 1 and not request.streamed and request.kind.effect is not api.Effect.UNSAFE:
            if self.settings.may_duplicate:
                self.another(now, request, out, price=1.0)
            elif self.retries >= 1 and now + self.typical < request.aim_at:
                self.cancel_all(request, out)

    def on_ended(self, now: float, event: api.AttemptEnded, out: api.Actions) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        request, never_ran = attempt.request, event.outcome in NEVER_RAN
        attempt.backend.out -= 1
        request.customer.out -= 1
        if request.customer.plan.open_limit:
            self.tell(request.customer, out, open=-1)
        request.live.remove(event.attempt)
        no_room = event.outcome is api.Outcome.NO_ROOM  # tells of this gateway, and nothing of the backend
        if not attempt.began and not no_room:
            self.judge(now, attempt, event.outcome)
        if never_ran:
            request.ran.remove(attempt)
            if attempt.backend.returned and attempt.backend.warmth(now) < 1:
                attempt.backend.owed_at = now + OWED_MS  # it has had nothing yet
        if event.settled > 0 and not request.settled:
            request.settled = True
            self.settle(request.customer, event.settled - request.units, out)
        if event.request not in self.requests:
            return
        if event.finished or event.outcome is api.Outcome.OK:
            del self.requests[request.id]
            self.cancel_all(request, out)
        elif not request.live:
            price = 0.0 if never_ran else 1.0
            if no_room:  # nor would another backend find any
                self.finish(request, out, reason="room")
            elif event.spent or not self.another(now, request, out, price):
                self.finish(request, out)

    def judge(self, now: float, attempt: Attempt, outcome: api.Outcome) -> None:
        b, lag, ok = attempt.backend, max(1.0, now - attempt.sent_at), outcome is api.Outcome.OK
        slow, overdue = self.mark(now, b, "slow"), lag >= self.patience(now, attempt)
        # Danger: one attempt lost on the way would look like a backend slow beyond use.
        capped = min(lag, LONGEST * self.typical) if self.typical else lag
        if ok or (outcome in CALLED_OFF and capped > self.typical + slow):  # it took longer yet
            b.marks["slow"] = (slow + (capped - (self.typical or lag) - slow) * SLOW, now)
        if ok or (outcome in CALLED_OFF and lag > self.recent):
            # Danger: old answers outweigh few new ones, and refusals stay. Of logarithms, as few are long.
            weight = max(RECENT, 1 - math.exp((self.recent_at - now) / MARK_MS))
            self.recent, self.recent_at = (self.recent or lag) * (lag / (self.recent or lag)) ** weight, now
        if ok:
            self.samples = min(TYPICAL_OVER, self.samples + 1)
            self.typical += (capped - self.typical) / self.samples
            self.rate = self.rate * math.exp((self.answered_at - now) / RATE_MS) + 1000 / RATE_MS
            self.answered_at = now
        if outcome not in CALLED_OFF or overdue:  # a client that left early says nothing of the backend
            shut = outcome in NEVER_RAN and outcome is not api.Outcome.IGNORED
            if outcome not in (api.Outcome.IGNORED, api.Outcome.FULL):  # a full one is there, and busy
                self.zones.note(now, b.id, b.zone, lost=not ok)
            for name in ("shut",) if shut else ("shut", *attempt.request.marks):
                bad = shut or (name != "shut" and not ok and outcome is not api.Outcome.IGNORED)
                level = self.mark(now, b, name)
                b.marks[name] = (level + (bad - level) * BAD, now)

    def another(self, now: float, request: Request, out: api.Actions, price: float) -> bool:
        """Send a further attempt if one can be in time and in the budget; what never ran is not charged."""
        in_time = now + self.typical < request.aim_at and request.attempts < self.settings.max_attempts
        backend = self.pick(now, request) if in_time and self.retries >= price else None
        if backend:
            self.retries -= price
            self.send(now, request, backend, out)
        return backend is not None

    # ---- rule guards ----

    def finish(self, request: Request, out: api.Actions, wait: float = 0.0, reason: str = "attempts") -> None:
        """The one final answer: a refusal only where a new try is known to do no harm, else a failure."""
        del self.requests[request.id]
        keyed_by_all = request.kind.effect is api.Effect.KEYED and request.kind.group is api.Group.ALL
        harmless = not request.ran or request.kind.effect is api.Effect.SAFE or keyed_by_all
        wait = wait or request.kind.aim * PATIENCE  # a client is told when to come back, whatever the reason
        refusal = api.Refuse(request.id, min(wait, self.settings.max_retry_after), reason)
        out.append(refusal if harmless else api.Fail(request.id))
        self.cancel_all(request, out)

    def cancel_all(self, request: Request, out: api.Actions) -> None:
        out.extend(api.Cancel(request.id, number) for number in request.live if self.settings.can_cancel)

    def may_go(self, now: float, request: Request, b: Backend) -> bool:
        """May this request's next attempt go to this backend, given what may have run?"""
        kind = request.kind
        if b.id in request.tried or not request.ran or kind.effect is api.Effect.SAFE:
            return b.id not in request.tried
        # Danger: an effect happening twice. Unsafe work is never sent again once it may have run, keyed work
        # only inside the group that drops the repeat, and a little before that group forgets.
        first, sent_at = request.ran[0].backend, request.ran[0].sent_at
        if kind.effect is api.Effect.UNSAFE or now - sent_at >= kind.repeat_window - END_MS:
            return False
        same_zone = first.zone == b.zone and (kind.group is not api.Group.CELL or first.cell == b.cell)
        return kind.group is api.Group.ALL or same_zone
