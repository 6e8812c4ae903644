"""The optional audit of versions, as the other parts use it; without an audit, nothing is recorded."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from switchline.clock import now_ms
from switchline.operators.metrics import OutcomeKind
from switchline.policy.quota.lease_sizing import PERIOD_MS
from switchline.service.parts import GatewayParts

if TYPE_CHECKING:
    from switchline.audit.recorder import Audit

# Records, in this order: a kind, its subject, the subject's new version ("" for an act), and the cause.
RecordVersion = Callable[[str, str, str, str], None]

# Recorded as the version of `quota` while quotas are divided by leases from the counter, as they usually are.
LEASED_QUOTA = f"leased, periods of {PERIOD_MS / 1000:.0f} s"


def record_nothing(kind: str, subject: str, version: str, cause: str) -> None:
    """Record nothing; stands in for `AuditTrail.record` where there is no audit."""


class AuditTrail:
    """Owns the audit, which exists if the configuration at the start has `fleet` or `audit`."""

    def __init__(self, parts: GatewayParts) -> None:
        self.parts = parts
        self.audit: Audit | None = None

    def begin(self) -> None:
        """Open the audit if it is configured, and record the versions that this process starts with."""
        config = self.parts.config
        if config.fleet is None and config.audit is None:
            return
        from switchline.audit.recorder import Audit, build_digest
        from switchline.fleet.frames import PROTOCOL_VERSION

        incarnation = int(now_ms()), random.Random(f"{config.seed} audit").getrandbits(40)
        self.audit = Audit(config.name, incarnation, config.audit, self.outcome_counts)
        self.record("program", "", f"{config.release} {build_digest()}", "start")
        self.record("format", "", str(PROTOCOL_VERSION), "start")
        self.record("quota", "", LEASED_QUOTA, "start")
        self.record_config("start")
        self.record_backend_list()
        self.parts.discovery.on_accepted = self.record_backend_list

    def record(self, kind: str, subject: str = "", version: str = "", cause: str = "") -> None:
        """Record a subject's new version, or (with an empty version) an act that follows from a version."""
        if self.audit is not None:
            self.audit.record(kind, subject, version, cause)

    def record_config(self, cause: str) -> None:
        """Record the digest of the configuration in force."""
        self.record("config", "", self.parts.config.digest, cause)

    def record_backend_list(self) -> None:
        """Record the version of the endpoint list in use, with a digest of its backends."""
        if self.audit is None:
            return
        backends = self.parts.driver.gateway.backends.by_id.values()
        listed = sorted((backend.id, backend.is_ready, backend.started_ms) for backend in backends)
        digest = hashlib.blake2b(repr(listed).encode(), digest_size=4).hexdigest()
        version = f"{self.parts.discovery.version} {digest}"
        self.record("list", "", version, f"discovery: {len(listed)} backends")

    def outcome_counts(self) -> dict[str, int]:
        """Return the numbers of requests by outcome and of attempts forwarded, since the start."""
        metrics = self.parts.metrics
        request_counts = metrics.requests.items()
        by_outcome = {
            kind.value: sum(count for (outcome, _), count in request_counts if outcome is kind)
            for kind in OutcomeKind
        }
        return by_outcome | {"forwards": metrics.forwards}

    def close(self) -> None:
        """Close the audit's files; a fault in it is contained."""
        if self.audit is not None:
            self.parts.guard.call("closing the audit", self.audit.close)
