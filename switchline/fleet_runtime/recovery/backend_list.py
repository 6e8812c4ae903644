"""The list of backends after a start: what of other gateways' and of a restarted discovery's list is applied.

Of another gateway's newer list, drains, removals and later starts of backends apply at once; nothing is
added. For `DOUBT_S` discovery may itself just be back: an empty or older list of it is withheld, but for its
drains.
"""

from __future__ import annotations

import logging
import time
from typing import Any

from switchline import log_events
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import BackendList, DiscoveryError, read_list
from switchline.fleet.messages import MAX_LISTED_HOSTS, EndpointList, ListedHost
from switchline.fleet.versions.staleness import removes_all, restrictive_changes, seq_or_no_list
from switchline.policy import interface as api
from switchline.service.audit_trail import RecordVersion, record_nothing
from switchline.service.driver import Driver
from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

DISCOVERY_DOUBT_S = 30.0  # from the start


class ListRecovery:
    """Owns the newest list that another gateway has sent, and whether discovery's is withheld."""

    def __init__(self, state: StatePersistence, driver: Driver, discovery: Discovery, began_s: float) -> None:
        self.state = state
        self.driver = driver
        self.discovery = discovery
        self.newest: EndpointList | None = None
        self.doubt_until_s = began_s + DISCOVERY_DOUBT_S  # monotonic
        self.is_withheld = False
        self.hosts = 0  # changed by another gateway's list
        self.rejected = 0  # lists of other gateways that could not be read
        self.record: RecordVersion = record_nothing
        discovery.filter_list = self.filter_doubtful

    def newer_than(self, number: int) -> EndpointList | None:
        """The list here, for a gateway that asks with the number of its own; None where it is no newer."""
        hosts = self.state.saved_hosts()
        version = self.discovery.version
        if hosts is None or version is None or version <= number or len(hosts) > MAX_LISTED_HOSTS:
            return None
        return EndpointList(version, [_host_message(host) for host in hosts])

    def offer(self, listed: EndpointList | None) -> None:
        """Another gateway has sent its list; the newest is kept for `apply_newest`."""
        if listed is not None and (self.newest is None or listed.seq > self.newest.seq):
            self.newest = listed

    def apply_newest(self) -> None:
        """Apply the newest list of another gateway, where it is newer than the own.

        Its addresses are those that the other gateway reaches backends by. Discovery is asked for its whole
        list then, as its changes would not undo an error of the other gateway.
        """
        newer = self.newest
        own = self.state.saved_hosts()
        number = seq_or_no_list(self.discovery.version)
        if newer is None or own is None or newer.seq <= number:
            return
        changes = list(restrictive_changes(own, newer))
        found = self._read(newer.seq, changes)
        if found is None or removes_all(own, changes):
            return
        log.info(log_events.PEER_LIST_NEWER, newer.seq, number)
        self.record("brought up", "list", str(newer.seq), "at the start, by another gateway's list")
        self.hosts = len(found.backends)
        self.driver.apply_list(api.ListScope.CHANGES, found.backends)
        self.discovery.refetch_list()

    def _read(self, number: int, changes: list[dict[str, Any]]) -> BackendList | None:
        try:
            return read_list({"seq": number, "whole": False, "hosts": changes})
        except DiscoveryError as error:
            self.rejected += 1
            log.info(log_events.PEER_LIST_UNREADABLE, error)
            return None

    def filter_doubtful(self, raw: dict[str, Any]) -> dict[str, Any] | None:
        """What is applied of a whole list that discovery sends while it may just be back itself.

        Of an older one its drains; an empty one is withheld where backends are known. After `DOUBT_S` both
        apply.
        """
        hosts = raw.get("hosts") or []
        known = max(seq_or_no_list(self.discovery.version), self.newest.seq if self.newest else -1)
        own = self.state.saved_hosts()
        behind = raw.get("whole") and (int(raw["seq"]) < known or not hosts)
        if not behind or not own or time.monotonic() >= self.doubt_until_s:
            return raw
        if not self.is_withheld:
            log.warning(log_events.DISCOVERY_WITHHELD, len(hosts), raw["seq"], known)
        self.is_withheld = True
        drained = {str(host["host"]) for host in hosts if host["health"] == "draining"}
        changes = [host | {"health": "draining"} for host in own if host["host"] in drained]
        return {"seq": known, "whole": False, "hosts": changes} if hosts else None

    def tick(self, now_s: float) -> None:
        """Once the doubt is over, ask discovery anew for what was withheld."""
        if self.is_withheld and now_s >= self.doubt_until_s:
            self.is_withheld = False
            self.discovery.refetch_list()

    def trust_discovery(self, since_s: float) -> None:
        """Discovery's lists apply as they are, from `since_s` (monotonic) on."""
        self.doubt_until_s = since_s


def _host_message(host: dict[str, Any]) -> ListedHost:
    return ListedHost(
        str(host["host"]),
        str(host["dial"]),
        str(host.get("site") or ""),
        int(host.get("block") or 0),
        str(host["health"]),
        float(host.get("born_ms") or 0),
    )
