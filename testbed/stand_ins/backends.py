"""Backends that stand in for the real ones."""

from __future__ import annotations

import asyncio
import math
from collections import Counter as Counts
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from testbed.network.sockets import LOCAL, Ends, Peer, Reply, Script, Server, ends_of
from testbed.scenario import Backends as Given
from testbed.settings import RULES
from testbed.verdict.records import Records


class Backend(Server):
    """Answers each command as `script` says; None stays silent, b"" hangs up."""

    def __init__(self, script: Script | None = None) -> None:
        super().__init__()
        self.script = script or self.serve
        self.got: list[list[bytes]] = []
        self.ended = 0  # connections that the gateway closed

    async def serve(self, command: list[bytes]) -> Reply:
        return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.got.append(command)
            reply = await self.script(command)
            if reply == b"":
                return
            if reply:
                writer.write(reply)
        self.ended += 1


VALUE = b"made-by-%b-for-%b"
BUSY = b"-BUSY\r\n"
SLACK_MS = 400.0  # of core time over a window: chance, as the rule on cold backends allows some
WINDOW_S = RULES["fall"] / 1000
LONG_WAIT_S = 3.0


@dataclass
class Job:
    """One attempt at a backend; `run` resolves to the reply, or to None where it is not owed any more."""

    gateway: str
    request: str
    work_ms: float
    expires: float  # seconds on the loop's clock
    reply: asyncio.Future[Reply]
    attempt: int
    came: float  # on the loop's clock


@dataclass
class Rack:
    """Backends that drop each other's repeats: by key, when it was first taken, and its value."""

    seen: dict[str, tuple[float, bytes]] = field(default_factory=dict)

    def took(self, key: str, value: bytes, now: float, window_s: float) -> bytes | None:
        """The value of an earlier take within the window, or None: this one is the first."""
        for old, (at, _) in list(self.seen.items()):
            if now - at <= window_s:
                break
            del self.seen[old]
        if (found := self.seen.get(key)) is not None:
            return found[1]
        self.seen[key] = now, value
        return None


class Machine:
    """The model of a backend: cores, a queue, a slow start after each start, and the fall of a cold one.

    Time is given in; nothing here waits. A cold one's capacity rises evenly from the cold share to the whole.
    It falls over once more work has come to it within the window, while it is cold, than the rule allows.
    """

    def __init__(self, given: Given) -> None:
        self.given = given
        self.factor = 1.0  # of its speed, by a fault
        self.born = -math.inf  # its start, on the loop's clock; before the play: warm
        self.busy = 0
        self.queue: deque[Job] = deque()
        self.came: deque[tuple[float, float, str]] = deque()  # while cold: when, how much work, of whom
        self.fallen = False
        self.used_ms = 0.0  # core time spent on work, at speed 1
        self.waited_long = 0  # attempts begun after so long in the queue

    def warmth(self, now: float) -> float:
        age = (now - self.born) / self.given.warm_s if self.given.warm_s else 1.0
        return min(1.0, self.given.start_capacity + (1 - self.given.start_capacity) * age)

    def capacity(self, now: float) -> float:
        """Milliseconds of work that it can do in a second."""
        whole = 1000.0 * self.given.cores * self.given.speed * self.factor
        return 0.0 if self.fallen else whole * self.warmth(now)

    def takes_ms(self, now: float, work_ms: float) -> float:
        return work_ms / max(1e-6, self.given.speed * self.warmth(now) * self.factor)

    def pressed(self, now: float, work_ms: float, gateway: str) -> dict[str, float] | None:
        """Count work that reaches it; gives each gateway's part of it where this makes it fall over."""
        if self.fallen or self.warmth(now) >= 1:
            self.came.clear()
            return None
        self.came.append((now, work_ms, gateway))
        while self.came and self.came[0][0] < now - WINDOW_S:
            self.came.popleft()
        middle = max(self.born, now - WINDOW_S / 2)
        can = self.capacity(middle) / max(1e-6, self.factor) * WINDOW_S
        if sum(work for _, work, _ in self.came) <= RULES["fallMultiple"] * can + SLACK_MS:
            return None
        self.fallen = True
        parts: Counts[str] = Counts()
        for _, work, of in self.came:
            parts[of] += work  # type: ignore[assignment]
        return dict(parts)

    def start(self, now: float) -> None:
        self.born, self.busy, self.fallen, self.factor = now, 0, False, 1.0
        self.queue.clear()
        self.came.clear()


