"""The state of the gossip in the metrics and in the operators' answers."""

from __future__ import annotations

from typing import Any

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.messages import Entry, MemberState


def gossip_gauges(node: ProtocolEndpoint) -> dict[str, int]:
    """Return metrics of the members, the facts and the messages."""
    members = node.members
    states = [member.state for member in members.others.values()]
    return {
        "fleet.members": members.size,
        "fleet.suspect": sum(state is MemberState.SUSPECT for state in states),
        "fleet.dead": sum(state is MemberState.DEAD for state in states),
        "fleet.facts": len(node.facts.table),
        "fleet.minority": int(members.minority),
        "fleet.quiet": int(members.superseded),
        "fleet.sent": node.outbox.sent_datagrams,
        "fleet.received": node.received_datagrams,
        "fleet.dropped": sum(node.refused.values()),
    }


def describe_fleet(node: ProtocolEndpoint, fleet: str, now_s: float, wall_ms: float) -> dict[str, Any]:
    """Return the answer to `GET /ops/fleet`; ages and durations in it are in seconds."""
    members = node.members
    facts = [_describe_fact(stored.entry, wall_ms) for stored in node.facts.table.values()]
    facts.sort(key=lambda fact: (fact["kind"], fact["name"], fact["origin"]))
    return {
        "name": members.me.name,
        "fleet": fleet,
        "minority": members.minority,
        "quiet": members.superseded,
        "health": members.health.score,
        "counts": dict(members.event_counts),
        "members": _describe_members(node, now_s),
        "facts": facts,
        "dropped": dict(node.refused),
    }


def _describe_members(node: ProtocolEndpoint, now_s: float) -> dict[str, dict[str, Any]]:
    me = node.members.me
    described: dict[str, dict[str, Any]] = {
        me.name: {"state": "self", "life": list(me.incarnation), "address": f"{me.host}:{me.port}"}
    }
    for name, member in sorted(node.members.others.items()):
        described[name] = {
            "state": member.state.name.lower(),
            "life": list(member.update.incarnation),
            "address": "{}:{}".format(*member.address),
            "heard_s": round(now_s - member.last_heard_s, 2),
            "since_s": round(now_s - member.state_changed_at_s, 2),
        }
    for (_, origin), stored in node.facts.of_kind(FactKind.ZONE).items():
        if origin in described and stored.entry.value is not None:
            described[origin]["zone"] = stored.entry.value
    return described


def _describe_fact(entry: Entry, wall_ms: float) -> dict[str, Any]:
    return {
        "kind": entry.kind,
        "name": entry.name,
        "origin": entry.origin,
        "value": entry.value,
        "age_s": round((wall_ms - entry.at_ms) / 1000, 2),
    }
