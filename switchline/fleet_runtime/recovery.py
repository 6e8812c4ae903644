"""What a gateway takes from the others after its death, and the return of a whole fleet that lost power.

Before clients: what operators took out by hand, the newest list, and where its own disk is lost or old what
is spent of customers' quotas. Then it may turn out that the whole fleet lost power: service returns in
stages. Each wait is bounded. Only with both `fleet` and `state`; each alone does what it did. The table of
what is trusted is in docs/recovery.md.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Iterator, Mapping
from enum import IntEnum
from typing import Any

from switchline.audit.recorder import AuditCallback
from switchline.clock import now_ms
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import DiscoveryError, read_list
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.members import Members
from switchline.fleet.messages import (
    MAX_LISTED_HOSTS,
    MAX_QUOTAS,
    EndpointList,
    Exchange,
    ListedHost,
    RemainingQuota,
    Wanted,
)
from switchline.fleet.outage import (
    DOWNTIME_PUBLISHED_S,
    UNKNOWN_DOWNTIME,
    OutageVerdict,
    decode_downtime,
    judge_outage,
)
from switchline.fleet.staleness import binding_changes, removes_all, seq_or_no_list
from switchline.fleet_runtime.transport import Peers, Word
from switchline.operators.overrides import OperatorOverrides, OverrideChange
from switchline.policy import gateway_status
from switchline.policy import interface as api
from switchline.service.driver import Driver
from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

HEAR_S = 2.0  # for word of the others; a gateway alone serves after it
ENOUGH = 3  # others whose whole state has come: fewer where fewer are there
LATER_S = 0.3  # after the last of them: who started a moment later has told by then what is on its disk
LOOK_S, ASK_S = 0.02, 0.15  # between two looks, and two asks of some that have not told yet
SPENDING_S = 1.0  # for what others know of customers' spending
NEAREST = 6  # gateways that are asked for it: the nearest by their places, as a customer's set lies together
DOUBT_S = 30.0  # from the start: an empty or older list of a discovery that is just back waits so long
SINCE_S = 1.0  # by which an outage may have begun earlier than the downtimes tell


class Stage(IntEnum):
    """Of a start, in this order; as `recovery.stage` shows it."""

    FACTS = 1  # who is there, what is out by hand, the newest list
    SPENDING = 2  # of customers, from the gateways nearest by
    COLD = 3  # clients are served as far as cold backends bear
    WHOLE = 4


class FleetRecovery:
    """Owns what was taken from the others, and the stage of this gateway's return.

    What is out by hand follows the fleet's word where it came from there; else this gateway's own calls.
    """

    def __init__(
        self,
        hands: Mapping[str, OperatorOverrides],
        recovery: StatePersistence,
        driver: Driver,
        discovery: Discovery,
        index: int,
    ) -> None:
        self.hands, self.recovery, self.driver = hands, recovery, driver
        self.discovery, self.index = discovery, index
        self.began = time.monotonic()
        self.down_s = recovery.downtime_s()
        self.peers: Peers | None = None
        self.stage, self.stage_at = Stage.FACTS, self.began
        self.risen_until, self.doubt_until = self.began + DOWNTIME_PUBLISHED_S, self.began + DOUBT_S
        self.verdict = OutageVerdict(False, False, 0, 1, 0.0)
        self.taken: set[tuple[str, str]] = set()  # kind and name
        # Others that were met in this life: until when what they brought from before theirs is taken.
        self.met: dict[str, float] = {}
        self.newest: EndpointList | None = None  # list of another's
        self.asked: set[str] = set()  # for spending, and not heard yet
        self.ready = False  # this one can tell of spending itself
        self.held_back = False  # a list of discovery
        self.hosts = self.customers = self.spoilt = 0  # taken from others; answers that were of no use
        self.waited_ms = 0
        discovery.weigh = self.weigh
        self.noted: AuditCallback = lambda kind, of, version, cause: None  # of the audit

    # ---- what it tells ----

    def words(self) -> Iterator[Word]:
        down = UNKNOWN_DOWNTIME if math.isnan(self.down_s) else f"{self.down_s:.1f}"
        yield Word(FactKind.DOWNTIME, "", down if time.monotonic() < self.risen_until else None)

    def listed(self, seq: int) -> EndpointList | None:
        """The list here, if it is newer than what another has."""
        hosts, version = self.recovery.saved_hosts(), self.discovery.version
        if hosts is None or version is None or version <= seq or len(hosts) > MAX_LISTED_HOSTS:
            return None
        rows = [
            ListedHost(
                str(host["host"]),
                str(host["dial"]),
                str(host.get("site") or ""),
                int(host.get("block") or 0),
                str(host["health"]),
                float(host.get("born_ms") or 0),
            )
            for host in hosts
        ]
        return EndpointList(version, rows)

    def spent(self) -> list[RemainingQuota] | None:
        """What is spent of quotas, as this one knows; None as long as it asks itself."""
        if not self.ready:
            return None
        told = gateway_status.spending(self.driver.gateway, now_ms(), MAX_QUOTAS)
        return [RemainingQuota(one.customer, one.plan, one.even_share, one.remaining_units) for one in told]

    def settle(self) -> None:
        """This process takes over from another one, which knows better: it only answers the others."""
        self.stage, self.ready = Stage.WHOLE, True
        self.risen_until = self.doubt_until = self.began

    def attach(self, peers: Peers) -> None:
        """The line is open, or open anew."""
        self.peers, node = peers, peers.node
        node.newer_list, node.known_quotas = self.listed, self.spent

    # ---- before clients ----

    async def hear(self, peers: Peers) -> None:
        """Wait, no longer than a bound, until what must be known before clients is known."""
        node = peers.node
        node.wants, node.list_seq = Wanted.LIST, seq_or_no_list(self.discovery.version)
        ask_at = self.began
        while (left := self.began + HEAR_S - time.monotonic()) > 0:
            others = len(node.members.present)
            if others and len(node.exchanged_with) >= min(ENOUGH, others):
                await asyncio.sleep(min(LATER_S, left))
                break
            if not (others or peers.line.seeds):
                break
            if time.monotonic() >= ask_at:
                ask_at = time.monotonic() + ASK_S
                node.exchange_with_some(ENOUGH - 1)
            await asyncio.sleep(min(LOOK_S, left))
        self.adopt(anew=True)
        self.take_list()
        self.verdict = self.judged()
        node.wants = Wanted.NOTHING
        self.waited_ms = round((time.monotonic() - self.began) * 1000)
        log.info(
            "recovery: heard %d other gateways in %d ms; of them come %d that are out by hand, %d of a list",
            *(len(node.exchanged_with), self.waited_ms, len(self.taken), self.hosts),
        )

    async def catch_up(self) -> None:
        """Where the own disk is lost or old: what the gateways nearest by know to be spent."""
        self.ready = True
        if self.peers is not None and (math.isnan(self.down_s) or self.verdict.old):
            why = "it is older than the others'" if self.verdict.old else "it tells of no earlier life"
            self.turn(Stage.SPENDING, f"the disk can't be relied on: {why}")
            node, ends, ask_at = self.peers.node, time.monotonic() + SPENDING_S, 0.0
            node.wants = Wanted.QUOTAS
            near = self.nearest()
            self.asked = set(near)
            while self.asked and time.monotonic() < ends:
                if time.monotonic() >= ask_at:
                    ask_at = time.monotonic() + ASK_S
                    node.exchange_with([near[name] for name in sorted(self.asked)][:2])
                await asyncio.sleep(LOOK_S)
            node.wants = Wanted.NOTHING
            log.info("recovery: %d customers' spending came from others", self.customers)
            if self.asked:
                log.info("recovery: no word of spending from %s", ", ".join(sorted(self.asked)))
        self.asked.clear()
        self.waited_ms = round((time.monotonic() - self.began) * 1000)
        if self.verdict.common:
            self.turn_cold()
        else:
            self.turn(Stage.WHOLE, "no outage of the fleet: it joins" if self.verdict.heard > 1 else "alone")

    def nearest(self) -> dict[str, tuple[str, int]]:
        """Names and addresses of the gateways whose places are nearest, around the ring of all."""
        if self.peers is None:
            return {}
        node, places = self.peers.node, max(1, self.driver.settings.gateways)
        found = []
        for origin, member in node.members.present.items():
            if (place := node.facts.place(origin)) is not None:
                apart = (place - self.index) % places
                found.append((min(apart, places - apart), origin, member.address))
        return {origin: address for _, origin, address in sorted(found)[:NEAREST]}

    # ---- what the others tell ----

    def learn(self, told: Exchange) -> None:
        """A list, or spending, that was asked for. What is out of its range is dropped and counted."""
        listed = told.listed
        if listed is not None and (self.newest is None or listed.seq > self.newest.seq):
            self.newest = listed
        if told.spent is not None and told.sender in self.asked:
            self.asked.discard(told.sender)
            for one in told.spent:
                self.driver.give(api.PeerQuotaReport(one.key, one.plan, one.even, one.left))
            self.customers += len(told.spent)

    def take_list(self) -> None:
        """Of another's newer list its drains, removals and births bind at once; nothing is added by it.

        The addresses in it are those that the other gateway reaches backends by. Discovery is asked for all
        that it knows then, as its changes would not undo what a peer erred in.
        """
        newer, own, seq = self.newest, self.recovery.saved_hosts(), seq_or_no_list(self.discovery.version)
        if newer is None or own is None or newer.seq <= seq:
            return
        changes = list(binding_changes(own, newer))
        try:
            found = read_list({"seq": newer.seq, "whole": False, "hosts": changes})
        except DiscoveryError as error:
            self.spoilt += 1
            return log.info("recovery: another gateway's list is left out: %s", error)
        if removes_all(own, changes):
            return  # nobody has use for it
        log.info("recovery: another gateway's list is newer: %d, here %d", newer.seq, seq)
        self.noted("brought up", "list", str(newer.seq), "at the start, by another gateway's list")
        self.hosts = len(found.members)
        self.driver.members(api.ListScope.CHANGES, found.members)
        self.discovery.anew()

    def weigh(self, raw: dict[str, Any]) -> dict[str, Any] | None:
        """What is taken of a whole list that discovery tells while it may just be back itself.

        Of an older one its drains; an empty one, where backends are known, is held back. Later both hold.
        """
        hosts = raw.get("hosts") or []
        known = max(seq_or_no_list(self.discovery.version), self.newest.seq if self.newest else -1)
        own = self.recovery.saved_hosts()
        behind = raw.get("whole") and (int(raw["seq"]) < known or not hosts)
        if not behind or not own or time.monotonic() >= self.doubt_until:
            return raw
        if not self.held_back:
            told = len(hosts), raw["seq"], known
            log.warning("discovery's list of %d hosts is held back: %s, here %s", *told)
        self.held_back = True
        drained = {str(host["host"]) for host in hosts if host["health"] == "draining"}
        changes = [host | {"health": "draining"} for host in own if host["host"] in drained]
        return {"seq": known, "whole": False, "hosts": changes} if hosts else None

    def meet(self, members: Members) -> None:
        """Who is met for the first time in this life was not there to be asked at its start."""
        until = time.monotonic() + DOWNTIME_PUBLISHED_S
        self.met = {name: at for name, at in self.met.items() if name in members.others}
        self.met |= {name: until for name in members.present.keys() - self.met.keys()}

    def adopt(self, anew: bool = False) -> None:
        """Follow the fleet's newest word on what was taken from it; `anew`: and take what is out there.

        So is what a gateway that is met late brought from before its life, by its own clock. What is called
        for at single gateways otherwise is theirs alone.
        """
        if self.peers is None:
            return
        self.meet(self.peers.node.members)
        now, facts = time.monotonic(), self.peers.node.facts
        for kind, bans in self.hands.items():
            newer: dict[str, OverrideChange] = {}
            for (name, _), stored in facts.of_kind(kind).items():
                entry, out = stored.entry, stored.entry.value == "down"
                brought = entry.at <= entry.incarnation[0] and now < self.met.get(entry.origin, 0.0)
                asked = (anew or brought) and (out or name in bans.active)
                if ((kind, name) in self.taken or asked) and entry.at > bans.last_changed_ms(name):
                    newer[name] = OverrideChange(out, entry.at)
            if not newer:
                continue
            self.taken |= {(kind, name) for name in newer}
            try:
                bans.merge(newer)
            except OSError as error:
                log.warning("what is out by hand, as others tell, can't be kept: %s", error)

    # ---- stages ----

    def judged(self) -> OutageVerdict:
        """Whether the fleet lost power, as far as this one has heard."""
        if self.peers is None:
            return self.verdict
        members, facts = self.peers.node.members, self.peers.node.facts
        others = [decode_downtime(facts.value(FactKind.DOWNTIME, "", name)) for name in members.present]
        return judge_outage(self.down_s if time.monotonic() < self.risen_until else None, others)

    def look(self) -> None:
        """Called now and then: follow the fleet's word, and the stages."""
        self.adopt()
        if self.held_back and time.monotonic() >= self.doubt_until:
            self.held_back = False
            self.discovery.anew()  # what it tells now holds
        if self.stage is Stage.COLD and now_ms() >= self.driver.gateway.recovery_ramp.until:
            took = time.monotonic() - self.stage_at
            self.turn(Stage.WHOLE, f"the backends have had their slow start, {took:.1f} s after")
        elif self.stage is Stage.WHOLE and time.monotonic() < self.risen_until:
            if not self.verdict.common and (verdict := self.judged()).common:
                self.verdict = verdict  # the others came later
                self.turn_cold()

    def turn_cold(self) -> None:
        found = self.verdict
        said = f"{found.restarted} of {found.heard} gateways began lately, down for {found.down_s:.1f} s"
        self.turn(Stage.COLD, f"the fleet lost power: {said}")
        back = now_ms() - (time.monotonic() - self.began) * 1000
        self.driver.give(api.FleetOutage(back - (found.down_s + SINCE_S) * 1000, back))

    def turn(self, stage: Stage, why: str) -> None:
        self.stage, self.stage_at = stage, time.monotonic()
        log.info("recovery: stage %s: %s", stage.name.lower(), why)
        self.noted("stage", "", stage.name.lower(), why)

    # ---- figures ----

    def gauges(self) -> dict[str, int]:
        return {
            "recovery.stage": int(self.stage),
            "recovery.waiting_for": len(self.asked),
            "recovery.from_disk": self.recovery.restored,
            "recovery.from_peers": len(self.taken) + self.hosts + self.customers,
            "recovery.withheld": self.driver.withheld,
            "recovery.waited_ms": self.waited_ms,
        }

    def shown(self) -> dict[str, object]:
        """For `GET /ops/fleet`."""
        verdict = self.verdict
        return {
            "stage": self.stage.name.lower(),
            "stage_s": round(time.monotonic() - self.stage_at, 2),
            "common": verdict.common,
            "old_disk": verdict.old,
            "risen": verdict.restarted,
            "heard": verdict.heard,
            "down_s": None if math.isnan(self.down_s) else round(self.down_s, 1),
            "waiting_for": sorted(self.asked),
            "from_disk": self.recovery.restored,
            "bans": len(self.taken),
            "hosts": self.hosts,
            "customers": self.customers,
            "spoilt": self.spoilt,
            "held_back": self.held_back,
            "withheld": self.driver.withheld,
            "waited_ms": self.waited_ms,
        }
