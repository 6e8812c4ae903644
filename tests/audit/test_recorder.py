"""The records that a process makes of changes of its versions."""

from __future__ import annotations

import json
from typing import Any

import pytest
from audit_records import INCARNATION

from switchline.audit.recorder import MAX_RECENT_RECORDS, Audit
from switchline.config import ConfigError, parse_audit, parse_config


def test_a_changed_version_is_recorded_with_the_outcomes_under_the_previous_one() -> None:
    outcomes = {"forwards": 0}
    audit = Audit("g0", INCARNATION, None, lambda: outcomes)
    audit.record("list", "", "1", "start")
    outcomes["forwards"] = 12
    audit.record("list", "", "1")
    audit.record("list", "", "2", "discovery")
    audit.record("ban", "b1", "down 5")
    audit.record("behind", "list", "", "most have 3")
    reply = json.loads(audit.to_json())
    assert [(r["kind"], r.get("version", "")) for r in reply["records"]] == [
        *(("list", "1"), ("list", "2"), ("ban", "down 5"), ("behind", ""))
    ]
    assert reply["records"][1]["before"] == "1" and reply["records"][1]["counts"] == {"forwards": 12}
    assert {(r["kind"], r["version"]) for r in reply["versions"]} == {("list", "2"), ("ban", "down 5")}
    for n in range(2 * MAX_RECENT_RECORDS):
        audit.record("ban", f"b{n}", "down 1" * 200)
    assert len(audit.recent) == MAX_RECENT_RECORDS == len(audit.versions)
    assert audit.gauges() == {"audit.records": 4 + 2 * MAX_RECENT_RECORDS}


@pytest.mark.parametrize("setting", [3, "", "a\0b", ["x"], "x" * 2_000])
def test_a_malformed_audit_setting_fails_the_start(setting: Any) -> None:
    with pytest.raises(ValueError, match="audit"):
        parse_audit(setting)
    with pytest.raises(ConfigError):
        parse_config({"audit": setting})
