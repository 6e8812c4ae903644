"""Watches whether this gateway uses the versions that most other gateways have.

`DivergenceWatch` only reports that the configuration or the program differs. `QuarantineControl` takes this
gateway out of service while its endpoint list, or a version below a floor, stays stale and most members grant
the quarantine.
"""

from __future__ import annotations

import logging

from switchline import log_events
from switchline.clock import now_ms
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.versions.quarantine import Quarantine, StalenessView
from switchline.fleet.versions.staleness import VersionDivergence, parse_floors
from switchline.fleet_runtime.list_repair import ListRepair
from switchline.policy import interface as api
from switchline.service.audit_trail import LEASED_QUOTA, AuditTrail
from switchline.service.calls.overrides import OverrideKind, OverrideSet
from switchline.service.drain import ClientIntake
from switchline.service.parts import GatewayParts

log = logging.getLogger(__name__)


class DivergenceWatch:
    """Logs and records when most other gateways have another configuration or program than this one."""

    def __init__(self, parts: GatewayParts, trail: AuditTrail) -> None:
        self.parts = parts
        self.trail = trail
        self.divergence = VersionDivergence()

    def tick(self, node: ProtocolEndpoint) -> None:
        """Compare the own versions with those that the others publish; called regularly."""
        config = self.parts.config
        own_versions = {"config": config.digest, "release": config.release}
        for kind, own in own_versions.items():
            others = [node.facts.value(kind, "", name) for name in node.members.present]
            if self.divergence.update(self.parts.loop.time(), kind, own, others):
                theirs = self.divergence.majority_versions.get(kind)
                comparison = f"most have {theirs}" if theirs else "most have the same now"
                log.warning(log_events.VERSION_DIFFERS, kind, own, comparison)
                self.trail.record("differs" if theirs else "alike", kind, "", comparison)

    def gauges(self) -> dict[str, int]:
        """Return the metric with the number of versions that differ."""
        return {"fleet.differs": len(self.divergence.majority_versions)}


class QuarantineControl:
    """Owns whether this gateway is in quarantine, and which of its versions is stale."""

    def __init__(
        self,
        parts: GatewayParts,
        trail: AuditTrail,
        overrides: OverrideSet,
        intake: ClientIntake,
        quarantine_after_s: float,
    ) -> None:
        """`quarantine_after_s`: how long a version is stale before quarantine is asked for; 0: never."""
        self.parts = parts
        self.trail = trail
        self.overrides = overrides
        self.intake = intake
        self.quarantine_after_s = quarantine_after_s
        self.quarantine: Quarantine | None = None  # None until the first `tick`
        self.stale_kind = ""  # the kind of version that is stale; "" if none is

    @property
    def is_quarantined(self) -> bool:
        """Whether this gateway is in quarantine."""
        return self.quarantine is not None and self.quarantine.is_quarantined

    def tick(self, node: ProtocolEndpoint, list_repair: ListRepair) -> None:
        """Enter or leave quarantine according to the versions and the grants of the other gateways."""
        now_s = self.parts.loop.time()
        if self.quarantine is None:
            self.quarantine = Quarantine(self.quarantine_after_s, now_s)
        quarantine = self.quarantine
        was_quarantined = quarantine.is_quarantined
        view = StalenessView(
            list_repair.own_seq(),
            list_repair.is_stale,
            self.overrides.active_times_ms(OverrideKind.SPARED_GATEWAY),
            parse_floors(self.overrides.active_times_ms(OverrideKind.VERSION_FLOOR)),
        )
        is_quarantined = quarantine.evaluate(node, now_s, now_ms(), view)
        self._set_stale_kind(quarantine.stale_version)
        if is_quarantined == was_quarantined or self.parts.clients.shutting_down:
            return
        event = log_events.QUARANTINE_ENTERED if is_quarantined else log_events.QUARANTINE_LEFT
        log.warning(event, quarantine.reason)
        self.trail.record(
            "shut out" if is_quarantined else "taken back", quarantine.stale_version, "", quarantine.reason
        )
        if is_quarantined:
            self.intake.begin_quarantine()
        else:
            self.intake.end_quarantine()

    def _set_stale_kind(self, kind: str) -> None:
        """Set which version is stale.

        While any version is stale, this gateway spends its even share of quotas instead of leases.
        """
        if kind == self.stale_kind:
            return
        if bool(kind) != bool(self.stale_kind):
            self.parts.driver.dispatch(api.StalenessChanged(bool(kind)))
        self.stale_kind = kind
        if kind:
            self.trail.record("quota", "", "even share", f"its {kind} is behind")
        else:
            self.trail.record("quota", "", LEASED_QUOTA, "level again")

    def gauges(self) -> dict[str, int]:
        """Return the metric that this gateway is in quarantine; empty before the first `tick`."""
        return {"fleet.shut_out": int(self.quarantine.is_quarantined)} if self.quarantine is not None else {}

    def close(self) -> None:
        """End the quarantine, as this gateway leaves the fleet and nobody grants it any more."""
        if self.quarantine is not None:
            if self.quarantine.is_quarantined:
                self.intake.end_quarantine()
            self.quarantine = None
            self._set_stale_kind("")
