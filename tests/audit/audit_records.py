"""Helpers of the tests of the audit: records, chains of them, and folders that hold some."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from switchline.audit.chain import FIRST_DIGEST, Head, Record, encode_line, verify_chain
from switchline.audit.segments import Segments, segment_paths, text_lines

LIFE = (7, 3)


def record(n: int, name: str = "g0", wall: float = 0.0, **given: Any) -> Record:
    made = {"kind": "list", "version": str(n), "uptime_s": 0.0, "timestamp": (int(wall) or n, 0)} | given
    return Record(number=n, name=name, incarnation=LIFE, wall_ms=wall or float(n), **made)


def chain(number: int, start: str = FIRST_DIGEST) -> tuple[list[str], Head]:
    made, before = [], start
    for n in range(1, number + 1):
        line, before = encode_line(record(n), before)
        made.append(line)
    return made, Head(number, before)


def fill(folder: Path, number: int) -> Head:
    segments = Segments(folder, "g0")
    for n in range(number):
        segments.add(record(n))
    segments.sync()
    segments.close()
    return segments.head


def read_back(folder: Path, head: Head | None = None) -> tuple[list[Record], list[Any]]:
    return verify_chain(((path.name, text_lines(path)) for path in segment_paths(folder)), head)[:2]


def three_gateways() -> dict[str, list[Record]]:
    """Three gateways: two take list 2 at 2 s and 2.5 s, the third never; a zone is left in between."""
    return {
        "g0": [record(1, "g0", 1_000.0, version="1 aa"), record(2, "g0", 2_000.0, version="2 bb")],
        "g1": [
            record(1, "g1", 1_100.0, version="1 aa"),
            record(2, "g1", 2_500.0, version="2 bb"),
            record(3, "g1", 2_600.0, kind="zone", subject="a>b", version="1 left", cause="failing"),
        ],
        "g2": [record(1, "g2", 1_200.0, version="1 aa")],
    }
