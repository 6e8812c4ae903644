"""The operators' address: its limits on calls, the metrics, and draining."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from operator_calls import call, send_raw, stats

from switchline.config import load_config
from switchline.operators import server as operator_server
from testbed.network.sockets import LOCAL, Peer, Reply, encode, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request, running


def test_metrics_count_the_outcomes_of_requests_and_attempts() -> None:
    async def scenario() -> None:
        may_reply = asyncio.Event()
        replies: list[Reply] = [b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n", b"-ERR failed\r\n", b""]

        async def script(command: list[bytes]) -> Reply:
            if replies:
                return replies.pop(0)
            await may_reply.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(script)
        async with running(World(backend)) as world:
            initial = await stats(world)
            assert initial.pop("discovered") == 1 and initial.pop("descriptors.limit") == 1024
            assert initial.pop("memory.limit") == (192 - 16) * 1024 * 1024 * 3 // 8
            assert initial.pop("memory.process_limit") == 192 * 1024 * 1024
            assert 0 < initial.pop("descriptors.held") < 30 and not any(initial.values())
            assert {"succeeded.view", "declined.wipe", "aborted.wipe", "forwards", "ejected"} < set(initial)
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            assert "ERR" in str(await world.ask(peer, id=b"w1", name=b"wipe"))
            peer.send(*request(id=b"w2"))
            await until(lambda: len(backend.got) >= 3)
            await until(lambda: not replies)
            peer.send(*request(id=b"w3", name=b"wipe"))
            await until(lambda: len(backend.got) >= 4)
            current = await stats(world)
            assert current["succeeded.view"] == 1 and current["aborted.wipe"] == 1
            assert current["forwards"] == len(backend.got) and current["outstanding"] >= 1
            may_reply.set()

    in_loop(scenario)


def test_a_wrong_call_is_rejected() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            assert (await call(world, "GET", "/ops/nothing"))[0] == 404
            assert (await call(world, "POST", "/ops/stats"))[0] == 405
            assert (await call(world, "GET", "/ops/drain/start"))[0] == 405
            assert (await send_raw(world, b"\x00\x01garbage\r\n\r\n"))[0] == 400
            assert (await send_raw(world, b"GET /" + b"x" * 10_000))[0] >= 400
            assert (await call(world, "POST", "/ops/drain/stop", b"y" * 5_000))[0] == 413
            assert (await call(world, "GET", "/ops/readiness"))[0] == 200

    in_loop(scenario)


def test_stalled_callers_do_not_block_other_callers() -> None:
    """Callers that send nothing or half a call must not use up the connections, however many they are."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            stalled = [await asyncio.open_connection(LOCAL, world.operator) for _ in range(60)]
            for _, writer in stalled[::2]:
                writer.write(b"GET /ops/st")
            assert (await call(world, "GET", "/ops/readiness"))[0] == 200
            for _, writer in stalled:
                writer.close()

    in_loop(scenario)


def test_a_stalled_call_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_server, "CALL_TIMEOUT_S", 0.02)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            assert (await send_raw(world, b"GET /ops/st"))[0] == 408

    in_loop(scenario)


def test_operators_can_call_while_clients_use_up_the_descriptors() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=40)) as world:
            peers = [await world.client() for _ in range(60)]
            assert (await call(world, "GET", "/ops/readiness"))[0] == 200
            assert len([peer for peer in peers if not peer.reader.at_eof()]) > 0

    in_loop(scenario)


def test_the_environment_takes_precedence_over_the_configuration_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    config = {"listen": "10.0.0.4:1", "discovery": "10.0.0.5:1", "settings": {}}
    path.write_text(json.dumps(config))
    assert load_config(str(path)).operator is None
    path.write_text(json.dumps({**config, "operator": "10.0.0.6:1"}))
    assert load_config(str(path)).operator == ("10.0.0.6", 1)
    monkeypatch.setenv("LB_OPERATOR", "10.0.0.6:2")
    assert load_config(str(path)).operator == ("10.0.0.6", 2)


def test_a_drain_rejects_pings_answers_requests_and_closes_connections() -> None:
    async def scenario() -> None:
        may_reply = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await may_reply.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(script)
        async with running(World(backend)) as world:
            busy, idle = await world.client(), await world.client()
            busy.send(*request(name=b"wipe"))
            await until(lambda: backend.got)
            assert (await call(world, "POST", "/ops/drain/start"))[0] == 200
            assert (await call(world, "POST", "/ops/drain/start"))[0] == 200
            for ping in ((b"PING",), (b"PING", b"hello")):
                late = await world.client()  # the load balancer's health checks continue
                late.send(*ping)
                assert str(await late.receive()) == "ERR draining"
            assert (await call(world, "GET", "/ops/readiness"))[0] == 503
            assert await idle.receive() is None
            late = await world.client()
            late.send(*request(id=b"r2", name=b"wipe"))
            await until(lambda: len(backend.got) == 2)
            may_reply.set()
            assert [await busy.receive(), await busy.receive()] == [b"value", None]
            assert [await late.receive(), await late.receive()] == [b"value", None]

    in_loop(scenario)


def test_stopping_a_drain_restores_normal_service() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            for _ in range(2):
                peer = await world.client()
                await call(world, "POST", "/ops/drain/start")
                assert (await call(world, "POST", "/ops/drain/stop"))[0] == 200
                peer.send(b"PING")
                assert await peer.receive() == b"PONG"
                assert (await call(world, "GET", "/ops/readiness"))[0] == 200
                await asyncio.sleep(0.6)  # longer than a drain leaves an idle connection open
                assert await world.ask(peer) == b"value"

    in_loop(scenario)


def test_a_drain_keeps_a_connection_with_an_incomplete_request() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer: Peer = await world.client()
            command = encode(*request(name=b"wipe"))
            peer.writer.write(command[:70])
            await call(world, "POST", "/ops/drain/start")
            await asyncio.sleep(0.6)
            peer.writer.write(command[70:])
            assert [await peer.receive(), await peer.receive()] == [b"value", None]

    in_loop(scenario)
