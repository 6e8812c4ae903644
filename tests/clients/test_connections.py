"""Client and backend connections: descriptor budget, fair shares, eviction, timeouts and bursts."""

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
from backend_attempts import RecordedAttempt, running_pool
from connection_figures import gateway_config, gateway_metrics
from cutting_backend import PiecewiseBackend
from driver_scene import DriverScene
from gateway_process import connect_client, start_gateway
from hypothesis import example, given
from hypothesis import strategies as st

from switchline.clients import server as clients
from switchline.clients import supervision, watchdog
from switchline.clients.commands import Command, parse_command
from switchline.clients.connection import ClientConnection
from switchline.clients.server import ClientServer
from switchline.clients.slot import Slot
from switchline.clients.turns import ITERATION_S, Turns
from switchline.config import ConfigError, load_config, parse_config
from switchline.net import accept
from switchline.net.accept import Acceptor, AcceptRate
from switchline.net.descriptors import (
    FIXED_LIMITS,
    MIN_CONNECTIONS,
    PROCESS_DESCRIPTORS,
    Budget,
    DescriptorOwner,
    Shares,
)
from switchline.net.listen import listen
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import EvictionReason, Metrics
from switchline.policy.interface import BackendState, Outcome
from switchline.policy.quota.fair_shares import FairShares
from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Peer, Reply, encode, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import Wire, World, in_loop, request, running

# ---- descriptor budget ----


# Guards against: an owner that gets the minimum takes the sum of all limits over the descriptors.
@example(150, 64, 0.5, 0.125)
@given(st.integers(150, 4096), st.integers(0, 4096), st.floats(0.05, 0.6), st.floats(0.05, 0.3))
def test_descriptor_budgets_of_all_parts_fit_into_the_limit(
    limit: int, peer_process_descriptors: int, clients: float, backends: float
) -> None:
    budget = Budget(limit, Shares(clients=clients, backends=backends))
    budget.peer_process_descriptors = peer_process_descriptors
    parts = PROCESS_DESCRIPTORS + sum(budget.limit_of(part) for part in DescriptorOwner)
    minimum = PROCESS_DESCRIPTORS + sum(FIXED_LIMITS.values()) + 2 * MIN_CONNECTIONS
    assert parts <= max(limit - peer_process_descriptors, minimum) and all(
        budget.limit_of(part) >= MIN_CONNECTIONS for part in budget.in_use
    )


def test_budget_follows_changed_limits_and_the_descriptors_of_the_peer_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    budget = Budget(256)
    assert (budget.limit_of(DescriptorOwner.CLIENTS), budget.limit_of(DescriptorOwner.BACKENDS)) == (128, 64)
    budget.peer_process_descriptors = 100
    assert (budget.limit_of(DescriptorOwner.CLIENTS), budget.limit_of(DescriptorOwner.BACKENDS)) == (70, 35)
    budget.peer_process_descriptors = 250
    assert (budget.limit_of(DescriptorOwner.CLIENTS), budget.limit_of(DescriptorOwner.BACKENDS)) == (
        MIN_CONNECTIONS,
        MIN_CONNECTIONS,
    )
    budget.peer_process_descriptors, budget.configured_limit = 0, 1024
    assert budget.limit_of(DescriptorOwner.CLIENTS) == 512
    monkeypatch.setattr("resource.getrlimit", lambda _: (300, 400))  # lower than the configured limit
    assert budget.limit_of(DescriptorOwner.CLIENTS) == 150 and budget.gauges()["descriptors.limit"] == 300


def test_frozen_budget_of_the_old_process_of_an_upgrade_does_not_grow() -> None:
    budget = Budget(256)
    for _ in range(20):
        budget.acquire(DescriptorOwner.BACKENDS)
    budget.freeze()
    assert not budget.has_free(DescriptorOwner.BACKENDS)
    budget.release(DescriptorOwner.BACKENDS)
    assert budget.has_free(DescriptorOwner.BACKENDS)
    budget.unfreeze()
    assert budget.limit_of(DescriptorOwner.BACKENDS) == 64


def test_descriptor_shortage_asks_each_callback_only_for_what_is_still_missing() -> None:
    budget = Budget(256)
    requested_counts: list[int] = []

    def releases(released_count: int) -> Callable[[int], int]:
        def relieve(wanted_count: int) -> int:
            requested_counts.append(wanted_count)
            return released_count

        return relieve

    budget.shortage_callbacks = [releases(3), releases(2)]
    assert not budget.handle_shortage(OSError(errno.ECONNREFUSED, "refused"))
    assert budget.handle_shortage(OSError(errno.EMFILE, "none left")) and requested_counts == [8, 5]
    assert budget.shortages == 1


# ---- settings ----


def test_connection_shares_are_read_from_the_configuration() -> None:
    assert parse_config(gateway_config()).descriptor_shares == Shares()
    made = parse_config(gateway_config(connections={"clients": 0.6, "connects": 2}))
    assert made.descriptor_shares == Shares(clients=0.6, connects=2)


