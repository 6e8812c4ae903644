"""Following the list of backends, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from discovery_watch import DiscoveryFixture

from switchline.discovery import client as module
from switchline.discovery import poll_schedule
from switchline.discovery.endpoint_list import DiscoveryError, ListedBackend, host_number, read_list
from switchline.discovery.poll_schedule import MAX_SPREAD_S, poll_spread_s
from switchline.net.descriptors import Budget
from switchline.policy.interface import BackendState, ListScope
from testbed.network.sockets import LOCAL, reset, until
from testbed.stand_ins.agents import Discovery, host
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, running

TOLD_S = 6.0  # after which a change counts as told


def test_changes_are_followed_from_the_known_version_on() -> None:
    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await watch.wait_for_watches(1)
            assert watch.service.requests == ["/catalog/members?stream=1&index=41"]
            watch.service.send_line(b"")
            watch.service.change(42, host("h0", 1, "draining"))
            watch.service.change(43, host("h1", 1), whole=True)
            await until(lambda: len(watch.reported) == 2)
            assert watch.reported == [
                (ListScope.CHANGES, [(host_number("h0"), BackendState.DRAINING)]),
                (ListScope.FULL, [(host_number("h1"), BackendState.READY)]),
            ]

    in_loop(scenario)


def test_without_a_known_list_the_whole_one_is_read_first() -> None:
    async def scenario() -> None:
        async with DiscoveryFixture(version=None) as watch:
            watch.service.full_list = {"seq": 7, "whole": True, "hosts": [host("h0", 1)]}
            await watch.wait_for_watches(1)
            assert watch.service.requests[0] == "/catalog/members"
            assert watch.service.requests[1] == "/catalog/members?stream=1&index=7"
            assert [scope for scope, _ in watch.reported] == [ListScope.FULL]

    in_loop(scenario)


def test_a_watch_that_ends_is_taken_up_where_it_stood() -> None:
    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await watch.wait_for_watches(1)
            watch.service.change(50, host("h0", 1))
            await until(lambda: watch.reported)
            watch.service.hang_up()
            await watch.wait_for_watches(2)
            assert watch.service.requests[-1] == "/catalog/members?stream=1&index=50"

    in_loop(scenario)


def test_a_silent_watch_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cut off machine says nothing, and the list would stay as it was for ever."""
    monkeypatch.setattr(module, "SILENCE_LIMIT_S", 0.05)

    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await watch.wait_for_watches(2)

    in_loop(scenario)


def test_a_change_that_cannot_be_read_brings_the_whole_list() -> None:
    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await watch.wait_for_watches(1)
            watch.service.change(42, {"host": "h0"})
            await until(lambda: "/catalog/members" in watch.service.requests)
            await watch.wait_for_watches(2)
            assert [scope for scope, _ in watch.reported] == [] or watch.reported[0][0] is ListScope.FULL

    in_loop(scenario)


def test_a_watch_outlives_a_fault_in_taking_a_change() -> None:
    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await watch.wait_for_watches(1)
            record_report, faults = watch.record_report, [RuntimeError("not now")]

            def faulty(scope: ListScope, members: tuple[ListedBackend, ...]) -> None:
                if faults:
                    raise faults.pop()
                record_report(scope, members)

            watch.client.listener = faulty
            watch.service.full_list = {"seq": 43, "whole": True, "hosts": [host("h1", 1)]}
            watch.service.change(42, host("h0", 1))
            await watch.wait_for_watches(2)
            assert watch.reported == [(ListScope.FULL, [(host_number("h1"), BackendState.READY)])]

    in_loop(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"seq": "x"},
        {"seq": 1, "hosts": [{"host": "h", "dial": "nowhere", "health": "up"}]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:1", "health": "odd"}]},
        {"seq": 1, "hosts": [3]},
        {"seq": float("inf")},
        {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:70000", "health": "up"}]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "node.example:1", "health": "up"}]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:1", "health": "up", "born_ms": float("nan")}]},
    ],
)
def test_a_malformed_list_is_named(raw: Any) -> None:
    with pytest.raises(DiscoveryError):
        read_list(raw)


def test_a_host_has_one_number_everywhere() -> None:
    assert host_number("s-5be2a07c") == host_number("s-5be2a07c") != host_number("s-5be2a07d")


def test_a_drained_backend_gets_nothing_new_and_a_new_one_is_used() -> None:
    async def scenario() -> None:
        first, second = Backend(), Backend()
        world = World(first)
        await second.start()
        async with running(world):
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            world.discovery.change(42, host("h0", first.port, "draining"), host("h9", second.port))
            await until(lambda: first.ended)  # the idle connection goes as the change is heard
            for number in range(3):
                assert await world.ask(peer, id=b"%d" % number) == b"value"
            assert len(first.got) == 1 and len(second.got) == 3
        await second.stop()

    in_loop(scenario)


