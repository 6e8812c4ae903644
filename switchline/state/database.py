"""The SQLite database of the state: its schema, the checks of a file, and reading and committing records.

There is one table, `rows`. Each row has a checksum over its contents, the schema version and the gateway's
name, so that only damaged rows are dropped and no row of another gateway is read. The row of kind `meta` has
the name of the gateway that the file belongs to and the times of its last starts; the row's own time is that
of the last commit.
"""

from __future__ import annotations

import hashlib
import json
import logging
import math
import sqlite3
from collections.abc import Callable, Mapping
from pathlib import Path

from switchline.state.errors import UnsoundFileError
from switchline.state.folder import WAL_SUFFIX
from switchline.state.records import (
    MAX_BODY_CHARS,
    MAX_NAME_BYTES,
    MAX_RECORDS,
    PendingRecord,
    RecordKey,
    SavedState,
    StoredRecord,
)

log = logging.getLogger(__name__)

SCHEMA_VERSION = 1
CREATE_TABLE = (
    "CREATE TABLE rows (kind TEXT, name TEXT, at REAL, body TEXT, sum BLOB, PRIMARY KEY (kind, name))"
)
INSERT = "INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)"
DELETE = "DELETE FROM rows WHERE kind=? AND name=?"
SELECT_RECORDS = "SELECT kind, name, at, body, sum FROM rows WHERE kind != 'meta' LIMIT ?"
SELECT_META = "SELECT at, body, sum FROM rows WHERE kind=? AND name=?"
META = RecordKey("meta", "gateway")
MAX_FILE_BYTES = 64 * 1024 * 1024  # about ten times the size of all records at their limits
MAX_SQLITE_VALUE_BYTES = 256 * 1024  # limits the memory that SQLite allocates for a value of a damaged file
MAX_WAL_BYTES = 4_194_304  # SQLite truncates a longer write-ahead log to this size
CHECKSUM_BYTES = 16
MAX_STORED_STARTS = 9
CONNECT_TIMEOUT_S = 1.0


