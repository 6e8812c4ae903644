"""A fleet on a simulated clock whose gateways gossip: policies, protocol endpoints and zone agreements."""

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
    """A `Fleet` whose gateways gossip and evaluate their zones as `switchline.zones.coordination` does.

    Gateways in `not_evaluating` do not evaluate their zones.
    """

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
        self.evaluated_losses = [0] * gateways
        self.is_urgent = [False] * gateways
        self.last_evaluated_s = [0.0] * gateways
        self.not_evaluating: set[int] = set()
        # Pairs of a zone of gateways and a zone of backends that these gateways do not reach.
        self.unreachable_zones: set[tuple[str, str]] = set()
        self.loss = 0.0  # probability that an attempt to a backend is delayed by loss and retransmission
        self.decisions: list[tuple[float, Entry]] = []  # as received by the first gateway, with the time (ms)
        for index in range(gateways):
            node = self.net.add(index, seeds=(0, 1))
            rules = self.gateways[index].settings.rules
            rng = random.Random(f"{seed} {index}")
            start_capacity, warm_up_s = rules.start_capacity, rules.warm_up_ms / 1000
            self.agreements.append(
                ZoneAgreement(own(index), index, gateways, SlowStart(start_capacity, warm_up_s), rng)
            )
            node.on_fact = self._fact_callback(index)
            for kind, value in (("zone", own(index)), ("index", str(index))):
                node.publish(self.net.wall(address_of(index)), kind, "", value)
            self._schedule_first_tick(index)
        acquaint(self.net)
        facts = [node.facts for node in self.net.nodes.values()]
        for table in facts:
            for entry in [entry for other in facts for entry in other.entries()]:
                table.merge(0.0, entry)
        acquaint(self.net)
        self.began_ms, self.began_s = self.now, self.net.now

    def _schedule_first_tick(self, index: int) -> None:
        self.later(self.chance.uniform(0, URGENT_EVALUATION_INTERVAL_S * 1000), lambda: self._tick(index))

    def _fact_callback(self, index: int) -> Callable[[Entry], None]:
        def on_fact(entry: Entry) -> None:
            self.is_urgent[index] |= self.agreements[index].is_urgent(entry.kind)
            if index == 0 and entry.kind == FactKind.ZONE_DECISION:
                self.decisions.append((self.now, entry))

        return on_fact

    def meet(self, index: int, request: str, number: int, backend: int, sent_at: float) -> None:
        if (self.agreements[index].zone, self.zone_of[backend]) in self.unreachable_zones:
            outcome = api.Outcome.TIMED_OUT
            return self.later(3000.0, lambda: self.end(index, request, number, backend, outcome, sent_at))
        if self.chance.random() < self.loss:
            delay_ms = 200.0  # TCP retransmits lost data; each further loss adds twice the delay so far
            while self.chance.random() < self.loss:
                delay_ms += 2 * delay_ms
            return self.later(delay_ms, lambda: self.meet(index, request, number, backend, sent_at))
        super().meet(index, request, number, backend, sent_at)
        return None

    def link_time_s(self) -> float:
        """Return the time of the fleet link, in seconds."""
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
        self.net.run(max(0.0, self.link_time_s() - self.net.now))
        losses = self.gateways[index].zones.lost_attempts
        if (
            losses != self.evaluated_losses[index]
            or self.is_urgent[index]
            or self.net.now - self.last_evaluated_s[index] >= EVALUATION_INTERVAL_S
        ):
            self.evaluated_losses[index], self.is_urgent[index], self.last_evaluated_s[index] = (
                losses,
                False,
                self.net.now,
            )
            gateway, wall_ms = self.gateways[index], self.net.wall(address_of(index))
            observations, load_per_s = (
                observe_zones(gateway, self.now),
                gateway_status.attempt_rate_per_s(gateway, self.now),
            )
            self.agreements[index].regions = gateway.zones.regions
            directives = self.agreements[index].evaluate(
                node, self.net.now, wall_ms, observations, load_per_s
            )
            self.net.carry(address_of(index), node)
            before, self.directives[index] = self.directives[index], directives
            for zone in before.keys() | directives.keys():
                directive = directives.get(zone, NO_DIRECTIVE)
                if directive != before.get(zone):
                    self.give(index, to_policy(zone, directive))

    def zone_states(self, zone: str, own: str = "") -> set[str]:
        """Return the states of a zone in the policies of all gateways, or of those in the zone `own`."""
        gateways = [
            gateway
            for gateway, agreement in zip(self.gateways, self.agreements, strict=True)
            if own in ("", agreement.zone)
        ]
        return {gateway.zones.by_name[zone].state.value for gateway in gateways}

    def decisions_on(self, zone: str) -> list[ZoneDecision]:
        """Return the decisions about a zone that the first gateway has received, in order."""
        received = [entry for _, entry in self.decisions if entry.name.endswith(f">{zone}")]
        return [decode_decision(entry.value) for entry in received]
