"""The RESP2 parser, without sockets."""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchline.net.resp import INCOMPLETE, MAX_LINE_BYTES, ProtocolError, RespParser, SimpleValue, Value


def parse_pieces(data: bytes, cuts: list[int] | None = None) -> list[Value]:
    """Parse data that arrives in pieces, split at `cuts`, and return all its values."""
    parser = RespParser(max_items=5, max_bytes=1000)
    boundaries = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts or [])})
    values: list[Value] = []
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        parser.feed(data[start:end])
        while (value := parser.next_value()) is not INCOMPLETE:
            values.append(value)
    assert not parser.has_partial_value()
    return values


def encode(value: Value) -> bytes:
    if value is None:
        return b"$-1\r\n"
    if isinstance(value, SimpleValue):
        return value.kind + value.text + b"\r\n"
    if isinstance(value, bytes):
        return b"$%d\r\n%b\r\n" % (len(value), value)
    return b"*%d\r\n" % len(value) + b"".join(map(encode, value))


ITEMS = (
    st.none()
    | st.binary(max_size=100)
    | st.just(SimpleValue(b"-", b"BUSY 7"))
    | st.just(SimpleValue(b"+", b"OK"))
)
VALUES = ITEMS | st.lists(ITEMS, max_size=5)


@given(st.lists(VALUES, max_size=6), st.lists(st.integers(0, 10_000), max_size=8))
def test_values_are_parsed_completely_however_they_are_split(values: list[Value], cuts: list[int]) -> None:
    assert parse_pieces(b"".join(map(encode, values)), cuts) == values


def test_value_is_not_returned_before_its_last_byte() -> None:
    parser = RespParser(5, 1000)
    for byte in encode([b"PING", b""])[:-1]:
        parser.feed(bytes([byte]))
        assert parser.next_value() is INCOMPLETE and parser.has_partial_value()
    parser.feed(b"\n")
    assert parser.next_value() == [b"PING", b""] and not parser.has_partial_value()


@pytest.mark.parametrize(
    "data",
    [
        b"*6\r\n",
        b"*1000000000\r\n",
        b"*2\r\n*1000000000\r\n",
        b"*1\r\n*1\r\n",
        b">1000000000\r\n",
        b"%1\r\n",
        b"$1001\r\n",
        b"*2\r\n$600\r\n" + b"a" * 600 + b"\r\n$600\r\n",
        b"*-2\r\n",
        b"$1_0\r\n",
        b"$+1\r\n",
        b"$ 1\r\n",
        b"*\r\n",
        b"$1\r\nab\r\n",
        b"GET / HTTP/1.1",
        b"+" + b"a" * MAX_LINE_BYTES,
    ],
)
def test_unaccepted_data_is_an_error_at_once(data: bytes) -> None:
    parser = RespParser(max_items=5, max_bytes=1000)
    parser.feed(data)
    with pytest.raises(ProtocolError):
        parser.next_value()


def test_no_memory_is_allocated_for_announced_data_that_has_not_arrived() -> None:
    parser = RespParser(max_items=1_000_000, max_bytes=1_000_000_000)
    parser.feed(b"*1000000\r\n$900000000\r\n")
    tracemalloc.start()
    try:
        assert parser.next_value() is INCOMPLETE
        assert tracemalloc.get_traced_memory()[1] < 10_000
    finally:
        tracemalloc.stop()