class ModelBackend(Backend):
    """A backend that does the work it is sent as its `Machine` can, and tells the records of each attempt."""

    def __init__(
        self,
        name: str,
        zone: str,
        given: Given,
        rack: Rack,
        records: Records,
        of: Callable[[Ends], tuple[str, float]],
        works: Callable[[str], float],
    ) -> None:
        super().__init__()
        self.name, self.zone, self.rack, self.records = name, zone, rack, records
        self.of = of  # by a connection's ends: the gateway, and when the request's first byte came from it
        self.works = works  # a request's work in milliseconds
        self.machine = Machine(given)
        self.attempts = 0
        self.paused = False
        self.alive = True
        self.ends: set[asyncio.TimerHandle] = set()
        self.breaks: str = ""  # a rule that it is told to break, for tests of the judge

    async def start(self, host: str = LOCAL, port: int = 0) -> None:
        await super().start(host, port)
        self.loop = asyncio.get_running_loop()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer, ends = Peer(reader, writer), ends_of(writer)
        if len(self.open) > self.machine.given.connections or not self.alive:
            return
        while (command := await peer.receive()) is not None:
            if command[0] in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
            elif command[0] not in (b"API.READ", b"API.WRITE"):
                writer.write(b"+PONG\r\n" if command[0] == b"PING" else b"-ERR unknown\r\n")
            else:
                await self.attempt(command, ends, peer)

    async def attempt(self, command: list[bytes], ends: Ends, peer: Peer) -> None:
        """Serve one command; a gateway that goes away meanwhile has given the attempt up."""
        gateway, first_at = self.of(ends)
        now, request = self.loop.time(), command[2].decode()
        given = dict(item.partition(b"=")[::2] for item in command[3].split(b","))
        self.attempts += 1
        job = Job(
            gateway,
            request,
            self.works(request),
            now + int(given[b"d"]) / 1000,
            self.loop.create_future(),
            self.attempts,
            now,
        )
        self.records.add(
            "got",
            b=self.name,
            n=job.attempt,
            g=gateway,
            id=request,
            c=command[1].decode(),
            cls=given[b"c"].decode(),
            plan=given[b"t"].decode(),
            units=float(given[b"units"]),
            key=given.get(b"k", b"").decode(),
            d=int(given[b"d"]),
            ago=round(now - first_at, 4) if first_at else 0.0,
        )
        how = self.take(job, given.get(b"k", b"").decode(), now)
        if how:
            self.end(job, how, BUSY)
        left = self.loop.create_task(peer.reader.read(1))
        try:
            waited: list[asyncio.Future[Any]] = [job.reply, left]
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            if not job.reply.done():
                self.end(job, "left", None)
                job.reply.cancel()
                raise ConnectionResetError
            reply = job.reply.result()
            if reply is None:
                raise ConnectionResetError
            peer.writer.write(reply)
            if left.done() and not left.result():
                raise ConnectionResetError
        finally:
            left.cancel()
        with_more = await asyncio.gather(left, return_exceptions=True)
        if isinstance(with_more[0], bytes) and with_more[0]:
            peer.resp.feed(with_more[0])

    def take(self, job: Job, key: str, now: float) -> str:
        """Take a job to work or to the queue; says why not, if not."""
        if parts := self.machine.pressed(now, job.work_ms, job.gateway):
            self.records.add("back", b=self.name, what="fell", parts=parts)
            self.loop.call_soon(self.die)
            return "full"
        if len(self.machine.queue) >= self.machine.given.queue:
            return "full"
        if key:
            value = VALUE % (self.name.encode(), job.request.encode())
            earlier = self.rack.took(key, value, now, 5.0)
            if earlier is not None and self.breaks != "repeats":
                self.end(job, "repeat", b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(earlier), earlier))
                return ""
        self.machine.queue.append(job)
        self.work()
        return ""

    def work(self) -> None:
        """Begin what waits, as far as cores are free; what is overdue is not begun."""
        machine, now = self.machine, self.loop.time()
        while not self.paused and machine.queue and machine.busy < machine.given.cores:
            job = machine.queue.popleft()
            if now >= job.expires:
                self.end(job, "over", BUSY)
                continue
            machine.busy += 1
            machine.waited_long += now - job.came > LONG_WAIT_S
            self.records.add("run", b=self.name, n=job.attempt, id=job.request)
            took = machine.takes_ms(now, job.work_ms) / 1000
            handle = self.loop.call_later(took, self.done, job)
            self.ends.add(handle)

    def done(self, job: Job) -> None:
        if self.paused:
            self.ends.add(self.loop.call_later(0.05, self.done, job))
            return
        self.machine.busy -= 1
        self.machine.used_ms += job.work_ms
        value = VALUE % (self.name.encode(), job.request.encode())
        if self.breaks == "value":
            value = b"made-up"
        self.end(job, "served", b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
        self.work()
        if len(self.ends) > 1000:
            self.ends = {handle for handle in self.ends if handle.when() > self.loop.time()}

    def end(self, job: Job, how: str, reply: Reply) -> None:
        if not job.reply.done():
            self.records.add("end", b=self.name, n=job.attempt, id=job.request, how=how)
            if how != "left":
                job.reply.set_result(reply)

    # ---- what faults do ----

    def die(self) -> None:
        """Its process ends: what was in it is lost."""
        if self.alive:
            self.alive = False
            self.records.add("back", b=self.name, what="dead")
            self.stop_work()
            for task in list(self.tasks):
                task.cancel()

    def stop_work(self) -> None:
        for handle in self.ends:
            handle.cancel()
        self.ends.clear()
        self.machine.start(-math.inf)

    def begin(self) -> None:
        """It starts, cold."""
        self.stop_work()
        self.machine.start(self.loop.time())
        self.alive = True
        self.records.add("back", b=self.name, what="cold")

    def pause(self, on: bool) -> None:
        self.paused = on
        self.records.add("back", b=self.name, what="paused" if on else "goes on")
        if not on:
            self.work()
