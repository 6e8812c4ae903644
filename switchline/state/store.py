"""What a gateway keeps on disk: one SQLite database, and the one thread that touches it."""

from __future__ import annotations

import asyncio
import fcntl
import hashlib
import json
import logging
import math
import os
import sqlite3
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

log = logging.getLogger(__name__)

SCHEMA = 1
FILE, LOCK, ASIDE = "state.db", "state.lock", "aside-%d.db"
PREVIOUS = "previous.db"  # the file before this one, until the first commit of this one
MOST_ASIDE = 3  # sets of files that were set aside; a further one replaces the oldest
LARGEST_FILE = 64 * 1024 * 1024  # bytes: some ten times what all rows at their bound take
LONGEST_ROW, MOST_ROWS = 16 * 1024, 16_384  # characters; of all kinds
LONGEST_VALUE = 256 * 1024  # bytes that SQLite may put together for one value, whatever a file says
LONGEST_NAME = 256  # bytes of a row's name, characters of a gateway's
APART_S = 0.02  # between two commits: they gather what comes meanwhile
BEAT_S = 0.5  # a commit comes at least so often, so that the time of an end is known
PATIENCE_S = 1.5  # for a commit: a slower disk is no use, and the module reckons with twice as long
LOCK_S, LOCK_TRY_S = 1.0, 0.02  # for the other process of an upgrade to let go of the files
MOST_STARTS = 9  # that are remembered
WAL = "-wal"
SUFFIXES = (WAL, "-shm", "-journal")
TABLE = "CREATE TABLE rows (kind TEXT, name TEXT, at REAL, body TEXT, sum BLOB, PRIMARY KEY (kind, name))"
PUT = "INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)"
META = "meta", "gateway"
HELD = "another process holds the folder"

Key = tuple[str, str]  # the kind of a row, and its name


class StateError(Exception):
    """The files can't be used."""


class Held(StateError):
    """Another process holds them."""


class Abandoned(StateError):
    """The event loop has given up on a disk that lags."""


class Row(NamedTuple):
    kind: str
    name: str
    at: float  # by the gateway's clock
    said: Any


class Found(NamedTuple):
    """What a file told of earlier lives; with no restarts, there was none that could be used."""

    rows: list[Row]
    alive: float
    restarts: tuple[float, ...]
    dropped: int


def fits(name: str, body: str | None) -> bool:
    """Whether a row may be kept: neither too long, nor of a name that is no text."""
    try:
        return len(name.encode()) <= LONGEST_NAME and len(body or "") <= LONGEST_ROW
    except UnicodeEncodeError:
        return False


def checksum(gateway: str, kind: str, name: str, at: float, body: str) -> bytes:
    whole = json.dumps([SCHEMA, gateway, kind, name, at, body]).encode()
    return hashlib.blake2b(whole, digest_size=16).digest()


