"""The end of one client connection: no answer that was written may be lost by it."""

from __future__ import annotations

import logging
import time
from enum import IntEnum, auto
from typing import TYPE_CHECKING

from switchline.guard import Invariant

if TYPE_CHECKING:
    from switchline.clients.connection import ClientConnection

log = logging.getLogger(__name__)

# Bytes that are read and discarded after the last command. A peer that sends more is read no further while
# answers are due or on their way, and disconnected after the last one.
MAX_DISCARDED_BYTES = 256 * 1024


class ConnectionState(IntEnum):
    """States of a connection, in the order SERVING, CLOSING, HALF_CLOSED. In each it may be lost.

    SERVING: commands are read and answered.
    CLOSING: no further command is answered; earlier ones still are.
    HALF_CLOSED: the last answer and the end of the stream are written; the peer may read them and close.
    """

    SERVING = auto()
    CLOSING = auto()
    HALF_CLOSED = auto()


class ConnectionEnd:
    """Owns the state of one connection, and closes it.

    Closing a socket resets the connection if bytes are unread or arrive later, and what the system still
    holds of the answers is lost. So it stays half-closed until the peer's system has received everything.

    Args:
        connection: the connection.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.state = ConnectionState.SERVING
        # While half-closed: the last time at which the peer's system had not received everything.
        self.linger_started_at_s = 0.0
        self._discarded_bytes = 0  # number of bytes received after the last command that is answered

    @property
    def has_begun(self) -> bool:
        """Whether the connection answers no further command."""
        return self.state >= ConnectionState.CLOSING

    @property
    def reads_no_further(self) -> bool:
        """Whether so much has been discarded that nothing more is read."""
        return self._discarded_bytes > MAX_DISCARDED_BYTES

    def begin(self) -> None:
        """Answer no further command; earlier ones still get their answers."""
        self.state = max(self.state, ConnectionState.CLOSING)

    def close(self) -> None:
        """Close the connection. All closes by this side between answers go through here.

        With a request in flight the connection stays open, as the answer would be lost; this is counted as a
        violated invariant.
        """
        connection = self.connection
        if connection.transport is None or connection.transport.is_closing():
            return
        open_requests = [slot.request_id for slot in connection.slots if slot.request_id is not None]
        if open_requests:
            connection.guard.record_violation(
                Invariant.NO_UNANSWERED_CLOSE,
                f"close refused with requests in flight: {', '.join(open_requests)}",
            )
            return
        connection.transport.close()

    def close_in_answer(self) -> None:
        """End the connection within a long answer that is cut off: only its end shows this to the client.

        The answers before it still reach the client. No other command may have been read, as its answer is
        lost; this is counted as a violated invariant.
        """
        connection = self.connection
        if connection.transport is None or connection.transport.is_closing():
            return
        if connection.answers.has_further_commands:
            connection.guard.record_violation(
                Invariant.NO_UNANSWERED_CLOSE,
                f"answers due when one was cut off: {len(connection.slots) - 1}",
            )
        log.info(
            "connection ends within a long answer: client=%s undelivered=%d unread=%s",
            connection.peer_address,
            connection.undelivered_bytes,
            connection.has_unread_bytes,
        )
        connection.abandon_requests()
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Half-close the connection after its last answer, and close it once the peer has closed too.

        It is closed at once if the peer has received everything long ago, or there is no room for it.
        """
        connection = self.connection
        self.begin()
        if connection.transport is None or connection.transport.is_closing():
            return
        if self.state is ConnectionState.HALF_CLOSED:
            return
        if not connection.server.may_half_close(connection):
            self.close()
            return
        self.state = ConnectionState.HALF_CLOSED
        self.linger_started_at_s = time.monotonic()
        connection.server.on_half_closed(connection)
        connection.update_reading()
        connection.transport.write_eof()

    def discard(self, length: int) -> None:
        """Discard bytes that arrive after the last command, up to a limit.

        Reading goes on so that the close by the peer is noticed, and so that no unread bytes are left. They
        would reset the connection before the peer has read its answers.
        """
        connection = self.connection
        self._discarded_bytes += length
        if not self.reads_no_further or connection.transport is None:
            return
        if self.state is ConnectionState.HALF_CLOSED and not connection.undelivered_bytes:
            self.close()
        else:
            connection.update_reading()
