"""When, and with whom, a gateway exchanges its complete state (memberlist's push-pull and join). Pure.

Anti-entropy (Demers and others, 1987) repairs what gossip missed, and heals a fleet that was partitioned.
"""

from __future__ import annotations

import math
import random

from switchline.fleet.membership.member import Address
from switchline.fleet.membership.members import Members
from switchline.fleet.messages import MemberState

EXCHANGE_INTERVAL_S = 12.0  # between two exchanges in a fleet of up to 32 members
LOG2_SIZE_OFFSET = 4  # the interval grows by log2(members) less this
JOIN_BACKOFF_S = 0.5  # first pause between two tries of the seeds
MAX_JOIN_BACKOFF_S = 8.0
JOIN_SEEDS = 2  # tried at once
REJOIN_INTERVAL_S = 15.0  # between two tries of a seed or a dead member, so that a healed fleet finds itself
JITTER_RATIO = 0.25  # of each interval, either way


class ExchangeSchedule:
    """Owns the times of exchanges, and whom this gateway is to exchange its state with."""

    def __init__(
        self,
        members: Members,
        address: Address,
        seeds: tuple[Address, ...],
        rng: random.Random,
        now_s: float,
    ) -> None:
        """`address`: this gateway's own; `seeds`: where others may be found; `rng`: of its choices."""
        self.exchanged_with: set[str] = set()  # members whose complete state has come to this process
        self._members = members
        self._address = address
        self._seeds = seeds
        self._rng = rng
        self._pending: list[Address] = []
        self._exchange_at = now_s + rng.uniform(0, EXCHANGE_INTERVAL_S)
        self._rejoin_at = now_s + REJOIN_INTERVAL_S
        self._join_at = now_s
        self._join_backoff_s = JOIN_BACKOFF_S

    def run_due(self, now_s: float) -> None:
        """Choose whom to exchange with, if an exchange is due."""
        is_alone = not self._members.present
        if is_alone and now_s >= self._join_at and self._seeds:
            self._join(now_s)
        elif not is_alone and now_s >= self._exchange_at:
            scale = max(1.0, math.log2(self._members.size) - LOG2_SIZE_OFFSET)
            self._exchange_at = now_s + EXCHANGE_INTERVAL_S * scale * self._jitter()
            self._pending += [member.address for member in self._members.sampler.sample(1)]
        if not is_alone and now_s >= self._rejoin_at:
            self._rejoin(now_s)

    def _join(self, now_s: float) -> None:
        """Try some seeds, with exponential backoff, while this gateway knows no other."""
        self._join_at = now_s + self._join_backoff_s * self._jitter()
        self._join_backoff_s = min(MAX_JOIN_BACKOFF_S, self._join_backoff_s * 2)
        seeds = [seed for seed in self._seeds if seed != self._address]
        self._pending += self._rng.sample(seeds, min(JOIN_SEEDS, len(seeds)))

    def _rejoin(self, now_s: float) -> None:
        """Try one of the dead members and the unknown seeds."""
        self._rejoin_at = now_s + REJOIN_INTERVAL_S * self._jitter()
        known = {member.address for member in self._members.present.values()}
        lost = [
            member.address for member in self._members.others.values() if member.state is MemberState.DEAD
        ]
        lost += [seed for seed in self._seeds if seed not in known and seed != self._address]
        if lost:
            self._pending.append(self._rng.choice(lost))

    def _jitter(self) -> float:
        return self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)

    def request(self, addresses: list[Address]) -> None:
        """Exchange soon with these."""
        self._pending += addresses

    def request_some(self, number: int) -> None:
        """Exchange soon with so many members, at random, whose complete state has not come yet."""
        members = self._members.sampler.sample(number, without=self.exchanged_with)
        self._pending += [member.address for member in members]

    def take(self) -> list[Address]:
        """Return, and forget, whom to exchange with now."""
        pending = self._pending
        self._pending = []
        return pending

    def completed(self, sender: str) -> None:
        """Note that a member's complete state has come."""
        self.exchanged_with &= self._members.others.keys()
        self.exchanged_with.add(sender)
        self._join_backoff_s = JOIN_BACKOFF_S
