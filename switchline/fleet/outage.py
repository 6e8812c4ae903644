"""Whether the whole fleet lost power, judged by what its gateways publish of their own downtimes. Pure.

A process that begins after a crash publishes for a while how long its gateway was down, by its own clock on
both ends, so that clocks that differ do no harm. No gateway's own guess counts: it takes a majority of those
that are present.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

UNKNOWN_DOWNTIME = "?"  # published where the disk tells of no earlier process
DOWNTIME_PUBLISHED_S = 20.0  # since a process began: about a backend's slow start
OLD_DISK_S = 10.0  # down for so much longer than the others: more likely its disk holds an old copy
MAX_OUTAGE_S = 600.0  # after a longer downtime no backend is cold from it
MAX_DOWNTIME_CHARS = 12
LEAST_OTHERS = 2  # whose downtimes show that a disk is old


def decode_downtime(value: str | None) -> float | None:
    """Return the seconds that a gateway publishes as its downtime.

    Returns:
        The downtime; NaN where the gateway does not know it, or the value is spoilt; None where it publishes
        none.
    """
    if value is None:
        return None
    try:
        downtime_s = float(value) if len(value) <= MAX_DOWNTIME_CHARS else math.nan
    except ValueError:
        return math.nan
    return downtime_s if math.isfinite(downtime_s) and downtime_s >= 0 else math.nan


@dataclass(frozen=True, slots=True)
class OutageVerdict:
    """What this gateway makes of the downtimes.

    Attributes:
        is_common: Whether most of the fleet lost power.
        has_old_disk: Whether this gateway's disk holds an older state than the others'.
        restarted_gateways: Gateways that began lately, this one too.
        present_gateways: All that are present.
        median_downtime_s: The median downtime, if the outage was common; else 0.
    """

    is_common: bool
    has_old_disk: bool
    restarted_gateways: int
    present_gateways: int
    median_downtime_s: float


def judge_outage(own: float | None, others: Iterable[float | None]) -> OutageVerdict:
    """Judge whether the outage was common, and whether the own disk is old.

    It is common once most of those that are present began lately, at least two, and one of them knows of an
    earlier process: else a fleet starts for the first time. A gateway that is alone in this joins a fleet
    that was up.

    Args:
        own: This gateway's downtime, as `decode_downtime` gives it.
        others: Likewise of each other gateway that is present.
    """
    downtimes = list(others)
    restarted = [down_s for down_s in (own, *downtimes) if down_s is not None]
    known = [down_s for down_s in restarted if not math.isnan(down_s) and down_s <= MAX_OUTAGE_S]
    is_majority = len(restarted) >= 2 and 2 * len(restarted) > 1 + len(downtimes)
    common = own is not None and is_majority and bool(known)
    of_others = [down_s for down_s in downtimes if down_s is not None and not math.isnan(down_s)]
    comparable = own is not None and not math.isnan(own) and len(of_others) >= LEAST_OTHERS
    old = comparable and own is not None and own > median(of_others) + OLD_DISK_S
    return OutageVerdict(common, old, len(restarted), 1 + len(downtimes), median(known) if common else 0.0)
