"""The form in which decisions on zones are kept on disk, as rows of the state's store."""

from __future__ import annotations

from typing import Any

import msgspec

from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.messages import Entry
from switchline.zones.decision import ZoneDecision, ZoneState, decode_decision

Row = list[Any]  # origin, both numbers of its incarnation, version, time (ms of wall time), value


def to_row(entry: Entry) -> Row:
    """Return a decision as the value of its row."""
    return [entry.origin, *entry.incarnation, entry.version, entry.at, entry.value]


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
