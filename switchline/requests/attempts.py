"""The attempts of requests: sent to a backend, guarded before each first and last byte, and ended."""

from __future__ import annotations

import logging
from functools import partial

from switchline import log_events
from switchline.backends.attempt import Attempt
from switchline.clients.commands import bulk
from switchline.clock import now_ms
from switchline.guard import Invariant
from switchline.net.streams import StreamedResponse
from switchline.operators.metrics import OutcomeKind
from switchline.policy import interface as api
from switchline.policy.requests.request import NEVER_RAN
from switchline.requests.context import RequestContext
from switchline.requests.lifecycle import RequestLifecycle
from switchline.requests.request import Request

log = logging.getLogger(__name__)

# Outcomes that the log has a line for each, within its bound on lines of a kind.
LOGGED_OUTCOMES = {api.Outcome.RESET, api.Outcome.CONNECT_FAILED, api.Outcome.TIMED_OUT, api.Outcome.IGNORED}


class AttemptSender:
    """Owns the attempts in flight, also those of requests that have ended."""

    def __init__(self, context: RequestContext, requests: RequestLifecycle) -> None:
        self.requests = requests
        self.max_attempts = context.settings.max_attempts  # of one request
        self.timers = context.timers
        self.guard = context.timers.guard
        self.backends = context.backends
        self.metrics = context.metrics
        self.buffer_budget = context.buffer_budget
        self.report = context.report
        self.send_event = context.send_event
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request and number

    def send(self, request_id: str, backend: int, timeout_ms: float) -> None:
        """Begin an attempt; one that may not begin ends at once, as ignored."""
        now = now_ms()
        request = self.requests.in_flight.get(request_id)
        if request is None or request.body_discarded or request.attempts_made >= self.max_attempts:
            self._ignore(request_id, backend, request)
            return
        number = request.attempts_made
        request.attempts_made += 1
        attempt = Attempt(
            backend,
            request.command.encode,
            request.expires_at_ms,
            partial(self.on_ended, request, number, now),
            partial(self.on_written, request, number),
            partial(self.on_streamed_answer, request, number),
            partial(self.reason_not_to_send, request),
            request.command.stream,
        )
        self.in_flight[request_id, number] = request.in_flight[number] = attempt
        if 0 < timeout_ms < request.expires_at_ms - now:
            give_up = partial(self.backends.give_up, attempt, api.Outcome.TIMED_OUT)
            attempt.timeout_timer = self.timers.at(now + timeout_ms, give_up)
        self.backends.send(attempt)

    def _ignore(self, request_id: str, backend: int, request: Request | None) -> None:
        number = request.attempts_made if request is not None else 0
        spent = request is not None and request.body_discarded
        finished = request is None
        self.send_event(
            api.AttemptEnded(
                request_id, number, backend, api.Outcome.IGNORED, 0.0, finished, body_discarded=spent
            )
        )

    def cancel(self, request_id: str, number: int) -> None:
        """End an attempt that the policy needs no more."""
        attempt = self.in_flight.get((request_id, number))
        if attempt is not None:
            self.backends.give_up(attempt, api.Outcome.CANCELLED)

    def reason_not_to_send(self, request: Request, now: float) -> api.Outcome | None:
        """Why no byte of an attempt may leave now: the one guard of sending and of retrying.

        It is asked at the first byte and, where not all leaves at once, before the last: what was decided on
        may have been overtaken in its wait for a connection.
        """
        if self.requests.in_flight.get(request.id) is not request or request.streaming_attempt is not None:
            return api.Outcome.IGNORED  # it has its final answer
        if request.kind.effect is api.Effect.NOT_IDEMPOTENT and request.sent_at_ms:
            self.guard.violated(Invariant.NO_UNSAFE_REPEAT, f"request {request.id}")
            return api.Outcome.IGNORED
        if now >= request.retry_deadline_ms:  # what has run may by then run again
            return api.Outcome.IGNORED
        if request.slot.connection.notice_departure():
            return api.Outcome.CANCELLED
        return None

    def on_written(self, request: Request, number: int, attempt: Attempt) -> None:
        """An attempt's last byte has left."""
        request.sent_at_ms[number] = now_ms()
        if request.command.stream is not None:
            self.send_event(api.RequestBodySent(request.id, number))

    def on_streamed_answer(
        self, request: Request, number: int, attempt: Attempt, length: int
    ) -> StreamedResponse | None:
        """A long answer has begun: it is the final one, and is passed on as it comes.

        None where the request has its final answer already.
        """
        if self.requests.in_flight.get(request.id) is not request or request.streaming_attempt is not None:
            return None
        request.streaming_attempt = number
        if request.expiry_timer is not None:
            request.expiry_timer.cancel()
        response = request.response = StreamedResponse(
            self.buffer_budget, length, request.slot.connection.pump
        )
        request.slot.stream(response, partial(self._on_answer_passed, request))
        self.send_event(api.StreamedAnswerStarted(request.id, number))
        return response

    def _on_answer_passed(self, request: Request) -> None:
        """The client has been given the last byte of a long answer."""
        if self.requests.release(request.id) is not None:
            self.metrics.count_outcome(request.kind.name, OutcomeKind.SUCCEEDED)
        if request.response is not None:
            request.response.drop()
        self.requests.drop_body(request)

    def on_ended(
        self,
        request: Request,
        number: int,
        started_at: float,
        attempt: Attempt,
        outcome: api.Outcome,
        value: bytes,
    ) -> None:
        """An attempt is over; `value` is its answer, where it is a short one."""
        self.report.counts["attempts " + outcome.value] += 1
        if outcome in LOGGED_OUTCOMES:
            self._log_ended(request, number, attempt, outcome, now_ms() - started_at)
        del self.in_flight[request.id, number], request.in_flight[number]
        if outcome in NEVER_RAN:
            request.sent_at_ms.pop(number, None)
        self._answer(request, number, outcome, value)
        finished = (
            request.streaming_attempt is not None or self.requests.in_flight.get(request.id) is not request
        )
        if finished:
            self.requests.cancel_timer_if_finished(request)
        spent = request.body_discarded
        lag = now_ms() - started_at
        cost = attempt.true_units if outcome is api.Outcome.OK else 0.0
        self.send_event(
            api.AttemptEnded(request.id, number, attempt.backend, outcome, lag, finished, cost, spent)
        )

    def _answer(self, request: Request, number: int, outcome: api.Outcome, value: bytes) -> None:
        """Give the final answer, if the end of an attempt is one."""
        is_ok = outcome is api.Outcome.OK
        if request.streaming_attempt == number and request.response is not None and is_ok:
            request.response.end()  # the request ends once its client has been given the last byte
        elif is_ok and request.streaming_attempt is None:
            self.requests.finish(request.id, bulk(value), OutcomeKind.SUCCEEDED)
        elif request.streaming_attempt == number:
            self.requests.fail(request.id)

    def _log_ended(
        self, request: Request, number: int, attempt: Attempt, outcome: api.Outcome, lag_ms: float
    ) -> None:
        """Log an attempt that ended by a fault: whose it was, where, and how."""
        log.info(
            log_events.ATTEMPT_FAILED,
            request.id,
            number,
            attempt.backend,
            outcome.value,
            lag_ms,
        )
