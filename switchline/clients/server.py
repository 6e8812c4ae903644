"""The RESP server that clients connect to."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from switchline.clients.commands import REQUESTS, Command, bulk, parse_command
from switchline.clock import now_ms
from switchline.guard import Guard, Invariant
from switchline.net.accept import Acceptor
from switchline.net.descriptors import Budget, Part
from switchline.net.resp import INCOMPLETE, ProtocolError, RespParser, StreamedStringStarted, Value
from switchline.net.socket_state import has_unread_bytes, peer_has_closed
from switchline.net.streams import (
    MAX_VALUE_BYTES,
    STREAMING_THRESHOLD_BYTES,
    BufferBudget,
    StreamedRequestBody,
    StreamedResponse,
)
from switchline.operators.metrics import Evicted, Metrics
from switchline.policy.fair_shares import FairShares

log = logging.getLogger(__name__)

MOST_WAITING = 32  # commands of one connection that may wait for their answers before it is read no further
MOST_UNREAD = 128 * 1024  # bytes of answers that a client may leave unread, likewise
LARGEST = 128 * 1024  # bytes of a command, less a value that comes in pieces
MOST_PASSING = 16 * 1024  # bytes of a long value that wait in the transport; it adds what was written last
# Closed without a wait: descriptors are wanted, or the last answer was read long ago.
CLOSED_AT_ONCE = {Evicted.YOUNG, Evicted.IDLE, Evicted.UNUSED}
READ_BYTES = 64 * 1024  # read at a time, into one buffer for all connections
REQUEST_HEAD = 4  # arguments before the value
MOST_ARGUMENTS = 16  # of a command; a request has five, and those of connection set-up few more
BACKLOG = 200  # connections that may wait to be accepted
DRAINING = b"-ERR draining\r\n"
HARMLESS = {b"CLIENT", b"SELECT"}  # commands of connection set-up
SWEEP_S = 0.25
OWED_S = 2.5  # for a head or the next piece of a value: slow clients take 2 s; a peer is owed a no within 3 s
SLOWEST_S = 30.0  # for a value that is held whole to come, however steadily
LONGEST_S = 120.0  # for one that is passed on in pieces, likewise: longer than its request is kept
UNREAD_S = 15.0  # that a client may read nothing of an answer: nobody waits that long for one
DRIBBLE_S = 60.0  # that a client may take to read all it has been answered, however steadily
LINGER_S = 0.5  # after the last answer, for the peer to read it and to close: a reset would take it along
MOST_LINGERING = 16  # connections at once, where places are wanted
MOST_DISCARDED = 256 * 1024  # bytes that a peer may send after its last answer
PARTING_IDLE_S = 0.25  # on a drain, a connection on which nothing comes for this long is closed
HANDED_IDLE_S = 0.5  # after a hand-over, most connections close with an answer; idle ones from then on
UNUSED_S = 60.0  # a connection of no use for this long is closed; clients open another when they need one


class Slot:
    """The place of one command among the answers of its connection."""

    __slots__ = ("answered", "connection", "passed", "reply", "request", "value")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.reply: bytes | None = None
        self.request: str | None = None  # the id of a request that is still open
        self.answered = False
        self.value: StreamedResponse | None = None  # a long answer that is passed on as it comes
        self.passed: Callable[[], None] | None = None  # all of it has been written

    def begin(self, value: StreamedResponse, passed: Callable[[], None]) -> None:
        self.answered, self.value, self.passed = True, value, passed
        self.connection.begin_value()

    def cut(self, reply: bytes) -> None:
        """Give up a long answer that can't be finished, so that its client can tell."""
        self.request = None
        if self.value is not None and not self.value.started:  # it waits behind another's
            self.value, self.reply = None, reply
            self.connection.pump()
        elif self.connection.transport is not None:
            self.connection.transport.close()

    def answer(self, reply: bytes) -> None:
        """Give the final answer; a second one is not sent."""
        if not self.answered:
            self.answered, self.reply, self.request = True, reply, None
            self.connection.pump()
        elif self.reply is not None or self.value is not None:
            self.connection.server.guard.violated(Invariant.ONE_ANSWER, f"a second answer: {reply[:40]!r}")


