"""Helpers of the audit's tests: records, chains of records, and folders with records."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from switchline.audit.chain import FIRST_DIGEST, Head, Record, encode_line, verify_chain
from switchline.audit.segments import Segments, segment_paths, text_lines

INCARNATION = (7, 3)


def make_record(n: int, name: str = "g0", wall: float = 0.0, **given: Any) -> Record:
    fields = {"kind": "list", "version": str(n), "uptime_s": 0.0, "timestamp": (int(wall) or n, 0)} | given
    return Record(number=n, name=name, incarnation=INCARNATION, wall_ms=wall or float(n), **fields)


def build_chain(number: int, start: str = FIRST_DIGEST) -> tuple[list[str], Head]:
    lines, before = [], start
    for n in range(1, number + 1):
        line, before = encode_line(make_record(n), before)
        lines.append(line)
    return lines, Head(number, before)


def write_records(folder: Path, number: int) -> Head:
    segments = Segments(folder, "g0")
    for n in range(number):
        segments.add(make_record(n))
    segments.sync()
    segments.close()
    return segments.head


def verify_folder(folder: Path, head: Head | None = None) -> tuple[list[Record], list[Any]]:
    return verify_chain(((path.name, text_lines(path)) for path in segment_paths(folder)), head)[:2]


def three_gateways() -> dict[str, list[Record]]:
    """Return the audits of three gateways.

    Two adopt list 2 at 2 s and 2.5 s, the third never does; the second then records that zone b is left.
    """
    return {
        "g0": [make_record(1, "g0", 1_000.0, version="1 aa"), make_record(2, "g0", 2_000.0, version="2 bb")],
        "g1": [
            make_record(1, "g1", 1_100.0, version="1 aa"),
            make_record(2, "g1", 2_500.0, version="2 bb"),
            make_record(3, "g1", 2_600.0, kind="zone", subject="a>b", version="1 left", cause="failing"),
        ],
        "g2": [make_record(1, "g2", 1_200.0, version="1 aa")],
    }
