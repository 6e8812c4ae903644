"""The ledger of the bytes that the gateway holds for its peers, and the limits that follow from it.

One connection can make the gateway hold little, but all connections together could make it hold more than its
memory limit. So each owner of buffers reports what it holds to one ledger, and the ledger decides whether a
request is accepted, whether a further pipelined command is processed, and how much is read at once.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from switchline.units import KIBIBYTE, MEBIBYTE

MAX_READ_BYTES = 64 * KIBIBYTE  # of one read from a socket
# A value up to this length is buffered completely; a longer one is streamed.
STREAMING_THRESHOLD_BYTES = 64 * KIBIBYTE
MAX_VALUE_BYTES = 4 * MEBIBYTE
# The threshold, and the size of one read, once the ledger is short of memory.
REDUCED_BUFFER_BYTES = 8 * KIBIBYTE
MAX_COMMAND_HEAD_BYTES = 8 * KIBIBYTE  # all of a command but its value
# Reserved for the answer to each request in flight, as its length is not known before it arrives.
ANSWER_RESERVE_BYTES = STREAMING_THRESHOLD_BYTES
PROCESS_BYTES = 16 * MEBIBYTE  # memory of the process that has no peers
# Share of the rest of the memory limit that the ledger may hold; copies and fragmentation take the others.
LEDGER_SHARE_RATIO = 3 / 8
MIN_LEDGER_BYTES = 6 * MEBIBYTE
# Above this share of its limit memory is short: pipelined commands wait, and buffers are smaller.
SHORTAGE_RATIO = 1 / 2
# Held for peers whatever the process takes, so that memory that the allocator keeps never stops all requests.
ASSURED_BYTES = MEBIBYTE // 2
# The process's memory is measured again once so much more is held, after this time, or before a request is
# rejected.
MAX_UNMEASURED_BYTES = MEBIBYTE // 2
MAX_MEASURE_AGE_S = 0.1
MIN_MEASURE_INTERVAL_S = 0.005
# Share of the ledger's limit for long answers that are collected, and the least memory for them.
COLLECTION_RATIO = 1 / 2
MIN_COLLECTION_BYTES = MAX_VALUE_BYTES


class MemoryUse(IntEnum):
    """What bytes are held for; the name in lower case is the last part of the metric's name."""

    COMMANDS = 0  # commands of clients that are not parsed yet
    REQUESTS = 1  # the values of requests in flight
    ANSWERS = 2  # answers that the operating system has not taken yet
    COLLECTED = 3  # reserved for long answers that are collected before they are forwarded
    RESERVED = 4  # reserved for the answers of requests in flight


