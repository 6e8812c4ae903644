"""Who gets a connection and who gives way: budget, states, shares, half-open peers and rushes."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import resource
import signal
import socket
from collections import Counter as Counts
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from backend_attempts import Try, pool
from connection_figures import config, figures
from cutting_backend import Cutting
from driver_scene import DriverScene
from gateway_process import connect_client, start_gateway
from hypothesis import given
from hypothesis import strategies as st

from switchline.clients import server as clients
from switchline.clients import supervision, watchdog
from switchline.clients.commands import Command, parse_command
from switchline.clients.connection import ClientConnection
from switchline.clients.server import ClientServer
from switchline.clients.slot import Slot
from switchline.config import ConfigError, load_config, parse_config
from switchline.net import accept
from switchline.net.accept import Acceptor, AcceptRate
from switchline.net.descriptors import FIXED_PARTS, MIN_CONNECTIONS, PROCESS_DESCRIPTORS, Budget, Part, Shares
from switchline.net.listen import listen
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import EvictionReason, Metrics
from switchline.policy.interface import BackendState, Outcome
from switchline.policy.quota.fair_shares import FairShares
from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Peer, Reply, encode, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import Wire, World, in_loop, request, running

# ---- the budget ----


@given(st.integers(150, 4096), st.integers(0, 4096), st.floats(0.05, 0.6), st.floats(0.05, 0.3))
def test_the_parts_fit_into_the_limit(limit: int, beside: int, clients: float, backends: float) -> None:
    budget = Budget(limit, Shares(clients=clients, backends=backends))
    budget.peer_process_descriptors = beside
    parts = PROCESS_DESCRIPTORS + sum(budget.limit_of(part) for part in Part)
    least = PROCESS_DESCRIPTORS + sum(FIXED_PARTS.values()) + 2 * MIN_CONNECTIONS
    assert parts <= max(limit - beside, least) and all(
        budget.limit_of(part) >= MIN_CONNECTIONS for part in budget.in_use
    )


def test_the_budget_follows_the_limits_and_the_other_process(monkeypatch: pytest.MonkeyPatch) -> None:
    budget = Budget(256)
    assert (budget.limit_of(Part.CLIENTS), budget.limit_of(Part.BACKENDS)) == (128, 64)
    budget.peer_process_descriptors = 100
    assert (budget.limit_of(Part.CLIENTS), budget.limit_of(Part.BACKENDS)) == (70, 35)
    budget.peer_process_descriptors = 250
    assert (budget.limit_of(Part.CLIENTS), budget.limit_of(Part.BACKENDS)) == (
        MIN_CONNECTIONS,
        MIN_CONNECTIONS,
    )
    budget.peer_process_descriptors, budget.configured_limit = 0, 1024
    assert budget.limit_of(Part.CLIENTS) == 512
    monkeypatch.setattr("resource.getrlimit", lambda _: (300, 400))  # less than configured
    assert budget.limit_of(Part.CLIENTS) == 150 and budget.gauges()["descriptors.limit"] == 300


def test_the_old_process_of_an_upgrade_does_not_grow() -> None:
    budget = Budget(256)
    for _ in range(20):
        budget.acquire(Part.BACKENDS)
    budget.freeze()
    assert not budget.has_free(Part.BACKENDS)
    budget.release(Part.BACKENDS)
    assert budget.has_free(Part.BACKENDS)
    budget.unfreeze()
    assert budget.limit_of(Part.BACKENDS) == 64


def test_a_shortage_closes_what_can_be_spared_and_no_more() -> None:
    budget = Budget(256)
    asked: list[int] = []

    def gives(n: int) -> Callable[[int], int]:
        def spare(wanted: int) -> int:
            asked.append(wanted)
            return n

        return spare

    budget.relief_callbacks = [gives(3), gives(2)]
    assert not budget.relieve(OSError(errno.ECONNREFUSED, "refused"))
    assert budget.relieve(OSError(errno.EMFILE, "none left")) and asked == [8, 5]
    assert budget.shortages == 1


# ---- settings ----


def test_connections_may_be_configured() -> None:
    assert parse_config(config()).shares == Shares()
    made = parse_config(config(connections={"clients": 0.6, "connects": 2}))
    assert made.shares == Shares(clients=0.6, connects=2)


@pytest.mark.parametrize(
    "given",
    [
        [],
        "half",
        {"client": 0.5},
        {"clients": "0.5"},
        {"clients": 0},
        {"clients": 0.8, "backends": 0.2},
        {"young": 1},
        {"young": True},
        {"connects": 0},
        {"connects": 2.5},
        {"backends": float("nan")},
    ],
)
def test_a_malformed_setting_refuses_the_start_in_one_line(given: object) -> None:
    with pytest.raises(ConfigError, match="connections: ") as caught:
        parse_config(config(connections=given))
    assert "\n" not in str(caught.value)


# ---- fair shares ----

HOLDERS = st.sampled_from("abcde")


@given(st.integers(1, 40), st.lists(st.tuples(st.booleans(), HOLDERS), max_size=200))
def test_shares_are_max_min_fair_under_pressure_alone(most: int, steps: list[tuple[bool, str]]) -> None:
    shares, held = FairShares(most), Counts[str]()
    for takes, who in steps:
        total = held.total()
        if takes:
            admitted = shares.admits(who)
            if total < int(most * 0.75):
                assert admitted  # no limit while there is room
            elif total < most and not held[who]:
                assert admitted  # the last one's first finds a place as long as there is any
            elif admitted:
                assert held[who] < most - total  # who holds much waits until it has given back
            else:
                assert held[who] >= most - total
            if admitted:
                shares.take(who)
                held[who] += 1
        elif held[who]:
            shares.release(who)
            held[who] -= 1
        assert shares.slots_in_use == held.total() <= most and shares.slots_by_holder == +held


def test_one_with_a_thousand_leaves_room_for_a_thousand_with_one_each() -> None:
    shares = FairShares(100)
    for _ in range(1000):
        if shares.admits("greedy"):
            shares.take("greedy")
    assert shares.slots_by_holder["greedy"] == 75
    small = [f"small{number}" for number in range(1000)]
    for number, who in enumerate(small):  # each holds its place while ten more come
        assert shares.admits(who)
        shares.take(who)
        if number >= 10:
            shares.release(small[number - 10])
        if shares.admits("greedy"):
            shares.take("greedy")
    assert 75 <= shares.slots_by_holder["greedy"] <= 100 - 11


def test_all_that_want_what_they_can_get_end_up_with_as_many() -> None:
    shares = FairShares(96)
    for turn in range(4000):  # every place taken is given back in turn; all ask again and again
        for who in "abcd":
            if shares.admits(who):
                shares.take(who)
        holders = sorted(shares.slots_by_holder)
        shares.release(holders[turn % len(holders)])
    assert max(shares.slots_by_holder.values()) - min(shares.slots_by_holder.values()) <= 2


# ---- states of clients' connections, and who gives way ----


class Takes:
    """Takes every request and leaves it open."""

    def __init__(self) -> None:
        self.open: dict[ClientConnection, list[Slot]] = {}
        self.crowded = 0

    def check(self, command: Command) -> None:
        if command.attributes[b"c"] == b"none":
            raise ValueError("unknown class or plan")

    def on_command(self, command: Command, slot: Slot) -> None:
        self.open.setdefault(slot.connection, []).append(slot)

    def on_crowded(self, command: Command, slot: Slot) -> None:
        self.crowded += 1
        slot.answer(b"-BUSY 200\r\n")

    def on_whole(self, request: str) -> None: ...

    def on_client_gone(self, request: str) -> None: ...


class Place:
    """A server without a socket, of `limit` descriptors: half of them for clients."""

    def __init__(self, limit: int = 256) -> None:
        self.handler, self.budget, self.figures = Takes(), Budget(limit), Metrics([])
        self.server = ClientServer(self.handler, self.budget, BufferBudget(2**26), self.figures)
        self.ids = 0

    def connect(self, peer: str = LOCAL) -> ClientConnection:
        made = ClientConnection(self.server)
        made.connection_made(Wire(peer))
        return made

    def ask(self, connection: ClientConnection, name: bytes = b"view") -> None:
        self.ids += 1
        connection.data_received(encode(*request(b"r%d" % self.ids, name=name)))

    def answer(self, connection: ClientConnection) -> None:
        for slot in self.handler.open.pop(connection, ()):
            slot.answer(b"$2\r\nok\r\n")

    def idle(self, peer: str = LOCAL) -> ClientConnection:
        made = self.connect(peer)
        self.ask(made)
        self.answer(made)
        return made

    def settle(self) -> None:
        """The event loop tells of what has been closed."""
        for connection in list(self.server.connections):
            if ended(connection):
                connection.connection_lost(None)


def ended(connection: ClientConnection) -> str:
    return connection.transport.ended if isinstance(connection.transport, Wire) else "lost"


def wrote(connection: ClientConnection) -> list[bytes]:
    assert isinstance(connection.transport, Wire)
    return connection.transport.wrote


def state(connection: ClientConnection) -> str:
    if ended(connection):
        return "gone"
    if not connection.idle:
        return "busy"
    return "idle" if connection.proven else "young"


def test_peers_that_say_nothing_displace_each_other_and_no_proven_one() -> None:
    place = Place()  # 128 places, 32 of them for young ones once places are few
    proven = [place.idle() for _ in range(96)]
    silent = [place.connect("127.0.0.9") for _ in range(100)]
    assert not any(map(ended, proven)) and [bool(ended(c)) for c in silent] == [True] * 68 + [False] * 32
    assert place.figures.evictions[EvictionReason.YOUNG] == 68
    place.settle()
    assert place.budget.in_use[Part.CLIENTS] == 128
    assert place.server.gauges() == {"clients.young": 32, "clients.in_use": 0, "clients.idle": 96}


def test_young_ones_are_left_alone_while_there_is_room() -> None:
    place = Place()
    silent = [place.connect() for _ in range(96)]
    assert not any(map(ended, silent))


def test_a_front_that_brings_everybody_meets_no_limit_while_there_is_room() -> None:
    place = Place()
    busy = [place.connect() for _ in range(96)]
    for connection in busy:
        place.ask(connection)
    assert place.handler.crowded == 0 and not any(map(ended, busy))
    late = place.connect()
    place.ask(late)
    assert place.handler.crowded == 1 and wrote(late) == [b"-BUSY 200\r\n"]
    place.answer(busy[5])
    place.ask(late)  # the place of one that nobody uses
    assert place.handler.crowded == 1 and [bool(ended(c)) for c in busy].index(True) == 5


def test_another_s_first_request_finds_a_place_while_one_holds_hundreds() -> None:
    place = Place(1024)
    for _ in range(500):
        place.ask(place.connect("127.0.0.9"))
    assert place.server.places.shares.slots_by_holder["127.0.0.9"] == 384 and place.handler.crowded == 116
    for number in range(20):
        place.ask(place.connect(f"127.0.1.{number}"))
    assert place.handler.crowded == 116


def test_the_peer_that_holds_most_gives_its_longest_idle_one_and_no_smaller_one_does() -> None:
    place = Place()
    many = [place.idle("127.0.0.9") for _ in range(64)]
    few = [place.idle("127.0.0.8") for _ in range(32)]
    place.ask(many[0])
    place.ask(place.connect("127.0.0.9"))
    assert [ended(c) for c in many].index("close") == 1 and not any(map(ended, few))
    for connection in many[2:]:
        place.ask(connection)
    place.ask(place.connect("127.0.0.9"))  # holds 64, all in use: who holds 32 keeps its idle ones
    assert place.handler.crowded == 1 and not any(map(ended, few))


def test_a_proper_form_with_an_unknown_class_proves_nothing() -> None:
    place = Place()
    connection = place.connect()
    place.ask(connection, name=b"none")
    assert not connection.proven and connection in place.server.places.young
    assert state(connection) == "young"


STEPS = st.sampled_from(["come", "come", "ask", "answer", "part", "ping", "leave"])


@given(st.lists(st.tuples(STEPS, st.integers(0, 40)), max_size=120))
def test_who_gives_way(steps: list[tuple[str, int]]) -> None:
    place = Place(1)  # the least: eight places, two of them for young ones
    known: list[ClientConnection] = []
    part = encode(*request(b"part"))[:-9]
    for what, number in steps:
        before = {c: state(c) for c in known}
        young = [c for c in place.server.places.young if before[c] == "young"]
        oldest = young[0] if young else None
        held = {peer: list(place.server.places.proven[peer]) for peer in place.server.places.proven}
        evicted, crowded = dict(place.figures.evictions), place.handler.crowded
        there = [c for c in known if before[c] != "gone"]
        chosen = there[number % len(there)] if there else None
        if what == "come":
            known.append(place.connect(f"127.0.0.{number % 3}"))
        elif chosen is None:
            continue
        elif what == "ask" and not chosen.parser.has_partial_value():
            place.ask(chosen)
        elif what == "answer":
            place.answer(chosen)
        elif what == "part" and not chosen.parser.has_partial_value():
            chosen.data_received(part)
        elif what == "ping" and not chosen.parser.has_partial_value():
            chosen.data_received(encode(b"PING"))
        elif what == "leave":
            chosen.connection_lost(None)
        gone = [c for c in known[:-1] if before.get(c) != "gone" and state(c) == "gone"]
        gone = [c for c in gone if what != "leave" or c is not chosen]
        if place.figures.evictions[EvictionReason.CROWDED] > evicted[EvictionReason.CROWDED]:
            assert gone == [chosen] and gone[0].surplus and what != "come"
            gone = []
        assert len(gone) <= 1 and all(before[c] in ("young", "idle") for c in gone)
        for c in gone:
            if before[c] == "young":
                assert c is oldest and what == "come"
            else:
                assert what == "ask" or (oldest is None and sum(map(len, held.values())) > 6)
                rivals = [h for h in held.values() if any(before[r] == "idle" for r in h)]
                assert len(held[c.peer]) == max(map(len, rivals))
                assert c is next(r for r in held[c.peer] if before[r] == "idle")
        if place.handler.crowded > crowded and chosen is not None:
            assert chosen.peer in held or sum(map(len, held.values())) >= place.server.places.limit
        place.settle()
        assert place.server.places.live == len(place.server.connections) <= place.server.places.limit + 1
        assert len(place.server.places.young) <= 2 or place.server.places.live <= 7
        assert place.budget.in_use[Part.CLIENTS] == len(place.server.connections)
        assert place.server.places.shares.slots_by_holder == {
            p: len(h) for p, h in place.server.places.proven.items()
        }


def test_a_budget_that_shrinks_takes_back_what_is_idle_and_nothing_else() -> None:
    async def scenario() -> None:
        place = Place()
        busy = [place.connect() for _ in range(20)]
        for connection in busy:
            place.ask(connection)
        idle = [place.idle() for _ in range(60)]
        place.budget.configured_limit = 100  # by SIGHUP: 32 places
        place.server.sweep()
        assert (
            not any(map(ended, busy)) and sum(map(bool, map(ended, idle))) == 80 - place.server.places.limit
        )
        place.budget.peer_process_descriptors = 90  # by the other process of an upgrade
        place.server.sweep()
        assert not any(map(ended, busy)) and all(map(ended, idle))
        place.server.close()

    in_loop(scenario)


def test_the_pool_shrinks_with_its_budget() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            await asyncio.gather(*(Try(made).result() for _ in range(20)))
            opened = len(made.connections)
            assert opened > 8
            await until(lambda: len(made.endpoints[0].idle) == opened)
            made.budget.peer_process_descriptors = 2_000
            made.sweep()
            assert len(made.connections) == 8

    in_loop(scenario)


# ---- half-open peers ----


def test_each_half_open_peer_gives_back_its_place_in_time() -> None:
    place = Place()
    start = 1_000_000.0

    def set_back(connection: ClientConnection) -> ClientConnection:
        connection.last_used_s = connection.receiving.last_bytes_s = start
        if connection.receiving.owed_since_s is not None:
            connection.receiving.owed_since_s = start
        return connection

    idle, middle, unread = set_back(place.idle()), place.connect(), set_back(place.idle())
    middle.data_received(encode(*request())[:40])
    set_back(middle)
    assert isinstance(unread.transport, Wire)
    unread.transport.left = 50
    for connection, limit, reason in (
        (idle, supervision.UNUSED_S, EvictionReason.UNUSED),
        (middle, watchdog.COMMAND_TIMEOUT_S, EvictionReason.OWING),
        (unread, watchdog.UNREAD_TIMEOUT_S, EvictionReason.UNREAD),
    ):
        supervision.check(connection, start)
        supervision.check(connection, start + limit - 0.1)
        assert not ended(connection), reason
        supervision.check(connection, start + limit + 0.1)
        assert ended(connection) and place.figures.evictions[reason] == 1, reason
    place.settle()
    assert (
        place.budget.in_use[Part.CLIENTS] == 0
        and not place.server.places.shares.slots_by_holder
        and not place.server.places.proven
    )


def test_one_that_reads_by_dribbles_is_let_go_in_the_end() -> None:
    place = Place()
    slow = place.idle()
    assert isinstance(slow.transport, Wire)
    at = 1_000_000.0  # whole seconds: of other times, at + 60 - at may come to a little over 60
    for second in range(int(watchdog.MAX_UNREAD_S) + 1):
        slow.transport.left = 1_000 - second
        supervision.check(slow, at + second)
        assert not ended(slow)
    supervision.check(slow, at + watchdog.MAX_UNREAD_S + 1)
    assert ended(slow) == "abort"


def test_a_long_value_that_comes_byte_by_byte_ends() -> None:
    place = Place()
    slow = place.connect()
    head = encode(*request(body=b"x" * 100_000))[:400]
    slow.data_received(head)
    assert slow.body is not None and not slow.idle
    slow.receiving.last_bytes_s = slow.receiving.stream_started_s + watchdog.MAX_STREAMED_VALUE_S - 1
    supervision.check(slow, slow.receiving.stream_started_s + watchdog.MAX_STREAMED_VALUE_S - 1)
    assert not ended(slow)
    slow.receiving.last_bytes_s = (
        slow.receiving.stream_started_s + watchdog.MAX_STREAMED_VALUE_S + 1
    )  # a byte just now
    supervision.check(slow, slow.receiving.stream_started_s + watchdog.MAX_STREAMED_VALUE_S + 1)
    assert ended(slow) and place.server.buffer_budget.values == 0


def test_one_byte_every_two_seconds_is_no_head() -> None:
    place = Place()
    slow = place.connect()
    whole = encode(*request())
    came = slow.last_used_s
    for second in (0, 2):
        slow.data_received(whole[second : second + 1])
        slow.receiving.last_bytes_s = came + second
        supervision.check(slow, came + second)
        assert not ended(slow)
    supervision.check(slow, came + watchdog.COMMAND_TIMEOUT_S + 0.1)
    assert ended(slow) and wrote(slow) == [b"-ERR protocol error\r\n"]


# ---- rushes ----


def test_the_pace_of_accepting_follows_the_length_of_a_turn() -> None:
    pace, now = AcceptRate(), 100.0
    assert pace.next_batch(now, backlogged=False) == accept.MAX_BATCH
    for most in (4, 2, 1, 1):  # turns that come late
        now += 0.05
        assert pace.next_batch(now, backlogged=True) == most
    for most in (2, 3, 4):
        now += 0.001
        assert pace.next_batch(now, backlogged=True) == most
    assert pace.next_batch(now + 5, backlogged=False) == accept.MAX_BATCH  # there was nothing to do meanwhile


def test_a_rush_beyond_the_backlog_is_answered_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("switchline.service.service.BACKLOG", 4)

    async def scenario() -> None:
        async with running(World(Backend())) as world:

            async def come(number: int) -> object:
                peer = await world.client()
                return await world.ask(peer, id=b"r%d" % number, wait=8000)

            answers = await asyncio.gather(*(come(number) for number in range(9)))
            assert all(answer == b"value" or str(answer).startswith("BUSY ") for answer in answers)

    in_loop(scenario)


def test_a_peer_that_resets_before_it_is_accepted_harms_nobody() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            for _ in range(20):
                gone = socket.create_connection((LOCAL, world.port))
                gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                gone.close()  # this blocks the event loop, so nothing has been accepted yet
            peer = await world.client()
            assert await world.ask(peer) == b"value"

    in_loop(scenario)


def test_without_a_descriptor_accepting_rests_and_operators_still_get_in() -> None:
    """The system refuses: the listening socket is not asked in a busy loop, and the spare one is lent."""

    class Short:
        """Gives no descriptor a number of times."""

        def __init__(self, times: int) -> None:
            self.asked, self.times = 0, times

        def __call__(self) -> tuple[socket.socket, Any]:
            self.asked += 1
            if self.asked <= self.times:
                raise OSError(errno.EMFILE, "none left")
            raise BlockingIOError

    async def scenario() -> None:
        for first, asked in ((False, 1), (True, 2)):
            budget, made = Budget(256), listen((LOCAL, 0), 5)
            budget.keep_reserve()
            acceptor = Acceptor(made, asyncio.Protocol, budget, first)
            short = Short(1)
            acceptor.socket = SimpleNamespace(accept=short, fileno=made.fileno)  # type: ignore[assignment]
            acceptor._accept()
            assert short.asked == asked and (acceptor.paused_by_shortage is None) is first
            assert (budget.reserve is None) is first and budget.shortages == 1
            acceptor.socket = made
            acceptor.close()
            budget.close()

    in_loop(scenario)


def test_when_the_process_runs_out_service_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Real shortage: the process's own limit is lower than what is configured, and all of it is taken."""

    # Work that is sent once: a safe request's attempt is called off after five times the usual answer's time,
    # here a few milliseconds, and there is no second backend to try.
    once: dict[str, Any] = {"name": b"wipe", "body": b"x"}

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            held = [await world.client() for _ in range(10)]
            for number, peer in enumerate(held):
                assert await world.ask(peer, id=b"r%d" % number, **once) == b"value"
            outside = socket.create_connection((LOCAL, world.port))  # before the limit, which is theirs too
            caller = socket.create_connection((LOCAL, world.operator))
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            taken = max(int(name) for name in os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (taken, hard))
            try:
                for peer in held[:8]:  # in use or idle, they stay where nothing must give way
                    assert await world.ask(peer, id=b"again", **once) in (b"value", None)
                loop = asyncio.get_running_loop()
                caller.setblocking(False)
                await loop.sock_sendall(caller, b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await loop.sock_recv(caller, 100)).startswith(b"HTTP/1.1 200")
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                outside.close()
                caller.close()
            assert await world.ask(await world.client(), **once) == b"value"

    in_loop(scenario)


