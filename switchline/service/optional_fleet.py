"""The gateway's membership in a fleet, if the configuration has the table `fleet`.

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
    """Owns the membership, which exists from the first configuration on that names a fleet.

    Args:
        parts: Of this gateway.
        make_membership: Imports the modules of the fleet and creates the membership.
    """

    def __init__(self, parts: GatewayParts, make_membership: Callable[[], FleetMembership]) -> None:
        self.parts = parts
        self.make_membership = make_membership
        self.membership: FleetMembership | None = None

    @property
    def recovery(self) -> FleetRecovery | None:
        """The recovery from other gateways; None unless the start's configuration has `fleet` and `state`."""
        return self.membership.recovery if self.membership is not None else None

    @property
    def calls(self) -> FleetCalls | None:
        """Operators' calls for the whole fleet; None while this gateway is no member."""
        return self.membership.calls if self.membership is not None else None

    def prepare_recovery(self) -> None:
        """Create the recovery from other gateways; the state on disk has to be read before."""
        if self.parts.config.fleet is not None:
            self._membership().prepare_recovery()

    async def query_before_clients(self, took_over: bool) -> None:
        """Ask the other gateways for what a lost or old disk lacks; does nothing without a recovery."""
        if self.membership is not None:
            await self.membership.query_before_clients(took_over)

    async def join(self) -> None:
        """Become a member, if the configuration names a fleet and this gateway is not a member yet."""
        if self.parts.config.fleet is not None:
            await self._membership().join()

    def leave(self, announce: bool) -> None:
        """Stop being a member.

        Args:
            announce: Publish that this gateway, and not only this process, leaves.
        """
        if self.membership is not None:
            self.membership.leave(announce)

    def is_known_member(self, name: str) -> bool:
        """Return whether a gateway of this name is, or was, a member."""
        return self.membership is not None and self.membership.is_known_member(name)

    def gauges(self) -> dict[str, int]:
        """Return the metrics of the fleet; empty without a fleet."""
        return self.membership.gauges() if self.membership is not None else {}

    def describe(self) -> dict[str, object] | None:
        """Return the fleet as this gateway sees it, for `GET /ops/fleet`; None if it is not a member."""
        return self.membership.describe() if self.membership is not None else None

    def _membership(self) -> FleetMembership:
        if self.membership is None:
            self.membership = self.make_membership()
        return self.membership
