"""What a gateway has yet to pass on, the least transmitted first (memberlist's broadcast queue). Pure."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator

from switchline.fleet.messages import MAX_DATAGRAM_BYTES, Entry, MemberUpdate

MAX_QUEUED = 4_096  # items; what is dropped over it reaches the others by exchanges
RETRANSMIT_FACTOR = 4.0  # times log10 of the members: how often each passes an item on
LEAST_RETRANSMITS = 8
GOSSIP_BYTES = MAX_DATAGRAM_BYTES - 120  # of a datagram, without the frame and the other fields
UPDATE_BYTES = 48  # about, without the texts in it
ENTRY_BYTES = 72  # likewise
MAX_EXAMINED = 40  # items, for one datagram

Item = MemberUpdate | Entry


def estimated_bytes(item: Item) -> int:
    """Return about how many bytes of a datagram an item takes."""
    if isinstance(item, MemberUpdate):
        return UPDATE_BYTES + len(item.name) + len(item.suspected_by)
    return ENTRY_BYTES + len(item.name) + len(item.origin) + 2 * len(item.value or "")


def retransmit_limit(members: int) -> int:
    """Return how often an item is passed on in a fleet of so many members."""
    return max(LEAST_RETRANSMITS, math.ceil(RETRANSMIT_FACTOR * math.log10(members + 1)))


class GossipQueue:
    """Owns the items, by how often each was transmitted: a choice costs the same however many wait."""

    def __init__(self) -> None:
        self._transmits: dict[Hashable, int] = {}  # by an item's key
        self._queues: dict[int, dict[Hashable, Item]] = {}  # by that number, in order of arrival

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, key: Hashable, item: Item) -> None:
        """Add an item, in place of an older one of the same key."""
        self._drop(key)
        if len(self._transmits) >= MAX_QUEUED:
            self._drop(next(iter(self._queues[max(self._queues)])))
        self._put(key, item, 0)

    def _put(self, key: Hashable, item: Item, transmits: int) -> None:
        self._transmits[key] = transmits
        self._queues.setdefault(transmits, {})[key] = item

    def _drop(self, key: Hashable) -> None:
        if (transmits := self._transmits.pop(key, None)) is not None:
            del self._queues[transmits][key]
            if not self._queues[transmits]:
                del self._queues[transmits]

    def _candidates(self) -> Iterator[tuple[Hashable, Item, int]]:
        """Yield the items with the fewest transmissions: key, item and transmissions."""
        examined = 0
        for transmits in sorted(self._queues):
            for key, item in self._queues[transmits].items():
                yield key, item, transmits
                examined += 1
                if examined >= MAX_EXAMINED:
                    return

    def pick(self, members: int, first: MemberUpdate | None) -> tuple[list[MemberUpdate], list[Entry]]:
        """Return what one datagram carries; items that were transmitted often enough leave the queue.

        Args:
            members: Members that are present.
            first: An update that goes first, outside the queue.
        """
        updates = [first] if first else []
        entries: list[Entry] = []
        if not self._transmits:
            return updates, entries
        left_bytes = GOSSIP_BYTES
        picked = []
        for key, item, transmits in self._candidates():
            if (takes := estimated_bytes(item)) <= left_bytes:
                left_bytes -= takes
                picked.append((key, item, transmits))
        limit = retransmit_limit(members)
        for key, item, transmits in picked:
            if isinstance(item, MemberUpdate):
                updates.append(item)
            else:
                entries.append(item)
            self._drop(key)
            if transmits + 1 < limit:
                self._put(key, item, transmits + 1)
        return updates, entries
