"""One play: the fleet and its surroundings, the faults at their times, the judge, the result."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import os
import resource
import shutil
import signal
import time
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import structlog
import uvloop

from testbed.network.links import PLUGS
from testbed.play.faults import Faults
from testbed.play.processes import Gateway
from testbed.play.stage import Stage
from testbed.scenario import Scenario
from testbed.verdict.capacity_use import CapacityUse
from testbed.verdict.judge import Judge
from testbed.verdict.records import Event, Records

log = structlog.get_logger()

RESULT = "result.json"
HELD, BROKEN, BAD, VOID = 0, 1, 2, 3  # verdicts, and exit codes
CLOSE_S = 6.0  # for open requests at the end of the load, and for the gateways' end after it
TICK_S = 0.02  # between two looks at the lab's own lateness
LOOK_S = 0.5  # between two looks at backends
COST_S = 2.0  # between two looks at what processes cost
START_AT_ONCE = 16  # processes that are started side by side
SPARE_FILES = 200
YOUNG_ALONE = 20_000, 20, 1_000_000  # thresholds of the collector: none of the oldest in a play


class PlayError(Exception):
    """A play can't be begun, or be gone on with."""


class Result(msgspec.Struct):
    """What came of a play. `verdict`: 0 rules held, 1 broken or an expectation missed, 3 void."""

    scenario: str
    seed: int
    digest: str
    verdict: int
    why: list[str]
    figures: dict[str, float]
    breaches: list[dict[str, Any]]
    lab: dict[str, float]  # its own lateness in milliseconds, its CPU and memory


