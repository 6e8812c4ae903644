"""The counter's line protocol: one line a call, one line an answer, in order.

    tally NAME AMOUNT EXPIRE_MS  ->  ok TOTAL  |  busy  |  error

A call adds an amount to a named number, which expires some time after its first addition, and returns the
total. The protocol's word for it, `tally`, stands here alone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchline.policy.interface import Outcome

MAX_LINE_BYTES = 1024
REJECTIONS = ([b"busy"], [b"error"])


@dataclass(frozen=True, slots=True)
class Answer:
    """What the counter answered.

    Attributes:
        outcome: OK, FULL (nothing was added), or TIMED_OUT (it is not known whether it was added).
        total: after the addition; 0 unless OK.
    """

    outcome: Outcome
    total: float = 0.0


NOT_ADDED = Answer(Outcome.QUEUE_FULL)
UNREADABLE = Answer(Outcome.TIMED_OUT)


def encode_call(name: bytes, amount: float, expire_ms: float) -> bytes:
    """Encode one call; the amount is told to six decimal places."""
    return b"tally %b %b %d\r\n" % (name, b"%.6f" % amount, max(1, int(expire_ms)))


def decode_answer(line: bytes) -> Answer:
    """Decode one line, without its line feed."""
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
