from __future__ import annotations

import random

import pytest
from helpers import BASIC, World, counts, entry, refusals, sends
from lease_answers import answer

from switchline.policy import interface as api
from switchline.policy.quota.admission import VERY_SPARSE_RATIO
from switchline.policy.quota.customer import LEASE_MS
from switchline.policy.quota.lease_sizing import (
    EVEN_CEILING_RATIO,
    PERIOD_MS,
    REFRESH_MS,
    QuotaGain,
    set_remaining,
)
from switchline.policy.quota.leases import PendingCall


def drain(world: World, tries: int, gap: float = 0.0, **ask: object) -> int:
    """How many of so many tries were sent on, each answered at once."""
    sent = 0
    for _ in range(tries):
        for send in sends(world.ask(**ask)):  # type: ignore[arg-type]
            sent += 1
            world.end(send)
        world.pass_time(gap)
    return sent


def play(world: World, numbers: dict[str, float]) -> list[api.Action]:
    """Ask once for a customer of many gateways, with a counter that answers at once."""
    todo, done = world.ask(spread=20), list[api.Action]()
    while todo:
        action = todo.pop(0)
        done.append(action)
        if isinstance(action, api.AddToCounter):
            numbers[action.name] = numbers.get(action.name, 0.0) + action.amount
            todo += world.give(api.CounterReplied(action.name, api.Outcome.OK, numbers[action.name]))
    return done


def test_a_new_customer_holds_its_even_part_of_the_burst() -> None:
    assert drain(World(), 20) == 4  # burst 8 over two gateways


def test_what_the_bucket_cannot_pay_is_refused_at_once_with_a_retry_after() -> None:
    world = World()
    drain(world, 4)
    (refusal,) = refusals(world.ask())
    assert 0 < refusal.retry_after_ms <= 500


def test_the_bucket_fills_at_the_even_share() -> None:
    world = World(uses_counter=False)
    drain(world, 10)
    assert drain(world, 100, gap=100) in (9, 10, 11)  # one a second for ten seconds


def test_a_refresh_adds_all_that_was_asked_refused_requests_too() -> None:
    world = World()
    adds: list[tuple[float, api.AddToCounter]] = []
    for _ in range(100):
        for call in counts(world.ask()):
            answer(world, call, 100.0)
            adds.append((world.now, call))
        world.pass_time(50)
    waiting = world.gateway.customers.by_key["c"].unreported_units
    assert sum(call.amount for _, call in adds) + waiting == 100
    assert all(b - a >= REFRESH_MS for (a, _), (b, _) in zip(adds, adds[1:], strict=False))
    assert all(call.expires_in_ms <= 60_000 for _, call in adds)


def test_the_lease_is_this_gateways_share_of_what_all_asked() -> None:
    world, total = World(), 50.0
    for _ in range(60):  # ten a second here, forty by all: far past the quota of two
        for call in counts(world.ask()):
            total += 4 * call.amount
            answer(world, call, total)
        world.pass_time(100)
        total = total if world.now % 4000 > 100 else 50.0
    assert 0.2 < world.gateway.customers.by_key["c"].quota_share < 0.3


def test_alone_with_all_the_wants_the_lease_is_the_whole_quota() -> None:
    world, total, period = World(), 0.0, ""
    for _ in range(60):
        for call in counts(world.ask()):
            if call.amount:
                total = call.amount + (total if call.name.split(":")[0] == period else 2.0)
                period = call.name.split(":")[0]
            answer(world, call, total)
        world.pass_time(100)
    assert world.gateway.customers.by_key["c"].quota_share > 0.95


