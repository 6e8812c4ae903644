"""Stand-ins for discovery: the agent on a gateway's machine, as a scripted server and as a model."""

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
    """Answers every list request with `full_list`; a test writes each line of a watch itself."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.full_list: dict[str, Any] = {"seq": 1, "whole": True, "hosts": []}

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split()[1].decode()
        self.requests.append(target)
        if "stream=1" not in target:
            body = json.dumps(self.full_list).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body))
            writer.write(body)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        await reader.read()

    def send_line(self, line: bytes, watch: int = -1) -> None:
        """Send a line on the watch of an index; by default on the latest one."""
        self.watches[watch].write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def change(self, seq: int, *hosts: dict[str, Any], whole: bool = False) -> None:
        """Send hosts on the latest watch: those that changed, or the whole list."""
        self.send_line(json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode())


def host(name: str, port: int, health: str = "up", born_ms: float = 0) -> dict[str, Any]:
    """Return a host of an endpoint list, in the form in which discovery sends it."""
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
# Changes that are kept for watches; a watch that asks for an older one gets the whole list.
MAX_KEPT_CHANGES = 4_096

Host = dict[str, Any]


class Catalog:
    """The actual endpoint list of a play and its changes by sequence number; all agents follow it."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.seq = 1
        self.hosts: dict[str, Host] = {}
        self.changes: deque[tuple[int, list[Host]]] = deque(maxlen=MAX_KEPT_CHANGES)
        self.listeners: list[Callable[[int, list[Host]], None]] = []

    def set_hosts(self, hosts: list[Host]) -> None:
        """Set the list with which the play starts."""
        self.hosts = {host["host"]: host for host in hosts}

    def change(self, name: str, **values: Any) -> None:
        """Change values of a host's entry; the `health` `removed` takes the host off the list."""
        host = {**self.hosts[name], **values}
        self.seq += 1
        self.hosts[name] = host
        self.changes.append((self.seq, [host]))
        self.records.add("list", seq=self.seq, b=name, health=host["health"], born=host["born_ms"])
        for listener in self.listeners:
            listener(self.seq, [host])

    def now_ms(self) -> float:
        """Return the wall time in milliseconds, as `born_ms` of an entry has it."""
        return time.time() * 1000


class Agent(Discovery):
    """The agent on one gateway's machine: receives the catalog's changes after a delay, and serves them.

    `dial` returns the address that the gateway is to connect to for a host.
    """

    def __init__(
        self, gateway: str, catalog: Catalog, records: Records, delay_s: float, dial: Callable[[str], str]
    ) -> None:
        super().__init__()
        self.gateway, self.catalog, self.records = gateway, catalog, records
        self.delay_s, self.dial = delay_s, dial
        self.hosts = dict(catalog.hosts)
        self.seq = catalog.seq
        self.changes: deque[tuple[int, list[Host]]] = deque(maxlen=MAX_KEPT_CHANGES)
        self.silent = self.stuck = self.empty = False
        self.delayed_changes: list[tuple[int, list[Host]]] = []  # those that came while the agent was stuck
        catalog.listeners.append(self.schedule_receive)

    def schedule_receive(self, seq: int, hosts: list[Host]) -> None:
        """Receive a change of the catalog after the agent's delay."""
        asyncio.get_running_loop().call_later(self.delay_s, self.receive_change, seq, hosts)

    def receive_change(self, seq: int, hosts: list[Host]) -> None:
        """Apply a change and send it on all watches; a stale one is ignored, a stuck agent delays it."""
        if self.stuck:
            self.delayed_changes.append((seq, hosts))
            return
        if seq <= self.seq:
            return
        self.seq = seq
        for host in hosts:
            self.hosts[host["host"]] = host
        self.changes.append((seq, hosts))
        if not self.silent:
            for watch in list(self.watches):
                self.send_hosts(watch, hosts, False)

    def encode_list(self, seq: int, whole: bool, hosts: list[Host]) -> bytes:
        """Return an endpoint list as JSON, with the addresses that this gateway is to connect to."""
        reachable = [{**host, "dial": self.dial(host["host"])} for host in hosts]
        return json.dumps({"seq": seq, "whole": whole, "hosts": reachable}).encode()

    def listed(self) -> list[Host]:
        """Return the hosts of the whole list: none while the agent is empty."""
        return [] if self.empty else [h for h in self.hosts.values() if h["health"] != "removed"]

    def send_hosts(self, watch: asyncio.StreamWriter, hosts: list[Host], whole: bool) -> None:
        """Send hosts on a watch and record that they were sent."""
        if watch.is_closing():
            return
        line = self.encode_list(self.seq, whole, hosts)
        watch.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
        self.record_sent(hosts, whole)

    def record_sent(self, hosts: list[Host], whole: bool) -> None:
        """Record that the gateway was sent these hosts."""
        sent = {host["host"]: [host["health"], host["born_ms"]] for host in hosts}
        self.records.add("told", g=self.gateway, seq=self.seq, whole=whole, hosts=sent)

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split()[1].decode()
        self.requests.append(target)
        del self.requests[:-100]
        while self.silent:
            await asyncio.sleep(0.02)
        if "stream=1" not in target:
            body = self.encode_list(self.seq, True, self.listed())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body))
            writer.write(body)
            self.record_sent(self.listed(), True)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.start_watch(writer, int(target.rpartition("index=")[2] or 0))
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

    def start_watch(self, watch: asyncio.StreamWriter, index: int) -> None:
        """Send the first line of a watch: the changes after the version `index`, or the whole list.

        Nothing is sent to a caller that is up to date. The whole list is sent where the changes after
        `index` are not kept any more, where `index` is newer than the agent's version, and by an empty agent.
        """
        if index == self.seq and not self.empty:
            return
        oldest = self.changes[0][0] if self.changes else self.seq + 1
        if self.empty or index > self.seq or index + 1 < oldest:
            self.send_hosts(watch, self.listed(), True)
            return
        changed: dict[str, Host] = {}
        for seq, hosts in self.changes:
            if seq > index:
                changed |= {host["host"]: host for host in hosts}
        self.send_hosts(watch, list(changed.values()), False)

    # Faults that a scenario brings about.

    def set_silent(self, on: bool) -> None:
        """Start or end silence: a silent agent accepts requests and sends nothing.

        At the end of the silence every watch is sent the whole list.
        """
        was_silent, self.silent = self.silent, on
        if was_silent and not on:
            for watch in list(self.watches):
                self.send_hosts(watch, self.listed(), True)

    def set_stuck(self, on: bool) -> None:
        """Start or end a delay of all changes; at its end those that came meanwhile are received."""
        self.stuck = on
        if not on:
            delayed_changes, self.delayed_changes = self.delayed_changes, []
            for seq, hosts in delayed_changes:
                self.receive_change(seq, hosts)

    def set_empty(self, on: bool) -> None:
        """Serve an empty list, as an agent does that has lost its state; or serve the actual one again."""
        self.empty = on
        for watch in list(self.watches):
            self.send_hosts(watch, self.listed(), True)

    def reset_watches(self) -> None:
        """Reset the connections of all watches."""
        for watch in list(self.watches):
            reset(watch.transport)
