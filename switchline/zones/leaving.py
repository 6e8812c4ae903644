"""The rules by which a zone that is in use is left. Pure.

`evidence_to_leave` returns the evidence if it suffices, and `is_panic` forbids leaving if too few backends
would remain. The evidence must hold for `CONFIRMATION_S`. `switchline.zones.agreement` applies these rules.
"""

from __future__ import annotations

from collections.abc import Collection

from switchline.zones.decision import MAX_FLAPS, MAX_REASON_CHARS, ZoneDecision, ZoneState
from switchline.zones.evidence import PooledEvidence, pool_reports
from switchline.zones.reports import ReceivedReport

LEAVE_FAILURE_RATIO = 0.7  # a zone is left if its pooled `failure_ratio` is at least this
MIN_LOST_OBSERVATION_RATIO = 0.5
MIN_OBSERVATIONS = 6  # minimum number of observations since the first counted loss
MIN_UNANIMOUS_OBSERVATIONS = 4  # replaces `MIN_OBSERVATIONS` if all observations are losses
# Number of distinct backends that must be lost to leave a zone, or answer to return to it. A zone with fewer
# usable backends needs fewer.
MIN_BACKENDS = 3
MIN_OBSERVERS = 2  # minimum number of the own zone's gateways, or of zones, that report losses
MIN_LOST_LEAVE_ONE_OUT = 2  # minimum of `PooledEvidence.lost_leave_one_out`
PANIC_REMAINING_RATIO = 0.3  # a zone is not left if fewer than this share of all backends would remain
# Seconds for which a zone must go on failing before it is left. Reports of answers have arrived by then.
CONFIRMATION_S = 0.12
FLAP_WINDOW_S = 60.0  # a zone left within this time after the last decision on it has flapped
MAX_NAMED_OBSERVERS = 3  # number of names in the reason of a decision


def is_failing(evidence: PooledEvidence, usable: int) -> bool:
    """Return whether pooled evidence is enough to call a zone failing.

    Args:
        evidence: What the observers that count report together.
        usable: Number of the zone's backends.
    """
    enough_backends = len(evidence.lost) >= max(2, min(MIN_BACKENDS, usable))
    several_observers = evidence.lost_leave_one_out >= MIN_LOST_LEAVE_ONE_OUT
    enough_observations = evidence.observation_count >= (
        MIN_OBSERVATIONS if evidence.lost_observation_ratio < 1 else MIN_UNANIMOUS_OBSERVATIONS
    )
    is_ratio_high = evidence.failure_ratio >= LEAVE_FAILURE_RATIO
    return (
        enough_backends
        and several_observers
        and enough_observations
        and is_ratio_high
        and evidence.lost_observation_ratio >= MIN_LOST_OBSERVATION_RATIO
    )


def evidence_to_leave(
    own_evidence: PooledEvidence, reports: Collection[ReceivedReport], usable: int, is_sole_observer: bool
) -> PooledEvidence | None:
    """Return the evidence on which a zone is to be left, if there is any.

    Backends that one zone's gateways cannot reach may answer another's, so the own zone's evidence is
    checked first: it suffices with two observers. The evidence of all zones together suffices if gateways of
    two zones report losses; backends that answered the own zone's gateways then do not count as lost.

    Args:
        own_evidence: The pooled evidence of the gateways of this gateway's zone.
        reports: All gateways' reports.
        usable: Number of the zone's backends.
        is_sole_observer: Whether no other gateway of the own zone is present.

    Returns:
        The evidence to leave on; None where the zone stays in use.
    """
    if (
        is_failing(own_evidence, usable)
        and len(own_evidence.loss_observers) >= MIN_OBSERVERS
        and not is_sole_observer
    ):
        return own_evidence
    fleet_evidence = pool_reports(reports, known_healthy=own_evidence.healthy)
    if is_failing(fleet_evidence, usable) and len(fleet_evidence.loss_zones) >= MIN_OBSERVERS:
        return fleet_evidence
    return None


def is_panic(remaining: int, total: int) -> bool:
    """Return whether too few backends would remain for a zone to be left.

    In that case the fault affects all zones, or the observers themselves are cut off.

    Args:
        remaining: Number of backends in the other zones that are in use.
        total: Number of backends in all zones.
    """
    return remaining < PANIC_REMAINING_RATIO * total


def leave_decision(evidence: PooledEvidence, flaps: int) -> ZoneDecision:
    """Return the decision to leave a zone.

    Args:
        evidence: The evidence that the reason is written from.
        flaps: How often the zone flapped; capped at `MAX_FLAPS`.
    """
    observers = ", ".join(sorted(evidence.loss_observers)[:MAX_NAMED_OBSERVERS])
    reason = (
        f"failing {evidence.failure_ratio:.2f}, {len(evidence.lost)} backends, "
        f"by {len(evidence.loss_observers)}: {observers}"
    )
    return ZoneDecision(ZoneState.LEFT, flaps=min(MAX_FLAPS, flaps), reason=reason[:MAX_REASON_CHARS])
