"""One play: starts gateways and stand-ins, sends the load, applies the faults, and judges what happened."""

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

RESULT_FILE = "result.json"
# Verdicts of a play, and exit codes of the command line.
RULES_HELD, RULES_BROKEN, BAD_INPUT, VOID = 0, 1, 2, 3
# Time for requests in flight to end after the load, and then for the gateways to exit.
END_TIMEOUT_S = 6.0
# Interval of the measurements of the test bed's own lateness.
LATENESS_CHECK_S = 0.02
# Interval of the samples of the backends' load and capacity.
BACKEND_SAMPLE_S = 0.5
# Interval of the samples of the processes' CPU time and memory.
COST_SAMPLE_S = 2.0
MAX_CONCURRENT_STARTS = 16
# Descriptors for the test bed's own files and sockets, in addition to those of links and requests.
SPARE_DESCRIPTORS = 200
# Thresholds of the garbage collector in a play: the oldest generation is not collected.
GC_THRESHOLDS = 20_000, 20, 1_000_000


class PlayError(Exception):
    """A play can't start or can't continue."""


class Result(msgspec.Struct):
    """Result of a play. `verdict`: 0 rules held, 1 a rule broken or an expectation missed, 3 void."""

    scenario: str
    seed: int
    digest: str
    verdict: int
    why: list[str]
    figures: dict[str, float]
    breaches: list[dict[str, Any]]
    # Lateness (ms), CPU share, memory (MB) and size of the record (MB) of the test bed itself.
    lab: dict[str, float]


