"""What one gateway keeps of a zone between evaluations, and the view of a zone in one evaluation. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from switchline.zones.decision import ZoneDecision, ZoneState
from switchline.zones.evidence import PooledEvidence
from switchline.zones.reports import LocalObservation, ReceivedReport
from switchline.zones.returning import AnswerWatch, RampWatch


@dataclass(slots=True)
class ZoneProgress:
    """What this gateway keeps of one zone between evaluations. Times are seconds.

    Attributes:
        ramp: Of the zone's return.
        answers: Of the tests of the zone while it is left.
        version: Of the decision that holds; -1 before the first evaluation.
        version_at_s: When this gateway heard of it.
        failing_since_s: Since when the evidence is enough to leave the zone.
        left_since_s: Since when the zone is left.
        waiting_since_s: Since when the zone could return, but for the other zones of its region.
        write_at_s: When this gateway writes the decision that is due, unless another has.
    """

    ramp: RampWatch
    answers: AnswerWatch = field(default_factory=AnswerWatch)
    version: int = -1
    version_at_s: float = 0.0
    failing_since_s: float | None = None
    left_since_s: float | None = None
    waiting_since_s: float | None = None
    write_at_s: float | None = None

    def version_changed(self, version: int, state: ZoneState, now_s: float) -> None:
        """Begin anew what depends on the decision that holds."""
        self.version = version
        self.version_at_s = now_s
        self.write_at_s = None
        self.failing_since_s = None
        self.ramp.state_changed(state)
        if state != ZoneState.LEFT:
            self.left_since_s = None
            self.waiting_since_s = None
        elif self.left_since_s is None:
            self.left_since_s = now_s


@dataclass(frozen=True, slots=True)
class ZoneCase:
    """One zone in question, as it is evaluated.

    Attributes:
        zone: Its name.
        decision: The decision that holds.
        progress: What is kept of it.
        observation: What this gateway observes there.
        reports: All gateways' reports, without those that are too old for the decision that holds.
        ours: The pooled evidence of the own zone's gateways.
        alone: Whether no other gateway of the own zone is present.
    """

    zone: str
    decision: ZoneDecision
    progress: ZoneProgress
    observation: LocalObservation
    reports: Sequence[ReceivedReport]
    ours: PooledEvidence
    alone: bool
