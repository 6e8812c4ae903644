"""Long values: passed on in pieces, both ways, with little held."""

from __future__ import annotations

import asyncio
import random

import pytest
from cutting_backend import PiecewiseBackend
from operator_calls import stats

from switchline.clients import server as clients
from switchline.clients import watchdog
from switchline.net.streams import (
    MAX_VALUE_BYTES,
    MIN_WINDOW_BYTES,
    BufferBudget,
    StreamedRequestBody,
    StreamedResponse,
)
from testbed.network.sockets import Peer, Reply, encode, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request, running

LONG = random.Random(7).randbytes(MAX_VALUE_BYTES)


def array(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$6\r\nused=3\r\n$-1\r\n" % (len(value), value)


def put(id: bytes = b"p1", body: bytes = LONG, plan: bytes = b"free") -> bytes:
    return encode(*request(id, name=b"wipe", plan=plan, body=body))


async def write_cut(peer: Peer, data: bytes, seed: int) -> None:
    """Write it in pieces cut anywhere, some of them very small."""
    chance, at = random.Random(seed), 0
    while at < len(data):
        end = at + chance.choice([1, 2, 700, 40_000, 300_000])
        peer.writer.write(data[at:end])
        await peer.writer.drain()
        await asyncio.sleep(0)
        at = end


@pytest.mark.parametrize("seed", range(3))
def test_a_long_value_comes_through_both_ways_however_it_is_cut(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    taken: list[BufferBudget] = []
    begin = StreamedRequestBody.__init__

    def note(body: StreamedRequestBody, room: BufferBudget, length: int) -> None:
        taken.append(room)
        begin(body, room, length)

    monkeypatch.setattr(StreamedRequestBody, "__init__", note)

    async def scenario() -> None:
        async def script(command: list[bytes]) -> Reply:
            return array(command[4] if len(command) > 4 else b"value")

        backend = Backend(script)
        async with running(World(backend)) as world:
            peer = await world.client()
            for number in range(2):  # the connections serve on
                small = encode(*request(b"s%d" % number, name=b"wipe"))
                sent = put(b"p%d" % number) + small + encode(b"PING")
                writing = asyncio.create_task(write_cut(peer, sent, seed + number))
                assert await peer.receive() == LONG
                assert await peer.receive() == b"value"
                assert await peer.receive() == b"PONG"
                await writing
            assert taken and not taken[0].active_values  # no value's share of the memory is held on
            now = await stats(world)
            assert now["succeeded.wipe"] == 4 and now["outstanding"] == 0 and now["forwards"] == 4
            assert backend.accepted <= 2  # connections are used again

    in_loop(scenario)


def test_a_value_is_passed_on_as_it_comes() -> None:
    async def scenario() -> None:
        reply = array(LONG)
        backend = PiecewiseBackend(reply, [100_000, 2_000_000])
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request(name=b"wipe"))
            head = await peer.reader.readexactly(90_000)  # the backend holds the rest
            assert head.startswith(b"$%d\r\n" % len(LONG)) and (await stats(world))["outstanding"] == 1
            backend.next_piece.release()
            backend.next_piece.release()
            whole = head + await peer.reader.readexactly(len(LONG) + 12 - 90_000)
            assert whole == b"$%d\r\n%b\r\n" % (len(LONG), LONG)

    in_loop(scenario)


def test_a_deadline_does_not_cut_what_has_begun() -> None:
    async def scenario() -> None:
        backend = PiecewiseBackend(array(LONG), [100_000])
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request(wait=200, name=b"wipe"))
            await peer.reader.readexactly(50_000)
            await asyncio.sleep(0.4)
            backend.next_piece.release()
            assert len(await peer.reader.readexactly(len(LONG) + 12 - 50_000))

    in_loop(scenario)


def test_a_client_can_tell_that_a_value_broke_off() -> None:
    async def scenario() -> None:
        async with running(World(PiecewiseBackend(array(LONG)[:300_000], [], breaks_off=True))) as world:
            peer = await world.client()
            peer.send(*request(name=b"wipe"))
            got = await peer.reader.read(-1)
            assert 0 < len(got) < len(LONG)
            now = await stats(world)
            assert now["aborted.wipe"] == 1 and now["succeeded.wipe"] == 0 and now["outstanding"] == 0

    in_loop(scenario)


def test_a_value_that_breaks_behind_another_answer_is_a_plain_failure() -> None:
    async def scenario() -> None:
        first, others = asyncio.Event(), asyncio.Event()

        class Both(Backend):
            async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                peer = Peer(reader, writer)
                command = await peer.receive()
                self.got.append(command)
                if command[2] == b"r1":
                    await first.wait()
                    writer.write(array(b"first"))
                    await others.wait()
                else:
                    writer.write(array(LONG)[:10_000])  # less than would wait, and it breaks

        async with running(World(Both())) as world:
            peer = await world.client()
            peer.send(*request(b"r1", name=b"wipe"))
            peer.send(*request(b"r2", name=b"wipe"))
            while not (await stats(world))["aborted.wipe"]:
                pass
            first.set()
            assert [await peer.receive(), str(await peer.receive())] == [b"first", "ERR failed"]
            others.set()

    in_loop(scenario)


