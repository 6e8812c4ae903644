"""Customers' spending after a start: what the nearest gateways know, where the own disk is lost or old."""

from __future__ import annotations

import asyncio
import logging
import time

from switchline import log_events
from switchline.clock import now_ms
from switchline.config import Address
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.messages import MAX_QUOTAS, Exchange, RemainingQuota, Wanted
from switchline.policy import gateway_status
from switchline.policy import interface as api
from switchline.service.driver import Driver

log = logging.getLogger(__name__)

TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.15
REQUESTS_AT_ONCE = 2
NEAREST = 6  # as the gateways of one customer are neighbours


class SpendingRecovery:
    """Owns which gateways are asked for spending and have not answered."""

    def __init__(self, driver: Driver, index: int) -> None:
        """`index`: this gateway's place among all."""
        self.driver = driver
        self.index = index
        self.waiting_for: set[str] = set()
        self.customers = 0  # whose spending came from others
        self.can_answer = False  # not while this gateway asks itself

    def known_quotas(self) -> list[RemainingQuota] | None:
        """What is spent of quotas, for a gateway that asks; None while it is not known here."""
        if not self.can_answer:
            return None
        reports = gateway_status.quota_reports(self.driver.gateway, now_ms(), MAX_QUOTAS)
        return [
            RemainingQuota(one.customer, one.plan, one.even_share, one.remaining_units) for one in reports
        ]

    async def request_from_nearest(self, node: ProtocolEndpoint) -> None:
        """Ask the nearest gateways until all have answered, `TIMEOUT_S` at most."""
        ends_s = time.monotonic() + TIMEOUT_S
        next_request_s = 0.0
        node.wants = Wanted.QUOTAS
        addresses = self._nearest(node)
        self.waiting_for = set(addresses)
        while self.waiting_for and time.monotonic() < ends_s:
            if time.monotonic() >= next_request_s:
                next_request_s = time.monotonic() + REQUEST_INTERVAL_S
                node.exchange_with([addresses[name] for name in sorted(self.waiting_for)][:REQUESTS_AT_ONCE])
            await asyncio.sleep(POLL_INTERVAL_S)
        node.wants = Wanted.NOTHING
        log.info(log_events.SPENDING_RECEIVED, self.customers)
        if self.waiting_for:
            log.info(log_events.SPENDING_MISSING, ", ".join(sorted(self.waiting_for)))

    def _nearest(self, node: ProtocolEndpoint) -> dict[str, Address]:
        """Names and addresses of the gateways whose places are nearest, around the ring of all."""
        places = max(1, self.driver.settings.gateways)
        found = []
        for origin, member in node.members.present.items():
            if (place := node.facts.place(origin)) is not None:
                apart = (place - self.index) % places
                found.append((min(apart, places - apart), origin, member.address))
        return {origin: address for _, origin, address in sorted(found)[:NEAREST]}

    def on_exchange(self, exchange: Exchange) -> None:
        """An answer of a gateway that was asked; reports out of range are dropped by the policy."""
        if exchange.remaining_quotas is None or exchange.sender not in self.waiting_for:
            return
        self.waiting_for.discard(exchange.sender)
        for one in exchange.remaining_quotas:
            self.driver.dispatch(
                api.GatewayQuotaReport(one.key, one.plan, one.even_share, one.remaining_units)
            )
        self.customers += len(exchange.remaining_quotas)
