"""Records of an audit, each with the hash of the one before it. Pure: lines in, findings out.

A line is the record in JSON, a tab, and its hash (BLAKE2b) over the hash before and the JSON; so one that is
flipped, cut, swapped or dropped shows at the next one. What follows the last line is not known here: gateways
tell each other the numbers and hashes of their last records (`Head`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Annotated, NamedTuple

import msgspec

from switchline.fleet.messages import Count, HybridTimestamp, Incarnation

FIRST = ""  # the hash before the first record
SUM_BYTES = 12
LONGEST_LINE = 8_192  # characters of a record with its hash
LONGEST_TEXT = 400  # of a cause, a name or a version in it
MOST_COUNTS = 16
GAP = "gap"  # kind of a record after others were lost; its counts tell how many

Text = Annotated[str, msgspec.Meta(max_length=LONGEST_TEXT)]


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change of a version, or one act that follows from one.

    `at` is its place in the fleet's order, `wall` milliseconds of wall time, `own` seconds since the process
    began. `counts` are acts on requests under the version that ends here.
    """

    n: Count
    name: Text  # of the gateway
    life: Incarnation
    at: HybridTimestamp
    wall: float
    own: float
    kind: Text
    of: Text = ""  # a zone, a backend
    version: Text = ""
    before: Text = ""  # the version until now
    cause: Text = ""
    counts: Annotated[dict[str, int], msgspec.Meta(max_length=MOST_COUNTS)] = {}


class Head(NamedTuple):
    """The last record of a gateway: its number and hash."""

    n: int
    sum: str


class Finding(NamedTuple):
    """What is wrong with a chain, and at which line of which segment."""

    segment: str
    line: int
    what: str


def sum_of(before: str, body: str) -> str:
    return hashlib.blake2b(f"{before}\n{body}".encode(), digest_size=SUM_BYTES).hexdigest()


def write(record: Record, before: str) -> tuple[str, str]:
    """A record as a line, and its hash."""
    body = msgspec.json.encode(record).decode()
    found = sum_of(before, body)
    return f"{body}\t{found}\n", found


def read(line: str) -> tuple[Record, str, str] | None:
    """A line's record, JSON and hash; None for what is no line of an audit."""
    body, tab, found = line.rstrip("\n").rpartition("\t")
    if not tab or len(line) > LONGEST_LINE:
        return None
    try:
        return msgspec.json.decode(body, type=Record), body, found
    except (msgspec.MsgspecError, UnicodeEncodeError, RecursionError):
        return None


def verify(
    segments: Iterable[tuple[str, Iterable[str]]], head: Head | None = None
) -> tuple[list[Record], list[Finding], Head | None]:
    """Read segments in their order: the records that are good, what is wrong, and the last one.

    The first segment may begin anywhere, as the oldest give way; its first record's hash can't be checked
    then. `head` is what the gateway once told others to be its last record: is it not there, it was dropped.
    """
    records: list[Record] = []
    wrong: list[Finding] = []
    last: Head | None = None
    told = head is None
    for name, lines in segments:
        for number, line in enumerate(lines, 1):
            found = read(line) if line.endswith("\n") else None
            if found is None:
                wrong.append(Finding(name, number, "not a whole record"))
                continue
            record, body, given = found
            unknown = last is None and record.n > 1
            if not unknown and given != sum_of(last.sum if last else FIRST, body):
                wrong.append(
                    Finding(name, number, f"record {record.n}: not as it was written, or out of place")
                )
            elif last is not None and record.n != last.n + 1:
                wrong.append(Finding(name, number, f"record {record.n} after {last.n}"))
            else:
                records.append(record)
            last = Head(record.n, given)
            told = told or last == head
    if not told and head is not None:
        wrong.append(Finding("", 0, f"record {head.n}, as others were told of it, is not there"))
    return records, wrong, last
