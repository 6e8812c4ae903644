"""Zones: evidence, leaving, returning, nearness, operators; sums over fleets of gateways on one clock."""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections import Counter as Counts
from pathlib import Path

import neutral_form
import pytest
from connection_figures import config, figures
from gateway_fleet import Fleet
from helpers import settings
from hypothesis import given
from hypothesis import settings as limits
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

RECORDED = Path(__file__).parents[1] / "recorded/one_zone.jsonl"
ZONES = {"a": 6, "b": 6, "c": 6}


def spread(index: int) -> str:
    return "abc"[index % 3]


def states(fleet: Fleet, zone: str) -> Counts[ZoneState]:
    return Counts(g.zones.by_name[zone].state for g in fleet.gateways)


def rounded(text: str) -> str:
    return re.sub(r"\d+\.\d+(e-?\d+)?", lambda found: f"{float(found[0]):.4f}", text)


def test_with_one_zone_the_actions_are_those_of_the_module_without_zones() -> None:
    """The file was recorded with the module as it was before there was anything for zones."""
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
    recorded = RECORDED.read_text().splitlines()
    assert len(lines) == len(recorded) > 250
    for line, before in zip(lines, recorded, strict=True):
        assert rounded(neutral_form.line(line)) == rounded(before)


# ---- evidence and leaving ----


@pytest.mark.parametrize("mode", ["silent", "refuses", "fails"])
def test_a_lost_zone_is_left_by_all_and_tested_by_few(mode: str) -> None:
    fleet = Fleet(ZONES, 12, own=spread)
    fleet.run(3000, gap=50)
    assert 0.25 < fleet.share("b", 0) < 0.42
    lost_at = fleet.now
    fleet.mode["b"] = mode
    fleet.run(3000, gap=50)
    # Each gateway leaves it after some outcomes of several backends.
    assert states(fleet, "b") == {ZoneState.LEFT: 12}
    for index in range(12):
        tried = [at for at, i, b, _ in fleet.sent if i == index and at > lost_at and fleet.zone_of[b] == "b"]
        left_at = next(at for at, i, text in fleet.remarks if i == index and "zone b is left" in text)
        assert sum(at <= left_at for at in tried) <= 16
    since = fleet.now
    fleet.run(4000, gap=50)
    # From then on only tests go there: one in 1 to 3 s of each gateway.
    assert 0 < fleet.to("b", since) <= 12 * 4 + 12
    assert fleet.share("b", since) < 0.06
    assert fleet.ended["served"] > 0.97 * sum(fleet.ended.values())


def test_one_bad_backend_condemns_no_zone_nor_do_two_in_two_zones() -> None:
    fleet = Fleet(ZONES, 6, own=spread)
    fleet.mode |= {2000: "refuses", 3000: "silent"}
    fleet.run(12_000, gap=50)
    assert not fleet.remarks
    assert fleet.share("b", 2000) > 0.2 and fleet.share("c", 2000) > 0.2


def test_a_zone_that_is_slow_and_does_not_fail_is_not_left() -> None:
    fleet = Fleet(ZONES, 6, own=spread)
    fleet.slow["b"] = 1.8
    fleet.run(8000, gap=50)
    assert not fleet.remarks and 0 < fleet.share("b", 2000) < 0.34


def test_the_rest_of_a_zone_is_judged_by_the_failures_of_several() -> None:
    """Three of six have failed once each: the next request goes to none of the other three."""
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


def test_a_zone_of_one_backend_is_judged_as_a_backend() -> None:
    fleet = Fleet({"a": 6, "b": 1}, 4, own=lambda _: "a")
    fleet.mode["b"] = "refuses"
    fleet.run(6000, gap=40)
    assert not fleet.remarks and fleet.share("b", 2000) < 0.06
    assert fleet.ended["served"] == sum(fleet.ended.values())


# ---- when everything looks failing ----


def test_where_all_fails_nothing_is_left_out() -> None:
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


