"""Real processes under failing system calls: they start, serve and end all the same."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from fleetlab.alone import World, in_loop, request
from fleetlab.backends import Backend
from fleetlab.machine import FailingCall, MachineFaults, environment
from fleetlab.sockets import LOCAL, Peer, Reply

ROOT = Path(__file__).parents[1]
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


async def answers(command: list[bytes]) -> Reply:
    return VALUE


class FaultyGateway:
    """A gateway process whose machine has faults, with its surroundings."""

    def __init__(
        self, folder: Path, port: int, process: asyncio.subprocess.Process, backend: Backend
    ) -> None:
        self.folder, self.port, self.process, self.backend = folder, port, process, backend
        self.control = folder / "faults"
        self.seen = folder / "seen"

    async def client(self) -> Peer:
        """A connection, once the gateway listens; fails as soon as its process has ended."""
        while self.process.returncode is None:
            try:
                return Peer(*await asyncio.open_connection(LOCAL, self.port))
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        raise AssertionError(f"it ended with {self.process.returncode}: {self.log()[-600:]}")

    async def end(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def failed(self, call: str) -> int:
        """How often a call was made to fail."""
        lines = self.seen.read_text().splitlines() if self.seen.exists() else []
        return sum(line.split()[1] == call for line in lines)


@asynccontextmanager
async def faulty(
    folder: Path, *calls: FailingCall, short_chance: float = 0.0
) -> AsyncIterator[FaultyGateway]:
    backend = Backend(answers)
    world = World(backend)
    for server in (backend, world.counter, world.discovery):
        await server.start()
    with socket.create_server((LOCAL, 0)) as free, socket.create_server((LOCAL, 0)) as other:
        port, world.operator = free.getsockname()[1], other.getsockname()[1]
    config = folder / "config.json"
    config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{port}"}))
    faults = MachineFaults(1, calls, short_chance=short_chance, seen=folder / "seen")
    faults.write(folder / "faults")
    told = {**environment(folder / "faults"), "LB_CONFIG": str(config), "TMPDIR": str(folder)}
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "roadpulley", cwd=ROOT, env={**os.environ, **told}, stderr=log
        )
    gateway = FaultyGateway(folder, port, process, backend)
    try:
        yield gateway
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for server in (backend, world.counter, world.discovery):
            await server.stop()


@pytest.mark.parametrize(
    ("call", "error", "times"),
    [
        ("socket", "ENFILE", 12),  # enough of them that the first listening socket is among them
        ("socket", "ENOBUFS", 12),
        ("bind", "EADDRINUSE", 3),
        ("bind", "EADDRNOTAVAIL", 3),
        ("listen", "EADDRINUSE", 3),
        ("eventfd", "EMFILE", 3),
        ("epoll_ctl", "ENOMEM", 3),
        ("socketpair", "ENFILE", 3),
    ],
)
def test_a_start_goes_on_after_a_call_that_failed_for_a_moment(
    tmp_path: Path, call: str, error: str, times: int
) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, FailingCall(call, 1.0, (error,), most=times)) as gateway:
            peer = await gateway.client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert gateway.failed(call) == times
            assert await gateway.end() == 0

    in_loop(scenario)
