"""The protocol endpoint of one member. It does no I/O and reads no clock.

The caller passes in received frames (`receive_datagram`, `receive_exchange`) and the time (`tick`), and takes
out what is to be sent (`take_datagrams`, `take_exchanges`). `now_s` is seconds of a monotonic clock,
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

LEAVE_FANOUT = 4  # number of members that are sent this member's claim that it leaves
EXPIRY_INTERVAL_S = 5.0  # time between two removals of expired members and facts
STALL_GAP_S = 0.75  # after a longer gap between two ticks this process is taken to have been stalled


class ProtocolEndpoint:
    """Owns the members and the facts that this gateway knows, and runs its side of the protocol."""

    def __init__(
        self,
        me: MemberUpdate,
        seeds: tuple[Address, ...],
        codec: FrameCodec,
        rng: random.Random,
        now_s: float,
        wall_ms: float,
    ) -> None:
        """Start without any other known member.

        Args:
            me: This member's first claim about itself.
            seeds: Addresses at which other members may be found.
            codec: Encodes and decodes the fleet's frames.
            rng: Source of all random choices.
            now_s: The monotonic time in seconds.
            wall_ms: The wall time in milliseconds.
        """
        address = me.host, me.port
        self.codec = codec
        self.members = Members(me, rng)
        self.facts = Facts(me.name, me.incarnation)
        self.clock = HybridClock()
        self.outbox = Outbox(self.members, self.clock, codec, now_s)
        self.prober = Prober(self.members, address, self.outbox.send, rng, now_s)
        self.exchange_schedule = ExchangeSchedule(self.members, address, seeds, rng, now_s)
        self.refused: dict[str, int] = {}  # number of dropped messages by reason
        self.received_datagrams = 0  # number of received datagrams, without dropped ones
        # Called with each fact entry that is new in `facts`.
        self.on_fact: Callable[[Entry], None] = lambda entry: None
        # What this gateway asks for in exchanges, the number of its own endpoint list (-1: none), and the
        # callback that receives answers with a list or quotas.
        self.wants = Wanted.NOTHING
        self.list_seq = -1
        self.on_answer: Callable[[Exchange], None] = lambda exchange: None
        # Callbacks for what other gateways ask for: the endpoint list here, if its number is above the given
        # one, and the remaining quotas, if they are known.
        self.newer_list: Callable[[int], EndpointList | None] = lambda seq: None
        self.known_quotas: Callable[[], list[RemainingQuota] | None] = lambda: None
        self._replays = ReplayGuard()
        self._unanswered_request: Exchange | None = None
        self._wall_ms = wall_ms
        self._next_expiry_at_s = now_s + EXPIRY_INTERVAL_S
        self._connect()
        self.outbox.queue_update(me)

    def _connect(self) -> None:
        """Queue changes of the members and the facts for gossip."""
        self.members.on_update = self.outbox.queue_update
        self.members.on_refutation = self.outbox.gossip_to_many
        self.members.on_new_incarnation = self.facts.begin_incarnation
        self.facts.on_change = self._on_entry

    def _on_entry(self, entry: Entry) -> None:
        self.outbox.queue_entry(entry)
        self.on_fact(entry)

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Return the datagrams to send now, with their addresses, and remove them here."""
        return self.outbox.take()

    # Timers.

    def next_tick_at_s(self, now_s: float) -> float:
        """Return the latest time (seconds) for the next `tick`; a received message may make it earlier."""
        tick_at_s = min(
            self.prober.next_probe_at_s,
            self._next_expiry_at_s,
            now_s + PROBE_INTERVAL_S,
            self.prober.next_timeout_at_s(),
        )
        gossip_at_s = self.outbox.next_gossip_at_s()
        return tick_at_s if gossip_at_s is None else min(tick_at_s, gossip_at_s)

    def tick(self, now_s: float, wall_ms: float) -> None:
        """Do all work that is due: probes, suspicions, gossip, expiry and exchanges."""
        self._wall_ms = wall_ms
        if now_s - self.outbox.last_tick_s > STALL_GAP_S:
            self.members.restart_suspicions(now_s)
            self.prober.restart(now_s)
        self.outbox.last_tick_s = now_s
        self.prober.run_due(now_s)
        self.members.declare_dead(now_s)
        self.outbox.run_due(now_s)
        if now_s >= self._next_expiry_at_s:
            self._next_expiry_at_s = now_s + EXPIRY_INTERVAL_S
            self.members.expire(now_s)
            self.facts.expire(now_s, wall_ms, self.members.incarnation_of)
            self._replays.retain_only(self.members.others.keys())
        self.exchange_schedule.run_due(now_s)

    # Receiving.

    def count_refused(self, reason: str) -> None:
        """Count a dropped message under a reason."""
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def receive_datagram(self, now_s: float, wall_ms: float, frame: bytes) -> bool:
        """Process a datagram; return whether it was accepted.

        A datagram that is damaged, from another fleet, from an earlier incarnation or received before is
        counted in `refused` and changes nothing else.
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
        """Refuse a datagram from an earlier process of its sender's name.

        A ping is answered with the claim about the later process, so that the earlier one learns of it.
        """
        later_claim = self.members.later_claim(message.sender, message.incarnation)
        if later_claim is None:
            return
        if message.kind is MessageKind.PING and message.host and message.port:
            self.outbox.send(
                (message.host, message.port), MessageKind.ACK, seq=message.seq, first=later_claim
            )
        raise FrameRefusedError(RefusalReason.OLDER)

    def _check_replay(self, message: Datagram | Exchange) -> None:
        me = self.members.me
        if message.sender == me.name and message.incarnation == me.incarnation:
            raise FrameRefusedError(RefusalReason.OWN)
        self._replays.check(message.sender, message.incarnation, message.number)

    def _merge(self, now_s: float, message: Datagram | Exchange) -> None:
        """Merge the claims about members and the facts that a message carries."""
        self.clock.observe(message.timestamp, self._wall_ms)
        for update in message.updates:
            self.members.merge(update, now_s)
        for entry in message.entries:
            if not self.members.superseded:
                self.facts.merge(self._wall_ms, entry)
        self.members.note_heard(message.sender, message.incarnation, now_s)

    def _on_ping(self, message: Datagram, sender: Member | None) -> None:
        """Answer a ping to this member.

        The answer carries the claim that the sender is suspected or dead, if that is known here, so that the
        sender can refute it. If the sender claims this of this member, the answer carries this member's own
        claim instead, as the sender may have missed its refutation.
        """
        me = self.members.me
        if message.target != me.name or not message.host or not message.port:
            return
        first = sender.update if sender is not None and sender.state is not MemberState.ALIVE else None
        if any(
            update.name == me.name and update.state is not MemberState.ALIVE for update in message.updates
        ):
            first = me
        self.outbox.send((message.host, message.port), MessageKind.ACK, seq=message.seq, first=first)

    # Exchanges.

    @property
    def exchanged_with(self) -> set[str]:
        """Names of the members whose complete state this process has received."""
        return self.exchange_schedule.exchanged_with

    def exchange_with(self, addresses: list[Address]) -> None:
        """Schedule an exchange with each of these addresses."""
        self.exchange_schedule.request(addresses)

    def exchange_with_some(self, number: int) -> None:
        """Schedule exchanges with at most `number` random members whose complete state has not come yet."""
        self.exchange_schedule.request_some(number)

    def take_exchanges(self) -> list[Address]:
        """Return the addresses to exchange the complete state with now, and remove them here."""
        return self.exchange_schedule.take()

    def exchange_frame(self, answer: bool) -> bytes:
        """Return the frame with the complete state here, for one side of an exchange.

        Args:
            answer: Whether it is the answer to the other side's state, which was received before.
        """
        number = self.outbox.next_number()
        me = self.members.me
        updates = [me, *(member.update for member in self.members.others.values())]
        entries = list(self.facts.entries())
        state = Exchange(me.name, me.incarnation, number, answer, updates, entries, timestamp=self.clock.last)
        if not answer:
            with_request = msgspec.structs.replace(state, wants=int(self.wants), list_seq=self.list_seq)
            return self.codec.encode(with_request)
        request = self._unanswered_request
        self._unanswered_request = None
        if request is not None and request.wants:
            state = msgspec.structs.replace(
                state,
                endpoint_list=self.newer_list(request.list_seq) if request.wants & Wanted.LIST else None,
                remaining_quotas=self.known_quotas() if request.wants & Wanted.QUOTAS else None,
            )
        return self.codec.encode(state)

    def receive_exchange(self, now_s: float, wall_ms: float, frame: bytes, answer: bool) -> bool:
        """Process the other side's state.

        Args:
            now_s: The monotonic time in seconds.
            wall_ms: The wall time in milliseconds.
            frame: The frame that was received.
            answer: Whether the frame must be the answer to this side's state.

        Returns:
            Whether the state was accepted or, if it is not an answer, must be answered nevertheless.
        """
        self._wall_ms = wall_ms
        try:
            message = self.codec.decode_exchange(frame)
            if message.answer is not answer:
                raise FrameRefusedError(RefusalReason.REPLAY)
            if self.members.later_claim(message.sender, message.incarnation) is not None:
                self.count_refused(RefusalReason.OLDER)
                return not answer  # its state is not merged, but the answer tells it of the later incarnation
            if message.sender != self.members.me.name:
                self._check_replay(message)
        except FrameRefusedError as error:
            self.count_refused(error.reason)
            return False
        self._merge(now_s, message)
        self.exchange_schedule.on_completed(message.sender)
        if not answer:
            self._unanswered_request = message
        elif message.endpoint_list is not None or message.remaining_quotas is not None:
            self.on_answer(message)
        return True

    # This gateway's own facts.

    def publish(self, wall_ms: float, kind: str, name: str, value: str | None) -> bool:
        """Publish a fact; return whether it is new. See `Facts.publish`.

        Raises:
            FactLimitError: The fact exceeds a limit.
        """
        return self.facts.publish(wall_ms, kind, name, value) is not None

    def gossip_now(self) -> None:
        """Send new facts to several members at once; used for facts whose delay makes requests fail."""
        if not self.members.superseded:
            self.outbox.gossip_to_many()

    def leave(self) -> None:
        """Send the claim that this member leaves to a few members, which pass it on."""
        self.members.leave()
        self.outbox.gossip_to(LEAVE_FANOUT)
