"""Backends, requests and attempts as one gateway knows them; slow start."""

from __future__ import annotations

import math

from switchline.policy import interface as api
from switchline.policy.customer import Customer

# Outcomes of an attempt that surely did not run.
NEVER_RAN = {api.Outcome.FULL, api.Outcome.CONNECT, api.Outcome.IGNORED, api.Outcome.NO_CAPACITY}
OWED_MS = 1_500.0  # a backend put back gets a request after so long at the latest, as it may be worth using


class Backend:
    """One backend as this gateway has seen it."""

    def __init__(self, entry: api.BackendEntry, rules: api.SafetyRules) -> None:
        self.id, self.out, self.started, self.rules = entry.backend, 0, -1.0, rules
        self.returned, self.owed_at = 0.0, math.inf  # put back by operators; a request is owed to it
        self.guessed = False  # that it came back then is only a guess
        self.begun = 0.0  # when its process began at the earliest, by this gateway's clock; 0: long ago
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        if entry.started_ms != self.started:  # a new process: what was seen of the old one says nothing
            self.marks: dict[str, tuple[float, float]] = {}  # level and when it was set
            self.returned = 0.0 if self.guessed else self.returned
        self.zone, self.cell, self.started = entry.zone, entry.cell, entry.started_ms
        self.ready = entry.state is api.BackendState.READY

    def begins(self, now: float, held_until: float) -> None:
        """Its process is new to the list.

        Its start is told by another machine's wall clock, and this one's may be wrong: the process began no
        later than now, and no earlier than a list that lacked it was still known to hold.
        """
        self.begun = min(now, max(self.started, held_until)) if self.started > 0 else 0.0

    def put_back(self, now: float, since: float, guessed: bool = False) -> None:
        since = min(since, now)  # it may be told by a clock that is ahead
        self.returned, self.owed_at, self.marks, self.guessed = since, since + OWED_MS, {}, guessed

    def warmth(self, now: float) -> float:
        """The least part of its capacity that it surely has."""
        begun = max(self.begun, self.returned)  # operators restart what they take out
        age = (now - begun) / max(1.0, self.rules.warm_up_ms) if begun > 0 else 1.0
        return min(1.0, self.rules.start_capacity + (1 - self.rules.start_capacity) * age)


class Request:
    """One request that is owed a final answer."""

    def __init__(self, event: api.RequestArrived, kind: api.RequestClass, c: Customer, now: float) -> None:
        self.id, self.kind, self.customer, self.units = event.request, kind, c, event.units
        self.expires = event.expires_ms
        self.aim_at = (
            event.expires_ms if event.streamed else min(event.expires_ms, now + kind.latency_objective_ms)
        )
        self.attempts, self.check_at, self.settled = 0, math.inf, False
        self.marks = "all", "class " + kind.name, "plan " + c.plan.name  # of a backend that this one bears on
        self.streamed, self.whole = event.streamed, not event.streamed  # a long value; it has come in
        self.live: set[int] = set()  # numbers of the attempts out
        self.tried: set[int] = set()
        self.ran: list[Attempt] = []  # attempts that may have run or are out, the earliest first


class Attempt:
    """One attempt of a request at a backend."""

    def __init__(self, request: Request, backend: Backend, sent_at: float) -> None:
        self.request, self.backend, self.sent_at = request, backend, sent_at  # infinite until all is sent
        self.began = False  # its long answer is being passed on
