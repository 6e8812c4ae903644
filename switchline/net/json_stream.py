"""Splitting a byte stream into JSON objects, which may span lines and be cut anywhere."""

from __future__ import annotations

import json
import re
from typing import Any

# A JSON string never holds a raw line break, so within one line each string is whole.
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class StreamError(Exception):
    """The stream holds something that is no JSON object, or one that is too long."""


class JsonStream:
    """Collects bytes and gives each JSON object as soon as its last byte has come.

    Objects follow one another with or without line breaks in between; blank lines count for nothing. What is
    held back of an unfinished object is at most `longest` bytes.
    """

    def __init__(self, longest: int) -> None:
        self.longest = longest
        self._lines: list[bytes] = []  # whole lines of the object that is coming in
        self._held = 0  # bytes in these
        self._depth = 0  # braces and brackets still open at the end of them
        self._rest = b""  # the line whose end has not come

    @property
    def unfinished(self) -> bool:
        """Whether part of an object has come, and not all of it."""
        return bool(self._lines or self._rest.strip())

    def feed(self, data: bytes) -> list[Any]:
        """The objects that end within `data`. Raises StreamError for what can't become one."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        objects: list[Any] = []
        for line in lines:
            if self._lines or line.strip():
                objects += self._take_line(line)
        if self._looks_finished():
            objects += self._take_unterminated()
        if self._held + len(self._rest) > self.longest:
            raise StreamError(f"an object of more than {self.longest} bytes")
        return objects

    def finish(self) -> list[Any]:
        """The objects in what is left at the end of the stream; raises StreamError if it is cut short."""
        text = b"\n".join([*self._lines, self._rest])
        self._clear()
        self._rest = b""
        return _parse(text) if text.strip() else []

    def _take_line(self, line: bytes) -> list[Any]:
        if not self._lines and line.rstrip().endswith(b"}"):  # the usual form: one object a line
            try:
                return [json.loads(line)]
            except (ValueError, RecursionError):
                pass  # it may be the first line of several
        self._lines.append(line)
        self._held += len(line)
        self._depth += _balance(line)
        if self._depth > 0:
            return []
        text = b"\n".join(self._lines)
        self._clear()
        return _parse(text)

    def _looks_finished(self) -> bool:
        """Whether the line without an end may be the last one of an object."""
        return self._rest.rstrip().endswith(b"}") and self._depth + _balance(self._rest) == 0

    def _take_unterminated(self) -> list[Any]:
        text = b"\n".join([*self._lines, self._rest])
        try:
            objects = _parse(text)
        except StreamError:
            return []  # a cut inside a string can look like an end
        self._clear()
        self._rest = b""
        return objects

    def _clear(self) -> None:
        self._lines.clear()
        self._held = 0
        self._depth = 0


def _balance(line: bytes) -> int:
    """How many more braces and brackets are opened in a line than closed."""
    bare = _STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


def _parse(text: bytes) -> list[Any]:
    """All objects in a text that holds nothing else."""
    decoder = json.JSONDecoder()
    objects: list[Any] = []
    try:
        left = text.decode().strip()
        while left:
            found, end = decoder.raw_decode(left)
            objects.append(found)
            left = left[end:].lstrip()
    except (ValueError, RecursionError) as error:
        raise StreamError(str(error)) from error
    return objects
