"""Connects the fleet's decisions on zones to the running gateway.

`ZoneAgreement` decides with the other gateways; the policy follows its directives (`ZoneDirective`). It is
imported only if the configuration has the table `fleet`, and idle unless the endpoint list names several
zones.
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
from switchline.zones.decision import (
    NO_DIRECTIVE,
    DecisionRow,
    Directive,
    ZoneState,
    decision_name,
    entry_to_row,
    row_to_entry,
)
from switchline.zones.ramp import backend_range
from switchline.zones.reports import BACKEND_ID_DIGITS, LocalObservation
from switchline.zones.returning import SlowStart

log = logging.getLogger(__name__)

URGENT_EVALUATION_INTERVAL_S = 0.05  # used after a loss at this gateway or an urgent fact
EVALUATION_INTERVAL_S = 0.25  # used after neither of them
STATE_GAUGES = {ZoneState.UP: 0, ZoneState.RETURNING: 1, ZoneState.LEFT: 2}  # as in the policy's gauge


class ZoneCoordinator:
    """Owns this gateway's part in the fleet's decisions on zones, and the timer of its evaluations."""

    def __init__(self, driver: Driver, rng: random.Random) -> None:
        settings = driver.settings
        slow_start = SlowStart(settings.rules.start_capacity, settings.rules.warm_up_ms / 1000)
        self.driver = driver
        self.agreement = ZoneAgreement(settings.zone, settings.index, settings.gateways, slow_start, rng)
        self.peers: GossipTransport | None = None
        self.directives: dict[str, Directive] = {}
        self.record: AuditCallback = lambda kind, of, version, cause: None  # writes an audit record
        self.store_decision: Callable[[str, DecisionRow], None] | None = None  # stores a decision on disk
        self._timer: asyncio.TimerHandle | None = None
        self._losses = 0  # the policy's count of lost attempts at the last evaluation
        self._is_urgent = False
        self._evaluated_at_s = 0.0
        self._logged_versions: dict[str, int] = {}
        self._limit_logged = False

    def attach(self, peers: GossipTransport) -> None:
        """Begin to take part, as the transport to the other gateways is open, or open again."""
        self.peers = peers
        if self._timer is None:
            self._run_timer()

    def on_fact(self, entry: Entry) -> None:
        """Store a new decision, and evaluate early if the fact is urgent."""
        self._is_urgent |= self.agreement.is_urgent(entry.kind)
        if entry.kind == FactKind.ZONE_DECISION and self.store_decision is not None:
            self.store_decision(entry.name, entry_to_row(entry))

    def restore(self, rows: Mapping[str, DecisionRow]) -> None:
        """Merge decisions from disk at a start. Newer ones of other gateways take precedence."""
        for name, row in rows.items():
            entry = row_to_entry(name, row)
            if self.peers is not None and entry is not None:
                self.peers.node.facts.merge(now_ms(), entry)

    def close(self) -> None:
        """Stop taking part. The policy then follows the gateway's own evidence."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.peers = None
        self._follow({})

    def _run_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(URGENT_EVALUATION_INTERVAL_S, self._run_timer)
        now_s = time.monotonic()
        losses = self.driver.gateway.zones.lost_attempts
        is_due = now_s - self._evaluated_at_s >= EVALUATION_INTERVAL_S
        if losses != self._losses or self._is_urgent or is_due:
            self._losses = losses
            self._is_urgent = False
            self._evaluated_at_s = now_s
            self._evaluate(now_s)

    def _evaluate(self, now_s: float) -> None:
        """Publish observations, take part in the decisions, and give the policy its directives."""
        gateway = self.driver.gateway
        if self.peers is None or not gateway.zones.is_multi_zone:
            self._follow({})
            return
        observations = observe_zones(gateway, now_ms())
        load_per_s = gateway_status.attempt_rate_per_s(gateway, now_ms())
        self.agreement.regions = gateway.zones.regions
        directives = self.agreement.evaluate(self.peers.node, now_s, now_ms(), observations, load_per_s)
        if self.peers.node.facts.refused["own"] and not self._limit_logged:
            self._limit_logged = True
            log.warning("some facts are not published to the other gateways: a limit on facts is reached")
        self.peers.flush()
        self._follow(directives)
        self._log_decisions(self.peers)

    def _follow(self, directives: dict[str, Directive]) -> None:
        """Give the policy the directives that have changed."""
        for zone in self.directives.keys() | directives.keys():
            directive = directives.get(zone, NO_DIRECTIVE)
            if directive != self.directives.get(zone):
                self.driver.dispatch(to_policy(zone, directive))
        self.directives = directives

    def _log_decisions(self, peers: GossipTransport) -> None:
        """Log and audit each decision whose version is new to this gateway."""
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
        """Return gauges by zone: the fleet's state, version, step and observers, and this gateway's share."""
        gauges: dict[str, int] = {}
        for zone, view in self.describe().items():
            name = f"fleet.zone.{zone_metric_name(zone)}"
            gauges[f"{name}.state"] = STATE_GAUGES[view["state"]]
            for key in ("version", "step", "part", "observers"):
                gauges[f"{name}.{key}"] = view[key]
        return gauges

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return the decisions by zone, as `GET /ops/fleet` shows them."""
        if self.peers is None:
            return {}
        facts = self.peers.node.facts
        agreement = self.agreement
        described = {}
        for zone, directive in self.directives.items():
            decision = agreement.decision(facts, zone)
            share = backend_range(decision.weights, agreement.place, agreement.places).width
            described[zone] = {
                "state": decision.state,
                "version": agreement.version(facts, zone),
                "for": agreement.zone,
                "step": decision.step,
                "flaps": decision.flaps,
                "part": round(1000 * share),  # this gateway's share of the backends, in thousandths
                "rate": round(directive.rate_per_s, 2),  # requests per second
                "observers": sum(name == zone for name, _ in facts.of_kind(FactKind.ZONE_FOLLOWED)),
                "why": decision.reason,
            }
        return described


def observe_zones(gateway: Gateway, now: float) -> dict[str, LocalObservation]:
    """Return what a gateway observes in each zone with usable backends; `now` is in milliseconds."""
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
    """Return ages in seconds, by the backends' published ids."""
    return {backend_id(backend): age_ms / 1000 for backend, age_ms in ages_ms.items()}


def backend_id(backend: int) -> str:
    """Return a backend's published id: the last `BACKEND_ID_DIGITS` hexadecimal digits of its number."""
    return f"{backend:0{BACKEND_ID_DIGITS}x}"[-BACKEND_ID_DIGITS:]


def to_policy(zone: str, directive: Directive) -> api.ZoneDirective:
    """Return the policy's form of a directive; its probe interval is in milliseconds."""
    return api.ZoneDirective(
        zone=zone,
        state=api.ZoneState(directive.state.value) if directive.state is not None else None,
        rate_per_s=directive.rate_per_s,
        capacity_ratio=directive.capacity_ratio,
        probe_interval_ms=directive.probe_interval_s * 1000,
        range_start=directive.range_start,
        range_width=directive.range_width,
    )
