"""Tests of zones: evidence, leaving, returning, distance and operators, on fleets with a hand-set clock."""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections import Counter as Counts
from pathlib import Path

import neutral_form
import pytest
from connection_figures import gateway_config, gateway_metrics
from gateway_fleet import Fleet
from helpers import settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from operator_calls import call

from switchline.config import ConfigError, parse_config
from switchline.policy import interface as api
from switchline.policy.backends.zone_routing import ZoneRouting
from switchline.policy.backends.zones import MAX_ZONES, ZONE_TTL_MS, Zones
from switchline.policy.gateway import Gateway
from switchline.policy.interface import ZoneState
from testbed.network.sockets import until
from testbed.stand_ins.agents import host
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, running

RECORDED_ONE_ZONE = Path(__file__).parents[1] / "recorded/one_zone.jsonl"
ZONES = {"a": 6, "b": 6, "c": 6}


def zone_of_gateway(index: int) -> str:
    return "abc"[index % 3]


def zone_states(fleet: Fleet, zone: str) -> Counts[ZoneState]:
    return Counts(g.zones.by_name[zone].state for g in fleet.gateways)


def round_floats(text: str) -> str:
    return re.sub(r"\d+\.\d+(e-?\d+)?", lambda match: f"{float(match[0]):.4f}", text)


def test_with_one_zone_the_actions_match_the_recording_without_zones() -> None:
    """The recording is of the policy before zones were added; with one zone nothing may differ."""
    fleet = Fleet({"a": 12}, 20, own=lambda _: "a", seed=5)
    mixed = ("view", "order", "wipe")
    fleet.run(2000, gap=60, kinds=mixed)
    fleet.mode |= {1003: "refuses", 1005: "silent"}
    fleet.run(2000, gap=60, kinds=mixed)
    fleet.mode.clear()
    fleet.tell([1003], started=fleet.now)
    fleet.run(2000, gap=60, kinds=mixed)
    lines = [
        {
            "at_ms": now,
            "event": neutral_form.encode_event(event),
            "actions": [neutral_form.encode_action(action) for action in actions],
        }
        for now, event, actions in fleet.events
    ]
    recorded = RECORDED_ONE_ZONE.read_text().splitlines()
    assert len(lines) == len(recorded) > 250
    for line, before in zip(lines, recorded, strict=True):
        assert round_floats(neutral_form.line(line)) == round_floats(before)


# ---- evidence and leaving ----


@pytest.mark.parametrize("mode", ["silent", "refuses", "fails"])
def test_a_lost_zone_is_left_by_all_gateways_and_gets_only_health_checks(mode: str) -> None:
    fleet = Fleet(ZONES, 12, own=zone_of_gateway)
    fleet.run(3000, gap=50)
    assert 0.25 < fleet.share("b", 0) < 0.42
    lost_at_ms = fleet.now
    fleet.mode["b"] = mode
    fleet.run(3000, gap=50)
    # Each gateway leaves the zone after a few outcomes of several backends.
    assert zone_states(fleet, "b") == {ZoneState.LEFT: 12}
    for index in range(12):
        tried = [
            at for at, i, b, _ in fleet.sent if i == index and at > lost_at_ms and fleet.zone_of[b] == "b"
        ]
        left_at_ms = next(at for at, i, text in fleet.remarks if i == index and "zone b is left" in text)
        assert sum(at <= left_at_ms for at in tried) <= 16
    since = fleet.now
    fleet.run(4000, gap=50)
    # From then on each gateway sends a health check every 1 to 3 s, and nothing else.
    assert 0 < fleet.to("b", since) <= 12 * 4 + 12
    assert fleet.share("b", since) < 0.06
    assert fleet.ended["served"] > 0.97 * sum(fleet.ended.values())


def test_one_failing_backend_in_each_of_two_zones_leaves_no_zone() -> None:
    fleet = Fleet(ZONES, 6, own=zone_of_gateway)
    fleet.mode |= {2000: "refuses", 3000: "silent"}
    fleet.run(12_000, gap=50)
    assert not fleet.remarks
    assert fleet.share("b", 2000) > 0.2 and fleet.share("c", 2000) > 0.2


