"""The answers of one client connection, which are written in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from switchline.clients.slot import Slot
from switchline.clients.watchdog import DeliveryWatch
from switchline.net.memory import MemoryEntry
from switchline.net.streams import StreamedResponse

# While more bytes of answers wait in the transport, the connection is read no further and no more answers are
# written. The last answer, or the last piece of a long one, may exceed this limit.
MAX_UNSENT_BYTES = 16 * 1024


class PendingWrites:
    """The writes that a transport has not finished: it keeps all bytes of one until its last byte is sent."""

    def __init__(self) -> None:
        self._lengths: deque[int] = deque()
        self._total_bytes = 0

    def add(self, length_bytes: int) -> None:
        """Record a write."""
        self._lengths.append(length_bytes)
        self._total_bytes += length_bytes

    def held_bytes(self, unsent_bytes: int) -> int:
        """Return how many bytes the transport keeps, if it has `unsent_bytes` left to send."""
        if not unsent_bytes:
            self._lengths.clear()
            self._total_bytes = 0
            return 0
        while self._lengths and self._total_bytes - self._lengths[0] >= unsent_bytes:
            self._total_bytes -= self._lengths.popleft()
        return self._total_bytes


class AnswerWriter:
    """Owns the slots of the commands that are read and whose answers are not written yet.

    Args:
        memory: The ledger's entry for the bytes of answers.
        has_partial_command: Returns whether bytes have been read that no slot stands for yet.
    """

    def __init__(self, memory: MemoryEntry, has_partial_command: Callable[[], bool]) -> None:
        self.slots: deque[Slot] = deque()
        self.delivery = DeliveryWatch()
        self.paused = False  # too many bytes wait in the transport
        self._memory = memory
        self._has_partial_command = has_partial_command
        self._transport: asyncio.Transport | None = None
        self._pending = PendingWrites()

    def attach(self, transport: asyncio.Transport) -> None:
        """Write to this transport from now on."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def detach(self) -> None:
        """Write nothing any more, as the connection has ended."""
        self._transport = None

    def abandon(self) -> deque[Slot]:
        """Remove the slots whose answers are not written, and return them."""
        slots = deque(self.slots)
        self.slots.clear()
        return slots

    @property
    def is_streaming(self) -> bool:
        """Whether a part of a long answer is written of which the backend has not sent the rest."""
        response = self._current_response
        return response is not None and response.started and not response.complete

    @property
    def has_further_commands(self) -> bool:
        """Whether bytes of a command have been read that follows the one whose answer is due.

        If a long answer is cut off after a part of it was written, only the end of the connection can show
        this to the client. Then these commands would get no answer.
        """
        return len(self.slots) > 1 or self._has_partial_command()

    def write(self) -> bool:
        """Write the answers that are due, in the order of the commands; return whether there were any.

        They are written in pieces, until enough bytes wait in the transport.
        """
        has_written = False
        while not self.paused and self._write_piece():
            has_written = True
        return has_written

    def check_collection(self) -> None:
        """Pass a long answer on that has been held back for too long, if its backend goes on sending it."""
        response = self._current_response
        if response is not None and response.is_held_too_long and response.is_arriving:
            response.pass_on()

    def update_memory_use(self) -> None:
        """Report the bytes of answers to the ledger. Those in the transport become fewer without an event."""
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        held_bytes = self._pending.held_bytes(unsent_bytes)
        for slot in self.slots:
            if slot.reply is not None:
                held_bytes += len(slot.reply)
        if held_bytes != self._memory.held_bytes:
            self._memory.set(held_bytes)

    @property
    def _current_response(self) -> StreamedResponse | None:
        """The long answer that is due; None if none is."""
        return self.slots[0].response if self.slots else None

    def _write_piece(self) -> bool:
        """Write answers of about MAX_UNSENT_BYTES, in one call; return whether bytes were written."""
        slots = self.slots
        if not slots:
            return False
        ready: list[bytes] = []
        while slots and self._collect(slots[0], ready):
            slots.popleft()
            if slots and sum(map(len, ready)) >= MAX_UNSENT_BYTES:
                break
        if not ready or self._transport is None:
            return False
        answers = ready[0] if len(ready) == 1 else b"".join(ready)
        self._transport.write(answers)
        self._pending.add(len(answers))
        self.delivery.written_bytes += len(answers)
        return True

    def _collect(self, slot: Slot, ready: list[bytes]) -> bool:
        """Add the bytes of an answer that may be written to `ready`; return whether all are added."""
        if slot.response is None:
            if slot.reply is None:
                return False
            ready.append(slot.reply)
            return True
        if not slot.response.started and self.has_further_commands:
            slot.response.collect()
        if slot.response.writable:
            ready.append(slot.response.take())
        if not slot.response.written:
            return False
        slot.request_id = None
        if slot.on_written is not None:
            slot.on_written()
        return True
