"""Many gateways on one hand-set clock, with backends in zones that answer, fall silent or refuse."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter as Counts
from collections.abc import Callable, Iterable

from helpers import settings

from switchline.policy import interface as api
from switchline.policy.gateway import Gateway

PLANS = api.Plan("free"), api.Plan("quota", rate_per_s=4, burst_units=8, overage_cost=1)
ANSWER_MS = 50.0  # that an answer takes


class Fleet:
    """Drives `Gateway` objects alone: their requests come at random moments of a fixed seed."""

    def __init__(
        self,
        zones: dict[str, int],
        gateways: int,
        own: Callable[[int], str] = lambda index: "",
        seed: int = 1,
        **changes: object,
    ) -> None:
        self.now, self.serial, self.chance = 100_000.0, itertools.count(), random.Random(seed)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.zone_of: dict[int, str] = {}
        self.cell_of: dict[int, int] = {}
        self.mode: dict[str | int, str] = {}  # of a zone or a backend: silent, refuses, fails
        self.slow: dict[str | int, float] = {}  # times as slow
        self.work_ms = 0.0  # where set, a backend does one request after another, and each takes so long
        self.busy: dict[int, float] = {}  # until when
        self.counter: str = "answers"  # or it is lost
        self.totals: Counts[str] = Counts()
        self.sent: list[tuple[float, int, int, str]] = []  # when, gateway, backend, request
        self.made: Counts[tuple[int, str]] = Counts()  # attempts of a request
        self.ended: Counts[str] = Counts()
        self.answered: set[tuple[int, str]] = set()
        self.came: dict[tuple[int, str], float] = {}  # requests that are open
        self.refused_after: list[float] = []  # milliseconds
        self.served_after: list[float] = []
        self.remarks: list[tuple[float, int, str]] = []
        self.events: list[tuple[float, api.Event, list[api.Action]]] = []  # of the first gateway
        for number, (zone, count) in enumerate(zones.items()):
            for place in range(count):
                backend = (number + 1) * 1000 + place
                self.zone_of[backend], self.cell_of[backend] = zone, place // 2
        changes = dict(gateways=gateways, plans=PLANS, can_hedge=True, max_attempts=5) | changes
        self.gateways = [
            Gateway(settings(zone=own(index), index=index, **changes), seed * 1000 + index)
            for index in range(gateways)
        ]
        self.tell(self.zone_of)

    def tell(
        self,
        backends: Iterable[int],
        started: float = 0,
        state: api.BackendState = api.BackendState.READY,
        scope: api.ListScope = api.ListScope.CHANGES,
    ) -> None:
        entries = tuple(
            api.BackendEntry(b, self.zone_of[b], self.cell_of[b], started, state) for b in backends
        )
        for index in range(len(self.gateways)):
            self.give(index, api.BackendsChanged(scope, entries))

    def of(self, zone: str) -> list[int]:
        return [b for b, z in self.zone_of.items() if z == zone]

    # ---- the clock ----

    def later(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.serial), call))

    def run(
        self, milliseconds: float, gap: float = 100.0, kinds: tuple[str, ...] = ("view",), plan: str = "free"
    ) -> None:
        """Each gateway is asked every `gap` on average."""
        end = self.now + milliseconds
        for index in range(len(self.gateways)):
            at = self.chance.uniform(0, gap)
            while at < milliseconds:
                self.later(at, lambda index=index: self.ask(index, kinds, plan))  # type: ignore[misc]
                at += self.chance.uniform(0.5, 1.5) * gap
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    # ---- gateways ----

    def ask(self, index: int, kinds: tuple[str, ...], plan: str) -> None:
        request = f"r{next(self.serial)}"
        expires = self.now + 3000
        kind = self.chance.choice(kinds)
        self.later(3000, lambda: self.answered.add((index, request)))
        self.came[index, request] = self.now
        customer = f"c{self.chance.randrange(50)}"
        self.give(index, api.RequestArrived(request, kind, plan, customer, expires, 1.0, 1, index))

    def give(self, index: int, event: api.Event) -> None:
        actions = self.gateways[index].handle(self.now, event)
        if index == 0:
            self.events.append((self.now, event, actions))
        for action in actions:
            self.act(index, action)

    def act(self, index: int, action: api.Action) -> None:
        match action:
            case api.Send(request, backend):
                number = self.made[index, request]
                self.made[index, request] += 1
                self.sent.append((self.now, index, backend, request))
                self.meet(index, request, number, backend, self.now)
            case api.Cancel(request, number):
                self.later(0, lambda: self.end(index, request, number, -1, api.Outcome.CANCELLED, self.now))
            case api.SetTimer(delay, timer):
                self.later(delay, lambda: self.give(index, api.TimerFired(timer)))
            case api.Reject(request) | api.Fail(request):
                self.answered.add((index, request))
                self.ended[type(action).__name__] += 1
                self.refused_after.append(self.now - self.came.pop((index, request)))
            case api.AddToCounter(name, amount):
                self.count(index, name, amount)
            case api.LogMessage(text):
                self.remarks.append((self.now, index, text))

    def count(self, index: int, name: str, amount: float) -> None:
        if self.counter == "lost":
            reply = api.CounterReplied(name, api.Outcome.TIMED_OUT, 0.0)
            return self.later(120.0, lambda: self.give(index, reply))
        self.totals[name] += amount  # type: ignore[assignment]
        reply = api.CounterReplied(name, api.Outcome.OK, self.totals[name])
        self.later(2.0, lambda: self.give(index, reply))
        return None

    def meet(self, index: int, request: str, number: int, backend: int, sent_at: float) -> None:
        mode = self.mode.get(backend) or self.mode.get(self.zone_of[backend], "answers")
        slow = self.slow.get(backend) or self.slow.get(self.zone_of[backend], 1.0)
        usual = ANSWER_MS * slow * self.chance.uniform(0.5, 1.5)
        outcome, delay = {
            "answers": (api.Outcome.OK, self.work(backend) or usual),
            "silent": (api.Outcome.TIMED_OUT, 3000.0),
            "refuses": (api.Outcome.CONNECT_FAILED, 1.0),
            "fails": (api.Outcome.FAILED, 5.0),
        }[mode]
        self.later(delay, lambda: self.end(index, request, number, backend, outcome, sent_at))

    def work(self, backend: int) -> float:
        """How long an answer takes behind those that wait there."""
        if not self.work_ms:
            return 0.0
        self.busy[backend] = max(self.now, self.busy.get(backend, 0.0)) + self.work_ms
        return self.busy[backend] - self.now

    def end(
        self, index: int, request: str, number: int, backend: int, outcome: api.Outcome, sent_at: float
    ) -> None:
        attempt = self.gateways[index].attempts.in_flight.get((request, number))
        if attempt is None:
            return
        finished = outcome is api.Outcome.OK or (index, request) in self.answered
        if outcome is api.Outcome.OK and (index, request) not in self.answered:
            self.answered.add((index, request))
            self.ended["served"] += 1
            self.served_after.append(self.now - self.came.pop((index, request)))
        lag = self.now - sent_at
        self.give(index, api.AttemptEnded(request, number, attempt.backend.id, outcome, lag, finished))

    # ---- sums over the fleet ----

    def to(self, zone: str, since: float, until: float = float("inf")) -> int:
        return sum(since <= at < until and self.zone_of[b] == zone for at, _, b, _ in self.sent)

    def share(self, zone: str, since: float, until: float = float("inf")) -> float:
        return self.to(zone, since, until) / max(1, sum(since <= at < until for at, *_ in self.sent))
