"""When a silent member is suspected, declared dead and forgotten, and how far this one trusts itself. Pure.

SWIM's suspicion (Das, Gupta, Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey, 2017):
local health that lengthens the own timeouts, and suspicions that end sooner the more members share them.

A member is suspected once neither it nor those that were asked to probe it have answered
(`probing`). It is dead `suspicion_timeout_s` later unless it refutes the suspicion, with one
more probe (`RECHECK_S`) where few share it. The dead, and those that left, are forgotten after `FORGET_S`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_CONFIRMATIONS = 3  # members, in addition to the first, whose suspicion makes the timeout shortest
LEAST_SUSPICION_S = 1.1  # of a suspicion that so many share
MOST_SUSPICION_S = 3.0  # of a suspicion of one member alone
LOG_SIZE_SCALE = 2.0  # timeouts grow by log10(members) over this, from 100 members on
RECHECK_S = 1.0  # for one more probe of a member that few suspect
RECHECKERS = 6.0  # members, at random, that probe a suspected one at once
# Dead members, and those that left, are remembered for so long that a minority knows that it is one, and that
# old gossip does not bring a dead member back.
DEAD_MEMBER_TTL_S = 600.0
MAX_HEALTH_SCORE = 8
MAX_SCORE_OF_DOUBT = 2  # of the score as far as it lengthens suspicions
STALL_PENALTY = 3  # to the score of a process that stood still


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health: the score is 0 for a healthy member, and rises as it misses messages."""

    score: int = 0

    def worsen(self, by: int) -> None:
        """Raise the score: an answer or a nack was missed, or this member had to refute a suspicion."""
        self.score = min(MAX_HEALTH_SCORE, self.score + by)

    def improve(self) -> None:
        """Lower the score: a probe was answered."""
        self.score = max(0, self.score - 1)

    @property
    def probe_multiplier(self) -> float:
        """By what the probe interval and timeouts are multiplied (Lifeguard's local health multiplier)."""
        return 1.0 + self.score

    @property
    def suspicion_multiplier(self) -> float:
        """By what the time until another member is declared dead is multiplied: 2 at most."""
        return 1 + min(self.score, MAX_SCORE_OF_DOUBT) / 2


def suspicion_timeout_s(confirmations: int, members: int, health: LocalHealth) -> float:
    """Return the seconds that a suspected member has to refute the suspicion.

    Args:
        confirmations: Members, in addition to the first, that suspect it.
        members: Members that are present, this one too.
        health: Of this member.
    """
    scale = max(1.0, math.log10(max(1, members)) / LOG_SIZE_SCALE)
    needed = min(MAX_CONFIRMATIONS, max(0, members - 2))
    confirmed = 1.0 if needed == 0 else min(1.0, math.log(confirmations + 1) / math.log(needed + 1))
    timeout_s = MOST_SUSPICION_S - (MOST_SUSPICION_S - LEAST_SUSPICION_S) * confirmed
    return timeout_s * scale * health.suspicion_multiplier


def is_widely_suspected(suspecters: int, members: int) -> bool:
    """Return whether so many share a suspicion that it needs no recheck before a member is declared dead.

    Args:
        suspecters: Members that suspect it.
        members: Members that are present, this one too.
    """
    return suspecters > min(MAX_CONFIRMATIONS, members - 2)


def is_minority(present: int, size_with_dead: int) -> bool:
    """Return whether half or more of the fleet is lost to this member; it then takes part in no decision.

    Args:
        present: Members that are alive or suspected, this one too.
        size_with_dead: Members that did not leave, this one too; the dead are among them.
    """
    return present * 2 <= size_with_dead
