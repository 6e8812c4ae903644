"""The platform's part: addresses, a configuration, discovery, the counter, and one gateway as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_S = 30.0  # the time that the platform gives a gateway to be ready
PLAY_TIMEOUT_S = 110.0  # a script may take 120 s

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]


class CannotRunError(Exception):
    """The case could not run; this says nothing about the gateway."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes what was sent, answered and run to `record.txt`, each line with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.seconds():9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it too."""
        self.line(text)
        self._file.flush()
        print(text, flush=True)


async def listen(serve: Serve) -> tuple[asyncio.Server, int]:
    """Listen on a free port; an end of a connection ends its `serve` quietly."""

    async def quiet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(quiet, HOST, 0, backlog=512, limit=256 * 1024)
    return server, server.sockets[0].getsockname()[1]


class Discovery:
    """The agent: the whole list, and watches on which nothing ever changes (an empty line every 2 s)."""

    def __init__(self, backends: list[int]) -> None:
        self.known = {
            "seq": 1,
            "whole": True,
            "hosts": [
                {
                    "host": f"s-{number:08x}",
                    "dial": f"{HOST}:{port}",
                    "site": "vasteras-1",
                    "class": "full",
                    "block": number // 4,
                    "health": "up",
                    "share": 1.0,
                    "born_ms": 0,
                }
                for number, port in enumerate(backends)
            ],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        await self._chunk(writer, json.dumps(self.known).encode() + b"\n")
        while b"stream=1" in head:
            await asyncio.sleep(2.0)
            await self._chunk(writer, b"\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()


class Counter:
    """The counter service; names are never forgotten here, as a play is shorter than their longest life."""

    def __init__(self) -> None:
        self.totals: dict[bytes, float] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while line := await reader.readline():
            words = line.split()
            if words == [b"ping"]:
                writer.write(b"pong\r\n")
            elif len(words) == 4 and words[0] == b"tally":
                total = self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
                writer.write(b"ok %.7g\r\n" % total)
            else:
                writer.write(b"error\r\n")
            await writer.drain()


GATEWAYS = 2
BACKENDS = 8
PLANS = (b"bas", b"mellan")  # of the site's plans those without a ceiling
CUSTOMERS = 2000


def settings(index: int) -> dict[str, Any]:
    """Return the settings of a small deployment of the site kalkyl-vasteras, from the ranges of its file."""
    usual = {"aim": 2000.0, "deadline": 8000.0, "importance": 3.0, "stream": False, "aimStretch": 0.0}
    return {
        "selfIndex": index,
        "groupSize": GATEWAYS,
        "az": "vasteras-1",
        "areas": ["vasteras-1"],
        "discovery": "push",
        "classes": [
            usual | {"name": "kalkyl", "effect": "pure", "lateWorth": 0.2},
            usual | {"name": "spara", "effect": "token", "group": "cell", "repeatWindow": 5000.0},
            usual | {"name": "lanelofte", "effect": "side_effect", "aim": 3000.0, "importance": 9.0},
        ],
        "packages": [
            {"name": "bas", "rate": 2.0, "mostAtOnce": 10.0, "overrunCost": 1.0, "worthFactor": 0.88},
            {"name": "mellan", "rate": 4.0, "mostAtOnce": 20.0, "beyondEarns": 0.3, "worthFactor": 1.3},
        ],
        "caps": {
            "maxAttempts": 5,
            "cancelling": True,
            "probes": True,
            "mayDuplicate": True,
            "retryAfter": False,
            "maxRetryAfter": 2000.0,
            "connectTimeout": 250.0,
            "keepalive": 15000.0,
            "maxOpen": 4000,
            "maxStreams": 32,
        },
        "familyInfo": {
            "mayCount": True,
            "countWait": 30.0,
            "countFee": 0.005,
            "unitsTop": 8,
            "costAfter": True,
        },
        "rules": {
            "answerSlack": 16.0,
            "drainGrace": 500.0,
            "startCapacity": 0.19,
            "warmWithin": 16000.0,
            "fallMultiple": 3.0,
            "fall": 3000.0,
        },
    }


def customer_words(random: Random, name: bytes, deadline_ms: int) -> tuple[bytes, bytes]:
    """Return a customer and the names and values of its request; each customer has one plan."""
    number = random.randrange(CUSTOMERS)
    plan = PLANS[number % len(PLANS)]
    values = (name, plan, deadline_ms, GATEWAYS)
    return b"%016x" % number, b"c=%b,t=%b,d=%d,units=1,spread=%d,first=0" % values


class Gateway:
    """One gateway, started with the deploy file's `run`."""

    def __init__(self, folder: Path, record: Record, config: dict[str, Any], index: int) -> None:
        self.name = f"n{index}"
        self.record = record
        self.config = config
        self.folder = folder
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self) -> None:
        """Start it and wait until it answers PING with yes.

        Raises:
            CannotRunError: It is not ready in time.
        """
        listen_address = f"{HOST}:{self.port}"
        config = self.config | {"name": self.name, "listen": listen_address, "seed": "8c1f30d27a5be964"}
        path = self.temporary / "config.json"
        path.write_text(json.dumps(config))
        private = self.temporary / "tmp"
        private.mkdir()
        environment = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": listen_address,
            "LB_DISCOVERY": config["discovery"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(private),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with (self.folder / f"gateway-{self.name}.log").open("w") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        started = time.monotonic()
        while time.monotonic() - started < READY_S and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                line = await reader.readuntil(b"\r\n")
                writer.close()
                if line == b"+PONG\r\n":
                    self.record.line(f"gateway {self.name} ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError("the gateway is not ready")

    def memory_mb(self) -> float:
        """Return the anonymous memory of the process; files that it maps are not counted."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """End it at once."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)

    async def end(self) -> None:
        """End it and remove its folder."""
        self.kill()
        if self.process is not None:
            await self.process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)


@contextlib.asynccontextmanager
async def deployment(
    folder: Path, record: Record, serve: Serve, limits: dict[str, Any]
) -> AsyncIterator[list[Gateway]]:
    """Start backends, discovery, the counter and gateways; end all of them afterwards.

    Args:
        folder: The folder of the case, for the gateways' logs.
        record: The record of the play.
        serve: Serves a connection of a backend.
        limits: The limits of memory and descriptors of a gateway.
    """
    backends = [await listen(serve) for _ in range(BACKENDS)]
    discovery = Discovery([port for _, port in backends])
    servers = [server for server, _ in backends]
    discovery_server, discovery_port = await listen(discovery.serve)
    counter_server, counter_port = await listen(Counter().serve)
    config = {
        "discovery": f"{HOST}:{discovery_port}",
        "counter": f"{HOST}:{counter_port}",
        "limits": {"cores": 1.0} | limits,
        "known": discovery.known,
    }
    gateways = [
        Gateway(folder, record, config | {"settings": settings(index)}, index) for index in range(GATEWAYS)
    ]
    try:
        for gateway in gateways:
            await gateway.start()
        yield gateways
    finally:
        for gateway in gateways:
            await gateway.end()
        for server in [*servers, discovery_server, counter_server]:
            server.close()


def main(play: Callable[[Record], Coroutine[Any, Any, int]], folder: Path) -> None:
    """Run a play and exit with its result: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(folder)

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        # An end from outside ends the processes that the play started, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(PLAY_TIMEOUT_S):
            return await play(record)

    try:
        result = asyncio.run(bounded())
    except (CannotRunError, OSError, asyncio.CancelledError) as error:  # TimeoutError is an OSError
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        result = 2
    record.say(f"exit {result}")
    sys.exit(result)
