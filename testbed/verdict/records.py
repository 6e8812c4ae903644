"""The record of a play: one JSON line an event, written as it happens."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

FILE = "events.jsonl"
BEFORE_S = 1_000.0  # what comes before the load counts up from minus this
Event = dict[str, Any]


class RecordError(Exception):
    """The record can't be written or read."""


class Records:
    """Owns the file. Each event carries `t`, seconds from the start of the load, and `e`, what it is.

    Each line is written as its event happens: a crash of the lab loses the last at most.
    """

    def __init__(self, folder: Path, listener: Callable[[Event], None]) -> None:
        self.listener = listener
        self.encoder = msgspec.json.Encoder()
        self.zero = time.monotonic() + BEFORE_S
        self.failed: OSError | None = None
        self.events = 0
        self.bytes = 0
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.file = os.open(folder / FILE, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o644)
        except OSError as error:
            raise RecordError(f"{folder}: the record can't be begun: {error.strerror}") from error

    def now(self) -> float:
        return time.monotonic() - self.zero

    def begin(self) -> None:
        """From here on the load runs: this moment is 0."""
        self.zero = time.monotonic()

    def add(self, event_name: str, /, **given: Any) -> None:
        event: Event = {"t": round(self.now(), 6), "e": event_name, **given}
        self.listener(event)
        self.events += 1
        if self.failed is None:
            line = self.encoder.encode(event) + b"\n"
            try:
                while line:
                    line = line[os.write(self.file, line) :]
                self.bytes = os.lseek(self.file, 0, os.SEEK_CUR)
            except OSError as error:
                self.failed = error  # the play ends: what is not recorded can't be judged

    def close(self) -> None:
        os.close(self.file)


def read(folder: Path) -> Iterator[Event]:
    """The events of a play; of a last line that is not whole, nothing. Raises RecordError."""
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
            raise RecordError(f"{folder / FILE}: line {number} is no event") from error
        yield event
