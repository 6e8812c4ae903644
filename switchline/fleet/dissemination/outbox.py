"""The datagrams that a member sends, and the gossip that they carry. Pure."""

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

GOSSIP_INTERVAL_S = 0.2  # between two rounds, while there is anything to pass on
GOSSIP_FANOUT = 2  # members of a round
FIRST_GOSSIP_S = 0.03  # until the first round of what is new: a refutation must outrun a suspicion's timeout
URGENT_FANOUT = 8  # members that a refutation, or other urgent gossip, is sent to at once


class Outbox:
    """Owns the datagrams that wait to be sent, and the gossip that waits for a datagram."""

    def __init__(self, members: Members, clock: HybridClock, codec: FrameCodec, now_s: float) -> None:
        """`codec`: of the fleet's frames."""
        self.queue = GossipQueue()
        self.sent_datagrams = 0  # datagrams
        self.ticked_s = now_s  # the endpoint's last tick
        self._members = members
        self._clock = clock
        self._codec = codec
        self._number = 0  # of the last message
        self._datagrams: list[tuple[Address, bytes]] = []
        self._gossip_at = now_s
        self._gossiped_s = now_s

    def take(self) -> list[tuple[Address, bytes]]:
        """Return, and forget, the datagrams to send now."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def next_number(self) -> int:
        """Return the number of the next message of this incarnation."""
        self._number += 1
        return self._number

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
        """Put out one datagram with as much gossip as it holds.

        A member whose name another process has sends nothing but answers.

        Args:
            to: Where it is sent.
            kind: What it is.
            seq: Of a ping, and of the answers to it.
            target: Of a ping, and of an indirect one: who is pinged.
            address: The address that it names; see `Datagram.host`.
            first: Gossip that goes before the queue's.
        """
        if self._members.superseded and kind is not MessageKind.ACK:
            return
        me = self._members.me
        number = self.next_number()
        updates, entries = self.queue.pick(self._members.size, first)
        identity = me.name, me.incarnation, number
        message = Datagram(*identity, kind, seq, target, *address, updates, entries, self._clock.last)
        self.sent_datagrams += 1
        self._datagrams.append((to, self._encode_within_bound(message)))

    def _encode_within_bound(self, message: Datagram) -> bytes:
        """Return a datagram's frame; gossip that was longer than estimated is left out of it."""
        frame = self._codec.encode(message)
        while len(frame) > MAX_DATAGRAM_BYTES and (message.entries or message.updates):
            del (message.entries or message.updates)[-1:]
            frame = self._codec.encode(message)
        return frame

    def queue_update(self, update: MemberUpdate) -> None:
        """Pass on a claim about a member; each member's suspicion of it is passed on for itself."""
        by = update.suspected_by
        self._queue(("suspect", update.name, by) if by else ("member", update.name), update)

    def queue_entry(self, entry: Entry) -> None:
        """Pass on a version of a fact."""
        self._queue(("fact", *fact_key(entry)), entry)

    def _queue(self, key: Hashable, item: Item) -> None:
        self.queue.add(key, item)
        soon_s = max(self.ticked_s, self._gossiped_s + FIRST_GOSSIP_S) + FIRST_GOSSIP_S
        self._gossip_at = min(self._gossip_at, soon_s)

    def next_round_s(self) -> float | None:
        """Return when the next round of gossip is due; None where there is nothing to pass on."""
        return self._gossip_at if self.queue else None

    def run_due(self, now_s: float) -> None:
        """Send a round of gossip, if it is due."""
        if now_s < self._gossip_at:
            return
        self._gossip_at = now_s + GOSSIP_INTERVAL_S
        self._gossiped_s = now_s
        if self.queue and not self._members.superseded:
            self.gossip_to(GOSSIP_FANOUT)

    def gossip_to_many(self) -> None:
        """Send gossip to several at once: a refutation must reach all before the suspicion's timeout."""
        self.gossip_to(URGENT_FANOUT)

    def gossip_to(self, fanout: int) -> None:
        """Send gossip to so many members, at random."""
        for member in self._members.sampler.sample(fanout):
            self.send(member.address, MessageKind.GOSSIP)