# ---- the pool ----


async def silent(command: list[bytes]) -> Reply:
    return None


def test_few_handshakes_go_to_one_backend_at_a_time() -> None:
    async def scenario() -> None:
        server = Backend(silent)
        async with pool(server) as made:
            tries = [Try(made) for _ in range(10)]
            assert made.gauges()["backends.opening"] == 4 and made.gauges()["backends.waiting"] == 10
            await until(lambda: len(server.got) == 10)
            assert (
                made.metrics.handshakes_begun == 10
                and made.metrics.handshake_waits == 10
                and not made.metrics.handshakes_failed
            )
            assert not any(t.endings for t in tries)

    in_loop(scenario)


def test_an_attempt_takes_a_connection_that_becomes_free_before_its_handshake() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        server = Backend(script)
        async with pool(server, budget=Budget(1024, Shares(connects=1)), connect_timeout=5_000) as made:
            first = Try(made)
            await until(lambda: server.got)
            # A handshake that never comes up: nobody accepts, and the backlog is full.
            with socket.create_server((LOCAL, 0), backlog=0) as deaf:
                filler = [socket.socket() for _ in range(3)]
                for sock in filler:
                    sock.setblocking(False)
                    sock.connect_ex(deaf.getsockname())
                made.endpoints[0].address = deaf.getsockname()
                waits = Try(made)
                await asyncio.sleep(0.01)
                made.endpoints[0].address = (LOCAL, server.port)
                go_on.set()
                assert (await first.result())[0] is Outcome.OK
                assert (await waits.result())[0] is Outcome.OK
                assert server.accepted == 1
                for sock in filler:
                    sock.close()

    in_loop(scenario)


