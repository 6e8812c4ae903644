"""One client's connection: commands in, answers out in the same order, and its orderly end."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from enum import IntEnum, auto
from typing import TYPE_CHECKING, cast

from switchline.clients.dispatch import begins_request, dispatch
from switchline.clients.slot import Slot
from switchline.clients.watchdog import DeliveryWatch, ReceiveWatch
from switchline.clock import now_ms
from switchline.guard import Guard, Invariant
from switchline.net.resp import INCOMPLETE, ProtocolError, RespParser, StreamedStringStarted
from switchline.net.socket_state import has_unread_bytes, peer_has_closed
from switchline.net.streams import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, StreamedRequestBody
from switchline.operators.metrics import EvictionReason

if TYPE_CHECKING:
    from switchline.clients.server import ClientServer

log = logging.getLogger(__name__)

MAX_PIPELINED = 32  # commands that may wait for their answers before the connection is read no further
MAX_UNSENT_BYTES = 128 * 1024  # of answers that a client may leave unread, likewise
MAX_UNSENT_STREAMED_BYTES = 16 * 1024  # of a long answer; the transport adds what was written last
MAX_COMMAND_BYTES = 128 * 1024  # a streamed value not counted
MAX_ARGUMENTS = 16  # a request has five, and the commands of connection set-up few more
READ_BYTES = 64 * 1024
MAX_DISCARDED_BYTES = 256 * 1024  # that a peer may send after its last answer


class ConnectionState(IntEnum):
    """SERVING -> CLOSING -> HALF_CLOSED, and from each of them the connection may be lost.

    SERVING: commands are read and answered.
    CLOSING: no further command is answered; those before still are.
    HALF_CLOSED: the last answer is written and this side is shut; the peer may read and close.
    """

    SERVING = auto()
    CLOSING = auto()
    HALF_CLOSED = auto()


class ClientConnection(asyncio.BufferedProtocol):
    """Owns the commands of one client that are read and not answered.

    Args:
        server: that the connection belongs to.
    """

    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.state = ConnectionState.SERVING
        self.transport: asyncio.Transport | None = None
        self.lost = False  # it has ended, by either side
        self.peer = ""  # its address; connections are shared out among these
        self.proven = False  # it has sent a proper request
        self.surplus = False  # it got no place: it is kept only if a request is the first that arrives
        self.slots: deque[Slot] = deque()
        self.body: StreamedRequestBody | None = None  # a long value that is arriving
        self.body_slot: Slot | None = None  # of its command
        self.last_used_s = time.monotonic()  # a command arrived or an answer was written
        self.receiving = ReceiveWatch(owed_since_s=self.last_used_s)
        self.delivery = DeliveryWatch()
        self.received_at_ms = now_ms()  # when bytes last arrived
        self.reading_paused = False
        self.parser = RespParser(MAX_ARGUMENTS, MAX_COMMAND_BYTES, STREAMING_THRESHOLD_BYTES, MAX_VALUE_BYTES)
        self._has_unparsed = False  # bytes that may hold a command
        self._writing_paused = False
        self._pumping = False  # guards `pump` against itself
        self.half_closed_at_s = 0.0
        self._discarded = 0  # bytes that arrived after what closes the connection

    @property
    def guard(self) -> Guard:
        """Counts violated invariants."""
        return self.server.guard

    @property
    def closing(self) -> bool:
        """Whether no further command is answered."""
        return self.state >= ConnectionState.CLOSING

    # ---- called by the event loop ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        # A peer that has reset the connection by now has no address any more.
        self.peer = (self.transport.get_extra_info("peername") or ("",))[0]
        self.server.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """See asyncio.BaseProtocol."""
        self.transport = None
        self.lost = True
        self.server.closed(self)
        self._abandon_requests()

    def pause_writing(self) -> None:
        """See asyncio.BaseProtocol. A client that asks and does not read would make us hold its answers."""
        self._writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """See asyncio.BaseProtocol."""
        self._writing_paused = False
        self.pump()

    def get_buffer(self, sizehint: int) -> memoryview:
        """See asyncio.BufferedProtocol."""
        if self.body is None:
            return self.server.read_buffer
        return self.server.read_buffer[: self.body.buffer_budget.window_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """See asyncio.BufferedProtocol."""
        self.data_received(self.server.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse and answer what has arrived."""
        if self.closing:
            self._discard(len(data))  # nothing more is answered here, and it must not pile up either
            return
        self.received_at_ms = now_ms()
        self.parser.feed(data)
        self._has_unparsed = True
        self.pump()

    # ---- commands in, answers out ----

    def pump(self) -> None:
        """Take commands and write answers, as far as both go; answers given at once are written together."""
        if self._pumping:
            return
        self._pumping = True
        try:
            self._write_answers()
            while self._has_unparsed and not self._is_blocked():
                self._take_commands()
                self._write_answers()
        finally:
            self._pumping = False
        if self.transport is not None and not self.slots and (self.closing or self.ends_by_drain()):
            self.shut()
        elif self.surplus and not self.proven and self.body is None:
            self.server.places.evict(self, EvictionReason.CROWDED)
        self._update_reading()

    def ends_by_drain(self) -> bool:
        """Whether a drain ends this connection: not while a request is arriving."""
        return self.server.closing_connections and not self.parser.has_partial_value()

    def _is_blocked(self) -> bool:
        body_full = self.body is not None and self.body.full
        return body_full or self._writing_paused or self.closing or len(self.slots) >= MAX_PIPELINED

    def _take_commands(self) -> None:
        try:
            while not self._is_blocked():
                if self.body is not None:
                    if not self._take_streamed(self.body):
                        return
                    continue
                value = self.parser.next_value()
                if value is INCOMPLETE:
                    self._note_incomplete()
                    return
                self.last_used_s = time.monotonic()
                if isinstance(value, StreamedStringStarted):
                    self._begin_streamed_request(value)
                else:
                    dispatch(self, value)
        except ProtocolError as error:
            self.fail_protocol(str(error))

    def _note_incomplete(self) -> None:
        self._has_unparsed = False
        if self.parser.has_partial_value():
            self.receiving.partial_command(time.monotonic())

    def _begin_streamed_request(self, started: StreamedStringStarted) -> None:
        """Decide on a request by its head, as its value is too long to be collected."""
        if started.remaining_items != 1 or not begins_request(started.items):
            raise ProtocolError("value too long")
        self.receiving.stream_started(time.monotonic())
        self.body = StreamedRequestBody(self.server.buffer_budget, started.length_bytes)
        self.body.on_capacity = self.pump
        body = self.body
        slot = self.body_slot = dispatch(self, [*started.items, b""], body)
        if slot is None or slot.request is None:
            body.drop()  # it has its answer; what still arrives of it is discarded

    def _take_streamed(self, body: StreamedRequestBody) -> bool:
        """Take a piece of a streamed value; return whether something arrived."""
        if piece := self.parser.read_streamed(READ_BYTES):
            self.receiving.last_bytes_s = time.monotonic()
            body.feed(piece)
        elif self.parser.streamed_remaining_bytes > 0 or self.parser.next_value() is INCOMPLETE:
            self._has_unparsed = False
            return False
        else:
            self.body = None
            if self.body_slot is not None and self.body_slot.request is not None:
                self.server.handler.on_body_received(self.body_slot.request)
            body.end()
        return True

    def begin_streaming(self) -> None:
        """Note that a long answer begins: from now on little of it may wait here."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=MAX_UNSENT_STREAMED_BYTES)
        self.pump()

    def _write_answers(self) -> None:
        """Write the answers that are due, in the order of the commands."""
        due: list[bytes] = []
        while self.slots and self._collect_answer(self.slots[0], due):
            self.slots.popleft()
        if due and self.transport is not None:
            answers = due[0] if len(due) == 1 else b"".join(due)
            self.transport.write(answers)
            self.delivery.written += len(answers)
            self.last_used_s = time.monotonic()
            self.server.places.used(self)

    def _collect_answer(self, slot: Slot, due: list[bytes]) -> bool:
        """Add what may be written of an answer; return whether it is complete."""
        if slot.response is None:
            if slot.reply is None:
                return False
            due.append(slot.reply)
            return True
        if not self._writing_paused:
            due.append(slot.response.take())
        if not slot.response.written:
            return False
        slot.request = None
        if slot.on_written is not None:
            slot.on_written()
        return True

    def _update_reading(self) -> None:
        """Pause or resume reading. After the last command it reads on, to discard what arrives."""
        if self.transport is None or self.transport.is_closing():
            return
        pause = self._discarded > MAX_DISCARDED_BYTES if self.closing else self._is_blocked()
        if pause == self.reading_paused:
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- errors of the peer ----

    def fail_protocol(self, reason: str) -> None:
        """Answer with an error and close: what follows can't be told from the rest of a command.

        Earlier requests still get their answers.
        """
        self.begin_closing()
        slot = self._abandon_body() if self.body is not None else Slot(self)
        if slot is not None:
            slot.answered = True
            slot.reply = b"-ERR protocol error\r\n"
            if slot not in self.slots:
                self.slots.append(slot)
        log.warning("client broke the protocol: %s", " ".join(reason.split()))

    def _abandon_body(self) -> Slot | None:
        """Let go of a command whose value does not arrive; return its slot if it is still owed an answer."""
        body = self.body
        slot = self.body_slot
        self.body = None
        self.body_slot = None
        if body is not None:
            body.drop()
        if slot is None or slot.request is None:
            return None
        request = slot.request
        slot.request = None
        self.server.handler.on_client_gone(request)
        return slot

    # ---- the end ----

    def begin_closing(self) -> None:
        """Answer no further command."""
        self.state = max(self.state, ConnectionState.CLOSING)

    def close(self) -> None:
        """End this connection: the one place where this side does so between answers.

        A request that is open here would be lost with it, so then it stays open.
        """
        if self.transport is None or self.transport.is_closing():
            return
        open_requests = [slot.request for slot in self.slots if slot.request is not None]
        if open_requests:
            self.guard.violated(Invariant.NO_UNANSWERED_CLOSE, f"open: {', '.join(open_requests)}")
            return
        self.transport.close()

    def shut(self) -> None:
        """Write what is due, end this side, and close once the peer has read that and closed as well.

        A close over unread bytes resets the connection, which discards what the peer has not read yet.
        """
        self.begin_closing()
        if self.transport is None or self.transport.is_closing():
            return
        if self.state is ConnectionState.HALF_CLOSED:
            return
        if not self.server.may_linger(self):
            self.close()
            return
        self.state = ConnectionState.HALF_CLOSED
        self.half_closed_at_s = time.monotonic()
        self.server.half_closed(self)
        self._update_reading()
        self.transport.write_eof()

    def _discard(self, length: int) -> None:
        """Read on, so that the peer's close is seen and unread bytes don't reset what it is still to read."""
        self._discarded += length
        if self._discarded <= MAX_DISCARDED_BYTES or self.transport is None:
            return
        if self.state is ConnectionState.HALF_CLOSED:
            self.close()
        else:
            self._update_reading()

    def _abandon_requests(self) -> None:
        """Note that nobody waits for answers here any more."""
        slots = self.slots
        self.slots = deque()
        body = self.body
        self.body = None
        if body is not None:
            body.drop()
        for slot in slots:
            slot.answered = True
            if slot.request is not None:
                self.server.handler.on_client_gone(slot.request)

    # ---- what the socket says ----

    def notice_departure(self) -> bool:
        """Whether the client has gone; what it asked for ends then, before its close has been read.

        While reading is paused a close would go unnoticed, and else until the event loop's next turn.
        """
        if self.lost or (self.transport is not None and self.transport.is_closing()):
            return True
        if self.transport is None or not self._ask_socket(peer_has_closed, unknown=False):
            return False
        self.transport.abort()
        self._abandon_requests()
        return True

    @property
    def has_unread_bytes(self) -> bool:
        """Whether something has arrived that this process has yet to read."""
        return self._ask_socket(has_unread_bytes, unknown=True)

    def _ask_socket(self, question: Callable[[int], bool], unknown: bool) -> bool:
        """Ask the system about the socket; `unknown` where it does not even give the socket."""
        if self.transport is None:
            return False
        try:
            sock = self.transport.get_extra_info("socket")
        except OSError:
            return unknown
        return sock is not None and sock.fileno() >= 0 and question(sock.fileno())

    @property
    def idle(self) -> bool:
        """Whether nothing is open on it, partly read or still to be written: it may be closed at any time."""
        if self.transport is None or self.transport.is_closing() or self.closing:
            return False
        receiving = self.body is not None or self.parser.has_partial_value() or self._has_unparsed
        return not self.slots and not receiving and not self.transport.get_write_buffer_size()

    @property
    def may_be_evicted(self) -> bool:
        """Whether it is idle, and nothing has arrived that this process has yet to read."""
        return self.idle and not self.has_unread_bytes
