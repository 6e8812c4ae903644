"""What gateways observe in a zone, and how it is encoded for gossip. Pure.

A `LocalObservation` is what this gateway observes and a `PublishedReport` its wire form. A `ReceivedReport`
is a report whose ages have been converted to times of this gateway's clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

BACKEND_ID_DIGITS = 8  # hexadecimal digits of a backend's number in a report
MAX_REPORTED_BACKENDS = 15  # in a report, lost backends and healthy backends each
MIN_LOAD_PER_S = 0.05  # a lower load is published as 0
LOAD_STEP_RATIO = 1.25  # loads are rounded to powers of this ratio, so that they seldom change
MAX_LOAD_PER_S = 1e9
AGES_PER_S = 10  # ages are published in tenths of a second

BackendId = Annotated[str, msgspec.Meta(max_length=BACKEND_ID_DIGITS)]
AgeTenths = Annotated[int, msgspec.Meta(ge=0, le=10_000)]


class PublishedReport(msgspec.Struct, array_like=True, frozen=True):
    """The wire form of what one gateway observed in a zone.

    Attributes:
        lost_age_tenths: Backends that look lost, each with the age of its last loss in tenths of a second.
        healthy_age_tenths: Backends that answer, each with the age of its last answer in tenths of a second.
        slow: How many of the healthy ones are slow.
    """

    lost_age_tenths: Annotated[dict[BackendId, AgeTenths], msgspec.Meta(max_length=MAX_REPORTED_BACKENDS)]
    healthy_age_tenths: Annotated[dict[BackendId, AgeTenths], msgspec.Meta(max_length=MAX_REPORTED_BACKENDS)]
    slow: Annotated[int, msgspec.Meta(ge=0)] = 0


EMPTY_REPORT = PublishedReport({}, {})


@dataclass(frozen=True, slots=True)
class LocalObservation:
    """What this gateway observes in one zone.

    Attributes:
        usable: Number of backends of the zone that requests may be sent to.
        lost_ages_s: Seconds since the last loss, by backend that looks lost.
        healthy_ages_s: Seconds since the last answer, by backend that answers.
        slow: How many of the healthy ones are slow.
        warm_ratio: Capacity of the zone's backend that started last, as a ratio of a warm one's.
    """

    usable: int
    lost_ages_s: Mapping[str, float] = field(default_factory=dict)
    healthy_ages_s: Mapping[str, float] = field(default_factory=dict)
    slow: int = 0
    warm_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """What one gateway observed in a zone; times are seconds of this gateway's monotonic clock.

    Attributes:
        observer: The gateway's name.
        observer_zone: The zone that the gateway runs in.
        lost_at_s: Time of the last loss, by backend that looks lost.
        answered_at_s: Time of the last answer, by backend that answers.
        slow: How many of the healthy ones are slow.
    """

    observer: str
    observer_zone: str
    lost_at_s: Mapping[str, float]
    answered_at_s: Mapping[str, float]
    slow: int = 0

    def without_losses_before(self, oldest_s: float) -> ReceivedReport:
        """Return the report without losses that are older than `oldest_s`."""
        lost = {backend: at for backend, at in self.lost_at_s.items() if at >= oldest_s}
        return ReceivedReport(self.observer, self.observer_zone, lost, self.answered_at_s, self.slow)


def encode_report(report: PublishedReport) -> str:
    """Return the value of a `FactKind.ZONE_REPORT`."""
    return msgspec.json.encode(report).decode()


def decode_report(value: str | None) -> PublishedReport | None:
    """Return the report in a fact's value; None if there is no value, or an invalid one."""
    try:
        return msgspec.json.decode(value, type=PublishedReport) if value else None
    except msgspec.MsgspecError:
        return None


def latest_ages(ages_s: Mapping[str, float]) -> dict[str, int]:
    """Return the lowest ages in tenths of a second; at most `MAX_REPORTED_BACKENDS` of them."""
    newest_first = sorted(ages_s.items(), key=lambda item: item[1])
    return {backend: round(AGES_PER_S * age_s) for backend, age_s in newest_first[:MAX_REPORTED_BACKENDS]}


def receive_report(
    report: PublishedReport, observer: str, observer_zone: str, now_s: float
) -> ReceivedReport:
    """Return a report whose ages are converted to times, counted back from its arrival at `now_s`."""
    lost = {backend: now_s - age / AGES_PER_S for backend, age in report.lost_age_tenths.items()}
    healthy = {backend: now_s - age / AGES_PER_S for backend, age in report.healthy_age_tenths.items()}
    return ReceivedReport(observer, observer_zone, lost, healthy, report.slow)


def encode_load(load_per_s: float) -> str:
    """Return the value of a `FactKind.LOAD`: the load in requests per second, rounded to a step."""
    step_per_s = 0.0
    if load_per_s > MIN_LOAD_PER_S:
        step_per_s = LOAD_STEP_RATIO ** round(math.log(load_per_s) / math.log(LOAD_STEP_RATIO))
    return str(round(step_per_s, 3))


def decode_load(value: str | None) -> float:
    """Return a published load in requests per second; 0 if the value is missing, invalid or out of range."""
    try:
        load_per_s = float(value or 0)
    except ValueError:
        return 0.0
    return load_per_s if 0 <= load_per_s <= MAX_LOAD_PER_S else 0.0


def latest_times(times_by_backend: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the latest time of each backend in any of the mappings."""
    latest: dict[str, float] = {}
    for times in times_by_backend:
        for backend, at in times.items():
            latest[backend] = max(at, latest.get(backend, -math.inf))
    return latest
