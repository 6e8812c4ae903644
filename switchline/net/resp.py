"""An incremental parser of RESP2 for peers that may send anything.

A general-purpose parser reserves memory for an array as soon as it has read the header, for as many items
as the header announces: a line of 13 bytes can cost gigabytes. This parser knows only what the protocol
needs, an array of strings or a single value, bounds what a header may announce, and holds only what has
arrived.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, Literal, NamedTuple

MAX_LINE_BYTES = 1024  # of a header, an error or a simple string; the longest known are under a hundred
CRLF = b"\r\n"
SIMPLE_TYPES = b"+-:"  # simple string, error, integer
TYPES = b"*$" + SIMPLE_TYPES
NULL_LENGTH = b"-1"
NONE = -1  # no string is being read


class ProtocolError(Exception):
    """The peer sent something that is not RESP2, or more of it than is accepted."""


class SimpleValue(NamedTuple):
    """A simple string, an error or an integer."""

    kind: bytes  # the type byte: +, - or :
    text: bytes


Item = bytes | SimpleValue | None


class StreamedStringStarted(NamedTuple):
    """A long string has begun inside an array. Its bytes are read with `RespParser.read_streamed`."""

    items: list[Item]  # the items of the array before it
    remaining_items: int  # items of the array still to come, this one included
    length_bytes: int  # bytes


class Incomplete(Enum):
    """Stands for a value whose last byte has not arrived."""

    INCOMPLETE = "incomplete"


INCOMPLETE: Final = Incomplete.INCOMPLETE
Value = Item | list[Item]
_Parsed = Item | int | StreamedStringStarted | Literal[Incomplete.INCOMPLETE]


class RespParser:
    """Takes bytes as they arrive and returns the values in them.

    After a ProtocolError the parser is of no further use.

    Args:
        max_items: of one array.
        max_bytes: of one value, strings that are streamed not counted.
        streaming_threshold: bytes; a longer string inside an array is streamed instead of collected.
        max_streamed: bytes of a streamed string; 0 turns streaming off.
    """

    def __init__(
        self, max_items: int, max_bytes: int, streaming_threshold_bytes: int = 0, max_streamed_bytes: int = 0
    ) -> None:
        self.max_items = max_items
        self.max_bytes = max_bytes
        self.streaming_threshold_bytes = streaming_threshold_bytes
        self.max_streamed_bytes = max_streamed_bytes
        self.streamed_remaining_bytes = NONE  # bytes still to come of the string that is being streamed
        self.array_items: list[Item] | None = None  # of the array that is being read
        self.bulk_length_bytes = NONE  # bytes of the string that is being collected
        self.buffer = bytearray()
        self._offset = 0  # of the first byte of `buffer` that is not parsed
        self._missing_items = 0
        self._announced_bytes = 0  # by the headers of the value that is being read

    def feed(self, data: bytes | memoryview) -> None:
        """Add bytes that have arrived."""
        if self._offset:
            del self.buffer[: self._offset]
            self._offset = 0
        self.buffer += data

    def has_partial_value(self) -> bool:
        """Whether bytes have arrived that belong to no value returned so far."""
        return (
            self._offset < len(self.buffer)
            or self.array_items is not None
            or self.bulk_length_bytes >= 0
            or self.streamed_remaining_bytes >= 0
        )

    def read_streamed(self, max_bytes: int) -> bytes:
        """Return the next bytes of the streamed string that have arrived, `max_bytes` at most."""
        wanted = max(0, min(self.streamed_remaining_bytes, max_bytes))
        end = min(self._offset + wanted, len(self.buffer))
        data = bytes(memoryview(self.buffer)[self._offset : end])
        self._offset = end
        self.streamed_remaining_bytes -= len(data)
        return data

    def next_value(self) -> Value | StreamedStringStarted | Literal[Incomplete.INCOMPLETE]:
        """Return the next value, or INCOMPLETE.

        A string that was streamed stands in its array as an empty one.

        Raises:
            ProtocolError: as soon as what has arrived can't become a value that is accepted.
        """
        while True:
            if self.streamed_remaining_bytes >= 0:
                item = self._parse_end_of_streamed()
            elif self.bulk_length_bytes >= 0:
                item = self._parse_bulk()
            else:
                item = self._parse_line()
            if item is INCOMPLETE or isinstance(item, StreamedStringStarted):
                return item
            if isinstance(item, int):  # the header of an array
                self.array_items = []
                self._missing_items = item
            elif self.array_items is None:
                self._announced_bytes = 0
                return item
            else:
                self.array_items.append(item)
                self._missing_items -= 1
            if self.array_items is not None and not self._missing_items:
                array = self.array_items
                self.array_items = None
                self._announced_bytes = 0
                return array

    def _parse_end_of_streamed(self) -> _Parsed:
        end = self._offset + len(CRLF)
        if self.streamed_remaining_bytes or len(self.buffer) < end:
            return INCOMPLETE
        if self.buffer[self._offset : end] != CRLF:
            raise ProtocolError("a string longer than its length")
        self._offset = end
        self.streamed_remaining_bytes = NONE
        return b""

    def _parse_line(self) -> _Parsed:
        """Parse a value on one line, or a header; an array's header returns its number of items."""
        start = self._offset
        if start < len(self.buffer) and self.buffer[start] not in TYPES:
            raise ProtocolError(f"no value begins with {chr(self.buffer[start])!a}")
        end = self.buffer.find(CRLF, start, start + MAX_LINE_BYTES)
        if end < 0:
            if len(self.buffer) - start >= MAX_LINE_BYTES:
                raise ProtocolError("line too long")
            return INCOMPLETE
        kind = bytes(self.buffer[start : start + 1])
        text = bytes(self.buffer[start + 1 : end])
        self._offset = end + len(CRLF)
        if kind in SIMPLE_TYPES:
            return SimpleValue(kind, text)
        if text == NULL_LENGTH:
            return None
        if not text.isdigit():
            raise ProtocolError("malformed length")
        if kind == b"*":
            return self._array_size(int(text))
        return self._begin_bulk(int(text))

    def _array_size(self, size: int) -> int:
        if self.array_items is not None or size > self.max_items:
            raise ProtocolError("too many items")
        return size

    def _begin_bulk(self, length: int) -> _Parsed:
        if (
            self.streaming_threshold_bytes < length <= self.max_streamed_bytes
            and self.array_items is not None
        ):
            self.streamed_remaining_bytes = length
            return StreamedStringStarted(list(self.array_items), self._missing_items, length)
        self.bulk_length_bytes = length
        self._announced_bytes += length
        if self._announced_bytes > self.max_bytes:
            raise ProtocolError("value too long")
        return self._parse_bulk()

    def _parse_bulk(self) -> bytes | Literal[Incomplete.INCOMPLETE]:
        end_of_string = self._offset + self.bulk_length_bytes
        end = end_of_string + len(CRLF)
        if len(self.buffer) < end:
            return INCOMPLETE
        if self.buffer[end_of_string:end] != CRLF:
            raise ProtocolError("a string longer than its length")
        value = bytes(self.buffer[self._offset : end_of_string])
        self._offset = end
        self.bulk_length_bytes = NONE
        return value
