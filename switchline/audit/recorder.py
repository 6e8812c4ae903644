"""The audit of one process: a record for each change of a version, and for each action that follows from one.

The last records are in memory; all records are written to the folder `audit` if it is configured. Requests
are not recorded one by one: their outcomes are counted, and stored in the record that replaces the version
under which they ended.
"""

from __future__ import annotations

import hashlib
import json
import logging
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec

from switchline.audit.chain import GAP_KIND, MAX_COUNTS, MAX_TEXT_CHARS, Head, Record
from switchline.audit.queries import Subject
from switchline.audit.writer import AuditWriter
from switchline.clock import now_ms
from switchline.fleet.hybrid_clock import HybridClock
from switchline.fleet.messages import Incarnation

log = logging.getLogger(__name__)

AuditCallback = Callable[[str, str, str, str], None]
"""Called with a kind, subject, version and cause, as `Audit.record`."""

MAX_RECENT_RECORDS = 512  # the most records that stay in memory
MAX_VERSIONS = 512  # the most versions in memory: those of the subjects that changed last
KINDS_WITH_COUNTS = frozenset({"list", "config"})
"""The kinds of versions for which the outcomes of requests are counted."""


@dataclass(slots=True)
class Change:
    """A change to be recorded, with the fields of `Record`."""

    kind: str
    subject: str = ""
    version: str = ""
    version_before: str = ""
    cause: str = ""


def build_digest() -> str:
    """Return a digest of the program's files, which identifies the build independently of its release."""
    digest = hashlib.blake2b(digest_size=8)
    for path in sorted(Path(__file__).parents[1].rglob("*.py")):
        digest.update(f"{path.name}\0".encode() + path.read_bytes())
    return digest.hexdigest()


class Audit:
    """Owns the versions that this process acts on, and the records of their changes.

    Args:
        name: the name of the gateway.
        incarnation: the incarnation of this process.
        folder: the folder for the records; None keeps the last ones in memory only.
        outcome_counts: returns the number of requests since the start by outcome.
    """

    def __init__(
        self,
        name: str,
        incarnation: Incarnation,
        folder: Path | None,
        outcome_counts: Callable[[], Mapping[str, int]],
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.outcome_counts = outcome_counts
        self.clock = HybridClock()  # replaced by the clock of gossip once this gateway joins a fleet
        self.started_at_s = time.monotonic()
        self.recent: deque[Record] = deque(maxlen=MAX_RECENT_RECORDS)
        self.versions: dict[Subject, Record] = {}
        self.reported_counts: dict[str, int] = {}
        self.record_count = 0
        self.head = Head(0, "")  # the last record on disk
        self.is_writable = False  # whether the last attempt to write the folder succeeded
        self.writer: AuditWriter | None = None
        if folder is not None:
            self.writer = AuditWriter(folder, name, self._gap_record, self._on_progress)

    def join_fleet(self, clock: HybridClock, incarnation: Incarnation) -> None:
        """Use the clock of gossip for timestamps, so that records are ordered after facts from gossip."""
        clock.last = max(clock.last, self.clock.last)
        self.clock = clock
        self.incarnation = incarnation

    def record(self, kind: str, subject: str = "", version: str = "", cause: str = "") -> None:
        """Record the change of a version, or an action without a version; an unchanged version is ignored.

        Args:
            kind: the kind of the version or action, as in docs/audit.md.
            subject: the backend, zone or gateway concerned; empty if the kind has only one subject.
            version: the new version; empty for an action.
            cause: the cause, for operators.
        """
        subject_key = Subject(kind, subject)
        before = self.versions.get(subject_key)
        if version and before is not None and before.version == version:
            return
        counts = self._new_counts() if kind in KINDS_WITH_COUNTS else {}
        version_before = before.version if before is not None else ""
        record = self._build(Change(kind, subject, version, version_before, cause), counts)
        if version:
            self._remember(subject_key, record)
        self.record_count += 1
        self.recent.append(record)
        if self.writer is not None:
            self.writer.add(record)

    def _remember(self, subject_key: Subject, record: Record) -> None:
        self.versions.pop(subject_key, None)
        while len(self.versions) >= MAX_VERSIONS:
            del self.versions[next(iter(self.versions))]
        self.versions[subject_key] = record

    def _build(self, change: Change, counts: dict[str, int]) -> Record:
        wall_ms = now_ms()
        uptime_s = round(time.monotonic() - self.started_at_s, 3)
        # A gap is recorded in the writer's thread, which may not move the event loop's clock.
        timestamp = self.clock.last if change.kind == GAP_KIND else self.clock.next(wall_ms)
        return Record(
            number=0,  # the writer sets the number
            name=self.name,
            incarnation=self.incarnation,
            timestamp=timestamp,
            wall_ms=round(wall_ms, 3),
            uptime_s=uptime_s,
            kind=change.kind[:MAX_TEXT_CHARS],
            subject=change.subject[:MAX_TEXT_CHARS],
            version=change.version[:MAX_TEXT_CHARS],
            version_before=change.version_before[:MAX_TEXT_CHARS],
            cause=change.cause[:MAX_TEXT_CHARS],
            counts=counts,
        )

    def _new_counts(self) -> dict[str, int]:
        """Return the numbers of requests by outcome since the last record that had counts."""
        counts = dict(list(self.outcome_counts().items())[:MAX_COUNTS])
        new_counts = {
            outcome: number - self.reported_counts.get(outcome, 0) for outcome, number in counts.items()
        }
        self.reported_counts = counts
        return {outcome: number for outcome, number in new_counts.items() if number}

    def _gap_record(self, cause: str, lost: int) -> Record:
        """Return the record that stands for `lost` records; called in the writer's thread."""
        return self._build(Change(GAP_KIND, cause=cause), {"lost": lost})

    def _on_progress(self, head: Head, is_writable: bool) -> None:
        """Set the writer's progress; called in its thread, so each attribute is set by one assignment."""
        self.head = head
        self.is_writable = is_writable

    def close(self) -> None:
        """Write the waiting records, as far as the writer's timeout allows, and end the writer."""
        if self.writer is not None:
            self.writer.close()

    def gauges(self) -> dict[str, int]:
        """Return the audit's metrics by name."""
        gauges = {"audit.records": self.record_count}
        if self.writer is not None:
            gauges["audit.on"] = int(self.is_writable)
            gauges["audit.waiting"] = self.writer.queue.qsize()
            gauges["audit.faults"] = self.writer.faults
            gauges["audit.lost"] = self.writer.lost + self.writer.overflowed
        return gauges

    def to_json(self) -> str:
        """Return the versions and the last records as JSON, for `GET /ops/audit`."""
        shown = {
            "name": self.name,
            "life": list(self.incarnation),
            "now": {"wall": now_ms(), "at": list(self.clock.last)},
            "acts": dict(self.outcome_counts()),
            "versions": [msgspec.to_builtins(record) for record in self.versions.values()],
            "records": [msgspec.to_builtins(record) for record in self.recent],
            "kept": self.is_writable,
            "head": list(self.head),
        }
        return json.dumps(shown)