def test_a_gateway_that_is_cut_off_keeps_to_its_own_zone() -> None:
    fleet = Fleet(ZONES, 3, own=lambda _: "a")
    fleet.run(2000, gap=50)
    fleet.mode |= {"b": "silent", "c": "silent"}
    fleet.run(3000, gap=50)
    since, before = fleet.now, sum(fleet.ended.values())
    fleet.run(3000, gap=50)
    assert fleet.share("a", since) > 0.9
    assert fleet.ended["served"] > 0.9 * before


# ---- coming back ----


def test_a_zone_returns_by_a_ramp_that_differs_between_gateways() -> None:
    fleet = Fleet(ZONES, 12, own=spread)
    fleet.run(2000, gap=50)
    fleet.mode["b"] = "silent"
    fleet.run(4000, gap=50)
    fleet.mode.clear()
    back = fleet.now
    fleet.run(30_000, gap=50)
    assert states(fleet, "b") == {ZoneState.UP: 12}
    per_second = [fleet.share("b", back + s * 1000, back + (s + 1) * 1000) for s in range(30)]
    usual = sum(per_second[-5:]) / 5
    assert 0.2 < usual < 0.45
    # Nobody is given its whole share at once, and all have it after evidence has faded and the slow start.
    assert max(per_second[:2]) < 0.5 * usual
    assert max(per_second) < 1.5 * usual and min(per_second[20:]) > 0.6 * usual
    ends = [at for at, _, text in fleet.remarks if "return is complete" in text]
    assert len(ends) == 12 and max(ends) - min(ends) > 1000


def test_a_cold_zone_is_given_no_more_than_the_rule_on_cold_backends_bears() -> None:
    """All of a zone restarts: by its ramp and by each backend's warmth, summed over the fleet."""
    fleet = Fleet(ZONES, 12, own=spread)
    fleet.run(4000, gap=50)
    usual = fleet.to("b", fleet.now - 3000) / 3000
    fleet.mode["b"] = "refuses"
    fleet.run(4000, gap=50)
    fleet.mode.clear()
    began = fleet.now
    fleet.tell(fleet.of("b"), started=began)
    fleet.run(12_000, gap=50)
    rules = settings().rules
    for second in range(9):  # any 3 s: less than what the least capacity times the multiple bears
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


def test_a_zone_lost_while_another_drains() -> None:
    fleet = Fleet(ZONES, 6, own=spread)
    fleet.run(2000, gap=50)
    fleet.tell(fleet.of("c"), state=api.BackendState.DRAINING)
    fleet.mode["b"] = "silent"
    told = fleet.now
    fleet.run(6000, gap=50)
    assert not fleet.to("c", told) and fleet.share("a", told + 3000) > 0.85


def test_a_whole_zone_replaced_at_once_starts_without_the_old_one_s_evidence() -> None:
    fleet = Fleet(ZONES, 6, own=spread)
    fleet.run(2000, gap=50)
    fleet.mode["b"] = "silent"
    fleet.run(3000, gap=50)
    assert states(fleet, "b")[ZoneState.LEFT] == 6
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
    assert old and states(fleet, "b") == {ZoneState.UP: 6} and fleet.share("b", fleet.now - 4000) > 0.2


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


def test_zones_have_a_bound_and_an_end() -> None:
    zones = Zones(settings(), random.Random(1))
    zones.update_backends(0.0, [(n, f"z{n}", True) for n in range(500)])
    assert len(zones.by_name) == MAX_ZONES
    zones.on_outcome(1.0, 400, "z400", is_lost=True)  # of no zone that is kept
    zones.update_backends(ZONE_TTL_MS + 1, [(1, "z1", True)])
    assert list(zones.by_name) == ["z1"] and not zones.is_multi_zone


def test_slices_cover_each_zone_and_a_change_moves_its_own_backends_alone() -> None:
    zones = {"a": 60, "b": 60, "c": 6}
    fleet = Fleet(zones, 40, own=spread)
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


# ---- near ----


