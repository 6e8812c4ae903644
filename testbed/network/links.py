"""Links: every path between two ends passes one, and the lab decides what becomes of it.

A path has two ways. Each can delay, lose, duplicate, reorder or hold what goes along it; on TCP a lost piece
comes later, as it is sent again, and a held one waits. A path can also refuse, reset or be cut: then nothing
is said, open connections stay silent and new ones never come up (their handshakes are dropped by a listening
socket whose queue is full), and those that had begun are reset once it is back.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, cast

from testbed.network import sockets
from testbed.network.addresses import Address
from testbed.network.sockets import LINGER, Ends

BACKLOG = 512
AGAIN_S = 0.2  # until TCP sends a lost piece again; each further loss doubles it, five times at most
PLUGS = 3  # connections that fill the queue of a socket with no backlog
LOCAL_S = 1.0  # for a connection on loopback to come up


@dataclass(frozen=True)
class Ills:
    """What one fault does to one way."""

    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    held: bool = False


WELL = Ills()


@dataclass
class Way:
    """One direction of a path, with the faults that are on it now."""

    faults: dict[int, Ills] = field(default_factory=dict)
    now: Ills = WELL
    waiting: dict[Flow, None] = field(default_factory=dict)  # flows that hold something back

    def put(self, fault: int, ills: Ills | None) -> None:
        """Begin a fault on this way, or (None) end it."""
        if ills is None:
            self.faults.pop(fault, None)
        else:
            self.faults[fault] = ills
        all_of = self.faults.values()
        kept = repeated = changed = 1.0
        for one in all_of:
            kept, repeated = kept * (1 - one.loss), repeated * (1 - one.duplicate)
            changed *= 1 - one.reorder
        self.now = Ills(
            sum(i.delay_s for i in all_of),
            sum(i.jitter_s for i in all_of),
            1 - kept,
            1 - repeated,
            1 - changed,
            any(i.held for i in all_of),
        )
        for flow in list(self.waiting):
            flow.pump()


class Flow:
    """The bytes of one connection along one way, in order; `None` in place of bytes is their end."""

    def __init__(self, way: Way, chance: random.Random, give: Callable[[bytes | None], None]) -> None:
        self.way, self.chance, self.give = way, chance, give
        self.queue: deque[tuple[float, bytes | None]] = deque()
        self.last_due = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def feed(self, data: bytes | None) -> None:
        if not self.queue and self.way.now == WELL:
            return self.give(data)
        loop = asyncio.get_running_loop()
        ills, due = self.way.now, loop.time()
        due += ills.delay_s + self.chance.random() * ills.jitter_s
        again = AGAIN_S
        while again < AGAIN_S * 2**5 and self.chance.random() < ills.loss:
            due, again = due + again, again * 2
        self.last_due = max(self.last_due, due)
        self.queue.append((self.last_due, data))
        self.way.waiting[self] = None
        self.pump()

    def pump(self) -> None:
        """Give on what is due; on a held way nothing is."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        loop = asyncio.get_running_loop()
        while self.queue and not self.way.now.held:
            due, data = self.queue[0]
            if due > loop.time():
                self.timer = loop.call_at(due, self.pump)
                return
            self.queue.popleft()
            self.give(data)
        if not self.queue:
            self.way.waiting.pop(self, None)

    def drop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.queue.clear()
        self.way.waiting.pop(self, None)


class Path:
    """What lies between two ends: `there` from the one that opens connections, `back` from the other.

    `shut` is why new connections don't come up: `refuse` or `cut`, by the faults that are on it.
    """

    def __init__(self, opener: str, other: str) -> None:
        self.opener, self.other = opener, other
        self.there, self.back = Way(), Way()
        self.shuts: dict[object, str] = {}
        self.links: list[TcpLink | DirectLink] = []
        self.carried = 0  # bytes

    @property
    def shut(self) -> str:
        kinds = set(self.shuts.values())
        return "cut" if "cut" in kinds else "refuse" if "refuse" in kinds else ""

    def close(self, fault: object, how: str) -> None:
        self.shuts[fault] = how
        self._changed()

    def open(self, fault: object) -> None:
        if self.shuts.pop(fault, None) is not None:
            self._changed()

    def _changed(self) -> None:
        for link in self.links:
            link.changed()

    def reset(self) -> None:
        """Reset all open connections, in both directions."""
        for link in self.links:
            link.reset()


