"""The audit's files: segments of records in a folder that belongs to one gateway.

A power loss takes at most the records since the last `sync`; a record that it tore is cut off at the next
start.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from pathlib import Path

import msgspec

from switchline.audit.chain import FIRST_DIGEST, MAX_LINE_CHARS, Head, Record, decode_line, encode_line

LOCK_FILE = "audit.lock"
SEGMENT_FILE = "audit-{:08d}.log"
SEGMENT_GLOB = "audit-*.log"
MAX_SEGMENT_BYTES = 1024 * 1024
MAX_SEGMENTS = 16  # a further one replaces the oldest
FIRST_SEGMENT = 1
CLOSED = -1  # in place of a descriptor


class AuditError(Exception):
    """The audit's folder can't be used: it is locked, of another gateway, or holds other files."""


def segment_paths(folder: Path) -> list[Path]:
    """Return the segments of a folder, the oldest first."""
    return sorted(folder.glob(SEGMENT_GLOB))


def raw_lines(path: Path) -> Iterator[bytes]:
    """Yield the lines of a segment with their ends; an endless one is cut into pieces."""
    with path.open("rb") as file:
        while line := file.readline(MAX_LINE_CHARS + 1):
            yield line


def text_lines(path: Path) -> Iterator[str]:
    """Yield the lines of a segment as text; bytes that are none are replaced, and fail the chain's check."""
    return (line.decode(errors="replace") for line in raw_lines(path))


class Segments:
    """Owns the folder, under its lock, and the open segment. All methods may wait for the disk.

    Args:
        folder: is created if it is missing.
        name: of the gateway.

    Raises:
        AuditError: another process has the lock, or the folder is not this gateway's.
        OSError: the folder can't be read or written.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.head = Head(0, FIRST_DIGEST)
        self.bytes_cut = 0  # of a torn record at the end
        folder.mkdir(parents=True, exist_ok=True)
        self.lock_fd = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.segment_fd = CLOSED
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.number = self._recover(name)
            self._open_segment()
        except BlockingIOError as error:
            self.close()
            raise AuditError("another process holds the folder") from error
        except (OSError, AuditError):
            self.close()
            raise

    def _recover(self, name: str) -> int:
        """Find the last record, and cut off what a power loss tore; return the number of the last segment."""
        paths = segment_paths(self.folder)
        for path in reversed(paths):
            sound_bytes = self._scan(path, name)
            if sound_bytes:
                if path is paths[-1]:
                    self._cut(path, sound_bytes)
                break
        try:
            return int(paths[-1].stem.partition("-")[2]) if paths else FIRST_SEGMENT
        except ValueError as error:
            raise AuditError(f"not a segment: {paths[-1].name}") from error

    def _scan(self, path: Path, name: str) -> int:
        """Set the head to the last record of a segment; return the bytes up to its end, 0 for none."""
        sound_bytes = 0
        size = 0
        for raw in raw_lines(path):
            size += len(raw)  # counted in bytes: replaced ones would be longer as text
            line = raw.decode(errors="replace")
            if not line.endswith("\n") or (found := decode_line(line)) is None:
                continue
            record, _, digest = found
            if record.name != name:
                raise AuditError(f"the folder holds the audit of {record.name!r}")
            sound_bytes = size
            self.head = Head(record.number, digest)
        return sound_bytes

    def _cut(self, path: Path, sound_bytes: int) -> None:
        size = path.stat().st_size
        if size > sound_bytes:
            os.truncate(path, sound_bytes)
            self.bytes_cut = size - sound_bytes

    def _open_segment(self) -> None:
        path = self.folder / SEGMENT_FILE.format(self.number)
        self.segment_fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.size = os.fstat(self.segment_fd).st_size

    def add(self, record: Record) -> None:
        """Append a record, numbered and chained to the one before it; `sync` makes it durable.

        Raises:
            OSError: it could not be written whole; the segment ends as before.
        """
        if self.size >= MAX_SEGMENT_BYTES:
            self._rotate()
        number = self.head.number + 1
        line, digest = encode_line(msgspec.structs.replace(record, number=number), self.head.digest)
        data = line.encode()
        if os.write(self.segment_fd, data) != len(data):
            os.ftruncate(self.segment_fd, self.size)
            raise OSError("not written whole")
        self.size += len(data)
        self.head = Head(number, digest)

    def _rotate(self) -> None:
        os.fsync(self.segment_fd)
        os.close(self.segment_fd)
        self.segment_fd = CLOSED
        self.number += 1
        self._open_segment()
        for oldest in segment_paths(self.folder)[:-MAX_SEGMENTS]:
            oldest.unlink()

    def sync(self) -> None:
        """Make all records durable.

        Raises:
            OSError: they may not be on disk.
        """
        os.fsync(self.segment_fd)

    def close(self) -> None:
        """Close the segment and release the lock."""
        for descriptor in (self.segment_fd, self.lock_fd):
            if descriptor != CLOSED:
                os.close(descriptor)
        self.segment_fd = CLOSED
        self.lock_fd = CLOSED
