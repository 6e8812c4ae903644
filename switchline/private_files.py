"""The paths of files and sockets that all processes of one gateway share, in `$TMPDIR`."""

from __future__ import annotations

import os
import re
from pathlib import Path

MAX_PATH_NAME_LENGTH = 64  # characters of a gateway's name that a file's name contains


def private_file(gateway: str, suffix: str) -> Path:
    """Return the path of a file or socket that other processes of the same gateway use as well.

    The prefix is an earlier name of the program, so that files and sockets of older versions are found.
    """
    safe = re.sub(r"[^A-Za-z0-9_-]", "_", gateway)[:MAX_PATH_NAME_LENGTH]
    return Path(os.environ.get("TMPDIR") or "/tmp") / f"roadpulley-{safe}-{suffix}"