class End(asyncio.Protocol):
    """One end of a connection that passes a link."""

    def __init__(self, joint: Joint, opener: bool) -> None:
        self.joint, self.opener = joint, opener
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes | None] = []  # came before this end was up
        self.name: Ends | None = None  # of the far end: the addresses that the target sees
        self.paused = False
        self.ended = False  # it was told that the other end writes no more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.opener:
            source, target = (transport.get_extra_info(name)[:2] for name in ("sockname", "peername"))
            self.name = source, target
            self.joint.link.sources[self.name] = self.joint
        early, self.early = self.early, []
        for data in early:
            self.write(data)

    def data_received(self, data: bytes) -> None:
        self.joint.came(self, data)

    def eof_received(self) -> bool:
        self.joint.came(self, None)
        return True  # the other direction stays open

    def connection_lost(self, error: Exception | None) -> None:
        self.joint.lost(self, error is not None)

    def pause_writing(self) -> None:
        self.joint.hold_back(self, True)

    def resume_writing(self) -> None:
        self.joint.hold_back(self, False)

    def write(self, data: bytes | None) -> None:
        if self.transport is None:
            self.early.append(data)
        elif not self.transport.is_closing():
            if data is None:
                if self.transport.can_write_eof():
                    self.transport.write_eof()
                self.ended = True
                self.joint.finish()
            else:
                self.transport.write(data)

    def end(self, reset: bool) -> None:
        if self.transport is not None and not self.transport.is_closing():
            if reset:
                sockets.reset(self.transport)
            else:
                self.transport.close()


class Joint:
    """A connection through a link: from its opener's end to the other, and what is under way between."""

    def __init__(self, link: TcpLink, path: Path) -> None:
        self.link, self.path = link, path
        self.near, self.far = End(self, True), End(self, False)
        chance = link.chance
        self.out = Flow(path.there, chance, self.far.write)
        self.back = Flow(path.back, chance, self.near.write)
        self.first_at = 0.0  # when the first bytes came from the opener since the other last spoke
        self.spoke = True
        self.over = False

    def came(self, end: End, data: bytes | None) -> None:
        if data is not None:
            self.path.carried += len(data)
        if end is self.near:
            if self.spoke and data:
                self.first_at, self.spoke = asyncio.get_running_loop().time(), False
            self.out.feed(data)
        else:
            self.spoke = True
            self.back.feed(data)

    def finish(self) -> None:
        """Close both ends once either has said, and the other has heard, that no more comes.

        Neither is told of it otherwise: their transports would hold their descriptors to the end of the play.
        """
        if self.near.ended and self.far.ended and not self.over:
            self.over = True
            self.link.forget(self)
            self.near.end(False)
            self.far.end(False)

    def lost(self, end: End, reset: bool) -> None:
        """One end is gone; the other hears of it once all that was sent before has come through."""
        flow, other = (self.out, self.far) if end is self.near else (self.back, self.near)
        if self.over:
            return
        self.over = True

        def tell(_: bytes | None) -> None:
            self.link.forget(self)
            other.end(reset)

        if reset:
            flow.queue.clear()
        if flow.queue or flow.way.now != WELL:
            give = flow.give
            flow.give = lambda data: give(data) if data is not None else tell(None)
            flow.feed(None)
        else:
            tell(None)

    def hold_back(self, end: End, wait: bool) -> None:
        other = self.near if end is self.far else self.far
        if other.transport is not None and not other.transport.is_closing():
            if wait and not other.paused:
                other.transport.pause_reading()
            elif not wait and other.paused:
                other.transport.resume_reading()
            other.paused = wait

    def reset(self) -> None:
        self.over = True
        self.out.drop()
        self.back.drop()
        self.near.end(True)
        self.far.end(True)
        self.link.forget(self)