def test_a_zone_that_is_slow_and_does_not_fail_is_not_left() -> None:
    fleet = Fleet(ZONES, 6, own=zone_of_gateway)
    fleet.slow["b"] = 1.8
    fleet.run(8000, gap=50)
    assert not fleet.remarks and 0 < fleet.share("b", 2000) < 0.34


def test_failures_of_three_of_six_backends_leave_the_zone_at_once() -> None:
    """Three of six backends of zone b failed once each: no request goes to the other three."""
    gateway = Gateway(settings(zone="a", gateways=2), 1)
    ready = api.BackendState.READY
    entries = tuple(api.BackendEntry(z * 10 + n, "ab"[z], 0, 0, ready) for z in (0, 1) for n in range(6))
    gateway.handle(1000.0, api.BackendsChanged(api.ListScope.FULL, entries))
    for backend in (10, 11, 12):
        gateway.zones.on_outcome(1000.0, backend, "b", is_lost=True)
    picked = Counts[str]()
    for number in range(200):
        event = api.RequestArrived(f"r{number}", "view", "basic", f"c{number}", 4000.0, 1.0, 2, 0)
        for action in gateway.handle(1001.0, event):
            if isinstance(action, api.Send):
                picked["a" if action.backend < 10 else "b"] += 1
                gateway.handle(
                    1001.0, api.AttemptEnded(action.request, 0, action.backend, api.Outcome.OK, 1.0, True)
                )
    assert picked["a"] > 100 and picked["b"] == 0 and gateway.zones.by_name["b"].state is ZoneState.LEFT


def test_a_failing_zone_of_one_backend_is_not_left_but_its_backend_is_avoided() -> None:
    fleet = Fleet({"a": 6, "b": 1}, 4, own=lambda _: "a")
    fleet.mode["b"] = "refuses"
    fleet.run(6000, gap=40)
    assert not fleet.remarks and fleet.share("b", 2000) < 0.06
    assert fleet.ended["served"] == sum(fleet.ended.values())


# ---- all zones failing ----


def test_if_all_zones_fail_none_is_avoided() -> None:
    fleet = Fleet(ZONES, 6, own=lambda _: "elsewhere")
    fleet.run(2000, gap=50)
    for zone in ZONES:
        fleet.mode[zone] = "refuses"
    fleet.run(4000, gap=50)
    since = fleet.now
    fleet.run(2000, gap=50)
    assert all(fleet.share(zone, since) > 0.15 for zone in ZONES)
    assert all(not g.selection.routing.closed_zones(fleet.now) for g in fleet.gateways)
    fleet.mode.clear()
    fleet.run(6000, gap=50)
    since, before = fleet.now, fleet.ended["served"]
    fleet.run(2000, gap=50)
    assert fleet.ended["served"] - before > 0.95 * 6 * 40 and all(fleet.share(z, since) > 0.1 for z in ZONES)


def test_a_gateway_that_is_cut_off_uses_its_own_zone() -> None:
    fleet = Fleet(ZONES, 3, own=lambda _: "a")
    fleet.run(2000, gap=50)
    fleet.mode |= {"b": "silent", "c": "silent"}
    fleet.run(3000, gap=50)
    since, before = fleet.now, sum(fleet.ended.values())
    fleet.run(3000, gap=50)
    assert fleet.share("a", since) > 0.9
    assert fleet.ended["served"] > 0.9 * before


# ---- returning ----