class MemoryLedger:
    """Owns the count of the bytes that are held for peers.

    Two limits apply: one of the counted bytes, and one of the memory of the whole process, which includes
    copies and what the allocator keeps. The second one is smaller while the gateway has a second process.

    Args:
        memory_limit_bytes: The memory limit of the process.

    Attributes:
        process_limit_bytes: The limit of the process's memory at present.
        process_bytes: The memory of the process as it was last measured; 0 if it is not measured.
        idle_process_bytes: The memory of the process before it had clients; 0 if it is not measured.
    """

    def __init__(self, memory_limit_bytes: int) -> None:
        self.used_bytes = 0
        self.used_by_kind = [0] * len(MemoryUse)
        # So much memory is in use that pipelined commands must wait and buffers must be small.
        self.is_short = False
        self.process_bytes = 0
        self.idle_process_bytes = 0
        self._measure: Callable[[], int | None] | None = None
        self._measured_at_s = 0.0
        self._unmeasured_bytes = 0  # held since the last measurement
        self._awaited_bytes = 0  # counted, as they are announced, and not arrived yet
        self.process_limit_bytes = memory_limit_bytes
        available_bytes = max(0, memory_limit_bytes - PROCESS_BYTES)
        self.limit_bytes = max(MIN_LEDGER_BYTES, int(available_bytes * LEDGER_SHARE_RATIO))
        self.shortage_bytes = int(self.limit_bytes * SHORTAGE_RATIO)

    def start_measuring(self, measure: Callable[[], int | None]) -> None:
        """Apply the limit of the process's memory from now on; the process has no clients yet.

        Args:
            measure: Returns the memory of the process in bytes; None if the system can't tell.
        """
        self._measure = measure
        self.measure()
        self.idle_process_bytes = self.process_bytes

    def measure(self) -> None:
        """Measure the memory of the process."""
        measured_bytes = self._measure() if self._measure is not None else None
        if measured_bytes is not None:
            self.process_bytes = measured_bytes
        self._measured_at_s = time.monotonic()
        self._unmeasured_bytes = 0
        self._update_shortage()

    def limit_process(self, limit_bytes: int) -> None:
        """Change the limit of the process's memory."""
        self.process_limit_bytes = limit_bytes
        self._update_shortage()

    @property
    def available_bytes(self) -> int:
        """What the process may take for its clients, beyond what it takes without them."""
        return max(0, self.process_limit_bytes - self.idle_process_bytes)

    @property
    def expected_process_bytes(self) -> int:
        """The memory of the process once all answers have arrived that memory is reserved for."""
        reserved_bytes = self.used_by_kind[MemoryUse.RESERVED] + self._awaited_bytes
        return self.process_bytes + max(0, self._unmeasured_bytes) + reserved_bytes

    def change(self, use: MemoryUse, difference_bytes: int) -> None:
        """Count bytes that are held from now on, or no longer if the difference is negative."""
        self.used_by_kind[use] += difference_bytes
        self.used_bytes += difference_bytes
        if use is MemoryUse.COLLECTED:
            self._awaited_bytes += difference_bytes
        elif use is not MemoryUse.RESERVED:
            self._unmeasured_bytes += difference_bytes
        self._update_shortage()

    def count_arrived(self, difference_bytes: int) -> None:
        """Count bytes that have arrived of those that were counted before; negative if they are awaited."""
        self._awaited_bytes -= difference_bytes
        self._unmeasured_bytes += difference_bytes

    def _update_shortage(self) -> None:
        is_short = self.used_bytes > self.shortage_bytes
        if not is_short and self.idle_process_bytes:
            client_bytes = self.expected_process_bytes - self.idle_process_bytes
            is_short = client_bytes > self.available_bytes * SHORTAGE_RATIO
        self.is_short = is_short

    def admits_request(self, size_bytes: int) -> bool:
        """Whether there is memory for one more request and its answer; `size_bytes` includes both."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        if self._measure is None or self.used_bytes + size_bytes <= ASSURED_BYTES:
            return True
        age_s = time.monotonic() - self._measured_at_s
        if self._unmeasured_bytes > MAX_UNMEASURED_BYTES or age_s > MAX_MEASURE_AGE_S:
            self.measure()
        if self.process_admits(size_bytes):
            return True
        if time.monotonic() - self._measured_at_s < MIN_MEASURE_INTERVAL_S:
            return False
        self.measure()
        return self.process_admits(size_bytes)

    def process_admits(self, size_bytes: int) -> bool:
        """Whether the process stays under its limit with so many bytes more; True if it is not measured."""
        return self._measure is None or self.expected_process_bytes + size_bytes <= self.process_limit_bytes

    @property
    def buffer_bytes(self) -> int:
        """The longest value that is buffered completely, and the most bytes of one read, at present."""
        return REDUCED_BUFFER_BYTES if self.is_short else STREAMING_THRESHOLD_BYTES

    def gauges(self) -> dict[str, int]:
        """Return the bytes in use by kind, their limit, and the memory of the process, by metric name."""
        self.measure()
        gauges = {f"memory.{use.name.lower()}": self.used_by_kind[use] for use in MemoryUse}
        return gauges | {
            "memory.limit": self.limit_bytes,
            "memory.process": self.process_bytes,
            "memory.process_limit": self.process_limit_bytes,
        }


class Collectable(Protocol):
    """A long value that is to be held in memory as a whole."""

    length_bytes: int
    collected_bytes: int  # that have arrived since it is collected

    def start_collecting(self) -> None:
        """Take all bytes of the value, as memory for them is reserved."""


class CollectionQueue:
    """Reserves memory for long values that are collected, in the order in which they ask for it.

    Args:
        ledger: The ledger that counts the reserved memory.
    """

    def __init__(self, ledger: MemoryLedger) -> None:
        self.ledger = ledger
        self.limit_bytes = max(MIN_COLLECTION_BYTES, int(ledger.limit_bytes * COLLECTION_RATIO))
        self.waiting: deque[Collectable] = deque()
        self._reserved: set[Collectable] = set()

    def enter(self, value: Collectable) -> None:
        """Reserve memory for a value, now or as soon as others have left; then it starts to be collected."""
        self.waiting.append(value)
        self._serve()

    def leave(self, value: Collectable) -> None:
        """Free the memory of a value, or withdraw it while it waits; nothing happens if it did not enter."""
        if value in self._reserved:
            self._reserved.remove(value)
            self.ledger.count_arrived(-value.collected_bytes)
            self.ledger.change(MemoryUse.COLLECTED, -value.length_bytes)
        elif value in self.waiting:
            self.waiting.remove(value)
        self._serve()

    def _serve(self) -> None:
        while self.waiting and self._fits(self.waiting[0]):
            value = self.waiting.popleft()
            self._reserved.add(value)
            self.ledger.change(MemoryUse.COLLECTED, value.length_bytes)
            value.start_collecting()

    def _fits(self, value: Collectable) -> bool:
        """Whether there is memory for a value.

        One at a time is collected even if requests use all counted memory, but not over the process's limit.
        """
        reserved_bytes = self.ledger.used_by_kind[MemoryUse.COLLECTED]
        if reserved_bytes + value.length_bytes > self.limit_bytes:
            return False
        if not self.ledger.process_admits(value.length_bytes):
            return False
        return not reserved_bytes or self.ledger.admits_request(value.length_bytes)


class MemoryEntry:
    """The bytes that one owner holds for one use.

    Args:
        ledger: The ledger that counts them.
        use: What they are held for.
    """

    __slots__ = ("held_bytes", "ledger", "use")

    def __init__(self, ledger: MemoryLedger, use: MemoryUse) -> None:
        self.ledger = ledger
        self.use = use
        self.held_bytes = 0

    def set(self, held_bytes: int) -> None:
        """Report how many bytes the owner holds now."""
        self.ledger.change(self.use, held_bytes - self.held_bytes)
        self.held_bytes = held_bytes
