"""Records of an audit as a hash chain: each line has the hash of the one before it. Pure.

A line is the record in JSON, a tab, and its hash (BLAKE2b) over the hash before and the JSON. A line that is
changed, cut, swapped or dropped so shows at the next one. What follows the last line is not known here:
gateways publish the numbers and hashes of their last records (`Head`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Annotated, NamedTuple

import msgspec

from switchline.fleet.messages import Count, HybridTimestamp, Incarnation

FIRST_DIGEST = ""  # before the first record
DIGEST_BYTES = 12
MAX_LINE_CHARS = 8_192  # of a record with its hash
MAX_TEXT_CHARS = 400  # of a cause, a name or a version
MAX_COUNTS = 16
GAP_KIND = "gap"  # kind of a record after others were lost; its counts say how many
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
"""By field of a record: its key in the files, and in what operators are shown."""


class Record(msgspec.Struct, frozen=True, omit_defaults=True, rename=STORED_NAMES):
    """One change of a version, or one act that follows from one.

    Attributes:
        number: Of the record within the audit, from 1.
        name: Of the gateway.
        incarnation: Of its process.
        timestamp: Its place in the fleet's order, of a hybrid logical clock.
        wall_ms: Milliseconds of wall time.
        uptime_s: Seconds since the process began.
        kind: What it is about, such as "list" or "zone".
        subject: The zone, or the backend.
        version: The version from now on.
        version_before: The version until now.
        cause: Why.
        counts: Outcomes of requests under the version that ends here.
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
    """The last record of a gateway: its number and hash."""

    number: int
    digest: str


class Finding(NamedTuple):
    """What is wrong with a chain, and at which line of which segment."""

    segment: str
    line: int
    problem: str


class DecodedLine(NamedTuple):
    """A line of an audit: its record, the record's JSON, and the hash at its end."""

    record: Record
    body: str
    digest: str


def chain_digest(before: str, body: str) -> str:
    """Return the hash of a record's JSON, given the hash of the record before it."""
    return hashlib.blake2b(f"{before}\n{body}".encode(), digest_size=DIGEST_BYTES).hexdigest()


def encode_line(record: Record, before: str) -> tuple[str, str]:
    """Return a record as a line, and its hash, given the hash of the record before it."""
    body = msgspec.json.encode(record).decode()
    digest = chain_digest(before, body)
    return f"{body}{SEPARATOR}{digest}\n", digest


def decode_line(line: str) -> DecodedLine | None:
    """Return what a line holds; None for what is no line of an audit."""
    body, separator, digest = line.rstrip("\n").rpartition(SEPARATOR)
    if not separator or len(line) > MAX_LINE_CHARS:
        return None
    try:
        return DecodedLine(msgspec.json.decode(body, type=Record), body, digest)
    except (msgspec.MsgspecError, UnicodeEncodeError, RecursionError):
        return None


class ChainVerifier:
    """Checks lines in their order, and collects the records that are sound."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.findings: list[Finding] = []
        self.last: Head | None = None

    def add(self, segment: str, number: int, line: str) -> None:
        """Check the next line; `number` is its own within the segment, from 1."""
        decoded = decode_line(line) if line.endswith("\n") else None
        if decoded is None:
            self.findings.append(Finding(segment, number, "not a whole record"))
            return
        problem = self._problem_of(decoded)
        if problem is None:
            self.records.append(decoded.record)
        else:
            self.findings.append(Finding(segment, number, problem))
        self.last = Head(decoded.record.number, decoded.digest)

    def _problem_of(self, decoded: DecodedLine) -> str | None:
        """Return what is wrong with a record after the last one; None for nothing."""
        number = decoded.record.number
        before = self.last.digest if self.last is not None else FIRST_DIGEST
        is_checkable = self.last is not None or number <= 1  # the oldest records may have been removed
        if is_checkable and decoded.digest != chain_digest(before, decoded.body):
            return f"record {number}: not as it was written, or out of place"
        if self.last is not None and number != self.last.number + 1:
            return f"record {number} after {self.last.number}"
        return None


def verify_chain(
    segments: Iterable[tuple[str, Iterable[str]]], head: Head | None = None
) -> tuple[list[Record], list[Finding], Head | None]:
    """Check segments in their order.

    The first segment may begin anywhere, as the oldest are removed in time; its first record's hash can't be
    checked then.

    Args:
        segments: The name and the lines of each.
        head: What the gateway published as its last record; if it is not there, it was dropped.

    Returns:
        The records that are sound, what is wrong, and the last record.
    """
    verifier = ChainVerifier()
    is_head_seen = head is None
    for name, lines in segments:
        for number, line in enumerate(lines, 1):
            verifier.add(name, number, line)
            is_head_seen = is_head_seen or verifier.last == head
    if not is_head_seen and head is not None:
        problem = f"record {head.number}, as others were told of it, is not there"
        verifier.findings.append(Finding("", 0, problem))
    return verifier.records, verifier.findings, verifier.last
