"""The kinds of facts that gateways share by gossip, and how entries of each kind override one another.

The values are the strings of the protocol. A kind that only a later release knows is merged by
`MergeRule.OWNER`.
"""

from __future__ import annotations

from enum import Enum, StrEnum


class FactKind(StrEnum):
    """What a fact is about. The comments describe the entry's value, and its name if it is not empty."""

    # Facts that a gateway publishes about itself (`MergeRule.OWNER`).
    ZONE = "zone"  # the zone that the gateway runs in
    REGION = "region"  # the region that the gateway's zone belongs to
    RELEASE = "release"  # the release of the program that the gateway runs, such as 1.4.2
    CONFIG = "config"  # the digest of the gateway's configuration
    LIST = "list"  # the sequence number of the gateway's endpoint list
    READY = "ready"  # yes or no: whether the gateway accepts clients
    PLACE = "index"  # the gateway's place among all gateways, from 0
    AUDIT = "audit"  # the number and hash of the gateway's last audit record
    # Seconds between the gateway's last two processes, or "?" if unknown; published only after a start.
    DOWNTIME = "risen"
    QUARANTINE = "shut"  # wants or out: whether the gateway asks for its quarantine or is in it
    QUARANTINE_GRANT = "shut-grant"  # name: a gateway; value: its incarnation that may be quarantined
    LOAD = "load"  # attempts per second that the gateway makes; published while a zone's state is in question
    ZONE_REPORT = "zone-met"  # name: a zone; value: the gateway's report on it
    ZONE_FOLLOWED = "zone-on"  # name: a zone; value: version and state of the decision that is followed
    # Acknowledgements of overrides for the whole fleet. Name: the backend, zone, gateway or version; value:
    # the time of the operator's call that the gateway has applied.
    ACK_BACKEND = "took-host"
    ACK_ZONE = "took-zone"
    ACK_SPARED_GATEWAY = "took-spare"
    ACK_VERSION_FLOOR = "took-floor"

    # Overrides that operators made at single gateways (`MergeRule.NEWEST_CALL`); value: down or up.
    OVERRIDE_BACKEND = "held-host"
    OVERRIDE_ZONE = "held-zone"
    OVERRIDE_SPARED_GATEWAY = "held-spare"  # name: a gateway that must not be quarantined
    OVERRIDE_VERSION_FLOOR = "held-floor"  # name: a version below which a gateway is stale

    # The same overrides, made for the whole fleet (`MergeRule.NEWEST_CALL`); value: down or up.
    FLEET_OVERRIDE_BACKEND = "fleet-host"
    FLEET_OVERRIDE_ZONE = "fleet-zone"
    FLEET_OVERRIDE_SPARED_GATEWAY = "fleet-spare"
    FLEET_OVERRIDE_VERSION_FLOOR = "fleet-floor"

    # A decision of one zone's gateways about another zone (`MergeRule.HIGHEST_VERSION`).
    ZONE_DECISION = "zone-act"  # name: "OBSERVERS>ZONE"; value: a `ZoneDecision`


FLEET_WIDE: dict[str, FactKind] = {
    FactKind.OVERRIDE_BACKEND: FactKind.FLEET_OVERRIDE_BACKEND,
    FactKind.OVERRIDE_ZONE: FactKind.FLEET_OVERRIDE_ZONE,
    FactKind.OVERRIDE_SPARED_GATEWAY: FactKind.FLEET_OVERRIDE_SPARED_GATEWAY,
    FactKind.OVERRIDE_VERSION_FLOOR: FactKind.FLEET_OVERRIDE_VERSION_FLOOR,
}
"""Maps the kind of an override at one gateway to the kind of the same override for the whole fleet."""

OVERRIDE_KINDS: frozenset[str] = frozenset({*FLEET_WIDE, *FLEET_WIDE.values()})
VERSIONED_KINDS: frozenset[str] = frozenset({FactKind.ZONE_DECISION})
SHARED_KINDS: frozenset[str] = OVERRIDE_KINDS | VERSIONED_KINDS
"""Kinds without an owner: there is one entry for each name, and any gateway may replace it."""


class MergeRule(Enum):
    """How the winner of two entries of one key is chosen; see `switchline.fleet.facts.precedence`."""

    OWNER = "owner"  # the later incarnation of the owner wins, then the higher version
    NEWEST_CALL = "newest call"  # the later call of an operator wins, by wall clock
    HIGHEST_VERSION = "highest version"  # the higher version of the decision wins


_MERGE_RULES: dict[str, MergeRule] = {
    **dict.fromkeys(OVERRIDE_KINDS, MergeRule.NEWEST_CALL),
    **dict.fromkeys(VERSIONED_KINDS, MergeRule.HIGHEST_VERSION),
}


def merge_rule(kind: str) -> MergeRule:
    """Return the rule by which entries of a kind are merged."""
    return _MERGE_RULES.get(kind, MergeRule.OWNER)
