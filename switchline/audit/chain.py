"""The hash chain of an audit's records: the hash of each line covers the hash of the line before it. No I/O.

A line is the record in JSON, a tab, and a BLAKE2b hash over the previous line's hash and the JSON. A line
that was changed, cut, swapped or dropped is therefore detected at the next line. Lines dropped at the end
can't be detected from the chain alone, so gateways publish the numbers and hashes of their last records
(`Head`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Annotated, NamedTuple

import msgspec

from switchline.fleet.messages import Count, HybridTimestamp, Incarnation

FIRST_DIGEST = ""  # the previous hash of the first record
DIGEST_BYTES = 12
MAX_LINE_CHARS = 8_192  # the longest line, including the hash
MAX_TEXT_CHARS = 400  # limits a cause, a name or a version
MAX_COUNTS = 16
GAP_KIND = "gap"
"""The kind of a record that stands for lost records; its counts have their number."""

SEPARATOR = "\t"

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]

STORED_NAMES = {
    "number": "n",
    "incarnation": "life",
    "timestamp": "at",
    "wall_ms": "wall",
    "uptime_s": "own",
    "subject": "of",
    "version_before": "before",
}
"""The keys of a record's fields in the files and in replies to operators."""


class Record(msgspec.Struct, frozen=True, omit_defaults=True, rename=STORED_NAMES):
    """One change of a version, or one action that follows from such a change.

    Attributes:
        number: The number of the record in the audit, from 1.
        name: The name of the gateway.
        incarnation: The incarnation of its process.
        timestamp: The time of a hybrid logical clock, which orders the records of all gateways.
        wall_ms: The wall time in Unix milliseconds.
        uptime_s: Seconds since the start of the process.
        kind: The kind of the version or action, such as "list" or "zone".
        subject: The zone or backend that the record is about.
        version: The new version; empty for an action.
        version_before: The previous version.
        cause: The cause of the change, for operators.
        counts: The outcomes of requests under the previous version, by name.
    """

    number: Count
    name: Text
    incarnation: Incarnation
    timestamp: HybridTimestamp
    wall_ms: float
    uptime_s: float
    kind: Text
    subject: Text = ""
    version: Text = ""
    version_before: Text = ""
    cause: Text = ""
    counts: Annotated[dict[str, int], msgspec.Meta(max_length=MAX_COUNTS)] = {}


class Head(NamedTuple):
    """The number and hash of the last record of a gateway."""

    number: int
    digest: str


class Finding(NamedTuple):
    """A fault of a chain, and the segment and line at which it was found."""

    segment: str
    line: int
    problem: str


class DecodedLine(NamedTuple):
    """A line of an audit: the record, its JSON, and the hash at the end of the line."""

    record: Record
    body: str
    digest: str


def chain_digest(previous_digest: str, body: str) -> str:
    """Return the hash of a record's JSON, given the hash of the record before it."""
    return hashlib.blake2b(f"{previous_digest}\n{body}".encode(), digest_size=DIGEST_BYTES).hexdigest()


def encode_line(record: Record, previous_digest: str) -> tuple[str, str]:
    """Return the line of a record and its hash, given the hash of the record before it."""
    body = msgspec.json.encode(record).decode()
    digest = chain_digest(previous_digest, body)
    return f"{body}{SEPARATOR}{digest}\n", digest


def decode_line(line: str) -> DecodedLine | None:
    """Return the parts of a line; None if it is not a line of an audit."""
    body, separator, digest = line.rstrip("\n").rpartition(SEPARATOR)
    if not separator or len(line) > MAX_LINE_CHARS:
        return None
    try:
        return DecodedLine(msgspec.json.decode(body, type=Record), body, digest)
    except (msgspec.MsgspecError, UnicodeEncodeError, RecursionError):
        return None


class ChainVerifier:
    """Checks lines in order, and collects the valid records."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.findings: list[Finding] = []
        self.last: Head | None = None

    def add(self, segment: str, number: int, line: str) -> None:
        """Check the next line; `number` is its line number in the segment, from 1."""
        decoded = decode_line(line) if line.endswith("\n") else None
        if decoded is None:
            self.findings.append(Finding(segment, number, "not a complete record"))
            return
        problem = self._problem_of(decoded)
        if problem is None:
            self.records.append(decoded.record)
        else:
            self.findings.append(Finding(segment, number, problem))
        self.last = Head(decoded.record.number, decoded.digest)

    def _problem_of(self, decoded: DecodedLine) -> str | None:
        """Return what is wrong with the record that follows the last one; None if it is valid."""
        number = decoded.record.number
        previous_digest = self.last.digest if self.last is not None else FIRST_DIGEST
        is_checkable = self.last is not None or number <= 1  # the oldest segments may have been removed
        if is_checkable and decoded.digest != chain_digest(previous_digest, decoded.body):
            return f"record {number}: not as it was written, or out of order"
        if self.last is not None and number != self.last.number + 1:
            return f"record {number} follows record {self.last.number}"
        return None


def verify_chain(
    segments: Iterable[tuple[str, Iterable[str]]], head: Head | None = None
) -> tuple[list[Record], list[Finding], Head | None]:
    """Check segments in order.

    The chain may begin with any record number, because the oldest segments are removed in time; the hash of
    the first record can't be checked then.

    Args:
        segments: The name and the lines of each segment.
        head: The last record that the gateway published; a finding is added if it is missing.

    Returns:
        The valid records, the faults of the chain, and the last record.
    """
    verifier = ChainVerifier()
    is_head_seen = head is None
    for name, lines in segments:
        for number, line in enumerate(lines, 1):
            verifier.add(name, number, line)
            is_head_seen = is_head_seen or verifier.last == head
    if not is_head_seen and head is not None:
        problem = f"record {head.number}, which the gateway published, is missing"
        verifier.findings.append(Finding("", 0, problem))
    return verifier.records, verifier.findings, verifier.last
