"""Judges from the gateways' published downtimes whether the whole fleet lost power. Pure: no I/O, no clock.

A process that starts after a crash publishes for a while how long its gateway was down. Both ends of that
time are from its own clock, so differences between clocks do not matter. No single gateway's downtime
decides: it takes a majority of the present gateways.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

UNKNOWN_DOWNTIME = "?"  # published if the disk has no record of an earlier process
# A process publishes its downtime for so long after its start: about as long as a backend's slow start.
DOWNTIME_PUBLISHED_S = 20.0
# A downtime longer than the others' by more than this means that the disk more likely holds an old copy.
OLD_DISK_MARGIN_S = 10.0
MAX_OUTAGE_S = 600.0  # after a longer downtime backends are no longer cold because of it
MAX_DOWNTIME_CHARS = 12
MIN_OTHER_DOWNTIMES = 2  # other gateways' known downtimes that are needed to call a disk old


def decode_downtime(value: str | None) -> float | None:
    """Return the downtime that a gateway publishes.

    Returns:
        The downtime in seconds; NaN if the gateway does not know it or the value is invalid; None if it
        publishes none.
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
    """What the published downtimes show.

    Attributes:
        is_common: Whether most of the fleet lost power.
        has_old_disk: Whether this gateway's disk holds an older state than the others'.
        restarted_gateways: Number of present gateways that started lately, including this one if it did.
        present_gateways: Number of all present gateways, including this one.
        median_downtime_s: The median downtime in seconds if most of the fleet lost power; else 0.
    """

    is_common: bool
    has_old_disk: bool
    restarted_gateways: int
    present_gateways: int
    median_downtime_s: float


def judge_outage(own: float | None, others: Iterable[float | None]) -> OutageVerdict:
    """Judge whether most of the fleet lost power, and whether this gateway's disk is old.

    Most of the fleet lost power if more than half of the present gateways, at least two of them, started
    lately, and one of them knows a downtime of at most `MAX_OUTAGE_S`. If none knows one, the fleet starts
    for the first time. A gateway that alone started lately joins a fleet that kept running.

    Args:
        own: This gateway's downtime, as `decode_downtime` gives it.
        others: The downtime of each other present gateway, likewise.
    """
    downtimes = list(others)
    restarted = [down_s for down_s in (own, *downtimes) if down_s is not None]
    known = [down_s for down_s in restarted if not math.isnan(down_s) and down_s <= MAX_OUTAGE_S]
    is_majority = len(restarted) >= 2 and 2 * len(restarted) > 1 + len(downtimes)
    is_common = own is not None and is_majority and bool(known)
    known_others = [down_s for down_s in downtimes if down_s is not None and not math.isnan(down_s)]
    comparable = own is not None and not math.isnan(own) and len(known_others) >= MIN_OTHER_DOWNTIMES
    has_old_disk = comparable and own is not None and own > median(known_others) + OLD_DISK_MARGIN_S
    return OutageVerdict(
        is_common, has_old_disk, len(restarted), 1 + len(downtimes), median(known) if is_common else 0.0
    )
