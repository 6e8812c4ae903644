"""A connection pool over loopback servers, and attempts that record how they ended."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from switchline.backends.attempt import Attempt
from switchline.backends.pool import BackendPool
from switchline.clock import Timers, now_ms
from switchline.net.descriptors import Budget
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics
from switchline.policy.interface import BackendState, Outcome
from testbed.network.sockets import LOCAL, Server, encode
from testbed.stand_ins.single_gateway import request


@asynccontextmanager
async def running_pool(*servers: Server, **arguments: Any) -> AsyncIterator[BackendPool]:
    loop = asyncio.get_running_loop()
    defaults: dict[str, Any] = dict(
        connect_timeout_ms=250,
        keepalive_ms=15_000,
        budget=Budget(1024),
        metrics=Metrics([]),
        buffer_budget=BufferBudget(2**26),
    )
    pool = BackendPool(loop, Timers(loop), **{**defaults, **arguments})
    for number, server in enumerate(servers):
        await server.start()
        pool.update(number, (LOCAL, server.port), BackendState.READY)
    try:
        yield pool
    finally:
        pool.close()
        for server in servers:
            await server.stop()


class RecordedAttempt:
    """An attempt that is sent at once and records how it ended."""

    def __init__(
        self,
        pool: BackendPool,
        backend: int = 0,
        wait_ms: float = 3000,
        body: bytes = b"",
        id: bytes = b"9b1f03aa5c7e2d41",
    ) -> None:
        self.endings: list[tuple[Outcome, bytes]] = []
        self.has_ended = asyncio.Event()
        expires_at_ms = now_ms() + wait_ms
        self.reason_not_to_send: Outcome | None = None  # what the attempt's check before sending returns
        self.written = False  # whether the last byte was sent
        arguments = (
            self.encode,
            expires_at_ms,
            self.on_ended,
            self.on_written,
            lambda *_: None,
            lambda _: self.reason_not_to_send,
        )
        self.attempt = Attempt(backend, *arguments)
        self.body, self.id = body, id
        pool.send(self.attempt)

    def encode(self, wait_ms: int) -> bytes:
        return encode(*request(self.id, wait=wait_ms, body=self.body))

    def on_written(self, attempt: Attempt) -> None:
        self.written = True

    def on_ended(self, attempt: Attempt, outcome: Outcome, value: bytes) -> None:
        self.endings.append((outcome, value))
        self.has_ended.set()

    async def result(self) -> tuple[Outcome, bytes]:
        await self.has_ended.wait()
        (ending,) = self.endings
        return ending
