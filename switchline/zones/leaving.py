"""The rules by which a zone that is in use is left. Pure.

`evidence_to_leave` says whether the evidence suffices; `is_panic` forbids it where too little would remain;
the evidence must hold for `CONFIRMATION_S`. `switchline.zones.agreement` applies them.
"""

from __future__ import annotations

from collections.abc import Collection

from switchline.zones.decision import MAX_FLAPS, MAX_REASON_CHARS, ZoneDecision, ZoneState
from switchline.zones.evidence import PooledEvidence, pool_reports
from switchline.zones.reports import ReceivedReport

LEAVE_FAILURE_RATIO = 0.7  # pooled evidence: from here on a zone is left
LEAST_LOST_VOTE_RATIO = 0.5
LEAST_VOTES = 6  # observations since the losses began
LEAST_UNANIMOUS_VOTES = 4  # where all of them are losses
LEAST_BACKENDS = 3  # distinct ones that must be lost, or well again, in a zone that has so many
LEAST_OBSERVERS = 2  # gateways of one zone, or zones
LEAST_LOST_WITHOUT_ONE = 2  # backends lost whichever gateway's report is left out
PANIC_REMAINING_RATIO = 0.3  # of all backends: nothing is left where fewer would remain
CONFIRMATION_S = 0.12  # that a zone must go on failing: reports of answers have arrived by then
FLAP_WINDOW_S = 60.0  # left again so soon after a decision counts as a flap
NAMED_OBSERVERS = 3  # in a reason


def is_failing(evidence: PooledEvidence, usable: int) -> bool:
    """Return whether pooled evidence is enough to call a zone failing.

    Args:
        evidence: What the observers that count report together.
        usable: Number of the zone's backends.
    """
    backends = len(evidence.lost) >= max(2, min(LEAST_BACKENDS, usable))
    several_observers = evidence.lost_without_one >= LEAST_LOST_WITHOUT_ONE
    votes = evidence.votes >= (LEAST_VOTES if evidence.lost_vote_ratio < 1 else LEAST_UNANIMOUS_VOTES)
    ratio = evidence.failure_ratio >= LEAVE_FAILURE_RATIO
    return (
        backends
        and several_observers
        and votes
        and ratio
        and evidence.lost_vote_ratio >= LEAST_LOST_VOTE_RATIO
    )


def evidence_to_leave(
    ours: PooledEvidence, reports: Collection[ReceivedReport], usable: int, alone: bool
) -> PooledEvidence | None:
    """Return the evidence on which a zone is to be left, if there is any.

    Backends lost by the gateways of one zone may be well from another, so the observers' own zone goes
    first: its evidence suffices with two observers. The evidence of all zones together suffices where two
    zones report losses; what the own zone's gateways had answers from does not count as lost then.

    Args:
        ours: The pooled evidence of the own zone's gateways.
        reports: All gateways' reports.
        usable: Number of the zone's backends.
        alone: Whether no other gateway of the own zone is present.

    Returns:
        The evidence to leave on; None where the zone stays in use.
    """
    if is_failing(ours, usable) and len(ours.loss_observers) >= LEAST_OBSERVERS and not alone:
        return ours
    common = pool_reports(reports, vetoed=ours.healthy)
    if is_failing(common, usable) and len(common.loss_zones) >= LEAST_OBSERVERS:
        return common
    return None


def is_panic(remaining: int, total: int) -> bool:
    """Return whether too few backends would remain for a zone to be left.

    The fault is then common to all zones, or the observers themselves are cut off.

    Args:
        remaining: Number of backends in the other zones that are in use.
        total: Number of backends in all zones.
    """
    return remaining < PANIC_REMAINING_RATIO * total


def leave_decision(evidence: PooledEvidence, flaps: int) -> ZoneDecision:
    """Return the decision to leave a zone, on this evidence, with this number of flaps (capped)."""
    by = ", ".join(sorted(evidence.loss_observers)[:NAMED_OBSERVERS])
    reason = (
        f"failing {evidence.failure_ratio:.2f}, {len(evidence.lost)} backends, "
        f"by {len(evidence.loss_observers)}: {by}"
    )
    return ZoneDecision(ZoneState.LEFT, flaps=min(MAX_FLAPS, flaps), reason=reason[:MAX_REASON_CHARS])
