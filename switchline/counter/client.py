"""The client of the counter service: calls by name over a few connections."""

from __future__ import annotations

import asyncio
import logging
import zlib
from functools import partial

from switchline.clock import Timers, now_ms
from switchline.config import Address
from switchline.counter.connection import SILENCE_LIMIT_MS, Call, Callback, CounterConnection
from switchline.counter.protocol import encode_call
from switchline.net.descriptors import Budget, Part
from switchline.net.idle import IdleTimes
from switchline.policy.interface import Outcome

log = logging.getLogger(__name__)

# Of the settings' wait. A busy counter's late answers are as true as others, and waiting adds no calls.
TIMEOUT_FACTOR = 4.0
CONNECTIONS = 4  # a slow part of the counter delays only the answers behind it on one of them
MAX_IDLE_MS = 3_000.0  # an unused connection is replaced before the counter closes it under a call
MAX_UNANSWERED = 1_000  # calls on one connection


class Lane:
    """The calls whose names share a connection, so that answers for one name keep the order of its calls."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.connection: CounterConnection | None = None
        self.waiting: list[Call] = []  # for a connection, or for the end of this turn of the event loop
        self.connecting: asyncio.Task[None] | None = None
        self._flush_scheduled = False

    def add(self, call: Call) -> None:
        """Write a call at the end of this turn of the event loop, with others that arrive in it."""
        self.waiting.append(call)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.counter.loop.call_soon(self._flush)

    def replace_connection(self) -> None:
        """Open a new connection for the next call; the old one stays a while for the answers it owes."""
        if self.connection is not None:
            self.counter.loop.call_later(SILENCE_LIMIT_MS / 1000, self.connection.drop)
            self.connection = None

    def close(self) -> None:
        """Close the connection, or stop opening one."""
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.drop()

    def _flush(self) -> None:
        self._flush_scheduled = False
        self.waiting = [call for call in self.waiting if not call.ended]
        if not self.waiting:
            return
        self._drop_unusable_connection()
        if self.connection is None or self.connection.closed:
            self._connect_in_background()
        elif len(self.connection.unanswered) >= MAX_UNANSWERED:
            self._fail_waiting(Outcome.QUEUE_FULL)
        else:
            calls = self.waiting
            self.waiting = []
            self.connection.write(calls)

    def _drop_unusable_connection(self) -> None:
        connection = self.connection
        if connection is None or connection.closed:
            return
        now = now_ms()
        if connection.is_silent(now):
            connection.drop("silent")
            return
        in_use = bool(connection.unanswered)
        if not in_use and not self.counter.idle_times.allows(now, connection.idle_ms(now)):
            connection.drop()

    def _connect_in_background(self) -> None:
        if not self.counter.budget.has_free(Part.COUNTER):
            self._fail_waiting(Outcome.CONNECT_FAILED)
        elif self.connecting is None:
            self.connecting = self.counter.loop.create_task(self._connect())

    async def _connect(self) -> None:
        address = self.counter.address
        make_protocol = partial(CounterConnection, self.counter.idle_times, self.counter.budget)
        try:
            async with asyncio.timeout(self.counter.timeout_ms / 1000):
                _, connection = await self.counter.loop.create_connection(make_protocol, *address)
            if address == self.counter.address:
                self.connection = connection
            else:
                connection.drop()  # the counter moved meanwhile
        except OSError as error:  # TimeoutError is one
            self.counter.budget.relieve(error)
            self._fail_waiting(Outcome.CONNECT_FAILED)
        finally:
            self.connecting = None
        self._flush()

    def _fail_waiting(self, outcome: Outcome) -> None:
        """End the calls that were never written: nothing was added."""
        calls = self.waiting
        self.waiting = []
        for call in calls:
            call.end(outcome)


class Counter:
    """Adds to named numbers on the counter service.

    Args:
        loop: the event loop.
        timers: of the gateway.
        address: of the service.
        wait_ms: the settings' wait for an answer.
        budget: of descriptors.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        address: Address,
        wait_ms: float,
        budget: Budget,
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.address = address
        self.timeout_ms = wait_ms * TIMEOUT_FACTOR
        self.budget = budget
        self.idle_times = IdleTimes(MAX_IDLE_MS)
        self.lanes = [Lane(self) for _ in range(CONNECTIONS)]

    def add(self, name: str, amount: float, expire_ms: float, callback: Callback) -> None:
        """Add an amount to a named number; 0 only reads it.

        Args:
            name: of the number.
            amount: to add.
            expire_ms: how long the counter keeps the number.
            callback: called once with the name, the outcome and the total.
        """
        encoded_name = name.encode()
        call = Call(name, encode_call(encoded_name, amount, expire_ms), callback)
        lane = self.lanes[zlib.crc32(encoded_name) % len(self.lanes)]
        lane.add(call)
        call.timer = self.timers.at(now_ms() + self.timeout_ms, partial(self._expire, lane, call))

    def change_address(self, address: Address) -> None:
        """Follow the service to another address."""
        if address != self.address:
            log.info("counter moves to %s:%d", *address)
            self.address = address
            for lane in self.lanes:
                lane.replace_connection()

    def close(self) -> None:
        """Close all connections."""
        for lane in self.lanes:
            lane.close()

    def _expire(self, lane: Lane, call: Call) -> None:
        written = call not in lane.waiting
        call.end(Outcome.TIMED_OUT if written else Outcome.CONNECT_FAILED)
