"""SIGHUP: what a changed configuration changes while the gateway runs.

`discovery` and `counter` (addresses), `connections` and the limit of descriptors, `regions`, and the table
`fleet`. Everything else holds from the next start on, but for the deadlines that a drain waits for.
"""

from __future__ import annotations

import asyncio

from switchline.config import Config
from switchline.policy import interface as api
from switchline.service.audit_trail import AuditTrail
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts, own_descriptors


class ConfigReload:
    """Applies each new configuration to the running parts."""

    def __init__(self, parts: GatewayParts, trail: AuditTrail, fleet: OptionalFleet) -> None:
        self.parts = parts
        self.trail = trail
        self.fleet = fleet

    async def follow(self, changes: asyncio.Queue[Config]) -> None:
        """Apply the configurations of a queue, for ever; a fault with one is contained."""
        while True:
            config = await changes.get()
            await self.parts.guard.await_call("a new configuration", self.apply, config)

    async def apply(self, config: Config) -> None:
        """Act on a new configuration."""
        parts = self.parts
        before = parts.config
        parts.descriptors.configured_limit = config.descriptors
        parts.descriptors.shares = config.shares
        if config.settings.regions != before.settings.regions:
            parts.driver.dispatch(api.RegionsChanged(config.settings.regions))
        parts.config = config
        self.trail.record_config("SIGHUP")
        parts.descriptors.process_descriptors = own_descriptors(config)
        if config.fleet != before.fleet:
            self.fleet.leave(announce=True)
            await self.fleet.join()
        parts.discovery.move(config.discovery)
        if parts.counter is not None and config.counter is not None:
            parts.counter.move(config.counter)