class Play:
    """Owns one play from its start to its end."""

    def __init__(self, scenario: Scenario, seed: int, out: Path) -> None:
        self.scenario, self.seed, self.out = scenario, seed, out
        self.judge = Judge(scenario.slack_s)
        self.capacity_use = CapacityUse(scenario.load.work)
        self.records = Records(out, self.take)
        self.stage = Stage(scenario, seed, out, self.records)
        self.faults = Faults(self.stage, self.note_late)
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed: BaseException | None = None
        self.over = asyncio.Event()
        self.lates: list[float] = []  # seconds, of arrivals, faults and ticks
        self.worst = 0.0  # since the last look
        self.progress: Callable[[float, str], None] = lambda seconds, what: None

    def take(self, event: Event) -> None:
        self.judge.feed(event)
        self.capacity_use.feed(event)

    # ---- the start ----

    def check_limits(self) -> None:
        """Raise PlayError, before anything is started, where the descriptors can't be enough."""
        scenario = self.scenario
        pairs = scenario.fleet.gateways * (scenario.backends.count + 4)
        vanish = max((len(scenario.pick("backends", names)) for names in scenario.vanishing), default=0)
        cut = PLUGS * scenario.fleet.gateways * vanish  # each path to one that is gone is held shut so
        need = int(pairs + cut + scenario.fleet.gateways * 16 + 6 * scenario.load.rate + SPARE_FILES)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY and hard < need:
            raise PlayError(f"this play needs {need} descriptors, and `ulimit -n` allows {hard}")
        if soft != resource.RLIM_INFINITY and soft < need:
            resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))

    async def _start_all(self) -> None:
        gate = asyncio.Semaphore(START_AT_ONCE)

        async def one(gateway: Gateway) -> None:
            async with gate:
                gateway.prepare()
                await self.stage.start_gateway(gateway)
                while gateway.awaited and gateway.runs:
                    await asyncio.sleep(0.02)

        self.progress(0.0, "gateways start")
        await asyncio.gather(*(one(gateway) for gateway in self.stage.gateways.values()))
        await asyncio.sleep(self.scenario.fleet.settle_s)

    # ---- the play ----

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Do something beside the play; a fault of the lab's own ends the play."""

        async def guarded() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except Exception as error:
                log.exception("the lab failed")
                self.failed = self.failed or error
                self.over.set()

        task = asyncio.get_running_loop().create_task(guarded())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> Result:
        """Play it all; nothing of it is left when this returns or raises."""
        self.check_limits()
        shutil.rmtree(self.out / "gateways", ignore_errors=True)  # no gateway comes back from an earlier play
        wall, cpu, usual = time.monotonic(), time.process_time(), gc.get_threshold()
        try:
            await self.stage.join()
            self.records.add(
                "play",
                scenario=self.scenario.name,
                seed=self.seed,
                digest=self.stage.table.digest,
                duration_s=self.scenario.duration_s,
                gateways=list(self.stage.gateways),
                zones={name: gateway.zone for name, gateway in self.stage.gateways.items()},
                backends=[[n, b.zone, self.stage.racks[n]] for n, b in self.stage.backends.items()],
            )
            await self._start_all()
            self.records.begin()
            # What a play keeps for its judge grows to its end: to look through it all for garbage makes the
            # lab late by up to a quarter of a second. Young garbage is collected as usual.
            gc.set_threshold(*YOUNG_ALONE)
            await self._load()
        finally:
            gc.set_threshold(*usual)
            await self._end()
        return self._result(time.monotonic() - wall, time.process_time() - cpu)

    async def _load(self) -> None:
        loop = asyncio.get_running_loop()
        zero, scenario = loop.time(), self.scenario
        self.spawn(self._tick())
        self.spawn(self._look())
        for number, fault in enumerate(scenario.faults):
            self.spawn(self.faults.at(zero, number, fault))
        self.spawn(self._arrivals(zero))
        ends = zero + scenario.duration_s
        while loop.time() < ends and not self.over.is_set():
            self.progress(loop.time() - zero, "plays")
            if self.records.write_error is not None:
                raise PlayError(f"the record can't be written: {self.records.write_error.strerror}")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(0.25, max(0.0, ends - loop.time()))):
                    await self.over.wait()
        if self.failed is not None:
            raise PlayError(f"the lab failed: {self.failed!r}") from self.failed
        self.progress(scenario.duration_s, "requests end")
        await self.stage.clients.finish(CLOSE_S)

    async def _arrivals(self, zero: float) -> None:
        loop = asyncio.get_running_loop()
        for number, arrival in enumerate(self.stage.table.arrivals):
            due = zero + arrival.at_s
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            self.note_late(loop.time() - due)
            self.stage.clients.arrive(number, arrival)

    def note_late(self, late_s: float) -> None:
        self.lates.append(max(0.0, late_s))
        self.worst = max(self.worst, late_s)

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.note_late(loop.time() - due)

    async def _look(self) -> None:
        loop = asyncio.get_running_loop()
        used, costs_at = dict.fromkeys(self.stage.backends, 0.0), 0.0
        while True:
            now, of, over = loop.time(), {}, 0
            for name, backend in self.stage.backends.items():
                machine = backend.machine
                spent, used[name] = machine.used_ms - used[name], machine.used_ms
                can = machine.capacity(now) if backend.alive and not backend.paused else 0.0
                of[name] = [round(spent / LOOK_S, 1), round(can, 1), len(machine.queue)]
                over, machine.waited_long = over + machine.waited_long, 0
            self.records.add("load", of=of, over3=over, counter=dict(self.stage.counter.calls))
            self.records.add("late", worst=round(self.worst, 4))
            self.stage.counter.calls.clear()
            self.worst = 0.0
            if now - costs_at >= COST_S:
                costs_at = now
                check_descriptors()
                found = {name: g.cost() for name, g in self.stage.gateways.items()}
                self.records.add("proc", of={n: c for n, c in found.items() if c}, lab=time.process_time())
            await asyncio.sleep(LOOK_S)

    # ---- the end ----

    async def _end(self) -> None:
        """End all that was started here, whatever the state it is in."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.stage.front is not None:
            self.stage.front.close()
        for gateway in self.stage.gateways.values():
            if gateway.stopped:
                gateway.stop(False)
        self.progress(self.scenario.duration_s, "gateways end")
        try:
            await asyncio.gather(*(g.term(CLOSE_S) for g in self.stage.gateways.values() if g.runs))
        finally:
            for gateway in self.stage.gateways.values():
                gateway.signal(signal.SIGKILL, "forced")
            await self.stage.close()

    def _result(self, wall_s: float, cpu_s: float) -> Result:
        self.judge.finish()
        figures = self.judge.figures() | self.capacity_use.figures()
        expected, lates = self.scenario.expect, np.array(self.lates or [0.0]) * 1000
        late99, worst = float(np.percentile(lates, 99)), float(lates.max())
        why = [f"{rule}: {int(n)} breaches" for rule, n in rules_broken(figures)]
        for name, least in expected.at_least.items():
            if figures.get(name, 0.0) < least:
                why.append(f"expected {name} of at least {least:g}, got {figures.get(name, 0.0):g}")
        for name, most in expected.at_most.items():
            if figures.get(name, 0.0) > most:
                why.append(f"expected {name} of at most {most:g}, got {figures.get(name, 0.0):g}")
        verdict = BROKEN if why else HELD
        if late99 > self.scenario.late_ms or worst > self.scenario.stall_ms:
            verdict = VOID
            why.insert(0, f"the lab was late: p99 {late99:.0f} ms, worst {worst:.0f} ms")
        lab = {
            "late p50 ms": round(float(np.percentile(lates, 50)), 2),
            "late p99 ms": round(late99, 2),
            "late worst ms": round(worst, 2),
            "CPU share": round(cpu_s / wall_s, 3),
            "memory MB": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
            "events": self.records.event_count,
            "record MB": round(self.records.size_bytes / 1e6, 2),
        }
        breaches = self.judge.breach_records()
        result = Result(
            self.scenario.name, self.seed, self.stage.table.digest, verdict, why, figures, breaches, lab
        )
        self.records.add("result", **msgspec.to_builtins(result))
        self.records.close()
        if self.records.write_error is not None:
            raise PlayError(f"the record can't be written: {self.records.write_error.strerror}")
        (self.out / RESULT).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
        return result


def check_descriptors() -> None:
    """Raise OSError where the lab is about to run out of descriptors: links would break by its fault."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    held = len(os.listdir("/proc/self/fd"))
    if soft != resource.RLIM_INFINITY and held > soft - SPARE_FILES // 4:
        raise OSError(errno.EMFILE, f"the lab holds {held} descriptors of {soft}")


def rules_broken(figures: dict[str, float]) -> Iterator[tuple[str, float]]:
    for name, number in figures.items():
        if name.startswith("breach.") and number:
            yield name.removeprefix("breach."), number


def play(
    scenario: Scenario, seed: int, out: Path, progress: Callable[[float, str], None] | None = None
) -> Result:
    """Play a scenario; raises PlayError, RecordError, AddressError or OSError where that can't be done."""

    async def main() -> Result:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):  # also where the lab was started with them ignored
            loop.add_signal_handler(number, task.cancel)
        made = Play(scenario, seed, out)
        if progress is not None:
            made.progress = progress
        try:
            return await made.run()
        except asyncio.CancelledError as error:
            raise PlayError("interrupted") from error

    return uvloop.run(main())
