"""Long values that are forwarded in pieces, and the memory budget of their buffers.

A value longer than the streaming threshold (`switchline/net/memory.py`) is never buffered completely. Its
pieces are forwarded as they arrive, and reading from the sender pauses while the receiver is slower
(backpressure).
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

from switchline.net.memory import CollectionQueue, MemoryLedger

# Share of the memory limit that one kind of buffer may use for all values together.
BUFFER_SHARE_RATIO = 1 / 16
# Likewise, of what the process may take for clients while its memory limit is divided.
AVAILABLE_SHARE_RATIO = 1 / 8
MIN_WINDOW_BYTES = 8 * 1024
MAX_WINDOW_BYTES = 64 * 1024
# Limits the time for which a long answer is held back; 2 s of it lose the request. Checks are 0.25 s apart.
MAX_HELD_DURATION_S = 1.25
ARRIVING_S = 0.2  # a value without a byte for longer counts as silent
CRLF = b"\r\n"


class BufferBudget:
    """Divides the memory for buffers among the values in transfer; has the ledger of all other memory.

    A value has three buffers of at most one window each: bytes kept for a retry, bytes that wait to be
    forwarded, and bytes that have just been read.

    Args:
        memory_limit_bytes: The memory limit of the process.
    """

    def __init__(self, memory_limit_bytes: int) -> None:
        self.memory_limit_bytes = memory_limit_bytes
        self.active_values = 0  # values in transfer
        self.ledger = MemoryLedger(memory_limit_bytes)
        self.collections = CollectionQueue(self.ledger)

    @property
    def budget_bytes(self) -> int:
        """What one kind of buffer may use for all values together now."""
        configured_bytes = int(self.memory_limit_bytes * BUFFER_SHARE_RATIO)
        if not self.ledger.idle_process_bytes:
            return configured_bytes
        return min(configured_bytes, int(self.ledger.available_bytes * AVAILABLE_SHARE_RATIO))

    @property
    def window_bytes(self) -> int:
        """The number of bytes that one buffer of one value may use now."""
        return max(MIN_WINDOW_BYTES, min(MAX_WINDOW_BYTES, self.budget_bytes // max(1, self.active_values)))


class StreamedRequestBody:
    """A long value that is forwarded to a backend. Owns the bytes that an attempt may still need.

    Until more than one window has been sent, the bytes are kept and a retry can send them again. After that,
    sent bytes are discarded and the request can't be retried.

    Args:
        buffer_budget: Limits the size of the buffer.
        length_bytes: The length of the value.
    """

    def __init__(self, buffer_budget: BufferBudget, length_bytes: int) -> None:
        self.buffer_budget = buffer_budget
        self.length_bytes = length_bytes
        self.buffer = bytearray()
        self.received_bytes = 0
        self.sent_bytes = 0  # by the current attempt
        self.complete = False  # whether the last byte has arrived
        self.dropped = False  # whether the rest of the value is not needed
        self.on_data: Callable[[], None] | None = None  # called when bytes for the attempt have arrived
        self.on_capacity: Callable[[], None] | None = None  # called when reading from the client may resume
        # The latest time, by `now_ms`, at which the client had certainly not written the last byte yet.
        self.incomplete_at_ms = 0.0
        self._buffer_start = 0  # offset in the value of the buffer's first byte
        buffer_budget.active_values += 1

    @property
    def repeatable(self) -> bool:
        """Whether the first byte is still available, so that a retry can send the value."""
        return not self._buffer_start and not self.dropped

    @property
    def full(self) -> bool:
        """Whether reading from the client's connection must pause."""
        return not self.dropped and self.received_bytes - self.sent_bytes >= self.buffer_budget.window_bytes

    def feed(self, data: bytes) -> None:
        """Add bytes received from the client."""
        self.received_bytes += len(data)
        if not self.dropped:
            self.buffer += data
            if self.on_data is not None:
                self.on_data()

    def end(self) -> None:
        """Mark the value as complete: all announced bytes have arrived."""
        self.complete = True
        if self.on_data is not None:
            self.on_data()

    def begin(self, on_data: Callable[[], None]) -> None:
        """Start to send the value from its first byte; `on_data` is called when bytes for it arrive."""
        self.on_data = on_data
        self.sent_bytes = 0

    def pull(self) -> bytes:
        """Return the next bytes to send, at most one window; empty if none are available."""
        start = self.sent_bytes - self._buffer_start
        data = bytes(memoryview(self.buffer)[start : start + self.buffer_budget.window_bytes])
        self.sent_bytes += len(data)
        exceeds_retry_buffer = self.sent_bytes > self.buffer_budget.window_bytes
        if self._buffer_start or exceeds_retry_buffer:
            del self.buffer[: self.sent_bytes - self._buffer_start]
            self._buffer_start = self.sent_bytes
        if data and self.on_capacity is not None:
            self.on_capacity()
        return data

    def drop(self) -> None:
        """Discard the buffered bytes and all that arrive later, as the value is not needed any more."""
        if self.dropped:
            return
        self.dropped = True
        self.on_data = None
        self.buffer.clear()
        self.buffer_budget.active_values -= 1
        if self.on_capacity is not None:
            self.on_capacity()