def test_a_zone_returns_by_a_ramp_that_differs_between_gateways() -> None:
    fleet = Fleet(ZONES, 12, own=zone_of_gateway)
    fleet.run(2000, gap=50)
    fleet.mode["b"] = "silent"
    fleet.run(4000, gap=50)
    fleet.mode.clear()
    back = fleet.now
    fleet.run(30_000, gap=50)
    assert zone_states(fleet, "b") == {ZoneState.UP: 12}
    per_second = [fleet.share("b", back + s * 1000, back + (s + 1) * 1000) for s in range(30)]
    usual = sum(per_second[-5:]) / 5
    assert 0.2 < usual < 0.45
    # No gateway sends the whole share at once; all do after the evidence has decayed and slow start
    # has ended.
    assert max(per_second[:2]) < 0.5 * usual
    assert max(per_second) < 1.5 * usual and min(per_second[20:]) > 0.6 * usual
    ends = [at for at, _, text in fleet.remarks if "return is complete" in text]
    assert len(ends) == 12 and max(ends) - min(ends) > 1000


def test_a_restarted_zone_gets_no_more_load_than_its_warming_backends_can_take() -> None:
    """A whole zone restarts: the load from all gateways follows its ramp and the backends' warm-up."""
    fleet = Fleet(ZONES, 12, own=zone_of_gateway)
    fleet.run(4000, gap=50)
    usual = fleet.to("b", fleet.now - 3000) / 3000
    fleet.mode["b"] = "refuses"
    fleet.run(4000, gap=50)
    fleet.mode.clear()
    began = fleet.now
    fleet.tell(fleet.of("b"), started=began)
    fleet.run(12_000, gap=50)
    rules = settings().rules
    for second in range(9):  # in any 3 s: less than the load at which warming backends fail
        at = began + second * 1000
        warmth = rules.start_capacity + (1 - rules.start_capacity) * second * 1000 / rules.warm_up_ms
        most = rules.overload_multiple * warmth * usual * 2 * 3000  # warm backends are at most half busy here
        assert fleet.to("b", at, at + 3000) <= most


def test_a_zone_that_flaps_takes_longer_each_time() -> None:
    zones = Zones(settings(zone="a"), random.Random(1))
    zones.update_backends(0.0, [(z * 10 + n, "ab"[z], True) for z in (0, 1) for n in range(4)])
    now, ramps = 1000.0, []
    for _ in range(5):
        for backend in range(10, 14):
            zones.on_outcome(now, backend, "b", is_lost=True)
        zones.update_states(now)
        assert zones.by_name["b"].state is ZoneState.LEFT
        for backend in range(10, 14):
            zones.on_outcome(now + 500, backend, "b", is_lost=False)
        zones.update_states(now + 500)
        assert zones.by_name["b"].state is ZoneState.RETURNING
        ramps.append(zones.by_name["b"].ramp_ms / settings().rules.warm_up_ms)
        now += 1000
    assert 0.5 <= ramps[0] <= 1 <= ramps[1] <= 2 <= ramps[2] <= 4 and max(ramps) <= 4


# ---- the list ----


def test_if_a_zone_is_lost_while_another_drains_the_third_serves() -> None:
    fleet = Fleet(ZONES, 6, own=zone_of_gateway)
    fleet.run(2000, gap=50)
    fleet.tell(fleet.of("c"), state=api.BackendState.DRAINING)
    fleet.mode["b"] = "silent"
    drained_at_ms = fleet.now
    fleet.run(6000, gap=50)
    assert not fleet.to("c", drained_at_ms) and fleet.share("a", drained_at_ms + 3000) > 0.85


def test_a_whole_zone_replaced_at_once_starts_without_the_old_one_s_evidence() -> None:
    fleet = Fleet(ZONES, 6, own=zone_of_gateway)
    fleet.run(2000, gap=50)
    fleet.mode["b"] = "silent"
    fleet.run(3000, gap=50)
    assert zone_states(fleet, "b")[ZoneState.LEFT] == 6
    fleet.mode.clear()
    fleet.tell(fleet.of("b"), state=api.BackendState.GONE)
    fleet.zone_of = {b: z for b, z in fleet.zone_of.items() if z != "b"}
    new = range(9000, 9006)
    fleet.zone_of |= dict.fromkeys(new, "b")
    fleet.cell_of |= dict.fromkeys(new, 7)
    old = list(fleet.sent)
    fleet.sent.clear()
    fleet.tell(new, started=fleet.now)
    fleet.run(20_000, gap=50)
    assert old and zone_states(fleet, "b") == {ZoneState.UP: 6} and fleet.share("b", fleet.now - 4000) > 0.2


