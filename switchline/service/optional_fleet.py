"""The gateway's membership of a fleet, if the configuration has the table `fleet`.

Without that table nothing of `switchline.fleet` or `switchline.fleet_runtime` is imported.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from switchline.service.parts import GatewayParts

if TYPE_CHECKING:
    from switchline.fleet_runtime.membership import FleetMembership
    from switchline.fleet_runtime.recovery.coordinator import FleetRecovery
    from switchline.operators.fleet_calls import FleetCalls


class OptionalFleet:
    """Owns the membership from the first configuration that names a fleet on."""

    def __init__(self, parts: GatewayParts, make: Callable[[], FleetMembership]) -> None:
        """`make` imports and creates the membership."""
        self.parts = parts
        self.make = make
        self.membership: FleetMembership | None = None

    @property
    def recovery(self) -> FleetRecovery | None:
        """What is recovered from the other gateways; with `fleet` and `state` at the start."""
        return self.membership.recovery if self.membership is not None else None

    @property
    def calls(self) -> FleetCalls | None:
        """Operators' calls for the whole fleet; None while this gateway is no member."""
        return self.membership.calls if self.membership is not None else None

    def prepare_recovery(self) -> None:
        """Create what recovers from the other gateways, once the state on disk has been read."""
        if self.parts.config.fleet is not None:
            self._membership().prepare_recovery()

    async def query_before_clients(self, took_over: bool) -> None:
        """Ask the other gateways for what a lost or old disk lacks; nothing where there is no recovery."""
        if self.membership is not None:
            await self.membership.query_before_clients(took_over)

    async def join(self) -> None:
        """Become a member, if the configuration names a fleet and this gateway is none yet."""
        if self.parts.config.fleet is not None:
            await self._membership().join()

    def leave(self, announce: bool) -> None:
        """Be a member no more. `announce`: this gateway ends, and not only this process."""
        if self.membership is not None:
            self.membership.leave(announce)

    def is_known_member(self, name: str) -> bool:
        """Whether a gateway of this name is, or was, a member."""
        return self.membership is not None and self.membership.is_known_member(name)

    def gauges(self) -> dict[str, int]:
        """Metrics of the fleet; none without one."""
        return self.membership.gauges() if self.membership is not None else {}

    def describe(self) -> dict[str, object] | None:
        """The fleet as this gateway sees it, for `GET /ops/fleet`; None where it is no member."""
        return self.membership.describe() if self.membership is not None else None

    def _membership(self) -> FleetMembership:
        if self.membership is None:
            self.membership = self.make()
        return self.membership
