"""What operators have overridden by call: backends or zones disabled, gateways exempt, version floors.

Overrides lie in a file in `$TMPDIR` that outlives the process, and that two processes of an upgrade share. An
override holds until operators clear it, over restarts as long as the file stays. A loss of power or a cleaned
`$TMPDIR` takes the file; with `state` configured the overrides are on disk as well (`switchline.state`), and
are merged back at the start.
"""

from __future__ import annotations

import fcntl
import json
import logging
import math
import os
import re
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from switchline.clock import Timers, now_ms

log = logging.getLogger(__name__)

POLL_INTERVAL_MS = 100.0  # of the file; well within the 500 ms in which new work may still go out
LOCK_ATTEMPTS = 20
LOCK_RETRY_S = 0.001
MAX_NAMES = 1_024  # active, and cleared, in one file; far more than any endpoint list has
MAX_FILE_BYTES = 1024 * 1024  # a longer file was not written by this program
CLEARED_RETENTION_MS = 120_000.0  # when an override was cleared matters for as long as any slow start
MAX_NAME_IN_PATH = 64  # characters
KEY_ACTIVE = "out"
KEY_CLEARED = "back"


class OverrideError(OSError):
    """An operator's call can't be stored, for a reason other than a system call's."""


class OverrideChange(NamedTuple):
    """An operator's last call for a name.

    Attributes:
        active: the override was set; else it was cleared.
        at_ms: when, in Unix milliseconds.
    """

    active: bool
    at_ms: float


@dataclass(slots=True)
class OverrideTimes:
    """The contents of the file: since when overrides are active or cleared, in Unix milliseconds, by name."""

    active: dict[str, float]
    cleared: dict[str, float]

    def copy(self) -> OverrideTimes:
        """Return times that can be changed without changing these."""
        return OverrideTimes(dict(self.active), dict(self.cleared))

    def apply_change(self, name: str, change: OverrideChange) -> None:
        """Follow a call for a name, which then stands last."""
        self.active.pop(name, None)
        self.cleared.pop(name, None)
        (self.active if change.active else self.cleared)[name] = change.at_ms

    def drop_expired(self, now: float) -> None:
        """Forget what was cleared too long ago to matter."""
        self.cleared = {name: at for name, at in self.cleared.items() if now - at < CLEARED_RETENTION_MS}

    def last_changed_ms(self, name: str) -> float:
        """Return when operators last called for a name; minus infinity where no call is known."""
        return max(self.active.get(name, -math.inf), self.cleared.get(name, -math.inf))


class FileIdentity(NamedTuple):
    """Tells whether the file was replaced since it was read."""

    inode: int
    modified_ns: int


OverrideListener = Callable[[str, bool, float], None]  # the name, whether active, since when (Unix ms)


def private_file(gateway: str, suffix: str) -> Path:
    """Return the path of a file that the next process of the same gateway reads.

    The prefix is the program's earlier name: files and sockets of an older version have to be found.
    """
    safe = re.sub(r"[^A-Za-z0-9_-]", "_", gateway)[:MAX_NAME_IN_PATH]
    return Path(os.environ.get("TMPDIR") or "/tmp") / f"roadpulley-{safe}-{suffix}"


