"""Applies a changed configuration at SIGHUP, while the gateway runs.

Changes of these take effect at once: the addresses `discovery` and `counter`, `connections` and the limit of
descriptors, `regions`, the table `fleet`, and the deadlines that a drain waits for. All else takes effect at
the next start.
"""

from __future__ import annotations

import asyncio

from switchline.config import Config
from switchline.policy import interface as api
from switchline.service.audit_trail import AuditTrail
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts, own_descriptors


class ConfigReload:
    """Applies new configurations to the running parts."""

    def __init__(self, parts: GatewayParts, trail: AuditTrail, fleet: OptionalFleet) -> None:
        self.parts = parts
        self.trail = trail
        self.fleet = fleet

    async def follow(self, changes: asyncio.Queue[Config]) -> None:
        """Apply the configurations of a queue, without end; a fault in applying one is contained."""
        while True:
            config = await changes.get()
            await self.parts.guard.await_call("a new configuration", self.apply, config)

    async def apply(self, config: Config) -> None:
        """Apply a new configuration to the running parts."""
        parts = self.parts
        previous = parts.config
        parts.descriptors.configured_limit = config.descriptors
        parts.descriptors.shares = config.shares
        if config.settings.regions != previous.settings.regions:
            parts.driver.dispatch(api.RegionsChanged(config.settings.regions))
        parts.config = config
        self.trail.record_config("SIGHUP")
        parts.descriptors.process_descriptors = own_descriptors(config)
        if config.fleet != previous.fleet:
            self.fleet.leave(announce=True)
            await self.fleet.join()
        parts.discovery.move(config.discovery)
        if parts.counter is not None and config.counter is not None:
            parts.counter.move(config.counter)
