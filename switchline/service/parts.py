"""The parts that every gateway has, whatever its configuration names."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from switchline.backends.pool import BackendPool
from switchline.clients.server import ClientServer
from switchline.clock import Timers
from switchline.config import Config
from switchline.counter.client import Counter
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import ListedBackend, read_list
from switchline.discovery.poll_schedule import poll_spread_s
from switchline.guard import Guard
from switchline.net.descriptors import FLEET_DESCRIPTORS, PROCESS_DESCRIPTORS, STATE_DESCRIPTORS, Budget
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics
from switchline.policy import interface as api
from switchline.service.driver import Driver, DriverParts


def own_descriptors(config: Config) -> int:
    """Return how many descriptors the process itself and the configured optional parts need."""
    state_descriptors = STATE_DESCRIPTORS if config.state else 0
    fleet_descriptors = FLEET_DESCRIPTORS if config.fleet else 0
    return PROCESS_DESCRIPTORS + state_descriptors + fleet_descriptors


class GatewayParts:
    """Creates and closes the parts that every gateway has.

    Args:
        config: The configuration at the start.
        replicate: Sends a record of the policy to the peer process of an upgrade.

    Attributes:
        config: The configuration in force.
    """

    def __init__(self, config: Config, replicate: Callable[[list[Any]], None]) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.guard = Guard()
        self.timers = Timers(self.loop, self.guard)
        self.metrics = Metrics([request_class.name for request_class in config.settings.classes])
        self.buffers = BufferBudget(config.memory_bytes)
        self.descriptors = Budget(config.descriptors, config.shares, own_descriptors(config))
        self.backends = BackendPool(
            self.loop,
            self.timers,
            config.connect_timeout_ms,
            config.keepalive_ms,
            self.descriptors,
            self.metrics,
            self.buffers,
        )
        self.counter = self._make_counter()
        driver_parts = DriverParts(
            self.timers,
            self.backends,
            self.counter,
            self.metrics,
            self.buffers,
            config.max_open,
            replicate,
        )
        self.driver = Driver(config.settings, config.seed, driver_parts)
        self.discovery = self._make_discovery()
        self.clients = ClientServer(
            self.driver.requests, self.descriptors, self.buffers, self.metrics, self.guard
        )

    def _make_counter(self) -> Counter | None:
        config = self.config
        if not config.counter:
            return None
        timeout_ms = config.settings.counter_call_ms
        return Counter(self.loop, self.timers, config.counter, timeout_ms, self.descriptors)

    def _make_discovery(self) -> Discovery:
        """Apply the configured endpoint list, and create the client that follows changes to it."""
        config = self.config
        version = None
        if config.known:
            known = read_list(config.known)
            version = known.version
            self.driver.apply_list(api.ListScope.SAVED, known.members)
        spread_s = (
            poll_spread_s(config.settings.gateways) if config.settings.must_watch_endpoint_list else 0.0
        )
        rng = random.Random(config.seed)
        return Discovery(config.discovery, version, self._on_list, rng, self.descriptors, spread_s)

    def _on_list(self, scope: api.ListScope, members: tuple[ListedBackend, ...]) -> None:
        self.driver.apply_list(scope, members, self.discovery.valid_until_ms)

    def close_clients(self) -> None:
        """Close the connections of clients; a fault in it is contained."""
        self.guard.call("closing clients' connections", self.clients.close)

    def close_upstreams(self) -> None:
        """Close the connections to backends and to the counter; a fault in one does not affect the other."""
        self.guard.call("closing backends' connections", self.backends.close)
        if self.counter is not None:
            self.guard.call("closing the counter's connections", self.counter.close)