def test_a_lease_unheard_reverts_to_the_even_share() -> None:
    world = World()
    (call,) = counts(world.ask())
    answer(world, call, 3.0)
    customer = world.gateway.customers.by_key["c"]
    customer.quota_share = 0.9
    for _ in range(int(LEASE_MS // 1000)):
        for call in counts(world.ask()):
            answer(world, call, 0, api.Outcome.TIMED_OUT)
        assert customer.quota_share == 0.9, "failed refreshes keep the lease until it ends"
        world.pass_time(1000)
    world.pass_time(500)
    world.ask()
    assert customer.quota_share == 0.5


def test_one_that_is_behind_spends_its_even_share_and_tells_the_counter_nothing_until_it_is_level() -> None:
    for spread, even in ((2, 0.5), (20, 0.05)):
        world = World()
        for call in counts(world.ask(spread=spread)):
            answer(world, call, call.amount)
        customer = world.gateway.customers.by_key["c"]
        customer.quota_share, customer.tokens, said = 1.0, 8.0, customer.unreported_units
        world.give(api.StalenessChanged(True))
        taken = 0.0
        for _ in range(200):  # twenty seconds at ten a second
            actions = world.ask(spread=spread)
            assert not counts(actions) and customer.quota_share == even
            for send in sends(actions):
                taken += 1
                world.end(send)
            world.pass_time(100)
        assert taken <= 8 * even + 20 * 2 * even + 1 and customer.unreported_units == said
        world.give(api.StalenessChanged(False))
        world.pass_time(1000)
        assert counts(world.ask(spread=spread))  # and no burst of what was asked meanwhile
        assert sum(call.amount for call in counts(world.ask(spread=spread))) <= 2


def test_an_empty_counter_keeps_the_lease_until_a_period_is_whole() -> None:
    """Danger: a counter that lost its numbers looks as if nobody had asked for anything."""
    world = World()
    (call,) = counts(world.ask())
    answer(world, call, 30.0)
    customer = world.gateway.customers.by_key["c"]
    customer.quota_share, customer.tokens = 0.25, 0.0
    world.pass_time(600)
    (call,) = counts(world.ask())
    answer(world, call, call.amount + 1)
    assert customer.quota_share == 0.25 and customer.tokens <= 0.5


def test_a_reading_at_the_very_start_of_a_period_is_survived() -> None:
    """Danger: a period whose start is rounded to just after now, and just the burst asked."""
    world = World()
    world.ask()
    customer = world.gateway.customers.by_key["c"]
    world.gateway.leases.renew(12_000 - 1e-9, customer, PendingCall("c", 3, 1.0, ""), 8.0, [])
    assert customer.admit_probability == 1.0


def test_early_in_a_period_what_the_last_one_left_spent_is_read_and_taken_off() -> None:
    world = World()
    world.pass_time(PERIOD_MS - world.now)
    (call,) = counts(world.ask())
    world.give(api.CounterReplied(call.name, api.Outcome.OK, call.amount))
    read = world.log[-1][1]
    assert isinstance(read, api.AddToCounter) and read.amount == 0 and read.name != call.name
    world.give(api.CounterReplied(read.name, api.Outcome.OK, 33.0))  # 15 s of a quota of two, and 3
    assert world.gateway.customers.by_key["c"].fleet_remaining_units == 8 - 3


def test_a_sparse_customer_is_served_what_the_store_holds_and_refused_what_it_does_not() -> None:
    """Danger: a lottery at the mean refuses with half of the quota unused and lets in beyond it."""
    world, numbers = World(), dict[str, float]()
    sent = []
    for _ in range(20):
        sent.append(len(sends(play(world, numbers))))
        if len(sent) == 2:
            numbers[next(iter(numbers))] += 4.0  # another gateway's
        world.pass_time(110)
    # A burst of 8 and two a second, served in order as far as that goes; a reading old by 0.8 s at the most
    # hid the four of the other. Near its end each request is told by the store, not by lot.
    assert sent[:8] == [1] * 8 and sum(sent) <= 12
    assert sum(sent[9:]) == 2  # of 1.2 seconds


def test_the_true_units_replace_the_guess_here_and_on_the_counter() -> None:
    """Danger: a customer whose guesses are low is let in beyond its quota for as long as it asks."""
    world = World()
    (send,) = sends(world.ask())
    customer = world.gateway.customers.by_key["c"]
    store, tokens, unsaid = customer.fleet_remaining_units, customer.tokens, customer.unreported_units
    done = api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 1.0, True, actual_units=3.0)
    world.give(done)
    world.give(done)  # a repeat of the answer settles nothing twice
    assert (customer.fleet_remaining_units, customer.tokens, customer.unreported_units) == (
        store - 2,
        tokens - 2,
        unsaid + 2,
    )


def test_units_given_back_never_make_a_call_that_only_reads() -> None:
    world = World()
    (send,) = sends(world.ask())
    world.give(api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 1.0, True, actual_units=0.1))
    world.gateway.customers.by_key["c"].unreported_units = -5.0
    world.pass_time(600)
    (call,) = counts(world.ask())
    assert call.amount > 0 and -4.1 < world.gateway.customers.by_key["c"].unreported_units < -4.0


