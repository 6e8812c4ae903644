"""The audit's files: starts on damaged ones, rotation, and folders that are refused."""

from __future__ import annotations

from pathlib import Path

import pytest
from audit_records import fill, read_back, record
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline.audit.segments import MAX_SEGMENTS, AuditError, Segments, segment_paths


def test_a_chain_goes_on_after_a_start_and_a_torn_end_is_cut(tmp_path: Path) -> None:
    fill(tmp_path, 3)
    whole = segment_paths(tmp_path)[0].read_bytes()
    for torn in (whole[:-1], whole[: len(whole) - 40], whole + b"\xff{half a rec"):
        segment_paths(tmp_path)[0].write_bytes(torn)
        segments = Segments(tmp_path, "g0")
        assert segments.bytes_cut and segments.head.number in (2, 3)
        segments.add(record(0))
        segments.close()
        assert not read_back(tmp_path)[1]
        segment_paths(tmp_path)[0].write_bytes(whole)


def test_a_torn_end_after_a_line_that_is_no_text_is_cut_where_it_begins(tmp_path: Path) -> None:
    fill(tmp_path, 4)
    path = segment_paths(tmp_path)[0]
    made = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(made[0] + b"\xff\xfe\xfd\n" + b"".join(made[1:]) + b"torn off here, longer than that")
    Segments(tmp_path, "g0").close()
    assert path.read_bytes().endswith(made[-1])


def test_segments_rotate_and_the_oldest_give_way(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("switchline.audit.segments.MAX_SEGMENT_BYTES", 2_000)
    fill(tmp_path, 400)
    assert (
        len(segment_paths(tmp_path)) == MAX_SEGMENTS
        and sum(p.stat().st_size for p in segment_paths(tmp_path)) < 40_000
    )
    records, wrong = read_back(tmp_path)
    assert not wrong and records[-1].number == 400 and records[0].number > 1
    segment_paths(tmp_path)[7].unlink()
    assert read_back(tmp_path)[1]


def test_a_folder_of_another_gateway_or_held_by_another_process_is_refused(tmp_path: Path) -> None:
    fill(tmp_path, 2)
    with pytest.raises(AuditError, match="'g0'"):
        Segments(tmp_path, "g1")
    held = Segments(tmp_path, "g0")
    with pytest.raises(AuditError, match="another process"):
        Segments(tmp_path, "g0")
    held.close()


@settings(max_examples=60, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 900))
def test_spoilt_segments_are_taken_up_or_refused_and_never_raise_else(
    tmp_path_factory: pytest.TempPathFactory, noise: bytes, place: int
) -> None:
    folder = tmp_path_factory.mktemp("spoilt")
    fill(folder, 4)
    data = segment_paths(folder)[0].read_bytes()
    segment_paths(folder)[0].write_bytes(data[:place] + noise + data[place + len(noise) :])
    try:
        segments = Segments(folder, "g0")
        segments.add(record(0))
        segments.close()
    except AuditError:
        pass
    read_back(folder)
