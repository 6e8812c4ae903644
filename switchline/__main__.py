"""Runs one gateway: `python -m switchline`, with the configuration file that `LB_CONFIG` names.

Only the standard library is imported here; the rest of the program is imported with retries, once an older
process of this gateway has given back memory for it.
"""

from __future__ import annotations

import importlib
import os
import signal
import sys
import time
from types import ModuleType

# Reading the program's files can fail for a short time, as any system call can.
IMPORT_ATTEMPTS = 10
IMPORT_RETRY_S = 0.1

EXIT_OK = 0
EXIT_USAGE = 2

USAGE = """usage: LB_CONFIG=FILE python -m switchline

Serves as one gateway with the JSON configuration in FILE (README.md says what it holds) until SIGTERM.
SIGHUP reads the file again."""


def load(name: str) -> ModuleType:
    """Import a module of this package, with retries in case its files can't be read for a short time.

    Raises:
        ImportError: The last attempt failed. OSError likewise.
    """
    for _ in range(IMPORT_ATTEMPTS - 1):
        try:
            return importlib.import_module(name, __package__)
        except (ImportError, OSError):
            importlib.invalidate_caches()
            time.sleep(IMPORT_RETRY_S)
    return importlib.import_module(name, __package__)


def main() -> int:
    """Run the gateway that `LB_CONFIG` configures, and return the exit code."""
    if len(sys.argv) > 1:
        print(USAGE)
        return EXIT_OK if sys.argv[1] in ("-h", "--help") else EXIT_USAGE
    path = os.environ.get("LB_CONFIG")
    if not path:
        print(f"switchline: LB_CONFIG is not set\n\n{USAGE}", file=sys.stderr)
        return EXIT_USAGE
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # no configuration has been read yet that could be reloaded
    load(".without_openssl").leave_out_openssl()
    start_grant = load(".upgrade.start_grant").wait_for_grant(path)
    load(".logs").start()
    return int(load(".service.program").main(path, start_grant))


if __name__ == "__main__":
    sys.exit(main())
