"""One connection between the two processes of an upgrade, and the listening on its socket."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import cast

from switchline.net.listen import close_socket
from switchline.upgrade.messages import MAX_LINE_BYTES, Message, MessageError, decode, encode

log = logging.getLogger(__name__)


class HandoverConnection(asyncio.Protocol):
    """Sends and receives messages; closes itself when the peer sends an invalid message.

    Args:
        on_open: called with this connection once it is established.
        on_message: called for each message; a ValueError that it raises closes the connection.
        on_lost: called with this connection once it has ended, whichever side closed it.
    """

    def __init__(
        self,
        on_open: Callable[[HandoverConnection], None],
        on_message: Callable[[Message], None],
        on_lost: Callable[[HandoverConnection], None],
    ) -> None:
        self.on_open = on_open
        self.on_message = on_message
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.incomplete_line = b""
        self.unsent: list[Message] = []  # written at the end of this turn of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the event of asyncio."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Handle the event of asyncio."""
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\n")
        try:
            for line in lines:
                self.on_message(decode(line))
            if len(self.incomplete_line) > MAX_LINE_BYTES:
                raise MessageError("a line is too long")
        except (ValueError, RecursionError) as error:
            log.warning("the peer process of the upgrade sent an invalid message: %s", error)
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the event of asyncio."""
        self.transport = None
        self.on_lost(self)

    def send(self, message: Message) -> None:
        """Send a message at the end of this turn of the event loop, together with the others of the turn."""
        if not self.unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self.unsent.append(message)

    def _flush(self) -> None:
        lines = b"".join(encode(message) for message in self.unsent)
        self.unsent.clear()
        if self.transport is not None:
            self.transport.write(lines)

    def close(self) -> None:
        """Close the connection after the written data has been sent."""
        if self.transport is not None:
            self.transport.close()


async def listen_at(path: Path, make_protocol: Callable[[], asyncio.Protocol]) -> asyncio.Server:
    """Listen on a Unix socket, in place of another process that has listened there; raises OSError."""
    server_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with short_socket_path(path) as address:
            path.unlink(missing_ok=True)
            server_socket.bind(address)
        return await asyncio.get_running_loop().create_unix_server(make_protocol, sock=server_socket)
    except OSError:
        close_socket(server_socket)
        raise


@contextmanager
def short_socket_path(path: Path) -> Iterator[str]:
    """Yield a short path for a socket: the system's limit is 107 bytes, and `$TMPDIR` may be longer.

    Raises:
        FileNotFoundError: the folder of the socket does not exist.
        OSError: the folder can't be opened.
    """
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)
