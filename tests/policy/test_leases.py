from __future__ import annotations

import random

import pytest
from helpers import BASIC, GatewayHarness, counter_calls, entry, rejections, sends
from lease_answers import answer

from switchline.policy import interface as api
from switchline.policy.quota.admission import VERY_SPARSE_RATIO
from switchline.policy.quota.ceiling_share import DEMAND_CEILING_RATIO, EVEN_CEILING_RATIO
from switchline.policy.quota.customer import LEASE_MS
from switchline.policy.quota.customers import MAX_CUSTOMERS
from switchline.policy.quota.lease_sizing import (
    PERIOD_MS,
    REFRESH_MS,
    QuotaGain,
    set_remaining,
)
from switchline.policy.quota.leases import PendingCall


def drain(world: GatewayHarness, tries: int, gap: float = 0.0, **ask: object) -> int:
    """Make requests `gap` ms apart, answer each at once, and return how many were sent to a backend."""
    sent = 0
    for _ in range(tries):
        for send in sends(world.ask(**ask)):  # type: ignore[arg-type]
            sent += 1
            world.end_attempt(send)
        world.pass_time(gap)
    return sent


def ask_with_counter(world: GatewayHarness, numbers: dict[str, float]) -> list[api.Action]:
    """Make a request of a customer of 20 gateways with a counter that replies at once; return all actions."""
    pending, done = world.ask(spread=20), list[api.Action]()
    while pending:
        action = pending.pop(0)
        done.append(action)
        if isinstance(action, api.AddToCounter):
            numbers[action.name] = numbers.get(action.name, 0.0) + action.amount
            pending += world.give(api.CounterReplied(action.name, api.Outcome.OK, numbers[action.name]))
    return done


def refresh(world: GatewayHarness, totals: dict[str, float], others: float) -> None:
    """Make a request with a counter that replies at once; `others` units elsewhere for each one here."""
    calls = counter_calls(world.ask(plan="firm"))
    while calls:
        call = calls.pop()
        totals[call.name] = totals.get(call.name, 0.0) + call.amount * (1 + others)
        calls += counter_calls(world.give(api.CounterReplied(call.name, api.Outcome.OK, totals[call.name])))


def test_a_new_customer_gets_its_even_share_of_the_burst() -> None:
    assert drain(GatewayHarness(), 20) == 4  # burst 8 over two gateways


def test_a_request_beyond_the_bucket_is_rejected_at_once_with_a_retry_after() -> None:
    world = GatewayHarness()
    drain(world, 4)
    (refusal,) = rejections(world.ask())
    assert 0 < refusal.retry_after_ms <= 500


def test_the_bucket_fills_at_the_even_share() -> None:
    world = GatewayHarness(uses_counter=False)
    drain(world, 10)
    assert drain(world, 100, gap=100) in (9, 10, 11)  # one request a second for ten seconds


def test_a_refresh_reports_all_requested_units_including_rejected_ones() -> None:
    world = GatewayHarness()
    reports: list[tuple[float, api.AddToCounter]] = []
    for _ in range(100):
        for call in counter_calls(world.ask()):
            answer(world, call, 100.0)
            reports.append((world.now_ms, call))
        world.pass_time(50)
    waiting = world.gateway.customers.by_key["c"].unreported_units
    assert sum(call.amount for _, call in reports) + waiting == 100
    assert all(b - a >= REFRESH_MS for (a, _), (b, _) in zip(reports, reports[1:], strict=False))
    assert all(call.expires_in_ms <= 60_000 for _, call in reports)


def test_the_lease_is_this_gateways_share_of_all_demand() -> None:
    world, total = GatewayHarness(), 50.0
    for _ in range(60):  # ten a second here, forty at all gateways: far over the quota of two
        for call in counter_calls(world.ask()):
            total += 4 * call.amount
            answer(world, call, total)
        world.pass_time(100)
        total = total if world.now_ms % 4000 > 100 else 50.0
    assert 0.2 < world.gateway.customers.by_key["c"].quota_share < 0.3


def test_the_lease_is_the_whole_quota_if_all_demand_is_at_this_gateway() -> None:
    world, total, period = GatewayHarness(), 0.0, ""
    for _ in range(60):
        for call in counter_calls(world.ask()):
            if call.amount:
                total = call.amount + (total if call.name.split(":")[0] == period else 2.0)
                period = call.name.split(":")[0]
            answer(world, call, total)
        world.pass_time(100)
    assert world.gateway.customers.by_key["c"].quota_share > 0.95


