"""The thread that writes the audit. It never delays requests: records that can't be written are dropped.

Records wait in a queue, and are written and synced twice a second. While the folder can't be used, the newest
`MAX_WAITING_RECORDS` records wait; once it can be used, a `gap` record has the number of lost records and the
cause.
"""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

from switchline.audit.chain import FIRST_DIGEST, Head, Record
from switchline.audit.segments import AuditError, Segments

log = logging.getLogger(__name__)

SYNC_INTERVAL_S = 0.5  # a power loss loses the records of at most this time
RETRY_INTERVAL_S = 2.0  # time between attempts to open an unusable folder
CLOSE_TIMEOUT_S = 1.0  # limits writing the last records at the end of the process
MAX_WAITING_RECORDS = 4_096  # applies to the queue and separately to the thread's list


class AuditWriter:
    """Owns the thread, which is the only one that accesses the folder.

    Args:
        folder: the folder of the audit.
        name: the name of the gateway.
        gap_record: called in the thread with the cause and number of lost records; returns a `gap` record.
        on_progress: called in the thread after each sync or fault, with the last record on disk and whether
            the folder can be written.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        gap_record: Callable[[str, int], Record],
        on_progress: Callable[[Head, bool], None],
    ) -> None:
        self.folder = folder
        self.name = name
        self.gap_record = gap_record
        self.on_progress = on_progress
        self.queue: queue.SimpleQueue[Record | None] = queue.SimpleQueue()  # None ends the thread
        # Lost records without a gap record yet; only the thread writes this.
        self.lost = 0
        # Records lost since the start because the queue was full; only the event loop writes this.
        self.overflowed = 0
        self.faults = 0
        self._overflowed_recorded = 0  # the number of `overflowed` records that gap records include
        self._cause = ""
        self._segments: Segments | None = None
        self._retry_at_s = 0.0
        self._pending: list[Record] = []
        self._unsynced = False
        self.thread = threading.Thread(target=self._run, name="audit", daemon=True)
        try:
            self.thread.start()
        except RuntimeError as error:  # the system can't start a thread: records stay in memory only
            log.warning("the audit can't be written: %s", error)

    def add(self, record: Record) -> None:
        """Queue a record to be written; called in the event loop, and never waits."""
        if self.queue.qsize() >= MAX_WAITING_RECORDS:
            self.overflowed += 1
        else:
            self.queue.put(record)

    def close(self) -> None:
        """Write the waiting records, for at most `CLOSE_TIMEOUT_S`, and end the thread."""
        self.queue.put(None)
        if self.thread.ident is not None:
            self.thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        ended = False
        while not ended:
            if self._segments is None and time.monotonic() >= self._retry_at_s:
                self._segments = self._open()
                self._retry_at_s = time.monotonic() + RETRY_INTERVAL_S
            ended = self._gather()
            if self._segments is not None:
                self._write_pending(self._segments)
            else:
                self._drop_oldest(len(self._pending) - (0 if ended else MAX_WAITING_RECORDS))
        if self._segments is not None:
            self._segments.close()

    def _open(self) -> Segments | None:
        try:
            segments = Segments(self.folder, self.name)
        except (OSError, AuditError) as error:
            self._on_fault(str(error))
            return None
        if segments.bytes_cut:
            self._cause = self._cause or f"the end was torn: {segments.bytes_cut} bytes are cut"
            self.lost += 1
        self.on_progress(segments.head, True)
        return segments

    def _gather(self) -> bool:
        """Take records from the queue until the next sync is due; return whether the thread is to end."""
        deadline = time.monotonic() + SYNC_INTERVAL_S
        while (remaining := deadline - time.monotonic()) > 0:
            try:
                record = self.queue.get(timeout=remaining)
            except queue.Empty:
                break
            if record is None:
                return True
            self._pending.append(record)
        return False

    def _write_pending(self, segments: Segments) -> None:
        """Write and sync the records gathered; after a fault the folder is closed until the next retry."""
        try:
            self._write_gap(segments)
            while self._pending:
                segments.add(self._pending[0])
                del self._pending[0]
                self._unsynced = True
            if self._unsynced:
                segments.sync()
                self.on_progress(segments.head, True)
            self._unsynced = False
        except OSError as error:
            self._on_fault(str(error))
            segments.close()
            self._segments = None

    def _write_gap(self, segments: Segments) -> None:
        overflowed = self.overflowed
        lost = self.lost + overflowed - self._overflowed_recorded
        self._overflowed_recorded = overflowed
        if lost:
            segments.add(self.gap_record(self._cause or "too many waited", lost))
            self.lost = 0
            self._cause = ""

    def _drop_oldest(self, number: int) -> None:
        if number > 0:
            self.lost += number
            del self._pending[:number]

    def _on_fault(self, cause: str) -> None:
        if cause != self._cause:
            log.warning("the audit can't be written: %s", cause)
        self.faults += 1
        self._cause = cause
        self.on_progress(Head(0, FIRST_DIGEST), False)
