"""Starts a gateway as a process of its own, and connects clients to it."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from testbed.network.sockets import LOCAL, Peer

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
