"""The facts that this gateway publishes about itself and about the overrides of its operators."""

from __future__ import annotations

from collections.abc import Iterator

from switchline.fleet_runtime.transport import PublishedFact
from switchline.service.audit_trail import AuditTrail
from switchline.service.calls.overrides import OverrideSet
from switchline.service.parts import GatewayParts

# Of each kind of override only the last so many active and the last so many cleared ones are published.
MAX_PUBLISHED_OVERRIDES = 32


class OwnFacts:
    """Reads the state of other parts each time it is asked for facts, and owns no state."""

    def __init__(self, parts: GatewayParts, trail: AuditTrail, overrides: OverrideSet) -> None:
        self.parts = parts
        self.trail = trail
        self.overrides = overrides

    def about_gateway(self) -> Iterator[PublishedFact]:
        """Yield the facts about where this gateway is, its versions and whether it accepts clients."""
        config = self.parts.config
        settings = config.settings
        regions = dict(settings.regions)
        yield PublishedFact("zone", "", settings.zone)
        yield PublishedFact("region", "", regions.get(settings.zone, ""))
        yield PublishedFact("release", "", config.release)
        yield PublishedFact("config", "", config.digest)
        yield PublishedFact("list", "", str(self.parts.discovery.version))
        yield PublishedFact("ready", "", "yes" if self.parts.clients.takes_clients else "no")
        yield PublishedFact("index", "", str(settings.index))
        audit = self.trail.audit
        if audit is not None and audit.is_writable:
            yield PublishedFact("audit", "", f"{audit.head.number} {audit.head.digest}")

    def about_overrides(self) -> Iterator[PublishedFact]:
        """Yield the overrides that operators have set here, and those that they have cleared lately."""
        for kind, overrides in self.overrides.by_kind.items():
            for name, at_ms in list(overrides.active.items())[-MAX_PUBLISHED_OVERRIDES:]:
                yield PublishedFact(kind, name, "down", at_ms)
            for name, at_ms in list(overrides.cleared.items())[-MAX_PUBLISHED_OVERRIDES:]:
                yield PublishedFact(kind, name, "up", at_ms)
