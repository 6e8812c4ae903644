"""The thread that writes the audit. It never delays service: what can't be written is counted and lost.

Records wait in a queue and are written and synced twice a second. While the folder can't be used, the newest
`MAX_WAITING` records wait; once it can be, a `gap` record tells how many were lost and why.
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

SYNC_INTERVAL_S = 0.5  # what a power loss may take
RETRY_INTERVAL_S = 2.0  # of a folder that can't be used
CLOSE_TIMEOUT_S = 1.0  # for the last records at the end of the process
MAX_WAITING = 4_096  # records, in the queue and again in the thread


class AuditWriter:
    """Owns the thread, which alone touches the folder.

    Args:
        folder: of the audit.
        name: of the gateway.
        gap_record: called in the thread: makes the record that stands for so many lost ones, with the cause.
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
        self.queue: queue.SimpleQueue[Record | None] = queue.SimpleQueue()  # None: the process ends
        self.lost = 0  # not yet told by a gap record; written by the thread alone
        self.overflowed = 0  # lost as the queue was full, since the start; written by the event loop alone
        self.faults = 0
        self._overflowed_before = 0  # of `overflowed`, what gap records have told
        self._cause = ""
        self._segments: Segments | None = None
        self._retry_at_s = 0.0
        self._pending: list[Record] = []
        self._unsynced = False
        self.thread = threading.Thread(target=self._run, name="audit", daemon=True)
        try:
            self.thread.start()
        except RuntimeError as error:  # the system gives no thread: records are kept in memory alone
            log.warning("the audit can't be written: %s", error)

    def add(self, record: Record) -> None:
        """Have a record written; called in the event loop, and never waits."""
        if self.queue.qsize() >= MAX_WAITING:
            self.overflowed += 1
        else:
            self.queue.put(record)

    def close(self) -> None:
        """Write what waits, as far as the disk allows in `CLOSE_TIMEOUT_S`, and end the thread."""
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
                self._drop_oldest(len(self._pending) - (0 if ended else MAX_WAITING))
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
        """Take records until the next sync is due; return whether the last one has come."""
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
        """Write and sync what was gathered; after a fault the folder is closed until the next retry."""
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
        lost = self.lost + overflowed - self._overflowed_before
        self._overflowed_before = overflowed
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
