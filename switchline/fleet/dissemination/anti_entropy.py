"""When and with whom a gateway exchanges its complete state (memberlist's push-pull and join).

Anti-entropy (Demers and others, 1987) delivers what gossip missed, and joins the parts of a fleet again after
a network partition.
"""

from __future__ import annotations

import math
import random

from switchline.fleet.membership.member import Address
from switchline.fleet.membership.members import Members
from switchline.fleet.messages import MemberState

EXCHANGE_INTERVAL_S = 12.0  # time between two exchanges, in a fleet of up to 32 members
LOG2_SIZE_OFFSET = 4  # in a larger fleet the interval is multiplied by log2(members) minus this
JOIN_BACKOFF_S = 0.5  # the first delay between two attempts to join by the seeds
MAX_JOIN_BACKOFF_S = 8.0
JOIN_SEEDS = 2  # number of seeds in one attempt
# Time between two exchanges with a dead member or an unknown seed. These exchanges let the parts of a fleet
# find each other again after a network partition.
REJOIN_INTERVAL_S = 15.0
JITTER_RATIO = 0.25  # each interval is longer or shorter by at most this ratio, at random


class ExchangeSchedule:
    """Owns the times of exchanges, and the addresses that this gateway is to exchange its state with."""

    def __init__(
        self,
        members: Members,
        address: Address,
        seeds: tuple[Address, ...],
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Schedule the first exchanges.

        Args:
            members: The members of the fleet.
            address: This gateway's own address.
            seeds: Addresses at which other members may be found.
            rng: Source of random choices.
            now_s: The monotonic time in seconds.
        """
        self.exchanged_with: set[str] = set()  # members whose complete state this process has received
        self._members = members
        self._address = address
        self._seeds = seeds
        self._rng = rng
        self._pending: list[Address] = []
        self._next_exchange_at_s = now_s + rng.uniform(0, EXCHANGE_INTERVAL_S)
        self._next_rejoin_at_s = now_s + REJOIN_INTERVAL_S
        self._next_join_at_s = now_s
        self._join_backoff_s = JOIN_BACKOFF_S

    def run_due(self, now_s: float) -> None:
        """Choose the members or seeds for the exchanges that are due."""
        is_alone = not self._members.present
        if is_alone and now_s >= self._next_join_at_s and self._seeds:
            self._join(now_s)
        elif not is_alone and now_s >= self._next_exchange_at_s:
            size_factor = max(1.0, math.log2(self._members.size) - LOG2_SIZE_OFFSET)
            self._next_exchange_at_s = now_s + EXCHANGE_INTERVAL_S * size_factor * self._jitter()
            self._pending += [member.address for member in self._members.sampler.sample(1)]
        if not is_alone and now_s >= self._next_rejoin_at_s:
            self._rejoin(now_s)

    def _join(self, now_s: float) -> None:
        """Schedule exchanges with some seeds, with exponential backoff, while no other member is known."""
        self._next_join_at_s = now_s + self._join_backoff_s * self._jitter()
        self._join_backoff_s = min(MAX_JOIN_BACKOFF_S, self._join_backoff_s * 2)
        seeds = [seed for seed in self._seeds if seed != self._address]
        self._pending += self._rng.sample(seeds, min(JOIN_SEEDS, len(seeds)))

    def _rejoin(self, now_s: float) -> None:
        """Schedule an exchange with one of the dead members and the unknown seeds."""
        self._next_rejoin_at_s = now_s + REJOIN_INTERVAL_S * self._jitter()
        present = {member.address for member in self._members.present.values()}
        unreachable = [
            member.address for member in self._members.others.values() if member.state is MemberState.DEAD
        ]
        unreachable += [seed for seed in self._seeds if seed not in present and seed != self._address]
        if unreachable:
            self._pending.append(self._rng.choice(unreachable))

    def _jitter(self) -> float:
        return self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)

    def request(self, addresses: list[Address]) -> None:
        """Schedule an exchange with each of these addresses."""
        self._pending += addresses

    def request_some(self, number: int) -> None:
        """Schedule exchanges with at most `number` random members whose complete state has not come yet."""
        members = self._members.sampler.sample(number, without=self.exchanged_with)
        self._pending += [member.address for member in members]

    def take(self) -> list[Address]:
        """Return the addresses to exchange with now, and remove them here."""
        pending = self._pending
        self._pending = []
        return pending

    def on_completed(self, sender: str) -> None:
        """Record that a member's complete state has come."""
        self.exchanged_with &= self._members.others.keys()
        self.exchanged_with.add(sender)
        self._join_backoff_s = JOIN_BACKOFF_S
