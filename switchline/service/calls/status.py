"""What operators can read (readiness, metrics, fleet, audit), and the counts of the periodic report."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from switchline.operators.calls import Reply
from switchline.service.audit_trail import AuditTrail
from switchline.service.calls.overrides import YES
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts
from switchline.service.upgrade import ProcessUpgrade

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
        upgrade: ProcessUpgrade,
    ) -> None:
        self.parts = parts
        self.trail = trail
        self.persistence = persistence
        self.fleet = fleet
        self.upgrade = upgrade

    def readiness(self) -> Reply:
        """Return yes (200) if new clients reach this process, else no (503)."""
        return YES if self.upgrade.is_ready else Reply(503, "no\n")

    def stats(self) -> Reply:
        """Return all metrics, as text."""
        driver = self.parts.driver
        gauges = driver.gauges() | self._gauges()
        counts = self.parts.guard.counts() | self._state_counts()
        return Reply(200, self.parts.metrics.render(gauges, driver.zone_metrics(), counts))

    def show_fleet(self) -> Reply:
        """Return the other gateways as this one sees them, as JSON."""
        description = self.fleet.describe()
        return Reply(200, json.dumps(description) + "\n") if description is not None else NO_SUCH_PATH

    def show_audit(self) -> Reply:
        """Return the versions in force in this process and its last audit records, as JSON."""
        audit = self.trail.audit
        return Reply(200, audit.to_json() + "\n") if audit is not None else NO_SUCH_PATH

    def report_counts(self) -> dict[str, int]:
        """Return the counts of the periodic report: connections at present, and events since the start."""
        parts = self.parts
        return (
            self._gauges() | parts.metrics.connection_counts() | parts.guard.counts() | self._state_counts()
        )

    def _gauges(self) -> dict[str, int]:
        """Return connections by state, descriptors, and the gauges of the optional parts."""
        parts = self.parts
        gauges = parts.clients.gauges() | parts.backends.gauges() | parts.descriptors.gauges()
        gauges |= parts.buffers.ledger.gauges()
        if self.persistence is not None:
            gauges |= self.persistence.gauges()
        gauges |= self.fleet.gauges()
        if self.trail.audit is not None:
            gauges |= self.trail.audit.gauges()
        return gauges

    def _state_counts(self) -> dict[str, int]:
        return self.persistence.counts() if self.persistence is not None else {}
