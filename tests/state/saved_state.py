"""Helpers of the state's tests: they write and read the state on disk as consecutive processes do."""

from __future__ import annotations

import json
from pathlib import Path

from switchline.state.records import PendingRecord, RecordKey, SavedState
from switchline.state.storage import StateStorage

NAME = "n0"
Values = dict[tuple[str, str], object]
"""The values of records, by kind and name."""

MANY_CUSTOMERS: Values = {
    ("customer", f"{n:016x}"): ["customer", f"{n:016x}", "basic", 0, [n + 0.5] * 18] for n in range(300)
}


def save(folder: Path, values: Values, now_ms: float = 1.0) -> SavedState:
    """Act as a short process: read the saved state, replace it by these records, and close the folder."""
    storage = StateStorage(folder, NAME, lambda: now_ms)
    try:
        storage.lock(0)
        saved = storage.open(fresh=False)
        storage.record_start()
        records = {RecordKey(*key): PendingRecord(now_ms, json.dumps(value)) for key, value in values.items()}
        storage.commit(records, replace_all=True)
    finally:
        storage.close()
    return saved


def read_saved(folder: Path, name: str = NAME, now_ms: float = 9.0) -> SavedState:
    """Read the saved state, as the next start would."""
    storage = StateStorage(folder, name, lambda: now_ms)
    try:
        storage.lock(0)
        return storage.open(fresh=False)
    finally:
        storage.close()


def values_of(saved: SavedState) -> Values:
    """Return the values of the records, by kind and name."""
    return {(record.kind, record.name): record.value for record in saved.records}
