"""JSON objects are found in a byte stream, however it is formatted and split into pieces."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchline.net.json_stream import JsonStream, StreamError

TEXTS = st.text(alphabet='ab{}[]"\\\n :,', max_size=8)
VALUES = st.recursive(TEXTS | st.integers(), lambda inner: st.lists(inner, max_size=3), max_leaves=6)
OBJECTS = st.dictionaries(TEXTS, VALUES, max_size=4)


@given(
    st.lists(st.tuples(OBJECTS, st.sampled_from([None, 0, 1, 4])), max_size=4),
    st.sampled_from([b"\n", b"\r\n", b"\n\n\r\n", b""]),
    st.integers(1, 40),
)
def test_objects_are_found_with_any_indentation_and_piece_size(
    objects_with_indents: list[tuple[dict[str, Any], int | None]], separator: bytes, piece_bytes: int
) -> None:
    text = b"".join(
        json.dumps(value, indent=indent).encode() + separator for value, indent in objects_with_indents
    )
    stream = JsonStream(1_000_000)
    parsed: list[Any] = []
    for start in range(0, len(text), piece_bytes):
        parsed += stream.feed(text[start : start + piece_bytes])
    assert parsed == [value for value, _ in objects_with_indents]
    assert not stream.unfinished and stream.finish() == []


def test_object_is_returned_at_its_last_byte_without_a_line_break() -> None:
    stream = JsonStream(1_000)
    assert stream.feed(b'{\n  "seq": 4') == []
    assert stream.unfinished
    assert stream.feed(b"2\n}") == [{"seq": 42}]
    assert stream.feed(b"\n\n") == []
    assert not stream.unfinished


@pytest.mark.parametrize("text", [b"nonsense\n", b'{"a": }\n', b'{"a": 1}}\n', b"\xff\n"])
def test_text_that_is_not_an_object_is_an_error(text: bytes) -> None:
    with pytest.raises(StreamError):
        JsonStream(1_000).feed(text)


def test_incomplete_object_is_an_error_at_the_end_of_the_stream() -> None:
    stream = JsonStream(1_000)
    assert stream.feed(b'{"a": [1,') == []
    with pytest.raises(StreamError):
        stream.finish()


def test_unfinished_object_over_the_size_limit_is_an_error() -> None:
    stream = JsonStream(1_000)
    with pytest.raises(StreamError):
        for _ in range(200):
            stream.feed(b'{"a":\n[\n')
