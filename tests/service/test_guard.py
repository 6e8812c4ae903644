"""Faults are kept where they arise, and invariants are counted where they would be violated."""

from __future__ import annotations

import asyncio

import pytest
from driver_scene import DriverScene

from switchline.clients.commands import bulk
from switchline.clients.slot import Slot
from switchline.clock import Timers, now_ms
from switchline.guard import Guard, Invariant
from switchline.policy import interface as api
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import Wire, World, in_loop, running


def fail() -> None:
    raise OSError("what")


def test_repeated_work_goes_on_after_a_call_that_failed() -> None:
    async def scenario() -> None:
        timers, calls = Timers(asyncio.get_running_loop()), list[int]()
        done = asyncio.Event()

        def work() -> None:
            calls.append(1)
            if len(calls) == 3:
                repeated.cancel()
                done.set()
            fail()

        repeated = timers.every(1.0, "work", work)
        await done.wait()
        assert timers.guard.contained["work"] == 3

    in_loop(scenario)


def test_a_timer_that_fails_costs_no_other_its_time() -> None:
    async def scenario() -> None:
        timers, called = Timers(asyncio.get_running_loop()), asyncio.Event()
        due = now_ms() + 1.0
        timers.at(due, fail)
        timers.at(due, called.set)
        await called.wait()
        assert timers.guard.contained["timer"] == 1

    in_loop(scenario)


def test_a_background_task_that_fails_is_started_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("switchline.guard.RESTART_S", 0.0)

    async def scenario() -> None:
        guard, tries = Guard(), list[int]()

        async def work() -> None:
            tries.append(1)
            if len(tries) < 3:
                fail()

        await guard.supervise("work", work)
        assert len(tries) == 3 and guard.contained["work"] == 2

    in_loop(scenario)


def test_an_error_that_reaches_the_event_loop_is_counted_and_the_loop_goes_on() -> None:
    async def scenario() -> None:
        loop, guard = asyncio.get_running_loop(), Guard()
        loop.set_exception_handler(guard.on_loop_error)
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert guard.violations[Invariant.NO_ESCAPED_ERROR] == 1

    in_loop(scenario)


def test_a_connection_with_an_open_request_is_not_closed_here() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        connection, wire = scene.connection, Wire()
        connection.connection_made(wire)
        slot = scene.send_request()
        connection.close()
        assert not wire.ended
        assert connection.server.guard.violations[Invariant.NO_UNANSWERED_CLOSE] == 1
        slot.answer(bulk(b"value"))
        connection.close()
        assert wire.ended == "close"

    in_loop(scenario)


def test_a_second_answer_is_counted_and_not_sent() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        wire = Wire()
        scene.connection.connection_made(wire)
        slot = Slot(scene.connection)
        scene.connection.slots.append(slot)
        slot.answer(b"+one\r\n")
        slot.answer(b"+two\r\n")
        assert wire.wrote == [b"+one\r\n"]
        assert scene.connection.server.guard.violations[Invariant.ONE_ANSWER] == 1

    in_loop(scenario)


def hindered(scene: DriverScene, request: str) -> api.Outcome | None:
    return scene.driver.attempts.reason_not_to_send(scene.driver.requests.open[request], now_ms())


def test_no_attempt_begins_for_a_request_that_is_answered_or_whose_connection_is_lost() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.connection.connection_made(Wire())
        scene.send_request()
        owner = scene.driver.requests.open["r1"]
        assert scene.driver.attempts.reason_not_to_send(owner, now_ms()) is None
        scene.driver.execute(api.Fail("r1"))
        assert scene.driver.attempts.reason_not_to_send(owner, now_ms()) is api.Outcome.IGNORED
        scene.send_request(b"r2")
        owner = scene.driver.requests.open["r2"]
        scene.connection.connection_lost(None)
        assert scene.driver.attempts.reason_not_to_send(owner, now_ms()) is not None

    in_loop(scenario)


def test_what_may_not_run_twice_is_not_sent_again_once_it_may_have_run() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.connection.connection_made(Wire())
        scene.send_request()
        owner = scene.driver.requests.open["r1"]
        owner.kind = next(
            kind for kind in scene.driver.settings.classes if kind.effect is api.Effect.NOT_IDEMPOTENT
        )
        assert hindered(scene, "r1") is None
        owner.sent_at[0] = now_ms()
        assert hindered(scene, "r1") is api.Outcome.IGNORED
        assert scene.driver.guard.violations[Invariant.NO_UNSAFE_REPEAT] == 1

    in_loop(scenario)


def test_a_part_that_fails_to_close_keeps_no_other_from_it(monkeypatch: pytest.MonkeyPatch) -> None:
    closed: list[str] = []
    monkeypatch.setattr("switchline.operators.server.OperatorServer.close", lambda _: fail())
    monkeypatch.setattr("switchline.net.descriptors.Budget.close", lambda _: closed.append("budget"))

    async def scenario() -> None:
        async with running(World(Backend())):
            pass
        assert closed == ["budget"]

    in_loop(scenario)
