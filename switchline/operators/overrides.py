"""Backends that operators have taken out, kept in a file that outlives the process."""

from __future__ import annotations

import fcntl
import json
import logging
import math
import os
import re
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from switchline.clock import Timers, now_ms

log = logging.getLogger(__name__)

LOOK_MS = 100.0  # between two looks at the file: well within the 500 ms that new work may still go out
LOCK_TRIES, LOCK_TRY_S = 20, 0.001
MOST_NAMES = 1_024  # of each kind in the file: far more than any list has
LARGEST_FILE = 1024 * 1024  # bytes; a longer one is none of ours
BACK_MS = 120_000.0  # for so long it matters when a backend was put back: longer than any slow start

Changed = Callable[[str, bool, float], None]  # the host, whether it is out, and since when


def private_file(name: str, suffix: str) -> Path:
    """Where a gateway keeps what the next process of the same name reads.

    The prefix is the program's earlier name: files and sockets of an older version have to be found.
    """
    safe = re.sub(r"[^A-Za-z0-9_-]", "_", name)[:64]
    return Path(os.environ.get("TMPDIR") or "/tmp") / f"roadpulley-{safe}-{suffix}"


class OperatorOverrides:
    """Owns which hosts are out; tells `changed` of each host that goes out or comes back."""

    def __init__(self, path: Path, timers: Timers, changed: Changed) -> None:
        self.path, self.timers, self.changed = path, timers, changed
        self.out: dict[str, float] = {}  # by host: since when
        self.back: dict[str, float] = {}  # by host: when it was put back
        self.seen: tuple[int, int] | None = None  # which file was read last
        self._read()
        timers.every(LOOK_MS, "the file of what is out by hand", self._read)

    def set(self, host: str, out: bool) -> None:
        """Take a host out or put it back; raises OSError if that can't be kept."""
        with self._locked():
            self._read()
            if out == (host in self.out):
                return  # calls may be repeated
            now = now_ms()
            held, back = dict(self.out), {h: at for h, at in self.back.items() if now - at < BACK_MS}
            held.pop(host, None)
            back.pop(host, None)
            if out and len(held) >= MOST_NAMES:
                raise OSError("too many backends are out")
            (held if out else back)[host] = now
            self._write(held, dict(list(back.items())[-MOST_NAMES:]))
            self._take(held, back)

    def since(self, host: str) -> float:
        """When operators last called for it, either way; before all time where nothing is known of it."""
        return max(self.out.get(host, -math.inf), self.back.get(host, -math.inf))

    def recover(self, found: dict[str, tuple[bool, float]]) -> None:
        """Take over what a disk tells, where the file, which may be gone, says nothing later."""
        now = now_ms()
        with self._locked():
            self._read()
            held, back = dict(self.out), dict(self.back)
            for host, (out, at) in found.items():
                if at > self.since(host) and len(held) < MOST_NAMES:
                    held.pop(host, None)
                    back.pop(host, None)
                    (held if out else back)[host] = min(at, now)
            back = {host: at for host, at in back.items() if now - at < BACK_MS}
            try:
                self._write(held, back)
            finally:
                self._take(held, back)

    def _read(self) -> None:
        """Follow what another process of this gateway may have written."""
        try:
            found = self.path.stat()
            if (which := (found.st_ino, found.st_mtime_ns)) == self.seen:
                return
            self.seen = which
            if found.st_size > LARGEST_FILE:
                raise ValueError("too long")
            given = json.loads(self.path.read_bytes())
            held, back = read_times(given["out"]), read_times(given["back"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as error:
            log.warning("the list of backends out by hand can't be read: %s", error)
            return
        self._take(held, back)

    def _take(self, held: dict[str, float], back: dict[str, float]) -> None:
        before, self.out = self.out, held
        returned, self.back = self.back, back
        for host, at in held.items():
            if host not in before:
                self.changed(host, True, at)
        for host in before.keys() - held.keys():
            self.changed(host, False, now_ms())  # it was out at the last look, whatever a clock says
        for host in back.keys() - returned.keys() - before.keys():
            self.changed(host, False, back[host])  # put back just before this process started

    def _write(self, held: dict[str, float], back: dict[str, float]) -> None:
        whole = self.path.with_suffix(f".{os.getpid()}.tmp")
        try:
            with whole.open("w") as file:
                json.dump({"out": held, "back": back}, file)
            whole.rename(self.path)
            found = self.path.stat()
            self.seen = found.st_ino, found.st_mtime_ns
        except OSError:
            whole.unlink(missing_ok=True)
            raise

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Two processes of one gateway may be called at the same time."""
        with self.path.with_suffix(".lock").open("w") as lock:
            for _ in range(LOCK_TRIES):  # held for one small write, but its holder may have been stopped
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except BlockingIOError:
                    time.sleep(LOCK_TRY_S)
            else:
                raise OSError("another process holds the list")
            yield


def read_times(given: object) -> dict[str, float]:
    if not isinstance(given, dict) or len(given) > MOST_NAMES:
        raise ValueError("not times by host")
    times = {str(host): float(at) for host, at in given.items()}
    if not all(math.isfinite(at) for at in times.values()):
        raise ValueError("not a time")
    return times
