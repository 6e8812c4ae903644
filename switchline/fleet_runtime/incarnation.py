"""The incarnation of a process: a number above those of all earlier processes of its gateway."""

from __future__ import annotations

import logging
import os
import random
from pathlib import Path

from switchline import log_events
from switchline.clock import now_ms
from switchline.fleet.messages import Incarnation

log = logging.getLogger(__name__)

FILE_NAME = "life"  # in the folder of the state
RANDOM_BITS = 40


def next_incarnation(folder: Path | None, rng: random.Random) -> Incarnation:
    """An incarnation above all before it: by the wall clock, and by the last one in `folder`, if any.

    The second number, a random one, differs for two processes that begin from copies of one folder, or at one
    moment.
    """
    number = int(now_ms())
    if folder is not None:
        path = folder / FILE_NAME
        number = max(number, _read_last(path) + 1)
        try:
            _write(path, number)
        except OSError as error:
            log.warning(log_events.INCARNATION_NOT_STORED, error)
    return number, rng.getrandbits(RANDOM_BITS)


def _read_last(path: Path) -> int:
    """The last number on disk; -1 where there is none, or none that can be read: the clock's is as good."""
    try:
        return int(path.read_text())
    except (OSError, ValueError):
        return -1


def _write(path: Path, number: int) -> None:
    """Replace the file at once, so that a crash leaves the old or the new one."""
    temporary = path.with_suffix(f".{os.getpid()}")
    with temporary.open("w") as file:
        file.write(str(number))
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
