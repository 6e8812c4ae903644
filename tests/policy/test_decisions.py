"""Backend selection, health, retries, overload and the guards of the five rules, for one gateway alone."""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import BASIC, GatewayHarness, backends, entry, rejections, sends

from switchline.policy import interface as api
from switchline.policy.requests.request import Attempt, Request

NO_QUOTA_PLAN = api.Plan("basic")  # a plan without a quota, so that only the backends limit requests
NO_QUOTA = dict(plans=(NO_QUOTA_PLAN,), uses_counter=False)


def make_world(*entries: api.BackendEntry, **changes: object) -> GatewayHarness:
    return GatewayHarness(entries, **{**NO_QUOTA, **changes})


def only_send(actions: list[api.Action]) -> api.Send:
    (send,) = sends(actions)
    return send


def backends_used(world: GatewayHarness, tries: int) -> set[int]:
    used = set()
    for _ in range(tries):
        send = only_send(world.ask())
        world.pass_time(20)
        world.end_attempt(send)
        used.add(send.backend)
        world.pass_time(20)
    return used


def answer_requests(world: GatewayHarness, rounds: int = 60, gap: float = 20, lag: float = 20) -> None:
    for _ in range(rounds):
        send = only_send(world.ask())
        world.pass_time(lag)
        world.end_attempt(send)
        world.pass_time(gap)


def test_an_empty_endpoint_list_rejects_at_once() -> None:
    world = make_world()
    world.give(backends())
    assert rejections(world.ask()) and not sends(world.ask())


def test_draining_and_gone_backends_get_nothing_new() -> None:
    world = make_world()
    world.give(backends(entry(1, api.BackendState.DRAINING), scope=api.ListScope.CHANGES))
    world.give(backends(entry(2, api.BackendState.GONE), scope=api.ListScope.CHANGES))
    assert backends_used(world, 5) == {3}


def test_a_full_endpoint_list_removes_the_backends_that_it_omits() -> None:
    world = make_world()
    world.give(backends(entry(2)))
    assert backends_used(world, 5) == {2}


def test_a_failed_list_poll_keeps_the_old_list_and_polls_again_later() -> None:
    world = make_world(must_watch_endpoint_list=True)
    world.give(api.BackendsChanged(api.ListScope.FAILED, ()))
    assert only_send(world.ask())
    timers = [
        a
        for _, a in world.log
        if isinstance(a, api.SetTimer) and a.timer.purpose is api.TimerPurpose.ENDPOINT_LIST
    ]
    assert timers
    assert any(
        isinstance(a, api.WatchEndpointList)
        for a in world.give(api.TimerFired(api.Timer(api.TimerPurpose.ENDPOINT_LIST)))
    )


def test_failing_backend_is_avoided_and_later_retested() -> None:
    world = make_world()
    answer_requests(world)
    bad, shares = 1, []
    for _ in range(2):
        hits = 0
        for _ in range(60):
            send = only_send(world.ask())
            while True:
                hits += send.backend == bad
                world.pass_time(20)
                outcome = api.Outcome.FAILED if send.backend == bad else api.Outcome.OK
                again = sends(
                    world.end_attempt(
                        send, outcome, attempt=0 if send.backend == bad else last_attempt_number(world, send)
                    )
                )
                if not again:
                    break
                send = again[0]
        shares.append(hits)
    assert shares[0] <= 10 and shares[1] <= 10
    world.pass_time(20_000)
    assert bad in backends_used(world, 40)


def last_attempt_number(world: GatewayHarness, send: api.Send) -> int:
    return sum(1 for _, a in world.log if isinstance(a, api.Send) and a.request == send.request) - 1


def test_a_silent_backend_is_avoided_while_the_others_answer() -> None:
    world = make_world()
    answer_requests(world)
    hung = 0
    for _ in range(150):
        send = only_send(world.ask("wipe", lifetime_ms=60_000))
        world.pass_time(50)
        if send.backend == 1:
            hung += 1
        else:
            world.end_attempt(send)
    assert hung <= 8


