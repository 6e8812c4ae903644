"""Calls to a gateway's operator address, and the metrics it answers with."""

from __future__ import annotations

import asyncio

from testbed.network.sockets import LOCAL
from testbed.stand_ins.single_gateway import World


async def call(world: World, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    return await raw(world, head.encode() + body)


async def raw(world: World, sent: bytes) -> tuple[int, str]:
    """The status and the text that come back before the connection is closed."""
    reader, writer = await asyncio.open_connection(LOCAL, world.operator)
    writer.write(sent)
    said = await reader.read()
    writer.close()
    head, _, text = said.partition(b"\r\n\r\n")
    return int(head.split()[1]), text.decode()


async def stats(world: World) -> dict[str, int]:
    status, text = await call(world, "GET", "/ops/stats")
    assert status == 200
    lines = [line.rpartition("|")[0].rpartition(":") for line in text.splitlines()]
    return {name.removeprefix("edge_lb."): int(value) for name, _, value in lines}