def test_an_expired_lease_reverts_to_the_even_share() -> None:
    world = GatewayHarness()
    (call,) = counter_calls(world.ask())
    answer(world, call, 3.0)
    customer = world.gateway.customers.by_key["c"]
    customer.quota_share = 0.9
    for _ in range(int(LEASE_MS // 1000)):
        for call in counter_calls(world.ask()):
            answer(world, call, 0, api.Outcome.TIMED_OUT)
        assert customer.quota_share == 0.9, "failed refreshes keep the lease until it expires"
        world.pass_time(1000)
    world.pass_time(500)
    world.ask()
    assert customer.quota_share == 0.5


def test_a_stale_gateway_spends_its_even_share_and_makes_no_counter_calls_until_up_to_date() -> None:
    for spread, even in ((2, 0.5), (20, 0.05)):
        world = GatewayHarness()
        for call in counter_calls(world.ask(spread=spread)):
            answer(world, call, call.amount)
        customer = world.gateway.customers.by_key["c"]
        customer.quota_share, customer.tokens, unreported = 1.0, 8.0, customer.unreported_units
        world.give(api.StalenessChanged(True))
        sent = 0.0
        for _ in range(200):  # twenty seconds at ten requests a second
            actions = world.ask(spread=spread)
            assert not counter_calls(actions) and customer.quota_share == even
            for send in sends(actions):
                sent += 1
                world.end_attempt(send)
            world.pass_time(100)
        assert sent <= 8 * even + 20 * 2 * even + 1 and customer.unreported_units == unreported
        world.give(api.StalenessChanged(False))
        world.pass_time(1000)
        assert counter_calls(world.ask(spread=spread))  # without the units that were requested while stale
        assert sum(call.amount for call in counter_calls(world.ask(spread=spread))) <= 2


def test_a_counter_that_lost_its_numbers_does_not_change_the_lease() -> None:
    """Guards against a counter that lost its numbers, which looks as if there had been no demand."""
    world = GatewayHarness()
    (call,) = counter_calls(world.ask())
    answer(world, call, 30.0)
    customer = world.gateway.customers.by_key["c"]
    customer.quota_share, customer.tokens = 0.25, 0.0
    world.pass_time(600)
    (call,) = counter_calls(world.ask())
    answer(world, call, call.amount + 1)
    assert customer.quota_share == 0.25 and customer.tokens <= 0.5


def test_a_reading_just_before_the_start_of_its_period_is_accepted() -> None:
    """Guards against a period whose start is rounded to just after now, with exactly the burst requested."""
    world = GatewayHarness()
    world.ask()
    customer = world.gateway.customers.by_key["c"]
    world.gateway.leases.renew(12_000 - 1e-9, customer, PendingCall("c", 3, 1.0, ""), 8.0, [])
    assert customer.admit_probability == 1.0


def test_early_in_a_period_the_overspending_of_the_last_one_is_read_and_subtracted() -> None:
    world = GatewayHarness()
    world.pass_time(PERIOD_MS - world.now_ms)
    (call,) = counter_calls(world.ask())
    world.give(api.CounterReplied(call.name, api.Outcome.OK, call.amount))
    read = world.log[-1][1]
    assert isinstance(read, api.AddToCounter) and read.amount == 0 and read.name != call.name
    world.give(api.CounterReplied(read.name, api.Outcome.OK, 33.0))  # 15 s of a quota of two, and 3
    assert world.gateway.customers.by_key["c"].fleet_remaining_units == 8 - 3


def test_a_sparse_customer_is_served_up_to_the_fleets_remaining_units_and_then_rejected() -> None:
    """Guards against random admission, which rejects with half the quota unused and admits beyond it."""
    world, numbers = GatewayHarness(), dict[str, float]()
    sent = []
    for _ in range(20):
        sent.append(len(sends(ask_with_counter(world, numbers))))
        if len(sent) == 2:
            numbers[next(iter(numbers))] += 4.0  # demand of another gateway
        world.pass_time(110)
    # A burst of 8 and two a second are served in order; a reading that is at most 0.8 s old did not show the
    # four units of the other gateway. Near the end, the remaining units decide, not chance.
    assert sent[:8] == [1] * 8 and sum(sent) <= 12
    assert sum(sent[9:]) == 2  # the refill of 1.2 seconds


def test_the_actual_units_replace_the_estimate_here_and_on_the_counter() -> None:
    """Guards against a customer with low estimates that is admitted beyond its quota all the time."""
    world = GatewayHarness()
    (send,) = sends(world.ask())
    customer = world.gateway.customers.by_key["c"]
    remaining, tokens, unreported = customer.fleet_remaining_units, customer.tokens, customer.unreported_units
    done = api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 1.0, True, actual_units=3.0)
    world.give(done)
    world.give(done)  # a repeated answer does not correct the units again
    assert (customer.fleet_remaining_units, customer.tokens, customer.unreported_units) == (
        remaining - 2,
        tokens - 2,
        unreported + 2,
    )


def test_a_negative_unreported_amount_never_makes_a_read_only_call() -> None:
    world = GatewayHarness()
    (send,) = sends(world.ask())
    world.give(api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 1.0, True, actual_units=0.1))
    world.gateway.customers.by_key["c"].unreported_units = -5.0
    world.pass_time(600)
    (call,) = counter_calls(world.ask())
    assert call.amount > 0 and -4.1 < world.gateway.customers.by_key["c"].unreported_units < -4.0


