"""An incremental RESP2 parser for untrusted peers.

A general-purpose parser allocates memory for an array as soon as it has read the header, for as many items
as the header announces, so a line of 13 bytes can cost gigabytes. This parser supports only what the protocol
needs, an array of strings or a single value. It limits what a header may announce and buffers only bytes that
have arrived.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, Literal, NamedTuple

# Length limit of a header, an error or a simple string; the longest in use have less than 100 bytes.
MAX_LINE_BYTES = 1024
CRLF = b"\r\n"
SIMPLE_TYPES = b"+-:"  # type bytes of simple strings, errors and integers
TYPES = b"*$" + SIMPLE_TYPES
NULL_LENGTH = b"-1"
NO_STRING = -1  # length while no string is being parsed


class ProtocolError(Exception):
    """The peer sent data that is not RESP2, or that exceeds a limit of the parser."""


class SimpleValue(NamedTuple):
    """A simple string, an error or an integer."""

    kind: bytes  # the type byte: +, - or :
    text: bytes


Item = bytes | SimpleValue | None


class StreamedStringStarted(NamedTuple):
    """The start of a long string inside an array; its bytes are read with `RespParser.read_streamed`."""

    items: list[Item]  # the items of the array before the string
    remaining_items: int  # items of the array that have not arrived yet, including the string
    length_bytes: int


class Incomplete(Enum):
    """The type of `INCOMPLETE`, which stands for a value whose last byte has not arrived."""

    INCOMPLETE = "incomplete"


INCOMPLETE: Final = Incomplete.INCOMPLETE
Value = Item | list[Item]
_Parsed = Item | int | StreamedStringStarted | Literal[Incomplete.INCOMPLETE]


class RespParser:
    """Parses bytes as they arrive and returns the values in them.

    After a ProtocolError the parser must not be used any more.

    Args:
        max_items: The maximum number of items of an array.
        max_bytes: The maximum size of a value, without the bytes of streamed strings.
        streaming_threshold_bytes: A longer string inside an array is streamed instead of buffered.
        max_streamed_bytes: The maximum length of a streamed string; 0 disables streaming.
    """

    def __init__(
        self, max_items: int, max_bytes: int, streaming_threshold_bytes: int = 0, max_streamed_bytes: int = 0
    ) -> None:
        self.max_items = max_items
        self.max_bytes = max_bytes
        self.streaming_threshold_bytes = streaming_threshold_bytes
        self.max_streamed_bytes = max_streamed_bytes
        self.streamed_remaining_bytes = NO_STRING  # bytes of the streamed string that have not been read yet
        self.array_items: list[Item] | None = None  # items parsed so far of the current array
        self.bulk_length_bytes = NO_STRING  # length of the string that is being buffered
        self.buffer = bytearray()
        self._offset = 0  # index in `buffer` of the first byte that is not parsed
        self._missing_items = 0
        self._announced_bytes = 0  # sum of the string lengths announced by headers of the current value

    def feed(self, data: bytes | memoryview) -> None:
        """Add bytes that have arrived."""
        self._free_parsed()
        self.buffer += data

    def _free_parsed(self) -> None:
        """Free the memory of the bytes that are parsed; an idle connection would keep them otherwise."""
        if self._offset:
            del self.buffer[: self._offset]
            self._offset = 0

    def discard(self) -> None:
        """Free the memory of all bytes, as no further value is parsed."""
        self.buffer.clear()
        self.array_items = None
        self._offset = 0
        self._announced_bytes = 0

    def has_partial_value(self) -> bool:
        """Whether bytes have arrived that do not belong to a value already returned."""
        return (
            self._offset < len(self.buffer)
            or self.array_items is not None
            or self.bulk_length_bytes >= 0
            or self.streamed_remaining_bytes >= 0
        )

    @property
    def held_bytes(self) -> int:
        """The memory for bytes that have arrived, or that the value being parsed has announced."""
        return max(len(self.buffer), self._announced_bytes)

    @property
    def awaited_bytes(self) -> int:
        """The bytes that the value being parsed has announced and that have not arrived."""
        return max(0, self._announced_bytes - len(self.buffer))

    def read_streamed(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` of the next bytes of the streamed string that have arrived."""
        max_length = max(0, min(self.streamed_remaining_bytes, max_bytes))
        end = min(self._offset + max_length, len(self.buffer))
        with memoryview(self.buffer) as view:
            data = bytes(view[self._offset : end])
        self._offset = end
        self.streamed_remaining_bytes -= len(data)
        if end == len(self.buffer):
            self._free_parsed()
        return data

    def next_value(self) -> Value | StreamedStringStarted | Literal[Incomplete.INCOMPLETE]:
        """Return the next value, or INCOMPLETE if its last byte has not arrived.

        At the start of a long string, return a StreamedStringStarted. A string that was streamed is empty in
        the array that is returned later.

        Raises:
            ProtocolError: As soon as the bytes that have arrived can't become an accepted value.
        """
        while True:
            if self.streamed_remaining_bytes >= 0:
                item = self._parse_end_of_streamed()
            elif self.bulk_length_bytes >= 0:
                item = self._parse_bulk()
            else:
                item = self._parse_line()
            if item is INCOMPLETE:
                self._free_parsed()
                return INCOMPLETE
            if isinstance(item, StreamedStringStarted):
                return item
            if isinstance(item, int):  # the header of an array
                self.array_items = []
                self._missing_items = item
            elif self.array_items is None:
                return self._complete(item)
            else:
                self.array_items.append(item)
                self._missing_items -= 1
            if self.array_items is not None and not self._missing_items:
                array = self.array_items
                self.array_items = None
                return self._complete(array)

    def _complete(self, value: Value) -> Value:
        """Return a value after its last byte is parsed."""
        self._announced_bytes = 0
        if self._offset == len(self.buffer):
            self._free_parsed()
        return value

    def _parse_end_of_streamed(self) -> _Parsed:
        """Parse the line break after a streamed string; the empty string returned stands for its value."""
        end = self._offset + len(CRLF)
        if self.streamed_remaining_bytes or len(self.buffer) < end:
            return INCOMPLETE
        if self.buffer[self._offset : end] != CRLF:
            raise ProtocolError("string is longer than its announced length")
        self._offset = end
        self.streamed_remaining_bytes = NO_STRING
        return b""

    def _parse_line(self) -> _Parsed:
        """Parse a single-line value or a header; return the number of items for the header of an array."""
        start = self._offset
        if start < len(self.buffer) and self.buffer[start] not in TYPES:
            raise ProtocolError(f"unknown type byte {chr(self.buffer[start])!a}")
        end = self.buffer.find(CRLF, start, start + MAX_LINE_BYTES)
        if end < 0:
            if len(self.buffer) - start >= MAX_LINE_BYTES:
                raise ProtocolError("line is longer than the maximum")
            return INCOMPLETE
        kind = bytes(self.buffer[start : start + 1])
        text = bytes(self.buffer[start + 1 : end])
        self._offset = end + len(CRLF)
        if kind in SIMPLE_TYPES:
            return SimpleValue(kind, text)
        if text == NULL_LENGTH:
            return None
        if not text.isdigit():
            raise ProtocolError("length is not a decimal number")
        if kind == b"*":
            return self._array_size(int(text))
        return self._begin_bulk(int(text))

    def _array_size(self, size: int) -> int:
        if self.array_items is not None or size > self.max_items:
            raise ProtocolError("array is nested or has too many items")
        return size

    def _begin_bulk(self, length: int) -> _Parsed:
        """Begin to parse a string of `length` bytes: stream a long one inside an array, else buffer it."""
        if (
            self.streaming_threshold_bytes < length <= self.max_streamed_bytes
            and self.array_items is not None
        ):
            self.streamed_remaining_bytes = length
            return StreamedStringStarted(list(self.array_items), self._missing_items, length)
        if self._announced_bytes + length > self.max_bytes:
            raise ProtocolError("value is longer than the maximum")
        self.bulk_length_bytes = length
        self._announced_bytes += length
        return self._parse_bulk()

    def _parse_bulk(self) -> bytes | Literal[Incomplete.INCOMPLETE]:
        string_end = self._offset + self.bulk_length_bytes
        end = string_end + len(CRLF)
        if len(self.buffer) < end:
            return INCOMPLETE
        if self.buffer[string_end:end] != CRLF:
            raise ProtocolError("string is longer than its announced length")
        value = bytes(self.buffer[self._offset : string_end])
        self._offset = end
        self.bulk_length_bytes = NO_STRING
        return value
