"""The audit's files: starts with damaged segments, rotation, and folders that are refused."""

from __future__ import annotations

from pathlib import Path

import pytest
from audit_records import make_record, verify_folder, write_records
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline.audit.segments import MAX_SEGMENTS, AuditError, Segments, segment_paths


def test_a_start_continues_the_chain_and_cuts_off_an_incomplete_record(tmp_path: Path) -> None:
    write_records(tmp_path, 3)
    whole_segment = segment_paths(tmp_path)[0].read_bytes()
    for torn in (
        whole_segment[:-1],
        whole_segment[: len(whole_segment) - 40],
        whole_segment + b"\xff{half a rec",
    ):
        segment_paths(tmp_path)[0].write_bytes(torn)
        segments = Segments(tmp_path, "g0")
        assert segments.bytes_cut and segments.head.number in (2, 3)
        segments.add(make_record(0))
        segments.close()
        assert not verify_folder(tmp_path)[1]
        segment_paths(tmp_path)[0].write_bytes(whole_segment)


def test_an_incomplete_record_after_invalid_utf8_is_cut_off_at_its_start(tmp_path: Path) -> None:
    write_records(tmp_path, 4)
    path = segment_paths(tmp_path)[0]
    lines = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(lines[0] + b"\xff\xfe\xfd\n" + b"".join(lines[1:]) + b"torn off here, longer than that")
    Segments(tmp_path, "g0").close()
    assert path.read_bytes().endswith(lines[-1])


def test_segments_rotate_and_the_oldest_are_removed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("switchline.audit.segments.MAX_SEGMENT_BYTES", 2_000)
    write_records(tmp_path, 400)
    assert (
        len(segment_paths(tmp_path)) == MAX_SEGMENTS
        and sum(p.stat().st_size for p in segment_paths(tmp_path)) < 40_000
    )
    records, findings = verify_folder(tmp_path)
    assert not findings and records[-1].number == 400 and records[0].number > 1
    segment_paths(tmp_path)[7].unlink()
    assert verify_folder(tmp_path)[1]


def test_a_folder_of_another_gateway_or_locked_by_another_process_is_refused(tmp_path: Path) -> None:
    write_records(tmp_path, 2)
    with pytest.raises(AuditError, match="'g0'"):
        Segments(tmp_path, "g1")
    held = Segments(tmp_path, "g0")
    with pytest.raises(AuditError, match="another process"):
        Segments(tmp_path, "g0")
    held.close()


@settings(max_examples=60, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 900))
def test_corrupted_segments_are_opened_or_raise_only_audit_error(
    tmp_path_factory: pytest.TempPathFactory, noise: bytes, place: int
) -> None:
    folder = tmp_path_factory.mktemp("spoilt")
    write_records(folder, 4)
    data = segment_paths(folder)[0].read_bytes()
    segment_paths(folder)[0].write_bytes(data[:place] + noise + data[place + len(noise) :])
    try:
        segments = Segments(folder, "g0")
        segments.add(make_record(0))
        segments.close()
    except AuditError:
        pass
    verify_folder(folder)
