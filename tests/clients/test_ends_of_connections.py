"""However a connection ends, the answers that were written to it reach a client that reads them."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from gateway_process import connect_client, program
from slow_reader import SlowReader

from switchline.clients import ending, supervision
from switchline.clients import server as clients
from testbed.network.sockets import LOCAL, Peer, reset, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request, running

ANSWER = b"$%d\r\n%b\r\n" % (60_000, b"v" * 60_000)
REPLY = b"*3\r\n%b$-1\r\n$-1\r\n" % ANSWER
CUT_REPLY = b"*3\r\n$1000000\r\n" + b"w" * 300_000  # its connection is reset after these bytes

WhenAnswered = Callable[[World, SlowReader], Awaitable[None]]


class ResettingBackend(Backend):
    """Answers with 60 KB; a request whose id begins with `cut` gets a part of a long answer, then a reset."""

    def __init__(self) -> None:
        super().__init__()
        self.may_reset = asyncio.Event()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.got.append(command)
            if not command[2].startswith(b"cut"):
                writer.write(REPLY)
                continue
            writer.write(CUT_REPLY)
            await self.may_reset.wait()
            reset(writer.transport)


@asynccontextmanager
async def answered_client() -> AsyncIterator[tuple[World, SlowReader]]:
    """Run a gateway whose client has been answered and has read nothing: its system holds the answer."""
    backend = ResettingBackend()
    async with running(World(backend)) as world:
        client = SlowReader()
        await client.connect(world.port)
        await client.send(request(b"first", name=b"wipe"))
        await until(lambda: backend.got)
        await asyncio.sleep(0.05)
        try:
            yield world, client
        finally:
            client.close()


async def backend_breaks_a_long_answer_off(world: World, client: SlowReader) -> None:
    backend = world.backends[0]
    assert isinstance(backend, ResettingBackend)
    await client.send(request(b"cut", name=b"wipe"))
    await until(lambda: len(backend.got) == 2)
    await asyncio.sleep(0.1)
    await client.send(request(b"unread"))
    await asyncio.sleep(0.1)
    backend.may_reset.set()


async def client_goes_on_sending_after_the_last_answer(world: World, client: SlowReader) -> None:
    await client.send((b"QUIT",))
    await asyncio.sleep(0.5)
    await client.send(request(b"late"))


async def client_sends_much_after_the_last_answer(world: World, client: SlowReader) -> None:
    await client.send((b"QUIT",), (b"x" * 2 * ending.MAX_DISCARDED_BYTES,))
    await asyncio.sleep(0.1)
    await client.send(request(b"late"))


async def client_breaks_the_protocol_after_a_pause(world: World, client: SlowReader) -> None:
    await asyncio.sleep(0.2)
    await client.send((b"x",) * 100)
    await asyncio.sleep(0.3)
    await client.send(request(b"late"))


async def many_connections_end_at_once(world: World, client: SlowReader) -> None:
    for _ in range(clients.MAX_LINGERING):
        other = await world.client()
        other.send(b"QUIT")
    assert await other.receive() == b"OK"
    await client.send((b"QUIT",))
    await asyncio.sleep(0.02)
    await client.send(request(b"late"))


async def operator_drains(world: World, client: SlowReader) -> None:
    reader, writer = await asyncio.open_connection(LOCAL, world.operator)
    writer.write(b"POST /ops/drain/start HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n")
    await reader.read()
    writer.close()
    await asyncio.sleep(1.2)
    await client.send(request(b"late"))


async def gateway_ends(world: World, client: SlowReader) -> None:
    world.stop.set()
    await asyncio.sleep(1.2)
    await client.send(request(b"late"))


async def client_shuts_its_sending_side(world: World, client: SlowReader) -> None:
    await client.send(request(b"cut", name=b"wipe"))
    await until(lambda: len(world.backends[0].got) == 2)
    await asyncio.sleep(0.1)
    await client.send(request(b"unread"))
    client.socket.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.4)


# Guards against: a close that takes along what the system still holds of an earlier answer (review case 9).
@pytest.mark.parametrize(
    "ends",
    [
        backend_breaks_a_long_answer_off,
        client_goes_on_sending_after_the_last_answer,
        client_sends_much_after_the_last_answer,
        client_breaks_the_protocol_after_a_pause,
        many_connections_end_at_once,
        operator_drains,
        gateway_ends,
        client_shuts_its_sending_side,
    ],
)
def test_answer_held_by_the_system_arrives_whole_when_its_connection_ends(
    ends: WhenAnswered, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(supervision, "LINGER_TIMEOUT_S", 0.1)
    monkeypatch.setattr(clients, "LINGER_TIMEOUT_S", 0.1)
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        async with answered_client() as (world, client):
            await ends(world, client)
            await asyncio.sleep(0.1)
            received = await client.read(len(ANSWER))
            assert len(received) == len(ANSWER) and received == ANSWER

    in_loop(scenario)


# Guards against: an idle connection whose answer the system still holds gives its place to a newcomer.
def test_connection_whose_answer_is_held_by_the_system_is_not_evicted() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=256)) as world:
            client = SlowReader()
            await client.connect(world.port)
            await client.send((b"PING", ANSWER[8:-2]))
            await asyncio.sleep(0.05)
            for _ in range(128):  # more than the places for connections without a request
                await world.client()
            await asyncio.sleep(0.1)
            await client.send((b"PING",))
            assert await client.read(len(ANSWER)) == ANSWER
            client.close()

    in_loop(scenario)


# Guards against: a process that ends while a slow client still reads the answer to its last request.
def test_process_stays_until_a_slow_client_has_read_its_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = ResettingBackend()
        async with program(tmp_path, World(backend)) as gateway:
            (await connect_client(gateway.port)).close()
            client = SlowReader()
            await client.connect(gateway.port)
            await client.send(request(b"first", name=b"wipe", wait=4000))
            await until(lambda: backend.got)
            await asyncio.sleep(0.1)
            gateway.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(3.7)  # the requests in flight are failed 3.4 s after SIGTERM
            await client.send(request(b"late"))
            assert await client.read(len(ANSWER)) == ANSWER
            client.close()
            assert await gateway.process.wait() == 0

    in_loop(scenario)


# Guards against: an operator's connection that is reset, and loses the reply, by bytes behind the call.
def test_reply_to_an_operator_arrives_whole_with_bytes_behind_the_call() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            operator = SlowReader(receive_buffer_bytes=1024)
            await operator.connect(world.operator)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(operator.socket, b"GET /ops/stats HTTP/1.1\r\nHost: o\r\n\r\n")
            await asyncio.sleep(0.1)
            await loop.sock_sendall(operator.socket, b"more")
            await asyncio.sleep(0.1)
            head, _, body = (await operator.read()).partition(b"\r\n\r\n")
            assert b"Content-Length: %d\r\n" % len(body) in head + b"\r\n"
            operator.close()

    in_loop(scenario)
