"""Messages between the two processes of an upgrade: one JSON array a line, both ways.

Three kinds are for the hand-over itself; all others are records of the policy and pass through as they are.
The words on the wire are fixed: the two processes may be of different releases.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

MAX_LINE_BYTES = 64 * 1024  # the longest line describes one customer or backend

STATE_SENT_TAG = "told"
SERVING_TAG = "serving"
DESCRIPTORS_TAG = "holds"


@dataclass(frozen=True, slots=True)
class StateSent:
    """The old process has sent all its state."""


@dataclass(frozen=True, slots=True)
class Serving:
    """The new process accepts clients from now on."""


@dataclass(frozen=True, slots=True)
class DescriptorsInUse:
    """How many descriptors the old process still has open."""

    count: int


@dataclass(frozen=True, slots=True)
class PolicyRecord:
    """A record for the policy of the other process."""

    fields: list[Any]


Message = StateSent | Serving | DescriptorsInUse | PolicyRecord


class MessageError(ValueError):
    """The peer process sent what is no message."""


def encode(message: Message) -> bytes:
    """Return a message as a line."""
    fields: list[Any]
    match message:
        case StateSent():
            fields = [STATE_SENT_TAG]
        case Serving():
            fields = [SERVING_TAG]
        case DescriptorsInUse(count):
            fields = [DESCRIPTORS_TAG, count]
        case PolicyRecord(record):
            fields = record
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> Message:
    """Return the message of a line without its end.

    Raises:
        ValueError: not JSON (`json.JSONDecodeError`), or no message (`MessageError`).
        RecursionError: nested too deeply.
    """
    fields = json.loads(line)
    if not isinstance(fields, list) or not fields:
        raise MessageError("not a list")
    tag = fields[0]
    if tag == STATE_SENT_TAG:
        return StateSent()
    if tag == SERVING_TAG:
        return Serving()
    if tag == DESCRIPTORS_TAG and len(fields) > 1 and isinstance(fields[1], int):
        return DescriptorsInUse(fields[1])
    return PolicyRecord(fields)
