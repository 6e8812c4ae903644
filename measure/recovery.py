"""What state on disk costs and what it brings: one gateway on loopback, fixed work.

    .venv/bin/python measure/recovery.py [start] [cost] [audit] [quota] [stor]    # it needs the test extras

Start: seconds from a start to the first served request, with so many customers on disk. Cost: CPU a request
and private memory, off and on in turn; audit: the same of that folder, without state. Quota and stor: a
customer spends all it has in 2 s, the gateway is killed and started again, and the customer goes on for 3 s;
what that is beyond its bucket, and how many of 60 other customers are refused their first request meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(HERE), str(HERE / "measure")]

from connections import holds  # noqa: E402

from switchline.state.folder import DATABASE_FILE  # noqa: E402
from switchline.state.records import PendingRecord, RecordKey  # noqa: E402
from switchline.state.storage import StateStorage  # noqa: E402
from testbed.network.sockets import LOCAL, Peer  # noqa: E402
from testbed.stand_ins.backends import Backend  # noqa: E402
from testbed.stand_ins.single_gateway import World  # noqa: E402

PLAYS, REQUESTS, CUSTOMERS = 3, 6_000, 300
SIZES = 0, 1_000, 4_096


def ask(customer: int, number: int, plan: bytes) -> tuple[bytes, ...]:
    listed = b"c=wipe,t=%b,d=3000,units=1,spread=1,first=0" % plan
    return b"API.WRITE", b"%016x" % customer, b"r%d" % number, listed


class Place:
    """The surroundings of one gateway, and its folder."""

    def __init__(self, backend: Backend) -> None:
        self.world = World(backend)
        self.folder = Path(tempfile.mkdtemp())
        with socket.create_server((LOCAL, 0)) as free:
            self.port = free.getsockname()[1]
        self.number = 0

    def write(self, keep: bool, plans: list[dict[str, Any]], audit: bool = False) -> None:
        given = json.loads(json.dumps(self.world.config())) | {"listen": f"{LOCAL}:{self.port}"}
        given["settings"]["packages"] += plans
        given["settings"]["familyInfo"]["mayCount"] = False
        if keep:
            given["state"] = str(self.folder / "state")
        if audit:
            given["audit"] = str(self.folder / "audit")
        (self.folder / "config.json").write_text(json.dumps(given))

    async def start(self) -> asyncio.subprocess.Process:
        given = {"LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        return await asyncio.create_subprocess_exec(
            *(sys.executable, "-OO", "-m", "switchline"),
            cwd=HERE,
            env={**os.environ, **given},
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def connect(self) -> Peer:
        while True:
            try:
                return Peer(*await asyncio.open_connection(LOCAL, self.port))
            except ConnectionError:
                await asyncio.sleep(0.005)

    async def served(self, peer: Peer, customer: int, plan: bytes) -> bool:
        self.number += 1
        peer.send(*ask(customer, self.number, plan))
        return bool(await peer.receive() == b"value")


def cpu_ms(pid: int) -> float:
    words = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) * 1000 / os.sysconf("SC_CLK_TCK")


WIDE = [{"name": "wide", "rate": 1e6, "mostAtOnce": 1e6, "overrunCost": 1.0}]
CAPPED = [
    {"name": "quota", "rate": 2.0, "mostAtOnce": 20.0, "overrunCost": 1.0},
    {"name": "stor", "neverOverRate": 2.0, "hardBurst": 20.0},
]


def fill(folder: Path, customers: int) -> None:
    """A file as a gateway of so many customers leaves it."""
    now = time.time() * 1000
    state = [1.0, 1.0, 5.0, now, 0.0, 1.0, 1.0, 5.0, 0.0, now + 15_000, now, 0, 0.0, 0.0, 0.0, -2, 0.0, now]
    files = StateStorage(folder, "n0", lambda: now)
    files.lock(0)
    files.open(fresh=True)
    files.record_start()
    rows: dict[RecordKey, PendingRecord] = {}
    for number in range(customers):
        key = f"{number:016x}"
        rows[RecordKey("customer", key)] = PendingRecord(now, json.dumps(["customer", key, "wide", 0, state]))
    files.commit(rows, replace_all=True)
    files.close()


async def started(backend: Backend, customers: int | None) -> float:
    place = Place(backend)
    place.write(customers is not None, WIDE)
    if customers is not None:
        fill(place.folder / "state", customers)
    begun = time.monotonic()
    process = await place.start()
    peer = await place.connect()
    assert await place.served(peer, 1, b"wide")
    took = time.monotonic() - begun
    process.kill()
    await process.wait()
    if customers is not None:
        assert (place.folder / "state" / DATABASE_FILE).exists() and not list(
            place.folder.glob("state/aside*")
        )
    return took


async def cost(backend: Backend, keep: bool, audit: bool = False) -> tuple[float, int]:
    place = Place(backend)
    place.write(keep, WIDE, audit)
    process = await place.start()
    peer = await place.connect()
    for number in range(CUSTOMERS):
        await place.served(peer, number, b"wide")
    before = cpu_ms(process.pid)
    for number in range(REQUESTS):
        await place.served(peer, number % CUSTOMERS, b"wide")
    spent = cpu_ms(process.pid) - before
    memory = holds(process.pid)[0]
    process.send_signal(signal.SIGTERM)
    await process.wait()
    return spent * 1000 / REQUESTS, memory


async def killed(backend: Backend, keep: bool, plan: bytes) -> str:
    place = Place(backend)
    place.write(keep, CAPPED)
    process = await place.start()
    await place.connect()
    begun = time.monotonic()
    if plan == b"stor":
        await asyncio.sleep(11)  # a ceiling starts empty
    peer, had = await place.connect(), 0
    for _ in range(60):
        had += await place.served(peer, 1, plan)
        await asyncio.sleep(0.03)
    process.kill()
    await process.wait()
    process = await place.start()
    peer = await place.connect()
    again = refused = 0
    for number in range(60):
        again += await place.served(peer, 1, plan)
        refused += not await place.served(peer, 100 + number, plan)  # others, who have spent nothing
        await asyncio.sleep(0.05)
    may = 20 + 2 * (time.monotonic() - begun) if plan == b"quota" else 2 * (time.monotonic() - begun)
    process.send_signal(signal.SIGTERM)
    await process.wait()
    beyond = max(0.0, had + again - may)
    return f"{had} and then {again} units, {beyond:.1f} beyond; of 60 others {refused} refused"


async def measure(parts: set[str]) -> None:
    backend = Backend()
    await backend.start()
    for customers in (None, *SIZES) if "start" in parts else ():
        took = sorted([await started(backend, customers) for _ in range(PLAYS)])
        print(f"start, {'off' if customers is None else customers}: {took[0]:.2f} to {took[-1]:.2f} s")
    for keep in (False, True) * (PLAYS if "cost" in parts else 0):
        micros, memory = await cost(backend, keep)
        print(f"cost, {'on' if keep else 'off'}: {micros:.0f} us CPU a request, {memory} KiB private")
    for audit in (False, True) * (PLAYS if "audit" in parts else 0):
        micros, memory = await cost(backend, False, audit)
        print(f"audit, {'on' if audit else 'off'}: {micros:.0f} us CPU a request, {memory} KiB private")
    for plan in ("quota", "stor"):
        for keep in (False, True) * (PLAYS if plan in parts else 0):
            seen = await killed(backend, keep, plan.encode())
            print(f"{plan}, {'on' if keep else 'off'}: {seen}", flush=True)


if __name__ == "__main__":
    asyncio.run(measure(set(sys.argv[1:]) or {"start", "cost", "audit", "quota", "stor"}))