def test_no_room_is_no_mark_against_a_backend_and_the_request_is_refused_at_once() -> None:
    async def scenario() -> None:
        backends = [Backend(silent), Backend(silent)]
        # Work that is sent once holds its place however long this takes: a safe request's attempt is called
        # off after 0.6 s and sent anew, and a handshake that the machine holds up is given up after 0.25 s.
        world = World(*backends, sockets=1, connect_ms=2000.0)  # eight connections to backends
        async with running(world):
            for number in range(4):
                peer = await world.client()
                for more in range(2):
                    held = b"r%d" % (number * 2 + more)
                    peer.send(*request(held, name=b"wipe", wait=60_000, body=b"x"))
            await until(lambda: sum(len(b.got) for b in backends) == 8)
            late = await world.client()
            for number in range(4):
                late.send(*request(b"late%d" % number, name=b"wipe", wait=60_000, body=b"x"))
            for _ in range(4):
                assert str(await late.receive()).startswith("BUSY ")
            stats = await figures(world)
            assert stats["outstanding"] == 8 == sum(len(b.got) for b in backends)  # no place was left
            assert stats["ejected"] == 0 and stats["handshakes.failed"] == 0 and stats["declined.wipe"] == 4
            assert stats["crowded"] == 0  # each was refused as it found no connection

    in_loop(scenario)


