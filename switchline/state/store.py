"""The part of the state on disk that runs in the event loop: queues records and reports commits and failures.

Nothing here waits for the disk. A store that fails is closed, and `persistence` opens another one.
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

COMMIT_TIMEOUT_S = 1.5  # the policy assumes at most twice as long
WATCH_INTERVAL_S = 0.1
DEFAULT_OPTIONS = OpenOptions()
NOT_STORED = 0  # returned in place of a serial number


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """Callbacks of the store, called in the event loop.

    Attributes:
        committed: called with a serial number of the policy: all its records up to that number are on disk.
        failed: called with the error that closed the store.
    """

    committed: Callable[[int], None]
    failed: Callable[[StateError], None]


class StateStore:
    """Owns one writer thread, and the waiters and serial numbers for its commits.

    Args:
        folder: the folder of the state.
        gateway: the gateway's name.
        clock: returns the time in Unix milliseconds.
        events: the callbacks for commits and for a failure.
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
        self.closed = False  # by `close` or after a failure; no callback is called any more
        self.committed_at_s = time.monotonic()
        self.commits = 0
        self._policy_serials: dict[int, int] = {}  # the policy's serial numbers by the store's
        self._waiters: dict[int, asyncio.Future[bool]] = {}  # for commits, by the store's serial numbers
        self._pending = PendingRecords()
        self._watch_timer = self.loop.call_later(HEARTBEAT_S, self._watch)
        storage = StateStorage(folder, gateway, clock)
        self.writer = WriterThread(storage, self._pending, options, self._writer_events())
        try:
            self.writer.start()
        except RuntimeError as error:  # the system can't start a thread
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
            log.debug("the writer of the state reported an event after the event loop was closed")

    def put(self, kind: str, name: str, value: Any, policy_serial: int = NOT_STORED) -> int:
        """Queue a record for the next commit.

        Args:
            kind: the kind of the record.
            name: identifies the record in its kind; a later record of the same kind and name replaces it.
            value: a value that JSON can encode; None deletes the record.
            policy_serial: the policy's serial number of the record, for `StoreEvents.committed`.

        Returns:
            The store's serial number, for `wait_committed`; `NOT_STORED` if the store is closed.
        """
        if self.closed:
            return NOT_STORED
        body = None if value is None else json.dumps(value, separators=(",", ":"), allow_nan=False)
        record = None
        if is_storable(name, body):
            record = PendingRecord(self.clock(), body)
        else:
            log.warning(
                "a record of the state can't be stored, its name or value is invalid: %.80r",
                name,
            )
        serial = self._pending.put(RecordKey(kind, name), record)
        if policy_serial:
            self._policy_serials[serial] = policy_serial
        if len(self._pending) > MAX_RECORDS:
            self.abandon(BacklogError("too many records wait for a commit"))
        return serial

    def begin(self) -> None:
        """Start to commit: the first commit replaces all records in the file by those put so far."""
        self._pending.start()

    async def wait_committed(self, serial: int) -> bool:
        """Wait for the commit of the record with this serial number; return whether it is on disk."""
        if self.closed:
            return False
        return await self._waiters.setdefault(serial, self.loop.create_future())

    def abandon(self, error: StateError) -> None:
        """Close the store after an error, without another commit: later spending is not recorded on disk."""
        if self.closed:
            return
        self._end(abandon=True)
        log.warning("the state on disk is off: %s", error)
        self.events.failed(error)

    def close(self) -> None:
        """Make the writer commit the pending records and release the files, without waiting for it."""
        if not self.closed:
            self._end(abandon=False)

    def join(self) -> None:
        """Wait up to `COMMIT_TIMEOUT_S` for the end of the writer; this blocks the event loop."""
        self.writer.join(COMMIT_TIMEOUT_S)

    def _end(self, abandon: bool) -> None:
        self.closed = True
        self._watch_timer.cancel()
        self._pending.close(abandon)
        for waiter in self._waiters.values():
            resolve(waiter, False)
        self._waiters.clear()
        self._policy_serials.clear()
        if not self.loaded.done():
            self.loaded.cancel()

    def _watch(self) -> None:
        if time.monotonic() - self._pending.oldest_at_s() > COMMIT_TIMEOUT_S:
            self.abandon(SlowDiskError("a commit takes too long"))
            return
        self._watch_timer = self.loop.call_later(WATCH_INTERVAL_S, self._watch)

    def _on_loaded(self, saved: SavedState) -> None:
        if not self.loaded.done():
            self.loaded.set_result(saved)

    def _on_committed(self, serial: int) -> None:
        if self.closed:
            return
        self.commits += 1
        self.committed_at_s = time.monotonic()
        store_serials = [store_serial for store_serial in self._policy_serials if store_serial <= serial]
        policy_serials = [self._policy_serials.pop(store_serial) for store_serial in store_serials]
        for waited_serial in [waited_serial for waited_serial in self._waiters if waited_serial <= serial]:
            resolve(self._waiters.pop(waited_serial), True)
        if policy_serials:
            self.events.committed(max(policy_serials))


def resolve(waiter: asyncio.Future[bool], committed: bool) -> None:
    """Set the result of a waiter, unless it is done or cancelled."""
    if not waiter.done():
        waiter.set_result(committed)
