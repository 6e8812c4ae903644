"""Which backend gets an attempt: subsets, health, slow start, zones, and what a class allows."""

from __future__ import annotations

import hashlib
import math

from switchline.policy import interface as api
from switchline.policy.customer import LEASE_MS
from switchline.policy.entities import Backend, Request
from switchline.policy.gateway_state import GatewayState

END_MS = 50.0  # a request is ended this long before it expires; small beside any aim
MARK_MS, MARK_MEETINGS = 4_000.0, 5.0  # a mark fades to a third in this time or in so many usual gaps
ERROR_COST = 8.0  # how much failing always raises a backend's cost: clearly behind any healthy peer
EJECTED = 0.5  # an outlier score of failing from which on a backend counts as avoided: five times the cost
GOLDEN = 0.618  # of a range, the golden section: turns of any number fall evenly over it
CHANCE = 0.25  # how far chance spreads the choice: half the cost is chosen sixteen times as often
SUBSET, COVER = 8, 10  # backends that a gateway of a large fleet uses; gateways that each backend needs
FLOOR_OUT, LEAST_OUT = 3.0, 2.0  # always allowed out: a backend over all gateways; too few to tell anything


def slice_of(turn: int, backend: int, slices: int) -> int:
    digest = hashlib.blake2b(f"{turn}:{backend}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % slices


class BackendChoice(GatewayState):
    """What of a gateway judges and chooses backends."""

    def regroup(self, now: float) -> None:
        self.floor = FLOOR_OUT * len(self.backends) / max(1, self.settings.gateways)
        self.zones.regroup(now, [(b.id, b.zone, self.usable(b)) for b in self.backends.values()])
        self.subset = self.choose_subset([b for b in self.backends.values() if self.usable(b)])

    def warmth(self, now: float) -> float:
        """Of the capacity of this gateway's backends, the part that they surely have."""
        return sum(b.warmth(now) for b in self.subset) / max(1, len(self.subset))

    def usable(self, b: Backend) -> bool:
        return b.ready and b.id not in self.held and b.zone not in self.zones.held

    def choose_subset(self, ready: list[Backend]) -> list[Backend]:
        """Few enough backends to meet each often and judge it; all of them in a small fleet.

        A round of gateways shares the backends out by hash, so each is covered once a round and a change
        moves no backend but its own. Where a slice is short, its gateway takes wider ones.
        """
        for slices in range(min(self.settings.gateways // COVER, len(ready) // SUBSET), 1, -1):
            turn, place = divmod(self.settings.index, slices)
            mine = [b for b in ready if slice_of(turn, b.id, slices) == place]
            if len(mine) >= SUBSET / 2:
                return mine + self.uncovered(ready, mine) if self.zones.several else mine
        return ready

    def uncovered(self, ready: list[Backend], mine: list[Backend]) -> list[Backend]:
        """A backend of each zone that a slice has none of, the first by a hash of this gateway's own."""
        covered, first = {b.zone for b in mine}, dict[str, tuple[int, Backend]]()
        for b in ready:
            if b.zone not in covered:
                place = slice_of(self.settings.index, b.id, 2**64)
                if b.zone not in first or place < first[b.zone][0]:
                    first[b.zone] = place, b
        return [b for _, b in first.values()]

    def mark(self, now: float, b: Backend, name: str) -> float:
        """A mark as far as it has not faded."""
        level, at = b.marks.get(name, (0.0, now))
        return level * math.exp((at - now) / self.memory())

    def memory(self) -> float:
        """The time in which a mark fades to a third; a backend that is met seldom is remembered longer."""
        gap = len(self.subset) * 1000 / max(self.rate, 0.1)
        return max(MARK_MS, min(LEASE_MS, MARK_MEETINGS * gap))

    def failing(self, now: float, b: Backend, request: Request) -> float:
        """How likely it fails this request: one class or plan may fare ill where the others are served.

        A backend that takes no work, gone or full, takes none of any class or plan. One that fails is taken
        to fail those that it has not met.
        """
        shut = self.mark(now, b, "shut")
        if (of_all := self.mark(now, b, "all")) < 0.01:
            return shut
        of_class, of_plan = (self.mark(now, b, n) if n in b.marks else of_all for n in request.marks[1:])
        return max(shut, min(1.0, of_class * of_plan / of_all))

    def cost(self, now: float, b: Backend, request: Request) -> float:
        """What an answer from this backend should take, judged by answers, failures and silence alike."""
        latency = max(1.0, self.typical + self.mark(now, b, "slow"))
        return latency * (1 + ERROR_COST * self.failing(now, b, request)) * (b.out + 1)

    def pick(self, now: float, request: Request) -> Backend | None:
        """A backend by chance, cheap ones far more often; a cold one only by the cold rule's own lot.

        Danger: sent more than it can do by all gateways together, a cold backend falls over. Each gateway
        gives it of its own requests what it surely can do of what all can, at most half of what pushes over
        one that the usual load reaches. Given less, warm ones drown in a release while cold ones idle.
        """
        may = [b for b in self.subset if self.may_go(now, request, b)]
        may = may or [b for b in self.backends.values() if self.usable(b) and self.may_go(now, request, b)]
        factors: dict[str, float] = {}
        if self.zones.several:
            if (b := self.test_of_zone(now, request) or self.granted(now, request)) is not None:
                return b
            may, factors = self.open_to(now, request, may), self.zones.factors(now)
        warm = [b for b in may if b.warmth(now) >= 1]
        if len(warm) < len(may):
            if owed := [b for b in may if b.owed_at <= now and b.warmth(now) < 1]:
                return owed[0]
            back = self.recovery_ramp if now < self.recovery_ramp.until else None
            b = self.cheapest(now, request, may, factors) if back else self.random.choice(may)
            lift = len(may) / max(1e-9, sum(o.warmth(now) for o in may))  # more where many are cold
            part = b.warmth(now) * min(lift, max(1.0, self.settings.rules.overload_multiple / 2))
            part *= back.lift if back else 1.0
            if b.warmth(now) < 1 and self.random.random() < part and self.failing(now, b, request) < 0.5:
                return b
        return self.cheapest(now, request, warm, factors) if warm else None

    def cheapest(self, now: float, request: Request, may: list[Backend], by: dict[str, float]) -> Backend:
        costs = [
            self.cost(now, b, request) * by.get(b.zone, 1.0) * self.random.expovariate(1.0) ** CHANCE
            for b in may
        ]
        return may[costs.index(min(costs))]

    def open_to(self, now: float, request: Request, may: list[Backend]) -> list[Backend]:
        """Of the backends that a request may go to, those of zones that are open to it.

        Where there is none among this gateway's own it takes others. What may have run may be repeated only
        within what its key covers: it goes even to a zone that is left.
        """
        self.zones.memory = self.memory()
        self.zones.look(now)
        if not (closed := self.zones.closed(now)):
            return may
        if kept := [b for b in may if b.zone not in closed]:
            return kept
        others = [b for b in self.backends.values() if b.zone not in closed and self.usable(b)]
        others = [b for b in others if self.may_go(now, request, b)]
        return others or [b for b in may if request.ran or not self.zones.rationed(b.zone)]

    def granted(self, now: float, request: Request) -> Backend | None:
        """A backend of a zone that the fleet returns to, in turn of those dealt to this gateway.

        Danger: the ramp asks all backends for as much; one that is younger than the zone's return bears less.
        """
        if (zone := self.zones.grants(now)) is None or zone.word is None:
            return None
        there = [b for b in self.backends.values() if b.zone == zone.name and self.usable(b)]
        may = [b for b in there if self.may_go(now, request, b) and self.failing(now, b, request) < 0.5]
        turn = zone.word.range_start + zone.word.range_width * (
            zone.attempts * GOLDEN % 1
        )  # its own range, all in turn
        b = sorted(may, key=lambda b: b.id)[min(len(may) - 1, int(turn * len(may)))] if may else None
        if b is None or self.random.random() * zone.word.capacity_ratio > b.warmth(now):
            return None
        zone.granted -= 1
        return b

    def test_of_zone(self, now: float, request: Request) -> Backend | None:
        """A zone that is left gets a request now and then, one that may be repeated, to see if it answers."""
        name = self.zones.to_test(now)
        if name is None or request.attempts or request.streamed or request.kind.effect is not api.Effect.SAFE:
            return None
        there = [b for b in self.backends.values() if b.zone == name and self.usable(b)]
        may = [b for b in there if b.warmth(now) >= 1 or self.zones.zones[name].word]
        if not may:
            return None
        self.zones.tested(now, name)
        return self.random.choice(may)

    def may_go(self, now: float, request: Request, b: Backend) -> bool:
        """May this request's next attempt go to this backend, given what may have run?"""
        kind = request.kind
        if b.id in request.tried or not request.ran or kind.effect is api.Effect.SAFE:
            return b.id not in request.tried
        # Danger: an effect happening twice. Unsafe work is never sent again once it may have run, keyed work
        # only inside the group that drops the repeat, and a little before that group forgets.
        first, sent_at = request.ran[0].backend, request.ran[0].sent_at
        if kind.effect is api.Effect.UNSAFE or now - sent_at >= kind.repeat_window_ms - END_MS:
            return False
        same_zone = first.zone == b.zone and (
            kind.repeat_scope is not api.RepeatScope.CELL or first.cell == b.cell
        )
        return kind.repeat_scope is api.RepeatScope.ALL or same_zone
