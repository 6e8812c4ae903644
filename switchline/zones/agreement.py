"""Leaving a zone, and returning to it, as one act of the fleet. Pure: facts and time in, facts and words out.

Each gateway tells what it met in a zone that is in question. The gateways of one zone judge another zone
together, pair by pair, from these facts, and any of them writes what follows as the next version of one
decision; the highest version holds, so no leader is needed. While they return, the decision holds each one's
part of the ramp by its place: the parts of one version add up to what the zone's backends bear.
"""

from __future__ import annotations

import math
import random
from collections import Counter as Counts
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

from switchline.fleet.facts import ZONE_ACT, Facts
from switchline.fleet.messages import LONGEST_VALUE, Entry, State
from switchline.fleet.node import Node
from switchline.fleet.quarantine import outside

MET, ON, LOAD = "zone-met", "zone-on", "load"  # kinds of facts
DOUBT = 0.75  # backends taken to be well beside those met
LEFT_AT, BACK_AT = 0.7, 0.25  # pooled evidence: a zone is left from here on, and may return under this
MOSTLY = 0.5  # of what observers met last, each backend for itself, so much must be lost
VOTES, ALIKE = 6, 4  # of gateways on backends since the losses began, at least; where all say the same
LEAST = 3  # distinct backends that must be lost, or well again, in a zone that has so many
PANIC = 0.3  # of all backends: nothing is left where fewer would remain
HOLD_S = 0.12  # that a zone must go on failing: who met its backends well has told it by then
FRESH_S = 4.0  # of a zone that has been left: a loss from before says nothing of its return
STEADY_S = 5.0  # part of a zone well for so long: it is returned to though the rest stays lost
LOST_S, WELL_S = 0.05, 1.0  # between two tellings: where more is lost, and else; that longer above
CROWD = 40  # members
END_S = 10.0  # without a loss told by anybody: a zone is no more in question
JITTER_S = 0.3  # until a decision that is not urgent, by lot: one is enough
STEPS = 8  # of a ramp
BACK_S = 1.0  # between two steps back
SOON_S = 0.4  # between two steps up where the list tells when the backends began, and they bear more already
FLAP_S, MOST_FLAPS = 60.0, 2  # left again so soon, the return takes twice as long; twice at most
TESTS_S = 1.0  # tests of a left zone a second, by all gateways together
MORE_TESTS = 6.0  # times as many once one is answered: enough backends are to be met soon
LEAST_GAP_S = 0.5
WAKE_S, AWAKE_S = 1.0, 0.6  # a gap between two looks from which on this one stood still; until it sends again
ENDED_S = 30.0  # dead for so long: one surely has ended, or is cut off from its clients too
TOLD_S = 60.0  # a decision that all is well again is told as acted on for so long
MOST_TOLD, MOST_IDS, ID_DIGITS = 8, 15, 8  # zones in question; backends of each kind; of a backend's number
MOST_PLACES = 320  # of gateways whose parts a decision has room for
EACH_LEAST = 1.0  # requests a second that any backend bears: without load a ramp would stand still for ever
WEIGHTS, LOAD_STEP = 15, 1.25  # of the parts; loads are told in steps, so that they change seldom

ListRepair = Literal["up", "left", "returning"]
Id = Annotated[str, msgspec.Meta(max_length=ID_DIGITS)]
Age = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Lost = tuple[int, frozenset[str]]  # of a return: its step, and the backends that were lost on it
Finite = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Met(msgspec.Struct, array_like=True, frozen=True):
    """What one gateway met in a zone lately: backends that look lost, that answer, and how many are slow.

    With each backend goes how long ago that was, in tenths of a second.
    """

    lost: Annotated[dict[Id, Age], msgspec.Meta(max_length=MOST_IDS)]
    well: Annotated[dict[Id, Age], msgspec.Meta(max_length=MOST_IDS)]
    slow: Annotated[int, msgspec.Meta(ge=0)] = 0


class Act(msgspec.Struct, array_like=True, frozen=True):
    """A decision of one zone's gateways on another zone.

    While they return: `each` is what a warm backend bears of them (requests a second), `count` how many are
    there, `parts` a hexadecimal digit for each place of a gateway, or "" for even ones.
    """

    state: ListRepair
    step: Annotated[int, msgspec.Meta(ge=0, le=STEPS)] = 0
    flaps: Annotated[int, msgspec.Meta(ge=0, le=MOST_FLAPS)] = 0
    each: Finite = 0.0
    count: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    parts: Annotated[str, msgspec.Meta(max_length=MOST_PLACES, pattern=r"^[0-9a-f]*$")] = ""
    why: Annotated[str, msgspec.Meta(max_length=80)] = ""


