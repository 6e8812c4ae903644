"""The writer of the state: the thread that alone touches the disk, and the records that wait for it.

A commit follows the one before after 20 ms, so that it takes what was saved meanwhile, and comes at least
every 0.5 s even if nothing changed: its time tells the next process when this one was last alive.
"""

from __future__ import annotations

import logging
import math
import sqlite3
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from switchline.state.errors import AbandonedError, FolderLockedError, StateError, WriteError
from switchline.state.records import PendingRecord, RecordKey, SavedState
from switchline.state.storage import StateStorage

log = logging.getLogger(__name__)

COMMIT_PAUSE_S = 0.02  # between commits
HEARTBEAT_S = 0.5  # the longest time between commits


@dataclass(slots=True)
class Batch:
    """Records for one commit.

    Attributes:
        records: the last one of each key.
        serial: of the last record saved before the commit.
    """

    records: dict[RecordKey, PendingRecord] = field(default_factory=dict)
    serial: int = 0


class PendingRecords:
    """Owns the records that wait for a commit; used by the event loop and by the writer's thread.

    Only the last record of each key waits, so its size is bounded by that of the state.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._batch = Batch()
        self._started = False  # commits may begin
        self._closed = False
        self._abandoned = False
        self._oldest_waiting_s = math.inf  # by the monotonic clock
        self._oldest_in_commit_s = math.inf

    def __len__(self) -> int:
        return len(self._batch.records)

    def put(self, key: RecordKey, record: PendingRecord | None) -> int:
        """Add a record, None for one that can't be stored; return its serial number."""
        with self._changed:
            self._batch.serial += 1
            if record is not None:
                self._batch.records[key] = record
                self._oldest_waiting_s = min(self._oldest_waiting_s, time.monotonic())
            if self._started:
                self._changed.notify()
            return self._batch.serial

    def start(self) -> None:
        """Let commits begin: all records of this process's start have been added."""
        with self._changed:
            self._started = True
            self._oldest_waiting_s = time.monotonic()
            self._changed.notify()

    def close(self, abandon: bool) -> None:
        """Have the writer end: after a last commit, or at once if it is abandoned."""
        with self._changed:
            self._closed = True
            self._abandoned = abandon
            self._changed.notify()

    def oldest_s(self) -> float:
        """Return since when (monotonic) the oldest record waits or is being written; infinity for none."""
        with self._changed:
            return min(self._oldest_waiting_s, self._oldest_in_commit_s) if self._started else math.inf

    def take_batch(self) -> Batch | None:
        """Wait for records, at most `HEARTBEAT_S` once started; None if closed and nothing is left.

        Raises:
            AbandonedError: the event loop has given up.
        """
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._closed or self._has_work(), HEARTBEAT_S)
                if self._abandoned:
                    raise AbandonedError("abandoned")
                if self._closed and not self._has_work():
                    return None
                if self._started:
                    return self._take()

    def _has_work(self) -> bool:
        return self._started and bool(self._batch.records)

    def _take(self) -> Batch:
        batch = self._batch
        self._batch = Batch(serial=batch.serial)
        self._oldest_in_commit_s = self._oldest_waiting_s
        self._oldest_waiting_s = math.inf
        return batch

    def on_committed(self) -> None:
        """Note that the batch taken last is on disk."""
        with self._changed:
            self._oldest_in_commit_s = math.inf


@dataclass(frozen=True, slots=True)
class WriterEvents:
    """What the writer calls, in its own thread.

    Attributes:
        loaded: what an earlier process left has been read.
        committed: all records up to this serial number are on disk.
        failed: the writer has ended.
    """

    loaded: Callable[[SavedState], None]
    committed: Callable[[int], None]
    failed: Callable[[StateError], None]


@dataclass(frozen=True, slots=True)
class OpenOptions:
    """How a folder is opened.

    Attributes:
        fresh: this process's own database failed: begin a new one beside it.
        lock_wait_s: how long to wait for another process to release the folder.
    """

    fresh: bool = False
    lock_wait_s: float = 0.0


class WriterThread:
    """Owns the thread: opens the storage, commits batches until the end, and closes it.

    Args:
        storage: used by the thread alone.
        pending: where it takes batches from.
        options: how the folder is opened.
        events: what is called on the way.
    """

    def __init__(
        self, storage: StateStorage, pending: PendingRecords, options: OpenOptions, events: WriterEvents
    ) -> None:
        self.storage = storage
        self.pending = pending
        self.options = options
        self.events = events
        self.thread = threading.Thread(target=self._run, name="state", daemon=True)

    def start(self) -> None:
        """Start the thread; raises RuntimeError if the system gives none."""
        self.thread.start()

    def join(self, timeout_s: float) -> None:
        """Wait for the thread's end."""
        if self.thread.ident is not None:
            self.thread.join(timeout_s)

    def _run(self) -> None:
        try:
            self.storage.lock(self.options.lock_wait_s)
            self.events.loaded(self.storage.open(self.options.fresh))
            self.storage.record_start()
            self._commit_batches()
        except (sqlite3.Error, OSError, StateError, ValueError) as error:
            self._fail(error)
        finally:
            self.storage.close()

    def _commit_batches(self) -> None:
        replace_all = True  # the first commit has all records of this process's start
        while (batch := self.pending.take_batch()) is not None:
            self.storage.commit(batch.records, replace_all)
            replace_all = False
            self.pending.on_committed()
            self.events.committed(batch.serial)
            time.sleep(COMMIT_PAUSE_S)

    def _fail(self, error: Exception) -> None:
        """End after an error: a file that is not sound, or not this gateway's, is set aside.

        One whose write failed is not written again, whatever a second attempt would say: its last commit
        stands, and a next start reads it, unless this process has begun a new file by then.
        """
        failure = as_state_error(error)
        file_stands = isinstance(failure, WriteError | AbandonedError | FolderLockedError)
        if self.storage.folder.is_locked and not file_stands:
            try:
                self.storage.set_aside()
            except OSError as set_aside_error:
                log.info("the state on disk could not be set aside: %s", set_aside_error)
        self.events.failed(failure)


def as_state_error(error: Exception) -> StateError:
    """Return an error of the system or of SQLite as one of the project's, its text in one line."""
    if isinstance(error, StateError):
        return error
    text = " ".join(str(error).split())
    if isinstance(error, sqlite3.OperationalError | OSError):
        return WriteError(text)
    return StateError(text)