def test_the_share_that_crosses_follows_the_price() -> None:
    crossing = []
    for price in (0.0, 0.05, 0.2):
        fleet = Fleet(ZONES, 9, own=spread, cross_zone_price=price)
        fleet.run(6000, gap=100)
        crossed = sum(spread(i) != fleet.zone_of[b] for _, i, b, _ in fleet.sent) / len(fleet.sent)
        crossing.append(crossed)
    assert 0.5 < crossing[0] < 0.72 and crossing[0] > crossing[1] > crossing[2] and crossing[2] < 0.3


def test_a_small_zone_with_many_gateways_does_not_drown_and_spills_by_degree() -> None:
    fleet = Fleet({"a": 2, "b": 12, "c": 12}, 12, own=lambda _: "a", cross_zone_price=0.2)
    fleet.run(4000, gap=50)
    assert fleet.share("a", 1000) < 0.2  # of 26 backends two are there
    shares = []
    for gap in (400, 20, 6):
        fleet = Fleet({"a": 6, "b": 6}, 2, own=lambda _: "a", cross_zone_price=0.1)
        fleet.run(3000, gap=gap)
        shares.append(fleet.share("b", 0))
    assert shares[0] < shares[1] < shares[2] < 0.5


def test_the_own_region_goes_before_the_rest() -> None:
    regions = (("a", "north"), ("b", "north"), ("c", "south"))
    fleet = Fleet(ZONES, 6, own=lambda _: "a", cross_zone_price=0.1, regions=regions)
    fleet.run(4000, gap=60)
    assert fleet.share("a", 0) > fleet.share("b", 0) > fleet.share("c", 0)
    given = settings(zone="x", regions=regions)
    zones = Zones(given, random.Random(1))
    routing = ZoneRouting(given, random.Random(1), zones)
    assert [routing.distance(z) for z in "xabc"] == [0, 2, 2, 2]  # of no region that is named
    zones.regions = {}
    assert [routing.distance(z) for z in "xabc"] == [0, 1, 1, 1]


# ---- rules ----


KINDS = ("view", "order", "wipe")
CHANGES = ["silent", "refuses", "fails", "answers", "restart", "drain", "hold", "free", "pass"]
THINGS = st.sampled_from(CHANGES)


@limits(max_examples=30)
@given(st.integers(0, 999), st.lists(st.tuples(THINGS, st.sampled_from("abc")), max_size=12))
def test_no_order_of_events_breaks_a_rule(seed: int, steps: list[tuple[str, str]]) -> None:
    fleet = Fleet({"a": 4, "b": 4, "c": 2}, 2, own=spread, seed=seed)
    shut: dict[str, float] = {}
    fleet.run(300, gap=30, kinds=KINDS)
    for what, zone in steps:
        if what in ("silent", "refuses", "fails", "answers"):
            fleet.mode[zone] = what
        elif what == "restart":
            shut.pop(zone, None)
            fleet.tell(fleet.of(zone), started=fleet.now)
        elif what == "drain":
            shut[zone] = fleet.now
            fleet.tell(fleet.of(zone), state=api.BackendState.DRAINING)
        elif what in ("hold", "free"):
            for index in range(2):
                fleet.give(index, api.ZoneOverridden(zone, what == "hold", fleet.now))
        since = fleet.now
        fleet.run(400, gap=30, kinds=KINDS)
        held = fleet.gateways[0].zones.disabled
        assert not any(fleet.zone_of[b] in {*shut, *held} for at, _, b, _ in fleet.sent if at > since)
    fleet.run(5000, gap=100, kinds=KINDS)
    kinds = {e.request: e.request_class for _, e, _ in fleet.events if isinstance(e, api.RequestArrived)}
    outcomes = {
        (e.request, e.attempt): e.outcome for _, e, _ in fleet.events if isinstance(e, api.AttemptEnded)
    }
    out: dict[str, list[tuple[int, int]]] = {}
    for _, index, backend, request in fleet.sent:
        if index == 0:
            out.setdefault(request, []).append((len(out.get(request, ())), backend))
    for request, tries in out.items():
        never = {api.Outcome.CONNECT_FAILED, api.Outcome.QUEUE_FULL, api.Outcome.IGNORED}
        ran = [b for number, b in tries if outcomes.get((request, number)) not in never]
        if kinds[request] == "wipe":
            assert len(ran) <= 1  # it never runs twice
        if kinds[request] == "order":
            assert len({(fleet.zone_of[b], fleet.cell_of[b]) for b in ran}) <= 1  # within its rack


