"""Random valid event sequences: the five rules hold, and the same events give the same actions."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from helpers import FIRM, IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS, GatewayHarness, backends, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline.policy import interface as api

NEVER_RAN = {api.Outcome.QUEUE_FULL, api.Outcome.CONNECT_FAILED, api.Outcome.IGNORED}
OUTCOMES = list(api.Outcome)
# This gateway's share of a ceiling is the even share of two gateways until a reading of the counter shows the
# demand. From then on a gateway with nearly all the demand may have the largest share that a lease gives; the
# shares of all gateways add up to less than one (tests/policy/test_leases.py).
EVEN_SHARE = 0.5
MAX_SHARE = 0.5 * EVEN_SHARE + 0.45
STEPS = st.lists(
    st.tuples(st.sampled_from("rrrrroootlcx"), st.integers(0, 7), st.integers(0, 400)),
    min_size=20,
    max_size=150,
)


class RuleChecker:
    """Checks the five rules independently of the gateway while a random history of events runs."""

    def __init__(self, seed: int, can_hedge: bool, has_waited: bool) -> None:
        self.world = GatewayHarness([entry(i, cell=i % 2) for i in range(5)], seed=seed, can_hedge=can_hedge)
        self.can_hedge = can_hedge
        self.requests: dict[str, tuple[str, float]] = {}
        self.answered: set[str] = set()
        self.attempts: dict[str, list[tuple[int, float, api.Outcome | None]]] = {}
        self.calls: list[api.AddToCounter] = []
        self.states = {i: api.BackendState.READY for i in range(5)}
        self.listed_ready_until_ms = {i: -1e9 for i in range(5)}
        self.ceiling_tokens, self.ceiling_filled_at_ms, self.ceiling_share = (
            0.0,
            self.world.now_ms,
            EVEN_SHARE,
        )
        if has_waited:
            self.apply("t", 0, 400)

    def check(self, actions: list[api.Action]) -> None:
        now = self.world.now_ms
        for action in actions:
            if isinstance(action, api.Send):
                name, expires = self.requests[action.request]
                attempts = self.attempts.setdefault(action.request, [])
                assert action.request not in self.answered and now <= expires
                assert len(attempts) < 3
                assert self.can_hedge or all(o is not None for _, _, o in attempts)
                ran = [(b, t) for b, t, o in attempts if o not in NEVER_RAN]
                assert name != "wipe" or not ran
                if name == "order":
                    assert all(
                        b % 2 == action.backend % 2 and now - t <= KEYED_CLASS.deduplication_window_ms
                        for b, t in ran
                    )
                is_ready = self.states[action.backend] is api.BackendState.READY
                assert is_ready or now - self.listed_ready_until_ms[action.backend] <= 1000
                if not attempts:
                    self.fill_ceiling()
                    self.ceiling_tokens -= 1
                    assert self.ceiling_tokens >= -1e-6, "more than this gateway's share of the ceiling"
                attempts.append((action.backend, now, None))
            elif isinstance(action, api.Reject | api.Fail):
                assert action.request not in self.answered
                name, expires = self.requests[action.request]
                assert now <= expires + 8
                ran = [b for b, _, o in self.attempts.get(action.request, []) if o not in NEVER_RAN]
                assert isinstance(action, api.Fail) or name == "view" or not ran
                self.answered.add(action.request)
            elif isinstance(action, api.Cancel):
                assert action.attempt < len(self.attempts[action.request])
            elif isinstance(action, api.AddToCounter):
                self.calls.append(action)

    def fill_ceiling(self) -> None:
        elapsed_s = (self.world.now_ms - self.ceiling_filled_at_ms) / 1000
        filled = self.ceiling_tokens + elapsed_s * FIRM.ceiling_rate_per_s * self.ceiling_share
        self.ceiling_tokens = min(FIRM.ceiling_burst_units * self.ceiling_share, filled)
        self.ceiling_filled_at_ms = self.world.now_ms

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        return [
            (r, i) for r, attempts in self.attempts.items() for i, t in enumerate(attempts) if t[2] is None
        ]

    def end(self, request: str, attempt: int, outcome: api.Outcome) -> None:
        backend, sent_at, _ = self.attempts[request][attempt]
        self.attempts[request][attempt] = (backend, sent_at, outcome)
        if outcome is api.Outcome.OK:
            self.answered.add(request)
        finished = request in self.answered
        self.check(self.world.give(api.AttemptEnded(request, attempt, backend, outcome, 1, finished)))

    def apply(self, kind: str, choice: int, amount: int) -> None:
        world = self.world
        if kind == "r":
            name = (IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS)[choice % 3].name
            self.requests[f"r{world.request_count + 1}"] = (name, world.now_ms + 500 + amount * 5)
            self.check(world.ask(name, FIRM.name, "c", 2, 500 + amount * 5))
        elif kind == "o" and (in_flight := self.attempts_in_flight()):
            self.end(*in_flight[amount % len(in_flight)], OUTCOMES[choice])
        elif kind == "t":
            self.pass_time(amount)
        elif kind == "l":
            state = (api.BackendState.READY, api.BackendState.DRAINING, api.BackendState.GONE)[choice % 3]
            backend = amount % 5
            if self.states[backend] is api.BackendState.READY:
                self.listed_ready_until_ms[backend] = world.now_ms
            self.states[backend] = state
            started = world.now_ms - 100 if choice > 4 else 0.0
            self.check(
                world.give(backends(entry(backend, state, started, backend % 2), scope=api.ListScope.CHANGES))
            )
        elif kind == "c" and self.calls:
            call = self.calls.pop(0)
            if OUTCOMES[choice] is api.Outcome.OK:
                self.fill_ceiling()
                self.ceiling_share = MAX_SHARE
            self.check(world.give(api.CounterReplied(call.name, OUTCOMES[choice], amount / 10)))
        elif kind == "x" and (unanswered := [r for r in self.attempts if r not in self.answered]):
            self.answered.add(unanswered[amount % len(unanswered)])
            self.check(world.give(api.RequestAbandoned(unanswered[amount % len(unanswered)])))

    def pass_time(self, amount: float) -> None:
        for _ in range(int(amount // 50) + 1):
            self.check(self.world.pass_time(50))
            for request, attempt in self.attempts_in_flight():
                if self.world.now_ms >= self.requests[request][1]:
                    self.end(request, attempt, api.Outcome.TIMED_OUT)


@settings(max_examples=150)
@given(STEPS, st.integers(0, 2**31), st.booleans(), st.booleans())
def test_the_five_rules_hold(
    steps: list[tuple[str, int, int]], seed: int, can_hedge: bool, has_waited: bool
) -> None:
    checker = RuleChecker(seed, can_hedge, has_waited)
    for step in steps:
        checker.apply(*step)
    checker.pass_time(4000)
    assert set(checker.requests) == checker.answered, "every request has exactly one final answer"
    assert not checker.world.gateway.attempts.requests


def history(seed: int) -> list[tuple[float, api.Action]]:
    world = GatewayHarness(seed=seed)
    for i in range(400):
        for action in world.ask(("view", "order", "wipe")[i % 3], ("basic", "firm")[i % 2], f"c{i % 17}"):
            if isinstance(action, api.Send) and i % 5:
                world.end_attempt(action, OUTCOMES[i % 4])
            elif isinstance(action, api.AddToCounter):
                world.give(api.CounterReplied(action.name, OUTCOMES[i % 2 * 3], i / 100))
        world.pass_time(60)
    return world.log


def test_the_same_events_give_the_same_actions_under_other_hash_seeds() -> None:
    here = Path(__file__).parent
    code = (
        "import test_rules_hold as t, hashlib; print(hashlib.sha256(repr(t.history(7)).encode()).hexdigest())"
    )
    digests = set()
    for hash_seed in ("1", "2", "77"):
        path = os.pathsep.join(str(folder) for folder in (here, here.parent, here.parents[1]))
        env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": path}
        run = subprocess.run(
            [sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True
        )
        digests.add(run.stdout)
    assert len(digests) == 1
    assert history(7) == history(7)
