"""A client whose system takes few bytes, so that its answers stay in the gateway's system until it reads."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from testbed.network.sockets import LOCAL, encode

RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 1400  # as over an Ethernet; loopback's segments hold 64 KiB


class SlowReader:
    """A client with a small receive buffer, which reads only in `read`."""

    def __init__(self, receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.setblocking(False)
        self.received = b""

    async def connect(self, port: int) -> None:
        await asyncio.get_running_loop().sock_connect(self.socket, (LOCAL, port))

    async def send(self, *commands: tuple[bytes, ...]) -> None:
        data = b"".join(encode(*command) for command in commands)
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read(self, size: int = -1) -> bytes:
        """Read `size` bytes, or up to the end of the stream or a reset; return all that was ever read."""
        loop = asyncio.get_running_loop()
        missing = size
        with contextlib.suppress(ConnectionError):
            while missing and (data := await loop.sock_recv(self.socket, 65536 if size < 0 else missing)):
                self.received += data
                missing -= len(data) if size > 0 else 0
        return self.received

    def close(self) -> None:
        self.socket.close()
