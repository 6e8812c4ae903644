"""The policy of one gateway without a process: its settings, and a harness with a simulated clock."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from switchline.policy import interface as api
from switchline.policy.gateway import Gateway

IDEMPOTENT_CLASS = api.RequestClass(
    "view", latency_objective_ms=1000, deadline_ms=3000, priority_weight=1, effect=api.Effect.IDEMPOTENT
)
KEYED_CLASS = api.RequestClass(
    "order",
    latency_objective_ms=1000,
    deadline_ms=3000,
    priority_weight=4,
    effect=api.Effect.IDEMPOTENT_WITH_KEY,
    deduplication_scope=api.DeduplicationScope.CELL,
    deduplication_window_ms=2000,
)
NOT_IDEMPOTENT_CLASS = api.RequestClass(
    "wipe", latency_objective_ms=1000, deadline_ms=3000, priority_weight=2, effect=api.Effect.NOT_IDEMPOTENT
)
BASIC = api.Plan("basic", rate_per_s=2, burst_units=8, overage_cost=1)
FIRM = api.Plan(
    "firm",
    rate_per_s=10,
    burst_units=20,
    max_in_flight=8,
    overage_cost=1,
    ceiling_rate_per_s=20,
    ceiling_burst_units=40,
)
BONUS = api.Plan("bonus", rate_per_s=1, burst_units=2, overage_revenue=0.2)
RULES = api.SafetyRules(1000, 0.2, 10_000, 2)


def settings(**changes: object) -> api.Settings:
    values: dict[str, object] = dict(
        index=0,
        gateways=2,
        zone="a",
        classes=(IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS),
        plans=(BASIC, FIRM, BONUS),
        rules=RULES,
        max_attempts=3,
        can_cancel=True,
        uses_counter=True,
        max_retry_after_ms=500.0,
        counter_call_ms=50.0,
    )
    values.update(changes)
    return api.Settings(**values)  # type: ignore[arg-type]


def entry(
    backend: int, state: api.BackendState = api.BackendState.READY, started_at_ms: float = 0, cell: int = 0
) -> api.BackendEntry:
    return api.BackendEntry(backend, "a", cell, started_at_ms, state)


def backends(*entries: api.BackendEntry, scope: api.ListScope = api.ListScope.FULL) -> api.BackendsChanged:
    return api.BackendsChanged(scope, entries)


class GatewayHarness:
    """Passes events to the policy of one gateway, and logs its actions with their times in ms.

    Time passes only in `pass_time`.
    """

    def __init__(
        self,
        entries: Iterable[api.BackendEntry] = (),
        seed: int = 1,
        now_ms: float = 10_000.0,
        **changes: object,
    ) -> None:
        self.gateway = Gateway(settings(**changes), seed)
        self.now_ms, self.request_count = now_ms, 0
        self.timers: list[tuple[float, int, api.Timer]] = []
        self.log: list[tuple[float, api.Action]] = []
        self.give(backends(*(tuple(entries) or (entry(1), entry(2, cell=1), entry(3)))))

    def give(self, event: api.Event) -> list[api.Action]:
        actions = self.gateway.handle(self.now_ms, event)
        self.log += [(self.now_ms, action) for action in actions]
        for action in actions:
            if isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (self.now_ms + action.delay_ms, len(self.log), action.timer))
        return actions

    def ask(
        self,
        name: str = "view",
        plan: str = "basic",
        customer: str = "c",
        spread: int = 2,
        lifetime_ms: float = 3000,
    ) -> list[api.Action]:
        self.request_count += 1
        return self.give(
            api.RequestArrived(
                f"r{self.request_count}", name, plan, customer, self.now_ms + lifetime_ms, 1.0, spread, 0
            )
        )

    def end_attempt(
        self,
        send: api.Send,
        outcome: api.Outcome = api.Outcome.OK,
        attempt: int = 0,
        finished: bool | None = None,
    ) -> list[api.Action]:
        has_final_answer = outcome is api.Outcome.OK if finished is None else finished
        return self.give(
            api.AttemptEnded(send.request, attempt, send.backend, outcome, 1.0, has_final_answer)
        )

    def pass_time(self, duration_ms: float) -> list[api.Action]:
        """Advance the clock, and fire the timers that the gateway has set; return the actions of these."""
        actions: list[api.Action] = []
        end_ms = self.now_ms + duration_ms
        while self.timers and self.timers[0][0] <= end_ms:
            fires_at_ms, _, timer = heapq.heappop(self.timers)
            self.now_ms = max(self.now_ms, fires_at_ms)
            actions += self.give(api.TimerFired(timer))
        self.now_ms = end_ms
        return actions


def sends(actions: Iterable[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def counter_calls(actions: Iterable[api.Action]) -> list[api.AddToCounter]:
    return [a for a in actions if isinstance(a, api.AddToCounter)]


def rejections(actions: Iterable[api.Action]) -> list[api.Reject]:
    return [a for a in actions if isinstance(a, api.Reject)]
