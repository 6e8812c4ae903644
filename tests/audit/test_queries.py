"""Queries over the audits of a fleet."""

from __future__ import annotations

from audit_records import three_gateways

from switchline.audit import queries as audit_queries


def test_queries_return_stale_gateways_adoptions_and_versions() -> None:
    audits = three_gateways()
    stale_s_by_gateway = {
        one.name: one.stale_s for one in audit_queries.current_versions(audits, "list", 12_500.0)
    }
    assert stale_s_by_gateway == {"g0": None, "g1": None, "g2": 10.0}
    adoptions = audit_queries.adoptions(audits, "list", "2")
    assert [(one.name, one.after_s) for one in adoptions] == [("g0", 0.0), ("g1", 0.5)]
    assert audit_queries.versions_at(audits["g1"], 2_400.0)["list", ""].version == "1 aa"
    assert [one.subject for one in audit_queries.trace(audits, "b")] == ["a>b"]
    assert [one.name for one in audit_queries.in_causal_order(audits)] == ["g0", "g1", "g2", "g0", "g1", "g1"]