@dataclass(frozen=True, slots=True)
class Seen:
    """Of one zone, as this gateway sees it: its usable backends; those that look lost, and those that answer,
    each with the seconds since then; how many of them are slow; of a warm one's, what the youngest bears."""

    usable: int
    lost: Mapping[str, float] = field(default_factory=dict)
    well: Mapping[str, float] = field(default_factory=dict)
    slow: int = 0
    warmth: float = 1.0


@dataclass(frozen=True, slots=True)
class Heard:
    """What a gateway of a zone met in another one: by backend, when it was lost or answered last."""

    name: str
    zone: str
    lost: Mapping[str, float]
    well: Mapping[str, float]
    slow: int = 0


@dataclass(frozen=True, slots=True)
class Word:
    """What this gateway is to follow of a zone; see `ZoneDirective` of the policy. `gap_s`: seconds."""

    state: str
    rate: float = 0.0
    share: float = 1.0
    gap_s: float = 0.0
    first: float = 0.0
    part: float = 1.0


@dataclass(frozen=True, slots=True)
class Pool:
    """What observers met in a zone together: distinct backends, and the gateways that say so."""

    lost: frozenset[str]
    well: frozenset[str]
    tellers: frozenset[str]  # of losses
    zones: frozenset[str]  # of these
    witnesses: frozenset[str]  # of answers
    slow: int
    votes: int  # of gateways on backends since the losses began
    share: float  # of them, of losses
    without_one: int  # how many are told to be lost whichever gateway's word is left out

    @property
    def level(self) -> float:
        """How surely the zone is failing; the worst backend is left out, as one alone condemns none."""
        if not self.lost:
            return 0.0
        return (len(self.lost) - 1) / (len(self.lost) + len(self.well) - 1 + DOUBT)


def read_met(value: str | None) -> Met | None:
    try:
        return msgspec.json.decode(value, type=Met) if value else None
    except msgspec.MsgspecError:
        return None  # of a later version, or spoilt: it says nothing


def read_act(value: str | None) -> Act:
    try:
        return msgspec.json.decode(value, type=Act) if value else Act("up")
    except msgspec.MsgspecError:
        return Act("up")


def newest(ages: Mapping[str, float]) -> dict[str, int]:
    """The last ones, in tenths of a second."""
    return {b: round(10 * age) for b, age in sorted(ages.items(), key=lambda one: one[1])[:MOST_IDS]}


def placed(met: Met, name: str, zone: str, now: float) -> Heard:
    """What was met, by the clock here."""
    lost, well = ({b: now - age / 10 for b, age in ages.items()} for ages in (met.lost, met.well))
    return Heard(name, zone, lost, well, met.slow)


def read_load(value: str | None) -> float:
    """Requests a second that a gateway tells; none where it tells nothing that can be believed."""
    try:
        load = float(value or 0)
    except ValueError:
        return 0.0
    return load if 0 <= load <= 1e9 else 0.0


def without_old(heard: Heard, since: float) -> Heard:
    lost = {b: at for b, at in heard.lost.items() if at >= since}
    return Heard(heard.name, heard.zone, lost, heard.well, heard.slow)


def latest(times: Iterable[Mapping[str, float]]) -> dict[str, float]:
    found: dict[str, float] = {}
    for one in times:
        for backend, at in one.items():
            found[backend] = max(at, found.get(backend, -math.inf))
    return found


def pool(told: Iterable[Heard], vetoed: frozenset[str] = frozenset()) -> Pool:
    """What gateways met together: of each backend the last that anybody met holds, as it tells of now.

    What was well before the first of the losses that hold says nothing, and does not count against them.
    """
    heard = list(told)
    good, bad = latest(one.well for one in heard), latest(one.lost for one in heard)
    lost = frozenset(b for b, at in bad.items() if at > good.get(b, -math.inf) and b not in vetoed)
    begun = min((bad[b] for b in lost), default=-math.inf)
    tellers = {one.name: one.zone for one in heard if not lost.isdisjoint(one.lost)}
    return Pool(
        lost,
        frozenset(b for b, at in good.items() if b not in lost and at >= begun),
        frozenset(tellers),
        frozenset(tellers.values()),
        frozenset(one.name for one in heard if one.well),
        sum(one.slow for one in heard),
        *votes_since(heard, begun),
        least_without_one(heard, lost),
    )


