"""Tests of the reserves of customers and of restarts from the state on disk, with a hand-set clock."""

from __future__ import annotations

import copy
import json

import pytest
from helpers import BASIC, FIRM, GatewayHarness, counter_calls, entry, rejections, sends, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from switchline.policy import interface as api
from switchline.policy.persistence.codec import decode_record, encode_record
from switchline.policy.persistence.durable_state import (
    MAX_CUSTOMER_RECORDS,
    MAX_RECORD_AGE_MS,
    REFRESH_SPREAD_MS,
)
from switchline.policy.persistence.reserve import RESERVED_BURST_RATIO
from switchline.policy.persistence.restore import MAX_COMMIT_LAG_MS, MAX_DOWNTIME_MS

RecordKey = tuple[str, str]


class GatewayWithDisk:
    """A gateway with the records on its disk, over several incarnations.

    Real time advances independently of the gateway's clock, which may be set.
    """

    def __init__(self, **changes: object) -> None:
        self.changes = {"uses_counter": False, **changes}
        self.seed = int(str(self.changes.pop("seed", 0)))
        self.rows: dict[RecordKey, tuple[list[object], float]] = {}
        self.uncommitted_records: list[api.PersistRecord] = []
        self.last_commit_ms, self.starts_ms = 0.0, list[float]()
        self.real_ms, self.clock_offset_ms = 0.0, 1.7e12
        self.spent: list[tuple[float, float]] = []
        self.allowed_excess_units = 0.0  # of quotas alone: one request for each crash without a record
        self.start()

    def start(self) -> None:
        now = self.real_ms + self.clock_offset_ms
        seed = self.seed + len(self.starts_ms) + 1
        self.world = GatewayHarness(seed=seed, now_ms=now, **self.changes)  # type: ignore[arg-type]
        self.uncommitted_records.clear()
        if self.rows:
            restarts = (*self.starts_ms[1:], self.world.now_ms)
            self.give(api.StateFileFound(self.last_commit_ms, restarts[-8:]))
            for kind in ("customer", "backend", "gateway"):
                for values, at in [row for (k, _), row in self.rows.items() if k == kind]:
                    self.give(api.RecordRestored(decode_record(json.loads(json.dumps(values))), at))
        self.give(api.PersistenceChanged(True))
        self.starts_ms.append(self.world.now_ms)
        self.rows.clear()
        self.commit()

    def give(self, event: api.Event) -> list[api.Action]:
        return self.collect(self.world.give(event))

    def collect(self, actions: list[api.Action]) -> list[api.Action]:
        self.uncommitted_records += [copy.deepcopy(a) for a in actions if isinstance(a, api.PersistRecord)]
        return actions

    def commit(self) -> None:
        for action in self.uncommitted_records:
            record = encode_record(action.record)
            if record[0] == "forget":
                self.rows.pop((str(record[1]), str(record[2])), None)
            else:
                name = "" if record[0] == "gateway" else str(record[1])
                self.rows[str(record[0]), name] = record, self.world.now_ms
        self.last_commit_ms = self.world.now_ms
        if self.uncommitted_records:
            last = self.uncommitted_records[-1].serial
            self.uncommitted_records = []
            self.give(api.RecordsPersisted(last))

    def ask(self, **given: object) -> bool:
        attempts = sends(self.collect(self.world.ask(**given)))  # type: ignore[arg-type]
        for send in attempts:
            self.spent.append((self.real_ms, 1.0))
            self.collect(self.world.end_attempt(send))
        return bool(attempts)

    def pass_time(self, milliseconds: float) -> None:
        self.collect(self.world.pass_time(milliseconds))
        self.real_ms += milliseconds

    def crash(self, down_ms: float = 0.0, jump_ms: float = 0.0) -> None:
        self.allowed_excess_units += ("customer", "c") not in self.rows
        self.real_ms, self.clock_offset_ms = self.real_ms + down_ms, self.clock_offset_ms + jump_ms
        self.start()


def lowest_bucket_level(spent: list[tuple[float, float]], burst_units: float, rate_per_s: float) -> float:
    """Return the lowest level of a bucket that was full at first, in units."""
    level, at, least = burst_units, 0.0, burst_units
    for now, units in spent:
        level = min(burst_units, level + (now - at) / 1000 * rate_per_s) - units
        at, least = now, min(least, level)
    return least


