"""The SQLite database of the state: its schema, the checks of a file, reading and committing records.

One table, `rows`. Each row carries a checksum over its contents, the schema and the gateway's name, so that a
damaged row is dropped alone and no row of another gateway is taken. The row of kind `meta` says whose file it
is, when the gateway started of late, and, by its time, when it last committed.
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
MAX_FILE_BYTES = 64 * 1024 * 1024  # some ten times what all records at their bounds take
MAX_VALUE_BYTES = 256 * 1024  # that SQLite may put together for one value, whatever a file says
MAX_LOG_BYTES = 4_194_304  # to which SQLite cuts its log after it was longer
CHECKSUM_BYTES = 16
MAX_STARTS = 9  # that are remembered
CONNECT_TIMEOUT_S = 1.0


class StateDatabase:
    """Owns the connection to the database of one gateway. All methods may wait for the disk.

    Args:
        path: the database's file.
        gateway: its name.
        clock: gives Unix milliseconds.
    """

    def __init__(self, path: Path, gateway: str, clock: Callable[[], float]) -> None:
        self.path = path
        self.gateway = gateway[:MAX_NAME_BYTES]
        self.clock = clock
        self.connection: sqlite3.Connection | None = None
        self.inode = 0
        self.starts_ms: list[float] = []

    def connect(self) -> sqlite3.Connection:
        """Open the file, which SQLite creates if it is missing."""
        connection = sqlite3.connect(
            self.path, timeout=CONNECT_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        self.connection = connection
        connection.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, MAX_VALUE_BYTES)
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
            log.info("the state on disk could not be closed: %s", error)

    def create(self) -> None:
        """Open a new file without records."""
        connection = self.connect()
        self._prepare_for_writes(connection)
        connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
        connection.execute(CREATE_TABLE)

    def _prepare_for_writes(self, connection: sqlite3.Connection) -> None:
        if connection.execute("PRAGMA journal_mode=WAL").fetchone() != ("wal",):
            raise UnsoundFileError("no write-ahead log")
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute(f"PRAGMA journal_size_limit={MAX_LOG_BYTES}")

    def has_commit(self) -> bool:
        """Return whether the file holds a commit of a gateway; the connection is closed after."""
        if not self.path.exists():
            return False
        try:
            return self.connect().execute(SELECT_META, META).fetchone() is not None
        except sqlite3.Error:
            return False
        finally:
            self.close()

    def read(self) -> SavedState:
        """Open the file, check all of it, and return the records that are sound.

        Raises:
            UnsoundFileError: it is damaged, too large, or not this gateway's.
            sqlite3.Error: SQLite can't read it; ValueError, TypeError, KeyError and RecursionError as well
                for a `meta` row of another shape.
        """
        for path in (self.path, self.path.with_name(self.path.name + WAL_SUFFIX)):
            if path.exists() and path.stat().st_size > MAX_FILE_BYTES:
                raise UnsoundFileError("it is too large")
        connection = self.connect()
        self._check_file(connection)
        last_alive_ms = self._read_meta(connection)
        records, dropped = self._read_records(connection)
        self._prepare_for_writes(connection)
        restarts_ms = (*self.starts_ms[1:], self.clock())
        return SavedState(records, last_alive_ms, restarts_ms, dropped)

    def _check_file(self, connection: sqlite3.Connection) -> None:
        (version,) = connection.execute("PRAGMA user_version").fetchone()
        if version != SCHEMA_VERSION:
            raise UnsoundFileError(f"its version is {version}, not {SCHEMA_VERSION}")
        result = connection.execute("PRAGMA quick_check(1)").fetchone()
        if result != ("ok",):
            raise UnsoundFileError(f"the check says {result}")

    def _read_meta(self, connection: sqlite3.Connection) -> float:
        """Check whose file it is, and take the times of the last starts; return the last commit's time."""
        row = connection.execute(SELECT_META, META).fetchone()
        if row is None or len(row[1]) > MAX_BODY_CHARS:
            raise UnsoundFileError("it does not say whose it is")
        at_ms, body, checksum = row
        meta = json.loads(body)
        if meta["gateway"] != self.gateway:
            raise UnsoundFileError(f"it is of the gateway {meta['gateway']!r}")
        if self._checksum(META, PendingRecord(at_ms, body)) != checksum:
            raise UnsoundFileError("it does not say surely whose it is")
        self.starts_ms = [float(start_ms) for start_ms in meta["starts"]][-MAX_STARTS + 1 :]
        return float(at_ms)

    def _read_records(self, connection: sqlite3.Connection) -> tuple[list[StoredRecord], int]:
        """Return the sound records, and the number of others."""
        records: list[StoredRecord] = []
        dropped = 0
        for kind, name, at_ms, body, checksum in connection.execute(SELECT_RECORDS, (MAX_RECORDS,)):
            try:
                if len(body) > MAX_BODY_CHARS or not math.isfinite(at_ms):
                    raise ValueError("too long, or without a time")
                if self._checksum(RecordKey(kind, name), PendingRecord(at_ms, body)) != checksum:
                    raise ValueError("checksum")
                records.append(StoredRecord(kind, name, at_ms, json.loads(body)))
            except (ValueError, TypeError, RecursionError):
                dropped += 1
        return records, dropped

    def _checksum(self, key: RecordKey, record: PendingRecord) -> bytes:
        covered = json.dumps([SCHEMA_VERSION, self.gateway, *key, *record]).encode()
        return hashlib.blake2b(covered, digest_size=CHECKSUM_BYTES).digest()

    def remember_file(self) -> None:
        """Note which file is open, so that a commit into one that was replaced fails."""
        self.inode = self.path.stat().st_ino

    def record_start(self) -> None:
        """Count this process's start; the first commit writes it."""
        self.starts_ms = [*self.starts_ms, self.clock()][-MAX_STARTS:]

    def commit(self, records: Mapping[RecordKey, PendingRecord], replace_all: bool) -> None:
        """Write records in one transaction, with the time of the commit.

        Args:
            records: those without a body are deleted.
            replace_all: delete all other records.

        Raises:
            UnsoundFileError: the file was replaced since it was opened.
            sqlite3.Error: nothing of it is certain to be on disk; the commit before stands.
            OSError: the file is gone.
        """
        assert self.connection is not None
        now_ms = self.clock()
        written = {key: record for key, record in records.items() if record.body is not None}
        meta = json.dumps({"gateway": self.gateway, "starts": self.starts_ms})
        written[META] = PendingRecord(now_ms, meta)
        deleted = [key for key, record in records.items() if record.body is None]
        if self.path.stat().st_ino != self.inode:
            raise UnsoundFileError("the file is another one")
        connection = self.connection
        connection.execute("BEGIN IMMEDIATE")
        if replace_all:
            connection.execute("DELETE FROM rows")
        connection.executemany(DELETE, deleted)
        rows = [(*key, *record, self._checksum(key, record)) for key, record in written.items()]
        connection.executemany(INSERT, rows)
        connection.execute("COMMIT")
