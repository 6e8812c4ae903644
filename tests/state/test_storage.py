"""The files of the state on disk: the checks at a start, also after a kill or with damaged bytes."""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import sqlite3
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from saved_state import MANY_CUSTOMERS, NAME, read_saved, save, values_of

from switchline.state import database as database_module
from switchline.state.database import MAX_STORED_STARTS
from switchline.state.errors import FolderLockedError
from switchline.state.folder import DATABASE_FILE, MAX_ASIDE
from switchline.state.records import PendingRecord, RecordKey, SavedState
from switchline.state.storage import StateStorage

PAGE = 4096


def test_committed_records_are_read_with_the_times_of_commit_and_starts(tmp_path: Path) -> None:
    assert save(tmp_path, MANY_CUSTOMERS, now_ms=1.0) == SavedState([], 0.0, (), 0)
    saved = save(tmp_path, {("host", "h"): {"x": 1}}, now_ms=2.0)
    assert (
        values_of(saved) == MANY_CUSTOMERS and saved.last_alive_ms == 1.0 and saved.start_times_ms == (2.0,)
    )
    saved = read_saved(tmp_path, now_ms=3.0)
    assert values_of(saved) == {("host", "h"): {"x": 1}} and saved.start_times_ms == (2.0, 3.0)
    for number in range(20):
        save(tmp_path, {}, now_ms=4.0 + number)
    assert len(read_saved(tmp_path).start_times_ms) == MAX_STORED_STARTS - 1


def test_a_second_process_is_locked_out_until_the_first_has_closed(tmp_path: Path) -> None:
    first_storage, second_storage = (
        StateStorage(tmp_path, NAME, lambda: 1.0),
        StateStorage(tmp_path, NAME, lambda: 1.0),
    )
    first_storage.lock(0)
    with pytest.raises(FolderLockedError):
        second_storage.lock(0)
    second_storage.close()
    first_storage.close()
    second_storage.lock(0)
    second_storage.close()


UNUSABLE_KINDS = ["random", "empty", "version", "table", "other", "large", "folder", "nobody"]


@pytest.mark.parametrize("kind", UNUSABLE_KINDS)
def test_unusable_databases_are_set_aside(tmp_path: Path, kind: str) -> None:
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
        save(tmp_path, MANY_CUSTOMERS)
    else:
        save(tmp_path, MANY_CUSTOMERS)
        with sqlite3.connect(path) as database:
            change = {"version": "PRAGMA user_version=2", "table": "DROP TABLE rows"}
            database.execute(change.get(kind, "DELETE FROM rows WHERE kind='meta'"))
        database.close()
    saved = read_saved(tmp_path, "n1" if kind == "other" else NAME)
    assert saved == SavedState([], 0.0, (), 0)
    assert [path.name for path in tmp_path.glob("aside-*.db")] == ["aside-1.db"]


def test_at_most_max_aside_databases_are_kept(tmp_path: Path) -> None:
    for number in range(MAX_ASIDE + 3):
        (tmp_path / DATABASE_FILE).write_bytes(b"%d" % number * 100)
        (tmp_path / (DATABASE_FILE + "-wal")).write_bytes(b"w")
        read_saved(tmp_path)
    aside = list(tmp_path.glob("aside-*.db"))
    assert len(aside) == MAX_ASIDE
    assert any(path.read_bytes()[:1] == b"%d" % (MAX_ASIDE + 2) for path in aside)


def test_only_records_with_a_wrong_checksum_are_dropped(tmp_path: Path) -> None:
    save(tmp_path, MANY_CUSTOMERS)
    with sqlite3.connect(tmp_path / DATABASE_FILE) as database:
        database.execute("UPDATE rows SET body=replace(body, '5.5', '9.5') WHERE name=?", (f"{5:016x}",))
        database.execute("UPDATE rows SET at=0 WHERE name=?", (f"{6:016x}",))
        database.execute("UPDATE rows SET body=NULL WHERE name=?", (f"{7:016x}",))
        database.execute("UPDATE rows SET sum=x'00' WHERE name=?", (f"{8:016x}",))
    database.close()
    saved = read_saved(tmp_path)
    assert saved.dropped == 4 and len(saved.records) == len(MANY_CUSTOMERS) - 4
    assert all(MANY_CUSTOMERS[key] == body for key, body in values_of(saved).items())


def is_consistent(folder: Path, *expected: dict[tuple[str, str], object]) -> bool:
    """Return whether the folder is read without an error as one of the expected states.

    An empty state is valid too, and so is one with dropped records if all others are as expected.
    """
    saved = read_saved(folder)
    complete = [rows for rows in expected if values_of(saved) == rows]
    each = all(any(rows.get(key) == body for rows in expected) for key, body in values_of(saved).items())
    return bool(complete) or not saved.records or (each and saved.dropped > 0)


