"""Draining: on an operator's call, in quarantine, and at the end of the process.

A drain of the first two kinds can be undone: clients are taken again. The final drain (after SIGTERM, or when
the old process of an upgrade ends) is not undone. This gateway announces to the fleet that it leaves, unless
another process has taken over. It goes on accepting connections for `DRAIN_NOTICE_S`, until the front has
noticed, and then answers the requests in flight. Those still in flight after `max_drain_s`, which depends on
the longest deadline in the settings, are failed: SIGKILL would end the process without an answer to them.
Answers that are being passed on go on until then and later: the end of the process would cut them off.
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

# The front goes on sending connections until it has asked this gateway again and noticed the drain.
DRAIN_NOTICE_S = 0.45
# SIGKILL follows SIGTERM no sooner than after the longest deadline of the settings, but `MAX_DEADLINE_S` at
# most, plus `KILL_MARGIN_S`.
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
ABORT_BEFORE_KILL_S = 0.3  # the requests still in flight are failed this long before SIGKILL may come
LAST_ANSWERS_TIMEOUT_S = 0.15  # for sending the answers of the requests that were failed
MAX_DELIVERY_S = 30.0  # from SIGTERM until answers are cut off, if no SIGKILL comes before


class ClientIntake:
    """Starts and stops the drains that can be undone: by an operator, or in quarantine."""

    def __init__(self, parts: GatewayParts) -> None:
        self.clients = parts.clients
        self.drained_by_operator = False

    def start_drain(self) -> None:
        """Drain clients until `stop_drain`, on an operator's call."""
        self.drained_by_operator = True
        log.info(log_events.DRAIN_STARTED)
        self.clients.drain(DRAIN_NOTICE_S)

    def stop_drain(self) -> bool:
        """Take clients again, on an operator's call; return False if this process is about to end."""
        if self.clients.shutting_down:
            return False
        self.drained_by_operator = False
        log.info(log_events.DRAIN_STOPPED)
        self.clients.undo_drain()
        return True

    def begin_quarantine(self) -> None:
        """Drain clients while this gateway is in quarantine."""
        self.clients.drain(DRAIN_NOTICE_S)

    def end_quarantine(self) -> None:
        """Take clients again, unless an operator drains this gateway or the process is about to end."""
        if not (self.drained_by_operator or self.clients.shutting_down):
            self.clients.undo_drain()


class FinalDrain:
    """Carries out the drain at the end of the process."""

    def __init__(self, parts: GatewayParts, trail: AuditTrail, fleet: OptionalFleet) -> None:
        self.parts = parts
        self.trail = trail
        self.fleet = fleet

    async def run(self) -> None:
        """Stop accepting once the front has noticed, and wait until all requests in flight are answered."""
        parts = self.parts
        clients = parts.clients
        log.info(log_events.SHUTDOWN_STARTED, len(parts.driver.requests.in_flight))
        self.trail.record("ending", "", "", "SIGTERM")
        parts.guard.call("leaving the fleet", self.fleet.leave, not clients.handed_over)
        begun_s = parts.loop.time()
        abort_at = begun_s + self.max_drain_s()
        clients.shut_down(DRAIN_NOTICE_S)
        if not clients.handed_over:
            await asyncio.sleep(DRAIN_NOTICE_S)
        clients.stop_accepting()
        try:
            async with asyncio.timeout_at(abort_at):
                await clients.wait_until_empty()
        except TimeoutError:
            await self._abort()
            await self._finish_delivery(begun_s + MAX_DELIVERY_S)

    async def _abort(self) -> None:
        """Fail the requests still in flight; give their answers `LAST_ANSWERS_TIMEOUT_S` to be sent."""
        requests = self.parts.driver.requests
        log.warning(log_events.SHUTDOWN_DEADLINE, len(requests.in_flight))
        requests.end_all()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_TIMEOUT_S):
                await self.parts.clients.wait_until_empty()

    async def _finish_delivery(self, until_s: float) -> None:
        """Pass answers that have begun on, and let slow clients read them, until `until_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await self.parts.clients.wait_until_delivered()

    def max_drain_s(self) -> float:
        """Return the seconds from SIGTERM until the requests still in flight are failed, ahead of SIGKILL."""
        classes = self.parts.config.settings.classes
        max_deadline_ms = max((request_class.deadline_ms for request_class in classes), default=math.inf)
        return min(max_deadline_ms / 1000, MAX_DEADLINE_S) + KILL_MARGIN_S - ABORT_BEFORE_KILL_S
