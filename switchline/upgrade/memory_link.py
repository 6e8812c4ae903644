"""The connections on which processes of a gateway ask each other for memory and grant it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from pathlib import Path
from typing import cast

from switchline.net.listen import close_socket
from switchline.net.process_memory import anonymous_bytes, peer_process
from switchline.upgrade.connection import listen_at
from switchline.upgrade.memory_messages import (
    MAX_LINE_BYTES,
    PENDING_LINE,
    REQUEST_LINE,
    MemoryMessageError,
    decode_grant,
    encode_grant,
)

log = logging.getLogger(__name__)

END_POLL_INTERVAL_S = 0.02
END_TIMEOUT_S = 5.0  # then the number of the process may be that of another one


class MemoryConnection(asyncio.Protocol):
    """One connection between an older process, which grants memory, and a newer one, which asks for it.

    Args:
        on_line: Called for each line; a MemoryMessageError that it raises closes the connection.
        on_lost: Called with this connection once it has ended, whichever side closed it.
    """

    def __init__(
        self,
        on_line: Callable[[MemoryConnection, bytes], None],
        on_lost: Callable[[MemoryConnection], None],
    ) -> None:
        self.on_line = on_line
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.peer_pid: int | None = None  # of the other process; None if the system can't tell
        self.incomplete_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the event of asyncio."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        with contextlib.suppress(OSError):
            self.peer_pid = peer_process(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Handle the event of asyncio."""
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\n")
        try:
            for line in lines:
                self.on_line(self, line)
            if len(self.incomplete_line) > MAX_LINE_BYTES:
                raise MemoryMessageError("a line is too long")
        except MemoryMessageError as error:
            log.warning("the peer process sent an invalid message about memory: %s", error)
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the event of asyncio."""
        self.transport = None
        self.on_lost(self)

    def acknowledge(self) -> None:
        """Tell the newer process that its request has arrived."""
        if self.transport is not None:
            self.transport.write(PENDING_LINE)

    def grant(self, granted_bytes: int) -> None:
        """Send how much memory the newer process may take in all."""
        if self.transport is not None:
            self.transport.write(encode_grant(granted_bytes))

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()


async def wait_until_freed(pid: int | None) -> None:
    """Wait until a process has no memory any more: its connections may end some time before that.

    Args:
        pid: Of the process; None if it is not known.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + END_TIMEOUT_S
    while pid is not None and anonymous_bytes(pid) and loop.time() < until_s:
        await asyncio.sleep(END_POLL_INTERVAL_S)


class GrantReceiver:
    """Receives further grants of the older process, on the connection of the first one.

    Args:
        on_grant: Called with the bytes that this process may take in all.
        on_ended: Called once the older process has ended and its memory is free.
    """

    def __init__(self, on_grant: Callable[[int], None], on_ended: Callable[[], None]) -> None:
        self.on_grant = on_grant
        self.on_ended = on_ended
        self._ending: asyncio.Task[None] | None = None

    async def receive_on(self, connection: socket.socket) -> None:
        """Receive on a connected socket, which this object owns from now on."""
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_unix_connection(
                lambda: MemoryConnection(self._on_line, self._on_lost), sock=connection
            )
        except OSError as error:
            log.warning("no further memory from the older process: %s", error)
            close_socket(connection)

    def _on_line(self, _: MemoryConnection, line: bytes) -> None:
        self.on_grant(decode_grant(line))

    def _on_lost(self, connection: MemoryConnection) -> None:
        self._ending = asyncio.get_running_loop().create_task(self._end(connection.peer_pid))

    async def _end(self, pid: int | None) -> None:
        await wait_until_freed(pid)
        self.on_ended()


class GrantServer:
    """Listens for a newer process that asks for memory; one at a time is served, in the order of asking.

    Args:
        path: Of the socket, the same for all processes of one gateway.
        on_asked: Called once a process has asked and is served.
        on_left: Called once the process that is served has ended and its memory is free.
    """

    def __init__(self, path: Path, on_asked: Callable[[], None], on_left: Callable[[], None]) -> None:
        self.path = path
        self.on_asked = on_asked
        self.on_left = on_left
        self.waiting: list[MemoryConnection] = []  # that have asked; the first one is served
        self._server: asyncio.Server | None = None
        self._ending: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Listen in place of another process; after a failure, which is logged, nobody can ask."""
        self.close()
        try:
            self._server = await listen_at(self.path, lambda: MemoryConnection(self._on_line, self._on_lost))
        except OSError as error:
            log.warning("can't listen for a next process that needs memory: %s", error)

    def _on_line(self, connection: MemoryConnection, line: bytes) -> None:
        if line + b"\n" != REQUEST_LINE:
            raise MemoryMessageError(f"not a request for memory: {line[:MAX_LINE_BYTES]!r}")
        if connection not in self.waiting:
            connection.acknowledge()
            self.waiting.append(connection)
            if self.waiting[0] is connection:
                self.on_asked()

    def _on_lost(self, connection: MemoryConnection) -> None:
        if connection in self.waiting:
            task = asyncio.get_running_loop().create_task(self._end(connection))
            self._ending.add(task)
            task.add_done_callback(self._ending.discard)

    async def _end(self, connection: MemoryConnection) -> None:
        await wait_until_freed(connection.peer_pid)
        was_served = self.waiting[0] is connection
        self.waiting.remove(connection)
        if was_served:
            self.on_left()
            if self.waiting:
                self.on_asked()

    def grant(self, granted_bytes: int) -> None:
        """Grant memory to the process that is served."""
        if self.waiting:
            self.waiting[0].grant(granted_bytes)

    def hand_over(self) -> None:
        """Send processes that wait their turn to the one that takes over: they ask there."""
        for connection in self.waiting[1:]:
            connection.close()

    def close(self) -> None:
        """Stop listening. Connections stay open until the process ends, as its memory is used until then."""
        if self._server is not None:
            self._server.close()
