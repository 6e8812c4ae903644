"""Splitting a byte stream into JSON objects, which may span lines and arrive in any pieces."""

from __future__ import annotations

import json
import re
from typing import Any

# A JSON string never holds a raw line break, so within one line each string is complete.
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class StreamError(Exception):
    """The stream holds something that is no JSON object, or one that is too long."""


class JsonStream:
    """Collects bytes and returns each JSON object as soon as its last byte has arrived.

    Objects follow one another with or without line breaks in between; blank lines are ignored.

    Args:
        max_bytes: held of an unfinished object.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._lines: list[bytes] = []  # complete lines of the unfinished object
        self._lines_bytes = 0
        self._depth = 0  # braces and brackets still open at the end of these lines
        self._last_line = b""  # the line whose end has not arrived

    @property
    def unfinished(self) -> bool:
        """Whether part of an object has arrived, and not all of it."""
        return bool(self._lines or self._last_line.strip())

    def feed(self, data: bytes) -> list[Any]:
        """Return the objects that end within `data`.

        Raises:
            StreamError: for what can't become an object.
        """
        *lines, self._last_line = (self._last_line + data).split(b"\n")
        objects: list[Any] = []
        for line in lines:
            if self._lines or line.strip():
                objects += self._take_line(line)
        if self._looks_finished():
            objects += self._take_unterminated()
        if self._lines_bytes + len(self._last_line) > self.max_bytes:
            raise StreamError(f"an object of more than {self.max_bytes} bytes")
        return objects

    def finish(self) -> list[Any]:
        """Return the objects in what is left at the end of the stream.

        Raises:
            StreamError: if the last one is cut short.
        """
        text = b"\n".join([*self._lines, self._last_line])
        self._clear()
        self._last_line = b""
        return _parse_objects(text) if text.strip() else []

    def _take_line(self, line: bytes) -> list[Any]:
        if not self._lines and line.rstrip().endswith(b"}"):  # the usual form: one object a line
            try:
                return [json.loads(line)]
            except (ValueError, RecursionError):
                pass  # it may be the first line of several
        self._lines.append(line)
        self._lines_bytes += len(line)
        self._depth += _depth_change(line)
        if self._depth > 0:
            return []
        text = b"\n".join(self._lines)
        self._clear()
        return _parse_objects(text)

    def _looks_finished(self) -> bool:
        """Whether the line without an end may be the last one of an object."""
        ends_with_brace = self._last_line.rstrip().endswith(b"}")
        return ends_with_brace and self._depth + _depth_change(self._last_line) == 0

    def _take_unterminated(self) -> list[Any]:
        text = b"\n".join([*self._lines, self._last_line])
        try:
            objects = _parse_objects(text)
        except StreamError:
            return []  # a cut inside a string can look like an end
        self._clear()
        self._last_line = b""
        return objects

    def _clear(self) -> None:
        self._lines.clear()
        self._lines_bytes = 0
        self._depth = 0


def _depth_change(line: bytes) -> int:
    """How many more braces and brackets a line opens than it closes."""
    bare = _STRING.sub(b"", line)
    opened = bare.count(b"{") + bare.count(b"[")
    closed = bare.count(b"}") + bare.count(b"]")
    return opened - closed


def _parse_objects(text: bytes) -> list[Any]:
    """Return all objects of a text that holds nothing else."""
    decoder = json.JSONDecoder()
    objects: list[Any] = []
    try:
        remaining = text.decode().strip()
        while remaining:
            parsed, end = decoder.raw_decode(remaining)
            objects.append(parsed)
            remaining = remaining[end:].lstrip()
    except (ValueError, RecursionError) as error:
        raise StreamError(str(error)) from error
    return objects
