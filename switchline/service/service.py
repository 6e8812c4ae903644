"""One gateway in service: composes its parts, starts them and closes them.

A start (`Service.load`, then `Service.open`) has these steps, in this order; each wait has a timeout:

1. The audit begins, if the configuration has `audit` or `fleet`.
2. The state on disk is read, if the configuration has `state`.
3. Discovery is given `FIRST_LIST_TIMEOUT_S` for a newer list.
4. An older process of this gateway, if there is one, sends all its state (`upgrade.py`).
5. If the configuration has `fleet` and `state`, this gateway joins the fleet and asks it for what a lost or
   old disk lacks.
6. The state on disk is restored, or a part of it if the fleet has newer state.
7. The operators' address opens, if the configuration has `operator`.
8. The nearest gateways are asked for the spending of quotas, and it is decided whether the whole fleet had a
   power loss.
9. Clients are accepted at `listen`, and the older process is notified. This gateway joins the fleet, if the
   configuration has `fleet`.

See `reload.py` for what SIGHUP changes, `drain.py` for SIGTERM, and `fleet_runtime/recovery/` for the
recovery after a power loss.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from typing import TYPE_CHECKING

from switchline import log_events
from switchline.clients.server import BACKLOG
from switchline.config import Config
from switchline.net.listen import inherited_listener, listen_with_retries
from switchline.operators.server import OperatorServer
from switchline.service.audit_trail import AuditTrail
from switchline.service.calls.overrides import OverrideCalls, OverrideSet
from switchline.service.calls.routes import operator_routes
from switchline.service.calls.status import ServiceStatus
from switchline.service.drain import ClientIntake, FinalDrain
from switchline.service.memory_sharing import MemorySharing
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts
from switchline.service.reload import ConfigReload
from switchline.service.upgrade import ProcessUpgrade
from switchline.upgrade.start_grant import StartGrant

if TYPE_CHECKING:
    from switchline.fleet_runtime.membership import FleetMembership
    from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

FIRST_LIST_TIMEOUT_S = 0.25  # a timeout is usual: discovery sends nothing if the list has not changed
LISTEN_TIMEOUT_S = 25.0  # the platform allows 30 s for a start


class Service:
    """Owns the parts of one gateway from its start to its end.

    Args:
        config: The configuration at the start.
        stop: Set when this process is to end; set here once another process has taken over.
        start_grant: Of memory by an older process; None if the memory of this process is not measured.
    """

    def __init__(self, config: Config, stop: asyncio.Event, start_grant: StartGrant | None = None) -> None:
        self.parts = GatewayParts(config, lambda message: self.upgrade.handover.send(message))
        self.trail = AuditTrail(self.parts)
        self.overrides = OverrideSet(self.parts, self.trail)
        self.persistence = self._make_persistence()
        self.intake = ClientIntake(self.parts)
        self.fleet = OptionalFleet(self.parts, self._make_membership)
        self.memory = MemorySharing(self.parts, start_grant) if start_grant is not None else None
        self.upgrade = ProcessUpgrade(self.parts, self.fleet, self.persistence, self.memory, stop)
        self.status = ServiceStatus(self.parts, self.trail, self.persistence, self.fleet, self.upgrade)
        override_calls = OverrideCalls(self.parts, self.overrides, self.persistence, self.fleet)
        routes = operator_routes(self.status, override_calls, self.intake)
        self.operators = OperatorServer(routes, self.parts.descriptors)
        self.reload = ConfigReload(self.parts, self.trail, self.fleet)
        self.drain = FinalDrain(self.parts, self.trail, self.fleet)
        self.parts.driver.report.connection_counts = self.status.report_counts

    def _make_persistence(self) -> StatePersistence | None:
        """Return what restores and stores the state on disk; None if the configuration has no `state`."""
        parts = self.parts
        config = parts.config
        if config.state_folder is None:
            return None
        from switchline.state.persistence import StatePersistence

        persistence = StatePersistence(
            config.state_folder, config.name, parts.driver, parts.discovery, self.overrides.by_kind
        )
        self.overrides.persist = persistence.save_override
        if config.last_known_list:
            persistence.save_list(config.last_known_list)
        return persistence

    def _make_membership(self) -> FleetMembership:
        """Import the modules of the fleet and return a membership."""
        from switchline.fleet_runtime.membership import FleetMembership

        return FleetMembership(
            self.parts,
            self.trail,
            self.overrides,
            self.intake,
            self.persistence,
            took_over=lambda: self.upgrade.took_over,
        )

    async def load(self) -> None:
        """Begin the audit and read the state on disk, which may have a newer list than the configuration."""
        self.trail.begin()
        if self.persistence is not None:
            await self.persistence.load()
            self.fleet.prepare_recovery()

    async def open(self) -> int:
        """Begin to serve; return the port.

        Raises:
            ListenError: The address could not be had within `LISTEN_TIMEOUT_S`.
        """
        await self._wait_for_first_list()
        await self.upgrade.handover.take_over()
        took_over = self.upgrade.took_over
        await self._recover(took_over)
        gc.collect()
        gc.freeze()  # objects made so far stay: later collections skip them, which makes their pauses shorter
        if self.memory is not None:
            await self.memory.start()
        port = await self._listen()
        # In the same turn of the event loop: an older process must not accept clients beside this one.
        self.upgrade.request_hand_over()
        log.info(log_events.SERVING, self.parts.config.name, self.parts.config.listen[0], port)
        if self.persistence is not None and took_over:
            self.persistence.acquire_folder()
        await self.upgrade.listen()
        await self.fleet.join()
        return port

    async def _wait_for_first_list(self) -> None:
        """Wait for a newer list: backends may have been added or removed since the last known one."""
        discovery = self.parts.discovery
        if discovery.first_delay_s > FIRST_LIST_TIMEOUT_S:
            return  # discovery is not called before the timeout
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await discovery.first_list_accepted.wait()
        except TimeoutError:
            log.info(log_events.NO_FIRST_LIST, FIRST_LIST_TIMEOUT_S)

    async def _recover(self, took_over: bool) -> None:
        """Restore state from the fleet and the disk, and open the operators' address."""
        await self.fleet.query_before_clients(took_over)
        fleet_recovery = self.fleet.recovery
        if self.persistence is not None:
            is_current = fleet_recovery is None or not fleet_recovery.verdict.has_old_disk
            await self.persistence.restore(took_over, is_current)
        if self.parts.config.operator is not None:
            self.operators.listen_soon(self.parts.config.operator)
        if fleet_recovery is not None and not took_over:
            await fleet_recovery.catch_up()

    async def _listen(self) -> int:
        address = self.parts.config.listen
        listener = inherited_listener() or await listen_with_retries(address, BACKLOG, LISTEN_TIMEOUT_S)
        return self.parts.clients.listen(listener)

    def close(self) -> None:
        """Close all parts; a fault in closing one does not keep the others open."""
        guard = self.parts.guard
        self.upgrade.stop_tasks()
        guard.call("leaving the fleet", self.fleet.leave, False)
        self.upgrade.close()
        if self.memory is not None:
            guard.call("closing the socket for memory", self.memory.close)
        guard.call("closing the operators' address", self.operators.close)
        self.parts.close_clients()
        self.parts.close_upstreams()
        if self.persistence is not None:
            guard.call("closing the state on disk", self.persistence.close)
        self.trail.close()
        guard.call("closing the spare descriptor", self.parts.descriptors.close)
