"""The sockets of the line between gateways: datagrams by UDP, exchanges of all that is known by TCP.

`fleet.node` decides all that is said; this owns the sockets, the timer and the clock. Without the
configuration's table `fleet` nothing here is imported.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple, cast

from switchline.clock import now_ms
from switchline.config import Address, FleetLink
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import FactLimitError
from switchline.fleet.frames import FrameCodec
from switchline.fleet.members import alive_claim
from switchline.fleet.messages import MAX_EXCHANGE_BYTES, Entry, Incarnation, MemberState

log = logging.getLogger(__name__)

FACTS_S = 0.25  # between two looks at what this gateway has to tell
AGAIN_S = 1.0  # until the address is tried again that could not be had
EXCHANGE_S = 2.0  # for an exchange, from its connection to its end
MOST_IN, MOST_OUT = 4, 2  # exchanges at once, that others begin and that this one begins
BACKLOG = 16
REPORT_S = 10.0  # one line for all that was dropped in that time
SPOILT_PER_S = 200  # frames of one host that are looked at once they are found spoilt so often in a second
MOST_HOSTS = 256  # whose spoilt frames are counted
LENGTH_BYTES = 4  # before each frame of an exchange
LIFE = "life"  # the file in the folder of the state


class Word(NamedTuple):
    """Something that this gateway has to tell; `at` is an operator's call, else 0."""

    kind: str
    name: str
    value: str | None
    at: float = 0.0


def next_life(folder: Path | None, chance: random.Random) -> Incarnation:
    """A life above all before it: by the wall clock, and by the last one on disk where there is a folder.

    The second number tells two processes apart that begin from copies of one folder, or at one moment.
    """
    life = int(now_ms())
    if folder is not None:
        path = folder / LIFE
        try:
            life = max(life, int(path.read_text()) + 1)
        except (OSError, ValueError):
            pass  # none is there yet, or none that can be read: the clock's is as good
        try:
            whole = path.with_suffix(f".{os.getpid()}")
            with whole.open("w") as file:
                file.write(str(life))
                file.flush()
                os.fsync(file.fileno())
            whole.rename(path)
        except OSError as error:
            log.warning("the life of this process can't be kept: %s", error)
    return life, chance.getrandbits(40)


