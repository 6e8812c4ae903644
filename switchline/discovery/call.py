"""One HTTP call to discovery: a watch of changes, or the complete list."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Any

import h11

from switchline.config import Address
from switchline.discovery.endpoint_list import DiscoveryError
from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.net.json_stream import JsonStream

PATH = "/catalog/members"
HTTP_OK = 200
MAX_OBJECT_BYTES = 1024 * 1024  # a list of thousands of backends, yet little beside any memory limit
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Opened:
    """The head of the answer has arrived."""


@dataclass(frozen=True, slots=True)
class Received:
    """Bytes of the answer have arrived.

    Attributes:
        lists: lists and changes that are complete with them.
        unfinished: part of another one has arrived.
    """

    lists: list[Any]
    unfinished: bool

    @property
    def has_content(self) -> bool:
        """Whether discovery has said something: a list, or an empty line."""
        return bool(self.lists) or not self.unfinished

    @property
    def is_heartbeat(self) -> bool:
        """Whether it is an empty line: nothing has changed."""
        return not self.lists and not self.unfinished


@dataclass(frozen=True, slots=True)
class Ended:
    """The answer has ended, with the lists that only its end completes."""

    lists: list[Any]


CallEvent = Opened | Received | Ended


async def call(address: Address, version: int | None, budget: Budget) -> AsyncGenerator[CallEvent, None]:
    """Call discovery and yield what arrives, until the answer ends.

    Args:
        address: of discovery.
        version: changes since then are watched; None: the complete list is read.
        budget: counts the descriptor.

    Raises:
        OSError: the connection failed.
        h11.ProtocolError: the answer is not HTTP.
        DiscoveryError: its status is not 200.
        StreamError: its body holds something else than JSON objects.
    """
    reader, writer = await asyncio.open_connection(*address)
    budget.acquire(DescriptorOwner.DISCOVERY)
    try:
        http = h11.Connection(h11.CLIENT)
        writer.write(_encode_request(http, address, version))
        stream = JsonStream(MAX_OBJECT_BYTES)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                if event.status_code != HTTP_OK:
                    raise DiscoveryError(f"status {event.status_code}")
                yield Opened()
            elif isinstance(event, h11.Data):
                lists = stream.feed(event.data)
                yield Received(lists, stream.unfinished)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                yield Ended(stream.finish())
                return
    finally:
        writer.close()
        budget.release(DescriptorOwner.DISCOVERY)


def _encode_request(http: h11.Connection, address: Address, version: int | None) -> bytes:
    host, port = address
    target = PATH if version is None else f"{PATH}?stream=1&index={version}"
    headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
    request = h11.Request(method="GET", target=target, headers=headers)
    return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")
