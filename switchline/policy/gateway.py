"""One gateway's decisions: joins their parts, and admits requests. Types, events, actions: interface.py.

A gateway knows its settings, its seed, the `now` it is handed and its own events; nothing else.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from switchline.policy import interface as api
from switchline.policy.attempts import LONGEST, PATIENCE, RATE_MS, RECENT, Attempts
from switchline.policy.backend_selection import LEAST_OUT, MARK_MS, BackendChoice
from switchline.policy.customer import LEASE_MS, Customer
from switchline.policy.entities import Backend, Request
from switchline.policy.gateway_state import RETRY_STORE
from switchline.policy.leases import PERIOD_MS, Leases
from switchline.policy.state_records import check, read_numbers

FITTING_WEIGHT, CHANCE_PART = 0.1, 0.8  # of one reading; of a passed quota, which chance finds empty at times
RETRY_SHARE, RETRY_CALM = 0.15, 0.6  # extra attempts earned a request; when calm
SHED_AT, SHED_BAND, SHED_SPAN = 0.55, 0.5, 0.45  # of the aim: refusals begin; to all; earlier for low worth
CALM = 0.1  # of the aim: latency under which capacity counts as clearly spare


class Gateway(Leases, BackendChoice, Attempts):
    """One gateway: takes events, gives actions. Joins the parts of the decisions; admits requests itself."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers: dict[type, Callable[[float, Any, api.Actions], object]] = {
            api.RequestArrived: self.on_request,
            api.AttemptEnded: self.on_ended,
            api.TimerFired: self.on_timer,
            api.CounterReplied: self.on_counted,
            api.RequestBodyReceived: self.on_whole,
            api.RequestBodySent: self.on_written,
            api.StreamedAnswerStarted: self.on_began,
            api.PeerProcessJoined: self.on_beside_came,
            api.PeerProcessMessage: self.on_beside_said,
            api.PeerProcessLeft: self.on_beside_left,
            api.PersistenceChanged: lambda now, e, o: self.durable_state.turn(
                now, e, self.customers, self.state(), o
            ),
            api.RecordRestored: self.on_recovered,
            api.ZoneOverridden: self.on_zone_held,
            api.RecordsPersisted: lambda now, event, out: self.durable_state.kept(now, event.serial, out),
            api.StateFileFound: lambda now, event, out: self.durable_state.begin(now, event, out),
            api.BackendsChanged: self.on_list,
            api.BackendOverridden: self.on_held,
            api.RegionsChanged: lambda _, event, __: setattr(self.zones, "regions", dict(event.regions)),
            api.FleetOutage: self.on_outage,
            api.PeerQuotaReport: self.on_peer_told,
            api.StalenessChanged: lambda _, event, __: setattr(self, "lags", event.stale),
            api.ZoneDirective: lambda now, event, _: self.zones.follow(now, event),
            api.RequestLapsed: lambda _, event, __: self.requests.pop(event.request, None),
        }  # peers' messages and begun answers change no decision

    def handle(self, now: float, event: api.Event) -> api.Actions:
        out: api.Actions = []
        if self.created < 0:
            self.created = self.tidied_at = self.answered_at = now
            if self.settings.must_follow_list:
                out.append(api.FollowList())
        if handler := self.handlers.get(type(event)):
            handler(now, event, out)
        out.extend(api.LogMessage(text) for text in self.zones.told)
        self.zones.told.clear()
        return out

    # ---- admission ----

    def on_request(self, now: float, event: api.RequestArrived, out: api.Actions) -> None:
        if now - self.tidied_at > LEASE_MS:  # forget idle customers
            kept = {k: c for k, c in self.customers.items() if c.out or now - c.filled_at <= c.keep_ms}
            self.durable_state.forget([key for key in self.customers if key not in kept], out)
            self.customers, self.tidied_at = kept, now
        left = event.expires_ms - now
        kind = self.classes.get(event.request_class) or api.RequestClass(event.request_class, left, left)
        c = self.customer(now, event.customer, event.plan, 1 / max(1, event.spread))
        self.fill(now, c)
        request = self.requests[event.request] = Request(event, kind, c, now)
        if not self.refresh(now, request, out):
            self.admit(now, request, out)

    def admit(self, now: float, request: Request, out: api.Actions) -> None:
        """Send the request on if the lease, the guards and the backends let it, else refuse it."""
        c, kind, plan, units = request.customer, request.kind, request.customer.plan, request.units
        short = units - c.tokens if plan.rate_per_s else 0.0
        if (
            by_store := c.sparse and c.heard and plan.rate_per_s > 0
        ):  # past the quota, a fraction of all wants
            unread = (1 - self.counter_room) * self.fitting  # let in beside those that are read
            part = (CHANCE_PART * c.chance - unread) / self.counter_room if c.scattered else c.chance
            lucky = c.chance < 1 and self.random.random() < part
            short = 0.0 if lucky else units - c.store if c.chance == 1 else units
            self.fitting += ((short <= 0) - self.fitting) * FITTING_WEIGHT
        elif c.scattered and self.random.random() >= self.fitting**2:
            short = units  # Danger: let in unread at each of many gateways, it would be served many times.
        crowded = bool(plan.max_open_requests) and c.out + c.elsewhere + 1 > max(
            1.0, plan.max_open_requests * c.part
        )
        strain = (expected := self.time_to_answer(now)) / max(kind.latency_objective_ms, 1.0)
        self.retries = min(RETRY_STORE, self.retries + (RETRY_CALM if strain < CALM else RETRY_SHARE))
        returning = now < self.recovery_ramp.until
        spare = not returning and strain < CALM and plan.overage_revenue > plan.overage_cost
        over_ceiling = bool(plan.ceiling_rate_per_s) and c.ceiling < units
        lacks, over = self.durable_state.lacks(now, c, units)
        short, over_ceiling = max(short, lacks), over_ceiling or over
        beyond = over_ceiling or ((short > 0 or crowded) and not spare)
        # Refuse early what would be answered too late; a class worth more holds out longer.
        lesser = 1 - kind.priority_weight / self.top_importance if self.top_importance else 0.0
        band = SHED_BAND * self.random.random() if self.floor < LEAST_OUT else 0.0
        bar = SHED_AT * (1 - SHED_SPAN * lesser)
        if returning:
            bar = self.recovery_ramp.bar(now, strain, bar, lesser, self.warmth(now), self.answered_at)
        too_late = strain > bar + band or now + expected > request.aim_at
        backend = None if beyond or too_late else self.pick(now, request)
        if backend is None:
            pace = plan.rate_per_s * (1.0 if by_store else c.part)  # all of the rate fills what all share
            wait = short * 1000 / max(pace, 1e-9) if short > 0 else kind.latency_objective_ms * PATIENCE
            short_of = "quota" if short > 0 or crowded else "ceiling" if over_ceiling else "time"
            if returning and not beyond:  # so that those sent away don't all come back at once
                wait, short_of = (
                    self.random.uniform(wait, max(wait, self.settings.max_retry_after_ms)),
                    "return",
                )
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

    def on_beside_said(self, now: float, event: api.PeerProcessMessage, out: api.Actions) -> None:
        """Take over what the other process holds. Raises ValueError for what no such process says."""
        self.beside = True
        match event.record:
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

    def on_recovered(self, now: float, event: api.RecordRestored, _: api.Actions) -> None:
        """Take over a row of an earlier life. Raises ValueError for what this program never wrote."""
        if event.record[:1] != ["customer"]:
            check(event.record)
            if self.durable_state.believed:
                self.take(now, event.record)
                self.created, self.recent_at, self.answered_at = (
                    min(now, at) for at in (self.created, self.recent_at, self.answered_at)
                )
            return
        if c := self.take(now, event.record):
            try:
                self.durable_state.restore(now, c, event.written_ms)
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
            c = Customer(key, of_plan, even, now, self.created, self.settings.max_request_units)
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
            return out.append(api.SetTimer(self.settings.rules.drain_grace_ms, "follow"))
        if event.scope is not api.ListScope.CHANGES:
            listed = {e.backend for e in event.entries}
            self.backends = {i: b for i, b in self.backends.items() if i in listed}
        for entry in event.entries:
            self.on_entry(now, entry, event.previous_valid_until_ms)
        self.regroup(now)

    def on_entry(self, now: float, entry: api.BackendEntry, held_until: float) -> None:
        if entry.state is api.BackendState.GONE:
            self.backends.pop(entry.backend, None)
        elif b := self.backends.get(entry.backend):
            restarted = entry.started_ms != b.started
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

    def on_held(self, now: float, event: api.BackendOverridden, _: api.Actions) -> None:
        """Operators' word goes before the list's, and lasts until they take it back."""
        warm_at = now - self.settings.rules.warm_up_ms
        self.returned = {i: at for i, at in self.returned.items() if at > warm_at}
        if event.disabled:
            self.held.add(event.backend)
            self.returned.pop(event.backend, None)
        else:
            self.held.discard(event.backend)
            self.returned[event.backend] = event.since_ms
            if b := self.backends.get(event.backend):
                b.put_back(now, event.since_ms)
        self.regroup(now)

    def on_zone_held(self, now: float, event: api.ZoneOverridden, _: api.Actions) -> None:
        """As for a backend: operators' word goes before the list's, and what is put back counts as cold."""
        self.zones.hold(now, event.zone, event.disabled)
        for b in self.backends.values():
            if b.zone == event.zone and not event.disabled:
                self.returned[b.id] = event.since_ms
                b.put_back(now, event.since_ms)
        self.regroup(now)

    def on_outage(self, now: float, event: api.FleetOutage, _: api.Actions) -> None:
        """The whole fleet lost power: so may the backends have, whatever an old list tells of their ages."""
        self.recovery_ramp.begin(now, event.recovered_ms + self.settings.rules.warm_up_ms)
        for b in self.backends.values():
            if b.started < event.since_ms:
                b.put_back(now, event.recovered_ms, guessed=True)
        self.durable_state.take_turns(now, self.customers.values())

    def on_peer_told(self, now: float, event: api.PeerQuotaReport, _: api.Actions) -> None:
        """What a peer knows all to have left of a quota: a disk that is lost or old forgets what it spent."""
        plan = self.plans.get(event.plan)
        if plan and 0 <= event.remaining_units <= plan.burst_units and 0 < event.even_share <= 1:
            c = self.customer(now, event.customer, event.plan, event.even_share)
            self.fill(now, c)
            c.tokens, c.store = (
                min(c.tokens, event.remaining_units * c.even),
                min(c.store, event.remaining_units),
            )
