"""Faults of the machine under one process: failing system calls, a failing disk, a stepped wall clock.

They are brought about by a small C library (`shim/machine_faults.c`) that is preloaded into gateways that
the lab starts; the gateway itself never loads it. A control file tells the library what to do and may change
while the process runs.
"""

from __future__ import annotations

import errno
import hashlib
import os
import shutil
import subprocess
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).parent / "shim" / "machine_faults.c"
COMPILERS = ("cc", "gcc", "clang")
COMPILE_S = 60.0

# The errors that the manual pages give for each call, less those that only a wrong argument brings.
SOCKET_ERRORS = {
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "bind": ("EADDRINUSE", "EADDRNOTAVAIL", "ENOMEM"),
    "listen": ("EADDRINUSE",),
    "connect": ("EADDRNOTAVAIL", "EAGAIN", "EHOSTUNREACH", "EINTR", "ENETUNREACH", "EPERM", "ETIMEDOUT"),
    "accept": (
        "ECONNABORTED",
        "EINTR",
        "EMFILE",
        "ENETDOWN",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPERM",
        "EPROTO",
    ),
    "getsockopt": ("ENOBUFS", "ENOMEM"),
    "setsockopt": ("ENOBUFS", "ENOMEM"),
    "getpeername": ("ENOBUFS", "ENOTCONN"),
    "getsockname": ("ENOBUFS",),
    "shutdown": ("ENOBUFS", "ENOTCONN"),
    "recv": ("ECONNRESET", "EHOSTUNREACH", "EINTR", "ENETUNREACH", "ENOMEM", "ETIMEDOUT"),
    "send": ("ECONNRESET", "EHOSTUNREACH", "EINTR", "ENOBUFS", "ENOMEM", "EPIPE"),
    "read": ("ECONNRESET", "EHOSTUNREACH", "EINTR", "ETIMEDOUT"),
    "write": ("ECONNRESET", "EHOSTUNREACH", "EINTR", "EPIPE"),
    "epoll_wait": ("EINTR",),
    "poll": ("EINTR", "ENOMEM"),
    "close": ("EINTR", "EIO"),
}
# Of the event loop's own descriptors: they are made once, at the start.
LOOP_ERRORS = {
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
    "eventfd": ("EMFILE", "ENFILE", "ENOMEM"),
    "socketpair": ("EMFILE", "ENFILE", "ENOMEM"),
    "thread": ("EAGAIN",),
}
DISK_ERRORS = {
    "open": ("EDQUOT", "EIO", "ENOSPC", "EROFS"),
    "write": ("EDQUOT", "EIO", "ENOSPC"),
    "fsync": ("EDQUOT", "EIO", "ENOSPC"),
    "ftruncate": ("EIO",),
    "rename": ("EDQUOT", "EIO", "ENOSPC", "EROFS"),
    "close": ("EDQUOT", "EIO", "ENOSPC"),
}


class NoCompilerError(Exception):
    """The library can't be built on this machine."""


@dataclass(frozen=True)
class FailingCall:
    """One system call that fails by chance, with one of some errors (names of `errno`)."""

    call: str
    chance: float
    errors: tuple[str, ...]
    on_disk: bool = False  # only for files below the folder; else only for all others
    most: int = -1  # failures at most; below 0: no bound

    def line(self) -> str:
        numbers = ",".join(str(getattr(errno, name)) for name in self.errors)
        return f"{'disk' if self.on_disk else 'call'} {self.call} {self.chance} {numbers} {self.most}"


@dataclass(frozen=True)
class MachineFaults:
    """All that is wrong with the machine of one process for a while."""

    seed: int = 0
    calls: Sequence[FailingCall] = ()
    folder: Path | None = None  # where the disk's faults strike
    clock_step_s: float = 0.0  # added to the wall clock
    short_chance: float = 0.0  # that a read or a write moves one byte alone
    seen: Path | None = None  # a file that gets a line for each call that was made to fail

    def text(self) -> str:
        lines = [f"seed {self.seed}", f"clock {self.clock_step_s}", f"short {self.short_chance}"]
        if self.folder is not None:
            lines.append(f"folder {self.folder}")
        if self.seen is not None:
            lines.append(f"seen {self.seen}")
        lines += [call.line() for call in self.calls]
        return "\n".join(lines) + "\n"

    def write(self, control: Path) -> None:
        """Put them in force for the processes that follow this control file."""
        whole = control.with_suffix(".new")
        whole.write_text(self.text())
        whole.rename(control)


def failing(errors: dict[str, tuple[str, ...]], chance: float, on_disk: bool = False) -> list[FailingCall]:
    """Each of these calls fails at this chance."""
    return [FailingCall(call, chance, names, on_disk) for call, names in errors.items()]


def built_library() -> Path:
    """The compiled library; built at first use. Raises NoCompilerError, with the reason."""
    source = SOURCE.read_bytes()
    digest = hashlib.blake2b(source, digest_size=8).hexdigest()
    built = Path(tempfile.gettempdir()) / f"testbed-machine-faults-{digest}.so"
    if built.exists():
        return built
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise NoCompilerError(f"faults of the machine need a C compiler, one of {', '.join(COMPILERS)}")
    making = built.with_suffix(f".{os.getpid()}")
    command = [compiler, "-O2", "-fPIC", "-shared", "-o", str(making), str(SOURCE), "-ldl"]
    made = subprocess.run(command, capture_output=True, text=True, timeout=COMPILE_S)
    if made.returncode:
        raise NoCompilerError(f"{compiler} can't build {SOURCE.name}: {made.stderr.strip()}")
    making.rename(built)
    return built


def environment(control: Path) -> dict[str, str]:
    """What a process is started with, so that it follows this control file."""
    return {"LD_PRELOAD": str(built_library()), "FLEETLAB_FAULTS": str(control)}
