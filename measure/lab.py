"""What a link of the lab adds: the same echo, straight and through a link, 400 messages a second.

.venv/bin/python measure/lab.py          # three plays of 5 s each way; it needs the lab extra
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

import numpy as np
import uvloop

sys.path[:0] = [str(Path(__file__).resolve().parents[1])]

from testbed.network.addresses import Address, Net  # noqa: E402
from testbed.network.links import Path as LinkPath  # noqa: E402
from testbed.network.links import TcpLink  # noqa: E402
from testbed.network.sockets import Server  # noqa: E402

RATE, SECONDS, PLAYS, CONNECTIONS, BYTES = 400, 5, 3, 40, 300


class Echo(Server):
    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(4096):
            writer.write(data)


async def times(address: Address) -> list[float]:
    """Round trips in milliseconds, sent by a clock and not by answers."""
    ends = [await asyncio.open_connection(*address) for _ in range(CONNECTIONS)]
    locks, took = [asyncio.Lock() for _ in ends], list[float]()

    async def one(number: int) -> None:
        reader, writer = ends[number % CONNECTIONS]
        async with locks[number % CONNECTIONS]:
            begun = time.perf_counter()
            writer.write(b"x" * BYTES)
            await reader.readexactly(BYTES)
            took.append((time.perf_counter() - begun) * 1000)

    loop = asyncio.get_running_loop()
    zero, tasks = loop.time(), []
    for number in range(RATE * SECONDS):
        await asyncio.sleep(max(0.0, zero + number / RATE - loop.time()))
        tasks.append(loop.create_task(one(number)))
    await asyncio.gather(*tasks)
    for _, writer in ends:
        writer.close()
    return took


async def main() -> None:
    net, echo, path = Net(), Echo(), LinkPath("a", "b")
    await echo.start()
    place = (net.lab(), net.port(net.lab()))
    link = TcpLink(place, ("127.0.0.1", echo.port), lambda _: path, random.Random(1), {})
    link.own(path)
    link.listen()
    for _ in range(PLAYS):
        for name, address in (("straight", ("127.0.0.1", echo.port)), ("by a link", place)):
            cpu = time.process_time()
            took = await times(address)
            spent = (time.process_time() - cpu) / (RATE * SECONDS) * 1e6
            p50, p99 = np.percentile(took, 50), np.percentile(took, 99)
            print(f"{name}: p50 {p50:.3f} ms, p99 {p99:.3f} ms, {spent:.0f} us CPU a message", flush=True)
    link.close()
    await echo.stop()
    net.close()


if __name__ == "__main__":
    uvloop.run(main())
