"""What gateways observe in a zone, and the wire form of it.

A `LocalObservation` is what this gateway sees, a `PublishedReport` its wire form, and a `ReceivedReport` a
report with its ages turned into times of this gateway's clock. Pure.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

BACKEND_ID_DIGITS = 8  # of a backend's number, hexadecimal
MAX_REPORTED_BACKENDS = 15  # lost ones in a report, and as many that answer
LEAST_LOAD_PER_S = 0.05  # a lower load is published as none
LOAD_STEP_RATIO = 1.25  # loads are published in steps, so that they change seldom
MAX_LOAD_PER_S = 1e9
AGES_PER_S = 10  # ages are published in tenths of a second

BackendId = Annotated[str, msgspec.Meta(max_length=BACKEND_ID_DIGITS)]
AgeTenths = Annotated[int, msgspec.Meta(ge=0, le=10_000)]


class PublishedReport(msgspec.Struct, array_like=True, frozen=True):
    """The wire form of what one gateway observed in a zone.

    Attributes:
        lost: Backends that look lost, each with the age of its last loss in tenths of a second.
        healthy: Backends that answer, each with the age of its last answer in tenths of a second.
        slow: How many of the healthy ones are slow.
    """

    lost: Annotated[dict[BackendId, AgeTenths], msgspec.Meta(max_length=MAX_REPORTED_BACKENDS)]
    healthy: Annotated[dict[BackendId, AgeTenths], msgspec.Meta(max_length=MAX_REPORTED_BACKENDS)]
    slow: Annotated[int, msgspec.Meta(ge=0)] = 0


EMPTY_REPORT = PublishedReport({}, {})


@dataclass(frozen=True, slots=True)
class LocalObservation:
    """What this gateway observes in one zone.

    Attributes:
        usable: Number of backends of the zone that may be sent to.
        lost: By backend that looks lost: seconds since its last loss.
        healthy: By backend that answers: seconds since its last answer.
        slow: How many of the healthy ones are slow.
        warmth: What the zone's youngest backend bears, as a ratio of a warm one.
    """

    usable: int
    lost: Mapping[str, float] = field(default_factory=dict)
    healthy: Mapping[str, float] = field(default_factory=dict)
    slow: int = 0
    warmth: float = 1.0


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """What one gateway observed in a zone, in seconds of this gateway's clock.

    Attributes:
        observer: The gateway's name.
        observer_zone: The zone that the gateway runs in.
        lost: By backend that looks lost: when it was lost last.
        healthy: By backend that answers: when it answered last.
        slow: How many of the healthy ones are slow.
    """

    observer: str
    observer_zone: str
    lost: Mapping[str, float]
    healthy: Mapping[str, float]
    slow: int = 0

    def without_losses_before(self, since_s: float) -> ReceivedReport:
        """Return the report without losses that are older than `since_s`."""
        lost = {backend: at for backend, at in self.lost.items() if at >= since_s}
        return ReceivedReport(self.observer, self.observer_zone, lost, self.healthy, self.slow)


def encode_report(report: PublishedReport) -> str:
    """Return the value of a `FactKind.ZONE_REPORT`."""
    return msgspec.json.encode(report).decode()


def decode_report(value: str | None) -> PublishedReport | None:
    """Return the report in a fact's value; None where there is none, or one that can't be read."""
    try:
        return msgspec.json.decode(value, type=PublishedReport) if value else None
    except msgspec.MsgspecError:
        return None


def latest_ages(ages_s: Mapping[str, float]) -> dict[str, int]:
    """Return the most recent ages, in tenths of a second, as many as a report may hold."""
    newest_first = sorted(ages_s.items(), key=lambda item: item[1])
    return {backend: round(AGES_PER_S * age_s) for backend, age_s in newest_first[:MAX_REPORTED_BACKENDS]}


def receive_report(
    report: PublishedReport, observer: str, observer_zone: str, now_s: float
) -> ReceivedReport:
    """Return a report with its ages turned into times, as of its arrival at `now_s`."""
    lost = {backend: now_s - age / AGES_PER_S for backend, age in report.lost.items()}
    healthy = {backend: now_s - age / AGES_PER_S for backend, age in report.healthy.items()}
    return ReceivedReport(observer, observer_zone, lost, healthy, report.slow)


def encode_load(load_per_s: float) -> str:
    """Return the value of a `FactKind.LOAD`: the load rounded to a step, in requests per second."""
    step_per_s = 0.0
    if load_per_s > LEAST_LOAD_PER_S:
        step_per_s = LOAD_STEP_RATIO ** round(math.log(load_per_s) / math.log(LOAD_STEP_RATIO))
    return str(round(step_per_s, 3))


def decode_load(value: str | None) -> float:
    """Return a published load in requests per second; 0 where there is none, or one out of range."""
    try:
        load_per_s = float(value or 0)
    except ValueError:
        return 0.0
    return load_per_s if 0 <= load_per_s <= MAX_LOAD_PER_S else 0.0


def latest_times(times: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return by backend the latest of all its times."""
    latest: dict[str, float] = {}
    for one in times:
        for backend, at in one.items():
            latest[backend] = max(at, latest.get(backend, -math.inf))
    return latest
