"""Messages between the two processes of an upgrade: one JSON array in each line, in both directions.

Four kinds of messages are for the hand-over itself; all others are records of the policy and are passed on
unchanged. The tags on the wire are fixed, because the two processes may be of different releases.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

MAX_LINE_BYTES = 64 * 1024  # the longest lines describe one customer or one backend

STATE_SENT_TAG = "told"
SERVING_TAG = "serving"
DESCRIPTORS_TAG = "holds"
REQUEST_SENT_TAG = "request"


@dataclass(frozen=True, slots=True)
class StateSent:
    """The old process has sent its whole state."""


@dataclass(frozen=True, slots=True)
class Serving:
    """The new process accepts clients from now on."""


@dataclass(frozen=True, slots=True)
class DescriptorsInUse:
    """The number of descriptors that the old process still has open."""

    count: int


@dataclass(frozen=True, slots=True)
class RequestSent:
    """The sender has sent a request to a backend that must not run twice."""

    id: str


@dataclass(frozen=True, slots=True)
class PolicyRecord:
    """A record for the policy of the peer process."""

    fields: list[Any]


Message = StateSent | Serving | DescriptorsInUse | RequestSent | PolicyRecord


class MessageError(ValueError):
    """The peer process sent an invalid message."""


def encode(message: Message) -> bytes:
    """Return a message as a line, with its line feed."""
    fields: list[Any]
    match message:
        case StateSent():
            fields = [STATE_SENT_TAG]
        case Serving():
            fields = [SERVING_TAG]
        case DescriptorsInUse(count):
            fields = [DESCRIPTORS_TAG, count]
        case RequestSent(request_id):
            fields = [REQUEST_SENT_TAG, request_id]
        case PolicyRecord(record):
            fields = record
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> Message:
    """Return the message of a line without its line feed.

    Raises:
        ValueError: the line is not JSON (`json.JSONDecodeError`), or not a message (`MessageError`).
        RecursionError: the JSON is nested too deeply.
    """
    fields = json.loads(line)
    if not isinstance(fields, list) or not fields:
        raise MessageError("expected a JSON array that is not empty")
    tag = fields[0]
    if tag == STATE_SENT_TAG:
        return StateSent()
    if tag == SERVING_TAG:
        return Serving()
    if tag == DESCRIPTORS_TAG and len(fields) > 1 and isinstance(fields[1], int):
        return DescriptorsInUse(fields[1])
    if tag == REQUEST_SENT_TAG and len(fields) > 1 and isinstance(fields[1], str):
        return RequestSent(fields[1])
    return PolicyRecord(fields)