def test_a_refusal_does_not_wait_for_the_value_and_its_rest_is_discarded() -> None:
    async def scenario() -> None:
        backend = Backend()
        async with running(World(backend)) as world:
            peer = await world.client()
            for number in range(2):  # the burst of the plan
                assert await world.ask(peer, id=b"b%d" % number, plan=b"basic", name=b"wipe") == b"value"
            whole = put(plan=b"basic")
            peer.writer.write(whole[:200])
            assert str(await peer.receive()).startswith("BUSY ")
            await write_cut(peer, whole[200:], 5)
            assert await world.ask(peer, id=b"n1", name=b"wipe") == b"value"
            unknown = encode(*request(b"u1", name=b"what", body=LONG))
            peer.writer.write(unknown[:200])
            assert str(await peer.receive()).startswith("ERR ")
            await write_cut(peer, unknown[200:], 6)
            assert await world.ask(peer, id=b"n2", name=b"wipe") == b"value"
            assert len(backend.got) == 4 and (await stats(world))["declined.wipe"] == 1

    in_loop(scenario)


class Breaking(Backend):
    """Reads some bytes of a command, and breaks the connection."""

    def __init__(self, after: int) -> None:
        super().__init__()
        self.after, self.times = after, 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        got = 0
        while got < self.after:
            if not (data := await reader.read(self.after - got)):
                return
            got += len(data)
        self.times += 1


@pytest.mark.parametrize(("after", "again"), [(1_000, True), (1_000_000, False)])
def test_what_was_kept_is_sent_again_and_the_rest_is_not(after: int, again: bool) -> None:
    async def scenario() -> None:
        broken, sound = Breaking(after), Backend()
        begun = 30_000 if again else 2_000_000  # within what is kept, and beyond it
        async with running(World(broken, sound)) as world:
            peer, number = await world.client(), 0
            while not broken.times:
                number += 1
                whole = put(b"p%d" % number)
                peer.writer.write(whole[:begun])
                for _ in range(20):
                    await asyncio.sleep(0.005)
                if again or not broken.times:
                    peer.writer.write(whole[begun:])
                    answer = await peer.receive()
                else:
                    answer = await peer.receive()  # at once, whatever is still to come
                    peer.writer.write(whole[begun:])
            if again:
                assert answer == b"value" and sound.got[-1][4] == LONG
            else:
                assert str(answer).startswith("BUSY")  # it never ran: to try again is harmless
            assert await world.ask(peer, id=b"n1", name=b"wipe") == b"value"

    in_loop(scenario)


@pytest.mark.parametrize("sent", [b"", put()[:100], put()[:100_000], b"*5\r\n$9\r\nAPI.WRITE\r\n"])
def test_a_peer_that_stalls_gets_its_error_and_a_slow_one_is_served(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watchdog, "COMMAND_TIMEOUT_S", 0.2)
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            stalled, slow = await world.client(), await world.client()
            stalled.writer.write(sent)
            whole = put(b"slow", body=LONG[:70_000])
            pieces = [whole[:150], *(whole[at : at + 7_000] for at in range(150, len(whole), 7_000))]
            for piece in pieces:
                slow.writer.write(piece)
                await asyncio.sleep(0.05)
            assert await slow.receive() == b"value"
            assert [str(await stalled.receive()), await stalled.receive()] == ["ERR protocol error", None]
            assert (await stats(world))["outstanding"] == 0

    in_loop(scenario)


def test_a_value_beyond_the_limit_is_refused_at_its_head() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.writer.write(put()[:150].replace(b"$%d" % MAX_VALUE_BYTES, b"$60000000"))
            assert [str(await peer.receive()), await peer.receive()] == ["ERR protocol error", None]

    in_loop(scenario)


def test_little_is_held_of_a_value_that_a_backend_does_not_read() -> None:
    async def scenario() -> None:
        class Deaf(Backend):
            async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
            async with running(World(Deaf())) as world:
                peers = [await world.client() for _ in range(8)]
                for number, peer in enumerate(peers):
                    peer.writer.write(put(b"p%d" % number))
                # What the machine's own buffers hold differs; either all fits there, or the gateway waits.
                await until(
                    lambda: (
                        len(bodies) == 8 and all(b.full or b.received_bytes == b.length_bytes for b in bodies)
                    )
                )
                assert 0 < peak <= 3 * next(iter(bodies)).buffer_budget.window_bytes

    in_loop(scenario)


def test_room_is_divided_among_the_values_under_way() -> None:
    room = BufferBudget(32 * 1024 * 1024)
    bodies = [StreamedRequestBody(room, MAX_VALUE_BYTES) for _ in range(100)]
    assert room.window_bytes * 100 <= room.budget_bytes
    values = [StreamedResponse(room, MAX_VALUE_BYTES, lambda: None) for _ in range(1_000)]
    assert room.window_bytes == MIN_WINDOW_BYTES
    for value in [*bodies, *values]:
        value.drop()
        value.drop()
    assert room.active_values == 0


def test_a_body_lets_go_of_what_was_sent_and_says_so() -> None:
    room = BufferBudget(64 * 1024 * 1024)
    body = StreamedRequestBody(room, MAX_VALUE_BYTES)
    body.begin(lambda: None)
    body.feed(LONG[: room.window_bytes])
    assert body.full and body.pull() == LONG[: room.window_bytes] and body.repeatable
    body.begin(lambda: None)
    assert body.pull() == LONG[: room.window_bytes]
    body.feed(LONG[room.window_bytes : room.window_bytes + 10])
    assert body.pull() == LONG[room.window_bytes : room.window_bytes + 10]
    assert not body.repeatable and not body.buffer