class Play:
    """Owns one play from its start to its end."""

    def __init__(self, scenario: Scenario, seed: int, out: Path) -> None:
        self.scenario, self.seed, self.out = scenario, seed, out
        self.judge = Judge(scenario.slack_s)
        self.capacity_use = CapacityUse(scenario.load.work)
        self.records = Records(out, self.observe)
        self.stage = Stage(scenario, seed, out, self.records)
        self.faults = Faults(self.stage, self.record_lateness)
        self.tasks: set[asyncio.Task[None]] = set()
        self.failure: BaseException | None = None
        self.ended = asyncio.Event()
        # Lateness of each arrival, fault and lateness check.
        self.lateness_s: list[float] = []
        # Highest lateness since the last sample of the load.
        self.worst_lateness_s = 0.0
        # Called with the seconds since the start of the load and the current phase.
        self.progress: Callable[[float, str], None] = lambda load_s, phase: None

    def observe(self, event: Event) -> None:
        self.judge.feed(event)
        self.capacity_use.feed(event)

    # ---- the start ----

    def check_limits(self) -> None:
        """Raise the soft limit of descriptors as needed. Raises PlayError if the hard limit is too low."""
        scenario = self.scenario
        link_count = scenario.fleet.gateways * (scenario.backends.count + 4)
        max_vanished = max(
            (len(scenario.select("backends", names)) for names in scenario.vanishing_backends), default=0
        )
        # Each path to a vanished backend is blocked by PLUGS connections.
        plugs = PLUGS * scenario.fleet.gateways * max_vanished
        needed = int(
            link_count + plugs + scenario.fleet.gateways * 16 + 6 * scenario.load.rate + SPARE_DESCRIPTORS
        )
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY and hard < needed:
            raise PlayError(f"this play needs {needed} descriptors, the hard limit (`ulimit -n`) is {hard}")
        if soft != resource.RLIM_INFINITY and soft < needed:
            resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))

    async def _start_all(self) -> None:
        """Start the gateways, a few at a time, wait until they are ready, and then for `settle_s`."""
        start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_one(gateway: Gateway) -> None:
            async with start_slots:
                gateway.prepare()
                await self.stage.start_gateway(gateway)
                while gateway.awaits_ready and gateway.runs:
                    await asyncio.sleep(0.02)

        self.progress(0.0, "gateways start")
        await asyncio.gather(*(start_one(gateway) for gateway in self.stage.gateways.values()))
        await asyncio.sleep(self.scenario.fleet.settle_s)

    # ---- the play ----

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in a task of its own; an exception in it ends the play."""

        async def guarded() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except Exception as error:
                log.exception("the lab failed")
                self.failure = self.failure or error
                self.ended.set()

        task = asyncio.get_running_loop().create_task(guarded())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> Result:
        """Run the play. No process, link or task of it is left when this returns or raises.

        Raises PlayError, RecordError, AddressError or OSError if the play can't start or can't continue.
        """
        self.check_limits()
        # No gateway may restore state of an earlier play.
        shutil.rmtree(self.out / "gateways", ignore_errors=True)
        started_at_s, cpu_before_s, thresholds = time.monotonic(), time.process_time(), gc.get_threshold()
        try:
            await self.stage.connect_all()
            self.records.add(
                "play",
                scenario=self.scenario.name,
                seed=self.seed,
                digest=self.stage.timetable.digest,
                duration_s=self.scenario.duration_s,
                gateways=list(self.stage.gateways),
                zones={name: gateway.zone for name, gateway in self.stage.gateways.items()},
                backends=[[n, b.zone, self.stage.rack_by_backend[n]] for n, b in self.stage.backends.items()],
            )
            await self._start_all()
            self.records.begin()
            # The judge's data grows until the end of a play. A collection of the oldest generation scans all
            # of it and makes the test bed late by up to 0.25 s. Young generations are collected as usual.
            gc.set_threshold(*GC_THRESHOLDS)
            await self._run_load()
        finally:
            gc.set_threshold(*thresholds)
            await self._end_all()
        return self._make_result(time.monotonic() - started_at_s, time.process_time() - cpu_before_s)

    async def _run_load(self) -> None:
        """Send the load and apply the faults for `duration_s`; then wait up to `END_TIMEOUT_S` for requests.

        Raises PlayError if the record can't be written or a task of the test bed has failed.
        """
        loop = asyncio.get_running_loop()
        load_started_at_s, scenario = loop.time(), self.scenario
        self.spawn(self._measure_lateness())
        self.spawn(self._sample_load())
        for number, fault in enumerate(scenario.faults):
            self.spawn(self.faults.run_at(load_started_at_s, number, fault))
        self.spawn(self._send_arrivals(load_started_at_s))
        ends_at_s = load_started_at_s + scenario.duration_s
        while loop.time() < ends_at_s and not self.ended.is_set():
            self.progress(loop.time() - load_started_at_s, "plays")
            if self.records.write_error is not None:
                raise PlayError(f"the record can't be written: {self.records.write_error.strerror}")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(0.25, max(0.0, ends_at_s - loop.time()))):
                    await self.ended.wait()
        if self.failure is not None:
            raise PlayError(f"the lab failed: {self.failure!r}") from self.failure
        self.progress(scenario.duration_s, "requests end")
        await self.stage.clients.finish(END_TIMEOUT_S)

    async def _send_arrivals(self, load_started_at_s: float) -> None:
        """Make the clients send each first try of the timetable at its time."""
        loop = asyncio.get_running_loop()
        for number, arrival in enumerate(self.stage.timetable.arrivals):
            due_at_s = load_started_at_s + arrival.at_s
            if (delay_s := due_at_s - loop.time()) > 0:
                await asyncio.sleep(delay_s)
            self.record_lateness(loop.time() - due_at_s)
            self.stage.clients.arrive(number, arrival)

    def record_lateness(self, late_s: float) -> None:
        """Note by how many seconds the test bed itself was late; a play that was too late is void."""
        self.lateness_s.append(max(0.0, late_s))
        self.worst_lateness_s = max(self.worst_lateness_s, late_s)

    async def _measure_lateness(self) -> None:
        """Record periodically how much later than due the event loop wakes a task."""
        loop = asyncio.get_running_loop()
        while True:
            due_at_s = loop.time() + LATENESS_CHECK_S
            await asyncio.sleep(LATENESS_CHECK_S)
            self.record_lateness(loop.time() - due_at_s)

    async def _sample_load(self) -> None:
        """Record samples periodically.

        `load`: `of`, by backend, has the work done and the capacity, both in ms of work per second, and the
        number of queued attempts; `over3` is the number of attempts that ran after more than 3 s in a queue;
        `counter` has the number of calls by outcome. `late`: the test bed's highest lateness since the last
        sample, in seconds. `proc`: `of` has CPU seconds and resident kilobytes by gateway, `lab` the CPU
        seconds of the test bed.
        """
        loop = asyncio.get_running_loop()
        used_ms, costs_sampled_at_s = dict.fromkeys(self.stage.backends, 0.0), 0.0
        while True:
            now, samples, waited_long = loop.time(), {}, 0
            for name, backend in self.stage.backends.items():
                machine = backend.machine
                spent_ms, used_ms[name] = machine.used_ms - used_ms[name], machine.used_ms
                capacity = machine.capacity(now) if backend.alive and not backend.paused else 0.0
                samples[name] = [
                    round(spent_ms / BACKEND_SAMPLE_S, 1),
                    round(capacity, 1),
                    len(machine.queue),
                ]
                waited_long, machine.waited_long = waited_long + machine.waited_long, 0
            self.records.add("load", of=samples, over3=waited_long, counter=dict(self.stage.counter.calls))
            self.records.add("late", worst=round(self.worst_lateness_s, 4))
            self.stage.counter.calls.clear()
            self.worst_lateness_s = 0.0
            if now - costs_sampled_at_s >= COST_SAMPLE_S:
                costs_sampled_at_s = now
                check_descriptors()
                costs = {name: g.resource_usage() for name, g in self.stage.gateways.items()}
                self.records.add("proc", of={n: c for n, c in costs.items() if c}, lab=time.process_time())
            await asyncio.sleep(BACKEND_SAMPLE_S)

    # ---- the end ----

    async def _end_all(self) -> None:
        """End all tasks and processes of the play, in whatever state they are."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.stage.front is not None:
            self.stage.front.close()
        for gateway in self.stage.gateways.values():
            if gateway.stopped:
                gateway.set_stopped(False)
        self.progress(self.scenario.duration_s, "gateways end")
        try:
            await asyncio.gather(*(g.term(END_TIMEOUT_S) for g in self.stage.gateways.values() if g.runs))
        finally:
            for gateway in self.stage.gateways.values():
                gateway.signal(signal.SIGKILL, "forced")
            await self.stage.close()

    def _make_result(self, wall_s: float, cpu_s: float) -> Result:
        """Judge the play and write its result, as the last event of the record and to a file of its own."""
        self.judge.finish()
        figures = self.judge.figures() | self.capacity_use.figures()
        expected, late_ms = self.scenario.expect, np.array(self.lateness_s or [0.0]) * 1000
        p99_late_ms, worst_late_ms = float(np.percentile(late_ms, 99)), float(late_ms.max())
        why = [f"{rule}: {int(count)} breaches" for rule, count in rules_broken(figures)]
        for name, minimum in expected.at_least.items():
            if figures.get(name, 0.0) < minimum:
                why.append(f"expected {name} of at least {minimum:g}, got {figures.get(name, 0.0):g}")
        for name, maximum in expected.at_most.items():
            if figures.get(name, 0.0) > maximum:
                why.append(f"expected {name} of at most {maximum:g}, got {figures.get(name, 0.0):g}")
        verdict = RULES_BROKEN if why else RULES_HELD
        if p99_late_ms > self.scenario.late_ms or worst_late_ms > self.scenario.stall_ms:
            verdict = VOID
            why.insert(0, f"the test bed was late: p99 {p99_late_ms:.0f} ms, worst {worst_late_ms:.0f} ms")
        lab = {
            "late p50 ms": round(float(np.percentile(late_ms, 50)), 2),
            "late p99 ms": round(p99_late_ms, 2),
            "late worst ms": round(worst_late_ms, 2),
            "CPU share": round(cpu_s / wall_s, 3),
            "memory MB": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
            "events": self.records.event_count,
            "record MB": round(self.records.size_bytes / 1e6, 2),
        }
        breaches = self.judge.breach_records()
        result = Result(
            self.scenario.name, self.seed, self.stage.timetable.digest, verdict, why, figures, breaches, lab
        )
        self.records.add("result", **msgspec.to_builtins(result))
        self.records.close()
        if self.records.write_error is not None:
            raise PlayError(f"the record can't be written: {self.records.write_error.strerror}")
        (self.out / RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
        return result


def check_descriptors() -> None:
    """Raise OSError if few descriptors are left: links would break by the test bed's fault."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    in_use = len(os.listdir("/proc/self/fd"))
    if soft != resource.RLIM_INFINITY and in_use > soft - SPARE_DESCRIPTORS // 4:
        raise OSError(errno.EMFILE, f"the test bed has {in_use} descriptors in use, the limit is {soft}")


def rules_broken(figures: dict[str, float]) -> Iterator[tuple[str, float]]:
    """Each broken rule and its number of breaches."""
    for name, count in figures.items():
        if name.startswith("breach.") and count:
            yield name.removeprefix("breach."), count


def play(
    scenario: Scenario, seed: int, out: Path, progress: Callable[[float, str], None] | None = None
) -> Result:
    """Play a scenario with a seed and write the record and the result to the folder `out`.

    `progress` is called with the seconds since the start of the load and the current phase. Raises PlayError,
    RecordError, AddressError or OSError if the play can't start or can't continue.
    """

    async def main() -> Result:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        # Set also if the test bed was started with these signals ignored.
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, task.cancel)
        new_play = Play(scenario, seed, out)
        if progress is not None:
            new_play.progress = progress
        try:
            return await new_play.run()
        except asyncio.CancelledError as error:
            raise PlayError("interrupted") from error

    return uvloop.run(main())
