"""How long a call for the whole fleet takes until each gateway follows it: real processes on loopback.

    .venv/bin/python measure/fleet_calls.py 12            # gateways
    .venv/bin/python measure/fleet_calls.py 12 --calls 40 --seed 2

It needs the test extras. Calls disable a backend and enable it again in turn, each at a gateway drawn by the
seed. A gateway follows a call once its log says so; times are those of the log, in whole milliseconds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
import time
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE))

from testbed.network.addresses import claimed_port  # noqa: E402
from testbed.network.sockets import LOCAL  # noqa: E402
from testbed.stand_ins.backends import Backend  # noqa: E402
from testbed.stand_ins.single_gateway import World  # noqa: E402

BACKEND = "h0"
SEEDS = 3  # gateways that each one asks at its start
CALL_INTERVAL_S = 2.0
MEETING_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2
TIME_CHARS = len("2026-01-01 00:00:00,000")


@dataclass
class Gateway:
    """One process, its operators' address and its log."""

    name: str
    operator: int
    log: Path
    process: asyncio.subprocess.Process


@dataclass
class Figures:
    """What calls have shown.

    Attributes:
        followed_ms: Until a gateway followed, by its log.
        unlogged: How often a gateway had followed in the end without a line of it.
        missing: How often a gateway had not followed after `CALL_INTERVAL_S`.
        replied_ms: Until the reply.
        replies: Their texts.
    """

    followed_ms: list[float] = field(default_factory=list)
    unlogged: int = 0
    missing: int = 0
    replied_ms: list[float] = field(default_factory=list)
    replies: list[str] = field(default_factory=list)


async def post(operator: int, method: str, path: str, body: str = "") -> str:
    """Make a call to an operators' address, and return the text of its reply."""
    reader, writer = await asyncio.open_connection(LOCAL, operator)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    reply = await reader.read()
    writer.close()
    return reply.partition(b"\r\n\r\n")[2].decode()


async def start_fleet(world: World, count: int, folder: Path) -> list[Gateway]:
    """Start the gateways of a fleet, and wait until each knows all others."""
    secret = folder / "secret"
    secret.write_text("a secret that is long enough")
    ports = [claimed_port() for _ in range(count)]
    gateways = []
    for number, port in enumerate(ports):
        name, own = f"n{number}", folder / f"n{number}"
        own.mkdir()
        world.name, world.operator = name, claimed_port()
        seeds = [f"{LOCAL}:{seed}" for seed in ports[:SEEDS] if seed != port]
        fleet = {"name": "f", "listen": f"{LOCAL}:{port}", "seeds": seeds, "secret": str(secret)}
        config = {**world.config(), "listen": f"{LOCAL}:{claimed_port()}", "fleet": fleet}
        (own / "config.json").write_text(json.dumps(config))
        log = own / "log"
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-OO", "-m", "switchline"),
            cwd=HERE,
            env={**os.environ, "LB_CONFIG": str(own / "config.json"), "TMPDIR": str(own)},
            stderr=log.open("wb"),
        )
        gateways.append(Gateway(name, world.operator, log, process))
    async with asyncio.timeout(MEETING_TIMEOUT_S):
        for gateway in gateways:
            while not await knows_others(gateway, count):
                await asyncio.sleep(POLL_INTERVAL_S)
    return gateways


async def knows_others(gateway: Gateway, count: int) -> bool:
    """Whether a gateway sees all members of the fleet alive."""
    try:
        members = json.loads(await post(gateway.operator, "GET", "/ops/fleet"))["members"]
    except (OSError, ValueError, KeyError):
        return False
    alive = sum(member["state"] == "alive" for member in members.values())
    return alive >= count - 1


async def make_calls(gateways: list[Gateway], calls: int, rng: random.Random) -> Figures:
    """Make calls in turn, and collect when each other gateway followed."""
    figures = Figures()
    for number in range(calls):
        caller = rng.choice(gateways)
        word = "up" if number % 2 else "down"
        begun_s = time.time()
        body = json.dumps({"id": BACKEND, "fleet": True})
        figures.replies.append((await post(caller.operator, "POST", f"/ops/backends/{word}", body)).strip())
        figures.replied_ms.append((time.time() - begun_s) * 1000)
        await asyncio.sleep(max(0.0, begun_s + CALL_INTERVAL_S - time.time()))
        for gateway in gateways:
            if gateway is not caller:
                await collect(figures, gateway, word, begun_s)
    return figures


async def collect(figures: Figures, gateway: Gateway, word: str, begun_s: float) -> None:
    """Add the time at which a gateway followed a call, from its log; without one, see what it does now."""
    phrase = f"{BACKEND} is {word} by a call for the whole fleet"
    for line in reversed(gateway.log.read_text().splitlines()):
        if phrase in line:
            followed_s = datetime.strptime(line[:TIME_CHARS], "%Y-%m-%d %H:%M:%S,%f").timestamp()  # noqa: DTZ007
            if followed_s >= begun_s - 0.001:
                figures.followed_ms.append((followed_s - begun_s) * 1000)
                return
            break
    is_down = "edge_lb.ejected:1|" in await post(gateway.operator, "GET", "/ops/stats")
    if is_down == (word == "down"):
        figures.unlogged += 1
    else:
        figures.missing += 1


def at(values: list[float], share: float) -> float:
    """Return the value at a share of the sorted values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def main(count: int, calls: int, seed: int) -> None:
    """Run a fleet, make the calls and print the figures."""
    world = World(Backend(), Backend())
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    gateways: list[Gateway] = []
    try:
        gateways = await start_fleet(world, count, Path(tempfile.mkdtemp()))
        figures = await make_calls(gateways, calls, random.Random(seed))
    finally:
        for gateway in gateways:
            gateway.process.kill()
    whole = sum(f"{count} of {count}" in reply for reply in figures.replies)
    for name, values in (("followed", figures.followed_ms), ("replied", figures.replied_ms)):
        print(name, *(f"{share}: {at(values, share):.0f} ms" for share in (0.5, 0.99, 1.0)))
    print(f"gateways {count}, calls {calls}, replies of all {whole}")
    print(f"followed without a line {figures.unlogged}, not followed {figures.missing}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("gateways", type=int)
    parser.add_argument("--calls", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    asyncio.run(main(arguments.gateways, arguments.calls, arguments.seed))
