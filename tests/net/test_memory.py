"""The ledger of memory with a measured process, and requests that wait for memory."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from switchline.clients.commands import Command, parse_command
from switchline.clients.slot import Slot
from switchline.clock import MIN_CANCELLED, Timers, now_ms
from switchline.net.memory import (
    ANSWER_RESERVE_BYTES,
    ASSURED_BYTES,
    MAX_MEASURE_AGE_S,
    MemoryLedger,
    MemoryUse,
)
from switchline.net.process_memory import anonymous_bytes
from switchline.policy import interface as api
from switchline.private_files import private_file
from switchline.requests.memory_wait import MAX_IN_ONE_CHECK, MAX_WAIT_MS, MAX_WAITING_PIPELINED, MemoryWait
from switchline.units import MEBIBYTE
from switchline.upgrade.memory_messages import PENDING_LINE, REQUEST_LINE, SOCKET_FILE, encode_grant
from switchline.upgrade.start_grant import wait_for_grant
from testbed.network.sockets import until
from testbed.stand_ins.single_gateway import in_loop

ROOT = Path(__file__).parents[2]
IDLE_BYTES = 14 * MEBIBYTE
COMMAND = [b"API.READ", b"%016x" % 1, b"r1", b"c=view,t=free,d=60000,units=1,spread=1,first=0"]


class Process:
    """A process whose memory the test sets."""

    def __init__(self) -> None:
        self.bytes = IDLE_BYTES

    def measure(self) -> int:
        return self.bytes


def measured_ledger(process: Process, limit_mb: int = 32) -> MemoryLedger:
    ledger = MemoryLedger(limit_mb * MEBIBYTE)
    ledger.start_measuring(process.measure)
    return ledger


# Guards against: freed memory, copies and connections, which nobody counts, take a process over its limit.
def test_a_request_is_not_admitted_if_the_process_would_go_over_its_limit() -> None:
    process = Process()
    ledger = measured_ledger(process)
    ledger.change(MemoryUse.ANSWERS, ASSURED_BYTES)
    assert ledger.admits_request(ANSWER_RESERVE_BYTES)
    process.bytes = 32 * MEBIBYTE - ANSWER_RESERVE_BYTES + 1
    ledger.measure()
    assert not ledger.admits_request(ANSWER_RESERVE_BYTES)
    assert ledger.is_short


# Guards against: memory that nobody counts grows unseen while counted bytes come and go.
def test_the_process_is_measured_again_although_no_more_bytes_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    process = Process()
    ledger = measured_ledger(process)
    ledger.change(MemoryUse.ANSWERS, ASSURED_BYTES)
    assert ledger.admits_request(ANSWER_RESERVE_BYTES)
    process.bytes = 33 * MEBIBYTE
    later_s = time.monotonic() + MAX_MEASURE_AGE_S + 0.01
    monkeypatch.setattr("switchline.net.memory.time", SimpleNamespace(monotonic=lambda: later_s))
    assert not ledger.admits_request(ANSWER_RESERVE_BYTES)


def test_some_requests_are_admitted_whatever_the_process_takes() -> None:
    process = Process()
    ledger = measured_ledger(process)
    process.bytes = 40 * MEBIBYTE
    ledger.measure()
    assert ledger.admits_request(ANSWER_RESERVE_BYTES)


def test_reserved_and_awaited_answers_count_as_memory_of_the_process_until_they_arrive() -> None:
    ledger = measured_ledger(Process())
    ledger.change(MemoryUse.RESERVED, ANSWER_RESERVE_BYTES)
    ledger.change(MemoryUse.COLLECTED, MEBIBYTE)
    assert ledger.expected_process_bytes == IDLE_BYTES + ANSWER_RESERVE_BYTES + MEBIBYTE
    ledger.count_arrived(MEBIBYTE)
    ledger.measure()
    assert ledger.expected_process_bytes == IDLE_BYTES + ANSWER_RESERVE_BYTES
    ledger.count_arrived(-MEBIBYTE)
    ledger.change(MemoryUse.COLLECTED, -MEBIBYTE)
    ledger.change(MemoryUse.RESERVED, -ANSWER_RESERVE_BYTES)
    assert ledger.expected_process_bytes == IDLE_BYTES and not ledger.used_bytes


class Waiting:
    """A `MemoryWait` without memory, and the requests that it has accepted and rejected."""

    def __init__(self) -> None:
        self.ledger = MemoryLedger(0)
        self.ledger.limit_bytes = 0
        self.accepted: list[str] = []
        self.rejected: list[str] = []
        timers = Timers(asyncio.get_running_loop())
        self.wait = MemoryWait(
            self.ledger,
            timers,
            lambda request: self.accepted.append(request.command.id),
            lambda request: self.rejected.append(request.command.id),
        )

    def command(self, id: bytes, value: bytes | None = None) -> Command:
        arguments = [*COMMAND[:2], id, COMMAND[3], *([] if value is None else [value])]
        return parse_command(arguments, None, now_ms())

    def add(self, id: bytes, value: bytes | None = None, is_pipelined: bool = True) -> bool:
        command = self.command(id, value)
        event = api.RequestArrived(command.id, "view", "free", "1", now_ms() + 60_000, 1, 1, 0)
        return self.wait.add(command, Slot.__new__(Slot), event, is_pipelined)


# Guards against: all commands of a client are rejected at once, although its answers make room in a moment.
def test_requests_that_wait_for_memory_are_accepted_in_their_order_once_there_is_some() -> None:
    async def scenario() -> None:
        waiting = Waiting()
        assert all(waiting.add(id) for id in (b"a", b"b", b"c"))
        waiting.wait.remove("b")  # its client has left
        waiting.ledger.limit_bytes = MEBIBYTE
        await until(lambda: len(waiting.accepted) == 2)
        assert waiting.accepted == ["a", "c"] and not waiting.rejected
        assert not waiting.ledger.used_bytes and not len(waiting.wait)

    in_loop(scenario)


def test_requests_that_wait_for_memory_in_vain_are_rejected_in_time() -> None:
    async def scenario() -> None:
        waiting = Waiting()
        waiting.add(b"a")
        begun_ms = now_ms()
        await until(lambda: waiting.rejected)
        assert MAX_WAIT_MS <= now_ms() - begun_ms < MAX_WAIT_MS + 250
        waiting.add(b"b")
        waiting.wait.reject_all()
        assert waiting.rejected == ["a", "b"] and not waiting.accepted
        assert not waiting.add(b"c", value=b"v" * 10_000)  # it would take memory while it waits

    in_loop(scenario)


# Guards against: requests of clients that send many at once keep others waiting, or take their places.
def test_a_request_that_is_not_pipelined_goes_ahead_of_waiting_ones_that_are() -> None:
    async def scenario() -> None:
        waiting = Waiting()
        for number in range(MAX_WAITING_PIPELINED + 1):
            assert waiting.add(b"p%d" % number) == (number < MAX_WAITING_PIPELINED)
        assert waiting.add(b"single", is_pipelined=False)
        waiting.ledger.limit_bytes = MEBIBYTE
        assert not waiting.wait.may_pass(waiting.command(b"other"), is_pipelined=False)
        await until(lambda: waiting.accepted)
        assert waiting.accepted[0] == "single"
        assert waiting.wait.may_pass(waiting.command(b"other"), is_pipelined=False)
        assert not waiting.wait.may_pass(waiting.command(b"other"), is_pipelined=True)

    in_loop(scenario)


# Guards against: all requests that wait are accepted in one turn of the event loop, which holds up others.
def test_few_waiting_requests_are_accepted_in_one_turn_of_the_event_loop() -> None:
    async def scenario() -> None:
        waiting = Waiting()
        for number in range(MAX_WAITING_PIPELINED):
            waiting.add(b"p%d" % number)
        waiting.ledger.limit_bytes = 64 * MEBIBYTE
        while len(waiting.accepted) < MAX_WAITING_PIPELINED:
            before = len(waiting.accepted)
            await asyncio.sleep(0)
            assert len(waiting.accepted) - before <= MAX_IN_ONE_CHECK

    in_loop(scenario)


# Guards against: a request that can't wait, as it is too long, is rejected although there is memory for it.
def test_a_long_request_passes_those_that_wait_if_there_is_memory() -> None:
    async def scenario() -> None:
        waiting = Waiting()
        waiting.add(b"a")
        long_command = waiting.command(b"b", value=b"v" * 10_000)
        assert not waiting.wait.may_pass(long_command, is_pipelined=True)
        waiting.ledger.limit_bytes = MEBIBYTE
        assert waiting.wait.may_pass(long_command, is_pipelined=True)

    in_loop(scenario)


# Guards against: timers of answered requests stay in memory until they are due, some MB at 1,500 a second.
def test_cancelled_timers_are_removed_before_they_are_due() -> None:
    async def scenario() -> None:
        fired: list[int] = []
        timers = Timers(asyncio.get_running_loop())
        kept = timers.at(now_ms() + 20, lambda: fired.append(1))
        for _ in range(10 * MIN_CANCELLED):
            timers.at(now_ms() + 60_000, lambda: fired.append(2)).cancel()
        assert len(timers._heap) <= 2 * MIN_CANCELLED
        await until(lambda: fired)
        kept.cancel()  # too late, and without effect
        assert fired == [1] and timers._cancelled <= len(timers._heap)

    in_loop(scenario)


def test_the_system_tells_the_anonymous_memory_of_a_process() -> None:
    own_bytes = anonymous_bytes()
    assert own_bytes is not None and own_bytes == pytest.approx(anonymous_bytes(os.getpid()), rel=0.05)
    ended = subprocess.Popen([sys.executable, "-c", ""])
    ended.wait()
    assert anonymous_bytes(ended.pid) is None


@pytest.mark.parametrize("ends_first", [False, True])
def test_a_start_waits_for_its_grant_and_asks_again_if_the_older_process_ends(
    ends_first: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("LB_NAME", "n0")
    replies = [[PENDING_LINE], [PENDING_LINE, encode_grant(7), encode_grant(9)]]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.readline() == REQUEST_LINE
        for line in replies.pop(0 if ends_first else 1):
            writer.write(line)
            await asyncio.sleep(0.02)
        if ends_first and replies:
            writer.close()

    async def scenario() -> None:
        server = await asyncio.start_unix_server(serve, private_file("n0", SOCKET_FILE))
        grant = await asyncio.get_running_loop().run_in_executor(None, wait_for_grant, "no file")
        assert grant.granted_bytes == 7 and isinstance(grant.connection, socket.socket)
        grant.connection.close()
        server.close()

    in_loop(scenario)


def test_a_start_without_an_older_process_does_not_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("LB_NAME", "n0")
    assert wait_for_grant("no file").granted_bytes is None
    private_file("n0", SOCKET_FILE).write_text("not a socket")
    assert wait_for_grant("no file").connection is None


def test_the_program_runs_without_openssl() -> None:
    code = (
        "import sys; from switchline.without_openssl import leave_out_openssl; leave_out_openssl();"
        "import switchline.service.program, hashlib; hashlib.blake2b(b'x'); hashlib.sha256(b'x');"
        "assert '_ssl' not in sys.modules and not sys.modules['_hashlib']"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0