STEP_LISTS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(1, 6)),
        st.tuples(st.just("wait"), st.sampled_from([1, 50, 400, 1_000, 4_000, 30_000])),
        st.tuples(st.just("commit"), st.just(0)),
        st.tuples(st.just("crash"), st.sampled_from([0, 100, 2_000, 60_000])),
        st.tuples(st.just("back"), st.sampled_from([5_000, 3_600_000])),
        st.tuples(st.just("ahead"), st.sampled_from([3_600_000, 10**9])),
    ),
    max_size=60,
)


@pytest.mark.parametrize("plan", [BASIC, FIRM])
@hypothesis_settings(max_examples=150)
@given(steps=STEP_LISTS)
def test_random_crashes_never_let_units_be_spent_twice(plan: api.Plan, steps: list[tuple[str, int]]) -> None:
    disk, uncommitted_ms = GatewayWithDisk(), 0.0
    for step, number in steps:
        if step == "ask":
            for _ in range(number):
                disk.ask(plan=plan.name)
        elif step == "wait":
            for _ in range(20):  # a commit takes at most half of the lag that is allowed for
                part = number / 20
                uncommitted_ms = uncommitted_ms + part if disk.uncommitted_records else 0.0
                if uncommitted_ms > MAX_COMMIT_LAG_MS / 2:
                    disk.commit()
                    uncommitted_ms = 0.0
                disk.pass_time(part)
        elif step == "commit":
            disk.commit()
        else:
            jump = {"crash": 0, "back": -number, "ahead": number}[step]
            disk.crash(number if step == "crash" else 10, jump)
            uncommitted_ms = 0.0
        if plan.rate_per_s:
            assert (
                lowest_bucket_level(disk.spent, plan.burst_units / 2, plan.rate_per_s / 2)
                > -1e-6 - disk.allowed_excess_units
            )
        if plan.ceiling_rate_per_s:
            assert (
                lowest_bucket_level(disk.spent, plan.ceiling_burst_units / 2, plan.ceiling_rate_per_s / 2)
                > -1e-6
            )


def test_after_a_crash_the_reserve_counts_as_spent() -> None:
    """A gateway without the record would admit a request again that the record counts as spent."""
    disk = GatewayWithDisk()
    while disk.ask():
        disk.commit()
    admitted = len(disk.spent)
    assert admitted >= 3
    disk.crash(100)
    assert not disk.ask()
    fresh = GatewayHarness(uses_counter=False)  # a gateway without the record
    assert sends(fresh.ask())


def test_while_commits_lag_a_customer_gets_its_even_share_without_a_burst() -> None:
    disk = GatewayWithDisk()
    admitted_requests = sum(disk.ask() for _ in range(10))
    assert admitted_requests == max(
        1, BASIC.burst_units / 2 * RESERVED_BURST_RATIO
    )  # the first reserve; no request waits for a commit
    assert len(rejections(disk.world.ask())) == 1
    for _ in range(20):
        disk.pass_time(500)
        admitted_requests += disk.ask()
    assert 9 <= admitted_requests <= 11  # one request per second
    disk.commit()  # this record shows one reserve, and ten requests were admitted since
    disk.commit()
    assert disk.ask()


CEILING_PLAN = api.Plan("cap", ceiling_rate_per_s=2, ceiling_burst_units=8)


def test_while_commits_lag_a_customer_gets_its_even_share_of_a_ceiling() -> None:
    disk = GatewayWithDisk(plans=(CEILING_PLAN,))
    disk.pass_time(60_000)
    admitted_requests = sum(disk.ask(plan="cap") for _ in range(10))
    assert admitted_requests == 1
    for _ in range(40):
        disk.pass_time(250)
        admitted_requests += disk.ask(plan="cap")
    assert 9 <= admitted_requests <= 11


def test_units_spent_without_a_reserve_are_not_granted_again_after_a_crash() -> None:
    fast = api.Plan("fast", rate_per_s=40, burst_units=8)
    disk = GatewayWithDisk(plans=(fast,))
    for _ in range(6):
        while disk.ask(plan="fast"):
            disk.commit()
        for _ in range(70):  # shorter than the longest commit
            disk.pass_time(20)
            disk.ask(plan="fast")
        disk.crash(0)
    assert lowest_bucket_level(disk.spent, fast.burst_units / 2, fast.rate_per_s / 2) > -1e-6


