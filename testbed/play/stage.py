"""The stage of a play: gateways with all that is round them, and a link on each path between."""

from __future__ import annotations

import asyncio
import random
import socket
from functools import partial
from pathlib import Path
from typing import Any

from testbed import scenario as given
from testbed import settings
from testbed.network.addresses import LINE, Address, Net
from testbed.network.links import DirectLink, Joint, Paths, TcpLink, UdpLink
from testbed.network.sockets import Ends
from testbed.play.processes import Gateway
from testbed.scenario import Scenario
from testbed.stand_ins.agents import Agent, Catalog, Host
from testbed.stand_ins.backends import ModelBackend, Rack
from testbed.stand_ins.clients import Clients, Front
from testbed.stand_ins.counters import MeteredCounter
from testbed.verdict.records import Records

BACKLOG = 1_024  # of a listening socket that the platform holds
LINE_ROW = 100  # added to a gateway's row: where the others reach it, by links


class Stage:
    """Owns the stand-ins, the links and the gateways of one play."""

    def __init__(self, scenario: Scenario, seed: int, out: Path, records: Records) -> None:
        self.scenario, self.seed, self.records = scenario, seed, records
        self.table = given.timetable(scenario, seed)
        self.chance = random.Random(seed)
        self.secret = out / "secret"
        self.secret.write_text(f"the line's secret of seed {seed}\n")
        self.net = Net()
        self.paths = Paths()
        self.joints: dict[Ends, Joint] = {}  # by the addresses that a stand-in sees
        self.links: list[TcpLink] = []
        self.lines: list[UdpLink] = []
        self.catalog = Catalog(records)
        self.counter = MeteredCounter(scenario.counter, records, lambda ends: self.sender(ends)[0])
        self.racks: dict[str, str] = {}  # of backends
        self.backends = self._backends()
        self.gateways: dict[str, Gateway] = {}
        self.agents: dict[str, Agent] = {}
        self.dials: dict[tuple[str, str], str] = {}
        upgraded = scenario.upgraded
        for index, name in enumerate(scenario.gateway_names):
            made = Gateway(name, index, scenario.zone_of(index), out, self.net, records)
            made.alterations = scenario.fleet.altered.get(name, [])
            made.clock_s = scenario.fleet.clock_s.get(name, 0.0)
            made.has_faulty_machine = name in scenario.on_faulty_machines or bool(made.clock_s)
            made.seed = seed
            for number, fault in enumerate(scenario.faults):
                if isinstance(fault, given.Calls) and fault.from_start:
                    if name in scenario.pick("gateways", fault.gateways):
                        made.machine_faults[number] = fault.machine_faults()
            if name in upgraded:
                made.held = socket.create_server(made.listen, backlog=BACKLOG)
            self.gateways[name] = made
            dial = partial(self.dial, name)
            self.agents[name] = Agent(name, self.catalog, records, scenario.agent_late_s, dial)
        self.front: Front | None = None  # once the play has begun
        # By gateway: the list that its next start is told as last known.
        self.known = {name: (self.catalog.seq, dict(self.catalog.hosts)) for name in self.gateways}

    def _backends(self) -> dict[str, ModelBackend]:
        scenario, hosts = self.scenario, list[Host]()
        racks: dict[str, Rack] = {}
        made: dict[str, ModelBackend] = {}
        for index, name in enumerate(scenario.backend_names):
            zone = scenario.zone_of(index)
            rack = f"{zone}{index // len(scenario.fleet.zones) % scenario.backends.racks}"
            self.racks[name] = rack
            kept = racks.setdefault(rack, Rack())
            model = ModelBackend(name, zone, scenario.backends, kept, self.records, self.sender, self.work_of)
            model.breaks = scenario.backends.breaks.get(name, "")
            made[name] = model
            block = list(racks).index(rack)
            hosts.append(
                {"host": name, "site": zone, "class": "m2", "block": block, "health": "up", "share": 1.0}
                | {"born_ms": 0}
            )
        self.catalog.set_hosts(hosts)
        return made

    def work_of(self, request: str) -> float:
        return self.clients.work_of(request)

    def sender(self, ends: Ends) -> tuple[str, float]:
        """By the addresses that a stand-in sees: the gateway, and when its request began to come."""
        joint = self.joints.get(ends)
        return (joint.path.opener, joint.first_at) if joint is not None else ("", 0.0)

    def dial(self, gateway: str, backend: str) -> str:
        return self.dials[gateway, backend]

    async def join(self) -> None:
        """Start the stand-ins, and a link for each path."""
        lab, net = self.net.lab(), self.net
        await self.counter.start(lab, net.port(lab))
        for backend in self.backends.values():
            await backend.start(lab, net.port(lab))
        direct: dict[str, DirectLink] = {}
        for name, gateway in self.gateways.items():
            for address in (gateway.listen, gateway.operator):
                if address != gateway.listen or gateway.held is None:
                    net.check(address)
            agent = self.agents[name]
            await agent.start(lab, net.port(lab))
            gateway.agent_at = self._link(name, "agents", gateway.host, (lab, agent.port)).address
            gateway.counter_at = self._link(name, "counter", gateway.host, (lab, self.counter.port)).address
            for other, backend in self.backends.items():
                link = self._link(name, other, gateway.host, (lab, backend.port))
                self.dials[name, other] = f"{link.address[0]}:{link.address[1]}"
            direct[name] = DirectLink(self.paths.path("clients", name), gateway.listen, self.chance)
            await self._line(gateway)
        front = self.front = Front(direct, self.scenario, self.records)
        front.answered = self.answered
        customers = given.customers(self.scenario, self.seed)
        self.clients = Clients(self.scenario, self.seed, customers, front, self.records)

    def _link(self, opener: str, other: str, host: str, at: Address) -> TcpLink:
        path = self.paths.path(opener, other)
        address = (host, self.net.port(host))
        link = TcpLink(address, at, lambda _: path, self.chance, self.joints)
        link.own(path)
        link.listen()
        self.links.append(link)
        return link

    async def _line(self, gateway: Gateway) -> None:
        """Where the other gateways reach one, by TCP and UDP: each by the path of the host it comes from."""
        by_host = {other.host: name for name, other in self.gateways.items()}
        row, place = divmod(gateway.index, 200)
        gateway.line_at = (f"127.{self.net.number}.{LINE_ROW + row}.{place + 1}", LINE)
        at, name = gateway.line, gateway.name
        tcp = TcpLink(
            gateway.line_at, at, lambda h: self.paths.path(by_host.get(h, ""), name), self.chance, self.joints
        )
        tcp.listen()
        self.links.append(tcp)
        for other in self.gateways:
            if other != name:
                self.paths.path(other, name).links.append(tcp)

        def route(host: str) -> Any:
            return self.paths.path(by_host[host], name) if host in by_host else None

        line = UdpLink(at, route, self.chance)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: line, local_addr=gateway.line_at)
        self.lines.append(line)

    def config(self, gateway: Gateway) -> dict[str, Any]:
        """What the platform tells a gateway at its start."""
        scenario, fleet = self.scenario, self.scenario.fleet
        seq, hosts = self.known[gateway.name]
        listed = [{**h, "dial": self.dial(gateway.name, h["host"])} for h in hosts.values()]
        own = settings.settings(gateway.index, fleet.gateways, gateway.zone, fleet.zones, fleet.cross_price)
        own["rules"] = own["rules"] | {
            "startCapacity": scenario.backends.start_capacity,
            "warmWithin": scenario.backends.warm_s * 1000,
        }
        made: dict[str, Any] = {
            "name": gateway.name,
            "listen": "{}:{}".format(*gateway.listen),
            "operator": "{}:{}".format(*gateway.operator),
            "discovery": "{}:{}".format(*gateway.agent_at),
            "counter": "{}:{}".format(*gateway.counter_at),
            "seed": f"{self.chance.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": {"seq": seq, "whole": True, "hosts": [h for h in listed if h["health"] != "removed"]},
            "settings": own,
        }
        if fleet.state:
            made["state"] = str(gateway.state)
        if fleet.audit:
            made["audit"] = str(gateway.audit)
        if fleet.line:
            made["fleet"] = {
                "name": "lab",
                "listen": "{}:{}".format(*gateway.line),
                "advertise": "{}:{}".format(*gateway.line_at),
                "seeds": ["{}:{}".format(*g.line_at) for g in list(self.gateways.values())[: fleet.seeds]],
                "secret": str(self.secret),
            }
            if fleet.shut_out_s is not None:
                made["fleet"]["shut_out_s"] = fleet.shut_out_s
        if fleet.regions:
            made["regions"] = fleet.regions
        return made | fleet.extra

    def answered(self, name: str) -> None:
        gateway = self.gateways[name]
        if gateway.awaited and gateway.runs:
            gateway.awaited = False
            self.records.add("life", g=name, life=gateway.life, what="ready")

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start a life, and tell it if it is not ready in its time."""
        gateway.config = partial(self.config, gateway)
        gateway.awaited = True
        await gateway.start()
        life = gateway.life

        def look() -> None:
            if gateway.awaited and gateway.life == life and not gateway.expected:
                gateway.awaited = False
                self.records.add("life", g=gateway.name, life=life, what="unready")

        asyncio.get_running_loop().call_later(self.scenario.fleet.ready_s, look)

    async def close(self) -> None:
        for gateway in self.gateways.values():
            if gateway.held is not None:
                gateway.held.close()
        for link in self.links:
            link.close()
        for line in self.lines:
            line.close()
        for server in (*self.backends.values(), *self.agents.values(), self.counter):
            if server.port:
                await server.stop()
        self.net.close()