def copy_and_corrupt(
    folder: Path, copy: Path, file: str, change: Callable[[Path, int], None], offset: int
) -> Path:
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(folder, copy)
    change(copy / file, offset)
    return copy


def flip_byte(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


def test_a_database_truncated_or_corrupted_at_any_offset_gives_no_wrong_record(tmp_path: Path) -> None:
    folder, copy = tmp_path / "state", tmp_path / "copy"
    save(folder, MANY_CUSTOMERS)
    byte_count = (folder / DATABASE_FILE).stat().st_size
    assert byte_count > 10 * PAGE
    rng = random.Random(7)
    for offset in (*range(0, byte_count, PAGE), *(rng.randrange(byte_count) for _ in range(60))):
        for change in (flip_byte, os.truncate):
            assert is_consistent(
                copy_and_corrupt(folder, copy, DATABASE_FILE, change, offset), MANY_CUSTOMERS
            ), (offset, change)


def write_log_without_checkpoint(folder: Path) -> dict[tuple[str, str], object]:
    """Create a folder as after a power loss, with two commits in the log and none in the database file.

    Returns:
        The values of the first commit.
    """
    work = folder.with_name("work")
    storage = StateStorage(work, NAME, lambda: 1.0)
    storage.lock(0)
    storage.open(fresh=False)
    storage.record_start()
    rows = {RecordKey(*key): PendingRecord(1.0, json.dumps(body)) for key, body in MANY_CUSTOMERS.items()}
    storage.commit(dict(list(rows.items())[:100]), replace_all=True)
    storage.commit(rows, replace_all=False)
    shutil.copytree(work, folder)
    storage.close()
    (folder / (DATABASE_FILE + "-shm")).unlink(missing_ok=True)
    return dict(list(MANY_CUSTOMERS.items())[:100])


def test_a_log_truncated_or_corrupted_at_any_offset_gives_a_complete_commit(tmp_path: Path) -> None:
    folder, copy = tmp_path / "state", tmp_path / "copy"
    first = write_log_without_checkpoint(folder)
    byte_count = (folder / (DATABASE_FILE + "-wal")).stat().st_size
    assert (
        values_of(read_saved(copy_and_corrupt(folder, copy, DATABASE_FILE, lambda *_: None, 0)))
        == MANY_CUSTOMERS
    )
    rng, seen = random.Random(8), set[int]()
    frames = *range(0, byte_count, PAGE + 24), *range(32, byte_count, PAGE + 24)
    for offset in (*frames, *(rng.randrange(byte_count) for _ in range(60))):
        for change in (os.truncate, flip_byte):
            saved = read_saved(copy_and_corrupt(folder, copy, DATABASE_FILE + "-wal", change, offset))
            assert saved.dropped == 0 and values_of(saved) in ({}, first, MANY_CUSTOMERS), (offset, change)
            seen.add(len(saved.records))
    assert seen == {0, len(first)}  # at each offset the last commit is incomplete


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

for start in range(3):
    storage = StateStorage(folder, name, lambda: float(start + 1))
    storage.lock(0)
    storage.open(fresh=start == 2)
    storage.record_start()
    for batch in range(4):
        keys = [RecordKey("customer", f"{start}-{batch}-{n}") for n in range(20)]
        rows = {key: PendingRecord(1.0, json.dumps([start, batch])) for key in keys}
        storage.commit(rows, replace_all=not batch)
        print(start, batch, flush=True)
    storage.close()
"""


def test_a_kill_between_any_two_steps_loses_no_committed_record(tmp_path: Path) -> None:
    # The limits cover the first process, a part of the second, and the third, which creates a new database
    # beside that of the second.
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


def check_after_kill(folder: Path, reported: list[tuple[int, ...]], limit: int) -> None:
    saved = read_saved(folder)
    batches = {tuple(row.value) for row in saved.records}
    start, batch = reported[-1] if reported else (0, -1)
    # The third process creates a new database: one of the two is valid at any time.
    if start == 1 and batch == 3:
        assert batches >= {(1, 3)} or batches == {(2, 0)}, (limit, batches)
    elif reported:  # all reported batches, and at most the one after them
        following = (start, batch + 1) if batch < 3 else (start + 1, 0)
        expected = {(start, n) for n in range(batch + 1)}
        assert batches in (expected, expected | {following}, {following}), (limit, batches)
    assert saved.dropped == 0 and len(saved.records) == 20 * len(batches)
