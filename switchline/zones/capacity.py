"""How much load the gateways of a zone send, and how many backends carry it. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import Facts
from switchline.fleet.messages import MemberState
from switchline.zones.decision import ZoneState, decision_on
from switchline.zones.reports import LocalObservation, decode_load

DEAD_KEEPS_PART_S = 30.0  # dead for so long: a gateway has ended, or is cut off from its clients too


def loads_by_place(
    endpoint: ProtocolEndpoint, zone: str, place: int, places: int, now_s: float
) -> dict[int, float]:
    """Return the load of each gateway of a zone that has not surely ended.

    Args:
        endpoint: This gateway's protocol endpoint.
        zone: The zone, in which this gateway runs.
        place: This gateway's place.
        places: Number of places.
        now_s: The time.

    Returns:
        By place: requests per second.
    """
    facts = endpoint.facts
    loads: dict[int, float] = {}
    for name, member in endpoint.members.others.items():
        ended = member.state is MemberState.DEAD and now_s - member.state_changed_at_s > DEAD_KEEPS_PART_S
        if ended or member.state is MemberState.LEFT or facts.value(FactKind.ZONE, "", name) != zone:
            continue
        other_place = facts.place(name)
        if other_place is not None and other_place < places:
            loads[other_place] = decode_load(facts.value(FactKind.LOAD, "", name))
    loads[place] = decode_load(facts.value(FactKind.LOAD, "", endpoint.members.me.name))
    return loads


def remaining_backends(
    facts: Facts, observers: str, without: str, observations: Mapping[str, LocalObservation]
) -> int:
    """Return the number of backends of the zones that are in use, without one zone.

    Args:
        facts: The facts that hold.
        observers: The zone whose gateways' decisions count.
        without: The zone that is left out.
        observations: What this gateway observes, by zone.
    """
    return sum(
        observation.usable
        for zone, observation in observations.items()
        if zone != without and decision_on(facts, observers, zone).state == ZoneState.UP
    )