def test_a_drain_told_while_attempts_wait_sends_them_nowhere() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            tries = [Try(made) for _ in range(8)]
            made.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert [(await t.result())[0] for t in tries] == [Outcome.CONNECT_FAILED] * 8
            assert not server.got and not made.endpoints[0].waiting

    in_loop(scenario)


def test_one_that_leaves_while_it_waits_makes_no_place_for_itself() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            tries = [Try(made) for _ in range(6)]
            for left in tries[1:]:
                made.give_up(left.attempt, Outcome.CANCELLED)
                assert left.endings == [(Outcome.CANCELLED, b"")]
            assert (await tries[0].result())[0] is Outcome.OK
            await until(lambda: made.gauges()["backends.opening"] == 0)
            assert len(server.got) == 1 and made.gauges()["backends.waiting"] == 0

    in_loop(scenario)


def test_256_descriptors_and_40_backends_that_all_answer_late() -> None:
    """More backends than the pool holds at once in a burst: places pass from one to the next."""

    async def scenario() -> None:
        servers = [Backend() for _ in range(40)]
        async with pool(*servers, budget=Budget(256), connect_timeout=5_000) as made:
            tries = [Try(made, backend=n % 40, wait=8_000) for n in range(400)]
            outcomes = Counts([(await t.result())[0] for t in tries])
            assert outcomes == {Outcome.OK: 400}
            assert len(made.connections) <= 64 and made.budget.in_use[Part.BACKENDS] == len(made.connections)

    in_loop(scenario)


