"""The program's start, signals, drain and exit code, its timers and its settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from gateway_process import ROOT, connect_client, program, start_gateway

from switchline import clock
from switchline.clients.server import ClientServer
from switchline.config import ConfigError, parse_config
from switchline.net.accept import Acceptor
from switchline.net.descriptors import Budget
from switchline.net.listen import listen
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics
from switchline.service.drain import LAST_ANSWERS_TIMEOUT_S
from switchline.service.service import Service
from testbed.network.sockets import LOCAL, Reply, encode, until
from testbed.stand_ins.agents import host
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request, running


def test_sigterm_answers_requests_in_flight_and_exits_with_0(tmp_path: Path) -> None:
    async def scenario() -> None:
        may_answer = asyncio.Event()

        async def answer_when_allowed(command: list[bytes]) -> Reply:
            await may_answer.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(answer_when_allowed)
        async with program(tmp_path, World(backend)) as running_program:
            port, process = running_program.port, running_program.process
            peer, idle = await connect_client(port), await connect_client(port)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            # Not idempotent, so it is sent once: else its attempt would be cancelled after 0.6 s, and the
            # drain takes 0.45 s.
            peer.send(*request(name=b"wipe", wait=60_000, body=b"x"))
            await until(lambda: backend.got)
            process.send_signal(signal.SIGTERM)
            late = await connect_client(port)  # accepted: the front may not have noticed the drain yet
            answer = b"PONG"
            while answer == b"PONG":  # until the signal is handled
                late.send(b"PING")
                answer = await late.receive()
            assert str(answer) == "ERR draining"
            assert await idle.receive() is None  # closed, as it has no request in flight
            assert process.returncode is None
            may_answer.set()
            assert await peer.receive() == b"value"
            assert await peer.receive() is None
            assert await process.wait() == 0

    in_loop(scenario)


def test_requests_in_flight_at_the_drain_deadline_are_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGKILL would leave the client without an answer. The request may have run, so it isn't rejected."""
    monkeypatch.setattr("switchline.service.drain.FinalDrain.max_drain_s", lambda _: 0.05)

    async def never_answer(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        backend = Backend(never_answer)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: backend.got)
            world.stop.set()
            assert str(await peer.receive()) == "ERR failed"
            assert await peer.receive() is None

    in_loop(scenario)


@pytest.mark.parametrize(("deadline_ms", "killed_s"), [(900.0, 1.6), (2_000.0, 2.7), (8_000.0, 3.7)])
def test_the_last_answers_are_sent_before_sigkill_may_come(deadline_ms: float, killed_s: float) -> None:
    async def scenario() -> None:
        config = World().config()
        classes = [{**kind, "deadline": deadline_ms} for kind in config["settings"]["classes"]]
        settings = {**config["settings"], "classes": classes}
        service_config = {**config, "settings": settings, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}
        service = Service(parse_config(service_config), asyncio.Event())
        assert killed_s - 0.35 <= service.drain.max_drain_s() + LAST_ANSWERS_TIMEOUT_S < killed_s - 0.1

    in_loop(scenario)


def test_at_the_drain_deadline_unsent_and_later_requests_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("switchline.service.drain.FinalDrain.max_drain_s", lambda _: 0.05)
    monkeypatch.setattr("switchline.service.drain.LAST_ANSWERS_TIMEOUT_S", 60.0)

    class UnreachableBackendWorld(World):
        """Handshakes with its backend never complete: nothing accepts there, and the backlog is full."""

        def hosts(self) -> list[dict[str, Any]]:
            return [host("h0", full_listener.getsockname()[1])]

    async def scenario() -> None:
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full_listener.getsockname())
        async with running(UnreachableBackendWorld(connect_ms=60_000.0)) as world:
            waiting, unfinished = await world.client(), await world.client()
            waiting.send(*request(b"waits", name=b"wipe", wait=60_000, body=b"x"))
            whole = encode(*request(b"last", name=b"wipe", wait=60_000, body=b"x"))
            unfinished.writer.write(whole[:-10])
            for peer in (waiting, unfinished):
                await peer.writer.drain()
            world.stop.set()
            assert str(await waiting.receive()) == "BUSY"
            unfinished.writer.write(whole[-10:])
            assert str(await unfinished.receive()).startswith("BUSY")
            assert await unfinished.receive() is None
        for filler in fillers:
            filler.close()

    with socket.create_server((LOCAL, 0), backlog=0) as full_listener:
        in_loop(scenario)


