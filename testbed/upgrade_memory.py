"""An upgrade of one gateway under clients that read slowly, with the memory of all its processes watched.

The gateway's processes are real ones and share a listening socket. Backends, discovery, the counter and the
clients are stand-ins on the event loop of the caller. `tests/upgrade/test_upgrade_memory.py` uses it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections import Counter as Counts
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import hiredis

from switchline.units import KIBIBYTE
from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Reply, encode
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, request

ROOT = Path(__file__).resolve().parents[1]
PYTHON = ".venv/bin/python"  # of the command in deploy/balancer.toml
MODULES = "pycache_prefix=.venv/modules"  # likewise
BACKENDS = 8
WORK_S = 0.02
# Segments of an Ethernet frame, and little that the system takes ahead of its client, as over a network.
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 8192
READ_BYTES = 4096
RECONNECT_DELAY_S = 0.05
MEMORY_INTERVAL_S = 0.02
READY_INTERVAL_S = 0.05
READY_TIMEOUT_S = 15.0
KILL_AFTER_S = 3.7  # SIGKILL after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
RETRY_DEFAULT_S = 0.2


def run_command(root: Path, modules: Path | None = None) -> list[str]:
    """Return the platform's command `run` of a checkout, for this interpreter in place of the checkout's.

    Args:
        root: The checkout.
        modules: The folder of its compiled modules, in place of the one that the build makes.
    """
    command = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
    replaced = {PYTHON: sys.executable}
    if modules is not None:
        replaced[MODULES] = f"pycache_prefix={modules}"
    return [replaced.get(word, word) for word in shlex.split(command.removeprefix("exec "))]


def compile_modules(root: Path, modules: Path) -> None:
    """Compile a checkout's modules into a folder, as the build of `deploy/balancer.toml` does."""
    script = root / "deploy" / "compile_modules.py"
    subprocess.run([sys.executable, os.fspath(script), os.fspath(modules)], check=True)


