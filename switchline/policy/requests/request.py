"""A request without a final answer, and its attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.score_names import ALL_REQUESTS_SCORE, score_of_class, score_of_plan
from switchline.policy.quota.customer import Customer

# Outcomes of an attempt that certainly did not run.
NEVER_RAN = {
    api.Outcome.QUEUE_FULL,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.IGNORED,
    api.Outcome.NO_CONNECTION,
}


class Request:
    """One request that has no final answer yet.

    Attributes:
        id: Its identifier.
        request_class: Its class.
        customer: Its customer.
        units: Its estimated size, in units of quota.
        expires_ms: When its client stops waiting.
        answer_due_ms: When its answer is due by the latency objective of its class.
        attempts_made: How many attempts it has had.
        check_at_ms: When it is checked next.
        has_actual_units: Whether its actual size is known.
        score_names: The names of a backend's outlier scores that its attempts change.
        is_streamed: Whether its body is forwarded while it is being received.
        is_body_complete: Whether its body has been received.
        in_flight_attempts: The numbers of its attempts in flight.
        tried_backends: The identifiers of the backends to which it was sent.
        may_have_run: Its attempts that may have run or are in flight, the oldest first.
    """

    __slots__ = (
        "attempts_made",
        "check_at_ms",
        "customer",
        "expires_ms",
        "has_actual_units",
        "id",
        "is_body_complete",
        "is_streamed",
        "in_flight_attempts",
        "may_have_run",
        "answer_due_ms",
        "request_class",
        "score_names",
        "tried_backends",
        "units",
    )

    def __init__(
        self, event: api.RequestArrived, request_class: api.RequestClass, customer: Customer, now: float
    ) -> None:
        self.id = event.request
        self.request_class = request_class
        self.customer = customer
        self.units = event.units
        self.expires_ms = event.expires_ms
        self.answer_due_ms = event.expires_ms
        if not event.streamed:
            self.answer_due_ms = min(event.expires_ms, now + request_class.latency_objective_ms)
        self.attempts_made = 0
        self.check_at_ms = math.inf
        self.has_actual_units = False
        self.score_names = (
            ALL_REQUESTS_SCORE,
            score_of_class(request_class.name),
            score_of_plan(customer.plan.name),
        )
        self.is_streamed = event.streamed
        self.is_body_complete = not event.streamed
        self.in_flight_attempts: set[int] = set()
        self.tried_backends: set[int] = set()
        self.may_have_run: list[Attempt] = []

    def on_body_received(self, now: float, expires_ms: float) -> None:
        """Set the times of a streamed request, now that its body is complete."""
        self.is_body_complete = True
        self.expires_ms = expires_ms
        self.answer_due_ms = min(expires_ms, now + self.request_class.latency_objective_ms)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a backend.

    Attributes:
        request: The request.
        backend: The backend to which it was sent.
        sent_at_ms: When its last byte was sent; infinite until then.
        is_answer_streamed: Whether its answer is being forwarded to the client.
    """

    request: Request
    backend: Backend
    sent_at_ms: float
    is_answer_streamed: bool = False
