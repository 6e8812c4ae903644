"""What the module reserves ahead of the disk, and what a restart gives: on clocks set by hand."""

from __future__ import annotations

import copy
import json

import pytest
from helpers import BASIC, FIRM, World, counts, entry, refusals, sends, settings
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from switchline.policy import interface as api
from switchline.policy.persistence.codec import decode_record, encode_record
from switchline.policy.persistence.durable_state import (
    MAX_CUSTOMER_RECORDS,
    MAX_RECORD_AGE_MS,
    REFRESH_SPREAD_MS,
)
from switchline.policy.persistence.reserve import RESERVED_RATIO
from switchline.policy.persistence.restore import MAX_COMMIT_LAG_MS, MAX_DOWNTIME_MS

Told = tuple[str, str]


class Disk:
    """One gateway, the disk it keeps rows on, and its lives; real time goes on whatever its clock says."""

    def __init__(self, **changes: object) -> None:
        self.changes = {"uses_counter": False, **changes}
        self.seed = int(str(self.changes.pop("seed", 0)))
        self.rows: dict[Told, tuple[list[object], float]] = {}
        self.waiting: list[api.PersistRecord] = []
        self.alive, self.starts = 0.0, list[float]()
        self.real, self.offset = 0.0, 1.7e12
        self.spent: list[tuple[float, float]] = []
        self.slack = 0.0  # of quotas, not of ceilings: a request for each life that left no row
        self.start()

    def start(self) -> None:
        now = self.real + self.offset
        seed = self.seed + len(self.starts) + 1
        self.world = World(seed=seed, now=now, **self.changes)  # type: ignore[arg-type]
        self.waiting.clear()
        if self.rows:
            restarts = (*self.starts[1:], self.world.now)
            self.give(api.StateFileFound(self.alive, restarts[-8:]))
            for kind in ("customer", "backend", "gateway"):
                for said, at in [row for (k, _), row in self.rows.items() if k == kind]:
                    self.give(api.RecordRestored(decode_record(json.loads(json.dumps(said))), at))
        self.give(api.PersistenceChanged(True))
        self.starts.append(self.world.now)
        self.rows.clear()
        self.commit()

    def give(self, event: api.Event) -> list[api.Action]:
        return self.note(self.world.give(event))

    def note(self, actions: list[api.Action]) -> list[api.Action]:
        self.waiting += [copy.deepcopy(a) for a in actions if isinstance(a, api.PersistRecord)]
        return actions

    def commit(self) -> None:
        for keep in self.waiting:
            record = encode_record(keep.record)
            if record[0] == "forget":
                self.rows.pop((str(record[1]), str(record[2])), None)
            else:
                name = "" if record[0] == "gateway" else str(record[1])
                self.rows[str(record[0]), name] = record, self.world.now
        self.alive = self.world.now
        if self.waiting:
            last = self.waiting[-1].serial
            self.waiting = []
            self.give(api.RecordsPersisted(last))

    def ask(self, **given: object) -> bool:
        made = sends(self.note(self.world.ask(**given)))  # type: ignore[arg-type]
        for send in made:
            self.spent.append((self.real, 1.0))
            self.note(self.world.end(send))
        return bool(made)

    def pass_time(self, milliseconds: float) -> None:
        self.note(self.world.pass_time(milliseconds))
        self.real += milliseconds

    def crash(self, down: float = 0.0, jump: float = 0.0) -> None:
        self.slack += ("customer", "c") not in self.rows
        self.real, self.offset = self.real + down, self.offset + jump
        self.start()


def lowest(spent: list[tuple[float, float]], burst: float, rate: float) -> float:
    """The least that a bucket which was full at first would have held."""
    level, at, least = burst, 0.0, burst
    for now, units in spent:
        level = min(burst, level + (now - at) / 1000 * rate) - units
        at, least = now, min(least, level)
    return least


