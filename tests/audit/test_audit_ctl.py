"""Staff's commands on audits: answers from folders, and what they could not reach."""

from __future__ import annotations

import json
from pathlib import Path

from audit_records import fill, three_gateways
from click.testing import CliRunner

from switchline import ctl
from switchline.audit import sources as audit_sources
from switchline.audit.segments import Segments, segment_paths


def test_ctl_audit_answers_from_folders_and_names_what_it_could_not_reach(tmp_path: Path) -> None:
    for name, records in three_gateways().items():
        segments = Segments(tmp_path / name, name)
        for one in records:
            segments.add(one)
        segments.close()
    folders = [str(tmp_path / name) for name in three_gateways()]
    run = CliRunner()

    def asked(*words: str) -> tuple[int, str]:
        answer = run.invoke(ctl.cli, ["audit", *words], env={"COLUMNS": "200"})
        return answer.exit_code, answer.output

    code, told = asked("who", *folders, "--json")
    assert code == 1 and [row["gateway"] for row in json.loads(told)["rows"] if row["behind"]] == ["g2"]
    code, told = asked("when", "list", "2", *folders)
    assert code == 1 and "0.500 s" in told and "never took it" in told
    code, told = asked("acts", "--at", "2.4", *folders, "--json")
    assert [r["version"] for r in json.loads(told)["rows"]] == ["2 bb", "1 aa", "1 aa"]
    code, told = asked("trace", "b", *folders, str(tmp_path / "nowhere"))
    assert code == 1 and "a>b" in told and "nowhere" in told
    assert asked("verify", *folders)[0] == 0
    path = segment_paths(tmp_path / "g1")[0]
    path.write_text(path.read_text().replace("failing", "passing"))
    code, told = asked("verify", *folders)
    assert code == 1 and "not as it was written" in told
    assert asked("acts", "--at", "noon", *folders)[0] == 2
    assert asked("plot", "--out", str(tmp_path / "p.png"), *folders)[0] == 0
    assert (tmp_path / "p.png").stat().st_size > 1_000


def test_a_chain_that_ends_before_what_others_were_told_of_is_found(tmp_path: Path) -> None:
    head = fill(tmp_path, 4)
    assert not audit_sources.read_folder(tmp_path, {"g0": head}).findings
    whole = segment_paths(tmp_path)[0].read_text().splitlines(keepends=True)
    segment_paths(tmp_path)[0].write_text("".join(whole[:-1]))
    assert audit_sources.read_folder(tmp_path, {"g0": head}).findings
