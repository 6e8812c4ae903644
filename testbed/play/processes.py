"""Gateways as processes: their files, their starts and ends, and what a power loss leaves of them."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from testbed.machine import MachineFaults, environment
from testbed.network.addresses import LINE, LISTEN, NEXT, OPERATOR, Net
from testbed.verdict.records import Records

ROOT = Path(__file__).resolve().parents[2]
RUN = (sys.executable, "-OO", "-m", "switchline")  # as deploy/balancer.toml names it
ALTERED = (sys.executable, "-OO", "-m", "testbed.launch")
PR_SET_PDEATHSIG = 1
LOG_TAIL = 400  # bytes of a log that a crash is told with
TICKS = os.sysconf("SC_CLK_TCK")


def die_with_lab() -> None:
    """In the child, before the program: the kernel ends it when the lab ends, however that happens."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """One gateway over all its lives: its address, its files, its process.

    `config` gives the configuration of the next life. Whoever ends a life says so first, so that an end that
    nobody asked for is told as a crash.
    """

    def __init__(self, name: str, index: int, zone: str, folder: Path, net: Net, records: Records) -> None:
        self.name, self.index, self.zone, self.records = name, index, zone, records
        self.host = net.gateway(index)
        self.listen, self.operator = (self.host, LISTEN), (self.host, OPERATOR)
        self.line = (self.host, LINE)
        self.agent_at = self.counter_at = self.line_at = self.listen  # until their links are there
        self.folder = folder / "gateways" / name
        self.tmp, self.state = self.folder / "tmp", self.folder / "state"
        self.audit = self.folder / "audit"
        self.copies = self.folder / "copies"
        self.config: Callable[[], dict[str, Any]] = dict
        self.alterations: list[str] = []
        self.clock_s = 0.0
        self.has_faulty_machine = False  # what is wrong with it is told by the control file
        self.machine_faults: dict[int, MachineFaults] = {}  # by the number of the scenario's fault
        self.seed = 0
        self.process: asyncio.subprocess.Process | None = None
        self.life = 0
        self.expected = False  # the end of this life
        self.stopped = False
        self.awaited = False  # this life has yet to say that it is ready
        self.held: socket.socket | None = None  # the platform's listening socket, where it is upgraded
        self.older: asyncio.subprocess.Process | None = None  # that hands over to the newest, in an upgrade
        self.forgiven: set[int] = set()  # earlier lives whose end is asked for
        self.watching: set[asyncio.Task[None]] = set()
        self.changed: dict[str, Any] = {}  # top-level keys of the configuration, by faults
        self.removed: set[str] = set()

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def prepare(self) -> None:
        for folder in (self.tmp, self.state, self.copies):
            folder.mkdir(parents=True, exist_ok=True)

    def write_config(self, text: str | None = None) -> None:
        given = {k: v for k, v in (self.config() | self.changed).items() if k not in self.removed}
        whole = self.folder / "config.json.new"
        whole.write_text(json.dumps(given) if text is None else text)
        whole.rename(self.folder / "config.json")

    def write_machine_faults(self) -> None:
        """Put in force what is wrong with the machine now, for the processes that run and those to come."""
        now = list(self.machine_faults.values())
        MachineFaults(
            self.seed,
            [call for faults in now for call in faults.calls],
            self.state,
            self.clock_s,
            max((faults.short_chance for faults in now), default=0.0),
            self.folder / "failed-calls",
        ).write(self.folder / "machine-faults")

    async def start(self) -> None:
        """Start the next life; raises OSError if no process can be had."""
        self.life += 1
        self.expected = self.stopped = False
        self.process = await self._spawn()

    async def upgrade(self) -> None:
        """Start the next life beside the one that runs, which hands over to it and ends."""
        self.forgiven.add(self.life)
        self.older, self.life = self.process, self.life + 1
        self.operator = self.host, (NEXT if self.operator[1] == OPERATOR else OPERATOR)
        self.process = await self._spawn()

    async def undo(self) -> None:
        """End the newest process of an upgrade: the older one, if it still runs, goes on."""
        newest, older = self.process, self.older
        if newest is None or older is None or older.returncode is not None:
            return
        self.forgiven.add(self.life)
        self.records.add("life", g=self.name, life=self.life, what="undone")
        newest.send_signal(signal.SIGKILL)
        await newest.wait()
        self.process, self.older = older, None
        self.forgiven.discard(self.life - 1)
        self.operator = self.host, (NEXT if self.operator[1] == OPERATOR else OPERATOR)

    async def _spawn(self) -> asyncio.subprocess.Process:
        self.write_config()
        given = {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_NAME": self.name,
            "TMPDIR": str(self.tmp),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        if self.held is not None:
            given["LB_INHERITED_FD"] = str(self.held.fileno())
            given["LB_OPERATOR"] = "{}:{}".format(*self.operator)
        command: tuple[str, ...] = RUN
        if self.has_faulty_machine:
            self.write_machine_faults()
            given |= environment(self.folder / "machine-faults")
        if self.alterations:
            command = (*ALTERED, *self.alterations)
        kept = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        with (self.folder / f"life-{self.life}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=kept | given,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # an interrupt at the terminal is the lab's own
                preexec_fn=die_with_lab,
                pass_fds=[self.held.fileno()] if self.held is not None else [],
            )
        what = "beside" if self.older is not None and self.older.returncode is None else "start"
        self.records.add("life", g=self.name, life=self.life, what=what, pid=process.pid)
        task = asyncio.get_running_loop().create_task(self.watch(process, self.life))
        self.watching.add(task)
        task.add_done_callback(self.watching.discard)
        return process

    async def watch(self, process: asyncio.subprocess.Process, life: int) -> None:
        code = await process.wait()
        expected = self.expected or life in self.forgiven
        tail = ""
        if not expected:
            tail = (self.folder / f"life-{life}.log").read_bytes()[-LOG_TAIL:].decode("utf-8", "replace")
        # One that has handed over, or that another still stands beside, leaves its gateway up.
        what = "handed" if life in self.forgiven and code in (0, -signal.SIGKILL) else "exit"
        self.records.add("life", g=self.name, life=life, what=what, code=code, expected=expected, log=tail)

    def signal(self, number: signal.Signals, what: str) -> None:
        """Tell the records, and then the process, if it runs; in an upgrade both."""
        if self.runs:
            self.records.add("life", g=self.name, life=self.life, what=what)
        for process in (self.process, self.older):
            if process is not None and process.returncode is None:
                process.send_signal(number)

    async def kill(self, what: str = "kill") -> None:
        self.expected = True
        self.signal(signal.SIGKILL, what)
        await self.gone()

    async def term(self, patience_s: float) -> None:
        """SIGTERM, and SIGKILL to one that ignores it for so long."""
        self.expected = True
        self.signal(signal.SIGTERM, "term")
        try:
            async with asyncio.timeout(patience_s):
                await self.gone()
        except TimeoutError:
            await self.kill("forced")

    async def gone(self) -> None:
        if self.watching:
            await asyncio.wait(list(self.watching))

    def stop(self, on: bool) -> None:
        self.stopped = on
        self.signal(signal.SIGSTOP if on else signal.SIGCONT, "stop" if on else "cont")

    def hup(
        self, change: dict[str, Any], remove: Iterable[str], restore: Iterable[str], text: str | None
    ) -> None:
        self.changed = {k: v for k, v in self.changed.items() if k not in set(restore)} | change
        self.removed = (self.removed - set(restore)) | set(remove)
        self.write_config(text)
        self.signal(signal.SIGHUP, "hup")

    # ---- power ----

    def copy_state(self, name: str) -> None:
        """Keep a copy of the state folder as it is now, for a disk that is put back later."""
        into = self.copies / name
        shutil.rmtree(into, ignore_errors=True)
        shutil.copytree(self.state, into, ignore_dangling_symlinks=True)

    def power_off(self, disk: str, copy: str, cut_bytes: int) -> None:
        """What is left of the machine's files once its power is gone; the process must have ended."""
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.tmp.mkdir(parents=True)
        if disk in ("lost", "old"):
            shutil.rmtree(self.state, ignore_errors=True)
            self.state.mkdir()
        if disk == "old":
            shutil.copytree(self.copies / copy, self.state, dirs_exist_ok=True)
        if disk == "cut":
            cut_end(self.state, cut_bytes)
        self.records.add("disk", g=self.name, how=disk)

    # ---- what it costs ----

    def cost(self) -> tuple[float, int] | None:
        """CPU seconds and resident kilobytes of the life that runs."""
        if self.process is None or not self.runs:
            return None
        try:
            words = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return None
        return (int(words[11]) + int(words[12])) / TICKS, int(words[21]) * os.sysconf("SC_PAGESIZE") // 1024


def cut_end(folder: Path, number: int) -> None:
    """Cut so many bytes off the file that was written last, as a disk does that loses its last writes."""
    files = sorted((f for f in folder.rglob("*") if f.is_file()), key=lambda f: f.stat().st_mtime_ns)
    whole = [f for f in files if f.stat().st_size > 0]
    if whole:
        os.truncate(whole[-1], max(0, whole[-1].stat().st_size - number))
