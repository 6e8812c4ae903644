"""Who acted on which version: one record for each change of a version, and each act that follows from one.

Kept in memory (the last ones), and in the folder `audit`, if the configuration names one; never one for a
request: acts on requests are counted, and go with the record that ends their version.
"""

from __future__ import annotations

import hashlib
import json
import logging
import time
from collections import deque
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from switchline.audit.segments import Writer
from switchline.clock import now_ms
from switchline.fleet.chain import GAP, LONGEST_TEXT, MOST_COUNTS, Head, Record
from switchline.fleet.hybrid_clock import HybridClock
from switchline.fleet.messages import Incarnation

log = logging.getLogger(__name__)

Noted = Callable[[str, str, str, str], None]  # kind, of what, version, cause

MOST_HELD = 512  # records in memory
MOST_VERSIONS = 512  # things that have a version: those changed last
COUNTED = {"list", "config"}  # versions that acts on requests are counted under


def build_digest() -> str:
    """Of the program's own files, as they lie there: which build it is, whatever its release says."""
    found = hashlib.blake2b(digest_size=8)
    for path in sorted(Path(__file__).parents[1].rglob("*.py")):
        found.update(f"{path.name}\0".encode() + path.read_bytes())
    return found.hexdigest()


class Audit:
    """Owns the versions that this process acts on, and the records of their changes."""

    def __init__(
        self, name: str, life: Incarnation, folder: Path | None, counts: Callable[[], Mapping[str, int]]
    ) -> None:
        """`counts`: acts on requests since the start."""
        self.name, self.life, self.counts = name, life, counts
        self.order = HybridClock()  # the line's own, once there is one
        self.began = time.monotonic()
        self.held: deque[Record] = deque(maxlen=MOST_HELD)
        self.versions: dict[tuple[str, str], Record] = {}
        self.counted: dict[str, int] = {}
        self.number = 0
        self.head, self.on = Head(0, ""), False
        self.writer = Writer(folder, name, self._gap, self._told) if folder is not None else None

    def follow(self, order: HybridClock, life: Incarnation) -> None:
        """The line is open: records stand in the order of what came over it."""
        order.last = max(order.last, self.order.last)
        self.order, self.life = order, life

    def note(self, kind: str, of: str = "", version: str = "", cause: str = "") -> None:
        """A version changed, or an act followed from one (without a version of its own)."""
        before = self.versions.get((kind, of))
        if version and before is not None and before.version == version:
            return
        counts = self._acts() if kind in COUNTED else {}
        record = self._made(kind, of, version, before.version if before is not None else "", cause, counts)
        if version:
            self.versions.pop((kind, of), None)
            while len(self.versions) >= MOST_VERSIONS:
                del self.versions[next(iter(self.versions))]
            self.versions[kind, of] = record
        self.number += 1
        self.held.append(record)
        if self.writer is not None:
            self.writer.add(record)

    def _made(
        self, kind: str, of: str, version: str, before: str, cause: str, counts: dict[str, int]
    ) -> Record:
        wall = now_ms()
        kind, of, version, before, cause = (t[:LONGEST_TEXT] for t in (kind, of, version, before, cause))
        own = round(time.monotonic() - self.began, 3)
        at = self.order.next(wall) if kind != GAP else self.order.last  # that one is made in the thread
        wall = round(wall, 3)
        return Record(0, self.name, self.life, at, wall, own, kind, of, version, before, cause, counts)

    def _acts(self) -> dict[str, int]:
        """Acts on requests since the last version that they are counted under."""
        now = dict(list(self.counts().items())[:MOST_COUNTS])
        found = {what: number - self.counted.get(what, 0) for what, number in now.items()}
        self.counted = now
        return {what: number for what, number in found.items() if number}

    def _gap(self, why: str, lost: int) -> Record:
        return self._made(GAP, "", "", "", why, {"lost": lost})

    def _told(self, head: Head, on: bool) -> None:
        """Called in the writer's thread: one word each, so that none is half seen."""
        self.head, self.on = head, on

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()

    # ---- what staff see ----

    def gauges(self) -> dict[str, int]:
        found = {"audit.records": self.number}
        if self.writer is not None:
            waiting = self.writer.queue.qsize()
            faults, lost = self.writer.faults, self.writer.lost + self.writer.over
            found |= {"audit.on": int(self.on), "audit.waiting": waiting}
            found |= {"audit.faults": faults, "audit.lost": lost}
        return found

    def shown(self) -> str:
        """For `GET /ops/audit`: JSON."""
        versions = [msgspec.to_builtins(record) for record in self.versions.values()]
        return json.dumps(
            {
                "name": self.name,
                "life": list(self.life),
                "now": {"wall": now_ms(), "at": list(self.order.last)},
                "acts": dict(self.counts()),
                "versions": versions,
                "records": [msgspec.to_builtins(record) for record in self.held],
                "kept": self.on,
                "head": list(self.head),
            }
        )
