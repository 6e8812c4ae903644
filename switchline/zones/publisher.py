"""Reports on zones: which zones are in question, and their published and received reports. Pure.

A zone is in question while losses are reported in it, or while it is left or returning.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.messages import Entry
from switchline.fleet.versions.quarantine import quarantined_members
from switchline.zones.decision import ZoneState, decode_decision, target_zone
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
QUESTION_TTL_S = 10.0  # a zone without a reported loss for so long is no longer in question
LOSS_PUBLISH_INTERVAL_S = 0.05  # minimum time before an urgent report, such as one with more losses
PUBLISH_INTERVAL_S = 1.0  # minimum time before any other report
BASE_INTERVAL_MEMBERS = 40  # in a larger fleet `PUBLISH_INTERVAL_S` grows in proportion to the members


@dataclass(frozen=True, slots=True)
class Evaluation:
    """One evaluation of all zones by one gateway.

    Attributes:
        endpoint: The gateway's protocol endpoint in the fleet.
        now_s: Monotonic time in seconds.
        wall_ms: Wall time in milliseconds.
        observations: What the gateway observes, by the zones that its endpoint list names.
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
class QuestionedZone:
    """A zone in question: since when, and when a gateway last reported a loss (monotonic seconds)."""

    since_s: float
    loss_reported_at_s: float


@dataclass(frozen=True, slots=True)
class Publication:
    """The report that this gateway last published on a zone, and when (monotonic seconds)."""

    at_s: float
    report: PublishedReport


NOT_PUBLISHED = Publication(-math.inf, EMPTY_REPORT)


