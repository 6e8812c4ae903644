"""What operators see: readiness, metrics, the fleet, the audit; and what the periodic report shows."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from switchline.operators.server import Said
from switchline.service.audit_trail import AuditTrail
from switchline.service.calls.overrides import YES
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts

if TYPE_CHECKING:
    from switchline.state.recovery import Recovery

NO_SUCH_PATH = Said(404, "no such path\n")


class ServiceStatus:
    """Collects the metrics of all parts; owns none of them."""

    def __init__(
        self, parts: GatewayParts, trail: AuditTrail, recovery: Recovery | None, fleet: OptionalFleet
    ) -> None:
        self.parts = parts
        self.trail = trail
        self.recovery = recovery
        self.fleet = fleet

    def readiness(self) -> Said:
        """Whether this process takes clients."""
        return YES if self.parts.clients.takes_clients else Said(503, "no\n")

    def stats(self) -> Said:
        """All metrics, as text."""
        driver = self.parts.driver
        gauges = driver.gauges() | self._gauges()
        counts = self.parts.guard.counts() | self._state_counts()
        return Said(200, self.parts.metrics.text(gauges, driver.zones(), counts))

    def show_fleet(self) -> Said:
        """The other gateways as this one sees them."""
        shown = self.fleet.shown()
        return Said(200, json.dumps(shown) + "\n") if shown is not None else NO_SUCH_PATH

    def show_audit(self) -> Said:
        """The versions that this process acts on, and its last records."""
        audit = self.trail.audit
        return Said(200, audit.shown() + "\n") if audit is not None else NO_SUCH_PATH

    def report_counts(self) -> dict[str, int]:
        """For the periodic report: the connections now, and what became of others since the start."""
        parts = self.parts
        return self._gauges() | parts.metrics.connections() | parts.guard.counts() | self._state_counts()

    def _gauges(self) -> dict[str, int]:
        """Connections by state, descriptors, and the gauges of the optional parts."""
        parts = self.parts
        gauges = parts.clients.gauges() | parts.backends.gauges() | parts.descriptors.gauges()
        if self.recovery is not None:
            gauges |= self.recovery.gauges()
        gauges |= self.fleet.gauges()
        if self.trail.audit is not None:
            gauges |= self.trail.audit.gauges()
        return gauges

    def _state_counts(self) -> dict[str, int]:
        return self.recovery.counts() if self.recovery is not None else {}
