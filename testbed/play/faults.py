"""Faults: what a scenario has happen, when, to whom, and how it ends."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Callable
from typing import Any

from testbed import scenario as given
from testbed.network.links import Ills
from testbed.play.processes import Gateway
from testbed.play.stage import Stage
from testbed.scenario import AnyFault

CALL_S = 1.0  # for an operator's call
STATE_COPY = "copy-{}"


class Faults:
    """Brings about the faults of one stage."""

    def __init__(self, stage: Stage, late: Callable[[float], None]) -> None:
        self.stage, self.records, self.late = stage, stage.records, late
        self.handlers: dict[type, Any] = {
            given.Kill: self.kill,
            given.Term: self.term,
            given.Upgrade: self.upgrade,
            given.Stop: self.stop,
            given.Hup: self.hup,
            given.Clock: self.clock,
            given.Calls: self.machine,
            given.DiskFails: self.machine,
            given.Power: self.power,
            given.Link: self.link,
            given.BackendDoes: self.backend,
            given.AgentDoes: self.agent,
            given.CounterDoes: self.counter,
            given.Operators: self.operators,
            given.View: self.view,
        }

    async def at(self, zero: float, number: int, fault: AnyFault) -> None:
        """Wait for a fault's time, and bring it about."""
        loop = asyncio.get_running_loop()
        if isinstance(fault, given.Power) and "old" in fault.disks.values():
            await asyncio.sleep(max(0.0, zero + fault.old_from_s - loop.time()))
            for name, disk in fault.disks.items():
                if disk == "old":
                    self.stage.gateways[name].copy_state(STATE_COPY.format(number))
        due = zero + fault.at_s
        await asyncio.sleep(max(0.0, due - loop.time()))
        self.late(loop.time() - due)
        kind = str(fault.__struct_config__.tag)
        keys = "gateways", "backends", "between", "and_"
        whom = [name for key in keys for name in getattr(fault, key, [])]
        what = getattr(fault, "what", "") or getattr(fault, "call", "")
        self.records.add("fault", n=number, kind=kind, what=what, whom=whom, begins=True)
        await self.handlers[type(fault)](number, fault)
        self.records.add("fault", n=number, kind=kind, what=what, whom=whom, begins=False)

    def gateways(self, names: list[str]) -> list[Gateway]:
        return [self.stage.gateways[name] for name in self.stage.scenario.pick("gateways", names)]

    # ---- processes ----

    async def bring_back(self, gateways: list[Gateway], spacing_s: float) -> None:
        for gateway in gateways:
            if not gateway.runs:  # another fault may have brought it back
                await self.stage.start_gateway(gateway)
            await asyncio.sleep(spacing_s)

    async def kill(self, number: int, fault: given.Kill) -> None:
        struck = [self.stage.gateways[name] for name in self.stage.table.lots[number]]
        for gateway in struck:
            gateway.expected = True
            gateway.signal(signal.SIGKILL, "kill")
        for gateway in struck:
            await gateway.gone()
            agent = self.stage.agents[gateway.name]
            self.stage.known[gateway.name] = agent.seq, dict(agent.hosts)
        if fault.back_s is not None:
            await asyncio.sleep(fault.back_s)
            await self.bring_back(struck, fault.spacing_s)

    async def term(self, number: int, fault: given.Term) -> None:
        struck = self.gateways(fault.gateways)
        await asyncio.gather(*(gateway.term(fault.patience_s) for gateway in struck))
        if fault.back_s is not None:
            await asyncio.sleep(fault.back_s)
            await self.bring_back(struck, 0.0)

    async def upgrade(self, number: int, fault: given.Upgrade) -> None:
        struck = self.gateways(fault.gateways)
        await asyncio.gather(*(gateway.upgrade() for gateway in struck))
        if fault.undone_s is not None:
            await asyncio.sleep(fault.undone_s)
            await asyncio.gather(*(gateway.undo() for gateway in struck))

    async def stop(self, number: int, fault: given.Stop) -> None:
        loop, chance = asyncio.get_running_loop(), random.Random(f"{self.stage.seed} {number}")
        named, due = self.gateways(fault.gateways), loop.time()
        ends = due + fault.until_s - fault.at_s
        while True:
            struck = chance.sample(named, max(1, round(fault.part * len(named))))
            for gateway in struck:
                gateway.stop(True)
            await asyncio.sleep(fault.for_s)
            for gateway in struck:
                gateway.stop(False)
            due += max(fault.every_s, fault.for_s)
            if due + fault.for_s > ends:
                return
            await asyncio.sleep(max(0.0, due - loop.time()))

    async def hup(self, number: int, fault: given.Hup) -> None:
        for gateway in self.gateways(fault.gateways):
            gateway.hup(fault.change, fault.remove, fault.restore, fault.text)

    async def clock(self, number: int, fault: given.Clock) -> None:
        for gateway in self.gateways(fault.gateways):
            gateway.clock_s += fault.step_s
            gateway.write_machine_faults()
            self.records.add("clock", g=gateway.name, offset_s=gateway.clock_s)

    async def machine(self, number: int, fault: given.Calls | given.DiskFails) -> None:
        """Have something wrong with the machines of some gateways for a while."""
        struck, faults = self.gateways(fault.gateways), fault.machine_faults()
        for gateway in struck:
            gateway.machine_faults[number] = faults
            gateway.write_machine_faults()
        await asyncio.sleep(fault.for_s)
        for gateway in struck:
            del gateway.machine_faults[number]
            gateway.write_machine_faults()

    async def power(self, number: int, fault: given.Power) -> None:
        """Killed at once; the machines vanish without a word, and come back with what their disks hold."""
        stage = self.stage
        struck = [stage.gateways[name] for name in stage.table.lots[number]]
        machines = stage.scenario.pick("backends", fault.backends) if fault.backends else []
        for gateway in struck:
            gateway.expected = True
            gateway.signal(signal.SIGKILL, "power")
            if fault.discovery_late_s:
                stage.agents[gateway.name].set_silent(True)
        for name in machines:
            self.vanish(name)
        for gateway in struck:
            await gateway.gone()
            disk = fault.disks.get(gateway.name, "kept")
            gateway.power_off(disk, STATE_COPY.format(number), fault.cut_bytes)

        async def machines_back() -> None:
            await asyncio.sleep(fault.backends_back_s)
            for name in machines:
                self.return_cold(name, told=True)

        async def gateways_back() -> None:
            await asyncio.sleep(fault.back_s)
            await self.bring_back(struck, fault.spacing_s)

        async def discovery_back() -> None:
            await asyncio.sleep(fault.back_s + fault.discovery_late_s)
            for gateway in struck:
                stage.agents[gateway.name].set_silent(False)

        await asyncio.gather(machines_back(), gateways_back(), discovery_back())

    # ---- links ----

    async def link(self, number: int, fault: given.Link) -> None:
        stage = self.stage
        some, others = stage.scenario.ends(fault.between), stage.scenario.ends(fault.and_)
        struck = list(stage.paths.between(some, others))
        ills = Ills(
            fault.delay_ms / 1000,
            fault.jitter_ms / 1000,
            fault.loss,
            fault.duplicate,
            fault.reorder,
            fault.cut or fault.stall,
        )
        key = ("fault", number)
        until = round(self.records.now() + fault.for_s, 3)
        for path, forward in struck:
            ways = [path.there if forward else path.back]
            if not fault.one_way:
                ways = [path.there, path.back]
            for way in ways:
                way.put(number, ills)
            if fault.cut or fault.refuse:
                path.close(key, "cut" if fault.cut else "refuse")
            if fault.reset or fault.refuse:
                path.reset()
            if path.opener == "clients":
                self.records.add("cut", g=path.other, until=until)
        await asyncio.sleep(fault.for_s)
        for path, _ in struck:
            path.open(key)
            path.there.put(number, None)
            path.back.put(number, None)

    # ---- backends ----

    def paths_to(self, name: str) -> list[Any]:
        return [path for path, _ in self.stage.paths.between(self.stage.gateways, [name])]

    def vanish(self, name: str) -> None:
        """A machine is gone: nothing is said, open connections stay silent, new ones never come up."""
        for path in self.paths_to(name):
            path.there.put(-1, Ills(held=True))
            path.back.put(-1, Ills(held=True))
            path.close("gone", "cut")
        self.stage.backends[name].die()

    def end_process(self, name: str) -> None:
        for path in self.paths_to(name):
            path.close("dead", "refuse")
            path.reset()
        self.stage.backends[name].die()

    def return_cold(self, name: str, told: bool) -> None:
        for path in self.paths_to(name):
            path.reset()
            path.there.put(-1, None)
            path.back.put(-1, None)
            path.open("gone")
            path.open("dead")
        self.stage.backends[name].begin()
        if told:
            self.stage.catalog.change(name, health="up", born_ms=self.stage.catalog.now_ms())

    async def backend(self, number: int, fault: given.BackendDoes) -> None:
        names, catalog = self.stage.scenario.pick("backends", fault.backends), self.stage.catalog
        for name in names:
            model = self.stage.backends[name]
            match fault.what:
                case "die" | "restart":
                    self.end_process(name)
                case "gone":
                    self.vanish(name)
                case "pause":
                    model.pause(True)
                case "slow":
                    model.machine.factor = fault.factor
                case "drain" | "remove":
                    catalog.change(name, health="draining" if fault.what == "drain" else "removed")
                case "add":
                    self.return_cold(name, fault.told)
        if fault.for_s is None and fault.what != "restart":
            return
        await asyncio.sleep(fault.for_s or 0.0)
        for name in names:
            model = self.stage.backends[name]
            match fault.what:
                case "die" | "restart" | "gone":
                    self.return_cold(name, fault.told)
                case "pause":
                    model.pause(False)
                case "slow":
                    model.machine.factor = 1.0
                case "drain" | "remove":
                    self.end_process(name)
                    self.return_cold(name, fault.told)

    # ---- discovery, counter, operators ----

    async def agent(self, number: int, fault: given.AgentDoes) -> None:
        agents = [self.stage.agents[gateway.name] for gateway in self.gateways(fault.gateways)]
        before = [agent.delay_s for agent in agents]
        for agent in agents:
            match fault.what:
                case "late":
                    agent.delay_s = fault.late_s
                case "silent":
                    agent.set_silent(True)
                case "old":
                    agent.set_stuck(True)
                case "empty":
                    agent.set_empty(True)
                case "broken":
                    agent.reset_watches()
        await asyncio.sleep(fault.for_s)
        for agent, late_s in zip(agents, before, strict=True):
            match fault.what:
                case "late":
                    agent.delay_s = late_s
                case "silent":
                    agent.set_silent(False)
                case "old":
                    agent.set_stuck(False)
                case "empty":
                    agent.set_empty(False)

    async def counter(self, number: int, fault: given.CounterDoes) -> None:
        counter = self.stage.counter
        paths = [path for path, _ in self.stage.paths.between(self.stage.gateways, ["counter"])]
        match fault.what:
            case "silent":
                counter.silent = True
            case "empty":
                counter.empty()
            case "slow":
                counter.slow = fault.factor
            case "busy":
                counter.turns_away = True
            case "refuse":
                for path in paths:
                    path.close(number, "refuse")
                    path.reset()
        await asyncio.sleep(fault.for_s)
        match fault.what:
            case "silent":
                counter.silent = False
            case "slow":
                counter.slow = 1.0
            case "busy":
                counter.turns_away = False
            case "refuse":
                for path in paths:
                    path.open(number)

    async def operators(self, number: int, fault: given.Operators) -> None:
        called = (self.call(g, fault.call, fault.id, fault.fleet) for g in self.gateways(fault.gateways))
        await asyncio.gather(*called)

    async def view(self, number: int, fault: given.View) -> None:
        """Record what gateways say of the fleet."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + fault.for_s
        while True:
            await asyncio.gather(*(self.look(gateway) for gateway in self.gateways(fault.gateways)))
            if loop.time() + fault.every_s > ends:
                return
            await asyncio.sleep(fault.every_s)

    async def look(self, gateway: Gateway) -> None:
        if gateway.stopped:
            return
        status, body = await self.http(gateway, "GET", "fleet", b"")
        if status != 200:
            self.records.add("view", g=gateway.name, status=status)
            return
        said = json.loads(body)
        states = {name: row["state"] for name, row in said["members"].items()}
        facts = [[f["kind"], f["name"], f["origin"], f["value"]] for f in said["facts"]]
        keys = "minority", "quiet", "dropped", "counts", "recovery", "zones"
        more = {key: said[key] for key in keys if key in said}
        self.records.add("view", g=gateway.name, status=status, members=states, facts=facts, **more)

    async def http(self, gateway: Gateway, method: str, call: str, body: bytes) -> tuple[int, bytes]:
        """A call to an operator address: its status, 0 for none, and what came with it."""
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(*gateway.operator)
                head = f"{method} /ops/{call} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                answer = await reader.read()
                writer.close()
            head_of, _, rest = answer.partition(b"\r\n\r\n")
            return int(head_of.split()[1]), rest
        except (OSError, ValueError, IndexError):
            return 0, b""

    async def call(self, gateway: Gateway, call: str, named: str, fleet: bool = False) -> str:
        """Call one gateway's operator address; gives yes, no or none."""
        of_all = {"fleet": True} if fleet else {}
        self.records.add("op", g=gateway.name, call=call, id=named, how="called", **of_all)
        body = json.dumps({"id": named} | of_all).encode() if named else b""
        status, said = await self.http(gateway, "POST", call, body)
        how = "none" if not status else "yes" if status // 100 == 2 else "no"
        more = of_all | {"text": said.decode(errors="replace")} if fleet else {}
        self.records.add("op", g=gateway.name, call=call, id=named, how=how, status=status, **more)
        return how
