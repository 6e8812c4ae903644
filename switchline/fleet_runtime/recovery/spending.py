"""Customers' spending after a start: what the nearest gateways know, where the own disk is lost or old."""

from __future__ import annotations

import asyncio
import logging
import time

from switchline.clock import now_ms
from switchline.config import Address
from switchline.fleet.messages import MOST_SPENT, SPENDING, Exchange, Spent
from switchline.fleet.node import Node
from switchline.policy import gateway_status
from switchline.policy import interface as api
from switchline.service.driver import Driver

log = logging.getLogger(__name__)

TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.15
ASKED_AT_ONCE = 2
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

    def known_here(self) -> list[Spent] | None:
        """What is spent of quotas, for a gateway that asks; None while it is not known here."""
        if not self.can_answer:
            return None
        reports = gateway_status.spending(self.driver.gateway, now_ms(), MOST_SPENT)
        return [Spent(one.customer, one.plan, one.even_share, one.remaining_units) for one in reports]

    async def ask_nearest(self, node: Node) -> None:
        """Ask the nearest gateways until all have answered, `TIMEOUT_S` at most."""
        ends_s = time.monotonic() + TIMEOUT_S
        ask_at_s = 0.0
        node.wants = SPENDING
        addresses = self._nearest(node)
        self.waiting_for = set(addresses)
        while self.waiting_for and time.monotonic() < ends_s:
            if time.monotonic() >= ask_at_s:
                ask_at_s = time.monotonic() + REQUEST_INTERVAL_S
                node.ask_of([addresses[name] for name in sorted(self.waiting_for)][:ASKED_AT_ONCE])
            await asyncio.sleep(POLL_INTERVAL_S)
        node.wants = 0
        log.info("recovery: %d customers' spending came from others", self.customers)
        if self.waiting_for:
            log.info("recovery: no word of spending from %s", ", ".join(sorted(self.waiting_for)))

    def _nearest(self, node: Node) -> dict[str, Address]:
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
        if exchange.spent is None or exchange.sender not in self.waiting_for:
            return
        self.waiting_for.discard(exchange.sender)
        for one in exchange.spent:
            self.driver.give(api.PeerQuotaReport(one.key, one.plan, one.even, one.left))
        self.customers += len(exchange.spent)
