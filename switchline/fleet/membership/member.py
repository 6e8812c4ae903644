"""One member as it is known, and the order of the claims about it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from switchline.fleet.messages import Incarnation, MemberState, MemberUpdate

Address = tuple[str, int]


class MemberEvent(StrEnum):
    """What is counted of members, by the names that operators see."""

    SUSPECTED = "suspected"
    DIED = "died"
    LEFT = "left"
    JOINED = "joined"
    REFUTED = "refuted"  # a suspicion of this member, by itself


@dataclass(slots=True)
class Member:
    """One other member as it is known here. Times are seconds.

    Attributes:
        update: The claim that holds.
        since: When it came to hold.
        heard: When the last message of the member itself came.
        suspecters: Who suspects it.
        dead_at: When it is declared dead, unless it refutes the suspicion.
        rechecked: Whether it was probed once more before that.
    """

    update: MemberUpdate
    state_changed_at_s: float
    last_heard_s: float
    suspecters: frozenset[str] = frozenset()
    dead_at_s: float = math.inf
    rechecked: bool = False

    @property
    def state(self) -> MemberState:
        """The state that holds."""
        return self.update.state

    @property
    def address(self) -> Address:
        """Where the member is reached."""
        return self.update.host, self.update.port

    @property
    def is_present(self) -> bool:
        """Whether it is alive, or only suspected."""
        return self.update.state in (MemberState.ALIVE, MemberState.SUSPECT)


def alive_claim(name: str, incarnation: Incarnation, address: Address) -> MemberUpdate:
    """Return a member's first claim about itself: that it is alive at this address."""
    return MemberUpdate(name, incarnation, 0, MemberState.ALIVE, *address)


def precedence(update: MemberUpdate) -> tuple[Any, ...]:
    """Return the rank of a claim: of two about one member the higher holds.

    The order is total, so that the merge is the same everywhere.
    """
    return (update.incarnation, update.refutation, update.state, update.host, update.port)
