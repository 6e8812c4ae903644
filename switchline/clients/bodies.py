"""The long value of a client's request, which is forwarded while it arrives."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from switchline.clients.dispatch import begins_request, dispatch
from switchline.clients.slot import Slot
from switchline.clock import now_ms
from switchline.net.memory import MAX_READ_BYTES
from switchline.net.resp import INCOMPLETE, ProtocolError, StreamedStringStarted
from switchline.net.streams import StreamedRequestBody

if TYPE_CHECKING:
    from switchline.clients.connection import ClientConnection

# With fewer bytes unread, the system takes more from the client at once: it has written no others.
MAX_OPEN_WINDOW_BYTES = 32 * 1024


class BodyReceiver:
    """Owns the long value that is arriving on one connection, and the slot of its request.

    Args:
        connection: the connection on which the value arrives.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.body: StreamedRequestBody | None = None  # None while no long value is arriving
        self.slot: Slot | None = None

    def begin(self, started: StreamedStringStarted) -> None:
        """Dispatch a request whose value is too long to be buffered, before the value has arrived.

        Raises:
            ProtocolError: the value is not the last argument of a request.
        """
        if started.remaining_items != 1 or not begins_request(started.items):
            raise ProtocolError("long value that is not the last argument of a request")
        connection = self.connection
        connection.receiving.record_stream_start(time.monotonic())
        body = self.body = StreamedRequestBody(connection.server.buffer_budget, started.length_bytes)
        body.on_capacity = connection.pump
        body.incomplete_at_ms = connection.received_at_ms
        self.slot = dispatch(connection, [*started.items, b""], body)
        if self.slot is None or self.slot.request_id is None:
            body.drop()  # the request has its answer already; the rest of its value is discarded

    def receive(self, body: StreamedRequestBody) -> bool:
        """Pass one piece of the value on; return False if no bytes of it have arrived."""
        parser = self.connection.parser
        if piece := parser.read_streamed(MAX_READ_BYTES):
            self.connection.receiving.last_received_s = time.monotonic()
            body.feed(piece)
        elif parser.streamed_remaining_bytes > 0 or parser.next_value() is INCOMPLETE:
            return False
        else:
            slot = self.slot
            self._forget()
            if slot is not None and slot.request_id is not None:
                self.connection.server.handler.on_body_received(slot.request_id)
            body.end()
        return True

    def check_arrival(self, unread_bytes: int) -> None:
        """Note the time if the client has not written the last byte of the value yet.

        If the value is read slowly, as its backend is slow, its last byte may have been written long before
        it is read.

        Args:
            unread_bytes: number of bytes that have arrived at the socket and are not read yet.
        """
        body = self.body
        if body is None:
            return
        arrived_bytes = body.received_bytes + len(self.connection.parser.buffer) + unread_bytes
        if arrived_bytes < body.length_bytes and unread_bytes < MAX_OPEN_WINDOW_BYTES:
            body.incomplete_at_ms = now_ms()

    def discard(self) -> None:
        """Discard the value, as its client has gone or its request has failed."""
        body = self.body
        self._forget()
        if body is not None:
            body.drop()

    def _forget(self) -> None:
        """Keep neither the value nor the slot, which would keep its answer after that is written."""
        self.body = None
        self.slot = None

    def abandon(self) -> Slot | None:
        """Abandon a request whose value does not arrive; return its slot if it has no answer yet."""
        slot = self.slot
        self.discard()
        if slot is None or slot.request_id is None:
            return None
        request = slot.request_id
        slot.request_id = None
        self.connection.server.handler.on_client_gone(request)
        return slot
