"""What is done about a connection whose peer has left something hanging."""

from __future__ import annotations

import logging

from switchline.clients.connection import ClientConnection, ConnectionState
from switchline.clients.dispatch import is_request_head
from switchline.operators.metrics import EvictionReason

log = logging.getLogger(__name__)

LINGER_S = 0.5  # after the last answer, for the peer to read it and to close: a reset would discard it
DRAIN_IDLE_S = 0.25  # on a drain, a connection on which nothing arrives for this long is closed
UNUSED_S = 60.0  # a connection without a command for this long is closed; clients open another


def check(connection: ClientConnection, now_s: float) -> None:
    """End what a peer has left hanging, so that it holds neither memory nor a descriptor for ever.

    Args:
        connection: to look at.
        now_s: monotonic seconds.
    """
    if connection.transport is None:
        return
    unsent = connection.transport.get_write_buffer_size()
    if connection.delivery.is_late(now_s, unsent, is_streaming(connection)):
        unread_s = now_s - connection.delivery.behind_since_s
        log.warning("client left its answers unread for %.0f s", unread_s)
        connection.server.places.evict(connection, EvictionReason.UNREAD)
    elif connection.state is ConnectionState.HALF_CLOSED:
        if now_s - connection.half_closed_at_s > LINGER_S and not unsent:
            connection.close()
    elif connection.closing or connection.reading_paused:
        return  # its answers are due first, and it is read no further until then
    elif is_receiving_late(connection, now_s):
        connection.server.metrics.evictions[EvictionReason.OWING] += 1
        connection.fail_protocol("no whole command in time")
        connection.pump()
    elif not connection.slots and not unsent:
        check_unused(connection, now_s)


def check_unused(connection: ClientConnection, now_s: float) -> None:
    """Close a connection that nobody has used for long; on a drain much sooner."""
    draining = connection.ends_by_drain() and now_s > connection.server.close_idle_from_s
    limit_s = DRAIN_IDLE_S if draining else UNUSED_S
    if now_s - connection.last_used_s > limit_s and not connection.has_unread_bytes:
        reason = EvictionReason.PARTING if draining else EvictionReason.UNUSED
        connection.server.places.evict(connection, reason)


def is_streaming(connection: ClientConnection) -> bool:
    """Whether a long answer is on its way: it may take as long as its bytes move."""
    return bool(connection.slots) and connection.slots[0].response is not None


def is_receiving_late(connection: ClientConnection, now_s: float) -> bool:
    """Whether the peer has left a command unfinished for too long."""
    if connection.body is not None:
        return connection.receiving.is_stream_late(now_s)
    items = connection.parser.array_items or []
    in_value = connection.parser.bulk_length_bytes >= 0 and is_request_head(items)
    return connection.receiving.is_command_late(now_s, in_value)
