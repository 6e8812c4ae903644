"""The store: its reports of commits, the commit at a close, and faults of the disk."""

from __future__ import annotations

import asyncio
import shutil
import sqlite3
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from saved_state import MANY_CUSTOMERS, NAME, read_saved, save, values_of

from switchline.state import database as database_module
from switchline.state import store as store_module
from switchline.state.records import MAX_BODY_CHARS, MAX_NAME_BYTES, PendingRecord, RecordKey, SavedState
from switchline.state.storage import StateStorage
from switchline.state.store import StateStore, StoreEvents
from testbed.network.sockets import until
from testbed.stand_ins.single_gateway import in_loop


class ObservedStore:
    """A store, with the serial numbers of commits and the faults that it reported."""

    def __init__(self, folder: Path) -> None:
        self.committed: list[int] = []
        self.faults: list[str] = []
        events = StoreEvents(self.committed.append, lambda error: self.faults.append(str(error)))
        self.store = StateStore(folder, NAME, lambda: 1.0, events)

    async def begin(self) -> SavedState:
        saved = await self.store.loaded
        self.store.begin()
        return saved

    async def end(self) -> None:
        self.store.close()
        await asyncio.to_thread(self.store.join)
        assert not self.store.writer.thread.is_alive()


def with_store(folder: Path, scenario: Callable[[ObservedStore], Awaitable[None]]) -> None:
    async def run() -> None:
        observed = ObservedStore(folder)
        try:
            await observed.begin()
            await scenario(observed)
        finally:
            await observed.end()

    in_loop(run)


def test_commits_are_reported_and_the_last_record_of_a_key_is_stored(tmp_path: Path) -> None:
    async def scenario(observed: ObservedStore) -> None:
        for number in range(1, 101):
            observed.store.put("customer", "c", [number], number)
        assert await observed.store.wait_committed(observed.store.put("host", "h", {"x": 1}))
        assert observed.committed and observed.committed[-1] == 100
        observed.store.put("host", "h", None)
        observed.store.put("customer", "late", [1], 101)  # committed by the close

    with_store(tmp_path, scenario)
    assert values_of(read_saved(tmp_path)) == {("customer", "c"): [100], ("customer", "late"): [1]}


def test_a_store_writes_nothing_before_begin(tmp_path: Path) -> None:
    save(tmp_path, MANY_CUSTOMERS)

    async def scenario() -> None:
        observed = ObservedStore(tmp_path)
        assert values_of(await observed.store.loaded) == MANY_CUSTOMERS
        observed.store.put("customer", "c", [1], 1)
        await observed.end()
        assert not observed.committed

    in_loop(scenario)
    assert values_of(read_saved(tmp_path)) == MANY_CUSTOMERS


class FailingConnection(sqlite3.Connection):
    """A connection whose commits fail with the error in `failing`, unless that is empty."""

    failing = ""

    def execute(self, sql: str, *given: object) -> sqlite3.Cursor:  # type: ignore[override]
        if FailingConnection.failing and sql == "COMMIT":
            raise sqlite3.OperationalError(FailingConnection.failing)
        return super().execute(sql, *given)  # type: ignore[arg-type]


def use_failing_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    original = sqlite3.connect
    monkeypatch.setattr(
        database_module.sqlite3,
        "connect",
        lambda path, **given: original(path, factory=FailingConnection, **given),
    )
    monkeypatch.setattr(FailingConnection, "failing", "")


@pytest.mark.parametrize("error", ["disk I/O error", "attempt to write a readonly database"])
def test_a_failed_commit_is_never_retried_and_the_commit_before_it_stays_valid(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: str
) -> None:
    use_failing_connections(monkeypatch)

    async def scenario(observed: ObservedStore) -> None:
        assert await observed.store.wait_committed(observed.store.put("customer", "c", [1], 1))
        FailingConnection.failing = error
        assert not await observed.store.wait_committed(observed.store.put("customer", "c", [2], 2))
        FailingConnection.failing = ""
        assert observed.faults == [error] and observed.committed == [1]
        await asyncio.to_thread(observed.store.join)
        assert observed.store.put("customer", "c", [3], 3) == 0
        assert not await observed.store.wait_committed(1)

    with_store(tmp_path, scenario)
    assert not (tmp_path / "aside-1.db").exists()
    assert values_of(read_saved(tmp_path)) == {("customer", "c"): [1]}


def test_a_full_disk_closes_the_store(tmp_path: Path) -> None:
    async def scenario(observed: ObservedStore) -> None:
        assert await observed.store.wait_committed(observed.store.put("customer", "c", [1], 1))
        assert observed.store.writer.storage.database.connection is not None
        observed.store.writer.storage.database.connection.execute("PRAGMA max_page_count=10")
        for number in range(200):
            observed.store.put("customer", f"c{number}", ["x" * 4_000], number + 2)
        await until(lambda: observed.faults)
        assert observed.faults == ["database or disk is full"]

    with_store(tmp_path, scenario)


def test_a_removed_folder_closes_the_store(tmp_path: Path) -> None:
    async def scenario(observed: ObservedStore) -> None:
        assert await observed.store.wait_committed(observed.store.put("customer", "c", [1], 1))
        shutil.rmtree(tmp_path / "state")
        assert not await observed.store.wait_committed(observed.store.put("customer", "c", [2], 2))
        assert len(observed.faults) == 1

    with_store(tmp_path / "state", scenario)


@pytest.mark.parametrize("kind", ["file", "below a file", "held"])
def test_an_unusable_folder_is_reported_once(tmp_path: Path, kind: str) -> None:
    folder = tmp_path / "state"
    first = StateStorage(folder, NAME, lambda: 1.0)
    if kind == "held":
        first.lock(0)
    else:
        folder.write_text("what")

    async def scenario() -> None:
        observed = ObservedStore(folder / "more" if kind == "below a file" else folder)
        with pytest.raises(asyncio.CancelledError):
            await observed.store.loaded
        assert len(observed.faults) == 1
        await observed.end()

    in_loop(scenario)
    first.close()


def test_a_slow_disk_closes_the_store_and_its_late_commit_stays_valid(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "COMMIT_TIMEOUT_S", 0.2)
    release_commit = threading.Event()
    original = StateStorage.commit

    def slow(self: StateStorage, records: dict[RecordKey, PendingRecord], replace_all: bool) -> None:
        if ("customer", "c") in records:
            release_commit.wait(15)
        original(self, records, replace_all)

    monkeypatch.setattr(StateStorage, "commit", slow)

    async def scenario(observed: ObservedStore) -> None:
        observed.store.put("customer", "c", [1], 1)
        await until(lambda: observed.faults)
        assert observed.faults == ["a commit takes too long"] and not observed.committed
        release_commit.set()
        await asyncio.to_thread(observed.store.writer.thread.join)

    with_store(tmp_path, scenario)
    assert not (tmp_path / "aside-1.db").exists()
    assert values_of(read_saved(tmp_path)) == {("customer", "c"): [1]}  # the late commit is complete


def test_a_record_that_can_t_be_stored_is_left_out_and_the_others_are_stored(tmp_path: Path) -> None:
    async def scenario(observed: ObservedStore) -> None:
        observed.store.put("host", "long", {"x": "y" * MAX_BODY_CHARS})
        observed.store.put("host", "h" * MAX_NAME_BYTES + "h", 1)
        observed.store.put("host", "\ud800", 1)  # JSON can contain such a name
        assert await observed.store.wait_committed(observed.store.put("host", "h", 1))

    with_store(tmp_path, scenario)
    assert values_of(read_saved(tmp_path)) == {("host", "h"): 1}