def test_retry_after_is_the_time_until_the_fleets_quota_has_the_units() -> None:
    world, numbers = GatewayHarness(max_retry_after_ms=60_000.0), dict[str, float]()
    while not (refused := rejections(actions := ask_with_counter(world, numbers))):
        for send in sends(actions):
            world.end_attempt(send)
    (missing,) = (1 - c.fleet_remaining_units for c in world.gateway.customers.by_key.values())
    assert abs(refused[0].retry_after_ms - missing / 2 * 1000) < 1  # at the whole rate of two a second


def test_rejected_requests_do_not_count_as_spent() -> None:
    """Guards against rejected requests that count as spent, so that a refilled quota still rejects."""
    world, numbers = GatewayHarness(), dict[str, float]()
    for gap, tries in ((100, 60), (4_000, 1)):  # five times the quota for six seconds, then a pause
        for _ in range(tries):
            world.pass_time(gap)
            actions = ask_with_counter(world, numbers)
    assert len(sends(actions)) == 1 and world.gateway.customers.by_key["c"].fleet_remaining_units > 6


def test_units_are_reported_again_after_a_refused_counter_call_but_not_after_a_timeout() -> None:
    for outcome, reported_units in ((api.Outcome.TIMED_OUT, 1.0), (api.Outcome.QUEUE_FULL, 2.0)):
        world = GatewayHarness()
        (call,) = counter_calls(world.ask())
        answer(world, call, 0, outcome)
        world.gateway.leases.counter_capacity.ratio = 1.0
        world.pass_time(600)
        (call,) = counter_calls(world.ask())
        assert call.amount == reported_units


def test_a_reduced_number_of_calls_still_reports_all_requested_units() -> None:
    """Guards against skipped reports: the total is too low and all gateways admit too much."""
    world = GatewayHarness()
    reported, asked = 0.0, 4000
    for _ in range(asked):
        world.gateway.leases.counter_capacity.ratio = 0.4
        for call in counter_calls(world.ask(spread=50)):
            reported += call.amount
            answer(world, call, 500.0)
        world.pass_time(400)
    assert 0.9 * asked < reported < 1.1 * asked


def test_calls_that_are_sent_are_scaled_up_for_those_that_are_skipped_over_the_fleet() -> None:
    """Guards against lost demand: 40 gateways get one request each, and two thirds skip their only call."""
    asked = reported = 0.0
    for index in range(40):
        world = GatewayHarness(gateways=40, index=index, seed=index)
        world.gateway.leases.counter_capacity.ratio = 0.3
        for number in range(50):
            asked += 1
            reported += sum(
                call.amount for call in counter_calls(world.ask(customer=f"c{number}", spread=40))
            )
    assert 0.85 * asked < reported < 1.15 * asked


