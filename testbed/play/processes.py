"""Gateway processes: their files, how they start and end, and the state of their files after a power loss."""

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

PROJECT_ROOT = Path(__file__).resolve().parents[2]
# As in deploy/balancer.toml.
GATEWAY_COMMAND = (sys.executable, "-OO", "-m", "switchline")
ALTERED_GATEWAY_COMMAND = (sys.executable, "-OO", "-m", "testbed.launch")
PR_SET_PDEATHSIG = 1
# End of the log that is recorded with a crash.
LOG_TAIL_BYTES = 400
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def die_with_test_bed() -> None:
    """Run in the child before the program: the kernel kills it when the test bed ends for any reason."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """One gateway through all its processes: its addresses, its files, its current process.

    A life is one process of the gateway; lives are numbered from 1. `config` returns the configuration of the
    next life. Code that ends a process sets `end_expected` first: any other end is recorded as a crash.
    """

    def __init__(self, name: str, index: int, zone: str, folder: Path, net: Net, records: Records) -> None:
        self.name, self.index, self.zone, self.records = name, index, zone, records
        self.host = net.gateway(index)
        self.listen, self.operator = (self.host, LISTEN), (self.host, OPERATOR)
        self.fleet_listen = (self.host, LINE)
        # Replaced when the links to these addresses exist.
        self.agent_address = self.counter_address = self.fleet_advertise = self.listen
        self.folder = folder / "gateways" / name
        self.tmp_folder, self.state_folder = self.folder / "tmp", self.folder / "state"
        self.audit_folder = self.folder / "audit"
        self.state_copies = self.folder / "copies"
        self.config: Callable[[], dict[str, Any]] = dict
        self.alterations: list[str] = []
        # Seconds by which the wall clock of the gateway is ahead.
        self.clock_offset_s = 0.0
        # Its system calls or clock can be made faulty; the control file says how.
        self.has_faulty_machine = False
        # By number of the scenario's fault.
        self.machine_faults: dict[int, MachineFaults] = {}
        self.seed = 0
        self.process: asyncio.subprocess.Process | None = None
        self.life = 0
        # The test bed has ended the current process itself.
        self.end_expected = False
        self.stopped = False
        # The current process is not ready yet.
        self.awaits_ready = False
        # The listening socket that its processes inherit, if the gateway is upgraded in the play.
        self.listening_socket: socket.socket | None = None
        # In an upgrade: the process that hands over to the newest.
        self.previous_process: asyncio.subprocess.Process | None = None
        # Lives that end by an upgrade or its undoing.
        self.lives_to_end: set[int] = set()
        self.watch_tasks: set[asyncio.Task[None]] = set()
        # Top-level keys of the configuration that faults have changed or removed.
        self.changed_keys: dict[str, Any] = {}
        self.removed_keys: set[str] = set()

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def prepare(self) -> None:
        for folder in (self.tmp_folder, self.state_folder, self.state_copies):
            folder.mkdir(parents=True, exist_ok=True)

    def write_config(self, text: str | None = None) -> None:
        """Replace the configuration file as a whole; `text`, if given, is its content."""
        config = {k: v for k, v in (self.config() | self.changed_keys).items() if k not in self.removed_keys}
        new_file = self.folder / "config.json.new"
        new_file.write_text(json.dumps(config) if text is None else text)
        new_file.rename(self.folder / "config.json")

    def write_machine_faults(self) -> None:
        """Write the control file with the current faults, for the running processes and later ones."""
        active_faults = list(self.machine_faults.values())
        MachineFaults(
            self.seed,
            [call for faults in active_faults for call in faults.calls],
            self.state_folder,
            self.clock_offset_s,
            max((faults.short_chance for faults in active_faults), default=0.0),
            self.folder / "failed-calls",
        ).write(self.folder / "machine-faults")

    async def start(self) -> None:
        """Start the next life; raises OSError if no process can be created."""
        self.life += 1
        self.end_expected = self.stopped = False
        self.process = await self._spawn()

    async def upgrade(self) -> None:
        """Start the next life beside the running process, which hands over to it and exits."""
        self.lives_to_end.add(self.life)
        self.previous_process, self.life = self.process, self.life + 1
        self.operator = self.host, (NEXT if self.operator[1] == OPERATOR else OPERATOR)
        self.process = await self._spawn()

    async def undo_upgrade(self) -> None:
        """Kill the newest process of an upgrade, if the previous one still runs; that one continues."""
        newest, previous = self.process, self.previous_process
        if newest is None or previous is None or previous.returncode is not None:
            return
        self.lives_to_end.add(self.life)
        self.records.add("life", g=self.name, life=self.life, what="undone")
        newest.send_signal(signal.SIGKILL)
        await newest.wait()
        self.process, self.previous_process = previous, None
        self.lives_to_end.discard(self.life - 1)
        self.operator = self.host, (NEXT if self.operator[1] == OPERATOR else OPERATOR)

    async def _spawn(self) -> asyncio.subprocess.Process:
        """Start a process. Records `beside` if the previous one still runs (an upgrade), else `start`."""
        self.write_config()
        variables = {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_NAME": self.name,
            "TMPDIR": str(self.tmp_folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        if self.listening_socket is not None:
            variables["LB_INHERITED_FD"] = str(self.listening_socket.fileno())
            variables["LB_OPERATOR"] = "{}:{}".format(*self.operator)
        command: tuple[str, ...] = GATEWAY_COMMAND
        if self.has_faulty_machine:
            self.write_machine_faults()
            variables |= environment(self.folder / "machine-faults")
        if self.alterations:
            command = (*ALTERED_GATEWAY_COMMAND, *self.alterations)
        inherited = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        with (self.folder / f"life-{self.life}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=PROJECT_ROOT,
                env=inherited | variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # an interrupt at the terminal reaches the test bed only
                preexec_fn=die_with_test_bed,
                pass_fds=[self.listening_socket.fileno()] if self.listening_socket is not None else [],
            )
        what = (
            "beside"
            if self.previous_process is not None and self.previous_process.returncode is None
            else "start"
        )
        self.records.add("life", g=self.name, life=self.life, what=what, pid=process.pid)
        task = asyncio.get_running_loop().create_task(self.watch(process, self.life))
        self.watch_tasks.add(task)
        task.add_done_callback(self.watch_tasks.discard)
        return process

    async def watch(self, process: asyncio.subprocess.Process, life: int) -> None:
        """Wait for the end of a process and record it."""
        code = await process.wait()
        expected = self.end_expected or life in self.lives_to_end
        tail = ""
        if not expected:
            tail = (
                (self.folder / f"life-{life}.log").read_bytes()[-LOG_TAIL_BYTES:].decode("utf-8", "replace")
            )
        # A process that has handed over, or that ran beside another, leaves its gateway running.
        what = "handed" if life in self.lives_to_end and code in (0, -signal.SIGKILL) else "exit"
        self.records.add("life", g=self.name, life=life, what=what, code=code, expected=expected, log=tail)

    def signal(self, number: signal.Signals, what: str) -> None:
        """Record `what` and send a signal to the running process; in an upgrade, to both processes."""
        if self.runs:
            self.records.add("life", g=self.name, life=self.life, what=what)
        for process in (self.process, self.previous_process):
            if process is not None and process.returncode is None:
                process.send_signal(number)

    async def kill(self, what: str = "kill") -> None:
        """Kill the gateway and wait for its end; `what` is the kind of the recorded `life` event."""
        self.end_expected = True
        self.signal(signal.SIGKILL, what)
        await self.wait_ended()

    async def term(self, timeout_s: float) -> None:
        """Send SIGTERM, and SIGKILL if the gateway has not exited after `timeout_s`."""
        self.end_expected = True
        self.signal(signal.SIGTERM, "term")
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait_ended()
        except TimeoutError:
            await self.kill("forced")

    async def wait_ended(self) -> None:
        """Wait until all processes of the gateway have ended."""
        if self.watch_tasks:
            await asyncio.wait(list(self.watch_tasks))

    def set_stopped(self, on: bool) -> None:
        """Send SIGSTOP if `on`, else SIGCONT."""
        self.stopped = on
        self.signal(signal.SIGSTOP if on else signal.SIGCONT, "stop" if on else "cont")

    def reconfigure(
        self, change: dict[str, Any], remove: Iterable[str], restore: Iterable[str], text: str | None
    ) -> None:
        """Change top-level keys of the configuration file, or write `text` instead, and send SIGHUP."""
        self.changed_keys = {k: v for k, v in self.changed_keys.items() if k not in set(restore)} | change
        self.removed_keys = (self.removed_keys - set(restore)) | set(remove)
        self.write_config(text)
        self.signal(signal.SIGHUP, "hup")

    # ---- power ----

    def copy_state(self, name: str) -> None:
        """Copy the state folder as it is now; `power_off` can restore the copy."""
        copy_folder = self.state_copies / name
        shutil.rmtree(copy_folder, ignore_errors=True)
        shutil.copytree(self.state_folder, copy_folder, ignore_dangling_symlinks=True)

    def power_off(self, disk: str, copy: str, cut_bytes: int) -> None:
        """Change the gateway's files as a power loss does; its process must have ended.

        `disk`: kept, lost (empty), old (restored from `copy`), or cut (`cut_bytes` are missing at the end of
        the file that was written last).
        """
        shutil.rmtree(self.tmp_folder, ignore_errors=True)
        self.tmp_folder.mkdir(parents=True)
        if disk in ("lost", "old"):
            shutil.rmtree(self.state_folder, ignore_errors=True)
            self.state_folder.mkdir()
        if disk == "old":
            shutil.copytree(self.state_copies / copy, self.state_folder, dirs_exist_ok=True)
        if disk == "cut":
            truncate_last_written_file(self.state_folder, cut_bytes)
        self.records.add("disk", g=self.name, how=disk)

    # ---- resource usage ----

    def resource_usage(self) -> tuple[float, int] | None:
        """CPU seconds and resident kilobytes of the running process; None if there is none."""
        if self.process is None or not self.runs:
            return None
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return None
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(fields[21]) * os.sysconf(
            "SC_PAGESIZE"
        ) // 1024


def truncate_last_written_file(folder: Path, cut_bytes: int) -> None:
    """Cut bytes off the end of the file that was written last, like a disk that loses its last writes."""
    files = sorted((f for f in folder.rglob("*") if f.is_file()), key=lambda f: f.stat().st_mtime_ns)
    not_empty = [f for f in files if f.stat().st_size > 0]
    if not_empty:
        os.truncate(not_empty[-1], max(0, not_empty[-1].stat().st_size - cut_bytes))
