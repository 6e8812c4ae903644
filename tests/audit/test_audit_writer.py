"""The thread that writes the audit, while the disk fails."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

import pytest
from audit_records import read_back, record

from switchline.audit.chain import GAP_KIND, Head, Record
from switchline.audit.writer import AuditWriter


def wait_until(until: Any, limit_s: float = 20.0) -> bool:
    ends = time.monotonic() + limit_s
    while not until() and time.monotonic() < ends:
        time.sleep(0.01)
    return bool(until())


def test_a_disk_that_fails_is_counted_and_told_by_a_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("switchline.audit.writer.SYNC_INTERVAL_S", 0.01)
    monkeypatch.setattr("switchline.audit.writer.RETRY_INTERVAL_S", 0.01)
    heads: list[tuple[Head, bool]] = []
    folder = tmp_path / "audit"
    folder.write_text("no folder")

    def gap(why: str, lost: int) -> Record:
        return record(0, kind=GAP_KIND, version="", cause=why, counts={"lost": lost})

    monkeypatch.setattr("switchline.audit.writer.MAX_WAITING_RECORDS", 5)
    writer = AuditWriter(folder, "g0", gap, lambda head, on: heads.append((head, on)))
    for n in range(20):
        writer.add(record(n))
        assert wait_until(lambda: writer.queue.qsize() < 5)
    assert wait_until(lambda: writer.faults > 1 and writer.lost + writer.overflowed > 0)
    folder.unlink()
    assert wait_until(lambda: any(on for _, on in heads))
    writer.add(record(99))
    writer.close()
    records, wrong = read_back(folder)
    assert not wrong and records[0].kind == GAP_KIND and records[0].counts["lost"] >= 1
    assert [r for r in records if r.kind == GAP_KIND][0].cause and records[-1].version == "99"
    if os.geteuid():  # root writes where it may not
        os.chmod(folder, 0o500)
