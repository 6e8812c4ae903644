"""How a gateway treats its clients: commands, answers, timeouts and closes, mostly over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from typing import Any

import hiredis
import pytest
from driver_scene import DriverScene

from switchline.clients import answers, supervision, watchdog
from switchline.clients import connection as connections
from switchline.clients import server as clients
from switchline.clients.commands import Command, parse_command
from switchline.clients.slot import Slot
from switchline.clients.turns import Turns
from switchline.net.descriptors import Budget
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics
from testbed.network.sockets import LOCAL, Peer, Reply, encode, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import Wire, World, in_loop, request, running


def backend_reply(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def is_error_reply(reply: object) -> bool:
    return isinstance(reply, hiredis.ReplyError) and str(reply).startswith("ERR")


def test_pipelined_commands_are_answered_in_their_order() -> None:
    async def scenario() -> None:
        second_served = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            if command[2] == b"first":
                await second_served.wait()
            else:
                second_served.set()
            return backend_reply(command[2])

        async with running(World(Backend(script))) as world:
            peer = await world.client()
            peer.send(*request(b"first"))
            peer.send(*request(b"second"))
            peer.send(b"PING")
            assert [await peer.receive() for _ in range(3)] == [b"first", b"second", b"PONG"]

    in_loop(scenario)


def test_commands_split_into_bytes_or_sent_together_are_answered() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            for byte in encode(*request(b"one")):
                peer.writer.write(bytes([byte]))
                await peer.writer.drain()
                await asyncio.sleep(0)
            assert await peer.receive() == b"value"
            numbers = [b"%d" % n for n in range(100)]
            peer.writer.write(b"".join(encode(b"PING", n) for n in numbers) + encode(*request(b"two")))
            assert [await peer.receive() for _ in range(101)] == [*numbers, b"value"]

    in_loop(scenario)


def test_values_are_forwarded_unchanged_and_backends_receive_the_time_left() -> None:
    value_64_kib = bytes(range(256)) * 256  # the largest value that is not streamed
    # Line ends inside the value would break an answer or a command that is split at line ends.

    async def script(command: list[bytes]) -> Reply:
        return backend_reply(value_64_kib)

    async def scenario() -> None:
        async with running(World(Backend(script))) as world:
            peer = await world.client()
            assert await world.ask(peer, name=b"wipe", body=value_64_kib) == value_64_kib
            verb, customer, id, attribute_text, body = world.backends[0].got[0]
            assert (verb, customer, id, body) == (b"API.WRITE", *request()[1:3], value_64_kib)
            before_time_left, attribute_name, after_name = attribute_text.partition(b"d=")
            time_left_ms, comma, other_attributes = after_name.partition(b",")
            assert (
                before_time_left + attribute_name == b"c=wipe,t=free,d="
                and other_attributes == b"units=1,spread=1,first=0"
            )
            assert 2000 < int(time_left_ms) <= 3000

    in_loop(scenario)


@pytest.mark.parametrize(
    "command",
    [
        (b"API.READ",),
        (b"API.READ", b"a", b"b", b"nonsense"),
        (b"API.READ", b"a", b"b", b"c=view,t=free"),
        (b"API.READ", b"a", b"b", b"c=view,d=-3"),
        (b"API.READ", b"a", b"b", b"c=view,d=nan"),
        (b"API.READ", b"a", b"b", b"c=view,d=3,units=x"),
        (b"API.READ", b"\xff", b"b", b"c=view,d=3"),
        (b"API.READ", b"a", b"", b"c=view,d=3"),
        *(
            (verb, customer, b"b1", attribute_text)
            for verb, customer, attribute_text in (
                (b"API.READ", b"00000000b4d65521", b"c=views,t=free,d=3000,units=1,spread=1,first=0"),
                (b"API.READ", b"00000000b4d65521", b"c=view,t=freest,d=3000,units=1,spread=1,first=0"),
                (b"API.READ", b"164362ecdc2ee1ee", b"c=view,t=free,d=3000,units=1,spread=1,first=0"),
                (b"API.READ", b"b4d65521", b"c=view,t=free,d=3000,units=1,spread=1,first=0"),
                (b"API.READ", b"00000000b4d65521", b"c=view,t=free,d=3000,units=-1,spread=1,first=0"),
                (b"API.READ", b"00000000b4d65521", b"c=view,t=free,d=3000,units=1,spread=9,first=0"),
                (b"API.READ", b"00000000b4d65521", b"c=wipe,t=free,d=3000,units=1,spread=1,first=0"),
                (b"API.READ", b"00000000b4d65521", b"c=view,t=free,d=3000"),
                (b"API.READ", b"00000000b4d65521", b"c=view,t=free,d=3000,units=1_0,spread=1,first=0"),
                (b"API.READ", b"00000000b4d65521", b"c=view,t=free,d=+30,units=1,spread=1,first=0"),
                (b"API.READ", b"00000000b4d65521", b"c=view,t=free,d=3000,units=1,spread= 1,first=0"),
            )
        ),
        (b"HELLO", b"3"),
        (b"",),
    ],
)
def test_malformed_command_gets_an_error_and_the_next_one_succeeds(command: tuple[bytes, ...]) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.send(*command)
            peer.send(*request())
            assert is_error_reply(await peer.receive())
            assert await peer.receive() == b"value"
            assert len(world.backends[0].got) == 1

    in_loop(scenario)


@pytest.mark.parametrize(
    "header",
    [b"*1000000000", b"*2\r\n*1000000000", b">1000000000", b"~1000000000", b"$600000000", b"*2\r\n$131073"],
)
def test_header_that_announces_too_much_ends_the_connection_at_once(header: bytes) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.writer.write(header + b"\r\n")
            assert is_error_reply(await peer.receive())
            assert await peer.receive() is None

    in_loop(scenario)


def test_protocol_error_ends_its_own_connection_only() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            valid_peer, invalid_peer = await world.client(), await world.client()
            invalid_peer.writer.write(encode(*request(b"early")) + b"?what\r\n" + encode(*request(b"late")))
            assert await invalid_peer.receive() == b"value"  # an earlier command still gets its answer
            assert is_error_reply(await invalid_peer.receive())
            assert await invalid_peer.receive() is None
            assert await world.ask(valid_peer) == b"value"
            assert [c[2] for c in world.backends[0].got] == [b"early", request()[2]]

    in_loop(scenario)


def test_close_by_a_client_cancels_its_request() -> None:
    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        backend = Backend(silent)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: backend.got)
            peer.close()
            await until(lambda: backend.ended)
            # The id of the request may be used again only if nothing of the request is left.
            backend.script = backend.serve
            assert await world.ask(await world.client()) == b"value"

    in_loop(scenario)


def test_second_request_with_an_id_in_use_is_rejected() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return backend_reply(b"value")

        backend = Backend(script)
        async with running(World(backend)) as world:
            first, second = await world.client(), await world.client()
            first.send(*request())
            await until(lambda: backend.got)
            assert is_error_reply(await world.ask(second))
            second.close()
            go_on.set()
            assert await first.receive() == b"value"

    in_loop(scenario)


def test_client_that_does_not_read_is_read_no_further_so_memory_stays_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gateway that reads on would have to keep ever more answers for such a client."""
    servers: list[clients.ClientServer] = []
    original_callback = clients.ClientServer.on_connection_opened

    def on_connection_opened(self: clients.ClientServer, connection: connections.ClientConnection) -> None:
        servers[:] = [self]
        original_callback(self, connection)

    monkeypatch.setattr(clients.ClientServer, "on_connection_opened", on_connection_opened)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            ping = encode(b"PING", b"x" * 65536)
            await until(lambda: servers)
            (connection,) = servers[0].connections
            ping_count = 0
            while not connection.reading_paused:
                peer.writer.write(ping)
                ping_count += 1
                await asyncio.sleep(0)
            assert connection.transport is not None
            pending_bytes = connection.transport.get_write_buffer_size() + sum(
                len(slot.reply or b"") for slot in connection.slots
            )
            assert (
                pending_bytes <= answers.MAX_UNSENT_BYTES + (connections.MAX_PIPELINED_COMMANDS + 2) * 66_000
            )
            for _ in range(ping_count):  # once the client reads, it gets all answers
                assert await peer.receive() == b"x" * 65536

    in_loop(scenario)


