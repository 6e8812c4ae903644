"""Reading RESP2 from peers that may send anything.

A library's reader sets an array's room aside as its header is read, for as many items as the header promises
(hiredis does, and takes no limit): a line of 13 bytes costs seconds of CPU or gigabytes. This one knows the
little that the protocol needs, an array of strings or one of these alone, and holds only what has come.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, Literal, NamedTuple

LONGEST_LINE = 1024  # bytes of a header, an error or a simple string; the longest known are under a hundred
LINE_KINDS = b"+-:"
END = b"\r\n"
KINDS = b"*$" + LINE_KINDS


class ProtocolError(Exception):
    """What came in is not RESP2, or more of it than is taken."""


class TextLine(NamedTuple):
    """A simple string, an error or an integer: its first byte and the rest."""

    kind: bytes
    text: bytes


Item = bytes | TextLine | None


class Opened(NamedTuple):
    """A long string has begun in an array. Its bytes come through `Reader.piece`."""

    items: list[Item]  # of the array, before it
    missing: int  # items of the array, with it
    length: int


class NotWhole(Enum):
    """What stands for a value whose last byte has not come."""

    YET = "not whole yet"


NOT_YET: Final = NotWhole.YET
Value = Item | list[Item]


class RespParser:
    """Takes bytes as they come and gives the values in them. After an error it is of no further use."""

    def __init__(self, most_items: int, most_bytes: int, whole: int = 0, longest: int = 0) -> None:
        # In an array, a string of more than `whole` and at most `longest` bytes is given in pieces.
        self.most_items, self.most_bytes, self.whole, self.longest = most_items, most_bytes, whole, longest
        self.left = -1  # bytes still to come of the string that is given in pieces; below 0: none is
        self.buffer, self.at = bytearray(), 0
        self.items: list[Item] | None = None  # of the array that is being read
        self.missing = 0
        self.length = -1  # of the bulk string that is being read
        self.taken = 0  # bytes that the value being read has announced so far

    def feed(self, data: bytes | memoryview) -> None:
        if self.at:
            del self.buffer[: self.at]
            self.at = 0
        self.buffer += data

    def has_data(self) -> bool:
        """Whether bytes are left that belong to no value given so far."""
        return self.at < len(self.buffer) or self.items is not None or self.length >= 0 or self.left >= 0

    def piece(self, most: int) -> bytes:
        """What has come of the string that is given in pieces, `most` bytes of it at a time."""
        end = min(self.at + max(0, min(self.left, most)), len(self.buffer))
        data = bytes(memoryview(self.buffer)[self.at : end])
        self.at, self.left = end, self.left - len(data)
        return data

    def gets(self) -> Value | Opened | Literal[NotWhole.YET]:
        """The next value; raises ProtocolError as soon as it can't become one that is taken.

        A string that was given in pieces stands in its array as an empty one.
        """
        while True:
            if self.left >= 0:
                item = self._end()
            else:
                item = self._bulk() if self.length >= 0 else self._line()
            if item is NOT_YET or isinstance(item, Opened):
                return item
            if isinstance(item, int):  # an array's header
                self.items, self.missing = [], item
            elif self.items is None:
                self.taken = 0
                return item
            else:
                self.items.append(item)
                self.missing -= 1
            if self.items is not None and not self.missing:
                whole, self.items, self.taken = self.items, None, 0
                return whole

    def _end(self) -> Item | int | Opened | Literal[NotWhole.YET]:
        """The end of the string that was given in pieces."""
        if self.left or len(self.buffer) < self.at + len(END):
            return NOT_YET
        if self.buffer[self.at : self.at + len(END)] != END:
            raise ProtocolError("a string longer than its length")
        self.at, self.left = self.at + len(END), -1
        return b""

    def _line(self) -> Item | int | Opened | Literal[NotWhole.YET]:
        """A value on one line, or the number of items of an array that begins."""
        buffer, at = self.buffer, self.at
        if at < len(buffer) and buffer[at] not in KINDS:
            raise ProtocolError(f"no value begins with {chr(buffer[at])!a}")
        end = buffer.find(b"\r\n", at, at + LONGEST_LINE)
        if end < 0:
            if len(buffer) - at >= LONGEST_LINE:
                raise ProtocolError("line too long")
            return NOT_YET
        kind, text = bytes(buffer[at : at + 1]), bytes(buffer[at + 1 : end])
        self.at = end + 2
        if kind in LINE_KINDS:
            return TextLine(kind, text)
        if text == b"-1":
            return None
        if not text.isdigit():
            raise ProtocolError("malformed length")
        if kind == b"*":
            if self.items is not None or int(text) > self.most_items:
                raise ProtocolError("too many items")
            return int(text)
        self.length = int(text)
        if self.whole < self.length <= self.longest and self.items is not None:
            self.left, self.length = self.length, -1
            return Opened(list(self.items), self.missing, self.left)
        self.taken += self.length
        if self.taken > self.most_bytes:
            raise ProtocolError("value too long")
        return self._bulk()

    def _bulk(self) -> bytes | Literal[NotWhole.YET]:
        end = self.at + self.length
        if len(self.buffer) < end + 2:
            return NOT_YET
        if self.buffer[end : end + 2] != b"\r\n":
            raise ProtocolError("a string longer than its length")
        value = bytes(self.buffer[self.at : end])
        self.at, self.length = end + 2, -1
        return value
