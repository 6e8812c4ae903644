"""A driver with its parts and a client's connection, without a process."""

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
    """Stands in for the decision module: keeps the events, and answers each with what a test says."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.actions_by_event: dict[type, list[api.Action] | Exception] = {}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        answer = self.actions_by_event.get(type(event), [])
        if isinstance(answer, Exception):
            raise answer
        return answer

    def events_of(self, kind: type) -> list[api.Event]:
        return [event for event in self.events if type(event) is kind]


class DriverScene:
    def __init__(self, max_open: int = 10) -> None:
        loop = asyncio.get_running_loop()
        timers = Timers(loop)
        given = settings(max_attempts=2, plans=(api.Plan("free"),))
        self.metrics = Metrics([kind.name for kind in given.classes])
        room, budget = BufferBudget(2**26), Budget(256)
        self.backends = BackendPool(loop, timers, 250, 15_000, budget, self.metrics, room)
        parts = DriverParts(timers, self.backends, None, self.metrics, room, max_open, print)
        self.driver = Driver(given, 1, parts)
        self.policy = ScriptedPolicy()
        self.driver.gateway = self.policy  # type: ignore[assignment]
        self.connection = ClientConnection(ClientServer(self.driver.requests, budget, room, self.metrics))

    def send_request(self, id: bytes = b"r1", wait: int = 3000) -> Slot:
        slot = Slot(self.connection)
        slot.request = id.decode()
        self.connection.slots.append(slot)
        self.driver.requests.on_command(parse_command(list(request(id, wait=wait))), slot)
        return slot