def test_repeated_signals_do_not_change_a_drain(tmp_path: Path) -> None:
    """SIGHUP and a second SIGTERM come in a drain, with a request half read and one pipelined after it."""

    async def scenario() -> None:
        async with program(tmp_path, World(Backend())) as running_program:
            port, process = running_program.port, running_program.process
            peer, pinging = await connect_client(port), await connect_client(port)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            whole = encode(*request(b"one")) + encode(*request(b"two"))
            peer.writer.write(whole[:50])
            for sent in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                process.send_signal(sent)
            answer: object = b"PONG"
            while answer == b"PONG":
                pinging.send(b"PING")
                answer = await pinging.receive()
            peer.writer.write(whole[50:])
            assert [await peer.receive() for _ in range(3)] == [b"value", b"value", None]
            assert await process.wait() == 0

    in_loop(scenario)


def test_sigterm_during_the_start_exits_with_0(tmp_path: Path) -> None:
    """The signal comes once the configuration is read and discovery is asked, before clients are accepted."""

    async def scenario() -> None:
        world = World(Backend())
        servers = (*world.backends, world.counter, world.discovery)
        for server in servers:
            await server.start()
        config = tmp_path / "config.json"
        config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:0"}))
        process = await start_gateway(config)
        await until(lambda: world.discovery.requests)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        for server in servers:
            await server.stop()

    in_loop(scenario)