def test_keyed_work_may_be_repeated_in_a_rack_of_a_zone_that_is_left() -> None:
    fleet = Fleet(ZONES, 2, own=spread, can_hedge=False)
    fleet.run(1500, gap=40, kinds=("order",))
    fleet.mode["b"] = "fails"
    fleet.run(4000, gap=40, kinds=("order",))
    tries: dict[tuple[int, str], list[int]] = {}
    for _, index, backend, request in fleet.sent:
        tries.setdefault((index, request), []).append(backend)
    again = [backends for backends in tries.values() if len(backends) > 1]
    racks = [{(fleet.zone_of[b], fleet.cell_of[b]) for b in backends} for backends in again]
    assert again and all(len(rack) == 1 for rack in racks)


def test_very_thin_traffic_is_served_though_no_gateway_sees_enough() -> None:
    fleet = Fleet(ZONES, 30, own=spread)
    fleet.run(6000, gap=2000)
    fleet.mode["b"] = "refuses"
    before = Counts(fleet.ended)
    fleet.run(12_000, gap=2000)
    done = fleet.ended - before
    assert done["served"] > 0.97 * sum(done.values())


# ---- operators ----


def test_operators_take_a_zone_out_and_put_it_back_cold() -> None:
    fleet = Fleet(ZONES, 4, own=spread)
    fleet.run(2000, gap=50)
    for index in range(4):
        fleet.give(index, api.ZoneOverridden("b", True, fleet.now))
        fleet.give(index, api.ZoneOverridden("b", True, fleet.now))  # calls may be repeated
    since = fleet.now
    fleet.run(3000, gap=50)
    assert not fleet.to("b", since) and states(fleet, "b") == {ZoneState.DISABLED: 4}
    back = fleet.now
    for index in range(4):
        fleet.give(index, api.ZoneOverridden("b", False, fleet.now))
    fleet.run(20_000, gap=50)
    first, last = fleet.share("b", back, back + 2000), fleet.share("b", fleet.now - 3000)
    assert 0 < first < 0.5 * last and last > 0.2


def test_with_the_last_zone_out_requests_are_refused_at_once() -> None:
    fleet = Fleet(ZONES, 1, own=spread)
    fleet.run(500, gap=50)
    for zone in ZONES:
        fleet.give(0, api.ZoneOverridden(zone, True, fleet.now))
    since, before = fleet.now, fleet.ended["Reject"]
    fleet.run(500, gap=50)
    assert not [at for at, *_ in fleet.sent if at > since] and fleet.ended["Reject"] > before


# Work that is sent once: a safe request is called off after five times the usual answer's time, here some
# milliseconds, which a busy machine may take, and there is no other backend to try.
ONCE = {"name": b"wipe", "body": b"x"}


class Zoned(World):
    """Its second backend stands in zone b."""

    def hosts(self) -> list[dict[str, object]]:
        return [host("h0", self.backends[0].port), {**host("h1", self.backends[1].port), "site": "b"}]


def test_zones_out_by_hand_are_kept_and_shown() -> None:
    async def scenario() -> None:
        servers = (Backend(), Backend())
        async with running(Zoned(*servers)) as world:
            assert (await call(world, "POST", "/ops/zones/down", b'{"id":"nowhere"}'))[0] == 404
            assert (await call(world, "POST", "/ops/zones/down", b"{}"))[0] == 400
            for _ in range(2):
                assert (await call(world, "POST", "/ops/zones/down", b'{"id":"b"}'))[0] == 200
            peer = await world.client()
            for number in range(20):
                assert await world.ask(peer, id=b"r%d" % number, **ONCE) == b"value"
            assert len(servers[0].got) == 20 and not servers[1].got
            counts = await figures(world)
            assert counts["zone.a.attempts"] == 20 and counts["zone.a.share"] == 100
            assert counts["zone.b.state"] == 3 and counts["ejected"] == 1
        async with running(Zoned(*servers)) as world:  # the next process of that name
            peer = await world.client()
            for number in range(20):
                assert await world.ask(peer, id=b"s%d" % number, **ONCE) == b"value"
            assert not servers[1].got
            assert (await call(world, "POST", "/ops/zones/up", b'{"id":"b"}'))[0] == 200
            number = 0
            while not servers[1].got:  # it is owed one within 2 s
                number += 1
                await world.ask(peer, id=b"t%d" % number)
                await asyncio.sleep(0.01)
            await until(lambda: servers[1].got)

    in_loop(scenario)


