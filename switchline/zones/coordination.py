"""Zones as one act of the fleet: joins what the module meets, the facts of the line, and the module's zones.

`fleet.zonal` decides with the other gateways; the module follows its words (`ZoneDirective`). Only with the
configuration's table `fleet`, and where the list names several zones.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from switchline.audit.recorder import AuditCallback
from switchline.clock import now_ms
from switchline.fleet.facts import ZONE_ACT
from switchline.fleet.messages import Entry
from switchline.fleet_runtime.transport import GossipTransport
from switchline.policy import Gateway, gateway_status
from switchline.policy import interface as api
from switchline.service.driver import Driver, zone_metric_name
from switchline.zones.agreement import ID_DIGITS, ON, Act, Seen, Word, Zonal, part_of, read_act

log = logging.getLogger(__name__)

TICK_S, LOOK_S = 0.05, 0.25  # between two looks after a loss here or a fact of zones; and else
STATES = {"up": 0, "returning": 1, "left": 2}  # as `zone.Z.state` tells the module's own


class ZoneCoordinator:
    """Owns this gateway's part in the fleet's zones."""

    def __init__(self, driver: Driver, chance: random.Random) -> None:
        settings = driver.settings
        rules, gateways = settings.rules, settings.gateways
        self.driver = driver
        self.zonal = Zonal(
            settings.zone, settings.index, gateways, rules.start_capacity, rules.warm_up_ms / 1000, chance
        )
        self.peers: GossipTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.losses, self.stirred, self.looked_at = 0, False, 0.0
        self.words: dict[str, Word] = {}
        self.versions: dict[str, int] = {}
        self.over_said = False
        self.noted: AuditCallback = lambda kind, of, version, cause: None  # of the audit
        self.keep: Callable[[str, list[Any]], None] | None = None  # on disk

    def attach(self, peers: GossipTransport) -> None:
        """The line is open, or open anew."""
        self.peers = peers
        if self.timer is None:
            self._turn()

    def heard(self, entry: Entry) -> None:
        """A fact that is new here."""
        self.stirred |= self.zonal.stirs(entry.kind)
        if entry.kind == ZONE_ACT and self.keep is not None:
            self.keep(entry.name, row_of(entry))

    def recall(self, rows: Mapping[str, list[Any]]) -> None:
        """Decisions from disk, at a start: as if they were heard, and above none that the others know."""
        for name, said in rows.items():
            entry = entry_of(name, said)
            if self.peers is not None and entry is not None:
                self.peers.node.facts.merge(now_ms(), entry)

    def close(self) -> None:
        """There is no line any more: the module's own evidence holds."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.peers = None
        self.follow({})

    def _turn(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self._turn)
        now, losses = time.monotonic(), self.driver.gateway.zones.losses
        if losses != self.losses or self.stirred or now - self.looked_at >= LOOK_S:
            self.losses, self.stirred, self.looked_at = losses, False, now
            self.look(now)

    def look(self, now: float) -> None:
        """Tell what was met, take part in what is decided, and have the module follow it."""
        gateway = self.driver.gateway
        if self.peers is None or not gateway.zones.several:
            return self.follow({})
        seen = seen_of(gateway, now_ms())
        load = gateway_status.offered(gateway, now_ms())
        self.zonal.regions = gateway.zones.regions
        words = self.zonal.look(self.peers.node, now, now_ms(), seen, load)
        if self.peers.node.facts.refused["own"] and not self.over_said:
            self.over_said = True
            log.warning("not all is told to the other gateways: the bound on facts is reached")
        self.peers.flush()
        self.follow(words)
        self.tell_log()

    def follow(self, words: dict[str, Word]) -> None:
        for zone in self.words.keys() | words.keys():
            word = words.get(zone, Word(""))
            if word != self.words.get(zone):
                self.driver.give(told_of(zone, word))
        self.words = words

    def tell_log(self) -> None:
        """One line for each decision that is new here."""
        if self.peers is None:
            return
        facts = self.peers.node.facts
        for zone in self.words:
            version = facts.count(ZONE_ACT, self.zonal.name(zone))
            if version != self.versions.get(zone, 0):
                self.versions[zone] = version
                act = self.zonal.act(facts, zone)
                step = f", step {act.step}" if act.state == "returning" else ""
                told = zone, act.state, step, version, self.zonal.zone, act.why
                log.warning("the fleet: zone %s is %s%s (version %d, for gateways of %s): %s", *told)
                self.noted("zone", self.zonal.name(zone), f"{version} {act.state}{step}", act.why)

    # ---- what staff see ----

    def gauges(self) -> dict[str, int]:
        """By zone: the fleet's state, version and step, and the own part of a return in thousandths."""
        found: dict[str, int] = {}
        for zone, row in self.shown().items():
            name = f"fleet.zone.{zone_metric_name(zone)}"
            found |= {
                f"{name}.state": STATES[row["state"]],
                f"{name}.version": row["version"],
                f"{name}.step": row["step"],
                f"{name}.part": row["part"],
                f"{name}.observers": row["observers"],
            }
        return found

    def shown(self) -> dict[str, dict[str, Any]]:
        """For `GET /ops/fleet`, by zone."""
        if self.peers is None:
            return {}
        facts, found = self.peers.node.facts, {}
        for zone in self.words:
            act, zonal = self.zonal.act(facts, zone), self.zonal
            rate = self.words[zone].rate
            found[zone] = {
                "state": act.state,
                "version": facts.count(ZONE_ACT, zonal.name(zone)),
                "for": zonal.zone,
                "step": act.step,
                "flaps": act.flaps,
                "part": round(1000 * part_of(act.parts, zonal.place, zonal.places)),
                "rate": round(rate, 2),
                "observers": sum(name == zone for name, _ in facts.of_kind(ON)),
                "why": act.why,
            }
        return found


