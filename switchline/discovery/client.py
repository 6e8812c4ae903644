"""The list of backends: reading it and watching it for changes."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import math
import random
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Any

import h11

from switchline.clock import now_ms
from switchline.config import Address, parse_address
from switchline.net.descriptors import FIXED_PARTS, Budget, Part
from switchline.net.json_stream import JsonStream, StreamError
from switchline.policy.interface import BackendEntry, BackendState, ListScope

log = logging.getLogger(__name__)

PATH = "/catalog/members"
# A change counts as told 6 s after discovery had it, whatever became of calls meanwhile. So a silence, a call
# that is silent as well and the whole list from the one after it must fit into that time together.
SILENT_S = 2.6  # an empty line comes every 2 s
ANSWER_S = 1.0  # from the opening of a call to the head of its answer
BACKOFF_S = (0.1, 0.5)  # the first wait before a new call, and the longest
MOST_CALLS = FIXED_PARTS[Part.DISCOVERY]  # open at once
SPREAD = 0.5  # of a wait, either way
# A list that has to be asked for comes from one service of a fixed pace for all gateways. Danger: a fleet
# that asks at once, or again in step, fills its line with asks given up, and nobody is told anything.
ASKS_AT_ONCE, ASKS_PER_S = 4, 4.0  # of the whole fleet
MOST_APART_S = 1.0  # that asks are spread over, however large the fleet: more would not fit into the 6 s
LONGEST_OBJECT = 1024 * 1024  # bytes: a list of thousands of backends, yet little beside any memory limit
READ_BYTES = 65_536
STATES = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}


class DiscoveryError(Exception):
    """Discovery said what it should not."""


@dataclass(frozen=True, slots=True)
class Member:
    entry: BackendEntry
    address: Address


@dataclass(frozen=True, slots=True)
class MemberList:
    version: int
    whole: bool
    members: tuple[Member, ...]


Listener = Callable[[ListScope, tuple[Member, ...]], None]


def asks_apart(gateways: int) -> float:
    """Seconds that the asks of all gateways are spread over: none in a small fleet."""
    return min(MOST_APART_S, max(0, gateways - ASKS_AT_ONCE) / ASKS_PER_S)


def host_number(host: str) -> int:
    """A number for a host's name: the same at every gateway and after every start."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


def read_member(raw: dict[str, Any]) -> Member:
    started = float(raw.get("born_ms") or 0)
    if not math.isfinite(started):
        raise ValueError("born_ms")
    entry = BackendEntry(
        backend=host_number(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=int(raw.get("block") or 0),
        started=started,
        state=STATES[raw["health"]],
    )
    return Member(entry, parse_address(raw["dial"]))


def read_list(raw: Any) -> MemberList:
    try:
        members = tuple(read_member(host) for host in raw.get("hosts") or ())
        return MemberList(int(raw["seq"]), bool(raw.get("whole")), members)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"{type(error).__name__}: {error}") from error


class Call:
    """One HTTP call to discovery: a watch, or the whole list."""

    def __init__(self, silent_from: float) -> None:
        self.silent_from = silent_from  # on the event loop's clock: unless something comes before
        self.told = False  # it has said something beyond the head of its answer
        self.task: asyncio.Task[None] | None = None

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()


