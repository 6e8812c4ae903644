"""The line protocol of the counter: each call and each answer is one line, and answers come in order.

    tally NAME AMOUNT EXPIRE_MS  ->  ok TOTAL  |  busy  |  error

A call adds an amount to a named number, which expires EXPIRE_MS after its first addition, and returns the
total. Only this module uses the command word of the protocol, `tally`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchline.policy.interface import Outcome

MAX_LINE_BYTES = 1024
REJECTIONS = ([b"busy"], [b"error"])


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the counter.

    Attributes:
        outcome: OK, QUEUE_FULL (nothing was added) or TIMED_OUT (it is unknown whether the amount was added).
        total: Value of the number after the addition; 0 unless the outcome is OK.
    """

    outcome: Outcome
    total: float = 0.0


NOT_ADDED = Answer(Outcome.QUEUE_FULL)
UNREADABLE = Answer(Outcome.TIMED_OUT)


def encode_call(name: bytes, amount: float, expire_ms: float) -> bytes:
    """Encode one call with its line ending; the amount is written with six decimal places."""
    return b"tally %b %b %d\r\n" % (name, b"%.6f" % amount, max(1, int(expire_ms)))


def decode_answer(line: bytes) -> Answer:
    """Decode one line, passed without its line feed; the answer is UNREADABLE if the line is malformed."""
    words = line.split()
    if words in REJECTIONS:
        return NOT_ADDED
    if len(words) != 2 or words[0] != b"ok":
        return UNREADABLE
    try:
        total = float(words[1])
    except ValueError:
        return UNREADABLE
    return Answer(Outcome.OK, total) if math.isfinite(total) else UNREADABLE
