"""Connections to backends, and the attempts made on them.

The sockets are driven directly rather than through transports: what may be said of an attempt depends on
whether its last byte has left the process, a cutoff holds at the first byte, and an attempt that is given up
must be closed before the next one is sent. `send` and `close` tell and do that at once.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Literal

from switchline.clock import Timer, Timers, now_ms
from switchline.config import Address
from switchline.net.descriptors import Budget, Part
from switchline.net.idle import IMMEDIATE_RESET_MS, IdleTimes
from switchline.net.listen import close_socket
from switchline.net.resp import (
    CRLF,
    INCOMPLETE,
    Incomplete,
    ProtocolError,
    RespParser,
    SimpleValue,
    StreamedStringStarted,
    Value,
)
from switchline.net.streams import (
    MAX_VALUE_BYTES,
    STREAMING_THRESHOLD_BYTES,
    BufferBudget,
    StreamedRequestBody,
    StreamedResponse,
)
from switchline.operators.metrics import Metrics
from switchline.policy.interface import BackendState, Outcome

log = logging.getLogger(__name__)

IDLE_SHARE = 0.6  # of the keep-alive time: retired before the backend may close it under a request
SWEEP_MS = 1_000.0
# After an answer, what comes unasked behind it must not pass for the next request's: for a part of the time
# that the answer took, and at most so long.
SETTLE_SHARE, SETTLE_MS = 0.5, 30.0
READ_BYTES = 64 * 1024
STALL_MS = 10_000.0  # without a byte of a long value while this side would take or give more: it has broken
AGAIN_MS = 10.0  # until a handshake is begun again that this machine refused
# Errors of connect that tell nothing of the other side, beside a shortage of descriptors.
OF_THIS_MACHINE = {errno.EAGAIN, errno.EINTR, errno.EPERM}
MOST_ITEMS, LARGEST_REPLY = 16, 128 * 1024  # of an answer: three; bytes less a value that comes in pieces


@dataclass(eq=False, slots=True)
class Attempt:
    """One try of a request at a backend; `ended` is called exactly once."""

    backend: int
    encode: Callable[[int], bytes]
    expires: float  # when the client gives up
    ended: Callable[[Attempt, Outcome, bytes], None]
    written: Callable[[Attempt], None]  # the last byte has left
    began: Callable[[Attempt, int], StreamedResponse | None]  # a long answer has begun; None: nobody needs it
    hindrance: Callable[[float], Outcome | None]  # why it must not begin at that time, if so
    body: StreamedRequestBody | None = None  # a long value that follows what `encode` gives
    connection: Connection | None = None
    host: Host | None = None  # where it waits for a connection
    connecting: bool = False  # while it waits, a handshake was begun for it
    wait: Timer | None = None  # the end of that wait
    timer: Timer | None = None  # of its time-out
    cost: float = 0.0  # the true units, as the answer tells them; 0: not told
    over: bool = False

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        if not self.over:
            self.over, self.connection = True, None
            self.leave()
            if self.timer is not None:
                self.timer.cancel()
            self.ended(self, outcome, value)

    def leave(self) -> None:
        """It waits no longer: it has got a connection, or has ended."""
        if self.host is not None:
            del self.host.waiting[self]
            self.host = None
        if self.wait is not None:
            self.wait.cancel()


class Connection:
    """One connection, with one attempt on it at a time.

    Answers come in order and giving up means closing, so a second attempt would share the first one's fate.
    """

    def __init__(self, pool: Backends, host: Host) -> None:
        self.pool, self.host, self.address = pool, host, host.address
        self.attempt: Attempt | None = None
        self.reader = RespParser(MOST_ITEMS, LARGEST_REPLY, STREAMING_THRESHOLD_BYTES, MAX_VALUE_BYTES)
        self.unsent = memoryview(b"")
        self.up = self.closed = self.writing = self.flushing = self.paused = False
        self.sent = self.ending = False  # all has left; the end of a long value is on its way
        self.value: StreamedResponse | None = None  # a long answer that is being passed on
        self.moved_at = 0.0  # when bytes of a long value last moved
        self.idle_since = self.idle_for = self.sent_at = 0.0  # idle_for: before the attempt that is on it
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.fd = self.socket.fileno()
        self.timer: asyncio.TimerHandle | None = None
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            problem = self.socket.connect_ex(host.address)
            if problem not in (0, errno.EINPROGRESS):
                raise OSError(problem, "connect")
            pool.loop.add_writer(self.fd, self._came_up)
        except OSError:
            close_socket(self.socket)
            raise
        self.timer = pool.loop.call_later(pool.connect_timeout / 1000, self._not_up, False)

    def _came_up(self) -> None:
        self.pool.loop.remove_writer(self.fd)
        if self.timer is not None:
            self.timer.cancel()
        try:
            if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return self._not_up(True)
            self.pool.loop.add_reader(self.fd, self._readable)
        except OSError:  # this machine's fault: it tells nothing of the backend
            return self._not_up(False)
        self.up = True
        self.host.opening.discard(self)
        self.pool.release(self)
        self.pool.open_for(self.host)

    def _not_up(self, refused: bool) -> None:
        """The handshake has failed; who waits longest for one hears of a refusal, the others wait on."""
        self.pool.figures.handshakes_failed += 1
        self.close()
        if refused and (attempt := next(iter(self.host.waiting), None)) is not None:
            attempt.end(Outcome.CONNECT)

    def start(self, attempt: Attempt, idle: float) -> bool:
        """Write an attempt; false if it must not begin any more, has ended, and left this connection free."""
        attempt.leave()
        now = now_ms()
        hindrance = self._hindrance(attempt, now)
        if hindrance is not None:
            attempt.end(hindrance)
            return False
        self.attempt, attempt.connection, self.idle_for = attempt, self, idle
        self.sent_at = self.moved_at = now
        self.sent = self.ending = False
        self.unsent = memoryview(attempt.encode(max(1, int(attempt.expires - now))))
        if attempt.body is not None:
            attempt.body.begin(self._flush)
        self._send()
        return True

    def _hindrance(self, attempt: Attempt, now: float) -> Outcome | None:
        """What has come between the decision to send and the first byte.

        The wait for a connection may have outlasted the request, its client or the time in which it may be
        repeated, and its backend may have been told to drain.
        """
        if now >= attempt.expires:
            return Outcome.IGNORED
        if not self.host.takes_new:
            return Outcome.CONNECT
        return attempt.hindrance(now)

    def _flush(self) -> None:
        """Go on with a request of which some has left: it counts as begun with its last byte."""
        attempt = self.attempt
        if attempt is not None and not self.sent and not self.flushing:
            if attempt.hindrance(now_ms()) is not None:
                return self.end(Outcome.CONNECT)  # so that the last byte never leaves
        self._send()

    def _send(self) -> None:
        if self.flushing or self.closed:
            return  # what a long value's bytes bring about may lead here again
        self.flushing = True
        try:
            while self.unsent or self._next():
                sent = self.socket.send(self.unsent)
                self.unsent = self.unsent[sent:]
                if self.unsent:
                    break
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            return self.end(Outcome.CONNECT)  # the last byte did not leave
        finally:
            self.flushing = False
        if self.closed:
            return
        if bool(self.unsent) != self.writing:
            self.writing = not self.writing
            if not self.writing:
                self.pool.loop.remove_writer(self.fd)
                return
            try:
                self.pool.loop.add_writer(self.fd, self._flush)
            except OSError:
                self.end(Outcome.CONNECT)  # the rest could never leave

    def _next(self) -> bool:
        """Whether there is more to send now, beyond what has left."""
        attempt = self.attempt
        if self.sent or attempt is None:
            return False
        if attempt.body is not None and not self.ending:
            self.moved_at = now_ms()
            if data := attempt.body.pull():
                self.unsent = memoryview(data)
            elif attempt.body.complete:
                self.unsent, self.ending = memoryview(CRLF), True
            return bool(self.unsent)
        self.sent, self.sent_at = True, now_ms()
        self.pool.figures.count_forward()
        attempt.written(attempt)
        return False

    def stalled(self, now: float) -> bool:
        """Whether the backend has left a long value hanging."""
        waits = bool(self.unsent) or (self.value is not None and not self.paused)
        return self.moved_at > 0 and waits and now - self.moved_at > STALL_MS

    def _readable(self) -> None:
        try:
            data = self.socket.recv(READ_BYTES if self.value is None else self.pool.room.window)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            return self.end(self.broken())
        self.reader.feed(data)
        self._take()

    def _take(self) -> None:
        """Take what has been read, as far as whoever gets it keeps up."""
        try:
            reply = self._pass_on()
            more = self.reader.has_partial_value()
        except ProtocolError as error:
            log.warning("backend broke the protocol: %s: %s", self.host.address, error)
            return self.end(self.broken())
        if reply is INCOMPLETE or self.closed:
            return
        self.value = None
        attempt, self.attempt = self.attempt, None
        self._note(reset=False)
        if attempt is None or not self.sent or more:
            self.close()  # an answer to nothing: what follows would be taken for another request's
        else:
            self.pool.settle(self)
        if attempt is not None:
            attempt.cost = read_cost(reply)
            attempt.end(*read_reply(reply))

    def _pass_on(self) -> Value | Literal[Incomplete.INCOMPLETE]:
        """Give the bytes of a long answer on as they come; gives the answer once it is whole."""
        while not self.closed:
            if self.value is not None and self.reader.streamed_remaining > 0:
                piece = self.reader.read_streamed(READ_BYTES)
                if not piece:
                    break
                self.moved_at = now_ms()
                self.value.feed(piece)
                if self.value.full:
                    self._pause()
                    break
                continue
            reply = self.reader.next_value()
            if not isinstance(reply, StreamedStringStarted):
                return reply
            if reply.items or self.value is not None or self.attempt is None or not self.sent:
                raise ProtocolError("a long value out of its place")
            self.moved_at = now_ms()
            self.value = self.attempt.began(self.attempt, reply.length)
            if self.value is None:
                self.end(Outcome.CANCELLED)
            else:
                self.value.on_capacity = self._resume
        return INCOMPLETE

    def _pause(self) -> None:
        if not self.paused and not self.closed:
            self.paused = True
            self.pool.loop.remove_reader(self.fd)

    def _resume(self) -> None:
        if self.paused and not self.closed:
            self.paused, self.moved_at = False, now_ms()
            try:
                self.pool.loop.add_reader(self.fd, self._readable)
            except OSError:
                return self.end(self.broken())  # the rest could never be read
            self.pool.loop.call_soon(self._take_rest)

    def _take_rest(self) -> None:
        if not self.closed and not self.paused and self.value is not None:
            self._take()

    def broken(self) -> Outcome:
        """What a break says: a request whose last byte has not left cannot have run, any other may have."""
        return Outcome.RESET if self.up and self.sent else Outcome.CONNECT

    def end(self, outcome: Outcome) -> None:
        """Close, and end the attempt that is on it. The close comes first: never two attempts at once."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None and outcome is Outcome.RESET and self.value is None:
            self._note(reset=now_ms() - self.sent_at < IMMEDIATE_RESET_MS)
        self.close()
        if attempt is not None:
            attempt.end(outcome)

    def _note(self, reset: bool) -> None:
        if self.idle_for:
            self.pool.idle_times.record_use(self.idle_for, reset)

    def close(self) -> None:
        if self.closed:
            return
        self.closed, self.value = True, None
        if self.timer is not None:
            self.timer.cancel()
        self.pool.loop.remove_reader(self.fd)
        self.pool.loop.remove_writer(self.fd)
        close_socket(self.socket)
        self.host.opening.discard(self)
        self.host.settling.discard(self)
        self.pool.forget(self)

    def alive(self) -> bool:
        """Whether an idle connection still stands, so far as this machine has heard."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False  # it has ended, or says something that nobody asked for


def read_reply(reply: Value) -> tuple[Outcome, bytes]:
    if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
        return Outcome.OK, reply[0]
    if isinstance(reply, SimpleValue) and reply.kind == b"-" and reply.text.split(b" ", 1)[0] == b"BUSY":
        return Outcome.FULL, b""
    return Outcome.FAILED, b""


def read_cost(reply: Value) -> float:
    """The true units that an answer's figures on use tell; 0 where they don't."""
    if isinstance(reply, list) and len(reply) > 1 and isinstance(reply[1], bytes):
        for item in reply[1].split(b","):
            name, _, value = item.partition(b"=")
            if name == b"cost":
                try:
                    cost = float(value)
                except ValueError:
                    return 0.0
                return cost if 0 < cost < math.inf else 0.0
    return 0.0


class Host:
    """A backend's address, its connections that have no attempt on them, and whether it takes new work."""

    def __init__(self, address: Address, zone: str, held: bool) -> None:
        self.address, self.zone, self.held = address, zone, held  # held: taken out by operators
        self.idle: list[Connection] = []  # the last used at the end
        self.opening: set[Connection] = set()  # handshakes under way
        self.settling: set[Connection] = set()  # an answer has just come on them
        self.waiting: dict[Attempt, None] = {}  # for a connection, the longest first
        self.listed = True  # and not told to drain

    @property
    def takes_new(self) -> bool:
        return self.listed and not self.held


