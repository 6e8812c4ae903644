"""Attempts on backend connections, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from backend_attempts import RecordedAttempt, running_pool

from switchline.backends import connection as module
from switchline.backends import pool as pool_module
from switchline.backends.connection import Connection
from switchline.backends.pool import BackendPool
from switchline.net.descriptors import Budget
from switchline.net.idle import EVIDENCE_DECAY_MS, IdleTimes
from switchline.policy.interface import BackendState, Outcome
from testbed.network.sockets import LOCAL, Peer, Reply, Server, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, running

SERVED = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


async def idle_connection(pool: BackendPool) -> Connection:
    """The one idle connection, once its last answer has settled."""
    await until(lambda: pool.endpoints[0].idle)
    (connection,) = pool.endpoints[0].idle
    return connection


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (SERVED, Outcome.OK),
        (b"-BUSY\r\n", Outcome.QUEUE_FULL),
        (b"-BUSY queue\r\n", Outcome.QUEUE_FULL),
        (b"-ERR failed\r\n", Outcome.FAILED),
        (b"-ERR failed inflight=7\r\n", Outcome.FAILED),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.FAILED),
        (b"", Outcome.RESET),
        (b"?\r\n", Outcome.RESET),
        (b"*1000000000\r\n", Outcome.RESET),
        (b"*3\r\n*1000000000\r\n", Outcome.RESET),
        (b">1000000000\r\n", Outcome.RESET),
    ],
)
def test_what_comes_back_tells_the_outcome(reply: bytes, outcome: Outcome) -> None:
    async def script(command: list[bytes]) -> Reply:
        return reply

    async def scenario() -> None:
        async with running_pool(Backend(script)) as made:
            assert (await RecordedAttempt(made).result())[0] is outcome

    in_loop(scenario)


@pytest.mark.parametrize(
    ("figures", "cost"),
    [
        (b"$16\r\nused=37,cost=4.5\r\n", 4.5),
        (b"$7\r\nused=37\r\n", 0.0),
        (b"$-1\r\n", 0.0),
        (b"$8\r\ncost=nan\r\n", 0.0),
        (b"$7\r\ncost=-2\r\n", 0.0),
        (b"$6\r\ncost=x\r\n", 0.0),
    ],
)
def test_the_true_units_are_read_from_the_figures_on_use(figures: bytes, cost: float) -> None:
    async def script(command: list[bytes]) -> Reply:
        return b"*3\r\n$5\r\nvalue\r\n" + figures + b"$-1\r\n"

    async def scenario() -> None:
        async with running_pool(Backend(script)) as made:
            tried = RecordedAttempt(made)
            assert (await tried.result())[0] is Outcome.OK
            assert tried.attempt.true_units == cost

    in_loop(scenario)


def test_a_refused_connection_never_ran() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            server.server.close()
            assert await RecordedAttempt(made).result() == (Outcome.CONNECT_FAILED, b"")
            assert await RecordedAttempt(made, backend=9).result() == (
                Outcome.CONNECT_FAILED,
                b"",
            )  # never listed

    in_loop(scenario)


def test_a_break_before_the_last_byte_never_ran() -> None:
    """Nobody reads, so the tail of a large request stays in the process until the connection breaks."""

    class Deaf(Server):
        async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            go_on = self.go_on = asyncio.Event()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await go_on.wait()
            writer.transport.abort()

    async def scenario() -> None:
        server = Deaf()
        async with running_pool(server) as made:
            tried = RecordedAttempt(made, body=b"x" * 32_000_000)
            await until(lambda: server.accepted and tried.attempt.connection is not None)
            connection = tried.attempt.connection
            assert connection is not None
            await until(lambda: connection.writing_blocked)
            server.go_on.set()
            assert (await tried.result())[0] is Outcome.CONNECT_FAILED

    in_loop(scenario)


def test_a_large_request_goes_out_whole() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            assert (await RecordedAttempt(made, body=b"x" * 8_000_000).result())[0] is Outcome.OK
            assert server.got[0][4] == b"x" * 8_000_000

    in_loop(scenario)


def test_the_connection_used_last_is_used_again() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            await asyncio.gather(RecordedAttempt(made).result(), RecordedAttempt(made).result())
            assert server.accepted == 2
            for _ in range(5):
                assert (await RecordedAttempt(made).result())[0] is Outcome.OK
            assert server.accepted == 2

    in_loop(scenario)


def test_a_connection_that_the_backend_has_closed_is_not_written_to() -> None:
    """The end of a pooled connection may lie unread; a request written to it would end as a reset."""

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            assert (await RecordedAttempt(made).result())[0] is Outcome.OK
            connection = await idle_connection(made)
            made.loop.remove_reader(connection.fd)  # as if the event loop had not yet come to it
            server.hang_up()
            await until(lambda: not connection.is_alive())
            assert (await RecordedAttempt(made).result())[0] is Outcome.OK
            assert server.accepted == 2 and len(server.got) == 2

    in_loop(scenario)


def test_an_idle_connection_is_retired_before_the_backend_closes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "SWEEP_INTERVAL_MS", 5.0)

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            assert (await RecordedAttempt(made).result())[0] is Outcome.OK
            connection = await idle_connection(made)
            connection.idle_since_ms -= made.idle_times.limit_ms - 20
            await until(lambda: server.ended)
            assert not made.connections and made.idle_times.limit_ms < 15_000 * 0.8

    in_loop(scenario)


def test_a_given_up_attempt_is_closed_before_its_end_is_told() -> None:
    """What follows a given-up attempt is sent at once, and two must never be out together."""

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        server = Backend(silent)
        async with running_pool(server) as made:
            tried = RecordedAttempt(made)
            await until(lambda: server.got)
            connection = tried.attempt.connection
            assert connection is not None
            closed: list[bool] = []
            tried.attempt.on_ended = lambda *_: closed.append(connection.socket.fileno() == -1)
            made.give_up(tried.attempt, Outcome.CANCELLED)
            assert closed == [True]
            await until(lambda: server.ended)

    in_loop(scenario)


def test_a_drain_heard_while_connecting_keeps_the_request_back() -> None:
    """The cutoff holds at the first byte written, not when the attempt was asked for."""

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            tried = RecordedAttempt(made)  # the connection is not up yet
            made.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert (await tried.result())[0] is Outcome.CONNECT_FAILED
            assert (await RecordedAttempt(made).result())[0] is Outcome.CONNECT_FAILED
            await until(lambda: not server.open)
            assert not server.got

    in_loop(scenario)


def test_a_request_that_ended_while_connecting_is_not_sent() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            assert (await RecordedAttempt(made, wait_ms=0).result())[0] is Outcome.IGNORED
            assert not server.got

    in_loop(scenario)


def test_a_time_out_before_the_connection_is_up_never_ran() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            tried = RecordedAttempt(made)
            made.give_up(tried.attempt, Outcome.TIMED_OUT)
            assert (await tried.result())[0] is Outcome.CONNECT_FAILED

    in_loop(scenario)


def test_the_bound_closes_idle_connections_and_then_there_is_no_room() -> None:
    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        first, second = Backend(), Backend(silent)
        async with running_pool(
            first, second, budget=Budget(1), connect_timeout_ms=100
        ) as made:  # eight connections
            assert (await RecordedAttempt(made).result())[0] is Outcome.OK
            held = [RecordedAttempt(made, backend=1) for _ in range(8)]
            await until(lambda: len(second.got) == 8)
            await until(lambda: first.ended)
            assert (await RecordedAttempt(made).result())[0] is Outcome.NO_CONNECTION
            assert not any(t.endings for t in held) and len(made.connections) == 8

    in_loop(scenario)


def test_a_changed_address_is_followed() -> None:
    async def scenario() -> None:
        old, new = Backend(), Backend()
        async with running_pool(old) as made:
            await new.start()
            assert (await RecordedAttempt(made).result())[0] is Outcome.OK
            made.update(0, (LOCAL, new.port), BackendState.READY)
            assert (await RecordedAttempt(made).result())[0] is Outcome.OK
            assert len(old.got) == len(new.got) == 1
            await until(lambda: old.ended)
            await new.stop()

    in_loop(scenario)


def test_a_reset_is_tried_again_elsewhere_by_the_module() -> None:
    async def scenario() -> None:
        broke: list[bytes] = []

        async def script(command: list[bytes]) -> Reply:
            if not broke:
                broke.append(command[2])
                return b""
            return SERVED

        async with running(World(Backend(script), Backend(script))) as world:
            assert await world.ask(await world.client()) == b"value"
            assert sorted(len(b.got) for b in world.backends) == [1, 1]

    in_loop(scenario)


def test_unsafe_work_that_may_have_run_is_failed_and_not_sent_again() -> None:
    async def script(command: list[bytes]) -> Reply:
        return b""

    async def scenario() -> None:
        async with running(World(Backend(script), Backend(script))) as world:
            reply = await world.ask(await world.client(), name=b"wipe", body=b"x")
            assert str(reply) == "ERR failed"
            assert sum(len(b.got) for b in world.backends) == 1

    in_loop(scenario)


def test_an_idle_time_after_which_requests_are_reset_is_shunned_until_the_evidence_fades() -> None:
    times = IdleTimes(9_000.0)
    for number in range(40):  # resets as such, at whatever idle time, shun nothing
        times.record_use(5.0 + number * 10, reset=number % 10 == 0)
    assert times.allows(1_000.0, 8_000.0)
    for number in range(40):
        times.record_use(300.0, reset=number % 2 == 0)
    assert not times.allows(2_000.0, 400.0) and not times.allows(2_000.0, 8_000.0)
    assert times.allows(2_000.0, 100.0)
    assert times.allows(2_000.0 + 3 * EVIDENCE_DECAY_MS, 400.0)


def test_a_backend_that_drops_idle_connections_unsaid_is_no_longer_sent_work_on_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "IMMEDIATE_RESET_MS", 10_000.0)  # a test machine may be slow

    async def scenario() -> None:
        class Dropping(Backend):
            """Resets what comes on a connection that stood idle, and did not close it before."""

            async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                peer, fresh = Peer(reader, writer), True
                while (command := await peer.receive()) is not None:
                    if not fresh and b"idle" in command[2]:
                        return writer.transport.abort()
                    fresh = False
                    writer.write(SERVED)

        async with running_pool(Dropping()) as made:
            resets = 0
            for number in range(30):
                assert (await RecordedAttempt(made).result())[0] is Outcome.OK
                connection = await idle_connection(made)
                connection.idle_since_ms -= 500  # as if it had stood for so long
                tried = RecordedAttempt(made, id=b"idle%d" % number)
                resets += (await tried.result())[0] is Outcome.RESET
            assert 3 <= resets < 10

    in_loop(scenario)


# ---- what may come between the decision to send and the first byte ----


def test_an_attempt_that_is_hindered_while_it_waits_is_never_written() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            first, second = RecordedAttempt(made), RecordedAttempt(made)
            first.reason_not_to_send = Outcome.CANCELLED
            assert (await first.result())[0] is Outcome.CANCELLED
            assert (await second.result())[0] is Outcome.OK
            assert len(server.got) == 1 and not first.written

    in_loop(scenario)


def test_a_request_hindered_before_its_last_byte_never_arrives_whole() -> None:
    async def scenario() -> None:
        read = asyncio.Event()

        class Slow(Backend):
            async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await read.wait()
                await super().talk(reader, writer)

        server = Slow()
        async with running_pool(server) as made:
            tried = RecordedAttempt(made, body=bytes(32_000_000))
            await until(
                lambda: tried.attempt.connection is not None and tried.attempt.connection.writing_blocked
            )
            tried.reason_not_to_send = Outcome.IGNORED
            read.set()
            assert (await tried.result())[0] is Outcome.CONNECT_FAILED  # it can't have run
            await until(lambda: server.ended)
            assert not server.got and not tried.written

    in_loop(scenario)


def test_a_drain_ends_at_once_what_waits_for_a_connection() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            tried = RecordedAttempt(made)
            made.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert tried.endings == [(Outcome.CONNECT_FAILED, b"")]
            assert not made.connections  # nor does its handshake go on

    in_loop(scenario)


def test_a_handshake_that_nobody_waits_for_is_given_up() -> None:
    """A connection that comes up late is not written to after its attempt was given up."""

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as made:
            gone, stays = RecordedAttempt(made), RecordedAttempt(made)
            assert made.gauges()["backends.opening"] == 2
            made.give_up(gone.attempt, Outcome.TIMED_OUT)
            assert made.gauges()["backends.opening"] == 1
            assert (await stays.result())[0] is Outcome.OK
            assert len(made.connections) == 1

    in_loop(scenario)


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_request_s(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pool_module, "SETTLE_RATIO", 1e9)
    monkeypatch.setattr(pool_module, "MAX_SETTLE_MS", 60_000.0)

    async def scenario() -> None:
        go_on = asyncio.Event()

        class Twice(Backend):
            async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                peer = Peer(reader, writer)
                while (command := await peer.receive()) is not None:
                    self.got.append(command)
                    writer.write(b"*3\r\n$3\r\n%b\r\n$-1\r\n$-1\r\n" % command[2])
                    if command[2] == b"one":
                        await go_on.wait()
                        writer.write(b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")

        async with running_pool(Twice()) as made:
            assert await RecordedAttempt(made, id=b"one").result() == (Outcome.OK, b"one")
            second = RecordedAttempt(made, id=b"two")
            go_on.set()
            assert await second.result() == (Outcome.OK, b"two")

    in_loop(scenario)
