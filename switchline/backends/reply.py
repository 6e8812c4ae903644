"""Decoding of backend replies: a RESP array of value, usage figures and metadata, or a RESP error."""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchline.net.resp import SimpleValue, Value
from switchline.policy.interface import Outcome

COST_KEY = b"cost"  # key of the usage figures whose value is the request's true units
BUSY = b"BUSY"  # first word of an error that guarantees that the request did not run


@dataclass(frozen=True, slots=True)
class Reply:
    """A decoded reply of a backend.

    Attributes:
        outcome: OK, QUEUE_FULL (the request did not run), or FAILED (it may have run).
        value: The value of a reply with outcome OK; empty otherwise.
        true_units: The units that the request cost; 0 if the reply names none.
    """

    outcome: Outcome
    value: bytes = b""
    true_units: float = 0.0


def decode_reply(value: Value) -> Reply:
    """Decode a reply from its RESP value."""
    if isinstance(value, list) and value and isinstance(value[0], bytes):
        return Reply(Outcome.OK, value[0], decode_true_units(value))
    true_units = decode_true_units(value)
    if isinstance(value, SimpleValue) and value.kind == b"-" and value.text.split(b" ", 1)[0] == BUSY:
        return Reply(Outcome.QUEUE_FULL, true_units=true_units)
    return Reply(Outcome.FAILED, true_units=true_units)


def decode_true_units(value: Value) -> float:
    """Return the true units in the usage figures of a reply, or 0 if there is no valid number."""
    if not (isinstance(value, list) and len(value) > 1 and isinstance(value[1], bytes)):
        return 0.0
    for item in value[1].split(b","):
        name, _, text = item.partition(b"=")
        if name == COST_KEY:
            return parse_positive(text)
    return 0.0


def parse_positive(text: bytes) -> float:
    """Parse a finite number above 0; return 0 for anything else."""
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return number if 0 < number < math.inf else 0.0