# ---- one gateway on loopback ----


def test_the_last_customer_s_first_request_finds_a_place_while_another_holds_all_it_can() -> None:
    async def scenario() -> None:
        scene = DriverScene(max_open=16)
        slots = [scene.send_request(b"r%d" % number) for number in range(20)]
        assert [slot.reply for slot in slots] == [None] * 12 + [b"-BUSY 200\r\n"] * 8
        small = Slot(scene.connection)
        words = list(request(b"small"))
        words[1] = b"00000000b4d65522"
        scene.driver.requests.on_command(parse_command(words), small)
        assert small.reply is None and len(scene.driver.requests.open) == 13
        scene.driver.requests.on_client_gone("r0")
        assert scene.driver.requests.shares.slots_by_holder == {"00000000b4d65521": 11, "00000000b4d65522": 1}
        scene.driver.requests.end_all()
        assert not scene.driver.requests.shares.slots_by_holder and scene.metrics.rejected_for_capacity == 8

    in_loop(scenario)


def test_pipelined_requests_keep_their_connection_when_places_are_few() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=1)) as world:
            busy = await world.client()
            for number in range(3):
                busy.send(*request(b"p%d" % number))
            busy.writer.write(encode(*request(b"last"))[:30])
            await busy.writer.drain()
            assert [await busy.receive() for _ in range(3)] == [b"value"] * 3
            others: list[Peer] = [await world.client() for _ in range(30)]
            assert await others[0].receive() is None
            busy.writer.write(encode(*request(b"last"))[30:])
            assert await busy.receive() == b"value"

    in_loop(scenario)