def test_a_fleet_reduces_its_calls_to_the_capacity_of_a_busy_counter() -> None:
    """Guards against lost demand: 40 gateways don't reduce their calls while a third of them is refused."""
    worlds = [GatewayHarness(gateways=40, index=index, seed=index) for index in range(40)]
    refused = made = 0
    for tick in range(200):
        capacity = 16  # calls that the counter takes in a tick, of 40
        for world in random.Random(tick).sample(worlds, 40):
            for call in counter_calls(world.ask(customer=f"c{tick}", spread=40)):
                made += tick >= 100
                refused += tick >= 100 and capacity <= 0
                answer(world, call, call.amount, api.Outcome.OK if capacity > 0 else api.Outcome.QUEUE_FULL)
                capacity -= 1
            world.pass_time(100)
    assert refused <= 0.15 * made and made - refused >= 0.85 * 16 * 100


def test_a_refused_scaled_call_restores_only_its_own_units() -> None:
    """Guards against a scaled amount that is reported again and scaled once more."""
    world = GatewayHarness(gateways=40)
    world.gateway.leases.counter_capacity.ratio = 0.25
    while not (calls := counter_calls(world.ask(spread=40))):
        world.pass_time(300)
    assert calls[0].amount == 4.0
    answer(world, calls[0], 0.0, api.Outcome.QUEUE_FULL)
    assert world.gateway.customers.by_key["c"].unreported_units == 1.0


def test_a_request_of_a_sparse_customer_waits_for_a_reading_of_the_counter() -> None:
    """Guards against a hundred gateways that each admit one unit locally, a hundred units in all."""
    # Ten seconds of a period refilled 20 units, and a whole burst before it adds 8 more.
    for reading, read_count, sent_count in ((5.0, 0, 1), (25.0, 1, 1), (1e9, 0, 0)):
        world = GatewayHarness()
        actions = world.ask(spread=100)
        (call,) = counter_calls(actions)
        assert not sends(actions) and not rejections(actions)
        world.give(api.CounterReplied(call.name, api.Outcome.OK, reading))
        final_reads = [a for a in counter_calls(a for _, a in world.log) if a != call]
        assert len(final_reads) == read_count  # the last period's total is read only if it may matter
        for read in final_reads:
            world.give(api.CounterReplied(read.name, api.Outcome.OK, 0.0))
        assert len(sends(a for _, a in world.log)) == sent_count
        assert len(rejections(a for _, a in world.log)) == 1 - sent_count


@pytest.mark.parametrize("others", [29.0, 60.0, 400.0])
def test_demand_beyond_a_whole_burst_makes_the_last_period_irrelevant(others: float) -> None:
    """Each gateway of a large fleet gets one request of a customer, so this saves a call for each request."""
    for last_total in (0.0, 15.0, 40.0, 1e6):  # possible totals of the last period
        world = GatewayHarness()
        (call,) = counter_calls(world.ask(spread=100))
        world.give(api.CounterReplied(call.name, api.Outcome.OK, others + call.amount))
        without_total = world.gateway.customers.by_key["c"]
        other = GatewayHarness()
        (call,) = counter_calls(other.ask(spread=100))
        customer = other.gateway.customers.by_key["c"]
        refill, burst = 20.0, BASIC.burst_units - min(BASIC.burst_units, max(0.0, last_total - 30.0))
        set_remaining(other.now_ms, customer, others, call.amount, QuotaGain(refill + burst, burst), 1.0)
        assert (without_total.admit_probability, without_total.fleet_remaining_units) == (
            customer.admit_probability,
            customer.fleet_remaining_units,
        )


def test_a_first_reading_subtracts_what_was_sent_without_one() -> None:
    world = GatewayHarness(gateways=40)
    world.gateway.leases.counter_capacity.ratio = 0.0
    for _ in range(2):
        world.ask(spread=40)
    customer = world.gateway.customers.by_key["c"]
    spent = customer.spent_units
    world.gateway.leases.counter_capacity.ratio = 1.0
    (call,) = counter_calls(world.ask(spread=40))
    answer(world, call, 18.0)  # after 10 s at two a second
    # The refill of 20, less the unit before, the others' 17 and its own.
    assert spent == 1 and customer.fleet_remaining_units == 20 - 1 - 17 - 1


