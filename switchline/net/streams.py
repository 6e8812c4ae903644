"""Long values that pass through in pieces, and the bounds of the memory they may hold.

A value over `STREAMING_THRESHOLD_BYTES` is never held complete. Its pieces are forwarded as they arrive, and
the sender is read no further while the receiver is behind (backpressure).
"""

from __future__ import annotations

from collections.abc import Callable

STREAMING_THRESHOLD_BYTES = 64 * 1024  # values up to this are held complete, so that they can be retried
MAX_VALUE_BYTES = 4 * 1024 * 1024
BUFFER_SHARE_RATIO = 1 / 16  # of the memory limit: what one kind of buffer may hold over all values
MIN_WINDOW_BYTES = 8 * 1024
MAX_WINDOW_BYTES = 64 * 1024
CRLF = b"\r\n"


class BufferBudget:
    """Divides the memory for buffers among the values that are under way.

    A value has three buffers, each of one window at most: what is kept for a retry, what waits to be
    forwarded, and what has just been read.

    Args:
        memory_limit_bytes: the process's limit, in bytes.
    """

    def __init__(self, memory_limit_bytes: int) -> None:
        self.budget_bytes = int(memory_limit_bytes * BUFFER_SHARE_RATIO)
        self.active_values = 0  # under way

    @property
    def window_bytes(self) -> int:
        """Bytes that one buffer of one value may hold now."""
        return max(MIN_WINDOW_BYTES, min(MAX_WINDOW_BYTES, self.budget_bytes // max(1, self.active_values)))


class StreamedRequestBody:
    """A long value on its way to a backend. Owns the bytes that an attempt may still need.

    As long as no more than a window has been sent, the beginning is kept and a retry can send it again. From
    then on what has been sent is dropped, and the request can't be sent a second time.

    Args:
        buffer_budget: bounds what is held.
        length_bytes: of the value.
    """

    def __init__(self, buffer_budget: BufferBudget, length_bytes: int) -> None:
        self.buffer_budget = buffer_budget
        self.length_bytes = length_bytes
        self.buffer = bytearray()
        self.received_bytes = 0  # bytes so far
        self.sent_bytes = 0  # bytes so far, by the present attempt
        self.complete = False  # its last byte has arrived
        self.dropped = False  # nobody needs the rest
        self.on_data: Callable[[], None] | None = None  # the attempt waits for bytes
        self.on_capacity: Callable[[], None] | None = None  # the client's connection may have been paused
        self._buffer_start = 0  # offset in the value of the first byte in the buffer
        buffer_budget.active_values += 1

    @property
    def repeatable(self) -> bool:
        """Whether a retry can still send the value from its first byte."""
        return not self._buffer_start and not self.dropped

    @property
    def full(self) -> bool:
        """Whether the client's connection has to be paused."""
        return not self.dropped and self.received_bytes - self.sent_bytes >= self.buffer_budget.window_bytes

    def feed(self, data: bytes) -> None:
        """Add bytes that the client has sent."""
        self.received_bytes += len(data)
        if not self.dropped:
            self.buffer += data
            if self.on_data is not None:
                self.on_data()

    def end(self) -> None:
        """Note that the value has arrived with the length that was announced."""
        self.complete = True
        if self.on_data is not None:
            self.on_data()

    def begin(self, on_data: Callable[[], None]) -> None:
        """Let an attempt send the value, from its first byte on; it is called when bytes arrive."""
        self.on_data = on_data
        self.sent_bytes = 0

    def pull(self) -> bytes:
        """Return the next bytes to send, empty if no more have arrived."""
        start = self.sent_bytes - self._buffer_start
        data = bytes(memoryview(self.buffer)[start : start + self.buffer_budget.window_bytes])
        self.sent_bytes += len(data)
        too_much_for_retry = self.sent_bytes > self.buffer_budget.window_bytes
        if self._buffer_start or too_much_for_retry:
            del self.buffer[: self.sent_bytes - self._buffer_start]
            self._buffer_start = self.sent_bytes
        if data and self.on_capacity is not None:
            self.on_capacity()
        return data

    def drop(self) -> None:
        """Note that nobody needs the rest: what arrives of it is discarded."""
        if self.dropped:
            return
        self.dropped = True
        self.on_data = None
        self.buffer.clear()
        self.buffer_budget.active_values -= 1
        if self.on_capacity is not None:
            self.on_capacity()


class StreamedResponse:
    """A long value on its way to a client. Owns the bytes that have arrived and wait to be written.

    Args:
        buffer_budget: bounds what is held.
        length_bytes: of the value.
        on_data: called when the client's connection may write.
    """

    def __init__(self, buffer_budget: BufferBudget, length_bytes: int, on_data: Callable[[], None]) -> None:
        self.buffer_budget = buffer_budget
        self.on_data = on_data
        self.started = False  # some of it has been written
        self.dropped = False
        self.on_capacity: Callable[[], None] | None = None  # the backend's connection may have been paused
        self._complete = False  # the backend has sent all of it
        self._pieces = [b"$%d" % length_bytes + CRLF]
        self._buffered = 0  # bytes of the value that wait to be written
        buffer_budget.active_values += 1

    @property
    def full(self) -> bool:
        """Whether the backend's connection has to be paused."""
        return self._buffered >= self.buffer_budget.window_bytes

    @property
    def written(self) -> bool:
        """Whether all of it has been given out to be written."""
        return self._complete and not self._pieces

    def feed(self, data: bytes) -> None:
        """Add bytes that the backend has sent."""
        self._pieces.append(data)
        self._buffered += len(data)
        self.on_data()

    def take(self) -> bytes:
        """Return what may be written now."""
        data = b"".join(self._pieces)
        self._pieces = []
        self._buffered = 0
        self.started = self.started or bool(data)
        if data and self.on_capacity is not None:
            self.on_capacity()
        return data

    def end(self) -> None:
        """Note that the backend has sent all of it."""
        self._complete = True
        self.on_capacity = None
        self._pieces.append(CRLF)
        self.on_data()

    def drop(self) -> None:
        """Let go of it: it is written, or nobody reads on."""
        if not self.dropped:
            self.dropped = True
            self.on_capacity = None
            self._pieces.clear()
            self.buffer_budget.active_values -= 1
