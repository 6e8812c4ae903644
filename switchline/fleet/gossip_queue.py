"""What a gateway has yet to tell the others, the least told first (as memberlist's broadcast queue). Pure."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator

from switchline.fleet.messages import MOST_DATAGRAM, Entry, Rumor

MOST_NEWS = 4_096  # pieces of news that wait to be told; exchanges tell what is over it
REPEATS, LEAST_REPEATS = 4.0, 8  # times log10 of the members that each tells a piece of news; at least
ROOM = MOST_DATAGRAM - 120  # bytes of a datagram for news: beside the frame and the fields
RUMOR_BYTES, ENTRY_BYTES = 48, 72  # about, of one; with the lengths of its texts
LOOKED_AT = 40  # pieces, for one datagram

Piece = Rumor | Entry


def size_of(piece: Piece) -> int:
    """About how many bytes of a datagram it takes."""
    if isinstance(piece, Rumor):
        return RUMOR_BYTES + len(piece.name) + len(piece.by)
    return ENTRY_BYTES + len(piece.name) + len(piece.origin) + 2 * len(piece.value or "")


class GossipQueue:
    """Owns the pieces, by how often each was told: to pick some costs the same however many wait."""

    def __init__(self) -> None:
        self.told: dict[Hashable, int] = {}  # by what a piece is of: how often it was told
        self.queues: dict[int, dict[Hashable, Piece]] = {}  # by that number, in order of their coming

    def __len__(self) -> int:
        return len(self.told)

    def add(self, key: Hashable, piece: Piece) -> None:
        """A new piece, in place of an older one of the same."""
        self._drop(key)
        if len(self.told) >= MOST_NEWS:
            self._drop(next(iter(self.queues[max(self.queues)])))
        self._put(key, piece, 0)

    def _put(self, key: Hashable, piece: Piece, told: int) -> None:
        self.told[key] = told
        self.queues.setdefault(told, {})[key] = piece

    def _drop(self, key: Hashable) -> None:
        if (told := self.told.pop(key, None)) is not None:
            del self.queues[told][key]
            if not self.queues[told]:
                del self.queues[told]

    def _next(self) -> Iterator[tuple[Hashable, Piece, int]]:
        looked = 0
        for told in sorted(self.queues):
            for key, piece in self.queues[told].items():
                yield key, piece, told
                looked += 1
                if looked >= LOOKED_AT:
                    return

    def pick(self, size: int, first: Rumor | None) -> tuple[list[Rumor], list[Entry]]:
        """As many as a datagram holds, and `first` before them; those told often enough are done.

        `size` is how many members there are.
        """
        rumors, entries, room = ([first] if first else []), list[Entry](), ROOM
        if not self.told:
            return rumors, entries
        picked = []
        for key, piece, told in self._next():
            if (takes := size_of(piece)) <= room:
                room -= takes
                picked.append((key, piece, told))
        most = max(LEAST_REPEATS, math.ceil(REPEATS * math.log10(size + 1)))
        for key, piece, told in picked:
            rumors.append(piece) if isinstance(piece, Rumor) else entries.append(piece)
            self._drop(key)
            if told + 1 < most:
                self._put(key, piece, told + 1)
        return rumors, entries
