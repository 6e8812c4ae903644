"""Gateway processes start, serve and end although system calls fail."""

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
LONG_TIMEOUT_MS = 60_000.0
DOWN, UP = "/ops/backends/down", "/ops/backends/up"
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


async def answer_with_value(command: list[bytes]) -> Reply:
    return VALUE


class FaultyGateway:
    """A gateway process whose system calls fail as a test says, with its backend, counter and discovery.

    Attributes:
        failed_calls_file: Gets a line for each call that was made to fail.
        faults_file: Has the faults in force.
        state: The folder of the state on disk.
    """

    def __init__(self, folder: Path, world: World, config: dict[str, Any]) -> None:
        self.folder, self.world, self.backend = folder, world, world.backends[0]
        self.port = int(config["listen"].rpartition(":")[2])
        self.failed_calls_file, self.faults_file, self.state = (
            folder / "seen",
            folder / "faults",
            folder / "state",
        )
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(config))
        self.process: asyncio.subprocess.Process | None = None

    def set_faults(self, *calls: FailingCall, short_chance: float = 0.0) -> None:
        """Make these system calls fail from now on, and no others."""
        faults = MachineFaults(1, calls, self.state, short_chance=short_chance, seen=self.failed_calls_file)
        faults.write(self.faults_file)

    async def start(self) -> None:
        gateway_environment = {
            **environment(self.faults_file),
            "LB_CONFIG": str(self.config),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "switchline",
                cwd=ROOT,
                env={**os.environ, **gateway_environment},
                stderr=log,
            )

    async def connect_client(self) -> Peer:
        """Connect a client once the gateway listens.

        Raises:
            AssertionError: The process has ended.
        """
        assert self.process is not None
        while self.process.returncode is None:
            try:
                return Peer(*await asyncio.open_connection(LOCAL, self.port))
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        raise AssertionError(
            f"the gateway ended with exit code {self.process.returncode}: {self.log()[-600:]}"
        )

    async def wait_for_exit(self, number: signal.Signals | None = None) -> int:
        """Send the process a signal, if one is given, and return its exit code."""
        assert self.process is not None
        if number is not None and self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def failure_count(self, call: str) -> int:
        """Return how often a system call was made to fail."""
        lines = self.failed_calls_file.read_text().splitlines() if self.failed_calls_file.exists() else []
        return sum(line.split()[1] == call for line in lines)


@asynccontextmanager
async def faulty_gateway(
    folder: Path, *calls: FailingCall, short_chance: float = 0.0, port: int = 0, state: bool = False
) -> AsyncIterator[FaultyGateway]:
    """Run a gateway whose system calls fail as given; `short_chance` is that of a one-byte read or write."""
    backend = Backend(answer_with_value)
    world = World(backend)
    servers = (backend, world.counter, world.discovery)
    for server in servers:
        await server.start()
    world.operator = claimed_port()
    config = {**world.config(), "listen": f"{LOCAL}:{port or claimed_port()}"}
    # A stall of a second must not look like an overload, in which requests are rejected.
    classes = [
        {**kind, "aim": LONG_TIMEOUT_MS, "deadline": LONG_TIMEOUT_MS}
        for kind in config["settings"]["classes"]
    ]
    config["settings"] = {**config["settings"], "classes": classes}
    gateway = FaultyGateway(folder, world, config | ({"state": str(folder / "state")} if state else {}))
    gateway.set_faults(*calls, short_chance=short_chance)
    await gateway.start()
    try:
        yield gateway
    finally:
        await gateway.wait_for_exit(signal.SIGKILL)
        for server in servers:
            await server.stop()


