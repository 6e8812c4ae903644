"""A client of discovery beside the stand-in that it watches."""

from __future__ import annotations

import asyncio
import random

from switchline.discovery import client as module
from switchline.discovery.endpoint_list import ListedBackend
from switchline.net.descriptors import Budget
from switchline.policy.interface import BackendState, ListScope
from testbed.network.sockets import LOCAL, until
from testbed.stand_ins.agents import Discovery

Reported = list[tuple[ListScope, list[tuple[int, BackendState]]]]


class DiscoveryFixture:
    """Discovery's client at work against a fake, and what it reported."""

    def __init__(self, version: int | None = 41) -> None:
        self.service: Discovery = Discovery()
        self.version, self.reported = version, Reported()

    def record_report(self, scope: ListScope, members: tuple[ListedBackend, ...]) -> None:
        self.reported.append((scope, [(m.entry.backend, m.entry.state) for m in members]))

    async def __aenter__(self) -> DiscoveryFixture:
        await self.service.start()
        address = (LOCAL, self.service.port)
        self.client = module.Discovery(
            address, self.version, self.record_report, random.Random(1), Budget(256)
        )
        self.task = asyncio.create_task(self.client.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.task.cancel()
        await asyncio.wait({self.task})
        await self.service.stop()

    async def wait_for_watches(self, count: int) -> None:
        await until(lambda: len(self.service.watches) >= count)
