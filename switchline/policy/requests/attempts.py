"""Sends, monitors, retries and hedges the attempts of requests, up to the one final answer."""

from __future__ import annotations

import math

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.outlier_scores import OutlierScores
from switchline.policy.backends.selection import EXPIRY_MARGIN_MS, BackendSelection
from switchline.policy.backends.zones import Zones
from switchline.policy.persistence.replication import PeerReplication
from switchline.policy.quota.leases import LeaseKeeper
from switchline.policy.requests.final_answer import final_answer
from switchline.policy.requests.latency import LatencyEstimate
from switchline.policy.requests.loss_timeout import loss_timeout_ms
from switchline.policy.requests.request import NEVER_RAN, Attempt, Request
from switchline.policy.requests.retry_budget import RetryBudget

UNFINISHED_OUTCOMES = {api.Outcome.TIMED_OUT, api.Outcome.CANCELLED}
TIMER_TOLERANCE_MS = 1.0  # a timer may fire early by this much


class AttemptTracker:
    """Owns the requests that have no final answer yet, and the attempts in flight.

    Attributes:
        requests: The requests by identifier.
        in_flight: The attempts in flight by request identifier and attempt number, the oldest first.
        retry_budget: The budget of retries and hedged attempts.
    """

    def __init__(
        self,
        settings: api.Settings,
        selection: BackendSelection,
        latency: LatencyEstimate,
        leases: LeaseKeeper,
        replication: PeerReplication,
    ) -> None:
        self.requests: dict[str, Request] = {}
        self.in_flight: dict[tuple[str, int], Attempt] = {}
        self.retry_budget = RetryBudget()
        self._settings = settings
        self._selection = selection
        self._outliers: OutlierScores = selection.outliers
        self._zones: Zones = selection.zones
        self._latency = latency
        self._leases = leases
        self._replication = replication

    def send(self, now: float, request: Request, backend: Backend, actions: api.Actions) -> None:
        """Send the next attempt of a request to a backend."""
        backend.on_sent()
        self._zones.on_sent(now, backend.zone)
        self._count_in_flight(request, 1, actions)
        number = request.attempts_made
        attempt = Attempt(request, backend, math.inf if request.is_streamed else now)
        self.in_flight[request.id, number] = attempt
        request.in_flight_attempts.add(number)
        request.may_have_run.append(attempt)
        request.tried_backends.add(backend.id)
        request.attempts_made += 1
        actions.append(api.Send(request.id, backend.id))
        check_at_ms = now + self.loss_timeout_ms(now, attempt) if request.is_body_complete else math.inf
        self.schedule_check(now, request, check_at_ms, actions)

    def loss_timeout_ms(self, now: float, attempt: Attempt) -> float:
        """Return how long in milliseconds an attempt may take before it counts as lost."""
        request = attempt.request
        failure_probability = self._outliers.failure_probability(now, attempt.backend, request.score_names)
        objective_ms = request.request_class.latency_objective_ms
        return loss_timeout_ms(self._latency.mean_ms, failure_probability, objective_ms)

    def schedule_check(self, now: float, request: Request, check_at_ms: float, actions: api.Actions) -> None:
        """Set a timer to check a request at a time, or shortly before it expires if that is earlier."""
        request.check_at_ms = min(check_at_ms, request.expires_ms - EXPIRY_MARGIN_MS)
        timer = api.Timer(api.TimerPurpose.REQUEST, request.id)
        actions.append(api.SetTimer(max(0.0, request.check_at_ms - now), timer))

    def is_expiring(self, now: float, request: Request) -> bool:
        """Whether a request must have its final answer now."""
        return now >= request.expires_ms - EXPIRY_MARGIN_MS - TIMER_TOLERANCE_MS

    def on_body_received(self, now: float, event: api.RequestBodyReceived, actions: api.Actions) -> None:
        """Schedule checks of a streamed request, as for any other, now that its body is complete."""
        request = self.requests.get(event.request)
        if request:
            request.on_body_received(now, event.expires_ms)
            self.schedule_check(now, request, request.check_at_ms, actions)

    def on_body_sent(self, now: float, event: api.RequestBodySent, _: api.Actions) -> None:
        """Measure the time of a streamed request's attempt from now on, as its body has been sent."""
        attempt = self.in_flight.get((event.request, event.attempt))
        if attempt:
            attempt.sent_at_ms = now

    def on_answer_streamed(self, now: float, event: api.StreamedAnswerStarted, actions: api.Actions) -> None:
        """Take a streamed answer as the final one: its attempt must not be cancelled; cancel all others."""
        attempt = self.in_flight.get((event.request, event.attempt))
        request = self.requests.pop(event.request, None)
        if attempt and request:
            self.record_outcome(now, attempt, api.Outcome.OK)
            attempt.is_answer_streamed = True
            request.in_flight_attempts.discard(event.attempt)
            self._cancel_all(request, actions)
            request.in_flight_attempts.add(event.attempt)

    def on_abandoned(self, _: float, event: api.RequestAbandoned, __: api.Actions) -> None:
        """Remove a request that needs no answer any more."""
        self.requests.pop(event.request, None)

    def on_overdue(self, now: float, request: Request, actions: api.Actions) -> None:
        """Handle an overdue attempt of a request: hedge it, or cancel it, which leads to a retry."""
        self.schedule_check(now, request, math.inf, actions)
        for number in request.in_flight_attempts:  # an overdue attempt counts against its zone before it ends
            attempt = self.in_flight[request.id, number]
            if now - attempt.sent_at_ms >= self.loss_timeout_ms(now, attempt) - TIMER_TOLERANCE_MS:
                self._zones.on_outcome(
                    now, attempt.backend.id, attempt.backend.zone, is_lost=True, has_ended=False
                )
        if len(request.in_flight_attempts) != 1 or request.is_streamed:
            return
        if request.request_class.effect is api.Effect.NOT_IDEMPOTENT:
            return
        if self._settings.can_hedge:
            self.send_further_attempt(now, request, actions, price=1.0)
        elif self.retry_budget.allows(1.0) and now + self._latency.mean_ms < request.answer_due_ms:
            self._cancel_all(request, actions)

    def on_ended(self, now: float, event: api.AttemptEnded, actions: api.Actions) -> None:
        """Record the outcome of an attempt that has ended, and retry or finish its request."""
        attempt = self.in_flight.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        request = attempt.request
        attempt.backend.in_flight -= 1
        self._count_in_flight(request, -1, actions)
        request.in_flight_attempts.remove(event.attempt)
        # Without a free connection, the attempt says nothing about the backend.
        if not attempt.is_answer_streamed and event.outcome is not api.Outcome.NO_CONNECTION:
            self.record_outcome(now, attempt, event.outcome)
        if event.outcome in NEVER_RAN:
            request.may_have_run.remove(attempt)
            attempt.backend.on_never_ran(now)
        if event.actual_units > 0 and not request.has_actual_units:
            request.has_actual_units = True
            self._leases.correct(request.customer, event.actual_units - request.units, actions)
        if event.request in self.requests:
            self._retry_or_finish(now, request, event, actions)

    def _retry_or_finish(
        self, now: float, request: Request, event: api.AttemptEnded, actions: api.Actions
    ) -> None:
        """Retry or finish a request without a final answer after one of its attempts has ended."""
        if event.request_finished or event.outcome is api.Outcome.OK:
            del self.requests[request.id]
            self._cancel_all(request, actions)
        elif not request.in_flight_attempts:
            if event.outcome is api.Outcome.NO_CONNECTION:  # no other backend would get a connection either
                self.finish(request, actions, cause=api.RejectionCause.NO_CONNECTION)
                return
            price = 0.0 if event.outcome in NEVER_RAN else 1.0
            if event.body_discarded or not self.send_further_attempt(now, request, actions, price):
                self.finish(request, actions)

    def record_outcome(self, now: float, attempt: Attempt, outcome: api.Outcome) -> None:
        """Update the latency estimate, the outlier scores and the zones by the outcome of an attempt."""
        backend, latency = attempt.backend, self._latency
        elapsed_ms = max(1.0, now - attempt.sent_at_ms)
        is_ok = outcome is api.Outcome.OK
        is_unfinished = outcome in UNFINISHED_OUTCOMES
        slowness_ms = self._outliers.slowness_ms(now, backend)
        is_overdue = elapsed_ms >= self.loss_timeout_ms(now, attempt)
        clamped_ms = latency.clamp(elapsed_ms)
        # The latency of an attempt that was timed out or cancelled is a lower bound.
        if is_ok or (is_unfinished and clamped_ms > latency.mean_ms + slowness_ms):
            excess_ms = clamped_ms - (latency.mean_ms or elapsed_ms)
            self._outliers.observe_slowness(now, backend, slowness_ms, excess_ms)
        if is_ok or (is_unfinished and elapsed_ms > latency.recent_ms):
            latency.observe_recent(now, elapsed_ms)
        if is_ok:
            latency.observe_answer(now, clamped_ms)
        if is_unfinished and not is_overdue:
            return  # a client that left early says nothing about the backend
        # A backend with a full queue was reached, so its refusal says nothing about the zone.
        if outcome not in (api.Outcome.IGNORED, api.Outcome.QUEUE_FULL):
            self._zones.on_outcome(now, backend.id, backend.zone, is_lost=not is_ok)
        self._outliers.observe_outcome(now, backend, outcome, attempt.request.score_names)

    def send_further_attempt(self, now: float, request: Request, actions: api.Actions, price: float) -> bool:
        """Send a retry or a hedged attempt if it can be in time and within the budget.

        Args:
            now: The time in milliseconds.
            request: The request.
            actions: The list to which actions are added.
            price: The cost for the retry budget, in attempts; 0 if the previous attempt did not run.

        Returns:
            Whether an attempt was sent.
        """
        if now + self._latency.mean_ms >= request.answer_due_ms:
            return False
        if request.attempts_made >= self._settings.max_attempts or not self.retry_budget.allows(price):
            return False
        backend = self._selection.pick(now, request)
        if backend is None:
            return False
        self.retry_budget.spend(price)
        self.send(now, request, backend, actions)
        return True

    def finish(
        self,
        request: Request,
        actions: api.Actions,
        retry_after_ms: float = 0.0,
        cause: api.RejectionCause = api.RejectionCause.ATTEMPTS,
    ) -> None:
        """Give a request its final answer, and cancel its attempts in flight."""
        del self.requests[request.id]
        actions.append(final_answer(request, retry_after_ms, cause, self._settings.max_retry_after_ms))
        self._cancel_all(request, actions)

    def _cancel_all(self, request: Request, actions: api.Actions) -> None:
        if self._settings.can_cancel:
            actions.extend(api.Cancel(request.id, number) for number in request.in_flight_attempts)

    def _count_in_flight(self, request: Request, change: int, actions: api.Actions) -> None:
        customer = request.customer
        customer.in_flight += change
        if customer.plan.max_in_flight:
            self._replication.replicate_in_flight_change(customer, change, actions)
