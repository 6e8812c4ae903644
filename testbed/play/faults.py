"""Faults: applies the faults of a scenario at their times, and ends them."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Callable
from typing import Any

from testbed import scenario as scenarios
from testbed.network.links import Ills
from testbed.play.processes import Gateway
from testbed.play.stage import Stage
from testbed.scenario import AnyFault

OPERATOR_CALL_TIMEOUT_S = 1.0
# Name of the copy of a state folder, by the number of the fault.
STATE_COPY_NAME = "copy-{}"


class Faults:
    """Applies the faults of one play.

    `record_lateness` is called with the seconds by which each fault began late.
    """

    def __init__(self, stage: Stage, record_lateness: Callable[[float], None]) -> None:
        self.stage, self.records, self.record_lateness = stage, stage.records, record_lateness
        self.handlers: dict[type, Any] = {
            scenarios.Kill: self.kill,
            scenarios.Term: self.term,
            scenarios.Upgrade: self.upgrade,
            scenarios.Stop: self.stop,
            scenarios.Hup: self.hup,
            scenarios.Clock: self.clock,
            scenarios.Calls: self.machine_fault,
            scenarios.DiskFault: self.machine_fault,
            scenarios.Power: self.power,
            scenarios.Link: self.link,
            scenarios.BackendFault: self.backend,
            scenarios.AgentFault: self.agent,
            scenarios.CounterFault: self.counter,
            scenarios.OperatorCall: self.operators,
            scenarios.View: self.view,
        }

    async def run_at(self, load_started_at_s: float, number: int, fault: AnyFault) -> None:
        """Wait for the time of a fault, apply it and wait for its end. `number`: index in the scenario."""
        loop = asyncio.get_running_loop()
        if isinstance(fault, scenarios.Power) and "old" in fault.disks.values():
            await asyncio.sleep(max(0.0, load_started_at_s + fault.old_from_s - loop.time()))
            for name, disk in fault.disks.items():
                if disk == "old":
                    self.stage.gateways[name].copy_state(STATE_COPY_NAME.format(number))
        due_at_s = load_started_at_s + fault.at_s
        await asyncio.sleep(max(0.0, due_at_s - loop.time()))
        self.record_lateness(loop.time() - due_at_s)
        kind = str(fault.__struct_config__.tag)
        keys = "gateways", "backends", "between", "and_"
        targets = [name for key in keys for name in getattr(fault, key, [])]
        what = getattr(fault, "what", "") or getattr(fault, "call", "")
        self.records.add("fault", n=number, kind=kind, what=what, whom=targets, begins=True)
        await self.handlers[type(fault)](number, fault)
        self.records.add("fault", n=number, kind=kind, what=what, whom=targets, begins=False)

    def gateways(self, names: list[str]) -> list[Gateway]:
        return [self.stage.gateways[name] for name in self.stage.scenario.select("gateways", names)]

    # ---- processes ----

    async def start_again(self, gateways: list[Gateway], spacing_s: float) -> None:
        """Start gateways one after another, with `spacing_s` between two starts."""
        for gateway in gateways:
            if not gateway.runs:  # another fault may have started it again
                await self.stage.start_gateway(gateway)
            await asyncio.sleep(spacing_s)

    async def kill(self, number: int, fault: scenarios.Kill) -> None:
        """Kill gateways; each starts again with the endpoint list that its agent had when it ended."""
        affected = [self.stage.gateways[name] for name in self.stage.timetable.targets[number]]
        for gateway in affected:
            gateway.end_expected = True
            gateway.signal(signal.SIGKILL, "kill")
        for gateway in affected:
            await gateway.wait_ended()
            agent = self.stage.agents[gateway.name]
            self.stage.known_lists[gateway.name] = agent.seq, dict(agent.hosts)
        if fault.back_s is not None:
            await asyncio.sleep(fault.back_s)
            await self.start_again(affected, fault.spacing_s)

    async def term(self, number: int, fault: scenarios.Term) -> None:
        affected = self.gateways(fault.gateways)
        await asyncio.gather(*(gateway.term(fault.patience_s) for gateway in affected))
        if fault.back_s is not None:
            await asyncio.sleep(fault.back_s)
            await self.start_again(affected, 0.0)

    async def upgrade(self, number: int, fault: scenarios.Upgrade) -> None:
        affected = self.gateways(fault.gateways)
        await asyncio.gather(*(gateway.upgrade() for gateway in affected))
        if fault.undone_s is not None:
            await asyncio.sleep(fault.undone_s)
            await asyncio.gather(*(gateway.undo_upgrade() for gateway in affected))

    async def stop(self, number: int, fault: scenarios.Stop) -> None:
        """Stop gateways for `for_s`, and newly drawn ones every `every_s`, up to `until_s`."""
        loop, chance = asyncio.get_running_loop(), random.Random(f"{self.stage.seed} {number}")
        candidates, due_at_s = self.gateways(fault.gateways), loop.time()
        ends_at_s = due_at_s + fault.until_s - fault.at_s
        while True:
            affected = chance.sample(candidates, max(1, round(fault.part * len(candidates))))
            for gateway in affected:
                gateway.set_stopped(True)
            await asyncio.sleep(fault.for_s)
            for gateway in affected:
                gateway.set_stopped(False)
            due_at_s += max(fault.every_s, fault.for_s)
            if due_at_s + fault.for_s > ends_at_s:
                return
            await asyncio.sleep(max(0.0, due_at_s - loop.time()))

    async def hup(self, number: int, fault: scenarios.Hup) -> None:
        for gateway in self.gateways(fault.gateways):
            gateway.reconfigure(fault.change, fault.remove, fault.restore, fault.text)

    async def clock(self, number: int, fault: scenarios.Clock) -> None:
        for gateway in self.gateways(fault.gateways):
            gateway.clock_offset_s += fault.step_s
            gateway.write_machine_faults()
            self.records.add("clock", g=gateway.name, offset_s=gateway.clock_offset_s)

    async def machine_fault(self, number: int, fault: scenarios.Calls | scenarios.DiskFault) -> None:
        """Make the machines of some gateways faulty for `for_s`."""
        affected, faults = self.gateways(fault.gateways), fault.machine_faults()
        for gateway in affected:
            gateway.machine_faults[number] = faults
            gateway.write_machine_faults()
        await asyncio.sleep(fault.for_s)
        for gateway in affected:
            del gateway.machine_faults[number]
            gateway.write_machine_faults()

    async def power(self, number: int, fault: scenarios.Power) -> None:
        """Kill gateways, make backends vanish, and restart both.

        Gateways restart with the state that their disks have after the power loss.
        """
        stage = self.stage
        affected = [stage.gateways[name] for name in stage.timetable.targets[number]]
        machines = stage.scenario.select("backends", fault.backends) if fault.backends else []
        for gateway in affected:
            gateway.end_expected = True
            gateway.signal(signal.SIGKILL, "power")
            if fault.discovery_late_s:
                stage.agents[gateway.name].set_silent(True)
        for name in machines:
            self.vanish(name)
        for gateway in affected:
            await gateway.wait_ended()
            disk = fault.disks.get(gateway.name, "kept")
            gateway.power_off(disk, STATE_COPY_NAME.format(number), fault.cut_bytes)

        async def restart_machines() -> None:
            await asyncio.sleep(fault.backends_back_s)
            for name in machines:
                self.restart_cold(name, told=True)

        async def restart_gateways() -> None:
            await asyncio.sleep(fault.back_s)
            await self.start_again(affected, fault.spacing_s)

        async def restore_discovery() -> None:
            await asyncio.sleep(fault.back_s + fault.discovery_late_s)
            for gateway in affected:
                stage.agents[gateway.name].set_silent(False)

        await asyncio.gather(restart_machines(), restart_gateways(), restore_discovery())

    # ---- links ----

    async def link(self, number: int, fault: scenarios.Link) -> None:
        """Disturb the paths between two groups for `for_s`.

        The record has a `cut` event for each gateway whose link to its clients is disturbed.
        """
        stage = self.stage
        some, others = stage.scenario.link_ends(fault.between), stage.scenario.link_ends(fault.and_)
        paths = list(stage.paths.between(some, others))
        ills = Ills(
            fault.delay_ms / 1000,
            fault.jitter_ms / 1000,
            fault.loss,
            fault.duplicate,
            fault.reorder,
            fault.cut or fault.stall,
        )
        key = ("fault", number)
        ends_at_s = round(self.records.now() + fault.for_s, 3)
        for path, forward in paths:
            directions = [path.there if forward else path.back]
            if not fault.one_way:
                directions = [path.there, path.back]
            for direction in directions:
                direction.put(number, ills)
            if fault.cut or fault.refuse:
                path.close(key, "cut" if fault.cut else "refuse")
            if fault.reset or fault.refuse:
                path.reset()
            if path.opener == "clients":
                self.records.add("cut", g=path.other, until=ends_at_s)
        await asyncio.sleep(fault.for_s)
        for path, _ in paths:
            path.open(key)
            path.there.put(number, None)
            path.back.put(number, None)

    # ---- backends ----

    def paths_to(self, name: str) -> list[Any]:
        return [path for path, _ in self.stage.paths.between(self.stage.gateways, [name])]

    def vanish(self, name: str) -> None:
        """Make a backend's machine unreachable: connections stay silent, new ones are never established."""
        for path in self.paths_to(name):
            path.there.put(-1, Ills(held=True))
            path.back.put(-1, Ills(held=True))
            path.close("gone", "cut")
        self.stage.backends[name].die()

    def end_backend_process(self, name: str) -> None:
        """End a backend's process: open connections are reset and new ones refused."""
        for path in self.paths_to(name):
            path.close("dead", "refuse")
            path.reset()
        self.stage.backends[name].die()

    def restart_cold(self, name: str, told: bool) -> None:
        """Start a backend cold and undo what `vanish` and `end_backend_process` did to its links.

        If `told`, discovery is notified that the backend is up, with the time of its start.
        """
        for path in self.paths_to(name):
            path.reset()
            path.there.put(-1, None)
            path.back.put(-1, None)
            path.open("gone")
            path.open("dead")
        self.stage.backends[name].begin()
        if told:
            self.stage.catalog.change(name, health="up", born_ms=self.stage.catalog.now_ms())

    async def backend(self, number: int, fault: scenarios.BackendFault) -> None:
        """Apply a fault to backends and end it after `for_s`, if given; a `restart` ends at once."""
        names, catalog = self.stage.scenario.select("backends", fault.backends), self.stage.catalog
        for name in names:
            model = self.stage.backends[name]
            match fault.what:
                case "die" | "restart":
                    self.end_backend_process(name)
                case "gone":
                    self.vanish(name)
                case "pause":
                    model.pause(True)
                case "slow":
                    model.machine.factor = fault.factor
                case "drain" | "remove":
                    catalog.change(name, health="draining" if fault.what == "drain" else "removed")
                case "add":
                    self.restart_cold(name, fault.told)
        if fault.for_s is None and fault.what != "restart":
            return
        await asyncio.sleep(fault.for_s or 0.0)
        for name in names:
            model = self.stage.backends[name]
            match fault.what:
                case "die" | "restart" | "gone":
                    self.restart_cold(name, fault.told)
                case "pause":
                    model.pause(False)
                case "slow":
                    model.machine.factor = 1.0
                case "drain" | "remove":
                    self.end_backend_process(name)
                    self.restart_cold(name, fault.told)

    # ---- discovery, counter, operators ----

    async def agent(self, number: int, fault: scenarios.AgentFault) -> None:
        """Make the discovery agents of some gateways faulty for `for_s`; `broken` happens once."""
        agents = [self.stage.agents[gateway.name] for gateway in self.gateways(fault.gateways)]
        previous_late_s = [agent.delay_s for agent in agents]
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
        for agent, late_s in zip(agents, previous_late_s, strict=True):
            match fault.what:
                case "late":
                    agent.delay_s = late_s
                case "silent":
                    agent.set_silent(False)
                case "old":
                    agent.set_stuck(False)
                case "empty":
                    agent.set_empty(False)

    async def counter(self, number: int, fault: scenarios.CounterFault) -> None:
        """Make the counter, or the links of all gateways to it, faulty for `for_s`; `empty` happens once."""
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

    async def operators(self, number: int, fault: scenarios.OperatorCall) -> None:
        calls = (
            self.operator_call(g, fault.call, fault.id, fault.fleet) for g in self.gateways(fault.gateways)
        )
        await asyncio.gather(*calls)

    async def view(self, number: int, fault: scenarios.View) -> None:
        """Record the answers of gateways to `GET /ops/fleet`, every `every_s` for `for_s`."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + fault.for_s
        while True:
            await asyncio.gather(*(self.record_view(gateway) for gateway in self.gateways(fault.gateways)))
            if loop.time() + fault.every_s > ends_at_s:
                return
            await asyncio.sleep(fault.every_s)

    async def record_view(self, gateway: Gateway) -> None:
        """Record the answer of one gateway to `GET /ops/fleet`; a stopped gateway is not asked."""
        if gateway.stopped:
            return
        status, body = await self.operator_request(gateway, "GET", "fleet", b"")
        if status != 200:
            self.records.add("view", g=gateway.name, status=status)
            return
        answer = json.loads(body)
        states = {name: row["state"] for name, row in answer["members"].items()}
        facts = [[f["kind"], f["name"], f["origin"], f["value"]] for f in answer["facts"]]
        keys = "minority", "quiet", "dropped", "counts", "recovery", "zones"
        optional = {key: answer[key] for key in keys if key in answer}
        self.records.add("view", g=gateway.name, status=status, members=states, facts=facts, **optional)

    async def operator_request(
        self, gateway: Gateway, method: str, call: str, body: bytes
    ) -> tuple[int, bytes]:
        """Send a request to a gateway's operator address.

        Returns the HTTP status and the body of the answer; status 0 if there is none in time.
        """
        try:
            async with asyncio.timeout(OPERATOR_CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*gateway.operator)
                head = f"{method} /ops/{call} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                answer = await reader.read()
                writer.close()
            answer_head, _, answer_body = answer.partition(b"\r\n\r\n")
            return int(answer_head.split()[1]), answer_body
        except (OSError, ValueError, IndexError):
            return 0, b""

    async def operator_call(self, gateway: Gateway, call: str, target: str, fleet: bool = False) -> str:
        """Make an operators' call at one gateway and record it; returns "yes", "no" or "none" (no answer).

        `target`: the backend or zone, empty for a drain. `fleet`: the call is for all gateways.
        """
        fleet_key = {"fleet": True} if fleet else {}
        self.records.add("op", g=gateway.name, call=call, id=target, how="called", **fleet_key)
        body = json.dumps({"id": target} | fleet_key).encode() if target else b""
        status, answer = await self.operator_request(gateway, "POST", call, body)
        how = "none" if not status else "yes" if status // 100 == 2 else "no"
        more = fleet_key | {"text": answer.decode(errors="replace")} if fleet else {}
        self.records.add("op", g=gateway.name, call=call, id=target, how=how, status=status, **more)
        return how
