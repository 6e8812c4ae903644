"""The facts that this gateway publishes about itself and about the overrides of its operators."""

from __future__ import annotations

from collections.abc import Iterator

from switchline.fleet_runtime.transport import PublishedFact
from switchline.service.audit_trail import AuditTrail
from switchline.service.calls.overrides import OverrideSet
from switchline.service.parts import GatewayParts

MAX_PUBLISHED_OVERRIDES = 32  # of each kind, set or lately cleared: the last ones


class OwnFacts:
    """Reads the facts anew each time; owns none of what they are about."""

    def __init__(self, parts: GatewayParts, trail: AuditTrail, overrides: OverrideSet) -> None:
        self.parts = parts
        self.trail = trail
        self.overrides = overrides

    def about_gateway(self) -> Iterator[PublishedFact]:
        """Where this gateway is, and which versions it acts on."""
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
        """What is overridden by hand here, and what was until lately."""
        for kind, overrides in self.overrides.by_kind.items():
            for name, at_ms in list(overrides.active.items())[-MAX_PUBLISHED_OVERRIDES:]:
                yield PublishedFact(kind, name, "down", at_ms)
            for name, at_ms in list(overrides.cleared.items())[-MAX_PUBLISHED_OVERRIDES:]:
                yield PublishedFact(kind, name, "up", at_ms)
