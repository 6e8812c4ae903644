"""Clients and the front before the gateways: an open loop of requests, each of them watched to its end.

Arrivals come from the timetable and wait for no answer. A client retries as the protocol page says: work that
is safe to repeat after any failure, the rest only after a refusal or where no gateway could be reached.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable
from typing import Any

import hiredis

from testbed import settings
from testbed.network.links import DirectJoint, DirectLink
from testbed.network.sockets import encode
from testbed.scenario import MAX_TRIES, RETRY_BACKOFF_MS, Arrival, Scenario
from testbed.verdict.records import Records

CONNECT_S = 1.0  # that a client waits for a connection
KNOWN_S = 30.0  # for so long backends can be sent a request that has ended
GRACE_S = 0.6  # after its time a client listens on, to see whether an answer comes too late
PING_S = 0.5  # for an answer to PING
MOST_IDLE = 64  # connections that stand idle to one gateway


class Talk:
    """One connection of a client: one request at a time."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader(notEnoughData=Ellipsis, replyError=Refusal)
        self.joint: DirectJoint | None = None
        self.waiting: asyncio.Future[Any] | None = None
        self.ended = False
        self.used = 0
        self.extra = 0  # answers that nobody had asked for

    def came(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while (got := self.reader.gets()) is not Ellipsis:
                if self.waiting is None or self.waiting.done():
                    self.extra += 1
                else:
                    self.waiting.set_result(got)
        except hiredis.ProtocolError as error:
            if self.waiting is not None and not self.waiting.done():
                self.waiting.set_exception(ValueError(str(error)))
            self.close()

    def gone(self, reset: bool) -> None:
        self.ended = True
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionResetError() if reset else EOFError())

    def close(self) -> None:
        self.ended = True
        if self.joint is not None:
            self.joint.close()


class Refusal(Exception):
    """An error line."""


class Pool:
    """A client machine's connections to one gateway: kept, and more opened once all are busy."""

    def __init__(self, link: DirectLink) -> None:
        self.link = link
        self.idle: list[Talk] = []

    async def get(self) -> Talk:
        while self.idle:
            talk = self.idle.pop()
            if not talk.ended:
                return talk
        talk = Talk()
        talk.joint = await self.link.connect(talk.came, talk.gone, CONNECT_S)
        return talk

    def put(self, talk: Talk) -> None:
        if talk.ended or len(self.idle) >= MOST_IDLE:
            talk.close()
        else:
            self.idle.append(talk)


class Front:
    """Knows which gateways take clients: by PING, and of a death only some time after it."""

    def __init__(self, links: dict[str, DirectLink], scenario: Scenario, records: Records) -> None:
        self.pools = {name: Pool(link) for name, link in links.items()}
        self.links, self.records = links, records
        self.every_s, self.notice_s = scenario.load.ping_s, scenario.load.notice_s
        self.up: dict[str, bool] = dict.fromkeys(links, False)
        self.missed_since: dict[str, float] = {}
        self.answered: Callable[[str], None] = lambda name: None  # told of each yes
        self.tasks = [asyncio.get_running_loop().create_task(self.look(name)) for name in links]

    async def look(self, name: str) -> None:
        loop, talk = asyncio.get_running_loop(), None
        while True:
            started, said = loop.time(), None
            try:
                async with asyncio.timeout(PING_S):
                    if talk is None or talk.ended:
                        talk = Talk()
                        talk.joint = await self.links[name].connect(talk.came, talk.gone, PING_S)
                    talk.waiting = loop.create_future()
                    assert talk.joint is not None
                    talk.joint.write(encode(b"PING"))
                    said = await talk.waiting
            except (OSError, EOFError, ValueError):
                if talk is not None:
                    talk.close()
                talk = None
            self.heard(name, said, loop.time())
            await asyncio.sleep(max(0.0, started + self.every_s - loop.time()))

    def heard(self, name: str, said: object, now: float) -> None:
        if said == b"PONG":
            self.missed_since.pop(name, None)
            self.turn(name, True)
            self.answered(name)
        elif said is not None:
            self.turn(name, False)  # it sends clients away
        elif now - self.missed_since.setdefault(name, now) >= self.notice_s:
            self.turn(name, False)

    def turn(self, name: str, up: bool) -> None:
        if self.up[name] is not up:
            self.up[name] = up
            self.records.add("front", g=name, up=up)

    def choose(self, members: list[str], turn: int) -> str:
        """A gateway of a customer's set, the next one where the front knows it is not there."""
        for step in range(len(members)):
            name = members[(turn + step) % len(members)]
            if self.up[name]:
                return name
        return members[turn % len(members)]

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()


