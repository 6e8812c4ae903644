"""The rules by which a zone that was left is tested and entered again. Pure.

`probe_interval_s` says how often it is tested, `AnswerWatch.has_recovered` when its ramp may begin,
`first_ramp_decision` what it begins with, and `RampWatch.next_step` each step: up, back, or out again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from switchline.zones.decision import RAMP_STEPS, ZoneDecision, ZoneState
from switchline.zones.evidence import PooledEvidence
from switchline.zones.leaving import (
    LEAST_BACKENDS,
    LEAST_OBSERVERS,
    LEAVE_FAILURE_RATIO,
    is_failing,
    leave_decision,
)
from switchline.zones.ramp import parts_by_load, step_of
from switchline.zones.reports import LocalObservation

RETURN_FAILURE_RATIO = 0.25  # pooled evidence: under this a zone may return
STEADY_ANSWERS_S = 5.0  # a part of the zone answers for so long: it returns though the rest stays lost
PROBES_PER_S = 1.0  # tests of a left zone, by all gateways together
ANSWERED_PROBES_FACTOR = 6.0  # as many times more once one is answered
LEAST_PROBE_INTERVAL_S = 0.5  # of one gateway
STEP_BACK_GAP_S = 1.0  # between two steps back
LEAST_BACKEND_RATE = 1.0  # requests per second that any backend bears: without load a ramp would never end
MAX_BACKEND_RATE = 1e9
WARM_STEP_GAP_S = 0.4  # between two steps up that the backends' age shows them to bear already


def probe_interval_s(members: int, answered: bool) -> float:
    """Return the seconds between two tests of a left zone by one gateway.

    Args:
        members: Number of gateways that share the tests.
        answered: Whether any test was answered.
    """
    probes_per_s = PROBES_PER_S * (ANSWERED_PROBES_FACTOR if answered else 1.0)
    return max(LEAST_PROBE_INTERVAL_S, members / probes_per_s)


@dataclass(slots=True)
class AnswerWatch:
    """Since when a part of a left zone has answered without a break."""

    steady_since_s: float | None = None

    def has_recovered(
        self, ours: PooledEvidence, common: PooledEvidence, usable: int, alone: bool, now_s: float
    ) -> bool:
        """Return whether a left zone may be entered again.

        It may where enough distinct backends answer the own zone's tests, or those of all zones with no loss
        in the own zone; or where a part of it goes on answering for `STEADY_ANSWERS_S`. Two gateways must
        report answers, one of them of the own zone.

        Args:
            ours: The pooled evidence of the own zone's gateways.
            common: The pooled evidence of all gateways.
            usable: Number of the zone's backends.
            alone: Whether no other gateway of the own zone is present; then one observer suffices.
            now_s: The time.
        """
        observers = len(ours.healthy_observers | common.healthy_observers)
        if not ours.healthy or (observers < LEAST_OBSERVERS and not alone):
            self.steady_since_s = None
            return False
        enough = min(LEAST_BACKENDS, max(1, usable))
        if ours.failure_ratio < RETURN_FAILURE_RATIO and len(ours.healthy) >= enough:
            return True
        well_elsewhere = common.failure_ratio < RETURN_FAILURE_RATIO and len(common.healthy) >= enough
        if not ours.lost and well_elsewhere:
            return True
        if ours.failure_ratio >= LEAVE_FAILURE_RATIO:
            self.steady_since_s = None
            return False
        if self.steady_since_s is None:
            self.steady_since_s = now_s
        return now_s - self.steady_since_s >= STEADY_ANSWERS_S


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How backends warm up, by the gateway's settings.

    Attributes:
        least: What a cold backend bears, as a ratio of a warm one (`start_capacity`).
        warm_s: Seconds until it is warm (`warm_within`).
    """

    least: float
    warm_s: float


@dataclass(frozen=True, slots=True)
class RampBasis:
    """What the rate of a new ramp is reckoned from.

    Attributes:
        loads: By place of the gateways that take part: requests per second.
        places: Number of places.
        remaining: Number of backends of the zones that are in use, which carry the load now.
    """

    loads: Mapping[int, float]
    places: int
    remaining: int


