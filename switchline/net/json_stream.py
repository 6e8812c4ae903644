"""Splitting a byte stream into JSON objects, which may span several lines and arrive in arbitrary pieces."""

from __future__ import annotations

import json
import re
from typing import Any

# A JSON string never contains an unescaped line break, so each string is complete within one line.
_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class StreamError(Exception):
    """The stream contains data that is not a JSON object, or an object that is too long."""


class JsonStream:
    """Collects bytes and returns each JSON object as soon as its last byte has arrived.

    Objects may be separated by line breaks or not at all; blank lines are ignored.

    Args:
        max_bytes: The number of bytes of an unfinished object that are buffered at most.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._lines: list[bytes] = []  # the complete lines of the unfinished object
        self._lines_bytes = 0
        self._depth = 0  # number of braces and brackets that are open at the end of these lines
        self._last_line = b""  # the line whose line break has not arrived

    @property
    def unfinished(self) -> bool:
        """Whether an object has arrived in part."""
        return bool(self._lines or self._last_line.strip())

    def feed(self, data: bytes) -> list[Any]:
        """Return the objects that end within `data`.

        Raises:
            StreamError: If the data is not a JSON object, or an unfinished object is longer than `max_bytes`.
        """
        *lines, self._last_line = (self._last_line + data).split(b"\n")
        objects: list[Any] = []
        for line in lines:
            if self._lines or line.strip():
                objects += self._parse_line(line)
        if self._looks_finished():
            objects += self._parse_unterminated()
        if self._lines_bytes + len(self._last_line) > self.max_bytes:
            raise StreamError(f"JSON object is longer than {self.max_bytes} bytes")
        return objects

    def finish(self) -> list[Any]:
        """Return the objects that are left in the buffer at the end of the stream.

        Raises:
            StreamError: If the last object is incomplete.
        """
        text = b"\n".join([*self._lines, self._last_line])
        self._clear()
        self._last_line = b""
        return _parse_objects(text) if text.strip() else []

    def _parse_line(self, line: bytes) -> list[Any]:
        """Add a complete line; return the objects if all their braces and brackets are closed by now."""
        if not self._lines and line.rstrip().endswith(b"}"):  # the usual format has one object on each line
            try:
                return [json.loads(line)]
            except (ValueError, RecursionError):
                pass  # this may be the first of several lines of an object
        self._lines.append(line)
        self._lines_bytes += len(line)
        self._depth += _depth_change(line)
        if self._depth > 0:
            return []
        text = b"\n".join(self._lines)
        self._clear()
        return _parse_objects(text)

    def _looks_finished(self) -> bool:
        """Whether the line without a line break may be the last line of an object."""
        ends_with_brace = self._last_line.rstrip().endswith(b"}")
        return ends_with_brace and self._depth + _depth_change(self._last_line) == 0

    def _parse_unterminated(self) -> list[Any]:
        text = b"\n".join([*self._lines, self._last_line])
        try:
            objects = _parse_objects(text)
        except StreamError:
            return []  # a brace inside an incomplete string can look like the end of an object
        self._clear()
        self._last_line = b""
        return objects

    def _clear(self) -> None:
        self._lines.clear()
        self._lines_bytes = 0
        self._depth = 0


def _depth_change(line: bytes) -> int:
    """Return how many more braces and brackets a line opens than it closes."""
    without_strings = _JSON_STRING.sub(b"", line)
    opened = without_strings.count(b"{") + without_strings.count(b"[")
    closed = without_strings.count(b"}") + without_strings.count(b"]")
    return opened - closed


def _parse_objects(text: bytes) -> list[Any]:
    """Return all JSON values of a text; raises StreamError if the text contains anything else."""
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