@pytest.mark.parametrize(
    ("call", "error", "times"),
    [
        ("socket", "ENFILE", 12),  # so many that the first listening socket is among them
        ("socket", "ENOBUFS", 12),
        ("bind", "EADDRINUSE", 3),
        ("bind", "EADDRNOTAVAIL", 3),
        ("listen", "EADDRINUSE", 3),
        ("eventfd", "EMFILE", 3),
        ("epoll_ctl", "ENOMEM", 3),
        ("socketpair", "ENFILE", 3),
    ],
)
def test_a_start_retries_a_system_call_that_fails_at_first(
    tmp_path: Path, call: str, error: str, times: int
) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, FailingCall(call, 1.0, (error,), most=times)) as gateway:
            peer = await gateway.connect_client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert gateway.failure_count(call) == times
            assert await gateway.wait_for_exit(signal.SIGTERM) == 0

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
def test_requests_are_answered_while_a_system_call_keeps_failing(
    tmp_path: Path, call: str, error: str
) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, FailingCall(call, 0.5, (error,))) as gateway:
            for number in range(20):
                peer = await gateway.connect_client()
                # Not idempotent: else its attempt would be cancelled after a stall of five usual latencies.
                peer.send(*request(id=b"r%d" % number, name=b"wipe"))
                assert await peer.receive() == b"value", gateway.log()
                peer.close()
            assert gateway.failure_count(call)
            assert "could not be handled" not in gateway.log()
            assert await gateway.wait_for_exit(signal.SIGTERM) == 0

    in_loop(scenario)


@pytest.mark.parametrize("error", ["EINTR", "EIO"])
def test_an_error_from_close_does_not_interrupt_a_drain(tmp_path: Path, error: str) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, FailingCall("close", 1.0, (error,))) as gateway:
            peer = await gateway.connect_client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert await gateway.wait_for_exit(signal.SIGTERM) == 0
            assert gateway.failure_count("close")

    in_loop(scenario)


def test_requests_arrive_unchanged_over_short_reads_and_writes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, short_chance=0.7) as gateway:
            for number in range(20):
                peer, sent = await gateway.connect_client(), request(id=b"r%d" % number, body=b"x" * 50)
                peer.send(*sent)
                assert await peer.receive() == b"value"
                (*head, listed, body) = gateway.backend.got[-1]
                assert (*head, body) == (*sent[:3], sent[4])
                # The deadline that is passed on is shorter by the time spent.
                assert re.sub(rb",d=[0-9]+", b",d=3000", listed) == sent[3]
                peer.close()
            assert await gateway.wait_for_exit(signal.SIGTERM) == 0

    in_loop(scenario)


def disk_faults() -> list[FailingCall]:
    return failing(DISK_ERRORS, 1.0, on_disk=True)


async def write_until_store_is_off(world: World) -> None:
    """Change overrides until a write to disk has failed."""
    while (await stats(world))["state.on"]:
        for path in ("/ops/zones/down", "/ops/zones/up"):
            assert (await call(world, "POST", path, b'{"id": "a"}'))[0] in (200, 503)


async def lose_power(gateway: FaultyGateway) -> None:
    """Kill the gateway, remove its files in $TMPDIR, start it without faults, and wait until it serves."""
    await gateway.wait_for_exit(signal.SIGKILL)
    for path in gateway.folder.glob("roadpulley-*"):
        path.unlink()
    gateway.set_faults()
    await gateway.start()
    (await gateway.connect_client()).close()


def test_a_confirmed_override_survives_a_failing_disk_sigkill_and_a_lost_tmpdir(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, state=True) as gateway:
            (await gateway.connect_client()).close()
            assert (await call(gateway.world, "POST", DOWN, b'{"id": "h0"}'))[0] == 200
            gateway.set_faults(*disk_faults())
            await write_until_store_is_off(gateway.world)
            assert (await call(gateway.world, "POST", UP, b'{"id": "h0"}'))[0] == 503
            assert (await stats(gateway.world))["ejected"] == 1
            await lose_power(gateway)
            assert (await stats(gateway.world))["ejected"] == 1

    in_loop(scenario)


