"""The known state of one member, and the order of the claims about it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from switchline.fleet.messages import Incarnation, MemberState, MemberUpdate

Address = tuple[str, int]


class MemberEvent(StrEnum):
    """Events of members that are counted. The values are the names that operators see."""

    SUSPECTED = "suspected"
    DIED = "died"
    LEFT = "left"
    JOINED = "joined"
    REFUTED = "refuted"  # this member refuted a claim that it is suspected or dead


@dataclass(slots=True)
class Member:
    """The state of another member as known here. Times are seconds of a monotonic clock.

    Attributes:
        update: The claim with the highest precedence so far.
        state_changed_at_s: When that claim came.
        last_heard_s: When the last message from the member itself came.
        suspecters: Names of the members that suspect it.
        dead_at_s: When it is declared dead unless it refutes the suspicion; infinite without a suspicion.
        rechecked: Whether it is probed once more before it is declared dead, or has been.
    """

    update: MemberUpdate
    state_changed_at_s: float
    last_heard_s: float
    suspecters: frozenset[str] = frozenset()
    dead_at_s: float = math.inf
    rechecked: bool = False

    @property
    def state(self) -> MemberState:
        """The state in the claim with the highest precedence."""
        return self.update.state

    @property
    def address(self) -> Address:
        """The address at which the member is reached."""
        return self.update.host, self.update.port

    @property
    def is_present(self) -> bool:
        """Whether the member is alive or only suspected."""
        return self.update.state in (MemberState.ALIVE, MemberState.SUSPECT)


def alive_claim(name: str, incarnation: Incarnation, address: Address) -> MemberUpdate:
    """Return a member's first claim about itself: that it is alive at this address."""
    return MemberUpdate(name, incarnation, 0, MemberState.ALIVE, *address)


def precedence(update: MemberUpdate) -> tuple[Any, ...]:
    """Return the rank of a claim: of two claims about one member the higher wins.

    The order is total, so that every gateway gets the same result.
    """
    return (update.incarnation, update.refutation, update.state, update.host, update.port)
