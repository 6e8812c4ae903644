"""Persistence of a gateway's state: from the restore at a start, through faults and upgrades, to the end.

When the disk fails, service goes on without state: `state.on` is 0, a crash then forgets what follows, and
calls that change operators' overrides are refused with 503, as a loss of power would undo them. A second
later a new database is begun beside the failed one, with all that the gateway knows; `state.on` is 1 once
that succeeds.
"""

from __future__ import annotations

import asyncio
import logging
import time
from pathlib import Path
from typing import Any

from switchline.clock import now_ms
from switchline.discovery.client import Discovery
from switchline.operators.overrides import OperatorOverrides, OverrideChange
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

LOAD_TIMEOUT_S = 1.0  # for the files to be read, and again for the first commit: then a start goes on without
OVERRIDE_COMMIT_TIMEOUT_S = 0.8  # the reply to an operator's call is due within 1 s
RETRY_INTERVAL_S = 1.0  # after a fault, until a new database is tried
LOCK_TIMEOUT_S = 1.0  # for the other process of an upgrade to release the folder
LIST_VERSION_NAME = "seq"
GATEWAY_NAME = ""  # there is one record of its kind


class StatePersistence:
    """Owns the store from the start to the end of the process.

    At any time there is a store in use, or one that is being opened after a fault, or a timer until that, or
    none of these, as another process has the folder.

    Args:
        folder: of the state; belongs to one gateway.
        name: of the gateway.
        driver: owner of the policy, whose records are kept.
        discovery: whose endpoint list is kept.
        overrides: operator overrides by the kind of their records.
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
        self._saved: SavedState | None = None  # what was read, until it is restored
        self._opening: StateStore | None = None  # a new database, after a fault
        self._retry_timer: asyncio.TimerHandle | None = None
        self._first_commit_decided = asyncio.Event()  # it has come, or never will
        self._locked_by_other = False
        self._had_folder = False  # a second gateway of a folder never has it, and never retries
        self._metrics = StateMetrics()
        driver.persist = self.save_record
        discovery.persist = self.save_list

    @property
    def restored(self) -> int:
        """How many records were restored at the start."""
        return self.restorer.restored

    def downtime_s(self) -> float:
        """Return how long this gateway was down, by its own clock; NaN if no earlier process is known."""
        return downtime_s(self._saved)

    def saved_hosts(self) -> list[Host] | None:
        """Return the saved endpoint list; None if it is not complete."""
        return self.saved_list.complete()

    async def load(self) -> None:
        """Read what an earlier process left; restore the endpoint list, overrides and zone decisions.

        Takes `LOAD_TIMEOUT_S` at most; after a fault the start goes on without state.
        """
        started_s = time.monotonic()
        self._locked_by_other = False
        store = self._open_store(OpenOptions())
        self.store = store
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                self._saved = await asyncio.shield(store.loaded)
        except TimeoutError:
            store.abandon(SlowDiskError("it takes too long to read"))
        except asyncio.CancelledError:
            if self.store is not None:
                raise  # this task was cancelled, and not the store's future
        if self._saved is not None:
            self.restorer.restore_endpoint_list(self._saved)
            self.restorer.restore_overrides(self._saved)
            decisions = self.restorer.zone_decisions(self._saved)
            if decisions is not None:
                self.zone_decisions = decisions
        self._metrics.restore_ms += round((time.monotonic() - started_s) * 1000)

    async def restore(self, took_over: bool, disk_is_current: bool = True) -> None:
        """Restore the policy's state and commit all state anew, before clients are accepted.

        Takes `LOAD_TIMEOUT_S` at most, and as long again if the folder was locked at `load`.

        Args:
            took_over: an older process sent its state, which is newer than the disk's, and has the folder
                yet.
            disk_is_current: false if the other gateways tell that the disk holds an older copy.
        """
        started_s = time.monotonic()
        if self._locked_by_other and not took_over:
            await self.load()  # the process that had the folder may have died before it sent its state
        if self._saved is not None and not took_over:
            self.restorer.restore_policy(self._saved, disk_is_current)
        self._saved = None
        if self.store is not None:
            self._begin(self.store)
            await self._wait_for_first_commit()
        self._metrics.restore_ms += round((time.monotonic() - started_s) * 1000)

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
        """Use a store: all that this gateway knows replaces whatever its files hold."""
        self.store = store
        self._had_folder = True
        log.info("state is kept in %s", self.folder)
        for name, host in self.saved_list.hosts.items():
            store.put(KIND_HOST, name, host)
        if self.discovery.version is not None:
            store.put(KIND_LIST, LIST_VERSION_NAME, self.saved_list.version_record(self.discovery.version))
        for kind, overrides in self.overrides.items():
            for name, change in overrides.changes():
                store.put(kind, name, encode_override(change))
        for name, decision in self.zone_decisions.items():
            store.put(KIND_ZONE_DECISION, name, decision)
        self.driver.give(api.PersistenceChanged(True))
        store.begin()

    def _on_committed(self, serial: int) -> None:
        self._first_commit_decided.set()
        outage_s = self._metrics.end_outage()
        if outage_s is not None:
            log.warning("state is kept again, after %.1f s in which it was not", outage_s)
        self.driver.give(api.RecordsPersisted(serial))

    def _on_failed(self, error: StateError) -> None:
        self._retire_store()
        self._metrics.begin_outage()
        self._locked_by_other = isinstance(error, FolderLockedError)
        self._metrics.failures += not self._locked_by_other
        self._first_commit_decided.set()
        self.driver.give(api.PersistenceChanged(False))
        if self._had_folder or not self._locked_by_other:
            self._retry_timer = self.loop.call_later(RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        """Open a new database; it is used once the folder lets it be made."""
        self._retry_timer = None
        store = self._open_store(OpenOptions(fresh=True))
        self._opening = store

        def on_loaded(loaded: asyncio.Future[SavedState]) -> None:
            self._opening = None
            if not loaded.cancelled() and not store.over:
                log.info("state on disk is begun anew")
                self._begin(store)

        store.loaded.add_done_callback(on_loaded)

    def _retire_store(self) -> None:
        if self._opening is not None:
            self._opening.close()
            self._opening = None
        if self.store is not None:
            self._metrics.count_past_store(self.store)
            self.store = None

    def save_record(self, serial: int, record: list[Any]) -> None:
        """Save a record of the policy; `RecordsPersisted` answers its serial number."""
        if self.store is None:
            return
        match record:
            case ["forget", kind, name]:
                self.store.put(kind, name, None, serial)
            case ["gateway", *_]:
                self.store.put(KIND_GATEWAY, GATEWAY_NAME, record, serial)
            case [kind, name, *_]:
                self.store.put(kind, str(name), record, serial)

    def save_list(self, raw: dict[str, Any]) -> None:
        """Save an endpoint list, or a change of one, as discovery sent it; its version comes last."""
        for change in self.saved_list.update(raw):
            if self.store is not None:
                self.store.put(KIND_HOST, change.name, change.host)
        if self.store is not None:
            version_record = self.saved_list.version_record(int(raw["seq"]))
            self.store.put(KIND_LIST, LIST_VERSION_NAME, version_record)

    def save_zone_decision(self, name: str, decision: ZoneDecisionRow) -> None:
        """Save a decision of the fleet on a zone."""
        if name in self.zone_decisions or len(self.zone_decisions) < MAX_ZONE_DECISIONS:
            self.zone_decisions[name] = decision
            if self.store is not None:
                self.store.put(KIND_ZONE_DECISION, name, decision)

    def save_override(self, kind: str, name: str, active: bool, at_ms: float) -> int:
        """Save an operator's call; return the store's serial number of it."""
        if self.store is None:
            return NOT_STORED
        return self.store.put(kind, name, encode_override(OverrideChange(active, at_ms)))

    async def commit_override(self, kind: str, name: str, active: bool) -> bool:
        """Save an operator's call, and wait for its commit.

        Returns:
            Whether the call may be carried out: it is on disk, or another process has the folder. If it may
            not, the disk has the override as it was, or will with the next commit.
        """
        store = self.store
        if store is None:
            return self._locked_by_other
        try:
            async with asyncio.timeout(OVERRIDE_COMMIT_TIMEOUT_S):
                serial = self.save_override(kind, name, active, now_ms())
                return await store.wait_committed(serial)
        except TimeoutError:
            self.revert_override(kind, name)
            return False

    def revert_override(self, kind: str, name: str) -> None:
        """Save an override as it is in force, after a call that was not carried out."""
        self.save_override(kind, name, name in self.overrides[kind].active, now_ms())

    def release_folder(self) -> None:
        """Release the folder: another process serves from now on, and is to have it."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self.store is not None:
            self.store.close()
        self._retire_store()
        self.driver.give(api.PersistenceChanged(False))

    def acquire_folder(self) -> None:
        """Take the folder: the other process releases it, or is gone."""
        if self.store is None and self._retry_timer is None and self._opening is None:
            self._begin(self._open_store(OpenOptions(lock_wait_s=LOCK_TIMEOUT_S)))

    def close(self) -> None:
        """Commit what waits, with all that is left of quotas, and release the folder."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._opening is not None:
            self._opening.close()
        if self.store is not None:
            store = self.store
            self.driver.give(api.PersistenceChanged(False, final=True))
            store.close()
            store.join()

    def gauges(self) -> dict[str, int]:
        """Return the gauges of the state by metric name."""
        return self._metrics.gauges(self.store)

    def counts(self) -> dict[str, int]:
        """Return the counters of the state by metric name."""
        return self._metrics.counts(self.store, self.restorer)
