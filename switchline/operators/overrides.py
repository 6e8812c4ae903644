"""Operators' overrides: disabled backends and zones, gateways exempt from quarantine, and version floors.

Overrides are stored in a file in `$TMPDIR`, which outlives the process and which the two processes of an
upgrade share. An override holds until operators clear it, across restarts as long as the file exists. A power
loss or a cleanup of `$TMPDIR` deletes the file. If `state` is configured, the overrides are in the stored
state as well (`switchline.state`), from which they are merged at the start.
"""

from __future__ import annotations

import fcntl
import json
import logging
import math
import os
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from switchline.clock import Timers, now_ms
from switchline.operators.override_order import OverrideChange, next_change_ms, supersedes

log = logging.getLogger(__name__)

# How often the file is read: well within the 500 ms during which new requests may still be sent to a backend
# after operators have disabled it.
POLL_INTERVAL_MS = 100.0
LOCK_ATTEMPTS = 20
LOCK_RETRY_S = 0.001  # pause between two attempts
# The largest number of active overrides, and also of cleared ones, in one file: far more than the backends of
# any endpoint list.
MAX_NAMES = 1_024
MAX_FILE_BYTES = 1024 * 1024  # a larger file was not written by this program
# A change with a later time than this, by the own clock, gets this time: no other gateway would accept it.
MAX_AHEAD_MS = 300_000.0
# How long the time of clearing an override is stored: a backend's slow start needs it, and takes less.
CLEARED_RETENTION_MS = 120_000.0
KEY_ACTIVE = "out"
KEY_CLEARED = "back"
KEY_ADOPTED = "adopted"


class OverrideError(OSError):
    """An operator's call can't be stored, though no system call failed."""


@dataclass(slots=True)
class OverrideTimes:
    """The contents of the file.

    Attributes:
        active: When active overrides were set, in Unix milliseconds, by name.
        cleared: Likewise, when overrides were cleared.
        adopted: The names of active ones that operators set at another gateway alone, and not here.
    """

    active: dict[str, float]
    cleared: dict[str, float]
    adopted: set[str] = field(default_factory=set)

    def copy(self) -> OverrideTimes:
        """Return an independent copy."""
        return OverrideTimes(dict(self.active), dict(self.cleared), set(self.adopted))

    def apply_change(self, name: str, change: OverrideChange, is_adopted: bool = False) -> None:
        """Apply the change of an override, which becomes the last one in the order of its dictionary."""
        self.adopted.discard(name)
        if is_adopted and change.active:
            self.adopted.add(name)
        self.active.pop(name, None)
        self.cleared.pop(name, None)
        (self.active if change.active else self.cleared)[name] = change.at_ms

    def drop_expired(self, current_ms: float) -> None:
        """Drop the overrides that were cleared longer ago than `CLEARED_RETENTION_MS`."""
        self.cleared = {
            name: at_ms for name, at_ms in self.cleared.items() if current_ms - at_ms < CLEARED_RETENTION_MS
        }

    def last_change(self, name: str) -> OverrideChange | None:
        """Return the last change of an override; None if it is not known."""
        if name in self.active:
            return OverrideChange(True, self.active[name])
        return OverrideChange(False, self.cleared[name]) if name in self.cleared else None


class FileIdentity(NamedTuple):
    """Identifies a version of the file, to detect that it was replaced since it was read."""

    inode: int
    modified_ns: int


# Its arguments are the name, whether the override is active, and the time of the change in Unix milliseconds.
OverrideListener = Callable[[str, bool, float], None]


