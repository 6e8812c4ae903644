"""Peers that send commands of one kind at full speed, as a program of its own.

Usage: python tests/support/flood.py PORT KIND CONNECTIONS SECONDS
"""

from __future__ import annotations

import contextlib
import itertools
import select
import socket
import sys
import time
from collections.abc import Callable, Iterator

BLOCK_COMMANDS = 500  # commands that are encoded at once
READ_BYTES = 1 << 20
ATTRIBUTES = b"c=view,t=free,d=2000,units=1,spread=1,first=0"


def encode(*arguments: bytes) -> bytes:
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in arguments)


def read_command(number: int, attributes: bytes, customer: bytes = b"00000000b4d65521") -> bytes:
    return encode(b"API.READ", customer, b"f%015x" % number, attributes)


def fields(count: int, suffix: bytes = b"") -> bytes:
    """Return a sound list of attributes that holds `count` short fields that nobody asked for."""
    return ATTRIBUTES + b"".join(b",%x=" % number for number in range(16, 16 + count)) + suffix


KINDS: dict[str, Callable[[int], bytes]] = {
    "ping": lambda number: encode(b"PING"),
    "unknown verbs": lambda number: encode(b"V%d" % number),
    "unsound attributes": lambda number: read_command(number, b"c=view,t"),
    "unsound customers": lambda number: read_command(number, ATTRIBUTES, b"%x" % number),
    "thousands of fields": lambda number: read_command(number, fields(8_000)),
    "thousands of unsound fields": lambda number: read_command(number, fields(8_000, b",c=view")),
    "ever new names": lambda number: read_command(number, ATTRIBUTES, b"%016x" % (number % 2**32)),
    "too many items": lambda number: b"*1000000\r\n",
    "long values": lambda number: b"*2\r\n$4\r\nECHO\r\n$62914560\r\n",
}


class Flooder:
    """One connection that sends as fast as it can and discards the answers; it connects again once closed."""

    def __init__(self, port: int, commands: Iterator[bytes]) -> None:
        self.port = port
        self.commands = commands
        self.unsent = memoryview(b"")
        self.socket = socket.socket()
        self.connect()

    def connect(self) -> None:
        self.socket.close()
        self.socket = socket.create_connection(("127.0.0.1", self.port))
        self.socket.setblocking(False)
        self.unsent = memoryview(b"")

    def transfer(self) -> None:
        """Read what has come, and send what the system takes."""
        try:
            with contextlib.suppress(BlockingIOError):
                if not self.socket.recv(READ_BYTES):
                    self.connect()
            with contextlib.suppress(BlockingIOError):
                if not self.unsent:
                    self.unsent = memoryview(b"".join(itertools.islice(self.commands, BLOCK_COMMANDS)))
                self.unsent = self.unsent[self.socket.send(self.unsent) :]
        except ConnectionError:
            with contextlib.suppress(ConnectionError):
                self.connect()


def main(port: int, kind: str, connections: int, seconds: float) -> None:
    """Send commands of a kind on some connections for a time."""
    # Ids of several floods must differ, as must those of the connections of one.
    numbers = itertools.count(time.time_ns() // 1000 % 2**40)
    commands = map(KINDS[kind], numbers)
    flooders = [Flooder(port, commands) for _ in range(connections)]
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        by_socket = {flooder.socket: flooder for flooder in flooders}
        readable, writable, _ = select.select(by_socket, by_socket, [], 0.05)
        for ready in {*readable, *writable}:
            by_socket[ready].transfer()


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