class OperatorOverrides:
    """Owns the overrides of one kind, and their file.

    Args:
        path: the file; a second one beside it, with the suffix `.lock`, is locked for each change.
        timers: where the polling of the file is scheduled.
        on_change: called for each name that is overridden or cleared, here or by the other process.
    """

    def __init__(self, path: Path, timers: Timers, on_change: OverrideListener) -> None:
        self.path = path
        self.on_change = on_change
        self._times = OverrideTimes({}, {})
        self._last_read: FileIdentity | None = None
        self._read()
        timers.every(POLL_INTERVAL_MS, "the file of operator overrides", self._read)

    @property
    def active(self) -> dict[str, float]:
        """Since when (Unix milliseconds) each override is active, by name."""
        return self._times.active

    @property
    def cleared(self) -> dict[str, float]:
        """When (Unix milliseconds) overrides were cleared of late, by name."""
        return self._times.cleared

    def last_changed_ms(self, name: str) -> float:
        """Return when operators last called for a name; minus infinity where no call is known."""
        return self._times.last_changed_ms(name)

    def changes(self) -> Iterator[tuple[str, OverrideChange]]:
        """Yield the last call for each name: the active ones, then those that were cleared of late."""
        for name, at_ms in self.active.items():
            yield name, OverrideChange(True, at_ms)
        for name, at_ms in self.cleared.items():
            if now_ms() - at_ms < CLEARED_RETENTION_MS:
                yield name, OverrideChange(False, at_ms)

    def set(self, name: str, active: bool) -> None:
        """Set or clear an override; a repeated call changes nothing.

        Raises:
            OSError: the file can't be written or locked, or too many are active (`OverrideError`); nothing
                has changed then.
        """
        with self._locked():
            self._read()
            if active == (name in self.active):
                return
            if active and len(self.active) >= MAX_NAMES:
                raise OverrideError(f"{MAX_NAMES} overrides are active, which is the limit")
            now = now_ms()
            times = self._times.copy()
            times.drop_expired(now)
            times.apply_change(name, OverrideChange(active, now))
            newest_cleared = dict(list(times.cleared.items())[-MAX_NAMES:])
            self._write(OverrideTimes(times.active, newest_cleared))
            self._apply(times)

    def merge(self, changes: Mapping[str, OverrideChange]) -> None:
        """Follow calls known from the state on disk or from other gateways, where none here is newer.

        Raises:
            OSError: the file can't be written; the overrides hold in this process all the same.
        """
        now = now_ms()
        with self._locked():
            self._read()
            times = self._times.copy()
            for name, change in changes.items():
                if change.at_ms > self.last_changed_ms(name) and len(times.active) < MAX_NAMES:
                    times.apply_change(name, change._replace(at_ms=min(change.at_ms, now)))
            times.drop_expired(now)
            try:
                self._write(times)
            finally:
                self._apply(times)

    def _read(self) -> None:
        """Follow what the other process of this gateway may have written."""
        try:
            status = self.path.stat()
            identity = FileIdentity(status.st_ino, status.st_mtime_ns)
            if identity == self._last_read:
                return
            self._last_read = identity
            if status.st_size > MAX_FILE_BYTES:
                raise ValueError("too long")
            times = decode_times(self.path.read_bytes())
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as error:
            log.warning("operator overrides can't be read: file=%s error=%s", self.path.name, error)
            return
        self._apply(times)

    def _apply(self, times: OverrideTimes) -> None:
        before = self._times
        self._times = times
        for name, at in times.active.items():
            if name not in before.active:
                self.on_change(name, True, at)
        for name in before.active.keys() - times.active.keys():
            self.on_change(name, False, now_ms())  # active at the last poll, whatever the wall clock says
        for name in times.cleared.keys() - before.cleared.keys() - before.active.keys():
            self.on_change(name, False, times.cleared[name])  # cleared just before this process started

    def _write(self, times: OverrideTimes) -> None:
        """Replace the file as a whole, so that no reader sees a part of it."""
        temporary = self.path.with_suffix(f".{os.getpid()}.tmp")
        try:
            with temporary.open("w") as file:
                json.dump({KEY_ACTIVE: times.active, KEY_CLEARED: times.cleared}, file)
            temporary.rename(self.path)
            status = self.path.stat()
            self._last_read = FileIdentity(status.st_ino, status.st_mtime_ns)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Keep the other process of this gateway from writing at the same time.

        The lock is held for one small write; a process that was stopped meanwhile may hold it for longer.
        """
        with self.path.with_suffix(".lock").open("w") as lock:
            for _ in range(LOCK_ATTEMPTS):
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    time.sleep(LOCK_RETRY_S)
            else:
                raise OverrideError("another process holds the lock of the overrides' file")
            yield


def decode_times(data: bytes) -> OverrideTimes:
    """Return the contents of a file.

    Raises:
        ValueError: not JSON, too many names, or a time that is not finite; TypeError, KeyError and
            RecursionError as well for JSON of another shape.
    """
    given = json.loads(data)
    return OverrideTimes(decode_times_by_name(given[KEY_ACTIVE]), decode_times_by_name(given[KEY_CLEARED]))


def decode_times_by_name(given: object) -> dict[str, float]:
    """Return times by name; raises ValueError for anything else."""
    if not isinstance(given, dict) or len(given) > MAX_NAMES:
        raise ValueError("not times by host")
    times = {str(name): float(at) for name, at in given.items()}
    if not all(math.isfinite(at) for at in times.values()):
        raise ValueError("not a time")
    return times
