"""The files of the state on disk: what is checked, what a kill or a spoilt byte leaves, and faults."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import sqlite3
import subprocess
import sys
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from switchline.state import database as database_module
from switchline.state import store as store_module
from switchline.state.database import MAX_STARTS
from switchline.state.errors import FolderLockedError
from switchline.state.folder import DATABASE_FILE, MAX_ASIDE
from switchline.state.records import MAX_BODY_CHARS, MAX_NAME_BYTES, PendingRecord, RecordKey, SavedState
from switchline.state.storage import StateStorage
from switchline.state.store import StateStore, StoreEvents
from testbed.network.sockets import until
from testbed.stand_ins.single_gateway import in_loop

PAGE = 4096
NAME = "n0"


def life(folder: Path, rows: dict[tuple[str, str], object], now: float = 1.0) -> SavedState:
    """One short life: read, write these rows as all there is, end."""
    files = StateStorage(folder, NAME, lambda: now)
    try:
        files.lock(0)
        found = files.open(fresh=False)
        files.record_start()
        files.commit(
            {RecordKey(*key): PendingRecord(now, json.dumps(said)) for key, said in rows.items()},
            replace_all=True,
        )
    finally:
        files.close()
    return found


def peek(folder: Path, name: str = NAME, now: float = 9.0) -> SavedState:
    files = StateStorage(folder, name, lambda: now)
    try:
        files.lock(0)
        return files.open(fresh=False)
    finally:
        files.close()


def said(found: SavedState) -> dict[tuple[str, str], object]:
    return {(row.kind, row.name): row.value for row in found.records}


MANY = {("customer", f"{n:016x}"): ["customer", f"{n:016x}", "basic", 0, [n + 0.5] * 18] for n in range(300)}


def test_what_is_written_is_found_with_its_time_and_its_lives(tmp_path: Path) -> None:
    assert life(tmp_path, MANY, now=1.0) == SavedState([], 0.0, (), 0)
    found = life(tmp_path, {("host", "h"): {"x": 1}}, now=2.0)
    assert said(found) == MANY and found.last_alive_ms == 1.0 and found.restarts_ms == (2.0,)
    found = peek(tmp_path, now=3.0)
    assert said(found) == {("host", "h"): {"x": 1}} and found.restarts_ms == (2.0, 3.0)
    for number in range(20):
        life(tmp_path, {}, now=4.0 + number)
    assert len(peek(tmp_path).restarts_ms) == MAX_STARTS - 1


def test_a_second_process_is_kept_out_until_the_first_is_gone(tmp_path: Path) -> None:
    one, two = StateStorage(tmp_path, NAME, lambda: 1.0), StateStorage(tmp_path, NAME, lambda: 1.0)
    one.lock(0)
    with pytest.raises(FolderLockedError):
        two.lock(0)
    two.close()
    one.close()
    two.lock(0)
    two.close()


SPOILT = ["random", "empty", "version", "table", "other", "large", "folder", "nobody"]


@pytest.mark.parametrize("kind", SPOILT)
def test_files_that_are_none_of_ours_are_set_aside(tmp_path: Path, kind: str) -> None:
    path = tmp_path / DATABASE_FILE
    if kind == "random":
        path.write_bytes(random.Random(1).randbytes(3 * PAGE))
    elif kind == "empty":
        path.write_bytes(b"")
    elif kind == "large":
        with path.open("wb") as file:
            file.truncate(database_module.MAX_FILE_BYTES + 1)
    elif kind == "folder":
        path.mkdir()
    elif kind == "other":
        life(tmp_path, MANY)
    else:
        life(tmp_path, MANY)
        with sqlite3.connect(path) as database:
            change = {"version": "PRAGMA user_version=2", "table": "DROP TABLE rows"}
            database.execute(change.get(kind, "DELETE FROM rows WHERE kind='meta'"))
        database.close()
    found = peek(tmp_path, "n1" if kind == "other" else NAME)
    assert found == SavedState([], 0.0, (), 0)
    assert [place.name for place in tmp_path.glob("aside-*.db")] == ["aside-1.db"]


def test_a_bounded_number_is_set_aside(tmp_path: Path) -> None:
    for number in range(MAX_ASIDE + 3):
        (tmp_path / DATABASE_FILE).write_bytes(b"%d" % number * 100)
        (tmp_path / (DATABASE_FILE + "-wal")).write_bytes(b"w")
        peek(tmp_path)
    aside = list(tmp_path.glob("aside-*.db"))
    assert len(aside) == MAX_ASIDE
    assert any(place.read_bytes()[:1] == b"%d" % (MAX_ASIDE + 2) for place in aside)


def test_a_row_whose_checksum_is_wrong_is_dropped_alone(tmp_path: Path) -> None:
    life(tmp_path, MANY)
    with sqlite3.connect(tmp_path / DATABASE_FILE) as database:
        database.execute("UPDATE rows SET body=replace(body, '5.5', '9.5') WHERE name=?", (f"{5:016x}",))
        database.execute("UPDATE rows SET at=0 WHERE name=?", (f"{6:016x}",))
        database.execute("UPDATE rows SET body=NULL WHERE name=?", (f"{7:016x}",))
        database.execute("UPDATE rows SET sum=x'00' WHERE name=?", (f"{8:016x}",))
    database.close()
    found = peek(tmp_path)
    assert found.dropped == 4 and len(found.records) == len(MANY) - 4
    assert all(MANY[key] == body for key, body in said(found).items())


def sound(folder: Path, *lives: dict[tuple[str, str], object]) -> bool:
    """Whether what is found is as one life left it, row by row; it never ends in an error."""
    found = peek(folder)
    whole = [rows for rows in lives if said(found) == rows]
    each = all(any(rows.get(key) == body for rows in lives) for key, body in said(found).items())
    return bool(whole) or not found.records or (each and found.dropped > 0)


def spoil(folder: Path, copy: Path, file: str, change: Callable[[Path, int], None], place: int) -> Path:
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(folder, copy)
    change(copy / file, place)
    return copy


def flip(path: Path, place: int) -> None:
    data = bytearray(path.read_bytes())
    data[place] ^= 0xFF
    path.write_bytes(data)


def test_a_database_cut_or_flipped_anywhere_never_harms_a_start(tmp_path: Path) -> None:
    folder, copy = tmp_path / "state", tmp_path / "copy"
    life(folder, MANY)
    size = (folder / DATABASE_FILE).stat().st_size
    assert size > 10 * PAGE
    chance = random.Random(7)
    for place in (*range(0, size, PAGE), *(chance.randrange(size) for _ in range(60))):
        for change in (flip, os.truncate):
            assert sound(spoil(folder, copy, DATABASE_FILE, change, place), MANY), (place, change)


def log_of(folder: Path) -> dict[tuple[str, str], object]:
    """A folder as a loss of power leaves it: two commits in the log, and none of it in the database."""
    work = folder.with_name("work")
    files = StateStorage(work, NAME, lambda: 1.0)
    files.lock(0)
    files.open(fresh=False)
    files.record_start()
    rows = {RecordKey(*key): PendingRecord(1.0, json.dumps(body)) for key, body in MANY.items()}
    files.commit(dict(list(rows.items())[:100]), replace_all=True)
    files.commit(rows, replace_all=False)
    shutil.copytree(work, folder)
    files.close()
    (folder / (DATABASE_FILE + "-shm")).unlink(missing_ok=True)
    return dict(list(MANY.items())[:100])


def test_a_log_cut_or_garbled_at_any_place_leaves_a_whole_commit(tmp_path: Path) -> None:
    folder, copy = tmp_path / "state", tmp_path / "copy"
    first = log_of(folder)
    size = (folder / (DATABASE_FILE + "-wal")).stat().st_size
    assert said(peek(spoil(folder, copy, DATABASE_FILE, lambda *_: None, 0))) == MANY
    chance, seen = random.Random(8), set[int]()
    frames = *range(0, size, PAGE + 24), *range(32, size, PAGE + 24)
    for place in (*frames, *(chance.randrange(size) for _ in range(60))):
        for change in (os.truncate, flip):
            found = peek(spoil(folder, copy, DATABASE_FILE + "-wal", change, place))
            assert found.dropped == 0 and said(found) in ({}, first, MANY), (place, change)
            seen.add(len(found.records))
    assert seen == {0, len(first)}  # whatever the place, the last commit is not whole


CHILD = """
import os, random, signal, sys, json
from pathlib import Path
from switchline.state.database import StateDatabase
from switchline.state.records import PendingRecord, RecordKey
from switchline.state.storage import StateStorage