@pytest.mark.parametrize("own", ["", "gone"])
def test_a_gateway_whose_own_zone_is_not_in_the_list(own: str) -> None:
    fleet = Fleet(ZONES, 3, own=lambda _: own)
    fleet.run(3000, gap=50)
    assert all(0.2 < fleet.share(zone, 0) < 0.47 for zone in ZONES)
    fleet.tell((), scope=api.ListScope.FULL)  # an empty list
    fleet.run(200, gap=50)
    fleet.tell(fleet.zone_of, scope=api.ListScope.FULL)
    fleet.run(1000, gap=50)
    assert fleet.to("a", fleet.now - 800) > 0


def test_the_number_of_zones_is_limited_and_unlisted_zones_are_removed() -> None:
    zones = Zones(settings(), random.Random(1))
    zones.update_backends(0.0, [(n, f"z{n}", True) for n in range(500)])
    assert len(zones.by_name) == MAX_ZONES
    zones.on_outcome(1.0, 400, "z400", is_lost=True)  # a backend of a zone beyond the limit
    zones.update_backends(ZONE_TTL_MS + 1, [(1, "z1", True)])
    assert list(zones.by_name) == ["z1"] and not zones.is_multi_zone


def test_subsets_cover_each_zone_and_a_change_moves_only_the_changed_backend() -> None:
    zones = {"a": 60, "b": 60, "c": 6}
    fleet = Fleet(zones, 40, own=zone_of_gateway)
    met = Counts(b.id for g in fleet.gateways for b in g.backends.subset)
    assert all({b.zone for b in g.backends.subset} == {"a", "b", "c"} for g in fleet.gateways)
    of_zone = {z: sum(n for b, n in met.items() if fleet.zone_of[b] == z) for z in zones}
    assert 0.8 < of_zone["a"] / of_zone["b"] < 1.25 and len(met) > 120
    before = [{b.id for b in g.backends.subset} for g in fleet.gateways]
    gone = fleet.of("a")[5]
    fleet.tell([gone], state=api.BackendState.GONE)
    for mine, g in zip(before, fleet.gateways, strict=True):
        now = {b.id for b in g.backends.subset}
        assert mine - now <= {gone} and len(now - mine) <= (gone in mine)


# ---- distance ----


def test_the_share_of_attempts_that_cross_zones_falls_with_the_price() -> None:
    crossing = []
    for price in (0.0, 0.05, 0.2):
        fleet = Fleet(ZONES, 9, own=zone_of_gateway, cross_zone_price=price)
        fleet.run(6000, gap=100)
        crossed = sum(zone_of_gateway(i) != fleet.zone_of[b] for _, i, b, _ in fleet.sent) / len(fleet.sent)
        crossing.append(crossed)
    assert 0.5 < crossing[0] < 0.72 and crossing[0] > crossing[1] > crossing[2] and crossing[2] < 0.3


def test_a_small_zone_is_not_overloaded_and_other_zones_get_more_as_the_load_rises() -> None:
    fleet = Fleet({"a": 2, "b": 12, "c": 12}, 12, own=lambda _: "a", cross_zone_price=0.2)
    fleet.run(4000, gap=50)
    assert fleet.share("a", 1000) < 0.2  # two of the 26 backends are in zone a
    shares = []
    for gap in (400, 20, 6):
        fleet = Fleet({"a": 6, "b": 6}, 2, own=lambda _: "a", cross_zone_price=0.1)
        fleet.run(3000, gap=gap)
        shares.append(fleet.share("b", 0))
    assert shares[0] < shares[1] < shares[2] < 0.5


