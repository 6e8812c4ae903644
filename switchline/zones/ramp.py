"""The ramp by which traffic returns to a zone: its steps, and each gateway's share of the rate. Pure.

A ramp sends a rising share of the zone's capacity. Its decision holds a weight for each gateway's place; the
shares that follow from the weights of one version add up to at most 1, so that all gateways together send no
more than the ramp allows.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from switchline.zones.decision import MAX_PLACES, RAMP_STEPS, Directive, ZoneDecision, ZoneState

MAX_WEIGHT = 15  # weight of the gateway with the highest load; the others' are in proportion
ROUNDING_TOLERANCE = 1e-9  # a warm ratio that is exactly at a step counts as that step


class BackendRange(NamedTuple):
    """The range of a zone's backends that a gateway sends to: its start and width, each from 0 to 1.

    The backends are in the order of their numbers.
    """

    start: float
    width: float


def weights_by_load(loads_per_s: Mapping[int, float], places: int) -> str:
    """Return the gateways' weights in a ramp, in proportion to their loads.

    Args:
        loads_per_s: By place of the gateways that take part: requests per second.
        places: Number of places.

    Returns:
        A hexadecimal digit for each place; "" (even weights) without load, or with too many places.
    """
    largest = max(loads_per_s.values(), default=0.0)
    if places > MAX_PLACES or not largest:
        return ""
    digits = (
        max(1, math.floor(MAX_WEIGHT * loads_per_s[place] / largest)) if place in loads_per_s else 0
        for place in range(places)
    )
    return "".join(f"{digit:x}" for digit in digits)


def backend_range(weights: str, place: int, places: int) -> BackendRange:
    """Return the backend range of one place; all ranges are within 0 to 1 and never overlap.

    Args:
        weights: The weights of all places, as returned by `weights_by_load`; "" gives even ranges.
        place: The place of the gateway, from 0.
        places: Number of places.
    """
    if not weights:
        return BackendRange(min(place, places - 1) / max(1, places), 1 / max(1, places))
    digits = [int(digit, 16) for digit in weights]
    total = max(1, sum(digits))
    return BackendRange(sum(digits[:place]) / total, digits[place] / total if place < len(digits) else 0.0)


def capacity_ratio_at(step: int, cold_capacity_ratio: float) -> float:
    """Return the load of each backend at a step, as a ratio of a warm one's.

    At step 0 that is `cold_capacity_ratio`.
    """
    return cold_capacity_ratio + (1 - cold_capacity_ratio) * step / RAMP_STEPS


def step_for_warm_ratio(warm_ratio: float, cold_capacity_ratio: float) -> int:
    """Return the highest step, below the last one, whose load backends of this warm ratio bear."""
    step = math.floor(
        (warm_ratio - cold_capacity_ratio) / max(ROUNDING_TOLERANCE, 1 - cold_capacity_ratio) * RAMP_STEPS
        + ROUNDING_TOLERANCE
    )
    return max(0, min(RAMP_STEPS - 1, step))


def ramp_directive(
    decision: ZoneDecision,
    remaining: int,
    cold_capacity_ratio: float,
    backends: BackendRange,
    has_stalled: bool,
) -> Directive:
    """Return what one gateway may send into a zone that returns.

    Args:
        decision: The decision in force, in the state `returning`.
        remaining: Number of backends of the zones that are in use.
        cold_capacity_ratio: The capacity of a cold backend, as a ratio of a warm one's.
        backends: The gateway's range of the zone's backends.
        has_stalled: Whether this process was stopped a short time ago. It then sends nothing, as the
            decision that it knows may be outdated.

    Returns:
        The directive. The zone gets no more than its even share of all the load.
    """
    even_share = remaining / max(1, remaining + decision.backends)
    share = min(capacity_ratio_at(decision.step, cold_capacity_ratio), even_share)
    rate = 0.0 if has_stalled else share * decision.backend_rate_per_s * decision.backends * backends.width
    return Directive(ZoneState.RETURNING, rate, share, range_start=backends.start, range_width=backends.width)
