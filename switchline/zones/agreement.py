"""One gateway's part in the fleet's decisions on zones. Pure: it takes facts and the time, and does no I/O.

`ZoneAgreement.evaluate` publishes what this gateway observed, writes the decisions that are due, and returns
the directives to follow. The rules themselves are in `leaving` and `returning`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.zones.capacity import loads_by_place, remaining_backends
from switchline.zones.decision import (
    RAMP_STEPS,
    Directive,
    ZoneDecision,
    ZoneState,
    decision_name,
    decision_on,
    encode_decision,
    version_on,
)
from switchline.zones.evidence import pool_reports
from switchline.zones.leaving import (
    CONFIRMATION_S,
    FLAP_WINDOW_S,
    evidence_to_leave,
    is_panic,
    leave_decision,
)
from switchline.zones.progress import ZoneCase, ZoneProgress
from switchline.zones.publisher import PUBLISH_INTERVAL_S, Evaluation, ReportPublisher
from switchline.zones.ramp import backend_range, ramp_directive
from switchline.zones.reports import LocalObservation, ReceivedReport
from switchline.zones.returning import (
    RampBasis,
    RampWatch,
    SlowStart,
    first_ramp_decision,
    probe_interval_s,
)

# Older losses in a zone that is not in use do not count against its return.
MAX_LOSS_AGE_S = 4.0
# Maximum random delay before a decision that is not urgent is written, so that few gateways write it.
MAX_DECISION_JITTER_S = 0.3
MIN_STALL_S = 1.0  # a longer time between two evaluations means that the process was stopped
STALL_RECOVERY_S = 0.6  # time after a stall until the other gateways' facts have arrived
FOLLOWED_PUBLISHED_S = 60.0  # how long a gateway publishes that it follows a decision that a zone is up


class ZoneAgreement:
    """Owns one gateway's part in what the fleet decides on zones."""

    def __init__(self, zone: str, place: int, places: int, slow_start: SlowStart, rng: random.Random) -> None:
        """Begin without any decision.

        Args:
            zone: The zone that this gateway runs in.
            place: This gateway's place among all gateways, from 0.
            places: Number of places of gateways.
            slow_start: How backends warm up.
            rng: Source of the random delays of decisions.
        """
        self.zone = zone
        self.place = place
        self.places = places
        self.slow_start = slow_start
        self.rng = rng
        self.publisher = ReportPublisher(zone)
        self.progress: dict[str, ZoneProgress] = {}
        self.regions: Mapping[str, str] = {}  # each zone's region, by zone
        self.directives: dict[str, Directive] = {}
        # Whether no zone is in question, or at least one zone in question is still in use.
        self.undecided = True
        self._evaluated_at_s = -math.inf
        self._resumed_at_s = -math.inf

    def is_urgent(self, kind: str) -> bool:
        """Return whether a new fact of this kind needs an early evaluation."""
        return kind == FactKind.ZONE_DECISION or (kind == FactKind.ZONE_REPORT and self.undecided)

    def decision(self, facts: Facts, zone: str) -> ZoneDecision:
        """Return the decision on a zone that is in force for the gateways of this gateway's zone."""
        return decision_on(facts, self.zone, zone)

    def version(self, facts: Facts, zone: str) -> int:
        """Return the version of the decision that `decision` returns; 0 if there is none."""
        return version_on(facts, self.zone, zone)

    def evaluate(
        self,
        endpoint: ProtocolEndpoint,
        now_s: float,
        wall_ms: float,
        observations: Mapping[str, LocalObservation],
        load_per_s: float,
    ) -> dict[str, Directive]:
        """Publish this gateway's observations, write the due decisions, and return the directives.

        Args:
            endpoint: The gateway's protocol endpoint in the fleet.
            now_s: Monotonic time in seconds.
            wall_ms: Wall time in milliseconds.
            observations: What the gateway observes, by the zones that its endpoint list names.
            load_per_s: Attempts per second that the gateway makes.

        Returns:
            The directives by zone. For a zone without one, the gateway follows its own evidence.
        """
        evaluation = Evaluation(endpoint, now_s, wall_ms, observations)
        self._detect_stall(now_s)
        self._drop_unlisted_zones(evaluation)
        for zone in observations:
            self._track(evaluation.facts, zone, now_s)
        reports = self._exchange_reports(evaluation)
        self.publisher.publish_load(evaluation, load_per_s)
        self._decide_all(evaluation, reports)
        questioned_zones = self.publisher.questioned_zones
        self.undecided = not questioned_zones or any(
            self.decision(evaluation.facts, zone).state == ZoneState.UP for zone in questioned_zones
        )
        self.directives = {}
        for zone in observations:
            directive = self._directive(evaluation, zone, reports[zone])
            if directive is not None:
                self.directives[zone] = directive
        return self.directives

    def _exchange_reports(self, evaluation: Evaluation) -> dict[str, list[ReceivedReport]]:
        """Publish this gateway's reports; return all gateways' reports by zone."""
        left_since_s = {
            zone: progress.left_since_s
            for zone, progress in self.progress.items()
            if progress.left_since_s is not None
        }
        reports = self.publisher.collect(evaluation, left_since_s)
        self.publisher.update_questioned_zones(evaluation, reports)
        if self.publisher.publish(evaluation, reports, left_since_s):
            evaluation.endpoint.gossip_now()
        return reports

    # State between evaluations.

    def _detect_stall(self, now_s: float) -> None:
        """Record when the process resumed after a stall.

        The decision that it knows may then be outdated, so it sends nothing into a ramp for
        `STALL_RECOVERY_S`.
        """
        if now_s - self._evaluated_at_s > MIN_STALL_S:
            self._resumed_at_s = now_s
        self._evaluated_at_s = now_s

    def _drop_unlisted_zones(self, evaluation: Evaluation) -> None:
        """Drop zones that the endpoint list no longer names."""
        for zone in sorted(self.progress.keys() - evaluation.observations.keys()):
            del self.progress[zone]
            evaluation.facts.publish_if_allowed(evaluation.wall_ms, FactKind.ZONE_FOLLOWED, zone, None)

    def _track(self, facts: Facts, zone: str, now_s: float) -> ZoneProgress:
        """Return the progress of a zone, updated to the decision in force."""
        progress = self.progress.get(zone)
        if progress is None:
            progress = self.progress[zone] = ZoneProgress(RampWatch(self.slow_start))
        version = self.version(facts, zone)
        if progress.version != version:
            progress.version_changed(version, self.decision(facts, zone).state, now_s)
        return progress

    # Decisions.

    def _decide_all(self, evaluation: Evaluation, reports: Mapping[str, list[ReceivedReport]]) -> None:
        """Write the due decisions.

        A gateway in a minority, or whose name another process has taken, writes none.
        """
        members = evaluation.endpoint.members
        if members.minority or members.superseded:
            return
        for zone in sorted(self.publisher.questioned_zones):
            if zone not in evaluation.observations:
                continue
            case = self._case(evaluation, zone, reports[zone])
            match case.decision.state:
                case ZoneState.UP:
                    self._decide_leaving(evaluation, case)
                case ZoneState.LEFT:
                    self._decide_return(evaluation, case)
                case ZoneState.RETURNING:
                    self._decide_ramp_step(evaluation, case)

    def _case(self, evaluation: Evaluation, zone: str, reports: Sequence[ReceivedReport]) -> ZoneCase:
        facts = evaluation.facts
        decision = self.decision(facts, zone)
        progress = self._track(facts, zone, evaluation.now_s)
        if decision.state != ZoneState.UP:
            oldest_loss_s = evaluation.now_s - MAX_LOSS_AGE_S
            reports = [report.without_losses_before(oldest_loss_s) for report in reports]
        present = evaluation.endpoint.members.present
        return ZoneCase(
            zone=zone,
            decision=decision,
            progress=progress,
            observation=evaluation.observations[zone],
            reports=reports,
            own_evidence=pool_reports(report for report in reports if report.observer_zone == self.zone),
            is_sole_observer=not any(facts.value(FactKind.ZONE, "", name) == self.zone for name in present),
        )

    def _decide_leaving(self, evaluation: Evaluation, case: ZoneCase) -> None:
        """Leave a zone once the evidence has held for `CONFIRMATION_S`.

        Backends lost during its last ramp are no reason to leave it again within `FLAP_WINDOW_S`.
        """
        now_s = evaluation.now_s
        progress = case.progress
        recent = now_s - progress.version_received_at_s < FLAP_WINDOW_S
        excused = progress.ramp.lost if recent else frozenset[str]()
        evidence = evidence_to_leave(
            case.own_evidence, case.reports, case.observation.usable, case.is_sole_observer
        )
        remaining = remaining_backends(evaluation.facts, self.zone, case.zone, evaluation.observations)
        total = sum(observation.usable for observation in evaluation.observations.values())
        if evidence is None or evidence.lost <= excused or is_panic(remaining, total):
            progress.failing_since_s = None
            return
        if progress.failing_since_s is None:
            progress.failing_since_s = now_s
        if now_s - progress.failing_since_s >= CONFIRMATION_S:
            flapped = recent and progress.version > 0
            flaps = case.decision.flaps + 1 if flapped else 0
            self._write(evaluation, case.zone, leave_decision(evidence, flaps))

    def _decide_return(self, evaluation: Evaluation, case: ZoneCase) -> None:
        """Begin the ramp of a zone whose probes are answered, once it is the zone's turn in its region."""
        progress = case.progress
        fleet_evidence = pool_reports(case.reports)
        usable = case.observation.usable
        if not progress.answers.has_recovered(
            case.own_evidence, fleet_evidence, usable, case.is_sole_observer, evaluation.now_s
        ):
            progress.write_due_at_s = None
            progress.waiting_since_s = None
            return
        if self._waits_for_region(evaluation.facts, case.zone, evaluation.now_s):
            return
        if self._is_own_turn(progress, evaluation.now_s):
            basis = RampBasis(
                loads_by_place(evaluation.endpoint, self.zone, self.place, self.places, evaluation.now_s),
                self.places,
                remaining_backends(evaluation.facts, self.zone, case.zone, evaluation.observations),
            )
            decision = first_ramp_decision(
                case.observation, case.own_evidence, case.decision.flaps, basis, self.slow_start
            )
            self._write(evaluation, case.zone, decision)

    def _decide_ramp_step(self, evaluation: Evaluation, case: ZoneCase) -> None:
        """Write the step of a ramp that is due."""
        age_s = evaluation.now_s - case.progress.version_received_at_s
        step = case.progress.ramp.next_step(
            case.decision, age_s, case.observation, case.own_evidence, case.is_sole_observer
        )
        if step is not None and (step.urgent or self._is_own_turn(case.progress, evaluation.now_s)):
            self._write(evaluation, case.zone, step.decision)

    def _waits_for_region(self, facts: Facts, zone: str, now_s: float) -> bool:
        """Return whether another zone of the region returns first, as zones return one after another.

        That is a zone in the first half of its ramp, or one with an earlier name that is about to begin. The
        wait is limited to a cold backend's warm-up time, as the other zone's return may stop.
        """
        region = self.regions.get(zone)
        other_first = False
        for other in (
            name for name, its_region in self.regions.items() if its_region == region and name != zone
        ):
            decision = self.decision(facts, other)
            other_progress = self.progress.get(other)
            is_waiting = other_progress is not None and other_progress.waiting_since_s is not None
            begins = decision.state == ZoneState.LEFT and other < zone and is_waiting
            ramps = decision.state == ZoneState.RETURNING and decision.step < RAMP_STEPS // 2
            other_first |= begins or ramps
        progress = self.progress[zone]
        if progress.waiting_since_s is None:
            progress.waiting_since_s = now_s
        return now_s - progress.waiting_since_s < self.slow_start.warm_up_s and other_first

    def _is_own_turn(self, progress: ZoneProgress, now_s: float) -> bool:
        """Return whether this gateway's random delay before it writes a decision is over.

        All gateways would write the same decision; the random delays make few of them do so.
        """
        # A number is drawn at each call, as replays of a seed depend on the number of draws.
        write_due_at_s = now_s + self.rng.uniform(0, MAX_DECISION_JITTER_S)
        if progress.write_due_at_s is None:
            progress.write_due_at_s = write_due_at_s
        return now_s >= progress.write_due_at_s

    def _write(self, evaluation: Evaluation, zone: str, decision: ZoneDecision) -> None:
        """Write the next version of the decision on a zone, and gossip it at once."""
        name = decision_name(self.zone, zone)
        value = encode_decision(decision)
        if value is None:
            return
        if (
            evaluation.facts.publish_decision(evaluation.wall_ms, FactKind.ZONE_DECISION, name, value)
            is not None
        ):
            evaluation.endpoint.gossip_now()
            self.progress[zone].write_due_at_s = None

    # Directives.

    def _directive(
        self, evaluation: Evaluation, zone: str, reports: Sequence[ReceivedReport]
    ) -> Directive | None:
        """Return the policy's directive for a zone, and publish which decision this gateway follows.

        Returns:
            The directive; None if there is no decision, or if this gateway is in a minority and must follow
            its own evidence.
        """
        facts = evaluation.facts
        members = evaluation.endpoint.members
        decision = self.decision(facts, zone)
        progress = self._track(facts, zone, evaluation.now_s)
        if not progress.version:
            return None
        age_s = evaluation.now_s - progress.version_received_at_s
        is_followed = decision.state != ZoneState.UP or age_s < FOLLOWED_PUBLISHED_S
        followed = f"{progress.version} {decision.state}" if is_followed else None
        facts.publish_if_allowed(evaluation.wall_ms, FactKind.ZONE_FOLLOWED, zone, followed)
        match decision.state:
            case ZoneState.UP:
                progress.answers.steady_since_s = None
                return Directive(ZoneState.UP)
            case ZoneState.RETURNING:
                backends = backend_range(decision.weights, self.place, self.places)
                remaining = remaining_backends(facts, self.zone, zone, evaluation.observations)
                has_stalled = evaluation.now_s - self._resumed_at_s < STALL_RECOVERY_S
                return ramp_directive(
                    decision, remaining, self.slow_start.cold_capacity_ratio, backends, has_stalled
                )
        if members.minority:
            return None
        # Reports from before the zone was left are replaced within `PUBLISH_INTERVAL_S`.
        answered = age_s > 2 * PUBLISH_INTERVAL_S and any(report.answered_at_s for report in reports)
        return Directive(ZoneState.LEFT, probe_interval_s=probe_interval_s(members.size, answered))
