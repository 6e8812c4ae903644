"""Parsing of the requests that clients send, and their encoding for a backend.

    API.READ|API.WRITE CUSTOMER REQUEST-ID ATTRIBUTES [VALUE]

Attributes are `name=value` pairs, separated by commas; `d` is the time left in ms, `c` the request class.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from switchline.clock import now_ms
from switchline.net.memory import STREAMING_THRESHOLD_BYTES
from switchline.net.streams import StreamedRequestBody

IDEMPOTENT_VERB = b"API.READ"
REQUEST_VERBS = {IDEMPOTENT_VERB, b"API.WRITE"}
HEAD_ARGUMENTS = 4  # number of arguments before the value
TIME_LEFT = b"d"  # name of the attribute
REQUEST_CLASS = b"c"  # name of the attribute
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
# Customer ids are hexadecimal numbers below this bound.
MAX_CUSTOMERS = 2**33
MAX_ID_LENGTH = 64
MAX_ATTRIBUTES = 64  # a request has at most nine
MAX_ATTRIBUTES_BYTES = 4 * 1024
# Attributes are forwarded to backends as they arrived. Python accepts more spellings of numbers (1_0, +2,
# nan) than a backend does, so numbers must match these patterns.
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,6}")
NUMERIC_ATTRIBUTE_PATTERNS = {
    TIME_LEFT: DECIMAL_PATTERN,
    b"units": DECIMAL_PATTERN,
    b"spread": INTEGER_PATTERN,
    b"first": INTEGER_PATTERN,
}


@dataclass(slots=True)
class Command:
    """A request as it arrived from a client. All of it but the time left is forwarded unchanged.

    Attributes:
        head: verb, customer and request id, encoded as bulk strings.
        before_time_left: text of the attributes up to the value of the time left.
        after_time_left: text of the attributes that follow the time left.
        encoded_value: the value as a bulk string; only its header if the value is streamed; empty if the
            request has no value.
        argument_count: number of arguments, including the verb and the value.
        id: id of the request, unique among those in flight.
        customer: id of the customer, in hexadecimal.
        idempotent: whether the verb was API.READ, for requests that are safe to repeat.
        attributes: values by attribute name.
        time_left_ms: how long the client waits for the answer.
        received_at_ms: time by `now_ms` at which the bytes arrived. The command may have waited since then
            behind others of its connection.
        streamed_body: a long value, whose bytes follow those encoded here; None if there is none.
    """

    head: bytes
    before_time_left: bytes
    after_time_left: bytes
    encoded_value: bytes
    argument_count: int
    id: str
    customer: str
    idempotent: bool
    attributes: dict[bytes, bytes]
    time_left_ms: float
    received_at_ms: float
    streamed_body: StreamedRequestBody | None = None

    @property
    def held_bytes(self) -> int:
        """The most memory that the command takes in this process while the request is in flight."""
        attributes_bytes = len(self.before_time_left) + len(self.after_time_left)
        # While an attempt is sent there is a second copy of all of it.
        buffered_bytes = 2 * (len(self.encoded_value) + len(self.head) + attributes_bytes)
        if self.streamed_body is not None:
            buffered_bytes += min(self.streamed_body.length_bytes, STREAMING_THRESHOLD_BYTES)
        return buffered_bytes

    def encode(self, time_left_ms: int) -> bytes:
        """Encode the command for a backend.

        Args:
            time_left_ms: time left for the attempt. The backend receives the lesser of this and the time left
                that the client sent.
        """
        forwarded_time_left_ms = min(time_left_ms, math.ceil(self.time_left_ms))
        attributes = b"%b%d%b" % (self.before_time_left, forwarded_time_left_ms, self.after_time_left)
        return b"*%d\r\n%b%b%b" % (
            self.argument_count,
            self.head,
            encode_bulk_string(attributes),
            self.encoded_value,
        )


@dataclass(frozen=True, slots=True)
class Attributes:
    """The attributes of a request, and their text before and after the value of the time left."""

    values: dict[bytes, bytes]
    before_time_left: bytes
    after_time_left: bytes


def encode_bulk_string(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def parse_command(
    arguments: list[bytes],
    streamed_body: StreamedRequestBody | None = None,
    received_at_ms: float | None = None,
) -> Command:
    """Parse a request.

    Args:
        arguments: the verb and the other arguments of the command.
        streamed_body: a long value that is still arriving, in place of the last argument.
        received_at_ms: time by `now_ms` at which the bytes arrived; now by default.

    Raises:
        ValueError: the command is not a valid request. The client receives the message.
    """
    if not HEAD_ARGUMENTS <= len(arguments) <= HEAD_ARGUMENTS + 1:
        raise ValueError("wrong number of arguments")
    verb, customer, request_id, attribute_text = arguments[:HEAD_ARGUMENTS]
    attributes = parse_attributes(attribute_text)
    time_left_ms = float(attributes.values[TIME_LEFT])
    if time_left_ms <= 0:
        raise ValueError("no time left")
    value_arguments = arguments[HEAD_ARGUMENTS:]
    id_text = request_id.decode("ascii")
    customer_text = customer.decode("ascii")
    if not (request_id.isalnum() and len(request_id) <= MAX_ID_LENGTH):
        raise ValueError("malformed id")
    if not (CUSTOMER_PATTERN.fullmatch(customer) and int(customer, 16) < MAX_CUSTOMERS):
        raise ValueError("malformed customer")
    return Command(
        head=encode_bulk_string(verb) + encode_bulk_string(customer) + encode_bulk_string(request_id),
        before_time_left=attributes.before_time_left,
        after_time_left=attributes.after_time_left,
        encoded_value=b"".join(map(encode_bulk_string, value_arguments))
        if streamed_body is None
        else b"$%d\r\n" % streamed_body.length_bytes,
        argument_count=len(arguments),
        id=id_text,
        customer=customer_text,
        idempotent=verb.upper() == IDEMPOTENT_VERB,
        attributes=attributes.values,
        time_left_ms=time_left_ms,
        received_at_ms=now_ms() if received_at_ms is None else received_at_ms,
        streamed_body=streamed_body,
    )


def parse_attributes(attribute_text: bytes) -> Attributes:
    """Parse `name=value` pairs.

    Raises:
        ValueError: a pair or a number is malformed, there are too many of them, or the request class or the
            time left is missing.
    """
    if len(attribute_text) > MAX_ATTRIBUTES_BYTES or attribute_text.count(b",") >= MAX_ATTRIBUTES:
        raise ValueError("too many attributes")
    values: dict[bytes, bytes] = {}
    before_time_left = None
    after_time_left = b""
    items = attribute_text.split(b",")
    for index, item in enumerate(items):
        name, separator, value = item.partition(b"=")
        if not separator or name in values:
            raise ValueError("malformed attributes")
        values[name] = value
        if name == TIME_LEFT:
            before_time_left = b",".join([*items[:index], TIME_LEFT + b"="])
            after_time_left = b"".join(b"," + following for following in items[index + 1 :])
    if before_time_left is None or REQUEST_CLASS not in values:
        raise ValueError("class or time left missing")
    for name, value in values.items():
        if name in NUMERIC_ATTRIBUTE_PATTERNS and not NUMERIC_ATTRIBUTE_PATTERNS[name].fullmatch(value):
            raise ValueError("malformed number")
    return Attributes(values, before_time_left, after_time_left)