def test_clients_are_taken_once_discovery_has_told_what_changed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list as last known may be old: a backend that it calls warm may have just been started."""
    monkeypatch.setattr("switchline.service.service.FIRST_LIST_TIMEOUT_S", 5.0)

    async def scenario() -> None:
        class Telling(Discovery):
            async def serve_connection(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                talking = asyncio.create_task(super().serve_connection(reader, writer))
                await until(lambda: self.watches)
                await asyncio.sleep(0.1)  # clients would be taken by then
                self.change(42, host("h0", gone.port, "removed"), host("h9", there.port))
                await talking

        gone, there = Backend(), Backend()
        world = World(gone, there)
        world.discovery = Telling()
        async with running(world):
            assert await world.ask(await world.client(), name=b"wipe") == b"value"
            assert not gone.got and there.got

    in_loop(scenario)


def asks_a_second(gateways: int, seconds: int) -> list[int]:
    """What a fleet asks in each second that starts at once and is refused throughout."""
    asked = [0] * seconds
    apart = poll_spread_s(gateways)
    for index in range(gateways):
        chance = random.Random(index)
        client = module.Discovery((LOCAL, 1), 41, lambda *_: None, chance, Budget(256), apart)
        now = client.first_delay_s
        while now < seconds:
            asked[int(now)] += 1
            now += client.schedule.next_delay_s(received=False)
    return asked


def test_a_fleet_that_starts_at_once_spreads_its_asks() -> None:
    """Danger: 40 gateways ask in step, discovery answers none in time, and all keep their old lists."""
    asked = asks_a_second(40, 60)
    assert max(asked) <= 40 / MAX_SPREAD_S * 1.5  # never all of them in one second
    assert min(asked) >= 40 / MAX_SPREAD_S / 2  # nor is any time left unused


@pytest.mark.parametrize("gateways", [3, 40, 2_000])
def test_no_gateway_waits_with_its_next_ask_for_longer_than_the_news_may_take(gateways: int) -> None:
    """A change counts as told 6 s after discovery had it, also after a call that failed or fell silent."""
    for seed in range(20):
        apart = poll_spread_s(gateways)
        client = module.Discovery((LOCAL, 1), 41, lambda *_: None, random.Random(seed), Budget(256), apart)
        waits = [client.first_delay_s, *(client.schedule.next_delay_s(received=False) for _ in range(10))]
        assert module.SILENCE_LIMIT_S + max(waits) + module.HEAD_TIMEOUT_S <= TOLD_S - 0.5
        if not apart:  # where an ask costs nothing, the next call may be silent as well
            assert module.SILENCE_LIMIT_S + 2 * module.HEAD_TIMEOUT_S + max(waits) <= TOLD_S - 0.5


def test_a_small_fleet_asks_at_once() -> None:
    assert asks_a_second(3, 1)[0] >= 3
    chance = random.Random(1)
    client = module.Discovery((LOCAL, 1), 41, lambda *_: None, chance, Budget(256), poll_spread_s(3))
    assert (
        client.first_delay_s == 0
        and max(client.schedule.next_delay_s(received=False) for _ in range(20)) <= 1.5
    )


def test_after_a_move_of_discovery_even_a_large_fleet_asks_soon() -> None:
    chance = random.Random(1)
    client = module.Discovery((LOCAL, 1), 41, lambda *_: None, chance, Budget(256), poll_spread_s(40))
    client.change_address((LOCAL, 2))
    assert (
        client.schedule.next_delay_s(received=True)
        <= 0.2
        < MAX_SPREAD_S / 2
        <= client.schedule.next_delay_s(received=False)
    )


class Agent(Discovery):
    """Answers each call as its script for that call says; the last script stands for all further calls."""

    def __init__(self, *scripts: Script) -> None:
        super().__init__()
        self.scripts = list(scripts)
        self.closed = 0  # calls that the gateway closed

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head.split()[1].decode())
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        self.watches.append(writer)
        await script(writer)
        await reader.read()
        self.closed += 1


Script = Callable[[asyncio.StreamWriter], Awaitable[None]]
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHANGED = {"seq": 42, "whole": True, "hosts": [host("h1", 1)]}


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def silent(writer: asyncio.StreamWriter) -> None:
    pass


async def head_only(writer: asyncio.StreamWriter) -> None:
    writer.write(WATCH_HEAD)


async def half_an_object(writer: asyncio.StreamWriter) -> None:
    writer.write(WATCH_HEAD + chunk(json.dumps(CHANGED).encode()[:30]))


async def ends(writer: asyncio.StreamWriter) -> None:
    writer.write(WATCH_HEAD + b"0\r\n\r\n")


async def is_reset(writer: asyncio.StreamWriter) -> None:
    writer.write(WATCH_HEAD)
    reset(writer.transport)


async def cut_short(writer: asyncio.StreamWriter) -> None:
    """An answer without a length whose connection ends within the list: an end is no proof of the whole."""
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + json.dumps(CHANGED).encode()[:-10])
    writer.close()


async def tells(writer: asyncio.StreamWriter) -> None:
    writer.write(WATCH_HEAD + chunk(json.dumps(CHANGED).encode() + b"\n"))


async def tells_indented_in_pieces(writer: asyncio.StreamWriter) -> None:
    writer.write(WATCH_HEAD)
    for byte in json.dumps(CHANGED, indent=2).encode():
        writer.write(chunk(bytes([byte])))


@pytest.fixture
def hasty(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SILENCE_LIMIT_S", 0.05)
    monkeypatch.setattr(module, "HEAD_TIMEOUT_S", 0.05)


@pytest.mark.usefixtures("hasty")
@pytest.mark.parametrize("first", [silent, head_only, half_an_object, ends, is_reset, cut_short])
def test_a_call_that_breaks_anywhere_is_followed_by_one_that_tells(first: Script) -> None:
    async def scenario() -> None:
        watch = DiscoveryFixture()
        watch.service = Agent(first, tells)
        async with watch:
            await until(lambda: watch.reported)
            assert watch.reported == [(ListScope.FULL, [(host_number("h1"), BackendState.READY)])]

    in_loop(scenario)


@pytest.mark.parametrize("version", [41, None])
def test_a_list_may_come_indented_and_byte_by_byte(version: int | None) -> None:
    async def scenario() -> None:
        watch = DiscoveryFixture(version)
        watch.service = Agent(tells_indented_in_pieces)
        async with watch:
            await until(lambda: watch.reported)
            assert watch.reported == [(ListScope.FULL, [(host_number("h1"), BackendState.READY)])]

    in_loop(scenario)


@pytest.mark.usefixtures("hasty")
@pytest.mark.parametrize("first", [silent, head_only])
def test_discovery_that_comes_back_is_heard_on_the_call_that_waits(first: Script) -> None:
    """While it is down it says nothing; what it tells at its return counts at once."""

    async def scenario() -> None:
        back = asyncio.Event()

        async def down(writer: asyncio.StreamWriter) -> None:
            await first(writer)
            await back.wait()
            if first is silent:
                writer.write(WATCH_HEAD)
            writer.write(chunk(json.dumps(CHANGED).encode() + b"\n"))

        watch = DiscoveryFixture()
        agent = watch.service = Agent(down)
        async with watch:
            await watch.wait_for_watches(4)
            assert len(watch.client.calls) == module.MAX_CONCURRENT_CALLS
            open_before = len(agent.requests)
            back.set()
            await until(lambda: watch.reported)
            assert len(agent.requests) <= open_before + 1  # it was asked already
            await until(lambda: len(watch.client.calls) == 1)

    in_loop(scenario)


def test_of_two_calls_the_first_to_tell_something_is_followed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "HEAD_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        watch = DiscoveryFixture()
        agent = watch.service = Agent(silent)
        async with watch:
            await watch.wait_for_watches(1)
            (older,) = watch.client.calls
            await watch.wait_for_watches(2)
            agent.watches[0].write(WATCH_HEAD + chunk(b"\n"))
            await until(lambda: agent.closed)
            await until(lambda: watch.client.calls == [older] or older not in watch.client.calls)

    in_loop(scenario)


def test_a_change_of_an_older_list_brings_the_whole_one() -> None:
    """Discovery has begun to count anew, or tells what is long over."""

    async def scenario() -> None:
        async with DiscoveryFixture() as watch:
            await watch.wait_for_watches(1)
            watch.service.full_list = {"seq": 3, "whole": True, "hosts": [host("h1", 1)]}
            watch.service.change(2, host("h0", 1))
            await watch.wait_for_watches(2)
            assert watch.reported == [(ListScope.FULL, [(host_number("h1"), BackendState.READY)])]
            assert watch.service.requests[-1] == "/catalog/members?stream=1&index=3"

    in_loop(scenario)


@pytest.mark.parametrize("first", [silent, head_only, half_an_object, ends])
def test_a_move_is_followed_at_once_whatever_the_call_is_at(
    first: Script, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poll_schedule, "FIRST_BACKOFF_S", 60.0)  # nor is the wait for another call sat out
    monkeypatch.setattr(poll_schedule, "MAX_BACKOFF_S", 60.0)

    async def scenario() -> None:
        watch, new = DiscoveryFixture(), Agent(tells)
        watch.service = Agent(first)
        await new.start()
        async with watch:
            await watch.wait_for_watches(1)
            if first is ends:
                await until(lambda: not watch.client.calls)
            watch.client.change_address((LOCAL, new.port))
            await until(lambda: watch.reported)
        await new.stop()

    in_loop(scenario)
