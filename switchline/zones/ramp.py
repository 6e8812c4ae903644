"""The ramp by which a zone is entered again: its steps, and each gateway's part of its rate. Pure.

A ramp asks a rising share of the zone's backends. Its decision holds each gateway's part by the gateway's
place; the parts of one version add up to one at most, so that all together send no more than the ramp allows.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from switchline.zones.decision import MAX_PLACES, RAMP_STEPS, Directive, ZoneDecision, ZoneState

MAX_PART_DIGIT = 15  # the part of the gateway with the largest load; others in proportion
ROUNDING = 1e-9  # so that a warmth just at a step counts as that step


class BackendRange(NamedTuple):
    """A gateway's range of a zone's backends, in the order of their numbers: from 0 to 1."""

    start: float
    width: float


def parts_by_load(loads: Mapping[int, float], places: int) -> str:
    """Return each gateway's part of a ramp by its load.

    Args:
        loads: By place of the gateways that take part: requests per second.
        places: Number of places.

    Returns:
        A hexadecimal digit for each place; "" (even parts) without load, or with too many places.
    """
    largest = max(loads.values(), default=0.0)
    if places > MAX_PLACES or not largest:
        return ""
    digits = (
        max(1, math.floor(MAX_PART_DIGIT * loads[place] / largest)) if place in loads else 0
        for place in range(places)
    )
    return "".join(f"{digit:x}" for digit in digits)


def backend_range(parts: str, place: int, places: int) -> BackendRange:
    """Return the range of one place; those of all places fill 0 to 1 at most, without overlap."""
    if not parts:
        return BackendRange(min(place, places - 1) / max(1, places), 1 / max(1, places))
    digits = [int(digit, 16) for digit in parts]
    total = max(1, sum(digits))
    return BackendRange(sum(digits[:place]) / total, digits[place] / total if place < len(digits) else 0.0)


def capacity_ratio_at(step: int, least: float) -> float:
    """Return what each backend is asked for at a step, as a ratio of a warm one; `least` at step 0."""
    return least + (1 - least) * step / RAMP_STEPS


def step_of(warmth: float, least: float) -> int:
    """Return the highest step below the last one that backends of such a warmth bear."""
    step = math.floor((warmth - least) / max(ROUNDING, 1 - least) * RAMP_STEPS + ROUNDING)
    return max(0, min(RAMP_STEPS - 1, step))


def ramp_directive(
    decision: ZoneDecision, remaining: int, least: float, backends: BackendRange, stalled: bool
) -> Directive:
    """Return what one gateway may send into a zone that returns.

    Args:
        decision: The decision that holds, in the state `returning`.
        remaining: Number of backends of the zones that are in use.
        least: What a cold backend bears, as a ratio of a warm one.
        backends: The gateway's range of the zone's backends.
        stalled: Whether this gateway stood still lately; it sends nothing, as its decision may be old.

    Returns:
        The directive. The zone is asked for no more than its even part of all the load.
    """
    even_share = remaining / max(1, remaining + decision.backends)
    share = min(capacity_ratio_at(decision.step, least), even_share)
    rate = 0.0 if stalled else share * decision.backend_rate * decision.backends * backends.width
    return Directive(ZoneState.RETURNING, rate, share, range_start=backends.start, range_width=backends.width)
