"""The incarnation of a process, which is above those of all earlier processes of its gateway."""

from __future__ import annotations

import logging
import os
import random
from pathlib import Path

from switchline import log_events
from switchline.clock import now_ms
from switchline.fleet.messages import Incarnation

log = logging.getLogger(__name__)

FILE_NAME = "life"  # file in the folder with the state on disk
RANDOM_BITS = 40  # size of the second number of an incarnation


def next_incarnation(folder: Path | None, rng: random.Random) -> Incarnation:
    """Return an incarnation above those of the earlier processes, and store its number in `folder`.

    The first number is the wall time in milliseconds, or one more than the number stored in `folder` if that
    is higher. The second number is random, so that two processes that start at the same moment, or from
    copies of one folder, differ. If the number can't be stored, this is logged.

    Args:
        folder: The folder with the state on disk; None without one.
        rng: Source of the random number.
    """
    number = int(now_ms())
    if folder is not None:
        path = folder / FILE_NAME
        number = max(number, _read_stored_number(path) + 1)
        try:
            _store_number(path, number)
        except OSError as error:
            log.warning(log_events.INCARNATION_NOT_STORED, error)
    return number, rng.getrandbits(RANDOM_BITS)


def _read_stored_number(path: Path) -> int:
    """Return the number stored on disk; -1 if it is missing or unreadable, as the clock suffices then."""
    try:
        return int(path.read_text())
    except (OSError, ValueError):
        return -1


def _store_number(path: Path, number: int) -> None:
    """Replace the file atomically, so that a crash leaves the old or the new content."""
    temporary_path = path.with_suffix(f".{os.getpid()}")
    with temporary_path.open("w") as file:
        file.write(str(number))
        file.flush()
        os.fsync(file.fileno())
    temporary_path.rename(path)
