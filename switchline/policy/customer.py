"""One customer as a gateway knows it: its lease and its local buckets. Decided on in rules.py."""

from __future__ import annotations

from typing import Any

from switchline.policy import interface as api

LEASE_MS = 15_000.0  # the design's lease
SPARSE, SCATTERED = 1.5, 0.25  # largest requests in an even part of a burst: too thin to spend; next to none


class Customer:
    """One customer at this gateway: its lease and its local buckets."""

    PASSED = (  # to the next process: numbers and truths alone
        "even",
        "top",
        "tokens",
        "filled_at",
        "ceiling",
        "part",
        "chance",
        "store",
        "spent",
        "lease_end",
        "fresh_until",
        "heard",
        "unsaid",
        "mine",
        "all",
        "period",
        "reading",
        "read_at",
    )

    def __init__(self, key: str, plan: api.Plan, even: float, now: float, since: float, unit: float) -> None:
        self.key, self.plan, self.even = key, plan, even  # even: a gateway's even share
        self.tokens, self.filled_at, self.out = max(unit, plan.burst_units * self.even), now, 0
        # Danger: a restarted gateway does not know what it sent. From empty, its part is never spent twice.
        self.ceiling = (now - since) / 1000 * plan.ceiling_rate_per_s * self.even
        self.top = self.even  # the part of the ceiling
        self.elsewhere = 0  # attempts out at the other process of this gateway
        self.keep_ms = max(LEASE_MS, plan.ceiling_burst_units / max(plan.ceiling_rate_per_s, 1e-9) * 1000)
        self.sparse = plan.burst_units * self.even < SPARSE * unit
        self.scattered = 0 < plan.burst_units * self.even < SCATTERED * unit  # over so many gateways
        self.part, self.chance = self.even, 1.0  # the lease: of quota and burst; of the requests, if sparse
        self.store = plan.burst_units  # what all gateways have left, by the last reading and own sends since
        self.spent = 0.0  # sent on here since that reading
        self.lease_end, self.fresh_until, self.heard = now + LEASE_MS, now, False  # heard: the last refresh
        self.unsaid, self.mine, self.all = 0.0, 0.0, 0.0  # units not yet added; lately added, here and by all
        self.period, self.reading, self.read_at = -2, 0.0, now  # the last reading
        # Of a period that this gateway begins to read: wants of others and its own, what the time brought,
        # and its last reading of the period before (below 0: none). It waits for how that one ended.
        self.begun = 0.0, 0.0, 0.0, -1.0

    def by_clock(self, now: float) -> None:
        """It is told by another process, whose clock may be ahead of this one's: no time of it is to come."""
        self.filled_at, self.read_at = min(self.filled_at, now), min(self.read_at, now)
        self.lease_end = min(self.lease_end, now + LEASE_MS)
        self.fresh_until = min(self.fresh_until, now + LEASE_MS)

    def state(self, reserved: float = 0.0) -> list[Any]:
        """As it is told to another process or kept on disk, there with a part that counts as spent."""
        less = {"tokens": -reserved, "ceiling": -reserved, "store": -reserved, "spent": reserved}
        numbers = [getattr(self, name) + less.get(name, 0) for name in self.PASSED]
        return ["customer", self.key, self.plan.name, self.out, numbers]
