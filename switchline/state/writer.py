"""The writer of the state: the only thread that accesses the disk, and the queue of records for it.

The writer waits 20 ms after each commit, so that the next one includes all records saved in that time. It
commits at least every 0.5 s even without changes, because the next process takes the time of the last commit
as the time at which this process was last alive.
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

COMMIT_PAUSE_S = 0.02  # time from the end of a commit to the next one
HEARTBEAT_S = 0.5  # the longest time without a commit


@dataclass(slots=True)
class Batch:
    """Records for one commit.

    Attributes:
        records: the last record of each key.
        serial: the serial number of the last record saved before the commit.
    """

    records: dict[RecordKey, PendingRecord] = field(default_factory=dict)
    serial: int = 0


class PendingRecords:
    """Owns the queue of records for the next commit; used by the event loop and by the writer's thread.

    Only the last record of each key is queued, so its size is bounded by that of the state.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._batch = Batch()
        self._started = False  # whether commits are allowed
        self._closed = False
        self._abandoned = False
        self._oldest_waiting_at_s = math.inf  # monotonic time; infinity for none
        self._oldest_in_commit_at_s = math.inf

    def __len__(self) -> int:
        return len(self._batch.records)

    def put(self, key: RecordKey, record: PendingRecord | None) -> int:
        """Queue a record and return its serial number; None, for an invalid record, is not queued."""
        with self._changed:
            self._batch.serial += 1
            if record is not None:
                self._batch.records[key] = record
                self._oldest_waiting_at_s = min(self._oldest_waiting_at_s, time.monotonic())
            if self._started:
                self._changed.notify()
            return self._batch.serial

    def start(self) -> None:
        """Allow commits, after all records of this process's start were queued."""
        with self._changed:
            self._started = True
            self._oldest_waiting_at_s = time.monotonic()
            self._changed.notify()

    def close(self, abandon: bool) -> None:
        """End the writer: at once if `abandon` is true, otherwise after a last commit."""
        with self._changed:
            self._closed = True
            self._abandoned = abandon
            self._changed.notify()

    def oldest_at_s(self) -> float:
        """Return the monotonic time in seconds at which the oldest uncommitted record was queued.

        Infinity if there is none, or commits are not allowed yet.
        """
        with self._changed:
            return min(self._oldest_waiting_at_s, self._oldest_in_commit_at_s) if self._started else math.inf

    def take_batch(self) -> Batch | None:
        """Wait for records, at most `HEARTBEAT_S` once commits are allowed; None if closed and empty.

        Raises:
            AbandonedError: the event loop has abandoned the writer.
        """
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._closed or self._has_work(), HEARTBEAT_S)
                if self._abandoned:
                    raise AbandonedError("the event loop has abandoned the writer")
                if self._closed and not self._has_work():
                    return None
                if self._started:
                    return self._take()

    def _has_work(self) -> bool:
        return self._started and bool(self._batch.records)

    def _take(self) -> Batch:
        batch = self._batch
        self._batch = Batch(serial=batch.serial)
        self._oldest_in_commit_at_s = self._oldest_waiting_at_s
        self._oldest_waiting_at_s = math.inf
        return batch

    def on_committed(self) -> None:
        """Record that the last batch taken is on disk."""
        with self._changed:
            self._oldest_in_commit_at_s = math.inf


@dataclass(frozen=True, slots=True)
class WriterEvents:
    """Callbacks of the writer, called in its own thread.

    Attributes:
        loaded: called with the state of earlier processes, once it has been read.
        committed: called with a serial number: all records up to it are on disk.
        failed: called with the error that ended the writer.
    """

    loaded: Callable[[SavedState], None]
    committed: Callable[[int], None]
    failed: Callable[[StateError], None]


@dataclass(frozen=True, slots=True)
class OpenOptions:
    """How a folder is opened.

    Attributes:
        fresh: create a new database beside that of this process, which failed.
        lock_wait_s: how many seconds to wait for another process to release the folder.
    """

    fresh: bool = False
    lock_wait_s: float = 0.0


class WriterThread:
    """Owns the thread that opens the storage, commits batches until the end, and closes the storage.

    Args:
        storage: used only by this thread.
        pending: the queue that it takes batches from.
        options: how the folder is opened.
        events: the callbacks for loading, commits and a failure.
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
        """Start the thread.

        Raises:
            RuntimeError: the system can't start a thread.
        """
        self.thread.start()

    def join(self, timeout_s: float) -> None:
        """Wait for the end of the thread, at most `timeout_s` seconds."""
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
        replace_all = True  # the first commit contains the whole state
        while (batch := self.pending.take_batch()) is not None:
            self.storage.commit(batch.records, replace_all)
            replace_all = False
            self.pending.on_committed()
            self.events.committed(batch.serial)
            time.sleep(COMMIT_PAUSE_S)

    def _fail(self, error: Exception) -> None:
        """Report an error that ends the writer; set aside a file that is damaged or of another gateway.

        A file whose write failed is not set aside, and not written again even if a second attempt would
        succeed: its last commit stays valid, and the next start reads it unless this process has created a
        new file by then.
        """
        failure = as_state_error(error)
        is_file_sound = isinstance(failure, WriteError | AbandonedError | FolderLockedError)
        if self.storage.folder.is_locked and not is_file_sound:
            try:
                self.storage.set_aside()
            except OSError as set_aside_error:
                log.info("the state on disk could not be set aside: %s", set_aside_error)
        self.events.failed(failure)


def as_state_error(error: Exception) -> StateError:
    """Return an error of the system or of SQLite as a `StateError` with its text in one line."""
    if isinstance(error, StateError):
        return error
    text = " ".join(str(error).split())
    if isinstance(error, sqlite3.OperationalError | OSError):
        return WriteError(text)
    return StateError(text)
