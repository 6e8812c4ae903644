"""One HTTP call to discovery, which watches for changes or fetches the complete endpoint list."""

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

LIST_PATH = "/catalog/members"
HTTP_OK = 200
# Large enough for a list of thousands of backends, and small beside any memory limit.
MAX_OBJECT_BYTES = 1024 * 1024
MAX_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """The head of the HTTP answer has arrived, with status 200."""


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """Bytes of the answer's body have arrived.

    Attributes:
        objects: The JSON objects, each a list or a change of it, that these bytes complete.
        unfinished: Whether a further object has arrived only in part.
    """

    objects: list[Any]
    unfinished: bool

    @property
    def has_content(self) -> bool:
        """Whether discovery has sent something complete: a list, a change or an empty line."""
        return bool(self.objects) or not self.unfinished

    @property
    def is_heartbeat(self) -> bool:
        """Whether only an empty line has arrived, which says that nothing has changed."""
        return not self.objects and not self.unfinished


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The answer has ended.

    Attributes:
        objects: The JSON objects that only the end of the answer completes.
    """

    objects: list[Any]


CallEvent = HeadReceived | BodyReceived | AnswerEnded


async def call_discovery(
    address: Address, version: int | None, budget: Budget
) -> AsyncGenerator[CallEvent, None]:
    """Call discovery and yield an event for each part of the answer until it ends.

    Args:
        address: Address of discovery.
        version: Version of the list after which changes are watched; None fetches the complete list.
        budget: Counts the descriptor of the connection.

    Raises:
        OSError: The connection failed.
        h11.ProtocolError: The answer is not valid HTTP.
        DiscoveryError: The status of the answer is not 200.
        StreamError: The body holds something other than JSON objects, or an object that is too long.
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
                http.receive_data(await reader.read(MAX_READ_BYTES))
            elif isinstance(event, h11.Response):
                if event.status_code != HTTP_OK:
                    raise DiscoveryError(
                        f"expected HTTP status 200 of discovery, received {event.status_code}"
                    )
                yield HeadReceived()
            elif isinstance(event, h11.Data):
                objects = stream.feed(event.data)
                yield BodyReceived(objects, stream.unfinished)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                yield AnswerEnded(stream.finish())
                return
    finally:
        writer.close()
        budget.release(DescriptorOwner.DISCOVERY)


def _encode_request(http: h11.Connection, address: Address, version: int | None) -> bytes:
    host, port = address
    target = LIST_PATH if version is None else f"{LIST_PATH}?stream=1&index={version}"
    headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
    request = h11.Request(method="GET", target=target, headers=headers)
    return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")
