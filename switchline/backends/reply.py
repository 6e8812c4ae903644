"""Replies of backends: an array of value, usage and metadata, or an error."""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchline.net.resp import SimpleValue, Value
from switchline.policy.interface import Outcome

COST_KEY = b"cost"  # of the usage: the request's true units
BUSY = b"BUSY"  # an error that begins so promises that the request did not run


@dataclass(frozen=True, slots=True)
class Reply:
    """A backend's reply.

    Attributes:
        outcome: OK, FULL (it did not run), or FAILED.
        value: of a good reply.
        true_units: what the request cost; 0 if the reply does not say.
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
    """Return the true units that the usage of a reply names, 0 where it names none that can be read."""
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