class TcpLink:
    """A listening socket of the lab's whose connections go on to a target.

    `route` tells the path of a connection by the host that opens it; `at` is the target's address.
    """

    def __init__(
        self,
        address: Address,
        at: Address,
        route: Callable[[str], Path],
        chance: random.Random,
        sources: dict[Ends, Joint],
    ) -> None:
        self.address, self.at, self.route, self.chance = address, at, route, chance
        self.sources = sources  # of all links: by the addresses that a target sees
        self.joints: dict[Joint, None] = {}
        self.plugs: list[socket.socket] = []
        self.state = ""
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.path: Path | None = None  # where there is but one: its state is the socket's

    def own(self, path: Path) -> None:
        self.path = path
        path.links.append(self)

    def listen(self) -> None:
        """Raises OSError where the port can't be had."""
        self.listener.bind(self.address)
        self.listener.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self._accept)

    def changed(self) -> None:
        """Follow the path: listen, refuse, or let no handshake through."""
        state = self.path.shut if self.path is not None else ""
        if state == self.state:
            return
        loop, before, self.state = asyncio.get_running_loop(), self.state, state
        if before == "":
            loop.remove_reader(self.listener.fileno())
        if before == "cut":
            self._unplug()
        if state == "refuse":
            self.listener.shutdown(socket.SHUT_RD)
        elif state == "cut":
            self.listener.listen(0)
            for _ in range(PLUGS):
                plug = socket.socket()
                plug.setblocking(False)
                plug.connect_ex(self.address)
                self.plugs.append(plug)
        else:
            self.listener.listen(BACKLOG)
            loop.add_reader(self.listener.fileno(), self._accept)

    def _unplug(self) -> None:
        """What stood in the queue of a cut path is reset."""
        for plug in self.plugs:
            plug.close()
        self.plugs.clear()
        for _ in range(BACKLOG):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            sock.close()

    def _accept(self) -> None:
        for _ in range(64):
            try:
                sock, peer = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            task = asyncio.get_running_loop().create_task(self._join(sock, self.route(peer[0])))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _join(self, sock: socket.socket, path: Path) -> None:
        loop = asyncio.get_running_loop()
        if path.shut:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            return sock.close()
        joint = Joint(self, path)
        self.joints[joint] = None
        try:
            await loop.connect_accepted_socket(lambda: joint.near, sock)
            async with asyncio.timeout(LOCAL_S):
                await loop.create_connection(lambda: joint.far, *self.at)
        except OSError:
            if joint in self.joints:
                joint.reset()

    def reset(self) -> None:
        for joint in list(self.joints):
            joint.reset()

    def forget(self, joint: Joint) -> None:
        self.joints.pop(joint, None)
        if joint.far.name is not None:
            self.sources.pop(joint.far.name, None)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.state == "" and self.listener.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.listener.fileno())
        self.reset()
        for plug in self.plugs:
            plug.close()
        self.listener.close()


