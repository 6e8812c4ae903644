"""The stage of a play: the gateways, the stand-ins around them, and a link on each path between them."""

from __future__ import annotations

import asyncio
import random
import socket
from functools import partial
from pathlib import Path
from typing import Any

from testbed import scenario as scenarios
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

# Backlog of the listening sockets that gateways inherit.
LISTEN_BACKLOG = 1_024
# Added to the third octet of a gateway's address: the address of the link by which the others reach it.
FLEET_ROW_OFFSET = 100


class Stage:
    """Owns the stand-ins, the links and the gateways of one play.

    Nothing runs until `connect_all` has started the stand-ins and the links.
    """

    def __init__(self, scenario: Scenario, seed: int, out: Path, records: Records) -> None:
        self.scenario, self.seed, self.records = scenario, seed, records
        self.timetable = scenarios.timetable(scenario, seed)
        self.random = random.Random(seed)
        self.secret = out / "secret"
        self.secret.write_text(f"the line's secret of seed {seed}\n")
        self.net = Net()
        self.paths = Paths()
        # Connections of links, by the pair of addresses that a stand-in sees.
        self.joints: dict[Ends, Joint] = {}
        self.tcp_links: list[TcpLink] = []
        self.udp_links: list[UdpLink] = []
        self.catalog = Catalog(records)
        self.counter = MeteredCounter(scenario.counter, records, lambda ends: self.sender_of(ends)[0])
        self.rack_by_backend: dict[str, str] = {}
        self.backends = self._make_backends()
        self.gateways: dict[str, Gateway] = {}
        self.agents: dict[str, Agent] = {}
        # By gateway and backend: the address of the link between them.
        self.dial_addresses: dict[tuple[str, str], str] = {}
        upgraded = scenario.upgraded_gateways
        for index, name in enumerate(scenario.gateway_names):
            gateway = Gateway(name, index, scenario.zone_of(index), out, self.net, records)
            gateway.alterations = scenario.fleet.altered.get(name, [])
            gateway.clock_offset_s = scenario.fleet.clock_s.get(name, 0.0)
            gateway.has_faulty_machine = name in scenario.gateways_on_faulty_machines or bool(
                gateway.clock_offset_s
            )
            gateway.seed = seed
            for number, fault in enumerate(scenario.faults):
                if isinstance(fault, scenarios.Calls) and fault.from_start:
                    if name in scenario.select("gateways", fault.gateways):
                        gateway.machine_faults[number] = fault.machine_faults()
            if name in upgraded:
                gateway.listening_socket = socket.create_server(gateway.listen, backlog=LISTEN_BACKLOG)
            self.gateways[name] = gateway
            dial = partial(self.dial_address, name)
            self.agents[name] = Agent(name, self.catalog, records, scenario.agent_late_s, dial)
        # None until the stage is connected.
        self.front: Front | None = None
        # By gateway: sequence number and hosts of the endpoint list that its next start is configured with.
        self.known_lists = {name: (self.catalog.seq, dict(self.catalog.hosts)) for name in self.gateways}

    def _make_backends(self) -> dict[str, ModelBackend]:
        scenario, hosts = self.scenario, list[Host]()
        racks: dict[str, Rack] = {}
        backends: dict[str, ModelBackend] = {}
        for index, name in enumerate(scenario.backend_names):
            zone = scenario.zone_of(index)
            rack = f"{zone}{index // len(scenario.fleet.zones) % scenario.backends.racks}"
            self.rack_by_backend[name] = rack
            rack_model = racks.setdefault(rack, Rack())
            model = ModelBackend(
                name, zone, scenario.backends, rack_model, self.records, self.sender_of, self.work_of
            )
            model.breaks = scenario.backends.breaks.get(name, "")
            backends[name] = model
            block = list(racks).index(rack)
            hosts.append(
                {"host": name, "site": zone, "class": "m2", "block": block, "health": "up", "share": 1.0}
                | {"born_ms": 0}
            )
        self.catalog.set_hosts(hosts)
        return backends

    def work_of(self, request: str) -> float:
        """Work of a request in ms on a core of speed 1."""
        return self.clients.work_of(request)

    def sender_of(self, ends: Ends) -> tuple[str, float]:
        """The gateway of a connection, and when the first byte of its request arrived; ("", 0.0) if unknown.

        `ends`: the pair of addresses that the stand-in sees.
        """
        joint = self.joints.get(ends)
        return (joint.path.opener, joint.first_at) if joint is not None else ("", 0.0)

    def dial_address(self, gateway: str, backend: str) -> str:
        """HOST:PORT at which a gateway reaches a backend: that of the link between them."""
        return self.dial_addresses[gateway, backend]

    async def connect_all(self) -> None:
        """Start the stand-ins and a link for each path.

        Raises AddressError or OSError if an address is in use.
        """
        stand_in_host, net = self.net.lab(), self.net
        await self.counter.start(stand_in_host, net.port(stand_in_host))
        for backend in self.backends.values():
            await backend.start(stand_in_host, net.port(stand_in_host))
        direct: dict[str, DirectLink] = {}
        for name, gateway in self.gateways.items():
            for address in (gateway.listen, gateway.operator):
                if address != gateway.listen or gateway.listening_socket is None:
                    net.check(address)
            agent = self.agents[name]
            await agent.start(stand_in_host, net.port(stand_in_host))
            gateway.agent_address = self._add_link(
                name, "agents", gateway.host, (stand_in_host, agent.port)
            ).address
            gateway.counter_address = self._add_link(
                name, "counter", gateway.host, (stand_in_host, self.counter.port)
            ).address
            for backend_name, backend in self.backends.items():
                link = self._add_link(name, backend_name, gateway.host, (stand_in_host, backend.port))
                self.dial_addresses[name, backend_name] = f"{link.address[0]}:{link.address[1]}"
            direct[name] = DirectLink(self.paths.path("clients", name), gateway.listen, self.random)
            await self._add_fleet_links(gateway)
        front = self.front = Front(direct, self.scenario, self.records)
        front.answered = self.gateway_answered
        customers = scenarios.customers(self.scenario, self.seed)
        self.clients = Clients(self.scenario, self.seed, customers, front, self.records)

    def _add_link(self, opener: str, other: str, host: str, target: Address) -> TcpLink:
        """Listen on a free port of `host` and forward connections of `opener` to the address of `other`."""
        path = self.paths.path(opener, other)
        address = (host, self.net.port(host))
        link = TcpLink(address, target, lambda _: path, self.random, self.joints)
        link.own(path)
        link.listen()
        self.tcp_links.append(link)
        return link

    async def _add_fleet_links(self, gateway: Gateway) -> None:
        """Add the TCP and UDP links by which the others reach a gateway, each by the path of its own host."""
        name_by_host = {other.host: name for name, other in self.gateways.items()}
        row, column = divmod(gateway.index, 200)
        gateway.fleet_advertise = (f"127.{self.net.number}.{FLEET_ROW_OFFSET + row}.{column + 1}", LINE)
        target, name = gateway.fleet_listen, gateway.name
        tcp = TcpLink(
            gateway.fleet_advertise,
            target,
            lambda host: self.paths.path(name_by_host.get(host, ""), name),
            self.random,
            self.joints,
        )
        tcp.listen()
        self.tcp_links.append(tcp)
        for other in self.gateways:
            if other != name:
                self.paths.path(other, name).links.append(tcp)

        def route(host: str) -> Any:
            return self.paths.path(name_by_host[host], name) if host in name_by_host else None

        udp = UdpLink(target, route, self.random)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: udp, local_addr=gateway.fleet_advertise
        )
        self.udp_links.append(udp)

    def gateway_config(self, gateway: Gateway) -> dict[str, Any]:
        """The configuration (LB_CONFIG) of the next process of a gateway."""
        scenario, fleet = self.scenario, self.scenario.fleet
        seq, hosts = self.known_lists[gateway.name]
        listed = [{**h, "dial": self.dial_address(gateway.name, h["host"])} for h in hosts.values()]
        own_settings = settings.settings(
            gateway.index, fleet.gateways, gateway.zone, fleet.zones, fleet.cross_price
        )
        own_settings["rules"] = own_settings["rules"] | {
            "startCapacity": scenario.backends.start_capacity,
            "warmWithin": scenario.backends.warm_s * 1000,
        }
        config: dict[str, Any] = {
            "name": gateway.name,
            "listen": "{}:{}".format(*gateway.listen),
            "operator": "{}:{}".format(*gateway.operator),
            "discovery": "{}:{}".format(*gateway.agent_address),
            "counter": "{}:{}".format(*gateway.counter_address),
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": {"seq": seq, "whole": True, "hosts": [h for h in listed if h["health"] != "removed"]},
            "settings": own_settings,
        }
        if fleet.state:
            config["state"] = str(gateway.state_folder)
        if fleet.audit:
            config["audit"] = str(gateway.audit_folder)
        if fleet.line:
            config["fleet"] = {
                "name": "lab",
                "listen": "{}:{}".format(*gateway.fleet_listen),
                "advertise": "{}:{}".format(*gateway.fleet_advertise),
                "seeds": [
                    "{}:{}".format(*g.fleet_advertise) for g in list(self.gateways.values())[: fleet.seeds]
                ],
                "secret": str(self.secret),
            }
            if fleet.shut_out_s is not None:
                config["fleet"]["shut_out_s"] = fleet.shut_out_s
        if fleet.regions:
            config["regions"] = fleet.regions
        return config | fleet.extra

    def gateway_answered(self, name: str) -> None:
        """Record that a gateway is ready, at its first answer to a ping."""
        gateway = self.gateways[name]
        if gateway.awaits_ready and gateway.runs:
            gateway.awaits_ready = False
            self.records.add("life", g=name, life=gateway.life, what="ready")

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start the next process of a gateway; record `unready` if it is not ready within `ready_s`."""
        gateway.config = partial(self.gateway_config, gateway)
        gateway.awaits_ready = True
        await gateway.start()
        life = gateway.life

        def check_ready() -> None:
            if gateway.awaits_ready and gateway.life == life and not gateway.end_expected:
                gateway.awaits_ready = False
                self.records.add("life", g=gateway.name, life=life, what="unready")

        asyncio.get_running_loop().call_later(self.scenario.fleet.ready_s, check_ready)

    async def close(self) -> None:
        """Close all links, stop the stand-ins, and release the addresses."""
        for gateway in self.gateways.values():
            if gateway.listening_socket is not None:
                gateway.listening_socket.close()
        for link in self.tcp_links:
            link.close()
        for udp in self.udp_links:
            udp.close()
        for server in (*self.backends.values(), *self.agents.values(), self.counter):
            if server.port:
                await server.stop()
        self.net.close()
