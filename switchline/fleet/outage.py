"""Whether the whole fleet lost power, judged by what its gateways tell of their own lives. Pure.

A process that begins after a death tells for a while how long its gateway was down, by its own clock on both
ends, so that clocks that differ say nothing wrong. Nobody's own guess counts: it takes most of those heard.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

UNKNOWN = "?"  # its disk tells of no earlier life
RISEN_S = 20.0  # since a process began: about a backend's slow start
OLD_S = 10.0  # down for so much longer than the others: more likely its disk holds an old copy
MOST_S = 600.0  # a longer downtime is no power loss that anyone's backends are still cold from
DIGITS = 12  # of a downtime as it is told


def read_down(value: str | None) -> float | None:
    """Seconds that a gateway tells it was down: NaN where it does not know, None where it tells nothing."""
    if value is None:
        return None
    try:
        down = float(value) if len(value) <= DIGITS else math.nan
    except ValueError:
        return math.nan  # unknown, or spoilt
    return down if math.isfinite(down) and down >= 0 else math.nan


@dataclass(frozen=True, slots=True)
class Verdict:
    """What this gateway makes of it: `common`, most lost power; `old`, its disk is behind theirs."""

    common: bool
    old: bool
    risen: int  # gateways that began lately, this one too
    heard: int  # all that are here
    down_s: float  # of the outage, if it was common


def judge(own: float | None, others: Iterable[float | None]) -> Verdict:
    """`own` and `others` as `read_down` gives them; others are those that are here.

    It is common once most of those here began lately, at least two, and one of them knows of an earlier life:
    else a fleet just starts for the first time. Who is alone in a running fleet joins it.
    """
    told = list(others)
    risen = [down for down in (own, *told) if down is not None]
    known = [down for down in risen if not math.isnan(down) and down <= MOST_S]
    common = own is not None and len(risen) >= 2 and 2 * len(risen) > 1 + len(told) and bool(known)
    usual = [down for down in told if down is not None and not math.isnan(down)]
    old = own is not None and not math.isnan(own) and len(usual) >= 2 and own > median(usual) + OLD_S
    return Verdict(common, old, len(risen), 1 + len(told), median(known) if common else 0.0)
