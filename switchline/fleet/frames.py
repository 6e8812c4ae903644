"""Authenticated frames around messages, and the protection against replays.

A frame consists of the protocol version (1 byte), a digest of the fleet's name (4 bytes), a message
authentication code (MAC; keyed BLAKE2b, 16 bytes) over both and the body, and the body in MessagePack.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Set as AbstractSet
from enum import StrEnum

import msgspec

from switchline.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_EXCHANGE_BYTES,
    Datagram,
    Exchange,
    Incarnation,
)

PROTOCOL_VERSION = 1
FLEET_DIGEST_BYTES = 4
MAC_BYTES = 16
HEADER_BYTES = 1 + FLEET_DIGEST_BYTES + MAC_BYTES
KEY_BYTES = 32
MAX_SENDERS = 6_000  # the most senders that have a replay window
KEY_PERSONALIZATION = b"line of a fleet"  # separates this use of the secret from others; part of the protocol


class RefusalReason(StrEnum):
    """Why a frame is dropped. Counters and the log use the value as the name of the reason."""

    OVERSIZE = "oversize"  # longer than the longest frame allowed
    GARBAGE = "garbage"  # not a frame, or its body is not a valid message
    VERSION = "version"  # another version of the protocol
    FLEET = "fleet"  # the frame of another fleet
    KEY = "key"  # the MAC is wrong: the frame is damaged or was made with another secret
    OWN = "own"  # sent by this process itself
    OLDER = "older"  # from an earlier incarnation of its sender
    REPLAY = "replay"  # received before, or too old to tell
    FULL = "full"  # there are `MAX_SENDERS` other senders already


class FrameRefusedError(Exception):
    """A frame is dropped, for the reason in `reason`."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class FrameCodec:
    """Encodes messages as frames, and decodes only frames of the same fleet and secret."""

    def __init__(self, fleet: str, secret: bytes) -> None:
        """`fleet` is the fleet's name; `secret` is shared by all its gateways."""
        self.key = hashlib.blake2b(secret, digest_size=KEY_BYTES, person=KEY_PERSONALIZATION).digest()
        fleet_digest = hashlib.blake2b(fleet.encode(), digest_size=FLEET_DIGEST_BYTES).digest()
        self.prefix = bytes([PROTOCOL_VERSION]) + fleet_digest
        self._encoder = msgspec.msgpack.Encoder()
        self._datagrams = msgspec.msgpack.Decoder(Datagram)
        self._exchanges = msgspec.msgpack.Decoder(Exchange)

    def mac(self, body: bytes) -> bytes:
        """Return the message authentication code of this codec's prefix and a body."""
        return hashlib.blake2b(self.prefix + body, digest_size=MAC_BYTES, key=self.key).digest()

    def encode(self, message: Datagram | Exchange) -> bytes:
        """Return the frame of a message."""
        body = self._encoder.encode(message)
        return self.prefix + self.mac(body) + body

    def decode_datagram(self, frame: bytes) -> Datagram:
        """Return the datagram in a frame.

        Raises:
            FrameRefusedError: The frame is not a valid datagram of this fleet.
        """
        try:
            return self._datagrams.decode(self._open(frame, MAX_DATAGRAM_BYTES))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise FrameRefusedError(RefusalReason.GARBAGE) from error

    def decode_exchange(self, frame: bytes) -> Exchange:
        """Return the message of one side of an exchange in a frame.

        Raises:
            FrameRefusedError: The frame is not a valid exchange message of this fleet.
        """
        try:
            return self._exchanges.decode(self._open(frame, MAX_EXCHANGE_BYTES))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise FrameRefusedError(RefusalReason.GARBAGE) from error

    def _open(self, frame: bytes, max_bytes: int) -> bytes:
        """Return the body of an authentic frame. The checks that cost least come first.

        Raises:
            FrameRefusedError: The frame is too long, malformed or not authentic.
        """
        if len(frame) > max_bytes:
            raise FrameRefusedError(RefusalReason.OVERSIZE)
        if len(frame) <= HEADER_BYTES:
            raise FrameRefusedError(RefusalReason.GARBAGE)
        if frame[0] != PROTOCOL_VERSION:
            raise FrameRefusedError(RefusalReason.VERSION)
        checksum_at = len(self.prefix)
        if frame[:checksum_at] != self.prefix:
            raise FrameRefusedError(RefusalReason.FLEET)
        body = frame[HEADER_BYTES:]
        if not hmac.compare_digest(frame[checksum_at:HEADER_BYTES], self.mac(body)):
            raise FrameRefusedError(RefusalReason.KEY)
        return body


class ReplayWindow:
    """Message numbers received from one incarnation of a sender.

    It holds the highest number, and one bit for each of the last `WIDTH` numbers: 1 if that message has come.
    """

    __slots__ = ("highest_number", "incarnation", "received_bits")

    WIDTH = 64

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.highest_number = 0
        self.received_bits = 0

    def accept(self, incarnation: Incarnation, number: int) -> bool:
        """Record a message, and return whether it is new.

        A message of an older incarnation, or with a number that the window no longer covers, is not new.
        """
        if incarnation != self.incarnation:
            if incarnation < self.incarnation:
                return False
            self.incarnation = incarnation
            self.highest_number = 0
            self.received_bits = 0
        if number > self.highest_number:
            shift = number - self.highest_number
            all_bits = (1 << self.WIDTH) - 1
            self.received_bits = ((self.received_bits << shift) | 1) & all_bits if shift < self.WIDTH else 1
            self.highest_number = number
            return True
        age = self.highest_number - number
        if age >= self.WIDTH or self.received_bits >> age & 1:
            return False
        self.received_bits |= 1 << age
        return True


class ReplayGuard:
    """Owns the replay window of each sender."""

    def __init__(self) -> None:
        self._windows: dict[str, ReplayWindow] = {}

    def check(self, sender: str, incarnation: Incarnation, number: int) -> None:
        """Record a message of a sender.

        Raises:
            FrameRefusedError: The message was received before or is too old, or there are too many senders.
        """
        window = self._windows.get(sender)
        if window is None:
            if len(self._windows) >= MAX_SENDERS:
                raise FrameRefusedError(RefusalReason.FULL)
            window = self._windows[sender] = ReplayWindow(incarnation)
        if not window.accept(incarnation, number):
            raise FrameRefusedError(RefusalReason.REPLAY)

    def retain_only(self, names: AbstractSet[str]) -> None:
        """Remove the windows of all senders except `names`, the current members."""
        for name in self._windows.keys() - names:
            del self._windows[name]
