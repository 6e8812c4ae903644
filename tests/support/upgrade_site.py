"""A gateway whose processes replace each other in upgrades."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from operator_calls import call

from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Peer
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World

ROOT = Path(__file__).parents[2]


class UpgradeSite:
    """Plays the platform's part in an upgrade: owns the listening socket, the files and the processes."""

    def __init__(self, world: World, directory: Path) -> None:
        self.world = world
        self.directory = directory
        self.listener = socket.create_server((LOCAL, 0))
        self.port = self.listener.getsockname()[1]
        self.processes: list[asyncio.subprocess.Process] = []
        self.config = directory / "config.json"
        self.config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{self.port}"}))

    async def start(self) -> asyncio.subprocess.Process:
        """Start another process, and return it once it is ready."""
        self.world.operator = claimed_port()
        environment = {
            "LB_CONFIG": os.fspath(self.config),
            "LB_OPERATOR": f"{LOCAL}:{self.world.operator}",
            "LB_INHERITED_FD": str(self.listener.fileno()),
            "TMPDIR": os.fspath(self.directory),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "switchline",
            cwd=ROOT,
            env={**os.environ, **environment},
            pass_fds=[self.listener.fileno()],
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.processes.append(process)
        while True:
            try:
                if (await call(self.world, "GET", "/ops/readiness"))[0] == 200:
                    return process
            except (ConnectionError, IndexError):
                pass
            await asyncio.sleep(0.01)

    async def client(self) -> Peer:
        return Peer(*await asyncio.open_connection(LOCAL, self.port))


@asynccontextmanager
async def running_site(directory: Path, *backends: Backend) -> AsyncIterator[UpgradeSite]:
    world = World(*backends)
    servers = [*backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    site = UpgradeSite(world, directory)
    try:
        yield site
    finally:
        for process in site.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        site.listener.close()
        for server in servers:
            await server.stop()
