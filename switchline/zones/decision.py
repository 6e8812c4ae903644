"""Decisions of one zone's gateways on another zone: wire form, stored form and directive. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any

import msgspec

from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.messages import MAX_VALUE_CHARS, Entry

RAMP_STEPS = 8  # steps of a ramp from cold to full use
MAX_FLAPS = 2  # each counted flap doubles the length of the next return
MAX_PLACES = 320  # gateway places that a decision has room for weights of
MAX_REASON_CHARS = 80
MAX_BACKENDS = 100_000

# A stored decision: origin, both numbers of its incarnation, version, wall time (ms) and value.
DecisionRow = list[Any]

Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class ZoneState(StrEnum):
    """Whether a zone is used."""

    UP = "up"
    LEFT = "left"
    RETURNING = "returning"


class ZoneDecision(msgspec.Struct, array_like=True, frozen=True):
    """The value of a `FactKind.ZONE_DECISION`.

    All fields but `state`, `flaps` and `reason` apply to a ramp (`ZoneState.RETURNING`) only.

    Attributes:
        state: Whether the zone is used.
        step: The current step of the ramp, from 0.
        flaps: How often the zone was left again within `FLAP_WINDOW_S` after a decision.
        backend_rate_per_s: Requests per second that a warm backend is assumed to serve from these gateways.
        backends: Number of backends that the ramp's rate is computed for.
        weights: A hexadecimal digit for each gateway's place: its weight in dividing the rate; "" for
            even shares.
        reason: Why it was decided, shown in the log and to operators.
    """

    state: ZoneState
    step: Annotated[int, msgspec.Meta(ge=0, le=RAMP_STEPS)] = 0
    flaps: Annotated[int, msgspec.Meta(ge=0, le=MAX_FLAPS)] = 0
    backend_rate_per_s: Rate = 0.0
    backends: Annotated[int, msgspec.Meta(ge=0, le=MAX_BACKENDS)] = 0
    weights: Annotated[str, msgspec.Meta(max_length=MAX_PLACES, pattern=r"^[0-9a-f]*$")] = ""
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_CHARS)] = ""


@dataclass(frozen=True, slots=True)
class Directive:
    """What this gateway's policy is to do with a zone; see `ZoneDirective` of the policy.

    Attributes:
        state: Whether the zone is used; None if no decision of the fleet applies to this gateway.
        rate_per_s: In a ramp: requests per second that this gateway may send to the zone.
        capacity_ratio: In a ramp: the load of each backend, as a ratio of a warm one's.
        probe_interval_s: For a zone that is left: seconds between two probes by this gateway.
        range_start: In a ramp: the start of this gateway's range of backends, from 0 to 1.
        range_width: In a ramp: the width of that range, from 0 to 1.
    """

    state: ZoneState | None
    rate_per_s: float = 0.0
    capacity_ratio: float = 1.0
    probe_interval_s: float = 0.0
    range_start: float = 0.0
    range_width: float = 1.0


NO_DIRECTIVE = Directive(None)


def encode_decision(decision: ZoneDecision) -> str | None:
    """Return the value of a `FactKind.ZONE_DECISION`; None where it is too long for a fact."""
    value = msgspec.json.encode(decision).decode()
    return value if len(value) <= MAX_VALUE_CHARS else None


def decode_decision(value: str | None) -> ZoneDecision:
    """Return the decision in a fact's value; a missing or invalid value gives `ZoneState.UP`."""
    try:
        return msgspec.json.decode(value, type=ZoneDecision) if value else ZoneDecision(ZoneState.UP)
    except msgspec.MsgspecError:
        return ZoneDecision(ZoneState.UP)


def decision_name(observers: str, zone: str) -> str:
    """Return the name of the fact that holds the decision of the gateways of `observers` on `zone`."""
    return f"{observers}>{zone}"


def target_zone(name: str) -> str:
    """Return the zone that the decision with this name of a fact is on."""
    return name.partition(">")[2]


def decision_on(facts: Facts, observers: str, zone: str) -> ZoneDecision:
    """Return the decision in force for the gateways of `observers` on `zone`."""
    return decode_decision(facts.value(FactKind.ZONE_DECISION, decision_name(observers, zone)))


def version_on(facts: Facts, observers: str, zone: str) -> int:
    """Return the version of the decision of the gateways of `observers` on `zone`; 0 if there is none."""
    return facts.version(FactKind.ZONE_DECISION, decision_name(observers, zone))


def entry_to_row(entry: Entry) -> DecisionRow:
    """Return the stored form of a decision's entry."""
    return [entry.origin, *entry.incarnation, entry.version, entry.at_ms, entry.value]


def row_to_entry(name: str, row: DecisionRow) -> Entry | None:
    """Return the entry in a stored row; None if the row is invalid.

    A ramp is not resumed, as the backends may no longer bear the load of its step: the decision is changed to
    one that leaves the zone, so that it is probed again. If other gateways still follow the same version,
    their entry takes precedence.
    """
    try:
        origin, started_ms, random_number, version, at_ms, value = row
        decision = decode_decision(str(value))
        if decision.state == ZoneState.RETURNING:
            reason = "kept on disk: the return is begun anew"
            decision = ZoneDecision(ZoneState.LEFT, flaps=decision.flaps, reason=reason)
        incarnation = int(started_ms), int(random_number)
        encoded = msgspec.json.encode(decision).decode()
        entry = Entry(
            FactKind.ZONE_DECISION, name, str(origin), incarnation, int(version), float(at_ms), encoded
        )
        return msgspec.convert(msgspec.to_builtins(entry), Entry)  # checks the ranges of the fields
    except (ValueError, TypeError):
        return None
