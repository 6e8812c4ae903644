"""One connection to a backend, with at most one attempt in flight on it.

The socket is used directly instead of through a transport of the event loop, for three reasons. The outcome
of an attempt depends on whether its last byte has left the process. The checks before sending must hold when
the first byte is written. The connection of an attempt that is given up must be closed before the next
attempt is sent. `start` and `end` do this synchronously and report the result at once.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from enum import Enum, auto
from typing import TYPE_CHECKING, Literal

from switchline.backends.reply import decode_reply
from switchline.clock import now_ms
from switchline.net.idle import IMMEDIATE_RESET_MS
from switchline.net.listen import close_socket
from switchline.net.memory import MAX_READ_BYTES, MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES
from switchline.net.resp import (
    CRLF,
    INCOMPLETE,
    Incomplete,
    ProtocolError,
    RespParser,
    StreamedStringStarted,
    Value,
)
from switchline.net.socket_state import drop_unacknowledged
from switchline.net.streams import Forwarding, StreamedResponse
from switchline.policy.interface import Outcome

if TYPE_CHECKING:
    from switchline.backends.attempt import Attempt
    from switchline.backends.endpoint import Endpoint
    from switchline.backends.pool import BackendPool

log = logging.getLogger(__name__)

MAX_READS_PER_EVENT = 16  # then other connections have their turn
# The transfer of a long value is aborted if the backend makes no progress for this time while the gateway is
# ready to send or receive.
STALL_TIMEOUT_MS = 10_000.0
MAX_REPLY_ITEMS = 16  # a valid reply has three items
MAX_REPLY_FIGURES_BYTES = 8 * 1024  # all of a reply but its value
MAX_REPLY_BYTES = STREAMING_THRESHOLD_BYTES + MAX_REPLY_FIGURES_BYTES  # without a streamed value

# In place of an empty slice, which would keep the memory of the bytes that are sent.
NOTHING_UNSENT = memoryview(b"")


class ConnectionState(Enum):
    """Socket state: CONNECTING -> OPEN -> CLOSED, or CONNECTING -> CLOSED if the handshake fails."""

    CONNECTING = auto()
    OPEN = auto()
    CLOSED = auto()


class RequestState(Enum):
    """How much of the current attempt's request has been sent: SENDING -> (SENDING_LAST ->) SENT.

    SENDING_LAST is only used with a streamed body: the body has been sent, the CRLF after it has not.
    """

    SENDING = auto()
    SENDING_LAST = auto()
    SENT = auto()


class Connection:
    """Owns a socket and the attempt that is in flight on it.

    There is only one attempt at a time: answers come in order and an attempt is given up by closing the
    connection, so a second attempt would be delayed or aborted together with the first.

    Args:
        pool: The pool, which is notified when the connection is free or closed.
        endpoint: The endpoint to connect to.

    Raises:
        OSError: If the handshake could not be started.
    """

    def __init__(self, pool: BackendPool, endpoint: Endpoint) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.address = endpoint.address
        self.state = ConnectionState.CONNECTING
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.sent_at_ms = 0.0  # when the request's last byte was sent; until then, when sending began
        self._request_state = RequestState.SENDING
        self._parser = RespParser(
            MAX_REPLY_ITEMS, MAX_REPLY_BYTES, STREAMING_THRESHOLD_BYTES, MAX_VALUE_BYTES
        )
        self._unsent = NOTHING_UNSENT
        self.writing_blocked = False
        self._sending = False  # prevents reentrant calls of `_send`
        self._reading_paused = False
        self._answer: StreamedResponse | None = None  # the long answer that is being forwarded
        self._last_progress_ms = 0.0  # when bytes of a long value were last sent or received
        self._idle_before_ms = 0.0  # how long the connection was idle before the current attempt
        self._handshake_timer: asyncio.TimerHandle | None = None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.fd = self.socket.fileno()
        try:
            self._begin_handshake()
        except OSError:
            close_socket(self.socket)
            raise
        timeout_s = pool.connect_timeout_ms / 1000
        self._handshake_timer = pool.loop.call_later(timeout_s, self._on_handshake_failed, False)

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection."""
        return self.state is ConnectionState.CLOSED

    # ---- the handshake ----

    def _begin_handshake(self) -> None:
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error = self.socket.connect_ex(self.endpoint.address)
        if error not in (0, errno.EINPROGRESS):
            raise OSError(error, "connect to backend failed")
        self.pool.loop.add_writer(self.fd, self._on_handshake_ended)

    def _on_handshake_ended(self) -> None:
        self.pool.loop.remove_writer(self.fd)
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        try:
            if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._on_handshake_failed(True)
                return
            self.pool.loop.add_reader(self.fd, self._on_readable)
        except OSError:  # a local failure, which is no evidence about the backend
            self._on_handshake_failed(False)
            return
        self.state = ConnectionState.OPEN
        self.endpoint.connecting.discard(self)
        self.pool.release(self)
        self.pool.connect_for_waiting(self.endpoint)

    def _on_handshake_failed(self, refused: bool) -> None:
        """Close; if the backend refused, end the attempt that has waited longest. The others keep waiting."""
        self.pool.metrics.handshakes_failed += 1
        self.close()
        longest_waiting = next(iter(self.endpoint.waiting), None)
        if refused and longest_waiting is not None:
            longest_waiting.end(Outcome.CONNECT_FAILED)

    # ---- sending ----

    def start(self, attempt: Attempt, idle_ms: float) -> bool:
        """Start to send an attempt, unless it must not be sent any more.

        Args:
            attempt: The attempt to send.
            idle_ms: How long this connection has been idle, in milliseconds.

        Returns:
            False if the attempt was ended without being sent; the connection is then still free.
        """
        attempt.stop_waiting()
        now = now_ms()
        outcome = self._reason_not_to_send(attempt, now)
        if outcome is not None:
            attempt.end(outcome)
            return False
        self.attempt = attempt
        attempt.connection = self
        self._idle_before_ms = idle_ms
        self.sent_at_ms = now
        self._last_progress_ms = now
        self._request_state = RequestState.SENDING
        self._unsent = memoryview(attempt.encode(max(1, int(attempt.expires_at_ms - now))))
        if attempt.body is not None:
            attempt.body.begin(self._on_sendable)
        self._send()
        return True

    def _reason_not_to_send(self, attempt: Attempt, now: float) -> Outcome | None:
        """Return the outcome of an attempt that must not be sent any more, or None if it may be sent.

        While the attempt waited for a connection, the request may have expired, its client may have left, the
        window for retries may have ended, or the backend may have begun to drain.
        """
        if now >= attempt.expires_at_ms:
            return Outcome.IGNORED
        if not self.endpoint.accepts_attempts:
            return Outcome.CONNECT_FAILED
        return attempt.reason_not_to_send(now)

    def _on_sendable(self) -> None:
        """Continue sending, or close: a backend can't run a request whose last byte it has not received."""
        if self._must_stop_sending():
            self.end(Outcome.CONNECT_FAILED)  # the last byte is never sent, so the request can't run
            return
        self._send()

    def _must_stop_sending(self) -> bool:
        attempt = self.attempt
        if attempt is None or self._sending or self._request_state is RequestState.SENT:
            return False
        return attempt.reason_not_to_send(now_ms()) is not None

    def _send(self) -> None:
        if self._sending or self.closed:
            return  # reading the body may call back into `_send`
        self._sending = True
        try:
            while self._unsent or self._load_next():
                sent = self.socket.send(self._unsent)
                if sent < len(self._unsent):
                    self._unsent = self._unsent[sent:]
                    break
                self._unsent = NOTHING_UNSENT
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self.end(Outcome.CONNECT_FAILED)  # the last byte has not been sent
            return
        finally:
            self._sending = False
        if not self.closed:
            self._watch_for_writing()

    def _load_next(self) -> bool:
        """Load the next bytes to send into `_unsent`; return whether there are any."""
        attempt = self.attempt
        if attempt is None or self._request_state is RequestState.SENT:
            return False
        if attempt.body is not None and self._request_state is RequestState.SENDING:
            self._last_progress_ms = now_ms()
            if data := attempt.body.pull():
                self._unsent = memoryview(data)
            elif attempt.body.complete:
                self._unsent = memoryview(CRLF)
                self._request_state = RequestState.SENDING_LAST
            return bool(self._unsent)
        self._request_state = RequestState.SENT
        self.sent_at_ms = now_ms()
        self.pool.metrics.count_forward()
        attempt.on_written(attempt)
        return False

    def _watch_for_writing(self) -> None:
        """Watch for the socket to become writable while there are unsent bytes."""
        if bool(self._unsent) == self.writing_blocked:
            return
        self.writing_blocked = not self.writing_blocked
        if not self.writing_blocked:
            self.pool.loop.remove_writer(self.fd)
            return
        try:
            self.pool.loop.add_writer(self.fd, self._on_sendable)
        except OSError:
            self.end(Outcome.CONNECT_FAILED)  # the rest could never be sent

    # ---- receiving ----

    def _on_readable(self) -> None:
        """Read until the reply is complete, reading pauses or no bytes are left.

        uvloop reports a reset only once, also if unread bytes precede it. So no bytes of an incomplete reply
        may be left unread, as there may be no further event.
        """
        for _ in range(MAX_READS_PER_EVENT):
            if not self._read() or not self._expects_bytes():
                return
        self.pool.loop.call_soon(self._read_further)

    def _read_further(self) -> None:
        if self._expects_bytes():
            self._on_readable()

    def _expects_bytes(self) -> bool:
        """Whether a part of a reply has been read, and its rest may be read now."""
        return not self.closed and not self._reading_paused and self._parser.has_partial_value()

    def _read(self) -> bool:
        """Read and process the bytes that are available, up to a limit; return whether there were any."""
        streaming = self._answer is not None
        max_bytes = self.pool.buffer_budget.window_bytes if streaming else MAX_READ_BYTES
        try:
            received_bytes = self.socket.recv_into(self.pool.read_buffer, max_bytes)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            received_bytes = 0
        if not received_bytes:
            self.end(self.outcome_if_broken())
            return False
        self._parser.feed(self.pool.read_buffer[:received_bytes])
        self._process_received()
        return True

    def _process_received(self) -> None:
        """Process the received bytes; a long answer is only forwarded as fast as its receiver reads it."""
        try:
            value = self._next_reply()
            more_follows = self._parser.has_partial_value()
        except ProtocolError as error:
            log.warning("invalid reply from backend: address=%s error=%s", self.endpoint.address, error)
            self.end(self.outcome_if_broken())
            return
        if value is INCOMPLETE or self.closed:
            return
        self._answer = None
        attempt = self.attempt
        self.attempt = None
        self._record_use(reset=False)
        if attempt is None or self._request_state is not RequestState.SENT or more_follows:
            # The answer belongs to no complete request, or more bytes follow it: on a reused connection they
            # would be taken for the answer to the next request.
            self.close()
        else:
            self.pool.settle(self)
        if attempt is not None:
            reply = decode_reply(value)
            attempt.true_units = reply.true_units
            attempt.end(reply.outcome, reply.value)

    def _next_reply(self) -> Value | Literal[Incomplete.INCOMPLETE]:
        """Forward received bytes of a long answer; return the reply once it is complete, else INCOMPLETE."""
        while not self.closed:
            if self._answer is not None and self._parser.streamed_remaining_bytes > 0:
                if not self._forward(self._answer):
                    break
                continue
            value = self._parser.next_value()
            if not isinstance(value, StreamedStringStarted):
                return value
            self._begin_streaming(value)
        return INCOMPLETE

    def _forward(self, answer: StreamedResponse) -> bool:
        """Forward one piece of a long answer; return whether to continue."""
        piece = self._parser.read_streamed(MAX_READ_BYTES)
        if not piece:
            return False
        self._last_progress_ms = now_ms()
        answer.feed(piece)
        if answer.full:
            self._pause_reading()
            return False
        return True

    def _begin_streaming(self, started: StreamedStringStarted) -> None:
        """Begin to forward a long answer, or end the attempt if its request needs no answer any more."""
        attempt = self.attempt
        is_first_item = not started.items and self._answer is None
        if attempt is None or not is_first_item or self._request_state is not RequestState.SENT:
            raise ProtocolError("long value that is not the first item of an expected reply")
        self._last_progress_ms = now_ms()
        self._answer = attempt.on_streamed_answer(attempt, started.length_bytes)
        if self._answer is None:
            self.end(Outcome.CANCELLED)
        else:
            self._answer.on_capacity = self._resume_reading

    def _pause_reading(self) -> None:
        if not self._reading_paused and not self.closed:
            self._reading_paused = True
            self.pool.loop.remove_reader(self.fd)

    def _resume_reading(self) -> None:
        if not self._reading_paused or self.closed:
            return
        self._reading_paused = False
        self._last_progress_ms = now_ms()
        try:
            self.pool.loop.add_reader(self.fd, self._on_readable)
        except OSError:
            self.end(self.outcome_if_broken())  # the rest could never be read
            return
        self.pool.loop.call_soon(self._process_buffered)

    def _process_buffered(self) -> None:
        if not self.closed and not self._reading_paused and self._answer is not None:
            self._process_received()

    # ---- ending ----

    def is_stalled(self, now: float) -> bool:
        """Whether the backend has neither read nor sent bytes of a long value for `STALL_TIMEOUT_MS`."""
        receiving = self._answer is not None and not self._reading_paused
        transfer_pending = bool(self._unsent) or receiving
        return (
            self._last_progress_ms > 0
            and transfer_pending
            and now - self._last_progress_ms > STALL_TIMEOUT_MS
        )

    def has_waited_for_memory(self, now: float) -> bool:
        """Whether the rest of a long value has waited for memory of the gateway for `STALL_TIMEOUT_MS`."""
        waiting = self._answer is not None and self._answer.forwarding is Forwarding.WAITING
        return waiting and now - self._last_progress_ms > STALL_TIMEOUT_MS

    def outcome_if_broken(self) -> Outcome:
        """Return the outcome if the connection breaks now.

        A request whose last byte has not been sent can't have run (CONNECT_FAILED), any other may (RESET).
        """
        may_have_run = (
            self.state is not ConnectionState.CONNECTING and self._request_state is RequestState.SENT
        )
        return Outcome.RESET if may_have_run else Outcome.CONNECT_FAILED

    def end(self, outcome: Outcome) -> None:
        """Close the connection and end its attempt, in this order, so that two attempts never overlap."""
        attempt = self.attempt
        self.attempt = None
        if attempt is not None and outcome is Outcome.RESET and self._answer is None:
            self._record_use(reset=now_ms() - self.sent_at_ms < IMMEDIATE_RESET_MS)
        self.close()
        if attempt is not None:
            attempt.end(outcome)

    def close(self) -> None:
        """Close the socket and leave the endpoint and the pool, without ending the attempt."""
        if self.closed:
            return
        self.state = ConnectionState.CLOSED
        self._answer = None
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        self.pool.loop.remove_reader(self.fd)
        self.pool.loop.remove_writer(self.fd)
        drop_unacknowledged(self.socket)  # the rest of a request that is given up must not arrive and run
        close_socket(self.socket)
        self.endpoint.connecting.discard(self)
        self.endpoint.settling.discard(self)
        self.pool.on_closed(self)

    def is_alive(self) -> bool:
        """Whether an idle connection is open and has no unread data, as far as the local system knows."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False  # the backend has closed the connection, or sent data that was not requested

    def _record_use(self, reset: bool) -> None:
        if self._idle_before_ms:
            self.pool.idle_times.record_use(self._idle_before_ms, reset)
