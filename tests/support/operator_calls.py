"""Calls to the operators' address of a gateway, and the metrics that it returns."""

from __future__ import annotations

import asyncio

from testbed.network.sockets import LOCAL
from testbed.stand_ins.single_gateway import World


async def call(world: World, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
    """Make a call, and return the status and the text of its reply."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    return await send_raw(world, head.encode() + body)


async def send_raw(world: World, data: bytes) -> tuple[int, str]:
    """Send bytes, and return the status and the text that are received until the connection is closed."""
    reader, writer = await asyncio.open_connection(LOCAL, world.operator)
    writer.write(data)
    reply = await reader.read()
    writer.close()
    head, _, text = reply.partition(b"\r\n\r\n")
    return int(head.split()[1]), text.decode()


async def stats(world: World) -> dict[str, int]:
    """Fetch the metrics, by name without the prefix."""
    status, text = await call(world, "GET", "/ops/stats")
    assert status == 200
    lines = [line.rpartition("|")[0].rpartition(":") for line in text.splitlines()]
    return {name.removeprefix("edge_lb."): int(value) for name, _, value in lines}
