"""Zones: what the outcomes of their backends say together, which may be given work, and how near each is.

Pure, as all of the module. Where the list names one zone alone, nothing here changes a decision.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from enum import Enum

from switchline.policy import interface as api

STEP = 0.8  # weight of an outcome in a backend's evidence: a gateway with thin traffic seldom has a second
BAD = 0.5  # a backend whose evidence is over this looks lost
DOUBT = 0.75  # backends taken to be well beside those met: it takes three failing ones to leave a zone
LEFT_AT, BACK_AT = 0.5, 0.25  # pooled evidence: a zone is left from here on, and may return under this
PANIC = 0.3  # of all backends: where fewer remain, the fault is held to be common
FAILING_COST = 1.0  # how much failing raises the cost of a zone: it is still met, until it is surely lost
TEST_MS = 2_000.0  # between two tests of a zone that is left, by one gateway
RAMP = 0.5, 1.0  # of a cold backend's time: a zone's return takes so long, by each gateway's own lot
FLAP_MS, MOST_FLAPS = 60_000.0, 2  # left again so soon, a zone takes twice as long to return; twice at most
NEAR_LEAST, NEAR_PRICE, NEAR_MOST = 0.05, 5.0, 1.0  # cost of a step away: at no price, for it, at most
SHARE_MS = 10_000.0  # memory of the traffic's shares
FORGET_MS = 60_000.0  # a zone that no list has named for so long, and nobody holds, is forgotten
MOST_GRANTED = 1.5  # requests that wait in the own part of the fleet's ramp: it gives no bursts
MOST_ZONES = 64  # further ones of a list have no evidence of their own


class State(Enum):
    UP = "up"
    RETURNING = "returning"
    LEFT = "left"
    HELD = "out by hand"


class Zone:
    def __init__(self, name: str) -> None:
        self.name, self.state = name, State.UP
        self.lost: dict[int, tuple[float, float]] = {}  # by backend: how surely it is lost, seen when
        self.usable, self.named_at = 0, 0.0  # backends; when a list named it last
        self.test_at = self.ramp_from = self.ramp_ms = 0.0
        self.back_at, self.flaps = -math.inf, 0  # its last return
        self.attempts, self.failures = 0, 0
        self.recent, self.recent_at = 0.0, 0.0  # attempts, fading
        self.word: api.ZoneDirective | None = None  # the fleet's, while it has left the zone or returns there
        self.granted, self.granted_at = 0.0, 0.0  # requests that the fleet's ramp lets go there now

    def level(self, now: float, memory: float) -> float:
        """How surely the zone is failing. The worst backend is left out: one alone condemns no zone.

        What was well before the failures began says nothing of now, and does not count against them.
        """
        begun = min((at for lost, at in self.lost.values() if lost > BAD), default=now)
        weights = [(math.exp((at - now) / memory), lost) for lost, at in self.lost.values() if at >= begun]
        if len(weights) < 2:
            return 0.0
        worst = max(weights, key=lambda seen: seen[0] * seen[1])
        failing = sum(weight * lost for weight, lost in weights) - worst[0] * worst[1]
        return failing / (sum(weight for weight, _ in weights) - worst[0] + DOUBT)


class Zones:
    """Owns the state of each zone, and every decision that is taken for a zone as a whole."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.chance, self.own = settings, chance, settings.zone
        self.regions: Mapping[str, str] = dict(settings.regions)
        self.zones: dict[str, Zone] = {}
        self.held: dict[str, None] = {}  # taken out by operators
        self.several = False  # the list names more than one
        self.memory = 4_000.0  # milliseconds in which evidence fades to a third; the gateway sets it
        self.told: list[str] = []  # changes of state, for the log
        self.losses = 0  # outcomes that were lost, ever

    # ---- the list and the operators ----

    def regroup(self, now: float, backends: Iterable[tuple[int, str, bool]]) -> None:
        """Take over which backends there are, of which zone, and whether each may be used."""
        listed: dict[str, list[int]] = {}
        for zone in self.zones.values():
            zone.usable = 0
        for backend, name, usable in backends:
            if name in self.zones or len(self.zones) < MOST_ZONES:
                zone = self.zones.setdefault(name, Zone(name))
                zone.usable, zone.named_at = zone.usable + usable, now
                listed.setdefault(name, []).append(backend)
        for name, zone in list(self.zones.items()):
            zone.lost = {i: zone.lost[i] for i in listed.get(name, ()) if i in zone.lost}
            if name not in listed and name not in self.held and now - zone.named_at > FORGET_MS:
                del self.zones[name]
        self.several = len(listed) > 1

    def follow(self, now: float, told: api.ZoneDirective) -> None:
        """The fleet's word goes before the own evidence; where there is none, that alone holds."""
        if (zone := self.zones.get(told.zone)) is None:
            return
        if told.state == State.RETURNING.value and not self.rationed(told.zone):
            zone.lost, zone.granted, zone.granted_at = {}, 0.0, now  # what was seen before says nothing now
        soon = now + told.probe_interval_ms * self.chance.random()
        zone.test_at = min(zone.test_at, soon) if zone.word else max(zone.test_at, soon)
        zone.word = told if told.state in (State.LEFT.value, State.RETURNING.value) else None

    def hold(self, now: float, name: str, out: bool) -> None:
        self.held.pop(name, None)
        if out:
            self.held[name] = None
        zone = self.zones.setdefault(name, Zone(name))
        zone.lost.clear()
        zone.named_at = now
        if out:
            self.turn(zone, State.HELD, "an operator has taken it out")
        elif zone.state is State.HELD:
            self.come_back(now, zone, "an operator has put it back")

    # ---- evidence ----

    def sent(self, now: float, name: str) -> None:
        if zone := self.zones.get(name):
            zone.attempts += 1
            zone.recent = zone.recent * math.exp((zone.recent_at - now) / SHARE_MS) + 1
            zone.recent_at = now

    def note(self, now: float, backend: int, name: str, lost: bool, ended: bool = True) -> None:
        """An outcome, or that an attempt has been silent for longer than any answer should take."""
        if (zone := self.zones.get(name)) is None:
            return
        self.losses += lost
        zone.failures += lost and ended
        level, at = zone.lost.get(backend, (0.0, now))
        level *= math.exp((at - now) / self.memory)
        zone.lost[backend] = level + (lost - level) * STEP, now

    def forget(self, backend: int, name: str) -> None:
        """A new process under an old name: what was seen of the old one says nothing."""
        if zone := self.zones.get(name):
            zone.lost.pop(backend, None)

    def look(self, now: float) -> None:
        """Leave zones, and let them return, as the evidence says."""
        for zone in self.zones.values():
            if zone.state is State.HELD:
                continue
            level, word = zone.level(now, self.memory), zone.word.state if zone.word else ""
            if word == State.LEFT.value:
                self.turn(zone, State.LEFT, "by the fleet's word")
            elif (zone.state is State.LEFT and level < BACK_AT) or (word and zone.state is State.UP):
                self.come_back(now, zone, f"its backends answer again (failing {level:.2f})")
            elif zone.state is not State.LEFT and level >= LEFT_AT:
                zone.flaps = min(MOST_FLAPS, zone.flaps + 1) if now - zone.back_at < FLAP_MS else 0
                self.tested(now, zone.name)
                self.turn(zone, State.LEFT, f"failing {level:.2f}, by {len(zone.lost)} of its backends")
            elif zone.state is State.RETURNING and not word and now >= zone.ramp_from + zone.ramp_ms:
                self.turn(zone, State.UP, "its return is complete")

    def come_back(self, now: float, zone: Zone, reason: str) -> None:
        zone.ramp_from = zone.back_at = now
        zone.ramp_ms = self.settings.rules.warm_up_ms * self.chance.uniform(*RAMP) * 2**zone.flaps
        self.turn(zone, State.RETURNING, reason)

    def turn(self, zone: Zone, state: State, reason: str) -> None:
        if zone.state is not state:
            zone.state = state
            self.told.append(f"zone {zone.name} is {state.value}: {reason}")

    # ---- where work may go ----

    def panic(self) -> bool:
        """So little remains that the gateway itself is cut off, or the fault is common: nothing is left."""
        usable = sum(zone.usable for zone in self.zones.values())
        remain = sum(zone.usable for zone in self.zones.values() if zone.state is not State.LEFT)
        own = self.zones.get(self.own)
        if own is not None and own.usable and own.state is not State.LEFT:
            return False  # what works is near: keep to it, and refuse what it can't take
        return remain < PANIC * usable

    def closed(self, now: float) -> set[str]:
        """The zones that this request may not go to: those left, and by chance those that return."""
        if self.panic():  # but what the fleet's ramp does not grant would push over what returns
            return {name for name in self.zones if self.rationed(name)}
        return {name for name, zone in self.zones.items() if not self.opens(now, zone)}

    def rationed(self, name: str) -> bool:
        """Whether a zone gets only what the fleet's ramp grants."""
        word = self.zones[name].word if name in self.zones else None
        return word is not None and word.state == State.RETURNING.value

    def grants(self, now: float) -> Zone | None:
        """A zone that the fleet returns to and that one more request of this gateway may go to."""
        for name, zone in self.zones.items():
            if zone.word and zone.state is State.RETURNING and self.rationed(name):
                earned = (now - zone.granted_at) / 1000 * zone.word.rate_per_s
                zone.granted, zone.granted_at = min(MOST_GRANTED, zone.granted + earned), now
                if zone.granted >= 1:
                    return zone
        return None

    def opens(self, now: float, zone: Zone) -> bool:
        if zone.word:
            return False  # left, or granted one by one
        if zone.state is State.RETURNING:
            least = self.settings.rules.start_capacity
            share = least + (1 - least) * (now - zone.ramp_from) / max(1.0, zone.ramp_ms)
            return share >= 1 or self.chance.random() < share
        return zone.state is State.UP

    def to_test(self, now: float) -> str | None:
        """A zone that is left and is owed a request which may be repeated."""
        left = (name for name, zone in self.zones.items() if zone.state is State.LEFT and now >= zone.test_at)
        return next((name for name in left if not self.rationed(name)), None)

    def tested(self, now: float, name: str) -> None:
        zone = self.zones[name]
        gap = zone.word.probe_interval_ms if zone.word else TEST_MS
        zone.test_at = now + gap * self.chance.uniform(0.5, 1.5)  # not all act as one

    def factors(self, now: float) -> dict[str, float]:
        """How much each zone raises the cost of its backends: by what fails there, and by distance.

        Only evidence beyond the least failing zone's counts: if all fail alike, the fault is common.
        """
        levels = {name: zone.level(now, self.memory) for name, zone in self.zones.items()}
        least = min((levels[n] for n, zone in self.zones.items() if zone.usable), default=0.0)
        near = self.nearness()
        return {
            name: (1 + FAILING_COST * max(0.0, level - least)) * (1 + near * self.distance(name))
            for name, level in levels.items()
        }

    def nearness(self) -> float:
        """The cost of a step away, by the price of crossing; less where the own zone is small.

        Danger: gateways are many in a zone of few backends, and each sees little of what the others send.
        """
        usable = [zone.usable for zone in self.zones.values() if zone.usable]
        own = self.zones[self.own].usable if self.own in self.zones else 0
        fair = sum(usable) / max(1, len(usable))  # backends of a zone of the usual size
        near = min(NEAR_MOST, NEAR_LEAST + NEAR_PRICE * self.settings.cross_zone_price)
        return near * min(1.0, own / max(1.0, fair)) ** 2 if own else near

    def distance(self, name: str) -> int:
        """0 in the own zone, 1 in its region, 2 elsewhere. Without regions all zones are one."""
        if name == self.own or not self.regions:
            return int(name != self.own)
        mine = self.regions.get(self.own)
        return 1 if mine is not None and mine == self.regions.get(name) else 2
