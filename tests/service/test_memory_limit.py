"""A gateway process stays under its memory limit, whatever its clients send, leave unsent or do not read.

The memory is that of a real process. Its anonymous memory is compared with the limit of the configuration,
over which the platform kills a gateway.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from gateway_process import program
from peak_memory import PeakMemory, watched_memory

from switchline.net.memory import STREAMING_THRESHOLD_BYTES
from testbed.network.sockets import LOCAL, Peer, Reply, encode
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request

VALUE = b"v" * 60 * 1024  # buffered completely, as it is under 64 KiB
LONG_VALUE = b"v" * 1024 * 1024  # streamed
COMMANDS = 32  # as many as the gateway processes at once on one connection
# The largest segment on an Ethernet. With those of loopback the system would hold some MB a connection.
SEGMENT_BYTES = 1460
RECEIVE_BUFFER_BYTES = 32 * 1024
WARM_UP_CLIENTS = 20  # after which the process has made what it makes once
SILENCE_S = 2.0  # time in which clients neither read nor send; shorter than the gateway's time limits

RETRY_DELAY_S = 0.2


@dataclass(frozen=True)
class Limits:
    """Limits of a configuration, and how many clients may connect: up to a third of the descriptors."""

    memory_mb: int
    sockets: int

    @property
    def clients(self) -> int:
        return self.sockets // 3


SMALL = Limits(memory_mb=32, sockets=256)
SMALL_WITH_MANY_CLIENTS = Limits(memory_mb=32, sockets=1024)
MEDIUM = Limits(memory_mb=64, sockets=512)
Play = Callable[[list[Peer]], Awaitable[None]]


def reply_with(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


@asynccontextmanager
async def gateway(folder: Path, limits: Limits, reply: bytes) -> AsyncIterator[tuple[int, PeakMemory]]:
    """Run a gateway in front of backends that answer with `reply`; yield its port, and watch its memory."""

    async def script(command: list[bytes]) -> Reply:
        return reply

    backends = [Backend(script) for _ in range(4)]
    world = World(*backends, memory_mb=limits.memory_mb, sockets=limits.sockets)
    async with program(folder, world) as running_program:
        peer = await connect(running_program.port)
        peer.close()
        async with watched_memory(running_program.process.pid) as memory:
            yield running_program.port, memory


async def connect(port: int) -> Peer:
    """Connect a client with small socket buffers; wait until the gateway listens."""
    while True:
        client = socket.socket()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(client, (LOCAL, port))
        except ConnectionRefusedError:
            client.close()
            await asyncio.sleep(0.01)
            continue
        return Peer(*await asyncio.open_connection(sock=client, limit=RECEIVE_BUFFER_BYTES))


async def receive_all(peer: Peer, count: int, value: bytes = VALUE) -> int:
    """Receive answers; return how many of them are the value."""
    served = 0
    for _ in range(count):
        answer = await peer.receive()
        assert answer == value or str(answer).startswith(("BUSY", "ERR")), answer
        served += answer == value
    return served


async def ask_until_served(peer: Peer, id: bytes) -> None:
    """Send a request with a value, and again each time that it is rejected, until it is served."""
    answer, attempt = None, 0
    while answer != VALUE:
        peer.send(*request(id + b"%04d" % attempt, name=b"wipe", body=VALUE))
        answer = await peer.receive()
        assert answer == VALUE or str(answer).startswith("BUSY"), answer
        attempt += 1
        await asyncio.sleep(RETRY_DELAY_S if answer != VALUE else 0)


# Guards against: slow readers of many pipelined answers take the gateway over its limit (review case 2).
async def pipelined_answers_that_are_not_read(peers: list[Peer]) -> None:
    for number, peer in enumerate(peers):
        for position in range(COMMANDS):
            peer.send(*request(b"%06d%02d" % (number, position)))
    await asyncio.sleep(SILENCE_S)
    served = await asyncio.gather(*(receive_all(peer, COMMANDS) for peer in peers))
    assert sum(served) >= len(peers)  # one value each, in the mean


# Guards against: many clients that send most of a value and no more take it over the limit.
async def commands_that_clients_leave_incomplete(peers: list[Peer]) -> None:
    for number, peer in enumerate(peers):
        peer.writer.write(encode(*request(b"%08d" % number, name=b"wipe", body=VALUE))[:-100])
    await asyncio.sleep(SILENCE_S)


# Guards against: a value each way of every client at once takes it over the limit, though nobody is slow.
async def values_both_ways_of_all_clients(peers: list[Peer]) -> None:
    await asyncio.gather(*(ask_until_served(peer, b"%04d" % number) for number, peer in enumerate(peers)))


# Guards against: slow readers of long answers that are collected take it over the limit.
async def pipelined_long_answers_that_are_not_read(peers: list[Peer]) -> None:
    for number, peer in enumerate(peers):
        for position in range(2):
            peer.send(*request(b"%06d%02d" % (number, position)))
    await asyncio.sleep(SILENCE_S)
    assert sum(await asyncio.gather(*(receive_all(peer, 2, LONG_VALUE) for peer in peers)))


# Guards against: long values each way of many clients at once take it over the limit.
async def long_values_both_ways(peers: list[Peer]) -> None:
    for number, peer in enumerate(peers):
        peer.send(*request(b"%06d" % number, name=b"wipe", body=LONG_VALUE))
    assert sum(await asyncio.gather(*(receive_all(peer, 1, LONG_VALUE) for peer in peers)))


# Guards against: backends that leave most of their answers incomplete take it over the limit.
async def answers_that_backends_leave_incomplete(peers: list[Peer]) -> None:
    for number, peer in enumerate(peers):
        peer.send(*request(b"%06d" % number, name=b"wipe"))
    await asyncio.sleep(SILENCE_S)


# Guards against: the last answer of each client stays in memory if its request had a streamed value.
def test_an_answered_request_with_a_streamed_value_takes_no_more_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with gateway(tmp_path, MEDIUM, reply_with(VALUE)) as (port, memory):
            peers = [await connect(port) for _ in range(MEDIUM.clients)]
            for number, peer in enumerate(peers):
                peer.send(
                    *request(b"%06d" % number, name=b"wipe", body=b"v" * (STREAMING_THRESHOLD_BYTES + 1))
                )
                assert await receive_all(peer, 1) == 1
                if number == WARM_UP_CLIENTS:
                    warm_mb = memory.current_mb()
            assert memory.current_mb() < warm_mb + 2.0

    in_loop(scenario)


@pytest.mark.parametrize("limits", [SMALL, SMALL_WITH_MANY_CLIENTS, MEDIUM], ids=str)
@pytest.mark.parametrize(
    ("play", "reply", "share_of_clients"),
    [
        (pipelined_answers_that_are_not_read, reply_with(VALUE), 1.0),
        (commands_that_clients_leave_incomplete, reply_with(VALUE), 1.0),
        (values_both_ways_of_all_clients, reply_with(VALUE), 1.0),
        (pipelined_long_answers_that_are_not_read, reply_with(LONG_VALUE), 0.25),
        (long_values_both_ways, reply_with(LONG_VALUE), 0.25),
        (answers_that_backends_leave_incomplete, reply_with(VALUE)[:-100], 1.0),
    ],
    ids=lambda value: value.__name__ if callable(value) else "",
)
def test_process_stays_under_its_memory_limit(
    play: Play, reply: bytes, share_of_clients: float, limits: Limits, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with gateway(tmp_path, limits, reply) as (port, memory):
            client_count = int(limits.clients * share_of_clients)
            await play([await connect(port) for _ in range(client_count)])
            assert memory.peak_mb < limits.memory_mb

    in_loop(scenario)