def anonymous_kib(pid: int) -> int:
    """Return the anonymous memory of a process in KiB; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return sum(int(line.split()[1]) for line in lines if line.startswith("RssAnon:"))


@dataclass(frozen=True)
class Limits:
    """Limits of a configuration."""

    memory_mb: int = 32
    sockets: int = 256


@dataclass(frozen=True)
class Load:
    """What clients send and how they read.

    Attributes:
        clients: Of the first group, which is there before the upgrade.
        later_clients: Of the second group, which comes a second after its begin.
        commands: That a client sends at once.
        value_bytes: Length of each answer.
        body_bytes: Length of each request's value; 0 for requests without one.
        bytes_per_s: Speed at which a client reads, and likewise sends.
        wait_ms: Deadline of each request; a client leaves after it and connects again.
        read_pause_s: Time in which a client reads nothing after it has sent its commands.
    """

    clients: int = 42
    later_clients: int = 42
    commands: int = 16
    value_bytes: int = 60_000
    body_bytes: int = 0
    bytes_per_s: int = 40_000
    wait_ms: int = 8_000
    read_pause_s: float = 0.0


@dataclass
class Outcome:
    """What a play has shown.

    Attributes:
        peak_mb: Most anonymous memory of all processes together, in MiB.
        peak_by_process_mb: Of each process at that time, in MiB, by process id.
        single_peak_mb: Most anonymous memory while there was one process, in MiB.
        read_bytes: That clients have received.
        served: Answers with a value.
        rejected: Answers with a time after which to retry.
        failed: Answers that leave open whether the request ran.
        cut: Answers that ended with their connection, before the client had all of them.
        closed_unanswered: Connections on which the gateway answered none of the commands it was sent.
        ready_after_s: Of each further process, from its start until it was ready.
        exit_codes: Of each process that has ended by itself or by a signal.
    """

    peak_mb: float = 0.0
    peak_by_process_mb: dict[int, float] = field(default_factory=dict)
    single_peak_mb: float = 0.0
    read_bytes: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    cut: int = 0
    closed_unanswered: int = 0
    wrong: Counts[str] = field(default_factory=Counts)
    ready_after_s: list[float] = field(default_factory=list)
    exit_codes: list[int | None] = field(default_factory=list)


class SlowClient:
    """Sends some commands at once and reads the answers slowly, again and again, on a new connection each.

    Args:
        port: Of the gateway.
        number: Of the client, which is its customer.
        load: What it sends and how it reads.
        outcome: What it adds its figures to.
    """

    def __init__(self, port: int, number: int, load: Load, outcome: Outcome) -> None:
        self.port = port
        self.number = number
        self.load = load
        self.outcome = outcome
        self.requests = 0

    async def run(self) -> None:
        """Connect, send and read until the task is cancelled."""
        while True:
            await self._connect_once()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _connect_once(self) -> None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        client.setblocking(False)
        answers = _Answers(self.outcome, self.load)
        sending: asyncio.Task[None] | None = None
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, (LOCAL, self.port))
            sending = loop.create_task(self._send_all(client))
            async with asyncio.timeout(self.load.wait_ms / 1000):
                await asyncio.sleep(self.load.read_pause_s)
                await self._read(client, answers)
        except (OSError, TimeoutError) as error:  # TimeoutError is an OSError
            answers.ended(by_gateway=not isinstance(error, TimeoutError))
        finally:
            if sending is not None:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
            client.close()

    async def _send_all(self, client: socket.socket) -> None:
        begun_s, sent = time.monotonic(), 0
        for _ in range(self.load.commands):
            data = memoryview(self._command())
            while data:
                piece = data[: READ_BYTES if self.load.body_bytes else len(data)]
                await asyncio.get_running_loop().sock_sendall(client, piece)
                data, sent = data[len(piece) :], sent + len(piece)
                if self.load.body_bytes:
                    await asyncio.sleep(max(0.0, begun_s + sent / self.load.bytes_per_s - time.monotonic()))

    def _command(self) -> bytes:
        self.requests += 1
        id = b"%06x%010x" % (self.number, self.requests)
        name, body = (b"wipe", b"b" * self.load.body_bytes) if self.load.body_bytes else (b"view", None)
        words = list(request(id, name=name, wait=self.load.wait_ms, body=body))
        words[1] = b"%016x" % self.number
        return encode(*words)

    async def _read(self, client: socket.socket, answers: _Answers) -> None:
        begun_s = time.monotonic()
        received = 0
        loop = asyncio.get_running_loop()
        while not answers.complete:
            data = await loop.sock_recv(client, READ_BYTES)
            if not data:
                answers.ended(by_gateway=True)
                return
            received += len(data)
            answers.feed(data)
            await asyncio.sleep(max(0.0, begun_s + received / self.load.bytes_per_s - time.monotonic()))
        await asyncio.sleep(answers.retry_after_s)


class _Answers:
    """The answers on one connection."""

    def __init__(self, outcome: Outcome, load: Load) -> None:
        self.outcome = outcome
        self.load = load
        self.parser = hiredis.Reader(notEnoughData=Ellipsis)
        self.received = 0
        self.parsed_bytes = 0
        self.whole = 0
        self.retry_after_s = 0.0

    @property
    def complete(self) -> bool:
        return self.whole >= self.load.commands

    def feed(self, data: bytes) -> None:
        self.outcome.read_bytes += len(data)
        self.received += len(data)
        self.parser.feed(data)
        while (answer := self.parser.gets()) is not Ellipsis:
            self.whole += 1
            self._count(answer)

    def _count(self, answer: Any) -> None:
        text = str(answer)[:40]
        if isinstance(answer, bytes):
            self.outcome.served += 1
            self.parsed_bytes += len(b"$%d\r\n\r\n" % len(answer)) + len(answer)
            if len(answer) != self.load.value_bytes:
                self.outcome.wrong[f"{len(answer)} bytes"] += 1
            return
        self.parsed_bytes += len(str(answer)) + len("-\r\n")
        if text.startswith("BUSY"):
            self.outcome.rejected += 1
            _, _, wait_ms = text.partition(" ")
            self.retry_after_s = int(wait_ms) / 1000 if wait_ms else RETRY_DEFAULT_S
        elif text == "ERR failed":
            self.outcome.failed += 1
        else:
            self.outcome.wrong[text] += 1

    def ended(self, by_gateway: bool) -> None:
        """Count what the end of the connection has left incomplete, if the gateway has ended it."""
        if not by_gateway or self.complete:
            return
        if self.received > self.parsed_bytes:
            self.outcome.cut += 1
        elif not self.whole:
            self.outcome.closed_unanswered += 1


class Platform:
    """Starts and ends the processes of one gateway, and watches their memory.

    Args:
        world: The surroundings of the gateway.
        folder: The gateway's own folder, `$TMPDIR`.
        modules: The folder of its compiled modules.
        optional: Further tables of the configuration: `state`, `fleet`, `audit`.
    """

    def __init__(self, world: World, folder: Path, modules: Path, optional: dict[str, Any]) -> None:
        self.world = world
        self.folder = folder
        self.modules = modules
        self.listener = socket.create_server((LOCAL, 0), backlog=200)
        self.port: int = self.listener.getsockname()[1]
        self.config = folder / "config.json"
        self.config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{self.port}"} | optional))
        self.processes: list[asyncio.subprocess.Process] = []
        self.outcome = Outcome()
        self.samples: list[tuple[float, dict[int, int]]] = []  # when, and KiB by process id
        self.log = (folder / "log").open("ab")

    async def spawn(self, root: Path = ROOT) -> asyncio.subprocess.Process:
        """Start a process with a new address for operators; return without waiting for it."""
        self.world.operator = claimed_port()
        environment = {
            "LB_CONFIG": os.fspath(self.config),
            "LB_OPERATOR": f"{LOCAL}:{self.world.operator}",
            "LB_INHERITED_FD": str(self.listener.fileno()),
            "TMPDIR": os.fspath(self.folder),
        }
        process = await asyncio.create_subprocess_exec(
            *run_command(root, self.modules if root == ROOT else None),
            cwd=root,
            env={**os.environ, **environment},
            pass_fds=[self.listener.fileno()],
            stderr=self.log,
        )
        self.processes.append(process)
        return process

    async def start(self, root: Path = ROOT) -> asyncio.subprocess.Process:
        """Start a process and wait until it is ready; the time is noted if it is not the first."""
        begun_s = time.monotonic()
        is_first = not self.processes
        process = await self.spawn(root)
        await self.wait_ready(process)
        if not is_first:
            self.outcome.ready_after_s.append(time.monotonic() - begun_s)
        return process

    async def wait_ready(self, process: asyncio.subprocess.Process) -> None:
        """Wait until the process that was started last takes clients, or has ended."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while process.returncode is None and not await self._is_ready():
                await asyncio.sleep(READY_INTERVAL_S)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOCAL, self.world.operator)
        except OSError:
            return False
        writer.write(b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def end(self, process: asyncio.subprocess.Process) -> None:
        """End a process as the platform does: SIGTERM, and SIGKILL once its longest deadline is over."""
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), KILL_AFTER_S)
        kill(process)
        self.outcome.exit_codes.append(await process.wait())

    async def watch(self) -> None:
        """Note the memory of all processes together until the task is cancelled."""
        while True:
            sizes = {process.pid: anonymous_kib(process.pid) for process in self.processes}
            sizes = {pid: size for pid, size in sizes.items() if size}
            self.samples.append((time.monotonic(), sizes))
            total_mb = sum(sizes.values()) / KIBIBYTE
            if len(sizes) == 1:
                self.outcome.single_peak_mb = max(self.outcome.single_peak_mb, total_mb)
            if total_mb > self.outcome.peak_mb:
                self.outcome.peak_mb = total_mb
                self.outcome.peak_by_process_mb = {pid: kib / KIBIBYTE for pid, kib in sizes.items()}
            await asyncio.sleep(MEMORY_INTERVAL_S)

    async def close(self) -> None:
        """Kill what still runs."""
        for process in self.processes:
            kill(process)
            await process.wait()
        self.listener.close()
        self.log.close()


