"""What several gateways spend together, on one clock set by hand: ceilings and cold backends."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import pytest
from helpers import entry, settings

from switchline.policy import interface as api
from switchline.policy.gateway import Gateway

ANSWER_MS = 200.0
COUNTER_MS = 20.0
CAPPED = api.Plan(
    "capped", rate_per_s=8, burst_units=15, overage_revenue=0.1, ceiling_rate_per_s=17, ceiling_burst_units=27
)
OPEN = api.Plan("open")
CALC = api.RequestClass("calc", latency_objective_ms=4_000, deadline_ms=8_000, effect=api.Effect.IDEMPOTENT)


@dataclass
class Sent:
    """A first attempt, as the fleet's books hold it."""

    at: float
    customer: str
    units: float
    backend: int


@dataclass
class Fleet:
    """Gateways with one counter and backends that answer each attempt after the same time."""

    size: int
    backends: tuple[api.BackendEntry, ...]
    seed: int = 1
    now: float = 10_000.0
    sent: list[Sent] = field(default_factory=list)
    attempts: list[Sent] = field(default_factory=list)
    totals: dict[str, float] = field(default_factory=dict)
    serial: int = 0

    def __post_init__(self) -> None:
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.asked: dict[str, tuple[str, float]] = {}
        self.tries: dict[str, int] = {}
        self.gateways: list[Gateway] = []
        for index in range(self.size):
            self.gateways.append(self.start(index))
            self.give(index, api.BackendsChanged(api.ListScope.FULL, self.backends))

    def start(self, index: int) -> Gateway:
        given = settings(
            index=index,
            gateways=self.size,
            classes=(CALC,),
            plans=(CAPPED, OPEN),
            max_request_units=4.0,
            counter_call_ms=50.0,
            max_attempts=3,
        )
        return Gateway(given, self.seed * 1_000 + index)

    def restart(self, index: int) -> None:
        self.gateways[index] = self.start(index)
        self.give(index, api.BackendsChanged(api.ListScope.FULL, self.backends))

    def later(self, delay: float, call: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, call))

    def run_until(self, end: float) -> None:
        while self.queue and self.queue[0][0] <= end:
            at, _, call = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            call()
        self.now = end

    def give(self, index: int, event: api.Event) -> None:
        gateway = self.gateways[index]
        for action in gateway.handle(self.now, event):
            self.act(index, gateway, action)

    def act(self, index: int, gateway: Gateway, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            event = api.TimerFired(action.timer)
            self.later(action.delay_ms, lambda: self.give_living(index, gateway, event))
        elif isinstance(action, api.AddToCounter):
            total = self.totals[action.name] = self.totals.get(action.name, 0.0) + action.amount
            replied = api.CounterReplied(action.name, api.Outcome.OK, total)
            self.later(COUNTER_MS, lambda: self.give_living(index, gateway, replied))
        elif isinstance(action, api.Send):
            number = self.tries.get(action.request, 0)
            self.tries[action.request] = number + 1
            customer, units = self.asked[action.request]
            made = Sent(self.now, customer, units, action.backend)
            self.attempts.append(made)
            if not number:
                self.sent.append(made)
            ended = api.AttemptEnded(action.request, number, action.backend, api.Outcome.OK, ANSWER_MS, True)
            self.later(ANSWER_MS, lambda: self.give_living(index, gateway, ended))

    def give_living(self, index: int, gateway: Gateway, event: api.Event) -> None:
        if self.gateways[index] is gateway:
            self.give(index, event)

    def ask(self, index: int, plan: api.Plan, customer: str, units: float, spread: int) -> None:
        self.serial += 1
        request = f"r{self.serial}"
        self.asked[request] = customer, units
        expires = self.now + CALC.deadline_ms
        arrived = api.RequestArrived(request, CALC.name, plan.name, customer, expires, units, spread, 0)
        self.give(index, arrived)


def lowest_store(sent: list[Sent], rate: float, burst: float) -> float:
    """The least that a customer's store has held: a store that is full at first and is filled evenly."""
    store = lowest = burst
    last = sent[0].at if sent else 0.0
    for one in sent:
        store = min(burst, store + (one.at - last) / 1_000 * rate) - one.units
        last = one.at
        lowest = min(lowest, store)
    return lowest


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(("gap", "gap_of_others", "gap_in_burst"), [(60, 40, 0), (200, 100, 10), (20, 20, 5)])
def test_a_ceiling_holds_while_traffic_shifts_between_gateways(
    seed: int, gap: float, gap_of_others: float, gap_in_burst: float
) -> None:
    """Danger: who has asked alone keeps most of the ceiling in store, and comes back after others took it."""
    chance = random.Random(seed)
    fleet = Fleet(3, tuple(entry(number) for number in range(9)), seed)
    for _ in range(8):
        alone = chance.randrange(3)
        busy = chance.uniform(1_000, 4_000)
        end = fleet.now + busy
        while fleet.now < end:
            fleet.ask(alone, CAPPED, "c", chance.choice([1.0, 2.0, 4.0]), 3)
            fleet.run_until(fleet.now + chance.expovariate(1 / gap))
        end = fleet.now + chance.uniform(1_000, 4_000)
        while fleet.now < end:
            other = chance.choice([index for index in range(3) if index != alone])
            fleet.ask(other, CAPPED, "c", chance.choice([1.0, 2.0, 4.0]), 3)
            fleet.run_until(fleet.now + chance.expovariate(1 / gap_of_others))
        for _ in range(40):
            fleet.ask(alone, CAPPED, "c", 4.0, 3)
            fleet.run_until(fleet.now + gap_in_burst)
    lowest = lowest_store(fleet.sent, CAPPED.ceiling_rate_per_s, CAPPED.ceiling_burst_units)
    assert lowest >= 0  # the rule's slack is left to what the network delays
    asked_all_the_time = gap <= 60
    least = CAPPED.rate_per_s * (fleet.now - 10_000.0) / 1_000  # what the quota alone brings
    assert not asked_all_the_time or sum(one.units for one in fleet.sent) >= least


WINDOW_MS = 3_000.0  # in which a cold backend's work is counted
WARM_RATE = 10.0  # requests of mean work a second that a warm backend can do


def allowed_work(at: float, started: float) -> float:
    """Requests of mean work that a cold backend may get in a window that begins then, chance included."""
    rules = settings().rules
    age = (at - started) / rules.warm_up_ms
    warmth = min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age)
    expected = rules.overload_multiple * warmth * WARM_RATE * WINDOW_MS / 1_000
    return expected + 2 * math.sqrt(expected) + 2


