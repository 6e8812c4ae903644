"""Repair of the backend list of a running gateway whose discovery agent is stuck.

Drains and removals that two other gateways' newer lists agree on apply at once; nothing is added by them. The
own agent's list holds again as soon as it is level. Only with both `fleet` and `state`.
"""

from __future__ import annotations

import logging
import random
import time

from switchline import log_events
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import BackendList, DiscoveryError, read_list
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.messages import EndpointList, Exchange, Wanted
from switchline.fleet.versions.staleness import (
    StaleListWatch,
    agreed_changes,
    parse_list_seq,
    removes_all,
    seq_or_no_list,
)
from switchline.policy import interface as api
from switchline.service.audit_trail import RecordVersion, record_nothing
from switchline.service.driver import Driver
from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

REQUEST_INTERVAL_S = 0.5
GATEWAYS_ASKED = 3  # at once
MAX_LISTS = 8  # of other gateways that are stored at once
MAX_LOGGED_HOSTS = 8

Host = dict[str, object]  # in discovery's form


class ListRepair:
    """Owns whether the list here is behind, and the newer lists that others have sent since."""

    def __init__(
        self, driver: Driver, discovery: Discovery, state: StatePersistence, rng: random.Random
    ) -> None:
        self.driver = driver
        self.discovery = discovery
        self.state = state
        self.rng = rng
        self.is_stale = False
        self.lists: dict[str, EndpointList] = {}  # by their gateways
        self.repaired_seq = -1  # the number of the newest list that two others have reached
        self.hosts = 0  # changed by others' lists
        self.record: RecordVersion = record_nothing
        self._stale = StaleListWatch()
        self._applied: set[tuple[str, str]] = set()  # hosts and their health, by others' lists
        self._next_request_s = 0.0

    def own_seq(self) -> int:
        """The number of the own agent's list; -1 where there is none."""
        return seq_or_no_list(self.discovery.version)

    def tick(self, node: ProtocolEndpoint) -> None:
        """Called now and then: compare the own list with the others', and ask for newer ones."""
        now_s = time.monotonic()
        if self.own_seq() >= self.repaired_seq and self._applied:
            self._applied.clear()  # the own agent is level
        numbers = {
            name: parse_list_seq(node.facts.value(FactKind.LIST, "", name)) for name in node.members.present
        }
        is_stale = self._stale.is_stale(now_s, self.own_seq(), numbers.values())
        self._set_behind(is_stale and not node.members.minority, numbers, node)
        if self.is_stale and now_s >= self._next_request_s:
            self._request_lists(node, numbers, now_s)

    def _set_behind(self, is_stale: bool, numbers: dict[str, int | None], node: ProtocolEndpoint) -> None:
        own = self.own_seq()
        if is_stale and not self.is_stale:
            newest = max((seq for seq in numbers.values() if seq is not None), default=-1)
            log.warning(log_events.LIST_BEHIND, own, newest)
            self.record("behind", "list", str(own), f"most have a newer one, up to {newest}")
        if self.is_stale and not is_stale:
            log.info(log_events.LIST_LEVEL, own)
            self.record("level", "list", str(own), "its agent tells as much as the others'")
            self.lists.clear()
            node.wants &= ~Wanted.LIST
        self.is_stale = is_stale

    def _request_lists(self, node: ProtocolEndpoint, numbers: dict[str, int | None], now_s: float) -> None:
        """Ask some of the gateways that have a newer list for it."""
        level = max(self.own_seq(), self.repaired_seq)
        newer = [name for name, seq in numbers.items() if seq is not None and seq > level]
        if newer:
            self._next_request_s = now_s + REQUEST_INTERVAL_S
            node.wants |= Wanted.LIST
            node.list_seq = self.own_seq()
            some = self.rng.sample(sorted(newer), min(GATEWAYS_ASKED, len(newer)))
            node.exchange_with([node.members.present[name].address for name in some])

    def on_exchange(self, exchange: Exchange) -> None:
        """Another gateway sent its list; what two lists agree on is applied."""
        own = self.state.saved_hosts()
        if not self.is_stale or exchange.endpoint_list is None or own is None:
            return
        if exchange.endpoint_list.seq <= self.own_seq():
            return
        self._store(exchange.sender, exchange.endpoint_list)
        newer = [listed for listed in self.lists.values() if listed.seq > self.own_seq()]
        found = agreed_changes(own, newer)
        changes = [host for host in found if _key(host) not in self._applied]
        if len(newer) > 1:
            self.repaired_seq = max(self.repaired_seq, sorted(listed.seq for listed in newer)[-2])
        if changes and not removes_all(own, found):
            self._apply(changes)

    def _store(self, sender: str, listed: EndpointList) -> None:
        self.lists.pop(sender, None)
        while len(self.lists) >= MAX_LISTS:
            del self.lists[next(iter(self.lists))]
        self.lists[sender] = listed

    def _apply(self, changes: list[Host]) -> None:
        found = self._read(changes)
        if found is None:
            return
        self._applied |= {_key(host) for host in changes}
        self.hosts += len(changes)
        named = ", ".join(f"{host['host']} {host['health']}" for host in changes[:MAX_LOGGED_HOSTS])
        senders = ", ".join(sorted(self.lists))
        log.warning(log_events.LIST_REPAIRED, self.repaired_seq, senders, named)
        self.record("brought up", "list", str(self.repaired_seq), f"by {senders}: {named}")
        self.driver.apply_list(api.ListScope.CHANGES, found.backends)

    def _read(self, changes: list[Host]) -> BackendList | None:
        try:
            return read_list({"seq": self.repaired_seq, "whole": False, "hosts": changes})
        except DiscoveryError as error:
            log.warning(log_events.PEER_LIST_REJECTED, error)
            return None

    def gauges(self) -> dict[str, int]:
        """Whether the list here is behind, and how many hosts were changed by others' lists."""
        return {"fleet.behind": int(self.is_stale), "fleet.brought_up": self.hosts}


def _key(host: Host) -> tuple[str, str]:
    return str(host["host"]), str(host["health"])