def test_pipelined_commands_beyond_the_maximum_are_answered_in_order() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return backend_reply(command[2])

        backend = Backend(script)
        async with running(World(backend)) as world:
            peer = await world.client()
            count = connections.MAX_PIPELINED_COMMANDS * 2
            ids = [b"%04d" % n for n in range(count)]
            peer.writer.write(b"".join(encode(*request(id)) for id in ids))
            await until(lambda: backend.got)
            go_on.set()
            answers = [await peer.receive() for _ in ids]
            # Each answer is either the id of its own request or a rejection.
            rejections = [str(a) for a in answers if not isinstance(a, bytes)]
            assert all(a == id for id, a in zip(ids, answers, strict=True) if isinstance(a, bytes))
            assert answers[0] == ids[0] and all(text.startswith("BUSY") for text in rejections)

    in_loop(scenario)


def test_idle_connection_is_evicted_for_a_new_one_at_the_limit() -> None:
    # The attempt of an idempotent request would be cancelled if the machine stalled for five times the usual
    # latency, a few milliseconds.
    async def scenario() -> None:
        async with running(World(Backend(), sockets=6)) as world:
            peers: list[Peer] = [await world.client() for _ in range(6)]
            for number, peer in enumerate(peers):
                assert await world.ask(peer, id=b"r%d" % number, name=b"wipe") == b"value"
            last = await world.client()
            assert await world.ask(last, id=b"last", name=b"wipe") == b"value"
            assert await peers[0].receive() is None
            assert await world.ask(peers[1], id=b"again", name=b"wipe") == b"value"

    in_loop(scenario)


