"""Wrong wall clocks, at this gateway or at other machines, and what must hold in spite of them."""

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


def apply_newer_list(world: GatewayHarness, started: float, previous_valid_until_ms: float) -> None:
    """Apply a newer list with backend 9, whose start time is by another machine's clock."""
    world.give(
        api.BackendsChanged(
            api.ListScope.CHANGES, (entry(9, started_at_ms=started),), previous_valid_until_ms
        )
    )


@pytest.mark.parametrize("ahead_ms", [1_000.0, 90_000.0, HOUR_MS])
def test_a_newly_listed_backend_is_cold_even_if_this_clock_is_ahead(ahead_ms: float) -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    apply_newer_list(world, started=world.now_ms - ahead_ms, previous_valid_until_ms=world.now_ms - 500)
    backend = world.gateway.backends.by_id[9]
    assert backend.warm_ratio(world.now_ms) == pytest.approx(0.2 + 0.8 * 500 / RULES.warm_up_ms)
    assert backend.warm_ratio(world.now_ms + RULES.warm_up_ms) == 1.0


@pytest.mark.parametrize("behind_ms", [1_000.0, 90_000.0, HOUR_MS])
def test_a_start_time_in_the_future_by_this_clock_counts_as_now(behind_ms: float) -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    apply_newer_list(world, started=world.now_ms + behind_ms, previous_valid_until_ms=world.now_ms - 500)
    backend = world.gateway.backends.by_id[9]
    assert backend.warm_ratio(world.now_ms) == pytest.approx(RULES.start_capacity)
    assert backend.warm_ratio(world.now_ms + RULES.warm_up_ms) == pytest.approx(1.0)


def test_a_restarted_backend_is_cold_even_if_this_clock_is_ahead() -> None:
    world = GatewayHarness((entry(1), entry(9, started_at_ms=1.0)), now_ms=2 * HOUR_MS)
    # Start times of the first list are taken as they are.
    assert world.gateway.backends.by_id[9].warm_ratio(world.now_ms) == 1.0
    apply_newer_list(world, started=2.0, previous_valid_until_ms=world.now_ms)
    assert world.gateway.backends.by_id[9].warm_ratio(world.now_ms) == pytest.approx(RULES.start_capacity)


def test_a_newly_listed_backend_that_started_long_ago_is_warm() -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    apply_newer_list(world, started=0.0, previous_valid_until_ms=world.now_ms)
    assert world.gateway.backends.by_id[9].warm_ratio(world.now_ms) == 1.0


def test_a_backend_enabled_by_a_clock_that_is_ahead_warms_up_from_now_on() -> None:
    world = GatewayHarness(now_ms=2 * HOUR_MS)
    world.give(api.BackendOverridden(1, True, world.now_ms))
    world.give(api.BackendOverridden(1, False, world.now_ms + HOUR_MS))
    backend = world.gateway.backends.by_id[1]
    assert backend.warm_ratio(world.now_ms) == pytest.approx(RULES.start_capacity)
    assert backend.warm_ratio(world.now_ms + RULES.warm_up_ms) == pytest.approx(1.0)


def test_a_gateway_that_no_other_counts_with_keeps_to_the_even_share() -> None:
    world = GatewayHarness()
    for number in range(9):  # the front distributes each of them over two gateways
        for call in counter_calls(world.ask(customer=f"c{number}")):
            answer(world, call, call.amount)
    last = world.gateway.customers.by_key["c8"]
    # Of a ceiling only half of the even share: the other gateway may have more by demand.
    assert (last.quota_share, last.ceiling_share, last.has_valid_reading) == (0.5, 0.25, False)
    for call in counter_calls(world.ask(customer="c9")):
        answer(world, call, call.amount + 1.0)  # another gateway counts in the same period
    waiting = counter_calls(world.ask(customer="c10"))
    while waiting:  # calls for this period, and for the final total of the last one
        call = waiting[0]
        waiting = counter_calls(world.give(api.CounterReplied(call.name, api.Outcome.OK, call.amount)))
    assert world.gateway.customers.by_key["c10"].has_valid_reading


def test_log_lines_pass_after_the_wall_clock_is_set_back(monkeypatch: pytest.MonkeyPatch) -> None:
    limit, now = RateLimit(), [100.0]
    monkeypatch.setattr("switchline.logs.time.monotonic", lambda: now[0])

    def passes(wall_s: float) -> bool:
        record = logging.makeLogRecord({"msg": "what"})
        record.created = wall_s
        return limit.filter(record)

    assert [passes(1e9) for _ in range(MAX_LINES_PER_PERIOD + 1)] == [True] * MAX_LINES_PER_PERIOD + [False]
    now[0] += PERIOD_S
    assert passes(1e9 - HOUR_MS / 1000)


def test_an_empty_line_of_discovery_confirms_that_the_list_is_valid() -> None:
    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await until(lambda: watch.service.watches)
            assert watch.client.valid_until_ms == -math.inf
            watch.service.send_line(b"")
            await until(lambda: watch.client.valid_until_ms > 0)
            confirmed_until_ms = watch.client.valid_until_ms
            watch.service.change(42, host("h9", 1))
            await until(lambda: watch.client.version == 42)
            assert watch.client.valid_until_ms >= confirmed_until_ms

    in_loop(scenario)
