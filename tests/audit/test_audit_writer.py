"""The thread that writes the audit, while the disk fails."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

import pytest
from audit_records import make_record, verify_folder

from switchline.audit.chain import GAP_KIND, Head, Record
from switchline.audit.writer import AuditWriter


def wait_until(condition: Any, limit_s: float = 20.0) -> bool:
    deadline = time.monotonic() + limit_s
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.01)
    return bool(condition())


def test_records_lost_to_a_failing_disk_are_counted_in_a_gap_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("switchline.audit.writer.SYNC_INTERVAL_S", 0.01)
    monkeypatch.setattr("switchline.audit.writer.RETRY_INTERVAL_S", 0.01)
    heads: list[tuple[Head, bool]] = []
    folder = tmp_path / "audit"
    folder.write_text("no folder")

    def gap_record(cause: str, lost: int) -> Record:
        return make_record(0, kind=GAP_KIND, version="", cause=cause, counts={"lost": lost})

    monkeypatch.setattr("switchline.audit.writer.MAX_WAITING_RECORDS", 5)
    writer = AuditWriter(
        folder, "g0", gap_record, lambda head, is_writable: heads.append((head, is_writable))
    )
    for n in range(20):
        writer.add(make_record(n))
        assert wait_until(lambda: writer.queue.qsize() < 5)
    assert wait_until(lambda: writer.faults > 1 and writer.lost + writer.overflowed > 0)
    folder.unlink()
    assert wait_until(lambda: any(is_writable for _, is_writable in heads))
    writer.add(make_record(99))
    writer.close()
    records, findings = verify_folder(folder)
    assert not findings and records[0].kind == GAP_KIND and records[0].counts["lost"] >= 1
    assert [r for r in records if r.kind == GAP_KIND][0].cause and records[-1].version == "99"
    if os.geteuid():  # root may write in any folder
        os.chmod(folder, 0o500)
