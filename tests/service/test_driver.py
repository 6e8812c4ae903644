"""The driver with a scripted policy; only the test of an attempt's timeout opens a socket."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from driver_scene import DriverScene

from switchline.clients.commands import parse_command
from switchline.clients.slot import Slot
from switchline.clock import now_ms
from switchline.discovery.endpoint_list import ListedBackend, host_number
from switchline.policy import interface as api
from switchline.requests.lifecycle import FAILED_REPLY
from switchline.requests.request import RETRY_MARGIN_MS, Request
from switchline.service.driver import MAX_FORMER_NAMES
from testbed.network.sockets import LOCAL, until
from testbed.stand_ins.single_gateway import in_loop, request


def test_an_error_in_the_policy_fails_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.policy.actions_by_event[api.RequestArrived] = ValueError("what")
        assert scene.send_request().reply == FAILED_REPLY
        scene.policy.actions_by_event[api.RequestArrived] = [api.Reject("r2", 30.5)]
        assert scene.send_request(b"r2").reply == b"-BUSY 31\r\n"

    in_loop(scenario)
    assert "RequestArrived could not be handled" in caplog.text


def test_a_request_that_the_policy_never_answers_fails_at_its_deadline() -> None:
    """If the policy fails at a timer or a counter's reply, it may never answer the request."""

    async def scenario() -> None:
        scene = DriverScene()
        slot = scene.send_request(wait=20)
        assert slot.reply is None
        await until(lambda: slot.answered)
        assert slot.reply == FAILED_REPLY and not scene.driver.requests.in_flight
        assert scene.policy.events_of(api.RequestAbandoned) == [api.RequestAbandoned("r1")]

    in_loop(scenario)


def test_attempts_beyond_the_limit_or_after_the_answer_are_ignored() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        send = api.Send("r1", 7)
        scene.policy.actions_by_event[api.RequestArrived] = [send, send, send, api.Reject("r1"), send]
        scene.send_request()
        ended = scene.policy.events_of(api.AttemptEnded)
        outcomes = [
            (e.attempt, e.outcome, e.request_finished) for e in ended if isinstance(e, api.AttemptEnded)
        ]
        assert outcomes == [
            (0, api.Outcome.CONNECT_FAILED, False),  # backend 7 is on no list
            (1, api.Outcome.CONNECT_FAILED, False),
            (2, api.Outcome.IGNORED, False),
            (0, api.Outcome.IGNORED, True),
        ]

    in_loop(scenario)


