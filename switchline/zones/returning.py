"""The rules by which a zone that was left is probed and traffic returns to it. Pure.

`probe_interval_s` says how often the zone is probed and `AnswerWatch.has_recovered` when its ramp may begin.
`first_ramp_decision` returns the first decision of a ramp, and `RampWatch.next_step` each following one: a
step up, a step back, or to leave the zone again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from switchline.zones.decision import RAMP_STEPS, ZoneDecision, ZoneState
from switchline.zones.evidence import PooledEvidence
from switchline.zones.leaving import (
    LEAVE_FAILURE_RATIO,
    MIN_BACKENDS,
    MIN_OBSERVERS,
    is_failing,
    leave_decision,
)
from switchline.zones.ramp import step_for_warm_ratio, weights_by_load
from switchline.zones.reports import LocalObservation

RETURN_FAILURE_RATIO = 0.25  # a zone may return if its pooled `failure_ratio` is below this
# If some backends of a zone answer for so long, the zone returns even though the others stay lost.
STEADY_ANSWERS_S = 5.0
PROBES_PER_S = 1.0  # probes of a zone that is left, by all gateways together
ANSWERED_PROBES_FACTOR = 6.0  # multiplies `PROBES_PER_S` once a probe is answered
MIN_PROBE_INTERVAL_S = 0.5  # minimum time between two probes by one gateway
STEP_BACK_INTERVAL_S = 1.0  # minimum age of a decision before a step back
# Lowest load that a backend is assumed to serve; otherwise a ramp that begins without load would never end.
MIN_BACKEND_RATE_PER_S = 1.0
MAX_BACKEND_RATE_PER_S = 1e9
# Minimum time between two steps up whose load the backends bear already, as their age shows.
WARM_STEP_INTERVAL_S = 0.4


def probe_interval_s(members: int, answered: bool) -> float:
    """Return the seconds between two probes of a left zone by one gateway.

    Args:
        members: Number of gateways that share the probes.
        answered: Whether any probe was answered.
    """
    probes_per_s = PROBES_PER_S * (ANSWERED_PROBES_FACTOR if answered else 1.0)
    return max(MIN_PROBE_INTERVAL_S, members / probes_per_s)


@dataclass(slots=True)
class AnswerWatch:
    """Watches the answers to probes of a zone that is left.

    Attributes:
        steady_since_s: Time from which some of its backends have answered without a break; None if none have.
    """

    steady_since_s: float | None = None

    def has_recovered(
        self,
        own_evidence: PooledEvidence,
        fleet_evidence: PooledEvidence,
        usable: int,
        is_sole_observer: bool,
        now_s: float,
    ) -> bool:
        """Return whether a left zone may be entered again.

        There are three ways: enough distinct backends answer the probes of the own zone's gateways; enough
        answer those of all zones, and the own zone's gateways report no loss; or some go on answering for
        `STEADY_ANSWERS_S`. Two gateways must report answers, one of them of the own zone.

        Args:
            own_evidence: The pooled evidence of the own zone's gateways.
            fleet_evidence: The pooled evidence of all gateways.
            usable: Number of the zone's backends.
            is_sole_observer: Whether no other gateway of the own zone is present; then one observer suffices.
            now_s: Monotonic time in seconds.
        """
        observers = len(own_evidence.healthy_observers | fleet_evidence.healthy_observers)
        if not own_evidence.healthy or (observers < MIN_OBSERVERS and not is_sole_observer):
            self.steady_since_s = None
            return False
        min_backends = min(MIN_BACKENDS, max(1, usable))
        if own_evidence.failure_ratio < RETURN_FAILURE_RATIO and len(own_evidence.healthy) >= min_backends:
            return True
        is_healthy_elsewhere = (
            fleet_evidence.failure_ratio < RETURN_FAILURE_RATIO
            and len(fleet_evidence.healthy) >= min_backends
        )
        if not own_evidence.lost and is_healthy_elsewhere:
            return True
        if own_evidence.failure_ratio >= LEAVE_FAILURE_RATIO:
            self.steady_since_s = None
            return False
        if self.steady_since_s is None:
            self.steady_since_s = now_s
        return now_s - self.steady_since_s >= STEADY_ANSWERS_S


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How backends warm up, from the gateway's settings.

    Attributes:
        cold_capacity_ratio: Capacity of a cold backend, as a ratio of a warm one's (setting
            `start_capacity`).
        warm_up_s: Seconds until a cold backend is warm (setting `warm_within`).
    """

    cold_capacity_ratio: float
    warm_up_s: float


@dataclass(frozen=True, slots=True)
class RampBasis:
    """What the rate of a new ramp is computed from.

    Attributes:
        loads_per_s: Requests per second, by the places of the gateways that take part.
        places: Number of places.
        remaining: Number of backends in the zones in use, which serve all the load now.
    """

    loads_per_s: Mapping[int, float]
    places: int
    remaining: int


