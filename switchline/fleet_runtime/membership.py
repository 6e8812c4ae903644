"""The membership of this gateway in its fleet: connects the gossip to the parts that take part in it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from switchline.clock import now_ms
from switchline.config import FleetConfig
from switchline.fleet.fact_kinds import FLEET_WIDE
from switchline.fleet.messages import Entry, Exchange
from switchline.fleet_runtime.incarnation import next_incarnation
from switchline.fleet_runtime.own_facts import OwnFacts
from switchline.fleet_runtime.status import describe_fleet, gossip_gauges
from switchline.fleet_runtime.transport import GossipTransport, PublishedFact
from switchline.fleet_runtime.version_watch import DivergenceWatch, QuarantineControl
from switchline.operators.fleet_calls import FleetCalls
from switchline.service.audit_trail import AuditTrail
from switchline.service.calls.overrides import OverrideSet
from switchline.service.drain import ClientIntake
from switchline.service.parts import GatewayParts
from switchline.zones.coordination import ZoneCoordinator

if TYPE_CHECKING:
    from switchline.fleet_runtime.list_repair import ListRepair
    from switchline.fleet_runtime.recovery.coordinator import FleetRecovery
    from switchline.state.persistence import StatePersistence


@dataclass(frozen=True, slots=True)
class ActiveMember:
    """The parts that exist only while this gateway is a member."""

    transport: GossipTransport
    calls: FleetCalls
    zones: ZoneCoordinator
    divergence: DivergenceWatch
    quarantine: QuarantineControl


class FleetMembership:
    """Owns the gossip transport, and the parts that take part in the gossip."""

    def __init__(
        self,
        parts: GatewayParts,
        trail: AuditTrail,
        overrides: OverrideSet,
        intake: ClientIntake,
        state: StatePersistence | None,
        took_over: Callable[[], bool],
    ) -> None:
        """Create the parts that exist without membership.

        Args:
            parts: The parts of the gateway.
            trail: Records versions and changes in the audit.
            overrides: The overrides that operators set at this gateway.
            intake: Opens and closes this gateway for clients.
            state: The state on disk; None without one.
            took_over: Returns whether this process has taken over from an older one (an upgrade).
        """
        self.parts = parts
        self.trail = trail
        self.overrides = overrides
        self.intake = intake
        self.state = state
        self.took_over = took_over
        self.own_facts = OwnFacts(parts, trail, overrides)
        self.member: ActiveMember | None = None
        self.recovery: FleetRecovery | None = None
        self.list_repair: ListRepair | None = None

    @property
    def calls(self) -> FleetCalls | None:
        """Operators' calls for the whole fleet; None while this gateway is not a member."""
        return self.member.calls if self.member is not None else None

    def prepare_recovery(self) -> None:
        """Create the recovery from other gateways and the list repair, if there is state on disk."""
        if self.state is None:
            return
        from switchline.fleet_runtime.list_repair import ListRepair
        from switchline.fleet_runtime.recovery.coordinator import FleetRecovery

        parts = self.parts
        settings = parts.config.settings
        self.recovery = FleetRecovery(
            self.overrides.by_kind, self.state, parts.driver, parts.discovery, settings.index
        )
        rng = random.Random(f"{parts.config.seed} level")
        self.list_repair = ListRepair(parts.driver, parts.discovery, self.state, rng)
        self.recovery.set_record(self.trail.record)
        self.list_repair.record = self.trail.record

    async def query_before_clients(self, took_over: bool) -> None:
        """Before clients are accepted, ask the other gateways for overrides and their newest list.

        A process that takes over from an older one recovers nothing.
        """
        if self.recovery is None:
            return
        if took_over:
            self.recovery.skip()  # the older process still has this gateway's name in the fleet
            return
        await self.join()
        if self.member is not None:
            await self.recovery.query(self.member.transport)

    async def join(self) -> None:
        """Become a member of the configured fleet, unless this gateway is one already."""
        fleet_config = self.parts.config.fleet
        if fleet_config is None or self.member is not None:
            return
        self.member = self._make_member(fleet_config)
        await self.member.transport.open()

    def _make_member(self, fleet_config: FleetConfig) -> ActiveMember:
        config = self.parts.config
        rng = random.Random(f"{config.seed} line")
        incarnation = next_incarnation(config.state_folder, rng)
        transport = GossipTransport(config.name, fleet_config, incarnation, rng, self._facts)
        node = transport.node
        calls = FleetCalls(
            {FLEET_WIDE[kind]: overrides for kind, overrides in self.overrides.by_kind.items()}
        )
        calls.attach(transport)
        if self.recovery is not None:
            self.recovery.attach(transport)
        zones = ZoneCoordinator(self.parts.driver, random.Random(f"{config.seed} zones"))
        zones.record = self.trail.record
        if self.trail.audit is not None:
            self.trail.audit.join_fleet(node.clock, incarnation)
        zones.attach(transport)
        if self.state is not None:
            if not self.took_over():  # otherwise the older process has published newer decisions
                zones.restore(self.state.zone_decisions)
            zones.store_decision = self.state.save_zone_decision
        node.on_fact = self._on_fact
        node.on_answer = self._on_exchange
        transport.on_published = self._tick
        divergence = DivergenceWatch(self.parts, self.trail)
        quarantine = QuarantineControl(
            self.parts, self.trail, self.overrides, self.intake, fleet_config.quarantine_after_s
        )
        return ActiveMember(transport, calls, zones, divergence, quarantine)

    def leave(self, announce: bool) -> None:
        """End the membership.

        With `announce` the other members are notified that the gateway leaves. Without it only this process
        ends, as in an upgrade.
        """
        member = self.member
        self.member = None
        if member is None:
            return
        if announce:
            member.transport.announce_leave()
        member.transport.close()
        member.zones.close()
        member.quarantine.close()

    def is_known_member(self, name: str) -> bool:
        """Return whether a gateway of this name is or was a member."""
        if self.member is None:
            return False
        return name in (self.parts.config.name, *self.member.transport.node.members.others)

    def _facts(self) -> Iterator[PublishedFact]:
        """Yield the facts that this gateway publishes now."""
        yield from self.own_facts.about_gateway()
        if self.recovery is not None:
            yield from self.recovery.facts()
        yield from self.own_facts.about_overrides()

    def _tick(self) -> None:
        """Run the periodic work of all parts; called each time after this gateway's facts were published."""
        member = self.member
        if member is not None:
            member.calls.tick()
        if self.recovery is not None:
            self.recovery.tick()
        takes_clients = self.parts.clients.takes_clients
        if member is not None:
            node = member.transport.node
            member.divergence.tick(node)
            if self.list_repair is not None and (takes_clients or member.quarantine.is_quarantined):
                self.list_repair.tick(node)
                member.quarantine.tick(node, self.list_repair)
        self.trail.record("ready", "", "yes" if self.parts.clients.takes_clients else "no")

    def _on_fact(self, entry: Entry) -> None:
        """Pass a new fact to the parts that need it."""
        if self.member is not None:
            self.member.calls.on_fact(entry)
            self.member.zones.on_fact(entry)

    def _on_exchange(self, exchange: Exchange) -> None:
        """Pass the answer of another gateway, with a list or quotas, to the parts that asked for it."""
        if self.recovery is not None:
            self.recovery.on_exchange(exchange)
        if self.list_repair is not None:
            self.list_repair.on_exchange(exchange)

    def gauges(self) -> dict[str, int]:
        """Return metrics of the gossip and of all parts that take part in it."""
        member = self.member
        gauges = gossip_gauges(member.transport.node) if member is not None else {}
        gauges |= self.recovery.gauges() if self.recovery is not None else {}
        gauges |= self.list_repair.gauges() if self.list_repair is not None else {}
        if member is not None:
            gauges |= member.zones.gauges() | member.divergence.gauges() | member.quarantine.gauges()
        return gauges

    def describe(self) -> dict[str, object] | None:
        """Return the answer to `GET /ops/fleet`; None while this gateway is not a member."""
        member = self.member
        if member is None:
            return None
        transport = member.transport
        fleet = transport.fleet_config.name
        described = describe_fleet(transport.node, fleet, self.parts.loop.time(), now_ms())
        if self.recovery is not None:
            described["recovery"] = self.recovery.describe()
        described["zones"] = member.zones.describe()
        return described
