"""Backends that operators disable and re-enable."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest
from helpers import GatewayHarness as Decisions
from helpers import backends, entry, sends
from operator_calls import call, stats

from switchline.clock import Timers
from switchline.operators.overrides import OperatorOverrides
from switchline.policy import interface as api
from switchline.private_files import private_file
from testbed.network.sockets import until
from testbed.stand_ins.agents import host
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, running

DOWN = "/ops/backends/down"
UP = "/ops/backends/up"


async def requests_per_backend(world: World, times: int = 12) -> list[int]:
    """Send requests, and return how many of them each backend received."""
    peer = await world.client()
    counts_before = [len(backend.got) for backend in world.backends]
    first = sum(counts_before)
    for number in range(first, first + times):
        assert await world.ask(peer, id=b"a%d" % number, name=b"wipe") == b"value"
    peer.close()
    return [len(backend.got) - before for backend, before in zip(world.backends, counts_before, strict=True)]


def test_a_disabled_backend_gets_no_requests_whatever_the_endpoint_list_says() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), Backend())) as world:
            assert all(await requests_per_backend(world, 40))
            body = json.dumps({"id": "h0"}).encode()
            for _ in range(2):  # a repeated call is accepted
                assert (await call(world, "POST", DOWN, body))[0] == 200
            assert (await requests_per_backend(world))[0] == 0 and (await stats(world))["ejected"] == 1
            listed = world.hosts()
            world.discovery.change(42, {**listed[0], "health": "removed"})
            await until(lambda: True)
            world.discovery.change(43, {**listed[0], "born_ms": 1.0})
            world.discovery.change(44, *listed, {**host("h9", 1), "health": "draining"}, whole=True)
            while (await stats(world))["discovered"] < 3:
                pass
            assert (await requests_per_backend(world))[0] == 0
            assert (await call(world, "POST", UP, body))[0] == 200
            assert (await call(world, "POST", UP, body))[0] == 200
            assert (await stats(world))["ejected"] == 0

    in_loop(scenario)


def test_an_override_holds_for_the_next_process() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), Backend())) as first:
            assert (await call(first, "POST", DOWN, b'{"id": "h1"}'))[0] == 200
            async with running(World(Backend(), Backend())) as second:
                assert (await requests_per_backend(second))[1] == 0
        async with running(World(Backend(), Backend())) as third:
            assert (await requests_per_backend(third))[1] == 0
            assert (await call(third, "POST", UP, b'{"id": "h1"}'))[0] == 200

    in_loop(scenario)


def test_an_override_is_applied_by_the_peer_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        timers = Timers(asyncio.get_running_loop())
        changes: list[tuple[str, bool]] = []
        first, second = (
            OperatorOverrides(
                tmp_path / "bans.json",
                timers,
                lambda host, is_disabled, since_ms: changes.append((host, is_disabled)),
            )
            for _ in range(2)
        )
        first.set("h0", True)
        await until(lambda: len(changes) == 2)
        second.set("h1", True)
        second.set("h0", False)
        await until(lambda: len(changes) == 6)
        assert first.active.keys() == second.active.keys() == {"h1"}
        third = OperatorOverrides(
            tmp_path / "bans.json",
            timers,
            lambda host, is_disabled, since_ms: changes.append((host, is_disabled)),
        )
        assert changes[6:] == [("h1", True), ("h0", False)] and third.active.keys() == {"h1"}

    in_loop(scenario)


def test_calls_that_name_no_known_backend_are_rejected() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            for path in (DOWN, UP):
                assert (await call(world, "POST", path, b'{"id": "h7"}'))[0] == 404
                assert (await call(world, "GET", path))[0] == 405
                for body in (b"", b"{", b"[]", b'{"id": 3}', b'{"id": ""}', b"\xff", b"[" * 3_000):
                    assert (await call(world, "POST", path, body))[0] == 400

    in_loop(scenario)


def test_a_call_for_the_fleet_is_rejected_without_a_fleet_and_changes_nothing() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), Backend())) as world:
            body = json.dumps({"id": "h0", "fleet": True}).encode()
            assert (await call(world, "POST", DOWN, body))[0] == 503
            assert (await call(world, "POST", DOWN, b'{"id":"h0","fleet":"yes"}'))[0] == 400
            assert (await stats(world))["ejected"] == 0
            assert (await call(world, "POST", DOWN, b'{"id":"h0","fleet":false}'))[0] == 200

    in_loop(scenario)


MALFORMED_FILES = ["", "{", "[]", '{"out": {"h0": "x"}, "back": {}}', '{"out": {}}', "[" * 9_999]


@pytest.mark.parametrize("text", MALFORMED_FILES)
def test_a_gateway_starts_with_a_malformed_file_of_overrides(text: str) -> None:
    async def scenario() -> None:
        private_file("n0", "bans.json").write_text(text)
        async with running(World(Backend())) as world:
            assert await requests_per_backend(world, 3) == [3]

    in_loop(scenario)


def test_an_override_that_can_t_be_stored_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setenv("TMPDIR", os.fspath(tmp_path / "missing"))
        async with running(World(Backend())) as world:
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            assert await requests_per_backend(world, 3) == [3]

    in_loop(scenario)


def test_the_policy_sends_nothing_to_a_disabled_backend_and_slow_starts_it_once_enabled() -> None:
    world = Decisions([entry(1), entry(2)], plans=(api.Plan("basic"),))
    world.give(api.BackendOverridden(1, True, world.now_ms))
    world.give(backends(entry(1, api.BackendState.GONE), scope=api.ListScope.CHANGES))
    world.give(backends(entry(1), entry(2)))
    for _ in range(50):
        for send in sends(world.ask()):
            assert send.backend == 2
            world.end_attempt(send)
    world.give(api.BackendOverridden(1, False, world.now_ms))
    sent_after_ms: list[float] = []
    enabled_at_ms = world.now_ms
    for _ in range(100):
        world.pass_time(50)
        for send in sends(world.ask()):
            if send.backend == 1:
                sent_after_ms.append(world.now_ms - enabled_at_ms)
            world.end_attempt(send)
    assert sent_after_ms and len(sent_after_ms) < 40  # used within 5 s, but less than the warm backend


def test_a_re_enabled_backend_is_used_soon_even_at_low_load() -> None:
    for seed in range(20):
        world = Decisions([entry(n) for n in range(10)], seed=seed, plans=(api.Plan("basic"),))
        world.give(api.BackendOverridden(1, True, world.now_ms))
        world.give(api.BackendOverridden(1, False, world.now_ms))
        used = False
        for _ in range(10):
            world.pass_time(300)
            for send in sends(world.ask()):
                used |= send.backend == 1
                world.end_attempt(send)
        assert used