def test_a_request_waits_for_the_reply_of_a_slow_counter() -> None:
    """Guards against 40 bursts for a customer far over its quota, one at each gateway without a reading."""
    admitted = 0
    for index in range(40):
        world = GatewayHarness(gateways=40, index=index)
        (call,) = counter_calls(world.ask(spread=40))
        world.pass_time(3 * 50.0)  # three times the usual duration of a call
        answer(world, call, 500.0)
        for last in counter_calls(action for _, action in world.log)[1:]:
            answer(world, last, 0.0)
        admitted += len(sends(action for _, action in world.log))
    assert admitted <= 8


def test_a_request_is_admitted_if_the_counter_does_not_reply() -> None:
    world = GatewayHarness()
    world.ask(spread=100)
    assert len(sends(world.pass_time(300))) == 1


def test_many_gateways_limit_a_flooding_customer_to_its_quota_and_admit_a_calm_one() -> None:
    """With hundreds of gateways, the even share of each is less than one request."""
    worlds = [GatewayHarness(seed=i, gateways=120, index=i) for i in range(120)]
    numbers: dict[str, float] = {}
    sent = {"calm": 0, "flood": 0}

    def ask_and_answer(world: GatewayHarness, customer: str) -> None:
        pending = world.ask(customer=customer, spread=120)
        while pending:
            action = pending.pop(0)
            if isinstance(action, api.AddToCounter):
                numbers[action.name] = numbers.get(action.name, 0.0) + action.amount
                pending += world.give(api.CounterReplied(action.name, api.Outcome.OK, numbers[action.name]))
            elif isinstance(action, api.Send):
                sent[customer] += 1
                pending += world.end_attempt(action)

    for step in range(600):  # a minute of ten requests a second (quota: two) and of one a second
        world = worlds[step * 37 % 120]
        world.pass_time(10_000 + step * 100 - world.now_ms)
        ask_and_answer(world, "flood")
        if step % 10 == 0:
            ask_and_answer(world, "calm")
    assert sent["calm"] == 60
    assert 0.6 * 120 < sent["flood"] < 1.3 * 128  # two a second for a minute and a burst of eight


def test_idle_customers_are_removed() -> None:
    world = GatewayHarness()
    for i in range(500):
        for send in sends(world.ask(customer=f"once{i}")):
            world.end_attempt(send)
    world.pass_time(3 * LEASE_MS)
    world.ask()
    assert len(world.gateway.customers.by_key) == 1


# Guards against: a client that names ever new customers fills the memory (rule on lost requests, picture b).
def test_beyond_the_maximum_customers_that_were_asked_for_once_are_removed_first() -> None:
    world = GatewayHarness(uses_counter=False)
    for _ in range(2):
        world.ask(customer="regular", plan="firm")
    for number in range(MAX_CUSTOMERS + 1_000):
        (rejection,) = rejections(world.ask(customer=f"n{number}", plan="firm"))  # its ceiling starts empty
    customers = world.gateway.customers.by_key
    assert len(customers) <= MAX_CUSTOMERS and "regular" in customers and "n0" not in customers


def test_removed_customers_do_not_come_back_with_a_full_ceiling() -> None:
    world = GatewayHarness(uses_counter=False)
    world.pass_time(10_000)  # the ceiling of a customer that is asked for now is full
    assert drain(world, 2, plan="firm", customer="spent") == 2
    for number in range(2 * MAX_CUSTOMERS):
        world.ask(customer=f"n{number // 2}", plan="firm")
    assert "spent" not in world.gateway.customers.by_key
    assert not drain(world, 2, plan="firm", customer="spent")


def test_a_reply_for_a_removed_customer_is_ignored() -> None:
    world = GatewayHarness()
    call = counter_calls(world.ask() + world.ask() + world.ask() + world.ask() + world.ask())[0]
    world.gateway.customers.by_key.clear()
    answer(world, call, 5.0)
    answer(world, call, 5.0)


def test_no_plan_and_no_rate_means_no_quota() -> None:
    world = GatewayHarness(plans=(), uses_counter=False)
    assert drain(world, 50, gap=10) == 50


def test_a_ceiling_is_divided_evenly_and_starts_empty() -> None:
    """Guards against a restarted gateway that starts with a full bucket and spends the ceiling twice."""
    world = GatewayHarness(uses_counter=False)
    assert not sends(world.ask(plan="firm"))
    world.pass_time(1000)  # half of twenty a second
    assert drain(world, 100, plan="firm") == 10