def test_an_attempt_timeout_leaves_its_request_in_flight() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        server = await asyncio.start_server(lambda *_: None, LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        scene.backends.update(7, (LOCAL, port), api.BackendState.READY)
        scene.policy.actions_by_event[api.RequestArrived] = [api.Send("r1", 7, timeout_ms=20.0)]
        scene.policy.actions_by_event[api.AttemptEnded] = [api.Reject("r1")]
        slot = scene.send_request()
        await until(lambda: slot.answered)
        (ended,) = scene.policy.events_of(api.AttemptEnded)
        assert isinstance(ended, api.AttemptEnded)
        assert (ended.outcome, ended.request_finished) == (
            api.Outcome.TIMED_OUT,
            False,
        ) and ended.latency_ms >= 20
        assert slot.reply == b"-BUSY\r\n"
        server.close()

    in_loop(scenario)


def test_requests_beyond_the_limit_in_flight_are_rejected() -> None:
    async def scenario() -> None:
        scene = DriverScene(max_open=1)
        assert scene.send_request().reply is None
        assert scene.send_request(b"r2").reply == b"-BUSY 200\r\n"
        assert len(scene.policy.events) == 1

    in_loop(scenario)


def test_without_a_counter_calls_to_it_fail_to_connect() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.policy.actions_by_event[api.RequestArrived] = [api.AddToCounter("n", 1.0, 100.0)]
        scene.send_request()
        assert scene.policy.events_of(api.CounterReplied) == [
            api.CounterReplied("n", api.Outcome.CONNECT_FAILED, 0.0)
        ]

    in_loop(scenario)


def test_the_periodic_report_counts_requests_by_outcome(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.policy.actions_by_event[api.RequestArrived] = [api.Reject("r1", 30.0, api.RejectionCause.QUOTA)]
        scene.driver.report.connection_counts = lambda: {"clients.idle": 2, "clients.young": 0}
        scene.send_request()
        with caplog.at_level("INFO"):
            scene.driver.report.log_counts()
            scene.driver.report.log_counts()  # logs nothing: there is nothing new
        (line,) = caplog.records
        assert line.getMessage() == "last 10 s: refused for quota 1, requests taken 1; now: clients.idle 2"

    in_loop(scenario)


KEYED_WINDOW_MS = 2_000.0  # as the class `order` in helpers.py has it


def open_keyed_request(scene: DriverScene, monkeypatch: pytest.MonkeyPatch) -> tuple[Request, list[float]]:
    """Return a request in flight with an idempotency key, and the clock that the attempts read."""
    now = [10_000.0]
    monkeypatch.setattr("switchline.requests.attempts.now_ms", lambda: now[0])
    parts = list(request(b"r1", name=b"order"))
    parts[3] += b",k=5c0f6e1a2b3d4c59"
    slot = Slot(scene.connection)
    scene.driver.requests.on_command(parse_command(parts), slot)
    return scene.driver.requests.in_flight["r1"], now


def test_a_retry_with_an_idempotency_key_is_not_sent_after_its_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The policy checks the window when it decides on a retry; the wait for a connection comes after that."""

    async def scenario() -> None:
        scene = DriverScene()
        open_request, now = open_keyed_request(scene, monkeypatch)
        attempt: Any = None
        assert (
            scene.driver.attempts.reason_not_to_send(open_request, now[0] + 10 * KEYED_WINDOW_MS) is None
        )  # the first attempt
        scene.driver.attempts.on_written(open_request, 0, attempt)
        assert (
            scene.driver.attempts.reason_not_to_send(
                open_request, now[0] + KEYED_WINDOW_MS - RETRY_MARGIN_MS - 1
            )
            is None
        )
        late = now[0] + KEYED_WINDOW_MS - RETRY_MARGIN_MS
        assert scene.driver.attempts.reason_not_to_send(open_request, late) is api.Outcome.IGNORED
        scene.driver.requests.end_all()

    in_loop(scenario)


def test_an_attempt_that_a_backend_rejects_starts_no_idempotency_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        scene = DriverScene()
        open_request, now = open_keyed_request(scene, monkeypatch)
        scene.driver.attempts.send("r1", 7, 0.0)  # backend 7 is on no list, so the attempt ends at once
        attempt: Any = None
        scene.driver.attempts.on_written(open_request, 1, attempt)
        rejected_attempt: Any = SimpleNamespace(backend=7, true_units=0.0)
        scene.driver.attempts.in_flight["r1", 1] = open_request.in_flight[1] = rejected_attempt
        scene.driver.attempts.on_ended(open_request, 1, now[0], rejected_attempt, api.Outcome.QUEUE_FULL, b"")
        assert scene.driver.attempts.reason_not_to_send(open_request, now[0] + 10 * KEYED_WINDOW_MS) is None
        scene.driver.requests.end_all()

    in_loop(scenario)


# Guards against: a request that was never forwarded is failed, which leaves open whether it ran.
def test_request_that_has_expired_on_its_arrival_is_answered_by_the_policy() -> None:
    async def scenario() -> None:
        scene = DriverScene()
        scene.policy.actions_by_event = {
            api.RequestArrived: [api.SetTimer(0.0, api.Timer(api.TimerPurpose.REQUEST, "r1"))],
            api.TimerFired: [api.Reject("r1", 500.0, api.RejectionCause.OVERLOAD)],
        }
        slot = Slot(scene.connection)
        command = parse_command(list(request(b"r1", wait=100)), None, now_ms() - 200)
        scene.driver.requests.on_command(command, slot)
        await until(lambda: slot.reply is not None)
        assert slot.reply == b"-BUSY 500\r\n"

    in_loop(scenario)


def listed(number: int, state: api.BackendState = api.BackendState.READY) -> ListedBackend:
    entry = api.BackendEntry(host_number(f"h{number}"), f"z{number % 3}", 0, 0.0, state)
    return ListedBackend(entry, (LOCAL, 1))


# Guards against: an operator's call for a listed backend is answered 404, as the list is long.
def test_names_that_are_listed_now_are_known_and_former_ones_up_to_a_bound() -> None:
    async def scenario() -> None:
        driver = DriverScene().driver
        driver.apply_list(api.ListScope.FULL, tuple(listed(number) for number in range(3_200)))
        assert all(driver.knows_backend(f"h{number}") for number in range(3_200))
        driver.apply_list(api.ListScope.CHANGES, (listed(0, api.BackendState.GONE), listed(4_000)))
        assert (
            driver.knows_backend("h0") and driver.knows_backend("h4000") and not driver.knows_backend("h5000")
        )
        driver.apply_list(api.ListScope.FULL, (listed(4_000),))
        known = sum(driver.knows_backend(f"h{number}") for number in range(3_200))
        assert known == MAX_FORMER_NAMES and driver.knows_backend("h4000")
        assert all(driver.knows_zone(f"z{number}") for number in range(3)) and not driver.knows_zone("z9")

    in_loop(scenario)
