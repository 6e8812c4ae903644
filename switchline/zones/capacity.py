"""The load that a zone's gateways send, and the number of backends that serve it. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.messages import MemberState
from switchline.zones.decision import ZoneState, decision_on
from switchline.zones.reports import LocalObservation, decode_load

# The load of a dead gateway counts for so long. After that it has ended, or is cut off from its clients too.
DEAD_MEMBER_LOAD_TTL_S = 30.0


def loads_by_place(
    endpoint: ProtocolEndpoint, zone: str, place: int, places: int, now_s: float
) -> dict[int, float]:
    """Return the published load of each gateway of a zone, except gateways that are certain to have ended.

    Args:
        endpoint: This gateway's protocol endpoint.
        zone: The zone, in which this gateway runs.
        place: This gateway's place.
        places: Number of places.
        now_s: Monotonic time in seconds.

    Returns:
        Requests per second by the gateway's place.
    """
    facts = endpoint.facts
    loads_per_s: dict[int, float] = {}
    for name, member in endpoint.members.others.items():
        ended = (
            member.state is MemberState.DEAD and now_s - member.state_changed_at_s > DEAD_MEMBER_LOAD_TTL_S
        )
        if ended or member.state is MemberState.LEFT or facts.value(FactKind.ZONE, "", name) != zone:
            continue
        other_place = facts.place(name)
        if other_place is not None and other_place < places:
            loads_per_s[other_place] = decode_load(facts.value(FactKind.LOAD, "", name))
    loads_per_s[place] = decode_load(facts.value(FactKind.LOAD, "", endpoint.members.me.name))
    return loads_per_s


def remaining_backends(
    facts: Facts, observers: str, excluded_zone: str, observations: Mapping[str, LocalObservation]
) -> int:
    """Return the number of usable backends in the zones in use, leaving out one zone.

    Args:
        facts: The table of facts.
        observers: The zone whose gateways' decisions say which zones are in use.
        excluded_zone: The zone that is left out.
        observations: What this gateway observes, by zone.
    """
    return sum(
        observation.usable
        for zone, observation in observations.items()
        if zone != excluded_zone and decision_on(facts, observers, zone).state == ZoneState.UP
    )
