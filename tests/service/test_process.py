"""The program as a process: start, SIGTERM, exit code."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from gateway_process import ROOT, connect_client, start_gateway

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
from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Reply, encode, until
from testbed.stand_ins.agents import host
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request, running


@dataclass
class Program:
    """The program as a process, with the surroundings that its configuration names."""

    port: int
    config: Path
    given: dict[str, Any]
    process: asyncio.subprocess.Process


@asynccontextmanager
async def program(folder: Path, *worlds: World) -> AsyncIterator[Program]:
    """Start the program in the first of some worlds; whatever is left of it at the end is killed."""
    servers = [server for w in worlds for server in (*w.backends, w.counter, w.discovery)]
    for server in servers:
        await server.start()
    port, config = claimed_port(), folder / "config.json"
    given = {**worlds[0].config(), "listen": f"{LOCAL}:{port}"}
    config.write_text(json.dumps(given))
    process = await start_gateway(config)
    try:
        yield Program(port, config, given, process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for server in servers:
            await server.stop()


def test_sigterm_finishes_what_is_in_and_ends_with_0(tmp_path: Path) -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(script)
        async with program(tmp_path, World(backend)) as made:
            port, process = made.port, made.process
            peer, idle = await connect_client(port), await connect_client(port)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            # Sent once: a safe request's attempt is called off after 0.6 s, and the drain takes 0.45.
            peer.send(*request(name=b"wipe", wait=60_000, body=b"x"))
            await until(lambda: backend.got)
            process.send_signal(signal.SIGTERM)
            late = await connect_client(port)  # the front has not noticed yet
            answer = b"PONG"
            while answer == b"PONG":  # until the signal is taken
                late.send(b"PING")
                answer = await late.receive()
            assert str(answer) == "ERR draining"
            assert await idle.receive() is None  # closed between requests
            assert process.returncode is None
            go_on.set()
            assert await peer.receive() == b"value"
            assert await peer.receive() is None
            assert await process.wait() == 0

    in_loop(scenario)


def test_what_is_open_at_the_end_is_failed_rather_than_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGKILL would leave its client without an answer; whether it ran is not known, so it is no refusal."""
    monkeypatch.setattr("switchline.service.drain.FinalDrain.max_drain_s", lambda _: 0.05)

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        backend = Backend(silent)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: backend.got)
            world.stop.set()
            assert str(await peer.receive()) == "ERR failed"
            assert await peer.receive() is None

    in_loop(scenario)


@pytest.mark.parametrize(("deadline_ms", "killed_s"), [(900.0, 1.6), (2_000.0, 2.7), (8_000.0, 3.7)])
def test_the_last_answers_are_given_before_sigkill_may_come(deadline_ms: float, killed_s: float) -> None:
    async def scenario() -> None:
        config = World().config()
        classes = [{**kind, "deadline": deadline_ms} for kind in config["settings"]["classes"]]
        settings = {**config["settings"], "classes": classes}
        given = {**config, "settings": settings, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}
        service = Service(parse_config(given), asyncio.Event())
        assert killed_s - 0.35 <= service.drain.max_drain_s() + LAST_ANSWERS_TIMEOUT_S < killed_s - 0.1

    in_loop(scenario)


def test_at_the_end_what_never_left_is_refused_and_so_is_what_still_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("switchline.service.drain.FinalDrain.max_drain_s", lambda _: 0.05)
    monkeypatch.setattr("switchline.service.drain.LAST_ANSWERS_TIMEOUT_S", 60.0)

    class Deaf(World):
        """Its backend's handshakes never come up: nobody accepts, and the backlog is full."""

        def hosts(self) -> list[dict[str, Any]]:
            return [host("h0", deaf.getsockname()[1])]

    async def scenario() -> None:
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(deaf.getsockname())
        async with running(Deaf(connect_ms=60_000.0)) as world:
            waits, last = await world.client(), await world.client()
            waits.send(*request(b"waits", name=b"wipe", wait=60_000, body=b"x"))
            whole = encode(*request(b"last", name=b"wipe", wait=60_000, body=b"x"))
            last.writer.write(whole[:-10])
            for peer in (waits, last):
                await peer.writer.drain()
            world.stop.set()
            assert str(await waits.receive()) == "BUSY"
            last.writer.write(whole[-10:])
            assert str(await last.receive()).startswith("BUSY")
            assert await last.receive() is None
        for filler in fillers:
            filler.close()

    with socket.create_server((LOCAL, 0), backlog=0) as deaf:
        in_loop(scenario)


def test_signals_again_and_again_change_nothing_of_a_drain(tmp_path: Path) -> None:
    """A second SIGTERM, and SIGHUP in the drain, with a request half read and one pipelined behind it."""

    async def scenario() -> None:
        async with program(tmp_path, World(Backend())) as made:
            port, process = made.port, made.process
            peer, asker = await connect_client(port), await connect_client(port)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            whole = encode(*request(b"one")) + encode(*request(b"two"))
            peer.writer.write(whole[:50])
            for sent in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                process.send_signal(sent)
            answer: object = b"PONG"
            while answer == b"PONG":
                asker.send(b"PING")
                answer = await asker.receive()
            peer.writer.write(whole[50:])
            assert [await peer.receive() for _ in range(3)] == [b"value", b"value", None]
            assert await process.wait() == 0

    in_loop(scenario)


