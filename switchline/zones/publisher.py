"""Reports on zones: which zones are in question, what is published, what was received. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.messages import Entry
from switchline.fleet.versions.quarantine import quarantined_members
from switchline.zones.decision import ZoneState, decode_decision, target_of
from switchline.zones.reports import (
    EMPTY_REPORT,
    LocalObservation,
    PublishedReport,
    ReceivedReport,
    decode_report,
    encode_load,
    encode_report,
    latest_ages,
    latest_times,
    receive_report,
)

MAX_QUESTIONED_ZONES = 8
QUESTION_END_S = 10.0  # without a loss reported by anybody a zone is no more in question
LOSS_PUBLISH_GAP_S = 0.05  # between two reports, where the later one has more losses
PUBLISH_GAP_S = 1.0  # between two reports else
PUBLISH_GAP_MEMBERS = 40  # in a larger fleet that gap grows with the members


@dataclass(frozen=True, slots=True)
class Evaluation:
    """One evaluation of all zones by one gateway.

    Attributes:
        endpoint: The gateway's protocol endpoint in the fleet.
        now_s: Seconds on a clock that never steps.
        wall_ms: Milliseconds of wall time.
        observations: What the gateway observes, by each zone that its endpoint list names.
    """

    endpoint: ProtocolEndpoint
    now_s: float
    wall_ms: float
    observations: Mapping[str, LocalObservation]

    @property
    def facts(self) -> Facts:
        """The facts that this gateway knows."""
        return self.endpoint.facts


@dataclass(slots=True)
class Question:
    """A zone in question: since when, and when anybody reported a loss last (seconds)."""

    since_s: float
    loss_reported_s: float


@dataclass(frozen=True, slots=True)
class Publication:
    """The report that this gateway published last on a zone, and when (seconds)."""

    at_s: float
    report: PublishedReport


NOT_PUBLISHED = Publication(-math.inf, EMPTY_REPORT)


class ReportPublisher:
    """Owns which zones are in question, and the reports on them that were published and received."""

    def __init__(self, zone: str) -> None:
        """`zone`: the one that this gateway runs in."""
        self.zone = zone
        self.questions: dict[str, Question] = {}
        self._published: dict[str, Publication] = {}
        self._received: dict[tuple[str, str], tuple[Entry, ReceivedReport]] = {}  # by zone and gateway

    # Received reports.

    def collect(
        self, evaluation: Evaluation, left_since_s: Mapping[str, float]
    ) -> dict[str, list[ReceivedReport]]:
        """Return by zone the reports of all gateways that are present, and this gateway's own.

        A quarantined gateway's reports do not count: on an old list it observes backends that are gone.

        Args:
            evaluation: The evaluation under way.
            left_since_s: By zone that is left: since when.
        """
        reports = self._collect_received(evaluation)
        if quarantined := quarantined_members(evaluation.facts):
            reports = {
                zone: [one for one in found if one.observer not in quarantined]
                for zone, found in reports.items()
            }
        me = evaluation.endpoint.members.me.name
        for zone, found in reports.items():
            report = self.own_report(evaluation, zone, left_since_s)
            if report.lost or report.healthy:
                found.append(receive_report(report, me, self.zone, evaluation.now_s))
        return reports

    def _collect_received(self, evaluation: Evaluation) -> dict[str, list[ReceivedReport]]:
        """Return by zone the reports of the other gateways that are present; each is decoded once."""
        reports: dict[str, list[ReceivedReport]] = {zone: [] for zone in evaluation.observations}
        published = evaluation.facts.of_kind(FactKind.ZONE_REPORT)
        for key in self._received.keys() - published.keys():
            del self._received[key]
        for (zone, origin), stored in published.items():
            if zone not in reports or origin not in evaluation.endpoint.members.present:
                continue
            known = self._received.get((zone, origin))
            if known is None or known[0] is not stored.entry:
                report = decode_report(stored.entry.value) or EMPTY_REPORT
                origin_zone = evaluation.facts.value(FactKind.ZONE, "", origin) or ""
                known = stored.entry, receive_report(report, origin, origin_zone, evaluation.now_s)
                self._received[zone, origin] = known
            reports[zone].append(known[1])
        return reports

    def own_report(
        self, evaluation: Evaluation, zone: str, left_since_s: Mapping[str, float]
    ) -> PublishedReport:
        """Return this gateway's report on a zone.

        An answer from before the zone came into question, or was left, says nothing.
        """
        observation = evaluation.observations[zone]
        question = self.questions.get(zone)
        since_s = max(
            question.since_s if question is not None else evaluation.now_s,
            left_since_s.get(zone, -math.inf),
        )
        healthy = {
            b: age_s for b, age_s in observation.healthy.items() if age_s <= evaluation.now_s - since_s
        }
        return PublishedReport(latest_ages(observation.lost), latest_ages(healthy), observation.slow)

    # Zones in question.

    def update_questions(self, evaluation: Evaluation, reports: Mapping[str, list[ReceivedReport]]) -> None:
        """Put zones in question where anybody reports a loss, or some have left them or return."""
        decided = {
            target_of(name)
            for (name, _), stored in evaluation.facts.of_kind(FactKind.ZONE_DECISION).items()
            if decode_decision(stored.entry.value).state != ZoneState.UP
        }
        for zone in evaluation.observations:
            if zone in decided or any(report.lost for report in reports[zone]):
                self._question(zone, evaluation.now_s)
        for zone, question in list(self.questions.items()):
            ended = evaluation.now_s - question.loss_reported_s > QUESTION_END_S
            if zone not in evaluation.observations or ended:
                del self.questions[zone]

    def _question(self, zone: str, now_s: float) -> None:
        if zone in self.questions:
            self.questions[zone].loss_reported_s = now_s
        elif len(self.questions) < MAX_QUESTIONED_ZONES:
            self.questions[zone] = Question(now_s, now_s)

    # Published reports.

    def publish(
        self,
        evaluation: Evaluation,
        reports: Mapping[str, list[ReceivedReport]],
        left_since_s: Mapping[str, float],
    ) -> bool:
        """Publish this gateway's reports on the zones in question; return whether a first loss is among them.

        A report with more losses, the first answers, or an answer that refutes a loss goes out after
        `LOSS_PUBLISH_GAP_S`; any other after `PUBLISH_GAP_S`, longer in a large fleet.
        """
        gap_s = PUBLISH_GAP_S * max(1.0, evaluation.endpoint.members.size / PUBLISH_GAP_MEMBERS)
        self._withdraw_ended(evaluation)
        first_loss = False
        for zone in self.questions:
            report = EMPTY_REPORT
            if zone in evaluation.observations:
                report = self.own_report(evaluation, zone, left_since_s)
            before = self._published.get(zone, NOT_PUBLISHED)
            urgent = (
                report.lost.keys() - before.report.lost
                or (report.healthy and not before.report.healthy)
                or self._refutes(evaluation, report, reports.get(zone, ()))
            )
            due = evaluation.now_s - before.at_s >= (LOSS_PUBLISH_GAP_S if urgent else gap_s)
            if report != before.report and due:
                self._published[zone] = Publication(evaluation.now_s, report)
                evaluation.facts.publish_if_allowed(
                    evaluation.wall_ms, FactKind.ZONE_REPORT, zone, encode_report(report)
                )
                first_loss |= bool(report.lost and not before.report.lost)
        return first_loss

    def _withdraw_ended(self, evaluation: Evaluation) -> None:
        for zone in list(self._published):
            if zone not in self.questions:
                del self._published[zone]
                evaluation.facts.publish_if_allowed(evaluation.wall_ms, FactKind.ZONE_REPORT, zone, None)

    def publish_load(self, evaluation: Evaluation, load_per_s: float) -> None:
        """Publish this gateway's load while any zone is in question, as a ramp may be reckoned from it."""
        value = encode_load(load_per_s) if self.questions else None
        evaluation.facts.publish_if_allowed(evaluation.wall_ms, FactKind.LOAD, "", value)

    def _refutes(
        self, evaluation: Evaluation, report: PublishedReport, reports: Iterable[ReceivedReport]
    ) -> bool:
        """Return whether this gateway had an answer from a lost backend, and no other reports one."""
        known = list(reports)
        me = evaluation.endpoint.members.me.name
        answered_at = latest_times(one.healthy for one in known if one.observer != me)
        lost_at = latest_times(one.lost for one in known)
        own = receive_report(report, me, self.zone, evaluation.now_s)
        return any(
            at > lost_at.get(backend, math.inf) and lost_at[backend] > answered_at.get(backend, -math.inf)
            for backend, at in own.healthy.items()
        )