def test_a_customer_is_told_when_the_shared_store_holds_its_units() -> None:
    world, numbers = World(max_retry_after_ms=60_000.0), dict[str, float]()
    while not (refused := refusals(actions := play(world, numbers))):
        for send in sends(actions):
            world.end(send)
    (missing,) = (1 - c.fleet_remaining_units for c in world.gateway.customers.by_key.values())
    assert abs(refused[0].retry_after_ms - missing / 2 * 1000) < 1  # at the whole rate of two a second


def test_refused_wants_leave_no_debt() -> None:
    """Danger: refused wants that count as spent keep a customer out long after its store is full again."""
    world, numbers = World(), dict[str, float]()
    for gap, tries in ((100, 60), (4_000, 1)):  # five times the quota for six seconds; then a pause
        for _ in range(tries):
            world.pass_time(gap)
            actions = play(world, numbers)
    assert len(sends(actions)) == 1 and world.gateway.customers.by_key["c"].fleet_remaining_units > 6


def test_what_a_time_out_may_have_added_is_not_added_again_and_what_was_turned_away_is() -> None:
    for outcome, again in ((api.Outcome.TIMED_OUT, 1.0), (api.Outcome.QUEUE_FULL, 2.0)):
        world = World()
        (call,) = counts(world.ask())
        answer(world, call, 0, outcome)
        world.gateway.leases.counter_capacity.ratio = 1.0
        world.pass_time(600)
        (call,) = counts(world.ask())
        assert call.amount == again


def test_thinned_calls_add_up_to_what_was_asked() -> None:
    """Danger: a skipped add shrinks the total, everyone sees too few wants and grants too much."""
    world = World()
    added, asked = 0.0, 4000
    for _ in range(asked):
        world.gateway.leases.counter_capacity.ratio = 0.4
        for call in counts(world.ask(spread=50)):
            added += call.amount
            answer(world, call, 500.0)
        world.pass_time(400)
    assert 0.9 * asked < added < 1.1 * asked


def test_calls_that_find_room_stand_for_those_that_find_none_over_the_fleet() -> None:
    """Danger: each of 40 gateways meets a customer once, thins its call, and two thirds are never told."""
    asked = added = 0.0
    for index in range(40):
        world = World(gateways=40, index=index, seed=index)
        world.gateway.leases.counter_capacity.ratio = 0.3
        for number in range(50):
            asked += 1
            added += sum(call.amount for call in counts(world.ask(customer=f"c{number}", spread=40)))
    assert 0.85 * asked < added < 1.15 * asked


def test_a_fleet_leaves_a_busy_counter_room_to_answer() -> None:
    """Danger: turned away a third of the time, 40 gateways go on, and a third of the wants are never told."""
    worlds = [World(gateways=40, index=index, seed=index) for index in range(40)]
    turned = made = 0
    for tick in range(200):
        room = 16  # that the counter has in a tick; 40 are wanted
        for world in random.Random(tick).sample(worlds, 40):
            for call in counts(world.ask(customer=f"c{tick}", spread=40)):
                made += tick >= 100
                turned += tick >= 100 and room <= 0
                answer(world, call, call.amount, api.Outcome.OK if room > 0 else api.Outcome.QUEUE_FULL)
                room -= 1
            world.pass_time(100)
    assert turned <= 0.15 * made and made - turned >= 0.85 * 16 * 100


