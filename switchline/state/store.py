"""The event loop's side of the state on disk: takes records, and reports what was read, committed, or failed.

Nothing here waits for the disk. A store that fails is over: `persistence` begins another one.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from switchline.state.errors import BacklogError, SlowDiskError, StateError
from switchline.state.records import MAX_RECORDS, PendingRecord, RecordKey, SavedState, is_storable
from switchline.state.storage import StateStorage
from switchline.state.writer import HEARTBEAT_S, OpenOptions, PendingRecords, WriterEvents, WriterThread

log = logging.getLogger(__name__)

COMMIT_TIMEOUT_S = 1.5  # a slower disk is of no use; the policy reckons with twice as long
WATCH_INTERVAL_S = 0.1
DEFAULT_OPTIONS = OpenOptions()
NOT_STORED = 0  # in place of a serial number


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """What the store calls, in the event loop.

    Attributes:
        committed: all records of the policy up to this one of its serial numbers are on disk.
        failed: the store is over.
    """

    committed: Callable[[int], None]
    failed: Callable[[StateError], None]


class StateStore:
    """Owns one writer thread and what is known of its commits.

    Args:
        folder: of the state.
        gateway: its name.
        clock: gives Unix milliseconds.
        events: what is called on the way.
        options: how the folder is opened.
    """

    def __init__(
        self,
        folder: Path,
        gateway: str,
        clock: Callable[[], float],
        events: StoreEvents,
        options: OpenOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = clock
        self.events = events
        self.loaded: asyncio.Future[SavedState] = self.loop.create_future()  # cancelled if the store fails
        self.over = False  # closed or failed: no event is called any more
        self.committed_at_s = time.monotonic()
        self.commits = 0
        self._policy_serials: dict[int, int] = {}  # the policy's serial number of a record, by the store's
        self._waiters: dict[int, asyncio.Future[bool]] = {}  # for a record's commit, by the store's serial
        self._pending = PendingRecords()
        self._watch_timer = self.loop.call_later(HEARTBEAT_S, self._watch)
        storage = StateStorage(folder, gateway, clock)
        self.writer = WriterThread(storage, self._pending, options, self._writer_events())
        try:
            self.writer.start()
        except RuntimeError as error:  # the system gives no thread
            self.loop.call_soon(self.abandon, StateError(str(error)))

    def _writer_events(self) -> WriterEvents:
        return WriterEvents(
            loaded=lambda saved: self._call_in_loop(self._on_loaded, saved),
            committed=lambda serial: self._call_in_loop(self._on_committed, serial),
            failed=lambda error: self._call_in_loop(self.abandon, error),
        )

    def _call_in_loop(self, function: Callable[..., None], argument: object) -> None:
        try:
            self.loop.call_soon_threadsafe(function, argument)
        except RuntimeError:
            log.debug("the writer of the state outlived the event loop")

    def put(self, kind: str, name: str, value: Any, policy_serial: int = NOT_STORED) -> int:
        """Have a record written with the next commit.

        Args:
            kind: of the record.
            name: of that kind; a later record of the same kind and name replaces it.
            value: encoded as JSON; None deletes the record.
            policy_serial: the policy's serial number of it, for `StoreEvents.committed`.

        Returns:
            The store's serial number, for `wait_committed`; `NOT_STORED` if the store is over.
        """
        if self.over:
            return NOT_STORED
        body = None if value is None else json.dumps(value, separators=(",", ":"), allow_nan=False)
        record = None
        if is_storable(name, body):
            record = PendingRecord(self.clock(), body)
        else:
            log.warning("a row of the state can't be kept: %.80r", name)
        serial = self._pending.put(RecordKey(kind, name), record)
        if policy_serial:
            self._policy_serials[serial] = policy_serial
        if len(self._pending) > MAX_RECORDS:
            self.abandon(BacklogError("too much waits for it"))
        return serial

    def begin(self) -> None:
        """Start to commit: the records put so far replace whatever the file holds."""
        self._pending.start()

    async def wait_committed(self, serial: int) -> bool:
        """Wait for a record's commit; return whether it is on disk."""
        if self.over:
            return False
        return await self._waiters.setdefault(serial, self.loop.create_future())

    def abandon(self, error: StateError) -> None:
        """Give up: from now on more may be admitted than the files know of."""
        if self.over:
            return
        self._end(abandon=True)
        log.warning("the state on disk is off: %s", error)
        self.events.failed(error)

    def close(self) -> None:
        """Have the writer commit what waits and release the files; returns at once."""
        if not self.over:
            self._end(abandon=False)

    def join(self) -> None:
        """Wait for the writer's end, as long as a commit may take; the event loop stands still meanwhile."""
        self.writer.join(COMMIT_TIMEOUT_S)

    def _end(self, abandon: bool) -> None:
        self.over = True
        self._watch_timer.cancel()
        self._pending.close(abandon)
        for waiter in self._waiters.values():
            resolve(waiter, False)
        self._waiters.clear()
        self._policy_serials.clear()
        if not self.loaded.done():
            self.loaded.cancel()

    def _watch(self) -> None:
        if time.monotonic() - self._pending.oldest_s() > COMMIT_TIMEOUT_S:
            self.abandon(SlowDiskError("the disk lags"))
            return
        self._watch_timer = self.loop.call_later(WATCH_INTERVAL_S, self._watch)

    def _on_loaded(self, saved: SavedState) -> None:
        if not self.loaded.done():
            self.loaded.set_result(saved)

    def _on_committed(self, serial: int) -> None:
        if self.over:
            return
        self.commits += 1
        self.committed_at_s = time.monotonic()
        own_serials = [own for own in self._policy_serials if own <= serial]
        policy_serials = [self._policy_serials.pop(own) for own in own_serials]
        for waited in [waited for waited in self._waiters if waited <= serial]:
            resolve(self._waiters.pop(waited), True)
        if policy_serials:
            self.events.committed(max(policy_serials))


def resolve(waiter: asyncio.Future[bool], committed: bool) -> None:
    """Give a waiter its answer, unless it has stopped waiting."""
    if not waiter.done():
        waiter.set_result(committed)