# Guards against: a whole even share without a reading, beside others' shares by demand (review case 10).
def test_without_a_reading_a_gateway_uses_only_the_part_of_a_ceiling_that_is_divided_evenly() -> None:
    world = GatewayHarness()
    assert not sends(world.ask(plan="firm"))
    world.pass_time(1000)  # a quarter of twenty a second
    assert drain(world, 100, plan="firm") == 5


# Guards against: a gateway with a reading that fails takes back the even part that it gave others by demand.
def test_a_failed_call_to_the_counter_raises_no_share_of_a_ceiling() -> None:
    world = GatewayHarness()
    (call,) = counter_calls(world.ask(plan="firm"))
    answer(world, call, 100.0)
    customer = world.gateway.customers.by_key["c"]
    shares = []
    for _ in range(10):
        world.pass_time(REFRESH_MS)
        for call in counter_calls(world.ask(plan="firm")):
            answer(world, call, 0.0, api.Outcome.TIMED_OUT)
        shares.append(customer.ceiling_share)
    assert max(shares) <= EVEN_CEILING_RATIO * customer.even_share + 0.01


# Guards against: the first gateway that calls in a period takes all of a ceiling's part by demand.
def test_a_share_of_a_ceiling_grows_in_a_new_period_only_with_the_last_ones_final_total() -> None:
    world, totals = GatewayHarness(now_ms=4 * PERIOD_MS - 6_600), dict[str, float]()
    for _ in range(10):
        world.pass_time(600)
        refresh(world, totals, others=9)
    customer = world.gateway.customers.by_key["c"]
    share = customer.ceiling_share
    world.pass_time(700)
    (call,) = counter_calls(world.ask(plan="firm"))
    (final_call,) = counter_calls(world.give(api.CounterReplied(call.name, api.Outcome.OK, call.amount)))
    assert customer.ceiling_share <= share  # nobody else has called in this period yet
    answer(world, final_call, totals[final_call.name] + 9.0)
    demand_share = (customer.ceiling_share - EVEN_CEILING_RATIO * 0.5) / DEMAND_CEILING_RATIO
    assert demand_share == pytest.approx(0.1, abs=0.05)


def test_attempts_in_flight_are_limited_to_this_gateways_share() -> None:
    world = GatewayHarness()
    world.pass_time(10_000)
    # A limit of eight is divided by two gateways.
    assert len([s for _ in range(20) for s in sends(world.ask(plan="firm"))]) == 4


def test_requests_beyond_the_quota_are_admitted_only_if_profitable_and_capacity_is_spare() -> None:
    world = GatewayHarness(uses_counter=False)
    assert drain(world, 30, gap=1, plan="bonus") == 30
    slow = GatewayHarness(uses_counter=False)
    for _ in range(60):
        slow.ask(plan="basic", customer=f"x{slow.request_count}")
    slow.gateway.latency.rate_per_s = 20.0  # sixty in flight at twenty answers a second: no spare capacity
    assert drain(slow, 30, plan="bonus") <= 2


def test_refreshes_are_reduced_while_the_counter_fails_and_restored_afterwards() -> None:
    """Guards against an overloaded counter that fails all calls while their number keeps it overloaded."""

    def count_calls(world: GatewayHarness, outcome: api.Outcome) -> int:
        made = 0
        for _ in range(1200):
            for call in counter_calls(world.ask()):
                made += 1
                answer(world, call, 2.0, outcome)
            world.pass_time(50)
        return made

    world = GatewayHarness()
    healthy, failing = count_calls(world, api.Outcome.OK), count_calls(world, api.Outcome.QUEUE_FULL)
    assert 0 < failing < healthy * 0.7
    count_calls(world, api.Outcome.OK)
    count_calls(world, api.Outcome.OK)
    assert count_calls(world, api.Outcome.OK) >= healthy * 0.8


