"""Compiles all modules that the gateway may import, so that a start compiles none.

    .venv/bin/python deploy/compile_modules.py CACHE_FOLDER

`run` reads the compiled modules from the folder. Modules that are compiled at a start take some MB more
of the process's memory, and three times as long to load. The flags have to be those of `run`.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
FLAGS = ["-OO", "-X", "no_debug_ranges"]
# Of packages that are not installed for `run`, modules are left out.
IMPORT_ALL = """
import importlib, pkgutil, switchline, switchline.__main__
for module in pkgutil.walk_packages(switchline.__path__, "switchline."):
    try:
        importlib.import_module(module.name)
    except ImportError:
        pass
"""


def main() -> int:
    """Compile into the folder that is named on the command line; return the exit code."""
    cache = f"pycache_prefix={Path(sys.argv[1]).absolute()}"
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}
    command = [sys.executable, *FLAGS, "-X", cache, "-c", IMPORT_ALL]
    return subprocess.run(command, cwd=ROOT, env=environment, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