def test_the_own_region_gets_more_requests_than_other_regions() -> None:
    regions = (("a", "north"), ("b", "north"), ("c", "south"))
    fleet = Fleet(ZONES, 6, own=lambda _: "a", cross_zone_price=0.1, regions=regions)
    fleet.run(4000, gap=60)
    assert fleet.share("a", 0) > fleet.share("b", 0) > fleet.share("c", 0)
    zone_x_settings = settings(zone="x", regions=regions)
    zones = Zones(zone_x_settings, random.Random(1))
    routing = ZoneRouting(zone_x_settings, random.Random(1), zones)
    assert [routing.distance(z) for z in "xabc"] == [0, 2, 2, 2]  # zone x has no region in the table
    zones.regions = {}
    assert [routing.distance(z) for z in "xabc"] == [0, 1, 1, 1]


# ---- rules ----


REQUEST_CLASSES = ("view", "order", "wipe")
STEP_KINDS = ["silent", "refuses", "fails", "answers", "restart", "drain", "hold", "free", "pass"]
STEP_KIND = st.sampled_from(STEP_KINDS)


@hypothesis_settings(max_examples=30)
@given(st.integers(0, 999), st.lists(st.tuples(STEP_KIND, st.sampled_from("abc")), max_size=12))
def test_random_events_never_break_the_rules_on_repeats_and_disabled_zones(
    seed: int, steps: list[tuple[str, str]]
) -> None:
    fleet = Fleet({"a": 4, "b": 4, "c": 2}, 2, own=zone_of_gateway, seed=seed)
    drained_zones: dict[str, float] = {}
    fleet.run(300, gap=30, kinds=REQUEST_CLASSES)
    for kind, zone in steps:
        if kind in ("silent", "refuses", "fails", "answers"):
            fleet.mode[zone] = kind
        elif kind == "restart":
            drained_zones.pop(zone, None)
            fleet.tell(fleet.of(zone), started=fleet.now)
        elif kind == "drain":
            drained_zones[zone] = fleet.now
            fleet.tell(fleet.of(zone), state=api.BackendState.DRAINING)
        elif kind in ("hold", "free"):
            for index in range(2):
                fleet.give(index, api.ZoneOverridden(zone, kind == "hold", fleet.now))
        since = fleet.now
        fleet.run(400, gap=30, kinds=REQUEST_CLASSES)
        disabled_zones = fleet.gateways[0].zones.disabled
        assert not any(
            fleet.zone_of[b] in {*drained_zones, *disabled_zones} for at, _, b, _ in fleet.sent if at > since
        )
    fleet.run(5000, gap=100, kinds=REQUEST_CLASSES)
    kinds = {e.request: e.request_class for _, e, _ in fleet.events if isinstance(e, api.RequestArrived)}
    outcomes = {
        (e.request, e.attempt): e.outcome for _, e, _ in fleet.events if isinstance(e, api.AttemptEnded)
    }
    attempts: dict[str, list[tuple[int, int]]] = {}
    for _, index, backend, request in fleet.sent:
        if index == 0:
            attempts.setdefault(request, []).append((len(attempts.get(request, ())), backend))
    for request, tries in attempts.items():
        never = {api.Outcome.CONNECT_FAILED, api.Outcome.QUEUE_FULL, api.Outcome.IGNORED}
        ran = [b for number, b in tries if outcomes.get((request, number)) not in never]
        if kinds[request] == "wipe":
            assert len(ran) <= 1  # it must not run twice
        if kinds[request] == "order":
            assert len({(fleet.zone_of[b], fleet.cell_of[b]) for b in ran}) <= 1  # only within one cell


