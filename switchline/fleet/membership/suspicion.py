"""Timeouts of suspicions, and the local health score that lengthens them.

SWIM's suspicion (Das, Gupta, Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey, 2017): a
member that misses messages itself lengthens its own timeouts, and a suspicion's timeout is shorter the more
members share it.

A member is suspected if it answers neither a direct nor an indirect probe (`probing`). It is declared dead
after `suspicion_timeout_s` unless it refutes the suspicion; if few members share the suspicion, it is probed
once more first and has `RECHECK_TIMEOUT_S` to answer. Dead members, and those that left, are removed after
`DEAD_MEMBER_TTL_S`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Number of members that must share a suspicion, in addition to the first, for the shortest timeout.
MAX_CONFIRMATIONS = 3
MIN_SUSPICION_TIMEOUT_S = 1.1  # the timeout of a suspicion with `MAX_CONFIRMATIONS`
MAX_SUSPICION_TIMEOUT_S = 3.0  # the timeout of a suspicion that only one member has
LOG_SIZE_SCALE = 2.0  # timeouts are multiplied by log10(members) over this, from 100 members on
RECHECK_TIMEOUT_S = 1.0  # time for the answer to one more probe of a member that few suspect
EXPECTED_RECHECKERS = 6.0  # mean number of members, chosen at random, that probe a suspected one at once
# Dead members, and those that left, are remembered for so long that a minority knows that it is one, and that
# old gossip does not bring a dead member back.
DEAD_MEMBER_TTL_S = 600.0
MAX_HEALTH_SCORE = 8
MAX_SUSPICION_SCORE = 2  # a higher health score lengthens suspicions no further
STALL_PENALTY = 3  # added to the health score after this process was stalled


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health: the score is 0 for a healthy member and rises as it misses messages."""

    score: int = 0

    def worsen(self, increase: int) -> None:
        """Raise the score: an answer or a nack was missed, or this member had to refute a suspicion."""
        self.score = min(MAX_HEALTH_SCORE, self.score + increase)

    def improve(self) -> None:
        """Lower the score: a probe was answered."""
        self.score = max(0, self.score - 1)

    @property
    def probe_multiplier(self) -> float:
        """Factor for the probe interval and probe timeouts (Lifeguard's local health multiplier)."""
        return 1.0 + self.score

    @property
    def suspicion_multiplier(self) -> float:
        """Factor for the time until another member is declared dead: from 1 to 2."""
        return 1 + min(self.score, MAX_SUSPICION_SCORE) / 2


def suspicion_timeout_s(confirmations: int, members: int, health: LocalHealth) -> float:
    """Return how many seconds a suspected member has to refute the suspicion.

    Args:
        confirmations: Number of members, in addition to the first, that suspect it.
        members: Number of members that are present, including this one.
        health: The local health of this member.
    """
    size_factor = max(1.0, math.log10(max(1, members)) / LOG_SIZE_SCALE)
    # All members but the suspected one and the first that suspects it can confirm the suspicion.
    needed = min(MAX_CONFIRMATIONS, max(0, members - 2))
    confirmed_ratio = 1.0 if needed == 0 else min(1.0, math.log(confirmations + 1) / math.log(needed + 1))
    timeout_s = (
        MAX_SUSPICION_TIMEOUT_S - (MAX_SUSPICION_TIMEOUT_S - MIN_SUSPICION_TIMEOUT_S) * confirmed_ratio
    )
    return timeout_s * size_factor * health.suspicion_multiplier


def is_widely_suspected(suspecters: int, members: int) -> bool:
    """Return whether enough members share a suspicion to declare a member dead without another probe.

    Args:
        suspecters: Number of members that suspect it.
        members: Number of members that are present, including this one.
    """
    return suspecters > min(MAX_CONFIRMATIONS, members - 2)


def is_minority(present: int, size_with_dead: int) -> bool:
    """Return whether this member sees only half of the fleet or less; it then takes part in no decision.

    Args:
        present: Number of members that are alive or suspected, including this one.
        size_with_dead: Number of members that did not leave, including the dead and this one.
    """
    return present * 2 <= size_with_dead
