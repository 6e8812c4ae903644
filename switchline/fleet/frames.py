"""Authenticated frames around messages, and the protection against replays.

A frame is the version (1 byte), a digest of the fleet's name (4 bytes), a keyed checksum (BLAKE2b, 16 bytes)
over both and the body, and the body in MessagePack.
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
MAX_SENDERS = 6_000  # whose message numbers are remembered
KEY_PURPOSE = b"line of a fleet"  # BLAKE2b's personalization: a part of the protocol


class RefusalReason(StrEnum):
    """Why a frame is dropped; the counters and the log name it by its value."""

    OVERSIZE = "oversize"  # longer than any frame may be
    GARBAGE = "garbage"  # no frame, or no message of a known form
    VERSION = "version"  # another version of the protocol
    FLEET = "fleet"  # of another fleet
    KEY = "key"  # the checksum is wrong: spoilt, or sealed with another secret
    OWN = "own"  # sent by this process itself
    OLDER = "older"  # of an earlier incarnation of its sender
    REPLAY = "replay"  # it has come before
    FULL = "full"  # too many senders are known


class FrameRefusedError(Exception):
    """A frame that is dropped."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class FrameCodec:
    """Encodes messages as frames, and decodes frames of the same fleet and secret alone."""

    def __init__(self, fleet: str, secret: bytes) -> None:
        """`fleet`: its name; `secret`: shared by all its gateways."""
        self.key = hashlib.blake2b(secret, digest_size=KEY_BYTES, person=KEY_PURPOSE).digest()
        fleet_digest = hashlib.blake2b(fleet.encode(), digest_size=FLEET_DIGEST_BYTES).digest()
        self.prefix = bytes([PROTOCOL_VERSION]) + fleet_digest
        self._encoder = msgspec.msgpack.Encoder()
        self._datagrams = msgspec.msgpack.Decoder(Datagram)
        self._exchanges = msgspec.msgpack.Decoder(Exchange)

    def mac(self, body: bytes) -> bytes:
        """Return the keyed checksum of a body under this codec's prefix."""
        return hashlib.blake2b(self.prefix + body, digest_size=MAC_BYTES, key=self.key).digest()

    def encode(self, message: Datagram | Exchange) -> bytes:
        """Return a message as a frame."""
        body = self._encoder.encode(message)
        return self.prefix + self.mac(body) + body

    def decode_datagram(self, frame: bytes) -> Datagram:
        """Return the datagram in a frame.

        Raises:
            FrameRefusedError: It is none of this fleet.
        """
        try:
            return self._datagrams.decode(self._open(frame, MAX_DATAGRAM_BYTES))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise FrameRefusedError(RefusalReason.GARBAGE) from error

    def decode_exchange(self, frame: bytes) -> Exchange:
        """Return one side of an exchange in a frame.

        Raises:
            FrameRefusedError: It is none of this fleet.
        """
        try:
            return self._exchanges.decode(self._open(frame, MAX_EXCHANGE_BYTES))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            raise FrameRefusedError(RefusalReason.GARBAGE) from error

    def _open(self, frame: bytes, max_bytes: int) -> bytes:
        """Return the body of a frame that is authentic; the cheap checks come first."""
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
    """The numbers of one sender's incarnation that have come: the highest, and a bit for each of the last."""

    __slots__ = ("bits", "highest", "incarnation")

    WIDTH = 64

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.highest = 0
        self.bits = 0

    def accept(self, incarnation: Incarnation, number: int) -> bool:
        """Note a message, and return whether it is new; one of an older incarnation, or too old, never is."""
        if incarnation != self.incarnation:
            if incarnation < self.incarnation:
                return False
            self.incarnation = incarnation
            self.highest = 0
            self.bits = 0
        if number > self.highest:
            step = number - self.highest
            all_bits = (1 << self.WIDTH) - 1
            self.bits = ((self.bits << step) | 1) & all_bits if step < self.WIDTH else 1
            self.highest = number
            return True
        age = self.highest - number
        if age >= self.WIDTH or self.bits >> age & 1:
            return False
        self.bits |= 1 << age
        return True


class ReplayGuard:
    """Owns a replay window for each sender."""

    def __init__(self) -> None:
        self._windows: dict[str, ReplayWindow] = {}

    def check(self, sender: str, incarnation: Incarnation, number: int) -> None:
        """Note a message of a sender.

        Raises:
            FrameRefusedError: It has come before, or there are too many senders.
        """
        window = self._windows.get(sender)
        if window is None:
            if len(self._windows) >= MAX_SENDERS:
                raise FrameRefusedError(RefusalReason.FULL)
            window = self._windows[sender] = ReplayWindow(incarnation)
        if not window.accept(incarnation, number):
            raise FrameRefusedError(RefusalReason.REPLAY)

    def forget_all_but(self, names: AbstractSet[str]) -> None:
        """Forget senders that are no members any more."""
        for name in self._windows.keys() - names:
            del self._windows[name]
