"""The errors of the state on disk. Their messages are in the log line `the state on disk is off: REASON`."""

from __future__ import annotations


class StateError(Exception):
    """The state can't be stored on disk. The gateway keeps serving, and a crash loses its state."""


class FolderLockedError(StateError):
    """Another process has locked the folder: a second gateway with the same folder, or a hung old process."""

    def __init__(self) -> None:
        super().__init__("another process holds the folder")


class UnsoundFileError(StateError):
    """The file is damaged, or of another gateway or schema. It is set aside and a new one is created."""


class WriteError(StateError):
    """The system refused a write: the disk is full or failing, or the folder is missing or read-only.

    The file is not written again, even if a second attempt would succeed; its last commit stays valid.
    """


class SlowDiskError(StateError):
    """A read or a commit took longer than its timeout."""


class BacklogError(StateError):
    """More records wait for a commit than a file may contain."""


class AbandonedError(StateError):
    """The event loop has abandoned the writer, which gets this error after a slow write."""
