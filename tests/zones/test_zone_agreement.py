"""Decisions to leave zones and to return to them: whole fleets on a simulated clock, and single functions."""

from __future__ import annotations

import itertools
import math
import random
from collections import Counter as Counts
from typing import Any

import msgspec
import pytest
from helpers import settings as module_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from linked_fleet import LinkedFleet

from switchline import ctl
from switchline.clock import now_ms
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import MAX_DECISIONS, Facts, overriding_entry
from switchline.fleet.messages import Entry, MemberState
from switchline.policy import Gateway
from switchline.policy import interface as api
from switchline.state.restore import is_valid_zone_decision
from switchline.zones.agreement import ZoneAgreement
from switchline.zones.capacity import DEAD_MEMBER_LOAD_TTL_S, loads_by_place
from switchline.zones.decision import RAMP_STEPS, ZoneDecision, decode_decision, entry_to_row, row_to_entry
from switchline.zones.evidence import pool_reports
from switchline.zones.leaving import CONFIRMATION_S, evidence_to_leave
from switchline.zones.ramp import backend_range, capacity_ratio_at, weights_by_load
from switchline.zones.reports import LocalObservation, PublishedReport, ReceivedReport, decode_report
from switchline.zones.returning import SlowStart
from testbed.network.fleet_link import Net, acquaint, address_of

ZONES = {"a": 8, "b": 8, "c": 8}


def zone_of_gateway(index: int) -> str:
    return "abc"[index % 3]


def started_fleet(gateways: int = 12, seed: int = 1, **changes: Any) -> LinkedFleet:
    made = LinkedFleet(ZONES, gateways, own=zone_of_gateway, seed=seed, **changes)
    made.run(3000, gap=50)
    return made


# ---- whole fleets ----


@pytest.mark.parametrize("mode", ["silent", "refuses"])
def test_all_gateways_leave_a_lost_zone_within_a_second_and_share_its_probes(mode: str) -> None:
    play = started_fleet()
    lost_at = play.now
    play.mode["b"] = mode
    play.run(1500, gap=50)
    assert play.zone_states("b") == {"left"} and play.zone_states("a") == play.zone_states("c") == {"up"}
    left = [at for at, _, text in play.remarks if "zone b is left" in text]
    assert len(left) == 12 and max(left) - min(left) < 1000
    since = play.now
    play.run(6000, gap=50)
    # One probe a second by all; alone, each of twelve gateways would send three.
    assert play.to("b", since) <= 12
    assert play.to("b", lost_at) < 75 and play.ended["served"] > 0.97 * sum(play.ended.values())


def test_the_rates_of_all_gateways_in_a_ramp_add_up_to_what_cold_backends_bear() -> None:
    play = started_fleet()
    play.mode["b"] = "refuses"
    play.run(4000, gap=50)
    play.mode.clear()
    back = play.now
    play.tell(play.of("b"), started=back)  # as if just restarted
    play.run(22_000, gap=50)
    returning = [at for at, e in play.decisions if decode_decision(e.value).state == "returning"]
    # The ramps of all three zones' gateways have begun.
    begun = max(at for at in returning if at < returning[0] + 1000)
    total, warm_ms = 12 * 20.0, play.gateways[0].settings.rules.warm_up_ms
    used = allowed = 0.0
    for at in range(int(begun), int(begun + 0.7 * warm_ms), 500):
        # The capacity ratio on the way from cold to warm, limited to the zone's even share.
        share = min(2 / 3, capacity_ratio_at(int((at + 500 - begun) / warm_ms * RAMP_STEPS) + 1, 0.2))
        used, allowed = used + play.to("b", at, at + 500), allowed + share * total / 2 * 0.5
        assert play.to("b", at, at + 500) <= share * total / 2 * 0.5 + 8
    assert 0.6 * allowed < used <= allowed
    assert play.zone_states("b") == {"up"} and [act.state for act in play.decisions_on("b")][-1] == "up"