def test_silent_connection_is_evicted_before_a_validated_one_at_the_limit() -> None:
    # The attempt of an idempotent request would be cancelled if the machine stalled for five times the usual
    # latency, a few milliseconds.
    async def scenario() -> None:
        async with running(World(Backend(), sockets=6)) as world:
            client = await world.client()
            assert await world.ask(client, id=b"r1", name=b"wipe") == b"value"
            silent = [await world.client() for _ in range(6)]
            assert await silent[0].receive() is None
            assert await world.ask(client, id=b"r2", name=b"wipe") == b"value"
            assert await world.ask(silent[5], id=b"r3", name=b"wipe") == b"value"

    in_loop(scenario)


def test_set_up_commands_of_client_libraries_are_accepted() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            for command in (b"CLIENT", b"SELECT", b"QUIT"):
                peer.send(command)
                assert await peer.receive() == b"OK"
            assert await peer.receive() is None

    in_loop(scenario)


def test_many_small_commands_in_one_read_are_all_answered() -> None:
    """If commands were processed recursively, each round of them would deepen the call stack."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            count = 60_000
            peer.writer.write(encode(b"PING") * count)
            for _ in range(count):
                assert await peer.receive() == b"PONG"
            assert await world.ask(peer) == b"value"

    in_loop(scenario)


@pytest.mark.parametrize("data", [b"*5\r\n$999999\r\n" + b"x" * 200_000, b"*4294967294\r\n$1\r\na\r\n"])
def test_oversize_command_ends_its_own_connection_only(data: bytes) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            valid_peer, invalid_peer = await world.client(), await world.client()
            invalid_peer.writer.write(data)
            assert is_error_reply(await invalid_peer.receive())
            assert await invalid_peer.receive() is None
            assert await world.ask(valid_peer) == b"value"

    in_loop(scenario)


def test_bytes_after_a_protocol_error_are_discarded() -> None:
    """The connection stays open for earlier answers, and bytes that arrive meanwhile must not fill memory."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return backend_reply(b"value")

        handler: Any = None
        server = clients.ClientServer(handler, Budget(256), BufferBudget(2**26), Metrics([]))
        connection = connections.ClientConnection(server)
        connection.data_received(b"?what\r\n")
        for _ in range(100):
            connection.data_received(b"x" * 65536)
        assert connection.closing and len(connection.parser.buffer) < 1000
        backend = Backend(script)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.writer.write(encode(*request()) + b"?what\r\n")
            await until(lambda: backend.got)
            go_on.set()
            assert await peer.receive() == b"value"
            assert is_error_reply(await peer.receive())

    in_loop(scenario)


