"""Operators' commands on audits: results from folders, and sources that can't be read."""

from __future__ import annotations

import json
from pathlib import Path

from audit_records import three_gateways, write_records
from click.testing import CliRunner

from switchline import ctl
from switchline.audit import sources as audit_sources
from switchline.audit.segments import Segments, segment_paths


def test_audit_commands_read_folders_and_list_unreadable_sources(tmp_path: Path) -> None:
    for name, records in three_gateways().items():
        segments = Segments(tmp_path / name, name)
        for record in records:
            segments.add(record)
        segments.close()
    folders = [str(tmp_path / name) for name in three_gateways()]
    runner = CliRunner()

    def run_command(*words: str) -> tuple[int, str]:
        result = runner.invoke(ctl.cli, ["audit", *words], env={"COLUMNS": "200"})
        return result.exit_code, result.output

    code, output = run_command("who", *folders, "--json")
    assert code == 1 and [row["gateway"] for row in json.loads(output)["rows"] if row["behind"]] == ["g2"]
    code, output = run_command("when", "list", "2", *folders)
    assert code == 1 and "0.500 s" in output and "never took it" in output
    code, output = run_command("acts", "--at", "2.4", *folders, "--json")
    assert [r["version"] for r in json.loads(output)["rows"]] == ["2 bb", "1 aa", "1 aa"]
    code, output = run_command("trace", "b", *folders, str(tmp_path / "nowhere"))
    assert code == 1 and "a>b" in output and "nowhere" in output
    assert run_command("verify", *folders)[0] == 0
    path = segment_paths(tmp_path / "g1")[0]
    path.write_text(path.read_text().replace("failing", "passing"))
    code, output = run_command("verify", *folders)
    assert code == 1 and "not as it was written" in output
    assert run_command("acts", "--at", "noon", *folders)[0] == 2
    assert run_command("plot", "--out", str(tmp_path / "p.png"), *folders)[0] == 0
    assert (tmp_path / "p.png").stat().st_size > 1_000


def test_a_chain_without_its_published_head_is_reported(tmp_path: Path) -> None:
    head = write_records(tmp_path, 4)
    assert not audit_sources.read_folder(tmp_path, {"g0": head}).findings
    lines = segment_paths(tmp_path)[0].read_text().splitlines(keepends=True)
    segment_paths(tmp_path)[0].write_text("".join(lines[:-1]))
    assert audit_sources.read_folder(tmp_path, {"g0": head}).findings