def test_a_partition_between_two_zones_makes_only_those_two_leave_each_other() -> None:
    play = started_fleet()
    play.unreachable_zones = {("a", "b"), ("b", "a")}
    play.run(4000, gap=50)
    assert play.zone_states("b", own="a") == play.zone_states("a", own="b") == {"left"}
    assert play.zone_states("a", own="c") == play.zone_states("b", own="c") == play.zone_states("c") == {"up"}
    play.unreachable_zones.clear()
    play.run(32_000, gap=50)
    assert play.zone_states("a") == play.zone_states("b") == {"up"}


def test_with_little_traffic_pooled_reports_make_all_gateways_leave_a_lost_zone() -> None:
    play = LinkedFleet(ZONES, 60, own=zone_of_gateway, seed=2)
    play.run(6000, gap=1000)
    lost_at = play.now
    play.mode["b"] = "refuses"
    play.run(3000, gap=1000)
    assert play.zone_states("b") == {"left"}
    highest = max(sum(at > lost_at and i == index for at, i, *_ in play.sent) for index in range(60))
    assert highest < 15 and play.to("b", lost_at) < 60  # each gateway reached only a few of its backends


def test_lossy_links_and_stopped_gateways_make_no_gateway_leave_a_zone() -> None:
    play = started_fleet(seed=3)
    play.loss, play.net.loss = 0.1, 0.1
    for number in (2, 7):
        play.net.stop(number, 3.0)
        play.run(6000, gap=50)
    assert not [act for zone in ZONES for act in play.decisions_on(zone)]
    assert not play.remarks


def test_a_zone_that_flaps_is_counted_and_the_healthy_half_of_a_zone_is_used() -> None:
    play = started_fleet()
    for _ in range(2):
        play.mode["b"] = "refuses"
        play.run(3000, gap=50)
        play.mode.clear()
        play.run(12_000, gap=50)
    assert {act.flaps for act in play.decisions_on("b")} == {0, 1}
    play.mode |= dict.fromkeys(play.of("b")[4:], "refuses")
    play.run(45_000, gap=50)
    decisions_on = [decode_decision(entry.value) for _, entry in play.decisions if entry.name == "a>b"]
    # Each of the four causes at most one step back; then traffic returns in full to the others.
    assert any("backends fail" in act.reason for act in decisions_on) and decisions_on[-1].state == "up"
    assert play.to("b", play.now - 4000) > 40