def test_a_few_lost_calls_reduce_no_refreshes_and_an_outage_is_soon_recovered_from() -> None:
    """Guards against refreshes that stay reduced: readings are old and quotas are exceeded."""
    world = GatewayHarness()

    def reply(outcome: api.Outcome) -> None:
        world.pass_time(500)
        for call in counter_calls(world.ask()):
            answer(world, call, 2.0, outcome)

    for number in range(400):  # one call in ten is lost
        reply(api.Outcome.TIMED_OUT if number % 10 == 9 else api.Outcome.OK)
    assert world.gateway.leases.counter_capacity.ratio > 0.85
    for _ in range(200):
        reply(api.Outcome.TIMED_OUT)
    assert world.gateway.leases.counter_capacity.ratio < 0.2
    before = world.gateway.leases.counter_capacity.ratio
    for _ in range(300):  # at first only one request in ten makes a call
        reply(api.Outcome.OK)
    assert before < 0.2 and world.gateway.leases.counter_capacity.ratio == 1


def test_the_shares_of_a_ceiling_follow_demand_and_add_up_to_at_most_one() -> None:
    """Even shares would reject a customer within its quota if most of its requests arrive at one gateway."""
    shares = {}
    for others in (0.0, 1.0, 9.0):  # demand of the other gateway per unit of this one's
        world, totals = GatewayHarness([entry(1)]), dict[str, float]()
        for _ in range(40):
            world.pass_time(600)
            refresh(world, totals, others)
        customer = world.gateway.customers.by_key["c"]
        shares[others] = customer.ceiling_share
        assert customer.ceiling_tokens <= customer.plan.ceiling_burst_units * customer.ceiling_share
        world.pass_time(LEASE_MS + 1)
        world.ask(plan="firm")
        expired_share = customer.ceiling_share
        assert expired_share == EVEN_CEILING_RATIO * customer.even_share == 0.25
    assert shares[0.0] > 0.65 and shares[9.0] < 0.35
    assert (
        shares[0.0] + EVEN_CEILING_RATIO * 0.5 <= 1
        and shares[1.0] * 2 <= 1
        and shares[9.0] + shares[0.0] <= 1
        and shares[0.0] + expired_share <= 1  # the other gateway's lease may have expired
    )


def ask_with_reading(world: GatewayHarness, reading: float) -> tuple[int, int]:
    """Make a request that waits for this reading; return the numbers of attempts sent and of rejections."""
    before = len(world.log)
    for call in counter_calls(world.ask(customer=f"c{world.request_count}", spread=40)):
        answer(world, call, reading)
    after = [action for _, action in world.log[before:]]
    return len(sends(after)), len(rejections(after))


def test_requests_without_a_reading_are_admitted_as_often_as_those_with_one() -> None:
    """Guards against gateways that admit their first request when half of the counter calls are skipped."""
    sent_by_fit = {}
    for fits in (True, False):
        world = GatewayHarness(gateways=40)
        for _ in range(40):
            ask_with_reading(world, 1.0 if fits else 1e9)
            world.pass_time(10)
        world.gateway.leases.counter_capacity.ratio = 0.0
        sent = 0
        for number in range(100):
            (send, *_) = [*sends(world.ask(customer=f"u{number}", spread=40)), None]
            if send is not None:
                sent += 1
                world.end_attempt(send)
            world.pass_time(10)
        sent_by_fit[fits] = sent
    assert sent_by_fit[True] == 100 and sent_by_fit[False] <= 10


def test_admissions_without_a_reading_are_subtracted_from_those_with_one() -> None:
    """Over the quota, the parts admitted with and without a reading add up to the admissible part."""
    admitted_ratios = {}
    for call_ratio in (1.0, 0.6):
        sent = 0
        for seed in range(300):
            world = GatewayHarness(gateways=40, seed=seed)
            world.gateway.leases.counter_capacity.ratio, world.gateway.admission.quota.admitted_ratio = (
                1.0,
                0.5,
            )
            (call,) = counter_calls(world.ask(spread=40))
            world.gateway.leases.counter_capacity.ratio = call_ratio
            answer(world, call, 41.0)  # 40 units of others, for a refill of 20: about half is admitted
            sent += len(sends(action for _, action in world.log))
        admitted_ratios[call_ratio] = sent / 300
    assert abs(admitted_ratios[1.0] - VERY_SPARSE_RATIO * 20 / 41) < 0.07
    unread_ratio = (1 - 0.6) * 0.5
    assert abs(0.6 * admitted_ratios[0.6] + unread_ratio - admitted_ratios[1.0]) < 0.08