def test_a_client_that_half_closes_counts_as_gone_and_gives_its_place_back() -> None:
    """A half-close can't be told from a close, and a backend must not go on for one who has left."""

    async def scenario() -> None:
        async with running(World(Backend(silent))) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: world.backends[0].got)
            peer.writer.write_eof()
            assert await peer.receive() is None
            await until(lambda: world.backends[0].ended)  # the attempt was called off
            counts = await figures(world)
            assert counts["aborted.view"] == 1 and counts["outstanding"] == 0
            assert counts["clients.in_use"] == counts["clients.idle"] == counts["clients.young"] == 0

    in_loop(scenario)


def test_bad_peers_get_what_they_are_owed_while_all_places_are_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchdog, "COMMAND_TIMEOUT_S", 0.2)
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        async with running(World(Backend(), sockets=1)) as world:  # eight places
            held = [await world.client() for _ in range(6)]
            for number, peer in enumerate(held):
                assert await world.ask(peer, id=b"r%d" % number) == b"value"
            sent = [b"", b"*5\r\n$8\r\nAPI.READ\r\n", b"GET / HTTP/1.1\r\n\r\n", encode(b"WHAT")]
            bad = [await world.client() for _ in range(24)]
            for number, peer in enumerate(bad):
                peer.writer.write(sent[number % 4])
            for peer in bad:  # each gets an error line or a close
                answer = await peer.receive()
                assert answer is None or str(answer).startswith("ERR")
            for number, peer in enumerate(held):
                assert await world.ask(peer, id=b"again%d" % number) == b"value"

    in_loop(scenario)


