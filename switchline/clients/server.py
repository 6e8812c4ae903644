"""The RESP server that clients connect to: it accepts, drains, and hands over in an upgrade."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Protocol

from switchline.clients.commands import Command
from switchline.clients.connection import ClientConnection
from switchline.clients.places import ConnectionPlaces
from switchline.clients.slot import Slot
from switchline.clients.supervision import LINGER_TIMEOUT_S, check_connection
from switchline.clients.turns import Turns
from switchline.guard import Guard
from switchline.net.accept import Acceptor
from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.net.memory import MAX_READ_BYTES
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics

BACKLOG = 200  # listen backlog: connections that may wait to be accepted
SWEEP_INTERVAL_S = 0.25
DELIVERY_POLL_INTERVAL_S = 0.02
# Half-closed connections that linger keep their descriptors without a place. Except while all connections are
# being closed, at most this many may do so at once.
MAX_LINGERING = 16
# After a hand-over connections close with their next answers. Idle ones are closed after this delay.
HAND_OVER_IDLE_DELAY_S = 0.5


class RequestHandler(Protocol):
    """Receives the requests of all clients, and the events that concern them."""

    def check(self, command: Command) -> None:
        """Raise ValueError, with the reason, for a request that does not match the settings."""

    def on_command(self, command: Command, slot: Slot) -> None:
        """Process a request and answer it through its slot. Raises ValueError as `check` does."""

    def on_command_without_place(self, command: Command, slot: Slot) -> None:
        """Reject a valid request because there is no place for its connection."""

    def on_body_received(self, request_id: str) -> None:
        """Process the arrival of the last byte of a request with a streamed value."""

    def on_client_gone(self, request_id: str) -> None:
        """Abandon a request in flight: its client has closed the connection."""


class ClientServer:
    """Owns the connections of clients, and whether the gateway accepts new ones.

    Args:
        handler: receives the requests.
        budget: the descriptor budget.
        buffer_budget: limits the memory of streamed values.
        metrics: counts evictions.
        guard: contains faults and counts violated invariants; a new one by default.
    """

    def __init__(
        self,
        handler: RequestHandler,
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
        self.turns = Turns(self.guard)
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))  # shared: each read is parsed at once
        self.connections: set[ClientConnection] = set()
        self.places = ConnectionPlaces(budget, metrics)
        self.empty = asyncio.Event()  # set while there is no connection
        self.empty.set()
        self.draining = False  # PING is answered with an error, except after a hand-over
        self.closing_connections = False  # connections are closed after their next answers
        self.shutting_down = False  # the drain is final, as the process will end
        self.handed_over = False  # the peer process of an upgrade accepts clients
        # While connections are being closed, idle ones are closed from this monotonic time on.
        self.idle_close_starts_at_s = 0.0
        self._lingering: set[ClientConnection] = set()  # half-closed connections that have no place any more
        self._acceptor: Acceptor | None = None
        # Runs while the load balancers before this gateway may not have noticed a drain yet.
        self._drain_timer: asyncio.TimerHandle | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    # ---- accepting ----

    def listen(self, listener: socket.socket) -> int:
        """Start to accept connections on a listening socket; return its port."""
        self._acceptor = Acceptor(listener, lambda: ClientConnection(self), self.budget)
        self.sweep()
        return self._acceptor.port

    @property
    def takes_clients(self) -> bool:
        """Whether this process accepts new clients and is not draining."""
        return self._acceptor is not None and self._acceptor.accepting and not self.draining

    @property
    def ping_succeeds(self) -> bool:
        """Whether PING gets a success answer: the gateway accepts clients, here or in its next process."""
        return self.handed_over or not self.draining

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open, or is accepted and being opened."""
        opening = self._acceptor is not None and bool(self._acceptor.opening)
        return bool(self.connections) or opening

    def stop_accepting(self) -> None:
        """Accept the connections that already wait in the backlog, then close the listening socket."""
        if self._acceptor is not None:
            if not self.handed_over:
                self._acceptor.accept_backlog()
            self._acceptor.close()

    async def wait_until_empty(self) -> None:
        """Wait until no connection is open, and none is accepted and being opened."""
        while self.has_connections:
            if self._acceptor is not None and self._acceptor.opening:
                await asyncio.wait(list(self._acceptor.opening))
            await self.empty.wait()

    async def wait_until_delivered(self) -> None:
        """Wait until the peers' systems have received all answers that are written or begun."""
        while any(
            connection.answers.is_streaming or connection.undelivered_bytes for connection in self.connections
        ):
            await asyncio.sleep(DELIVERY_POLL_INTERVAL_S)

    def close(self) -> None:
        """Stop accepting connections and checking them."""
        for timer in (self._sweep_timer, self._drain_timer):
            if timer is not None:
                timer.cancel()
        self.stop_accepting()

    # ---- connections ----

    def on_connection_opened(self, connection: ClientConnection) -> None:
        """Count the descriptor of a new connection and give the connection a place."""
        self.budget.acquire(DescriptorOwner.CLIENTS)
        self.connections.add(connection)
        self.empty.clear()
        self.places.add(connection)

    def promote(self, connection: ClientConnection, command: Command) -> bool:
        """Give a connection a place as a validated one, if its first request is valid.

        Returns:
            Whether it got a place.

        Raises:
            ValueError: the request is not valid, as `RequestHandler.check` reports it.
        """
        self.handler.check(command)
        return self.places.promote(connection)

    @property
    def _has_room_to_linger(self) -> bool:
        return self.closing_connections or len(self._lingering) < MAX_LINGERING

    def may_half_close(self, connection: ClientConnection) -> bool:
        """Whether a connection may stay half-closed, as its peer may still be reading.

        If answers have not reached the peer's system yet, its own place is enough for that.
        """
        if connection.undelivered_bytes:
            return self._has_room_to_linger or self.places.holds(connection)
        return self._has_room_to_linger and time.monotonic() - connection.last_used_s <= LINGER_TIMEOUT_S

    def on_half_closed(self, connection: ClientConnection) -> None:
        """Let a half-closed connection linger without its place, if there is room."""
        if self._has_room_to_linger:
            self.places.remove(connection)
            self._lingering.add(connection)

    def lingers(self, connection: ClientConnection) -> bool:
        """Whether a half-closed connection may stay open for LINGER_TIMEOUT_S after its delivery."""
        return connection in self._lingering

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """Free the place and the descriptor of a connection that has ended."""
        self.places.remove(connection)
        self.budget.release(DescriptorOwner.CLIENTS)
        self.connections.discard(connection)
        self._lingering.discard(connection)
        if not self.connections:
            self.empty.set()

    def sweep(self) -> None:
        """Check all connections, keep their number within the budget, and schedule the next sweep."""
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)
        now_s = time.monotonic()
        for connection in list(self.connections):
            self.guard.call("a client's connection", check_connection, connection, now_s)
        # The budget may have shrunk: by SIGHUP, or by the descriptors of the peer process of an upgrade.
        self.places.make_room(self.places.live_count - self.places.limit)
        self.budget.open_reserve()

    def gauges(self) -> dict[str, int]:
        """Metrics for operators."""
        return self.places.gauges() | {"clients.waiting": self.turns.waiting}

    # ---- drain and hand-over ----

    def drain(self, notice_s: float) -> None:
        """Begin to drain: PING is answered with an error, and after `notice_s` connections are closed.

        New connections are still accepted and answered, as load balancers need a moment to notice the drain.

        Args:
            notice_s: time until connections begin to be closed after their answers.
        """
        if not self.draining:
            self.draining = True
            loop = asyncio.get_running_loop()
            self._drain_timer = loop.call_later(notice_s, self._begin_closing_connections)

    def _begin_closing_connections(self) -> None:
        self.closing_connections = True

    def undo_drain(self) -> None:
        """Undo `drain` at any of its stages: accept clients again and keep their connections."""
        self.draining = False
        self.closing_connections = self.handed_over
        if self._drain_timer is not None:
            self._drain_timer.cancel()

    def shut_down(self, notice_s: float) -> None:
        """Drain without a return, before the process ends.

        Args:
            notice_s: time until connections begin to be closed after their answers.
        """
        self.shutting_down = True
        self.drain(notice_s)

    def hand_over(self) -> None:
        """Let the peer process of an upgrade accept; connections here are closed after their next answers."""
        self.handed_over = True
        self.closing_connections = True
        self.idle_close_starts_at_s = time.monotonic() + HAND_OVER_IDLE_DELAY_S
        if self._acceptor is not None:
            self._acceptor.pause()

    def undo_hand_over(self) -> None:
        """Accept again, after the peer process of an upgrade has ended."""
        self.handed_over = False
        if not self.draining:
            self.closing_connections = False
        if self._acceptor is not None:
            self._acceptor.resume()