# ---- settings ----


def test_regions_may_be_configured() -> None:
    assert parse_config(config()).settings.regions == ()
    made = parse_config(config(regions={"north": ["a", "b"], "south": ["c"]}))
    assert dict(made.settings.regions) == {"a": "north", "b": "north", "c": "south"}


@pytest.mark.parametrize(
    "given", [[], "a", {"north": "a"}, {"north": [1]}, {"north": [""]}, {"north": ["a"], "south": ["a"]}]
)
def test_a_malformed_table_of_regions_refuses_the_start_in_one_line(given: object) -> None:
    with pytest.raises(ConfigError, match="regions: ") as caught:
        parse_config(config(regions=given))
    assert "\n" not in str(caught.value) and json.dumps(given)


def test_what_the_other_zones_can_t_take_is_refused_at_once_and_not_piled_up() -> None:
    """Three zones at 85%: with one lost, the other two are asked for a quarter more than they can do."""
    fleet = Fleet(ZONES, 6, own=spread)
    fleet.work_ms = 50.0  # 360 a second of all
    fleet.run(4000, gap=6 * 1000 / 306)
    lost = fleet.now
    fleet.mode["b"] = "silent"
    fleet.run(2000, gap=6 * 1000 / 306)
    served, refused = len(fleet.served_after), len(fleet.refused_after)
    fleet.run(6000, gap=6 * 1000 / 306)
    answered, turned = sorted(fleet.served_after[served:]), sorted(fleet.refused_after[refused:])
    assert len(answered) > 0.8 * 6 * 240  # the others do nearly all they can
    assert answered[len(answered) * 95 // 100] < 1000  # within the aim, as nothing piles up
    assert turned and turned[len(turned) * 3 // 4] < 50  # most are told at once
    assert fleet.share("b", lost + 3000) < 0.06


def test_the_counter_lost_along_with_a_zone() -> None:
    fleet = Fleet(ZONES, 6, own=spread)
    fleet.run(4000, gap=50, plan="quota")
    fleet.mode["b"], fleet.counter = "silent", "lost"
    fleet.run(3000, gap=50, plan="quota")
    since, before = fleet.now, Counts(fleet.ended)
    fleet.run(4000, gap=50, plan="quota")
    assert states(fleet, "b")[ZoneState.LEFT] >= 5 and fleet.share("b", since) < 0.06
    done = fleet.ended - before
    assert done["served"] > 0.9 * done.total() - done["Reject"] and done["served"] > 100
    fleet.counter = "answers"
    fleet.mode.clear()
    fleet.run(15_000, gap=50, plan="quota")
    assert fleet.share("b", fleet.now - 3000) > 0.15


def test_a_list_that_comes_late_and_names_backends_that_are_gone() -> None:
    fleet = Fleet(ZONES, 4, own=spread)
    fleet.run(2000, gap=50)
    for backend in fleet.of("b"):
        fleet.mode[backend] = "refuses"  # gone, and the list does not know
    fleet.run(6000, gap=50)
    assert fleet.share("b", fleet.now - 3000) < 0.06
    fleet.tell(fleet.of("b"), state=api.BackendState.GONE)
    since = fleet.now
    fleet.run(2000, gap=50)
    assert not fleet.to("b", since) and all(not g.zones.by_name["b"].usable_backends for g in fleet.gateways)