class Clients:
    """All clients of a play."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        customers: list[tuple[str, int, int]],
        front: Front,
        records: Records,
    ) -> None:
        self.grace_s = GRACE_S + scenario.slack_s
        self.scenario, self.seed, self.front, self.records = scenario, seed, front, records
        self.customers = customers
        self.names = scenario.gateway_names
        self.work: dict[str, float] = {}  # by request: milliseconds, for the backends
        self.reached: set[str] = set()  # requests that a backend has been sent
        self.tasks: set[asyncio.Task[None]] = set()

    def work_of(self, request: str) -> float:
        """For a backend that is sent a request: its work in milliseconds."""
        self.reached.add(request)
        return self.work.get(request, settings.WORK_MS["kalkyl"])

    def forget(self, request: str) -> None:
        self.work.pop(request, None)
        self.reached.discard(request)

    def arrive(self, number: int, arrival: Arrival) -> None:
        task = asyncio.get_running_loop().create_task(self.serve(number, arrival))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def identify(self, number: int, attempt: int) -> str:
        return hashlib.blake2b(f"{self.seed}:{number}:{attempt}".encode(), digest_size=8).hexdigest()

    async def serve(self, number: int, arrival: Arrival) -> None:
        """One client's request, with its retries."""
        loop, chance = asyncio.get_running_loop(), random.Random(f"{self.seed}:{number}")
        kind = settings.CLASSES[arrival.class_index]
        ends = loop.time() + kind["deadline"] / 1000
        first = self.identify(number, 0)
        for attempt in range(MAX_TRIES):
            left_ms = int((ends - loop.time()) * 1000)
            wait_ms = min(arrival.deadline_ms, left_ms)
            if wait_ms < 50:
                return
            request = self.identify(number, attempt)
            how, rest_ms = await self.ask(request, first, arrival, attempt, wait_ms)
            may = how in ("refused", "unreached") or (kind["effect"] == "pure" and how != "served")
            if not (may and self.scenario.load.retries) or attempt == MAX_TRIES - 1:
                return
            back_off = max(rest_ms, RETRY_BACKOFF_MS[attempt]) * chance.uniform(1.0, 1.5)
            await asyncio.sleep(back_off / 1000)

    async def ask(
        self, request: str, first: str, arrival: Arrival, attempt: int, wait_ms: int
    ) -> tuple[str, float]:
        """One try; gives how it ended and for how long the client is to stay away."""
        plan, start, spread = self.customers[arrival.customer]
        members = [self.names[(start + step) % len(self.names)] for step in range(spread)]
        gateway = self.front.choose(members, arrival.gateway_turn + attempt)
        kind = settings.CLASSES[arrival.class_index]
        customer = f"{arrival.customer + 1:016x}"
        items = [f"c={kind['name']}", f"t={plan}", f"d={wait_ms}"]
        if kind["effect"] == "token":
            items.append(f"k={first}")
        items += [f"units={arrival.units}", f"spread={spread}", f"first={start}"]
        verb = b"API.READ" if kind["effect"] == "pure" else b"API.WRITE"
        words = (verb, customer.encode(), request.encode(), ",".join(items).encode())
        self.work[request] = arrival.work_ms
        asked = {"id": request, "first": first, "g": gateway, "c": customer, "cls": kind["name"]}
        self.records.add("ask", **asked, plan=plan, units=arrival.units, d=wait_ms, k=attempt)
        try:
            how, more = await self.talk(gateway, request, encode(*words), wait_ms / 1000)
        finally:
            asyncio.get_running_loop().call_later(KNOWN_S, self.forget, request)
        self.records.add("ans", id=request, g=gateway, how=how, **more)
        return how, float(more.get("ms", 0.0))

    async def talk(
        self, gateway: str, request: str, line: bytes, wait_s: float
    ) -> tuple[str, dict[str, Any]]:
        """Send a request and see what becomes of it; on an old connection that was reset, once more."""
        pool, loop = self.front.pools[gateway], asyncio.get_running_loop()
        ends = loop.time() + wait_s
        for again in (False, True):
            try:
                talk = await pool.get()
            except OSError:
                return "unreached", {}
            assert talk.joint is not None
            talk.waiting, talk.used = loop.create_future(), talk.used + 1
            talk.joint.write(line)
            try:
                async with asyncio.timeout_at(ends + self.grace_s):
                    said = await talk.waiting
            except TimeoutError:
                talk.close()
                return "silent", {}
            except ValueError as error:
                return "failed", {"said": str(error)[:80]}
            except (ConnectionResetError, EOFError) as error:
                # Reset: it lay unread, unless a backend has it. Closed with an end: it had been read.
                unread = isinstance(error, ConnectionResetError) and not talk.joint.was_cut
                unread = unread and request not in self.reached
                if unread and talk.used > 1 and not again and loop.time() < ends:
                    continue
                return "broken", {"reset": isinstance(error, ConnectionResetError), "fresh": talk.used == 1}
            pool.put(talk)
            more: dict[str, Any] = {"extra": talk.extra} if talk.extra else {}
            if isinstance(said, bytes):
                return "served", {"value": said.decode("latin1")[:100], **more}
            if isinstance(said, Refusal) and str(said).split(" ")[0] == "BUSY":
                words = str(said).split(" ")
                return "refused", {"ms": float(words[1]) if len(words) > 1 else 0.0, **more}
            return "failed", {"said": str(said)[:80], **more}
        return "broken", {}

    async def finish(self, within_s: float) -> None:
        """Wait for the requests that are open."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=within_s)
        for task in self.tasks:
            task.cancel()
