"""The order of the changes that operators make to one override, at any gateway of a fleet.

The time of a change is its version: a new change gets a time after all that its gateway knows, whatever the
clocks of the gateways say, and every gateway keeps the latest one. Decisions only: no clock and no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

STEP_MS = 1.0  # between a change and the one that it replaces


class OverrideChange(NamedTuple):
    """The last change of an override by operators.

    Attributes:
        active: whether the override was set; False if it was cleared.
        at_ms: time of the change, in Unix milliseconds; its version.
    """

    active: bool
    at_ms: float


def next_change_ms(current_ms: float, known_ms: Iterable[float]) -> float:
    """Return the time of a new change, which is later than the known ones (all in Unix milliseconds)."""
    return max(current_ms, *(at_ms + STEP_MS for at_ms in known_ms))


def supersedes(change: OverrideChange, known: OverrideChange | None) -> bool:
    """Whether a change replaces the one that is known here.

    The later one wins. Of two at the same time the one that clears the override wins, as it does in gossip.
    """
    if known is None or change.at_ms != known.at_ms:
        return known is None or change.at_ms > known.at_ms
    return known.active and not change.active
