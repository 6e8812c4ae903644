"""One gateway's part in the fleet's decisions on zones. Pure: facts and time in, facts and directives out.

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
from switchline.zones.publisher import PUBLISH_GAP_S, Evaluation, ReportPublisher
from switchline.zones.ramp import backend_range, ramp_directive
from switchline.zones.reports import LocalObservation, ReceivedReport
from switchline.zones.returning import (
    RampBasis,
    RampWatch,
    SlowStart,
    first_ramp_decision,
    probe_interval_s,
)

REPORT_FRESH_S = 4.0  # of a zone that is not in use: an older loss says nothing of its return
DECISION_JITTER_S = 0.3  # at most, until a decision that is not urgent is written: one gateway is enough
STALL_GAP_S = 1.0  # a gap between two evaluations from which on this process stood still
STALL_RECOVERY_S = 0.6  # after it: news has arrived by then
FOLLOWED_PUBLISHED_S = 60.0  # a decision that a zone is up again is published as followed for so long


class ZoneAgreement:
    """Owns one gateway's part in what the fleet decides on zones."""

    def __init__(self, zone: str, place: int, places: int, slow_start: SlowStart, rng: random.Random) -> None:
        """Begin without any decision.

        Args:
            zone: The one that this gateway runs in.
            place: This gateway's place among all, from 0.
            places: Number of places.
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
        self.regions: Mapping[str, str] = {}  # by zone
        self.directives: dict[str, Directive] = {}
        self.undecided = True  # a zone in question is neither left nor returning, or none is in question
        self._evaluated_s = -math.inf
        self._woke_s = -math.inf

    def is_urgent(self, kind: str) -> bool:
        """Return whether a new fact of this kind is to be evaluated soon."""
        return kind == FactKind.ZONE_DECISION or (kind == FactKind.ZONE_REPORT and self.undecided)

    def decision(self, facts: Facts, zone: str) -> ZoneDecision:
        """Return the decision on a zone that holds for the gateways of the own zone."""
        return decision_on(facts, self.zone, zone)

    def version(self, facts: Facts, zone: str) -> int:
        """Return the version of that decision; 0 where none was ever made."""
        return version_on(facts, self.zone, zone)

    def evaluate(
        self,
        endpoint: ProtocolEndpoint,
        now_s: float,
        wall_ms: float,
        observations: Mapping[str, LocalObservation],
        load_per_s: float,
    ) -> dict[str, Directive]:
        """Publish what this gateway observed, write the decisions that are due, and return the directives.

        Args:
            endpoint: The gateway's protocol endpoint in the fleet.
            now_s: Seconds on a clock that never steps.
            wall_ms: Milliseconds of wall time.
            observations: What the gateway observes, by each zone that its endpoint list names.
            load_per_s: Attempts per second that it makes.

        Returns:
            The directives by zone; of a zone without one the gateway's own evidence holds.
        """
        evaluation = Evaluation(endpoint, now_s, wall_ms, observations)
        self._note_stall(now_s)
        self._forget_unlisted(evaluation)
        for zone in observations:
            self._track(evaluation.facts, zone, now_s)
        reports = self._exchange_reports(evaluation)
        self.publisher.publish_load(evaluation, load_per_s)
        self._decide_all(evaluation, reports)
        questions = self.publisher.questions
        self.undecided = not questions or any(
            self.decision(evaluation.facts, zone).state == ZoneState.UP for zone in questions
        )
        self.directives = {}
        for zone in observations:
            directive = self._directive(evaluation, zone, reports[zone])
            if directive is not None:
                self.directives[zone] = directive
        return self.directives

    def _exchange_reports(self, evaluation: Evaluation) -> dict[str, list[ReceivedReport]]:
        """Publish what this gateway observed; return all gateways' reports by zone."""
        left_since_s = {
            zone: progress.left_since_s
            for zone, progress in self.progress.items()
            if progress.left_since_s is not None
        }
        reports = self.publisher.collect(evaluation, left_since_s)
        self.publisher.update_questions(evaluation, reports)
        if self.publisher.publish(evaluation, reports, left_since_s):
            evaluation.endpoint.gossip_now()
        return reports

    # What is kept between evaluations.

    def _note_stall(self, now_s: float) -> None:
        """A process that stood still may follow an old decision: it sends nothing into a ramp for a while."""
        if now_s - self._evaluated_s > STALL_GAP_S:
            self._woke_s = now_s
        self._evaluated_s = now_s

    def _forget_unlisted(self, evaluation: Evaluation) -> None:
        """Forget zones that the endpoint list names no more."""
        for zone in sorted(self.progress.keys() - evaluation.observations.keys()):
            del self.progress[zone]
            evaluation.facts.publish_if_allowed(evaluation.wall_ms, FactKind.ZONE_FOLLOWED, zone, None)

    def _track(self, facts: Facts, zone: str, now_s: float) -> ZoneProgress:
        """Return what is kept of a zone, brought up to the decision that holds."""
        progress = self.progress.get(zone)
        if progress is None:
            progress = self.progress[zone] = ZoneProgress(RampWatch(self.slow_start))
        version = self.version(facts, zone)
        if progress.version != version:
            progress.version_changed(version, self.decision(facts, zone).state, now_s)
        return progress

    # Decisions.

    def _decide_all(self, evaluation: Evaluation, reports: Mapping[str, list[ReceivedReport]]) -> None:
        """Write the decisions that are due; a gateway in a minority, or whose name is taken, writes none."""
        members = evaluation.endpoint.members
        if members.minority or members.superseded:
            return
        for zone in sorted(self.publisher.questions):
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
            fresh_s = evaluation.now_s - REPORT_FRESH_S
            reports = [report.without_losses_before(fresh_s) for report in reports]
        present = evaluation.endpoint.members.present
        return ZoneCase(
            zone=zone,
            decision=decision,
            progress=progress,
            observation=evaluation.observations[zone],
            reports=reports,
            ours=pool_reports(report for report in reports if report.observer_zone == self.zone),
            alone=not any(facts.value(FactKind.ZONE, "", name) == self.zone for name in present),
        )

    def _decide_leaving(self, evaluation: Evaluation, case: ZoneCase) -> None:
        """Leave a zone once the evidence has held for `CONFIRMATION_S`.

        Backends that were lost on its last ramp are no reason to leave it again within `FLAP_WINDOW_S`.
        """
        now_s = evaluation.now_s
        progress = case.progress
        recent = now_s - progress.version_at_s < FLAP_WINDOW_S
        excused = progress.ramp.lost if recent else frozenset[str]()
        evidence = evidence_to_leave(case.ours, case.reports, case.observation.usable, case.alone)
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
        """Begin the ramp of a zone whose tests are answered, once it is its turn in its region."""
        progress = case.progress
        common = pool_reports(case.reports)
        usable = case.observation.usable
        if not progress.answers.has_recovered(case.ours, common, usable, case.alone, evaluation.now_s):
            progress.write_at_s = None
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
                case.observation, case.ours, case.decision.flaps, basis, self.slow_start
            )
            self._write(evaluation, case.zone, decision)

    def _decide_ramp_step(self, evaluation: Evaluation, case: ZoneCase) -> None:
        """Write the step of a ramp that is due."""
        age_s = evaluation.now_s - case.progress.version_at_s
        step = case.progress.ramp.next_step(case.decision, age_s, case.observation, case.ours, case.alone)
        if step is not None and (step.urgent or self._is_own_turn(case.progress, evaluation.now_s)):
            self._write(evaluation, case.zone, step.decision)

    def _waits_for_region(self, facts: Facts, zone: str, now_s: float) -> bool:
        """Return whether another zone of the region returns first: they return one after another.

        That is one on the first half of its ramp, or one with an earlier name that is about to begin. It is
        waited for no longer than a cold backend takes to get warm, as the other may halt.
        """
        region = self.regions.get(zone)
        other_first = False
        for other in (name for name, of in self.regions.items() if of == region and name != zone):
            decision = self.decision(facts, other)
            known = self.progress.get(other)
            is_waiting = known is not None and known.waiting_since_s is not None
            begins = decision.state == ZoneState.LEFT and other < zone and is_waiting
            ramps = decision.state == ZoneState.RETURNING and decision.step < RAMP_STEPS // 2
            other_first |= begins or ramps
        progress = self.progress[zone]
        if progress.waiting_since_s is None:
            progress.waiting_since_s = now_s
        return now_s - progress.waiting_since_s < self.slow_start.warm_s and other_first

    def _is_own_turn(self, progress: ZoneProgress, now_s: float) -> bool:
        """Return whether this gateway writes now what all would: after a random delay, so that few do."""
        # Drawn at each call, as replays of a seed depend on the number of draws.
        write_at_s = now_s + self.rng.uniform(0, DECISION_JITTER_S)
        if progress.write_at_s is None:
            progress.write_at_s = write_at_s
        return now_s >= progress.write_at_s

    def _write(self, evaluation: Evaluation, zone: str, decision: ZoneDecision) -> None:
        """Write the next version of the decision on a zone, and send it at once."""
        name = decision_name(self.zone, zone)
        value = encode_decision(decision)
        if value is None:
            return
        if (
            evaluation.facts.publish_decision(evaluation.wall_ms, FactKind.ZONE_DECISION, name, value)
            is not None
        ):
            evaluation.endpoint.gossip_now()
            self.progress[zone].write_at_s = None

    # Directives.

    def _directive(
        self, evaluation: Evaluation, zone: str, reports: Sequence[ReceivedReport]
    ) -> Directive | None:
        """Return what the policy is to do with a zone, and publish which decision is followed.

        Returns:
            The directive; None where there is no decision, or a minority must go by its own evidence.
        """
        facts = evaluation.facts
        members = evaluation.endpoint.members
        decision = self.decision(facts, zone)
        progress = self._track(facts, zone, evaluation.now_s)
        if not progress.version:
            return None
        age_s = evaluation.now_s - progress.version_at_s
        is_followed = decision.state != ZoneState.UP or age_s < FOLLOWED_PUBLISHED_S
        followed = f"{progress.version} {decision.state}" if is_followed else None
        facts.publish_if_allowed(evaluation.wall_ms, FactKind.ZONE_FOLLOWED, zone, followed)
        match decision.state:
            case ZoneState.UP:
                progress.answers.steady_since_s = None
                return Directive(ZoneState.UP)
            case ZoneState.RETURNING:
                backends = backend_range(decision.parts, self.place, self.places)
                remaining = remaining_backends(facts, self.zone, zone, evaluation.observations)
                stalled = evaluation.now_s - self._woke_s < STALL_RECOVERY_S
                return ramp_directive(decision, remaining, self.slow_start.least, backends, stalled)
        if members.minority:
            return None
        # Reports from before the zone was left are replaced within `PUBLISH_GAP_S`.
        answered = age_s > 2 * PUBLISH_GAP_S and any(report.healthy for report in reports)
        return Directive(ZoneState.LEFT, probe_interval_s=probe_interval_s(members.size, answered))
