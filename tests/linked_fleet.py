"""A fleet on a hand-set clock whose gateways gossip: policies, endpoints and zone agreements."""

from __future__ import annotations

import random
from collections.abc import Callable

from gateway_fleet import Fleet

from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.messages import Entry
from switchline.policy import gateway_status
from switchline.policy import interface as api
from switchline.zones.agreement import ZoneAgreement
from switchline.zones.coordination import (
    EVALUATION_INTERVAL_S,
    URGENT_EVALUATION_INTERVAL_S,
    observe_zones,
    to_policy,
)
from switchline.zones.decision import NO_DIRECTIVE, Directive, ZoneDecision, decode_decision
from switchline.zones.returning import SlowStart
from testbed.network.fleet_link import Net, acquaint, address_of


class LinkedFleet(Fleet):
    """As `Fleet`; gateways evaluate their zones as `coordination.py` does, but for `lone` ones."""

    def __init__(
        self,
        zones: dict[str, int],
        gateways: int,
        own: Callable[[int], str],
        seed: int = 1,
        **changes: object,
    ) -> None:
        super().__init__(zones, gateways, own, seed, **changes)
        self.net = Net(seed)
        self.agreements: list[ZoneAgreement] = []
        self.directives: list[dict[str, Directive]] = [{} for _ in range(gateways)]
        self.losses = [0] * gateways
        self.urgent = [False] * gateways
        self.evaluated_s = [0.0] * gateways
        self.not_evaluating: set[int] = set()
        self.unreachable_zones: set[tuple[str, str]] = (
            set()
        )  # zones of gateways, and of backends that they don't reach
        self.loss = 0.0  # of what passes between gateways and backends, each by chance
        self.decisions: list[tuple[float, Entry]] = []  # as the first gateway hears of them
        for index in range(gateways):
            node = self.net.add(index, seeds=(0, 1))
            rules = self.gateways[index].settings.rules
            chance = random.Random(f"{seed} {index}")
            cold_capacity_ratio, warm_up_s = rules.start_capacity, rules.warm_up_ms / 1000
            self.agreements.append(
                ZoneAgreement(own(index), index, gateways, SlowStart(cold_capacity_ratio, warm_up_s), chance)
            )
            node.on_fact = self._hears(index)
            for kind, value in (("zone", own(index)), ("index", str(index))):
                node.publish(self.net.wall(address_of(index)), kind, "", value)
            self._begin(index)
        acquaint(self.net)
        facts = [node.facts for node in self.net.nodes.values()]
        for one in facts:
            for entry in [entry for other in facts for entry in other.entries()]:
                one.merge(0.0, entry)
        acquaint(self.net)
        self.began_ms, self.began_s = self.now, self.net.now

    def _begin(self, index: int) -> None:
        self.later(self.chance.uniform(0, URGENT_EVALUATION_INTERVAL_S * 1000), lambda: self._tick(index))

    def _hears(self, index: int) -> Callable[[Entry], None]:
        def told(entry: Entry) -> None:
            self.urgent[index] |= self.agreements[index].is_urgent(entry.kind)
            if index == 0 and entry.kind == FactKind.ZONE_DECISION:
                self.decisions.append((self.now, entry))

        return told

    def meet(self, index: int, request: str, number: int, backend: int, sent_at: float) -> None:
        if (self.agreements[index].zone, self.zone_of[backend]) in self.unreachable_zones:
            lost = api.Outcome.TIMED_OUT
            return self.later(3000.0, lambda: self.end(index, request, number, backend, lost, sent_at))
        if self.chance.random() < self.loss:
            again_ms = 200.0  # as TCP sends what was lost again, and again after twice the time
            while self.chance.random() < self.loss:
                again_ms += 2 * again_ms
            return self.later(again_ms, lambda: self.meet(index, request, number, backend, sent_at))
        super().meet(index, request, number, backend, sent_at)
        return None

    def seconds(self) -> float:
        """The time of the fleet link, in seconds."""
        return self.began_s + (self.now - self.began_ms) / 1000

    def _tick(self, index: int) -> None:
        self.later(URGENT_EVALUATION_INTERVAL_S * 1000, lambda: self._tick(index))
        node = self.net.nodes.get(address_of(index))
        if (
            node is None
            or index in self.not_evaluating
            or self.net.stopped.get(address_of(index), 0) > self.net.now
        ):
            return
        self.net.run(max(0.0, self.seconds() - self.net.now))
        losses = self.gateways[index].zones.lost_attempts
        if (
            losses != self.losses[index]
            or self.urgent[index]
            or self.net.now - self.evaluated_s[index] >= EVALUATION_INTERVAL_S
        ):
            self.losses[index], self.urgent[index], self.evaluated_s[index] = losses, False, self.net.now
            gateway, wall = self.gateways[index], self.net.wall(address_of(index))
            seen, load = (
                observe_zones(gateway, self.now),
                gateway_status.attempt_rate_per_s(gateway, self.now),
            )
            self.agreements[index].regions = gateway.zones.regions
            directives = self.agreements[index].evaluate(node, self.net.now, wall, seen, load)
            self.net.carry(address_of(index), node)
            before, self.directives[index] = self.directives[index], directives
            for zone in before.keys() | directives.keys():
                directive = directives.get(zone, NO_DIRECTIVE)
                if directive != before.get(zone):
                    self.give(index, to_policy(zone, directive))

    def zone_states(self, zone: str, own: str = "") -> set[str]:
        """What the gateways' modules make of a zone; those of one zone alone, where it is given."""
        of = [
            g
            for g, agreement in zip(self.gateways, self.agreements, strict=True)
            if own in ("", agreement.zone)
        ]
        return {gateway.zones.by_name[zone].state.value for gateway in of}

    def decisions_on(self, zone: str) -> list[ZoneDecision]:
        """The decisions on a zone that the first gateway has heard of, in their order."""
        heard = [entry for _, entry in self.decisions if entry.name.endswith(f">{zone}")]
        return [decode_decision(entry.value) for entry in heard]
