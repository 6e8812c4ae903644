"""A small deployment for one case: gateways as separate processes, all other parties as stand-ins here.

The gateways are started with the command `run` of `deploy/balancer.toml`. Backends, discovery agents, the
counter and clients are stand-ins on loopback addresses, in this process, on one event loop. What was sent,
answered and run goes to `record.txt` in the folder of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import dataclasses
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
# Exit codes of a play. `play.sh` turns them into those of a case, as Python itself ends with 1 on an error.
HELD = 0
BROKEN = 10
NOT_RUN = 2
MAX_RUN_S = 115.0
HEARTBEAT_S = 2.0
INHERITED_FD = 5  # of a listening socket that the platform holds


class NotRunError(Exception):
    """The case could not be run."""


def end_with_parent() -> None:
    """Ask the system to kill this process once the play has ended, however it ends."""
    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL))


def free_port() -> int:
    """Return a port on 127.0.0.1 that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes lines with the time since the start to `record.txt` of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def add(self, who: str, what: str) -> float:
        """Write one line; return its time."""
        at = self.now()
        self.file.write(f"{at:9.4f} {who:10} {what}\n")
        return at

    def verdict(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.add("judge", text)
        self.file.flush()
        print(text, flush=True)


async def read_value(reader: asyncio.StreamReader) -> Any:
    """Read one RESP2 value: bytes for a string, list for an array, str for a simple string or an error."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, text = line[:1], line[1:]
    if kind == b"*":
        return [await read_value(reader) for _ in range(int(text))] if int(text) >= 0 else None
    if kind == b"$":
        if int(text) < 0:
            return None
        data = await reader.readexactly(int(text) + 2)
        return data[:-2]
    return line.decode()


def encode_command(*words: bytes | str) -> bytes:
    """Encode a command as an array of bulk strings."""
    encoded = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in encoded)


def attributes_of(text: bytes) -> dict[str, str]:
    """Return the names and values of a request's list."""
    return dict(item.split("=", 1) for item in text.decode().split(","))  # type: ignore[misc]


class Call:
    """One command of a gateway at a backend."""

    def __init__(self, backend: Backend, words: list[bytes], at: float) -> None:
        self.backend = backend
        self.verb = words[0].decode()
        self.customer = words[1].decode() if len(words) > 1 else ""
        self.id = words[2].decode() if len(words) > 2 else ""
        self.attributes = attributes_of(words[3]) if len(words) > 3 else {}
        self.value = words[4] if len(words) > 4 else b""
        self.at = at


def reply_of(value: bytes) -> bytes:
    """Encode the answer of a backend that has served a request."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def serve_quickly(call: Call) -> bytes:
    """Serve a request in 20 ms with a value that names the request."""
    await asyncio.sleep(0.02)
    return reply_of(b"value of " + call.id.encode())


class Backend:
    """A stand-in for a backend: it begins commands of a connection at once and answers them in order."""

    def __init__(
        self,
        record: Record,
        name: str,
        work: Callable[[Call], Awaitable[bytes | None]] = serve_quickly,
        cell: int = 0,
        write_calls: bool = True,
    ) -> None:
        self.record = record
        self.name = name
        self.work = work
        self.cell = cell
        self.write_calls = write_calls
        self.calls: list[Call] = []
        self.port = 0
        self.health = "up"
        self.born_ms = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=8 * 1024 * 1024, backlog=200)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[asyncio.Task[bytes | None]] = asyncio.Queue()
        answering = asyncio.create_task(self._answer(queue, writer))
        try:
            while True:
                words = await read_value(reader)
                await queue.put(asyncio.create_task(self._run(words)))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            answering.cancel()
            writer.close()

    async def _run(self, words: list[bytes]) -> bytes | None:
        verb = words[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb not in (b"API.READ", b"API.WRITE"):
            return b"+OK\r\n" if verb in (b"CLIENT", b"SELECT") else b"-ERR unknown\r\n"
        call = Call(self, words, self.record.now())
        self.calls.append(call)
        if self.write_calls:
            self.record.add(self.name, f"got {call.verb} {call.id} of {call.customer} {call.attributes}")
        return await self.work(call)

    async def _answer(
        self, queue: asyncio.Queue[asyncio.Task[bytes | None]], writer: asyncio.StreamWriter
    ) -> None:
        while True:
            reply = await (await queue.get())
            if reply is None:  # never answered
                await asyncio.Event().wait()
            writer.write(reply)  # type: ignore[arg-type]
            with contextlib.suppress(ConnectionError):
                await writer.drain()

    def entry(self) -> dict[str, Any]:
        """Return this backend in the form of discovery."""
        return {
            "host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "vasteras-1", "class": "full",
            "block": self.cell, "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        }  # fmt: skip


class Agent:
    """A stand-in for discovery: the whole list, and watches that tell changes."""

    def __init__(self, record: Record, hosts: list[dict[str, Any]]) -> None:
        self.record = record
        self.hosts = {host["host"]: host for host in hosts}
        self.seq = 41
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.port = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def list(self) -> dict[str, Any]:
        """Return the whole list."""
        hosts = [host for host in self.hosts.values() if host["health"] != "removed"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def tell(self, *hosts: dict[str, Any]) -> None:
        """Change entries of the list, as one version."""
        async with self.changed:
            self.seq += 1
            for host in hosts:
                self.hosts[host["host"]] = host
                self.changed_at[host["host"]] = self.seq
                self.record.add("agent", f"version {self.seq}: {host['host']} {host['health']}")
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            if "stream=1" in target:
                await self._watch(writer, int(target.rsplit("index=", 1)[1]))
            else:
                body = json.dumps(self.list()).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, told: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            line = b"\n"
            if told < self.seq:
                hosts = [self.hosts[name] for name, seq in self.changed_at.items() if seq > told]
                line = json.dumps({"seq": self.seq, "whole": False, "hosts": hosts}).encode() + b"\n"
                told = self.seq
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            async with self.changed:
                if told >= self.seq:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), HEARTBEAT_S)


class Counter:
    """A stand-in for the counter: numbers by name, each forgotten when its life is over."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.numbers: dict[bytes, tuple[float, float]] = {}  # total, and when it is forgotten
        self.silent = False
        self.port = 0
        self.calls = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.split()
                if words == [b"ping"]:
                    writer.write(b"pong\r\n")
                    continue
                if self.silent:
                    continue
                self.calls += 1
                _, name, amount, life_ms = words
                now = time.monotonic()
                total, ends = self.numbers.get(name, (0.0, 0.0))
                if now >= ends:
                    total, ends = 0.0, now + min(60_000.0, max(1.0, float(life_ms))) / 1000
                self.numbers[name] = (total + float(amount), ends)
                await asyncio.sleep(0.001)
                writer.write(b"ok %.7g\r\n" % (total + float(amount)))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


CLASSES = [
    {"name": "kalkyl", "aim": 2000.0, "deadline": 8000.0, "effect": "pure", "group": "all",
     "importance": 3.0, "lateWorth": 0.2, "repeatWindow": 5000.0, "stream": False},
    {"name": "spara", "aim": 2000.0, "deadline": 8000.0, "effect": "token", "group": "cell",
     "importance": 3.0, "lateWorth": 0.0, "repeatWindow": 5000.0, "stream": False},
    {"name": "lanelofte", "aim": 3000.0, "deadline": 8000.0, "effect": "side_effect", "group": "all",
     "importance": 9.0, "lateWorth": 0.0, "repeatWindow": 5000.0, "stream": False},
]  # fmt: skip


def plan(name: str, rate: float, burst: float, **others: float) -> dict[str, Any]:
    """Return a plan of the settings."""
    base = {
        "name": name, "rate": rate, "mostAtOnce": burst, "beyondEarns": 0.0, "overrunCost": 1.0,
        "neverOverRate": 0.0, "hardBurst": 0.0, "capSlack": 0.0, "open": 0, "worthFactor": 1.0,
    }  # fmt: skip
    return base | others


@dataclasses.dataclass
class Site:
    """What a case may change of the settings; the rest has the figures of the example of the wire page."""

    classes: list[dict[str, Any]] = dataclasses.field(default_factory=lambda: CLASSES)
    most_units: int = 8  # of one request
    counter_wait_ms: float = 30.0

    def settings(self, index: int, gateways: int, plans: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the settings of a gateway."""
        return {
            "areas": ["vasteras-1"], "az": "vasteras-1", "classes": self.classes, "packages": plans,
            "caps": {"cancelling": True, "connectTimeout": 250.0, "cpuUsPerRequest": 0.0,
                     "cpuUsPerS": 600000, "keepalive": 15000.0, "maxAttempts": 5, "maxOpen": 30000,
                     "maxRetryAfter": 2000.0, "maxStreams": 32, "mayDuplicate": True,
                     "peerMessages": False, "probes": True, "retryAfter": False},
            "clientHabits": {"marksRetry": False}, "discovery": "push", "family": "gate",
            "familyInfo": {"costAfter": True, "countFee": 0.005, "countWait": self.counter_wait_ms,
                           "mayCount": True, "metering": 0.0, "peerIntake": 0.0,
                           "unitsTop": self.most_units},
            "goal": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.25},
            "granularity": 4.0, "groupSize": gateways, "kinds": ["full", "slow"], "layers": ["rakna"],
            "prices": {"lateFail": 0.05, "probe": 0.01, "waste": 0.08},
            "rules": {"answerSlack": 16.0, "askEvery": 10000.0, "drainGrace": 500.0, "fall": 3000.0,
                      "fallMultiple": 3.0, "startCapacity": 0.19, "warmWithin": 16000.0},
            "selfIndex": index, "telemetry": {"how": "none", "names": []}, "tier": 0,
            "weightSource": "none",
        }  # fmt: skip


class Gateway:
    """One gateway of the project, as a process of its own."""

    def __init__(self, bed: Bed, index: int) -> None:
        self.bed = bed
        self.name = f"n{index}"
        self.port = bed.first_port or free_port()
        self.operator_port = free_port()
        self.gossip_port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.config: dict[str, Any] = {}
        self.folder = bed.temporary / self.name

    async def start(self, config: dict[str, Any], listener: socket.socket | None = None) -> None:
        """Start a process of this gateway and wait until it answers PING, or with `listener` is ready.

        Args:
            config: the configuration.
            listener: a listening socket that the platform holds, and the process inherits as descriptor 5.
        """
        self.config = config
        self.folder.mkdir(exist_ok=True)
        private = self.folder / "tmp"
        private.mkdir(exist_ok=True)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "LB_NAME": self.name, "LB_CONFIG": str(path),
            "LB_LISTEN": config["listen"], "LB_DISCOVERY": config["discovery"],
            "LB_OPERATOR": config["operator"], "TMPDIR": str(private),
        }  # fmt: skip
        if listener is not None:
            environment["LB_INHERITED_FD"] = str(INHERITED_FD)

        def prepare() -> None:
            end_with_parent()
            if listener is not None:
                os.dup2(listener.fileno(), INHERITED_FD)

        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command,
                cwd=ROOT, env=environment, stdout=log, stderr=log, preexec_fn=prepare, close_fds=False,
            )  # fmt: skip
        self.bed.processes.append(self.process)
        self.bed.record.add(self.name, f"started as process {self.process.pid} at {config['listen']}")
        for _ in range(300):
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if await (self._is_ready() if listener is not None else self._answers_ping()):
                    self.bed.record.add(self.name, f"process {self.process.pid} is ready")
                    return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} is not ready: {(self.folder / 'log').read_text()[-2000:]}")

    async def _answers_ping(self) -> bool:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(encode_command("PING"))
            answer = await read_value(reader)
            writer.close()
        return bool(answer == "+PONG")

    async def _is_ready(self) -> bool:
        status, _ = await self.operator("GET", "/ops/readiness")
        return status == 200

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.bed.record.add(self.name, f"signal {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def operator(self, method: str, path: str, body: dict[str, Any] | None = None) -> tuple[int, str]:
        """Call the operators' address; return the status and the text of the answer."""
        content = json.dumps(body).encode() if body is not None else b""
        async with asyncio.timeout(3):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.operator_port)
            head = f"{method} {path} HTTP/1.1\r\nHost: operators\r\nContent-Length: {len(content)}\r\n\r\n"
            writer.write(head.encode() + content)
            answer = await reader.read()
            writer.close()
        head_text, _, text = answer.decode().partition("\r\n\r\n")
        status = int(head_text.split()[1])
        if not path.endswith("stats"):
            self.bed.record.add(self.name, f"operator: {method} {path} {body} -> {status} {text.strip()}")
        return status, text.strip()


class Front:
    """A stand-in for the clients of one gateway. They keep connections, and open more once all are busy."""

    def __init__(self, bed: Bed, gateway: Gateway) -> None:
        self.bed = bed
        self.gateway = gateway
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.orders: set[str] = set()  # the ids of requests of a class that must not run twice

    async def ask(
        self, customer: str, attributes: str, verb: str = "API.READ", request: str | None = None
    ) -> Any:
        """Send a request, with a new id by default, and return its answer; "" if there is none.

        A request whose connection ends before any byte of the answer is sent one more time on a new one.
        """
        request = request or self.bed.new_id()
        if "c=lanelofte," in attributes:
            self.orders.add(request)
        command = encode_command(verb, customer, request, attributes)
        self.bed.record.add("client", f"asks {self.gateway.name} {verb} {request} of {customer} {attributes}")
        answer: Any = ""
        for fresh in (False, True):
            try:
                if self.idle and not fresh:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.port)
                writer.write(command)
                answer = await read_value(reader)
                self.idle.append((reader, writer))
                break
            except (OSError, asyncio.IncompleteReadError) as error:
                self.bed.record.add("client", f"{request}: {type(error).__name__}")
        text = f"value of {len(answer)} bytes" if isinstance(answer, bytes) else repr(answer)
        self.bed.record.add("client", f"{request} answered: {text}")
        return answer

    async def ask_steadily(
        self, customers: list[str], attributes: str, pause_s: float, until: asyncio.Event
    ) -> None:
        """Send requests of these customers in turn, one after another, until `until` is set."""
        turn = 0
        while not until.is_set():
            await self.ask(customers[turn % len(customers)], attributes)
            turn += 1
            await asyncio.sleep(pause_s)


