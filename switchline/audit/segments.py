"""The audit's files: segments of records in a folder that belongs to one gateway.

A power loss loses at most the records since the last `sync`; a record that was written only in part is cut
off at the next start.
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
MAX_SEGMENTS = 16  # a further segment replaces the oldest
FIRST_SEGMENT = 1
CLOSED = -1  # value of a descriptor that is not open


class AuditError(Exception):
    """The audit's folder can't be used: it is locked, belongs to another gateway, or contains other files."""


def segment_paths(folder: Path) -> list[Path]:
    """Return the segments of a folder, the oldest first."""
    return sorted(folder.glob(SEGMENT_GLOB))


def raw_lines(path: Path) -> Iterator[bytes]:
    """Yield the lines of a segment with their line feeds; lines that are too long are cut into pieces."""
    with path.open("rb") as file:
        while line := file.readline(MAX_LINE_CHARS + 1):
            yield line


def text_lines(path: Path) -> Iterator[str]:
    """Yield the lines of a segment as text; invalid UTF-8 is replaced, and fails the check of the chain."""
    return (line.decode(errors="replace") for line in raw_lines(path))


class Segments:
    """Owns the folder with its lock, and the open segment. All methods may wait for the disk.

    Args:
        folder: the folder of the audit, which is created if it is missing.
        name: the name of the gateway.

    Raises:
        AuditError: another process has the lock, or the folder belongs to another gateway.
        OSError: the folder can't be read or written.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.head = Head(0, FIRST_DIGEST)
        self.bytes_cut = 0  # the size of an incomplete record at the end, which was cut off
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
        """Find the last record, and cut off an incomplete one after it; return the last segment's number."""
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
            raise AuditError(f"not a segment of an audit: {paths[-1].name}") from error

    def _scan(self, path: Path, name: str) -> int:
        """Set the head to the last record of a segment; return the bytes up to its end, 0 for none."""
        sound_bytes = 0
        size = 0
        for raw in raw_lines(path):
            size += len(raw)  # in bytes, because replaced characters change the length of the text
            line = raw.decode(errors="replace")
            if not line.endswith("\n") or (decoded := decode_line(line)) is None:
                continue
            record, _, digest = decoded
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
            OSError: the record could not be written completely; the segment is cut back to its end before.
        """
        if self.size >= MAX_SEGMENT_BYTES:
            self._rotate()
        number = self.head.number + 1
        line, digest = encode_line(msgspec.structs.replace(record, number=number), self.head.digest)
        data = line.encode()
        if os.write(self.segment_fd, data) != len(data):
            os.ftruncate(self.segment_fd, self.size)
            raise OSError("the record was not written completely")
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
        """Sync the segment, so that all records survive a power loss.

        Raises:
            OSError: the records may not be on disk.
        """
        os.fsync(self.segment_fd)

    def close(self) -> None:
        """Close the segment and release the lock."""
        for descriptor in (self.segment_fd, self.lock_fd):
            if descriptor != CLOSED:
                os.close(descriptor)
        self.segment_fd = CLOSED
        self.lock_fd = CLOSED