class Discovery:
    """Follows the list from a version on and reports each change.

    A call that falls silent is not closed at once: discovery may be down, and answers what it has been asked
    as soon as it is back. Another call is opened beside it, and the first to speak is followed from then on.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        listener: Listener,
        chance: random.Random,
        budget: Budget,
        apart: float = 0.0,
    ) -> None:
        self.address, self.version, self.listener, self.chance = address, version, listener, chance
        self.budget = budget
        self.apart = apart  # seconds that the fleet's asks are spread over; 0: an ask costs nobody anything
        self.wait, self.moved = BACKOFF_S[0], False  # moved: the platform expects its news to be taken soon
        self.first_wait = chance.uniform(0, apart) if version is not None else 0.0
        self.calls: list[Call] = []  # that are open, the oldest first
        self.ended: Call | None = None  # the newest one, if it has ended by itself
        self.turned = asyncio.Event()  # a call has ended, another one is followed, or all shall begin anew
        self.heard = asyncio.Event()  # it has told something
        self.held_until = -math.inf  # by `now_ms`: the list as it was known held until then
        self.took: Callable[[], None] = lambda: None  # another list holds
        self.keep: Callable[[dict[str, Any]], None] = lambda raw: None  # of what it told, as it was told
        self.weigh: Callable[[dict[str, Any]], dict[str, Any] | None] = lambda raw: raw  # None: not believed

    def move(self, address: Address) -> None:
        """Follow the list at another address, from the version it has."""
        if address != self.address:
            log.info("discovery moves to %s:%d", *address)
            self.address, self.moved = address, True
            self._close_calls()

    def anew(self) -> None:
        """What is known did not come from here alone: read everything again."""
        self.version = None
        self._close_calls()

    async def run(self) -> None:
        """Follow the list until this is cancelled."""
        try:
            await self._rest(self.first_wait)
            while True:
                if not self._is_followed():
                    self._open()
                ended = await self._until_needed()
                if ended is not None:
                    await self._rest(self.pause(ended.told))
                elif self.apart:
                    await self._rest(self.pause(heard=True))
        finally:
            self._close_calls()

    def pause(self, heard: bool) -> float:
        """Seconds until the next call, after one that told something or did not."""
        self.wait = BACKOFF_S[0] if heard else min(BACKOFF_S[1], self.wait * 2)
        apart, self.moved = 0.0 if self.moved else self.apart, False
        return max(self.wait, apart) * self.chance.uniform(1 - SPREAD, 1 + SPREAD)

    async def _rest(self, seconds: float) -> None:
        """Wait, unless all shall begin anew meanwhile."""
        self.turned.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.turned.wait()

    def _is_followed(self) -> bool:
        """Whether there is a call that is worth waiting for."""
        return bool(self.calls) and self.calls[-1].silent_from > asyncio.get_running_loop().time()

    async def _until_needed(self) -> Call | None:
        """Wait until another call has to be opened; gives the one that ended, if that is why."""
        while self._is_followed() and self.ended is None:
            self.turned.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self.calls[-1].silent_from):
                    await self.turned.wait()
        ended, self.ended = self.ended, None
        return ended

    # ---- calls ----

    def _open(self) -> None:
        """Open a call; of those that are silent the oldest gives way."""
        while len(self.calls) >= MOST_CALLS:
            self._drop(self.calls[0])
        loop = asyncio.get_running_loop()
        call = Call(loop.time() + (SILENT_S if self.apart else ANSWER_S))
        self.calls.append(call)
        call.task = loop.create_task(self._follow(call))

    def _drop(self, call: Call) -> None:
        self.calls.remove(call)
        call.close()

    def _close_calls(self) -> None:
        for call in list(self.calls):
            self._drop(call)
        self.turned.set()

    def _speaks(self, call: Call) -> None:
        """Something of its answer has come."""
        call.silent_from = asyncio.get_running_loop().time() + SILENT_S

    def _is_first(self, call: Call) -> None:
        """It is the first of the calls to tell something: it is followed, and no other is needed."""
        call.told = True
        for other in [one for one in self.calls if one is not call]:
            self._drop(other)
            self.turned.set()

    async def _follow(self, call: Call) -> None:
        """Read a call's answer to its end, whatever that is."""
        try:
            async with contextlib.aclosing(self._objects(call)) as objects:
                async for raw in objects:
                    self._take(raw)
            reason = "ended"
        except (OSError, h11.ProtocolError, DiscoveryError, StreamError) as error:
            if isinstance(error, OSError):
                self.budget.relieve(error)
            reason = " ".join(str(error).split()) or type(error).__name__
        except Exception:
            # Without a watch the list goes stale and drains are missed, so it goes on whatever came.
            log.exception("a change could not be taken")
            reason, self.version = "failed", None
        if call in self.calls:
            log.info("watch %s", reason)
            self.ended = call if call is self.calls[-1] else None
            self.calls.remove(call)
            self.turned.set()

    def _target(self) -> str:
        # With no version known, the whole list comes first.
        return PATH if self.version is None else f"{PATH}?stream=1&index={self.version}"

    def _take(self, raw: Any) -> None:
        try:
            got = read_list(raw)
        except DiscoveryError:
            self.version = None  # what this change held is not known: read everything again
            raise
        if not got.whole and self.version is not None and got.version < self.version:
            self.version = None  # discovery counts anew, or tells what is long over
            raise DiscoveryError(f"a change of an older list, {got.version}")
        if (weighed := self.weigh(raw)) is None:
            raise DiscoveryError("its list is held back")
        if weighed is not raw:
            raw, got = weighed, read_list(weighed)
        if got.whole or got.members:
            self.listener(ListScope.FULL if got.whole else ListScope.CHANGES, got.members)
        self.version, self.held_until = got.version, now_ms()
        self.keep(raw)
        self.took()
        self.heard.set()

    async def _objects(self, call: Call) -> AsyncGenerator[Any, None]:
        """The objects of a call's answer as they come."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.budget.acquire(Part.DISCOVERY)
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(self._encoded_request(http))
            stream = JsonStream(LONGEST_OBJECT)
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(READ_BYTES))
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                    log.info("watch open from %s on", self.version)
                    self._speaks(call)
                elif isinstance(event, h11.Data):
                    self._speaks(call)
                    objects = stream.feed(event.data)
                    if objects or not stream.unfinished:
                        self._is_first(call)
                    for raw in objects:
                        yield raw
                    if not objects and not stream.unfinished and self.version is not None:
                        self.held_until = now_ms()  # an empty line: nothing has changed
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    for raw in stream.finish():
                        yield raw
                    return
        finally:
            writer.close()
            self.budget.release(Part.DISCOVERY)

    def _encoded_request(self, http: h11.Connection) -> bytes:
        host, port = self.address
        headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
        request = h11.Request(method="GET", target=self._target(), headers=headers)
        return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")