def test_sigterm_during_the_start_ends_it_with_0(tmp_path: Path) -> None:
    """It has read its configuration and asked discovery, and does not yet take clients."""

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


def test_a_configuration_that_is_half_written_at_sighup_is_taken_once_it_is_whole(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, new = World(Backend()), World(Backend())
        async with program(tmp_path, old, new) as made:
            port, process, config, given = made.port, made.process, made.config, made.given
            peer = await connect_client(port)
            await until(lambda: old.discovery.watches)
            moved = json.dumps({**given, "discovery": f"{LOCAL}:{new.discovery.port}"})
            config.write_text(moved[: len(moved) // 2])
            process.send_signal(signal.SIGHUP)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"  # the signal has been taken before
            config.write_text(moved)
            await until(lambda: new.discovery.watches)
            peer.close()
            process.terminate()
            assert await process.wait() == 0

    in_loop(scenario)


def test_a_connection_that_waits_to_be_accepted_is_served_at_the_end() -> None:
    """Closing the listening socket resets what waits in its backlog, with the requests on it."""

    async def scenario() -> None:
        made = listen((LOCAL, 0), 16)
        opened: list[str] = []

        class Opened(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                opened.append("opened")
                transport.close()

        acceptor = Acceptor(made, Opened, Budget(256))
        waiting = [socket.create_connection((LOCAL, acceptor.port)) for _ in range(12)]  # in this very turn
        acceptor.accept_backlog()
        acceptor.close()
        assert len(acceptor.opening) == 12
        await asyncio.wait(list(acceptor.opening))
        assert len(opened) == 12
        for sock in waiting:
            sock.close()

    in_loop(scenario)


def test_the_end_waits_for_a_connection_that_is_being_opened() -> None:
    async def scenario() -> None:
        handler: Any = None
        server = ClientServer(handler, Budget(256), BufferBudget(2**26), Metrics([]))
        port = server.listen(listen((LOCAL, 0), 16))
        sock = socket.create_connection((LOCAL, port))
        server.stop_accepting()
        assert server.empty.is_set() and server.holds_clients
        ended = asyncio.create_task(server.wait_until_empty())
        await until(lambda: server.connections)
        assert not ended.done()
        sock.close()
        await ended
        server.close()

    in_loop(scenario)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"listen": "here", "discovery": "there", "settings": {}}'])
def test_a_bad_configuration_is_named_in_one_line(tmp_path: Path, text: str) -> None:
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


def test_the_settings_are_those_of_the_simulator_s_wire() -> None:
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


def test_timers_never_come_early_and_keep_their_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """The module ignores a timer that comes early, and the request it was for would never be ended."""

    async def scenario() -> None:
        timers = clock.Timers(asyncio.get_running_loop())
        start = clock.now_ms()
        early: list[float] = []
        fired: list[int] = []

        def fire(place: int, due: float) -> None:
            fired.append(place)
            early.append(due - clock.now_ms())

        waits = [3.4, 0.6, 2.5, 0.0, 7.7, 1.49]
        for wait in waits:
            place, due = waits.index(wait), start + wait
            timers.at(due, lambda place=place, due=due: fire(place, due))  # type: ignore[misc]
        await until(lambda: len(fired) == len(waits))
        assert fired == [3, 1, 5, 2, 0, 4] and max(early) <= 0

    in_loop(scenario)


def test_a_cancelled_timer_is_silent_and_wakes_nobody() -> None:
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
    """The platform may move both; the old addresses close what is open soon after."""

    async def scenario() -> None:
        old, new = World(Backend()), World(Backend())
        async with program(tmp_path, old, new) as made:
            port, process, config, begin = made.port, made.process, made.config, made.given
            peer = await connect_client(port)
            assert await old.ask(peer, plan=b"basic") == b"value"
            await until(lambda: old.discovery.watches and old.counter.got)
            config.write_text("{")
            process.send_signal(signal.SIGHUP)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            moved = {name: new.config()[name] for name in ("discovery", "counter")}
            config.write_text(json.dumps({**begin, **moved}))
            process.send_signal(signal.SIGHUP)
            await until(lambda: new.discovery.watches)
            assert new.discovery.requests == ["/catalog/members?stream=1&index=41"]
            new.discovery.change(42, {**new.hosts()[0], "host": "h9"}, whole=True)
            number = 0
            while not new.backends[0].got:  # until the change is taken
                number += 1
                assert await old.ask(peer, id=b"%d" % number) == b"value"
            asked = len(old.counter.got)
            await until(lambda: not old.discovery.open)
            while not new.counter.got:  # a refresh may be some requests away
                number += 1
                await old.ask(peer, id=b"%d" % number, plan=b"basic")
            assert len(old.counter.got) == asked and process.returncode is None

    in_loop(scenario)
