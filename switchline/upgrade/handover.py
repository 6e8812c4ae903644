"""The line to another process of the same gateway, while one takes over from the other."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from switchline.net.listen import close_socket

log = logging.getLogger(__name__)

ASK_S = 1.0  # for the old process to tell all it knows; without that, this one starts as any other
LONGEST_LINE = 64 * 1024  # bytes; the longest tells of one customer or backend
TOLD, SERVING, HOLDS = "told", "serving", "holds"  # all is told; clients are taken; descriptors held

Hear = Callable[[list[Any]], None]


class Line(asyncio.Protocol):
    """JSON lines, both ways."""

    def __init__(self, opened: Callable[[Line], None], heard: Hear, lost: Callable[[Line], None]) -> None:
        self.opened, self.heard, self.lost = opened, heard, lost
        self.transport: asyncio.Transport | None = None
        self.rest = b""
        self.waiting: list[list[Any]] = []  # to be written at the end of this turn of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.opened(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        try:
            for line in lines:
                said = json.loads(line)
                if not isinstance(said, list) or not said:
                    raise ValueError("not a list")
                self.heard(said)
            if len(self.rest) > LONGEST_LINE:
                raise ValueError("an endless line")
        except (ValueError, RecursionError) as error:
            log.warning("the process beside this one can't be understood: %s", error)
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.lost(self)

    def tell(self, said: list[Any]) -> None:
        if not self.waiting:
            asyncio.get_running_loop().call_soon(self._flush)
        self.waiting.append(said)

    def _flush(self) -> None:
        lines = b"".join(json.dumps(said, separators=(",", ":")).encode() + b"\n" for said in self.waiting)
        self.waiting.clear()
        if self.transport is not None:
            self.transport.write(lines)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class UpgradeHandover:
    """Owns the line; tells who serves and hands on what the module says to the other process."""

    def __init__(
        self,
        path: Path,
        came: Callable[[], None],
        heard: Hear,
        handed: Callable[[], None],
        left: Callable[[], None],
        holds: Callable[[int], None],
    ) -> None:
        self.path = path
        self.came, self.hear = came, heard  # a new process asks for all; the module is told something
        self.handed, self.left = handed, left  # the new process takes clients; the other one is gone
        self.holds = holds  # how many descriptors the old one holds
        self.line: Line | None = None
        self.told = asyncio.Event()
        self.listener: asyncio.Server | None = None

    def tell(self, said: list[Any]) -> None:
        if self.line is not None:
            self.line.tell(said)

    async def take_over(self) -> None:
        """Learn what an older process of this gateway knows, if there is one."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ASK_S):
                with opened_directory(self.path) as place:
                    line = Line(self._opened, self._heard, self._lost)
                    await loop.create_unix_connection(lambda: line, place)
                await self.told.wait()
            log.info("this process takes over from another")
        except FileNotFoundError:
            pass  # the first of its name
        except OSError as error:  # time-outs are among these
            log.info("nothing is taken over: %s", " ".join(str(error).split()) or type(error).__name__)
            if self.line is not None:
                self.line.close()

    async def listen(self) -> None:
        """Be found by the next process."""
        try:
            await self._listen()
        except OSError as error:
            log.warning("the next process will not find this one: %s", error)

    async def _listen(self) -> None:
        made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with opened_directory(self.path) as place:
                self.path.unlink(missing_ok=True)
                made.bind(place)
            self.listener = await asyncio.get_running_loop().create_unix_server(
                lambda: Line(self._asked, self._heard, self._lost), sock=made
            )
        except OSError:
            close_socket(made)
            raise

    def serving(self) -> None:
        self.tell([SERVING])

    def _opened(self, line: Line) -> None:
        self.line = line

    def _asked(self, line: Line) -> None:
        if self.line is not None:
            return line.close()  # one at a time
        log.info("another process asks to take over")
        self.line = line
        self.came()
        line.tell([TOLD])

    def _heard(self, said: list[Any]) -> None:
        if said[0] == TOLD:
            self.told.set()
        elif said[0] == SERVING:
            self.handed()
        elif said[0] == HOLDS and len(said) > 1 and isinstance(said[1], int):
            self.holds(said[1])
        else:
            self.hear(said)

    def _lost(self, line: Line) -> None:
        if line is self.line:
            self.line = None
            self.left()

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        if self.line is not None:
            self.line.close()


class opened_directory:
    """A short name for a socket's path, which may hold 107 bytes at most whatever `$TMPDIR` is."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def __enter__(self) -> str:
        self.fd = os.open(self.path.parent, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.fd}/{self.path.name}"

    def __exit__(self, *_: object) -> None:
        os.close(self.fd)