folder, name, limit = Path(sys.argv[1]), "n0", int(sys.argv[2])
steps = 0

def step(*_):
    global steps
    steps += 1
    if steps == limit:
        os.kill(os.getpid(), signal.SIGKILL)

def traced(self, was=StateDatabase.connect):
    made = was(self)
    made.set_trace_callback(step)
    return made

StateDatabase.connect = traced

for what in ("mkdir", "fsync", "rename", "open"):
    def wrapped(*given, was=getattr(os, what), **named):
        step()
        return was(*given, **named)
    setattr(os, what, wrapped)

for life in range(3):
    files = StateStorage(folder, name, lambda: float(life + 1))
    files.lock(0)
    files.open(fresh=life == 2)
    files.record_start()
    for batch in range(4):
        keys = [RecordKey("customer", f"{life}-{batch}-{n}") for n in range(20)]
        rows = {key: PendingRecord(1.0, json.dumps([life, batch])) for key in keys}
        files.commit(rows, replace_all=not batch)
        print(life, batch, flush=True)
    files.close()
"""


def test_a_kill_between_any_two_steps_leaves_what_was_committed(tmp_path: Path) -> None:
    # The first life, some of the second, and the third, which begins a new file beside that of the second.
    ended, limits = 0, [*range(1, 60), *range(60, 190, 10), *range(190, 290)]
    running: list[tuple[int, Path, subprocess.Popen[str]]] = []
    for limit in limits:
        folder = tmp_path / f"state-{limit}"
        made = subprocess.Popen(
            [sys.executable, "-c", CHILD, str(folder), str(limit)],
            cwd=Path(__file__).parents[2],
            stdout=subprocess.PIPE,
            text=True,
        )
        running.append((limit, folder, made))
        if len(running) >= 8 or limit == limits[-1]:
            for limit, folder, process in running:
                out, _ = process.communicate(timeout=50)
                ended += process.returncode == -signal.SIGKILL
                check_after_kill(folder, [tuple(map(int, line.split())) for line in out.splitlines()], limit)
            running.clear()
    assert ended > len(limits) / 2


def check_after_kill(folder: Path, told: list[tuple[int, ...]], limit: int) -> None:
    found = peek(folder)
    kept = {tuple(row.value) for row in found.records}
    life, batch = told[-1] if told else (0, -1)
    if life == 1 and batch == 3:  # the next life begins a new file: one of the two stands at any moment
        assert kept >= {(1, 3)} or kept == {(2, 0)}, (limit, kept)
    elif told:  # all that was told, and at most the batch after it
        following = (life, batch + 1) if batch < 3 else (life + 1, 0)
        expected = {(life, n) for n in range(batch + 1)}
        assert kept in (expected, expected | {following}, {following}), (limit, kept)
    assert found.dropped == 0 and len(found.records) == 20 * len(kept)


# ---- the thread ----


class RecordsPersisted:
    """A store, and what it told."""

    def __init__(self, folder: Path) -> None:
        self.numbers: list[int] = []
        self.faults: list[str] = []
        events = StoreEvents(self.numbers.append, lambda error: self.faults.append(str(error)))
        self.store = StateStore(folder, NAME, lambda: 1.0, events)

    async def begin(self) -> SavedState:
        found = await self.store.loaded
        self.store.begin()
        return found

    async def end(self) -> None:
        self.store.close()
        await asyncio.to_thread(self.store.join)
        assert not self.store.writer.thread.is_alive()


def with_store(folder: Path, scenario: Callable[[RecordsPersisted], Awaitable[None]]) -> None:
    async def run() -> None:
        kept = RecordsPersisted(folder)
        try:
            await kept.begin()
            await scenario(kept)
        finally:
            await kept.end()

    in_loop(run)


def test_rows_are_told_once_they_are_on_disk_and_the_last_of_a_name_counts(tmp_path: Path) -> None:
    async def scenario(kept: RecordsPersisted) -> None:
        for number in range(1, 101):
            kept.store.put("customer", "c", [number], number)
        assert await kept.store.wait_committed(kept.store.put("host", "h", {"x": 1}))
        assert kept.numbers and kept.numbers[-1] == 100
        kept.store.put("host", "h", None)
        kept.store.put("customer", "late", [1], 101)  # a close commits what waits

    with_store(tmp_path, scenario)
    assert said(peek(tmp_path)) == {("customer", "c"): [100], ("customer", "late"): [1]}


def test_before_its_begin_a_store_writes_nothing(tmp_path: Path) -> None:
    life(tmp_path, MANY)

    async def scenario() -> None:
        kept = RecordsPersisted(tmp_path)
        assert said(await kept.store.loaded) == MANY
        kept.store.put("customer", "c", [1], 1)
        await kept.end()
        assert not kept.numbers

    in_loop(scenario)
    assert said(peek(tmp_path)) == MANY


class Failing(sqlite3.Connection):
    """A disk that gives an error at a commit."""

    failing = ""

    def execute(self, sql: str, *given: object) -> sqlite3.Cursor:  # type: ignore[override]
        if Failing.failing and sql == "COMMIT":
            raise sqlite3.OperationalError(Failing.failing)
        return super().execute(sql, *given)  # type: ignore[arg-type]


def connect_by(monkeypatch: pytest.MonkeyPatch) -> None:
    was = sqlite3.connect
    monkeypatch.setattr(
        database_module.sqlite3, "connect", lambda path, **given: was(path, factory=Failing, **given)
    )
    monkeypatch.setattr(Failing, "failing", "")


@pytest.mark.parametrize("error", ["disk I/O error", "attempt to write a readonly database"])
def test_a_failed_commit_is_never_tried_again_and_the_one_before_it_stands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: str
) -> None:
    connect_by(monkeypatch)

    async def scenario(kept: RecordsPersisted) -> None:
        assert await kept.store.wait_committed(kept.store.put("customer", "c", [1], 1))
        Failing.failing = error
        assert not await kept.store.wait_committed(kept.store.put("customer", "c", [2], 2))
        Failing.failing = ""
        assert kept.faults == [error] and kept.numbers == [1]
        await asyncio.to_thread(kept.store.join)
        assert kept.store.put("customer", "c", [3], 3) == 0
        assert not await kept.store.wait_committed(1)

    with_store(tmp_path, scenario)
    assert not (tmp_path / "aside-1.db").exists()
    assert said(peek(tmp_path)) == {("customer", "c"): [1]}


def test_a_full_disk_turns_it_off(tmp_path: Path) -> None:
    async def scenario(kept: RecordsPersisted) -> None:
        assert await kept.store.wait_committed(kept.store.put("customer", "c", [1], 1))
        assert kept.store.writer.storage.database.connection is not None
        kept.store.writer.storage.database.connection.execute("PRAGMA max_page_count=10")
        for number in range(200):
            kept.store.put("customer", f"c{number}", ["x" * 4_000], number + 2)
        await until(lambda: kept.faults)
        assert kept.faults == ["database or disk is full"]

    with_store(tmp_path, scenario)


def test_a_folder_that_goes_turns_it_off(tmp_path: Path) -> None:
    async def scenario(kept: RecordsPersisted) -> None:
        assert await kept.store.wait_committed(kept.store.put("customer", "c", [1], 1))
        shutil.rmtree(tmp_path / "state")
        assert not await kept.store.wait_committed(kept.store.put("customer", "c", [2], 2))
        assert len(kept.faults) == 1

    with_store(tmp_path / "state", scenario)


@pytest.mark.parametrize("kind", ["file", "below a file", "held"])
def test_a_folder_that_can_t_be_used_is_named(tmp_path: Path, kind: str) -> None:
    place = tmp_path / "state"
    first = StateStorage(place, NAME, lambda: 1.0)
    if kind == "held":
        first.lock(0)
    else:
        place.write_text("what")

    async def scenario() -> None:
        kept = RecordsPersisted(place / "more" if kind == "below a file" else place)
        with pytest.raises(asyncio.CancelledError):
            await kept.store.loaded
        assert len(kept.faults) == 1
        await kept.end()

    in_loop(scenario)
    first.close()


def test_a_disk_that_lags_is_left_and_its_last_commit_stands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "COMMIT_TIMEOUT_S", 0.2)
    go_on = threading.Event()
    was = StateStorage.commit

    def slow(self: StateStorage, records: dict[RecordKey, PendingRecord], replace_all: bool) -> None:
        if ("customer", "c") in records:
            go_on.wait(15)
        was(self, records, replace_all)

    monkeypatch.setattr(StateStorage, "commit", slow)

    async def scenario(kept: RecordsPersisted) -> None:
        kept.store.put("customer", "c", [1], 1)
        await until(lambda: kept.faults)
        assert kept.faults == ["the disk lags"] and not kept.numbers
        go_on.set()
        await asyncio.to_thread(kept.store.writer.thread.join)

    with_store(tmp_path, scenario)
    assert not (tmp_path / "aside-1.db").exists()
    assert said(peek(tmp_path)) == {("customer", "c"): [1]}  # it came late, and is whole


def test_a_row_that_can_t_be_kept_is_left_out_and_the_rest_is_kept(tmp_path: Path) -> None:
    async def scenario(kept: RecordsPersisted) -> None:
        kept.store.put("host", "long", {"x": "y" * MAX_BODY_CHARS})
        kept.store.put("host", "h" * MAX_NAME_BYTES + "h", 1)
        kept.store.put("host", "\ud800", 1)  # JSON may hold such a name
        assert await kept.store.wait_committed(kept.store.put("host", "h", 1))

    with_store(tmp_path, scenario)
    assert said(peek(tmp_path)) == {("host", "h"): 1}