STEPS = st.lists(
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
@runs(max_examples=150)
@given(steps=STEPS)
def test_no_order_of_crashes_gives_anything_twice(plan: api.Plan, steps: list[tuple[str, int]]) -> None:
    disk, uncommitted = Disk(), 0.0
    for what, number in steps:
        if what == "ask":
            for _ in range(number):
                disk.ask(plan=plan.name)
        elif what == "wait":
            for _ in range(20):  # a commit takes up to half of what the module reckons with
                part = number / 20
                uncommitted = uncommitted + part if disk.waiting else 0.0
                if uncommitted > MAX_COMMIT_LAG_MS / 2:
                    disk.commit()
                    uncommitted = 0.0
                disk.pass_time(part)
        elif what == "commit":
            disk.commit()
        else:
            jump = {"crash": 0, "back": -number, "ahead": number}[what]
            disk.crash(number if what == "crash" else 10, jump)
            uncommitted = 0.0
        if plan.rate_per_s:
            assert lowest(disk.spent, plan.burst_units / 2, plan.rate_per_s / 2) > -1e-6 - disk.slack
        if plan.ceiling_rate_per_s:
            assert lowest(disk.spent, plan.ceiling_burst_units / 2, plan.ceiling_rate_per_s / 2) > -1e-6


def test_without_reservation_a_crash_would_give_it_again() -> None:
    """The same play with rows alone shows what the reserved part is for."""
    disk = Disk()
    while disk.ask():
        disk.commit()
    had = len(disk.spent)
    assert had >= 3
    disk.crash(100)
    assert not disk.ask()
    fresh = World(uses_counter=False)  # knows nothing
    assert sends(fresh.ask())


def test_a_lagging_disk_leaves_the_even_share_without_a_burst() -> None:
    disk = Disk()
    let_in = sum(disk.ask() for _ in range(10))
    assert let_in == max(1, BASIC.burst_units / 2 * RESERVED_RATIO)  # a first part, and nothing waits
    assert len(refusals(disk.world.ask())) == 1
    for _ in range(20):
        disk.pass_time(500)
        let_in += disk.ask()
    assert 9 <= let_in <= 11  # one a second
    disk.commit()  # of a row that shows one part, and ten have been let in since
    disk.commit()
    assert disk.ask()


CAP = api.Plan("cap", ceiling_rate_per_s=2, ceiling_burst_units=8)


def test_a_lagging_disk_leaves_the_even_share_of_a_ceiling() -> None:
    disk = Disk(plans=(CAP,))
    disk.pass_time(60_000)
    let_in = sum(disk.ask(plan="cap") for _ in range(10))
    assert let_in == 1
    for _ in range(40):
        disk.pass_time(250)
        let_in += disk.ask(plan="cap")
    assert 9 <= let_in <= 11


def test_what_went_unreserved_while_the_disk_lagged_is_not_paid_back() -> None:
    fast = api.Plan("fast", rate_per_s=40, burst_units=8)
    disk = Disk(plans=(fast,))
    for _ in range(6):
        while disk.ask(plan="fast"):
            disk.commit()
        for _ in range(70):  # less than a commit may take
            disk.pass_time(20)
            disk.ask(plan="fast")
        disk.crash(0)
    assert lowest(disk.spent, fast.burst_units / 2, fast.rate_per_s / 2) > -1e-6


def test_first_parts_of_many_lives_stay_within_the_ceiling() -> None:
    disk, lives = Disk(), 12
    disk.pass_time(60_000)
    disk.commit()
    for _ in range(lives):
        while disk.ask(plan="firm"):
            pass
        disk.crash(10)  # before its first row is committed
    assert lowest(disk.spent, FIRM.ceiling_burst_units / 2, FIRM.ceiling_rate_per_s / 2) > -1e-6
    assert (
        lowest(disk.spent, FIRM.burst_units / 2, FIRM.rate_per_s / 2) >= -lives
    )  # the slack: one request a crash


def test_a_part_is_spent_from_memory_once_its_row_is_committed() -> None:
    disk = Disk()
    assert disk.ask() and not disk.ask()
    assert ("customer", "c") not in disk.rows
    disk.commit()
    said, _ = disk.rows["customer", "c"]
    tokens = said[4][2]  # type: ignore[index]
    assert tokens == disk.world.gateway.customers.by_key["c"].tokens - 1  # a part shows as spent
    assert disk.ask() and not disk.ask()


def test_downtime_fills_the_buckets_as_far_as_it_is_plausible() -> None:
    for down, jump, most in ((20_000, 0, 3), (10, -3_600_000, 0), (10, int(MAX_DOWNTIME_MS) * 2, 0)):
        disk = Disk()
        while disk.ask():
            disk.commit()
        disk.crash(down, jump)
        assert any(isinstance(a, api.LogMessage) for _, a in disk.world.log) is not bool(most)
        let_in = 0
        while disk.ask():
            disk.commit()
            let_in += 1
        assert (let_in == 0) if not most else let_in >= most, (down, jump)


def test_a_planned_end_keeps_all_that_is_left() -> None:
    fast = api.Plan("fast", rate_per_s=1, burst_units=80)
    left = []
    for planned in (False, True):
        disk = Disk(plans=(fast,))
        for _ in range(5):
            assert disk.ask(plan="fast")
            disk.commit()
        if planned:
            disk.give(api.PersistenceChanged(False, final=True))
            disk.commit()
        disk.crash(100)
        left.append(disk.world.gateway.customers.by_key["c"].tokens)
    assert left[1] == 35 and left[0] < 30


def test_a_lease_that_ended_meanwhile_reverts() -> None:
    disk = Disk(uses_counter=True)
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


def test_a_ceiling_need_not_start_empty_after_a_restart_and_is_never_given_twice() -> None:
    disk = Disk()
    disk.pass_time(60_000)
    disk.commit()
    disk.crash(100)
    first = disk.world.ask(plan="firm", customer="new")
    assert sends(first)  # a process that knows nothing would refuse it
    assert not sends(World(uses_counter=False).ask(plan="firm", customer="new"))


def test_marks_age_and_pace_come_back_but_not_those_of_another_process_of_a_backend() -> None:
    disk = Disk(entries=[entry(1), entry(2)])
    for _ in range(30):
        made = sends(disk.note(disk.world.ask(plan="bonus", customer="x")))
        for send in made:
            outcome = api.Outcome.CONNECT_FAILED if send.backend == 1 else api.Outcome.OK
            disk.note(disk.world.end(send, outcome, finished=True))
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
    disk.changes["entries"] = [entry(1, started=disk.world.now), entry(2)]
    disk.crash(200)
    assert not disk.world.gateway.backends.by_id[1].scores


def test_a_fleet_that_is_back_does_not_ask_the_counter_at_once() -> None:
    asked: list[float] = []
    for index in range(40):
        disk = Disk(uses_counter=True, seed=100 * index)
        disk.ask()
        disk.commit()
        disk.crash(1_000)
        start = disk.world.now
        while not counts(disk.note(disk.world.ask())):
            disk.pass_time(100)
        asked.append(disk.world.now - start)
    assert (
        max(sum(at <= t < at + 500 for t in asked) for at in asked) < 20
        and max(asked) <= REFRESH_SPREAD_MS + 100
    )


def test_rows_have_a_bound_and_an_end() -> None:
    disk = Disk()
    for number in range(MAX_CUSTOMER_RECORDS + 50):
        disk.ask(customer=f"c{number}")
    keeping = disk.world.gateway.durable_state
    assert keeping.customer_records == MAX_CUSTOMER_RECORDS
    disk.commit()
    assert len(disk.rows) <= MAX_CUSTOMER_RECORDS + 10
    disk.pass_time(1_000_000)
    disk.ask(customer="last")
    disk.pass_time(MAX_RECORD_AGE_MS)
    disk.commit()
    assert len(keeping.reserves) == 1 and keeping.customer_records == 1 and len(disk.rows) <= 10


@pytest.mark.parametrize(
    "said",
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
def test_a_row_out_of_range_is_left_out(said: list[object]) -> None:
    world = World()
    world.give(api.StateFileFound(world.now, (world.now,)))
    with pytest.raises((ValueError, TypeError)):
        world.give(api.RecordRestored(decode_record(said), world.now))
    assert not world.gateway.customers.by_key


def test_off_it_keeps_nothing() -> None:
    world = World()
    for _ in range(20):
        world.ask()
        world.pass_time(1_000)
    assert not any(isinstance(a, api.PersistRecord) for _, a in world.log)
    assert not world.gateway.durable_state.reserves


def test_what_another_process_lets_in_is_reserved_too() -> None:
    disk = Disk()
    disk.ask()
    disk.commit()
    ahead = disk.world.gateway.durable_state.reserves["c"].units
    disk.give(api.PeerProcessMessage(decode_record(["spent", "c", "basic", 0.5, 0, 1, 1, 1, 0])))
    assert disk.world.gateway.durable_state.reserves["c"].units == ahead - 1


def test_true_units_are_spent_whatever_was_reserved() -> None:
    disk = Disk()
    disk.ask()
    disk.commit()
    reserve = disk.world.gateway.durable_state.reserves["c"]
    (send,) = sends(disk.note(disk.world.ask()))
    disk.note(
        disk.give(
            api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 1.0, True, actual_units=3.0)
        )
    )
    assert reserve.units < 0
    disk.commit()
    disk.commit()
    held = disk.world.gateway.customers.by_key["c"].tokens
    said, _ = disk.rows["customer", "c"]
    assert said[4][2] <= held  # type: ignore[index]
    assert settings().max_request_units == 1.0
