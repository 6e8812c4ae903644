"""The endpoint list after a start: what is applied of other gateways' lists and of discovery's list.

Drains, removals and later starts of backends in another gateway's newer list are applied at once; backends
are never added from it. For `DISCOVERY_DOUBT_S` after the start discovery itself may just have restarted and
lack backends: an empty or older list from it is withheld, except for the drains in it.
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

DISCOVERY_DOUBT_S = 30.0  # after the start of this process


class ListRecovery:
    """Owns the newest list that another gateway has sent, and whether discovery's list is withheld."""

    def __init__(self, state: StatePersistence, driver: Driver, discovery: Discovery, began_s: float) -> None:
        self.state = state
        self.driver = driver
        self.discovery = discovery
        self.newest: EndpointList | None = None
        self.doubt_until_s = began_s + DISCOVERY_DOUBT_S  # monotonic time
        self.is_withheld = False
        self.repaired_hosts = 0  # number of backends that another gateway's list changed
        self.rejected_lists = 0  # number of other gateways' lists that could not be read
        self.record: RecordVersion = record_nothing
        discovery.filter_list = self.filter_doubtful

    def list_newer_than(self, seq: int) -> EndpointList | None:
        """Return the list here for a gateway whose own list has this number; None if it is not newer.

        None is also returned if there is no list, or it is too long for an answer.
        """
        hosts = self.state.saved_hosts()
        version = self.discovery.version
        if hosts is None or version is None or version <= seq or len(hosts) > MAX_LISTED_HOSTS:
            return None
        return EndpointList(version, [_listed_host(host) for host in hosts])

    def store_peer_list(self, listed: EndpointList | None) -> None:
        """Store the list of another gateway for `apply_newest` if it is the newest so far."""
        if listed is not None and (self.newest is None or listed.seq > self.newest.seq):
            self.newest = listed

    def apply_newest(self) -> None:
        """Apply the newest list of another gateway if it is newer than the own list.

        The addresses in it are those at which the other gateway reaches the backends. Afterwards discovery is
        asked for its whole list, as its changes alone would not undo an error of the other gateway.
        """
        newer = self.newest
        own_hosts = self.state.saved_hosts()
        own_seq = seq_or_no_list(self.discovery.version)
        if newer is None or own_hosts is None or newer.seq <= own_seq:
            return
        changes = list(restrictive_changes(own_hosts, newer))
        parsed = self._parse(newer.seq, changes)
        if parsed is None or removes_all(own_hosts, changes):
            return
        log.info(log_events.PEER_LIST_NEWER, newer.seq, own_seq)
        self.record("brought up", "list", str(newer.seq), "at the start, by another gateway's list")
        self.repaired_hosts = len(parsed.backends)
        self.driver.apply_list(api.ListScope.CHANGES, parsed.backends)
        self.discovery.refetch_list()

    def _parse(self, number: int, changes: list[dict[str, Any]]) -> BackendList | None:
        try:
            return read_list({"seq": number, "whole": False, "hosts": changes})
        except DiscoveryError as error:
            self.rejected_lists += 1
            log.info(log_events.PEER_LIST_UNREADABLE, error)
            return None

    def filter_doubtful(self, raw: dict[str, Any]) -> dict[str, Any] | None:
        """Return what to apply of a list from discovery, which may itself have restarted just now.

        Until `DISCOVERY_DOUBT_S` after the start a whole list that is older than the newest known one is
        reduced to its drains, and an empty whole list is withheld (None), both only if backends are known.
        All other lists are returned unchanged.
        """
        hosts = raw.get("hosts") or []
        newest_seq = max(seq_or_no_list(self.discovery.version), self.newest.seq if self.newest else -1)
        own_hosts = self.state.saved_hosts()
        is_older_or_empty = raw.get("whole") and (int(raw["seq"]) < newest_seq or not hosts)
        if not is_older_or_empty or not own_hosts or time.monotonic() >= self.doubt_until_s:
            return raw
        if not self.is_withheld:
            log.warning(log_events.DISCOVERY_WITHHELD, len(hosts), raw["seq"], newest_seq)
        self.is_withheld = True
        drained = {str(host["host"]) for host in hosts if host["health"] == "draining"}
        changes = [host | {"health": "draining"} for host in own_hosts if host["host"] in drained]
        return {"seq": newest_seq, "whole": False, "hosts": changes} if hosts else None

    def tick(self, now_s: float) -> None:
        """Ask discovery again for the list that was withheld, once `doubt_until_s` is reached."""
        if self.is_withheld and now_s >= self.doubt_until_s:
            self.is_withheld = False
            self.discovery.refetch_list()

    def trust_discovery(self, from_s: float) -> None:
        """Apply discovery's lists unchanged from `from_s` (monotonic time) on."""
        self.doubt_until_s = from_s


def _listed_host(host: dict[str, Any]) -> ListedHost:
    return ListedHost(
        str(host["host"]),
        str(host["dial"]),
        str(host.get("site") or ""),
        int(host.get("block") or 0),
        str(host["health"]),
        float(host.get("born_ms") or 0),
    )
