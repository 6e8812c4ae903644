"""A running gateway whose discovery agent is stuck: it is brought up by the others' newer list.

Drains and removals that two others tell alike bind at once; nothing is added on their word. Its own agent's
word holds again as soon as it comes. Only with both `fleet` and `state`.
"""

from __future__ import annotations

import logging
import random
import time

from switchline.audit.recorder import AuditCallback
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import DiscoveryError, read_list
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.messages import EndpointList, Exchange, Wanted
from switchline.fleet.staleness import (
    StaleListWatch,
    agreed_changes,
    parse_list_number,
    removes_all,
    seq_or_no_list,
)
from switchline.fleet_runtime.transport import Peers
from switchline.policy import interface as api
from switchline.service.driver import Driver
from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

ASK_S, ASKED = 0.5, 3  # between two asks, and of how many, while it is behind
MOST_LISTS = 8  # of others that are held at once


class ListRepair:
    """Owns whether this gateway is behind, and the newer lists that others have told it since."""

    def __init__(
        self, driver: Driver, discovery: Discovery, recovery: StatePersistence, chance: random.Random
    ) -> None:
        self.driver, self.discovery, self.recovery, self.chance = driver, discovery, recovery, chance
        self.behind = StaleListWatch()
        self.lists: dict[str, EndpointList] = {}  # by their gateways
        self.seq = -1  # of the newest list that it was brought up to
        self.taken: set[tuple[str, str]] = set()  # hosts and what became of them, by others' word
        self.ask_at = 0.0
        self.is_behind = False
        self.hosts = 0
        self.noted: AuditCallback = lambda kind, of, version, cause: None  # of the audit

    def own(self) -> int:
        return seq_or_no_list(self.discovery.version)

    def look(self, peers: Peers) -> None:
        """Called now and then."""
        now, node = time.monotonic(), peers.node
        if self.own() >= self.seq and self.taken:
            self.taken.clear()  # its agent tells as much as the others did
        told = {
            name: parse_list_number(node.facts.value(FactKind.LIST, "", name))
            for name in node.members.present
        }
        behind = self.behind.is_stale(now, self.own(), told.values()) and not node.members.minority
        if behind and not self.is_behind:
            newest = max((seq for seq in told.values() if seq is not None), default=-1)
            log.warning("the list here is behind: %d, most have a newer one, up to %d", self.own(), newest)
            self.noted("behind", "list", str(self.own()), f"most have a newer one, up to {newest}")
        if self.is_behind and not behind:
            log.info("the list here is level again: %d", self.own())
            self.noted("level", "list", str(self.own()), "its agent tells as much as the others'")
            self.lists.clear()
            node.wants &= ~Wanted.LIST
        self.is_behind = behind
        if not behind or now < self.ask_at:
            return
        newer = [n for n, seq in told.items() if seq is not None and seq > max(self.own(), self.seq)]
        if newer:
            self.ask_at = now + ASK_S
            node.wants, node.list_seq = node.wants | Wanted.LIST, self.own()
            some = self.chance.sample(sorted(newer), min(ASKED, len(newer)))
            node.exchange_with([node.members.present[name].address for name in some])

    def learn(self, told: Exchange) -> None:
        """Another's list; what two tell alike binds."""
        own = self.recovery.saved_hosts()
        if not self.is_behind or told.listed is None or own is None or told.listed.seq <= self.own():
            return
        self.lists.pop(told.sender, None)
        while len(self.lists) >= MOST_LISTS:
            del self.lists[next(iter(self.lists))]
        self.lists[told.sender] = told.listed
        newer = [listed for listed in self.lists.values() if listed.seq > self.own()]
        found = agreed_changes(own, newer)
        changes = [host for host in found if (str(host["host"]), str(host["health"])) not in self.taken]
        if len(newer) > 1:
            self.seq = max(self.seq, sorted(listed.seq for listed in newer)[-2])
        if not changes or removes_all(own, found):
            return
        try:
            members = read_list({"seq": self.seq, "whole": False, "hosts": changes}).members
        except DiscoveryError as error:
            return log.warning("others' list is left out: %s", error)
        self.taken |= {(str(host["host"]), str(host["health"])) for host in changes}
        self.hosts += len(changes)
        named = ", ".join(f"{host['host']} {host['health']}" for host in changes[:8])
        log.warning("brought up to list %d by %s: %s", self.seq, ", ".join(sorted(self.lists)), named)
        self.noted("brought up", "list", str(self.seq), f"by {', '.join(sorted(self.lists))}: {named}")
        self.driver.members(api.ListScope.CHANGES, members)

    def gauges(self) -> dict[str, int]:
        return {"fleet.behind": int(self.is_behind), "fleet.brought_up": self.hosts}
