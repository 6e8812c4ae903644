"""Which records a process makes of its versions."""

from __future__ import annotations

import json
from typing import Any

import pytest
from audit_records import LIFE

from switchline.audit.recorder import MAX_RECENT_RECORDS, Audit
from switchline.config import ConfigError, parse_audit, parse_config


def test_a_version_is_recorded_when_it_changes_with_the_acts_under_the_one_before() -> None:
    acts = {"forwards": 0}
    audit = Audit("g0", LIFE, None, lambda: acts)
    audit.record("list", "", "1", "start")
    acts["forwards"] = 12
    audit.record("list", "", "1")
    audit.record("list", "", "2", "discovery")
    audit.record("ban", "b1", "down 5")
    audit.record("behind", "list", "", "most have 3")
    told = json.loads(audit.to_json())
    assert [(r["kind"], r.get("version", "")) for r in told["records"]] == [
        *(("list", "1"), ("list", "2"), ("ban", "down 5"), ("behind", ""))
    ]
    assert told["records"][1]["before"] == "1" and told["records"][1]["counts"] == {"forwards": 12}
    assert {(r["kind"], r["version"]) for r in told["versions"]} == {("list", "2"), ("ban", "down 5")}
    for n in range(2 * MAX_RECENT_RECORDS):
        audit.record("ban", f"b{n}", "down 1" * 200)
    assert len(audit.recent) == MAX_RECENT_RECORDS == len(audit.versions)
    assert audit.gauges() == {"audit.records": 4 + 2 * MAX_RECENT_RECORDS}


@pytest.mark.parametrize("given", [3, "", "a\0b", ["x"], "x" * 2_000])
def test_a_malformed_folder_refuses_the_start(given: Any) -> None:
    with pytest.raises(ValueError, match="audit"):
        parse_audit(given)
    with pytest.raises(ConfigError):
        parse_config({"audit": given})
