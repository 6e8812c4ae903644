"""The lifecycle of a request: admitted or rejected, then answered, expired or abandoned by its client."""

from __future__ import annotations

import logging
from functools import partial

from switchline import log_events
from switchline.clients.commands import Command
from switchline.clients.slot import Slot
from switchline.clock import now_ms
from switchline.net.descriptors import DescriptorOwner
from switchline.net.memory import ANSWER_RESERVE_BYTES, MemoryEntry, MemoryUse
from switchline.net.streams import Forwarding, StreamedRequestBody, StreamedResponse
from switchline.operators.metrics import OutcomeKind
from switchline.policy import interface as api
from switchline.policy.quota.fair_shares import PRESSURE_RATIO, FairShares
from switchline.requests.arrivals import MAX_CLIENT_WAIT_MS, CommandReader, MalformedCommandError
from switchline.requests.context import RequestContext
from switchline.requests.memory_wait import MemoryWait, WaitingRequest
from switchline.requests.request import Request
from switchline.requests.sent_requests import SentRequests

log = logging.getLogger(__name__)

FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"
CAPACITY_RETRY_AFTER_MS = 200
# The policy answers a request that has already expired with a timer of 0 ms, before the request is failed.
DECISION_TIME_MS = 1.0
BODY_CHECK_INTERVAL_MS = 50.0
# Limit of requests in flight for each backend connection in the budget; one of the two waits.
REQUESTS_PER_CONNECTION = 2


def max_deadline_ms(settings: api.Settings) -> float:
    """Return the longest deadline of a class, in milliseconds."""
    return max((request_class.deadline_ms for request_class in settings.classes), default=0.0)


