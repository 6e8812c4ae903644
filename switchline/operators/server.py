"""The server of the operators' address: HTTP/1.1, with one call for each connection."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from functools import partial
from typing import cast

import h11

from switchline.config import Address
from switchline.net.accept import Acceptor
from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.net.listen import ListenError, listen, listen_with_retries
from switchline.net.transport_state import TransportState
from switchline.operators.calls import DeferredReply, OperatorCalls, Reply

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 4096  # the head of a call has a few hundred bytes
MAX_BODY_BYTES = 4096
# As many descriptors are reserved. Beyond this number, the oldest connection is aborted.
MAX_CONNECTIONS = 16
CALL_TIMEOUT_S = 2.0  # in which a call must arrive completely
REPLY_TIMEOUT_S = 2.0  # in which its caller must read the reply and close
DELIVERY_POLL_INTERVAL_S = 0.05
BACKLOG = 64


class OperatorConnection(asyncio.Protocol):
    """A connection that receives one call, sends its reply and closes."""

    def __init__(self, server: OperatorServer) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body = b""
        self.timer: asyncio.TimerHandle | None = None  # of the call, then of the delivery of its reply
        self.half_closed_at_s = 0.0  # time of the event loop; 0 until the reply is written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the call; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are not a subclass
        self._set_timer(CALL_TIMEOUT_S, partial(self.reply, Reply(408, "too slow\n")))
        self.server.on_open(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Release the connection's descriptor; called by the event loop."""
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and carry out the call once it is complete; called by the event loop."""
        if self.http.our_state is not h11.IDLE and self.http.our_state is not h11.SEND_RESPONSE:
            return  # the reply has been sent
        try:
            self.http.receive_data(data)
            while self._handle(self.http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.reply(Reply(error.error_status_hint, "not a proper call\n"))

    def eof_received(self) -> None:
        """Close the connection, as its caller has done; called by the event loop."""
        self.close()

    def _handle(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> bool:
        """Handle an event of the HTTP parser; return whether a further one may be ready."""
        if isinstance(event, h11.Request):
            self.request = event
            if self.http.they_are_waiting_for_100_continue:
                self._write(h11.InformationalResponse(status_code=100, headers=[]))
            return True
        if isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) <= MAX_BODY_BYTES:
                return True
            self.reply(Reply(413, "too much\n"))
        elif isinstance(event, h11.EndOfMessage):
            self._carry_out()
        return False

    def _carry_out(self) -> None:
        assert self.request is not None
        path = self.request.target.decode("ascii", "replace").partition("?")[0]
        method = self.request.method.decode("ascii", "replace")
        reply = self.server.calls.answer(method, path, self.body)
        if isinstance(reply, Reply):
            self.reply(reply, self.server.calls.allowed_method(path))
        else:
            self.server.reply_later(self, reply)

    def reply(self, reply: Reply, allowed_method: str = "") -> None:
        """Send the reply and close the connection; `allowed_method` is the `Allow` header of a 405."""
        body = reply.text.encode()
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        headers.append(("Connection", "close"))
        if reply.status == 405:
            headers.append(("Allow", allowed_method))
        try:
            self._write(h11.Response(status_code=reply.status, headers=headers))
            if self.request is None or self.request.method != b"HEAD":
                self._write(h11.Data(data=body))
        except h11.LocalProtocolError as error:
            log.info("reply to an operator's call not sent: error=%s", error)
        self._half_close()

    def _half_close(self) -> None:
        """End the reply, and close the connection once its caller has closed it or has received everything.

        A close over bytes that are unread, or arrive later, would reset the connection and lose the reply.
        """
        if self.transport is None or self.transport.is_closing() or self.half_closed_at_s:
            return
        loop = asyncio.get_running_loop()
        self.half_closed_at_s = loop.time()
        self.transport.write_eof()
        self._set_timer(DELIVERY_POLL_INTERVAL_S, self._close_if_delivered)

    def _close_if_delivered(self) -> None:
        if self.transport is None:
            return
        lingered_s = asyncio.get_running_loop().time() - self.half_closed_at_s
        if TransportState(self.transport).undelivered_bytes and lingered_s < REPLY_TIMEOUT_S:
            self._set_timer(DELIVERY_POLL_INTERVAL_S, self._close_if_delivered)
        else:
            self.close()

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(delay_s, callback)

    def _write(self, event: h11.Event) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.http.send(event) or b"")

    def close(self) -> None:
        """Close the connection once what was written to it has been sent."""
        if self.transport is not None:
            self.transport.close()


class OperatorServer:
    """Accepts operators' connections, and limits how many of them stalled callers can keep open.

    Args:
        calls: the calls that the address offers.
        budget: budget of the descriptors that connections use.
    """

    def __init__(self, calls: OperatorCalls, budget: Budget) -> None:
        self.calls = calls
        self.budget = budget
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
        self.acceptor: Acceptor | None = None
        self.listen_task: asyncio.Task[None] | None = None  # retries while the address is in use
        self.reply_tasks: set[asyncio.Task[None]] = set()  # one for each call with a deferred reply

    def reply_later(self, connection: OperatorConnection, deferred: DeferredReply) -> None:
        """Send a reply once it is ready; the call is carried out even if its caller disconnects."""

        async def wait_and_reply() -> None:
            connection.reply(await deferred)

        task = asyncio.get_running_loop().create_task(wait_and_reply())
        self.reply_tasks.add(task)
        task.add_done_callback(self.reply_tasks.discard)

    def listen_soon(self, address: Address) -> None:
        """Start to accept calls; if the address is not available yet, retry in the background."""
        try:
            self.listen(listen(address, BACKLOG))
        except OSError as error:
            log.warning("the operators' address is not available yet, retrying: error=%s", error)
            self.listen_task = asyncio.get_running_loop().create_task(self._retry_listening(address))

    async def _retry_listening(self, address: Address) -> None:
        try:
            self.listen(await listen_with_retries(address, BACKLOG, math.inf))
        except ListenError as error:
            log.error("the operators' address is not available: error=%s", error)  # noqa: TRY400 - no traceback needed

    def listen(self, listening_socket: socket.socket) -> int:
        """Start to accept on a listening socket; return its port."""
        self.budget.open_reserve()
        self.acceptor = Acceptor(
            listening_socket, lambda: OperatorConnection(self), self.budget, may_use_reserve=True
        )
        return self.acceptor.port

    def on_open(self, connection: OperatorConnection) -> None:
        """Count the descriptor of a new connection, and abort the oldest if there are too many."""
        self.budget.acquire(DescriptorOwner.OPERATORS)
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def on_closed(self, connection: OperatorConnection) -> None:
        """Release the descriptor of a connection that has ended."""
        self.budget.release(DescriptorOwner.OPERATORS)
        self.connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self.listen_task is not None:
            self.listen_task.cancel()
        if self.acceptor is not None:
            self.acceptor.close()
        for connection in list(self.connections):
            connection.close()