def test_a_close_that_crosses_a_request_costs_its_client_one_new_connection() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=1)) as world:
            peers = [await world.client() for _ in range(6)]
            for number, peer in enumerate(peers):
                assert await world.ask(peer, id=b"r%d" % number) == b"value"
            assert await world.ask(await world.client(), id=b"more") == b"value"
            peers[0].send(*request(b"crosses"))  # its connection has just given way
            assert await peers[0].receive() is None
            assert await world.ask(await world.client(), id=b"crosses") == b"value"
            assert sum(command[2] == b"crosses" for command in world.backends[0].got) == 1

    in_loop(scenario)


def test_a_changed_file_with_a_malformed_share_is_not_taken(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(connections={"young": 2})))
    with pytest.raises(ConfigError, match="young"):
        load_config(str(path))


def test_a_long_value_either_way_outlasts_a_flood() -> None:
    long = bytes(1_000_000)
    reply = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(long), long)

    async def scenario() -> None:
        backend = Cutting(reply, [500_000])
        async with running(World(backend, sockets=1)) as world:
            peer = await world.client()
            sent = encode(*request(name=b"wipe", body=long))
            peer.writer.write(sent[:400_000])
            flood = [await world.client() for _ in range(30)]  # while it comes in
            peer.writer.write(sent[400_000:])
            await until(lambda: backend.got)
            flood += [await world.client() for _ in range(30)]  # while the answer comes
            backend.go_on.release()
            assert await peer.receive() == long and backend.got[0][4] == long
            assert (await figures(world))["evicted.young"] >= 40 and len(flood) == 60

    in_loop(scenario)


