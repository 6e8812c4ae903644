"""Customers' spending after a start: asks the nearest gateways if the own disk is lost or old."""

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

TIMEOUT_S = 1.0  # limits the wait for the answers of all gateways that are asked
POLL_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.15  # time between two rounds of requests
REQUESTS_PER_ROUND = 2
NEAREST_GATEWAYS = 6  # number that is asked; gateways that serve the same customer have neighbouring places


class SpendingRecovery:
    """Owns which gateways were asked for customers' spending and have not answered."""

    def __init__(self, driver: Driver, place: int) -> None:
        """`place` is this gateway's place among all gateways."""
        self.driver = driver
        self.place = place
        self.waiting_for: set[str] = set()
        self.customers = 0  # number of customers whose spending came from other gateways
        self.can_answer = False  # false while this gateway itself may have to ask others

    def known_quotas(self) -> list[RemainingQuota] | None:
        """Return the remaining quotas for a gateway that asks; None while they are not known here."""
        if not self.can_answer:
            return None
        reports = gateway_status.quota_reports(self.driver.gateway, now_ms(), MAX_QUOTAS)
        return [
            RemainingQuota(report.customer, report.plan, report.even_share, report.remaining_units)
            for report in reports
        ]

    async def request_from_nearest(self, node: ProtocolEndpoint) -> None:
        """Ask the nearest gateways until all have answered, for at most `TIMEOUT_S`."""
        deadline_s = time.monotonic() + TIMEOUT_S
        next_request_s = 0.0
        node.wants = Wanted.QUOTAS
        addresses = self._nearest(node)
        self.waiting_for = set(addresses)
        while self.waiting_for and time.monotonic() < deadline_s:
            if time.monotonic() >= next_request_s:
                next_request_s = time.monotonic() + REQUEST_INTERVAL_S
                node.exchange_with(
                    [addresses[name] for name in sorted(self.waiting_for)][:REQUESTS_PER_ROUND]
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        node.wants = Wanted.NOTHING
        log.info(log_events.SPENDING_RECEIVED, self.customers)
        if self.waiting_for:
            log.info(log_events.SPENDING_MISSING, ", ".join(sorted(self.waiting_for)))

    def _nearest(self, node: ProtocolEndpoint) -> dict[str, Address]:
        """Return the addresses, by name, of the gateways with the nearest places.

        The places form a ring: the last one is next to the first.
        """
        places = max(1, self.driver.settings.gateways)
        by_distance = []
        for origin, member in node.members.present.items():
            if (place := node.facts.place(origin)) is not None:
                distance = (place - self.place) % places
                by_distance.append((min(distance, places - distance), origin, member.address))
        return {origin: address for _, origin, address in sorted(by_distance)[:NEAREST_GATEWAYS]}

    def on_exchange(self, exchange: Exchange) -> None:
        """Process the answer of a gateway that was asked; the policy drops reports that are out of range."""
        if exchange.remaining_quotas is None or exchange.sender not in self.waiting_for:
            return
        self.waiting_for.discard(exchange.sender)
        for quota in exchange.remaining_quotas:
            self.driver.dispatch(
                api.GatewayQuotaReport(quota.key, quota.plan, quota.even_share, quota.remaining_units)
            )
        self.customers += len(exchange.remaining_quotas)
