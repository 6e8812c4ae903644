"""The RESP server that clients connect to: accepting, drain, and the hand-over in an upgrade."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Protocol

from switchline.clients.commands import Command
from switchline.clients.connection import READ_BYTES, ClientConnection
from switchline.clients.places import ConnectionPlaces
from switchline.clients.slot import Slot
from switchline.clients.supervision import LINGER_S, check
from switchline.guard import Guard
from switchline.net.accept import Acceptor
from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics

BACKLOG = 200  # connections that may wait to be accepted
SWEEP_INTERVAL_S = 0.25
MAX_LINGERING = 16  # half-closed connections at once, where places are wanted
HAND_OVER_IDLE_S = 0.5  # after a hand-over most connections close with an answer; idle ones from then on


class Handler(Protocol):
    """What requests are handed to."""

    def check(self, command: Command) -> None:
        """Raise ValueError, with the reason, for a request that the settings know nothing of."""

    def on_command(self, command: Command, slot: Slot) -> None:
        """Take a request. Raises ValueError as `check` does."""

    def on_command_without_place(self, command: Command, slot: Slot) -> None:
        """Reject a proper request, as its connection gets no place."""

    def on_body_received(self, request: str) -> None:
        """Note that the last byte of a request with a long value has arrived."""

    def on_client_gone(self, request: str) -> None:
        """Note that nobody waits for the answer any more."""


class ClientServer:
    """Owns the connections of clients, and whether it takes clients.

    Args:
        handler: takes requests.
        budget: of descriptors.
        buffer_budget: of long values.
        metrics: counts evictions.
        guard: contains faults; one of its own by default.
    """

    def __init__(
        self,
        handler: Handler,
        budget: Budget,
        buffer_budget: BufferBudget,
        metrics: Metrics,
        guard: Guard | None = None,
    ) -> None:
        self.handler = handler
        self.budget = budget
        self.buffer_budget = buffer_budget
        self.metrics = metrics
        self.guard = guard or Guard()
        self.read_buffer = memoryview(bytearray(READ_BYTES))  # of all; taken before the next read
        self.connections: set[ClientConnection] = set()
        self.places = ConnectionPlaces(budget, metrics)
        self.empty = asyncio.Event()  # there is no connection
        self.empty.set()
        self.draining = False  # PING is answered with an error
        self.closing_connections = False  # connections are closed after their answers
        self.shutting_down = False  # a drain that is not undone
        self.handed_over = False  # another process takes the clients
        self.close_idle_from_s = 0.0  # while connections are being closed, idle ones are from then on
        self._half_closed: set[ClientConnection] = set()
        self._acceptor: Acceptor | None = None
        self._drain_timer: asyncio.TimerHandle | None = None  # until the front has noticed a drain
        self._sweep_timer: asyncio.TimerHandle | None = None

    # ---- accepting ----

    def listen(self, listener: socket.socket) -> int:
        """Start to accept; return the port."""
        self._acceptor = Acceptor(listener, lambda: ClientConnection(self), self.budget)
        self.sweep()
        return self._acceptor.port

    @property
    def takes_clients(self) -> bool:
        """Whether this process accepts clients and is not draining."""
        return self._acceptor is not None and self._acceptor.accepting and not self.draining

    @property
    def answers_ping(self) -> bool:
        """Whether the gateway takes clients, also while its next process does so."""
        return self.handed_over or not self.draining

    @property
    def holds_clients(self) -> bool:
        """Whether a connection is open, or accepted and being opened."""
        opening = self._acceptor is not None and bool(self._acceptor.opening)
        return bool(self.connections) or opening

    def stop_accepting(self) -> None:
        """Take what has arrived so far, and nothing after that."""
        if self._acceptor is not None:
            if not self.handed_over:
                self._acceptor.accept_backlog()
            self._acceptor.close()

    async def wait_until_empty(self) -> None:
        """Wait until no connection is left, nor one that was accepted and is being opened."""
        while self.holds_clients:
            if self._acceptor is not None and self._acceptor.opening:
                await asyncio.wait(list(self._acceptor.opening))
            await self.empty.wait()

    def close(self) -> None:
        """Stop accepting and supervising."""
        for timer in (self._sweep_timer, self._drain_timer):
            if timer is not None:
                timer.cancel()
        self.stop_accepting()

    # ---- connections ----

    def opened(self, connection: ClientConnection) -> None:
        """Count a new connection and give it a place."""
        self.budget.acquire(DescriptorOwner.CLIENTS)
        self.connections.add(connection)
        self.empty.clear()
        self.places.opened(connection)

    def prove(self, connection: ClientConnection, command: Command) -> bool:
        """Whether a connection's first proper request gets it a place. Raises ValueError if it is none."""
        self.handler.check(command)
        return self.places.prove(connection)

    def may_linger(self, connection: ClientConnection) -> bool:
        """Whether it may keep its descriptor for a moment: there is something that the peer may yet read."""
        if time.monotonic() - connection.last_used_s > LINGER_S:
            return False
        return self.closing_connections or len(self._half_closed) < MAX_LINGERING

    def half_closed(self, connection: ClientConnection) -> None:
        """Free its place, though its descriptor is not free yet."""
        self.places.forget(connection)
        self._half_closed.add(connection)

    def closed(self, connection: ClientConnection) -> None:
        """Free the descriptor of a connection that is lost."""
        self.places.forget(connection)
        self.budget.release(DescriptorOwner.CLIENTS)
        self.connections.discard(connection)
        self._half_closed.discard(connection)
        if not self.connections:
            self.empty.set()

    def sweep(self) -> None:
        """Supervise all connections, again and again."""
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)
        now_s = time.monotonic()
        for connection in list(self.connections):
            self.guard.call("a client's connection", check, connection, now_s)
        # The budget may have shrunk: by SIGHUP, or by what the other process of an upgrade holds.
        self.places.make_room(self.places.live - self.places.limit)
        self.budget.open_reserve()

    def gauges(self) -> dict[str, int]:
        """Metrics for operators."""
        return self.places.gauges()

    # ---- drain and hand-over ----

    def drain(self, notice_s: float) -> None:
        """Send clients away: PING is answered with an error, and after a notice connections are closed.

        Whoever still connects is accepted and answered, as the front needs a moment to notice.

        Args:
            notice_s: until connections are closed after their answers.
        """
        if not self.draining:
            self.draining = True
            loop = asyncio.get_running_loop()
            self._drain_timer = loop.call_later(notice_s, self._begin_closing_connections)

    def _begin_closing_connections(self) -> None:
        self.closing_connections = True

    def undrain(self) -> None:
        """Take clients again; undoes `drain` wherever it has got to."""
        self.draining = False
        self.closing_connections = self.handed_over
        if self._drain_timer is not None:
            self._drain_timer.cancel()

    def shut_down(self, notice_s: float) -> None:
        """Send clients away for good."""
        self.shutting_down = True
        self.drain(notice_s)

    def hand_over(self) -> None:
        """Let another process of this gateway accept; connections here end after their next answers."""
        self.handed_over = True
        self.closing_connections = True
        self.close_idle_from_s = time.monotonic() + HAND_OVER_IDLE_S
        if self._acceptor is not None:
            self._acceptor.pause()

    def take_back(self) -> None:
        """Accept again: the other process has ended."""
        self.handed_over = False
        if not self.draining:
            self.closing_connections = False
        if self._acceptor is not None:
            self._acceptor.resume()
