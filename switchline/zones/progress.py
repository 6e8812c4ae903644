"""The state of a zone that one gateway keeps between evaluations, and the inputs of one evaluation. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from switchline.zones.decision import ZoneDecision, ZoneState
from switchline.zones.evidence import PooledEvidence
from switchline.zones.reports import LocalObservation, ReceivedReport
from switchline.zones.returning import AnswerWatch, RampWatch


@dataclass(slots=True)
class ZoneProgress:
    """The state of one zone that this gateway keeps between evaluations. Times are monotonic, in seconds.

    Attributes:
        ramp: Decides the steps of the zone's return.
        answers: Watches the answers to probes of the zone while it is left.
        version: Version of the decision in force; 0 without a decision, -1 before the first evaluation.
        version_received_at_s: When this gateway received that decision.
        failing_since_s: Time from which the evidence has sufficed to leave the zone; None while it does not.
        left_since_s: Time at which the zone was left; None while it is in use.
        waiting_since_s: Time from which the zone could return but has waited for other zones of its region;
            None while it does not wait.
        write_due_at_s: When this gateway writes the due decision, unless another has written it before.
    """

    ramp: RampWatch
    answers: AnswerWatch = field(default_factory=AnswerWatch)
    version: int = -1
    version_received_at_s: float = 0.0
    failing_since_s: float | None = None
    left_since_s: float | None = None
    waiting_since_s: float | None = None
    write_due_at_s: float | None = None

    def version_changed(self, version: int, state: ZoneState, now_s: float) -> None:
        """Reset the state that depends on the decision, as another version of it holds now."""
        self.version = version
        self.version_received_at_s = now_s
        self.write_due_at_s = None
        self.failing_since_s = None
        self.ramp.state_changed(state)
        if state != ZoneState.LEFT:
            self.left_since_s = None
            self.waiting_since_s = None
        elif self.left_since_s is None:
            self.left_since_s = now_s


@dataclass(frozen=True, slots=True)
class ZoneCase:
    """The inputs of one evaluation of one zone in question.

    Attributes:
        zone: The zone's name.
        decision: The decision in force.
        progress: The zone's state between evaluations.
        observation: What this gateway observes there.
        reports: All gateways' reports. While the zone is not in use, losses older than `MAX_LOSS_AGE_S` are
            left out.
        own_evidence: The pooled evidence of the gateways of this gateway's zone.
        is_sole_observer: Whether no other gateway of the own zone is present.
    """

    zone: str
    decision: ZoneDecision
    progress: ZoneProgress
    observation: LocalObservation
    reports: Sequence[ReceivedReport]
    own_evidence: PooledEvidence
    is_sole_observer: bool
