"""Decisions of one zone's gateways on another: on the wire, on disk, and as the policy follows them. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any

import msgspec

from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.messages import MAX_VALUE_CHARS, Entry

RAMP_STEPS = 8
MAX_FLAPS = 2  # the return takes twice as long for each
MAX_PLACES = 320  # gateways whose parts a decision has room for
MAX_REASON_CHARS = 80
MAX_BACKENDS = 100_000

Row = list[Any]  # on disk: origin, both numbers of its incarnation, version, time (ms), value

Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class ZoneState(StrEnum):
    """Whether a zone is used."""

    UP = "up"
    LEFT = "left"
    RETURNING = "returning"


class ZoneDecision(msgspec.Struct, array_like=True, frozen=True):
    """The value of a `FactKind.ZONE_DECISION`. All but `state`, `flaps` and `reason` are of a ramp.

    Attributes:
        state: Whether the zone is used.
        step: The step of the ramp that holds.
        flaps: How often the zone was left again soon after a return.
        backend_rate: Requests per second that a warm backend bears of these gateways.
        backends: How many backends the ramp counts on.
        parts: A hexadecimal digit for each gateway's place, its part of the rate; "" for even parts.
        reason: For the log and the operators.
    """

    state: ZoneState
    step: Annotated[int, msgspec.Meta(ge=0, le=RAMP_STEPS)] = 0
    flaps: Annotated[int, msgspec.Meta(ge=0, le=MAX_FLAPS)] = 0
    backend_rate: Rate = 0.0
    backends: Annotated[int, msgspec.Meta(ge=0, le=MAX_BACKENDS)] = 0
    parts: Annotated[str, msgspec.Meta(max_length=MAX_PLACES, pattern=r"^[0-9a-f]*$")] = ""
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_CHARS)] = ""


@dataclass(frozen=True, slots=True)
class Directive:
    """What this gateway's policy is to do with a zone; see `ZoneDirective` of the policy.

    Attributes:
        state: Whether the zone is used; None where the fleet has no decision that holds here.
        rate_per_s: Of a ramp: requests per second that this gateway may send there.
        capacity_ratio: Of a ramp: what each backend is asked for, as a ratio of a warm one.
        probe_interval_s: Of a left zone: seconds between two tests by this gateway.
        range_start: Of a ramp: where this gateway's range of the backends begins, from 0 to 1.
        range_width: Of a ramp: how wide that range is, from 0 to 1.
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
    """Return the decision in a fact's value; a missing or unreadable one leaves the zone in use."""
    try:
        return msgspec.json.decode(value, type=ZoneDecision) if value else ZoneDecision(ZoneState.UP)
    except msgspec.MsgspecError:
        return ZoneDecision(ZoneState.UP)


def decision_name(observers: str, zone: str) -> str:
    """Return the name of the fact: the decision of the gateways of `observers` on `zone`."""
    return f"{observers}>{zone}"


def target_of(name: str) -> str:
    """Return the zone that a decision of this name is on."""
    return name.partition(">")[2]


def decision_on(facts: Facts, observers: str, zone: str) -> ZoneDecision:
    """Return the decision of the gateways of `observers` on `zone` that holds."""
    return decode_decision(facts.value(FactKind.ZONE_DECISION, decision_name(observers, zone)))


def version_on(facts: Facts, observers: str, zone: str) -> int:
    """Return the version of that decision; 0 where none was ever made."""
    return facts.version(FactKind.ZONE_DECISION, decision_name(observers, zone))


def to_row(entry: Entry) -> Row:
    """Return a decision as the value of its row."""
    return [entry.origin, *entry.incarnation, entry.version, entry.at_ms, entry.value]


def from_row(name: str, row: Row) -> Entry | None:
    """Return the decision in a row; None for what is none.

    A ramp is not resumed, as what the zone's backends bore before is not known to hold: the zone is left, and
    tested anew. Where other gateways go on with that version, theirs overrides this one.
    """
    try:
        origin, began, lot, version, at, value = row
        decision = decode_decision(str(value))
        if decision.state == ZoneState.RETURNING:
            reason = "kept on disk: the return is begun anew"
            decision = ZoneDecision(ZoneState.LEFT, flaps=decision.flaps, reason=reason)
        incarnation = int(began), int(lot)
        encoded = msgspec.json.encode(decision).decode()
        entry = Entry(
            FactKind.ZONE_DECISION, name, str(origin), incarnation, int(version), float(at), encoded
        )
        return msgspec.convert(msgspec.to_builtins(entry), Entry)  # checks the ranges of the fields
    except (ValueError, TypeError):
        return None
