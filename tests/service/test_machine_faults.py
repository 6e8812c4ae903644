"""Real processes under failing system calls: they start, serve and end all the same."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from operator_calls import call, stats

from switchline.clock import Timers
from switchline.config import ConfigError
from switchline.service.program import Signals, read_config
from testbed.machine import DISK_ERRORS, FailingCall, MachineFaults, environment, failing
from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Peer, Reply
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request

ROOT = Path(__file__).parents[2]
PATIENT_MS = 60_000.0
DOWN, UP = "/ops/backends/down", "/ops/backends/up"
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


async def answers(command: list[bytes]) -> Reply:
    return VALUE


class FaultyGateway:
    """A gateway process whose machine has faults, with its surroundings."""

    def __init__(self, folder: Path, world: World, config: dict[str, Any]) -> None:
        self.folder, self.world, self.backend = folder, world, world.backends[0]
        self.port = int(config["listen"].rpartition(":")[2])
        self.seen, self.control, self.state = folder / "seen", folder / "faults", folder / "state"
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(config))
        self.process: asyncio.subprocess.Process | None = None

    def suffers(self, *calls: FailingCall, short_chance: float = 0.0) -> None:
        """From now on these calls fail, and no others."""
        faults = MachineFaults(1, calls, self.state, short_chance=short_chance, seen=self.seen)
        faults.write(self.control)

    async def start(self) -> None:
        given = {**environment(self.control), "LB_CONFIG": str(self.config), "TMPDIR": str(self.folder)}
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "switchline", cwd=ROOT, env={**os.environ, **given}, stderr=log
            )

    async def client(self) -> Peer:
        """A connection, once the gateway listens; fails as soon as its process has ended."""
        assert self.process is not None
        while self.process.returncode is None:
            try:
                return Peer(*await asyncio.open_connection(LOCAL, self.port))
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        raise AssertionError(f"it ended with {self.process.returncode}: {self.log()[-600:]}")

    async def ended(self, number: signal.Signals | None = None) -> int:
        """Its exit code, after this signal if there is one."""
        assert self.process is not None
        if number is not None and self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def failed(self, call: str) -> int:
        """How often a call was made to fail."""
        lines = self.seen.read_text().splitlines() if self.seen.exists() else []
        return sum(line.split()[1] == call for line in lines)


@asynccontextmanager
async def faulty(
    folder: Path, *calls: FailingCall, short_chance: float = 0.0, port: int = 0, state: bool = False
) -> AsyncIterator[FaultyGateway]:
    backend = Backend(answers)
    world = World(backend)
    servers = (backend, world.counter, world.discovery)
    for server in servers:
        await server.start()
    world.operator = claimed_port()
    config = {**world.config(), "listen": f"{LOCAL}:{port or claimed_port()}"}
    # A machine that is slow for a second must not look like an overload, in which requests are refused.
    classes = [{**kind, "aim": PATIENT_MS, "deadline": PATIENT_MS} for kind in config["settings"]["classes"]]
    config["settings"] = {**config["settings"], "classes": classes}
    gateway = FaultyGateway(folder, world, config | ({"state": str(folder / "state")} if state else {}))
    gateway.suffers(*calls, short_chance=short_chance)
    await gateway.start()
    try:
        yield gateway
    finally:
        await gateway.ended(signal.SIGKILL)
        for server in servers:
            await server.stop()


@pytest.mark.parametrize(
    ("call", "error", "times"),
    [
        ("socket", "ENFILE", 12),  # enough of them that the first listening socket is among them
        ("socket", "ENOBUFS", 12),
        ("bind", "EADDRINUSE", 3),
        ("bind", "EADDRNOTAVAIL", 3),
        ("listen", "EADDRINUSE", 3),
        ("eventfd", "EMFILE", 3),
        ("epoll_ctl", "ENOMEM", 3),
        ("socketpair", "ENFILE", 3),
    ],
)
def test_a_start_goes_on_after_a_call_that_failed_for_a_moment(
    tmp_path: Path, call: str, error: str, times: int
) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, FailingCall(call, 1.0, (error,), most=times)) as gateway:
            peer = await gateway.client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert gateway.failed(call) == times
            assert await gateway.ended(signal.SIGTERM) == 0

    in_loop(scenario)


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("poll", "ENOMEM"),
        ("getsockname", "ENOBUFS"),
        ("getpeername", "ENOTCONN"),
        ("accept", "EPROTO"),
        ("accept", "ENETDOWN"),
        ("epoll_wait", "EINTR"),
    ],
)
def test_no_request_pays_for_a_call_that_fails_again_and_again(tmp_path: Path, call: str, error: str) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, FailingCall(call, 0.5, (error,))) as gateway:
            for number in range(20):
                peer = await gateway.client()
                # A safe request would be called off where the machine stalls for five usual answers.
                peer.send(*request(id=b"r%d" % number, name=b"wipe"))
                assert await peer.receive() == b"value", gateway.log()
                peer.close()
            assert gateway.failed(call)
            assert "could not be handled" not in gateway.log()
            assert await gateway.ended(signal.SIGTERM) == 0

    in_loop(scenario)


@pytest.mark.parametrize("error", ["EINTR", "EIO"])
def test_a_close_that_tells_of_an_error_does_not_end_a_drain(tmp_path: Path, error: str) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, FailingCall("close", 1.0, (error,))) as gateway:
            peer = await gateway.client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert await gateway.ended(signal.SIGTERM) == 0
            assert gateway.failed("close")

    in_loop(scenario)


def test_what_is_read_and_written_byte_by_byte_arrives_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, short_chance=0.7) as gateway:
            for number in range(20):
                peer, sent = await gateway.client(), request(id=b"r%d" % number, body=b"x" * 50)
                peer.send(*sent)
                assert await peer.receive() == b"value"
                (*head, listed, body) = gateway.backend.got[-1]
                assert (*head, body) == (*sent[:3], sent[4])
                assert re.sub(rb",d=[0-9]+", b",d=3000", listed) == sent[3]  # some of the time has passed
                peer.close()
            assert await gateway.ended(signal.SIGTERM) == 0

    in_loop(scenario)


def disk_fails() -> list[FailingCall]:
    return failing(DISK_ERRORS, 1.0, on_disk=True)


async def write_until_off(world: World) -> None:
    """Have rows written until a write has failed."""
    while (await stats(world))["state.on"]:
        for path in ("/ops/zones/down", "/ops/zones/up"):
            assert (await call(world, "POST", path, b'{"id": "a"}'))[0] in (200, 503)


async def lose_power(gateway: FaultyGateway) -> None:
    """Kill it, take away what no disk keeps, and start it again with nothing wrong; it takes clients then."""
    await gateway.ended(signal.SIGKILL)
    for path in gateway.folder.glob("roadpulley-*"):
        path.unlink()
    gateway.suffers()
    await gateway.start()
    (await gateway.client()).close()


def test_what_operators_were_told_yes_is_owed_through_a_failing_disk_a_kill_and_a_lost_tmp(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, state=True) as gateway:
            (await gateway.client()).close()
            assert (await call(gateway.world, "POST", DOWN, b'{"id": "h0"}'))[0] == 200
            gateway.suffers(*disk_fails())
            await write_until_off(gateway.world)
            assert (await call(gateway.world, "POST", UP, b'{"id": "h0"}'))[0] == 503
            assert (await stats(gateway.world))["ejected"] == 1
            await lose_power(gateway)
            assert (await stats(gateway.world))["ejected"] == 1

    in_loop(scenario)


def test_state_is_kept_again_once_the_disk_works(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, state=True) as gateway:
            (await gateway.client()).close()
            assert (await stats(gateway.world))["state.on"] == 1
            gateway.suffers(*disk_fails())
            await write_until_off(gateway.world)
            gateway.suffers()
            while not (await stats(gateway.world))["state.on"]:
                await asyncio.sleep(0.01)
            assert (await call(gateway.world, "POST", DOWN, b'{"id": "h0"}'))[0] == 200
            assert (await stats(gateway.world))["state.off_ms"] > 0
            await lose_power(gateway)
            assert (await stats(gateway.world))["ejected"] == 1

    in_loop(scenario)


def test_a_start_on_a_failing_disk_serves(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, *disk_fails(), state=True) as gateway:
            peer = await gateway.client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert (await call(gateway.world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            assert await gateway.ended(signal.SIGTERM) == 0

    in_loop(scenario)


def test_a_thread_that_can_t_be_made_refuses_no_start(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, FailingCall("thread", 1.0, ("EAGAIN",), most=1), state=True) as gateway:
            peer = await gateway.client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            while not (await stats(gateway.world))["state.on"]:
                await asyncio.sleep(0.01)
            assert gateway.failed("thread") == 1
            assert await gateway.ended(signal.SIGTERM) == 0

    in_loop(scenario)


def test_a_start_needs_no_name_of_its_sockets(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, FailingCall("getsockname", 1.0, ("ENOBUFS",))) as gateway:
            peer = await gateway.client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert (await stats(gateway.world))["outstanding"] == 0
            assert gateway.failed("getsockname")
            assert await gateway.ended(signal.SIGTERM) == 0

    in_loop(scenario)


def test_a_signal_whose_wake_up_is_lost_is_taken_all_the_same() -> None:
    class Deaf:
        """An event loop that can't be woken up."""

        def call_soon_threadsafe(self, _: object) -> None:
            raise OSError("no wake-up")

    async def scenario() -> None:
        taken = asyncio.Event()
        before = signal.getsignal(signal.SIGUSR1)
        try:
            signals = Signals(Deaf(), {signal.SIGUSR1: taken.set})  # type: ignore[arg-type]
            Timers(asyncio.get_running_loop()).every(1.0, "signals", signals.run_pending)
            os.kill(os.getpid(), signal.SIGUSR1)
            await taken.wait()
        finally:
            signal.signal(signal.SIGUSR1, before)

    in_loop(scenario)


