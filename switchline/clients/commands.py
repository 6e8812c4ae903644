"""Requests as clients send them: parsing a command, and encoding it for a backend.

    API.READ|API.WRITE CUSTOMER REQUEST-ID ATTRIBUTES [VALUE]

Attributes are `name=value` pairs, separated by commas; `d` is the time left, `c` the request class.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from switchline.clock import now_ms
from switchline.net.streams import StreamedRequestBody

SAFE_VERB = b"API.READ"
REQUEST_VERBS = {SAFE_VERB, b"API.WRITE"}
HEAD_ARGUMENTS = 4  # before the value
TIME_LEFT = b"d"
REQUEST_CLASS = b"c"
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
MAX_CUSTOMERS = 2**33
MAX_ID_LENGTH = 64
# Python reads more as a number (1_0, +2, nan) than a backend does, which gets these as they arrived.
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
INTEGER = re.compile(rb"[0-9]{1,6}")
NUMERIC_ATTRIBUTES = {TIME_LEFT: DECIMAL, b"units": DECIMAL, b"spread": INTEGER, b"first": INTEGER}


@dataclass(slots=True)
class Command:
    """A request as it arrived; all but the time left is forwarded unchanged.

    Attributes:
        head: encoded verb, customer and id.
        before: of the attributes, what precedes the time left.
        after: of the attributes, what follows it.
        body: encoded, what follows the attributes.
        length: arguments in all.
        id: of the request.
        customer: of the request.
        safe: whether it arrived as a request that is safe to repeat.
        attributes: by name.
        time_left_ms: how long the client waits.
        received_at_ms: by `now_ms`; it may have waited behind others of its connection since.
        stream: a long value, whose bytes follow what is encoded here.
    """

    head: bytes
    before: bytes
    after: bytes
    body: bytes
    length: int
    id: str
    customer: str
    safe: bool
    attributes: dict[bytes, bytes]
    time_left_ms: float
    received_at_ms: float
    stream: StreamedRequestBody | None = None

    def encode(self, time_left_ms: int) -> bytes:
        """Encode the command with the time left that a backend is told."""
        time_left = min(time_left_ms, math.ceil(self.time_left_ms))
        attributes = b"%b%d%b" % (self.before, time_left, self.after)
        return b"*%d\r\n%b%b%b" % (self.length, self.head, bulk(attributes), self.body)


@dataclass(frozen=True, slots=True)
class Attributes:
    """The attributes of a request, and their text round the time left."""

    values: dict[bytes, bytes]
    before_time_left: bytes
    after_time_left: bytes


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def parse_command(
    args: list[bytes], stream: StreamedRequestBody | None = None, received_at_ms: float | None = None
) -> Command:
    """Parse a request.

    Args:
        args: of the command.
        stream: a long value that is still arriving, in place of the last argument.
        received_at_ms: by `now_ms`, when its bytes arrived; now by default.

    Raises:
        ValueError: it is not a request; the text says why, for the client.
    """
    if not HEAD_ARGUMENTS <= len(args) <= HEAD_ARGUMENTS + 1:
        raise ValueError("wrong number of arguments")
    verb, customer, request, listed = args[:HEAD_ARGUMENTS]
    attributes = parse_attributes(listed)
    time_left = float(attributes.values[TIME_LEFT])
    if time_left <= 0:
        raise ValueError("no time left")
    value = args[HEAD_ARGUMENTS:]
    id_text = request.decode("ascii")
    customer_text = customer.decode("ascii")
    if not (request.isalnum() and len(request) <= MAX_ID_LENGTH):
        raise ValueError("malformed id")
    if not (CUSTOMER.fullmatch(customer) and int(customer, 16) < MAX_CUSTOMERS):
        raise ValueError("malformed customer")
    return Command(
        head=bulk(verb) + bulk(customer) + bulk(request),
        before=attributes.before_time_left,
        after=attributes.after_time_left,
        body=b"".join(map(bulk, value)) if stream is None else b"$%d\r\n" % stream.length_bytes,
        length=len(args),
        id=id_text,
        customer=customer_text,
        safe=verb.upper() == SAFE_VERB,
        attributes=attributes.values,
        time_left_ms=time_left,
        received_at_ms=now_ms() if received_at_ms is None else received_at_ms,
        stream=stream,
    )


def parse_attributes(listed: bytes) -> Attributes:
    """Parse `name=value` pairs; raises ValueError if they are malformed, or class or time left missing."""
    values: dict[bytes, bytes] = {}
    before = None
    after = b""
    items = listed.split(b",")
    for place, item in enumerate(items):
        name, equals, value = item.partition(b"=")
        if not equals or name in values:
            raise ValueError("malformed attributes")
        values[name] = value
        if name == TIME_LEFT:
            before = b",".join([*items[:place], TIME_LEFT + b"="])
            after = b"".join(b"," + other for other in items[place + 1 :])
    if before is None or REQUEST_CLASS not in values:
        raise ValueError("class or time left missing")
    for name, value in values.items():
        if name in NUMERIC_ATTRIBUTES and not NUMERIC_ATTRIBUTES[name].fullmatch(value):
            raise ValueError("malformed number")
    return Attributes(values, before, after)
