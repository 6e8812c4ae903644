"""The files of the state: opens the database of an earlier process, or creates a new one beside it."""

from __future__ import annotations

import logging
import sqlite3
from collections.abc import Callable, Mapping
from pathlib import Path

from switchline.state.database import StateDatabase
from switchline.state.errors import StateError
from switchline.state.folder import DATABASE_FILE, PREVIOUS_FILE, StateFolder
from switchline.state.records import PendingRecord, RecordKey, SavedState

log = logging.getLogger(__name__)


class StateStorage:
    """Owns the folder and the database in it. All methods may wait for the disk.

    Args:
        folder: the folder of the state.
        gateway: the gateway's name.
        clock: returns the time in Unix milliseconds.
    """

    def __init__(self, folder: Path, gateway: str, clock: Callable[[], float]) -> None:
        self.folder = StateFolder(folder)
        self.database = StateDatabase(self.folder.database_path, gateway, clock)

    def lock(self, wait_s: float) -> None:
        """Take the folder's lock within `wait_s` seconds.

        Raises:
            FolderLockedError, OSError: as `StateFolder.lock`.
        """
        self.folder.lock(wait_s)

    def open(self, fresh: bool) -> SavedState:
        """Read the database of an earlier process, or create an empty one; no record is written yet.

        An unusable database is set aside.

        Args:
            fresh: create a new database because this process's own one failed. The last commit of the old one
                stays valid until the first commit of the new one.

        Raises:
            OSError: the files can't be renamed.
            sqlite3.Error: no database can be created.
        """
        saved = SavedState.empty()
        self.folder.restore_previous(self.database.has_commit)
        if fresh and self.folder.database_path.exists():
            self.folder.retain_previous()
        if self.folder.database_path.exists():
            saved = self._read_or_set_aside()
        if self.database.connection is None:
            self.folder.remove(DATABASE_FILE)  # SQLite's logs of a database that is missing
            self.database.create()
            self.folder.sync()
        self.database.remember_file()
        return saved

    def _read_or_set_aside(self) -> SavedState:
        try:
            return self.database.read()
        except (sqlite3.Error, StateError, ValueError, TypeError, KeyError, RecursionError) as error:
            log.warning("the state on disk is set aside: %s", " ".join(str(error).split()))
            self.set_aside()
            return SavedState.empty()

    def set_aside(self) -> None:
        """Close the database and set its file aside.

        Raises:
            OSError: the file can't be renamed.
        """
        self.database.close()
        self.folder.set_aside()

    def record_start(self) -> None:
        """Add the time of this process's start; the first commit writes it."""
        self.database.record_start()

    def commit(self, records: Mapping[RecordKey, PendingRecord], replace_all: bool) -> None:
        """Write records in one transaction.

        Args:
            records: the records by key; those without a body are deleted.
            replace_all: true for the first commit of this process, which deletes all other records and the
                previous database.

        Raises:
            UnsoundFileError, sqlite3.Error, OSError: as `StateDatabase.commit`.
        """
        self.database.commit(records, replace_all)
        if replace_all:
            self.folder.remove(PREVIOUS_FILE)

    def close(self) -> None:
        """Close the database and release the lock."""
        self.database.close()
        self.folder.unlock()
