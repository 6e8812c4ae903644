"""The record of a play: a file with one JSON line for each event, written when the event happens."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

FILE = "events.jsonl"
# Time of the first event before the load begins is minus this: times before the load are negative.
PRE_LOAD_S = 1_000.0
Event = dict[str, Any]


class RecordError(Exception):
    """The record can't be created or read."""


class Records:
    """Owns the file of the record. Each event has `t`, seconds from the start of the load, and `e`, its name.

    Each line is written when its event happens: a crash of the test bed loses at most the last event.
    `listener` is called with each event. Raises RecordError if the file can't be created.
    """

    def __init__(self, folder: Path, listener: Callable[[Event], None]) -> None:
        self.listener = listener
        self.encoder = msgspec.json.Encoder()
        self.load_started_at_s = time.monotonic() + PRE_LOAD_S
        self.write_error: OSError | None = None
        self.event_count = 0
        self.size_bytes = 0
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.file = os.open(folder / FILE, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
        except OSError as error:
            raise RecordError(f"{folder}: the record can't be created: {error.strerror}") from error

    def now(self) -> float:
        """Seconds from the start of the load."""
        return time.monotonic() - self.load_started_at_s

    def begin(self) -> None:
        """Set the start of the load, time 0 of the events, to now."""
        self.load_started_at_s = time.monotonic()

    def add(self, event_name: str, /, **fields: Any) -> None:
        """Write an event and pass it to the listener. A write error is kept in `write_error`, not raised."""
        event: Event = {"t": round(self.now(), 6), "e": event_name, **fields}
        self.listener(event)
        self.event_count += 1
        if self.write_error is None:
            line = self.encoder.encode(event) + b"\n"
            try:
                while line:
                    line = line[os.write(self.file, line) :]
                self.size_bytes = os.lseek(self.file, 0, os.SEEK_CUR)
            except OSError as error:
                self.write_error = error  # the play ends: events without a record can't be judged

    def close(self) -> None:
        os.close(self.file)


def read(folder: Path) -> Iterator[Event]:
    """The events of a play in their order; skips an incomplete last line.

    Raises RecordError if the file can't be read, or another line is not an event.
    """
    decoder = msgspec.json.Decoder(dict[str, Any])
    try:
        lines = (folder / FILE).read_bytes().splitlines(keepends=True)
    except OSError as error:
        raise RecordError(f"{folder / FILE}: can't be read: {error.strerror}") from error
    for number, line in enumerate(lines, 1):
        try:
            event = decoder.decode(line)
            event["t"], event["e"]
        except (msgspec.DecodeError, KeyError) as error:
            if number == len(lines):
                return
            raise RecordError(
                f"{folder / FILE}: line {number} is not an event: expected a JSON object with t and e"
            ) from error
        yield event
