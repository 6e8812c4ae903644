"""Wall clocks that are wrong, here or at other machines: what is compared with them, and what holds."""

from __future__ import annotations

import logging
import math

import pytest
from discovery_watch import DiscoveryFixture
from helpers import RULES, GatewayHarness, counter_calls, entry
from lease_answers import answer

from switchline.logs import MAX_LINES_PER_PERIOD, PERIOD_S, RateLimit
from switchline.policy import interface as api
from testbed.network.sockets import until
from testbed.stand_ins.agents import host
from testbed.stand_ins.single_gateway import in_loop

HOUR_MS = 3_600_000.0


def told(world: GatewayHarness, started: float, held_until: float) -> None:
    """A newer list brings backend 9, whose start another clock tells."""
    world.give(api.BackendsChanged(api.ListScope.CHANGES, (entry(9, started_at_ms=started),), held_until))


@pytest.mark.parametrize("ahead_ms", [1_000.0, 90_000.0, HOUR_MS])
def test_a_backend_that_a_newer_list_brings_is_cold_though_this_clock_is_ahead(ahead_ms: float) -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    told(world, started=world.now_ms - ahead_ms, held_until=world.now_ms - 500)
    backend = world.gateway.backends.by_id[9]
    assert backend.warm_ratio(world.now_ms) == pytest.approx(0.2 + 0.8 * 500 / RULES.warm_up_ms)
    assert backend.warm_ratio(world.now_ms + RULES.warm_up_ms) == 1.0


@pytest.mark.parametrize("behind_ms", [1_000.0, 90_000.0, HOUR_MS])
def test_a_start_that_is_yet_to_come_by_this_clock_is_now(behind_ms: float) -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    told(world, started=world.now_ms + behind_ms, held_until=world.now_ms - 500)
    backend = world.gateway.backends.by_id[9]
    assert backend.warm_ratio(world.now_ms) == pytest.approx(RULES.start_capacity)
    assert backend.warm_ratio(world.now_ms + RULES.warm_up_ms) == pytest.approx(1.0)


def test_a_backend_that_tells_a_new_start_is_cold_though_this_clock_is_ahead() -> None:
    world = GatewayHarness((entry(1), entry(9, started_at_ms=1.0)), now_ms=2 * HOUR_MS)
    assert world.gateway.backends.by_id[9].warm_ratio(world.now_ms) == 1.0  # the first list is believed
    told(world, started=2.0, held_until=world.now_ms)
    assert world.gateway.backends.by_id[9].warm_ratio(world.now_ms) == pytest.approx(RULES.start_capacity)


def test_a_start_of_long_ago_is_warm_whenever_it_is_told() -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    told(world, started=0.0, held_until=world.now_ms)
    assert world.gateway.backends.by_id[9].warm_ratio(world.now_ms) == 1.0


def test_what_was_put_back_by_a_clock_that_is_ahead_warms_up_from_now_on() -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    world.give(api.BackendOverridden(1, True, world.now_ms))
    world.give(api.BackendOverridden(1, False, world.now_ms + HOUR_MS))
    backend = world.gateway.backends.by_id[1]
    assert backend.warm_ratio(world.now_ms) == pytest.approx(RULES.start_capacity)
    assert backend.warm_ratio(world.now_ms + RULES.warm_up_ms) == pytest.approx(1.0)


def test_who_counts_apart_from_all_others_keeps_to_the_even_share() -> None:
    world = GatewayHarness()
    for number in range(9):  # the front spreads each of them over two gateways
        for call in counter_calls(world.ask(customer=f"c{number}")):
            answer(world, call, call.amount)
    last = world.gateway.customers.by_key["c8"]
    assert (last.quota_share, last.ceiling_share, last.has_valid_reading) == (0.5, 0.5, False)
    for call in counter_calls(world.ask(customer="c9")):
        answer(world, call, call.amount + 1.0)  # somebody else counts in the same period
    waiting = counter_calls(world.ask(customer="c10"))
    while waiting:  # of this period, and of how the last one ended
        call = waiting[0]
        waiting = counter_calls(world.give(api.CounterReplied(call.name, api.Outcome.OK, call.amount)))
    assert world.gateway.customers.by_key["c10"].has_valid_reading


def test_a_clock_set_back_keeps_no_line_of_the_log_back(monkeypatch: pytest.MonkeyPatch) -> None:
    limit, now = RateLimit(), [100.0]
    monkeypatch.setattr("switchline.logs.time.monotonic", lambda: now[0])

    def passes(wall: float) -> bool:
        record = logging.makeLogRecord({"msg": "what"})
        record.created = wall
        return limit.filter(record)

    assert [passes(1e9) for _ in range(MAX_LINES_PER_PERIOD + 1)] == [True] * MAX_LINES_PER_PERIOD + [False]
    now[0] += PERIOD_S
    assert passes(1e9 - HOUR_MS / 1000)


def test_an_empty_line_says_that_the_list_still_holds() -> None:
    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await until(lambda: watch.service.watches)
            assert watch.client.valid_until_ms == -math.inf
            watch.service.say(b"")
            await until(lambda: watch.client.valid_until_ms > 0)
            silent_from = watch.client.valid_until_ms
            watch.service.change(42, host("h9", 1))
            await until(lambda: watch.client.version == 42)
            assert watch.client.valid_until_ms >= silent_from

    in_loop(scenario)
