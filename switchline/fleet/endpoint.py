"""One member's protocol endpoint: datagrams and time go in, datagrams and facts come out. Pure.

The caller hands in what came (`receive_datagram`, `receive_exchange`), lets time pass (`tick`), and takes
what is to be sent (`take_datagrams`, `take_exchanges`). `now_s` is seconds on a clock that never steps,
`wall_ms` milliseconds of wall time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable

import msgspec

from switchline.fleet.anti_entropy import ExchangeSchedule
from switchline.fleet.facts import Facts, key_of
from switchline.fleet.frames import FrameCodec, FrameRefusedError, RefusalReason, ReplayGuard
from switchline.fleet.gossip_queue import GossipQueue, Item
from switchline.fleet.hybrid_clock import HybridClock
from switchline.fleet.members import Address, Member, Members
from switchline.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    EndpointList,
    Entry,
    Exchange,
    MemberState,
    MemberUpdate,
    MessageKind,
    RemainingQuota,
    Wanted,
)
from switchline.fleet.probing import NO_ADDRESS, PROBE_INTERVAL_S, Prober

GOSSIP_INTERVAL_S = 0.2  # between two rounds, while there is anything to pass on
GOSSIP_FANOUT = 2  # members of a round
FIRST_GOSSIP_S = 0.03  # until the first round of what is new: a refutation must outrun a suspicion's timeout
URGENT_FANOUT = 8  # members that a refutation, or other urgent gossip, is sent to at once
LEAVE_FANOUT = 4  # members that hear that this one leaves
EXPIRY_INTERVAL_S = 5.0  # between two removals of what has expired
STALL_GAP_S = 0.75  # a gap between two ticks from which on this process stood still


class ProtocolEndpoint:
    """Owns the members and the facts as this gateway knows them, and its part in the protocol."""

    def __init__(
        self,
        me: MemberUpdate,
        seeds: tuple[Address, ...],
        codec: FrameCodec,
        chance: random.Random,
        now_s: float,
        wall_ms: float,
    ) -> None:
        """Begin as the only member that is known.

        Args:
            me: This member's first claim about itself.
            seeds: Addresses at which other members may be found.
            codec: Of the fleet's frames.
            chance: Source of all random choices.
            now_s: The time.
            wall_ms: The wall time.
        """
        address = me.host, me.port
        self.codec = codec
        self.members = Members(me, chance)
        self.facts = Facts(me.name, me.incarnation)
        self.clock = HybridClock()
        self.prober = Prober(self.members, address, self.send, chance, now_s)
        self.schedule = ExchangeSchedule(self.members, address, seeds, chance, now_s)
        self.queue = GossipQueue()
        self.refused: dict[str, int] = {}  # by reason
        self.sent = 0  # datagrams
        self.received = 0  # datagrams that were taken
        self.fact_changed: Callable[[Entry], None] = lambda entry: None  # with each entry that is new here
        # What this gateway wants of the others, the list that it has, and what becomes of their answers.
        self.wants = Wanted.NOTHING
        self.list_seq = -1
        self.answered: Callable[[Exchange], None] = lambda exchange: None
        # What it has for the others: the list here, if newer than a number; the quotas, if they are known.
        self.newer_list: Callable[[int], EndpointList | None] = lambda seq: None
        self.known_quotas: Callable[[], list[RemainingQuota] | None] = lambda: None
        self._replays = ReplayGuard()
        self._unanswered: Exchange | None = None
        self._number = 0  # of the last message that was sent
        self._out: list[tuple[Address, bytes]] = []
        self._wall_ms = wall_ms
        self._ticked_s = now_s
        self._gossip_at = now_s
        self._gossiped_s = now_s
        self._expire_at = now_s + EXPIRY_INTERVAL_S
        self._connect()
        self.queue_update(me)

    def _connect(self) -> None:
        """Have what changes in the tables passed on."""
        self.members.updated = self.queue_update
        self.members.refuted = self._gossip_to_many
        self.members.began = self.facts.begin_incarnation
        self.facts.changed = self._queue_fact

    # Sending.

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Return, and forget, the datagrams to send now."""
        out = self._out
        self._out = []
        return out

    def send(
        self,
        to: Address,
        kind: MessageKind,
        *,
        seq: int = 0,
        target: str = "",
        reach: Address = NO_ADDRESS,
        first: MemberUpdate | None = None,
    ) -> None:
        """Put out one datagram with as much gossip as it holds; see `switchline.fleet.probing.SendMessage`.

        A member whose name another process has sends nothing but answers.
        """
        if self.members.superseded and kind is not MessageKind.ACK:
            return
        self._number += 1
        me = self.members.me
        updates, entries = self.queue.pick(self.members.size, first)
        message = Datagram(
            me.name,
            me.incarnation,
            self._number,
            kind,
            seq,
            target,
            reach[0],
            reach[1],
            updates,
            entries,
            self.clock.last,
        )
        frame = self.codec.encode(message)
        # Longer than was estimated: what is left out is sent next time.
        while len(frame) > MAX_DATAGRAM_BYTES and (entries or updates):
            del (entries or updates)[-1:]
            frame = self.codec.encode(message)
        self.sent += 1
        self._out.append((to, frame))

    def queue_update(self, update: MemberUpdate) -> None:
        """Pass on a claim about a member; each member's suspicion of it goes on for itself."""
        by = update.suspected_by
        self._queue(("suspect", update.name, by) if by else ("member", update.name), update)

    def _queue_fact(self, entry: Entry) -> None:
        self._queue(("fact", *key_of(entry)), entry)
        self.fact_changed(entry)

    def _queue(self, key: Hashable, item: Item) -> None:
        self.queue.add(key, item)
        soon_s = max(self._ticked_s, self._gossiped_s + FIRST_GOSSIP_S) + FIRST_GOSSIP_S
        self._gossip_at = min(self._gossip_at, soon_s)

    def _gossip_to_many(self) -> None:
        """Send gossip to several at once: a refutation must reach all before the suspicion's timeout."""
        for member in self.members.sampler.sample(URGENT_FANOUT):
            self.send(member.address, MessageKind.GOSSIP)

    # The passing of time.

    def due(self, now_s: float) -> float:
        """Return when `tick` is to be called at the latest; what comes in may make it earlier."""
        due_s = min(
            self.prober.probe_at, self._expire_at, now_s + PROBE_INTERVAL_S, self.prober.next_timeout_s()
        )
        return min(due_s, self._gossip_at) if self.queue else due_s

    def tick(self, now_s: float, wall_ms: float) -> None:
        """Do what is due."""
        self._wall_ms = wall_ms
        if now_s - self._ticked_s > STALL_GAP_S:
            self.members.resume(now_s)
            self.prober.restart(now_s)
        self._ticked_s = now_s
        self.prober.run_due(now_s)
        self.members.declare_dead(now_s)
        if now_s >= self._gossip_at:
            self._gossip_round(now_s)
        if now_s >= self._expire_at:
            self._expire_at = now_s + EXPIRY_INTERVAL_S
            self.members.forget(now_s)
            self.facts.expire(now_s, wall_ms, self.members.incarnation_of)
            self._replays.forget_all_but(self.members.others.keys())
        self.schedule.run_due(now_s)

    def _gossip_round(self, now_s: float) -> None:
        self._gossip_at = now_s + GOSSIP_INTERVAL_S
        self._gossiped_s = now_s
        if self.queue and not self.members.superseded:
            for member in self.members.sampler.sample(GOSSIP_FANOUT):
                self.send(member.address, MessageKind.GOSSIP)

    # Receiving.

    def refuse(self, reason: str) -> None:
        """Count something that was dropped."""
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def receive_datagram(self, now_s: float, wall_ms: float, frame: bytes) -> bool:
        """Take a datagram; return whether it was taken.

        One that is not of this fleet, is old or spoilt is counted, and changes nothing.
        """
        self._wall_ms = wall_ms
        try:
            message = self.codec.decode_datagram(frame)
            self._refuse_older(message)
            self._check_replay(message)
        except FrameRefusedError as error:
            self.refuse(error.reason)
            return False
        self.received += 1
        self._merge(now_s, message)
        member = self.members.others.get(message.sender)
        match message.kind:
            case MessageKind.PING:
                self._on_ping(message, member)
            case MessageKind.ACK:
                self.prober.on_ack(message)
            case MessageKind.PING_REQ:
                self.prober.on_ping_req(now_s, message, member)
            case MessageKind.NACK:
                self.prober.on_nack(message)
            case MessageKind.GOSSIP:
                pass
        return True

    def _refuse_older(self, message: Datagram) -> None:
        """Refuse a datagram of an earlier process of its name; the answer to a ping tells it of the later."""
        later = self.members.later_claim(message.sender, message.incarnation)
        if later is None:
            return
        if message.kind is MessageKind.PING and message.host and message.port:
            self.send((message.host, message.port), MessageKind.ACK, seq=message.seq, first=later)
        raise FrameRefusedError(RefusalReason.OLDER)

    def _check_replay(self, message: Datagram | Exchange) -> None:
        me = self.members.me
        if message.sender == me.name and message.incarnation == me.incarnation:
            raise FrameRefusedError(RefusalReason.OWN)
        self._replays.check(message.sender, message.incarnation, message.number)

    def _merge(self, now_s: float, message: Datagram | Exchange) -> None:
        """Take what a message tells of members and facts."""
        self.clock.observe(message.timestamp, self._wall_ms)
        for update in message.updates:
            self.members.merge(update, now_s)
        for entry in message.entries:
            if not self.members.superseded:
                self.facts.merge(self._wall_ms, entry)
        self.members.note_heard(message.sender, message.incarnation, now_s)

    def _on_ping(self, message: Datagram, sender: Member | None) -> None:
        """Answer a ping to this member.

        A sender that is held to be suspected or dead is told so, and can refute it. One that claims so of
        this member is told otherwise, as its claim may have been refuted long ago.
        """
        me = self.members.me
        if message.target != me.name or not message.host or not message.port:
            return
        first = sender.update if sender is not None and sender.state is not MemberState.ALIVE else None
        if any(one.name == me.name and one.state is not MemberState.ALIVE for one in message.updates):
            first = me
        self.send((message.host, message.port), MessageKind.ACK, seq=message.seq, first=first)

    # Exchanges.

    @property
    def exchanged_with(self) -> set[str]:
        """Members whose complete state has come to this process."""
        return self.schedule.exchanged_with

    def exchange_with(self, addresses: list[Address]) -> None:
        """Exchange soon with these."""
        self.schedule.request(addresses)

    def exchange_with_some(self, number: int) -> None:
        """Exchange soon with so many members, at random, whose complete state has not come yet."""
        self.schedule.request_some(number)

    def take_exchanges(self) -> list[Address]:
        """Return, and forget, whom to exchange the complete state with now."""
        return self.schedule.take()

    def exchange_frame(self, answer: bool) -> bytes:
        """Return all that is known here, as one side of an exchange; `answer`: as the second side."""
        self._number += 1
        me = self.members.me
        updates = [me, *(member.update for member in self.members.others.values())]
        entries = list(self.facts.entries())
        state = Exchange(
            me.name, me.incarnation, self._number, answer, updates, entries, timestamp=self.clock.last
        )
        if not answer:
            wanted = msgspec.structs.replace(state, wants=int(self.wants), seq=self.list_seq)
            return self.codec.encode(wanted)
        request = self._unanswered
        self._unanswered = None
        if request is not None and request.wants:
            state = msgspec.structs.replace(
                state,
                listed=self.newer_list(request.seq) if request.wants & Wanted.LIST else None,
                spent=self.known_quotas() if request.wants & Wanted.QUOTAS else None,
            )
        return self.codec.encode(state)

    def receive_exchange(self, now_s: float, wall_ms: float, frame: bytes, answer: bool) -> bool:
        """Take the other side's state.

        Args:
            now_s: The time.
            wall_ms: The wall time.
            frame: What came.
            answer: Whether it must be the answer to this side's state.

        Returns:
            Whether it was a state, so that it is answered if it is the first.
        """
        self._wall_ms = wall_ms
        try:
            message = self.codec.decode_exchange(frame)
            if message.answer is not answer:
                raise FrameRefusedError(RefusalReason.REPLAY)
            if self.members.later_claim(message.sender, message.incarnation) is not None:
                self.refuse(RefusalReason.OLDER)
                return not answer  # the answer tells it what holds; nothing of its own is taken
            if message.sender != self.members.me.name:
                self._check_replay(message)
        except FrameRefusedError as error:
            self.refuse(error.reason)
            return False
        self._merge(now_s, message)
        self.schedule.completed(message.sender)
        if not answer:
            self._unanswered = message
        elif message.listed is not None or message.spent is not None:
            self.answered(message)
        return True

    # This gateway's own facts.

    def tell(self, wall_ms: float, kind: str, name: str, value: str | None) -> bool:
        """Write a fact; return whether it is new. See `Facts.tell`.

        Raises:
            FactLimitError: The bounds don't allow it.
        """
        return self.facts.tell(wall_ms, kind, name, value) is not None

    def gossip_now(self) -> None:
        """Send what is new to several members at once, as each moment's delay of it costs requests."""
        if not self.members.superseded:
            self._gossip_to_many()

    def leave(self) -> None:
        """Tell a few members that this one leaves; they pass it on."""
        self.members.leave()
        for member in self.members.sampler.sample(LEAVE_FANOUT):
            self.send(member.address, MessageKind.GOSSIP)
