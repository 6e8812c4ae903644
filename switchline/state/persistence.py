"""Persistence of a gateway's state: the restore at a start, faults of the disk, upgrades, and the end.

When the disk fails, the gateway keeps serving without storing its state: `state.on` is 0, and a crash loses
later changes. Calls that change operators' overrides are refused with 503, because a power loss would undo
them. One second later a new database with the gateway's current state is created beside the failed one;
`state.on` is 1 once that succeeds.
"""

from __future__ import annotations

import asyncio
import logging
import time
from pathlib import Path
from typing import Any

from switchline.clock import now_ms
from switchline.discovery.client import Discovery
from switchline.operators.override_order import OverrideChange
from switchline.operators.overrides import OperatorOverrides
from switchline.policy import interface as api
from switchline.service.driver import Driver
from switchline.state.endpoint_list import Host, SavedEndpointList
from switchline.state.errors import FolderLockedError, SlowDiskError, StateError
from switchline.state.metrics import StateMetrics
from switchline.state.records import SavedState
from switchline.state.restore import (
    KIND_GATEWAY,
    KIND_HOST,
    KIND_LIST,
    KIND_ZONE_DECISION,
    MAX_ZONE_DECISIONS,
    StateRestorer,
    ZoneDecisionRow,
    downtime_s,
    encode_override,
)
from switchline.state.store import NOT_STORED, StateStore, StoreEvents
from switchline.state.writer import OpenOptions

log = logging.getLogger(__name__)

LOAD_TIMEOUT_S = 1.0
"""Limits reading the files, and also the first commit; after a timeout the gateway starts without state."""

OVERRIDE_COMMIT_TIMEOUT_S = 0.8  # the reply to an operator's call must be sent within 1 s
RETRY_INTERVAL_S = 1.0  # time from a fault to the attempt to create a new database
LOCK_TIMEOUT_S = 1.0  # limits the wait for the peer process of an upgrade to release the folder
LIST_RECORD_NAME = "seq"
GATEWAY_RECORD_NAME = ""  # empty, because there is only one record of this kind