def most_over(times: list[float], started: float) -> float:
    """By how much the fullest window passes what is allowed; below 0: by how much it stays under."""
    worst = -math.inf
    for first, begin in enumerate(times):
        inside = sum(1 for at in times[first:] if at < begin + WINDOW_MS)
        worst = max(worst, inside - allowed_work(begin, started))
    return worst


@pytest.mark.parametrize("cold", [1, 4])
@pytest.mark.parametrize("gateways", [20, 30])
@pytest.mark.parametrize("seed", range(4))
def test_the_sum_of_all_gateways_never_pushes_a_cold_backend_over(
    seed: int, gateways: int, cold: int
) -> None:
    """Uneven traffic, a list that comes at different times, a gateway that restarts, a burst in any phase."""
    chance = random.Random(f"{seed} {gateways} {cold}")
    warm = tuple(entry(number) for number in range(10 - cold))
    fleet = Fleet(gateways, warm, seed)
    busyness = [chance.paretovariate(1.2) for _ in range(gateways)]

    def traffic(seconds: float, rate: float) -> None:
        end = fleet.now + seconds * 1_000
        while fleet.now < end:
            index = chance.choices(range(gateways), busyness)[0]
            fleet.ask(index, OPEN, f"c{chance.randrange(500)}", 1.0, gateways)
            fleet.run_until(fleet.now + chance.expovariate(rate / 1_000))

    usual = 0.8 * 10 * WARM_RATE
    traffic(3.0, usual * len(warm) / 10)
    started = fleet.now
    joined = tuple(entry(100 + number, started_at_ms=started) for number in range(cold))
    fleet.backends = warm + joined  # what a gateway that starts from now on is told
    told = api.BackendsChanged(api.ListScope.CHANGES, joined)
    for index in range(gateways):
        fleet.later(chance.uniform(0, 3_000), partial(fleet.give, index, told))
    traffic(chance.uniform(0.5, 4.0), usual)
    busiest = max(range(gateways), key=busyness.__getitem__)
    fleet.restart(busiest)
    traffic(chance.uniform(0.5, 3.0), usual)
    traffic(2.0, 1.5 * usual)
    traffic(5.0, usual)
    reached = 0
    for backend in joined:
        times = [one.at for one in fleet.attempts if one.backend == backend.backend]
        reached += len(times)
        assert most_over(times, started) <= 0
    assert reached >= 10 * cold  # they are put to use nevertheless
