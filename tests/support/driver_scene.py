"""A driver with its parts and one client's connection, without sockets or a process."""

from __future__ import annotations

import asyncio

from helpers import settings

from switchline.backends.pool import BackendPool
from switchline.clients.commands import parse_command
from switchline.clients.connection import ClientConnection
from switchline.clients.server import ClientServer
from switchline.clients.slot import Slot
from switchline.clock import Timers
from switchline.net.descriptors import Budget
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics
from switchline.policy import interface as api
from switchline.service.driver import Driver, DriverParts
from testbed.stand_ins.single_gateway import request


class ScriptedPolicy:
    """A policy that records its events and returns the actions, or raises the error, that a test set."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.actions_by_event: dict[type, list[api.Action] | Exception] = {}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        actions = self.actions_by_event.get(type(event), [])
        if isinstance(actions, Exception):
            raise actions
        return actions

    def events_of(self, kind: type) -> list[api.Event]:
        """Return the recorded events of one type."""
        return [event for event in self.events if type(event) is kind]


class DriverScene:
    """A driver of a `ScriptedPolicy`, with a backend pool and a client's connection, without a counter."""

    def __init__(self, max_open: int = 10) -> None:
        loop = asyncio.get_running_loop()
        timers = Timers(loop)
        policy_settings = settings(max_attempts=2, plans=(api.Plan("free"),))
        self.metrics = Metrics([request_class.name for request_class in policy_settings.classes])
        buffers, budget = BufferBudget(2**26), Budget(256)
        self.backends = BackendPool(loop, timers, 250, 15_000, budget, self.metrics, buffers)
        parts = DriverParts(timers, self.backends, None, self.metrics, buffers, max_open, print)
        self.driver = Driver(policy_settings, 1, parts)
        self.policy = ScriptedPolicy()
        self.driver.gateway = self.policy  # type: ignore[assignment]
        self.connection = ClientConnection(ClientServer(self.driver.requests, budget, buffers, self.metrics))

    def send_request(self, id: bytes = b"r1", wait: int = 3000) -> Slot:
        """Hand the driver a request with a deadline of `wait` milliseconds; return its slot."""
        slot = Slot(self.connection)
        slot.request_id = id.decode()
        self.connection.slots.append(slot)
        self.driver.requests.on_command(parse_command(list(request(id, wait=wait))), slot)
        return slot