class StateDatabase:
    """Owns the connection to the database of one gateway. All methods may wait for the disk.

    Args:
        path: the database's file.
        gateway: the gateway's name.
        clock: returns the time in Unix milliseconds.
    """

    def __init__(self, path: Path, gateway: str, clock: Callable[[], float]) -> None:
        self.path = path
        self.gateway = gateway[:MAX_NAME_BYTES]
        self.clock = clock
        self.connection: sqlite3.Connection | None = None
        self.inode = 0
        self.start_times_ms: list[float] = []

    def connect(self) -> sqlite3.Connection:
        """Open the file; SQLite creates it if it is missing."""
        connection = sqlite3.connect(
            self.path, timeout=CONNECT_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        self.connection = connection
        connection.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, MAX_SQLITE_VALUE_BYTES)
        connection.execute("PRAGMA trusted_schema=OFF")
        return connection

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is None:
            return
        connection = self.connection
        self.connection = None
        try:
            connection.close()
        except sqlite3.Error as error:
            log.info("the database of the state on disk could not be closed: %s", error)

    def create(self) -> None:
        """Create and open a new file without records."""
        connection = self.connect()
        self._prepare_for_writes(connection)
        connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
        connection.execute(CREATE_TABLE)

    def _prepare_for_writes(self, connection: sqlite3.Connection) -> None:
        if connection.execute("PRAGMA journal_mode=WAL").fetchone() != ("wal",):
            raise UnsoundFileError("SQLite could not enable its write-ahead log")
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute(f"PRAGMA journal_size_limit={MAX_WAL_BYTES}")

    def has_commit(self) -> bool:
        """Return whether the file has a commit of a gateway; the connection is closed afterwards."""
        if not self.path.exists():
            return False
        try:
            return self.connect().execute(SELECT_META, META).fetchone() is not None
        except sqlite3.Error:
            return False
        finally:
            self.close()

    def read(self) -> SavedState:
        """Open the file, check all of it, and return the valid records.

        Raises:
            UnsoundFileError: the file is damaged, too large, or belongs to another gateway.
            sqlite3.Error: SQLite can't read the file.
            ValueError, TypeError, KeyError, RecursionError: the `meta` row is malformed.
        """
        for path in (self.path, self.path.with_name(self.path.name + WAL_SUFFIX)):
            if path.exists() and path.stat().st_size > MAX_FILE_BYTES:
                raise UnsoundFileError("its file or its write-ahead log is too large")
        connection = self.connect()
        self._check_file(connection)
        last_alive_ms = self._read_meta(connection)
        records, dropped = self._read_records(connection)
        self._prepare_for_writes(connection)
        start_times_ms = (*self.start_times_ms[1:], self.clock())
        return SavedState(records, last_alive_ms, start_times_ms, dropped)

    def _check_file(self, connection: sqlite3.Connection) -> None:
        (version,) = connection.execute("PRAGMA user_version").fetchone()
        if version != SCHEMA_VERSION:
            raise UnsoundFileError(f"its schema version is {version}, expected {SCHEMA_VERSION}")
        result = connection.execute("PRAGMA quick_check(1)").fetchone()
        if result != ("ok",):
            raise UnsoundFileError(f"SQLite's quick_check failed with {result}")

    def _read_meta(self, connection: sqlite3.Connection) -> float:
        """Check that the file is this gateway's, and read its start times; return the last commit's time."""
        row = connection.execute(SELECT_META, META).fetchone()
        if row is None or len(row[1]) > MAX_BODY_CHARS:
            raise UnsoundFileError("it has no valid meta row, which names its gateway")
        at_ms, body, checksum = row
        meta = json.loads(body)
        if meta["gateway"] != self.gateway:
            raise UnsoundFileError(f"it belongs to the gateway {meta['gateway']!r}")
        if self._checksum(META, PendingRecord(at_ms, body)) != checksum:
            raise UnsoundFileError("the checksum of its meta row is wrong")
        self.start_times_ms = [float(start_ms) for start_ms in meta["starts"]][-MAX_STORED_STARTS + 1 :]
        return float(at_ms)

    def _read_records(self, connection: sqlite3.Connection) -> tuple[list[StoredRecord], int]:
        """Return the valid records, and the number of dropped ones."""
        records: list[StoredRecord] = []
        dropped = 0
        for kind, name, at_ms, body, checksum in connection.execute(SELECT_RECORDS, (MAX_RECORDS,)):
            try:
                if len(body) > MAX_BODY_CHARS or not math.isfinite(at_ms):
                    raise ValueError("the body is too long, or the time is not finite")
                if self._checksum(RecordKey(kind, name), PendingRecord(at_ms, body)) != checksum:
                    raise ValueError("the checksum is wrong")
                records.append(StoredRecord(kind, name, at_ms, json.loads(body)))
            except (ValueError, TypeError, RecursionError):
                dropped += 1
        return records, dropped

    def _checksum(self, key: RecordKey, record: PendingRecord) -> bytes:
        covered = json.dumps([SCHEMA_VERSION, self.gateway, *key, *record]).encode()
        return hashlib.blake2b(covered, digest_size=CHECKSUM_BYTES).digest()

    def remember_file(self) -> None:
        """Record the inode of the open file, so that a commit fails after the file was replaced."""
        self.inode = self.path.stat().st_ino

    def record_start(self) -> None:
        """Add the time of this process's start; the first commit writes it."""
        self.start_times_ms = [*self.start_times_ms, self.clock()][-MAX_STORED_STARTS:]

    def commit(self, records: Mapping[RecordKey, PendingRecord], replace_all: bool) -> None:
        """Write records in one transaction, with the time of the commit.

        Args:
            records: the records by key; those without a body are deleted.
            replace_all: also delete all records that are not among these.

        Raises:
            UnsoundFileError: the file was replaced after it was opened.
            sqlite3.Error: the commit may not be on disk; the commit before it is still valid.
            OSError: the file was removed.
        """
        assert self.connection is not None
        now_ms = self.clock()
        written = {key: record for key, record in records.items() if record.body is not None}
        meta = json.dumps({"gateway": self.gateway, "starts": self.start_times_ms})
        written[META] = PendingRecord(now_ms, meta)
        deleted = [key for key, record in records.items() if record.body is None]
        if self.path.stat().st_ino != self.inode:
            raise UnsoundFileError("the database file was replaced by another file")
        connection = self.connection
        connection.execute("BEGIN IMMEDIATE")
        if replace_all:
            connection.execute("DELETE FROM rows")
        connection.executemany(DELETE, deleted)
        rows = [(*key, *record, self._checksum(key, record)) for key, record in written.items()]
        connection.executemany(INSERT, rows)
        connection.execute("COMMIT")
