"""Objects are found in a byte stream however it is formatted and cut."""

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
def test_objects_are_found_however_they_are_indented_and_cut(
    given_objects: list[tuple[dict[str, Any], int | None]], between: bytes, size: int
) -> None:
    text = b"".join(json.dumps(one, indent=indent).encode() + between for one, indent in given_objects)
    stream = JsonStream(1_000_000)
    found: list[Any] = []
    for start in range(0, len(text), size):
        found += stream.feed(text[start : start + size])
    assert found == [one for one, _ in given_objects]
    assert not stream.unfinished and stream.finish() == []


def test_an_object_is_given_with_its_last_byte_and_not_with_the_next_line() -> None:
    stream = JsonStream(1_000)
    assert stream.feed(b'{\n  "seq": 4') == []
    assert stream.unfinished
    assert stream.feed(b"2\n}") == [{"seq": 42}]
    assert stream.feed(b"\n\n") == []
    assert not stream.unfinished


@pytest.mark.parametrize("text", [b"nonsense\n", b'{"a": }\n', b'{"a": 1}}\n', b"\xff\n"])
def test_what_is_no_object_is_an_error(text: bytes) -> None:
    with pytest.raises(StreamError):
        JsonStream(1_000).feed(text)


def test_an_object_cut_short_is_an_error_at_the_end() -> None:
    stream = JsonStream(1_000)
    assert stream.feed(b'{"a": [1,') == []
    with pytest.raises(StreamError):
        stream.finish()


def test_an_object_without_end_is_bounded() -> None:
    stream = JsonStream(1_000)
    with pytest.raises(StreamError):
        for _ in range(200):
            stream.feed(b'{"a":\n[\n')