class RequestLifecycle:
    """Owns the requests in flight and gives each exactly one final answer."""

    def __init__(self, context: RequestContext) -> None:
        self.reader = CommandReader(context.settings)
        self.shares = FairShares(context.max_in_flight)  # divides the requests in flight among customers
        self.max_in_flight = context.max_in_flight
        self.timers = context.timers
        self.ledger = context.buffer_budget.ledger
        self.memory_wait = MemoryWait(self.ledger, self.timers, self._accept_waiting, self._reject_waiting)
        self.backends = context.backends
        self.metrics = context.metrics
        self.report = context.report
        self.send_event = context.send_event
        self.in_flight: dict[str, Request] = {}
        # Those that must not run twice.
        self.sent = SentRequests(min(MAX_CLIENT_WAIT_MS, max_deadline_ms(context.settings)))
        self.is_shutting_down = False  # whether the process is about to end

    def on_command(self, command: Command, slot: Slot) -> None:
        """Handle a client's command that is complete or whose streamed body has begun.

        Raises:
            MalformedCommandError: If the command is malformed or its id is in use.
        """
        if command.id in self.in_flight or command.id in self.memory_wait:
            raise MalformedCommandError("id in use")
        event = self.reader.read(command)
        if command.id in self.sent:
            self._fail_repeated(event.request_class, slot)
            return
        self.shares.limit = min(
            self.max_in_flight,
            REQUESTS_PER_CONNECTION * self.backends.budget.limit_of(DescriptorOwner.BACKENDS),
        )
        self.shares.pressure_threshold = int(self.shares.limit * PRESSURE_RATIO)
        if self.is_shutting_down or not self.shares.admits(event.customer):
            self._reject_for_capacity(event.request_class, slot)
            return
        is_pipelined = slot.connection.is_charged
        if self.memory_wait.may_pass(command, is_pipelined):
            self._accept(command, slot, event)
        elif not self.memory_wait.add(command, slot, event, is_pipelined):
            self._reject_for_memory(event.request_class, slot)

    def _accept(self, command: Command, slot: Slot, event: api.RequestArrived) -> None:
        """Take a request into service; `event` notifies the policy of it."""
        self.report.counts["requests taken"] += 1
        self.shares.take(event.customer)
        request_class = self.reader.classes[event.request_class]
        request = self.in_flight[command.id] = Request(
            command, slot, request_class, event.expires_ms, MemoryEntry(self.ledger, MemoryUse.REQUESTS)
        )
        request.memory.set(command.held_bytes)
        self.ledger.change(MemoryUse.RESERVED, ANSWER_RESERVE_BYTES)
        if command.streamed_body is None:
            due_ms = max(request.expires_at_ms, now_ms() + DECISION_TIME_MS)
            request.expiry_timer = self.timers.at(due_ms, partial(self._on_expired, request))
        else:
            request.expiry_timer = self.timers.at(
                request.body_due_ms, partial(self._check_body, request, command.streamed_body)
            )
        self.send_event(event)

    def _accept_waiting(self, request: WaitingRequest) -> None:
        """Accept a request that has waited for memory, unless it was sent or its share taken meanwhile."""
        if request.command.id in self.sent:
            self._fail_repeated(request.event.request_class, request.slot)
        elif not self.shares.admits(request.event.customer):
            self._reject_for_capacity(request.event.request_class, request.slot)
        else:
            self._accept(request.command, request.slot, request.event)

    def _reject_waiting(self, request: WaitingRequest) -> None:
        self._reject_for_memory(request.event.request_class, request.slot)

    def _fail_repeated(self, class_name: str, slot: Slot) -> None:
        """Answer a request that has come again: it may have run, and must not run twice."""
        log.warning(log_events.REQUEST_REPEATED, slot.request_id)
        self.report.counts["came again"] += 1
        self.metrics.count_outcome(class_name, OutcomeKind.ABORTED)
        slot.answer(FAILED_REPLY)

    def check(self, command: Command) -> None:
        """Raise MalformedCommandError if a command is malformed."""
        self.reader.read(command)

    def on_command_without_place(self, command: Command, slot: Slot) -> None:
        """Reject a command on a connection that has no place in the descriptor budget."""
        self._reject_for_capacity(self.reader.read(command).request_class, slot)

    def _reject_for_capacity(self, class_name: str, slot: Slot) -> None:
        """Reject a request because of the gateway's load, before the policy sees it."""
        self.metrics.rejected_for_capacity += 1
        self.report.counts["refused for room"] += 1
        self._reject(class_name, slot)

    def _reject_for_memory(self, class_name: str, slot: Slot) -> None:
        """Reject a request because the memory for requests and answers is used up."""
        log.warning(
            log_events.MEMORY_USED_UP,
            *self.ledger.used_by_kind,
            self.ledger.limit_bytes,
            self.ledger.process_bytes,
            self.ledger.process_limit_bytes,
        )
        self.metrics.rejected_for_memory += 1
        self.report.counts["refused for memory"] += 1
        self._reject(class_name, slot)

    def _reject(self, class_name: str, slot: Slot) -> None:
        self.metrics.count_outcome(class_name, OutcomeKind.DECLINED)
        slot.answer(b"-BUSY %d\r\n" % CAPACITY_RETRY_AFTER_MS)

    def on_body_received(self, request_id: str) -> None:
        """Handle the end of a streamed body: set the request's expiry and notify the policy.

        The client's timeout may start at the first byte or at the last byte of the command. A client that is
        still sending has not given up, so if the timeout from the first byte has passed, it is counted from
        the last byte: from the latest time at which it was certainly not written yet.
        """
        request = self.in_flight.get(request_id)
        now = now_ms()
        if request is None or request.streaming_attempt is not None:
            return
        request.expires_at_ms = max(request.body_due_ms, now + DECISION_TIME_MS)
        if request.expiry_timer is not None:
            request.expiry_timer.cancel()
        request.expiry_timer = self.timers.at(request.expires_at_ms, partial(self._on_expired, request))
        for attempt in request.in_flight.values():
            attempt.expires_at_ms = request.expires_at_ms
        self.send_event(api.RequestBodyReceived(request_id, request.expires_at_ms))

    def _check_body(self, request: Request, body: StreamedRequestBody) -> None:
        """Fail a request whose client has given up while its backend still reads the body."""
        if self.in_flight.get(request.id) is not request or body.complete:
            return
        if request.response is not None or now_ms() < request.body_due_ms:
            due_ms = max(request.body_due_ms, now_ms() + BODY_CHECK_INTERVAL_MS)
            request.expiry_timer = self.timers.at(due_ms, partial(self._check_body, request, body))
            return
        self.fail(request.id)
        self.send_event(api.RequestAbandoned(request.id))

    def _on_expired(self, request: Request) -> None:
        """End the attempts of an expired request, after which the policy gives the final answer.

        A long answer that has begun may take longer, unless it is being collected.
        """
        if request.response is not None:
            self._expire_collection(request, request.response)
            return
        self.give_up_attempts(request, api.Outcome.TIMED_OUT)
        if self.in_flight.get(request.id) is request:
            # The request is unanswered only because of a fault, but the client still needs an answer.
            log.error(log_events.REQUEST_UNANSWERED, request.id)
            self.fail(request.id)
            self.send_event(api.RequestAbandoned(request.id))

    def _expire_collection(self, request: Request, response: StreamedResponse) -> None:
        """Give up a long answer that is being collected or waits for that: none of it is written yet.

        One that its backend goes on sending is passed on instead, as its first bytes are due now.
        """
        if response.complete:
            return
        if response.is_arriving and request.slot.is_due:
            response.pass_on()
            return
        if response.forwarding is Forwarding.WAITING:
            log.warning(log_events.ANSWER_NOT_COLLECTED, request.id, response.length_bytes)
            self.give_up_attempts(request, api.Outcome.CANCELLED)
        elif response.forwarding is Forwarding.COLLECTED:
            self.give_up_attempts(request, api.Outcome.TIMED_OUT)

    def on_client_gone(self, request_id: str) -> None:
        """Abandon a request whose client has closed its connection."""
        if (waiting := self.memory_wait.remove(request_id)) is not None:
            self.metrics.count_outcome(waiting.event.request_class, OutcomeKind.ABORTED)
            return
        request = self.release(request_id)
        if request is None:
            return
        self.metrics.count_outcome(request.request_class.name, OutcomeKind.ABORTED)
        if request.response is not None:
            request.response.drop()
        self.drop_body(request)
        self.send_event(api.RequestAbandoned(request_id))
        self.give_up_attempts(request, api.Outcome.CANCELLED)  # a backend may skip it if it has not begun
        self.cancel_timer_if_finished(request)

    def fail(self, request_id: str) -> None:
        """Answer that the request failed, which leaves open whether it ran."""
        self.finish(request_id, FAILED_REPLY, OutcomeKind.ABORTED)

    def finish(self, request_id: str, reply: bytes, outcome: OutcomeKind) -> None:
        """Give the final answer and count its outcome; do nothing if the request already has one."""
        request = self.release(request_id)
        if request is None:
            return
        self.metrics.count_outcome(request.request_class.name, outcome)
        if request.response is not None:  # part of a long answer is written, and the rest won't follow
            request.slot.abort_stream(reply)
            request.response.drop()
        else:
            request.slot.answer(reply)
        self.drop_body(request)
        self.cancel_timer_if_finished(request)

    def release(self, request_id: str) -> Request | None:
        """Remove a request that has ended and free its share; None if it is not in flight."""
        request = self.in_flight.pop(request_id, None)
        if request is not None:
            self.shares.release(request.command.customer)
            request.memory.set(0)
            self.ledger.change(MemoryUse.RESERVED, -ANSWER_RESERVE_BYTES)
        return request

    def drop_body(self, request: Request) -> None:
        """Discard the rest of a streamed body, and give up attempts that have not sent all of it."""
        body = request.command.streamed_body
        if body is not None and not body.dropped:
            body.drop()
            if not body.complete or body.sent_bytes < body.length_bytes:
                self.give_up_attempts(request, api.Outcome.CANCELLED)

    def give_up_attempts(self, request: Request, outcome: api.Outcome) -> None:
        """End all attempts of a request with an outcome."""
        for attempt in list(request.in_flight.values()):
            self.backends.give_up(attempt, outcome)

    def cancel_timer_if_finished(self, request: Request) -> None:
        """Cancel the expiry timer of an answered request that has no attempt in flight."""
        if request.expiry_timer is not None and not request.in_flight:
            request.expiry_timer.cancel()

    def end_all(self) -> None:
        """Answer all requests in flight because the process ends, and reject those that arrive later."""
        self.is_shutting_down = True
        self.memory_wait.reject_all()
        for request_id, request in list(self.in_flight.items()):
            if request.response is not None and (request.response.complete or request.response.started):
                continue  # its client is reading the answer
            if request.sent_at_ms or any(attempt.connection for attempt in request.in_flight.values()):
                self.fail(request_id)
            else:  # no byte of the request has been sent to a backend
                self.finish(request_id, BUSY_REPLY, OutcomeKind.DECLINED)
            self.send_event(api.RequestAbandoned(request_id))
