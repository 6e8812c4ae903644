"""The folder of the state: its lock, and the places of its files. Knows nothing of what is in them.

| file | what it is |
| --- | --- |
| `state.lock` | locked by the process that uses the folder |
| `state.db`, with `-wal`, `-shm` | the database in use |
| `previous.db` | the database before it, until the first commit of this one |
| `aside-1.db` to `aside-3.db` | databases that could not be used, for staff to look at |
"""

from __future__ import annotations

import fcntl
import os
import time
from collections.abc import Callable
from pathlib import Path

from switchline.state.errors import FolderLockedError

DATABASE_FILE = "state.db"
LOCK_FILE = "state.lock"
PREVIOUS_FILE = "previous.db"
ASIDE_FILE = "aside-{}.db"
MAX_ASIDE = 3  # a further one replaces the oldest
WAL_SUFFIX = "-wal"
LOG_SUFFIXES = (WAL_SUFFIX, "-shm", "-journal")  # of the files that SQLite keeps beside a database
LOCK_RETRY_S = 0.02
UNLOCKED = -1  # in place of a descriptor


class StateFolder:
    """Owns the lock of a folder, and moves its files while it holds that lock.

    Args:
        path: the folder; `lock` creates it if it is missing.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.database_path = path / DATABASE_FILE
        self.lock_fd = UNLOCKED

    @property
    def is_locked(self) -> bool:
        """Whether this process holds the lock."""
        return self.lock_fd != UNLOCKED

    def lock(self, wait_s: float) -> None:
        """Take the lock, which the system releases when this process ends, however it ends.

        Args:
            wait_s: how long to wait for another process of an upgrade to release it.

        Raises:
            FolderLockedError: another process still holds it.
            OSError: the folder can't be made or written.
        """
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock_fd = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        deadline = time.monotonic() + wait_s
        while True:
            try:
                fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if time.monotonic() >= deadline:
                    raise FolderLockedError from None
                time.sleep(LOCK_RETRY_S)
            else:
                return

    def unlock(self) -> None:
        """Release the lock, if this process holds it."""
        if self.lock_fd != UNLOCKED:
            os.close(self.lock_fd)
            self.lock_fd = UNLOCKED

    def sync(self) -> None:
        """Make created, renamed and removed files durable."""
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, name: str) -> None:
        """Remove a database, the file itself before its logs: a log alone is not taken for a database."""
        for suffix in ("", *LOG_SUFFIXES):
            (self.path / (name + suffix)).unlink(missing_ok=True)

    def retain_previous(self) -> None:
        """Put the database aside as the previous one, so that a new one can be begun.

        A kill between any two steps is undone by `restore_previous` at the next start.
        """
        self.remove(PREVIOUS_FILE)
        if (self.path / (DATABASE_FILE + WAL_SUFFIX)).exists():
            (self.path / (DATABASE_FILE + WAL_SUFFIX)).rename(self.path / (PREVIOUS_FILE + WAL_SUFFIX))
        self.database_path.rename(self.path / PREVIOUS_FILE)
        self.sync()

    def restore_previous(self, has_commit: Callable[[], bool]) -> None:
        """Undo `retain_previous`, unless the new database has a commit: then the previous one is removed.

        Args:
            has_commit: tells whether `state.db` holds a commit.
        """
        previous = self.path / PREVIOUS_FILE
        previous_log = self.path / (PREVIOUS_FILE + WAL_SUFFIX)
        if previous.exists():
            if has_commit():
                self.remove(PREVIOUS_FILE)
                return
            self.remove(DATABASE_FILE)
            previous.rename(self.database_path)
        if self.database_path.exists() and previous_log.exists():
            previous_log.rename(self.path / (DATABASE_FILE + WAL_SUFFIX))
            self.sync()

    def set_aside(self) -> None:
        """Move the database where it is not taken for a good one; of those, the last few stay for staff.

        Raises:
            OSError: it could not be moved.
        """
        places = [self.path / ASIDE_FILE.format(number) for number in range(1, MAX_ASIDE + 1)]
        free = [place for place in places if not place.exists()]
        place = free[0] if free else min(places, key=lambda place: place.stat().st_mtime)
        self.database_path.rename(place)  # before its logs: a log alone is not taken for a database
        os.utime(place)
        for suffix in LOG_SUFFIXES:
            log_place = place.with_name(place.name + suffix)
            try:
                (self.path / (DATABASE_FILE + suffix)).rename(log_place)
            except FileNotFoundError:
                log_place.unlink(missing_ok=True)
        self.sync()
