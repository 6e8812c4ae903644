"""Long values are forwarded in pieces in both directions, with small buffers."""

from __future__ import annotations

import asyncio
import random

import pytest
from cutting_backend import PiecewiseBackend
from operator_calls import stats

from switchline.clients import server as clients
from switchline.clients import watchdog
from switchline.net.memory import MAX_VALUE_BYTES
from switchline.net.streams import (
    MIN_WINDOW_BYTES,
    BufferBudget,
    StreamedRequestBody,
    StreamedResponse,
)
from testbed.network.sockets import Peer, Reply, encode, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request, running

LONG_VALUE = random.Random(7).randbytes(MAX_VALUE_BYTES)


def value_reply(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$6\r\nused=3\r\n$-1\r\n" % (len(value), value)


def long_request(id: bytes = b"p1", body: bytes = LONG_VALUE, plan: bytes = b"free") -> bytes:
    return encode(*request(id, name=b"wipe", plan=plan, body=body))


async def write_in_pieces(peer: Peer, data: bytes, seed: int) -> None:
    """Write data in pieces of random sizes, some of them very small."""
    rng, position = random.Random(seed), 0
    while position < len(data):
        end = position + rng.choice([1, 2, 700, 40_000, 300_000])
        peer.writer.write(data[position:end])
        await peer.writer.drain()
        await asyncio.sleep(0)
        position = end


@pytest.mark.parametrize("seed", range(3))
def test_long_value_is_forwarded_in_both_directions_however_it_is_split(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    used_budgets: list[BufferBudget] = []
    original_init = StreamedRequestBody.__init__

    def record_budget(body: StreamedRequestBody, buffer_budget: BufferBudget, length: int) -> None:
        used_budgets.append(buffer_budget)
        original_init(body, buffer_budget, length)

    monkeypatch.setattr(StreamedRequestBody, "__init__", record_budget)

    async def scenario() -> None:
        async def script(command: list[bytes]) -> Reply:
            return value_reply(command[4] if len(command) > 4 else b"value")

        backend = Backend(script)
        async with running(World(backend)) as world:
            peer = await world.client()
            for number in range(2):  # the connections are still usable after a long value
                small = encode(*request(b"s%d" % number, name=b"wipe"))
                sent = long_request(b"p%d" % number) + small + encode(b"PING")
                writing = asyncio.create_task(write_in_pieces(peer, sent, seed + number))
                assert await peer.receive() == LONG_VALUE
                assert await peer.receive() == b"value"
                assert await peer.receive() == b"PONG"
                await writing
            # All values have returned their share of the budget.
            assert used_budgets and not used_budgets[0].active_values
            metrics = await stats(world)
            assert metrics["succeeded.wipe"] == 4 and metrics["outstanding"] == 0 and metrics["forwards"] == 4
            assert backend.accepted <= 2  # connections are reused

    in_loop(scenario)


def test_long_answer_is_forwarded_as_it_arrives() -> None:
    async def scenario() -> None:
        reply = value_reply(LONG_VALUE)
        backend = PiecewiseBackend(reply, [100_000, 2_000_000])
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request(name=b"wipe"))
            head = await peer.reader.readexactly(90_000)  # the backend has not sent the rest
            assert head.startswith(b"$%d\r\n" % len(LONG_VALUE)) and (await stats(world))["outstanding"] == 1
            backend.next_piece.release()
            backend.next_piece.release()
            whole = head + await peer.reader.readexactly(len(LONG_VALUE) + 12 - 90_000)
            assert whole == b"$%d\r\n%b\r\n" % (len(LONG_VALUE), LONG_VALUE)

    in_loop(scenario)


def test_deadline_does_not_end_a_long_answer_that_has_begun() -> None:
    async def scenario() -> None:
        backend = PiecewiseBackend(value_reply(LONG_VALUE), [100_000])
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request(wait=200, name=b"wipe"))
            await peer.reader.readexactly(50_000)
            await asyncio.sleep(0.4)
            backend.next_piece.release()
            assert len(await peer.reader.readexactly(len(LONG_VALUE) + 12 - 50_000))

    in_loop(scenario)