def test_peer_without_a_complete_command_in_time_is_disconnected_and_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A peer that sends nothing, or only part of a command, would use a descriptor for ever."""
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.005)

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return backend_reply(b"value")

        async with running(World(Backend(script))) as world:
            waiting_peer, active_peer = await world.client(), await world.client()
            waiting_peer.send(*request())
            await until(lambda: world.backends[0].got)
            active_peer.send(b"PING")
            assert await active_peer.receive() == b"PONG"
            monkeypatch.setattr(watchdog, "COMMAND_TIMEOUT_S", 0.02)
            silent_peer, stalled_peer = await world.client(), await world.client()
            stalled_peer.writer.write(encode(*request())[:-1])
            for peer in (silent_peer, stalled_peer):
                assert is_error_reply(await peer.receive())
                assert await peer.receive() is None
            active_peer.send(b"PING")
            assert await active_peer.receive() == b"PONG"
            invalid_peer = await world.client()
            # An invalid command gets an answer, but does not stop the timeout.
            invalid_peer.send(b"API.READ", b"a", b"b", b"nonsense")
            assert is_error_reply(await invalid_peer.receive()) and is_error_reply(
                await invalid_peer.receive()
            )
            assert await invalid_peer.receive() is None
            # The timeout also applies to a later, incomplete command of a connection that was in use.
            active_peer.writer.write(b"*1")
            assert is_error_reply(await active_peer.receive())
            go_on.set()
            assert await waiting_peer.receive() == b"value"

    in_loop(scenario)


def test_unused_and_unread_connections_are_closed_after_their_timeouts() -> None:
    async def scenario() -> None:
        handler: Any = None
        server = clients.ClientServer(handler, Budget(256), BufferBudget(2**26), Metrics([]))
        connection, wire = connections.ClientConnection(server), Wire()
        connection.connection_made(wire)
        connection.data_received(encode(b"PING"))
        supervision.check_connection(connection, connection.last_used_s + supervision.UNUSED_TIMEOUT_S - 1)
        assert wire.ended == ""
        supervision.check_connection(connection, connection.last_used_s + supervision.UNUSED_TIMEOUT_S + 1)
        assert wire.ended == "close"

        connection, wire = connections.ClientConnection(server), Wire()
        connection.connection_made(wire)
        connection.data_received(encode(b"PING"))
        wire.left = 100  # bytes of an answer that the client does not read
        start = connection.last_used_s
        supervision.check_connection(connection, start)
        supervision.check_connection(connection, start + watchdog.UNREAD_TIMEOUT_S - 1)
        wire.left = 90  # the client reads slowly
        supervision.check_connection(connection, start + watchdog.UNREAD_TIMEOUT_S)
        supervision.check_connection(connection, start + 2 * watchdog.UNREAD_TIMEOUT_S - 1)
        assert wire.ended == ""
        supervision.check_connection(connection, start + 2 * watchdog.UNREAD_TIMEOUT_S + 1)
        assert wire.ended == "abort"

    in_loop(scenario)


def test_invalid_commands_do_not_restart_the_command_timeout() -> None:
    async def scenario() -> None:
        handler: Any = None
        server = clients.ClientServer(handler, Budget(256), BufferBudget(2**26), Metrics([]))
        connection, wire = connections.ClientConnection(server), Wire()
        connection.connection_made(wire)
        wait_started_at_s = connection.receiving.wait_started_at_s
        for _ in range(3):
            connection.data_received(encode(b"NONSENSE"))
            assert connection.receiving.wait_started_at_s == wait_started_at_s
        connection.data_received(encode(b"PING"))
        assert connection.receiving.wait_started_at_s is None

    in_loop(scenario)


# ---- closing of connections, and clients that have closed ----


def test_answers_reach_a_client_that_goes_on_sending_after_a_protocol_error() -> None:
    """Closing a socket with unread bytes resets the connection; the peer loses answers it has not read."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            with socket.create_connection((LOCAL, world.port)) as sock:
                sock.setblocking(False)
                loop = asyncio.get_running_loop()
                commands = encode(*request(b"one")) + encode(*request(b"two"))
                await loop.sock_sendall(sock, commands + b"!not a command\r\n")
                await until(lambda: len(world.backends[0].got) == 2)
                with contextlib.suppress(ConnectionError):  # the client reads only after it has sent all
                    for _ in range(20):
                        await loop.sock_sendall(sock, b"x" * 1_000)
                        await asyncio.sleep(0.005)
                received = b""
                while data := await loop.sock_recv(sock, 65_536):
                    received += data
                assert received == bulk_string(b"value") * 2 + b"-ERR protocol error\r\n"

    in_loop(scenario)