class OperatorOverrides:
    """Owns the overrides of one kind, and their file.

    Args:
        path: path of the file; a file beside it with the suffix `.lock` is locked during each change.
        timers: timers that poll the file.
        on_change: called for each override that is set or cleared, by this process or by the peer process of
            an upgrade.
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
        """Return when each active override was set, in Unix milliseconds, by name."""
        return self._times.active

    @property
    def adopted(self) -> set[str]:
        """Return the names of active overrides that operators set at another gateway alone."""
        return self._times.adopted

    @property
    def cleared(self) -> dict[str, float]:
        """Return when overrides were cleared lately, in Unix milliseconds, by name."""
        return self._times.cleared

    def last_change(self, name: str) -> OverrideChange | None:
        """Return the last change of an override; None if it is not known."""
        return self._times.last_change(name)

    def last_changed_ms(self, name: str) -> float:
        """Return when an override was last set or cleared, in Unix ms; minus infinity if that is unknown."""
        change = self._times.last_change(name)
        return change.at_ms if change is not None else -math.inf

    def changes(self) -> Iterator[tuple[str, OverrideChange]]:
        """Yield the last change of each override: first of the active ones, then of those cleared lately."""
        for name, at_ms in self.active.items():
            yield name, OverrideChange(True, at_ms)
        for name, at_ms in self.cleared.items():
            if now_ms() - at_ms < CLEARED_RETENTION_MS:
                yield name, OverrideChange(False, at_ms)

    def set(self, name: str, active: bool, at_ms: float | None = None, renew: bool = False) -> None:
        """Set or clear an override; a repeated call changes nothing, unless it is to renew the time.

        One that was adopted from another gateway is this gateway's own after a call here.

        Args:
            name: What the override is for.
            active: Whether to set it.
            at_ms: The time of the change, in Unix milliseconds; by default the present one. It is later than
                that of the last change in any case.
            renew: Whether an override that is set already gets the time of this call.

        Raises:
            OSError: The file can't be written or locked, or too many overrides are active (`OverrideError`).
                Nothing has changed then.
        """
        with self._locked():
            self._read()
            is_active = name in self.active
            is_renewed = active and (renew or name in self.adopted)
            if active == is_active and not is_renewed:
                return
            if not is_active and len(self.active) >= MAX_NAMES:
                raise OverrideError(f"{MAX_NAMES} overrides are active, which is the limit")
            current_ms = now_ms()
            times = self._times.copy()
            times.drop_expired(current_ms)
            wanted_ms = current_ms if at_ms is None else at_ms
            changed_ms = next_change_ms(wanted_ms, [self.last_changed_ms(name)])
            times.apply_change(name, OverrideChange(active, changed_ms))
            newest_cleared = dict(list(times.cleared.items())[-MAX_NAMES:])
            self._write(OverrideTimes(times.active, newest_cleared, times.adopted))
            self._apply(times)

    def merge(self, changes: Mapping[str, OverrideChange], are_adopted: bool = False) -> None:
        """Apply changes from the stored state or from other gateways, unless the one known here is as new.

        Args:
            changes: By the names of the overrides.
            are_adopted: Whether operators made them at another gateway, and for that one alone.

        Raises:
            OSError: The file can't be locked, and nothing has changed; or it can't be written, and the
                changes are in force in this process all the same.
        """
        current_ms = now_ms()
        with self._locked():
            self._read()
            times = self._times.copy()
            for name, change in changes.items():
                if supersedes(change, self.last_change(name)) and len(times.active) < MAX_NAMES:
                    at_ms = min(change.at_ms, current_ms + MAX_AHEAD_MS)
                    times.apply_change(name, change._replace(at_ms=at_ms), are_adopted)
            times.drop_expired(current_ms)
            try:
                self._write(times)
            finally:
                self._apply(times)

    def _read(self) -> None:
        """Read the file if it was replaced, and apply the changes that the peer process wrote."""
        try:
            status = self.path.stat()
            identity = FileIdentity(status.st_ino, status.st_mtime_ns)
            if identity == self._last_read:
                return
            self._last_read = identity
            if status.st_size > MAX_FILE_BYTES:
                raise ValueError("the file is larger than this program writes")
            times = decode_times(self.path.read_bytes())
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as error:
            log.warning("operator overrides can't be read: file=%s error=%s", self.path.name, error)
            return
        self._apply(times)

    def _apply(self, times: OverrideTimes) -> None:
        """Take over what the file has, and notify the owner of each override that was set or cleared."""
        previous = self._times
        self._times = times
        for name, at_ms in times.active.items():
            if name not in previous.active:
                self.on_change(name, True, at_ms)
        for name in previous.active.keys() - times.active.keys():
            # The override was active at the last poll, so it was cleared now, whatever time the file has.
            self.on_change(name, False, now_ms())
        for name in times.cleared.keys() - previous.cleared.keys() - previous.active.keys():
            # The override was cleared shortly before this process started.
            self.on_change(name, False, times.cleared[name])

    def _write(self, times: OverrideTimes) -> None:
        """Replace the file atomically, so that no reader sees an incomplete one."""
        temporary = self.path.with_suffix(f".{os.getpid()}.tmp")
        try:
            with temporary.open("w") as file:
                json.dump(encode_times(times), file)
            temporary.rename(self.path)
            status = self.path.stat()
            self._last_read = FileIdentity(status.st_ino, status.st_mtime_ns)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Lock the file against writes of the peer process.

        The lock is held for one small write, but longer by a process that is stopped during it.

        Raises:
            OverrideError: The lock is not free after `LOCK_ATTEMPTS` attempts.
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


def encode_times(times: OverrideTimes) -> dict[str, object]:
    """Return the contents of a file of overrides, as JSON values."""
    contents: dict[str, object] = {KEY_ACTIVE: times.active, KEY_CLEARED: times.cleared}
    if times.adopted:
        contents[KEY_ADOPTED] = sorted(times.adopted)
    return contents


def decode_times(data: bytes) -> OverrideTimes:
    """Decode the contents of a file of overrides.

    Raises:
        ValueError: The data is not JSON, has more than `MAX_NAMES` names, or a time that is not finite.
            TypeError, KeyError and RecursionError for JSON of another shape.
    """
    contents = json.loads(data)
    active = decode_times_by_name(contents[KEY_ACTIVE])
    adopted = {str(name) for name in contents.get(KEY_ADOPTED, [])}  # files of earlier releases have none
    return OverrideTimes(active, decode_times_by_name(contents[KEY_CLEARED]), adopted & active.keys())


def decode_times_by_name(value: object) -> dict[str, float]:
    """Return a JSON object of times by name as a dictionary.

    Raises:
        ValueError: The value is not an object, has more than `MAX_NAMES` names, or a time that is not finite.
            TypeError likewise.
    """
    if not isinstance(value, dict) or len(value) > MAX_NAMES:
        raise ValueError("expected an object of times by name, with at most as many names as are stored")
    times = {str(name): float(at_ms) for name, at_ms in value.items()}
    if not all(math.isfinite(at_ms) for at_ms in times.values()):
        raise ValueError("a time is not a finite number")
    return times
