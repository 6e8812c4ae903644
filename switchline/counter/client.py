"""Client of the counter service, which distributes calls by name over a few connections."""

from __future__ import annotations

import asyncio
import logging
import zlib
from functools import partial

from switchline.clock import Timers, now_ms
from switchline.config import Address
from switchline.counter.connection import SILENCE_LIMIT_MS, Call, Callback, CounterConnection
from switchline.counter.protocol import encode_call
from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.net.idle import IdleTimes
from switchline.policy.interface import Outcome

log = logging.getLogger(__name__)

# A call times out after the configured time for an answer multiplied by this factor. A late answer of a busy
# counter is as valid as any other, and waiting for it adds no calls.
TIMEOUT_FACTOR = 4.0
# With several connections, a slow part of the counter delays only the answers behind it on one of them.
CONNECTION_COUNT = 4
# A connection that has been idle for longer is replaced before the counter closes it during a call.
MAX_IDLE_MS = 3_000.0
# Limits the unanswered calls on one connection, beyond which further calls fail.
MAX_UNANSWERED_CALLS = 1_000


class CallQueue:
    """Queues the calls whose names share one connection, so that calls for one name are answered in order.

    Args:
        counter: The client that this queue belongs to.
    """

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.connection: CounterConnection | None = None
        # Calls that wait for a connection, or for the end of this iteration of the event loop.
        self.unwritten: list[Call] = []
        self.connect_task: asyncio.Task[None] | None = None
        self._flush_scheduled = False

    def add(self, call: Call) -> None:
        """Queue a call; all calls that are queued in one iteration of the event loop are written together."""
        self.unwritten.append(call)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.counter.loop.call_soon(self._flush)

    def replace_connection(self) -> None:
        """Open a new connection for the next call; the old one stays open for its unanswered calls.

        The old connection is closed after SILENCE_LIMIT_MS.
        """
        if self.connection is not None:
            self.counter.loop.call_later(SILENCE_LIMIT_MS / 1000, self.connection.drop)
            self.connection = None

    def close(self) -> None:
        """Close the connection, and cancel an attempt to open one."""
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.drop()

    def _flush(self) -> None:
        self._flush_scheduled = False
        self.unwritten = [call for call in self.unwritten if not call.ended]
        if not self.unwritten:
            return
        self._drop_unusable_connection()
        if self.connection is None or self.connection.closed:
            self._connect_in_background()
        elif len(self.connection.unanswered) >= MAX_UNANSWERED_CALLS:
            self._fail_unwritten(Outcome.QUEUE_FULL)
        else:
            calls = self.unwritten
            self.unwritten = []
            self.connection.write(calls)

    def _drop_unusable_connection(self) -> None:
        connection = self.connection
        if connection is None or connection.closed:
            return
        now = now_ms()
        if connection.is_silent(now):
            connection.drop("no bytes were received for too long while calls were unanswered")
            return
        in_use = bool(connection.unanswered)
        if not in_use and not self.counter.idle_times.allows(now, connection.idle_ms(now)):
            connection.drop()

    def _connect_in_background(self) -> None:
        if not self.counter.budget.has_free(DescriptorOwner.COUNTER):
            self._fail_unwritten(Outcome.CONNECT_FAILED)
        elif self.connect_task is None:
            self.connect_task = self.counter.loop.create_task(self._connect())

    async def _connect(self) -> None:
        address = self.counter.address
        make_protocol = partial(CounterConnection, self.counter.idle_times, self.counter.budget)
        try:
            async with asyncio.timeout(self.counter.timeout_ms / 1000):
                _, connection = await self.counter.loop.create_connection(make_protocol, *address)
            if address == self.counter.address:
                self.connection = connection
            else:
                connection.drop()  # the counter's address changed during the attempt
        except OSError as error:  # TimeoutError is a subclass
            self.counter.budget.handle_shortage(error)
            self._fail_unwritten(Outcome.CONNECT_FAILED)
        finally:
            self.connect_task = None
        self._flush()

    def _fail_unwritten(self, outcome: Outcome) -> None:
        """End the calls that were not written, so nothing was added for them."""
        calls = self.unwritten
        self.unwritten = []
        for call in calls:
            call.end(outcome)


class Counter:
    """Adds to named numbers on the counter service.

    Args:
        loop: The event loop.
        timers: Timers of the gateway.
        address: Address of the service.
        counter_call_ms: Configured time for an answer in milliseconds; calls time out after TIMEOUT_FACTOR
            times as long.
        budget: Budget of descriptors, in which each connection is counted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        address: Address,
        counter_call_ms: float,
        budget: Budget,
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.address = address
        self.timeout_ms = counter_call_ms * TIMEOUT_FACTOR
        self.budget = budget
        self.idle_times = IdleTimes(MAX_IDLE_MS)
        self.queues = [CallQueue(self) for _ in range(CONNECTION_COUNT)]

    def add(self, name: str, amount: float, expire_ms: float, callback: Callback) -> None:
        """Add an amount to a named number; an amount of 0 only reads it.

        Args:
            name: Name of the number.
            amount: Amount to add, in the unit of the number.
            expire_ms: Time in milliseconds for which the counter keeps the number after its first addition.
            callback: Called exactly once with the name, the outcome and the total after the addition.
        """
        encoded_name = name.encode()
        call = Call(name, encode_call(encoded_name, amount, expire_ms), callback)
        queue = self.queues[zlib.crc32(encoded_name) % len(self.queues)]
        queue.add(call)
        call.timer = self.timers.at(now_ms() + self.timeout_ms, partial(self._expire, queue, call))

    def change_address(self, address: Address) -> None:
        """Use another address for further calls; nothing happens if the address is the same."""
        if address != self.address:
            log.info("counter address changed to %s:%d", *address)
            self.address = address
            for queue in self.queues:
                queue.replace_connection()

    def close(self) -> None:
        """Close all connections; unanswered calls end as timed out."""
        for queue in self.queues:
            queue.close()

    def _expire(self, queue: CallQueue, call: Call) -> None:
        was_written = call not in queue.unwritten
        call.end(Outcome.TIMED_OUT if was_written else Outcome.CONNECT_FAILED)
