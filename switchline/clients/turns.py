"""Turns of client connections in the event loop, so that a flood of commands slows down its sender alone.

One connection can have any number of commands waiting, and the event loop reads from it many times in one
iteration. So each connection processes a slice of its commands at a time, and all connections together use at
most `ITERATION_S` in one iteration of the event loop. The others wait for a later one.

The order is that of start-time fair queueing: each connection has a virtual time, which advances with each
slice after which it awaits more than one answer, and the one that is least advanced goes first. So a
connection that sends one command after another goes ahead of all that send many at once.
"""

from __future__ import annotations

import asyncio
import heapq
import time
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
    has_backlog: bool  # its last slice was used up, so it may have more commands to process
    # It has received more of a command that has begun. This does not wait, as the command is held meanwhile.
    continues_command: bool
    virtual_time_s: float  # the virtual time at which its next slice may begin
    is_charged: bool  # that time has advanced with its last slice

    @property
    def is_pipelining(self) -> bool:
        """Whether it has sent more commands than the one whose answer is due."""

    def pump(self) -> None:
        """Process commands, as it is this connection's turn."""


class Turns:
    """Owns the queue of connections that wait for their turn, and the time used in this iteration.

    Args:
        guard: contains faults of a connection, so that the others have their turns.
        call_soon: calls a function in the next iteration; by default that of the running event loop.
    """

    def __init__(self, guard: Guard, call_soon: Callable[[Callable[[], None]], object] | None = None) -> None:
        self.guard = guard
        self._call_soon = call_soon
        # A heap, by virtual time, then those that are not charged first, then by arrival.
        self._queue: list[tuple[float, bool, int, TurnTaker]] = []
        self._arrivals = 0
        self._virtual_time_s = 0.0
        self._used_s = 0.0
        self._slice_started_s = 0.0
        self._slice_commands = 0
        self._is_scheduled = False

    @property
    def waiting(self) -> int:
        """Number of connections that wait for their turn."""
        return len(self._queue)

    @property
    def is_iteration_used_up(self) -> bool:
        """Whether a connection that sends something now has to wait for a later iteration."""
        return self._used_s >= ITERATION_S

    def begin_slice(self, connection: TurnTaker) -> bool:
        """Return whether a connection may process commands now; if not, it waits for a later iteration."""
        connection.virtual_time_s = max(connection.virtual_time_s, self._virtual_time_s)
        is_behind_others = bool(self._queue) and connection.virtual_time_s > self._virtual_time_s
        if (self.is_iteration_used_up or is_behind_others) and not connection.continues_command:
            self._defer(connection)
            return False
        connection.continues_command = False
        self._slice_started_s = time.perf_counter()
        self._slice_commands = 0
        connection.has_backlog = False
        return True

    def uses_up_slice(self, is_within_command: bool) -> bool:
        """Count one command or a piece of one, and return whether the slice is used up."""
        self._slice_commands += 1
        used_s = time.perf_counter() - self._slice_started_s
        if self._slice_commands >= SLICE_COMMANDS or (self.is_iteration_used_up and not is_within_command):
            return True
        return used_s >= SLICE_S

    def end_slice(self, connection: TurnTaker) -> None:
        """Count the time of a slice; a connection that has a backlog after it waits for its next turn."""
        used_s = time.perf_counter() - self._slice_started_s
        self._used_s += used_s
        connection.is_charged = connection.has_backlog or connection.is_pipelining
        if connection.is_charged:
            connection.virtual_time_s += min(used_s, SLICE_S)  # a pause of the process is not its doing
        if connection.has_backlog:
            self._defer(connection)
        if self._used_s >= MIN_ACCOUNTED_S:
            self._schedule()

    def _defer(self, connection: TurnTaker) -> None:
        connection.waits_for_turn = True
        self._arrivals += 1
        place = (connection.virtual_time_s, connection.is_charged, self._arrivals, connection)
        heapq.heappush(self._queue, place)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            call_soon = self._call_soon or asyncio.get_running_loop().call_soon
            call_soon(self._run)

    def _run(self) -> None:
        """Begin a new iteration, and serve connections until its time is used up."""
        self._is_scheduled = False
        self._used_s = 0.0
        while self._queue and self._used_s < ITERATION_S:
            self._virtual_time_s, _, _, connection = heapq.heappop(self._queue)
            connection.waits_for_turn = False
            self.guard.call("a client's connection", connection.pump)
        if self._queue:
            self._schedule()
