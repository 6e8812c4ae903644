"""Keeps the processes of a gateway under its one memory limit during an upgrade.

`MemoryDivision` decides how the limit is divided. This module measures the memory of this process, applies
the decisions to the ledger, and exchanges requests and grants with the other process.
"""

from __future__ import annotations

import logging

from switchline import log_events
from switchline.clock import PeriodicTimer
from switchline.net.process_memory import anonymous_bytes, give_back_freed_memory
from switchline.private_files import private_file
from switchline.service.parts import GatewayParts
from switchline.units import MEBIBYTE
from switchline.upgrade.memory_division import MemoryDivision, ProcessNeed
from switchline.upgrade.memory_link import GrantReceiver, GrantServer
from switchline.upgrade.memory_messages import SOCKET_FILE
from switchline.upgrade.start_grant import StartGrant

log = logging.getLogger(__name__)

DIVISION_INTERVAL_MS = 50.0


class MemorySharing:
    """Owns the part of the memory limit that this process may take.

    Args:
        parts: Of this gateway.
        start_grant: What an older process has granted to this one.
    """

    def __init__(self, parts: GatewayParts, start_grant: StartGrant) -> None:
        self.parts = parts
        self.ledger = parts.buffers.ledger
        self.start_grant = start_grant
        self.division = MemoryDivision(parts.config.memory_bytes, start_grant.granted_bytes)
        self.server = GrantServer(
            private_file(parts.config.name, SOCKET_FILE), self._on_successor_asks, self._on_successor_left
        )
        self.receiver = GrantReceiver(self._on_grant, self._on_predecessor_left)
        self._asked_at_s = 0.0  # when the next process asked for memory, on the loop's clock
        self._timer: PeriodicTimer | None = None  # runs while a next process lives

    async def start(self) -> None:
        """Measure the process, which has no clients yet, and apply its limit; receive further grants."""
        self.ledger.start_measuring(anonymous_bytes)
        if self.start_grant.connection is not None:
            log.info(
                log_events.MEMORY_GRANTED,
                self.start_grant.waited_s,
                (self.start_grant.granted_bytes or 0) / MEBIBYTE,
                self.ledger.process_bytes / MEBIBYTE,
            )
            await self.receiver.receive_on(self.start_grant.connection)
        if 2 * self.ledger.idle_process_bytes + self.division.margin_bytes > self.division.limit_bytes:
            log.warning(
                log_events.MEMORY_TOO_SMALL,
                self.division.limit_bytes / MEBIBYTE,
                self.ledger.idle_process_bytes / MEBIBYTE,
            )
        self._apply()

    async def listen(self) -> None:
        """Listen for a next process that needs memory."""
        await self.server.listen()

    def _need(self) -> ProcessNeed:
        ledger = self.ledger
        return ProcessNeed(
            ledger.idle_process_bytes,
            ledger.expected_process_bytes,
            ledger.used_bytes,
            len(self.parts.clients.connections),
            self.parts.loop.time() - self._asked_at_s,
        )

    def _apply(self) -> None:
        self.ledger.limit_process(self.division.own_limit_bytes(self._need()))

    def _on_grant(self, granted_bytes: int) -> None:
        self.division.on_grant(granted_bytes)
        self._apply()

    def _on_predecessor_left(self) -> None:
        log.info(log_events.MEMORY_WHOLE, self.division.limit_bytes / MEBIBYTE)
        self.division.on_predecessor_left()
        self._apply()

    def _on_successor_asks(self) -> None:
        need = self._need()
        log.info(log_events.MEMORY_WANTED, need.present_bytes / MEBIBYTE, need.idle_bytes / MEBIBYTE)
        self._asked_at_s = self.parts.loop.time()
        self.division.on_successor_asks()
        self._divide()
        self._timer = self.parts.timers.every(DIVISION_INTERVAL_MS, "dividing memory", self._divide)

    def _divide(self) -> None:
        """Measure this process, apply its limit, and grant the next one what is free."""
        if not self.division.successor_bytes:
            give_back_freed_memory()
        self.ledger.measure()
        self._apply()
        granted_bytes = self.division.grant(self._need())
        if granted_bytes is not None:
            self.server.grant(granted_bytes)

    def on_handed_over(self) -> None:
        """Note that the next process takes the clients."""
        self.division.on_handed_over(len(self.parts.clients.connections))
        self.server.hand_over()

    def _on_successor_left(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.division.on_successor_left()
        self.ledger.measure()
        self._apply()

    def close(self) -> None:
        """Stop listening; what this process takes stays its own until it ends."""
        self.server.close()
