"""The start of a gateway in a fleet, and the staged return of a fleet that lost power.

Before it accepts clients, a gateway takes over from the others the overrides of operators and the newest
endpoint list and, if the own disk is lost or old, what customers have spent. If it then turns out that the
whole fleet lost power, service returns in stages (`stages.py`). Each wait has a timeout. The recovery needs
`fleet` and `state` in the configuration. docs/recovery.md has the table of which source is trusted for what.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Iterator, Mapping

from switchline import log_events
from switchline.clock import now_ms
from switchline.discovery.client import Discovery
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.messages import Exchange, Wanted
from switchline.fleet.outage import (
    DOWNTIME_PUBLISHED_S,
    UNKNOWN_DOWNTIME,
    OutageVerdict,
    decode_downtime,
    judge_outage,
)
from switchline.fleet.versions.staleness import seq_or_no_list
from switchline.fleet_runtime.recovery.backend_list import ListRecovery
from switchline.fleet_runtime.recovery.overrides import OverrideRecovery
from switchline.fleet_runtime.recovery.spending import SpendingRecovery
from switchline.fleet_runtime.recovery.stages import Stage, StageTracker
from switchline.fleet_runtime.transport import GossipTransport, PublishedFact
from switchline.operators.overrides import OperatorOverrides
from switchline.policy import interface as api
from switchline.service.audit_trail import RecordVersion
from switchline.service.driver import Driver
from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

QUERY_TIMEOUT_S = 2.0  # a gateway that reaches no other one serves after this
ENOUGH_EXCHANGES = 3  # complete states to wait for, or those of all other gateways if they are fewer
# Delay after the last of these exchanges, in which a gateway that started slightly later publishes what it
# has read from its disk.
SETTLE_DELAY_S = 0.3
POLL_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.15  # time between two requests for exchanges
OUTAGE_MARGIN_S = 1.0  # an outage may have begun earlier than the downtimes say, by at most this


class FleetRecovery:
    """Owns the recovery from the other gateways, from the start of the process on."""

    def __init__(
        self,
        overrides: Mapping[str, OperatorOverrides],
        state: StatePersistence,
        driver: Driver,
        discovery: Discovery,
        place: int,
    ) -> None:
        """`place` is this gateway's place among all gateways."""
        self.state = state
        self.driver = driver
        self.discovery = discovery
        self.began_s = time.monotonic()
        self.down_s = state.downtime_s()
        self.started_lately_until_s = self.began_s + DOWNTIME_PUBLISHED_S
        self.verdict = OutageVerdict(False, False, 0, 1, 0.0)
        self.stages = StageTracker(self.began_s)
        self.overrides = OverrideRecovery(overrides)
        self.backend_list = ListRecovery(state, driver, discovery, self.began_s)
        self.spending = SpendingRecovery(driver, place)
        self.waited_ms = 0
        self._node: ProtocolEndpoint | None = None

    def set_record(self, record: RecordVersion) -> None:
        """Set the function that records stages and lists in the audit."""
        self.stages.record = record
        self.backend_list.record = record

    def attach(self, transport: GossipTransport) -> None:
        """Use this transport, which is new or replaces an earlier one."""
        self._node = transport.node
        self._node.newer_list = self.backend_list.list_newer_than
        self._node.known_quotas = self.spending.known_quotas

    def facts(self) -> Iterator[PublishedFact]:
        """Yield the fact of how long this gateway was down; it is withdrawn some time after the start."""
        downtime = UNKNOWN_DOWNTIME if math.isnan(self.down_s) else f"{self.down_s:.1f}"
        yield PublishedFact(FactKind.DOWNTIME, "", downtime if self._started_lately() else None)

    def _started_lately(self) -> bool:
        return time.monotonic() < self.started_lately_until_s

    def skip(self) -> None:
        """Skip the recovery, as this process takes over from an older one; it only answers other gateways."""
        self.stages.skip()
        self.spending.can_answer = True
        self.started_lately_until_s = self.began_s
        self.backend_list.trust_discovery(self.began_s)

    async def query(self, transport: GossipTransport) -> None:
        """Take over the others' overrides and their newest list, before clients are accepted."""
        node = transport.node
        node.wants = Wanted.LIST
        node.list_seq = seq_or_no_list(self.discovery.version)
        await self._wait_for_exchanges(node, bool(transport.fleet_config.seeds))
        self.overrides.adopt(node, at_start=True)
        self.backend_list.apply_newest()
        self.verdict = self._judge()
        node.wants = Wanted.NOTHING
        self._set_waited_ms()
        log.info(
            log_events.PEERS_QUERIED,
            len(node.exchanged_with),
            self.waited_ms,
            len(self.overrides.adopted),
            self.backend_list.repaired_hosts,
        )

    async def _wait_for_exchanges(self, node: ProtocolEndpoint, has_seeds: bool) -> None:
        """Wait until enough others have sent their complete state, for at most `QUERY_TIMEOUT_S`."""
        next_request_s = self.began_s
        while (left_s := self.began_s + QUERY_TIMEOUT_S - time.monotonic()) > 0:
            other_gateways = len(node.members.present)
            if other_gateways and len(node.exchanged_with) >= min(ENOUGH_EXCHANGES, other_gateways):
                await asyncio.sleep(min(SETTLE_DELAY_S, left_s))
                return
            if not (other_gateways or has_seeds):
                return
            if time.monotonic() >= next_request_s:
                next_request_s = time.monotonic() + REQUEST_INTERVAL_S
                node.exchange_with_some(ENOUGH_EXCHANGES - 1)
            await asyncio.sleep(min(POLL_INTERVAL_S, left_s))

    async def catch_up(self) -> None:
        """Ask others for customers' spending if the own disk is lost or old, then enter the next stage."""
        self.spending.can_answer = True
        if self._node is not None and (math.isnan(self.down_s) or self.verdict.has_old_disk):
            why = (
                "it is older than the others'" if self.verdict.has_old_disk else "it tells of no earlier life"
            )
            self.stages.enter(Stage.SPENDING, f"the disk can't be relied on: {why}")
            await self.spending.request_from_nearest(self._node)
        self.spending.waiting_for.clear()
        self._set_waited_ms()
        if self.verdict.is_common:
            self._begin_warm_up()
        else:
            why = "no outage of the fleet: it joins" if self.verdict.present_gateways > 1 else "alone"
            self.stages.enter(Stage.COMPLETE, why)

    def _set_waited_ms(self) -> None:
        self.waited_ms = round((time.monotonic() - self.began_s) * 1000)

    def on_exchange(self, exchange: Exchange) -> None:
        """Process the list or the remaining quotas that another gateway sent as an answer."""
        self.backend_list.store_peer_list(exchange.endpoint_list)
        self.spending.on_exchange(exchange)

    def tick(self) -> None:
        """Follow the others' overrides, and enter the next stage when it is due; called regularly."""
        now_s = time.monotonic()
        if self._node is not None:
            self.overrides.adopt(self._node)
        self.backend_list.tick(now_s)
        if self.stages.stage is Stage.WARMING_UP:
            if now_ms() >= self.driver.gateway.recovery_ramp.end_ms:
                elapsed_s = self.stages.elapsed_s()
                why = f"the backends have had their slow start, {elapsed_s:.1f} s after"
                self.stages.enter(Stage.COMPLETE, why)
        elif self.stages.stage is Stage.COMPLETE and self._started_lately() and not self.verdict.is_common:
            verdict = self._judge()
            if verdict.is_common:
                self.verdict = verdict  # counts also the gateways that started later
                self._begin_warm_up()

    def _judge(self) -> OutageVerdict:
        """Return whether the fleet lost power, judged by the downtimes that its members publish."""
        if self._node is None:
            return self.verdict
        facts = self._node.facts
        other_downtimes = [
            decode_downtime(facts.value(FactKind.DOWNTIME, "", name)) for name in self._node.members.present
        ]
        return judge_outage(self.down_s if self._started_lately() else None, other_downtimes)

    def _begin_warm_up(self) -> None:
        verdict = self.verdict
        evidence = (
            f"{verdict.restarted_gateways} of {verdict.present_gateways} gateways began lately, "
            f"down for {verdict.median_downtime_s:.1f} s"
        )
        self.stages.enter(Stage.WARMING_UP, f"the fleet lost power: {evidence}")
        began_ms = now_ms() - (time.monotonic() - self.began_s) * 1000
        self.driver.dispatch(
            api.FleetOutage(began_ms - (verdict.median_downtime_s + OUTAGE_MARGIN_S) * 1000, began_ms)
        )

    def gauges(self) -> dict[str, int]:
        """Return metrics of the recovery."""
        recovered = len(self.overrides.adopted) + self.backend_list.repaired_hosts + self.spending.customers
        return {
            "recovery.stage": int(self.stages.stage),
            "recovery.waiting_for": len(self.spending.waiting_for),
            "recovery.from_disk": self.state.restored,
            "recovery.from_peers": recovered,
            "recovery.withheld": self.driver.recovery_rejections,
            "recovery.waited_ms": self.waited_ms,
        }

    def describe(self) -> dict[str, object]:
        """Return the recovery's part of the answer to `GET /ops/fleet`."""
        verdict = self.verdict
        return {
            "stage": self.stages.stage.label,
            "stage_s": round(self.stages.elapsed_s(), 2),
            "common": verdict.is_common,
            "old_disk": verdict.has_old_disk,
            "risen": verdict.restarted_gateways,
            "heard": verdict.present_gateways,
            "down_s": None if math.isnan(self.down_s) else round(self.down_s, 1),
            "waiting_for": sorted(self.spending.waiting_for),
            "from_disk": self.state.restored,
            "bans": len(self.overrides.adopted),
            "hosts": self.backend_list.repaired_hosts,
            "customers": self.spending.customers,
            "spoilt": self.backend_list.rejected_lists,
            "held_back": self.backend_list.is_withheld,
            "withheld": self.driver.recovery_rejections,
            "waited_ms": self.waited_ms,
        }
