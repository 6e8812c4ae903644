"""Requests as clients send them: parsing a command, and encoding it for a backend."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from switchline.clock import now_ms
from switchline.net.streams import StreamedRequestBody

SAFE = b"API.READ"
REQUESTS = {SAFE, b"API.WRITE"}
CUSTOMER, MOST_CUSTOMERS = re.compile(rb"[0-9a-fA-F]{16}"), 2**33
LONGEST_ID = 64
# Python reads more as a number (1_0, +2, nan) than a backend does, which gets these as they came.
DECIMAL, INTEGER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?"), re.compile(rb"[0-9]{1,6}")
NUMBERS = {b"d": DECIMAL, b"units": DECIMAL, b"spread": INTEGER, b"first": INTEGER}


@dataclass(slots=True)
class Command:
    """A request as it came; all but the time left is passed on unchanged."""

    head: bytes  # encoded: command, customer, id
    before: bytes  # of the attributes, what stands before the time left
    after: bytes
    body: bytes  # encoded: what follows the attributes
    length: int  # arguments in all
    id: str
    customer: str
    safe: bool  # whether it came as a request that is safe to repeat
    attributes: dict[bytes, bytes]
    wait: float  # how long the client waits, in milliseconds
    came_at: float  # when its bytes came: it may have waited behind others of its connection since
    stream: StreamedRequestBody | None = None  # of a long value, whose bytes follow what is encoded here

    def encode(self, wait: int) -> bytes:
        """The command with the time left that a backend is told."""
        attributes = b"%b%d%b" % (self.before, min(wait, math.ceil(self.wait)), self.after)
        return b"*%d\r\n%b%b%b" % (self.length, self.head, bulk(attributes), self.body)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def parse_command(
    args: list[bytes], stream: StreamedRequestBody | None = None, came_at: float | None = None
) -> Command:
    """Raises ValueError, with the reason, for what is not a request. `came_at`: now, if it is not told."""
    if not 4 <= len(args) <= 5:
        raise ValueError("wrong number of arguments")
    verb, customer, request, listed = args[:4]
    attributes: dict[bytes, bytes] = {}
    before = after = None
    items = listed.split(b",")
    for place, item in enumerate(items):
        name, equals, value = item.partition(b"=")
        if not equals or name in attributes:
            raise ValueError("malformed attributes")
        attributes[name] = value
        if name == b"d":
            before = b",".join([*items[:place], b"d="])
            after = b"".join(b"," + other for other in items[place + 1 :])
    if before is None or after is None or b"c" not in attributes:
        raise ValueError("class or time left missing")
    if any(not NUMBERS[name].fullmatch(value) for name, value in attributes.items() if name in NUMBERS):
        raise ValueError("malformed number")
    wait = float(attributes[b"d"])
    if wait <= 0:
        raise ValueError("no time left")
    head = bulk(verb) + bulk(customer) + bulk(request)
    body = b"".join(bulk(arg) for arg in args[4:]) if stream is None else b"$%d\r\n" % stream.length
    names = request.decode("ascii"), customer.decode("ascii")
    if not (request.isalnum() and len(request) <= LONGEST_ID):
        raise ValueError("malformed id")
    if not (CUSTOMER.fullmatch(customer) and int(customer, 16) < MOST_CUSTOMERS):
        raise ValueError("malformed customer")
    safe = verb.upper() == SAFE
    came = now_ms() if came_at is None else came_at
    return Command(head, before, after, body, len(args), *names, safe, attributes, wait, came, stream)