class Peers(asyncio.DatagramProtocol):
    """One gateway's end of the line, from its start to its end."""

    def __init__(
        self,
        name: str,
        line: FleetLink,
        life: Incarnation,
        chance: random.Random,
        words: Callable[[], Iterator[Word]],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.line, self.words = line, words
        me, codec = alive_claim(name, life, line.advertise), FrameCodec(line.fleet, line.secret)
        self.node = ProtocolEndpoint(me, line.seeds, codec, chance, self.loop.time(), now_ms())
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0.0  # when it calls
        self.tasks: set[asyncio.Task[None]] = set()
        self.taken = self.begun = 0  # exchanges under way
        self.words_at = 0.0
        self.over_said: set[tuple[str, str]] = set()  # facts over a bound that the log has told of
        self.spoilt: dict[str, int] = {}  # by host, in this second
        self.spoilt_at = 0.0
        self.reported: dict[str, int] = {}
        self.report_at = self.loop.time() + REPORT_S
        self.looked: Callable[[], None] = lambda: None  # called after each look at what is to be told
        self.quiet = False  # another process has this name
        self.closed = False

    # ---- its life ----

    async def open(self) -> None:
        """Take part; where the address can't be had it is tried again, and the gateway serves meanwhile."""
        self._tell()  # before anyone can ask
        try:
            self.server = await asyncio.start_server(self._serve, *self.line.listen, backlog=BACKLOG)
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.line.listen)
        except OSError as error:
            log.error("the line to other gateways can't listen at %s:%d: %s", *self.line.listen, error)
            if self.server is not None:
                self.server.close()
                self.server = None
            if not self.closed:
                self.timer = self.loop.call_later(AGAIN_S, self._spawn, self.open())
            return
        if self.closed:
            return self.close()
        log.info("the line to other gateways is open at %s:%d", *self.line.listen)
        self._turn()

    def leave(self) -> None:
        """Tell the others that this gateway ends."""
        if self.transport is not None:
            self.node.leave()
            self._flush()

    def close(self) -> None:
        self.closed = True
        for task in self.tasks:
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
        if self.transport is not None:
            self.transport.close()

    def _spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # ---- datagrams ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        now, host = self.loop.time(), str(addr[0])
        if self.spoilt and now - self.spoilt_at >= 1.0:
            self.spoilt.clear()
        if self.spoilt.get(host, 0) >= SPOILT_PER_S:
            self.node.refuse("flood")
            return
        if not self.node.receive_datagram(now, now_ms(), data):
            if not self.spoilt:
                self.spoilt_at = now
            if host in self.spoilt or len(self.spoilt) < MOST_HOSTS:
                self.spoilt[host] = self.spoilt.get(host, 0) + 1
            return
        self._flush()
        self._arm()

    def error_received(self, exc: Exception) -> None:
        self.node.refuse("unsent")  # the system could not send one: as lost on its way

    def _flush(self) -> None:
        for to, frame in self.node.take_datagrams():
            if self.transport is not None and not self.transport.is_closing():
                self.transport.sendto(frame, to)
        for to in self.node.take_exchanges():
            if self.begun < MOST_OUT:
                self.begun += 1
                self._spawn(self._exchange(to))

    # ---- time ----

    def _turn(self) -> None:
        """Do what is due, and wait for what is next. The timer may have called a little early."""
        now, self.due = self.loop.time(), 0.0
        if now >= self.words_at:
            self.words_at = now + FACTS_S
            self._tell()
            self.looked()
        self.node.tick(now, now_ms())
        self._flush()
        if now >= self.report_at:
            self.report_at = now + REPORT_S
            self._report()
        self._arm()

    def _arm(self) -> None:
        now = self.loop.time()
        due = min(self.node.due(now), self.words_at)
        if self.timer is not None:
            if now < self.due <= due:
                return
            self.timer.cancel()
        self.due = due
        self.timer = self.loop.call_at(due, self._turn)

    def _tell(self) -> None:
        """Tell what has changed of this gateway."""
        for word in self.words():
            try:
                self.node.tell(word.at or now_ms(), word.kind, word.name, word.value)
            except FactLimitError as error:
                if (word.kind, word.name) not in self.over_said:
                    self.over_said.add((word.kind, word.name))
                    log.warning("not told to the other gateways: %s", error)

    def say(self, word: Word) -> None:
        """Tell one fact at once; raises FactLimitError."""
        self.node.tell(word.at or now_ms(), word.kind, word.name, word.value)
        self.spread()

    def spread(self) -> None:
        """Send what others have put into the node."""
        if self.transport is not None:
            self._flush()
            self._arm()

    def _report(self) -> None:
        refused, before = self.node.refused, self.reported
        new = {why: number - before.get(why, 0) for why, number in refused.items()}
        if any(new.values()):
            told = ", ".join(f"{why} {number}" for why, number in sorted(new.items()) if number)
            log.warning("line to other gateways: dropped in the last %d s: %s", REPORT_S, told)
        self.reported = dict(refused)
        if self.quiet is not self.node.members.superseded:
            self.quiet = self.node.members.superseded
            said = "another process has this name" if self.quiet else "this process has its name again"
            log.warning("line to other gateways: %s", said)

    # ---- exchanges ----

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if length > MAX_EXCHANGE_BYTES:
            raise ValueError("too long")
        return await reader.readexactly(length)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.taken >= MOST_IN:
            writer.close()
            return
        self.taken += 1
        try:
            async with asyncio.timeout(EXCHANGE_S):
                frame = await self._read(reader)
                if self.node.receive_exchange(self.loop.time(), now_ms(), frame, False):
                    self._write(writer, self.node.exchange_frame(True))
                    await writer.drain()
                    self._flush()
                    self._arm()
        except (OSError, ValueError, EOFError):
            self.node.refuse("exchange")
        finally:
            self.taken -= 1
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        writer.write(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)

    async def _exchange(self, to: Address) -> None:
        """Exchange all that is known with one other gateway."""
        writer = None
        try:
            async with asyncio.timeout(EXCHANGE_S):
                reader, writer = await asyncio.open_connection(*to, local_addr=(self.line.listen[0], 0))
                self._write(writer, self.node.exchange_frame(False))
                frame = await self._read(reader)
            if self.node.receive_exchange(self.loop.time(), now_ms(), frame, True):
                self._flush()
                self._arm()
        except (OSError, ValueError, EOFError):
            self.node.refuse("exchange")
        finally:
            self.begun -= 1
            if writer is not None:
                writer.close()

    # ---- what staff see ----

    def gauges(self) -> dict[str, int]:
        members = self.node.members
        states = [member.state for member in members.others.values()]
        return {
            "fleet.members": members.size,
            "fleet.suspect": sum(state is MemberState.SUSPECT for state in states),
            "fleet.dead": sum(state is MemberState.DEAD for state in states),
            "fleet.facts": len(self.node.facts.table),
            "fleet.minority": int(members.minority),
            "fleet.quiet": int(members.superseded),
            "fleet.sent": self.node.sent,
            "fleet.received": self.node.received,
            "fleet.dropped": sum(self.node.refused.values()),
        }

    def shown(self) -> dict[str, Any]:
        """For `GET /ops/fleet`: ages and times since are in seconds."""
        now, wall, members = self.loop.time(), now_ms(), self.node.members
        me = members.me
        rows: dict[str, dict[str, Any]] = {
            me.name: {"state": "self", "life": list(me.incarnation), "address": f"{me.host}:{me.port}"}
        }
        for name, member in sorted(members.others.items()):
            rows[name] = {
                "state": member.state.name.lower(),
                "life": list(member.update.incarnation),
                "address": "{}:{}".format(*member.address),
                "heard_s": round(now - member.heard, 2),
                "since_s": round(now - member.since, 2),
            }
        for (_, origin), stored in self.node.facts.of_kind(FactKind.ZONE).items():
            if origin in rows and stored.entry.value is not None:
                rows[origin]["zone"] = stored.entry.value
        facts = [self._fact(stored.entry, wall) for stored in self.node.facts.table.values()]
        facts.sort(key=lambda fact: (fact["kind"], fact["name"], fact["origin"]))
        return {
            "name": me.name,
            "fleet": self.line.fleet,
            "minority": members.minority,
            "quiet": members.superseded,
            "health": members.health.score,
            "counts": dict(members.counts),
            "members": rows,
            "facts": facts,
            "dropped": dict(self.node.refused),
        }

    def _fact(self, entry: Entry, wall: float) -> dict[str, Any]:
        return {
            "kind": entry.kind,
            "name": entry.name,
            "origin": entry.origin,
            "value": entry.value,
            "age_s": round((wall - entry.at) / 1000, 2),
        }
