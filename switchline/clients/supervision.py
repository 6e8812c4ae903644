"""Periodic check of client connections: those whose peers stop sending, reading or closing are ended."""

from __future__ import annotations

import logging

from switchline.clients.connection import ClientConnection
from switchline.clients.dispatch import is_request_head
from switchline.clients.ending import ConnectionState
from switchline.operators.metrics import EvictionReason

log = logging.getLogger(__name__)

# Time that a peer gets after the last answer to read it and to close: a reset would discard the answer.
LINGER_TIMEOUT_S = 0.5
# During a drain, a connection on which nothing arrives for this long is closed.
DRAIN_IDLE_TIMEOUT_S = 0.25
# A connection without a command for this long is closed. Clients open another when they need one.
UNUSED_TIMEOUT_S = 60.0


def check_connection(connection: ClientConnection, now_s: float) -> None:
    """End a connection whose peer has exceeded a timeout, so that its memory and descriptor are freed.

    Args:
        connection: the connection to check.
        now_s: current time, in monotonic seconds.
    """
    if connection.transport is None:
        return
    connection.update_memory_use()
    connection.answers.check_collection()
    connection.check_body_arrival()
    undelivered_bytes = connection.undelivered_bytes
    if has_delivery_timed_out(connection, now_s, undelivered_bytes):
        unread_s = connection.answers.delivery.unread_s(now_s)
        log.warning("client has not read its answers for %.0f s; its connection is aborted", unread_s)
        connection.server.places.evict(connection, EvictionReason.UNREAD_REPLIES)
    elif connection.end.state is ConnectionState.HALF_CLOSED:
        check_half_closed(connection, now_s, undelivered_bytes)
    elif connection.closing:
        return  # its answers are due first
    elif connection.reading_paused:
        connection.detect_client_close()  # nothing is read from it, so that the event loop does not notice
    elif has_receive_timed_out(connection, now_s):
        connection.server.metrics.evictions[EvictionReason.INCOMPLETE_COMMAND] += 1
        connection.fail_protocol("no whole command in time")
        connection.pump()
    elif not connection.slots and not connection.transport.get_write_buffer_size():
        close_if_unused(connection, now_s)


def has_delivery_timed_out(connection: ClientConnection, now_s: float, undelivered_bytes: int) -> bool:
    """Whether the peer takes its answers too slowly, or not at all."""
    assert connection.transport is not None
    # In an open connection some bytes may always be on their way.
    half_closed = connection.end.state is ConnectionState.HALF_CLOSED
    waiting_bytes = undelivered_bytes if half_closed else connection.transport.get_write_buffer_size()
    return connection.answers.delivery.has_timed_out(
        now_s, undelivered_bytes, waiting_bytes, is_streaming(connection)
    )


def check_half_closed(connection: ClientConnection, now_s: float, undelivered_bytes: int) -> None:
    """Close a half-closed connection once its answers have been delivered and the linger is over."""
    if undelivered_bytes:
        connection.end.linger_started_at_s = now_s
    elif (
        not connection.server.lingers(connection)
        or now_s - connection.end.linger_started_at_s > LINGER_TIMEOUT_S
    ):
        connection.end.close()


def close_if_unused(connection: ClientConnection, now_s: float) -> None:
    """Close a connection that has been unused for too long; the timeout is much shorter during a drain."""
    draining = connection.closes_for_drain() and now_s > connection.server.idle_close_starts_at_s
    timeout_s = DRAIN_IDLE_TIMEOUT_S if draining else UNUSED_TIMEOUT_S
    if now_s - connection.last_used_s <= timeout_s or connection.has_unread_bytes:
        return
    if draining or not connection.undelivered_bytes:
        reason = EvictionReason.GRACEFUL_SHUTDOWN if draining else EvictionReason.UNUSED
        connection.server.places.evict(connection, reason)


def is_streaming(connection: ClientConnection) -> bool:
    """Whether a long answer is being written: it may take any time as long as its bytes move."""
    return bool(connection.slots) and connection.slots[0].response is not None


def has_receive_timed_out(connection: ClientConnection, now_s: float) -> bool:
    """Whether the peer has left a command incomplete for too long."""
    if connection.streamed_body is not None:
        return connection.receiving.has_stream_timed_out(now_s)
    items = connection.parser.array_items or []
    in_value = connection.parser.bulk_length_bytes >= 0 and is_request_head(items)
    return connection.receiving.has_command_timed_out(now_s, in_value)
