"""Joins the fleet's decisions on zones with the running gateway.

`ZoneAgreement` decides with the other gateways; the policy follows its directives (`ZoneDirective`). Imported
only with the configuration's table `fleet`; idle unless the endpoint list names several zones.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from switchline.audit.recorder import AuditCallback
from switchline.clock import now_ms
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.messages import Entry
from switchline.fleet_runtime.transport import GossipTransport
from switchline.policy import Gateway, gateway_status
from switchline.policy import interface as api
from switchline.service.driver import Driver, zone_metric_name
from switchline.zones.agreement import ZoneAgreement
from switchline.zones.decision import NO_DIRECTIVE, Directive, Row, ZoneState, decision_name, from_row, to_row
from switchline.zones.ramp import backend_range
from switchline.zones.reports import BACKEND_ID_DIGITS, LocalObservation
from switchline.zones.returning import SlowStart

log = logging.getLogger(__name__)

URGENT_EVALUATION_INTERVAL_S = 0.05  # between two evaluations after a loss here, or an urgent fact
EVALUATION_INTERVAL_S = 0.25  # between two evaluations else
STATE_GAUGES = {ZoneState.UP: 0, ZoneState.RETURNING: 1, ZoneState.LEFT: 2}  # as the policy's own gauge


class ZoneCoordinator:
    """Owns this gateway's part in the fleet's decisions on zones, and the timer of its evaluations."""

    def __init__(self, driver: Driver, rng: random.Random) -> None:
        settings = driver.settings
        slow_start = SlowStart(settings.rules.start_capacity, settings.rules.warm_up_ms / 1000)
        self.driver = driver
        self.agreement = ZoneAgreement(settings.zone, settings.index, settings.gateways, slow_start, rng)
        self.peers: GossipTransport | None = None
        self.directives: dict[str, Directive] = {}
        self.record: AuditCallback = lambda kind, of, version, cause: None  # of the audit
        self.store_decision: Callable[[str, Row], None] | None = None  # stores a decision on disk
        self._timer: asyncio.TimerHandle | None = None
        self._losses = 0  # counted by the policy until the last evaluation
        self._urgent = False
        self._evaluated_s = 0.0
        self._logged_versions: dict[str, int] = {}
        self._bound_logged = False

    def attach(self, peers: GossipTransport) -> None:
        """Begin to take part: the fleet link is open, or open anew."""
        self.peers = peers
        if self._timer is None:
            self._run_timer()

    def on_fact(self, entry: Entry) -> None:
        """Take note of a fact that is new here."""
        self._urgent |= self.agreement.is_urgent(entry.kind)
        if entry.kind == FactKind.ZONE_DECISION and self.store_decision is not None:
            self.store_decision(entry.name, to_row(entry))

    def restore(self, rows: Mapping[str, Row]) -> None:
        """Merge decisions from disk at a start; they override none that the others know."""
        for name, row in rows.items():
            entry = from_row(name, row)
            if self.peers is not None and entry is not None:
                self.peers.node.facts.merge(now_ms(), entry)

    def close(self) -> None:
        """Stop: the fleet link is closed, and the gateway's own evidence holds."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.peers = None
        self._follow({})

    def _run_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(URGENT_EVALUATION_INTERVAL_S, self._run_timer)
        now_s = time.monotonic()
        losses = self.driver.gateway.zones.lost_attempts
        due = now_s - self._evaluated_s >= EVALUATION_INTERVAL_S
        if losses != self._losses or self._urgent or due:
            self._losses = losses
            self._urgent = False
            self._evaluated_s = now_s
            self._evaluate(now_s)

    def _evaluate(self, now_s: float) -> None:
        """Publish what was observed, take part in what is decided, and have the policy follow it."""
        gateway = self.driver.gateway
        if self.peers is None or not gateway.zones.is_multi_zone:
            self._follow({})
            return
        observations = observe_zones(gateway, now_ms())
        load_per_s = gateway_status.attempt_rate_per_s(gateway, now_ms())
        self.agreement.regions = gateway.zones.regions
        directives = self.agreement.evaluate(self.peers.node, now_s, now_ms(), observations, load_per_s)
        if self.peers.node.facts.refused["own"] and not self._bound_logged:
            self._bound_logged = True
            log.warning("not all is told to the other gateways: the bound on facts is reached")
        self.peers.flush()
        self._follow(directives)
        self._log_decisions(self.peers)

    def _follow(self, directives: dict[str, Directive]) -> None:
        """Give the policy the directives that have changed."""
        for zone in self.directives.keys() | directives.keys():
            directive = directives.get(zone, NO_DIRECTIVE)
            if directive != self.directives.get(zone):
                self.driver.give(to_policy(zone, directive))
        self.directives = directives

    def _log_decisions(self, peers: GossipTransport) -> None:
        """Log and audit each decision that is new here."""
        facts = peers.node.facts
        observers = self.agreement.zone
        for zone in self.directives:
            version = self.agreement.version(facts, zone)
            if version == self._logged_versions.get(zone, 0):
                continue
            self._logged_versions[zone] = version
            decision = self.agreement.decision(facts, zone)
            step = f", step {decision.step}" if decision.state == ZoneState.RETURNING else ""
            log.warning(
                "the fleet: zone %s is %s%s (version %d, for gateways of %s): %s",
                zone,
                decision.state,
                step,
                version,
                observers,
                decision.reason,
            )
            name = decision_name(observers, zone)
            self.record("zone", name, f"{version} {decision.state}{step}", decision.reason)

    def gauges(self) -> dict[str, int]:
        """Return of each zone the fleet's state, version and step, and this gateway's part of a ramp."""
        found: dict[str, int] = {}
        for zone, view in self.describe().items():
            name = f"fleet.zone.{zone_metric_name(zone)}"
            found[f"{name}.state"] = STATE_GAUGES[view["state"]]
            for key in ("version", "step", "part", "observers"):
                found[f"{name}.{key}"] = view[key]
        return found

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return the view of `GET /ops/fleet`, by zone."""
        if self.peers is None:
            return {}
        facts = self.peers.node.facts
        agreement = self.agreement
        found = {}
        for zone, directive in self.directives.items():
            decision = agreement.decision(facts, zone)
            part = backend_range(decision.parts, agreement.place, agreement.places).width
            found[zone] = {
                "state": decision.state,
                "version": agreement.version(facts, zone),
                "for": agreement.zone,
                "step": decision.step,
                "flaps": decision.flaps,
                "part": round(1000 * part),  # in thousandths
                "rate": round(directive.rate_per_s, 2),  # requests per second
                "observers": sum(name == zone for name, _ in facts.of_kind(FactKind.ZONE_FOLLOWED)),
                "why": decision.reason,
            }
        return found


def observe_zones(gateway: Gateway, now: float) -> dict[str, LocalObservation]:
    """Return what a gateway observes in each zone with usable backends; `now` in milliseconds."""
    return {
        zone: LocalObservation(
            seen.usable_backends,
            _ages_s(seen.lost_backend_ages_ms),
            _ages_s(seen.answering_backend_ages_ms),
            seen.slow_backends,
            seen.warm_ratio,
        )
        for zone, seen in gateway_status.zone_observations(gateway, now).items()
        if seen.usable_backends
    }


def _ages_s(ages_ms: Mapping[int, float]) -> dict[str, float]:
    """Return ages in seconds by the published form of the backends' numbers."""
    return {backend_id(backend): age_ms / 1000 for backend, age_ms in ages_ms.items()}


def backend_id(backend: int) -> str:
    """Return a backend's number as it is published: its last digits, hexadecimal."""
    return f"{backend:0{BACKEND_ID_DIGITS}x}"[-BACKEND_ID_DIGITS:]


def to_policy(zone: str, directive: Directive) -> api.ZoneDirective:
    """Return a directive as the policy takes it, with milliseconds for seconds."""
    return api.ZoneDirective(
        zone=zone,
        state=api.ZoneState(directive.state.value) if directive.state is not None else None,
        rate_per_s=directive.rate_per_s,
        capacity_ratio=directive.capacity_ratio,
        probe_interval_ms=directive.probe_interval_s * 1000,
        range_start=directive.range_start,
        range_width=directive.range_width,
    )
