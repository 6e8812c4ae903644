"""RESP2: the writing of commands and the reading of commands and answers."""

from __future__ import annotations

import asyncio
from typing import Any


def command(*words: bytes) -> bytes:
    """Write a command, an array of bulk strings."""
    return b"*%d\r\n%b" % (len(words), b"".join(bulk(word) for word in words))


def bulk(value: bytes) -> bytes:
    """Write a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def served(value: bytes) -> bytes:
    """Write a backend's good answer: the value, no figures on use, no load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


class Line(bytes):
    """A simple string, an error or an integer, with its type byte."""


async def read_value(reader: asyncio.StreamReader) -> Any:
    """Read one value: a `Line`, bytes, None or a list.

    Raises:
        asyncio.IncompleteReadError: The connection ended before or within it. ConnectionError likewise.
    """
    line = await reader.readuntil(b"\r\n")
    kind, text = line[:1], line[1:-2]
    if kind == b"$":
        return None if text == b"-1" else (await reader.readexactly(int(text) + 2))[:-2]
    if kind == b"*":
        return [await read_value(reader) for _ in range(int(text))]
    return Line(kind + text)


def attributes(words: list[bytes]) -> dict[bytes, bytes]:
    """Return the names and values of a request."""
    pairs = (item.partition(b"=") for item in words[3].split(b","))
    return {name: value for name, _, value in pairs}
