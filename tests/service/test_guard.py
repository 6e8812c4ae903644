"""Faults are contained where they arise, and violations of invariants are counted and prevented."""

from __future__ import annotations

import asyncio

import pytest
from driver_scene import DriverScene

from switchline.clients.commands import encode_bulk_string
from switchline.clients.slot import Slot
from switchline.clock import Timers, now_ms
from switchline.guard import Guard, Invariant
from switchline.policy import interface as api
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import Wire, World, in_loop, running


def raise_os_error() -> None:
    raise OSError("what")


def test_periodic_work_goes_on_after_an_error() -> None:
    async def scenario() -> None:
        timers, calls = Timers(asyncio.get_running_loop()), list[int]()
        done = asyncio.Event()

        def work() -> None:
            calls.append(1)
            if len(calls) == 3:
                repeated.cancel()
                done.set()
            raise_os_error()

        repeated = timers.every(1.0, "work", work)
        await done.wait()
        assert timers.guard.contained_faults["work"] == 3

    in_loop(scenario)


def test_an_error_in_a_timer_does_not_stop_other_timers() -> None:
    async def scenario() -> None:
        timers, called = Timers(asyncio.get_running_loop()), asyncio.Event()
        due = now_ms() + 1.0
        timers.at(due, raise_os_error)
        timers.at(due, called.set)
        await called.wait()
        assert timers.guard.contained_faults["timer"] == 1

    in_loop(scenario)


def test_a_background_task_is_restarted_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("switchline.guard.RESTART_DELAY_S", 0.0)

    async def scenario() -> None:
        guard, runs = Guard(), list[int]()

        async def work() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise_os_error()

        await guard.supervise("work", work)
        assert len(runs) == 3 and guard.contained_faults["work"] == 2

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


def test_a_connection_with_a_request_in_flight_is_not_closed() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        connection, wire = scene.connection, Wire()
        connection.connection_made(wire)
        slot = scene.send_request()
        connection.end.close()
        assert not wire.ended
        assert connection.server.guard.violations[Invariant.NO_UNANSWERED_CLOSE] == 1
        slot.answer(encode_bulk_string(b"value"))
        connection.end.close()
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


def reason_not_to_send(scene: DriverScene, request: str) -> api.Outcome | None:
    """Return the outcome of an attempt that may not be sent now for a request; None if it may."""
    return scene.driver.attempts.reason_not_to_send(scene.driver.requests.in_flight[request], now_ms())


def test_no_attempt_begins_for_a_request_that_is_answered_or_whose_connection_is_lost() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.connection.connection_made(Wire())
        scene.send_request()
        open_request = scene.driver.requests.in_flight["r1"]
        assert scene.driver.attempts.reason_not_to_send(open_request, now_ms()) is None
        scene.driver.execute(api.Fail("r1"))
        assert scene.driver.attempts.reason_not_to_send(open_request, now_ms()) is api.Outcome.IGNORED
        scene.send_request(b"r2")
        open_request = scene.driver.requests.in_flight["r2"]
        scene.connection.connection_lost(None)
        assert scene.driver.attempts.reason_not_to_send(open_request, now_ms()) is not None

    in_loop(scenario)


def test_a_request_that_is_not_idempotent_is_not_retried_once_it_was_sent() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.connection.connection_made(Wire())
        scene.send_request()
        open_request = scene.driver.requests.in_flight["r1"]
        open_request.request_class = next(
            kind for kind in scene.driver.settings.classes if kind.effect is api.Effect.NOT_IDEMPOTENT
        )
        assert reason_not_to_send(scene, "r1") is None
        open_request.sent_at_ms[0] = now_ms()
        assert reason_not_to_send(scene, "r1") is api.Outcome.IGNORED
        assert scene.driver.guard.violations[Invariant.NO_UNSAFE_REPEAT] == 1

    in_loop(scenario)


def test_an_error_in_closing_one_part_does_not_keep_another_open(monkeypatch: pytest.MonkeyPatch) -> None:
    closed: list[str] = []
    monkeypatch.setattr("switchline.operators.server.OperatorServer.close", lambda _: raise_os_error())
    monkeypatch.setattr("switchline.net.descriptors.Budget.close", lambda _: closed.append("budget"))

    async def scenario() -> None:
        async with running(World(Backend())):
            pass
        assert closed == ["budget"]

    in_loop(scenario)
