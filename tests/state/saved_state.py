"""Helpers of the tests of the state: a saved state to read back, as one process leaves it to the next."""

from __future__ import annotations

import json
from pathlib import Path

from switchline.state.records import PendingRecord, RecordKey, SavedState
from switchline.state.storage import StateStorage

NAME = "n0"
Values = dict[tuple[str, str], object]  # of records, by kind and name

MANY: Values = {
    ("customer", f"{n:016x}"): ["customer", f"{n:016x}", "basic", 0, [n + 0.5] * 18] for n in range(300)
}


def save(folder: Path, values: Values, now: float = 1.0) -> SavedState:
    """One short process: read what is there, write these records as all there is, end."""
    storage = StateStorage(folder, NAME, lambda: now)
    try:
        storage.lock(0)
        found = storage.open(fresh=False)
        storage.record_start()
        records = {RecordKey(*key): PendingRecord(now, json.dumps(value)) for key, value in values.items()}
        storage.commit(records, replace_all=True)
    finally:
        storage.close()
    return found


def read_saved(folder: Path, name: str = NAME, now: float = 9.0) -> SavedState:
    """Read what a process left, as the next start would."""
    storage = StateStorage(folder, name, lambda: now)
    try:
        storage.lock(0)
        return storage.open(fresh=False)
    finally:
        storage.close()


def values_of(saved: SavedState) -> Values:
    """The values of the records, by kind and name."""
    return {(record.kind, record.name): record.value for record in saved.records}
