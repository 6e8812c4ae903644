"""The types of records that the modules of the state on disk exchange."""

from __future__ import annotations

from typing import Any, NamedTuple

MAX_RECORDS = 16_384  # the most records of all kinds together
MAX_BODY_CHARS = 16 * 1024
MAX_NAME_BYTES = 256


class RecordKey(NamedTuple):
    """Identifies a record; a later one with the same key replaces it."""

    kind: str
    name: str


class PendingRecord(NamedTuple):
    """A record to be written.

    Attributes:
        at_ms: the time at which it was saved, in Unix milliseconds by the gateway's clock.
        body: its value as JSON; None deletes the record.
    """

    at_ms: float
    body: str | None


class StoredRecord(NamedTuple):
    """A record read from a file, with a correct checksum.

    Attributes:
        kind: the kind of the record, such as "customer" or "host".
        name: identifies the record among those of its kind.
        at_ms: the time at which it was saved, in Unix milliseconds by the clock of the gateway that saved it.
        value: the value, decoded from JSON.
    """

    kind: str
    name: str
    at_ms: float
    value: Any


class SavedState(NamedTuple):
    """The state of earlier processes, as read from a file. Times are in Unix milliseconds.

    Attributes:
        records: the valid records.
        last_alive_ms: the time of the last commit.
        start_times_ms: the times of the last starts, including this one; empty without a usable file.
        dropped: the number of records dropped for a wrong checksum or a malformed value.
    """

    records: list[StoredRecord]
    last_alive_ms: float
    start_times_ms: tuple[float, ...]
    dropped: int

    @classmethod
    def empty(cls) -> SavedState:
        """Return the state of a gateway without an earlier process."""
        return cls([], 0.0, (), 0)

    def of_kind(self, kind: str) -> list[StoredRecord]:
        """Return the records of a kind, in the order of the file."""
        return [record for record in self.records if record.kind == kind]


def is_storable(name: str, body: str | None) -> bool:
    """Return whether a record's name and body are short enough, and the name can be encoded as UTF-8."""
    try:
        return len(name.encode()) <= MAX_NAME_BYTES and len(body or "") <= MAX_BODY_CHARS
    except UnicodeEncodeError:
        return False
