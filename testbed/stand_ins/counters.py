"""The counter's stand-in."""

from __future__ import annotations

import asyncio
from collections import Counter as Counts
from collections.abc import Callable

from testbed.network.sockets import Ends, Reply, Script, Server, ends_of, reset
from testbed.scenario import CounterSettings
from testbed.verdict.records import Records


class Counter(Server):
    """Keeps numbers by name; `script` may answer a call otherwise (None: not at all, b"" hangs up)."""

    def __init__(self, script: Script | None = None) -> None:
        super().__init__()
        self.script = script
        self.totals: dict[bytes, float] = {}
        self.got: list[list[bytes]] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            assert line.endswith(b"\r\n")
            words = line.split()
            assert words[0] == b"tally" and len(words) == 4
            self.got.append(words)
            self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
            reply: Reply = b"ok %.3f\r\n" % self.totals[words[1]]
            if self.script is not None:
                reply = await self.script(words)
            if reply == b"":
                return
            if reply:
                writer.write(reply)


CONNECTIONS = 32  # that a gateway may hold; further ones are reset
IDLE_S = 10.0
NAMES_MOST = 1_000_000
LONGEST_LIFE_S = 60.0


class MeteredCounter(Counter):
    """Takes so many calls a second, one after another; crowded, it turns calls away."""

    def __init__(self, given: CounterSettings, records: Records, of: Callable[[Ends], str]) -> None:
        super().__init__()
        self.given, self.records, self.of = given, records, of
        self.free_at = 0.0  # when it has done all that waits
        self.slow, self.silent, self.turns_away = 1.0, False, False
        self.held: Counts[str] = Counts()
        self.lives: dict[bytes, float] = {}
        self.calls: Counts[str] = Counts()  # since the last look, by how they ended

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        gateway = self.of(ends_of(writer))
        self.held[gateway] += 1
        answers: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        sender = asyncio.get_running_loop().create_task(self.answer(answers, writer))
        try:
            if self.held[gateway] > CONNECTIONS:
                return reset(writer.transport)
            while True:
                async with asyncio.timeout(IDLE_S):
                    line = await reader.readline()
                if not line:
                    return
                answers.put_nowait(self.call(line.split()))
        except (TimeoutError, ValueError):
            return
        finally:
            sender.cancel()
            self.held[gateway] -= 1

    def call(self, words: list[bytes]) -> tuple[float, bytes]:
        """When a call's answer is due, and what it is."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if words == [b"ping"]:
            return now, b"pong\r\n"
        if len(words) != 4 or words[0] != b"tally" or len(words[1]) > 64:
            return now, b"error\r\n"
        waiting = max(0.0, self.free_at - now) * self.given.per_s / self.slow
        if self.turns_away or waiting > self.given.queue:
            self.calls["busy"] += 1
            return now, b"busy\r\n"
        self.free_at = max(now, self.free_at) + self.slow / self.given.per_s
        if self.silent:
            self.calls["silent"] += 1
            return float("inf"), b""
        name, amount = words[1], float(words[2])
        if self.lives.get(name, 0.0) <= now:
            self.totals[name] = 0.0
            self.lives[name] = now + min(LONGEST_LIFE_S, float(words[3]) / 1000)
        if len(self.totals) > NAMES_MOST:
            self.forget(now)
        self.totals[name] += amount
        self.calls["ok"] += 1
        return self.free_at + self.given.call_ms * self.slow / 1000, b"ok %.7g\r\n" % self.totals[name]

    def forget(self, now: float) -> None:
        for name in [n for n, ends in self.lives.items() if ends <= now]:
            del self.totals[name], self.lives[name]

    async def answer(self, answers: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter) -> None:
        while True:
            due, reply = await answers.get()
            wait = due - asyncio.get_running_loop().time()
            if wait == float("inf"):
                continue
            if wait > 0:
                await asyncio.sleep(wait)
            writer.write(reply)

    def empty(self) -> None:
        """It comes back with nothing."""
        self.totals.clear()
        self.lives.clear()