def test_a_half_written_configuration_at_sighup_is_read_again_until_complete(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, new = World(Backend()), World(Backend())
        async with program(tmp_path, old, new) as running_program:
            port, process, config, original = (
                running_program.port,
                running_program.process,
                running_program.config,
                running_program.config_values,
            )
            peer = await connect_client(port)
            await until(lambda: old.discovery.watches)
            moved = json.dumps({**original, "discovery": f"{LOCAL}:{new.discovery.port}"})
            config.write_text(moved[: len(moved) // 2])
            process.send_signal(signal.SIGHUP)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"  # by now the signal has been handled
            config.write_text(moved)
            await until(lambda: new.discovery.watches)
            peer.close()
            process.terminate()
            assert await process.wait() == 0

    in_loop(scenario)


def test_connections_in_the_backlog_are_accepted_before_the_listener_closes() -> None:
    """Closing a listening socket resets the connections in its backlog, and their requests would be lost."""

    async def scenario() -> None:
        listener = listen((LOCAL, 0), 16)
        opened: list[str] = []

        class Opened(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                opened.append("opened")
                transport.close()

        acceptor = Acceptor(listener, Opened, Budget(256))
        # All connect in one turn of the event loop, so it accepts none of them before the test does.
        waiting = [socket.create_connection((LOCAL, acceptor.port)) for _ in range(12)]
        acceptor.accept_backlog()
        acceptor.close()
        assert len(acceptor.opening) == 12
        await asyncio.wait(list(acceptor.opening))
        assert len(opened) == 12
        for sock in waiting:
            sock.close()

    in_loop(scenario)


def test_the_final_drain_waits_for_a_connection_that_is_being_opened() -> None:
    async def scenario() -> None:
        handler: Any = None
        server = ClientServer(handler, Budget(256), BufferBudget(2**26), Metrics([]))
        port = server.listen(listen((LOCAL, 0), 16))
        sock = socket.create_connection((LOCAL, port))
        server.stop_accepting()
        assert server.empty.is_set() and server.has_connections
        ended = asyncio.create_task(server.wait_until_empty())
        await until(lambda: server.connections)
        assert not ended.done()
        sock.close()
        await ended
        server.close()

    in_loop(scenario)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"listen": "here", "discovery": "there", "settings": {}}'])
def test_a_bad_configuration_is_reported_in_one_line(tmp_path: Path, text: str) -> None:
    config = tmp_path / "config.json"
    config.write_text(text)
    run = subprocess.run(
        [sys.executable, "-m", "switchline"],
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert run.returncode == 2 and run.stderr.count("\n") == 1
    assert run.stderr.startswith("switchline: bad configuration: ")


def test_the_configuration_has_the_settings_of_the_simulator_s_wire() -> None:
    config = parse_config(
        {
            "listen": "10.0.0.4:6379",
            "discovery": "10.2.0.1:8500",
            "seed": "ff",
            "settings": {"selfIndex": 2, "caps": {"maxAttempts": 4, "keepalive": 9000.0}},
        }
    )
    assert config.settings.index == 2 and config.settings.max_attempts == 4
    assert (config.keepalive_ms, config.seed, config.counter) == (9000.0, 255, None)
    with pytest.raises(ConfigError):
        parse_config({"listen": "10.0.0.4:6379", "discovery": "x", "settings": {}})


def test_timers_never_fire_early_and_fire_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """The policy ignores a timer that fires early: the request that it was set for would never end."""

    async def scenario() -> None:
        timers = clock.Timers(asyncio.get_running_loop())
        start = clock.now_ms()
        early_ms: list[float] = []
        fired: list[int] = []

        def fire(index: int, due: float) -> None:
            fired.append(index)
            early_ms.append(due - clock.now_ms())

        delays_ms = [3.4, 0.6, 2.5, 0.0, 7.7, 1.49]
        for delay_ms in delays_ms:
            index, due = delays_ms.index(delay_ms), start + delay_ms
            timers.at(due, lambda index=index, due=due: fire(index, due))  # type: ignore[misc]
        await until(lambda: len(fired) == len(delays_ms))
        assert fired == [3, 1, 5, 2, 0, 4] and max(early_ms) <= 0

    in_loop(scenario)


def test_a_cancelled_timer_does_not_fire_and_leaves_the_queue() -> None:
    async def scenario() -> None:
        timers = clock.Timers(asyncio.get_running_loop())
        fired: list[str] = []
        start = clock.now_ms()
        timers.at(start + 5, lambda: fired.append("cancelled")).cancel()
        timers.at(start + 10, lambda: fired.append("kept"))
        await until(lambda: fired)
        assert fired == ["kept"] and not timers._heap

    in_loop(scenario)


def test_sighup_moves_discovery_and_the_counter_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    """The platform may move both; soon after that, the old addresses close the connections to them."""

    async def scenario() -> None:
        old, new = World(Backend()), World(Backend())
        async with program(tmp_path, old, new) as running_program:
            port, process, config, original = (
                running_program.port,
                running_program.process,
                running_program.config,
                running_program.config_values,
            )
            peer = await connect_client(port)
            assert await old.ask(peer, plan=b"basic") == b"value"
            await until(lambda: old.discovery.watches and old.counter.got)
            config.write_text("{")
            process.send_signal(signal.SIGHUP)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            moved = {name: new.config()[name] for name in ("discovery", "counter")}
            config.write_text(json.dumps({**original, **moved}))
            process.send_signal(signal.SIGHUP)
            await until(lambda: new.discovery.watches)
            assert new.discovery.requests == ["/catalog/members?stream=1&index=41"]
            new.discovery.change(42, {**new.hosts()[0], "host": "h9"}, whole=True)
            number = 0
            while not new.backends[0].got:  # until the change of the list is applied
                number += 1
                assert await old.ask(peer, id=b"%d" % number) == b"value"
            old_calls = len(old.counter.got)
            await until(lambda: not old.discovery.open)
            while not new.counter.got:  # the next call to the counter may be some requests away
                number += 1
                await old.ask(peer, id=b"%d" % number, plan=b"basic")
            assert len(old.counter.got) == old_calls and process.returncode is None

    in_loop(scenario)
