"""The queue of gossip to pass on, least transmitted items first (memberlist's broadcast queue)."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator

from switchline.fleet.messages import MAX_DATAGRAM_BYTES, Entry, MemberUpdate

MAX_QUEUED_ITEMS = 4_096  # an item that is dropped above this reaches the other members by exchanges
RETRANSMIT_FACTOR = 4.0  # each member passes an item on this many times log10(members + 1)
MIN_RETRANSMITS = 8
MAX_GOSSIP_BYTES = MAX_DATAGRAM_BYTES - 120  # the rest is for the frame and the datagram's other fields
UPDATE_OVERHEAD_BYTES = 48  # estimated size of an update without its texts
ENTRY_OVERHEAD_BYTES = 72  # estimated size of an entry without its texts
MAX_EXAMINED_ITEMS = 40  # the most items that are examined for one datagram

Item = MemberUpdate | Entry


def estimated_bytes(item: Item) -> int:
    """Return the estimated size of an item in a datagram, in bytes."""
    if isinstance(item, MemberUpdate):
        return UPDATE_OVERHEAD_BYTES + len(item.name) + len(item.suspected_by)
    return ENTRY_OVERHEAD_BYTES + len(item.name) + len(item.origin) + 2 * len(item.value or "")


def retransmit_limit(members: int) -> int:
    """Return how often a member passes an item on in a fleet of `members` members."""
    return max(MIN_RETRANSMITS, math.ceil(RETRANSMIT_FACTOR * math.log10(members + 1)))


class GossipQueue:
    """Owns the queued items, grouped by how often each was transmitted.

    Because of the groups a choice costs the same however many items are queued.
    """

    def __init__(self) -> None:
        self._transmits: dict[Hashable, int] = {}  # number of transmissions by an item's key
        self._queues: dict[
            int, dict[Hashable, Item]
        ] = {}  # items by number of transmissions, in order of arrival

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, key: Hashable, item: Item) -> None:
        """Add an item, replacing an older one with the same key."""
        self._drop(key)
        if len(self._transmits) >= MAX_QUEUED_ITEMS:
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
        """Yield the key, item and number of transmissions of the items with the fewest transmissions."""
        examined = 0
        for transmits in sorted(self._queues):
            for key, item in self._queues[transmits].items():
                yield key, item, transmits
                examined += 1
                if examined >= MAX_EXAMINED_ITEMS:
                    return

    def pick(self, members: int, first: MemberUpdate | None) -> tuple[list[MemberUpdate], list[Entry]]:
        """Return the gossip for one datagram; remove items that were transmitted often enough.

        Args:
            members: Number of members that are present.
            first: An update that goes first and is not in the queue; None for none.
        """
        updates = [first] if first else []
        entries: list[Entry] = []
        if not self._transmits:
            return updates, entries
        free_bytes = MAX_GOSSIP_BYTES
        picked = []
        for key, item, transmits in self._candidates():
            if (item_bytes := estimated_bytes(item)) <= free_bytes:
                free_bytes -= item_bytes
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