def votes_since(heard: list[Heard], begun: float) -> tuple[int, float]:
    """How many backends the gateways met, each for itself, and the part that was lost.

    Each report tells of one moment: in their sum neither losses nor answers come later than the others.
    """
    lost = sum(at >= begun for one in heard for at in one.lost.values())
    well = sum(at >= begun for one in heard for at in one.well.values())
    return lost + well, lost / max(1, lost + well)


def least_without_one(heard: list[Heard], lost: frozenset[str]) -> int:
    """How many backends are still told to be lost where any one gateway's word is left out."""
    words = Counts[str](b for one in heard for b in one.lost if b in lost)
    alone = (sum(words[b] == 1 for b in one.lost if b in lost) for one in heard)
    return len(lost) - max(alone, default=0)


def fails(pooled: Pool, usable: int) -> bool:
    """Whether a zone with so many backends is to be left."""
    enough = len(pooled.lost) >= max(2, min(LEAST, usable)) and pooled.without_one >= 2
    votes = pooled.votes >= (VOTES if pooled.share < 1 else ALIKE)
    return enough and votes and pooled.level >= LEFT_AT and pooled.share >= MOSTLY


def parts_of(loads: Mapping[int, float], places: int) -> str:
    """Each place's part by its load, in fifteenths of the largest; "" where there are too many places."""
    most = max(loads.values(), default=0.0)
    if places > MOST_PLACES or not most:
        return ""
    digits = (max(1, math.floor(WEIGHTS * loads[p] / most)) if p in loads else 0 for p in range(places))
    return "".join(f"{digit:x}" for digit in digits)


def range_of(parts: str, place: int, places: int) -> tuple[float, float]:
    """Where the part of one place begins, and how wide it is; those of all places fill 0 to 1 at most."""
    if not parts:
        return min(place, places - 1) / max(1, places), 1 / max(1, places)
    digits = [int(digit, 16) for digit in parts]
    whole = max(1, sum(digits))
    return sum(digits[:place]) / whole, digits[place] / whole if place < len(digits) else 0.0


def part_of(parts: str, place: int, places: int) -> float:
    """The part of one place; those of all places add up to 1 at most."""
    return range_of(parts, place, places)[1]


def share_at(step: int, least: float) -> float:
    """Of what warm backends bear, what each is asked for at a step of the ramp."""
    return least + (1 - least) * step / STEPS


def step_of(warmth: float, least: float) -> int:
    """The highest step that backends of such a warmth bear, below the last one."""
    return max(0, min(STEPS - 1, math.floor((warmth - least) / max(1e-9, 1 - least) * STEPS + 1e-9)))


def step_load(rate: float) -> float:
    """A load in steps, so that it is told anew only where it changes much."""
    return LOAD_STEP ** round(math.log(rate) / math.log(LOAD_STEP)) if rate > 0.05 else 0.0