def test_what_is_turned_away_takes_back_its_own_units_alone() -> None:
    """Danger: what stood for others is said again, and stands for others once more."""
    world = World(gateways=40)
    world.gateway.leases.counter_capacity.ratio = 0.25
    while not (made := counts(world.ask(spread=40))):
        world.pass_time(300)
    assert made[0].amount == 4.0
    answer(world, made[0], 0.0, api.Outcome.QUEUE_FULL)
    assert world.gateway.customers.by_key["c"].unreported_units == 1.0


def test_a_sparse_lease_is_asked_for_by_the_request_that_needs_it() -> None:
    """Danger: spread over a hundred gateways, a local bucket of one unit each is a hundred units in all."""
    # Ten seconds of a period brought 20 units, and a whole burst before it 8 more.
    for reading, reads, sent in ((5.0, 0, 1), (25.0, 1, 1), (1e9, 0, 0)):
        world = World()
        actions = world.ask(spread=100)
        (call,) = counts(actions)
        assert not sends(actions) and not refusals(actions)
        world.give(api.CounterReplied(call.name, api.Outcome.OK, reading))
        last = [a for a in counts(a for _, a in world.log) if a != call]
        assert len(last) == reads  # how the last period ended is read only where it may matter
        for read in last:
            world.give(api.CounterReplied(read.name, api.Outcome.OK, 0.0))
        assert len(sends(a for _, a in world.log)) == sent
        assert len(refusals(a for _, a in world.log)) == 1 - sent


@pytest.mark.parametrize("others", [29.0, 60.0, 400.0])
def test_where_a_whole_burst_could_not_pay_either_the_last_period_changes_nothing(others: float) -> None:
    """Each gateway of a large fleet meets a customer once: a call less for each of its tries."""
    for ended in (0.0, 15.0, 40.0, 1e6):  # how the last period could have ended
        world = World()
        (call,) = counts(world.ask(spread=100))
        world.give(api.CounterReplied(call.name, api.Outcome.OK, others + call.amount))
        told = world.gateway.customers.by_key["c"]
        read = World()
        (call,) = counts(read.ask(spread=100))
        customer = read.gateway.customers.by_key["c"]
        brought, burst = 20.0, BASIC.burst_units - min(BASIC.burst_units, max(0.0, ended - 30.0))
        set_remaining(read.now, customer, others, call.amount, QuotaGain(brought + burst, burst), 1.0)
        assert (told.admit_probability, told.fleet_remaining_units) == (
            customer.admit_probability,
            customer.fleet_remaining_units,
        )


def test_a_first_reading_takes_off_what_was_sent_on_without_one() -> None:
    world = World(gateways=40)
    world.gateway.leases.counter_capacity.ratio = 0.0
    for _ in range(2):
        world.ask(spread=40)
    customer = world.gateway.customers.by_key["c"]
    spent = customer.spent_units
    world.gateway.leases.counter_capacity.ratio = 1.0
    (call,) = counts(world.ask(spread=40))
    answer(world, call, 18.0)  # in 10 s of two a second
    assert (
        spent == 1 and customer.fleet_remaining_units == 20 - 1 - 17 - 1
    )  # less the one before, the others' and its own


def test_a_request_waits_for_the_answer_of_a_busy_counter() -> None:
    """Danger: let in untold at each of 40 gateways, a customer far beyond its quota is served 40 bursts."""
    let_in = 0
    for index in range(40):
        world = World(gateways=40, index=index)
        (call,) = counts(world.ask(spread=40))
        world.pass_time(3 * 50.0)  # three times a call's usual time
        answer(world, call, 500.0)
        for last in counts(action for _, action in world.log)[1:]:
            answer(world, last, 0.0)
        let_in += len(sends(action for _, action in world.log))
    assert let_in <= 8


def test_a_request_that_waits_for_a_silent_counter_is_let_in() -> None:
    world = World()
    world.ask(spread=100)
    assert len(sends(world.pass_time(300))) == 1


