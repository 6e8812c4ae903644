"""Long values on their way through: what is held of them, and its bounds.

A value over `WHOLE` bytes never stands here as one. Its pieces are passed on as they come, and whoever gives
them is read no further while the other side is behind.
"""

from __future__ import annotations

from collections.abc import Callable

WHOLE = 64 * 1024  # bytes: values up to this are held whole, so that they can be sent again
LONGEST = 4 * 1024 * 1024  # bytes of a value
MEMORY_SHARE = 1 / 16  # of the memory limit: what one of the three places below may hold over all values
LEAST, MOST = 8 * 1024, 64 * 1024  # bytes held of one value in one place


class BufferBudget:
    """Divides the memory that may be held among the values under way.

    Of a value, at most this much each is kept for a retry, waits to be passed on, and has just been read.
    """

    def __init__(self, memory: int) -> None:
        self.budget = int(memory * MEMORY_SHARE)
        self.values = 0

    @property
    def window(self) -> int:
        return max(LEAST, min(MOST, self.budget // max(1, self.values)))


class StreamedRequestBody:
    """A long value on its way to a backend. Owns the bytes that a backend may still need.

    As long as no more than a window has been sent, the beginning is kept and another attempt can send it
    again; from then on what has been sent is let go, and the request can't be sent a second time.
    """

    def __init__(self, room: BufferBudget, length: int) -> None:
        self.room, self.length = room, length
        self.buffer, self.start = bytearray(), 0  # start: where in the value the buffer begins
        self.came = self.sent = 0  # bytes so far
        self.whole = self.gone = False  # its end has come; nobody needs the rest
        self.more: Callable[[], None] | None = None  # the attempt waits for bytes
        self.spare: Callable[[], None] | None = None  # the client's connection may have waited for room
        room.values += 1

    @property
    def repeatable(self) -> bool:
        return not self.start and not self.gone

    @property
    def full(self) -> bool:
        return not self.gone and self.came - self.sent >= self.room.window

    def feed(self, data: bytes) -> None:
        self.came += len(data)
        if not self.gone:
            self.buffer += data
            if self.more is not None:
                self.more()

    def end(self) -> None:
        """The value has come as it was announced."""
        self.whole = True
        if self.more is not None:
            self.more()

    def begin(self, more: Callable[[], None]) -> None:
        """An attempt begins to send the value, from its first byte on."""
        self.more, self.sent = more, 0

    def pull(self) -> bytes:
        """The next bytes to send; none if no more have come."""
        at = self.sent - self.start
        data = bytes(memoryview(self.buffer)[at : at + self.room.window])
        self.sent += len(data)
        if self.start or self.sent > self.room.window:  # too much to keep for another attempt
            del self.buffer[: self.sent - self.start]
            self.start = self.sent
        if data and self.spare is not None:
            self.spare()
        return data

    def drop(self) -> None:
        """Nobody needs the rest: what comes of it is let go at once."""
        if not self.gone:
            self.gone, self.more = True, None
            self.buffer.clear()
            self.room.values -= 1
            if self.spare is not None:
                self.spare()


class StreamedResponse:
    """A long value on its way to a client. Owns what has come of it and waits to be written."""

    def __init__(self, room: BufferBudget, length: int, wake: Callable[[], None]) -> None:
        self.room, self.wake = room, wake  # wake: the client's connection may write
        self.pieces = [b"$%d\r\n" % length]
        self.held = 0
        self.begun = self.whole = self.gone = False  # begun: some of it has been written
        self.spare: Callable[[], None] | None = None  # the attempt may have waited for room
        room.values += 1

    @property
    def full(self) -> bool:
        return self.held >= self.room.window

    @property
    def passed(self) -> bool:
        return self.whole and not self.pieces

    def feed(self, data: bytes) -> None:
        self.pieces.append(data)
        self.held += len(data)
        self.wake()

    def take(self) -> bytes:
        """What may be written now."""
        data, self.pieces, self.held = b"".join(self.pieces), [], 0
        self.begun = self.begun or bool(data)
        if data and self.spare is not None:
            self.spare()
        return data

    def end(self) -> None:
        """The backend has given all of it."""
        self.whole, self.spare = True, None
        self.pieces.append(b"\r\n")
        self.wake()

    def drop(self) -> None:
        """It is passed, or nobody reads on."""
        if not self.gone:
            self.gone, self.spare = True, None
            self.pieces.clear()
            self.room.values -= 1
