"""Discovery's stand-in: the agent on a gateway's own machine."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from testbed.network.sockets import LOCAL, Server, reset
from testbed.verdict.records import Records


class Discovery(Server):
    def __init__(self) -> None:
        super().__init__()
        self.requests: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.whole: dict[str, Any] = {"seq": 1, "whole": True, "hosts": []}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split()[1].decode()
        self.requests.append(target)
        if "stream=1" not in target:
            body = json.dumps(self.whole).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body))
            writer.write(body)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        await reader.read()

    def say(self, line: bytes, watch: int = -1) -> None:
        self.watches[watch].write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def change(self, seq: int, *hosts: dict[str, Any], whole: bool = False) -> None:
        self.say(json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode())


def host(name: str, port: int, health: str = "up", born_ms: float = 0) -> dict[str, Any]:
    return {
        "host": name,
        "dial": f"{LOCAL}:{port}",
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


HEARTBEAT_S = 2.0
HISTORY = 4_096  # changes that a watch may ask for; what is older is told as a whole list

Host = dict[str, Any]


class Catalog:
    """What is true of the backends: the list, and its changes by sequence number."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.seq = 1
        self.hosts: dict[str, Host] = {}
        self.changes: deque[tuple[int, list[Host]]] = deque(maxlen=HISTORY)
        self.listeners: list[Callable[[int, list[Host]], None]] = []

    def begin(self, hosts: list[Host]) -> None:
        self.hosts = {host["host"]: host for host in hosts}

    def change(self, name: str, **to: Any) -> None:
        """Change an entry: `health` to `removed` takes it off the list."""
        host = {**self.hosts[name], **to}
        self.seq += 1
        self.hosts[name] = host
        self.changes.append((self.seq, [host]))
        self.records.add("list", seq=self.seq, b=name, health=host["health"], born=host["born_ms"])
        for listener in self.listeners:
            listener(self.seq, [host])

    def now_ms(self) -> float:
        return time.time() * 1000


class Agent(Discovery):
    """Discovery's agent on one gateway's machine: it knows what has been sent to it, and tells that."""

    def __init__(
        self, gateway: str, catalog: Catalog, records: Records, late_s: float, dial: Callable[[str], str]
    ) -> None:
        super().__init__()
        self.gateway, self.catalog, self.records = gateway, catalog, records
        self.late_s, self.dial = late_s, dial
        self.hosts = dict(catalog.hosts)
        self.seq = catalog.seq
        self.changes: deque[tuple[int, list[Host]]] = deque(maxlen=HISTORY)
        self.silent = self.stuck = self.empty = False
        self.held: list[tuple[int, list[Host]]] = []  # what came while it was stuck
        catalog.listeners.append(self.hear)

    def hear(self, seq: int, hosts: list[Host]) -> None:
        asyncio.get_running_loop().call_later(self.late_s, self.take, seq, hosts)

    def take(self, seq: int, hosts: list[Host]) -> None:
        if self.stuck:
            self.held.append((seq, hosts))
            return
        if seq <= self.seq:
            return
        self.seq = seq
        for one in hosts:
            self.hosts[one["host"]] = one
        self.changes.append((seq, hosts))
        if not self.silent:
            for watch in list(self.watches):
                self.write(watch, hosts, False)

    def body(self, seq: int, whole: bool, hosts: list[Host]) -> bytes:
        told = [{**one, "dial": self.dial(one["host"])} for one in hosts]
        return json.dumps({"seq": seq, "whole": whole, "hosts": told}).encode()

    def listed(self) -> list[Host]:
        return [] if self.empty else [h for h in self.hosts.values() if h["health"] != "removed"]

    def write(self, watch: asyncio.StreamWriter, hosts: list[Host], whole: bool) -> None:
        if watch.is_closing():
            return
        line = self.body(self.seq, whole, hosts)
        watch.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
        self.tell(hosts, whole)

    def tell(self, hosts: list[Host], whole: bool) -> None:
        told = {one["host"]: [one["health"], one["born_ms"]] for one in hosts}
        self.records.add("told", g=self.gateway, seq=self.seq, whole=whole, hosts=told)

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split()[1].decode()
        self.requests.append(target)
        del self.requests[:-100]
        while self.silent:
            await asyncio.sleep(0.02)
        if "stream=1" not in target:
            body = self.body(self.seq, True, self.listed())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body))
            writer.write(body)
            self.tell(self.listed(), True)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.begin(writer, int(target.rpartition("index=")[2] or 0))
        self.watches.append(writer)
        closed = asyncio.get_running_loop().create_task(reader.read())
        try:
            while not closed.done():
                await asyncio.wait([closed], timeout=HEARTBEAT_S)
                if not self.silent and not writer.is_closing():
                    writer.write(b"1\r\n\n\r\n")
        finally:
            closed.cancel()
            self.watches.remove(writer)

    def begin(self, watch: asyncio.StreamWriter, index: int) -> None:
        """The first line of a watch: what changed after the version of its caller, or the whole list."""
        if index == self.seq and not self.empty:
            return
        oldest = self.changes[0][0] if self.changes else self.seq + 1
        if self.empty or index > self.seq or index + 1 < oldest:
            self.write(watch, self.listed(), True)
            return
        since: dict[str, Host] = {}
        for seq, hosts in self.changes:
            if seq > index:
                since |= {one["host"]: one for one in hosts}
        self.write(watch, list(since.values()), False)

    # ---- what faults do ----

    def hush(self, on: bool) -> None:
        """Silent: it takes calls and says nothing; after that it tells what came meanwhile."""
        was, self.silent = self.silent, on
        if was and not on:
            for watch in list(self.watches):
                self.write(watch, self.listed(), True)

    def stick(self, on: bool) -> None:
        self.stuck = on
        if not on:
            held, self.held = self.held, []
            for seq, hosts in held:
                self.take(seq, hosts)

    def void(self, on: bool) -> None:
        """It knows of no backend, as one that has lost its memory."""
        self.empty = on
        for watch in list(self.watches):
            self.write(watch, self.listed(), True)

    def break_off(self) -> None:
        for watch in list(self.watches):
            reset(watch.transport)
