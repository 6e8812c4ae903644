"""The audit of one process: a record for each change of a version, and for each act that follows from one.

The last records are in memory, and in the folder `audit` if the configuration names one. Requests are never
recorded one by one: their outcomes are counted, and go with the record that ends the version they fell under.
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

AuditCallback = Callable[[str, str, str, str], None]  # kind, subject, version, cause, as of `Audit.record`

MAX_RECENT_RECORDS = 512  # in memory
MAX_VERSIONS = 512  # subjects whose version is known: those changed last
KINDS_WITH_COUNTS = frozenset({"list", "config"})  # outcomes of requests are counted under their versions


@dataclass(slots=True)
class Change:
    """A change to be recorded."""

    kind: str
    subject: str = ""
    version: str = ""
    version_before: str = ""
    cause: str = ""


def build_digest() -> str:
    """Return a digest of the program's own files: it identifies the build, whatever its release says."""
    digest = hashlib.blake2b(digest_size=8)
    for path in sorted(Path(__file__).parents[1].rglob("*.py")):
        digest.update(f"{path.name}\0".encode() + path.read_bytes())
    return digest.hexdigest()


class Audit:
    """Owns the versions that this process acts on, and the records of their changes.

    Args:
        name: of the gateway.
        incarnation: of this process.
        folder: where the records are written; None keeps them in memory alone.
        outcome_counts: gives the outcomes of requests since the start, by name.
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
        self.clock = HybridClock()  # the gossip's own once this gateway takes part in a fleet
        self.started_s = time.monotonic()
        self.recent: deque[Record] = deque(maxlen=MAX_RECENT_RECORDS)
        self.versions: dict[Subject, Record] = {}
        self.reported_counts: dict[str, int] = {}
        self.record_count = 0
        self.head = Head(0, "")  # the last record on disk
        self.writing = False  # whether the folder can be written
        self.writer: AuditWriter | None = None
        if folder is not None:
            self.writer = AuditWriter(folder, name, self._gap_record, self._on_progress)

    def join_fleet(self, clock: HybridClock, incarnation: Incarnation) -> None:
        """Stamp records by the clock of the gossip from now on, so that they order after what it brought."""
        clock.last = max(clock.last, self.clock.last)
        self.clock = clock
        self.incarnation = incarnation

    def record(self, kind: str, subject: str = "", version: str = "", cause: str = "") -> None:
        """Record that a version changed, or an act, which has none; the same version again is no change.

        Args:
            kind: of the version or act, as in docs/audit.md.
            subject: the backend, zone or gateway that it is of; empty where the kind has one.
            version: the new version; empty for an act.
            cause: why, for staff.
        """
        key = Subject(kind, subject)
        before = self.versions.get(key)
        if version and before is not None and before.version == version:
            return
        counts = self._new_counts() if kind in KINDS_WITH_COUNTS else {}
        version_before = before.version if before is not None else ""
        record = self._build(Change(kind, subject, version, version_before, cause), counts)
        if version:
            self._remember(key, record)
        self.record_count += 1
        self.recent.append(record)
        if self.writer is not None:
            self.writer.add(record)

    def _remember(self, key: Subject, record: Record) -> None:
        self.versions.pop(key, None)
        while len(self.versions) >= MAX_VERSIONS:
            del self.versions[next(iter(self.versions))]
        self.versions[key] = record

    def _build(self, change: Change, counts: dict[str, int]) -> Record:
        wall = now_ms()
        own = round(time.monotonic() - self.started_s, 3)
        # A gap is recorded in the writer's thread, which may not move the event loop's clock.
        stamp = self.clock.last if change.kind == GAP_KIND else self.clock.next(wall)
        return Record(
            number=0,  # numbered as it is written
            name=self.name,
            incarnation=self.incarnation,
            timestamp=stamp,
            wall_ms=round(wall, 3),
            uptime_s=own,
            kind=change.kind[:MAX_TEXT_CHARS],
            subject=change.subject[:MAX_TEXT_CHARS],
            version=change.version[:MAX_TEXT_CHARS],
            version_before=change.version_before[:MAX_TEXT_CHARS],
            cause=change.cause[:MAX_TEXT_CHARS],
            counts=counts,
        )

    def _new_counts(self) -> dict[str, int]:
        """Return the outcomes of requests since the last record that had counts."""
        counts = dict(list(self.outcome_counts().items())[:MAX_COUNTS])
        new = {outcome: number - self.reported_counts.get(outcome, 0) for outcome, number in counts.items()}
        self.reported_counts = counts
        return {outcome: number for outcome, number in new.items() if number}

    def _gap_record(self, cause: str, lost: int) -> Record:
        """Return the record that stands for lost ones; called in the writer's thread."""
        return self._build(Change(GAP_KIND, cause=cause), {"lost": lost})

    def _on_progress(self, head: Head, writing: bool) -> None:
        """Note the writer's progress; called in its thread, so each attribute is set by one assignment."""
        self.head = head
        self.writing = writing

    def close(self) -> None:
        """Write what waits, as far as the disk allows in time, and end the writer."""
        if self.writer is not None:
            self.writer.close()

    def gauges(self) -> dict[str, int]:
        """Return the audit's metrics by name."""
        gauges = {"audit.records": self.record_count}
        if self.writer is not None:
            gauges["audit.on"] = int(self.writing)
            gauges["audit.waiting"] = self.writer.queue.qsize()
            gauges["audit.faults"] = self.writer.faults
            gauges["audit.lost"] = self.writer.lost + self.writer.overflowed
        return gauges

    def to_json(self) -> str:
        """Return the versions and the last records, for `GET /ops/audit`."""
        shown = {
            "name": self.name,
            "life": list(self.incarnation),
            "now": {"wall": now_ms(), "at": list(self.clock.last)},
            "acts": dict(self.outcome_counts()),
            "versions": [msgspec.to_builtins(record) for record in self.versions.values()],
            "records": [msgspec.to_builtins(record) for record in self.recent],
            "kept": self.writing,
            "head": list(self.head),
        }
        return json.dumps(shown)
