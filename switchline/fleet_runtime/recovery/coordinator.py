"""The start of a gateway in a fleet, and the staged return of a fleet that lost power.

Before clients: operators' overrides, the newest list, and, where the own disk is lost or old, what customers
have spent. Then it may turn out that the whole fleet lost power: service returns in stages (`stages.py`).
Each wait is bounded. Only with both `fleet` and `state`. The table of what is trusted is in
docs/recovery.md.
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

QUERY_TIMEOUT_S = 2.0  # a gateway that hears of no other serves after it
ENOUGH_EXCHANGES = 3  # whole states of others: fewer where fewer are there
SETTLE_S = 0.3  # after the last of them: a gateway that started a moment later has published its disk by then
POLL_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.15
OUTAGE_MARGIN_S = 1.0  # by which an outage may have begun earlier than the downtimes tell


class FleetRecovery:
    """Owns the recovery from the other gateways, from the start of the process on."""

    def __init__(
        self,
        overrides: Mapping[str, OperatorOverrides],
        state: StatePersistence,
        driver: Driver,
        discovery: Discovery,
        index: int,
    ) -> None:
        """`index`: this gateway's place among all."""
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
        self.spending = SpendingRecovery(driver, index)
        self.waited_ms = 0
        self._node: ProtocolEndpoint | None = None

    def set_record(self, record: RecordVersion) -> None:
        """Have stages and lists recorded in the audit."""
        self.stages.record = record
        self.backend_list.record = record

    def attach(self, transport: GossipTransport) -> None:
        """The transport is open, or another one is."""
        self._node = transport.node
        self._node.newer_list = self.backend_list.newer_than
        self._node.known_quotas = self.spending.known_quotas

    def facts(self) -> Iterator[PublishedFact]:
        """For a while after the start: how long this gateway was down."""
        down = UNKNOWN_DOWNTIME if math.isnan(self.down_s) else f"{self.down_s:.1f}"
        yield PublishedFact(FactKind.DOWNTIME, "", down if self._started_lately() else None)

    def _started_lately(self) -> bool:
        return time.monotonic() < self.started_lately_until_s

    def skip(self) -> None:
        """Recover nothing: this process takes over from an older one, and only answers the others."""
        self.stages.skip()
        self.spending.can_answer = True
        self.started_lately_until_s = self.began_s
        self.backend_list.trust_discovery(self.began_s)

    async def query(self, transport: GossipTransport) -> None:
        """Before clients are accepted: take over the others' overrides and their newest list."""
        node = transport.node
        node.wants = Wanted.LIST
        node.list_seq = seq_or_no_list(self.discovery.version)
        await self._wait_for_exchanges(node, bool(transport.link.seeds))
        self.overrides.adopt(node, at_start=True)
        self.backend_list.apply_newest()
        self.verdict = self._judge()
        node.wants = Wanted.NOTHING
        self._set_waited()
        log.info(
            log_events.PEERS_QUERIED,
            len(node.exchanged_with),
            self.waited_ms,
            len(self.overrides.adopted),
            self.backend_list.hosts,
        )

    async def _wait_for_exchanges(self, node: ProtocolEndpoint, has_seeds: bool) -> None:
        """Wait until enough of the others have sent their whole state, `QUERY_TIMEOUT_S` at most."""
        next_request_s = self.began_s
        while (left_s := self.began_s + QUERY_TIMEOUT_S - time.monotonic()) > 0:
            others = len(node.members.present)
            if others and len(node.exchanged_with) >= min(ENOUGH_EXCHANGES, others):
                await asyncio.sleep(min(SETTLE_S, left_s))
                return
            if not (others or has_seeds):
                return
            if time.monotonic() >= next_request_s:
                next_request_s = time.monotonic() + REQUEST_INTERVAL_S
                node.exchange_with_some(ENOUGH_EXCHANGES - 1)
            await asyncio.sleep(min(POLL_INTERVAL_S, left_s))

    async def catch_up(self) -> None:
        """Ask for spending, where the own disk is lost or old; then go on to the stage that follows."""
        self.spending.can_answer = True
        if self._node is not None and (math.isnan(self.down_s) or self.verdict.has_old_disk):
            why = (
                "it is older than the others'" if self.verdict.has_old_disk else "it tells of no earlier life"
            )
            self.stages.enter(Stage.SPENDING, f"the disk can't be relied on: {why}")
            await self.spending.request_from_nearest(self._node)
        self.spending.waiting_for.clear()
        self._set_waited()
        if self.verdict.is_common:
            self._begin_warm_up()
        else:
            why = "no outage of the fleet: it joins" if self.verdict.present_gateways > 1 else "alone"
            self.stages.enter(Stage.COMPLETE, why)

    def _set_waited(self) -> None:
        self.waited_ms = round((time.monotonic() - self.began_s) * 1000)

    def on_exchange(self, exchange: Exchange) -> None:
        """Another gateway sent its list, or spending, that was asked for."""
        self.backend_list.offer(exchange.endpoint_list)
        self.spending.on_exchange(exchange)

    def tick(self) -> None:
        """Called now and then: follow the others' overrides, and the stages."""
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
                self.verdict = verdict  # the others started later
                self._begin_warm_up()

    def _judge(self) -> OutageVerdict:
        """Whether the fleet lost power, by what its members publish."""
        if self._node is None:
            return self.verdict
        facts = self._node.facts
        others = [
            decode_downtime(facts.value(FactKind.DOWNTIME, "", name)) for name in self._node.members.present
        ]
        return judge_outage(self.down_s if self._started_lately() else None, others)

    def _begin_warm_up(self) -> None:
        found = self.verdict
        who = (
            f"{found.restarted_gateways} of {found.present_gateways} gateways began lately, "
            f"down for {found.median_downtime_s:.1f} s"
        )
        self.stages.enter(Stage.WARMING_UP, f"the fleet lost power: {who}")
        back_ms = now_ms() - (time.monotonic() - self.began_s) * 1000
        self.driver.dispatch(
            api.FleetOutage(back_ms - (found.median_downtime_s + OUTAGE_MARGIN_S) * 1000, back_ms)
        )

    def gauges(self) -> dict[str, int]:
        """Metrics of the recovery."""
        recovered = len(self.overrides.adopted) + self.backend_list.hosts + self.spending.customers
        return {
            "recovery.stage": int(self.stages.stage),
            "recovery.waiting_for": len(self.spending.waiting_for),
            "recovery.from_disk": self.state.restored,
            "recovery.from_peers": recovered,
            "recovery.withheld": self.driver.recovery_rejections,
            "recovery.waited_ms": self.waited_ms,
        }

    def describe(self) -> dict[str, object]:
        """For `GET /ops/fleet`."""
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
            "hosts": self.backend_list.hosts,
            "customers": self.spending.customers,
            "spoilt": self.backend_list.rejected,
            "held_back": self.backend_list.is_withheld,
            "withheld": self.driver.recovery_rejections,
            "waited_ms": self.waited_ms,
        }