def test_first_reserves_of_many_restarts_stay_within_the_ceiling() -> None:
    disk, crashes = GatewayWithDisk(), 12
    disk.pass_time(60_000)
    disk.commit()
    for _ in range(crashes):
        while disk.ask(plan="firm"):
            pass
        disk.crash(10)  # before the first record is committed
    assert lowest_bucket_level(disk.spent, FIRM.ceiling_burst_units / 2, FIRM.ceiling_rate_per_s / 2) > -1e-6
    assert (
        lowest_bucket_level(disk.spent, FIRM.burst_units / 2, FIRM.rate_per_s / 2) >= -crashes
    )  # one request of excess for each crash


def test_a_reserve_may_be_spent_once_its_record_is_committed() -> None:
    disk = GatewayWithDisk()
    assert disk.ask() and not disk.ask()
    assert ("customer", "c") not in disk.rows
    disk.commit()
    values, _ = disk.rows["customer", "c"]
    tokens = values[4][2]  # type: ignore[index]
    assert (
        tokens == disk.world.gateway.customers.by_key["c"].tokens - 1
    )  # the record counts the reserve as spent
    assert disk.ask() and not disk.ask()


def test_only_a_plausible_downtime_fills_the_buckets() -> None:
    for down_ms, jump_ms, min_admitted in (
        (20_000, 0, 3),
        (10, -3_600_000, 0),
        (10, int(MAX_DOWNTIME_MS) * 2, 0),
    ):
        disk = GatewayWithDisk()
        while disk.ask():
            disk.commit()
        disk.crash(down_ms, jump_ms)
        assert any(isinstance(a, api.LogMessage) for _, a in disk.world.log) is not bool(min_admitted)
        admitted_requests = 0
        while disk.ask():
            disk.commit()
            admitted_requests += 1
        assert (admitted_requests == 0) if not min_admitted else admitted_requests >= min_admitted, (
            down_ms,
            jump_ms,
        )


def test_a_planned_end_stores_all_remaining_units() -> None:
    fast = api.Plan("fast", rate_per_s=1, burst_units=80)
    left = []
    for planned in (False, True):
        disk = GatewayWithDisk(plans=(fast,))
        for _ in range(5):
            assert disk.ask(plan="fast")
            disk.commit()
        if planned:
            disk.give(api.PersistenceChanged(False, final=True))
            disk.commit()
        disk.crash(100)
        left.append(disk.world.gateway.customers.by_key["c"].tokens)
    assert left[1] == 35 and left[0] < 30


def test_a_lease_that_expires_while_down_reverts_to_the_even_share() -> None:
    disk = GatewayWithDisk(uses_counter=True)
    disk.ask()
    disk.commit()
    disk.world.gateway.customers.by_key["c"].quota_share = 0.9
    disk.pass_time(MAX_RECORD_AGE_MS)
    disk.ask()
    disk.commit()
    disk.crash(100)
    assert disk.world.gateway.customers.by_key["c"].quota_share == 0.9
    disk.crash(20_000)
    disk.ask()
    assert disk.world.gateway.customers.by_key["c"].quota_share == 0.5


def test_the_ceiling_of_a_new_customer_is_not_empty_after_a_restart() -> None:
    disk = GatewayWithDisk()
    disk.pass_time(60_000)
    disk.commit()
    disk.crash(100)
    first = disk.world.ask(plan="firm", customer="new")
    assert sends(first)  # a gateway without restored state would reject it
    assert not sends(GatewayHarness(uses_counter=False).ask(plan="firm", customer="new"))


def test_scores_age_and_latency_are_restored_but_not_scores_of_an_earlier_backend_process() -> None:
    disk = GatewayWithDisk(entries=[entry(1), entry(2)])
    for _ in range(30):
        attempts = sends(disk.collect(disk.world.ask(plan="bonus", customer="x")))
        for send in attempts:
            outcome = api.Outcome.CONNECT_FAILED if send.backend == 1 else api.Outcome.OK
            disk.collect(disk.world.end_attempt(send, outcome, finished=True))
        disk.pass_time(100)
    disk.commit()
    before = disk.world.gateway
    assert before.backends.by_id[1].scores
    disk.crash(200)
    after = disk.world.gateway
    assert (
        after.backends.by_id[1].scores == before.backends.by_id[1].scores
        and after.latency.mean_ms == before.latency.mean_ms
    )
    assert after.customers.gateway_created_ms == before.customers.gateway_created_ms
    disk.changes["entries"] = [entry(1, started_at_ms=disk.world.now_ms), entry(2)]
    disk.crash(200)
    assert not disk.world.gateway.backends.by_id[1].scores


