"""Configuration of a gateway that is not started, and the metrics of one that runs."""

from __future__ import annotations

import asyncio
from typing import Any

from testbed.network.sockets import LOCAL
from testbed.stand_ins.single_gateway import World


def gateway_config(**changes: Any) -> dict[str, Any]:
    """Return a valid configuration in which `changes` replace top-level keys."""
    world = World()
    return {**world.config(), "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", **changes}


async def gateway_metrics(world: World) -> dict[str, int]:
    """Fetch the metrics of a running gateway, by their names without the prefix `edge_lb.`."""
    reader, writer = await asyncio.open_connection(LOCAL, world.operator)
    writer.write(b"GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n")
    text = (await reader.read()).decode()
    writer.close()
    lines = [line.split("|")[0] for line in text.split("\r\n\r\n", 1)[1].split()]
    return {name.removeprefix("edge_lb."): int(value) for name, value in (line.split(":") for line in lines)}