class StatePersistence:
    """Owns the store from the start to the end of the process.

    At any time there is one of these: a store in use; a store that is being opened after a fault; a timer for
    opening one; or none, because another process has the folder.

    Args:
        folder: the folder of the state, which belongs to one gateway.
        name: the gateway's name.
        driver: owns the policy, whose records are stored.
        discovery: the client whose endpoint list is stored.
        overrides: the operator overrides, by the kind of their records.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        driver: Driver,
        discovery: Discovery,
        overrides: dict[str, OperatorOverrides],
    ) -> None:
        self.folder = folder
        self.name = name
        self.driver = driver
        self.discovery = discovery
        self.overrides = overrides
        self.saved_list = SavedEndpointList()
        self.zone_decisions: dict[str, ZoneDecisionRow] = {}
        self.restorer = StateRestorer(driver, discovery, overrides, self.saved_list)
        self.loop = asyncio.get_running_loop()
        self.store: StateStore | None = None
        self._saved: SavedState | None = None  # the state read from disk, until it is restored
        self._opening_store: StateStore | None = None  # store that is creating a new database after a fault
        self._retry_timer: asyncio.TimerHandle | None = None
        self._first_commit_decided = asyncio.Event()  # set by the first commit or by a failure
        self._locked_by_other = False
        # Remains false for a second gateway of a folder, which therefore does not retry.
        self._ever_locked_folder = False
        self._metrics = StateMetrics()
        driver.persist = self.save_record
        discovery.persist = self.save_list

    @property
    def restored(self) -> int:
        """The number of records that were restored at the start."""
        return self.restorer.restored

    def downtime_s(self) -> float:
        """Return the downtime before this start in seconds, by this machine's clock; NaN if unknown."""
        return downtime_s(self._saved)

    def saved_hosts(self) -> list[Host] | None:
        """Return the hosts of the saved endpoint list; None if it is empty or not complete."""
        return self.saved_list.hosts_if_complete()

    async def load(self) -> None:
        """Read the state of an earlier process; restore the endpoint list, overrides and zone decisions.

        Returns within `LOAD_TIMEOUT_S`. After a fault the gateway starts without state.
        """
        started_at_s = time.monotonic()
        self._locked_by_other = False
        store = self._open_store(OpenOptions())
        self.store = store
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                self._saved = await asyncio.shield(store.loaded)
        except TimeoutError:
            store.abandon(SlowDiskError("reading it takes too long"))
        except asyncio.CancelledError:
            if self.store is not None:
                raise  # this task was cancelled, not the store's future
        if self._saved is not None:
            self.restorer.restore_endpoint_list(self._saved)
            self.restorer.restore_overrides(self._saved)
            decisions = self.restorer.zone_decisions(self._saved)
            if decisions is not None:
                self.zone_decisions = decisions
        self._metrics.restore_ms += round((time.monotonic() - started_at_s) * 1000)

    async def restore(self, took_over: bool, disk_is_current: bool = True) -> None:
        """Restore the policy's state and commit the whole state again, before clients are accepted.

        Returns within `LOAD_TIMEOUT_S`, or twice that if the folder was locked during `load`.

        Args:
            took_over: whether an older process sent its state, which is newer than that on disk. That process
                still has the folder.
            disk_is_current: false if the other gateways report that the state on disk is stale.
        """
        started_at_s = time.monotonic()
        if self._locked_by_other and not took_over:
            await self.load()  # the process that had locked the folder may have died before it sent its state
        if self._saved is not None and not took_over:
            self.restorer.restore_policy(self._saved, disk_is_current)
        self._saved = None
        if self.store is not None:
            self._begin(self.store)
            await self._wait_for_first_commit()
        self._metrics.restore_ms += round((time.monotonic() - started_at_s) * 1000)

    async def _wait_for_first_commit(self) -> None:
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                await self._first_commit_decided.wait()
        except TimeoutError:
            if self.store is not None:
                self.store.abandon(SlowDiskError("its first commit takes too long"))

    def _open_store(self, options: OpenOptions) -> StateStore:
        events = StoreEvents(committed=self._on_committed, failed=self._on_failed)
        return StateStore(self.folder, self.name, now_ms, events, options)

    def _begin(self, store: StateStore) -> None:
        """Use a store: the whole state of this gateway replaces the records in its files."""
        self.store = store
        self._ever_locked_folder = True
        log.info("state is stored in %s", self.folder)
        for name, host in self.saved_list.hosts.items():
            store.put(KIND_HOST, name, host)
        if self.discovery.version is not None:
            store.put(KIND_LIST, LIST_RECORD_NAME, self.saved_list.version_record(self.discovery.version))
        for kind, overrides in self.overrides.items():
            for name, change in overrides.changes():
                store.put(kind, name, encode_override(change))
        for name, decision in self.zone_decisions.items():
            store.put(KIND_ZONE_DECISION, name, decision)
        self.driver.dispatch(api.PersistenceChanged(True))
        store.begin()

    def _on_committed(self, serial: int) -> None:
        self._first_commit_decided.set()
        outage_s = self._metrics.end_outage()
        if outage_s is not None:
            log.warning("state is stored on disk again, after an outage of %.1f s", outage_s)
        self.driver.dispatch(api.RecordsPersisted(serial))

    def _on_failed(self, error: StateError) -> None:
        self._retire_store()
        self._metrics.begin_outage()
        self._locked_by_other = isinstance(error, FolderLockedError)
        self._metrics.failures += not self._locked_by_other
        self._first_commit_decided.set()
        self.driver.dispatch(api.PersistenceChanged(False))
        if self._ever_locked_folder or not self._locked_by_other:
            self._retry_timer = self.loop.call_later(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        """Open a new database, and use it once it is created."""
        self._retry_timer = None
        store = self._open_store(OpenOptions(fresh=True))
        self._opening_store = store

        def on_loaded(loaded: asyncio.Future[SavedState]) -> None:
            self._opening_store = None
            if not loaded.cancelled() and not store.closed:
                log.info("a new database of the state on disk is created")
                self._begin(store)

        store.loaded.add_done_callback(on_loaded)

    def _retire_store(self) -> None:
        if self._opening_store is not None:
            self._opening_store.close()
            self._opening_store = None
        if self.store is not None:
            self._metrics.count_past_store(self.store)
            self.store = None

    def save_record(self, serial: int, record: list[Any]) -> None:
        """Save a record of the policy; `RecordsPersisted` notifies the policy of the commit of `serial`."""
        if self.store is None:
            return
        match record:
            case ["forget", kind, name]:
                self.store.put(kind, name, None, serial)
            case ["gateway", *_]:
                self.store.put(KIND_GATEWAY, GATEWAY_RECORD_NAME, record, serial)
            case [kind, name, *_]:
                self.store.put(kind, str(name), record, serial)

    def save_list(self, raw: dict[str, Any]) -> None:
        """Save a full or partial endpoint list as discovery sent it; its version is saved after its hosts."""
        for change in self.saved_list.update(raw):
            if self.store is not None:
                self.store.put(KIND_HOST, change.name, change.host)
        if self.store is not None:
            version_record = self.saved_list.version_record(int(raw["seq"]))
            self.store.put(KIND_LIST, LIST_RECORD_NAME, version_record)

    def save_zone_decision(self, name: str, decision: ZoneDecisionRow) -> None:
        """Save a decision of the fleet on the zone `name`."""
        if name in self.zone_decisions or len(self.zone_decisions) < MAX_ZONE_DECISIONS:
            self.zone_decisions[name] = decision
            if self.store is not None:
                self.store.put(KIND_ZONE_DECISION, name, decision)

    def save_override(self, kind: str, name: str, active: bool, at_ms: float) -> int:
        """Save an override that an operator set at `at_ms` (Unix milliseconds).

        Returns:
            The store's serial number of the record; `NOT_STORED` without a store.
        """
        if self.store is None:
            return NOT_STORED
        return self.store.put(kind, name, encode_override(OverrideChange(active, at_ms)))

    async def commit_override(self, kind: str, name: str, active: bool, at_ms: float | None = None) -> bool:
        """Save an override that an operator sets, and wait for its commit.

        Args:
            kind: Of the override.
            name: What it is for.
            active: Whether it is set.
            at_ms: The time of the change, in Unix milliseconds; by default the present one.

        Returns:
            Whether the call may be carried out: it is on disk, or another process has the folder. If false,
            the earlier override is on disk, or will be with the next commit.
        """
        store = self.store
        if store is None:
            return self._locked_by_other
        try:
            async with asyncio.timeout(OVERRIDE_COMMIT_TIMEOUT_S):
                changed_ms = now_ms() if at_ms is None else at_ms
                serial = self.save_override(kind, name, active, changed_ms)
                return await store.wait_committed(serial)
        except TimeoutError:
            self.revert_override(kind, name)
            return False

    def revert_override(self, kind: str, name: str) -> None:
        """Save the override that is in force, after a call that was not carried out."""
        self.save_override(kind, name, name in self.overrides[kind].active, now_ms())

    def release_folder(self) -> None:
        """Release the folder for the peer process of an upgrade, which serves from now on."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self.store is not None:
            self.store.close()
        self._retire_store()
        self.driver.dispatch(api.PersistenceChanged(False))

    def acquire_folder(self) -> None:
        """Lock and use the folder, after the peer process of an upgrade releases it or has ended."""
        if self.store is None and self._retry_timer is None and self._opening_store is None:
            self._begin(self._open_store(OpenOptions(lock_wait_s=LOCK_TIMEOUT_S)))

    def close(self) -> None:
        """Commit the pending records, with the remaining units of all quotas, and release the folder."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._opening_store is not None:
            self._opening_store.close()
        if self.store is not None:
            store = self.store
            self.driver.dispatch(api.PersistenceChanged(False, final=True))
            store.close()
            store.join()

    def gauges(self) -> dict[str, int]:
        """Return the gauges of the state by metric name."""
        return self._metrics.gauges(self.store)

    def counts(self) -> dict[str, int]:
        """Return the counters of the state by metric name."""
        return self._metrics.counts(self.store, self.restorer)