def test_an_address_that_another_process_holds_is_had_once_that_one_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        with socket.create_server((LOCAL, 0)) as held:
            port = held.getsockname()[1]
            async with faulty(tmp_path, port=port) as gateway:
                while f"not listening at {LOCAL}:{port} yet" not in gateway.log():
                    await asyncio.sleep(0.01)
                held.close()
                peer = await gateway.client()
                peer.send(*request())
                assert await peer.receive() == b"value"

    in_loop(scenario)


def test_an_address_that_can_t_be_had_at_all_ends_the_start_with_a_clear_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty(tmp_path, FailingCall("bind", 1.0, ("EACCES",))) as gateway:
            assert await gateway.ended() == 1
            assert "can't listen at" in gateway.log()
            assert "Traceback" not in gateway.log()

    in_loop(scenario)


def test_a_configuration_that_is_half_written_at_a_start_is_taken_once_it_is_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    whole = json.dumps({**World().config(), "listen": f"{LOCAL}:1", "discovery": f"{LOCAL}:1"})
    path.write_text(whole[:100])
    monkeypatch.setattr("switchline.service.program.time.sleep", lambda _: path.write_text(whole))
    assert read_config(str(path)).name == "n0"
    path.write_text(whole[:100])
    monkeypatch.setattr("switchline.service.program.time.sleep", lambda _: None)
    with pytest.raises(ConfigError):
        read_config(str(path))
