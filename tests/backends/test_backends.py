"""Attempts on backend connections over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from types import SimpleNamespace
from typing import cast

import pytest
from backend_attempts import RecordedAttempt, running_pool

from switchline.backends import connection as connection_module
from switchline.backends import pool as pool_module
from switchline.backends.connection import Connection
from switchline.backends.pool import BackendPool
from switchline.net.descriptors import Budget
from switchline.net.idle import EVIDENCE_DECAY_MS, IdleTimes
from switchline.policy.interface import BackendState, Outcome
from testbed.network.sockets import LINGER, LOCAL, Peer, Reply, Server, encode, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request, running

OK_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


async def idle_connection(pool: BackendPool) -> Connection:
    """Wait until the only connection to backend 0 is idle and return it."""
    await until(lambda: pool.endpoints[0].idle)
    (connection,) = pool.endpoints[0].idle
    return connection


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (OK_REPLY, Outcome.OK),
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
def test_reply_determines_the_outcome(reply: bytes, outcome: Outcome) -> None:
    async def script(command: list[bytes]) -> Reply:
        return reply

    async def scenario() -> None:
        async with running_pool(Backend(script)) as pool:
            assert (await RecordedAttempt(pool).result())[0] is outcome

    in_loop(scenario)


@pytest.mark.parametrize(
    ("usage_figures", "true_units"),
    [
        (b"$16\r\nused=37,cost=4.5\r\n", 4.5),
        (b"$7\r\nused=37\r\n", 0.0),
        (b"$-1\r\n", 0.0),
        (b"$8\r\ncost=nan\r\n", 0.0),
        (b"$7\r\ncost=-2\r\n", 0.0),
        (b"$6\r\ncost=x\r\n", 0.0),
    ],
)
def test_true_units_are_read_from_the_usage_figures(usage_figures: bytes, true_units: float) -> None:
    async def script(command: list[bytes]) -> Reply:
        return b"*3\r\n$5\r\nvalue\r\n" + usage_figures + b"$-1\r\n"

    async def scenario() -> None:
        async with running_pool(Backend(script)) as pool:
            recorded = RecordedAttempt(pool)
            assert (await recorded.result())[0] is Outcome.OK
            assert recorded.attempt.true_units == true_units

    in_loop(scenario)


def test_refused_connection_ends_as_connect_failed() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            server.server.close()
            assert await RecordedAttempt(pool).result() == (Outcome.CONNECT_FAILED, b"")
            # Backend 9 was never listed.
            assert await RecordedAttempt(pool, backend=9).result() == (Outcome.CONNECT_FAILED, b"")

    in_loop(scenario)


def test_break_before_the_last_byte_ends_as_connect_failed() -> None:
    """The server does not read, so the end of a large request is unsent when the connection breaks.

    Such a request can't have run and must be reported as safe to retry.
    """

    class NonReadingServer(Server):
        async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            may_abort = self.may_abort = asyncio.Event()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await may_abort.wait()
            writer.transport.abort()

    async def scenario() -> None:
        server = NonReadingServer()
        async with running_pool(server) as pool:
            recorded = RecordedAttempt(pool, body=b"x" * 32_000_000)
            await until(lambda: server.accepted and recorded.attempt.connection is not None)
            connection = recorded.attempt.connection
            assert connection is not None
            await until(lambda: connection.writing_blocked)
            server.may_abort.set()
            assert (await recorded.result())[0] is Outcome.CONNECT_FAILED

    in_loop(scenario)


def test_large_request_is_sent_completely() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            assert (await RecordedAttempt(pool, body=b"x" * 8_000_000).result())[0] is Outcome.OK
            assert server.got[0][4] == b"x" * 8_000_000

    in_loop(scenario)


def test_idle_connections_are_reused() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            await asyncio.gather(RecordedAttempt(pool).result(), RecordedAttempt(pool).result())
            assert server.accepted == 2
            for _ in range(5):
                assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
            assert server.accepted == 2

    in_loop(scenario)


def test_connection_closed_by_the_backend_is_not_reused() -> None:
    """Guards against sending on a pooled connection whose end has not been read yet.

    A request written to it would end with a reset, after which it may have run.
    """

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
            connection = await idle_connection(pool)
            pool.loop.remove_reader(connection.fd)  # as if the event loop had not yet processed the close
            server.hang_up()
            await until(lambda: not connection.is_alive())
            assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
            assert server.accepted == 2 and len(server.got) == 2

    in_loop(scenario)


def test_idle_connection_is_closed_before_the_keep_alive_time_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "SWEEP_INTERVAL_MS", 5.0)

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
            connection = await idle_connection(pool)
            connection.idle_since_ms -= pool.idle_times.limit_ms - 20
            await until(lambda: server.ended)
            assert not pool.connections and pool.idle_times.limit_ms < 15_000 * 0.8

    in_loop(scenario)


def test_given_up_attempt_is_closed_before_its_end_is_reported() -> None:
    """The next attempt is sent when the end is reported, and two must never be in flight together."""

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        server = Backend(silent)
        async with running_pool(server) as pool:
            recorded = RecordedAttempt(pool)
            await until(lambda: server.got)
            connection = recorded.attempt.connection
            assert connection is not None
            closed: list[bool] = []
            recorded.attempt.on_ended = lambda *_: closed.append(connection.socket.fileno() == -1)
            pool.give_up(recorded.attempt, Outcome.CANCELLED)
            assert closed == [True]
            await until(lambda: server.ended)

    in_loop(scenario)


def test_drain_during_the_handshake_prevents_sending() -> None:
    """The check whether a backend accepts attempts is made at the first byte, not when `send` is called."""

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            recorded = RecordedAttempt(pool)  # the handshake is not finished yet
            pool.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert (await recorded.result())[0] is Outcome.CONNECT_FAILED
            assert (await RecordedAttempt(pool).result())[0] is Outcome.CONNECT_FAILED
            await until(lambda: not server.open)
            assert not server.got

    in_loop(scenario)


def test_request_that_expired_during_the_handshake_is_not_sent() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            assert (await RecordedAttempt(pool, wait_ms=0).result())[0] is Outcome.IGNORED
            assert not server.got

    in_loop(scenario)


def test_timeout_during_the_handshake_ends_as_connect_failed() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            recorded = RecordedAttempt(pool)
            pool.give_up(recorded.attempt, Outcome.TIMED_OUT)
            assert (await recorded.result())[0] is Outcome.CONNECT_FAILED

    in_loop(scenario)


def test_descriptor_limit_closes_idle_connections_then_gives_no_connection() -> None:
    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        first, second = Backend(), Backend(silent)
        # The budget allows eight connections.
        async with running_pool(first, second, budget=Budget(1), connect_timeout_ms=100) as pool:
            assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
            in_use = [RecordedAttempt(pool, backend=1) for _ in range(8)]
            await until(lambda: len(second.got) == 8)
            await until(lambda: first.ended)
            assert (await RecordedAttempt(pool).result())[0] is Outcome.NO_CONNECTION
            assert not any(attempt.endings for attempt in in_use) and len(pool.connections) == 8

    in_loop(scenario)


def test_changed_address_gets_the_next_attempt() -> None:
    async def scenario() -> None:
        old, new = Backend(), Backend()
        async with running_pool(old) as pool:
            await new.start()
            assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
            pool.update(0, (LOCAL, new.port), BackendState.READY)
            assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
            assert len(old.got) == len(new.got) == 1
            await until(lambda: old.ended)
            await new.stop()

    in_loop(scenario)


# Guards against: a reset is noticed only at a time-out, if bytes of a reply that are not read yet precede it.
def test_reset_behind_unread_bytes_of_a_reply_ends_the_attempt_at_once() -> None:
    async def scenario() -> None:
        with socket.create_server((LOCAL, 0)) as listener:
            async with running_pool() as pool, asyncio.timeout(1):
                pool.update(0, listener.getsockname(), BackendState.READY)
                attempt = RecordedAttempt(pool)
                await until(lambda: attempt.written)
                backend, _ = listener.accept()
                backend.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
                backend.send(b"*3\r\n$1000\r\nvalue")
                backend.close()  # both before the gateway reads
                assert (await attempt.result())[0] is Outcome.RESET

    in_loop(scenario)


def test_idempotent_request_is_retried_on_another_backend_after_a_reset() -> None:
    async def scenario() -> None:
        reset_requests: list[bytes] = []

        async def script(command: list[bytes]) -> Reply:
            if not reset_requests:
                reset_requests.append(command[2])
                return b""
            return OK_REPLY

        async with running(World(Backend(script), Backend(script))) as world:
            assert await world.ask(await world.client()) == b"value"
            assert sorted(len(backend.got) for backend in world.backends) == [1, 1]

    in_loop(scenario)


def test_not_idempotent_request_that_may_have_run_fails_without_retry() -> None:
    async def script(command: list[bytes]) -> Reply:
        return b""

    async def scenario() -> None:
        async with running(World(Backend(script), Backend(script))) as world:
            reply = await world.ask(await world.client(), name=b"wipe", body=b"x")
            assert str(reply) == "ERR failed"
            assert sum(len(backend.got) for backend in world.backends) == 1

    in_loop(scenario)


def test_idle_time_with_many_resets_is_not_allowed_until_the_counts_decay() -> None:
    times = IdleTimes(9_000.0)
    for number in range(40):  # resets that are equally frequent at all idle times do not lower the limit
        times.record_use(5.0 + number * 10, reset=number % 10 == 0)
    assert times.allows(1_000.0, 8_000.0)
    for number in range(40):
        times.record_use(300.0, reset=number % 2 == 0)
    assert not times.allows(2_000.0, 400.0) and not times.allows(2_000.0, 8_000.0)
    assert times.allows(2_000.0, 100.0)
    assert times.allows(2_000.0 + 3 * EVIDENCE_DECAY_MS, 400.0)


def test_idle_connections_are_not_reused_after_the_backend_has_reset_several(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A test machine may be too slow for the real limit.
    monkeypatch.setattr(connection_module, "IMMEDIATE_RESET_MS", 10_000.0)

    async def scenario() -> None:
        class IdleResettingBackend(Backend):
            """Resets an idle connection when the next request arrives, without closing it before."""

            async def serve_connection(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                peer, fresh = Peer(reader, writer), True
                while (command := await peer.receive()) is not None:
                    if not fresh and b"idle" in command[2]:
                        return writer.transport.abort()
                    fresh = False
                    writer.write(OK_REPLY)

        async with running_pool(IdleResettingBackend()) as pool:
            resets = 0
            for number in range(30):
                assert (await RecordedAttempt(pool).result())[0] is Outcome.OK
                connection = await idle_connection(pool)
                connection.idle_since_ms -= 500  # as if it had been idle for that long
                recorded = RecordedAttempt(pool, id=b"idle%d" % number)
                resets += (await recorded.result())[0] is Outcome.RESET
            assert 3 <= resets < 10

    in_loop(scenario)


# ---- changes between the decision to send and the first byte ----


def test_attempt_with_a_reason_not_to_send_after_the_wait_is_not_sent() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            first, second = RecordedAttempt(pool), RecordedAttempt(pool)
            first.reason_not_to_send = Outcome.CANCELLED
            assert (await first.result())[0] is Outcome.CANCELLED
            assert (await second.result())[0] is Outcome.OK
            assert len(server.got) == 1 and not first.written

    in_loop(scenario)


def test_request_with_a_reason_not_to_send_before_its_last_byte_never_arrives_completely() -> None:
    async def scenario() -> None:
        may_read = asyncio.Event()

        class DelayedBackend(Backend):
            async def serve_connection(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await may_read.wait()
                await super().serve_connection(reader, writer)

        server = DelayedBackend()
        async with running_pool(server) as pool:
            recorded = RecordedAttempt(pool, body=bytes(32_000_000))
            await until(
                lambda: (
                    recorded.attempt.connection is not None and recorded.attempt.connection.writing_blocked
                )
            )
            recorded.reason_not_to_send = Outcome.IGNORED
            may_read.set()
            assert (await recorded.result())[0] is Outcome.CONNECT_FAILED  # the request can't have run
            await until(lambda: server.ended)
            assert not server.got and not recorded.written

    in_loop(scenario)


def test_drain_ends_waiting_attempts_at_once() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            recorded = RecordedAttempt(pool)
            pool.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert recorded.endings == [(Outcome.CONNECT_FAILED, b"")]
            assert not pool.connections  # the handshake is also aborted

    in_loop(scenario)


def test_handshake_that_no_attempt_needs_is_closed() -> None:
    """A connection whose attempt was given up during the handshake must not be used later."""

    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as pool:
            given_up, waiting = RecordedAttempt(pool), RecordedAttempt(pool)
            assert pool.gauges()["backends.opening"] == 2
            pool.give_up(given_up.attempt, Outcome.TIMED_OUT)
            assert pool.gauges()["backends.opening"] == 1
            assert (await waiting.result())[0] is Outcome.OK
            assert len(pool.connections) == 1

    in_loop(scenario)


def test_late_second_answer_is_not_taken_for_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pool_module, "SETTLE_RATIO", 1e9)
    monkeypatch.setattr(pool_module, "MAX_SETTLE_MS", 60_000.0)

    async def scenario() -> None:
        send_second_answer = asyncio.Event()

        class DoubleAnsweringBackend(Backend):
            async def serve_connection(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                peer = Peer(reader, writer)
                while (command := await peer.receive()) is not None:
                    self.got.append(command)
                    writer.write(b"*3\r\n$3\r\n%b\r\n$-1\r\n$-1\r\n" % command[2])
                    if command[2] == b"one":
                        await send_second_answer.wait()
                        writer.write(b"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")

        async with running_pool(DoubleAnsweringBackend()) as pool:
            assert await RecordedAttempt(pool, id=b"one").result() == (Outcome.OK, b"one")
            second = RecordedAttempt(pool, id=b"two")
            send_second_answer.set()
            assert await second.result() == (Outcome.OK, b"two")

    in_loop(scenario)


class LateReader(Backend):
    """Reads nothing before it is told to; then notes how many bytes come until the connection ends."""

    def __init__(self) -> None:
        super().__init__()
        self.may_read = asyncio.Event()
        self.read_bytes: list[int] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        transport = cast(asyncio.Transport, writer.transport)
        transport.pause_reading()
        await self.may_read.wait()
        transport.resume_reading()
        received = 0
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                received += len(data)
        self.read_bytes.append(received)


# Guards against: a request is sent on by the system after its client has left (lost requests, picture c).
def test_rest_of_a_request_whose_client_has_left_does_not_reach_the_backend() -> None:
    body = b"x" * 1_500_000

    async def scenario() -> None:
        backend = LateReader()
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request(b"order", name=b"wipe", body=body))
            await until(lambda: backend.open)
            await asyncio.sleep(0.3)
            peer.close()
            await asyncio.sleep(0.3)
            backend.may_read.set()
            await until(lambda: backend.read_bytes)
            assert backend.read_bytes[0] < len(body)

    in_loop(scenario)


class SmallBufferSocket(socket.socket):
    """A socket whose system holds little of what is written to it."""

    def __init__(self, *arguments: int) -> None:
        super().__init__(*arguments)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024)


# Guards against: the time of a request counts from when the gateway reads its last byte, seconds after its
# client wrote it, if its backend reads slowly (lost requests, picture d).
def test_request_that_a_backend_reads_slowly_is_answered_in_the_time_of_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sockets = SimpleNamespace(**{**vars(socket), "socket": SmallBufferSocket})
    monkeypatch.setattr(connection_module, "socket", sockets)
    body = b"x" * 600_000  # more than the gateway and the systems behind it take

    async def scenario() -> None:
        backend = LateReader()
        async with running(World(backend)) as world:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(body))
                client.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(client, (LOCAL, world.port))
                await loop.sock_sendall(client, encode(*request(b"order", name=b"wipe", wait=700, body=body)))
                written_s = loop.time()
                loop.call_later(2.0, backend.may_read.set)
                answer = await loop.sock_recv(client, 100)
                assert loop.time() - written_s <= 0.7 + 0.05 and not answer.startswith(b"$")

    in_loop(scenario)