def test_restarted_gateways_spread_their_counter_calls() -> None:
    asked: list[float] = []
    for index in range(40):
        disk = GatewayWithDisk(uses_counter=True, seed=100 * index)
        disk.ask()
        disk.commit()
        disk.crash(1_000)
        start = disk.world.now_ms
        while not counter_calls(disk.collect(disk.world.ask())):
            disk.pass_time(100)
        asked.append(disk.world.now_ms - start)
    assert (
        max(sum(at <= t < at + 500 for t in asked) for at in asked) < 20
        and max(asked) <= REFRESH_SPREAD_MS + 100
    )


def test_the_number_of_customer_records_is_limited_and_idle_ones_are_deleted() -> None:
    disk = GatewayWithDisk()
    for number in range(MAX_CUSTOMER_RECORDS + 50):
        disk.ask(customer=f"c{number}")
    durable_state = disk.world.gateway.durable_state
    assert durable_state.customer_records == MAX_CUSTOMER_RECORDS
    disk.commit()
    assert len(disk.rows) <= MAX_CUSTOMER_RECORDS + 10
    disk.pass_time(1_000_000)
    disk.ask(customer="last")
    disk.pass_time(MAX_RECORD_AGE_MS)
    disk.commit()
    assert len(durable_state.reserves) == 1 and durable_state.customer_records == 1 and len(disk.rows) <= 10


@pytest.mark.parametrize(
    "values",
    [
        ["customer", "d", "gone", 0, [0.5] * 18],
        ["customer", "d", "basic", 0, [0.5] * 17],
        ["customer", "d", "basic", 0, [7.0] + [0.5] * 17],
        ["customer", "d", "basic", 0, [0.5, 0.5, 1e30] + [0.5] * 15],
        ["customer", "d", "basic", 0, [float("nan")] * 18],
        ["backend", 1, {"all": [1]}],
        ["backend", 1, {"all": [1e30, 0.0]}, 0],
        ["gateway", 1.0],
        ["gateway", 1.0, -1.0, 0.0, 0.0, 0.0, 0.0, 0.0],
        [],
    ],
)
def test_an_invalid_record_is_refused(values: list[object]) -> None:
    world = GatewayHarness()
    world.give(api.StateFileFound(world.now_ms, (world.now_ms,)))
    with pytest.raises((ValueError, TypeError)):
        world.give(api.RecordRestored(decode_record(values), world.now_ms))
    assert not world.gateway.customers.by_key


def test_without_persistence_nothing_is_stored() -> None:
    world = GatewayHarness()
    for _ in range(20):
        world.ask()
        world.pass_time(1_000)
    assert not any(isinstance(a, api.PersistRecord) for _, a in world.log)
    assert not world.gateway.durable_state.reserves


def test_units_spent_by_the_peer_process_are_taken_from_the_reserve() -> None:
    disk = GatewayWithDisk()
    disk.ask()
    disk.commit()
    units_before = disk.world.gateway.durable_state.reserves["c"].units
    disk.give(api.PeerProcessMessage(decode_record(["spent", "c", "basic", 0.5, 0, 1, 1, 1, 0])))
    assert disk.world.gateway.durable_state.reserves["c"].units == units_before - 1


def test_actual_units_beyond_the_estimate_are_taken_from_the_reserve() -> None:
    disk = GatewayWithDisk()
    disk.ask()
    disk.commit()
    reserve = disk.world.gateway.durable_state.reserves["c"]
    (send,) = sends(disk.collect(disk.world.ask()))
    disk.collect(
        disk.give(
            api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 1.0, True, actual_units=3.0)
        )
    )
    assert reserve.units < 0
    disk.commit()
    disk.commit()
    tokens_left = disk.world.gateway.customers.by_key["c"].tokens
    values, _ = disk.rows["customer", "c"]
    assert values[4][2] <= tokens_left  # type: ignore[index]
    assert settings().max_request_units == 1.0
