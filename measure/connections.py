"""What connections cost, and who is served while peers of no use come: one gateway on loopback, fixed work.

    .venv/bin/python measure/connections.py 256          # descriptors
    .venv/bin/python measure/connections.py 1024 --root OTHER_CHECKOUT

It needs the test extras. The numbers of connections and requests are fixed; nothing depends on a rate.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections import Counter as Counts
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE))

from testbed.network.sockets import LOCAL, Peer, encode  # noqa: E402
from testbed.stand_ins.agents import Discovery  # noqa: E402
from testbed.stand_ins.backends import Backend  # noqa: E402
from testbed.stand_ins.counters import Counter  # noqa: E402
from testbed.stand_ins.single_gateway import World, request  # noqa: E402

CLIENTS, SLOW, ASKS = 48, 24, 20  # proper clients, those that send a request in halves, requests of each
COMING = ["silent"] * 100 + ["garbling"] * 50 + ["leaving"] * 50  # come before each round
HALF = 60  # bytes of a request that come first
EACH = 60  # connections of a kind whose cost is measured: all fit into the smaller limit at once


async def start(root: Path, sockets: int, backend: Backend) -> tuple[asyncio.subprocess.Process, int]:
    """The real program of a checkout, with stand-ins for what is round it; gives its process and port."""
    world = World(backend, counter=Counter())
    world.discovery = Discovery()
    for server in (backend, world.counter, world.discovery):
        await server.start()
    config = world.config()
    with socket.create_server((LOCAL, 0)) as free, socket.create_server((LOCAL, 0)) as other:
        port, operator = free.getsockname()[1], other.getsockname()[1]
    config |= {"listen": f"{LOCAL}:{port}", "operator": f"{LOCAL}:{operator}"}
    config["limits"]["sockets"] = sockets
    directory = tempfile.mkdtemp()
    path = Path(directory, "config.json")
    path.write_text(json.dumps(config))
    environment = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": directory}
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-OO", "-m", "switchline"),
        cwd=root,
        env=environment,
        stderr=asyncio.subprocess.DEVNULL,
    )
    while True:
        try:
            (await asyncio.open_connection(LOCAL, port))[1].close()
            return process, port
        except ConnectionError:
            await asyncio.sleep(0.02)


class Client:
    """Asks, and comes again on a new connection where the old one is gone, as clients do."""

    def __init__(self, port: int) -> None:
        self.port, self.peer = port, None
        self.seen: Counts[str] = Counts()

    async def connect(self) -> bool:
        if self.peer is None:
            try:
                self.peer = Peer(*await asyncio.open_connection(LOCAL, self.port))
            except ConnectionError:
                return False
        return True

    async def begin(self, id: bytes) -> None:
        """The first half of a request."""
        if await self.connect() and self.peer is not None:
            self.peer.writer.write(encode(*request(id))[:HALF])

    async def ask(self, id: bytes, begun: bool = False) -> None:
        """A request, or the second half of one that was begun: closed meanwhile, it is a loss."""
        for _ in range(1 if begun else 2):
            if not await self.connect() or self.peer is None:
                continue
            try:
                self.peer.writer.write(encode(*request(id))[HALF if begun else 0 :])
                async with asyncio.timeout(5):
                    answer = await self.peer.receive()
            except (ConnectionError, TimeoutError):
                answer = None
            if answer is not None:
                self.seen["served" if answer == b"value" else str(answer).split()[0]] += 1
                return
            self.peer.close()
            self.peer = None
        self.seen["nothing"] += 1


async def crowd(port: int) -> tuple[Counts[str], Counts[str]]:
    """Proper requests, while peers that say nothing, send part of a command or only connect come between."""
    clients, slow = [Client(port) for _ in range(CLIENTS)], [Client(port) for _ in range(SLOW)]
    held: list[socket.socket] = []
    for round_ in range(ASKS):
        for number, client in enumerate(slow):
            await client.begin(b"s%dx%d" % (number, round_))
        for kind in COMING:
            peer = socket.socket()
            peer.setblocking(False)
            peer.connect_ex((LOCAL, port))
            if kind == "garbling":
                await asyncio.sleep(0)
                try:
                    peer.send(b"*5\r\n$8\r\nAPI.READ\r\n$16\r\n00")
                except OSError:
                    pass
            if kind == "leaving":
                peer.close()
            else:
                held.append(peer)
        for number, client in enumerate(slow):
            await client.ask(b"s%dx%d" % (number, round_), begun=True)
        for number, client in enumerate(clients):
            await client.ask(b"r%dx%d" % (number, round_))
    for peer in held:
        peer.close()
    return sum((c.seen for c in clients), Counts()), sum((c.seen for c in slow), Counts())


def holds(pid: int) -> tuple[int, int]:
    """Private memory in KiB, and descriptors."""
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    private = sum(int(line.split()[1]) for line in rollup if line.startswith("Private_"))
    return private, len(os.listdir(f"/proc/{pid}/fd"))


async def cost(pid: int, port: int, kind: str) -> str:
    before = holds(pid)
    peers = [Peer(*await asyncio.open_connection(LOCAL, port)) for _ in range(EACH)]
    if kind == "idle":
        for number, peer in enumerate(peers):
            peer.send(*request(b"i%d" % number))
            await peer.receive()
    elif kind == "busy":
        for number, peer in enumerate(peers):
            peer.writer.write(encode(*request(b"b%d" % number))[:-6])  # all but its end: in use, not sent on
    await asyncio.sleep(0.3)
    after = holds(pid)
    for peer in peers:
        peer.close()
    each = [(a - b) / EACH for a, b in zip(after, before, strict=True)]
    await asyncio.sleep(0.3)
    return f"{kind}: {each[0]:.1f} KiB and {each[1]:.2f} descriptors"


async def measure(root: Path, sockets: int) -> None:
    for kind in ("young", "idle", "busy"):  # each with a process of its own: memory is kept and used again
        process, port = await start(root, sockets, Backend())
        try:
            print(await cost(process.pid, port, kind))
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()
    process, port = await start(root, sockets, Backend())
    try:
        whole, halves = await crowd(port)
        print(f"{sockets} descriptors: of {CLIENTS * ASKS} requests: {dict(whole)}")
        print(f"{sockets} descriptors: of {SLOW * ASKS} that came in halves: {dict(halves)}")
    finally:
        process.send_signal(signal.SIGTERM)
        await process.wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("sockets", type=int)
    parser.add_argument("--root", type=Path, default=HERE)
    given = parser.parse_args()
    asyncio.run(measure(given.root, given.sockets))