def test_many_gateways_hold_a_flooding_customer_to_its_quota_and_let_a_calm_one_in() -> None:
    """Danger: at hundreds of gateways the even share is under one request each."""
    worlds = [World(seed=i, gateways=120, index=i) for i in range(120)]
    numbers: dict[str, float] = {}
    sent = {"calm": 0, "flood": 0}

    def play(world: World, customer: str) -> None:
        todo = world.ask(customer=customer, spread=120)
        while todo:
            action = todo.pop(0)
            if isinstance(action, api.AddToCounter):
                numbers[action.name] = numbers.get(action.name, 0.0) + action.amount
                todo += world.give(api.CounterReplied(action.name, api.Outcome.OK, numbers[action.name]))
            elif isinstance(action, api.Send):
                sent[customer] += 1
                todo += world.end(action)

    for step in range(600):  # a minute: ten a second against a quota of two, and one a second
        world = worlds[step * 37 % 120]
        world.pass_time(10_000 + step * 100 - world.now)
        play(world, "flood")
        if step % 10 == 0:
            play(world, "calm")
    assert sent["calm"] == 60
    assert 0.6 * 120 < sent["flood"] < 1.3 * 128  # two a second for a minute and a burst of eight


def test_idle_customers_are_forgotten() -> None:
    world = World()
    for i in range(500):
        for send in sends(world.ask(customer=f"once{i}")):
            world.end(send)
    world.pass_time(3 * LEASE_MS)
    world.ask()
    assert len(world.gateway.customers.by_key) == 1


def test_a_reply_for_a_forgotten_customer_is_ignored() -> None:
    world = World()
    call = counts(world.ask() + world.ask() + world.ask() + world.ask() + world.ask())[0]
    world.gateway.customers.by_key.clear()
    answer(world, call, 5.0)
    answer(world, call, 5.0)


def test_no_plan_and_no_rate_means_no_quota() -> None:
    world = World(plans=(), uses_counter=False)
    assert drain(world, 50, gap=10) == 50


def test_a_ceiling_is_split_evenly_and_starts_empty() -> None:
    """Danger: a restarted gateway that starts with a full store spends the ceiling twice."""
    world = World()
    assert not sends(world.ask(plan="firm"))
    world.pass_time(1000)  # half of twenty a second
    assert drain(world, 100, plan="firm") == 10


def test_open_attempts_are_held_to_this_gateways_part_of_the_cap() -> None:
    world = World()
    world.pass_time(10_000)
    assert len([s for _ in range(20) for s in sends(world.ask(plan="firm"))]) == 4  # eight over two


def test_beyond_quota_only_where_it_earns_and_capacity_is_spare() -> None:
    world = World(uses_counter=False)
    assert drain(world, 30, gap=1, plan="bonus") == 30
    slow = World(uses_counter=False)
    for _ in range(60):
        slow.ask(plan="basic", customer=f"x{slow.serial}")
    slow.gateway.latency.rate_per_s = 20.0  # sixty out at twenty answers a second: far from spare
    assert drain(slow, 30, plan="bonus") <= 2


def test_refreshes_thin_out_while_the_counter_fails_calls_and_come_back() -> None:
    """Danger: a crowded counter fails everybody's calls, and their number keeps it crowded."""

    def calls(world: World, outcome: api.Outcome) -> int:
        seen = 0
        for _ in range(1200):
            for call in counts(world.ask()):
                seen += 1
                answer(world, call, 2.0, outcome)
            world.pass_time(50)
        return seen

    world = World()
    well, crowded = calls(world, api.Outcome.OK), calls(world, api.Outcome.QUEUE_FULL)
    assert 0 < crowded < well * 0.7
    calls(world, api.Outcome.OK)
    calls(world, api.Outcome.OK)
    assert calls(world, api.Outcome.OK) >= well * 0.8