def bulk_string(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def test_peer_that_goes_on_sending_after_its_last_answer_is_disconnected() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.send(b"QUIT")
            assert await peer.receive() == b"OK"
            with pytest.raises(ConnectionError):
                while True:
                    peer.writer.write(b"x" * 65_536)
                    await peer.writer.drain()
                    await asyncio.sleep(0)

    in_loop(scenario)


def test_peer_that_never_closes_after_its_last_answer_is_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(supervision, "LINGER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(clients, "LINGER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            with socket.create_connection((LOCAL, world.port)) as sock:
                sock.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, encode(b"QUIT"))
                assert await loop.sock_recv(sock, 100) == b"+OK\r\n"
                assert await loop.sock_recv(sock, 100) == b""
                await until(lambda: is_reset(sock))

    in_loop(scenario)


def is_reset(sock: socket.socket) -> bool:
    """Whether the other side has closed the socket too, and so answers bytes with a reset."""
    try:
        sock.send(b"x")
    except ConnectionError:
        return True
    return False


def test_request_on_a_half_closed_connection_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.send(b"QUIT")
            assert await peer.receive() == b"OK" and await peer.receive() is None
            peer.send(*request(b"late"))
            other = await world.client()
            assert await world.ask(other, id=b"other") == b"value"
            assert [command[2] for command in world.backends[0].got] == [b"other"]

    in_loop(scenario)


def test_requests_of_a_client_that_closed_while_reading_was_paused_are_not_forwarded() -> None:
    """While reading is paused, a close goes unnoticed: it follows commands that have not been read yet."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return backend_reply(command[2])

        backend = Backend(script)
        # At most eight connections to backends.
        async with running(World(backend, sockets=1, connect_ms=60_000.0)) as world:
            peer = await world.client()
            for number in range(connections.MAX_PIPELINED_COMMANDS + 10):
                peer.send(*request(b"r%d" % number, name=b"wipe", wait=60_000, body=b"x"))
            await until(lambda: len(backend.got) == 8)
            peer.writer.close()
            await peer.writer.wait_closed()
            await asyncio.sleep(0.02)
            go_on.set()
            other = await world.client()
            assert await world.ask(other, id=b"other", name=b"wipe", body=b"x") == b"other"
            assert len(backend.got) == 9

    in_loop(scenario)


def run_iterations(callbacks: list[Callable[[], None]]) -> None:
    """Call what waits for later iterations of the event loop, until nothing does."""
    while callbacks:
        callbacks.pop(0)()


def test_time_waited_behind_other_commands_counts_against_the_time_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time left counts from the arrival of a request, not from when the request is processed."""
    time_ms = [1_000.0]
    monkeypatch.setattr(connections, "now_ms", lambda: time_ms[0])
    handled_commands: list[Command] = []
    slots: list[Slot] = []

    class Handler:
        def check(self, command: Command) -> None:
            pass

        def on_command(self, command: Command, slot: Slot) -> None:
            handled_commands.append(command)
            slots.append(slot)

    handler: Any = Handler()
    server = clients.ClientServer(handler, Budget(256), BufferBudget(2**26), Metrics([]))
    next_iteration: list[Callable[[], None]] = []
    server.turns = Turns(server.guard, next_iteration.append)
    connection = connections.ClientConnection(server)
    connection.connection_made(Wire())
    commands = [encode(*request(b"r%d" % n)) for n in range(connections.MAX_PIPELINED_COMMANDS + 1)]
    connection.data_received(b"".join(commands))
    run_iterations(next_iteration)
    assert len(handled_commands) == connections.MAX_PIPELINED_COMMANDS
    time_ms[0] += 300.0
    slots[0].answer(b"+OK\r\n")
    run_iterations(next_iteration)
    assert [command.received_at_ms for command in handled_commands] == [1_000.0] * len(commands)


def test_request_expires_relative_to_its_arrival() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        command = parse_command(list(request(b"r1", wait=3_000)), None, 5_000.0)
        assert scene.driver.requests.reader.read(command).expires_ms == 8_000.0

    in_loop(scenario)


def test_every_socket_has_tcp_nodelay() -> None:
    """Without TCP_NODELAY the system delays small writes, and a reset would discard a delayed answer."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            assert await world.ask(peer, plan=b"basic") == b"value"
            await until(lambda: world.counter.open)  # the gateway refreshes the lease of that customer
            ports = {world.port, world.backends[0].port, world.counter.port, world.discovery.port}
            nodelay_by_port: dict[int, bool] = {}
            for name in os.listdir("/proc/self/fd"):
                with contextlib.suppress(OSError), socket.socket(fileno=os.dup(int(name))) as sock:
                    if sock.family != socket.AF_INET:
                        continue
                    has_nodelay = bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
                    for port in ports & {sock.getsockname()[1], sock.getpeername()[1]}:
                        nodelay_by_port[port] = has_nodelay and nodelay_by_port.get(port, True)
            assert nodelay_by_port == dict.fromkeys(ports, True)

    in_loop(scenario)


# Guards against: a request that must not run twice runs again if its id comes again (rule on lost requests,
# picture c).
@pytest.mark.parametrize("is_answered", [False, True])
def test_a_request_that_comes_again_after_it_was_sent_does_not_run_again(is_answered: bool) -> None:
    async def scenario() -> None:
        may_answer = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await may_answer.wait()
            return backend_reply(b"value")

        backend = Backend(script)
        async with running(World(backend)) as world:
            first = await world.client()
            first.send(*request(b"order", name=b"wipe"))
            await until(lambda: backend.got)
            if is_answered:
                may_answer.set()
                assert await first.receive() == b"value"
            first.close()
            await asyncio.sleep(0.02)
            again = await world.client()
            assert str(await world.ask(again, id=b"order", name=b"wipe")) == "ERR failed"
            may_answer.set()
            assert await world.ask(again, id=b"other", name=b"wipe") == b"value"
            assert [command[2] for command in backend.got] == [b"order", b"other"]
            for _ in range(2):  # a class that may run twice
                assert await world.ask(again, id=b"question") == b"value"

    in_loop(scenario)


def test_a_request_that_no_backend_has_run_may_come_again() -> None:
    async def scenario() -> None:
        replies = [b"-BUSY\r\n"] * 3

        async def script(command: list[bytes]) -> Reply:
            return replies.pop() if replies else backend_reply(b"value")

        async with running(World(Backend(script))) as world:
            peer = await world.client()
            while str(await world.ask(peer, id=b"order", name=b"wipe")).startswith("BUSY"):
                await asyncio.sleep(0.01)
            assert len([command for command in world.backends[0].got if command[2] == b"order"]) == 4

    in_loop(scenario)