def first_ramp_decision(
    observation: LocalObservation,
    own_evidence: PooledEvidence,
    flaps: int,
    basis: RampBasis,
    slow_start: SlowStart,
) -> ZoneDecision:
    """Return the decision that begins a ramp.

    A backend of the zone is assumed to serve as much load as a backend of the other zones serves now. The
    ramp begins at the step that the backend started last bears, if its start is known and the zone did not
    flap; else at step 0.
    """
    total_load = sum(basis.loads_per_s.values())
    backend_rate_per_s = min(
        MAX_BACKEND_RATE_PER_S, max(MIN_BACKEND_RATE_PER_S, total_load / max(1, basis.remaining))
    )
    starts_by_warm_ratio = observation.warm_ratio < 1 and not flaps
    return ZoneDecision(
        ZoneState.RETURNING,
        step=step_for_warm_ratio(observation.warm_ratio, slow_start.cold_capacity_ratio)
        if starts_by_warm_ratio
        else 0,
        flaps=flaps,
        backend_rate_per_s=round(backend_rate_per_s, 3),
        backends=max(1, observation.usable - len(own_evidence.lost)),
        weights=weights_by_load(basis.loads_per_s, basis.places),
        reason=f"{len(own_evidence.healthy)} of its backends answer",
    )


@dataclass(frozen=True, slots=True)
class RampStep:
    """A due step of a ramp.

    Attributes:
        decision: The decision to write.
        urgent: Whether every gateway writes it at once; if not, each waits a random delay and the first one
            writes.
    """

    decision: ZoneDecision
    urgent: bool


@dataclass(slots=True)
class RampWatch:
    """Decides the steps of a ramp, and records which backends were lost during it.

    Attributes:
        slow_start: How backends warm up.
        step: The ramp's step at the last evaluation.
        lost: Backends that were lost during the ramp. Each causes at most one step back, and is no reason to
            leave the zone again soon after.
        follows_warm_up: Whether the start times of the zone's backends are known, so that the steps follow
            their warm-up.
    """

    slow_start: SlowStart
    step: int = 0
    lost: frozenset[str] = frozenset()
    follows_warm_up: bool = False

    def state_changed(self, state: ZoneState) -> None:
        """Reset what is valid for one ramp only, as the zone has entered this state."""
        if state != ZoneState.RETURNING:
            self.follows_warm_up = False
        if state == ZoneState.LEFT:
            self.step = 0
            self.lost = frozenset()

    def next_step(
        self,
        decision: ZoneDecision,
        age_s: float,
        observation: LocalObservation,
        own_evidence: PooledEvidence,
        is_sole_observer: bool,
    ) -> RampStep | None:
        """Return the due step, or None.

        Timely answers lead to a step up, failures to a step back, and slow answers or none to no step. If
        most of the zone's backends fail, the zone is left again.

        Args:
            decision: The decision in force.
            age_s: Seconds since this gateway received that decision.
            observation: What this gateway observes in the zone.
            own_evidence: The pooled evidence of the own zone's gateways.
            is_sole_observer: Whether no other gateway of the own zone is present; then one observer suffices.
        """
        confirmed = len(own_evidence.loss_observers) >= MIN_OBSERVERS or is_sole_observer
        self.follows_warm_up |= observation.warm_ratio < 1
        if (
            is_failing(own_evidence, observation.usable)
            and confirmed
            and 2 * len(own_evidence.lost) > observation.usable
        ):
            return RampStep(leave_decision(own_evidence, decision.flaps + 1), urgent=True)
        if decision.step < self.step:
            self.lost |= own_evidence.lost
        self.step = decision.step
        has_new_losses = (
            own_evidence.failure_ratio >= RETURN_FAILURE_RATIO and not own_evidence.lost <= self.lost
        )
        if has_new_losses:
            if confirmed and decision.step and age_s >= STEP_BACK_INTERVAL_S:
                return RampStep(_step_back(decision, own_evidence), urgent=True)
            return None
        slow = 2 * own_evidence.slow > len(own_evidence.healthy)
        if age_s < self.step_interval_s(decision, observation.warm_ratio) or not own_evidence.healthy or slow:
            return None
        return RampStep(_step_up(decision, observation, own_evidence), urgent=False)

    def step_interval_s(self, decision: ZoneDecision, warm_ratio: float) -> float:
        """Return the seconds between the decision in force and the next step up.

        Steps follow the warm-up of the backend that started last, if its start is known and the zone did not
        flap. Otherwise the ramp takes as long as a cold backend's warm-up; each flap doubles that.

        Args:
            decision: The decision in force.
            warm_ratio: Capacity of the backend that started last, as a ratio of a warm one's.
        """
        is_warm_enough = decision.step < step_for_warm_ratio(warm_ratio, self.slow_start.cold_capacity_ratio)
        if self.follows_warm_up and not decision.flaps and is_warm_enough:
            return WARM_STEP_INTERVAL_S
        return self.slow_start.warm_up_s * 2.0**decision.flaps / RAMP_STEPS


def _step_back(decision: ZoneDecision, own_evidence: PooledEvidence) -> ZoneDecision:
    reason = f"{len(own_evidence.lost)} backends fail"
    return msgspec.structs.replace(decision, step=decision.step - 1, reason=reason)


def _step_up(
    decision: ZoneDecision, observation: LocalObservation, own_evidence: PooledEvidence
) -> ZoneDecision:
    if decision.step + 1 >= RAMP_STEPS:
        return ZoneDecision(ZoneState.UP, flaps=decision.flaps, reason="the return is complete")
    backends = min(decision.backends, max(1, observation.usable - len(own_evidence.lost)))
    return msgspec.structs.replace(
        decision, step=decision.step + 1, backends=backends, reason="its backends answer in time"
    )