def test_client_connection_ends_when_a_long_answer_is_aborted() -> None:
    async def scenario() -> None:
        async with running(
            World(PiecewiseBackend(value_reply(LONG_VALUE)[:300_000], [], breaks_off=True))
        ) as world:
            peer = await world.client()
            peer.send(*request(name=b"wipe"))
            got = await peer.reader.read(-1)
            assert 0 < len(got) < len(LONG_VALUE)
            metrics = await stats(world)
            assert (
                metrics["aborted.wipe"] == 1
                and metrics["succeeded.wipe"] == 0
                and metrics["outstanding"] == 0
            )

    in_loop(scenario)


def test_long_answer_that_breaks_while_it_waits_for_an_earlier_one_is_a_failure() -> None:
    async def scenario() -> None:
        first, others = asyncio.Event(), asyncio.Event()

        class TwoAnswersBackend(Backend):
            async def serve_connection(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                peer = Peer(reader, writer)
                command = await peer.receive()
                self.got.append(command)
                if command[2] == b"r1":
                    await first.wait()
                    writer.write(value_reply(b"first"))
                    await others.wait()
                else:
                    # Fewer bytes than fit into the buffer; then the connection breaks.
                    writer.write(value_reply(LONG_VALUE)[:10_000])

        async with running(World(TwoAnswersBackend())) as world:
            peer = await world.client()
            peer.send(*request(b"r1", name=b"wipe"))
            peer.send(*request(b"r2", name=b"wipe"))
            while not (await stats(world))["aborted.wipe"]:
                pass
            first.set()
            assert [await peer.receive(), str(await peer.receive())] == [b"first", "ERR failed"]
            others.set()

    in_loop(scenario)


def test_rejection_is_sent_before_the_value_has_arrived_and_its_rest_is_discarded() -> None:
    async def scenario() -> None:
        backend = Backend()
        async with running(World(backend)) as world:
            peer = await world.client()
            for number in range(2):  # the plan's burst
                assert await world.ask(peer, id=b"b%d" % number, plan=b"basic", name=b"wipe") == b"value"
            whole = long_request(plan=b"basic")
            peer.writer.write(whole[:200])
            assert str(await peer.receive()).startswith("BUSY ")
            await write_in_pieces(peer, whole[200:], 5)
            assert await world.ask(peer, id=b"n1", name=b"wipe") == b"value"
            unknown = encode(*request(b"u1", name=b"what", body=LONG_VALUE))
            peer.writer.write(unknown[:200])
            assert str(await peer.receive()).startswith("ERR ")
            await write_in_pieces(peer, unknown[200:], 6)
            assert await world.ask(peer, id=b"n2", name=b"wipe") == b"value"
            assert len(backend.got) == 4 and (await stats(world))["declined.wipe"] == 1

    in_loop(scenario)


class BreakingBackend(Backend):
    """Reads `break_after_bytes` of a command and closes the connection."""

    def __init__(self, break_after_bytes: int) -> None:
        super().__init__()
        self.break_after_bytes, self.breaks = break_after_bytes, 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received_bytes = 0
        while received_bytes < self.break_after_bytes:
            if not (data := await reader.read(self.break_after_bytes - received_bytes)):
                return
            received_bytes += len(data)
        self.breaks += 1


@pytest.mark.parametrize(("break_after_bytes", "retried"), [(1_000, True), (1_000_000, False)])
def test_request_is_retried_only_while_its_value_is_buffered_from_the_start(
    break_after_bytes: int, retried: bool
) -> None:
    async def scenario() -> None:
        broken, sound = BreakingBackend(break_after_bytes), Backend()
        first_bytes = 30_000 if retried else 2_000_000  # less or more than the buffer for a retry
        async with running(World(broken, sound)) as world:
            peer, number = await world.client(), 0
            while not broken.breaks:
                number += 1
                whole = long_request(b"p%d" % number)
                peer.writer.write(whole[:first_bytes])
                for _ in range(20):
                    await asyncio.sleep(0.005)
                if retried or not broken.breaks:
                    peer.writer.write(whole[first_bytes:])
                    answer = await peer.receive()
                else:
                    answer = await peer.receive()  # at once, before the rest of the request arrives
                    peer.writer.write(whole[first_bytes:])
            if retried:
                assert answer == b"value" and sound.got[-1][4] == LONG_VALUE
            else:
                # The request never ran, so that the client may safely retry it.
                assert str(answer).startswith("BUSY")
            assert await world.ask(peer, id=b"n1", name=b"wipe") == b"value"

    in_loop(scenario)


@pytest.mark.parametrize(
    "sent", [b"", long_request()[:100], long_request()[:100_000], b"*5\r\n$9\r\nAPI.WRITE\r\n"]
)
def test_stalled_client_gets_an_error_and_a_slow_one_is_served(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watchdog, "COMMAND_TIMEOUT_S", 0.2)
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            stalled, slow = await world.client(), await world.client()
            stalled.writer.write(sent)
            whole = long_request(b"slow", body=LONG_VALUE[:70_000])
            pieces = [whole[:150], *(whole[start : start + 7_000] for start in range(150, len(whole), 7_000))]
            for piece in pieces:
                slow.writer.write(piece)
                await asyncio.sleep(0.05)
            assert await slow.receive() == b"value"
            assert [str(await stalled.receive()), await stalled.receive()] == ["ERR protocol error", None]
            assert (await stats(world))["outstanding"] == 0

    in_loop(scenario)


def test_value_over_the_length_limit_is_rejected_at_its_header() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.writer.write(long_request()[:150].replace(b"$%d" % MAX_VALUE_BYTES, b"$60000000"))
            assert [str(await peer.receive()), await peer.receive()] == ["ERR protocol error", None]

    in_loop(scenario)


def test_buffer_of_a_value_that_the_backend_does_not_read_stays_small() -> None:
    async def scenario() -> None:
        class NonReadingBackend(Backend):
            async def serve_connection(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.Event().wait()

        peak, bodies = 0, set()
        feed = StreamedRequestBody.feed

        def watch(body: StreamedRequestBody, data: bytes) -> None:
            nonlocal peak
            feed(body, data)
            bodies.add(body)
            peak = max(peak, len(body.buffer))

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(StreamedRequestBody, "feed", watch)
            async with running(World(NonReadingBackend())) as world:
                peers = [await world.client() for _ in range(8)]
                for number, peer in enumerate(peers):
                    peer.writer.write(long_request(b"p%d" % number))
                # The size of the system's socket buffers differs: either a value fits into them, or its
                # buffer in the gateway is full.
                await until(
                    lambda: (
                        len(bodies) == 8
                        and all(body.full or body.received_bytes == body.length_bytes for body in bodies)
                    )
                )
                assert 0 < peak <= 3 * next(iter(bodies)).buffer_budget.window_bytes

    in_loop(scenario)


def test_buffer_budget_is_divided_among_the_values_in_transfer() -> None:
    buffer_budget = BufferBudget(32 * 1024 * 1024)
    bodies = [StreamedRequestBody(buffer_budget, MAX_VALUE_BYTES) for _ in range(100)]
    assert buffer_budget.window_bytes * 100 <= buffer_budget.budget_bytes
    values = [StreamedResponse(buffer_budget, MAX_VALUE_BYTES, lambda: None) for _ in range(1_000)]
    assert buffer_budget.window_bytes == MIN_WINDOW_BYTES
    for value in [*bodies, *values]:
        value.drop()
        value.drop()
    assert buffer_budget.active_values == 0


def test_request_body_discards_sent_bytes_over_one_window_and_is_not_repeatable() -> None:
    buffer_budget = BufferBudget(64 * 1024 * 1024)
    body = StreamedRequestBody(buffer_budget, MAX_VALUE_BYTES)
    body.begin(lambda: None)
    body.feed(LONG_VALUE[: buffer_budget.window_bytes])
    assert body.full and body.pull() == LONG_VALUE[: buffer_budget.window_bytes] and body.repeatable
    body.begin(lambda: None)
    assert body.pull() == LONG_VALUE[: buffer_budget.window_bytes]
    body.feed(LONG_VALUE[buffer_budget.window_bytes : buffer_budget.window_bytes + 10])
    assert body.pull() == LONG_VALUE[buffer_budget.window_bytes : buffer_budget.window_bytes + 10]
    assert not body.repeatable and not body.buffer
