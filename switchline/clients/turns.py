"""Turns of client connections in the event loop, so that a flood of commands slows down its sender alone.

One connection can have any number of commands waiting, and the event loop reads from it many times in one
iteration. So each connection processes a slice of its commands at a time, and all connections together use at
most `ITERATION_S` in one iteration of the event loop. The others wait for a later one: first those that have
just sent something, then those that have used up a slice and have more to process.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from switchline.guard import Guard

SLICE_S = 0.001
SLICE_COMMANDS = 32
ITERATION_S = 0.005
# While the connections use less, the iterations are not told apart, which would cost a wake-up each.
MIN_ACCOUNTED_S = 0.001


class TurnTaker(Protocol):
    """A connection that processes its commands in slices."""

    waits_for_turn: bool
    has_backlog: bool  # its last slice was used up, and it has had no chance to process the rest

    def pump(self) -> None:
        """Process commands, as it is this connection's turn."""


class Turns:
    """Owns the queues of connections that wait for their turn, and the time used in this iteration.

    Args:
        guard: contains faults of a connection, so that the others have their turns.
        call_soon: calls a function in the next iteration; by default that of the running event loop.
    """

    def __init__(self, guard: Guard, call_soon: Callable[[Callable[[], None]], object] | None = None) -> None:
        self.guard = guard
        self._call_soon = call_soon
        self._arrived: deque[TurnTaker] = deque()
        self._backlogged: deque[TurnTaker] = deque()
        self._used_s = 0.0
        self._slice_started_s = 0.0
        self._slice_commands = 0
        self._is_scheduled = False

    @property
    def waiting(self) -> int:
        """Number of connections that wait for their turn."""
        return len(self._arrived) + len(self._backlogged)

    def begin_slice(self, connection: TurnTaker) -> bool:
        """Return whether a connection may process commands now; if not, it waits for a later iteration."""
        if self._used_s >= ITERATION_S:
            self._defer(connection)
            return False
        self._slice_started_s = time.perf_counter()
        self._slice_commands = 0
        connection.has_backlog = False
        return True

    def continue_slice(self, connection: TurnTaker) -> None:
        """Count one command; the connection has to wait for the rest once its slice is used up."""
        self._slice_commands += 1
        used_s = time.perf_counter() - self._slice_started_s
        if used_s >= SLICE_S or self._slice_commands >= SLICE_COMMANDS:
            connection.has_backlog = True
            self._defer(connection)

    def end_slice(self) -> None:
        """Count the time of a slice."""
        self._used_s += time.perf_counter() - self._slice_started_s
        if self._used_s >= MIN_ACCOUNTED_S:
            self._schedule()

    def _defer(self, connection: TurnTaker) -> None:
        connection.waits_for_turn = True
        (self._backlogged if connection.has_backlog else self._arrived).append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            call_soon = self._call_soon or asyncio.get_running_loop().call_soon
            call_soon(self._run)

    def _run(self) -> None:
        """Begin a new iteration; at least one connection of each queue has its turn in it."""
        self._is_scheduled = False
        self._used_s = 0.0
        self._serve(self._arrived)
        self._used_s = min(self._used_s, ITERATION_S - MIN_ACCOUNTED_S)
        self._serve(self._backlogged)
        if self._arrived or self._backlogged:
            self._schedule()

    def _serve(self, queue: deque[TurnTaker]) -> None:
        for _ in range(len(queue)):
            if self._used_s >= ITERATION_S:
                return
            connection = queue.popleft()
            connection.waits_for_turn = False
            self.guard.call("a client's connection", connection.pump)
