"""The restore at a start: gives what an earlier process left on disk to its owners.

A record that its owner can't use is dropped and counted; the others are restored all the same.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from typing import Any

from switchline.clock import now_ms
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import DiscoveryError, read_list
from switchline.operators.overrides import OperatorOverrides, OverrideChange
from switchline.policy import interface as api
from switchline.service.driver import Driver
from switchline.state.endpoint_list import SavedEndpointList
from switchline.state.records import SavedState

log = logging.getLogger(__name__)

KIND_LIST = "list"
KIND_HOST = "host"
KIND_GATEWAY = "gateway"
# Customers first: where one is missing, the age of the gateway would promise it too much.
POLICY_KINDS = ("customer", "backend", KIND_GATEWAY)

KIND_ZONE_DECISION = "zone-act"
MAX_ZONE_DECISIONS = 256
ZONE_DECISION_FIELDS = 6
ZONE_DECISION_TIME_FIELD = 4  # Unix milliseconds
ZONE_DECISION_LIFETIME_MS = 86_400_000.0  # as for the fact that gossip carries
MAX_DOWNTIME_FOR_ZONES_S = 600.0  # after which the fleet's decisions may be long over

ZoneDecisionRow = list[Any]  # the fields of a fact, as `switchline.zones` encodes them


def is_valid_zone_decision(value: Any) -> bool:
    """Return whether a record is one of a zone decision that has not expired."""
    if not isinstance(value, list) or len(value) != ZONE_DECISION_FIELDS:
        return False
    try:
        return now_ms() - float(value[ZONE_DECISION_TIME_FIELD]) < ZONE_DECISION_LIFETIME_MS
    except (TypeError, ValueError):
        return False


def downtime_s(saved: SavedState | None) -> float:
    """Return how long the gateway was down, by its own clock; NaN if no earlier process is known."""
    if saved is None or not saved.restarts_ms:
        return math.nan
    return max(0.0, now_ms() - saved.last_alive_ms) / 1000


def encode_override(change: OverrideChange) -> dict[str, Any]:
    """Return the record of an operator's call."""
    return {"out": change.active, "at": change.at_ms}


def decode_override(value: Any) -> OverrideChange:
    """Return the operator's call of a record; raises KeyError, TypeError or ValueError for any other."""
    return OverrideChange(bool(value["out"]), float(value["at"]))


class StateRestorer:
    """Gives the parts of a saved state to their owners, and counts them.

    Args:
        driver: receives the policy's records and the endpoint list.
        discovery: goes on from the list's version.
        overrides: operator overrides by the kind of their records.
        saved_list: the list as it is saved.
    """

    def __init__(
        self,
        driver: Driver,
        discovery: Discovery,
        overrides: Mapping[str, OperatorOverrides],
        saved_list: SavedEndpointList,
    ) -> None:
        self.driver = driver
        self.discovery = discovery
        self.overrides = overrides
        self.saved_list = saved_list
        self.restored = 0
        self.dropped = 0

    def restore_endpoint_list(self, saved: SavedState) -> None:
        """Restore the list if it is complete, and newer than the one that is known."""
        versions = saved.of_kind(KIND_LIST)
        if not versions:
            return
        hosts = [record.value for record in saved.of_kind(KIND_HOST)]
        try:
            version = versions[-1].value
            if len(hosts) != version["hosts"]:
                raise DiscoveryError("it is not whole")  # discovery would not send the missing host again
            known = read_list({"seq": version["seq"], "whole": True, "hosts": hosts})
        except (DiscoveryError, KeyError, TypeError) as error:
            self.dropped += 1
            log.info("the list on disk is left out: %s", error)
            return
        if self.discovery.version is None or known.version > self.discovery.version:
            self.driver.apply_list(api.ListScope.SAVED, known.members)
            self.discovery.version = known.version
            self.saved_list.replace(hosts)
            self.restored += len(hosts)

    def restore_overrides(self, saved: SavedState) -> None:
        """Merge operator overrides: the file in `$TMPDIR` may be gone."""
        for kind, overrides in self.overrides.items():
            changes = self._override_changes(saved, kind)
            if not changes:
                continue
            self.restored += len(changes)
            try:
                overrides.merge(changes)
            except OSError as error:
                log.warning("operator overrides can't be written: error=%s", error)  # they hold all the same

    def _override_changes(self, saved: SavedState, kind: str) -> dict[str, OverrideChange]:
        changes: dict[str, OverrideChange] = {}
        for record in saved.of_kind(kind):
            try:
                changes[record.name] = decode_override(record.value)
            except (KeyError, TypeError, ValueError):
                self.dropped += 1
        return changes

    def zone_decisions(self, saved: SavedState) -> dict[str, ZoneDecisionRow] | None:
        """Return the fleet's decisions on zones by name; None after a downtime that is long, or unknown."""
        if not downtime_s(saved) <= MAX_DOWNTIME_FOR_ZONES_S:  # NaN is an unknown one
            return None
        valid = [one for one in saved.of_kind(KIND_ZONE_DECISION) if is_valid_zone_decision(one.value)]
        return {record.name: record.value for record in valid[:MAX_ZONE_DECISIONS]}

    def restore_policy(self, saved: SavedState, disk_is_current: bool) -> None:
        """Restore customers, backends and the gateway's own record.

        Args:
            saved: what was read.
            disk_is_current: false if the other gateways tell that the disk holds an older copy.
        """
        if not saved.restarts_ms:
            return
        self.driver.give(api.StateFileFound(saved.last_alive_ms, saved.restarts_ms, disk_is_current))
        self.dropped += saved.dropped
        for kind in POLICY_KINDS:
            for record in saved.of_kind(kind):
                if kind == KIND_GATEWAY and self.dropped:
                    continue
                if self.driver.restore_record(record.value, record.at_ms):
                    self.restored += 1
                else:
                    self.dropped += 1
        log.info("%d rows of state restored, %d dropped", self.restored, self.dropped)
