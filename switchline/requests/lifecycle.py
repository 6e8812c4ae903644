"""The life of a request: admitted or refused, answered once, expired, or left by its client."""

from __future__ import annotations

import logging
from functools import partial

from switchline import log_events
from switchline.clients.commands import Command
from switchline.clients.slot import Slot
from switchline.clock import now_ms
from switchline.net.descriptors import DescriptorOwner
from switchline.operators.metrics import OutcomeKind
from switchline.policy import interface as api
from switchline.policy.quota.fair_shares import PRESSURE_RATIO, FairShares
from switchline.requests.arrivals import MAX_CLIENT_WAIT_MS, CommandReader, MalformedCommandError
from switchline.requests.context import RequestContext
from switchline.requests.request import Request

log = logging.getLogger(__name__)

FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"
CAPACITY_RETRY_AFTER_MS = 200
REQUESTS_PER_CONNECTION = 2  # requests open for each backend connection that there may be: one of them waits


class RequestLifecycle:
    """Owns the open requests; gives each one final answer."""

    def __init__(self, context: RequestContext) -> None:
        self.reader = CommandReader(context.settings)
        self.shares = FairShares(context.max_in_flight)  # of requests open at once, among customers
        self.max_in_flight = context.max_in_flight
        self.timers = context.timers
        self.backends = context.backends
        self.metrics = context.metrics
        self.report = context.report
        self.send_event = context.send_event
        self.in_flight: dict[str, Request] = {}
        self.is_shutting_down = False  # the process is about to end

    def on_command(self, command: Command, slot: Slot) -> None:
        """A client's command is complete, or its streamed body has begun; raises MalformedCommandError."""
        if command.id in self.in_flight:
            raise MalformedCommandError("id in use")
        event = self.reader.read(command)
        self.shares.limit = min(
            self.max_in_flight,
            REQUESTS_PER_CONNECTION * self.backends.budget.limit_of(DescriptorOwner.BACKENDS),
        )
        self.shares.pressure_threshold = int(self.shares.limit * PRESSURE_RATIO)
        if self.is_shutting_down or not self.shares.admits(event.customer):
            self._reject_for_capacity(event.request_class, slot)
            return
        self.report.counts["requests taken"] += 1
        self.shares.take(event.customer)
        kind = self.reader.classes[event.request_class]
        request = self.in_flight[command.id] = Request(command, slot, kind, event.expires_ms)
        request.expiry_timer = self.timers.at(request.expires_at_ms, partial(self._on_expired, request))
        self.send_event(event)

    def check(self, command: Command) -> None:
        """Raise MalformedCommandError if a command is malformed."""
        self.reader.read(command)

    def on_command_without_place(self, command: Command, slot: Slot) -> None:
        """A command came on a connection that there is no place for."""
        self._reject_for_capacity(self.reader.read(command).request_class, slot)

    def _reject_for_capacity(self, kind: str, slot: Slot) -> None:
        """Refuse a request before the policy has seen it."""
        self.metrics.count_outcome(kind, OutcomeKind.DECLINED)
        self.metrics.rejected_for_capacity += 1
        self.report.counts["refused for room"] += 1
        slot.answer(b"-BUSY %d\r\n" % CAPACITY_RETRY_AFTER_MS)

    def on_body_received(self, request_id: str) -> None:
        """A streamed body is complete: from now on its request is one as any other.

        Its client may count the time from its first byte or from its last. One that still sends has not given
        up, so where the first reckoning has run out, the second must be meant.
        """
        request = self.in_flight.get(request_id)
        now = now_ms()
        if request is None or request.streaming_attempt is not None:
            return
        wait = min(request.command.time_left_ms, MAX_CLIENT_WAIT_MS)
        from_head = request.arrived_at_ms + wait
        request.expires_at_ms = from_head if now < from_head else now + wait
        if request.expiry_timer is not None:
            request.expiry_timer.cancel()
        request.expiry_timer = self.timers.at(request.expires_at_ms, partial(self._on_expired, request))
        for attempt in request.in_flight.values():
            attempt.expires_at_ms = request.expires_at_ms
        self.send_event(api.RequestBodyReceived(request_id, request.expires_at_ms))

    def _on_expired(self, request: Request) -> None:
        """The client's patience ends: so do the attempts, and the policy owes the final answer."""
        self.give_up_attempts(request, api.Outcome.TIMED_OUT)
        if self.in_flight.get(request.id) is request:
            # Only a fault leaves a request unanswered here; its client must not wait in vain even so.
            log.error(log_events.REQUEST_UNANSWERED, request.id)
            self.fail(request.id)
            self.send_event(api.RequestAbandoned(request.id))

    def on_client_gone(self, request_id: str) -> None:
        """The client has closed its connection: nobody waits for the answer."""
        request = self.release(request_id)
        if request is None:
            return
        self.metrics.count_outcome(request.kind.name, OutcomeKind.ABORTED)
        if request.response is not None:
            request.response.drop()
        self.drop_body(request)
        self.send_event(api.RequestAbandoned(request_id))
        self.give_up_attempts(request, api.Outcome.CANCELLED)  # a backend may drop what it has not begun
        self.cancel_timer_if_finished(request)

    def fail(self, request_id: str) -> None:
        """Answer that it failed: it may have run, or not."""
        self.finish(request_id, FAILED_REPLY, OutcomeKind.ABORTED)

    def finish(self, request_id: str, reply: bytes, outcome: OutcomeKind) -> None:
        """Give the one final answer; a second one is not sent."""
        request = self.release(request_id)
        if request is None:
            return
        self.metrics.count_outcome(request.kind.name, outcome)
        if request.response is not None:  # begun, and not to be finished
            request.slot.abort_stream(reply)
            request.response.drop()
        else:
            request.slot.answer(reply)
        self.drop_body(request)
        self.cancel_timer_if_finished(request)

    def release(self, request_id: str) -> Request | None:
        """A request has ended: its place is free."""
        request = self.in_flight.pop(request_id, None)
        if request is not None:
            self.shares.release(request.command.customer)
        return request

    def drop_body(self, request: Request) -> None:
        """Nobody needs the rest of a streamed body: nor can an attempt be finished without it."""
        body = request.command.stream
        if body is not None and not body.dropped:
            body.drop()
            if not body.complete or body.sent_bytes < body.length_bytes:
                self.give_up_attempts(request, api.Outcome.CANCELLED)

    def give_up_attempts(self, request: Request, outcome: api.Outcome) -> None:
        """End all attempts of a request."""
        for attempt in list(request.in_flight.values()):
            self.backends.give_up(attempt, outcome)

    def cancel_timer_if_finished(self, request: Request) -> None:
        """Once a request is answered and no attempt is in flight, its timer is not needed."""
        if request.expiry_timer is not None and not request.in_flight:
            request.expiry_timer.cancel()

    def end_all(self) -> None:
        """Answer what is open as the process has to end, and refuse what still comes."""
        self.is_shutting_down = True
        for request_id, request in list(self.in_flight.items()):
            if request.sent_at_ms or any(attempt.connection for attempt in request.in_flight.values()):
                self.fail(request_id)
            else:  # nothing of it has left
                self.finish(request_id, BUSY_REPLY, OutcomeKind.DECLINED)
            self.send_event(api.RequestAbandoned(request_id))
