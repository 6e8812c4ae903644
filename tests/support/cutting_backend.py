"""A backend that cuts streamed values short."""

from __future__ import annotations

import asyncio

from testbed.network.sockets import Peer
from testbed.stand_ins.backends import Backend


class PiecewiseBackend(Backend):
    """Gives its answer in pieces, each when it is told to go on, and then perhaps breaks."""

    def __init__(self, reply: bytes, cuts: list[int], breaks_off: bool = False) -> None:
        super().__init__()
        self.pieces = [reply[a:b] for a, b in zip([0, *cuts], [*cuts, len(reply)], strict=True)]
        self.breaks_off, self.next_piece = breaks_off, asyncio.Semaphore(0)

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.got.append(command)
            for number, piece in enumerate(self.pieces):
                if number:
                    await self.next_piece.acquire()
                writer.write(piece)
                await writer.drain()
            if self.breaks_off:
                return
