"""Repair of the endpoint list of a running gateway whose discovery agent is stuck.

Drains and removals that the newer lists of two other gateways agree on are applied at once; backends are
never added. As soon as the own agent's list is up to date, it applies again. The repair needs `fleet` and
`state` in the configuration.
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

REQUEST_INTERVAL_S = 0.5  # time between two requests for newer lists
GATEWAYS_PER_REQUEST = 3  # number of gateways that are asked for their lists at once
MAX_LISTS = 8  # the most lists of other gateways that are stored at a time
MAX_LOGGED_HOSTS = 8  # the most backends that one log line names

Host = dict[str, object]  # a backend in the form of the discovery protocol


class ListRepair:
    """Owns whether the list of this gateway is stale, and the newer lists that others sent while it is."""

    def __init__(
        self, driver: Driver, discovery: Discovery, state: StatePersistence, rng: random.Random
    ) -> None:
        self.driver = driver
        self.discovery = discovery
        self.state = state
        self.rng = rng
        self.is_stale = False
        self.lists: dict[str, EndpointList] = {}  # newer lists, by the gateway that sent them
        self.repaired_seq = -1  # highest number that the lists of two other gateways have reached
        self.repaired_hosts = 0  # number of backends that were changed because of others' lists
        self.record: RecordVersion = record_nothing
        self._stale = StaleListWatch()
        self._applied: set[tuple[str, str]] = set()  # backends and the health that others' lists gave them
        self._next_request_s = 0.0

    def own_seq(self) -> int:
        """Return the sequence number of the own agent's list; -1 if there is none."""
        return seq_or_no_list(self.discovery.version)

    def tick(self, node: ProtocolEndpoint) -> None:
        """Compare the own list with those of the others, and ask for newer ones; called regularly."""
        now_s = time.monotonic()
        if self.own_seq() >= self.repaired_seq and self._applied:
            self._applied.clear()  # the own agent is up to date
        seqs = {
            name: parse_list_seq(node.facts.value(FactKind.LIST, "", name)) for name in node.members.present
        }
        is_stale = self._stale.is_stale(now_s, self.own_seq(), seqs.values())
        self._set_stale(is_stale and not node.members.minority, seqs, node)
        if self.is_stale and now_s >= self._next_request_s:
            self._request_lists(node, seqs, now_s)

    def _set_stale(self, is_stale: bool, seqs: dict[str, int | None], node: ProtocolEndpoint) -> None:
        own_seq = self.own_seq()
        if is_stale and not self.is_stale:
            newest_seq = max((seq for seq in seqs.values() if seq is not None), default=-1)
            log.warning(log_events.LIST_STALE, own_seq, newest_seq)
            self.record("behind", "list", str(own_seq), f"most have a newer one, up to {newest_seq}")
        if self.is_stale and not is_stale:
            log.info(log_events.LIST_UP_TO_DATE, own_seq)
            self.record("level", "list", str(own_seq), "its agent tells as much as the others'")
            self.lists.clear()
            node.wants &= ~Wanted.LIST
        self.is_stale = is_stale

    def _request_lists(self, node: ProtocolEndpoint, seqs: dict[str, int | None], now_s: float) -> None:
        """Ask some of the gateways that have a newer list for it."""
        newest_seq = max(self.own_seq(), self.repaired_seq)
        newer = [name for name, seq in seqs.items() if seq is not None and seq > newest_seq]
        if newer:
            self._next_request_s = now_s + REQUEST_INTERVAL_S
            node.wants |= Wanted.LIST
            node.list_seq = self.own_seq()
            asked = self.rng.sample(sorted(newer), min(GATEWAYS_PER_REQUEST, len(newer)))
            node.exchange_with([node.members.present[name].address for name in asked])

    def on_exchange(self, exchange: Exchange) -> None:
        """Store the list of another gateway, and apply the changes that two newer lists agree on."""
        own_hosts = self.state.saved_hosts()
        if not self.is_stale or exchange.endpoint_list is None or own_hosts is None:
            return
        if exchange.endpoint_list.seq <= self.own_seq():
            return
        self._store(exchange.sender, exchange.endpoint_list)
        newer = [listed for listed in self.lists.values() if listed.seq > self.own_seq()]
        agreed = agreed_changes(own_hosts, newer)
        changes = [host for host in agreed if _host_health(host) not in self._applied]
        if len(newer) > 1:  # two lists have reached the second highest number
            self.repaired_seq = max(self.repaired_seq, sorted(listed.seq for listed in newer)[-2])
        if changes and not removes_all(own_hosts, agreed):
            self._apply(changes)

    def _store(self, sender: str, listed: EndpointList) -> None:
        self.lists.pop(sender, None)
        while len(self.lists) >= MAX_LISTS:
            del self.lists[next(iter(self.lists))]
        self.lists[sender] = listed

    def _apply(self, changes: list[Host]) -> None:
        parsed = self._parse(changes)
        if parsed is None:
            return
        self._applied |= {_host_health(host) for host in changes}
        self.repaired_hosts += len(changes)
        changed_hosts = ", ".join(f"{host['host']} {host['health']}" for host in changes[:MAX_LOGGED_HOSTS])
        senders = ", ".join(sorted(self.lists))
        log.warning(log_events.LIST_REPAIRED, self.repaired_seq, senders, changed_hosts)
        self.record("brought up", "list", str(self.repaired_seq), f"by {senders}: {changed_hosts}")
        self.driver.apply_list(api.ListScope.CHANGES, parsed.backends)

    def _parse(self, changes: list[Host]) -> BackendList | None:
        try:
            return read_list({"seq": self.repaired_seq, "whole": False, "hosts": changes})
        except DiscoveryError as error:
            log.warning(log_events.PEER_LIST_REJECTED, error)
            return None

    def gauges(self) -> dict[str, int]:
        """Return metrics: whether the list is stale, and how many backends others' lists have changed."""
        return {"fleet.behind": int(self.is_stale), "fleet.brought_up": self.repaired_hosts}


def _host_health(host: Host) -> tuple[str, str]:
    return str(host["host"]), str(host["health"])
