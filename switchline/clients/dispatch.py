"""Dispatch of client commands: requests go to the handler, all other commands are answered here."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, TypeGuard

from switchline.clients.commands import HEAD_ARGUMENTS, REQUEST_VERBS, encode_bulk_string, parse_command
from switchline.clients.slot import Slot
from switchline.net.resp import Item, Value
from switchline.net.streams import StreamedRequestBody

if TYPE_CHECKING:
    from switchline.clients.connection import ClientConnection

log = logging.getLogger(__name__)

# Client libraries send these when they connect. They are answered with +OK and have no other effect.
SETUP_VERBS = {b"CLIENT", b"SELECT"}
OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
DRAINING_ERROR = b"-ERR draining\r\n"


def dispatch(
    connection: ClientConnection, value: Value, body: StreamedRequestBody | None = None
) -> Slot | None:
    """Answer one parsed command, or pass it to the request handler if it is a request.

    Args:
        connection: the connection on which the command arrived.
        value: the RESP value, as parsed.
        body: the last argument, if it is a long value that is still arriving.

    Returns:
        The slot of the command; None if the value is not a command, which is a protocol error.
    """
    if not is_command(value):
        connection.fail_protocol("not an array of bulk strings")
        return None
    slot = Slot(connection)
    connection.slots.append(slot)
    wait_started_at_s = connection.receiving.wait_started_at_s
    connection.receiving.wait_started_at_s = None
    verb = value[0].upper()
    if verb in REQUEST_VERBS:
        _handle_request(connection, slot, value, body, wait_started_at_s)
    elif verb == b"PING":
        answer = encode_bulk_string(value[1]) if len(value) > 1 else PONG
        slot.answer(answer if connection.server.ping_succeeds else DRAINING_ERROR)
    elif verb in SETUP_VERBS:
        slot.answer(OK)
    elif verb == b"QUIT":
        slot.answer(OK)
        connection.end.begin()
    else:
        _reject_command(connection, slot, "unknown command", wait_started_at_s)
    return slot


def _handle_request(
    connection: ClientConnection,
    slot: Slot,
    arguments: list[bytes],
    body: StreamedRequestBody | None,
    wait_started_at_s: float | None,
) -> None:
    server = connection.server
    try:
        command = parse_command(arguments, body, connection.received_at_ms)
        slot.request_id = command.id
        if connection.validated or server.promote(connection, command):
            server.handler.on_command(command, slot)
        else:
            server.handler.on_command_without_place(command, slot)
    except ValueError as error:
        slot.request_id = None
        _reject_command(connection, slot, " ".join(str(error).split()), wait_started_at_s)


def _reject_command(
    connection: ClientConnection, slot: Slot, reason: str, wait_started_at_s: float | None
) -> None:
    """Answer an invalid request or an unknown command with an error.

    Such a command does not restart the command timeout: a peer that has sent nothing valid since
    `wait_started_at_s` (monotonic seconds) is disconnected when the timeout has passed.
    """
    log.warning("client sent an invalid command: %s", reason)
    connection.receiving.wait_started_at_s = (
        time.monotonic() if wait_started_at_s is None else wait_started_at_s
    )
    slot.answer(b"-ERR %b\r\n" % reason.encode())


def is_command(value: Value) -> TypeGuard[list[bytes]]:
    """Whether a value is a non-empty array of bulk strings."""
    return isinstance(value, list) and bool(value) and all(isinstance(item, bytes) for item in value)


def begins_request(items: list[Item]) -> bool:
    """Whether the array items that precede a long value begin with the verb of a request."""
    return is_command(items) and items[0].upper() in REQUEST_VERBS


def is_request_head(items: list[Item]) -> bool:
    """Whether the items are exactly the arguments that precede the value of a request."""
    return len(items) == HEAD_ARGUMENTS and items[0] in REQUEST_VERBS
