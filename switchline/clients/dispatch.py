"""Commands of clients: requests go to the handler, those of connection set-up are answered here."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, TypeGuard

from switchline.clients.commands import HEAD_ARGUMENTS, REQUEST_VERBS, bulk, parse_command
from switchline.clients.slot import Slot
from switchline.net.resp import Item, Value
from switchline.net.streams import StreamedRequestBody

if TYPE_CHECKING:
    from switchline.clients.connection import ClientConnection

log = logging.getLogger(__name__)

SETUP_VERBS = {b"CLIENT", b"SELECT"}  # of client libraries; answered and otherwise ignored
OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
DRAINING = b"-ERR draining\r\n"


def dispatch(
    connection: ClientConnection, value: Value, body: StreamedRequestBody | None = None
) -> Slot | None:
    """Answer a command, or hand it to the handler if it is a request.

    Args:
        connection: on which it arrived.
        value: as parsed.
        body: a long value that is still arriving, the last argument.

    Returns:
        The command's slot; None if it is no command.
    """
    if not is_command(value):
        connection.fail_protocol("not an array of bulk strings")
        return None
    slot = Slot(connection)
    connection.slots.append(slot)
    owed_since_s = connection.receiving.owed_since_s
    connection.receiving.owed_since_s = None
    verb = value[0].upper()
    if verb in REQUEST_VERBS:
        _handle_request(connection, slot, value, body, owed_since_s)
    elif verb == b"PING":
        answer = bulk(value[1]) if len(value) > 1 else PONG
        slot.answer(answer if connection.server.answers_ping else DRAINING)
    elif verb in SETUP_VERBS:
        slot.answer(OK)
    elif verb == b"QUIT":
        slot.answer(OK)
        connection.begin_closing()
    else:
        _reject_command(connection, slot, "unknown command", owed_since_s)
    return slot


def _handle_request(
    connection: ClientConnection,
    slot: Slot,
    arguments: list[bytes],
    body: StreamedRequestBody | None,
    owed_since_s: float | None,
) -> None:
    server = connection.server
    try:
        command = parse_command(arguments, body, connection.received_at_ms)
        slot.request = command.id
        if connection.proven or server.prove(connection, command):
            server.handler.on_command(command, slot)
        else:
            server.handler.on_command_without_place(command, slot)
    except ValueError as error:
        slot.request = None
        _reject_command(connection, slot, " ".join(str(error).split()), owed_since_s)


def _reject_command(
    connection: ClientConnection, slot: Slot, reason: str, owed_since_s: float | None
) -> None:
    """Answer what is no proper request.

    It buys the peer no time: a peer that has sent nothing better since `owed_since_s` is closed.
    """
    log.warning("client sent what is no request: %s", reason)
    connection.receiving.owed_since_s = time.monotonic() if owed_since_s is None else owed_since_s
    slot.answer(b"-ERR %b\r\n" % reason.encode())


def is_command(value: Value) -> TypeGuard[list[bytes]]:
    """Whether a value is an array of bulk strings, and not empty."""
    return isinstance(value, list) and bool(value) and all(isinstance(item, bytes) for item in value)


def begins_request(items: list[Item]) -> bool:
    """Whether the items before a long value are the arguments of a request."""
    return is_command(items) and items[0].upper() in REQUEST_VERBS


def is_request_head(items: list[Item]) -> bool:
    """Whether items are just the arguments of a request that go before its value."""
    return len(items) == HEAD_ARGUMENTS and items[0] in REQUEST_VERBS
