"""The hand-over of a gateway from an old process to a new one, which the platform started to replace it.

The new process connects to the old one's Unix socket. The old one sends all its state, ending with
`StateSent`; from then on both share buckets and ceilings by messages. Once the new one accepts clients it
sends `Serving`: the old one finishes its open requests, reports how many descriptors it still uses, and ends.
If the new process is lost before that, the old one goes on as if nothing had happened.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from switchline.net.listen import close_socket
from switchline.upgrade.connection import HandoverConnection, short_socket_path
from switchline.upgrade.messages import DescriptorsInUse, Message, PolicyRecord, Serving, StateSent

log = logging.getLogger(__name__)

STATE_TIMEOUT_S = 1.0  # for the old process to send its state; without it this one starts from disk or empty


@dataclass(frozen=True, slots=True)
class HandoverEvents:
    """What the hand-over calls for events of the peer process.

    Attributes:
        peer_joined: a new process has connected; the policy then sends it all its state.
        record_received: a record for the policy; raises ValueError for a malformed one.
        peer_serving: the new process accepts clients.
        peer_left: the connection to the peer process has ended.
        descriptors_reported: how many descriptors the old process has open.
    """

    peer_joined: Callable[[], None]
    record_received: Callable[[list[Any]], None]
    peer_serving: Callable[[], None]
    peer_left: Callable[[], None]
    descriptors_reported: Callable[[int], None]


class UpgradeHandover:
    """Owns the socket for the next process and the connection to the peer process, one at a time.

    Args:
        path: the socket, alike for all processes of one gateway.
        events: the receiver of the peer's events.
    """

    def __init__(self, path: Path, events: HandoverEvents) -> None:
        self.path = path
        self.events = events
        self.peer: HandoverConnection | None = None
        self.state_received = asyncio.Event()  # this process took over from an older one
        self.listener: asyncio.Server | None = None

    def send(self, record: list[Any]) -> None:
        """Send a record of the policy to the peer process, if there is one."""
        self._send(PolicyRecord(record))

    def notify_serving(self) -> None:
        """Let the old process know that this one accepts clients."""
        self._send(Serving())

    def report_descriptors(self, count: int) -> None:
        """Let the new process know how many descriptors this one still has open."""
        self._send(DescriptorsInUse(count))

    def _send(self, message: Message) -> None:
        if self.peer is not None:
            self.peer.send(message)

    async def take_over(self) -> None:
        """Receive the state of an older process of this gateway, if there is one.

        Returns within `STATE_TIMEOUT_S`; `state_received` is set if all of it came.
        """
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                await self._connect()
                await self.state_received.wait()
            log.info("this process takes over from another")
        except FileNotFoundError:
            pass  # no process of this gateway has listened yet
        except OSError as error:  # time-outs are among these
            log.info("nothing is taken over: %s", " ".join(str(error).split()) or type(error).__name__)
            if self.peer is not None:
                self.peer.close()

    async def _connect(self) -> None:
        with short_socket_path(self.path) as address:
            connection = HandoverConnection(self._connected, self._on_message, self._on_lost)
            await asyncio.get_running_loop().create_unix_connection(lambda: connection, address)

    async def listen(self) -> None:
        """Listen for the next process; a failure is logged, and the next process then starts from disk."""
        try:
            await self._listen()
        except OSError as error:
            log.warning("the next process will not find this one: %s", error)

    async def _listen(self) -> None:
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with short_socket_path(self.path) as address:
                self.path.unlink(missing_ok=True)
                listening.bind(address)
            self.listener = await asyncio.get_running_loop().create_unix_server(
                lambda: HandoverConnection(self._accepted, self._on_message, self._on_lost), sock=listening
            )
        except OSError:
            close_socket(listening)
            raise

    def _connected(self, connection: HandoverConnection) -> None:
        self.peer = connection

    def _accepted(self, connection: HandoverConnection) -> None:
        if self.peer is not None:
            connection.close()
            return
        log.info("another process asks to take over")
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