class Forwarding(Enum):
    """How a long answer is passed on: STREAMED, or WAITING -> COLLECTED; both may end in STREAMED."""

    STREAMED = auto()  # each piece is written as soon as it has arrived
    WAITING = auto()  # for memory, before it is collected
    COLLECTED = auto()  # nothing is written before all of it has arrived


class StreamedResponse:
    """A long value that is forwarded to a client. Owns the bytes that wait to be written.

    Args:
        buffer_budget: Limits the size of the buffer.
        length_bytes: The length of the value.
        on_data: Called when there are bytes for the client's connection to write.
    """

    def __init__(self, buffer_budget: BufferBudget, length_bytes: int, on_data: Callable[[], None]) -> None:
        self.buffer_budget = buffer_budget
        self.length_bytes = length_bytes
        self.collected_bytes = 0
        self.on_data = on_data
        self.forwarding = Forwarding.STREAMED
        self.started = False  # whether bytes have been taken for writing
        self.dropped = False
        self._may_be_collected = True
        self._held_since_s = 0.0  # time at which it began to be collected, or to wait for that
        self._last_received_s = time.monotonic()
        self.on_capacity: Callable[[], None] | None = None  # called when reading from the backend may resume
        self.complete = False  # whether the backend has sent the whole value
        header = b"$%d" % length_bytes + CRLF
        self._pieces = deque([header])
        self._buffered_bytes = len(header)  # bytes that wait to be written
        buffer_budget.active_values += 1

    @property
    def full(self) -> bool:
        """Whether reading from the backend's connection must pause."""
        if self.forwarding is Forwarding.COLLECTED:
            return False
        return self._buffered_bytes >= self.buffer_budget.window_bytes

    @property
    def written(self) -> bool:
        """Whether the whole value has been taken for writing."""
        return self.complete and not self._pieces

    @property
    def writable(self) -> bool:
        """Whether bytes may be written now."""
        return bool(self._pieces) and (self.complete or self.forwarding is Forwarding.STREAMED)

    def collect(self) -> None:
        """Write nothing until the whole value has arrived, so that it can still be replaced by an error.

        The value is collected in memory. Until memory is reserved for it, reading from the backend pauses.
        """
        is_streamed = self.forwarding is Forwarding.STREAMED and self._may_be_collected
        if is_streamed and not self.complete and not self.dropped:
            self.forwarding = Forwarding.WAITING
            self._held_since_s = time.monotonic()
            self.buffer_budget.collections.enter(self)

    @property
    def is_held_too_long(self) -> bool:
        """Whether it is held back and must be passed on now."""
        is_held = self.forwarding is not Forwarding.STREAMED
        return is_held and time.monotonic() - self._held_since_s >= MAX_HELD_DURATION_S

    @property
    def is_arriving(self) -> bool:
        """Whether the backend has sent bytes within `ARRIVING_S`."""
        return time.monotonic() - self._last_received_s <= ARRIVING_S

    def pass_on(self) -> None:
        """Write the value as it arrives from now on, though it is not whole: it can't be held back longer."""
        self._may_be_collected = False
        if self.forwarding is Forwarding.STREAMED or self.complete or self.dropped:
            return
        if self.forwarding is Forwarding.WAITING:
            self.buffer_budget.collections.leave(self)
        self.forwarding = Forwarding.STREAMED
        if self.on_capacity is not None:
            self.on_capacity()
        self.on_data()

    def start_collecting(self) -> None:
        """See `Collectable`."""
        self.forwarding = Forwarding.COLLECTED
        if self.on_capacity is not None:
            self.on_capacity()

    def feed(self, data: bytes) -> None:
        """Add bytes received from the backend."""
        self._pieces.append(data)
        self._buffered_bytes += len(data)
        self._last_received_s = time.monotonic()
        if self.forwarding is Forwarding.COLLECTED:
            self.collected_bytes += len(data)
            self.buffer_budget.ledger.count_arrived(len(data))
        self.on_data()

    def take(self) -> bytes:
        """Return and remove the next bytes to write, about one window at most."""
        taken: list[bytes] = []
        taken_bytes = 0
        while self._pieces and taken_bytes < self.buffer_budget.window_bytes:
            taken.append(self._pieces.popleft())
            taken_bytes += len(taken[-1])
        data = b"".join(taken)
        self._buffered_bytes -= taken_bytes
        self.started = self.started or bool(data)
        if data and self.on_capacity is not None:
            self.on_capacity()
        return data

    def end(self) -> None:
        """Mark the value as complete: the backend has sent all of it."""
        self.complete = True
        self.on_capacity = None
        self._pieces.append(CRLF)
        self._buffered_bytes += len(CRLF)
        self.on_data()

    def drop(self) -> None:
        """Discard the buffered bytes and free the budget, as the value is written or its client has left."""
        if not self.dropped:
            self.dropped = True
            self.on_capacity = None
            self._pieces.clear()
            self.buffer_budget.collections.leave(self)
            self.buffer_budget.active_values -= 1
