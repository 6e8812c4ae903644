"""Exchanges of the complete state between two gateways over TCP, with one frame in each direction.

On the connection the length of the frame (`LENGTH_BYTES` bytes, big-endian) comes before the frame.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from switchline.clock import now_ms
from switchline.config import Address
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.messages import MAX_EXCHANGE_BYTES

EXCHANGE_TIMEOUT_S = 2.0  # limits one exchange, including the opening of its connection
MAX_INCOMING = 4
MAX_OUTGOING = 2
LISTEN_BACKLOG = 16
LENGTH_BYTES = 4


class ExchangeError(Exception):
    """The other side of an exchange violated the protocol."""


class ExchangePeer:
    """Owns the TCP listening socket for exchanges, and the exchanges in flight."""

    def __init__(self, node: ProtocolEndpoint, listen: Address, on_merged: Callable[[], None]) -> None:
        """`on_merged` is called after each exchange whose state was merged into `node`."""
        self.loop = asyncio.get_running_loop()
        self.node = node
        self.address = listen
        self.on_merged = on_merged
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._incoming = 0
        self._outgoing = 0

    async def listen(self) -> None:
        """Accept exchanges; raises OSError if the address is not available."""
        host, port = self.address
        self._server = await asyncio.start_server(self._serve, host, port, backlog=LISTEN_BACKLOG)

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Close the listening socket, and cancel the exchanges that this gateway began."""
        for task in self._tasks:
            task.cancel()
        self.stop_listening()

    def begin(self, address: Address) -> None:
        """Begin an exchange with another gateway, unless `MAX_OUTGOING` are in flight."""
        if self._outgoing >= MAX_OUTGOING:
            return
        self._outgoing += 1
        task = self.loop.create_task(self._exchange(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, address: Address) -> None:
        writer = None
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address, local_addr=(self.address[0], 0))
                _write_frame(writer, self.node.exchange_frame(False))
                frame = await _read_frame(reader)
            if self.node.receive_exchange(self.loop.time(), now_ms(), frame, True):
                self.on_merged()
        except (OSError, ValueError, EOFError, ExchangeError):
            self.node.count_refused("exchange")
        finally:
            self._outgoing -= 1
            if writer is not None:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._incoming >= MAX_INCOMING:
            writer.close()
            return
        self._incoming += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                frame = await _read_frame(reader)
                if self.node.receive_exchange(self.loop.time(), now_ms(), frame, False):
                    _write_frame(writer, self.node.exchange_frame(True))
                    await writer.drain()
                    self.on_merged()
        except (OSError, ValueError, EOFError, ExchangeError):
            self.node.count_refused("exchange")
        finally:
            self._incoming -= 1
            writer.close()


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > MAX_EXCHANGE_BYTES:
        raise ExchangeError("the frame is longer than MAX_EXCHANGE_BYTES")
    return await reader.readexactly(length)


def _write_frame(writer: asyncio.StreamWriter, frame: bytes) -> None:
    writer.write(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
