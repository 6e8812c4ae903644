"""Peers that send at full speed slow down nobody but themselves, and take no gateway over its memory limit.

The gateway and the peers are processes; see `tests/support/flood.py` for what they send.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import flood
import pytest
from gateway_process import Program, connect_client, program
from peak_memory import watched_memory

from switchline.requests.lifecycle import CAPACITY_RETRY_AFTER_MS
from testbed.network.sockets import Peer, Reply
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request

REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
WORK_S = 0.02
QUIET_CLIENTS = 8
FLOOD_S = 2.0
WAIT_MS = 800
LATENESS_S = 0.05  # that the rules on sockets add to each time limit
MEMORY_MB = 32


@dataclass
class QuietClient:
    """A client that sends one request after another, with a pause, and notes how long each answer takes."""

    number: int
    peer: Peer
    durations_s: list[float] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)

    async def ask_until(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            begun_s = time.monotonic()
            id = b"%08x%08x" % (self.number, len(self.answers))
            self.peer.send(*request(id, name=b"wipe", wait=WAIT_MS))
            self.answers.append(str(await self.peer.receive()))
            self.durations_s.append(time.monotonic() - begun_s)
            await asyncio.sleep(0.03)


@asynccontextmanager
async def flooded_gateway(
    folder: Path, kind: str, connections: int, work_s: float = WORK_S
) -> AsyncIterator[Program]:
    """Run a gateway to which peers of a kind send at full speed for `FLOOD_S`."""

    async def work(command: list[bytes]) -> Reply:
        await asyncio.sleep(work_s)
        return REPLY

    world = World(*[Backend(work) for _ in range(4)], memory_mb=MEMORY_MB, sockets=1024)
    async with program(folder, world) as gateway:
        (await connect_client(gateway.port)).close()
        command = [sys.executable, flood.__file__, str(gateway.port), kind, str(connections), str(FLOOD_S)]
        peers = await asyncio.create_subprocess_exec(*command)
        try:
            yield gateway
        finally:
            with contextlib.suppress(ProcessLookupError):
                peers.kill()
            await peers.wait()


# Guards against: a flood takes the whole turn of the event loop, and others are answered late or never (rule
# on lost requests, picture a).
@pytest.mark.parametrize("connections", [12, 300])
@pytest.mark.parametrize("kind", flood.KINDS)
def test_requests_are_answered_in_time_beside_peers_that_send_at_full_speed(
    kind: str, connections: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with flooded_gateway(tmp_path, kind, connections) as gateway:
            clients = [
                QuietClient(number, await connect_client(gateway.port)) for number in range(QUIET_CLIENTS)
            ]
            end_s = time.monotonic() + FLOOD_S
            await asyncio.gather(*(client.ask_until(end_s) for client in clients))
            for client in clients:
                assert max(client.durations_s) <= WAIT_MS / 1000 + LATENESS_S
                assert all(answer == "b'value'" or answer.startswith("BUSY") for answer in client.answers)

    in_loop(scenario)


# Guards against: values that peers only announce count as held memory, and others are rejected for it.
def test_no_request_is_rejected_for_memory_beside_peers_that_announce_long_values(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with flooded_gateway(tmp_path, "long values", connections=12) as gateway:
            client = QuietClient(0, await connect_client(gateway.port))
            await client.ask_until(time.monotonic() + FLOOD_S)
            assert f"BUSY {CAPACITY_RETRY_AFTER_MS}" not in client.answers

    in_loop(scenario)


# Guards against: heads of very many short fields whose requests wait for backends, and ever new names, take
# the gateway over its limit (rule on lost requests, picture b).
@pytest.mark.parametrize("kind", flood.KINDS)
def test_gateway_stays_under_its_memory_limit_beside_many_peers_that_send_at_full_speed(
    kind: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with (
            flooded_gateway(tmp_path, kind, connections=300, work_s=FLOOD_S) as gateway,
            watched_memory(gateway.process.pid) as memory,
        ):
            await asyncio.sleep(FLOOD_S + 0.5)
            assert memory.peak_mb < MEMORY_MB

    in_loop(scenario)
