"""The restore at a start: passes the records that an earlier process stored on disk to their owners.

A record that its owner can't use is dropped and counted; the other records are still restored.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from typing import Any

from switchline.clock import now_ms
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import DiscoveryError, read_list
from switchline.operators.override_order import OverrideChange
from switchline.operators.overrides import OperatorOverrides
from switchline.policy import interface as api
from switchline.service.driver import Driver
from switchline.state.endpoint_list import SavedEndpointList
from switchline.state.records import SavedState

log = logging.getLogger(__name__)

KIND_LIST = "list"
KIND_HOST = "host"
KIND_GATEWAY = "gateway"
# Customers come first: for a missing customer, the age in the gateway's record would grant too many units.
POLICY_KINDS = ("customer", "backend", KIND_GATEWAY)

KIND_ZONE_DECISION = "zone-act"
MAX_ZONE_DECISIONS = 256
ZONE_DECISION_FIELDS = 6
ZONE_DECISION_TIME_FIELD = 4  # Unix milliseconds
ZONE_DECISION_LIFETIME_MS = 86_400_000.0  # equal to the lifetime of the fact in gossip
MAX_DOWNTIME_FOR_ZONES_S = 600.0  # after a longer downtime the fleet's decisions may be out of date

ZoneDecisionRow = list[Any]
"""The fields of a fact on a zone, as `switchline.zones` encodes them."""


def is_valid_zone_decision(value: Any) -> bool:
    """Return whether a record's value is a zone decision that has not expired."""
    if not isinstance(value, list) or len(value) != ZONE_DECISION_FIELDS:
        return False
    try:
        return now_ms() - float(value[ZONE_DECISION_TIME_FIELD]) < ZONE_DECISION_LIFETIME_MS
    except (TypeError, ValueError):
        return False


def downtime_s(saved: SavedState | None) -> float:
    """Return the seconds since the last commit, by this machine's clock; NaN without an earlier process."""
    if saved is None or not saved.start_times_ms:
        return math.nan
    return max(0.0, now_ms() - saved.last_alive_ms) / 1000


def encode_override(change: OverrideChange) -> dict[str, Any]:
    """Return an operator override as a record's value."""
    return {"out": change.active, "at": change.at_ms}


def decode_override(value: Any) -> OverrideChange:
    """Return the operator override of a record's value.

    Raises:
        KeyError, TypeError, ValueError: the value is not an operator override.
    """
    return OverrideChange(bool(value["out"]), float(value["at"]))


class StateRestorer:
    """Passes the records of a saved state to their owners, and counts restored and dropped records.

    Args:
        driver: receives the policy's records and the endpoint list.
        discovery: asks for changes after the restored list's version.
        overrides: the operator overrides, by the kind of their records.
        saved_list: the saved copy of the endpoint list.
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
        """Restore the endpoint list if it is complete, and newer than the list in use."""
        versions = saved.of_kind(KIND_LIST)
        if not versions:
            return
        hosts = [record.value for record in saved.of_kind(KIND_HOST)]
        try:
            version = versions[-1].value
            if len(hosts) != version["hosts"]:
                # Discovery sends only changes after this version, and not the missing hosts again.
                raise DiscoveryError("some of its host records are missing")
            stored_list = read_list({"seq": version["seq"], "whole": True, "hosts": hosts})
        except (DiscoveryError, KeyError, TypeError) as error:
            self.dropped += 1
            log.info("the endpoint list on disk is not restored: %s", error)
            return
        if self.discovery.version is None or stored_list.version > self.discovery.version:
            self.driver.apply_list(api.ListScope.SAVED, stored_list.backends)
            self.discovery.version = stored_list.version
            self.saved_list.replace(hosts)
            self.restored += len(hosts)

    def restore_overrides(self, saved: SavedState) -> None:
        """Merge the operator overrides on disk into those in use, as their file in `$TMPDIR` may be gone."""
        for kind, overrides in self.overrides.items():
            changes = self._override_changes(saved, kind)
            if not changes:
                continue
            self.restored += len(changes)
            try:
                overrides.merge(changes)
            except OSError as error:
                # They are in force although their file can't be written.
                log.warning("operator overrides can't be written to their file: error=%s", error)

    def _override_changes(self, saved: SavedState, kind: str) -> dict[str, OverrideChange]:
        changes: dict[str, OverrideChange] = {}
        for record in saved.of_kind(kind):
            try:
                changes[record.name] = decode_override(record.value)
            except (KeyError, TypeError, ValueError):
                self.dropped += 1
        return changes

    def zone_decisions(self, saved: SavedState) -> dict[str, ZoneDecisionRow] | None:
        """Return the fleet's decisions by zone; None if the downtime is unknown or too long."""
        if not downtime_s(saved) <= MAX_DOWNTIME_FOR_ZONES_S:  # NaN: the downtime is unknown
            return None
        valid = [row for row in saved.of_kind(KIND_ZONE_DECISION) if is_valid_zone_decision(row.value)]
        return {record.name: record.value for record in valid[:MAX_ZONE_DECISIONS]}

    def restore_policy(self, saved: SavedState, disk_is_current: bool) -> None:
        """Restore customers, backends and the gateway's own record.

        Args:
            saved: the state read from disk.
            disk_is_current: false if the other gateways report that the state on disk is stale.
        """
        if not saved.start_times_ms:
            return
        self.driver.dispatch(api.StateFileFound(saved.last_alive_ms, saved.start_times_ms, disk_is_current))
        self.dropped += saved.dropped
        for kind in POLICY_KINDS:
            for record in saved.of_kind(kind):
                if kind == KIND_GATEWAY and self.dropped:
                    continue
                if self.driver.restore_record(record.value, record.at_ms):
                    self.restored += 1
                else:
                    self.dropped += 1
        log.info("%d records of the state on disk restored, %d dropped", self.restored, self.dropped)