def test_overload_is_rejected_early_and_the_class_of_lower_priority_first() -> None:
    """Guards against overload judged by latency, which shows it and its end a whole queue too late."""
    world = make_world()
    answer_requests(world)
    in_flight = []
    while len(in_flight) < 500 and (more := sends(world.ask("view"))):
        in_flight += more
    assert len(in_flight) < 100
    assert sends(world.ask("order")), "the class of higher priority is still admitted"
    while sends(world.ask("order")):
        pass
    for send in in_flight:
        world.end_attempt(send)
    world.pass_time(100)
    assert sends(world.ask("view")), "rejections end as soon as the load has gone"


def test_a_gateway_without_answers_admits_requests() -> None:
    """Guards against a limit below one request in a large fleet: no requests, hence no answers, for ever."""
    world = make_world(gateways=1000)
    assert len(sends(world.ask()) + sends(world.ask())) == 2


def test_an_attempt_that_did_not_run_is_retried_at_another_backend() -> None:
    world = make_world()
    for name in ("view", "order", "wipe"):
        first = only_send(world.ask(name))
        again = only_send(world.end_attempt(first, api.Outcome.CONNECT_FAILED))
        assert again.backend != first.backend


def test_a_request_that_is_not_idempotent_fails_without_a_retry_if_it_may_have_run() -> None:
    for outcome in (api.Outcome.FAILED, api.Outcome.RESET, api.Outcome.TIMED_OUT):
        world = make_world()
        send = only_send(world.ask("wipe"))
        assert world.end_attempt(send, outcome) == [api.Fail(send.request)]


def test_a_request_with_a_key_is_retried_only_within_its_scope_and_window() -> None:
    world = make_world(entry(1, cell=0), entry(2, cell=1), entry(3, cell=0))
    first = only_send(world.ask("order"))
    same_cell = {1: {3}, 3: {1}, 2: set()}[first.backend]
    assert {s.backend for s in sends(world.end_attempt(first, api.Outcome.FAILED))} == same_cell
    lone = make_world(entry(1, cell=0), entry(2, cell=1))
    first = only_send(lone.ask("order"))
    assert lone.end_attempt(first, api.Outcome.FAILED) == [api.Fail(first.request)]
    late = make_world(entry(1, cell=0), entry(3, cell=0))
    late.gateway.classes["order"] = api.RequestClass(
        "order", 5000, 9000, 1, api.Effect.IDEMPOTENT_WITH_KEY, api.DeduplicationScope.CELL, 2000
    )
    first = only_send(late.ask("order", lifetime_ms=9000))
    late.now_ms += 1990
    assert late.end_attempt(first, api.Outcome.FAILED) == [api.Fail(first.request)]


def test_further_attempts_stop_when_the_retry_budget_is_spent() -> None:
    world = make_world()
    sent = asked = 0
    for _ in range(300):
        batch = sends(world.ask())
        asked += 1
        attempt = 0
        while batch:
            sent += 1
            batch = sends(world.end_attempt(batch[0], api.Outcome.FAILED, attempt))
            attempt += 1
        world.pass_time(50)
    assert sent <= asked * 1.6 + 10


def test_a_request_gets_its_final_answer_before_it_expires() -> None:
    world = make_world()
    send = only_send(world.ask("wipe", lifetime_ms=3000))
    world.pass_time(2960)
    ends = [(t, a) for t, a in world.log if isinstance(a, api.Fail) and a.request == send.request]
    assert len(ends) == 1 and ends[0][0] <= 13_000
    assert world.end_attempt(send, api.Outcome.TIMED_OUT) == []


def test_an_overdue_attempt_is_cancelled_once_and_retried_elsewhere() -> None:
    """Guards against work done twice for each long request, and waits for a silent backend to the end."""
    world = make_world()
    answer_requests(world, lag=100)
    first = only_send(world.ask(lifetime_ms=60_000))
    assert not [a for a in world.pass_time(450) if isinstance(a, api.Cancel)]
    assert [a for a in world.pass_time(100) if isinstance(a, api.Cancel)] == [api.Cancel(first.request, 0)]
    again = only_send(world.end_attempt(first, api.Outcome.CANCELLED))
    assert again.backend != first.backend


