"""Starts a gateway as a process of its own, and connects clients to it."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Peer
from testbed.stand_ins.single_gateway import World

ROOT = Path(__file__).parents[2]


async def start_gateway(config: Path) -> asyncio.subprocess.Process:
    """Start the program with a configuration file; its log can be read from `stderr`."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "switchline",
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config)},
        stderr=asyncio.subprocess.PIPE,
    )


async def connect_client(port: int) -> Peer:
    """Connect a client, and retry for as long as nothing listens at the port yet."""
    while True:
        try:
            return Peer(*await asyncio.open_connection(LOCAL, port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@dataclass
class Program:
    """The program as a process; its configuration names the counter and discovery of the first world."""

    port: int
    config: Path
    config_values: dict[str, Any]
    process: asyncio.subprocess.Process


@asynccontextmanager
async def program(folder: Path, *worlds: World) -> AsyncIterator[Program]:
    """Start the program, configured for the first of some worlds; kill it at the end if it still runs."""
    servers = [server for world in worlds for server in (*world.backends, world.counter, world.discovery)]
    for server in servers:
        await server.start()
    port, config = claimed_port(), folder / "config.json"
    config_values = {**worlds[0].config(), "listen": f"{LOCAL}:{port}"}
    config.write_text(json.dumps(config_values))
    process = await start_gateway(config)
    try:
        yield Program(port, config, config_values, process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for server in servers:
            await server.stop()