def test_state_is_stored_again_once_the_disk_works(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, state=True) as gateway:
            (await gateway.connect_client()).close()
            assert (await stats(gateway.world))["state.on"] == 1
            gateway.set_faults(*disk_faults())
            await write_until_store_is_off(gateway.world)
            gateway.set_faults()
            while not (await stats(gateway.world))["state.on"]:
                await asyncio.sleep(0.01)
            assert (await call(gateway.world, "POST", DOWN, b'{"id": "h0"}'))[0] == 200
            assert (await stats(gateway.world))["state.off_ms"] > 0
            await lose_power(gateway)
            assert (await stats(gateway.world))["ejected"] == 1

    in_loop(scenario)


def test_a_gateway_that_starts_on_a_failing_disk_serves(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, *disk_faults(), state=True) as gateway:
            peer = await gateway.connect_client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert (await call(gateway.world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            assert await gateway.wait_for_exit(signal.SIGTERM) == 0

    in_loop(scenario)


def test_a_start_succeeds_if_a_thread_can_t_be_created_at_first(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_gateway(
            tmp_path, FailingCall("thread", 1.0, ("EAGAIN",), most=1), state=True
        ) as gateway:
            peer = await gateway.connect_client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            while not (await stats(gateway.world))["state.on"]:
                await asyncio.sleep(0.01)
            assert gateway.failure_count("thread") == 1
            assert await gateway.wait_for_exit(signal.SIGTERM) == 0

    in_loop(scenario)


def test_a_start_succeeds_if_getsockname_fails(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, FailingCall("getsockname", 1.0, ("ENOBUFS",))) as gateway:
            peer = await gateway.connect_client()
            peer.send(*request())
            assert await peer.receive() == b"value"
            assert (await stats(gateway.world))["outstanding"] == 0
            assert gateway.failure_count("getsockname")
            assert await gateway.wait_for_exit(signal.SIGTERM) == 0

    in_loop(scenario)


def test_a_signal_whose_wake_up_is_lost_is_still_handled() -> None:
    class LoopWithoutWakeUp:
        """An event loop that can't be woken up."""

        def call_soon_threadsafe(self, _: object) -> None:
            raise OSError("no wake-up")

    async def scenario() -> None:
        handled = asyncio.Event()
        previous_handler = signal.getsignal(signal.SIGUSR1)
        try:
            signals = Signals(LoopWithoutWakeUp(), {signal.SIGUSR1: handled.set})  # type: ignore[arg-type]
            Timers(asyncio.get_running_loop()).every(1.0, "signals", signals.run_pending)
            os.kill(os.getpid(), signal.SIGUSR1)
            await handled.wait()
        finally:
            signal.signal(signal.SIGUSR1, previous_handler)

    in_loop(scenario)


def test_a_start_waits_until_another_process_frees_its_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        with socket.create_server((LOCAL, 0)) as occupied:
            port = occupied.getsockname()[1]
            async with faulty_gateway(tmp_path, port=port) as gateway:
                while f"not listening at {LOCAL}:{port} yet" not in gateway.log():
                    await asyncio.sleep(0.01)
                occupied.close()
                peer = await gateway.connect_client()
                peer.send(*request())
                assert await peer.receive() == b"value"

    in_loop(scenario)


def test_a_start_that_can_t_listen_ends_with_an_error_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with faulty_gateway(tmp_path, FailingCall("bind", 1.0, ("EACCES",))) as gateway:
            assert await gateway.wait_for_exit() == 1
            assert "can't listen at" in gateway.log()
            assert "Traceback" not in gateway.log()

    in_loop(scenario)


def test_a_half_written_configuration_at_the_start_is_read_again_until_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    complete_text = json.dumps({**World().config(), "listen": f"{LOCAL}:1", "discovery": f"{LOCAL}:1"})
    path.write_text(complete_text[:100])
    monkeypatch.setattr("switchline.service.program.time.sleep", lambda _: path.write_text(complete_text))
    assert read_config(str(path)).name == "n0"
    path.write_text(complete_text[:100])
    monkeypatch.setattr("switchline.service.program.time.sleep", lambda _: None)
    with pytest.raises(ConfigError):
        read_config(str(path))