@pytest.mark.parametrize(
    "connection_settings",
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
def test_malformed_connection_setting_is_rejected_with_a_one_line_error(connection_settings: object) -> None:
    with pytest.raises(ConfigError, match="connections: ") as error_info:
        parse_config(gateway_config(connections=connection_settings))
    assert "\n" not in str(error_info.value)


# ---- fair shares ----

HOLDERS = st.sampled_from("abcde")


@given(st.integers(1, 40), st.lists(st.tuples(st.booleans(), HOLDERS), max_size=200))
def test_shares_are_max_min_fair_only_under_pressure(limit: int, steps: list[tuple[bool, str]]) -> None:
    shares, held_counts = FairShares(limit), Counts[str]()
    for takes_slot, holder in steps:
        total_count = held_counts.total()
        if takes_slot:
            admitted = shares.admits(holder)
            if total_count < int(limit * 0.75):
                assert admitted  # there is no limit while enough slots are free
            elif total_count < limit and not held_counts[holder]:
                assert admitted  # the first slot of a holder is granted while any is free
            elif admitted:
                # A holder of many slots gets no more until it has released some.
                assert held_counts[holder] < limit - total_count
            else:
                assert held_counts[holder] >= limit - total_count
            if admitted:
                shares.take(holder)
                held_counts[holder] += 1
        elif held_counts[holder]:
            shares.release(holder)
            held_counts[holder] -= 1
        assert shares.slots_in_use == held_counts.total() <= limit and shares.slots_by_holder == +held_counts


def test_holder_of_many_slots_leaves_room_for_a_thousand_holders_of_one() -> None:
    shares = FairShares(100)
    for _ in range(1000):
        if shares.admits("greedy"):
            shares.take("greedy")
    assert shares.slots_by_holder["greedy"] == 75
    small_holders = [f"small{number}" for number in range(1000)]
    for number, holder in enumerate(small_holders):  # each keeps its slot while ten more arrive
        assert shares.admits(holder)
        shares.take(holder)
        if number >= 10:
            shares.release(small_holders[number - 10])
        if shares.admits("greedy"):
            shares.take("greedy")
    assert 75 <= shares.slots_by_holder["greedy"] <= 100 - 11


def test_holders_with_unlimited_demand_get_equal_shares() -> None:
    shares = FairShares(96)
    for turn in range(4000):  # each holder asks in every turn, and one slot is released
        for holder in "abcd":
            if shares.admits(holder):
                shares.take(holder)
        holders = sorted(shares.slots_by_holder)
        shares.release(holders[turn % len(holders)])
    assert max(shares.slots_by_holder.values()) - min(shares.slots_by_holder.values()) <= 2


# ---- states of client connections, and eviction ----


class RecordingHandler:
    """Records each request and leaves it without an answer."""

    def __init__(self) -> None:
        self.open_slots: dict[ClientConnection, list[Slot]] = {}
        self.rejected_count = 0

    def check(self, command: Command) -> None:
        if command.attributes[b"c"] == b"none":
            raise ValueError("unknown class or plan")

    def on_command(self, command: Command, slot: Slot) -> None:
        self.open_slots.setdefault(slot.connection, []).append(slot)

    def on_command_without_place(self, command: Command, slot: Slot) -> None:
        self.rejected_count += 1
        slot.answer(b"-BUSY 200\r\n")

    def on_body_received(self, request_id: str) -> None: ...

    def on_client_gone(self, request_id: str) -> None: ...


class ServerHarness:
    """A client server without a socket. Half of its `limit` descriptors are for clients."""

    def __init__(self, limit: int = 256) -> None:
        self.handler, self.budget, self.metrics = RecordingHandler(), Budget(limit), Metrics([])
        self.server = ClientServer(self.handler, self.budget, BufferBudget(2**26), self.metrics)
        self.next_iteration: list[Callable[[], None]] = []
        self.server.turns = Turns(self.server.guard, self.next_iteration.append)
        self.request_count = 0

    def connect(self, peer: str = LOCAL) -> ClientConnection:
        connection = ClientConnection(self.server)
        connection.connection_made(Wire(peer))
        return connection

    def send_request(self, connection: ClientConnection, name: bytes = b"view") -> None:
        self.request_count += 1
        connection.data_received(encode(*request(b"r%d" % self.request_count, name=name)))
        self.run_iteration()

    def run_iteration(self) -> None:
        """Call what waits for the next iteration, as the event loop would."""
        callbacks = list(self.next_iteration)
        self.next_iteration.clear()
        for callback in callbacks:
            callback()

    def answer_requests(self, connection: ClientConnection) -> None:
        for slot in self.handler.open_slots.pop(connection, ()):
            slot.answer(b"$2\r\nok\r\n")

    def connect_idle(self, peer: str = LOCAL) -> ClientConnection:
        connection = self.connect(peer)
        self.send_request(connection)
        self.answer_requests(connection)
        return connection

    def report_closed(self) -> None:
        """Call connection_lost for each closed connection, as the event loop would."""
        for connection in list(self.server.connections):
            if end_kind(connection):
                connection.connection_lost(None)


def end_kind(connection: ClientConnection) -> str:
    return connection.transport.ended if isinstance(connection.transport, Wire) else "lost"


def written_replies(connection: ClientConnection) -> list[bytes]:
    assert isinstance(connection.transport, Wire)
    return connection.transport.wrote


def connection_state(connection: ClientConnection) -> str:
    if end_kind(connection):
        return "gone"
    if not connection.idle:
        return "busy"
    return "idle" if connection.validated else "young"


def test_silent_connections_evict_each_other_and_no_validated_connection() -> None:
    harness = ServerHarness()  # 128 places, 32 of them for young ones when places are scarce
    validated = [harness.connect_idle() for _ in range(96)]
    silent = [harness.connect("127.0.0.9") for _ in range(100)]
    assert (
        not any(map(end_kind, validated))
        and [bool(end_kind(c)) for c in silent] == [True] * 68 + [False] * 32
    )
    assert harness.metrics.evictions[EvictionReason.YOUNG] == 68
    harness.report_closed()
    assert harness.budget.in_use[DescriptorOwner.CLIENTS] == 128
    assert harness.server.gauges() == {
        "clients.young": 32,
        "clients.in_use": 0,
        "clients.idle": 96,
        "clients.waiting": 0,
    }


def test_young_connections_stay_open_while_places_are_free() -> None:
    harness = ServerHarness()
    silent = [harness.connect() for _ in range(96)]
    assert not any(map(end_kind, silent))


def test_single_peer_may_use_all_places_but_those_for_young_connections() -> None:
    harness = ServerHarness()
    busy = [harness.connect() for _ in range(96)]
    for connection in busy:
        harness.send_request(connection)
    assert harness.handler.rejected_count == 0 and not any(map(end_kind, busy))
    late = harness.connect()
    harness.send_request(late)
    assert harness.handler.rejected_count == 1 and written_replies(late) == [b"-BUSY 200\r\n"]
    harness.answer_requests(busy[5])
    harness.send_request(late)  # gets the place of an idle connection
    assert harness.handler.rejected_count == 1 and [bool(end_kind(c)) for c in busy].index(True) == 5


def test_first_request_of_another_peer_gets_a_place_while_one_peer_has_hundreds() -> None:
    harness = ServerHarness(1024)
    for _ in range(500):
        harness.send_request(harness.connect("127.0.0.9"))
    assert (
        harness.server.places.shares.slots_by_holder["127.0.0.9"] == 384
        and harness.handler.rejected_count == 116
    )
    for number in range(20):
        harness.send_request(harness.connect(f"127.0.1.{number}"))
    assert harness.handler.rejected_count == 116


def test_longest_idle_connection_of_the_peer_with_most_is_evicted_and_none_of_a_smaller_peer() -> None:
    harness = ServerHarness()
    many = [harness.connect_idle("127.0.0.9") for _ in range(64)]
    few = [harness.connect_idle("127.0.0.8") for _ in range(32)]
    harness.send_request(many[0])
    harness.send_request(harness.connect("127.0.0.9"))
    assert [end_kind(c) for c in many].index("close") == 1 and not any(map(end_kind, few))
    for connection in many[2:]:
        harness.send_request(connection)
    # All 64 connections of this peer are in use. The peer with 32 connections keeps its idle ones.
    harness.send_request(harness.connect("127.0.0.9"))
    assert harness.handler.rejected_count == 1 and not any(map(end_kind, few))


def test_request_of_an_unknown_class_leaves_its_connection_young() -> None:
    harness = ServerHarness()
    connection = harness.connect()
    harness.send_request(connection, name=b"none")
    assert not connection.validated and connection in harness.server.places.young
    assert connection_state(connection) == "young"


EVENT_KINDS = st.sampled_from(["come", "come", "ask", "answer", "part", "ping", "leave"])


@given(st.lists(st.tuples(EVENT_KINDS, st.integers(0, 40)), max_size=120))
def test_random_events_evict_only_the_connection_that_is_next_in_order(events: list[tuple[str, int]]) -> None:
    harness = ServerHarness(1)  # the minimum: eight places, two of them for young connections
    connections: list[ClientConnection] = []
    partial_command = encode(*request(b"part"))[:-9]
    for event, number in events:
        states_before = {c: connection_state(c) for c in connections}
        young = [c for c in harness.server.places.young if states_before[c] == "young"]
        oldest = young[0] if young else None
        validated_before = {
            peer: list(harness.server.places.validated[peer]) for peer in harness.server.places.validated
        }
        evictions_before, rejections_before = dict(harness.metrics.evictions), harness.handler.rejected_count
        open_connections = [c for c in connections if states_before[c] != "gone"]
        chosen = open_connections[number % len(open_connections)] if open_connections else None
        if event == "come":
            connections.append(harness.connect(f"127.0.0.{number % 3}"))
        elif chosen is None:
            continue
        elif event == "ask" and not chosen.parser.has_partial_value():
            harness.send_request(chosen)
        elif event == "answer":
            harness.answer_requests(chosen)
        elif event == "part" and not chosen.parser.has_partial_value():
            chosen.data_received(partial_command)
        elif event == "ping" and not chosen.parser.has_partial_value():
            chosen.data_received(encode(b"PING"))
        elif event == "leave":
            chosen.connection_lost(None)
        closed = [
            c for c in connections[:-1] if states_before.get(c) != "gone" and connection_state(c) == "gone"
        ]
        closed = [c for c in closed if event != "leave" or c is not chosen]
        if (
            harness.metrics.evictions[EvictionReason.NO_EVICTABLE_CONNECTION]
            > evictions_before[EvictionReason.NO_EVICTABLE_CONNECTION]
        ):
            assert closed == [chosen] and closed[0].surplus and event != "come"
            closed = []
        assert len(closed) <= 1 and all(states_before[c] in ("young", "idle") for c in closed)
        for c in closed:
            if states_before[c] == "young":
                assert c is oldest and event == "come"
            else:
                assert event == "ask" or (oldest is None and sum(map(len, validated_before.values())) > 6)
                peers_with_idle = [
                    h for h in validated_before.values() if any(states_before[r] == "idle" for r in h)
                ]
                assert len(validated_before[c.peer_address]) == max(map(len, peers_with_idle))
                assert c is next(r for r in validated_before[c.peer_address] if states_before[r] == "idle")
        if harness.handler.rejected_count > rejections_before and chosen is not None:
            assert (
                chosen.peer_address in validated_before
                or sum(map(len, validated_before.values())) >= harness.server.places.limit
            )
        harness.report_closed()
        assert (
            harness.server.places.live_count
            == len(harness.server.connections)
            <= harness.server.places.limit + 1
        )
        assert len(harness.server.places.young) <= 2 or harness.server.places.live_count <= 7
        assert harness.budget.in_use[DescriptorOwner.CLIENTS] == len(harness.server.connections)
        assert harness.server.places.shares.slots_by_holder == {
            p: len(h) for p, h in harness.server.places.validated.items()
        }


def test_shrinking_budget_closes_idle_connections_only() -> None:
    async def scenario() -> None:
        harness = ServerHarness()
        busy = [harness.connect() for _ in range(20)]
        for connection in busy:
            harness.send_request(connection)
        idle = [harness.connect_idle() for _ in range(60)]
        harness.budget.configured_limit = 100  # as after SIGHUP; leaves 32 places
        harness.server.sweep()
        assert (
            not any(map(end_kind, busy))
            and sum(map(bool, map(end_kind, idle))) == 80 - harness.server.places.limit
        )
        harness.budget.peer_process_descriptors = 90  # descriptors of the peer process of an upgrade
        harness.server.sweep()
        assert not any(map(end_kind, busy)) and all(map(end_kind, idle))
        harness.server.close()

    in_loop(scenario)


def test_backend_pool_shrinks_with_its_budget() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as backend_pool:
            await asyncio.gather(*(RecordedAttempt(backend_pool).result() for _ in range(20)))
            opened = len(backend_pool.connections)
            assert opened > 8
            await until(lambda: len(backend_pool.endpoints[0].idle) == opened)
            backend_pool.budget.peer_process_descriptors = 2_000
            backend_pool.sweep()
            assert len(backend_pool.connections) == 8

    in_loop(scenario)


# ---- timeouts of half-open connections ----


def test_unused_incomplete_and_unread_connections_are_closed_after_their_timeouts() -> None:
    harness = ServerHarness()
    start = 1_000_000.0

    def reset_times(connection: ClientConnection) -> ClientConnection:
        connection.last_used_s = connection.receiving.last_received_s = start
        if connection.receiving.wait_started_at_s is not None:
            connection.receiving.wait_started_at_s = start
        return connection

    idle, incomplete, unread = (
        reset_times(harness.connect_idle()),
        harness.connect(),
        reset_times(harness.connect_idle()),
    )
    incomplete.data_received(encode(*request())[:40])
    reset_times(incomplete)
    assert isinstance(unread.transport, Wire)
    unread.transport.left = 50
    for connection, limit, reason in (
        (idle, supervision.UNUSED_TIMEOUT_S, EvictionReason.UNUSED),
        (incomplete, watchdog.COMMAND_TIMEOUT_S, EvictionReason.INCOMPLETE_COMMAND),
        (unread, watchdog.UNREAD_TIMEOUT_S, EvictionReason.UNREAD_REPLIES),
    ):
        supervision.check_connection(connection, start)
        supervision.check_connection(connection, start + limit - 0.1)
        assert not end_kind(connection), reason
        supervision.check_connection(connection, start + limit + 0.1)
        assert end_kind(connection) and harness.metrics.evictions[reason] == 1, reason
    harness.report_closed()
    assert (
        harness.budget.in_use[DescriptorOwner.CLIENTS] == 0
        and not harness.server.places.shares.slots_by_holder
        and not harness.server.places.validated
    )


def test_client_that_reads_too_slowly_is_disconnected_after_the_maximum_duration() -> None:
    harness = ServerHarness()
    slow = harness.connect_idle()
    assert isinstance(slow.transport, Wire)
    # Whole seconds, because for other times at_s + 60 - at_s may exceed 60 by a rounding error.
    at_s = 1_000_000.0
    for second in range(int(watchdog.MAX_UNREAD_DURATION_S) + 1):
        slow.transport.left = 1_000 - second
        supervision.check_connection(slow, at_s + second)
        assert not end_kind(slow)
    supervision.check_connection(slow, at_s + watchdog.MAX_UNREAD_DURATION_S + 1)
    assert end_kind(slow) == "abort"


def test_long_value_that_arrives_too_slowly_ends_its_connection() -> None:
    harness = ServerHarness()
    slow = harness.connect()
    head = encode(*request(body=b"x" * 100_000))[:400]
    slow.data_received(head)
    assert slow.streamed_body is not None and not slow.idle
    slow.receiving.last_received_s = (
        slow.receiving.stream_started_at_s + watchdog.MAX_STREAMED_VALUE_DURATION_S - 1
    )
    supervision.check_connection(
        slow, slow.receiving.stream_started_at_s + watchdog.MAX_STREAMED_VALUE_DURATION_S - 1
    )
    assert not end_kind(slow)
    # A byte has arrived just now.
    slow.receiving.last_received_s = (
        slow.receiving.stream_started_at_s + watchdog.MAX_STREAMED_VALUE_DURATION_S + 1
    )
    supervision.check_connection(
        slow, slow.receiving.stream_started_at_s + watchdog.MAX_STREAMED_VALUE_DURATION_S + 1
    )
    assert end_kind(slow) and harness.server.buffer_budget.active_values == 0


def test_command_sent_byte_by_byte_exceeds_the_command_timeout() -> None:
    harness = ServerHarness()
    slow = harness.connect()
    command = encode(*request())
    opened_at_s = slow.last_used_s
    for second in (0, 2):
        slow.data_received(command[second : second + 1])
        slow.receiving.last_received_s = opened_at_s + second
        supervision.check_connection(slow, opened_at_s + second)
        assert not end_kind(slow)
    supervision.check_connection(slow, opened_at_s + watchdog.COMMAND_TIMEOUT_S + 0.1)
    assert end_kind(slow) and written_replies(slow) == [b"-ERR protocol error\r\n"]


# ---- bursts of connections ----


def test_accept_batch_size_follows_the_duration_of_event_loop_turns() -> None:
    rate, now_s = AcceptRate(), 100.0
    assert rate.next_batch(now_s, backlogged=False) == accept.MAX_BATCH
    for batch in (4, 2, 1, 1):  # turns that take too long
        now_s += 0.05
        assert rate.next_batch(now_s, backlogged=True) == batch
    for batch in (2, 3, 4):
        now_s += 0.001
        assert rate.next_batch(now_s, backlogged=True) == batch
    # The event loop had nothing to do meanwhile.
    assert rate.next_batch(now_s + 5, backlogged=False) == accept.MAX_BATCH


def test_burst_beyond_the_backlog_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("switchline.service.service.BACKLOG", 4)

    async def scenario() -> None:
        async with running(World(Backend())) as world:

            async def connect_and_ask(number: int) -> object:
                peer = await world.client()
                return await world.ask(peer, id=b"r%d" % number, wait=8000)

            answers = await asyncio.gather(*(connect_and_ask(number) for number in range(9)))
            assert all(answer == b"value" or str(answer).startswith("BUSY ") for answer in answers)

    in_loop(scenario)


def test_peers_that_reset_before_accept_do_not_affect_others() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            for _ in range(20):
                gone = socket.create_connection((LOCAL, world.port))
                gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                gone.close()  # nothing has been accepted yet, as this code blocks the event loop
            peer = await world.client()
            assert await world.ask(peer) == b"value"

    in_loop(scenario)


def test_descriptor_shortage_pauses_accepting_except_for_operators() -> None:
    """Without a pause, accept would be called in a busy loop. Operators get the reserved descriptor."""

    class ScarceSocket:
        """Its accept fails for lack of descriptors `failure_count` times."""

        def __init__(self, failure_count: int) -> None:
            self.call_count, self.failure_count = 0, failure_count

        def __call__(self) -> tuple[socket.socket, Any]:
            self.call_count += 1
            if self.call_count <= self.failure_count:
                raise OSError(errno.EMFILE, "none left")
            raise BlockingIOError

    async def scenario() -> None:
        for may_use_reserve, call_count in ((False, 1), (True, 2)):
            budget, listener = Budget(256), listen((LOCAL, 0), 5)
            budget.open_reserve()
            acceptor = Acceptor(listener, asyncio.Protocol, budget, may_use_reserve)
            scarce_socket = ScarceSocket(1)
            acceptor.socket = SimpleNamespace(  # type: ignore[assignment]
                accept=scarce_socket, fileno=listener.fileno
            )
            acceptor._accept()
            assert (
                scarce_socket.call_count == call_count
                and (acceptor.shortage_timer is None) is may_use_reserve
            )
            assert (budget.reserve_fd is None) is may_use_reserve and budget.shortages == 1
            acceptor.socket = listener
            acceptor.close()
            budget.close()

    in_loop(scenario)


def test_gateway_keeps_serving_when_the_process_runs_out_of_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The limit of the process is lower than the configured one, and all its descriptors are in use."""

    # A request that is not idempotent is sent once. An attempt of an idempotent one is cancelled after five
    # times the usual latency, a few milliseconds here, and there is no second backend for a retry.
    not_idempotent: dict[str, Any] = {"name": b"wipe", "body": b"x"}

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            held = [await world.client() for _ in range(10)]
            for number, peer in enumerate(held):
                assert await world.ask(peer, id=b"r%d" % number, **not_idempotent) == b"value"
            waiting = socket.create_connection(
                (LOCAL, world.port)
            )  # opened before the limit, which this process shares
            operator = socket.create_connection((LOCAL, world.operator))
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            highest_descriptor = max(int(name) for name in os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (highest_descriptor, hard))
            try:
                for number, peer in enumerate(held[:8]):  # connections that need not be evicted stay open
                    assert await world.ask(peer, id=b"again%d" % number, **not_idempotent) in (b"value", None)
                loop = asyncio.get_running_loop()
                operator.setblocking(False)
                await loop.sock_sendall(operator, b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await loop.sock_recv(operator, 100)).startswith(b"HTTP/1.1 200")
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                waiting.close()
                operator.close()
            assert await world.ask(await world.client(), **not_idempotent) == b"value"

    in_loop(scenario)


# ---- backend pool ----


async def silent(command: list[bytes]) -> Reply:
    return None


def test_concurrent_handshakes_with_one_backend_are_limited() -> None:
    async def scenario() -> None:
        server = Backend(silent)
        async with running_pool(server) as backend_pool:
            attempts = [RecordedAttempt(backend_pool) for _ in range(10)]
            assert (
                backend_pool.gauges()["backends.opening"] == 4
                and backend_pool.gauges()["backends.waiting"] == 10
            )
            await until(lambda: len(server.got) == 10)
            assert (
                backend_pool.metrics.handshakes_begun == 10
                and backend_pool.metrics.handshake_waits == 10
                and not backend_pool.metrics.handshakes_failed
            )
            assert not any(t.endings for t in attempts)

    in_loop(scenario)


def test_waiting_attempt_uses_a_connection_that_is_free_before_its_handshake() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        server = Backend(script)
        async with running_pool(
            server, budget=Budget(1024, Shares(connects=1)), connect_timeout_ms=5_000
        ) as backend_pool:
            first = RecordedAttempt(backend_pool)
            await until(lambda: server.got)
            # A handshake that never completes: nobody accepts, and the backlog is full.
            with socket.create_server((LOCAL, 0), backlog=0) as unanswered:
                backlog_fillers = [socket.socket() for _ in range(3)]
                for sock in backlog_fillers:
                    sock.setblocking(False)
                    sock.connect_ex(unanswered.getsockname())
                backend_pool.endpoints[0].address = unanswered.getsockname()
                second = RecordedAttempt(backend_pool)
                await asyncio.sleep(0.01)
                backend_pool.endpoints[0].address = (LOCAL, server.port)
                go_on.set()
                assert (await first.result())[0] is Outcome.OK
                assert (await second.result())[0] is Outcome.OK
                assert server.accepted == 1
                for sock in backlog_fillers:
                    sock.close()

    in_loop(scenario)


def test_full_pool_rejects_requests_at_once_without_a_failure_of_the_backends() -> None:
    async def scenario() -> None:
        backends = [Backend(silent), Backend(silent)]
        # A request that is not idempotent keeps its connection however long it takes, while an attempt of an
        # idempotent one is cancelled after 0.6 s and retried. A handshake delayed by a busy machine would be
        # abandoned after 0.25 s, so the timeout is longer.
        world = World(*backends, sockets=1, connect_ms=2000.0)  # at most eight connections to backends
        async with running(world):
            for number in range(4):
                peer = await world.client()
                for index in range(2):
                    request_id = b"r%d" % (number * 2 + index)
                    peer.send(*request(request_id, name=b"wipe", wait=60_000, body=b"x"))
            await until(lambda: sum(len(b.got) for b in backends) == 8)
            late = await world.client()
            for number in range(4):
                late.send(*request(b"late%d" % number, name=b"wipe", wait=60_000, body=b"x"))
            for _ in range(4):
                assert str(await late.receive()).startswith("BUSY ")
            stats = await gateway_metrics(world)
            assert stats["outstanding"] == 8 == sum(len(b.got) for b in backends)  # no connection was free
            assert stats["ejected"] == 0 and stats["handshakes.failed"] == 0 and stats["declined.wipe"] == 4
            assert stats["crowded"] == 0  # each was rejected for want of a backend connection

    in_loop(scenario)


def test_attempts_that_wait_for_a_draining_backend_are_not_sent() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as backend_pool:
            attempts = [RecordedAttempt(backend_pool) for _ in range(8)]
            backend_pool.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert [(await t.result())[0] for t in attempts] == [Outcome.CONNECT_FAILED] * 8
            assert not server.got and not backend_pool.endpoints[0].waiting

    in_loop(scenario)


def test_cancelled_waiting_attempts_are_not_sent() -> None:
    async def scenario() -> None:
        server = Backend()
        async with running_pool(server) as backend_pool:
            attempts = [RecordedAttempt(backend_pool) for _ in range(6)]
            for cancelled in attempts[1:]:
                backend_pool.give_up(cancelled.attempt, Outcome.CANCELLED)
                assert cancelled.endings == [(Outcome.CANCELLED, b"")]
            assert (await attempts[0].result())[0] is Outcome.OK
            await until(lambda: backend_pool.gauges()["backends.opening"] == 0)
            assert len(server.got) == 1 and backend_pool.gauges()["backends.waiting"] == 0

    in_loop(scenario)


def test_burst_to_40_backends_succeeds_with_256_descriptors() -> None:
    """The burst needs more connections than the pool may have: they pass from one backend to the next."""

    async def scenario() -> None:
        servers = [Backend() for _ in range(40)]
        async with running_pool(*servers, budget=Budget(256), connect_timeout_ms=5_000) as backend_pool:
            attempts = [RecordedAttempt(backend_pool, backend=n % 40, wait_ms=8_000) for n in range(400)]
            outcomes = Counts([(await t.result())[0] for t in attempts])
            assert outcomes == {Outcome.OK: 400}
            assert len(backend_pool.connections) <= 64 and backend_pool.budget.in_use[
                DescriptorOwner.BACKENDS
            ] == len(backend_pool.connections)

    in_loop(scenario)


# ---- a gateway over loopback sockets ----


def test_first_request_of_a_customer_is_admitted_while_another_has_its_maximum() -> None:
    async def scenario() -> None:
        scene = DriverScene(max_open=16)
        slots = [scene.send_request(b"r%d" % number) for number in range(20)]
        assert [slot.reply for slot in slots] == [None] * 12 + [b"-BUSY 200\r\n"] * 8
        other_customer_slot = Slot(scene.connection)
        arguments = list(request(b"small"))
        arguments[1] = b"00000000b4d65522"
        scene.driver.requests.on_command(parse_command(arguments), other_customer_slot)
        assert other_customer_slot.reply is None and len(scene.driver.requests.in_flight) == 13
        scene.driver.requests.on_client_gone("r0")
        assert scene.driver.requests.shares.slots_by_holder == {"00000000b4d65521": 11, "00000000b4d65522": 1}
        scene.driver.requests.end_all()
        assert not scene.driver.requests.shares.slots_by_holder and scene.metrics.rejected_for_capacity == 8

    in_loop(scenario)


def test_connection_with_a_partial_request_is_not_evicted_when_places_are_scarce() -> None:
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


def test_half_close_by_a_client_cancels_its_request_and_frees_its_place() -> None:
    """A half-close looks like a close, and a backend must not go on working for a client that left."""

    async def scenario() -> None:
        async with running(World(Backend(silent))) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: world.backends[0].got)
            peer.writer.write_eof()
            assert await peer.receive() is None
            await until(lambda: world.backends[0].ended)  # the attempt was cancelled
            counts = await gateway_metrics(world)
            assert counts["aborted.view"] == 1 and counts["outstanding"] == 0
            assert counts["clients.in_use"] == counts["clients.idle"] == counts["clients.young"] == 0

    in_loop(scenario)


def test_invalid_peers_get_an_error_or_a_close_while_all_places_are_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watchdog, "COMMAND_TIMEOUT_S", 0.2)
    monkeypatch.setattr(clients, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        async with running(World(Backend(), sockets=1)) as world:  # eight places for clients
            held = [await world.client() for _ in range(6)]
            for number, peer in enumerate(held):
                assert await world.ask(peer, id=b"r%d" % number) == b"value"
            invalid_commands = [b"", b"*5\r\n$8\r\nAPI.READ\r\n", b"GET / HTTP/1.1\r\n\r\n", encode(b"WHAT")]
            invalid_peers = [await world.client() for _ in range(24)]
            for number, peer in enumerate(invalid_peers):
                peer.writer.write(invalid_commands[number % 4])
            for peer in invalid_peers:  # each gets an error reply or a close
                answer = await peer.receive()
                assert answer is None or str(answer).startswith("ERR")
            for number, peer in enumerate(held):
                assert await world.ask(peer, id=b"again%d" % number) == b"value"

    in_loop(scenario)


def test_request_sent_on_an_evicted_connection_succeeds_on_a_new_one() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=1)) as world:
            peers = [await world.client() for _ in range(6)]
            for number, peer in enumerate(peers):
                assert await world.ask(peer, id=b"r%d" % number) == b"value"
            assert await world.ask(await world.client(), id=b"more") == b"value"
            peers[0].send(*request(b"crosses"))  # its connection has just been evicted
            assert await peers[0].receive() is None
            assert await world.ask(await world.client(), id=b"crosses") == b"value"
            assert sum(command[2] == b"crosses" for command in world.backends[0].got) == 1

    in_loop(scenario)


def test_configuration_file_with_a_malformed_share_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(gateway_config(connections={"young": 2})))
    with pytest.raises(ConfigError, match="young"):
        load_config(str(path))


def test_long_values_in_both_directions_complete_during_a_connection_flood() -> None:
    long_value = bytes(1_000_000)
    reply = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(long_value), long_value)

    async def scenario() -> None:
        backend = PiecewiseBackend(reply, [500_000])
        async with running(World(backend, sockets=1)) as world:
            peer = await world.client()
            command = encode(*request(name=b"wipe", body=long_value))
            peer.writer.write(command[:400_000])
            flood = [await world.client() for _ in range(30)]  # while the request arrives
            peer.writer.write(command[400_000:])
            await until(lambda: backend.got)
            flood += [await world.client() for _ in range(30)]  # while the answer arrives
            backend.next_piece.release()
            assert await peer.receive() == long_value and backend.got[0][4] == long_value
            assert (await gateway_metrics(world))["evicted.young"] >= 40 and len(flood) == 60

    in_loop(scenario)


def test_budgets_of_both_upgrade_processes_fit_into_the_limit() -> None:
    old, new = Budget(256), Budget(256)
    # Descriptors in use by the parts with fixed limits.
    usual_counts = {DescriptorOwner.OPERATORS: 2, DescriptorOwner.COUNTER: 4, DescriptorOwner.DISCOVERY: 1}
    for budget in (old, new):
        for part, number in usual_counts.items():
            for _ in range(number):
                budget.acquire(part)
    for part in (DescriptorOwner.CLIENTS, DescriptorOwner.BACKENDS):
        while old.has_free(part):
            old.acquire(part)
    old.freeze()
    # The clients of the old process leave one by one, and the new process takes over their descriptors.
    while old.in_use[DescriptorOwner.CLIENTS]:
        new.peer_process_descriptors = old.total_in_use
        for part in (DescriptorOwner.CLIENTS, DescriptorOwner.BACKENDS):
            while new.has_free(part):
                new.acquire(part)
            while new.in_use[part] > new.limit_of(part):
                new.release(part)
        assert old.total_in_use + new.total_in_use <= 256
        old.release(DescriptorOwner.CLIENTS)
        assert not old.has_free(DescriptorOwner.BACKENDS)


def test_bursts_during_sighup_and_drain_get_answers_and_the_process_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        world = World(Backend())
        servers = (world.backends[0], world.counter, world.discovery)
        for server in servers:
            await server.start()
        port, world.operator = claimed_port(), claimed_port()
        path = tmp_path / "config.json"
        config = {**world.config(), "listen": f"{LOCAL}:{port}"}
        path.write_text(json.dumps(config))
        process = await start_gateway(path)
        try:
            await (await connect_client(port)).writer.drain()

            async def connect_and_ask(number: int) -> object:
                peer = await connect_client(port)
                peer.send(*request(b"r%d" % number))
                answer = await peer.receive()
                peer.close()
                return answer

            tasks = [asyncio.create_task(connect_and_ask(number)) for number in range(60)]
            path.write_text(json.dumps({**config, "connections": {"clients": 7}}))
            process.send_signal(signal.SIGHUP)  # the malformed file changes nothing
            await asyncio.sleep(0)
            path.write_text(json.dumps({**config, "connections": {"connects": 1}}))
            process.send_signal(signal.SIGHUP)
            answers = await asyncio.gather(*tasks)
            assert all(a == b"value" or str(a).startswith("BUSY ") for a in answers)
            tasks = [asyncio.create_task(connect_and_ask(number)) for number in range(60, 100)]
            await until(lambda: any(task.done() for task in tasks))
            process.send_signal(signal.SIGTERM)
            pending = [task for task in tasks if not task.done()]
            await asyncio.wait({*pending, asyncio.create_task(process.wait())})
            for task in tasks:
                if not task.done():
                    task.cancel()  # connected after the process had ended
            done = [task.result() for task in tasks if task.done() and not task.cancelled()]
            assert all(a is None or a == b"value" or str(a).startswith("BUSY ") for a in done)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
            for server in servers:
                await server.stop()

    in_loop(scenario)


# Guards against: a surplus connection is closed while its first request has been read and waits for its turn.
def test_request_on_a_surplus_connection_that_waits_for_its_turn_is_answered() -> None:
    harness = ServerHarness(8)
    for number in range(harness.server.places.limit):
        harness.send_request(harness.connect(f"127.0.1.{number}"))
    surplus = harness.connect()
    assert surplus.surplus
    harness.server.turns._used_s = ITERATION_S  # this iteration has no time left
    harness.send_request(surplus)
    assert written_replies(surplus) == [b"-BUSY 200\r\n"]
