"""One member's protocol endpoint: datagrams and time go in, datagrams and facts come out. Pure.

The caller hands in what came (`receive_datagram`, `receive_exchange`), lets time pass (`tick`), and takes
what is to be sent (`take_datagrams`, `take_exchanges`). `now_s` is seconds on a clock that never steps,
`wall_ms` milliseconds of wall time.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from switchline.fleet.dissemination.anti_entropy import ExchangeSchedule
from switchline.fleet.dissemination.outbox import Outbox
from switchline.fleet.facts import Facts
from switchline.fleet.frames import FrameCodec, FrameRefusedError, RefusalReason, ReplayGuard
from switchline.fleet.hybrid_clock import HybridClock
from switchline.fleet.membership.member import Address, Member
from switchline.fleet.membership.members import Members
from switchline.fleet.membership.probing import PROBE_INTERVAL_S, Prober
from switchline.fleet.messages import (
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
        rng: random.Random,
        now_s: float,
        wall_ms: float,
    ) -> None:
        """Begin as the only member that is known.

        `me` is this member's first claim about itself; `seeds` are addresses at which others may be found;
        `rng` is the source of all random choices.
        """
        address = me.host, me.port
        self.codec = codec
        self.members = Members(me, rng)
        self.facts = Facts(me.name, me.incarnation)
        self.clock = HybridClock()
        self.outbox = Outbox(self.members, self.clock, codec, now_s)
        self.prober = Prober(self.members, address, self.outbox.send, rng, now_s)
        self.schedule = ExchangeSchedule(self.members, address, seeds, rng, now_s)
        self.refused: dict[str, int] = {}  # by reason
        self.received_datagrams = 0  # datagrams that were taken
        self.on_fact: Callable[[Entry], None] = lambda entry: None  # with each entry that is new here
        # What this gateway wants of the others, the list that it has, and what becomes of their answers.
        self.wants = Wanted.NOTHING
        self.list_seq = -1
        self.on_answer: Callable[[Exchange], None] = lambda exchange: None
        # What it has for the others: the list here, if newer than a number; the quotas, if they are known.
        self.newer_list: Callable[[int], EndpointList | None] = lambda seq: None
        self.known_quotas: Callable[[], list[RemainingQuota] | None] = lambda: None
        self._replays = ReplayGuard()
        self._unanswered: Exchange | None = None
        self._wall_ms = wall_ms
        self._expire_at = now_s + EXPIRY_INTERVAL_S
        self._connect()
        self.outbox.queue_update(me)

    def _connect(self) -> None:
        """Have what changes in the tables passed on."""
        self.members.on_update = self.outbox.queue_update
        self.members.on_refutation = self.outbox.gossip_to_many
        self.members.on_new_incarnation = self.facts.begin_incarnation
        self.facts.on_change = self._on_entry

    def _on_entry(self, entry: Entry) -> None:
        self.outbox.queue_entry(entry)
        self.on_fact(entry)

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Return, and forget, the datagrams to send now."""
        return self.outbox.take()

    # The passing of time.

    def next_tick_at_s(self, now_s: float) -> float:
        """Return when `tick` is to be called at the latest; what comes in may make it earlier."""
        due_s = min(
            self.prober.probe_at, self._expire_at, now_s + PROBE_INTERVAL_S, self.prober.next_timeout_s()
        )
        gossip_s = self.outbox.next_round_s()
        return due_s if gossip_s is None else min(due_s, gossip_s)

    def tick(self, now_s: float, wall_ms: float) -> None:
        """Do what is due."""
        self._wall_ms = wall_ms
        if now_s - self.outbox.ticked_s > STALL_GAP_S:
            self.members.resume(now_s)
            self.prober.restart(now_s)
        self.outbox.ticked_s = now_s
        self.prober.run_due(now_s)
        self.members.declare_dead(now_s)
        self.outbox.run_due(now_s)
        if now_s >= self._expire_at:
            self._expire_at = now_s + EXPIRY_INTERVAL_S
            self.members.forget(now_s)
            self.facts.expire(now_s, wall_ms, self.members.incarnation_of)
            self._replays.forget_all_but(self.members.others.keys())
        self.schedule.run_due(now_s)

    # Receiving.

    def count_refused(self, reason: str) -> None:
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
            self.count_refused(error.reason)
            return False
        self.received_datagrams += 1
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
            self.outbox.send((message.host, message.port), MessageKind.ACK, seq=message.seq, first=later)
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
        self.outbox.send((message.host, message.port), MessageKind.ACK, seq=message.seq, first=first)

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
        number = self.outbox.next_number()
        me = self.members.me
        updates = [me, *(member.update for member in self.members.others.values())]
        entries = list(self.facts.entries())
        state = Exchange(me.name, me.incarnation, number, answer, updates, entries, timestamp=self.clock.last)
        if not answer:
            wanted = msgspec.structs.replace(state, wants=int(self.wants), list_seq=self.list_seq)
            return self.codec.encode(wanted)
        request = self._unanswered
        self._unanswered = None
        if request is not None and request.wants:
            state = msgspec.structs.replace(
                state,
                endpoint_list=self.newer_list(request.list_seq) if request.wants & Wanted.LIST else None,
                remaining_quotas=self.known_quotas() if request.wants & Wanted.QUOTAS else None,
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
                self.count_refused(RefusalReason.OLDER)
                return not answer  # the answer tells it what holds; nothing of its own is taken
            if message.sender != self.members.me.name:
                self._check_replay(message)
        except FrameRefusedError as error:
            self.count_refused(error.reason)
            return False
        self._merge(now_s, message)
        self.schedule.completed(message.sender)
        if not answer:
            self._unanswered = message
        elif message.endpoint_list is not None or message.remaining_quotas is not None:
            self.on_answer(message)
        return True

    # This gateway's own facts.

    def publish(self, wall_ms: float, kind: str, name: str, value: str | None) -> bool:
        """Write a fact; return whether it is new. See `Facts.publish`.

        Raises:
            FactLimitError: The bounds don't allow it.
        """
        return self.facts.publish(wall_ms, kind, name, value) is not None

    def gossip_now(self) -> None:
        """Send what is new to several members at once, as each moment's delay of it costs requests."""
        if not self.members.superseded:
            self.outbox.gossip_to_many()

    def leave(self) -> None:
        """Tell a few members that this one leaves; they pass it on."""
        self.members.leave()
        self.outbox.gossip_to(LEAVE_FANOUT)
