"""Recovery after a power loss: the verdict, which state is trusted, and the load on cold backends."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import random
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline import ctl
from switchline.fleet.messages import EndpointList, Entry, Exchange, ListedHost, RemainingQuota, Wanted
from switchline.fleet.outage import OLD_DISK_MARGIN_S, decode_downtime, judge_outage
from switchline.fleet.versions.staleness import restrictive_changes
from switchline.fleet_runtime.recovery import spending
from switchline.fleet_runtime.recovery.backend_list import DISCOVERY_DOUBT_S
from switchline.fleet_runtime.recovery.coordinator import FleetRecovery
from switchline.fleet_runtime.recovery.stages import Stage
from switchline.policy import Gateway, gateway_status
from switchline.policy import interface as api
from testbed.network.fleet_link import WALL_MS, Net, fleet

CLASSES = (
    api.RequestClass("kalkyl", 1_500.0, 4_000.0, 3.0, api.Effect.IDEMPOTENT),
    api.RequestClass("lanelofte", 2_000.0, 4_000.0, 9.0),
)
PLANS = (
    api.Plan("free"),
    api.Plan("bas", rate_per_s=2.0, burst_units=20.0),
    api.Plan("spare", rate_per_s=1.0, burst_units=4.0, overage_revenue=1.0),
)
RULES = api.SafetyRules(500.0, 0.2, 16_000.0, 3.0)
DOWNTIMES = st.one_of(st.none(), st.just(math.nan), st.floats(0, 3_600))


def policy_gateway(backends: int = 6, gateways: int = 6, now: float = 1e6, seed: int = 1) -> Gateway:
    fields = api.Settings(
        0,
        gateways,
        "a",
        CLASSES,
        PLANS,
        RULES,
        4,
        can_cancel=True,
        uses_counter=True,
        max_retry_after_ms=2_000.0,
    )
    gateway = Gateway(fields, seed)
    up = api.BackendState.READY
    entries = tuple(api.BackendEntry(number, "a", 0, 1.0, up) for number in range(backends))
    gateway.handle(now, api.BackendsChanged(api.ListScope.SAVED, entries))
    return gateway


def arrive(gateway: Gateway, now: float, number: int, plan: str = "free", kind: str = "kalkyl") -> Any:
    event = api.RequestArrived(f"r{number}", kind, plan, f"c{plan}", now + 4_000, 1.0, 3, 0)
    return [a for a in gateway.handle(now, event) if isinstance(a, api.Send | api.Reject)]


# ---- the verdict ----


def test_an_outage_is_common_if_most_present_gateways_restarted_and_one_knows_its_downtime() -> None:
    unknown = math.nan
    cases = [
        (2.0, [2.0, unknown, 2.5], True),  # one gateway lost its disk
        (unknown, [2.0, 2.1], True),  # the own disk is lost
        (unknown, [unknown, unknown], False),  # a fleet that starts for the first time, or lost all disks
        (2.0, [None, None, None], False),  # a single crash, in a running fleet
        (2.0, [2.0, None, None], False),  # two gateways of four are no majority
        (2.0, [2.0, None], True),
        (2.0, [], False),  # one gateway's own downtime never decides
        (None, [2.0, 2.0], False),  # a gateway that ran on has nothing to recover
        (3_000.0, [3_000.0, 3_000.0], False),  # backends are warm again after so long
    ]
    for own, others, common in cases:
        assert judge_outage(own, others).is_common is common, (own, others)


def test_a_downtime_far_longer_than_the_others_means_an_old_disk() -> None:
    assert judge_outage(2.0 + OLD_DISK_MARGIN_S + 1, [2.0, 2.0, math.nan]).has_old_disk
    # One other gateway's downtime is not enough.
    assert not judge_outage(2.0 + OLD_DISK_MARGIN_S + 1, [2.0]).has_old_disk
    assert (
        not judge_outage(2.0, [200.0, 200.0]).has_old_disk
        and not judge_outage(math.nan, [2.0, 2.0]).has_old_disk
    )


@settings(max_examples=200, deadline=None)
@given(own=DOWNTIMES, others=st.lists(DOWNTIMES, max_size=8), seed=st.integers(0, 99))
def test_a_verdict_depends_on_no_order_and_on_no_single_gateway(
    own: float | None, others: list[float | None], seed: int
) -> None:
    mixed = random.Random(seed).sample(others, len(others))
    assert judge_outage(own, mixed) == judge_outage(own, others)
    if judge_outage(own, others).is_common:
        assert sum(one is not None for one in (own, *others)) * 2 > 1 + len(others)
    if own is not None and all(one is None for one in others):
        assert not judge_outage(own, others).is_common and not judge_outage(own, others).has_old_disk


@pytest.mark.parametrize("text", ["nan", "inf", "-1", "1e999", "9" * 40, "", "x", "1,0", "\u0661"])
def test_an_invalid_downtime_is_decoded_as_unknown(text: str) -> None:
    down = decode_downtime(text)
    assert down is not None and (math.isnan(down) or down == 1.0)
    assert decode_downtime(None) is None and decode_downtime("2.5") == 2.5


# ---- what others know ----


def test_an_exchange_returns_the_newer_list_and_spending_it_asks_for() -> None:
    net: Net = fleet(3, 1)
    asker, other = list(net.nodes.values())[:2]
    told: list[Exchange] = []
    asker.on_answer = told.append
    row = ListedHost("h1", "127.0.0.1:80", "a", 0, "up", 5.0)
    other.newer_list = lambda seq: EndpointList(7, [row]) if seq < 7 else None
    other.known_quotas = lambda: [RemainingQuota("c1", "bas", 0.5, 3.0)]

    def exchange(wants: int, seq: int) -> None:
        asker.wants, asker.list_seq = wants, seq
        assert other.receive_exchange(net.now, 0.0, asker.exchange_frame(False), False)
        assert asker.receive_exchange(net.now, 0.0, other.exchange_frame(True), True)

    exchange(0, -1)
    assert not told
    exchange(Wanted.LIST, 7)
    assert not told  # it has that list already
    exchange(Wanted.LIST, 6)
    assert told[-1].endpoint_list == EndpointList(7, [row]) and told[-1].remaining_quotas is None
    exchange(Wanted.QUOTAS, 7)
    assert (
        told[-1].remaining_quotas == [RemainingQuota("c1", "bas", 0.5, 3.0)]
        and told[-1].endpoint_list is None
    )
    other.known_quotas = lambda: None  # it is asking others itself
    exchange(Wanted.QUOTAS, 7)
    assert len(told) == 2


def test_a_newer_list_of_another_gateway_only_drains_removes_or_restarts_hosts() -> None:
    own = [
        {"host": name, "dial": "127.0.0.1:1", "health": health, "born_ms": 5.0}
        for name, health in zip(
            ("kept", "drained", "gone", "anew", "back"), ("up", "up", "up", "up", "draining"), strict=True
        )
    ]

    def row(name: str, health: str, born: float = 5.0) -> ListedHost:
        return ListedHost(name, "127.9.9.9:9", "a", 0, health, born)

    rows = [row("kept", "up", 4.0), row("drained", "draining"), row("back", "up"), row("anew", "up", 9.0)]
    found = {
        host["host"]: host for host in restrictive_changes(own, EndpointList(7, [*rows, row("added", "up")]))
    }
    assert {name: host["health"] for name, host in found.items()} == {
        "drained": "draining",
        "gone": "removed",
        "anew": "up",
    }
    assert found["anew"]["born_ms"] == 9.0
    assert all(host["dial"] == "127.0.0.1:1" for host in found.values())  # the own address of each host stays


class StoredState:
    """Stands in for the state on disk and for discovery."""

    version: int | None = 7

    def __init__(self, *hosts: str) -> None:
        self.hosts = [{"host": n, "dial": "127.0.0.1:1", "health": "up", "born_ms": 0.0} for n in hosts]

    def downtime_s(self) -> float:
        return 2.0

    def saved_hosts(self) -> list[dict[str, Any]]:
        return self.hosts


def test_an_empty_or_older_list_of_a_restarted_discovery_removes_no_host_but_drains_some(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state: Any = StoredState("h1", "h2")
    recovery = FleetRecovery({}, state, cast(Any, None), state, 0)
    assert (
        state.filter_list({"seq": 9, "whole": True, "hosts": []}) is None
        and recovery.backend_list.is_withheld
    )
    older = {"seq": 3, "whole": True, "hosts": [{"host": "h2", "health": "draining"}]}
    found = state.filter_list(older)
    assert found["seq"] == 7 and not found["whole"]
    (host,) = found["hosts"]
    assert (host["host"], host["health"], host["dial"]) == ("h2", "draining", "127.0.0.1:1")
    for holds in (older | {"seq": 7}, {"seq": 2, "whole": False, "hosts": []}):
        assert state.filter_list(holds) is holds
    recovery.backend_list.doubt_until_s -= DISCOVERY_DOUBT_S
    assert state.filter_list(older) is older  # after the doubt period discovery's list is believed


def test_spending_known_elsewhere_is_not_granted_twice_and_the_lowest_report_holds() -> None:
    informed, lost = policy_gateway(), policy_gateway()
    for number in range(10):
        arrive(informed, 1e6 + number, number, "bas")
    (report,) = gateway_status.quota_reports(informed, 1e6 + 20, 10)
    assert report.customer == "cbas" and report.remaining_units == pytest.approx(
        14.0, abs=0.1
    )  # its even share: six
    for received in (
        report,
        api.GatewayQuotaReport("cbas", "bas", report.even_share, 18.0),
    ):  # a liar's, or an older one's
        lost.handle(1e6 + 20, received)
    assert lost.customers.by_key["cbas"].tokens == pytest.approx(report.remaining_units / 3, abs=0.1)
    before = policy_gateway().customers.get_or_create(1e6, "cbas", "bas", 1 / 3).tokens
    assert before == pytest.approx(20 / 3)  # without an answer the customer starts with the even share


@pytest.mark.parametrize("spoilt", [(0.5, -1.0), (0.5, 21.0), (0.0, 3.0), (1.5, 3.0), (0.5, math.nan)])
def test_spending_out_of_range_changes_nothing(spoilt: tuple[float, float]) -> None:
    gateway = policy_gateway()
    gateway.handle(1e6, api.GatewayQuotaReport("cbas", "bas", *spoilt))
    gateway.handle(1e6, api.GatewayQuotaReport("cbas", "unknown", 0.5, 1.0))
    assert not gateway.customers.by_key


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 999),
    spent=st.integers(0, 20),
    lost=st.lists(st.booleans(), min_size=3, max_size=3),
    heard=st.lists(st.integers(0, 2), max_size=4),
)
def test_no_order_of_losses_and_answers_grants_more_than_the_burst(
    seed: int, spent: int, lost: list[bool], heard: list[int]
) -> None:
    """Three gateways share a burst of 20 units; some lose their state and receive reports in any order."""
    now, set_of = 1e6, [policy_gateway(seed=seed + number) for number in range(3)]
    left = 20.0 - spent
    for gateway in set_of:  # each knows from the counter the units that all have left
        customer = gateway.customers.get_or_create(now, "cbas", "bas", 1 / 3)
        customer.fleet_remaining_units, customer.tokens = left, left / 3
    after = [policy_gateway(seed=seed) if gone else old for gone, old in zip(lost, set_of, strict=True)]
    for teller, (number, gateway) in itertools.product(heard, enumerate(after)):
        if teller != number:
            for told in gateway_status.quota_reports(after[teller], now, 10):
                gateway.handle(now, told)
    given_out = sum(gateway.customers.get_or_create(now, "cbas", "bas", 1 / 3).tokens for gateway in after)
    whole = [number for number, gone in enumerate(lost) if not gone]
    if any(number in heard for number in whole) and all(
        not gone or any(teller != number and teller in whole for teller in heard)
        for number, gone in enumerate(lost)
    ):
        assert given_out <= left + 1e-6
    assert given_out <= 20.0 + 1e-6


# ---- cold backends ----


def core_use_by_second(
    gateway: Gateway, rate: float, work_ms: float, seconds: float, begin: float
) -> list[float]:
    """Run one gateway against backends that are cold at `begin`; return the share of cores in use, by second.

    There are six backends of four cores; each core serves a queue at the backend's present speed.
    """
    chance, now, number, ends = random.Random(1), begin, 0, []
    free = [[begin] * 4 for _ in range(6)]
    used = [0.0] * (int(seconds) + 1)
    while now < begin + seconds * 1000:
        now += chance.expovariate(rate) * 1000
        for at, backend, request, attempt in sorted(e for e in ends if e[0] <= now):
            ended = api.AttemptEnded(request, attempt, backend, api.Outcome.OK, at - begin, True)
            gateway.handle(at, ended)
        ends = [e for e in ends if e[0] > now]
        number += 1
        for action in arrive(gateway, now, number):
            if isinstance(action, api.Send):
                warm = 0.2 + 0.8 * min(1.0, (now - begin) / RULES.warm_up_ms)
                cores = free[action.backend]
                core = cores.index(min(cores))
                starts, takes = max(now, cores[core]), work_ms / warm
                cores[core] = starts + takes
                ends.append((starts + takes, action.backend, action.request, 0))
                used[min(len(used) - 1, int((starts - begin) / 1000))] += takes
    return [ms / (1000 * 24) for ms in used]


def test_a_fleet_after_a_power_loss_uses_its_cold_backends_and_overloads_none() -> None:
    """The load is 55% of the warm capacity, nearly three times what cold backends bear at first."""
    now, rate = 1e6, 24 * 0.55 / 0.2
    told, untold = policy_gateway(gateways=1, now=now), policy_gateway(gateways=1, now=now)
    told.handle(now, api.FleetOutage(now - 3_000, now))
    with_stage, without = (core_use_by_second(one, rate, 200.0, 6.0, now) for one in (told, untold))
    assert sum(with_stage[2:5]) > sum(without[2:5]) + 0.1
    assert sum(with_stage[2:5]) / 3 > 0.85
    assert max(with_stage[:5]) < 1.5  # half of what overloads a cold backend


def test_a_low_load_is_admitted_in_full_though_all_backends_are_cold() -> None:
    gateway, now = policy_gateway(gateways=1), 1e6
    gateway.handle(now, api.FleetOutage(now - 3_000, now))
    rate = 24 * 0.1 / 0.2  # half of what cold backends bear
    used = core_use_by_second(gateway, rate, 200.0, 6.0, now)
    asked = [0.1 / (0.2 + 0.8 * (second + 0.5) / 16) for second in range(6)]
    assert sum(used[2:5]) > 0.8 * sum(asked[2:5])  # admission at random alone would give about a third
    assert gateway.recovery_ramp.share_multiplier > 2


def test_the_admitted_share_does_not_rise_without_answers() -> None:
    gateway, now = policy_gateway(), 1e6
    gateway.handle(now, api.FleetOutage(now - 3_000, now))
    sent = 0
    for number in range(300):  # three seconds without any answer
        sent += any(isinstance(a, api.Send) for a in arrive(gateway, now + number * 10, number))
    assert gateway.recovery_ramp.share_multiplier == 1.0 and sent < 0.5 * 300


def test_warm_up_ends_with_the_slow_start_and_a_known_start_time_sets_a_backend_s_warm_ratio() -> None:
    gateway, now = policy_gateway(), 1e6
    gateway.handle(now, api.FleetOutage(now - 3_000, now))
    assert gateway.backends.warm_ratio(now) == pytest.approx(0.2)
    entry = api.BackendEntry(0, "a", 0, now - 2_000, api.BackendState.READY)
    gateway.handle(now + 100, api.BackendsChanged(api.ListScope.CHANGES, (entry,)))
    assert gateway.backends.by_id[0].warm_ratio(now + 100) == pytest.approx(0.2 + 0.8 * 2_100 / 16_000)
    assert gateway.recovery_ramp.end_ms == now + 16_000
    arrive(gateway, now + 16_001, 1)
    assert gateway.backends.warm_ratio(now + 16_001) == 1.0


def test_a_start_time_known_before_the_outage_keeps_a_backend_s_warm_ratio() -> None:
    gateway, now = policy_gateway(), 1e6
    entry = api.BackendEntry(0, "a", 0, now - 2_000, api.BackendState.READY)
    gateway.handle(now, api.BackendsChanged(api.ListScope.CHANGES, (entry,)))
    gateway.handle(now + 100, api.FleetOutage(now - 3_000, now))
    assert gateway.backends.by_id[0].warm_ratio(now + 100) > gateway.backends.by_id[1].warm_ratio(now + 100)


def test_requests_within_quota_go_first_and_retry_delays_of_rejected_ones_vary() -> None:
    gateway, now = policy_gateway(), 1e6
    gateway.handle(now, api.FleetOutage(now - 3_000, now))
    waits, beyond = [], []
    for number in range(1_000, 1_020):
        for action in arrive(gateway, now, number):
            if isinstance(action, api.Send):
                ended = api.AttemptEnded(action.request, 0, action.backend, api.Outcome.OK, 200.0, True)
                gateway.handle(now + 200, ended)
    now += 200
    for number in range(200):
        for action in arrive(gateway, now + number, number, "spare" if number % 2 else "free"):
            if isinstance(action, api.Reject) and action.cause is api.RejectionCause.RECOVERY:
                waits.append(action.retry_after_ms)
        beyond.append(gateway.customers.by_key["cspare"].tokens < -1e-6 if number > 1 else False)
    assert not any(beyond)  # no request beyond a quota is admitted for its revenue
    assert len(set(waits)) > len(waits) / 2 and max(waits) > 1_500 and max(waits) <= 2_000


def test_customers_with_the_most_unconfirmed_tokens_are_refreshed_first() -> None:
    gateway, now = policy_gateway(), 1e6
    for number in range(40):
        customer = gateway.customers.get_or_create(now, f"c{number}", "bas", 1 / 3)
        customer.tokens = number / 10
    gateway.handle(now, api.FleetOutage(now - 3_000, now))
    turns = sorted(gateway.customers.by_key.values(), key=lambda c: c.next_refresh_ms)
    assert [c.tokens for c in turns] == sorted((c.tokens for c in turns), reverse=True)
    assert max(c.next_refresh_ms for c in turns) <= now + 5_000
    gaps = [b.next_refresh_ms - a.next_refresh_ms for a, b in itertools.pairwise(turns)]
    assert max(gaps) <= 2 * 5_000 / 40 + 1e-6  # spread evenly, so that no second has many refreshes


# ---- what operators see ----


def test_ctl_recovery_shows_the_fleet(monkeypatch: pytest.MonkeyPatch, capsys: Any) -> None:
    def view(name: str, stage: str, **more: Any) -> dict[str, Any]:
        fields: dict[str, Any] = {"stage": stage, "stage_s": 3.2, "common": True, "old_disk": False}
        fields |= {"down_s": 2.5, "waiting_for": [], "from_disk": 9, "bans": 1, "hosts": 0}
        return {"name": name, "recovery": fields | {"customers": 4, "withheld": 7, "spoilt": 0} | more}

    answers: dict[str, Any] = {
        "a:1": view("g0", "whole"),
        "b:1": view("g1", "spending", down_s=None, waiting_for=["g7"]),
        "c:1": {"name": "g2"},
    }
    monkeypatch.setattr(ctl, "fetch_view", answers.__getitem__)
    with pytest.raises(SystemExit) as ended:
        ctl.recovery.main(["a:1", "b:1", "c:1", "--json"], standalone_mode=False)
    told = json.loads(capsys.readouterr().out)
    assert ended.value.code == 1 and told["gateways"]["b:1"]["waiting_for"] == ["g7"]
    assert "no recovery" in told["others"]["c:1"]
    with pytest.raises(SystemExit) as ended:
        ctl.recovery.main(["a:1"], standalone_mode=False)
    assert ended.value.code == 0 and "whole" in capsys.readouterr().out


# ---- every stage ends ----


class SilentPeerTransport:
    """Stands in for the gossip transport; the one other gateway never answers."""

    def __init__(self) -> None:
        net = fleet(2, 1)
        self.node = next(iter(net.nodes.values()))
        self.node.facts.merge(WALL_MS, Entry("index", "", "g1", (1, 1), 1, WALL_MS, "1"))


def test_the_wait_for_a_gateway_that_never_answers_ends_at_its_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(spending, "TIMEOUT_S", 0.1)
    state: Any = StoredState("h1")
    state.downtime_s, state.restored = (lambda: math.nan), 0
    driver: Any = SimpleNamespace(settings=SimpleNamespace(gateways=2), recovery_rejections=0)
    recovery = FleetRecovery({}, state, driver, state, 0)
    recovery.attach(cast(Any, SilentPeerTransport()))

    async def begin() -> set[str]:
        task = asyncio.ensure_future(recovery.catch_up())
        await asyncio.sleep(0)
        asked = set(recovery.spending.waiting_for)
        await asyncio.wait_for(task, 20)
        return asked

    assert asyncio.run(begin()) == {"g1"}
    assert (
        recovery.stages.stage is Stage.COMPLETE
        and not recovery.spending.waiting_for
        and recovery.gauges()["recovery.waiting_for"] == 0
    )


def test_a_process_that_takes_over_answers_others_and_begins_no_recovery() -> None:
    state: Any = StoredState("h1")
    recovery = FleetRecovery(
        {}, state, cast(Any, SimpleNamespace(gateway=policy_gateway(), recovery_rejections=0)), state, 3
    )
    assert recovery.spending.known_quotas() is None and [fact.value for fact in recovery.facts()] == ["2.0"]
    recovery.skip()
    assert recovery.spending.known_quotas() == [] and [fact.value for fact in recovery.facts()] == [None]
    assert recovery.backend_list.newer_than(6) == EndpointList(
        7, [ListedHost("h1", "127.0.0.1:1", "", 0, "up", 0.0)]
    ) and not recovery.backend_list.newer_than(7)
    empty = {"seq": 9, "whole": True, "hosts": []}
    assert state.filter_list(empty) is empty