class Backends:
    """The pools. Decides nothing: it sends where it is told, or says why it cannot.

    An attempt that finds no idle connection waits for one, whichever comes first: a handshake begun for it,
    or one that another attempt leaves. Few handshakes go to one backend at a time, and all connections
    together are bounded; who gets none within the time for a handshake is told so.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        connect_timeout: float,
        keepalive: float,
        budget: Budget,
        figures: Metrics,
        room: BufferBudget,
    ) -> None:
        self.loop, self.timers, self.connect_timeout = loop, timers, connect_timeout
        self.budget, self.figures, self.room = budget, figures, room
        self.wanting: dict[Host, None] = {}  # where attempts wait and the pool is full, the longest first
        self.serving: asyncio.Handle | None = None  # these are looked after at the end of this turn
        budget.relief_callbacks.append(self.close_oldest)
        self.idle_times = IdleTimes(keepalive * IDLE_SHARE)
        self.hosts: dict[int, Host] = {}
        self.held: set[int] = set()  # taken out by operators, whether listed or not
        self.held_zones: set[str] = set()  # likewise
        self.connections: set[Connection] = set()
        self.unopened: list[OSError] = []  # since the last sweep: one line tells of all
        self.timers.every(SWEEP_MS, "the sweep of backends", self.sweep)

    # ---- the list ----

    def update(self, backend: int, address: Address, state: BackendState, zone: str = "") -> None:
        if state is not BackendState.READY:
            return self.retire(backend)
        host = self.hosts.get(backend)
        if host is None:
            host = self.hosts[backend] = Host(address, zone, False)
        if host.address != address:
            self.close_idle(host)
            host.address = address
        host.listed, host.zone = True, zone
        self.hold_host(backend, host)

    def retire(self, backend: int) -> None:
        """It drains or is gone: nothing new goes there, also what waits for a connection to it already."""
        if host := self.hosts.get(backend):
            host.listed = False
            self.close_idle(host)
            self.end_waiting(host)

    def hold(self, backend: int, out: bool) -> None:
        """Take a backend out or put it back, whatever the list says."""
        (self.held.add if out else self.held.discard)(backend)
        if host := self.hosts.get(backend):
            self.hold_host(backend, host)

    def hold_zone(self, zone: str, out: bool) -> None:
        """The same for all of a zone."""
        (self.held_zones.add if out else self.held_zones.discard)(zone)
        for backend, host in self.hosts.items():
            self.hold_host(backend, host)

    def hold_host(self, backend: int, host: Host) -> None:
        host.held = backend in self.held or host.zone in self.held_zones
        if host.held:
            self.close_idle(host)
            self.end_waiting(host)

    def end_waiting(self, host: Host) -> None:
        for attempt in list(host.waiting):
            attempt.end(Outcome.CONNECT)
        self.close_unwanted(host)

    # ---- attempts ----

    def send(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.backend)
        if host is None or not host.takes_new:
            return attempt.end(Outcome.CONNECT)
        while host.idle:
            connection, now = host.idle.pop(), now_ms()
            idle = now - connection.idle_since
            if self.idle_times.allows(now, idle) and connection.alive():
                if not connection.start(attempt, idle):
                    self.release(connection)
                return
            connection.close()
        attempt.host, host.waiting[attempt] = host, None
        until = min(now_ms() + self.connect_timeout, attempt.expires)
        attempt.wait = self.timers.at(until, partial(self.waited, attempt))
        self.figures.handshake_waits += 1
        self.open_for(host)

    def open_for(self, host: Host) -> None:
        """Begin as many handshakes as attempts wait for, so far as that goes."""
        for attempt in [a for a in host.waiting if not a.connecting]:
            wanted = len(host.waiting) - len(host.settling)  # those serve an attempt each in a moment
            if len(host.opening) >= min(wanted, self.budget.shares.connects):
                return
            if not self.budget.has_free(Part.BACKENDS) and not self.close_oldest(1):
                self.wanting[host] = None
                return
            else:
                self.open(host, attempt)

    def open(self, host: Host, attempt: Attempt) -> None:
        try:
            made = Connection(self, host)
        except OSError as error:
            self.unopened.append(error)
            if self.budget.relieve(error) or error.errno in OF_THIS_MACHINE:
                self.wanting[host] = None  # it tells nothing of the backend
                self.timers.at(now_ms() + AGAIN_MS, self.serve)
            else:
                attempt.end(Outcome.CONNECT)
            return
        attempt.connecting = True
        self.figures.handshakes_begun += 1
        self.budget.acquire(Part.BACKENDS)
        self.connections.add(made)
        host.opening.add(made)

    def waited(self, attempt: Attempt) -> None:
        """It has got no connection: the backend's doing if a handshake was under way, else this pool's."""
        if attempt.host is not None:
            attempt.end(self.unserved(attempt))

    def unserved(self, attempt: Attempt) -> Outcome:
        if now_ms() >= attempt.expires:
            return Outcome.IGNORED
        shaking = attempt.connecting or (attempt.host is not None and bool(attempt.host.opening))
        return Outcome.CONNECT if shaking else Outcome.NO_CAPACITY

    def serve(self) -> None:
        """Places have become free: those who want them get them in turn."""
        self.serving = None
        wanting, self.wanting = list(self.wanting), {}
        for host in wanting:
            self.open_for(host)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        connection = attempt.connection
        if connection is not None:
            unsent = outcome is Outcome.TIMED_OUT and connection.broken() is Outcome.CONNECT
            return connection.end(Outcome.CONNECT if unsent else outcome)
        host = attempt.host
        waits = host is not None and outcome is Outcome.TIMED_OUT
        attempt.end(self.unserved(attempt) if waits else outcome)
        if host is not None:
            self.close_unwanted(host)

    def close_unwanted(self, host: Host) -> None:
        """Close the handshakes that nobody waits for, as their attempts were given up meanwhile."""
        for connection in list(host.opening)[len(host.waiting) :]:
            connection.close()

    # ---- pools ----

    def release(self, connection: Connection) -> None:
        """A connection is free: for who waits for its backend, for who waits for any, or to stand idle."""
        host = connection.host
        while host.takes_new and not connection.closed and connection.address == host.address:
            if (attempt := next(iter(host.waiting), None)) is None:
                break
            if connection.start(attempt, 0.0):
                return
        if connection.address != host.address or not host.takes_new:
            return connection.close()
        if self.wanting and not self.budget.has_free(Part.BACKENDS):
            return connection.close()
        if not connection.closed:
            connection.idle_since = now_ms()
            host.idle.append(connection)

    def settle(self, connection: Connection) -> None:
        """An answer has come: its connection is free once nothing has followed it for a moment."""
        connection.host.settling.add(connection)
        wait = min(SETTLE_MS, SETTLE_SHARE * (now_ms() - connection.sent_at))
        self.loop.call_later(wait / 1000, self.settled, connection)

    def settled(self, connection: Connection) -> None:
        if connection in connection.host.settling:
            connection.host.settling.discard(connection)
            if connection.alive():
                self.release(connection)
            else:
                connection.close()

    def forget(self, connection: Connection) -> None:
        if connection in self.connections:
            self.connections.discard(connection)
            self.budget.release(Part.BACKENDS)
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)
        if connection.host.waiting:
            self.wanting[connection.host] = None
        if self.wanting and self.serving is None:
            self.serving = self.loop.call_soon(self.serve)

    def close_idle(self, host: Host) -> None:
        for connection in list(host.idle):
            connection.close()

    def close_oldest(self, wanted: int) -> int:
        """Close up to so many idle connections, the longest unused first; gives how many."""
        idle = sorted((c for h in self.hosts.values() for c in h.idle), key=lambda c: c.idle_since)
        for connection in idle[:wanted]:
            connection.close()
        return len(idle[:wanted])

    def gauges(self) -> dict[str, int]:
        idle = sum(len(host.idle) for host in self.hosts.values())
        opening = sum(not connection.up for connection in self.connections)
        waiting = sum(len(host.waiting) for host in self.hosts.values())
        return {
            "backends.opening": opening,
            "backends.in_use": len(self.connections) - idle - opening,
            "backends.idle": idle,
            "backends.waiting": waiting,
        }

    def sweep(self) -> None:
        now = now_ms()
        self.close_oldest(
            max(0, len(self.connections) - self.budget.limit_of(Part.BACKENDS))
        )  # it may shrink
        for backend, host in list(self.hosts.items()):
            for connection in list(host.idle):
                if self.idle_times.allows(now, now - connection.idle_since):
                    break
                connection.close()
            if not host.listed:
                del self.hosts[backend]
        for connection in list(self.connections):
            if connection.stalled(now):
                log.warning("backend left a long value hanging: %s", connection.address)
                connection.end(connection.broken())
        if self.unopened:
            log.warning("%d connections not opened, the last: %s", len(self.unopened), self.unopened[-1])
            self.unopened.clear()

    def close(self) -> None:
        self.wanting.clear()
        for host in self.hosts.values():
            for attempt in list(host.waiting):
                attempt.end(Outcome.CONNECT)
        for connection in list(self.connections):
            connection.end(connection.broken())
