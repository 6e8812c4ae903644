"""A backend that sends its answer in pieces and may break it off."""

from __future__ import annotations

import asyncio

from testbed.network.sockets import Peer
from testbed.stand_ins.backends import Backend


class PiecewiseBackend(Backend):
    """Sends its answer in pieces: the first at once, each other one after a release of `next_piece`.

    Args:
        reply: The complete answer.
        cuts: The offsets in the answer at which the pieces after the first begin.
        breaks_off: Whether the connection is closed after the last piece.
    """

    def __init__(self, reply: bytes, cuts: list[int], breaks_off: bool = False) -> None:
        super().__init__()
        self.pieces = [reply[start:end] for start, end in zip([0, *cuts], [*cuts, len(reply)], strict=True)]
        self.breaks_off, self.next_piece = breaks_off, asyncio.Semaphore(0)

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