def test_a_request_with_an_idempotency_key_is_retried_within_one_cell_in_a_failing_zone() -> None:
    fleet = Fleet(ZONES, 2, own=zone_of_gateway, can_hedge=False)
    fleet.run(1500, gap=40, kinds=("order",))
    fleet.mode["b"] = "fails"
    fleet.run(4000, gap=40, kinds=("order",))
    tries: dict[tuple[int, str], list[int]] = {}
    for _, index, backend, request in fleet.sent:
        tries.setdefault((index, request), []).append(backend)
    again = [backends for backends in tries.values() if len(backends) > 1]
    cells = [{(fleet.zone_of[b], fleet.cell_of[b]) for b in backends} for backends in again]
    assert again and all(len(cell) == 1 for cell in cells)


def test_very_low_traffic_is_served_though_no_gateway_has_enough_evidence() -> None:
    fleet = Fleet(ZONES, 30, own=zone_of_gateway)
    fleet.run(6000, gap=2000)
    fleet.mode["b"] = "refuses"
    before = Counts(fleet.ended)
    fleet.run(12_000, gap=2000)
    done = fleet.ended - before
    assert done["served"] > 0.97 * sum(done.values())


# ---- operators ----


def test_a_zone_that_operators_enable_again_returns_as_cold() -> None:
    fleet = Fleet(ZONES, 4, own=zone_of_gateway)
    fleet.run(2000, gap=50)
    for index in range(4):
        fleet.give(index, api.ZoneOverridden("b", True, fleet.now))
        fleet.give(index, api.ZoneOverridden("b", True, fleet.now))  # a repeated call changes nothing
    since = fleet.now
    fleet.run(3000, gap=50)
    assert not fleet.to("b", since) and zone_states(fleet, "b") == {ZoneState.DISABLED: 4}
    back = fleet.now
    for index in range(4):
        fleet.give(index, api.ZoneOverridden("b", False, fleet.now))
    fleet.run(20_000, gap=50)
    first, last = fleet.share("b", back, back + 2000), fleet.share("b", fleet.now - 3000)
    assert 0 < first < 0.5 * last and last > 0.2


def test_with_all_zones_disabled_requests_are_rejected_at_once() -> None:
    fleet = Fleet(ZONES, 1, own=zone_of_gateway)
    fleet.run(500, gap=50)
    for zone in ZONES:
        fleet.give(0, api.ZoneOverridden(zone, True, fleet.now))
    since, before = fleet.now, fleet.ended["Reject"]
    fleet.run(500, gap=50)
    assert not [at for at, *_ in fleet.sent if at > since] and fleet.ended["Reject"] > before


# A request that is not idempotent. An idempotent one is cancelled after five times the usual latency, here a
# few milliseconds: a busy machine may exceed that, and there is no other backend to try.
NON_IDEMPOTENT_REQUEST = {"name": b"wipe", "body": b"x"}


class WorldWithTwoZones(World):
    """Two backends, of which the second is in zone b."""

    def hosts(self) -> list[dict[str, object]]:
        return [host("h0", self.backends[0].port), {**host("h1", self.backends[1].port), "site": "b"}]


def test_zones_disabled_by_an_operator_are_stored_and_shown() -> None:
    async def scenario() -> None:
        servers = (Backend(), Backend())
        async with running(WorldWithTwoZones(*servers)) as world:
            assert (await call(world, "POST", "/ops/zones/down", b'{"id":"nowhere"}'))[0] == 404
            assert (await call(world, "POST", "/ops/zones/down", b"{}"))[0] == 400
            for _ in range(2):
                assert (await call(world, "POST", "/ops/zones/down", b'{"id":"b"}'))[0] == 200
            peer = await world.client()
            for number in range(20):
                assert await world.ask(peer, id=b"r%d" % number, **NON_IDEMPOTENT_REQUEST) == b"value"
            assert len(servers[0].got) == 20 and not servers[1].got
            counts = await gateway_metrics(world)
            assert counts["zone.a.attempts"] == 20 and counts["zone.a.share"] == 100
            assert counts["zone.b.state"] == 3 and counts["ejected"] == 1
        async with running(WorldWithTwoZones(*servers)) as world:  # the next process of the same gateway
            peer = await world.client()
            for number in range(20):
                assert await world.ask(peer, id=b"s%d" % number, **NON_IDEMPOTENT_REQUEST) == b"value"
            assert not servers[1].got
            assert (await call(world, "POST", "/ops/zones/up", b'{"id":"b"}'))[0] == 200
            number = 0
            while not servers[1].got:  # the enabled backend gets a request within 2 s
                number += 1
                await world.ask(peer, id=b"t%d" % number)
                await asyncio.sleep(0.01)
            await until(lambda: servers[1].got)

    in_loop(scenario)


