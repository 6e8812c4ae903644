"""The messages that gateways send one another, as they are on the wire.

Bodies are MessagePack arrays. The names of their fields may change; the order, types and defaults of the
fields may not. A newer version of the protocol adds fields at the end, and an older version ignores fields
that it does not know. `switchline.fleet.frames` wraps bodies in authenticated frames. Membership follows SWIM
(Das, Gupta, Motivala, 2002) with the message kinds of memberlist.
"""

from __future__ import annotations

from enum import IntEnum, IntFlag
from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1_200  # below the usual MTU of any path, so that no datagram is fragmented
MAX_EXCHANGE_BYTES = 4 * 1024 * 1024  # the longest frame that carries one side's complete state
MAX_NAME_CHARS = 64
MAX_VALUE_CHARS = 512
MAX_LISTED_HOSTS = 4_096  # the most backends in one endpoint list
MAX_QUOTAS = 1_024  # the most customers whose quotas one answer reports
MAX_CUSTOMER_KEY_CHARS = 256

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
WallTimeMs = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Host = Annotated[str, msgspec.Meta(max_length=15, pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]

Incarnation = tuple[Count, Count]
"""Identifies one start of a process; a later start has a higher value.

The first number is the wall time of the start in milliseconds, or one more than that of the previous start if
the clock does not give more. The second is a random number.
"""

HybridTimestamp = tuple[Count, Count]
"""Timestamp of a hybrid logical clock: milliseconds of wall time, and a count.

See `switchline.fleet.hybrid_clock`.
"""


class MemberState(IntEnum):
    """State of a member. Of two claims with equal incarnation and refutation, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """Kind of a datagram, as in SWIM and memberlist. Datagrams of every kind carry gossip."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # asks for an indirect probe: ping the target on the sender's behalf
    NACK = 3  # answers a PING_REQ: the target has not acknowledged the ping yet
    GOSSIP = 4


class Wanted(IntFlag):
    """What a gateway asks for in an exchange, in addition to members and facts."""

    NOTHING = 0
    LIST = 1  # the endpoint list, if the other side's is newer
    QUOTAS = 2  # the units that remain of customers' quotas


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A claim about a member's state (SWIM's alive, suspect and confirm messages).

    Attributes:
        name: The member's name.
        incarnation: Which start of the member's process the claim is about.
        refutation: SWIM's incarnation number, which the member raises to refute a suspicion.
        state: The state that is claimed.
        host: The member's IPv4 address.
        port: The member's port.
        suspected_by: The member that has the suspicion, if `state` is SUSPECT; otherwise empty.
    """

    name: Name
    incarnation: Incarnation
    refutation: Count
    state: MemberState
    host: Host
    port: Port
    suspected_by: Name = ""


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One version of a fact.

    Attributes:
        kind: A `FactKind`, or a kind that a later release added.
        name: What the fact is about; empty if it is about the origin itself.
        origin: The gateway that wrote the entry.
        incarnation: The origin's incarnation at that time.
        version: Number that rises with each entry that the origin writes in one incarnation; for a decision,
            number that rises with each version of the decision.
        at_ms: When the value became valid, in milliseconds of the origin's wall clock.
        value: The value; None if the fact is withdrawn.
    """

    kind: Name
    name: Name
    origin: Name
    incarnation: Incarnation
    version: Count
    at_ms: WallTimeMs
    value: Annotated[str, msgspec.Meta(max_length=MAX_VALUE_CHARS)] | None


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One UDP message, with the gossip that it carries.

    Attributes:
        sender: The sender's name.
        incarnation: The sender's incarnation.
        number: Message number, which rises with each message of an incarnation, so that replays are detected.
        kind: The kind of the message.
        seq: Sequence number of a ping and of its answers.
        target: Name of the member that is pinged, in a PING and a PING_REQ; otherwise empty.
        host: The target's IPv4 address in a PING_REQ; otherwise the address at which the sender is reached,
            or empty.
        port: The port at that address; 0 if there is no address.
        updates: Gossip about members.
        entries: Gossip about facts.
        timestamp: The last timestamp of the sender's hybrid logical clock.
    """

    sender: Name
    incarnation: Incarnation
    number: Count
    kind: MessageKind
    seq: Count = 0
    target: Name = ""
    host: str = ""
    port: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 0
    updates: list[MemberUpdate] = []
    entries: list[Entry] = []
    timestamp: HybridTimestamp = (0, 0)


class ListedHost(msgspec.Struct, array_like=True, frozen=True):
    """A backend of an endpoint list, in the terms of the discovery protocol.

    Attributes:
        host: The backend's name.
        dial: The address at which the gateway that sends the list reaches the backend.
        site: The backend's zone.
        block: Number of the backend's cell, a failure domain within the zone.
        health: The backend's state in the discovery protocol, such as "up" or "draining".
        born_ms: When the backend started, in milliseconds of wall time.
    """

    host: Annotated[str, msgspec.Meta(max_length=256)]
    dial: Annotated[str, msgspec.Meta(max_length=64)]
    site: Name
    block: int
    health: Annotated[str, msgspec.Meta(max_length=16)]
    born_ms: WallTimeMs


class EndpointList(msgspec.Struct, array_like=True, frozen=True):
    """A complete endpoint list and its sequence number `seq`."""

    seq: Count
    hosts: Annotated[list[ListedHost], msgspec.Meta(max_length=MAX_LISTED_HOSTS)]


class RemainingQuota(msgspec.Struct, array_like=True, frozen=True):
    """What remains of a customer's quota, as far as a gateway knows.

    Attributes:
        key: The customer's key.
        plan: The customer's plan.
        even_share: The even share of one gateway, as a ratio of the quota (0 to 1).
        remaining_units: Units that all gateways together may still spend.
    """

    key: Annotated[str, msgspec.Meta(max_length=MAX_CUSTOMER_KEY_CHARS)]
    plan: Name
    even_share: Annotated[float, msgspec.Meta(gt=0, le=1)]
    remaining_units: Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Exchange(msgspec.Struct, array_like=True, frozen=True):
    """One side's state in an anti-entropy exchange by TCP (memberlist's push-pull).

    Attributes:
        sender: The sender's name.
        incarnation: The sender's incarnation.
        number: Message number, which rises with each message of an incarnation, so that replays are detected.
        answer: Whether this is the answer to the other side's state.
        updates: All members that the sender knows.
        entries: All facts that the sender knows.
        wants: Bits of `Wanted`: what the sender asks for.
        list_seq: The sequence number of the sender's endpoint list; -1 if it has none.
        endpoint_list: In an answer, the endpoint list, if the other side asked for it and it is newer than
            the other side's; otherwise None.
        remaining_quotas: In an answer, the remaining quotas, if the other side asked for them and they are
            known; otherwise None.
        timestamp: The last timestamp of the sender's hybrid logical clock.
    """

    sender: Name
    incarnation: Incarnation
    number: Count
    answer: bool
    updates: list[MemberUpdate]
    entries: list[Entry]
    wants: Count = 0
    list_seq: Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)] = -1
    endpoint_list: EndpointList | None = None
    remaining_quotas: Annotated[list[RemainingQuota], msgspec.Meta(max_length=MAX_QUOTAS)] | None = None
    timestamp: HybridTimestamp = (0, 0)
