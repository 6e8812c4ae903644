"""One client connection: it parses commands, writes answers in their order, and closes gracefully."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, cast

from switchline.clients.answers import AnswerWriter
from switchline.clients.bodies import BodyReceiver
from switchline.clients.dispatch import dispatch
from switchline.clients.ending import ConnectionEnd, ConnectionState
from switchline.clients.slot import Slot
from switchline.clients.watchdog import ReceiveWatch
from switchline.clock import now_ms
from switchline.guard import Guard
from switchline.net.memory import (
    MAX_COMMAND_HEAD_BYTES,
    MAX_VALUE_BYTES,
    REDUCED_BUFFER_BYTES,
    STREAMING_THRESHOLD_BYTES,
    MemoryEntry,
    MemoryUse,
)
from switchline.net.resp import INCOMPLETE, ProtocolError, RespParser, StreamedStringStarted
from switchline.net.streams import StreamedRequestBody
from switchline.net.transport_state import TransportState
from switchline.operators.metrics import EvictionReason

if TYPE_CHECKING:
    from switchline.clients.server import ClientServer

log = logging.getLogger(__name__)

# While this many commands wait for their answers, the connection is read no further.
MAX_PIPELINED_COMMANDS = 32
MAX_COMMAND_BYTES = STREAMING_THRESHOLD_BYTES + MAX_COMMAND_HEAD_BYTES  # without a streamed value
MAX_ARGUMENTS = 16  # a request has at most five, and the set-up commands of client libraries few more
WAITING_READ_BYTES = 2 * 1024  # of what has to wait for its turn; it holds most requests without a value


class ClientConnection(asyncio.BufferedProtocol):
    """Owns the commands of one client that are read and not yet answered.

    Args:
        server: the server that the connection belongs to.
    """

    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.end = ConnectionEnd(self)
        self.transport: asyncio.Transport | None = None
        self._socket: TransportState | None = None
        self.lost = False  # the connection has ended, closed by either side
        self.peer_address = ""  # places for connections are divided among peers by their addresses
        self.validated = False  # it has sent a valid request and got a place for it
        # It got no place when it was opened, and is closed unless what arrives first is a request.
        self.surplus = False
        self.bodies = BodyReceiver(self)
        self.last_used_s = time.monotonic()  # last time a command arrived or an answer was written
        self.receiving = ReceiveWatch(wait_started_at_s=self.last_used_s)
        self.received_at_ms = now_ms()  # time at which bytes last arrived
        self.reading_paused = False
        self.parser = RespParser(MAX_ARGUMENTS, MAX_COMMAND_BYTES, STREAMING_THRESHOLD_BYTES, MAX_VALUE_BYTES)
        ledger = server.buffer_budget.ledger
        self._held_commands = MemoryEntry(ledger, MemoryUse.COMMANDS)
        self._awaited_bytes = 0  # of those: announced, and not arrived yet
        self.answers = AnswerWriter(MemoryEntry(ledger, MemoryUse.ANSWERS), self.parser.has_partial_value)
        self.slots = self.answers.slots  # of commands that are read and whose answers are not written yet
        self.waits_for_turn = False  # others process their commands first (`Turns`)
        self.has_backlog = False
        self.continues_command = False
        self.virtual_time_s = 0.0
        self.is_charged = False
        self._has_unparsed_bytes = False  # bytes were received that may contain a complete command
        self._pumping = False  # `pump` is running; prevents recursion

    @property
    def guard(self) -> Guard:
        """The guard of the server, which counts violated invariants."""
        return self.server.guard

    @property
    def streamed_body(self) -> StreamedRequestBody | None:
        """The long value that is still arriving; None if none is."""
        return self.bodies.body

    @property
    def closing(self) -> bool:
        """Whether the connection answers no further command."""
        return self.end.has_begun

    # ---- called by the event loop ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self._socket = TransportState(self.transport)
        self.answers.attach(self.transport)
        # If the peer has already reset the connection, its address is not available.
        self.peer_address = (self.transport.get_extra_info("peername") or ("",))[0]
        self.server.on_connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """See asyncio.BaseProtocol."""
        self.transport = None
        self._socket = None
        self.lost = True
        self.server.on_connection_lost(self)
        self.answers.detach()
        self.abandon_requests()
        self.update_memory_use()

    def pause_writing(self) -> None:
        """See asyncio.BaseProtocol. Reading pauses too: answers to further commands would fill memory."""
        self.answers.paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        """See asyncio.BaseProtocol."""
        self.answers.paused = False
        self.pump()

    def get_buffer(self, sizehint: int) -> memoryview:
        """See asyncio.BufferedProtocol."""
        budget = self.server.buffer_budget
        if self.server.turns.is_iteration_used_up:
            return self.server.read_buffer[:WAITING_READ_BYTES]
        if budget.ledger.is_short or self.has_backlog:
            return self.server.read_buffer[:REDUCED_BUFFER_BYTES]
        if self.bodies.body is not None:
            return self.server.read_buffer[: budget.window_bytes]
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """See asyncio.BufferedProtocol."""
        self.data_received(self.server.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse the bytes that have arrived, and answer the commands in them."""
        if self.closing:
            self.end.discard(len(data))  # no further command is answered, and the bytes must not fill memory
            return
        self.received_at_ms = now_ms()
        self.continues_command = not self.waits_for_turn and self.parser.has_partial_value()
        self.parser.feed(data)
        self._has_unparsed_bytes = True
        self.pump()

    def _limit_buffered_value(self) -> None:
        """Choose which values of the commands that are parsed now are streamed instead of buffered."""
        threshold_bytes = self.server.buffer_budget.ledger.buffer_bytes
        if self.parser.streaming_threshold_bytes == threshold_bytes:
            return
        self.parser.streaming_threshold_bytes = threshold_bytes
        self.parser.max_bytes = threshold_bytes + MAX_COMMAND_HEAD_BYTES

    # ---- commands in, answers out ----

    def pump(self) -> None:
        """Process received commands and write answers that are due, until neither is possible now."""
        if self._pumping:
            return
        self._pumping = True
        try:
            self._write_answers()
            if self._can_process() and self.server.turns.begin_slice(self):
                self._process_slice()
        finally:
            self._pumping = False
        self.check_body_arrival()
        if self.transport is not None and not self.slots and (self.closing or self.closes_for_drain()):
            self.end.close_gracefully()
        elif self.surplus and not (self.validated or self.waits_for_turn or self.streamed_body is not None):
            self.server.places.evict(self, EvictionReason.NO_EVICTABLE_CONNECTION)
        self.update_memory_use()
        self.update_reading()

    def _write_answers(self) -> None:
        if self.answers.write():
            self.last_used_s = time.monotonic()
            self.server.places.record_use(self)

    def closes_for_drain(self) -> bool:
        """Whether a drain closes this connection now: it does not while a request is arriving."""
        return self.server.closing_connections and not self.parser.has_partial_value()

    def _is_blocked(self) -> bool:
        if self.answers.paused or self.closing or self.waits_for_turn or self.lost:
            return True
        body = self.bodies.body
        if body is not None:
            return body.full
        return self._must_wait_for_answers()

    def _must_wait_for_answers(self) -> bool:
        """Whether the next command may begin only after earlier ones have their answers.

        While memory is short, only one command of each connection is processed at a time. The answer to that
        command always makes room for the next one, so that no connection waits for others.
        """
        slots = self.slots
        if not slots:
            return False
        if len(slots) >= MAX_PIPELINED_COMMANDS or self.answers.is_streaming:
            return True
        return self.server.buffer_budget.ledger.is_short

    @property
    def is_pipelining(self) -> bool:
        """See `TurnTaker`."""
        if len(self.slots) > 1:
            return True
        return self._has_unparsed_bytes and self.parser.has_partial_value()

    def _can_process(self) -> bool:
        return self._has_unparsed_bytes and not self._is_blocked()

    def _process_slice(self) -> None:
        """Process commands until the turn of this connection is over, or nothing more can be processed.

        Answers that are available at the same time are written together.
        """
        self._limit_buffered_value()
        try:
            while self._can_process() and not self.has_backlog:
                self._process_commands()
                self._write_answers()
        finally:
            self.server.turns.end_slice(self)

    def _process_commands(self) -> None:
        try:
            while not (self.has_backlog or self._is_blocked()) and self._process_command():
                is_used_up = self.server.turns.uses_up_slice(self.bodies.body is not None)
                self.has_backlog = is_used_up and self.parser.has_partial_value()
        except ProtocolError as error:
            self.fail_protocol(str(error))

    def _process_command(self) -> bool:
        """Process one command, or a piece of a long value; return False if its bytes have not arrived."""
        if self.bodies.body is not None:
            if not self.bodies.receive(self.bodies.body):
                self._has_unparsed_bytes = False
                return False
            return True
        value = self.parser.next_value()
        if value is INCOMPLETE:
            self._record_incomplete_command()
            return False
        self.last_used_s = time.monotonic()
        if isinstance(value, StreamedStringStarted):
            self.bodies.begin(value)
        else:
            dispatch(self, value)
        return True

    def _record_incomplete_command(self) -> None:
        self._has_unparsed_bytes = False
        if self.parser.has_partial_value():
            self.receiving.record_partial_command(time.monotonic())

    def update_memory_use(self) -> None:
        """Report to the ledger what this connection holds. Unsent bytes become fewer without an event."""
        held_bytes = self.parser.held_bytes if self.transport is not None else 0
        if held_bytes != self._held_commands.held_bytes:
            self._held_commands.set(held_bytes)
        awaited_bytes = self.parser.awaited_bytes if held_bytes else 0
        if awaited_bytes != self._awaited_bytes:
            self.server.buffer_budget.ledger.count_arrived(self._awaited_bytes - awaited_bytes)
            self._awaited_bytes = awaited_bytes
        self.answers.update_memory_use()

    def update_reading(self) -> None:
        """Pause or resume reading. After the last command reading goes on, to discard further bytes."""
        if self.transport is None or self.transport.is_closing():
            return
        pause = self.end.reads_no_further if self.closing else self._is_blocked()
        if pause == self.reading_paused:
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- errors of the peer ----

    def fail_protocol(self, reason: str) -> None:
        """Answer with an error and close, as the beginning of the next command can't be found.

        Earlier requests still get their answers.

        Args:
            reason: what broke the protocol, for the log.
        """
        self.end.begin()
        self.parser.discard()
        slot = self.bodies.abandon() if self.streamed_body is not None else Slot(self)
        if slot is not None:
            slot.answered = True
            slot.reply = b"-ERR protocol error\r\n"
            if slot not in self.slots:
                self.slots.append(slot)
        log.warning("client broke the protocol: %s", " ".join(reason.split()))

    # ---- the end ----

    def abandon_requests(self) -> None:
        """Abandon all requests of this connection, as no client waits for the answers."""
        slots = self.answers.abandon()
        self.bodies.discard()
        for slot in slots:
            slot.answered = True
            if slot.request_id is not None:
                self.server.handler.on_client_gone(slot.request_id)

    # ---- state of the socket ----

    def detect_client_close(self) -> bool:
        """Return whether the client has closed its connection; if so, abandon its requests.

        This asks the socket, because a close goes unnoticed while reading is paused, and otherwise until the
        next turn of the event loop.
        """
        if self.lost or (self.transport is not None and self.transport.is_closing()):
            return True
        if self._socket is None or not self._socket.peer_has_closed:
            return False
        self.abandon_requests()
        self.end.close_gracefully()  # the client may have closed its sending side alone, and still read
        return True

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket has received bytes that this process has not read yet."""
        return self._socket is not None and self._socket.has_unread_bytes

    def check_body_arrival(self) -> None:
        """Note whether the client has written the last byte of a long value that is arriving."""
        if self.streamed_body is not None and self._socket is not None:
            self.bodies.check_arrival(self._socket.unread_bytes)

    @property
    def undelivered_bytes(self) -> int:
        """Number of bytes written to this connection that the peer's system has not received yet."""
        return self._socket.undelivered_bytes if self._socket is not None else 0

    @property
    def idle(self) -> bool:
        """Whether no request is in flight, no command partly read and no answer unwritten.

        An idle connection may be closed at any time.
        """
        if self.transport is None or self.transport.is_closing() or self.closing:
            return False
        receiving = (
            self.streamed_body is not None or self.parser.has_partial_value() or self._has_unparsed_bytes
        )
        return not self.slots and not receiving and not self.transport.get_write_buffer_size()

    @property
    def may_be_evicted(self) -> bool:
        """Whether the connection may be closed at once, as that takes no command and no answer along."""
        if self.end.state is ConnectionState.HALF_CLOSED:
            return not self.undelivered_bytes
        return self.idle and not self.has_unread_bytes and not self.undelivered_bytes
