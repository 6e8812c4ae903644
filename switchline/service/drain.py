"""Draining: on an operator's call, in quarantine, and at the end of the process.

A drain of the first two kinds ends again, and clients come back. The one at the end (SIGTERM, or the end of
an upgrade's old process) goes as follows: the fleet is told, connections go on being accepted for
`DRAIN_NOTICE_S` while the front notices, then open requests are answered. Those still open at `max_drain_s`
are failed, as SIGKILL would lose them; the settings' longest deadline moves that moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math

from switchline import log_events
from switchline.service.audit_trail import AuditTrail
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts

log = logging.getLogger(__name__)

DRAIN_NOTICE_S = 0.45  # the front goes on sending connections until it has asked and noticed
# SIGKILL comes after SIGTERM no sooner than the longest deadline, counted as `MAX_DEADLINE_S` at most,
# and `KILL_MARGIN_S`.
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
ABORT_BEFORE_KILL_S = 0.3
LAST_ANSWERS_TIMEOUT_S = 0.15  # for the last answers to leave


class ClientIntake:
    """Owns whether clients are sent away for a time: by an operator, or in quarantine."""

    def __init__(self, parts: GatewayParts) -> None:
        self.clients = parts.clients
        self.drained_by_operator = False

    def start_drain(self) -> None:
        """Send clients away until `stop_drain`, by an operator's call."""
        self.drained_by_operator = True
        log.info(log_events.DRAIN_STARTED)
        self.clients.drain(DRAIN_NOTICE_S)

    def stop_drain(self) -> bool:
        """Take clients again; False where this process is about to end."""
        if self.clients.shutting_down:
            return False
        self.drained_by_operator = False
        log.info(log_events.DRAIN_STOPPED)
        self.clients.undrain()
        return True

    def begin_quarantine(self) -> None:
        """Send clients away while this gateway is in quarantine."""
        self.clients.drain(DRAIN_NOTICE_S)

    def end_quarantine(self) -> None:
        """Take clients again, unless an operator or the end of the process forbids it."""
        if not (self.drained_by_operator or self.clients.shutting_down):
            self.clients.undrain()


class FinalDrain:
    """The drain at the end of the process."""

    def __init__(self, parts: GatewayParts, trail: AuditTrail, fleet: OptionalFleet) -> None:
        self.parts = parts
        self.trail = trail
        self.fleet = fleet

    async def run(self) -> None:
        """Stop accepting once the front has noticed, and answer all that is open."""
        parts = self.parts
        clients = parts.clients
        log.info(log_events.SHUTDOWN_STARTED, len(parts.driver.requests.open))
        self.trail.record("ending", "", "", "SIGTERM")
        parts.guard.call("leaving the fleet", self.fleet.leave, not clients.handed_over)
        abort_at = parts.loop.time() + self.max_drain_s()
        clients.shut_down(DRAIN_NOTICE_S)
        if not clients.handed_over:
            await asyncio.sleep(DRAIN_NOTICE_S)
        clients.stop_accepting()
        try:
            async with asyncio.timeout_at(abort_at):
                await clients.wait_until_empty()
        except TimeoutError:
            await self._abort()

    async def _abort(self) -> None:
        """Answer what is still open, and give these answers a moment to leave."""
        requests = self.parts.driver.requests
        log.warning(log_events.SHUTDOWN_DEADLINE, len(requests.open))
        requests.end_all()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_TIMEOUT_S):
                await self.parts.clients.wait_until_empty()

    def max_drain_s(self) -> float:
        """Seconds after SIGTERM until what is still open is ended, before SIGKILL would lose it."""
        classes = self.parts.config.settings.classes
        longest_ms = max((kind.deadline_ms for kind in classes), default=math.inf)
        return min(longest_ms / 1000, MAX_DEADLINE_S) + KILL_MARGIN_S - ABORT_BEFORE_KILL_S