def test_no_cold_backend_of_a_returning_zone_is_overloaded_by_many_gateways() -> None:
    """When backends were chosen at random, some got up to 1.65 of what they bear in a half second."""
    play = started_fleet(gateways=24, seed=2)
    play.run(7000, gap=50)
    play.mode["b"] = "refuses"
    play.run(10_000, gap=50)
    play.mode.clear()
    back, warm_ms = play.now, play.gateways[0].settings.rules.warm_up_ms
    play.tell(play.of("b"), started=back)
    play.run(0.7 * warm_ms, gap=50)
    each = 24 * 20 / 16  # requests per second of a warm backend, as the other zones' backends serve
    got = Counts((int((at - back) // 500), b) for at, _, b, _ in play.sent if at >= back)
    bears = {n: each / 2 * (0.2 + 0.8 * min(1.0, (n + 1) * 500 / warm_ms)) for n in {n for n, _ in got}}
    highest = max(number / bears[n] for (n, b), number in got.items() if play.zone_of[b] == "b")
    assert highest < 1.2, highest  # a margin of one request
    assert play.to("b", play.now - 1000) > 0.6 * 8 * each * 0.66


def test_two_lost_zones_are_left_but_the_last_zone_in_use_is_not() -> None:
    play = started_fleet()
    play.mode |= {"a": "refuses", "b": "silent"}
    play.run(3000, gap=50)
    assert play.zone_states("a") == play.zone_states("b") == {"left"} and play.zone_states("c") == {"up"}
    play.mode["c"] = "refuses"
    play.run(3000, gap=50)
    assert not [act for act in play.decisions_on("c") if act.state == "left"]


def test_zones_of_a_region_return_one_after_another_and_a_stalled_ramp_blocks_none() -> None:
    play = started_fleet(regions=(("a", "north"), ("b", "north"), ("c", "south")))
    play.mode |= {"a": "refuses", "b": "refuses"}
    play.run(4000, gap=50)
    assert play.zone_states("a") == play.zone_states("b") == {"left"}
    play.mode.clear()
    play.run(25_000, gap=50)
    assert play.zone_states("a") == play.zone_states("b") == {"up"}
    for observers in ZONES:
        steps: dict[str, int] = {}
        for _, entry in play.decisions:
            act, name = decode_decision(entry.value), entry.name
            if name.startswith(observers) and act.state == "returning":
                assert name in steps or all(step >= RAMP_STEPS // 2 for step in steps.values())
                steps[name] = act.step
        assert len(steps) == 2
    agreement = play.agreements[2]  # the other ramp stalls: the wait ends after warm_up_s
    facts = Facts("g0", (1, 1))
    facts.publish_decision(
        0.0,
        FactKind.ZONE_DECISION,
        f"{agreement.zone}>a",
        msgspec.json.encode(ZoneDecision("returning", 1)).decode(),
    )
    assert agreement._waits_for_region(facts, "b", 1_000.0) and agreement._waits_for_region(
        facts, "b", 1_000.0 + agreement.slow_start.warm_up_s - 0.1
    )
    assert not agreement._waits_for_region(facts, "b", 1_000.0 + agreement.slow_start.warm_up_s)


def test_gateways_without_a_link_to_each_other_follow_their_own_evidence() -> None:
    play = started_fleet()
    play.net.cut = lambda one, other: True
    play.run(9000, gap=50)  # until they consider each other dead
    play.mode["b"] = "refuses"
    play.run(4000, gap=50)
    assert not play.decisions_on("b") and play.zone_states("b") == {"left"}  # each by its own evidence


def test_a_gateway_stopped_during_a_ramp_sends_nothing_until_it_receives_new_facts() -> None:
    play = started_fleet()
    play.mode["b"] = "refuses"
    play.run(3000, gap=50)
    play.mode.clear()
    play.run(6000, gap=50)
    assert play.zone_states("b") == {"returning"}
    play.net.stop(1, 3.0)
    play.mode["b"] = "refuses"
    play.run(2900, gap=50)  # the stopped gateway evaluates nothing while the others leave the zone again
    since = play.now
    play.run(2000, gap=50)
    assert sum(at > since + 100 and i == 1 and play.zone_of[b] == "b" for at, i, b, _ in play.sent) <= 2


# ---- evidence ----

OBSERVATIONS = st.lists(
    st.tuples(st.sampled_from("abc"), st.frozensets(st.integers(0, 7)), st.frozensets(st.integers(0, 7))),
    max_size=8,
)


def report_from(name: str, zone: str, lost: Any, well: Any) -> ReceivedReport:
    """A gateway's report in which answers are later than losses."""
    return ReceivedReport(name, zone, {f"b{b}": 1.0 for b in lost}, {f"b{b}": 2.0 for b in well})


def leaves_zone(own: str, reports: list[ReceivedReport]) -> bool:
    """Whether the gateways of zone `own` leave zone b on these reports."""
    ours = pool_reports(report for report in reports if report.observer_zone == own)
    return evidence_to_leave(ours, reports, 8, is_sole_observer=False) is not None


@settings(max_examples=300, deadline=None)
@given(OBSERVATIONS, st.sampled_from("abc"))
def test_no_zone_is_left_on_one_observer_few_backends_or_one_other_zone(
    observations: list[Any], own: str
) -> None:
    reports = [
        report_from(f"g{number}", zone, lost, well) for number, (zone, lost, well) in enumerate(observations)
    ]
    loss_reports = [report for report in reports if report.lost_at_s]
    backends = {b for report in reports for b in report.lost_at_s}
    zones = {report.observer_zone for report in loss_reports}
    if len(loss_reports) < 2 or len(backends) < 3 or (len(zones) < 2 and zones != {own}):
        assert not leaves_zone(own, reports)
    for report in loss_reports:  # nor on one observer's report and a single loss of another
        loss = report_from("other", own, list(range(1)), ())
        assert not leaves_zone(own, [report, loss])
    for order in itertools.islice(itertools.permutations(reports), 6):
        assert leaves_zone(own, list(order)) is leaves_zone(own, reports)


def test_a_later_answer_refutes_a_loss_and_the_own_zone_s_evidence_has_priority() -> None:
    everything, none = range(8), ()
    lost = [report_from("g0", "a", everything, none), report_from("g1", "c", everything, none)]
    assert leaves_zone("b", lost) and leaves_zone("a", lost)
    assert not leaves_zone("b", [*lost, report_from("g2", "b", none, everything)])
    # The later answer counts for all.
    assert not leaves_zone("a", [*lost, report_from("g2", "b", none, everything)])
    late = ReceivedReport("g2", "b", {}, {f"b{b}": 0.5 for b in everything})
    # The answers are older than the losses.
    assert leaves_zone("a", [*lost, late]) and not leaves_zone("b", [*lost, late])


@given(st.text(max_size=60))
def test_invalid_reports_and_decisions_decode_to_none_or_up(text: str) -> None:
    assert decode_report(text) is None or isinstance(decode_report(text), PublishedReport)
    assert isinstance(decode_decision(text), ZoneDecision)


# ---- shares and decisions ----


@given(st.dictionaries(st.integers(0, 40), st.floats(0, 1e6), max_size=30))
def test_shares_of_one_version_add_up_to_at_most_one(loads: dict[int, float]) -> None:
    parts = weights_by_load(loads, 41)
    total = sum(backend_range(parts, place, 41).width for place in range(41))
    assert total <= 1 + 1e-9 and backend_range("f", 5, 2).width == 0.0
    ends = [backend_range(parts, place, 41) for place in range(41)]
    for (first, part), (following, _) in itertools.pairwise(ends):
        assert math.isclose(first + part, following, abs_tol=1e-9)  # so that each backend is covered once
    assert ends[0][0] == 0.0 and backend_range("", 7, 5)[0] < 1.0
    assert [capacity_ratio_at(step, 0.2) for step in (0, RAMP_STEPS)] == [0.2, 1.0]


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(["tick", "lose", "heal", "die", "stop"]), max_size=14), st.integers(0, 9))
def test_no_order_of_losses_deaths_and_stops_raises_the_total_rate_of_a_ramp(
    steps: list[str], seed: int
) -> None:
    """Six gateways of one zone return to another over lossy links; their total rate is checked each step."""
    net, chance = Net(seed), random.Random(seed)
    agreements = [ZoneAgreement("a", n, 8, SlowStart(0.2, 4.0), random.Random(n)) for n in range(6)]
    for number in range(6):
        node = net.add(number)
        for kind, value in (("zone", "a"), ("index", str(number)), (FactKind.LOAD, str(10.0 + number))):
            node.publish(net.wall(address_of(number)), kind, "", value)
    acquaint(net)
    net.run(4.0)
    seen = {
        "a": LocalObservation(6),
        "b": LocalObservation(6, healthy_ages_s={f"{b:08x}": 0.01 for b in range(6)}),
    }
    net.nodes[address_of(0)].facts.publish_decision(1.0, FactKind.ZONE_DECISION, "a>b", '["left"]')
    net.run(2.0)
    gone: set[int] = set()
    for step in [*steps, *["tick"] * 6]:
        match step:
            case "lose":
                net.loss = 0.4
            case "heal":
                net.loss = 0.0
            case "die" if len(gone) < 2:
                gone.add(lost := chance.choice([n for n in range(6) if n not in gone]))
                net.remove(lost)
            case "stop":
                net.stop(chance.randrange(6), 1.5)
            case _:
                pass
        for _ in range(8):
            net.run(0.25)
            rates = []
            for number, agreement in enumerate(agreements):
                node = net.nodes.get(address_of(number))
                if number not in gone and node is not None:
                    if net.stopped.get(address_of(number), 0.0) <= net.now:
                        agreement.evaluate(node, net.now, net.wall(address_of(number)), seen, 10.0 + number)
                        net.carry(address_of(number), node)
                    if (
                        directive := agreement.directives.get("b")
                    ) is not None and directive.state == "returning":
                        rates.append(
                            (
                                directive.rate_per_s,
                                decode_decision(node.facts.value(FactKind.ZONE_DECISION, "a>b")),
                            )
                        )
            if rates:
                highest = max(
                    capacity_ratio_at(act.step, 0.2) * act.backend_rate_per_s * act.backends
                    for _, act in rates
                )
                assert sum(rate for rate, _ in rates) <= highest * 1.001


def test_a_decision_is_the_same_in_any_order_and_has_a_bound() -> None:
    one, two = Facts("g0", (1, 1)), Facts("g1", (1, 1))
    entries = [
        one.publish_decision(1.0, FactKind.ZONE_DECISION, "a>b", '["left"]'),
        two.publish_decision(1.0, FactKind.ZONE_DECISION, "a>b", '["up"]'),
    ]
    entries.append(two.publish_decision(2.0, FactKind.ZONE_DECISION, "a>b", '["returning"]'))
    found = set()
    for order in itertools.permutations(e for e in entries if e is not None):
        table = Facts("g2", (1, 1))
        for entry in order:
            table.merge(3.0, entry)
        found.add((table.version(FactKind.ZONE_DECISION, "a>b"), table.value(FactKind.ZONE_DECISION, "a>b")))
    assert found == {(2, '["returning"]')}
    for number in range(MAX_DECISIONS + 3):
        one.publish_decision(1.0, FactKind.ZONE_DECISION, f"z>{number}", '["left"]')
    assert len(one.of_kind(FactKind.ZONE_DECISION)) == MAX_DECISIONS and one.refused["full"] == 4


def test_a_dead_gateway_keeps_its_part_until_it_surely_has_ended() -> None:
    net = Net(1)
    for number in range(3):
        node = net.add(number)
        for kind, value in (("zone", "a"), ("index", str(number)), (FactKind.LOAD, "10.0")):
            node.publish(net.wall(address_of(number)), kind, "", value)
    acquaint(net)
    net.run(5.0)
    net.remove(2)
    net.run(6.0)
    node = net.nodes[address_of(0)]
    assert node.members.others["g2"].state is MemberState.DEAD
    assert set(loads_by_place(node, "a", 0, 3, net.now)) == {0, 1, 2}
    assert set(loads_by_place(node, "a", 0, 3, net.now + DEAD_MEMBER_LOAD_TTL_S)) == {0, 1}


def test_a_ramp_that_begins_without_load_still_admits_requests() -> None:
    net = Net(1)
    net.add(0).publish(net.wall(address_of(0)), "zone", "", "a")
    node, wall = net.nodes[address_of(0)], net.wall(address_of(0))
    agreement = ZoneAgreement("a", 0, 1, SlowStart(0.2, 16.0), random.Random(1))
    node.facts.publish_decision(wall, FactKind.ZONE_DECISION, "a>b", '["left"]')
    answers = {
        "a": LocalObservation(4),
        "b": LocalObservation(4, healthy_ages_s=dict.fromkeys(("b1", "b2", "b3"), 0.0)),
    }
    for later in (0.0, 0.3, 0.7):  # no gap is long enough to count as a stall
        agreement.evaluate(node, net.now + later, wall, answers, 0.0)
    assert (
        agreement.decision(node.facts, "b").state == "returning"
        and agreement.directives["b"].rate_per_s > 0.0
    )
    agreement.evaluate(
        node, net.now + 0.8, wall, {"a": LocalObservation(4)}, 0.0
    )  # zone b is no longer listed
    assert (
        not agreement.directives
        and "b" not in agreement.progress
        and node.facts.value("zone-on", "b", "g0") is None
    )


# ---- the policy ----


def policy_gateway() -> Gateway:
    gateway = Gateway(module_settings(zone="a", gateways=2), 1)
    up = api.BackendState.READY
    entries = tuple(api.BackendEntry(z * 10 + n, "ab"[z], 0, 0, up) for z in (0, 1) for n in range(4))
    gateway.handle(1000.0, api.BackendsChanged(api.ListScope.FULL, entries))
    return gateway


def count_sends(gateway: Gateway, begin: float, number: int, gap: float) -> tuple[int, int]:
    """Send `number` requests that are answered at once; return how many went to each zone."""
    found = [0, 0]
    for n in range(number):
        now = begin + n * gap
        event = api.RequestArrived(f"{begin}r{n}", "view", "free", f"c{n % 9}", now + 3000, 1.0, 2, 0)
        for action in gateway.handle(now, event):
            if isinstance(action, api.Send):
                found[action.backend >= 10] += 1
                ended = api.AttemptEnded(action.request, 0, action.backend, api.Outcome.OK, 1.0, True)
                gateway.handle(now + 1, ended)
    return found[0], found[1]


def test_the_policy_follows_directives_and_its_own_evidence_without_one() -> None:
    gateway = policy_gateway()
    assert count_sends(gateway, 1000.0, 200, 10.0)[1] > 50
    gateway.handle(3000.0, api.ZoneDirective("b", api.ZoneState.LEFT, probe_interval_ms=500.0))
    assert 1 <= count_sends(gateway, 3000.0, 200, 10.0)[1] <= 5  # only probes
    gateway.handle(
        5000.0, api.ZoneDirective("b", api.ZoneState.RETURNING, rate_per_s=10.0, capacity_ratio=0.3)
    )
    assert 17 <= count_sends(gateway, 5000.0, 200, 10.0)[1] <= 21  # ten requests a second for two seconds
    gateway.handle(
        7000.0, api.ZoneDirective("b", api.ZoneState.RETURNING, rate_per_s=0.0, capacity_ratio=0.3)
    )
    assert count_sends(gateway, 7001.0, 100, 10.0)[1] <= 1
    gateway.handle(8000.0, api.ZoneDirective("b", None))
    count_sends(gateway, 8001.0, 100, 10.0)
    assert count_sends(gateway, 30_000.0, 200, 10.0)[1] > 50
    # A zone that is in no endpoint list.
    gateway.handle(40_000.0, api.ZoneDirective("nowhere", api.ZoneState.LEFT))


def test_an_operator_override_beats_a_directive_and_a_cold_backend_limits_its_ramp() -> None:
    gateway = policy_gateway()
    gateway.handle(1000.0, api.ZoneOverridden("b", True, 1000.0))
    gateway.handle(
        1001.0, api.ZoneDirective("b", api.ZoneState.RETURNING, rate_per_s=50.0, capacity_ratio=1.0)
    )
    assert count_sends(gateway, 1002.0, 100, 10.0)[1] == 0
    cold = policy_gateway()
    up = api.BackendState.READY
    fresh = tuple(api.BackendEntry(10 + n, "b", 0, 50_000.0, up) for n in range(4))
    cold.handle(50_000.0, api.BackendsChanged(api.ListScope.CHANGES, fresh))
    cold.handle(
        50_000.0, api.ZoneDirective("b", api.ZoneState.RETURNING, rate_per_s=50.0, capacity_ratio=1.0)
    )
    # A fifth to two fifths of what warm backends would get.
    assert count_sends(cold, 50_001.0, 100, 20.0)[1] < 60


def test_stored_decisions_are_restored_a_ramp_restarts_and_invalid_rows_are_dropped() -> None:
    def kept(act: ZoneDecision) -> Entry:
        return Entry(
            FactKind.ZONE_DECISION, "a>b", "g3", (7, 8), 5, 1.5e12, msgspec.json.encode(act).decode()
        )

    left, returning = (
        kept(ZoneDecision("left", flaps=1, reason="failing")),
        kept(ZoneDecision("returning", 4, 1, 9.5, 8, "f0f")),
    )
    assert row_to_entry("a>b", entry_to_row(left)) == left
    anew = row_to_entry("a>b", entry_to_row(returning))
    assert (
        anew is not None
        and decode_decision(anew.value).state == "left"
        and decode_decision(anew.value).flaps == 1
    )
    # Another gateway's ramp takes precedence.
    assert anew.version == 5 and overriding_entry(anew, returning) == returning
    row = entry_to_row(left)
    for place, spoilt in ((1, "x"), (3, -1), (3, None), (4, "now"), (4, 1e30), (0, "g" * 999)):
        assert row_to_entry("a>b", [*row[:place], spoilt, *row[place + 1 :]]) is None
    assert is_valid_zone_decision([*row[:4], now_ms(), row[5]]) and not is_valid_zone_decision(
        row
    )  # a row from years ago
    assert (
        not is_valid_zone_decision(row[:3])
        and not is_valid_zone_decision([*row[:4], None, ""])
        and not is_valid_zone_decision("spoilt")
    )
    assert row_to_entry("a>b", row[:3]) is None and row_to_entry("n" * 999, row) is None
    assert decode_decision((row_to_entry("a>b", [*row[:5], "no act"]) or left).value).state == "up"


def test_a_zone_is_left_only_after_its_evidence_held_for_the_confirmation_time() -> None:
    net = Net(1)
    for number in range(2):
        net.add(number).publish(net.wall(address_of(number)), "zone", "", "a")
    acquaint(net)
    net.run(4.0)
    node, wall = net.nodes[address_of(0)], net.wall(address_of(0))
    agreement, seen = (
        ZoneAgreement("a", 0, 2, SlowStart(0.2, 16.0), random.Random(1)),
        {"a": LocalObservation(4), "b": LocalObservation(4)},
    )
    seen["b"] = LocalObservation(4, lost_ages_s={f"{b:08x}": 0.0 for b in range(4)})
    other = net.nodes[address_of(1)]
    other.publish(
        wall, FactKind.ZONE_REPORT, "b", '[{"00000000":0,"00000001":0,"00000002":0},{}]'
    )  # seven observations with the own ones
    net.run(0.5)
    for later in (0.0, CONFIRMATION_S / 2):
        agreement.evaluate(node, net.now + later, wall, seen, 5.0)
        assert agreement.decision(node.facts, "b").state == "up"
    agreement.evaluate(node, net.now + CONFIRMATION_S + 0.01, wall, seen, 5.0)
    assert agreement.decision(node.facts, "b").state == "left"


def test_ctl_zones_shows_which_gateways_follow_a_stale_version(
    monkeypatch: pytest.MonkeyPatch, capsys: Any
) -> None:
    row = {"state": "left", "version": 3, "for": "a", "step": 0, "part": 0, "rate": 0.0, "why": "failing"}
    views = {
        "127.0.0.1:1": {"name": "g0", "zones": {"b": row}},
        "127.0.0.1:2": {"name": "g3", "zones": {"b": row | {"version": 2}}},
        "127.0.0.1:3": {"name": "g1", "zones": {"b": row | {"version": 1, "for": "b"}}},
        "127.0.0.1:4": "timed out",
    }
    monkeypatch.setenv("COLUMNS", "160")
    monkeypatch.setattr(ctl, "fetch_view", lambda address: views[address])
    for addresses, code in ((["127.0.0.1:1", "127.0.0.1:3"], 0), (list(views), 1), (["127.0.0.1:4"], 2)):
        with pytest.raises(SystemExit) as ended:
            ctl.cli(["zones", *addresses])
        assert ended.value.code == code
    told = capsys.readouterr().out
    assert "stale" in told and "127.0.0.1:4: timed out" in told
    found = {view["name"]: view["zones"] for view in views.values() if isinstance(view, dict)}
    assert ctl.stale_gateways(found) == {"b": ["g3"]}
