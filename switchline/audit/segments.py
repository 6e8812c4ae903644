"""The audit's files: segments of records in a folder of the gateway's own, and the thread that writes them.

Nothing here ever holds service up: what can't be written is counted, and told by a record once it can be.
"""

from __future__ import annotations

import fcntl
import logging
import os
import queue
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from switchline.fleet.chain import FIRST, LONGEST_LINE, Head, Record, read, write

log = logging.getLogger(__name__)

LOCK, NAME, GLOB = "audit.lock", "audit-{:08d}.log", "audit-*.log"
SEGMENT_BYTES, MOST_SEGMENTS = 1024 * 1024, 16
SYNC_S = 0.5  # what a power loss may take
MOST_WAITING = 4_096  # records that wait for a slow disk
RETRY_S = 2.0  # between two tries of a folder that can't be used
END_S = 1.0  # for the last records at the end of a process


class AuditError(Exception):
    """The folder can't be used."""


def paths(folder: Path) -> list[Path]:
    """The segments in their order."""
    return sorted(folder.glob(GLOB))


def raw_lines(path: Path) -> Iterator[bytes]:
    """The lines of a segment; one without end is cut at a bound."""
    with path.open("rb") as file:
        while line := file.readline(LONGEST_LINE + 1):
            yield line


def lines(path: Path) -> Iterator[str]:
    """The same as text; what is none shows as such."""
    return (line.decode(errors="replace") for line in raw_lines(path))


class Segments:
    """Owns the files while it holds the folder's lock; all of it may wait for the disk."""

    def __init__(self, folder: Path, name: str) -> None:
        """Raises AuditError and OSError."""
        self.folder, self.head, self.cut = folder, Head(0, FIRST), 0
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.file = -1
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.number = self._take_up(name)
            self._open()
        except OSError as error:
            self.close()
            if isinstance(error, BlockingIOError):
                raise AuditError("another process holds the folder") from error
            raise
        except AuditError:
            self.close()
            raise

    def _take_up(self, name: str) -> int:
        """Find the last record, and cut what a power loss tore off after it; the last segment's number."""
        found = paths(self.folder)
        for path in reversed(found):
            good, size = 0, 0
            for raw in raw_lines(path):
                size += len(raw)  # bytes: spoilt ones would be longer as text
                line = raw.decode(errors="replace")
                if line.endswith("\n") and (record := read(line)) is not None:
                    if record[0].name != name:
                        raise AuditError(f"the folder holds the audit of {record[0].name!r}")
                    good, self.head = size, Head(record[0].n, record[2])
            if good:
                whole = path.stat().st_size
                if path is found[-1] and whole > good:
                    os.truncate(path, good)
                    self.cut = whole - good
                break
        try:
            return int(found[-1].stem.partition("-")[2]) if found else 1
        except ValueError as error:
            raise AuditError(f"not a segment: {found[-1].name}") from error

    def _open(self) -> None:
        path = self.folder / NAME.format(self.number)
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.size = os.fstat(self.file).st_size

    def add(self, record: Record) -> None:
        """Write one record; raises OSError."""
        if self.size >= SEGMENT_BYTES:
            os.fsync(self.file)
            os.close(self.file)
            self.file, self.number = -1, self.number + 1
            self._open()
            for old in paths(self.folder)[:-MOST_SEGMENTS]:
                old.unlink()
        line, sum_ = write(msgspec.structs.replace(record, n=self.head.n + 1), self.head.sum)
        data = line.encode()
        if os.write(self.file, data) != len(data):
            os.ftruncate(self.file, self.size)
            raise OSError("not written whole")
        self.size += len(data)
        self.head = Head(self.head.n + 1, sum_)

    def sync(self) -> None:
        os.fsync(self.file)

    def close(self) -> None:
        for file in (self.file, self.lock):
            if file >= 0:
                os.close(file)
        self.file = self.lock = -1


class Writer:
    """The thread that alone touches the folder. `told(head, on)` is called in it after each sync or fault."""

    def __init__(
        self, folder: Path, name: str, gap: Callable[[str, int], Record], told: Callable[[Head, bool], None]
    ) -> None:
        """`gap` makes a record of how many were lost, and why."""
        self.folder, self.name, self.gap, self.told = folder, name, gap, told
        self.queue: queue.SimpleQueue[Record | None] = queue.SimpleQueue()
        self.lost = self.faults = 0
        self.over = 0  # lost as too many waited; counted by the event loop alone
        self.why = ""
        self.thread = threading.Thread(target=self._run, name="audit", daemon=True)
        try:
            self.thread.start()
        except RuntimeError as error:  # the system gives no thread: records are kept in memory alone
            log.warning("the audit can't be written: %s", error)

    def add(self, record: Record) -> None:
        if self.queue.qsize() >= MOST_WAITING:
            self.over += 1
        else:
            self.queue.put(record)

    def close(self) -> None:
        """What waits is written, as far as the disk lets it in time."""
        self.queue.put(None)
        if self.thread.ident is not None:
            self.thread.join(END_S)

    def _run(self) -> None:
        segments: Segments | None = None
        over, ended, retry_at, dirty = 0, False, 0.0, False
        pending: list[Record] = []
        while not ended:
            if segments is None and time.monotonic() >= retry_at:
                segments, retry_at = self._open(), time.monotonic() + RETRY_S
            ended = self._gather(pending)
            if segments is None:
                self._drop(pending, len(pending) - MOST_WAITING)
                if ended:
                    self._drop(pending, len(pending))
                continue
            try:
                lost, over = self.lost + self.over - over, self.over
                if lost:
                    segments.add(self.gap(self.why or "too many waited", lost))
                    self.lost, self.why = 0, ""
                while pending:
                    segments.add(pending[0])
                    del pending[0]
                    dirty = True
                if dirty:
                    segments.sync()
                    self.told(segments.head, True)
                dirty = False
            except OSError as error:
                self._fault(str(error))
                segments.close()
                segments = None
        if segments is not None:
            segments.close()

    def _gather(self, pending: list[Record]) -> bool:
        """Take what comes until the next sync is due; whether that is all."""
        ends = time.monotonic() + SYNC_S
        while (left := ends - time.monotonic()) > 0:
            try:
                record = self.queue.get(timeout=left)
            except queue.Empty:
                break
            if record is None:
                return True
            pending.append(record)
        return False

    def _drop(self, pending: list[Record], number: int) -> None:
        if number > 0:
            self.lost += number
            del pending[:number]

    def _open(self) -> Segments | None:
        try:
            segments = Segments(self.folder, self.name)
        except (OSError, AuditError) as error:
            self._fault(str(error))
            return None
        if segments.cut:
            self.why = self.why or f"the end was torn: {segments.cut} bytes are cut"
            self.lost += 1
        self.told(segments.head, True)
        return segments

    def _fault(self, why: str) -> None:
        if why != self.why:
            log.warning("the audit can't be written: %s", why)
        self.faults, self.why = self.faults + 1, why
        self.told(Head(0, FIRST), False)