# ---- settings ----


def test_regions_may_be_configured() -> None:
    assert parse_config(gateway_config()).settings.regions == ()
    made = parse_config(gateway_config(regions={"north": ["a", "b"], "south": ["c"]}))
    assert dict(made.settings.regions) == {"a": "north", "b": "north", "c": "south"}


@pytest.mark.parametrize(
    "given", [[], "a", {"north": "a"}, {"north": [1]}, {"north": [""]}, {"north": ["a"], "south": ["a"]}]
)
def test_a_malformed_table_of_regions_refuses_the_start_in_one_line(given: object) -> None:
    with pytest.raises(ConfigError, match="regions: ") as caught:
        parse_config(gateway_config(regions=given))
    assert "\n" not in str(caught.value) and json.dumps(given)


def test_with_a_zone_lost_requests_beyond_the_capacity_of_the_others_are_rejected_at_once() -> None:
    """Three zones run at 85% of capacity: with one lost, the load is a quarter above what two can do."""
    fleet = Fleet(ZONES, 6, own=zone_of_gateway)
    fleet.work_ms = 50.0  # 360 requests a second over all backends
    fleet.run(4000, gap=6 * 1000 / 306)
    lost = fleet.now
    fleet.mode["b"] = "silent"
    fleet.run(2000, gap=6 * 1000 / 306)
    served, refused = len(fleet.served_after), len(fleet.refused_after)
    fleet.run(6000, gap=6 * 1000 / 306)
    answered, turned = sorted(fleet.served_after[served:]), sorted(fleet.refused_after[refused:])
    assert len(answered) > 0.8 * 6 * 240  # the others serve nearly their full capacity
    assert answered[len(answered) * 95 // 100] < 1000  # within the latency objective, as no queue builds up
    assert turned and turned[len(turned) * 3 // 4] < 50  # most are rejected at once
    assert fleet.share("b", lost + 3000) < 0.06


def test_a_zone_lost_together_with_the_counter_is_left_and_requests_are_served() -> None:
    fleet = Fleet(ZONES, 6, own=zone_of_gateway)
    fleet.run(4000, gap=50, plan="quota")
    fleet.mode["b"], fleet.counter = "silent", "lost"
    fleet.run(3000, gap=50, plan="quota")
    since, before = fleet.now, Counts(fleet.ended)
    fleet.run(4000, gap=50, plan="quota")
    assert zone_states(fleet, "b")[ZoneState.LEFT] >= 5 and fleet.share("b", since) < 0.06
    done = fleet.ended - before
    assert done["served"] > 0.9 * done.total() - done["Reject"] and done["served"] > 100
    fleet.counter = "answers"
    fleet.mode.clear()
    fleet.run(15_000, gap=50, plan="quota")
    assert fleet.share("b", fleet.now - 3000) > 0.15


def test_a_late_list_that_names_removed_backends_costs_few_attempts() -> None:
    fleet = Fleet(ZONES, 4, own=zone_of_gateway)
    fleet.run(2000, gap=50)
    for backend in fleet.of("b"):
        fleet.mode[backend] = "refuses"  # the backend is gone, but the list still names it
    fleet.run(6000, gap=50)
    assert fleet.share("b", fleet.now - 3000) < 0.06
    fleet.tell(fleet.of("b"), state=api.BackendState.GONE)
    since = fleet.now
    fleet.run(2000, gap=50)
    assert not fleet.to("b", since) and all(not g.zones.by_name["b"].usable_backends for g in fleet.gateways)
