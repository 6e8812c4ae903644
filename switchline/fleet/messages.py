"""What goes over the line, and the seal on it.

A frame is a version, the fleet's mark, a keyed checksum (BLAKE2b) and a body in MessagePack. Bodies are
arrays: a newer version adds fields at their end, and an older one reads as far as it knows.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import IntEnum
from typing import Annotated

import msgspec

VERSION = 1
MARK_BYTES, SUM_BYTES = 4, 16
HEAD_BYTES = 1 + MARK_BYTES + SUM_BYTES
MOST_DATAGRAM = 1_200  # bytes: below any path's usual limit, so nothing is split on its way
MOST_EXCHANGE = 4 * 1024 * 1024  # bytes of one side's whole state
LONGEST_NAME, LONGEST_VALUE = 64, 512  # characters; bytes
MOST_HOSTS, MOST_SPENT = 4_096, 1_024  # of a list, and customers, in one answer
LONGEST_KEY = 256  # characters of a customer's key
LIST, SPENDING = 1, 2  # what an exchange may ask for beside all that is known: bits

Name = Annotated[str, msgspec.Meta(max_length=LONGEST_NAME)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Incarnation = tuple[
    Count, Count
]  # which start of a process: a count or a time, and chance; the higher is the later
Stamp = tuple[Count, Count]  # of the fleet's order (hybrid.py): milliseconds of wall time, and a count
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Host = Annotated[str, msgspec.Meta(max_length=15, pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]


class State(IntEnum):
    """Of a member, in the order in which one overrides another of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    """Of a datagram."""

    PING = 0
    ACK = 1
    ASK = 2  # ping another for me
    NACK = 3  # it has not answered me either, but I am here
    NEWS = 4


class Rumor(msgspec.Struct, array_like=True, frozen=True):
    """What somebody says of a member; `by` is who suspects it."""

    name: Name
    life: Incarnation
    incarnation: Count
    state: State
    host: Host
    port: Port
    by: Name = ""


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A fact: of a kind, about a name, told by an origin in one of its lives.

    `at` is the origin's wall clock in milliseconds; `value` is None where the fact is withdrawn.
    """

    kind: Name
    name: Name
    origin: Name
    life: Incarnation
    version: Count
    at: Annotated[float, msgspec.Meta(ge=0, le=1e15)]
    value: Annotated[str, msgspec.Meta(max_length=LONGEST_VALUE)] | None


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One message: what it is, and what is told along with it."""

    sender: Name
    life: Incarnation
    number: Count  # rises with each message of a life: an old one is a replay
    kind: Kind
    seq: Count = 0  # of a ping, and of the answer to it
    target: Name = ""  # who is pinged; of an ASK, whom to ping
    host: str = ""  # of an ASK: where the target is; else where its sender is
    port: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 0
    rumors: list[Rumor] = []
    entries: list[Entry] = []
    stamp: Stamp = (0, 0)  # the sender's last


class HostRow(msgspec.Struct, array_like=True, frozen=True):
    """A backend of a list, in discovery's words."""

    host: Annotated[str, msgspec.Meta(max_length=256)]
    dial: Annotated[str, msgspec.Meta(max_length=64)]
    site: Name
    block: int
    health: Annotated[str, msgspec.Meta(max_length=16)]
    born_ms: Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class Listed(msgspec.Struct, array_like=True, frozen=True):
    """A whole list of backends, and its number."""

    seq: Count
    hosts: Annotated[list[HostRow], msgspec.Meta(max_length=MOST_HOSTS)]


class Spent(msgspec.Struct, array_like=True, frozen=True):
    """What all gateways have left (units) of a customer's quota; `even`: the even share of one gateway."""

    key: Annotated[str, msgspec.Meta(max_length=LONGEST_KEY)]
    plan: Name
    even: Annotated[float, msgspec.Meta(gt=0, le=1)]
    left: Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Exchange(msgspec.Struct, array_like=True, frozen=True):
    """All that one side knows; `answer` tells which side of a push-pull it is.

    A gateway that has just begun may want more of the other side (bits): its list of backends where that is
    newer than `seq`, and customers' spending. `spent` is None as long as the other side does not know itself.
    """

    sender: Name
    life: Incarnation
    number: Count
    answer: bool
    rumors: list[Rumor]
    entries: list[Entry]
    wants: Count = 0
    seq: Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)] = -1
    listed: Listed | None = None
    spent: Annotated[list[Spent], msgspec.Meta(max_length=MOST_SPENT)] | None = None
    stamp: Stamp = (0, 0)


class Refused(Exception):
    """A frame that is not taken; `reason` is one word."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Seal:
    """Seals bodies, and opens frames of the same fleet and secret alone."""

    def __init__(self, fleet: str, secret: bytes) -> None:
        self.key = hashlib.blake2b(secret, digest_size=32, person=b"line of a fleet").digest()
        self.head = bytes([VERSION]) + hashlib.blake2b(fleet.encode(), digest_size=MARK_BYTES).digest()
        self.encoder = msgspec.msgpack.Encoder()
        self.datagrams = msgspec.msgpack.Decoder(Datagram)
        self.exchanges = msgspec.msgpack.Decoder(Exchange)

    def checksum(self, body: bytes) -> bytes:
        return hashlib.blake2b(self.head + body, digest_size=SUM_BYTES, key=self.key).digest()

    def close(self, message: Datagram | Exchange) -> bytes:
        body = self.encoder.encode(message)
        return self.head + self.checksum(body) + body

    def _open(self, frame: bytes, most: int) -> bytes:
        """The body of a frame; raises Refused. What is too long is not even summed."""
        if len(frame) > most:
            raise Refused("oversize")
        if len(frame) <= HEAD_BYTES:
            raise Refused("garbage")
        if frame[0] != VERSION:
            raise Refused("version")
        if frame[1 : 1 + MARK_BYTES] != self.head[1:]:
            raise Refused("fleet")
        body = frame[HEAD_BYTES:]
        if not hmac.compare_digest(frame[1 + MARK_BYTES : HEAD_BYTES], self.checksum(body)):
            raise Refused("key")
        return body

    def datagram(self, frame: bytes) -> Datagram:
        try:
            return self.datagrams.decode(self._open(frame, MOST_DATAGRAM))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise Refused("garbage") from error

    def exchange(self, frame: bytes) -> Exchange:
        try:
            return self.exchanges.decode(self._open(frame, MOST_EXCHANGE))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise Refused("garbage") from error


class Window:
    """Which numbers of one sender's life have come: the highest, and a bit for each of the last 64."""

    __slots__ = ("bits", "highest", "life")

    WIDTH = 64

    def __init__(self, life: Incarnation) -> None:
        self.life, self.highest, self.bits = life, 0, 0

    def fresh(self, life: Incarnation, number: int) -> bool:
        """Whether this message is new; notes it. An older life's message never is."""
        if life != self.life:
            if life < self.life:
                return False
            self.life, self.highest, self.bits = life, 0, 0
        if number > self.highest:
            step = number - self.highest
            self.bits = ((self.bits << step) | 1) & ((1 << self.WIDTH) - 1) if step < self.WIDTH else 1
            self.highest = number
            return True
        back = self.highest - number
        if back >= self.WIDTH or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True