def test_a_few_lost_calls_thin_nothing_and_an_outage_is_soon_over() -> None:
    """Danger: thinned for good, each reading is old and the quotas are passed."""
    world = World()

    def reply(outcome: api.Outcome) -> None:
        world.pass_time(500)
        for call in counts(world.ask()):
            answer(world, call, 2.0, outcome)

    for number in range(400):  # one in ten lost
        reply(api.Outcome.TIMED_OUT if number % 10 == 9 else api.Outcome.OK)
    assert world.gateway.leases.counter_capacity.ratio > 0.85
    for _ in range(200):
        reply(api.Outcome.TIMED_OUT)
    assert world.gateway.leases.counter_capacity.ratio < 0.2
    before = world.gateway.leases.counter_capacity.ratio
    for _ in range(300):  # one in ten of them makes a call at first
        reply(api.Outcome.OK)
    assert before < 0.2 and world.gateway.leases.counter_capacity.ratio == 1


def test_the_parts_of_a_ceiling_follow_the_wants_and_stay_under_one() -> None:
    """Even parts alone refuse a customer inside its quota where most of its requests come to one gateway."""
    parts = {}
    for others in (0.0, 1.0, 9.0):  # wants of the other gateway for each of this one's
        w, total = World([entry(1)]), 0.0
        for _ in range(40):
            w.pass_time(600)
            for count in counts(w.ask(plan="firm")):
                total += count.amount * (1 + others)
                w.give(api.CounterReplied(count.name, api.Outcome.OK, total))
        c = w.gateway.customers.by_key["c"]
        parts[others] = c.ceiling_share
        assert c.ceiling_tokens <= c.plan.ceiling_burst_units * c.ceiling_share
        w.pass_time(LEASE_MS + 1)
        w.ask(plan="firm")
        assert c.ceiling_share == c.even_share == 0.5  # unheard
    assert parts[0.0] > 0.65 and parts[9.0] < 0.35
    assert parts[0.0] + EVEN_CEILING_RATIO * 0.5 <= 1 and parts[1.0] * 2 <= 1 and parts[9.0] + parts[0.0] <= 1


def read_of(world: World, reading: float) -> tuple[int, int]:
    """Requests sent and refused of one whose quota is read."""
    before = len(world.log)
    for call in counts(world.ask(customer=f"c{world.serial}", spread=40)):
        answer(world, call, reading)
    after = [action for _, action in world.log[before:]]
    return len(sends(after)), len(refusals(after))


def test_a_request_without_a_reading_is_let_in_as_often_as_those_that_were_read() -> None:
    """Danger: of a fleet's tries half find no room at the counter, and each gateway lets its first one in."""
    shares = {}
    for fits in (True, False):
        world = World(gateways=40)
        for _ in range(40):
            read_of(world, 1.0 if fits else 1e9)
            world.pass_time(10)
        world.gateway.leases.counter_capacity.ratio = 0.0
        sent = 0
        for number in range(100):
            (send, *_) = [*sends(world.ask(customer=f"u{number}", spread=40)), None]
            if send is not None:
                sent += 1
                world.end(send)
            world.pass_time(10)
        shares[fits] = sent
    assert shares[True] == 100 and shares[False] <= 10


def test_what_is_let_in_unread_is_taken_off_the_part_let_in_by_reading() -> None:
    """The parts of a quota that is passed: of those read and of those that find no room, together one."""
    let_in = {}
    for room in (1.0, 0.6):
        sent = 0
        for seed in range(300):
            world = World(gateways=40, seed=seed)
            world.gateway.leases.counter_capacity.ratio, world.gateway.admission.quota.admitted_ratio = (
                1.0,
                0.5,
            )
            (call,) = counts(world.ask(spread=40))
            world.gateway.leases.counter_capacity.ratio = room
            answer(world, call, 41.0)  # 40 others, for 20 that the time brought: about half
            sent += len(sends(action for _, action in world.log))
        let_in[room] = sent / 300
    assert abs(let_in[1.0] - VERY_SPARSE_RATIO * 20 / 41) < 0.07
    unread = (1 - 0.6) * 0.5
    assert abs(0.6 * let_in[0.6] + unread - let_in[1.0]) < 0.08