class DirectJoint(asyncio.Protocol):
    """A connection that the lab itself opens, as a client: the faults are on its way in and out."""

    def __init__(self, link: DirectLink, came: Callable[[bytes], None], gone: Callable[[bool], None]) -> None:
        self.link, self.came, self.gone = link, came, gone
        self.transport: asyncio.Transport | None = None
        self.out = Flow(link.path.there, link.chance, self._out)
        self.back = Flow(link.path.back, link.chance, self._in)
        self.was_reset = self.was_cut = False  # was_cut: by the link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.link.path.carried += len(data)
        self.back.feed(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.was_reset = self.was_reset or error is not None
        self.link.joints.pop(self, None)
        self.back.feed(None)

    def write(self, data: bytes) -> None:
        self.link.path.carried += len(data)
        self.out.feed(data)

    def close(self) -> None:
        """The opener goes away; what is cut off hears nothing of it until the cut ends."""
        self.out.feed(None)

    def reset(self) -> None:
        self.was_reset = self.was_cut = True
        self.out.drop()
        if self.transport is not None:
            self.transport.abort()

    def _out(self, data: bytes | None) -> None:
        if self.transport is not None and not self.transport.is_closing():
            if data is None:
                self.transport.close()
            else:
                self.transport.write(data)

    def _in(self, data: bytes | None) -> None:
        if data is None:
            self.out.drop()
            self.gone(self.was_reset)
        else:
            self.came(data)


class DirectLink:
    """Connections of the lab's own clients to a gateway."""

    def __init__(self, path: Path, at: Address, chance: random.Random) -> None:
        self.path, self.at, self.chance = path, at, chance
        self.joints: dict[DirectJoint, None] = {}
        path.links.append(self)

    def changed(self) -> None:
        pass  # looked at by each connection as it is opened

    async def connect(
        self, came: Callable[[bytes], None], gone: Callable[[bool], None], within_s: float
    ) -> DirectJoint:
        """Open a connection; raises OSError (a time-out is one) where none comes up."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + within_s
        if self.path.shut == "refuse":
            raise ConnectionRefusedError
        while self.path.shut == "cut" or self.path.there.now.held or self.path.back.now.held:
            if loop.time() >= ends:
                raise TimeoutError
            await asyncio.sleep(min(0.05, max(0.0, ends - loop.time())))
        if trip := self.path.there.now.delay_s + self.path.back.now.delay_s:
            await asyncio.sleep(trip)
        joint = DirectJoint(self, came, gone)
        async with asyncio.timeout_at(ends):
            await loop.create_connection(lambda: joint, *self.at)
        self.joints[joint] = None
        return joint

    def reset(self) -> None:
        for joint in list(self.joints):
            joint.reset()


class UdpLink(asyncio.DatagramProtocol):
    """An address of the lab's whose datagrams go on to a target, each by the path of its sender's host."""

    def __init__(self, at: Address, route: Callable[[str], Path | None], chance: random.Random) -> None:
        self.at, self.route, self.chance = at, route, chance
        self.transport: asyncio.DatagramTransport | None = None
        self.counts = {"taken": 0, "given": 0, "lost": 0}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.counts["taken"] += 1
        path = self.route(addr[0])
        if path is None:
            return
        ills = path.there.now
        path.carried += len(data)
        if path.shut or ills.held or self.chance.random() < ills.loss:
            self.counts["lost"] += 1
            return
        for _ in range(1 + (self.chance.random() < ills.duplicate)):
            wait = ills.delay_s + self.chance.random() * ills.jitter_s
            if self.chance.random() < ills.reorder:
                wait += max(0.01, ills.delay_s + ills.jitter_s)  # behind those that are sent after it
            if wait:
                asyncio.get_running_loop().call_later(wait, self._give, data)
            else:
                self._give(data)

    def _give(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.counts["given"] += 1
            self.transport.sendto(data, self.at)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Paths:
    """All paths of a play, by their ends' names."""

    def __init__(self) -> None:
        self.all: dict[tuple[str, str], Path] = {}

    def path(self, opener: str, other: str) -> Path:
        made = self.all.get((opener, other))
        if made is None:
            made = self.all[opener, other] = Path(opener, other)
        return made

    def between(self, some: Iterable[str], others: Iterable[str]) -> Iterable[tuple[Path, bool]]:
        """The paths that join the two groups, and whether the first group opens their connections."""
        one, two = set(some), set(others)
        for (opener, other), path in self.all.items():
            if opener in one and other in two:
                yield path, True
            elif opener in two and other in one:
                yield path, False
