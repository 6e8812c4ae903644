"""The errors of the state on disk. Their texts go into the log line `the state on disk is off: REASON`."""

from __future__ import annotations


class StateError(Exception):
    """The state can't be kept on disk; service goes on, and a crash then forgets."""


class FolderLockedError(StateError):
    """Another process holds the folder: a second gateway was given it, or an old process hangs."""

    def __init__(self) -> None:
        super().__init__("another process holds the folder")


class UnsoundFileError(StateError):
    """The file is damaged, of another gateway or of another schema; it is set aside and a new one begun."""


class WriteError(StateError):
    """The system refused a write: the disk is full or failing, or the folder is gone or read-only.

    The file is not written again, whatever a second attempt would say; its last commit stands.
    """


class SlowDiskError(StateError):
    """A read or a commit took longer than the gateway may wait."""


class BacklogError(StateError):
    """More records wait for a commit than a file may hold."""


class AbandonedError(StateError):
    """The event loop has given up on the writer, which finds out by this error after a late write."""
