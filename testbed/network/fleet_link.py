"""The fleet link on a hand-set clock: many protocol endpoints, and a network with a seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter as Counts
from collections.abc import Callable, Iterable

from switchline.fleet.dissemination.gossip_queue import GossipQueue
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.frames import FrameCodec
from switchline.fleet.membership.member import Address, Member, alive_claim
from switchline.fleet.messages import Entry, Incarnation, MemberState, MemberUpdate

WALL_MS = 1.8e12
LATE_S = 0.5
SEAL = FrameCodec("lab", b"a secret of the lab's own")


class Net:
    """Endpoints by address, the datagrams under way between them, and the faults of the network.

    `cut` tells whether what goes from one address to another is lost. Times are seconds.
    """

    def __init__(self, seed: int, trip_s: float = 0.001, jitter_s: float = 0.004) -> None:
        self.chance = random.Random(seed)
        self.now = 1_000.0
        self.trip_s = trip_s
        self.jitter_s = jitter_s
        self.nodes: dict[Address, ProtocolEndpoint] = {}
        self.stopped: dict[Address, float] = {}  # until when
        self.loss = 0.0  # probability of each datagram
        self.duplicate = 0.0  # likewise
        self.cut: Callable[[Address, Address], bool] = lambda a, b: False
        self.queue: list[tuple[float, int, Address, bytes | None, Address]] = []
        self.order = itertools.count()
        self.clocks: dict[Address, float] = {}  # milliseconds by which a wall clock is off
        self.due: dict[Address, float] = {}  # the next tick
        self.paused_frames: dict[Address, list[bytes]] = {}  # that wait for a stopped process
        self.counts: Counts[str] = Counts()
        self.watched = ""  # the member whose death is counted
        self.known_dead = 0  # members that know of it
        self.fates: list[int] = []  # of the next datagrams, the last first: 0 lost, 1 late, 2 doubled

    def wall(self, at: Address) -> float:
        """Return the wall time of the process at an address, in milliseconds."""
        return WALL_MS + self.now * 1000 + self.clocks.get(at, 0.0)

    def add(
        self, number: int, seeds: Iterable[int] = (0,), incarnation: Incarnation | None = None, name: str = ""
    ) -> ProtocolEndpoint:
        """Start an endpoint; an earlier one of the same number is gone without leaving."""
        address = address_of(number)
        given = incarnation or (int(self.wall(address)), self.chance.getrandbits(30))
        node = ProtocolEndpoint(
            alive_claim(name or f"g{number}", given, address),
            tuple(address_of(one) for one in seeds),
            SEAL,
            random.Random(self.chance.getrandbits(64)),
            self.now,
            self.wall(address),
        )
        self.nodes[address] = node
        self.due[address] = self.now
        self.push(self.now, address, None, address)
        return node

    def remove(self, number: int) -> None:
        """End an endpoint without leaving, as a crash does."""
        self.nodes.pop(address_of(number), None)

    def stop(self, number: int, for_s: float) -> None:
        """Pause a process; what arrives meanwhile waits for it, as much as its socket buffers."""
        address = address_of(number)
        self.stopped[address] = self.due[address] = self.now + for_s
        self.push(self.now + for_s, address, None, address)

    def push(self, at: float, to: Address, frame: bytes | None, source: Address) -> None:
        """Have a frame arrive at a time; None for a timer."""
        heapq.heappush(self.queue, (at, next(self.order), to, frame, source))

    def run(self, for_s: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass; whether `until` came to hold (looked at with each event)."""
        ends = self.now + for_s
        while self.queue and self.queue[0][0] <= ends:
            at, _, to, frame, source = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            node = self.nodes.get(to)
            if node is None:
                continue
            if self.stopped.get(to, 0.0) > self.now:
                if frame is not None and len(self.paused_frames.setdefault(to, [])) < 200:
                    self.paused_frames[to].append(frame)
                continue
            for waited in self.paused_frames.pop(to, []):
                node.receive_datagram(self.now, self.wall(to), waited)
            if frame is None:
                if self.due.get(to) not in (None, at):
                    continue  # it was called earlier
                node.tick(self.now, self.wall(to))
            else:
                node.receive_datagram(self.now, self.wall(to), frame)
            due = max(node.next_tick_at_s(self.now), self.now + 0.005)
            if frame is None or due < self.due.get(to, 0.0) - 0.001:
                self.due[to] = due
                self.push(due, to, None, to)
            self.carry(to, node)
            if until is not None and until():
                return True
        self.now = ends
        return until is not None and until()

    def carry(self, source: Address, node: ProtocolEndpoint) -> None:
        """Put what an endpoint has to send under way, with the network's faults."""
        for to, frame in node.take_datagrams():
            self.counts["datagrams"] += 1
            self.counts["bytes"] += len(frame)
            if self.fates:
                fate = self.fates.pop()
                for _ in range(fate):
                    self.push(self.now + (LATE_S if fate == 1 else self.trip_s), to, frame, source)
                continue
            if self.cut(source, to) or self.chance.random() < self.loss:
                continue
            for _ in range(1 + (self.chance.random() < self.duplicate)):
                self.push(self.now + self.trip_s + self.chance.random() * self.jitter_s, to, frame, source)
        for to in node.take_exchanges():
            self.exchange(source, node, to)

    def exchange(self, source: Address, node: ProtocolEndpoint, to: Address) -> None:
        """Both sides' whole state, over TCP: it comes whole or not at all."""
        other = self.nodes.get(to)
        if other is None or self.cut(source, to) or self.cut(to, source):
            return
        if self.stopped.get(to, 0.0) > self.now:
            return
        self.counts["exchanges"] += 1
        if other.receive_exchange(self.now, self.wall(to), node.exchange_frame(False), False):
            node.receive_exchange(self.now, self.wall(source), other.exchange_frame(True), True)

    # What the members know.

    def watch(self, name: str) -> bool:
        """Count the members that come to know of a death, without looking at all of them at each event."""
        if self.watched != name:
            self.watched = name
            self.known_dead = 0
            for node in self.nodes.values():
                if self.sees(node, name) is MemberState.DEAD:
                    self.known_dead += 1
                self._listen(node)
        return True

    def _listen(self, node: ProtocolEndpoint) -> None:
        queue_update = node.outbox.queue_update

        def updated(update: MemberUpdate) -> None:
            if update.name == self.watched and update.state is MemberState.DEAD:
                self.known_dead += 1
            queue_update(update)

        node.members.on_update = updated

    def count_facts(self, kind: str) -> None:
        """Count each node that comes to know a fact of a kind."""

        def count(entry: Entry) -> None:
            self.counts["facts"] += entry.kind == kind

        for node in self.nodes.values():
            node.on_fact = count

    def sees(self, node: ProtocolEndpoint, name: str) -> MemberState | None:
        """Return the state of a member as an endpoint knows it."""
        member = node.members.others.get(name)
        return member.state if member is not None else None

    def all_see(self, name: str, states: set[MemberState], part: float = 1.0) -> bool:
        """Whether so large a part of the others sees a member in one of these states."""
        views = [self.sees(node, name) for node in self.nodes.values() if node.members.me.name != name]
        return sum(view in states for view in views) >= part * len(views)

    def whole(self) -> bool:
        """Whether all nodes see each other alive."""
        names = {node.members.me.name for node in self.nodes.values()}
        return all(
            {m.update.name for m in node.members.others.values() if m.state is MemberState.ALIVE}
            >= names - {own}
            for node in self.nodes.values()
            if (own := node.members.me.name)
        )


def address_of(number: int) -> Address:
    """Return the address of the endpoint of a number."""
    return f"127.9.{number // 200}.{number % 200 + 1}", 7_946


def acquaint(net: Net) -> None:
    """Have all members know each other: for fleets that take too long to join on a hand-set clock."""
    claims = [node.members.me for node in net.nodes.values()]
    for node in net.nodes.values():
        members = node.members
        members.others = {
            claim.name: Member(claim, net.now, net.now) for claim in claims if claim is not members.me
        }
        members.present.clear()
        members.present.update(members.others)
        node.outbox.queue = GossipQueue()


def fleet(size: int, seed: int, settle_s: float = 20.0, met: bool = False) -> Net:
    """Return a fleet that has joined from two seeds; `met`: in which all know each other at the start."""
    net = Net(seed)
    for number in range(size):
        net.add(number, seeds=(0, 1))
    if met:
        acquaint(net)
    net.run(settle_s, net.whole if size <= 60 else None)
    return net