def test_an_upgrade_with_both_processes_at_their_share_fits_into_the_limit() -> None:
    old, new = Budget(256), Budget(256)
    usual = {Part.OPERATORS: 2, Part.COUNTER: 4, Part.DISCOVERY: 1}  # of the fixed parts, what is in use
    for budget in (old, new):
        for part, number in usual.items():
            for _ in range(number):
                budget.acquire(part)
    for part in (Part.CLIENTS, Part.BACKENDS):
        while old.has_free(part):
            old.acquire(part)
    old.freeze()
    while old.in_use[Part.CLIENTS]:  # its clients leave one by one; the new one grows into their places
        new.peer_process_descriptors = old.total
        for part in (Part.CLIENTS, Part.BACKENDS):
            while new.has_free(part):
                new.acquire(part)
            while new.in_use[part] > new.limit_of(part):
                new.release(part)
        assert old.total + new.total <= 256
        old.release(Part.CLIENTS)
        assert not old.has_free(Part.BACKENDS)


def test_sighup_in_a_rush_harms_nobody_and_a_drain_in_one_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        world = World(Backend())
        servers = (world.backends[0], world.counter, world.discovery)
        for server in servers:
            await server.start()
        port, world.operator = claimed_port(), claimed_port()
        path = tmp_path / "config.json"
        given = {**world.config(), "listen": f"{LOCAL}:{port}"}
        path.write_text(json.dumps(given))
        process = await start_gateway(path)
        try:
            await (await connect_client(port)).writer.drain()

            async def rush(number: int) -> object:
                peer = await connect_client(port)
                peer.send(*request(b"r%d" % number))
                answer = await peer.receive()
                peer.close()
                return answer

            coming = [asyncio.create_task(rush(number)) for number in range(60)]
            path.write_text(json.dumps({**given, "connections": {"clients": 7}}))
            process.send_signal(signal.SIGHUP)  # changes nothing
            await asyncio.sleep(0)
            path.write_text(json.dumps({**given, "connections": {"connects": 1}}))
            process.send_signal(signal.SIGHUP)
            answers = await asyncio.gather(*coming)
            assert all(a == b"value" or str(a).startswith("BUSY ") for a in answers)
            coming = [asyncio.create_task(rush(number)) for number in range(60, 100)]
            await until(lambda: any(task.done() for task in coming))
            process.send_signal(signal.SIGTERM)
            late = [task for task in coming if not task.done()]
            await asyncio.wait({*late, asyncio.create_task(process.wait())})
            for task in coming:
                if not task.done():
                    task.cancel()  # came after the end
            done = [task.result() for task in coming if task.done() and not task.cancelled()]
            assert all(a is None or a == b"value" or str(a).startswith("BUSY ") for a in done)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
            for server in servers:
                await server.stop()

    in_loop(scenario)
