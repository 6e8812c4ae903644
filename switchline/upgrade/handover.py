"""The hand-over of a gateway from an old process to a new one, which the platform started to replace it.

The new process connects to the old one's Unix socket. The old process sends its whole state, ending with
`StateSent`; from then on both replicate their spending from buckets and ceilings to each other. Once the new
process accepts clients it sends `Serving`: the old process finishes its requests in flight, reports how many
descriptors it still uses, and ends. If the new process is lost before that, the old one continues unchanged.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from switchline.upgrade.connection import HandoverConnection, listen_at, short_socket_path
from switchline.upgrade.messages import (
    DescriptorsInUse,
    Message,
    PolicyRecord,
    RequestSent,
    Serving,
    StateSent,
)

log = logging.getLogger(__name__)

STATE_TIMEOUT_S = 1.0
"""Limits the wait for the old process's state; after it this process starts from disk or without state."""


@dataclass(frozen=True, slots=True)
class HandoverEvents:
    """Callbacks of the hand-over for events of the peer process.

    Attributes:
        peer_joined: a new process has connected; the policy then sends it all its state.
        record_received: called with a record for the policy; raises ValueError if it is malformed.
        peer_serving: the new process accepts clients.
        peer_left: the connection to the peer process has ended.
        descriptors_reported: called with the number of descriptors that the old process has open.
        request_sent: called with the id of a request that the peer process has sent to a backend.
    """

    peer_joined: Callable[[], None]
    record_received: Callable[[list[Any]], None]
    peer_serving: Callable[[], None]
    peer_left: Callable[[], None]
    descriptors_reported: Callable[[int], None]
    request_sent: Callable[[str], None]


class UpgradeHandover:
    """Owns the socket for the next process, and the connection to the peer process (at most one).

    Args:
        path: the path of the socket, the same for all processes of one gateway.
        events: the callbacks for events of the peer process.
    """

    def __init__(self, path: Path, events: HandoverEvents) -> None:
        self.path = path
        self.events = events
        self.peer: HandoverConnection | None = None
        self.state_received = asyncio.Event()  # set if this process took over from an older one
        self.listener: asyncio.Server | None = None

    def send(self, record: list[Any]) -> None:
        """Send a record of the policy to the peer process, if there is one."""
        self._send(PolicyRecord(record))

    def notify_serving(self) -> None:
        """Notify the old process that this one accepts clients."""
        self._send(Serving())

    def report_descriptors(self, count: int) -> None:
        """Notify the new process of the number of descriptors that this one still has open."""
        self._send(DescriptorsInUse(count))

    def report_request(self, request_id: str) -> None:
        """Notify the peer process of a request that was sent to a backend and must not run twice."""
        self._send(RequestSent(request_id))

    def _send(self, message: Message) -> None:
        if self.peer is not None:
            self.peer.send(message)

    async def take_over(self) -> None:
        """Receive the state of an older process of this gateway, if there is one.

        Returns within `STATE_TIMEOUT_S`; `state_received` is set if the whole state was received.
        """
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                await self._connect()
                await self.state_received.wait()
            log.info("this process takes over from another")
        except FileNotFoundError:
            pass  # no process of this gateway has listened yet
        except OSError as error:  # TimeoutError is a subclass
            log.info("nothing is taken over: %s", " ".join(str(error).split()) or type(error).__name__)
            if self.peer is not None:
                self.peer.close()

    async def _connect(self) -> None:
        with short_socket_path(self.path) as address:
            connection = HandoverConnection(self._on_connected, self._on_message, self._on_lost)
            await asyncio.get_running_loop().create_unix_connection(lambda: connection, address)

    async def listen(self) -> None:
        """Listen for the next process; after a failure, which is logged, that process starts from disk."""
        try:
            await self._listen()
        except OSError as error:
            log.warning("can't listen for the next process of an upgrade, it will start from disk: %s", error)

    async def _listen(self) -> None:
        if self.listener is not None:  # the next process has taken the path over
            self.listener.close()
        self.listener = await listen_at(
            self.path, lambda: HandoverConnection(self._on_accepted, self._on_message, self._on_lost)
        )

    def _on_connected(self, connection: HandoverConnection) -> None:
        self.peer = connection

    def _on_accepted(self, connection: HandoverConnection) -> None:
        if self.peer is not None:
            connection.close()
            return
        log.info("a new process has connected to take over")
        self.peer = connection
        self.events.peer_joined()
        connection.send(StateSent())

    def _on_message(self, message: Message) -> None:
        match message:
            case StateSent():
                self.state_received.set()
            case Serving():
                self.events.peer_serving()
            case DescriptorsInUse(count):
                self.events.descriptors_reported(count)
            case RequestSent(request_id):
                self.events.request_sent(request_id)
            case PolicyRecord(fields):
                self.events.record_received(fields)

    def _on_lost(self, connection: HandoverConnection) -> None:
        if connection is self.peer:
            self.peer = None
            self.events.peer_left()

    def close(self) -> None:
        """Stop listening, and close the connection to the peer process."""
        if self.listener is not None:
            self.listener.close()
        if self.peer is not None:
            self.peer.close()