class Bed:
    """One run of a case: its record, its temporary folder and its parties."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.gateways: list[Gateway] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.backends: list[Backend] = []
        self.agents: list[Agent] = []
        self.counter = Counter(self.record)
        self.site = Site()
        self.first_port = 0  # of a listening socket that the platform holds for the only gateway
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self._next_id = int.from_bytes(os.urandom(6), "big") << 12

    def new_id(self) -> str:
        """Return a new request id."""
        self._next_id += 1
        return f"{self._next_id:016x}"

    async def open(
        self, backends: list[Backend], gateways: int, plans: list[dict[str, Any]], **extra: Any
    ) -> None:
        """Open all stand-ins and start the gateways. `extra` goes to the configuration of each gateway."""
        self.backends = backends
        for backend in backends:
            await backend.open()
        await self.counter.open()
        known = [backend.entry() for backend in backends]
        for index in range(gateways):
            agent = Agent(self.record, known)
            await agent.open()
            self.agents.append(agent)
            self.gateways.append(Gateway(self, index))
        for index, gateway in enumerate(self.gateways):
            config = self.config(index, plans) | self.optional(gateway, extra)
            await gateway.start(config, extra.get("listener"))

    def config(self, index: int, plans: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the configuration of a gateway."""
        gateway, agent = self.gateways[index], self.agents[index]
        return {
            "name": gateway.name, "listen": f"127.0.0.1:{gateway.port}",
            "discovery": f"127.0.0.1:{agent.port}", "seed": os.urandom(8).hex(),
            "operator": f"127.0.0.1:{gateway.operator_port}",
            "limits": self.limits,
            "counter": f"127.0.0.1:{self.counter.port}", "known": agent.list(),
            "settings": self.site.settings(index, len(self.gateways), plans),
        }  # fmt: skip

    def optional(self, gateway: Gateway, extra: dict[str, Any]) -> dict[str, Any]:
        """Return the optional tables of a configuration, `fleet` and `state`, if the case asks for them."""
        tables: dict[str, Any] = {}
        if extra.get("fleet"):
            secret = self.temporary / "secret"
            secret.write_text("a secret of this run, not of another one")
            seeds = [f"127.0.0.1:{other.gossip_port}" for other in self.gateways if other is not gateway]
            tables["fleet"] = {"name": "review", "listen": f"127.0.0.1:{gateway.gossip_port}",
                               "seeds": seeds, "secret": str(secret)}  # fmt: skip
        if extra.get("state"):
            tables["state"] = str(self.temporary / f"{gateway.name}-state")
        return tables

    async def close(self) -> None:
        """End all processes that this run has started, and remove its folder."""
        for process in self.processes:
            if process.returncode is not None:
                self.record.add("platform", f"process {process.pid} had ended with {process.returncode}")
            else:
                process.kill()
                await process.wait()
        self.record.file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Bed], Awaitable[list[str]]]) -> int:
    """Run a case; `play` returns the breaches that it saw. Returns the exit code."""

    async def run() -> int:
        bed = Bed(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, lambda: task and task.cancel())
        try:
            async with asyncio.timeout(MAX_RUN_S):
                breaches = await play(bed)
            for breach in breaches[:20]:
                bed.record.verdict(breach)
            bed.record.verdict(f"{len(breaches)} breaches" if breaches else "the rule held")
            return BROKEN if breaches else HELD
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - whatever it was, no verdict
            bed.record.verdict(f"not run: {type(error).__name__}: {error}")
            bed.record.add("judge", traceback.format_exc())
            return NOT_RUN
        finally:
            keep = os.environ.get("KEEP")
            if keep:
                ignored = shutil.ignore_patterns("*.sock")
                shutil.copytree(bed.temporary, keep, dirs_exist_ok=True, ignore=ignored)
            await bed.close()

    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    return asyncio.run(run())
