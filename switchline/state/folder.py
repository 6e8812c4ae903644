"""The folder of the state: its lock, and the paths of its files. It does not read their contents.

| file | what it is |
| --- | --- |
| `state.lock` | locked by the process that uses the folder |
| `state.db`, with `-wal`, `-shm` | the database in use |
| `previous.db` | the database that `state.db` replaces, until the first commit into `state.db` |
| `aside-1.db` to `aside-3.db` | unusable databases, kept for operators to inspect |
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
MAX_ASIDE = 3  # a further file replaces the oldest
WAL_SUFFIX = "-wal"
LOG_SUFFIXES = (WAL_SUFFIX, "-shm", "-journal")  # files that SQLite creates beside a database
LOCK_RETRY_S = 0.02
UNLOCKED = -1  # value of `lock_fd` while the folder is not locked


class StateFolder:
    """Owns the lock of a folder, and moves its files while it has that lock.

    Args:
        path: the folder; `lock` creates it if it is missing.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.database_path = path / DATABASE_FILE
        self.lock_fd = UNLOCKED

    @property
    def is_locked(self) -> bool:
        """Whether this process has the lock."""
        return self.lock_fd != UNLOCKED

    def lock(self, wait_s: float) -> None:
        """Take the lock, which the system releases when this process ends, even if it is killed.

        Args:
            wait_s: how many seconds to wait for the peer process of an upgrade to release it.

        Raises:
            FolderLockedError: another process still has the lock.
            OSError: the folder can't be created or written.
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
        """Release the lock, if this process has it."""
        if self.lock_fd != UNLOCKED:
            os.close(self.lock_fd)
            self.lock_fd = UNLOCKED

    def sync(self) -> None:
        """Sync the folder, so that created, renamed and removed files survive a power loss."""
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, name: str) -> None:
        """Remove a database file, and then its logs: logs without the file are not read as a database."""
        for suffix in ("", *LOG_SUFFIXES):
            (self.path / (name + suffix)).unlink(missing_ok=True)

    def retain_previous(self) -> None:
        """Rename the database to the previous one, so that a new one can be created.

        A kill between any two steps is undone by `restore_previous` at the next start.
        """
        self.remove(PREVIOUS_FILE)
        if (self.path / (DATABASE_FILE + WAL_SUFFIX)).exists():
            (self.path / (DATABASE_FILE + WAL_SUFFIX)).rename(self.path / (PREVIOUS_FILE + WAL_SUFFIX))
        self.database_path.rename(self.path / PREVIOUS_FILE)
        self.sync()

    def restore_previous(self, has_commit: Callable[[], bool]) -> None:
        """Undo `retain_previous`; if the new database has a commit, remove the previous one instead.

        Args:
            has_commit: returns whether `state.db` has a commit.
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
        """Rename the unusable database; the last `MAX_ASIDE` of these are kept for operators to inspect.

        Raises:
            OSError: the database could not be renamed.
        """
        aside_paths = [self.path / ASIDE_FILE.format(number) for number in range(1, MAX_ASIDE + 1)]
        free_paths = [aside_path for aside_path in aside_paths if not aside_path.exists()]
        aside_path = (
            free_paths[0]
            if free_paths
            else min(aside_paths, key=lambda aside_path: aside_path.stat().st_mtime)
        )
        self.database_path.rename(aside_path)  # before its logs, which are not read as a database without it
        os.utime(aside_path)
        for suffix in LOG_SUFFIXES:
            log_path = aside_path.with_name(aside_path.name + suffix)
            try:
                (self.path / (DATABASE_FILE + suffix)).rename(log_path)
            except FileNotFoundError:
                log_path.unlink(missing_ok=True)
        self.sync()