class ReportPublisher:
    """Owns which zones are in question, and the reports on them that were published and received."""

    def __init__(self, zone: str) -> None:
        """Begin without any report; `zone` is the zone that this gateway runs in."""
        self.zone = zone
        self.questioned_zones: dict[str, QuestionedZone] = {}
        self._published: dict[str, Publication] = {}
        self._received: dict[tuple[str, str], tuple[Entry, ReceivedReport]] = {}  # by zone and gateway

    # Received reports.

    def collect(
        self, evaluation: Evaluation, left_since_s: Mapping[str, float]
    ) -> dict[str, list[ReceivedReport]]:
        """Return by zone the reports of all present gateways, including this one.

        A quarantined gateway's reports do not count: with a stale list it observes backends that no longer
        exist.

        Args:
            evaluation: The evaluation under way.
            left_since_s: By zone that is left: the time at which it was left, in monotonic seconds.
        """
        reports = self._collect_received(evaluation)
        if quarantined := quarantined_members(evaluation.facts):
            reports = {
                zone: [report for report in received if report.observer not in quarantined]
                for zone, received in reports.items()
            }
        own_name = evaluation.endpoint.members.me.name
        for zone, received in reports.items():
            report = self.own_report(evaluation, zone, left_since_s)
            if report.lost_age_tenths or report.healthy_age_tenths:
                received.append(receive_report(report, own_name, self.zone, evaluation.now_s))
        return reports

    def _collect_received(self, evaluation: Evaluation) -> dict[str, list[ReceivedReport]]:
        """Return by zone the reports of the other present gateways; each report is decoded once."""
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

        Answers from before the zone came into question, or was left, are omitted as outdated.
        """
        observation = evaluation.observations[zone]
        question = self.questioned_zones.get(zone)
        since_s = max(
            question.since_s if question is not None else evaluation.now_s,
            left_since_s.get(zone, -math.inf),
        )
        healthy = {
            backend: age_s
            for backend, age_s in observation.healthy_ages_s.items()
            if age_s <= evaluation.now_s - since_s
        }
        return PublishedReport(latest_ages(observation.lost_ages_s), latest_ages(healthy), observation.slow)

    # Zones in question.

    def update_questioned_zones(
        self, evaluation: Evaluation, reports: Mapping[str, list[ReceivedReport]]
    ) -> None:
        """Update the zones in question.

        A zone is added if any gateway reports a loss in it, or any zone's gateways have left it or return to
        it; it is dropped `QUESTION_TTL_S` after the last such event, or if the endpoint list no longer
        names it.
        """
        decided = {
            target_zone(name)
            for (name, _), stored in evaluation.facts.of_kind(FactKind.ZONE_DECISION).items()
            if decode_decision(stored.entry.value).state != ZoneState.UP
        }
        for zone in evaluation.observations:
            if zone in decided or any(report.lost_at_s for report in reports[zone]):
                self._question(zone, evaluation.now_s)
        for zone, question in list(self.questioned_zones.items()):
            ended = evaluation.now_s - question.loss_reported_at_s > QUESTION_TTL_S
            if zone not in evaluation.observations or ended:
                del self.questioned_zones[zone]

    def _question(self, zone: str, now_s: float) -> None:
        if zone in self.questioned_zones:
            self.questioned_zones[zone].loss_reported_at_s = now_s
        elif len(self.questioned_zones) < MAX_QUESTIONED_ZONES:
            self.questioned_zones[zone] = QuestionedZone(now_s, now_s)

    # Published reports.

    def publish(
        self,
        evaluation: Evaluation,
        reports: Mapping[str, list[ReceivedReport]],
        left_since_s: Mapping[str, float],
    ) -> bool:
        """Publish this gateway's reports on the zones in question.

        A report with more losses, with the first answers, or with an answer that refutes a loss is published
        after `LOSS_PUBLISH_INTERVAL_S`; any other after `PUBLISH_INTERVAL_S`, or longer in a large fleet.

        Returns:
            Whether the report on any zone is the first one with a loss.
        """
        interval_s = PUBLISH_INTERVAL_S * max(1.0, evaluation.endpoint.members.size / BASE_INTERVAL_MEMBERS)
        self._withdraw_ended(evaluation)
        first_loss = False
        for zone in self.questioned_zones:
            report = EMPTY_REPORT
            if zone in evaluation.observations:
                report = self.own_report(evaluation, zone, left_since_s)
            previous = self._published.get(zone, NOT_PUBLISHED)
            is_urgent = (
                report.lost_age_tenths.keys() - previous.report.lost_age_tenths
                or (report.healthy_age_tenths and not previous.report.healthy_age_tenths)
                or self._refutes(evaluation, report, reports.get(zone, ()))
            )
            is_due = evaluation.now_s - previous.at_s >= (
                LOSS_PUBLISH_INTERVAL_S if is_urgent else interval_s
            )
            if report != previous.report and is_due:
                self._published[zone] = Publication(evaluation.now_s, report)
                evaluation.facts.publish_if_allowed(
                    evaluation.wall_ms, FactKind.ZONE_REPORT, zone, encode_report(report)
                )
                first_loss |= bool(report.lost_age_tenths and not previous.report.lost_age_tenths)
        return first_loss

    def _withdraw_ended(self, evaluation: Evaluation) -> None:
        for zone in list(self._published):
            if zone not in self.questioned_zones:
                del self._published[zone]
                evaluation.facts.publish_if_allowed(evaluation.wall_ms, FactKind.ZONE_REPORT, zone, None)

    def publish_load(self, evaluation: Evaluation, load_per_s: float) -> None:
        """Publish this gateway's load while any zone is in question, as the rate of a ramp depends on it."""
        value = encode_load(load_per_s) if self.questioned_zones else None
        evaluation.facts.publish_if_allowed(evaluation.wall_ms, FactKind.LOAD, "", value)

    def _refutes(
        self, evaluation: Evaluation, report: PublishedReport, reports: Iterable[ReceivedReport]
    ) -> bool:
        """Return whether this gateway alone has an answer from a backend since it was reported lost."""
        received = list(reports)
        own_name = evaluation.endpoint.members.me.name
        answered_at = latest_times(
            other_report.answered_at_s for other_report in received if other_report.observer != own_name
        )
        lost_at = latest_times(other_report.lost_at_s for other_report in received)
        own_report = receive_report(report, own_name, self.zone, evaluation.now_s)
        return any(
            at > lost_at.get(backend, math.inf) and lost_at[backend] > answered_at.get(backend, -math.inf)
            for backend, at in own_report.answered_at_s.items()
        )
