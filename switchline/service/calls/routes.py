"""Maps each path of the operators' address to the function that answers it."""

from __future__ import annotations

from functools import partial

from switchline.operators.calls import OperatorCalls, Reply
from switchline.service.calls.overrides import YES, OverrideCalls, OverrideKind
from switchline.service.calls.status import ServiceStatus
from switchline.service.drain import ClientIntake


def operator_routes(status: ServiceStatus, overrides: OverrideCalls, intake: ClientIntake) -> OperatorCalls:
    """Return the operators' calls by path."""

    def start_drain() -> Reply:
        """Drain clients until `/ops/drain/stop`."""
        intake.start_drain()
        return YES

    def stop_drain() -> Reply:
        """Take clients again; the reply is 503 if this process is about to end."""
        return YES if intake.stop_drain() else Reply(503, "this process is about to end\n")

    override = overrides.call
    return OperatorCalls(
        gets={
            "/ops/readiness": status.readiness,
            "/ops/stats": status.stats,
            "/ops/fleet": status.show_fleet,
            "/ops/audit": status.show_audit,
        },
        posts={"/ops/drain/start": start_drain, "/ops/drain/stop": stop_drain},
        id_posts={
            "/ops/backends/down": partial(override, OverrideKind.BACKEND, True),
            "/ops/backends/up": partial(override, OverrideKind.BACKEND, False),
            "/ops/zones/down": partial(override, OverrideKind.ZONE, True),
            "/ops/zones/up": partial(override, OverrideKind.ZONE, False),
            "/ops/fleet/spare": partial(override, OverrideKind.SPARED_GATEWAY, True),
            "/ops/fleet/unspare": partial(override, OverrideKind.SPARED_GATEWAY, False),
            "/ops/fleet/floor": partial(override, OverrideKind.VERSION_FLOOR, True),
            "/ops/fleet/unfloor": partial(override, OverrideKind.VERSION_FLOOR, False),
        },
    )