def kill(process: asyncio.subprocess.Process) -> None:
    """Kill a process, unless it has ended."""
    with contextlib.suppress(ProcessLookupError):
        if process.returncode is None:
            process.kill()


def value_script(value_bytes: int) -> Callable[[list[bytes]], Any]:
    """Return a backend's script that serves each request in `WORK_S` with a value of a length."""
    reply = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (value_bytes, b"." * value_bytes)

    async def script(command: list[bytes]) -> Reply:
        await asyncio.sleep(WORK_S)
        return reply

    return script


@asynccontextmanager
async def platform(
    folder: Path, modules: Path, load: Load, limits: Limits, optional: dict[str, Any] | None = None
) -> AsyncIterator[Platform]:
    """Open the stand-ins and watch the memory of the processes that are started in the block.

    Args:
        folder: The gateway's own folder.
        modules: The folder of its compiled modules.
        load: Of the clients, which says how long the answers are.
        limits: Of the gateway.
        optional: Further tables of the configuration: `state`, `fleet`, `audit`.
    """
    world = World(
        *[Backend(value_script(load.value_bytes)) for _ in range(BACKENDS)],
        memory_mb=limits.memory_mb,
        sockets=limits.sockets,
    )
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    stage = Platform(world, folder, modules, optional or {})
    watching = asyncio.create_task(stage.watch())
    try:
        yield stage
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        await stage.close()
        for server in servers:
            await server.stop()


@asynccontextmanager
async def clients(stage: Platform, load: Load, first: int, count: int) -> AsyncIterator[None]:
    """Run some clients in the block; their numbers begin with `first`."""
    tasks = [
        asyncio.create_task(SlowClient(stage.port, number, load, stage.outcome).run())
        for number in range(first, first + count)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
