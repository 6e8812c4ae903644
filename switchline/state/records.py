"""The records of the state on disk, between its modules."""

from __future__ import annotations

from typing import Any, NamedTuple

MAX_RECORDS = 16_384  # of all kinds
MAX_BODY_CHARS = 16 * 1024
MAX_NAME_BYTES = 256


class RecordKey(NamedTuple):
    """Identifies a record; a later one with the same key replaces it."""

    kind: str
    name: str


class PendingRecord(NamedTuple):
    """A record to be written.

    Attributes:
        at_ms: when it was saved, by the gateway's clock.
        body: JSON; None deletes the record.
    """

    at_ms: float
    body: str | None


class StoredRecord(NamedTuple):
    """A record read from a file whose checksum was right.

    Attributes:
        kind: what it is of.
        name: of that kind.
        at_ms: when it was saved, by the clock of the gateway that saved it.
        value: decoded from JSON.
    """

    kind: str
    name: str
    at_ms: float
    value: Any


class SavedState(NamedTuple):
    """What a file holds of earlier processes.

    Attributes:
        records: those that are sound.
        last_alive_ms: time of the last commit.
        restarts_ms: times of the last starts, with this one; empty if there was no file that could be used.
        dropped: records left out, as their checksum was wrong or they were malformed.
    """

    records: list[StoredRecord]
    last_alive_ms: float
    restarts_ms: tuple[float, ...]
    dropped: int

    @classmethod
    def empty(cls) -> SavedState:
        """Return the state of a gateway without an earlier process."""
        return cls([], 0.0, (), 0)

    def of_kind(self, kind: str) -> list[StoredRecord]:
        """Return the records of a kind, in the file's order."""
        return [record for record in self.records if record.kind == kind]


def is_storable(name: str, body: str | None) -> bool:
    """Return whether a record is short enough, and its name is text that can be encoded."""
    try:
        return len(name.encode()) <= MAX_NAME_BYTES and len(body or "") <= MAX_BODY_CHARS
    except UnicodeEncodeError:
        return False
