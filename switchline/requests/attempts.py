"""The attempts of requests: sent to backends, checked before the first and the last byte, and ended."""

from __future__ import annotations

import logging
from functools import partial

from switchline import log_events
from switchline.backends.attempt import Attempt
from switchline.clients.commands import encode_bulk_string
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

# Attempts with these outcomes get a log line each, within the log's limit of lines of one kind.
LOGGED_OUTCOMES = {api.Outcome.RESET, api.Outcome.CONNECT_FAILED, api.Outcome.TIMED_OUT, api.Outcome.IGNORED}


class AttemptSender:
    """Owns the attempts in flight, including those of requests that already have their final answer."""

    def __init__(self, context: RequestContext, requests: RequestLifecycle) -> None:
        self.requests = requests
        self.max_attempts = context.settings.max_attempts  # of each request
        self.timers = context.timers
        self.guard = context.timers.guard
        self.backends = context.backends
        self.metrics = context.metrics
        self.buffer_budget = context.buffer_budget
        self.report = context.report
        self.send_event = context.send_event
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request id and attempt number

    def send(self, request_id: str, backend: int, timeout_ms: float) -> None:
        """Start an attempt of a request; one that must not be started ends at once with IGNORED.

        Args:
            request_id: The request's identifier.
            backend: The number of the backend to send to.
            timeout_ms: The timeout of the attempt; it is not applied if 0 or later than the request's expiry.
        """
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
            request.command.streamed_body,
        )
        self.in_flight[request_id, number] = request.in_flight[number] = attempt
        if 0 < timeout_ms < request.expires_at_ms - now:
            give_up = partial(self.backends.give_up, attempt, api.Outcome.TIMED_OUT)
            attempt.timeout_timer = self.timers.at(now + timeout_ms, give_up)
        self.backends.send(attempt)

    def _ignore(self, request_id: str, backend: int, request: Request | None) -> None:
        """Notify the policy that an attempt was not started, and whether its request has ended."""
        number = request.attempts_made if request is not None else 0
        body_discarded = request is not None and request.body_discarded
        finished = request is None
        self.send_event(
            api.AttemptEnded(
                request_id, number, backend, api.Outcome.IGNORED, 0.0, finished, body_discarded=body_discarded
            )
        )

    def cancel(self, request_id: str, number: int) -> None:
        """End an attempt that the policy does not need any more."""
        attempt = self.in_flight.get((request_id, number))
        if attempt is not None:
            self.backends.give_up(attempt, api.Outcome.CANCELLED)

    def reason_not_to_send(self, request: Request, now: float) -> api.Outcome | None:
        """Return the outcome of an attempt that must not be sent at `now`, or None if it may be sent.

        This is the only check of sends and retries. It runs before the first byte and, if the request is not
        sent at once, again before the last byte, as the request's state may have changed while the attempt
        waited for a connection.
        """
        if self.requests.in_flight.get(request.id) is not request or request.streaming_attempt is not None:
            return api.Outcome.IGNORED  # the request has its final answer
        if request.request_class.effect is api.Effect.NOT_IDEMPOTENT and request.sent_at_ms:
            self.guard.record_violation(Invariant.NO_UNSAFE_REPEAT, f"request {request.id}")
            return api.Outcome.IGNORED
        if now >= request.retry_deadline_ms:  # after the deduplication window, the request could run twice
            return api.Outcome.IGNORED
        if request.slot.connection.detect_client_close():
            return api.Outcome.CANCELLED
        return None

    def on_written(self, request: Request, number: int, attempt: Attempt) -> None:
        """Record when the last byte of an attempt was sent."""
        request.sent_at_ms[number] = now_ms()
        if request.request_class.effect is not api.Effect.IDEMPOTENT:
            self.requests.sent.add(request.id)
        if request.command.streamed_body is not None:
            self.send_event(api.RequestBodySent(request.id, number))

    def on_streamed_answer(
        self, request: Request, number: int, attempt: Attempt, length: int
    ) -> StreamedResponse | None:
        """Start to forward a long answer of `length` bytes as the request's final answer.

        Returns:
            The response to add the bytes to; None if the request already has its final answer.
        """
        if self.requests.in_flight.get(request.id) is not request or request.streaming_attempt is not None:
            return None
        request.streaming_attempt = number
        response = request.response = StreamedResponse(
            self.buffer_budget, length, request.slot.connection.pump
        )
        request.slot.stream_response(response, partial(self._on_response_written, request))
        self.send_event(api.StreamedAnswerStarted(request.id, number))
        return response

    def _on_response_written(self, request: Request) -> None:
        """End a request whose long answer has been passed completely to the client's connection."""
        if self.requests.release(request.id) is not None:
            self.metrics.count_outcome(request.request_class.name, OutcomeKind.SUCCEEDED)
        if request.response is not None:
            request.response.drop()
        self.requests.drop_body(request)

    def on_ended(
        self,
        request: Request,
        number: int,
        started_at_ms: float,
        attempt: Attempt,
        outcome: api.Outcome,
        value: bytes,
    ) -> None:
        """Handle the end of an attempt.

        `value` is its answer; it is empty if the answer was streamed or there is none.
        """
        self.report.counts["attempts " + outcome.value] += 1
        if outcome in LOGGED_OUTCOMES:
            self._log_ended(request, number, attempt, outcome, now_ms() - started_at_ms)
        del self.in_flight[request.id, number], request.in_flight[number]
        if outcome in NEVER_RAN:
            request.sent_at_ms.pop(number, None)
            if not request.sent_at_ms:
                self.requests.sent.discard(request.id)
        self._answer(request, number, outcome, value)
        finished = (
            request.streaming_attempt is not None or self.requests.in_flight.get(request.id) is not request
        )
        if finished:
            self.requests.cancel_timer_if_finished(request)
        body_discarded = request.body_discarded
        latency_ms = now_ms() - started_at_ms
        true_units = attempt.true_units if outcome is api.Outcome.OK else 0.0
        self.send_event(
            api.AttemptEnded(
                request.id, number, attempt.backend, outcome, latency_ms, finished, true_units, body_discarded
            )
        )

    def _answer(self, request: Request, number: int, outcome: api.Outcome, value: bytes) -> None:
        """Give the final answer if the end of the attempt determines it."""
        is_ok = outcome is api.Outcome.OK
        if request.streaming_attempt == number and request.response is not None and is_ok:
            request.response.end()  # the request ends when the last byte is written to the client
        elif is_ok and request.streaming_attempt is None:
            self.requests.finish(request.id, encode_bulk_string(value), OutcomeKind.SUCCEEDED)
        elif request.streaming_attempt == number:
            self.requests.fail(request.id)

    def _log_ended(
        self, request: Request, number: int, attempt: Attempt, outcome: api.Outcome, latency_ms: float
    ) -> None:
        """Log an attempt that failed, with its request, backend, outcome and latency."""
        log.info(
            log_events.ATTEMPT_FAILED,
            request.id,
            number,
            attempt.backend,
            outcome.value,
            latency_ms,
        )
