"""What operators see: readiness, metrics, the fleet, the audit; and what the periodic report shows."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from switchline.operators.calls import Reply
from switchline.service.audit_trail import AuditTrail
from switchline.service.calls.overrides import YES
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts

if TYPE_CHECKING:
    from switchline.state.persistence import StatePersistence

NO_SUCH_PATH = Reply(404, "no such path\n")


class ServiceStatus:
    """Collects the metrics of all parts; owns none of them."""

    def __init__(
        self,
        parts: GatewayParts,
        trail: AuditTrail,
        persistence: StatePersistence | None,
        fleet: OptionalFleet,
    ) -> None:
        self.parts = parts
        self.trail = trail
        self.persistence = persistence
        self.fleet = fleet

    def readiness(self) -> Reply:
        """Whether this process takes clients."""
        return YES if self.parts.clients.takes_clients else Reply(503, "no\n")

    def stats(self) -> Reply:
        """All metrics, as text."""
        driver = self.parts.driver
        gauges = driver.gauges() | self._gauges()
        counts = self.parts.guard.counts() | self._state_counts()
        return Reply(200, self.parts.metrics.render(gauges, driver.zone_metrics(), counts))

    def show_fleet(self) -> Reply:
        """The other gateways as this one sees them."""
        described = self.fleet.describe()
        return Reply(200, json.dumps(described) + "\n") if described is not None else NO_SUCH_PATH

    def show_audit(self) -> Reply:
        """The versions that this process acts on, and its last records."""
        audit = self.trail.audit
        return Reply(200, audit.to_json() + "\n") if audit is not None else NO_SUCH_PATH

    def report_counts(self) -> dict[str, int]:
        """For the periodic report: the connections now, and what became of others since the start."""
        parts = self.parts
        return (
            self._gauges() | parts.metrics.connection_counts() | parts.guard.counts() | self._state_counts()
        )

    def _gauges(self) -> dict[str, int]:
        """Connections by state, descriptors, and the gauges of the optional parts."""
        parts = self.parts
        gauges = parts.clients.gauges() | parts.backends.gauges() | parts.descriptors.gauges()
        if self.persistence is not None:
            gauges |= self.persistence.gauges()
        gauges |= self.fleet.gauges()
        if self.trail.audit is not None:
            gauges |= self.trail.audit.gauges()
        return gauges

    def _state_counts(self) -> dict[str, int]:
        return self.persistence.counts() if self.persistence is not None else {}
