"""The files of the state on disk: what is checked, and what a kill or a damaged byte leaves."""

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
from saved_state import MANY, NAME, read_saved, save, values_of

from switchline.state import database as database_module
from switchline.state.database import MAX_STORED_STARTS
from switchline.state.errors import FolderLockedError
from switchline.state.folder import DATABASE_FILE, MAX_ASIDE
from switchline.state.records import PendingRecord, RecordKey, SavedState
from switchline.state.storage import StateStorage

PAGE = 4096


def test_what_is_written_is_read_with_its_time_and_the_last_starts(tmp_path: Path) -> None:
    assert save(tmp_path, MANY, now=1.0) == SavedState([], 0.0, (), 0)
    found = save(tmp_path, {("host", "h"): {"x": 1}}, now=2.0)
    assert values_of(found) == MANY and found.last_alive_ms == 1.0 and found.start_times_ms == (2.0,)
    found = read_saved(tmp_path, now=3.0)
    assert values_of(found) == {("host", "h"): {"x": 1}} and found.start_times_ms == (2.0, 3.0)
    for number in range(20):
        save(tmp_path, {}, now=4.0 + number)
    assert len(read_saved(tmp_path).start_times_ms) == MAX_STORED_STARTS - 1


def test_a_second_process_is_locked_out_until_the_first_has_closed(tmp_path: Path) -> None:
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
        save(tmp_path, MANY)
    else:
        save(tmp_path, MANY)
        with sqlite3.connect(path) as database:
            change = {"version": "PRAGMA user_version=2", "table": "DROP TABLE rows"}
            database.execute(change.get(kind, "DELETE FROM rows WHERE kind='meta'"))
        database.close()
    found = read_saved(tmp_path, "n1" if kind == "other" else NAME)
    assert found == SavedState([], 0.0, (), 0)
    assert [place.name for place in tmp_path.glob("aside-*.db")] == ["aside-1.db"]


def test_a_bounded_number_is_set_aside(tmp_path: Path) -> None:
    for number in range(MAX_ASIDE + 3):
        (tmp_path / DATABASE_FILE).write_bytes(b"%d" % number * 100)
        (tmp_path / (DATABASE_FILE + "-wal")).write_bytes(b"w")
        read_saved(tmp_path)
    aside = list(tmp_path.glob("aside-*.db"))
    assert len(aside) == MAX_ASIDE
    assert any(place.read_bytes()[:1] == b"%d" % (MAX_ASIDE + 2) for place in aside)


def test_only_records_with_a_wrong_checksum_are_dropped(tmp_path: Path) -> None:
    save(tmp_path, MANY)
    with sqlite3.connect(tmp_path / DATABASE_FILE) as database:
        database.execute("UPDATE rows SET body=replace(body, '5.5', '9.5') WHERE name=?", (f"{5:016x}",))
        database.execute("UPDATE rows SET at=0 WHERE name=?", (f"{6:016x}",))
        database.execute("UPDATE rows SET body=NULL WHERE name=?", (f"{7:016x}",))
        database.execute("UPDATE rows SET sum=x'00' WHERE name=?", (f"{8:016x}",))
    database.close()
    found = read_saved(tmp_path)
    assert found.dropped == 4 and len(found.records) == len(MANY) - 4
    assert all(MANY[key] == body for key, body in values_of(found).items())


def sound(folder: Path, *saved: dict[tuple[str, str], object]) -> bool:
    """Whether what is found is as one process left it, record by record; it never ends in an error."""
    found = read_saved(folder)
    whole = [rows for rows in saved if values_of(found) == rows]
    each = all(any(rows.get(key) == body for rows in saved) for key, body in values_of(found).items())
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
    save(folder, MANY)
    size = (folder / DATABASE_FILE).stat().st_size
    assert size > 10 * PAGE
    chance = random.Random(7)
    for place in (*range(0, size, PAGE), *(chance.randrange(size) for _ in range(60))):
        for change in (flip, os.truncate):
            assert sound(spoil(folder, copy, DATABASE_FILE, change, place), MANY), (place, change)


def log_of(folder: Path) -> dict[tuple[str, str], object]:
    """A folder as a loss of power leaves it: two commits in the log, and none of it in the database."""
    work = folder.with_name("work")
    storage = StateStorage(work, NAME, lambda: 1.0)
    storage.lock(0)
    storage.open(fresh=False)
    storage.record_start()
    rows = {RecordKey(*key): PendingRecord(1.0, json.dumps(body)) for key, body in MANY.items()}
    storage.commit(dict(list(rows.items())[:100]), replace_all=True)
    storage.commit(rows, replace_all=False)
    shutil.copytree(work, folder)
    storage.close()
    (folder / (DATABASE_FILE + "-shm")).unlink(missing_ok=True)
    return dict(list(MANY.items())[:100])


def test_a_log_cut_or_garbled_at_any_place_leaves_a_complete_commit(tmp_path: Path) -> None:
    folder, copy = tmp_path / "state", tmp_path / "copy"
    first = log_of(folder)
    size = (folder / (DATABASE_FILE + "-wal")).stat().st_size
    assert values_of(read_saved(spoil(folder, copy, DATABASE_FILE, lambda *_: None, 0))) == MANY
    chance, seen = random.Random(8), set[int]()
    frames = *range(0, size, PAGE + 24), *range(32, size, PAGE + 24)
    for place in (*frames, *(chance.randrange(size) for _ in range(60))):
        for change in (os.truncate, flip):
            found = read_saved(spoil(folder, copy, DATABASE_FILE + "-wal", change, place))
            assert found.dropped == 0 and values_of(found) in ({}, first, MANY), (place, change)
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


def test_a_kill_between_any_two_steps_leaves_what_was_committed(tmp_path: Path) -> None:
    # The first process, some of the second, and the third, which begins a new file beside that of the second.
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
    found = read_saved(folder)
    batches = {tuple(row.value) for row in found.records}
    start, batch = reported[-1] if reported else (0, -1)
    if start == 1 and batch == 3:  # the next process begins a new file: one of the two stands at any moment
        assert batches >= {(1, 3)} or batches == {(2, 0)}, (limit, batches)
    elif reported:  # all that was reported, and at most the batch after it
        following = (start, batch + 1) if batch < 3 else (start + 1, 0)
        expected = {(start, n) for n in range(batch + 1)}
        assert batches in (expected, expected | {following}, {following}), (limit, batches)
    assert found.dropped == 0 and len(found.records) == 20 * len(batches)