def test_a_class_that_fails_at_a_backend_is_scored_apart_from_the_others() -> None:
    """Guards against a backend that fails only one class, looks half healthy and keeps getting that class."""
    world = make_world(max_attempts=1)
    hits = {"view": 0, "order": 0}
    for i in range(400):
        name = "order" if i % 2 else "view"
        send = only_send(world.ask(name))
        world.pass_time(20)
        bad = send.backend == 1 and name == "order"
        world.end_attempt(send, api.Outcome.FAILED if bad else api.Outcome.OK)
        hits[name] += send.backend == 1 and i > 100
    assert hits["order"] <= 8 and hits["view"] >= 25


def subsets(fleet: list[api.BackendEntry], gateways: int) -> list[set[int]]:
    worlds = (
        GatewayHarness(fleet, **{**NO_QUOTA, "gateways": gateways, "index": i}) for i in range(gateways)
    )
    return [{b.id for b in world.gateway.backends.subset} for world in worlds]


@pytest.mark.parametrize(("gateways", "backends", "covered"), [(40, 60, 10), (300, 70, 37)])
def test_each_gateway_of_a_large_fleet_uses_few_backends_and_all_are_covered_evenly(
    gateways: int, backends: int, covered: int
) -> None:
    """Guards against backends used once a minute: none can be judged, and no connection is used twice."""
    fleet = [entry(i, cell=i // 4) for i in range(backends)]
    used = subsets(fleet, gateways)
    assert all(4 <= len(subset) <= 24 for subset in used)
    gateways_by_backend = Counter(i for subset in used for i in subset)
    # A subset that is too small by chance takes a wider range.
    assert (
        min(gateways_by_backend.values()) >= covered - 1
        and max(gateways_by_backend.values()) <= 1.15 * covered
    )
    # A few changes of the list move few other backends, so idle connections and outlier scores stay useful.
    later = subsets(fleet[3:] + [entry(900), entry(901)], gateways)
    moved = sum(len((a ^ b) - {0, 1, 2, 900, 901}) for a, b in zip(used, later, strict=True))
    assert moved <= 0.03 * sum(map(len, used))


def test_a_small_fleet_uses_all_backends() -> None:
    for gateways in (2, 3, 4, 14):
        assert all(len(subset) == 10 for subset in subsets([entry(i) for i in range(10)], gateways))


def test_a_gateway_learns_once_that_a_backend_is_unreachable() -> None:
    """Guards against dead backends of an old list that each gateway tries for every class and plan."""
    plans = tuple(api.Plan(name) for name in ("one", "two", "three"))
    refused = 0
    for index in range(40):
        world = GatewayHarness(
            [entry(i) for i in range(60)],
            seed=index,
            **{**NO_QUOTA, "plans": plans, "gateways": 40, "index": index, "max_attempts": 5},
        )
        for i in range(90):
            send = only_send(world.ask(("view", "order", "wipe")[i % 3], plans[i // 3 % 3].name))
            attempt = 0
            while send.backend < 20:
                refused += 1
                send, attempt = (
                    only_send(world.end_attempt(send, api.Outcome.CONNECT_FAILED, attempt)),
                    attempt + 1,
                )
            world.end_attempt(send, attempt=attempt)
            world.pass_time(20)
    assert refused <= 1.3 * 40 * 5  # a third of each subset, about once


def test_a_backend_that_fails_all_requests_is_not_tried_for_each_class_and_plan() -> None:
    """Guards against nine failures at each gateway for one bad backend, as it gets few answers from each."""
    plans = tuple(api.Plan(name) for name in ("one", "two", "three"))
    failed = 0
    for index in range(40):
        world = GatewayHarness(
            [entry(i) for i in range(60)],
            seed=index,
            **{**NO_QUOTA, "plans": plans, "gateways": 40, "index": index},
        )
        for i in range(180):
            send = only_send(world.ask(("view", "order", "wipe")[i % 3], plans[i // 3 % 3].name))
            world.pass_time(20)
            failed += send.backend < 12
            bad = send.backend < 12
            world.end_attempt(send, api.Outcome.FAILED if bad else api.Outcome.OK, finished=True)
    assert failed <= 2.5 * 40 * 3  # a fifth of each subset


def test_a_retry_with_a_key_finds_its_cell_outside_the_subset() -> None:
    world = GatewayHarness([entry(i, cell=i // 4) for i in range(60)], **{**NO_QUOTA, "gateways": 40})
    for _ in range(15):
        first = only_send(world.ask("order"))
        second = sends(world.end_attempt(first, api.Outcome.FAILED, finished=False))
        assert len(second) == 1 and second[0].backend // 4 == first.backend // 4
        world.end_attempt(second[0], attempt=1)
        world.pass_time(100)


def test_a_gateway_with_few_requests_sheds_by_recent_latency() -> None:
    """Guards against hundreds of gateways with three requests in flight each, which overload the backends."""
    world = make_world(gateways=300)
    for lag in (100, 1500, 100):
        sent = 0
        for i in range(90):
            for send in sends(world.ask()):
                sent += i >= 30
                world.pass_time(lag)
                world.end_attempt(send, attempt=last_attempt_number(world, send))
            world.pass_time(400)
        assert sent < 36 if lag == 1500 else sent > 54


def test_a_fleet_of_cold_backends_serves_little_and_then_all_requests() -> None:
    world = make_world(
        entry(1, started_at_ms=9_900), entry(2, started_at_ms=9_900), entry(3, started_at_ms=9_900)
    )
    served = [0, 0]
    for half in (0, 1):
        for _ in range(100):
            for send in sends(world.ask()):
                served[half] += 1
                world.end_attempt(send)
            world.pass_time(105)
    assert 10 < served[0] < 70 and served[1] == 100


def test_a_cold_backend_gets_less_than_its_safe_load_from_many_gateways() -> None:
    """Guards against many gateways that each send little to a cold backend and together overload it."""
    hits = 0
    for index in range(200):
        world = GatewayHarness(
            [entry(i, started_at_ms=9_990 if i == 5 else 0) for i in range(20)],
            seed=index,
            **{**NO_QUOTA, "gateways": 200, "index": index},
        )
        for _ in range(10):
            send = only_send(world.ask())
            hits += send.backend == 5
            world.end_attempt(send)
    assert hits <= 1.5 * 0.2 * 2000 / 20  # twice this load is still within the safety rule


def test_the_safe_capacity_of_cold_backends_is_used() -> None:
    """While all backends are replaced, the load of each must be close to its capacity."""
    hits = 0
    for seed in range(20):
        world = GatewayHarness(
            [entry(i, started_at_ms=10_000 - 4_000 if i < 5 else 0) for i in range(10)], seed=seed, **NO_QUOTA
        )
        for _ in range(100):  # half of the backends have 0.52 of the capacity of a warm one
            send = only_send(world.ask())
            hits += send.backend < 5
            world.end_attempt(send)
    assert 0.4 * 1_000 < hits <= 0.6 * 1_000


def test_a_random_variation_of_few_requests_in_flight_is_no_overload() -> None:
    """Guards against a gateway with little traffic that sheds a quarter of it, the others a fortieth."""
    for in_flight, least, most in ((5, 0.4, 0.7), (100, 0.85, 1.0)):
        world = GatewayHarness([entry(1)], **{**NO_QUOTA, "gateways": 1})
        gateway = world.gateway
        gateway.latency.rate_per_s, gateway.latency.answered_at_ms, gateway.latency.mean_ms = (
            50.0,
            world.now_ms,
            100.0,
        )
        request = api.RequestArrived("r", "view", "basic", "c", world.now_ms + 3_000, 1.0, 1, 0)
        request_class, customer = (
            gateway.classes["view"],
            gateway.customers.get_or_create(world.now_ms, "c", "basic", 1.0),
        )
        for number in range(in_flight - 1):  # the new request counts too
            gateway.attempts.in_flight["r", number] = Attempt(
                Request(request, request_class, customer, world.now_ms),
                gateway.backends.by_id[1],
                world.now_ms,
            )
        assert (
            least
            < gateway.load.expected_answer_ms(world.now_ms) / (in_flight * 1_000 / gateway.latency.rate_per_s)
            < most
        )


def test_cold_backends_of_a_large_fleet_are_loaded_in_proportion_to_warm_ones() -> None:
    """Guards against six in ten backends replaced at once, where the warm rest gets nearly all requests."""
    sent_by_coldness = {False: 0, True: 0}
    rules = api.SafetyRules(500, 0.25, 16_000, 3)
    for index in range(40):
        world = GatewayHarness(
            [entry(i, started_at_ms=9_900 if i < 36 else 0) for i in range(60)],
            seed=index,
            **{**NO_QUOTA, "gateways": 40, "index": index, "rules": rules},
        )
        for _ in range(50):
            send = only_send(world.ask())
            sent_by_coldness[send.backend < 36] += 1
            world.end_attempt(send)
    # Requests per unit of capacity.
    cold, warm = sent_by_coldness[True] / (36 * 0.25), sent_by_coldness[False] / 24
    assert 0.7 < cold / warm < 1.1


def test_backends_without_any_safe_capacity_lead_to_rejections() -> None:
    rules = api.SafetyRules(500, 0.0, 16_000, 3)
    world = GatewayHarness([entry(i, started_at_ms=10_000) for i in range(3)], **{**NO_QUOTA, "rules": rules})
    assert rejections(world.ask())


def test_extreme_settings_cause_no_error() -> None:
    for spread in (0, 1, 5000):
        for rate in (0.01, 10_000.0):
            for gateways in (1, 1000):
                plan = api.Plan("basic", rate_per_s=rate, burst_units=rate)
                world = GatewayHarness([entry(1)], plans=(plan,), gateways=gateways, index=gateways - 1)
                for life in (0, 3000):
                    world.ask(spread=spread, lifetime_ms=life)
                    world.pass_time(4000)
                assert not world.gateway.attempts.requests
    empty = GatewayHarness(gateways=1000)
    empty.give(backends())
    empty.ask(spread=1, lifetime_ms=1000)
    empty.pass_time(2000)
    assert not empty.gateway.attempts.requests


def test_unexpected_events_cause_no_error() -> None:
    world = make_world()
    world.give(api.AttemptEnded("nobody", 0, 9, api.Outcome.OK, 1, True))
    world.give(api.RequestAbandoned("nobody"))
    world.give(api.TimerFired(api.Timer(api.TimerPurpose.REQUEST, "nwanted")))
    world.give(api.CounterReplied("nothing", api.Outcome.OK, 1))
    world.give(api.GossipReceived(1, b"\xff\x00"))
    world.give(api.AnswerStarted("nobody", 0, 1))
    send = only_send(world.ask("no such class", "no such plan"))
    world.give(api.RequestAbandoned(send.request))
    assert world.end_attempt(send, api.Outcome.TIMED_OUT) == []
    world.end_attempt(send, api.Outcome.TIMED_OUT)


def test_a_cold_backend_gets_few_requests_until_it_is_warm() -> None:
    """Guards against a cold backend that gets the load of a warm one from each gateway and fails for good."""
    world = make_world(entry(1), entry(2), entry(3))
    answer_requests(world, 400)
    world.give(backends(entry(9, started_at_ms=world.now_ms - 100), scope=api.ListScope.CHANGES))
    early = [only_send(world.ask()) for _ in range(1)]
    world.end_attempt(early[0])
    mark = world.now_ms
    answer_requests(world, 50)
    counts = [a.backend for t, a in world.log if t >= mark and isinstance(a, api.Send)]
    assert counts.count(9) <= 0.25 * 0.5 * len(counts)
    world.pass_time(11_000)
    assert 9 in backends_used(world, 40)


def test_decisions_depend_on_the_settings_of_a_plan_not_on_its_name() -> None:
    renamed = api.Plan("zzz", BASIC.rate_per_s, BASIC.burst_units)
    a = GatewayHarness(plans=(BASIC,))
    b = GatewayHarness(plans=(renamed,))
    for _ in range(30):
        assert a.ask(plan="basic") == b.ask(plan="zzz")
        a.pass_time(100)
        b.pass_time(100)
