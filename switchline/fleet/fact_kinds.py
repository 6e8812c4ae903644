"""The kinds of facts that gateways share by gossip, and how entries of each kind override one another.

The values are the strings of the wire. An unknown kind, of a later release, is merged by `MergeRule.OWNER`.
"""

from __future__ import annotations

from enum import Enum, StrEnum


class FactKind(StrEnum):
    """What a fact is about; the comment gives its value, and its name where it has one."""

    # Of one gateway, about itself (`MergeRule.OWNER`).
    ZONE = "zone"  # the zone that the gateway runs in
    REGION = "region"  # the region of that zone
    RELEASE = "release"  # the release of the program, such as 1.4.2
    CONFIG = "config"  # the digest of the configuration
    LIST = "list"  # the number of its endpoint list
    READY = "ready"  # yes or no: whether it takes clients
    PLACE = "index"  # its place among all gateways, from 0
    AUDIT = "audit"  # the number and hash of its last audit record
    DOWNTIME = "risen"  # seconds between its last two processes, or "?"; only shortly after a start
    QUARANTINE = "shut"  # wants or out: the state of its own quarantine
    QUARANTINE_GRANT = "shut-grant"  # name: a gateway; value: the incarnation that may be quarantined
    LOAD = "load"  # attempts per second that it makes, while a zone is in question
    ZONE_REPORT = "zone-met"  # name: a zone; value: what the gateway observed there
    ZONE_FOLLOWED = "zone-on"  # name: a zone; value: version and state of the decision that it follows
    ACK_BACKEND = "took-host"  # name: a backend; value: the time of the fleet's call that it acted on
    ACK_ZONE = "took-zone"
    ACK_SPARED_GATEWAY = "took-spare"
    ACK_VERSION_FLOOR = "took-floor"

    # Operators' overrides made at any gateway (`MergeRule.NEWEST_CALL`); value: down or up.
    OVERRIDE_BACKEND = "held-host"
    OVERRIDE_ZONE = "held-zone"
    OVERRIDE_SPARED_GATEWAY = "held-spare"  # a gateway that must not be quarantined
    OVERRIDE_VERSION_FLOOR = "held-floor"  # a version below which a gateway is stale

    # The same overrides, made for the whole fleet (`MergeRule.NEWEST_CALL`); value: down or up.
    FLEET_OVERRIDE_BACKEND = "fleet-host"
    FLEET_OVERRIDE_ZONE = "fleet-zone"
    FLEET_OVERRIDE_SPARED_GATEWAY = "fleet-spare"
    FLEET_OVERRIDE_VERSION_FLOOR = "fleet-floor"

    # A decision of one zone's gateways on another zone (`MergeRule.HIGHEST_VERSION`).
    ZONE_DECISION = "zone-act"  # name: "OBSERVERS>ZONE"; value: a `ZoneDecision`


FLEET_WIDE: dict[str, FactKind] = {
    FactKind.OVERRIDE_BACKEND: FactKind.FLEET_OVERRIDE_BACKEND,
    FactKind.OVERRIDE_ZONE: FactKind.FLEET_OVERRIDE_ZONE,
    FactKind.OVERRIDE_SPARED_GATEWAY: FactKind.FLEET_OVERRIDE_SPARED_GATEWAY,
    FactKind.OVERRIDE_VERSION_FLOOR: FactKind.FLEET_OVERRIDE_VERSION_FLOOR,
}
"""By the kind of an override at one gateway: the kind of the same override for the whole fleet."""

OVERRIDE_KINDS: frozenset[str] = frozenset({*FLEET_WIDE, *FLEET_WIDE.values()})
VERSIONED_KINDS: frozenset[str] = frozenset({FactKind.ZONE_DECISION})
SHARED_KINDS: frozenset[str] = OVERRIDE_KINDS | VERSIONED_KINDS
"""Kinds without an owner: one entry for each name, which any gateway may replace."""


class MergeRule(Enum):
    """Which of two entries of one key overrides the other; see `switchline.fleet.facts.precedence`."""

    OWNER = "owner"  # the owner's later incarnation, then its higher version
    NEWEST_CALL = "newest call"  # the operator's later call, by wall clock
    HIGHEST_VERSION = "highest version"  # the decision with the higher version


_MERGE_RULES: dict[str, MergeRule] = {
    **dict.fromkeys(OVERRIDE_KINDS, MergeRule.NEWEST_CALL),
    **dict.fromkeys(VERSIONED_KINDS, MergeRule.HIGHEST_VERSION),
}


def merge_rule(kind: str) -> MergeRule:
    """Return how two entries of a kind are merged."""
    return _MERGE_RULES.get(kind, MergeRule.OWNER)
