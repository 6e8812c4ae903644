"""Runs one gateway: `python -m switchline`, told by LB_CONFIG what to do."""

from __future__ import annotations

import importlib
import os
import signal
import sys
import time
from types import ModuleType

# Reading the program's files may fail for a moment as any other system call.
IMPORT_TRIES, IMPORT_WAIT_S = 10, 0.1
USAGE = """usage: LB_CONFIG=FILE python -m switchline

Serves as one gateway with the JSON configuration in FILE (README.md says what it holds) until SIGTERM.
SIGHUP reads the file again."""


def load(name: str) -> ModuleType:
    """Import a module of this package, with more tries where its files can't be read for a moment."""
    for _ in range(IMPORT_TRIES - 1):
        try:
            return importlib.import_module(name, __package__)
        except (ImportError, OSError):
            importlib.invalidate_caches()
            time.sleep(IMPORT_WAIT_S)
    return importlib.import_module(name, __package__)


def main() -> int:
    if len(sys.argv) > 1:
        print(USAGE)
        return 0 if sys.argv[1] in ("-h", "--help") else 2
    path = os.environ.get("LB_CONFIG")
    if not path:
        print(f"switchline: LB_CONFIG is not set\n\n{USAGE}", file=sys.stderr)
        return 2
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # there is no configuration to read again yet
    load(".logs").start()
    return int(load(".service.program").main(path))


if __name__ == "__main__":
    sys.exit(main())