def row_of(entry: Entry) -> list[Any]:
    """A decision as it is kept on disk."""
    return [entry.origin, *entry.life, entry.version, entry.at, entry.value]


def entry_of(name: str, said: list[Any]) -> Entry | None:
    """A decision from disk; None for what is none.

    A return is not gone on with: what its backends bore before is not known to hold. It is begun anew, from a
    test of the zone; where others still go on with that version, theirs holds.
    """
    try:
        origin, began, lot, version, at, value = said
        act = read_act(str(value))
        if act.state == "returning":
            act = Act("left", flaps=act.flaps, why="kept on disk: the return is begun anew")
        value = msgspec.json.encode(act).decode()
        entry = Entry(ZONE_ACT, name, str(origin), (int(began), int(lot)), int(version), float(at), value)
        return msgspec.convert(msgspec.to_builtins(entry), Entry)  # its ranges are held
    except (ValueError, TypeError):
        return None


def short(backend: int) -> str:
    """A backend's number, as short as it is told in."""
    return f"{backend:0{ID_DIGITS}x}"[-ID_DIGITS:]


def seen_of(gateway: Gateway, now: float) -> dict[str, Seen]:
    """What a gateway meets, by zone, in the words of the line; `now` in milliseconds."""
    met = {zone: one for zone, one in gateway_status.met(gateway, now).items() if one.usable}
    return {z: Seen(o.usable, ages(o.lost), ages(o.well), o.slow, o.warmth) for z, o in met.items()}


def ages(of: dict[int, float]) -> dict[str, float]:
    """By a backend's short name, in seconds."""
    return {short(backend): age / 1000 for backend, age in of.items()}


def told_of(zone: str, word: Word) -> api.ZoneDirective:
    """A word as the module takes it."""
    return api.ZoneDirective(
        zone, word.state, word.rate, word.share, word.gap_s * 1000, word.first, word.part
    )