class Files:
    """The database of one gateway in a folder, while its lock is held. All of it may wait for the disk."""

    def __init__(self, folder: Path, gateway: str, clock: Callable[[], float]) -> None:
        self.folder, self.gateway, self.clock = folder, gateway[:LONGEST_NAME], clock
        self.path = folder / FILE
        self.lock = -1
        self.database: sqlite3.Connection | None = None
        self.inode = 0
        self.starts: list[float] = []

    def hold(self, wait: float) -> None:
        """Take the lock of the folder; raises Held if another process has it."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        until = time.monotonic() + wait
        while True:
            try:
                return fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if time.monotonic() >= until:
                    raise Held(HELD) from None
                time.sleep(LOCK_TRY_S)

    def open(self, fresh: bool) -> Found:
        """Read what an earlier life has left, or begin with an empty file; nothing is written yet.

        `fresh`: this life's own file failed. Its last commit stands until the first one of the new file.
        """
        found = Found([], 0.0, (), 0)
        self.take_back_previous()
        if fresh and self.path.exists():
            self.set_back()
        if self.path.exists():
            try:
                found = self.read()
            except (sqlite3.Error, StateError, ValueError, TypeError, KeyError, RecursionError) as error:
                log.warning("the state on disk is set aside: %s", " ".join(str(error).split()))
                self.close_database()
                self.set_aside()
                found = Found([], 0.0, (), 0)
        if self.database is None:
            self.begin()
        self.inode = self.path.stat().st_ino
        return found

    def set_back(self) -> None:
        """Let a new file begin beside this one. A kill between any two steps is undone by the next start."""
        self.remove(PREVIOUS)
        if self.path.with_name(FILE + WAL).exists():
            self.path.with_name(FILE + WAL).rename(self.path.with_name(PREVIOUS + WAL))
        self.path.rename(self.path.with_name(PREVIOUS))
        self.sync_folder()

    def take_back_previous(self) -> None:
        """Undo `set_back`, unless the new file has a commit: then the previous one is of no use any more."""
        previous = self.path.with_name(PREVIOUS)
        if previous.exists():
            if self.is_committed():
                return self.remove(PREVIOUS)
            self.remove(FILE)
            previous.rename(self.path)
        if self.path.exists() and previous.with_name(PREVIOUS + WAL).exists():
            previous.with_name(PREVIOUS + WAL).rename(self.path.with_name(FILE + WAL))
            self.sync_folder()

    def is_committed(self) -> bool:
        """Whether the file holds a commit of a gateway."""
        if not self.path.exists():
            return False
        try:
            meta = self.connect().execute("SELECT at FROM rows WHERE kind=? AND name=?", META).fetchone()
            return meta is not None
        except sqlite3.Error:
            return False
        finally:
            self.close_database()

    def remove(self, name: str) -> None:
        """Take a database away, the file itself first: its log alone is not taken for one."""
        for suffix in ("", *SUFFIXES):
            self.path.with_name(name + suffix).unlink(missing_ok=True)

    def connect(self) -> sqlite3.Connection:
        made = sqlite3.connect(self.path, timeout=1.0, isolation_level=None, check_same_thread=False)
        self.database = made
        made.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, LONGEST_VALUE)
        made.execute("PRAGMA trusted_schema=OFF")
        return made

    def begin(self) -> None:
        self.remove(FILE)  # what is left of one that is gone
        made = self.connect()
        self.prepare(made)
        made.execute(f"PRAGMA user_version={SCHEMA}")
        made.execute(TABLE)
        self.sync_folder()

    def prepare(self, made: sqlite3.Connection) -> None:
        if made.execute("PRAGMA journal_mode=WAL").fetchone() != ("wal",):
            raise StateError("no write-ahead log")
        made.execute("PRAGMA synchronous=FULL")
        made.execute("PRAGMA journal_size_limit=4194304")

    def sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read(self) -> Found:
        """Check the whole file, and read the rows that are sound."""
        for path in (self.path, self.path.with_name(FILE + "-wal")):
            if path.exists() and path.stat().st_size > LARGEST_FILE:
                raise StateError("it is too large")
        made = self.connect()
        (version,) = made.execute("PRAGMA user_version").fetchone()
        if version != SCHEMA:
            raise StateError(f"its version is {version}, not {SCHEMA}")
        if (said := made.execute("PRAGMA quick_check(1)").fetchone()) != ("ok",):
            raise StateError(f"the check says {said}")
        meta = made.execute("SELECT at, body, sum FROM rows WHERE kind=? AND name=?", META).fetchone()
        if meta is None or len(meta[1]) > LONGEST_ROW:
            raise StateError("it does not say whose it is")
        given = json.loads(meta[1])
        if given["gateway"] != self.gateway:
            raise StateError(f"it is of the gateway {given['gateway']!r}")
        if checksum(self.gateway, *META, meta[0], meta[1]) != meta[2]:
            raise StateError("it does not say surely whose it is")
        self.starts = [float(at) for at in given["starts"]][-MOST_STARTS + 1 :]
        rows, dropped = self.read_rows(made)
        self.prepare(made)
        restarts = (*self.starts[1:], self.clock())
        return Found(rows, float(meta[0]), restarts, dropped)

    def read_rows(self, made: sqlite3.Connection) -> tuple[list[Row], int]:
        rows, dropped = list[Row](), 0
        asked = "SELECT kind, name, at, body, sum FROM rows WHERE kind != 'meta' LIMIT ?"
        for kind, name, at, body, sum_ in made.execute(asked, (MOST_ROWS,)):
            try:
                if len(body) > LONGEST_ROW or not math.isfinite(at):
                    raise ValueError("too long")
                if checksum(self.gateway, kind, name, at, body) != sum_:
                    raise ValueError("checksum")
                rows.append(Row(kind, name, at, json.loads(body)))
            except (ValueError, TypeError, RecursionError):
                dropped += 1
        return rows, dropped

    def start(self) -> None:
        """Count one more life, with the first commit."""
        self.starts = [*self.starts, self.clock()][-MOST_STARTS:]

    def commit(self, rows: dict[Key, tuple[float, str | None]], whole: bool) -> None:
        """Write rows, those without a body away; `whole`: nothing else is of this life."""
        assert self.database is not None
        now = self.clock()
        meta = json.dumps({"gateway": self.gateway, "starts": self.starts})
        written = [(k, n, at, body) for (k, n), (at, body) in rows.items() if body is not None]
        written.append((*META, now, meta))
        gone = [key for key, (_, body) in rows.items() if body is None]
        if self.path.stat().st_ino != self.inode:
            raise StateError("the file is another one")
        run = self.database
        run.execute("BEGIN IMMEDIATE")
        if whole:
            run.execute("DELETE FROM rows")
        run.executemany("DELETE FROM rows WHERE kind=? AND name=?", gone)
        run.executemany(PUT, [(*row, checksum(self.gateway, *row)) for row in written])
        run.execute("COMMIT")
        if whole:
            self.remove(PREVIOUS)

    def close_database(self) -> None:
        if self.database is not None:
            made, self.database = self.database, None
            try:
                made.close()
            except sqlite3.Error as error:
                log.info("the state on disk could not be closed: %s", error)

    def set_aside(self) -> None:
        """Put the files where nobody takes them for good ones; a bounded number is kept to look at."""
        places = [self.folder / (ASIDE % number) for number in range(1, MOST_ASIDE + 1)]
        free = [place for place in places if not place.exists()]
        place = free[0] if free else min(places, key=lambda place: place.stat().st_mtime)
        self.path.rename(place)  # the log alone is not taken for a file
        os.utime(place)
        for suffix in SUFFIXES:
            try:
                self.path.with_name(FILE + suffix).rename(place.with_name(place.name + suffix))
            except FileNotFoundError:
                place.with_name(place.name + suffix).unlink(missing_ok=True)
        self.sync_folder()

    def close(self) -> None:
        self.close_database()
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1


class Store:
    """Owns the files and the thread; tells the event loop what was found, what is committed, and of faults.

    `put` keeps the last row of each name until a commit has taken it, so what waits is bounded by the state.
    """

    def __init__(
        self,
        folder: Path,
        gateway: str,
        clock: Callable[[], float],
        kept: Callable[[int], None],
        failed: Callable[[str], None],
        fresh: bool = False,
        wait: float = 0.0,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.files = Files(folder, gateway, clock)
        self.clock, self.kept, self.failed, self.fresh, self.wait = clock, kept, failed, fresh, wait
        self.found: asyncio.Future[Found] = self.loop.create_future()
        self.changed = threading.Condition()
        # Under the condition: what waits for the next commit, the number of the last row put, and since when
        # the oldest row waits, and the oldest of the batch that is being committed.
        self.pending: dict[Key, tuple[float, str | None]] = {}
        self.last, self.begun, self.closing, self.abandoned = 0, False, False, False
        self.pending_at = self.batch_at = math.inf
        self.over = False  # closed or failed: nothing more is told
        self.numbers: dict[int, int] = {}  # the module's number of a row, by the store's
        self.waiting: dict[int, asyncio.Future[bool]] = {}  # those who wait for a row's commit
        self.committed_at, self.commits = time.monotonic(), 0
        self.watching = self.loop.call_later(BEAT_S, self._watch)
        self.thread = threading.Thread(target=self._work, name="state", daemon=True)
        try:
            self.thread.start()
        except RuntimeError as error:  # the system gives no thread
            self.loop.call_soon(self.abandon, str(error))

    # ---- in the event loop ----

    def put(self, kind: str, name: str, said: Any, number: int = 0) -> int:
        """Have a row written, or taken away if nothing is said; gives the store's number of it."""
        if self.over:
            return 0
        body = None if said is None else json.dumps(said, separators=(",", ":"), allow_nan=False)
        with self.changed:
            self.last += 1
            if fits(name, body):
                self.pending[kind, name] = self.clock(), body
                self.pending_at = min(self.pending_at, time.monotonic())
            else:
                log.warning("a row of the state can't be kept: %.80r", name)
            if self.begun:
                self.changed.notify()
        if number:
            self.numbers[self.last] = number
        if len(self.pending) > MOST_ROWS:
            self.abandon("too much waits for it")
        return self.last

    def begin(self) -> None:
        """All rows of this life's start are put: the first commit may come, and replaces what was there."""
        with self.changed:
            self.begun, self.pending_at = True, time.monotonic()
            self.changed.notify()

    async def committed(self, serial: int) -> bool:
        """Whether a row is on disk; returns once that is known."""
        if self.over:
            return False
        return await self.waiting.setdefault(serial, self.loop.create_future())

    def _watch(self) -> None:
        with self.changed:
            oldest = min(self.pending_at, self.batch_at) if self.begun else math.inf
        if time.monotonic() - oldest > PATIENCE_S:
            return self.abandon("the disk lags")
        self.watching = self.loop.call_later(BEAT_S / 5, self._watch)

    def _on_commit(self, serial: int) -> None:
        if self.over:
            return
        self.commits, self.committed_at = self.commits + 1, time.monotonic()
        numbers = [self.numbers.pop(n) for n in list(self.numbers) if n <= serial]
        for n in [n for n in self.waiting if n <= serial]:
            self._answer(self.waiting.pop(n), True)
        if numbers:
            self.kept(max(numbers))

    def _answer(self, future: asyncio.Future[bool], yes: bool) -> None:
        if not future.done():
            future.set_result(yes)

    def abandon(self, reason: str) -> None:
        """Give up on it: from now on more may be let in than the files know."""
        if self.over:
            return
        self.abandoned = True
        self._end()
        log.warning("the state on disk is off: %s", reason)
        self.failed(reason)

    def _end(self) -> None:
        self.over = True
        self.watching.cancel()
        with self.changed:
            self.closing = True
            self.changed.notify()
        for future in self.waiting.values():
            self._answer(future, False)
        self.waiting.clear()
        self.numbers.clear()
        if not self.found.done():
            self.found.cancel()

    def close(self) -> None:
        """Have the thread commit what waits and let go of the files."""
        if not self.over:
            self._end()

    def join(self) -> None:
        """Wait for the thread, as long as a commit may take."""
        if self.thread.ident is not None:
            self.thread.join(PATIENCE_S)

    # ---- in the thread ----

    def _tell(self, what: Callable[..., None], *given: Any) -> None:
        try:
            self.loop.call_soon_threadsafe(what, *given)
        except RuntimeError:
            pass  # the event loop has ended

    def _on_found(self, found: Found) -> None:
        if not self.found.done():
            self.found.set_result(found)

    def _work(self) -> None:
        try:
            self.files.hold(self.wait)
            self._tell(self._on_found, self.files.open(self.fresh))
            self.files.start()
            self._write()
        except (sqlite3.Error, OSError, StateError, ValueError) as error:
            self._give_up(error)
        finally:
            self.files.close()

    def _write(self) -> None:
        """Commit batches until the end, each whole; what waits at a close is the last one."""
        whole = True
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.closing or (self.begun and self.pending), BEAT_S)
                if self.abandoned:
                    raise Abandoned("abandoned")
                if self.closing and not (self.begun and self.pending):
                    return
                if not self.begun:
                    continue
                rows, self.pending, serial = self.pending, {}, self.last
                self.batch_at, self.pending_at = self.pending_at, math.inf
            self.files.commit(rows, whole)
            whole = False
            with self.changed:
                self.batch_at = math.inf
            self._tell(self._on_commit, serial)
            time.sleep(APART_S)

    def _give_up(self, error: Exception) -> None:
        """A file whose write failed is not written again, whatever a second try would say.

        Its last commit stands: a next start takes it up, unless this life has begun a new file by then. A
        file that is not sound, or not this gateway's, is set aside.
        """
        failed_write = isinstance(error, sqlite3.OperationalError | OSError | Abandoned)
        if self.files.lock >= 0 and not failed_write and not isinstance(error, Held):
            try:
                self.files.set_aside()
            except OSError as other:
                log.info("the state on disk could not be set aside: %s", other)
        self._tell(self.abandon, " ".join(str(error).split()))