class Zonal:
    """Owns one gateway's part in what the fleet decides of zones. Times are seconds."""

    def __init__(
        self,
        zone: str,
        place: int,
        places: int,
        least: float,
        warm_s: float,
        chance: random.Random,
    ) -> None:
        """`place` of `places`; cold backends bear `least` of warm ones, and are warm after `warm_s`."""
        self.zone, self.place, self.places = zone, place, places
        self.least, self.warm_s, self.chance = least, warm_s, chance
        self.asked: dict[str, float] = {}  # zones in question: since when
        self.loss_at: dict[str, float] = {}  # when a loss there was last told by anybody
        self.told: dict[str, tuple[float, Met]] = {}  # what this one has told of them, and when
        self.since: dict[str, tuple[int, float]] = {}  # by zone: the version that holds, heard when
        self.known: dict[str, Lost] = {}  # zones that return, or did lately: what was lost is no news
        self.young: set[str] = set()  # zones that return with backends whose starts the list tells of
        self.failing: dict[str, float] = {}  # zones that are to be left: since when
        self.heard: dict[tuple[str, str], tuple[Entry, Heard]] = {}  # by zone and gateway
        self.left: dict[str, float] = {}  # zones that are left now: since when
        self.steady: dict[str, float] = {}  # left zones of which a part is well: since when
        self.regions: Mapping[str, str] = {}  # by zone
        self.waiting: dict[str, float] = {}  # left zones whose tests are answered: since when
        self.after: dict[str, float] = {}  # until when this one leaves a decision to others
        self.looked = self.woke = -math.inf
        self.me = ""
        self.words: dict[str, Word] = {}
        self.undecided = True  # a zone in question is neither left nor returned to, or none is in question

    # ---- what is told ----

    def look(
        self, node: Node, now: float, wall: float, seen: Mapping[str, Seen], load: float
    ) -> dict[str, Word]:
        """Tell what this gateway met, decide what is due, and give the words to follow by zone."""
        if now - self.looked > WAKE_S:
            self.woke = now
        self.looked = now
        facts = node.facts
        for zone in self.since.keys() - seen.keys():
            self._forget(facts, wall, zone)
        for zone in seen:
            self._since(facts, zone, now)
        mets = self._mets(node, now, seen)
        self._question(facts, now, seen, mets)
        if self._tell(facts, now, wall, seen, mets, WELL_S * max(1.0, node.members.size / CROWD)):
            node.urge()
        busy = bool(self.asked)
        facts.offer(wall, LOAD, "", str(round(step_load(load), 3)) if busy else None)
        if not node.members.minority and not node.members.taken_over:
            for zone in sorted(self.asked):
                if zone in seen:
                    self._decide(node, now, wall, zone, seen, mets)
        self.undecided = not self.asked or any(self.act(facts, zone).state == "up" for zone in self.asked)
        self.words = {
            zone: word
            for zone in seen
            if (word := self._word(node, now, wall, zone, seen, mets[zone])) is not None
        }
        return self.words

    def stirs(self, kind: str) -> bool:
        """Whether a new fact of that kind is to be looked at soon: more evidence is, until all is decided."""
        return kind == ZONE_ACT or (kind == MET and self.undecided)

    def _mets(self, node: Node, now: float, seen: Mapping[str, Seen]) -> dict[str, list[Heard]]:
        """By zone: what each gateway that is here tells that it met there, this one as it sees it now."""
        found: dict[str, list[Heard]] = {zone: [] for zone in seen}
        told = node.facts.of_kind(MET)
        for key in self.heard.keys() - told.keys():
            del self.heard[key]
        for (zone, origin), held in told.items():
            if zone in found and origin in node.members.present:
                before = self.heard.get((zone, origin))
                if before is None or before[0] is not held.entry:
                    met = read_met(held.entry.value) or Met({}, {})
                    of = node.facts.value("zone", "", origin) or ""
                    before = self.heard[zone, origin] = held.entry, placed(met, origin, of, now)
                found[zone].append(before[1])
        if out := outside(node.facts):  # on an old list they meet what is gone
            found = {zone: [one for one in heard if one.name not in out] for zone, heard in found.items()}
        me = self.me = node.members.me.name
        for zone, heard in found.items():
            met = self._own(zone, seen[zone])
            if met.lost or met.well:
                heard.append(placed(met, me, self.zone, now))
        return found

    def _own(self, zone: str, seen: Seen) -> Met:
        """What this one met: an answer from before it came into question, or was left, says nothing."""
        from_ = max(self.asked.get(zone, self.looked), self.left.get(zone, -math.inf))
        well = {b: age for b, age in seen.well.items() if age <= self.looked - from_}
        return Met(newest(seen.lost), newest(well), seen.slow)

    def _question(
        self,
        facts: Facts,
        now: float,
        seen: Mapping[str, Seen],
        mets: Mapping[str, list[Heard]],
    ) -> None:
        """Which zones are in question: where anybody tells a loss, or some have left it or return."""
        acted = {
            name.partition(">")[2]
            for (name, _), held in facts.of_kind(ZONE_ACT).items()
            if read_act(held.entry.value).state != "up"
        }
        for zone in seen:
            if zone in acted or any(heard.lost for heard in mets[zone]):
                if zone in self.asked or len(self.asked) < MOST_TOLD:
                    self.asked.setdefault(zone, now)
                    self.loss_at[zone] = now
        for zone in list(self.asked):
            if zone not in seen or now - self.loss_at[zone] > END_S:
                del self.asked[zone], self.loss_at[zone]

    def _tell(
        self,
        facts: Facts,
        now: float,
        wall: float,
        seen: Mapping[str, Seen],
        mets: Mapping[str, list[Heard]],
        well_s: float,
    ) -> bool:
        """Tell what was met in the zones in question; whether a first loss is among it."""
        first = False
        for zone in list(self.told):
            if zone not in self.asked:
                del self.told[zone]
                facts.offer(wall, MET, zone, None)
        for zone in self.asked:
            met = self._own(zone, seen[zone]) if zone in seen else Met({}, {})
            at, before = self.told.get(zone, (-math.inf, Met({}, {})))
            more = met.lost.keys() - before.lost or (met.well and not before.well)
            more = more or self._refutes(zone, met, now, mets.get(zone, ()))
            if met != before and now - at >= (LOST_S if more else well_s):
                self.told[zone] = now, met
                facts.offer(wall, MET, zone, msgspec.json.encode(met).decode())
                first |= bool(met.lost and not before.lost)
        return first

    def _refutes(self, zone: str, met: Met, now: float, heard: Iterable[Heard]) -> bool:
        """Whether this one met well what is held to be lost, and nobody has told so."""
        known = list(heard)
        others = [one for one in known if one.name != self.me]
        good, bad = latest(one.well for one in others), latest(one.lost for one in known)
        own = ((b, now - age / 10) for b, age in met.well.items())
        return any(at > bad.get(b, math.inf) and bad[b] > good.get(b, -math.inf) for b, at in own)

    # ---- what is decided ----

    def act(self, facts: Facts, zone: str) -> Act:
        """The decision on a zone that holds for the gateways of this one's."""
        return read_act(facts.value(ZONE_ACT, self.name(zone)))

    def name(self, zone: str) -> str:
        return f"{self.zone}>{zone}"

    def _decide(
        self,
        node: Node,
        now: float,
        wall: float,
        zone: str,
        seen: Mapping[str, Seen],
        mets: Mapping[str, list[Heard]],
    ) -> None:
        facts, told = node.facts, mets[zone]
        act, since = self.act(facts, zone), self._since(facts, zone, now)
        if act.state != "up":
            told = [without_old(one, now - FRESH_S) for one in told]
        ours = pool(one for one in told if one.zone == self.zone)
        alone = not self._comrades(node)
        match act.state:
            case "up":
                failing = self._failing(ours, told, seen[zone].usable, alone)
                returned = self.known.get(zone, (0, frozenset()))[1] if now - since < FLAP_S else frozenset()
                if failing is None or failing.lost <= returned or self._panics(facts, zone, seen):
                    self.failing.pop(zone, None)
                elif now - self.failing.setdefault(zone, now) >= HOLD_S:
                    again = facts.count(ZONE_ACT, self.name(zone)) and now - since < FLAP_S
                    flaps = min(MOST_FLAPS, act.flaps + 1) if again else 0
                    self._put(node, wall, zone, Act("left", flaps=flaps, why=self._reason(failing)))
            case "left":
                if self._answers(ours, pool(told), seen[zone].usable, alone, zone, now):
                    if not self._waits(facts, zone, now) and self._turn(zone, now):
                        self._put(node, wall, zone, self._ramp(node, now, zone, act.flaps, seen, ours))
                else:
                    self.after.pop(zone, None)
                    self.waiting.pop(zone, None)
            case "returning":
                self._on_the_way(node, now, wall, zone, act, since, seen[zone], ours, alone)

    def _waits(self, facts: Facts, zone: str, now: float) -> bool:
        """Whether another zone of its region goes first: a region is entered zone after zone.

        That is one on the first half of its way back, or one with an earlier name that is about to begin. No
        longer than a cold backend takes, as the other may halt there.
        """
        region, first = self.regions.get(zone), False
        for name in (n for n, of in self.regions.items() if of == region and n != zone):
            act = self.act(facts, name)
            begins = act.state == "left" and name < zone and name in self.waiting
            first |= begins or (act.state == "returning" and act.step < STEPS // 2)
        return now - self.waiting.setdefault(zone, now) < self.warm_s and first

    def _failing(self, ours: Pool, told: list[Heard], usable: int, alone: bool) -> Pool | None:
        """The evidence to leave on: of two gateways here, or of two zones' and nothing here against it.

        What one zone's gateways lose may be well from elsewhere; what this zone's met well is not lost here.
        """
        if fails(ours, usable) and len(ours.tellers) >= 2 and not alone:
            return ours
        common = pool(told, vetoed=ours.well)
        return common if fails(common, usable) and len(common.zones) >= 2 else None

    def _answers(self, ours: Pool, common: Pool, usable: int, alone: bool, zone: str, now: float) -> bool:
        """Whether a left zone has come back: so say this zone's own tests, or some of them and others'."""
        if not ours.well or (len(ours.witnesses | common.witnesses) < 2 and not alone):
            self.steady.pop(zone, None)
            return False
        enough = min(LEAST, max(1, usable))
        if ours.level < BACK_AT and len(ours.well) >= enough:
            return True
        if not ours.lost and common.level < BACK_AT and len(common.well) >= enough:
            return True
        if ours.level >= LEFT_AT:
            self.steady.pop(zone, None)
            return False
        return now - self.steady.setdefault(zone, now) >= STEADY_S

    def _on_the_way(
        self,
        node: Node,
        now: float,
        wall: float,
        zone: str,
        act: Act,
        since: float,
        seen: Seen,
        ours: Pool,
        alone: bool,
    ) -> None:
        """One step of the ramp: up on good answers, none on slow ones or silence, back on failures."""
        told = len(ours.tellers) >= 2 or alone
        if seen.warmth < 1:
            self.young.add(zone)
        if fails(ours, seen.usable) and told and 2 * len(ours.lost) > seen.usable:
            flaps = min(MOST_FLAPS, act.flaps + 1)
            self._put(node, wall, zone, Act("left", flaps=flaps, why=self._reason(ours)))
            return
        step, known = self.known.get(zone, (0, frozenset()))
        if act.step < step:
            known |= ours.lost  # each one that is lost on the way takes a step back once
        self.known[zone] = act.step, known
        fails_anew = ours.level >= BACK_AT and not ours.lost <= known
        if fails_anew and told and act.step and now - since >= BACK_S:
            why = f"{len(ours.lost)} backends fail"
            self._put(node, wall, zone, msgspec.structs.replace(act, step=act.step - 1, why=why))
        elif now - since >= self._step_s(zone, act, seen) and ours.well and not fails_anew:
            if 2 * ours.slow > len(ours.well) or not self._turn(zone, now):
                return
            if act.step + 1 >= STEPS:
                self._put(node, wall, zone, Act("up", flaps=act.flaps, why="the return is complete"))
            else:
                count = min(act.count, max(1, seen.usable - len(ours.lost)))
                given = {"step": act.step + 1, "count": count, "why": "its backends answer in time"}
                self._put(node, wall, zone, msgspec.structs.replace(act, **given))

    def _step_s(self, zone: str, act: Act, seen: Seen) -> float:
        """Until the next step: as the youngest backend warms, where that is known; else as a cold one."""
        if zone in self.young and not act.flaps and act.step < step_of(seen.warmth, self.least):
            return SOON_S
        return self.warm_s * 2.0**act.flaps / STEPS

    def _ramp(
        self, node: Node, now: float, zone: str, flaps: int, seen: Mapping[str, Seen], ours: Pool
    ) -> Act:
        """A new ramp: what the other zones' backends bear of these gateways now, divided by their loads."""
        remain, loads = self._remain(node.facts, zone, seen), self._loads(node, now)
        count = max(1, seen[zone].usable - len(ours.lost))
        each = min(1e9, max(EACH_LEAST, sum(loads.values()) / max(1, remain)))
        why = f"{len(ours.well)} of its backends answer"
        young = seen[zone].warmth < 1 and not flaps
        step = step_of(seen[zone].warmth, self.least) if young else 0
        return Act("returning", step, flaps, round(each, 3), count, parts_of(loads, self.places), why)

    def _loads(self, node: Node, now: float) -> dict[int, float]:
        """By place: the load of each gateway of this zone that has not surely ended."""
        facts, found = node.facts, dict[int, float]()
        for name, member in node.members.others.items():
            lost = member.state is State.DEAD and now - member.since > ENDED_S
            if not lost and member.state is not State.LEFT and facts.value("zone", "", name) == self.zone:
                place = facts.place(name)
                if place is not None and place < self.places:
                    found[place] = read_load(facts.value(LOAD, "", name))
        found[self.place] = read_load(facts.value(LOAD, "", node.members.me.name))
        return found

    def _comrades(self, node: Node) -> list[str]:
        """The other gateways of this zone that are here."""
        facts = node.facts
        return [name for name in node.members.present if facts.value("zone", "", name) == self.zone]

    def _panics(self, facts: Facts, zone: str, seen: Mapping[str, Seen]) -> bool:
        """Whether too little would remain: the fault is common, or the own zone's gateways are cut off."""
        remain = self._remain(facts, zone, seen)
        return remain < PANIC * sum(one.usable for one in seen.values())

    def _remain(self, facts: Facts, zone: str, seen: Mapping[str, Seen]) -> int:
        """The backends of the zones that are neither left nor returned to, without one."""
        others = (name for name in seen if name != zone and self.act(facts, name).state == "up")
        return sum(seen[name].usable for name in others)

    def _since(self, facts: Facts, zone: str, now: float) -> float:
        """When this gateway heard of the version that holds."""
        version = facts.count(ZONE_ACT, self.name(zone))
        if self.since.get(zone, (-1, 0.0))[0] != version:
            self.since[zone] = version, now
            self.after.pop(zone, None)
            self.failing.pop(zone, None)
            if self.act(facts, zone).state == "left":
                self.known.pop(zone, None)
            if self.act(facts, zone).state != "returning":
                self.young.discard(zone)
            if self.act(facts, zone).state != "left":
                self.left.pop(zone, None)
                self.waiting.pop(zone, None)
            else:
                self.left.setdefault(zone, now)
        return self.since[zone][1]

    def _forget(self, facts: Facts, wall: float, zone: str) -> None:
        """The list names it no more."""
        for kept in (self.since, self.known, self.failing, self.left, self.steady, self.after, self.waiting):
            kept.pop(zone, None)
        self.young.discard(zone)
        facts.offer(wall, ON, zone, None)

    def _turn(self, zone: str, now: float) -> bool:
        """Whether this one writes now what all would: by lot, so that one's word is mostly enough."""
        at = self.after.setdefault(zone, now + self.chance.uniform(0, JITTER_S))
        return now >= at

    def _put(self, node: Node, wall: float, zone: str, act: Act) -> None:
        value = msgspec.json.encode(act).decode()
        if len(value) <= LONGEST_VALUE and node.facts.decide(wall, ZONE_ACT, self.name(zone), value):
            node.urge()
            self.after.pop(zone, None)

    @staticmethod
    def _reason(pooled: Pool) -> str:
        by = ", ".join(sorted(pooled.tellers)[:3])
        return f"failing {pooled.level:.2f}, {len(pooled.lost)} backends, by {len(pooled.tellers)}: {by}"[:80]

    # ---- what follows here ----

    def _word(
        self,
        node: Node,
        now: float,
        wall: float,
        zone: str,
        seen: Mapping[str, Seen],
        told: list[Heard],
    ) -> Word | None:
        facts, act = node.facts, self.act(node.facts, zone)
        version, since = facts.count(ZONE_ACT, self.name(zone)), self._since(facts, zone, now)
        if not version:
            return None
        lately = act.state != "up" or now - since < TOLD_S
        facts.offer(wall, ON, zone, f"{version} {act.state}" if lately else None)
        if act.state == "up":
            self.steady.pop(zone, None)
            return Word("up")
        if act.state == "returning":
            remain = self._remain(facts, zone, seen)
            share = min(share_at(act.step, self.least), remain / max(1, remain + act.count))
            first, part = range_of(act.parts, self.place, self.places)
            rate = share * act.each * act.count * part if now - self.woke >= AWAKE_S else 0.0
            return Word("returning", rate, share, first=first, part=part)
        if node.members.minority:
            return None  # its own evidence holds
        # Within WELL_S others tell anew what they met: until then it may be from before the zone was left.
        answers = now - since > 2 * WELL_S and any(heard.well for heard in told)
        return Word("left", gap_s=self._gap_s(node, answers))

    def _gap_s(self, node: Node, answers: bool) -> float:
        """Between two tests of this gateway: all gateways share the tests of a zone."""
        return max(LEAST_GAP_S, node.members.size / (TESTS_S * (MORE_TESTS if answers else 1.0)))
