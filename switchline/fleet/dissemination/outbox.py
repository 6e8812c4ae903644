"""The datagrams that a member sends, and the gossip that they carry."""

from __future__ import annotations

from collections.abc import Hashable

from switchline.fleet.dissemination.gossip_queue import GossipQueue, Item
from switchline.fleet.facts import fact_key
from switchline.fleet.frames import FrameCodec
from switchline.fleet.hybrid_clock import HybridClock
from switchline.fleet.membership.member import Address
from switchline.fleet.membership.members import Members
from switchline.fleet.membership.probing import NO_ADDRESS
from switchline.fleet.messages import MAX_DATAGRAM_BYTES, Datagram, Entry, MemberUpdate, MessageKind

GOSSIP_INTERVAL_S = 0.2  # time between two rounds of gossip, while there is gossip to pass on
GOSSIP_FANOUT = 2  # number of members that a round is sent to
# Delay before the first round with a new item. It is short, as a refutation must arrive before the timeout of
# the suspicion.
FIRST_GOSSIP_DELAY_S = 0.03
URGENT_FANOUT = 8  # number of members that a refutation or other urgent gossip is sent to at once


class Outbox:
    """Owns the datagrams to send, and the queue of gossip for later datagrams."""

    def __init__(self, members: Members, clock: HybridClock, codec: FrameCodec, now_s: float) -> None:
        """`codec` encodes the fleet's frames."""
        self.queue = GossipQueue()
        self.sent_datagrams = 0
        self.last_tick_s = now_s  # the time of the endpoint's last tick
        self._members = members
        self._clock = clock
        self._codec = codec
        self._last_number = 0  # the number of the last message
        self._datagrams: list[tuple[Address, bytes]] = []
        self._next_gossip_at_s = now_s
        self._last_gossip_s = now_s

    def take(self) -> list[tuple[Address, bytes]]:
        """Return the datagrams to send now, with their addresses, and remove them here."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def next_number(self) -> int:
        """Return the number of the next message of this incarnation."""
        self._last_number += 1
        return self._last_number

    def send(
        self,
        to: Address,
        kind: MessageKind,
        *,
        seq: int = 0,
        target: str = "",
        address: Address = NO_ADDRESS,
        first: MemberUpdate | None = None,
    ) -> None:
        """Add a datagram with as much gossip as fits to those to send.

        A member that is superseded by a later process of its name sends only answers.

        Args:
            to: The address to send to.
            kind: The kind of the message.
            seq: Sequence number of a ping and of its answers.
            target: Name of the member that is pinged, in a PING and a PING_REQ.
            address: The address that the datagram names; see `Datagram.host`.
            first: A claim that it carries before the gossip from the queue.
        """
        if self._members.superseded and kind is not MessageKind.ACK:
            return
        me = self._members.me
        number = self.next_number()
        updates, entries = self.queue.pick(self._members.size, first)
        identity = me.name, me.incarnation, number
        message = Datagram(*identity, kind, seq, target, *address, updates, entries, self._clock.last)
        self.sent_datagrams += 1
        self._datagrams.append((to, self._encode_within_limit(message)))

    def _encode_within_limit(self, message: Datagram) -> bytes:
        """Return a datagram's frame, without the last gossip in it if that was longer than estimated."""
        frame = self._codec.encode(message)
        while len(frame) > MAX_DATAGRAM_BYTES and (message.entries or message.updates):
            del (message.entries or message.updates)[-1:]
            frame = self._codec.encode(message)
        return frame

    def queue_update(self, update: MemberUpdate) -> None:
        """Queue a claim about a member. Suspicions by different members are separate items."""
        suspecter = update.suspected_by
        self._queue_item(
            ("suspect", update.name, suspecter) if suspecter else ("member", update.name), update
        )

    def queue_entry(self, entry: Entry) -> None:
        """Queue a version of a fact."""
        self._queue_item(("fact", *fact_key(entry)), entry)

    def _queue_item(self, key: Hashable, item: Item) -> None:
        self.queue.add(key, item)
        first_round_s = (
            max(self.last_tick_s, self._last_gossip_s + FIRST_GOSSIP_DELAY_S) + FIRST_GOSSIP_DELAY_S
        )
        self._next_gossip_at_s = min(self._next_gossip_at_s, first_round_s)

    def next_gossip_at_s(self) -> float | None:
        """Return when the next round of gossip is due (seconds); None if there is nothing to pass on."""
        return self._next_gossip_at_s if self.queue else None

    def run_due(self, now_s: float) -> None:
        """Send a round of gossip if it is due."""
        if now_s < self._next_gossip_at_s:
            return
        self._next_gossip_at_s = now_s + GOSSIP_INTERVAL_S
        self._last_gossip_s = now_s
        if self.queue and not self._members.superseded:
            self.gossip_to(GOSSIP_FANOUT)

    def gossip_to_many(self) -> None:
        """Send gossip to several members at once.

        A refutation must reach all members before the timeout of the suspicion.
        """
        self.gossip_to(URGENT_FANOUT)

    def gossip_to(self, fanout: int) -> None:
        """Send gossip to at most `fanout` random members."""
        for member in self._members.sampler.sample(fanout):
            self.send(member.address, MessageKind.GOSSIP)
