"""The address that operators call: HTTP/1.1, one call a connection. Each call is handed to one function."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import socket
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, cast

import h11

from switchline.config import Address
from switchline.net.accept import Acceptor
from switchline.net.descriptors import Budget, Part
from switchline.net.listen import ListenError, listen, listen_with_retries

log = logging.getLogger(__name__)

MOST_HEAD, MOST_BODY = 4096, 4096  # bytes; a call takes a few hundred
MOST_CONNECTIONS = 16  # descriptors set aside; beyond, the one that has stalled longest gives way
CALL_S = 2.0  # for a call to come whole
BACKLOG = 64
BODY = 'the body is {"id":"ID"}, for the whole fleet {"id":"ID","fleet":true}\n'


class Said(NamedTuple):
    """The answer to a call."""

    status: int
    text: str


Later = Coroutine[Any, Any, Said]  # an answer that waits for something, within the time of a call
Call = Callable[[], Said]
IdCall = Callable[[str, bool], Said | Later]  # what is named, and whether the call is for the whole fleet


class Calls(NamedTuple):
    """What the address offers: calls without a body, and calls that name a backend, by path."""

    gets: dict[str, Call]
    posts: dict[str, Call]
    id_posts: dict[str, IdCall]

    def answer(self, method: str, path: str, body: bytes) -> Said | Later:
        allowed = self.allow(path)
        if path not in self.gets and path not in self.posts and path not in self.id_posts:
            return Said(404, "no such path\n")
        if method != allowed:
            return Said(405, f"the method is {allowed}\n")
        if path in self.id_posts:
            named = read_id(body)
            return self.id_posts[path](*named) if named else Said(400, BODY)
        return (self.gets.get(path) or self.posts[path])()

    def allow(self, path: str) -> str:
        return "GET" if path in self.gets else "POST"


def read_id(body: bytes) -> tuple[str, bool] | None:
    try:
        given: Any = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(given, dict):
        return None
    named, fleet = given.get("id"), given.get("fleet", False)
    return (named, fleet) if isinstance(named, str) and named and isinstance(fleet, bool) else None


class OperatorConnection(asyncio.Protocol):
    """One call: its head, its body, its answer, and then the close."""

    def __init__(self, server: OperatorServer) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body = b""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.timer = asyncio.get_running_loop().call_later(CALL_S, self.reply, Said(408, "too slow\n"))
        self.server.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.closed(self)

    def data_received(self, data: bytes) -> None:
        if self.http.our_state is not h11.IDLE and self.http.our_state is not h11.SEND_RESPONSE:
            return  # the call has its answer
        try:
            self.http.receive_data(data)
            while self._take(self.http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.reply(Said(error.error_status_hint, "not a proper call\n"))

    def eof_received(self) -> None:
        self.close()

    def _take(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> bool:
        """Whether there may be more to take."""
        if isinstance(event, h11.Request):
            self.request = event
            if self.http.they_are_waiting_for_100_continue:
                self._write(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MOST_BODY:
                self.reply(Said(413, "too much\n"))
                return False
        elif isinstance(event, h11.EndOfMessage):
            assert self.request is not None
            path = self.request.target.decode("ascii", "replace").partition("?")[0]
            method = self.request.method.decode("ascii", "replace")
            said = self.server.calls.answer(method, path, self.body)
            if isinstance(said, Said):
                self.reply(said, self.server.calls.allow(path))
            else:
                self.server.answer_later(self, said)
            return False
        else:
            return False
        return True

    def reply(self, said: Said, allow: str = "") -> None:
        """Give the answer, a yes or a no, and close."""
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(said.text.encode())))]
        headers.append(("Connection", "close"))
        if said.status == 405:
            headers.append(("Allow", allow))
        try:
            self._write(h11.Response(status_code=said.status, headers=headers))
            if self.request is None or self.request.method != b"HEAD":
                self._write(h11.Data(data=said.text.encode()))
        except h11.LocalProtocolError as error:
            log.info("an operator's call could not be answered: %s", error)
        self.close()

    def _write(self, event: h11.Event) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.http.send(event) or b"")

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class OperatorServer:
    """Listens for operators, and bounds what stalled callers hold."""

    def __init__(self, calls: Calls, budget: Budget) -> None:
        self.calls, self.budget = calls, budget
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
        self.acceptor: Acceptor | None = None
        self.later: asyncio.Task[None] | None = None  # until the address can be had
        self.answering: set[asyncio.Task[None]] = set()  # calls whose answers are waited for

    def answer_later(self, connection: OperatorConnection, said: Later) -> None:
        """The call is carried out whether or not its caller stays."""

        async def answer() -> None:
            connection.reply(await said)

        task = asyncio.get_running_loop().create_task(answer())
        self.answering.add(task)
        task.add_done_callback(self.answering.discard)

    def listen_soon(self, address: Address) -> None:
        """Start to accept, at once where the machine lets it, else while the gateway serves already."""
        try:
            self.listen(listen(address, BACKLOG))
        except OSError as error:
            log.warning("operators can't call yet: %s", error)
            self.later = asyncio.get_running_loop().create_task(self._listen_later(address))

    async def _listen_later(self, address: Address) -> None:
        try:
            self.listen(await listen_with_retries(address, BACKLOG, math.inf))
        except ListenError as error:
            log.error("operators can't call: %s", error)

    def listen(self, made: socket.socket) -> int:
        """Start to accept on a listening socket; gives the port."""
        self.budget.keep_reserve()
        self.acceptor = Acceptor(made, lambda: OperatorConnection(self), self.budget, may_use_reserve=True)
        return self.acceptor.port

    def opened(self, connection: OperatorConnection) -> None:
        self.budget.acquire(Part.OPERATORS)
        self.connections[connection] = None
        if len(self.connections) > MOST_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def closed(self, connection: OperatorConnection) -> None:
        self.budget.release(Part.OPERATORS)
        self.connections.pop(connection, None)

    def close(self) -> None:
        if self.later is not None:
            self.later.cancel()
        if self.acceptor is not None:
            self.acceptor.close()
        for connection in list(self.connections):
            connection.close()
