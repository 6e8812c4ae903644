"""A fleet on a hand-set clock whose gateways have a line between them: modules, nodes and zones together."""

from __future__ import annotations

import random
from collections.abc import Callable

from gateway_fleet import Fleet

from switchline.fleet.messages import Entry
from switchline.policy import gateway_status
from switchline.policy import interface as api
from switchline.zones.agreement import Act, Word, Zonal, read_act
from switchline.zones.coordination import LOOK_S, TICK_S, seen_of, told_of
from testbed.network.fleet_link import Net, acquaint, address_of


class Lined(Fleet):
    """As `Fleet`; gateways look at their zones as `zone_coordination.py` does, but for `lone` ones."""

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
        self.zonals: list[Zonal] = []
        self.words: list[dict[str, Word]] = [{} for _ in range(gateways)]
        self.losses = [0] * gateways
        self.stirred = [False] * gateways
        self.looked = [0.0] * gateways
        self.lone: set[int] = set()
        self.cuts: set[tuple[str, str]] = set()  # zones of gateways, and of backends that they don't reach
        self.loss = 0.0  # of what passes between gateways and backends, each by chance
        self.decisions: list[tuple[float, Entry]] = []  # as the first gateway hears of them
        for index in range(gateways):
            node = self.net.add(index, seeds=(0, 1))
            rules = self.gateways[index].settings.rules
            chance = random.Random(f"{seed} {index}")
            least, warm_s = rules.start_capacity, rules.warm_up_ms / 1000
            self.zonals.append(Zonal(own(index), index, gateways, least, warm_s, chance))
            node.told = self._hears(index)
            for kind, value in (("zone", own(index)), ("index", str(index))):
                node.tell(self.net.wall(address_of(index)), kind, "", value)
            self._begin(index)
        acquaint(self.net)
        facts = [node.facts for node in self.net.nodes.values()]
        for one in facts:
            for entry in [entry for other in facts for entry in other.entries()]:
                one.merge(0.0, entry)
        acquaint(self.net)
        self.began_ms, self.began_s = self.now, self.net.now

    def _begin(self, index: int) -> None:
        self.later(self.chance.uniform(0, TICK_S * 1000), lambda: self._tick(index))

    def _hears(self, index: int) -> Callable[[Entry], None]:
        def told(entry: Entry) -> None:
            self.stirred[index] |= self.zonals[index].stirs(entry.kind)
            if index == 0 and entry.kind == "zone-act":
                self.decisions.append((self.now, entry))

        return told

    def meet(self, index: int, request: str, number: int, backend: int, sent_at: float) -> None:
        if (self.zonals[index].zone, self.zone_of[backend]) in self.cuts:
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
        """The time of the line."""
        return self.began_s + (self.now - self.began_ms) / 1000

    def _tick(self, index: int) -> None:
        self.later(TICK_S * 1000, lambda: self._tick(index))
        node = self.net.nodes.get(address_of(index))
        if node is None or index in self.lone or self.net.stopped.get(address_of(index), 0) > self.net.now:
            return
        self.net.run(max(0.0, self.seconds() - self.net.now))
        losses = self.gateways[index].zones.losses
        if losses != self.losses[index] or self.stirred[index] or self.net.now - self.looked[index] >= LOOK_S:
            self.losses[index], self.stirred[index], self.looked[index] = losses, False, self.net.now
            gateway, wall = self.gateways[index], self.net.wall(address_of(index))
            seen, load = seen_of(gateway, self.now), gateway_status.offered(gateway, self.now)
            self.zonals[index].regions = gateway.zones.regions
            words = self.zonals[index].look(node, self.net.now, wall, seen, load)
            self.net.carry(address_of(index), node)
            before, self.words[index] = self.words[index], words
            for zone in before.keys() | words.keys():
                word = words.get(zone, Word(""))
                if word != before.get(zone):
                    self.give(index, told_of(zone, word))

    def states(self, zone: str, own: str = "") -> set[str]:
        """What the gateways' modules make of a zone; those of one zone alone, where it is given."""
        of = [g for g, zonal in zip(self.gateways, self.zonals, strict=True) if own in ("", zonal.zone)]
        return {gateway.zones.zones[zone].state.value for gateway in of}

    def acts(self, zone: str) -> list[Act]:
        """The decisions on a zone that the first gateway has heard of, in their order."""
        heard = [entry for _, entry in self.decisions if entry.name.endswith(f">{zone}")]
        return [read_act(entry.value) for entry in heard]