def first_ramp_decision(
    observation: LocalObservation, ours: PooledEvidence, flaps: int, basis: RampBasis, slow_start: SlowStart
) -> ZoneDecision:
    """Return the decision that begins a ramp.

    A backend of the zone is taken to bear what a backend of the other zones bears now. The ramp begins at
    the step that the youngest backend bears, where its start is known and the zone did not flap.
    """
    total_load = sum(basis.loads.values())
    backend_rate = min(MAX_BACKEND_RATE, max(LEAST_BACKEND_RATE, total_load / max(1, basis.remaining)))
    follows_warmth = observation.warmth < 1 and not flaps
    return ZoneDecision(
        ZoneState.RETURNING,
        step=step_of(observation.warmth, slow_start.least) if follows_warmth else 0,
        flaps=flaps,
        backend_rate=round(backend_rate, 3),
        backends=max(1, observation.usable - len(ours.lost)),
        parts=parts_by_load(basis.loads, basis.places),
        reason=f"{len(ours.healthy)} of its backends answer",
    )


@dataclass(frozen=True, slots=True)
class RampStep:
    """A step of the ramp that is due.

    Attributes:
        decision: The decision to write.
        urgent: Whether each gateway writes it at once; else one does, after a random delay.
    """

    decision: ZoneDecision
    urgent: bool


@dataclass(slots=True)
class RampWatch:
    """Decides the steps of a ramp, and remembers what was lost on it.

    Attributes:
        slow_start: How backends warm up.
        step: The step at which it was looked at last.
        lost: Backends that were lost on the ramp: each one takes a step back once, and is no reason to leave
            the zone again soon after.
        tracks_warmth: Whether the starts of the zone's backends are known, so that steps follow their age.
    """

    slow_start: SlowStart
    step: int = 0
    lost: frozenset[str] = frozenset()
    tracks_warmth: bool = False

    def state_changed(self, state: ZoneState) -> None:
        """Forget what does not outlast the ramp, as the zone has got this state."""
        if state != ZoneState.RETURNING:
            self.tracks_warmth = False
        if state == ZoneState.LEFT:
            self.step = 0
            self.lost = frozenset()

    def next_step(
        self,
        decision: ZoneDecision,
        age_s: float,
        observation: LocalObservation,
        ours: PooledEvidence,
        alone: bool,
    ) -> RampStep | None:
        """Return the step that is due: up on good answers, none on slow ones or silence, back on failures.

        Where most of the zone fails, it is left again.

        Args:
            decision: The decision that holds.
            age_s: Seconds since this gateway heard of it.
            observation: What this gateway observes in the zone.
            ours: The pooled evidence of the own zone's gateways.
            alone: Whether no other gateway of the own zone is present; then one observer suffices.
        """
        confirmed = len(ours.loss_observers) >= LEAST_OBSERVERS or alone
        self.tracks_warmth |= observation.warmth < 1
        if is_failing(ours, observation.usable) and confirmed and 2 * len(ours.lost) > observation.usable:
            return RampStep(leave_decision(ours, decision.flaps + 1), urgent=True)
        if decision.step < self.step:
            self.lost |= ours.lost
        self.step = decision.step
        fails_anew = ours.failure_ratio >= RETURN_FAILURE_RATIO and not ours.lost <= self.lost
        if fails_anew:
            if confirmed and decision.step and age_s >= STEP_BACK_GAP_S:
                return RampStep(_step_back(decision, ours), urgent=True)
            return None
        slow = 2 * ours.slow > len(ours.healthy)
        if age_s < self.step_gap_s(decision, observation.warmth) or not ours.healthy or slow:
            return None
        return RampStep(_step_up(decision, observation, ours), urgent=False)

    def step_gap_s(self, decision: ZoneDecision, warmth: float) -> float:
        """Return the seconds between the decision that holds and the next step up.

        Steps follow the warmth of the youngest backend where it is known and the zone did not flap; else the
        ramp takes as long as a cold backend does to get warm, and twice as long for each flap.

        Args:
            decision: The decision that holds.
            warmth: What the youngest backend bears, as a ratio of a warm one.
        """
        warm_enough = decision.step < step_of(warmth, self.slow_start.least)
        if self.tracks_warmth and not decision.flaps and warm_enough:
            return WARM_STEP_GAP_S
        return self.slow_start.warm_s * 2.0**decision.flaps / RAMP_STEPS


def _step_back(decision: ZoneDecision, ours: PooledEvidence) -> ZoneDecision:
    reason = f"{len(ours.lost)} backends fail"
    return msgspec.structs.replace(decision, step=decision.step - 1, reason=reason)


def _step_up(decision: ZoneDecision, observation: LocalObservation, ours: PooledEvidence) -> ZoneDecision:
    if decision.step + 1 >= RAMP_STEPS:
        return ZoneDecision(ZoneState.UP, flaps=decision.flaps, reason="the return is complete")
    backends = min(decision.backends, max(1, observation.usable - len(ours.lost)))
    return msgspec.structs.replace(
        decision, step=decision.step + 1, backends=backends, reason="its backends answer in time"
    )