class Handler(Protocol):
    def on_command(self, command: Command, slot: Slot) -> None:
        """Raises ValueError, with the reason, for what the settings know nothing of."""

    def check(self, command: Command) -> None:
        """Raises as above."""

    def on_crowded(self, command: Command, slot: Slot) -> None:
        """A proper request that is refused, as its peer gets no place."""

    def on_whole(self, request: str) -> None:
        """The last byte of a request with a long value has come."""

    def on_client_gone(self, request: str) -> None: ...


class ClientConnection(asyncio.BufferedProtocol):
    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.reader = RespParser(MOST_ARGUMENTS, LARGEST, STREAMING_THRESHOLD_BYTES, MAX_VALUE_BYTES)
        self.body: StreamedRequestBody | None = (
            None  # a long value that is coming in, and the place of its command
        )
        self.body_slot: Slot | None = None
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.lost = False  # it has ended, by either side
        self.slow = self.stopped = self.closing = self.pumping = self.unread = False
        self.peer = ""  # its address; connections are shared out among these
        self.proven = False  # it has sent a proper request
        self.surplus = False  # no place was left: it must have one proven by what it sends first
        self.used_at = time.monotonic()  # a command came or an answer was written
        self.owes_since: float | None = self.used_at  # the peer: its first command, or the rest of one
        self.heard_at = self.body_since = 0.0  # bytes of what is coming in last came; a long value began
        self.written = self.taken = 0  # bytes of answers: given to the transport; of these, gone to the peer
        self.behind_since = self.taken_at = 0.0  # answers wait to be read; the peer last took some
        self.fed_at = now_ms()  # when bytes last came
        self.shut_at: float | None = None  # its last answer has been written; what still comes is let go
        self.discarded = 0  # bytes that came after what closes it

    # ---- from the event loop ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.transport.set_write_buffer_limits(high=MOST_UNREAD)
        # A peer that has reset the connection by now has no address any more.
        self.peer = (self.transport.get_extra_info("peername") or ("",))[0]
        self.server.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport, self.lost = None, True
        self.server.closed(self)
        self._abandon()

    def notice_departure(self) -> bool:
        """Whether the client has gone; what it asked for ends then, before its close has been read.

        While reading is paused a close would go unnoticed, and else until the event loop's next turn.
        """
        if self.lost or (self.transport is not None and self.transport.is_closing()):
            return True
        if self.transport is None or not self._socket_is(peer_has_closed, unknown=False):
            return False
        self.transport.abort()
        self._abandon()
        return True

    @property
    def has_unread_bytes(self) -> bool:
        """Whether something has come that this process has yet to read."""
        return self._socket_is(has_unread_bytes, unknown=True)

    def _socket_is(self, state: Callable[[int], bool], unknown: bool) -> bool:
        """Ask the system for a state of the socket; `unknown` where it does not even give the socket."""
        if self.transport is None:
            return False
        try:
            sock = self.transport.get_extra_info("socket")
        except OSError:
            return unknown
        return sock is not None and sock.fileno() >= 0 and state(sock.fileno())

    def _discard(self, length: int) -> None:
        """Read on, so that the peer's close is seen and unread bytes don't reset what it is still to read."""
        self.discarded += length
        if self.discarded <= MOST_DISCARDED or self.transport is None:
            return
        if self.shut_at is not None:
            self.close()
        else:
            self._throttle()

    def close(self) -> None:
        """End this connection: the one place where this side does so between answers.

        A request that is open here would be lost with it, so then it stays open.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if open_here := [slot.request for slot in self.slots if slot.request is not None]:
            self.server.guard.violated(Invariant.NO_UNANSWERED_CLOSE, f"open: {', '.join(open_here)}")
            return
        self.transport.close()

    def shut(self) -> None:
        """Write what is due, end this side, and close once the peer has read that and closed as well.

        A close over unread bytes resets the connection, which takes along what the peer has not read yet.
        """
        self.closing = True
        if self.transport is None or self.transport.is_closing() or self.shut_at is not None:
            return
        if not self.server.may_linger(self):
            return self.close()
        self.shut_at = time.monotonic()
        self.server.shut(self)
        self._throttle()
        self.transport.write_eof()

    def _abandon(self) -> None:
        """Nobody waits for answers here any more."""
        slots, self.slots = self.slots, deque()
        body, self.body = self.body, None
        if body is not None:
            body.drop()
        for slot in slots:
            slot.answered = True
            if slot.request is not None:
                self.server.handler.on_client_gone(slot.request)

    def pause_writing(self) -> None:
        # A client that asks and does not read would make us hold all of its answers.
        self.slow = True
        self._throttle()

    def resume_writing(self) -> None:
        self.slow = False
        self.pump()

    def get_buffer(self, sizehint: int) -> memoryview:
        return (
            self.server.buffer if self.body is None else self.server.buffer[: self.body.buffer_budget.window]
        )

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self.server.buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        if self.closing:
            return self._discard(len(data))  # nothing more is answered here, and it must not pile up either
        self.fed_at = now_ms()
        self.reader.feed(data)
        self.unread = True
        self.pump()

    # ---- commands ----

    def pump(self) -> None:
        """Take commands and write answers, as far as both go; answers given at once are written together."""
        if self.pumping:
            return
        self.pumping = True
        try:
            self._write()
            while self.unread and not self._stuck():
                self._take()
                self._write()
        finally:
            self.pumping = False
        if self.transport is not None and not self.slots and (self.closing or self._parts()):
            self.shut()
        elif self.surplus and not self.proven and self.body is None:
            self.server.evict(self, Evicted.CROWDED)
        self._throttle()

    def _parts(self) -> bool:
        """Whether a drain ends this connection: not while a request is on its way in."""
        return self.server.parting and not self.reader.has_partial_value()

    def _stuck(self) -> bool:
        full = self.body is not None and self.body.full
        return full or self.slow or self.closing or len(self.slots) >= MOST_WAITING

    def _reads(self) -> bool:
        """Whether it reads on: what comes after the last command is read to be let go."""
        return self.discarded <= MOST_DISCARDED if self.closing else not self._stuck()

    def _take(self) -> None:
        """Take what commands the bytes read so far hold."""
        try:
            while not self._stuck():
                if self.body is not None:
                    if not self._take_piece(self.body):
                        return
                    continue
                args = self.reader.next_value()
                if args is INCOMPLETE:
                    self.unread = False
                    if self.reader.has_partial_value():
                        self.heard_at = time.monotonic()
                        self.owes_since = self.owes_since or self.heard_at
                    return
                self.used_at = time.monotonic()
                if isinstance(args, StreamedStringStarted):
                    self._open(args)
                else:
                    self.command(args)
        except ProtocolError as error:
            self.refuse_protocol(error)

    def _open(self, opened: StreamedStringStarted) -> None:
        """A command whose value is too long to be held: it is decided on its head."""
        items = [item for item in opened.items if isinstance(item, bytes)]
        if opened.missing != 1 or items != opened.items or not items or items[0].upper() not in REQUESTS:
            raise ProtocolError("value too long")
        self.heard_at = self.body_since = time.monotonic()
        body = self.body = StreamedRequestBody(self.server.room, opened.length)
        body.on_capacity = self.pump
        slot = self.body_slot = self.command([*items, b""], body)
        if slot is None or slot.request is None:
            body.drop()  # it has its answer; what still comes of it is discarded

    def _take_piece(self, body: StreamedRequestBody) -> bool:
        """Whether something came of the long value."""
        if piece := self.reader.read_streamed(READ_BYTES):
            self.heard_at = time.monotonic()
            body.feed(piece)
        elif self.reader.streamed_remaining > 0 or self.reader.next_value() is INCOMPLETE:
            self.unread = False
            return False
        else:
            self.body, slot = None, self.body_slot
            if slot is not None and slot.request is not None:
                self.server.handler.on_whole(slot.request)
            body.end()
        return True

    def begin_value(self) -> None:
        """A long answer begins: from now on little of it may wait here."""
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=MOST_PASSING)
        self.pump()

    def _write(self) -> None:
        """Write the answers that are due, in the order of the commands."""
        due: list[bytes] = []
        while self.slots:
            slot = self.slots[0]
            if slot.value is not None:
                if not self.slow:
                    due.append(slot.value.take())
                if not slot.value.written:
                    break
                slot.request = None
                if slot.passed is not None:
                    slot.passed()
            elif slot.reply is not None:
                due.append(slot.reply)
            else:
                break
            self.slots.popleft()
        if due and self.transport is not None:
            answers = due[0] if len(due) == 1 else b"".join(due)
            self.transport.write(answers)
            self.written += len(answers)
            self.used_at = time.monotonic()
            self.server.used(self)

    def _throttle(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if (stop := not self._reads()) != self.stopped:
            self.stopped = stop
            (self.transport.pause_reading if stop else self.transport.resume_reading)()

    def refuse_protocol(self, error: Exception) -> None:
        # What follows cannot be told from the rest of a command; earlier requests still get their answers.
        self.closing = True
        slot = self._leave_body() if self.body is not None else Slot(self)
        if slot is not None:
            slot.answered, slot.reply = True, b"-ERR protocol error\r\n"
            if slot not in self.slots:
                self.slots.append(slot)
        log.warning("client broke the protocol: %s", " ".join(str(error).split()))

    def _leave_body(self) -> Slot | None:
        """Let go of a command whose value does not come; gives its place if it is still owed an answer."""
        body, self.body = self.body, None
        slot, self.body_slot = self.body_slot, None
        if body is not None:
            body.drop()
        if slot is None or slot.request is None:
            return None
        request, slot.request = slot.request, None
        self.server.handler.on_client_gone(request)
        return slot

    def _late(self, now: float) -> bool:
        """Whether the peer has left a command hanging for too long."""
        if self.body is not None:
            return now - self.heard_at > OWED_S or now - self.body_since > LONGEST_S
        if self.owes_since is None or now - self.owes_since <= OWED_S:
            return False
        steady = now - self.heard_at <= OWED_S and now - self.owes_since <= SLOWEST_S
        return not (steady and self._in_value())

    def _in_value(self) -> bool:
        """Whether what is coming in is the value of something that begins as a request."""
        items = self.reader.array_items or []
        return len(items) == REQUEST_HEAD and items[0] in REQUESTS and self.reader.bulk_length >= 0

    def check(self, now: float) -> None:
        """End what a peer has left hanging, so that it holds neither memory nor a descriptor for ever."""
        if self.transport is None:
            return
        if self._unread(now):
            log.warning("client left its answers unread for %.0f s", now - self.behind_since)
            self.server.evict(self, Evicted.UNREAD)
        elif self.shut_at is not None:
            if now - self.shut_at > LINGER_S and not self.transport.get_write_buffer_size():
                self.close()
        elif self.closing or self.stopped:
            return  # its answers are due first, and it is read no further until then
        elif self._late(now):
            self.server.figures.evicted[Evicted.OWING] += 1
            self.refuse_protocol(ValueError("no whole command in time"))
            self.pump()
        elif not self.slots and not self.transport.get_write_buffer_size():
            parts = self._parts() and now > self.server.idle_from
            if now - self.used_at > (PARTING_IDLE_S if parts else UNUSED_S) and not self.has_unread_bytes:
                self.server.evict(self, Evicted.PARTING if parts else Evicted.UNUSED)

    def _unread(self, now: float) -> bool:
        """Whether the peer has left what it was answered unread: it has vanished, or reads too slowly."""
        if self.transport is None or not (left := self.transport.get_write_buffer_size()):
            self.behind_since = 0.0
            return False
        taken = self.written - left
        if not self.behind_since:
            self.behind_since = self.taken_at = now
        elif taken != self.taken:
            self.taken_at = now
        self.taken = taken
        dribbles = self.value_is_whole and now - self.behind_since > DRIBBLE_S
        return now - self.taken_at > UNREAD_S or dribbles

    @property
    def value_is_whole(self) -> bool:
        """Whether no long answer is on its way through here: such a one lasts as long as its bytes move."""
        return not self.slots or self.slots[0].value is None

    def command(self, given: Value, body: StreamedRequestBody | None = None) -> Slot | None:
        args = [arg for arg in given if isinstance(arg, bytes)] if isinstance(given, list) else []
        if not args or args != given:
            self.refuse_protocol(ValueError("not an array of bulk strings"))
            return None
        slot = Slot(self)
        self.slots.append(slot)
        verb = args[0].upper()
        owed, self.owes_since = self.owes_since, None
        if verb in REQUESTS:
            try:
                command = parse_command(args, body, self.fed_at)
                slot.request = command.id
                if self.proven or self.server.prove(self, command):
                    self.server.handler.on_command(command, slot)
                else:
                    self.server.handler.on_crowded(command, slot)
            except ValueError as error:
                slot.request = None
                self.refuse_command(slot, " ".join(str(error).split()), owed)
        elif verb == b"PING":
            yes = bulk(args[1]) if len(args) > 1 else b"+PONG\r\n"
            slot.answer(yes if self.server.says_yes else DRAINING)
        elif verb in HARMLESS:
            slot.answer(b"+OK\r\n")
        elif verb == b"QUIT":
            slot.answer(b"+OK\r\n")
            self.closing = True
        else:
            self.refuse_command(slot, "unknown command", owed)
        return slot

    def refuse_command(self, slot: Slot, reason: str, owed: float | None) -> None:
        """Answer what is no proper request; who sends nothing better since `owed` is not kept connected."""
        log.warning("client sent what is no request: %s", reason)
        self.owes_since = time.monotonic() if owed is None else owed
        slot.answer(b"-ERR %b\r\n" % reason.encode())

    @property
    def idle(self) -> bool:
        """Nothing is open on it, partly read or still to be written: it may be closed at any time."""
        if self.transport is None or self.transport.is_closing() or self.closing:
            return False
        open_here = (
            bool(self.slots) or self.body is not None or self.reader.has_partial_value() or self.unread
        )
        return not open_here and not self.transport.get_write_buffer_size()

    @property
    def is_spare(self) -> bool:
        """It may be closed now: also nothing has come that this process has yet to read."""
        return self.idle and not self.has_unread_bytes


class ClientServer:
    """Listens, and owns the connections of clients: their states, their bounds and who gives way.

    A connection is young until its peer has sent a proper request, then in use or idle. The budget's part
    for clients is shared out under pressure alone: most places may be proven ones of any peer, the rest is
    for young ones and for peers that hold little. Who gives way: the oldest young one, then the longest idle
    of the peer that holds most; never one with a request open or partly read. Where nobody can, a newcomer
    stays only if a whole request is the first that comes from it, and a first proper request that finds no
    place is answered at once that it is harmless to come again.
    """

    def __init__(
        self,
        handler: Handler,
        budget: Budget,
        room: BufferBudget,
        figures: Metrics,
        guard: Guard | None = None,
    ) -> None:
        self.handler, self.budget, self.room, self.figures = handler, budget, room, figures
        self.guard = guard or Guard()
        self.buffer = memoryview(bytearray(READ_BYTES))  # what is read is taken before the next read
        self.connections: set[ClientConnection] = set()
        self.lingering: set[ClientConnection] = set()  # of these, shut on this side
        self.young: dict[ClientConnection, None] = {}  # the oldest first
        self.proven: dict[str, dict[ClientConnection, None]] = {}  # by peer, the longest unused first
        self.shares = FairShares(0)  # of proven connections, among peers
        self.resize()
        self.leaving = self.parting = False  # PING says no; connections are closed after their answers
        self.ending = self.handed = False  # a drain that is not undone; another process takes the clients
        self.idle_from = 0.0  # while parting, idle connections are closed from then on
        self.acceptor: Acceptor | None = None
        self.noticing: asyncio.TimerHandle | None = None  # until the front has noticed
        self.sweeping: asyncio.TimerHandle | None = None
        self.empty = asyncio.Event()
        self.empty.set()
        budget.relief_callbacks.append(self.make_room)

    @property
    def most(self) -> int:
        return self.budget.limit_of(Part.CLIENTS)

    @property
    def most_young(self) -> int:
        return max(1, int(self.most * self.budget.shares.young))

    @property
    def live(self) -> int:
        """Connections that are not about to be closed here."""
        return len(self.young) + self.shares.total

    def resize(self) -> None:
        """Follow the budget. Proven ones have all places but the young ones' before they are shared out."""
        self.shares.most, self.shares.pressed_at = self.most, self.most - self.most_young

    def listen(self, sock: socket.socket) -> int:
        """Start to accept; gives the port."""
        self.acceptor = Acceptor(sock, lambda: ClientConnection(self), self.budget)
        self.sweep()
        return self.acceptor.port

    @property
    def takes_clients(self) -> bool:
        return self.acceptor is not None and self.acceptor.accepting and not self.leaving

    @property
    def says_yes(self) -> bool:
        """To PING: for the gateway, so also while its next process takes the clients."""
        return self.handed or not self.leaving

    def hand_over(self) -> None:
        """Another process of this gateway accepts; connections here end after their next answers."""
        self.handed = self.parting = True
        self.idle_from = time.monotonic() + HANDED_IDLE_S
        if self.acceptor is not None:
            self.acceptor.pause()

    @property
    def holds_clients(self) -> bool:
        return bool(self.connections) or (self.acceptor is not None and bool(self.acceptor.opening))

    def take_back(self) -> None:
        """The other process is gone."""
        self.handed = False
        if not self.leaving:
            self.parting = False
        if self.acceptor is not None:
            self.acceptor.resume()

    def sweep(self) -> None:
        self.sweeping = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)
        now = time.monotonic()
        for connection in list(self.connections):
            self.guard.call("a client's connection", connection.check, now)
        # The budget may have shrunk: by SIGHUP, or by what the other process of an upgrade holds.
        self.make_room(self.live - self.most)
        self.budget.keep_reserve()

    def close(self) -> None:
        for handle in (self.sweeping, self.noticing):
            if handle is not None:
                handle.cancel()
        self.stop_accepting()

    # ---- who gets a place, and who gives way ----

    def opened(self, connection: ClientConnection) -> None:
        """A newcomer is young. Once places are few, these are held to a bound of their own."""
        self.budget.acquire(Part.CLIENTS)
        self.connections.add(connection)
        self.young[connection] = None
        self.empty.clear()
        most, most_young = self.most, self.most_young
        if self.live > most or (self.live > most - most_young and len(self.young) > most_young):
            # Proven ones give way only for what they hold of the young ones' places.
            idle = self.shares.total > most - most_young
            connection.surplus = not (self.evict_young(connection) or (idle and self.evict_idle()))

    def prove(self, connection: ClientConnection, command: Command) -> bool:
        """Whether a connection's first proper request gets it a place. Raises ValueError if it is none."""
        self.handler.check(command)
        self.resize()
        if not self.shares.admits(connection.peer):
            if not self.evict_idle(self.shares.held.get(connection.peer, 0)):
                return False
        del self.young[connection]
        connection.proven = True
        self.shares.take(connection.peer)
        self.proven.setdefault(connection.peer, {})[connection] = None
        return True

    def make_room(self, wanted: int) -> int:
        """Close up to so many connections that nobody uses; gives how many."""
        made = 0
        while made < wanted and (self.evict_young() or self.evict_idle()):
            made += 1
        return made

    def evict_young(self, newcomer: ClientConnection | None = None) -> bool:
        spare = next((c for c in self.young if c.is_spare and c is not newcomer), None)
        if spare is not None:
            self.evict(spare, Evicted.YOUNG)
        return spare is not None

    def evict_idle(self, least: int = 0) -> bool:
        """Close the longest idle connection of the peer that holds most, of those that hold an idle one.

        A peer with fewer than `least` connections gives none up for one that holds so many.
        """
        for held in sorted(self.proven.values(), key=len, reverse=True):
            if len(held) < least:
                break
            if (spare := next((c for c in held if c.is_spare), None)) is not None:
                self.evict(spare, Evicted.IDLE)
                return True
        return False

    def evict(self, connection: ClientConnection, reason: Evicted) -> None:
        self.figures.evicted[reason] += 1
        log.info("connection of %s is closed: %s", connection.peer, reason.value)
        self.forget(connection)
        if reason in CLOSED_AT_ONCE or reason is Evicted.UNREAD:
            connection.closing = True
            if reason is not Evicted.UNREAD:
                connection.close()
            elif connection.transport is not None:
                connection.transport.abort()  # it reads nothing: no answer can reach it, whatever is open
        else:
            connection.shut()

    def may_linger(self, connection: ClientConnection) -> bool:
        """Whether it may keep its descriptor for a moment longer: there is something that it may yet read."""
        if time.monotonic() - connection.used_at > LINGER_S:
            return False
        return self.parting or len(self.lingering) < MOST_LINGERING

    def shut(self, connection: ClientConnection) -> None:
        """Its place is free, though its descriptor is not yet."""
        self.forget(connection)
        self.lingering.add(connection)

    def used(self, connection: ClientConnection) -> None:
        if (held := self.proven.get(connection.peer)) and held.pop(connection, True) is None:
            held[connection] = None

    def forget(self, connection: ClientConnection) -> None:
        """Its place is free; its descriptor is once the transport has closed it."""
        self.young.pop(connection, None)
        if (held := self.proven.get(connection.peer)) and held.pop(connection, True) is None:
            self.shares.give_back(connection.peer)
            if not held:
                del self.proven[connection.peer]

    def closed(self, connection: ClientConnection) -> None:
        self.forget(connection)
        self.budget.release(Part.CLIENTS)
        self.connections.discard(connection)
        self.lingering.discard(connection)
        if not self.connections:
            self.empty.set()

    def gauges(self) -> dict[str, int]:
        in_use = sum(not c.idle for held in self.proven.values() for c in held)
        return {
            "clients.young": len(self.young),
            "clients.in_use": in_use,
            "clients.idle": self.shares.total - in_use,
        }

    def leave(self, notice: float) -> None:
        """Send clients away: PING says no from now on, and after `notice` seconds connections are closed.

        Whoever still comes is accepted and answered, as the front needs a moment to notice.
        """
        if not self.leaving:
            self.leaving = True
            self.noticing = asyncio.get_running_loop().call_later(notice, self._part)

    def _part(self) -> None:
        self.parting = True

    def stay(self) -> None:
        """Take clients again; undoes `leave` wherever it has got to."""
        self.leaving, self.parting = False, self.handed
        if self.noticing is not None:
            self.noticing.cancel()

    def end(self, notice: float) -> None:
        """Send clients away for good."""
        self.ending = True
        self.leave(notice)

    def stop_accepting(self) -> None:
        """Take what has come so far, and nothing after that."""
        if self.acceptor is not None:
            if not self.handed:
                self.acceptor.accept_backlog()
            self.acceptor.close()

    async def wait_until_empty(self) -> None:
        """Until no connection is left, nor one that was accepted and is being opened."""
        while self.holds_clients:
            if self.acceptor is not None and self.acceptor.opening:
                await asyncio.wait(list(self.acceptor.opening))
            await self.empty.wait()
