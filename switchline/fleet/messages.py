"""The messages that gateways send one another, as they are on the wire.

Bodies are arrays in MessagePack: the names of fields are free, their order, types and defaults are not. A
newer version adds fields at the end, and an older one reads as far as it knows. `switchline.fleet.frames`
wraps bodies in authenticated frames. Membership follows SWIM (Das, Gupta, Motivala, 2002) with the message
kinds of memberlist.
"""

from __future__ import annotations

from enum import IntEnum, IntFlag
from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1_200  # below any path's usual MTU, so that no datagram is fragmented
MAX_EXCHANGE_BYTES = 4 * 1024 * 1024  # of one side's state
MAX_NAME_CHARS = 64
MAX_VALUE_CHARS = 512
MAX_LISTED_HOSTS = 4_096  # in one answer
MAX_QUOTAS = 1_024  # customers in one answer
MAX_CUSTOMER_KEY_CHARS = 256

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
WallTimeMs = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Host = Annotated[str, msgspec.Meta(max_length=15, pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]

Incarnation = tuple[Count, Count]
"""Which start of a process, the higher the later: a time (ms) or a count, and a random number."""

HybridTimestamp = tuple[Count, Count]
"""Of a hybrid logical clock: milliseconds of wall time, and a count; see `switchline.fleet.hybrid_clock`."""


class MemberState(IntEnum):
    """State of a member, in the order in which one overrides another of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """Kind of a datagram, as in SWIM and memberlist. All of them carry gossip."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # asks for an indirect probe: ping the target on the sender's behalf
    NACK = 3  # answers a PING_REQ: the target has not acknowledged so far
    GOSSIP = 4


class Wanted(IntFlag):
    """What a gateway asks for in an exchange, in addition to members and facts."""

    NOTHING = 0
    LIST = 1  # the endpoint list, where the other side's is newer
    QUOTAS = 2  # what is left of customers' quotas


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A claim about a member's state (SWIM's alive, suspect and confirm messages).

    Attributes:
        name: The member's name.
        incarnation: Which start of its process.
        refutation: SWIM's incarnation number: the member raises it to refute a suspicion.
        state: The state that is claimed.
        host: The member's address.
        port: The member's port.
        suspected_by: Of a suspicion: the member that suspects it; else empty.
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
        kind: A `FactKind`, or a kind of a later release.
        name: What the fact is about; empty for the origin itself.
        origin: The gateway that wrote it.
        incarnation: The origin's, as it wrote it.
        version: Rises with each entry of an incarnation, or with each version of a decision.
        at_ms: When it became so, in milliseconds of the origin's wall clock.
        value: The value; None where the fact is withdrawn.
    """

    kind: Name
    name: Name
    origin: Name
    incarnation: Incarnation
    version: Count
    at_ms: WallTimeMs
    value: Annotated[str, msgspec.Meta(max_length=MAX_VALUE_CHARS)] | None


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One message by UDP, with the gossip it carries.

    Attributes:
        sender: The sender's name.
        incarnation: The sender's.
        number: Rises with each message of an incarnation, so that a replay is known.
        kind: What the message is.
        seq: Of a ping, and of the answers to it.
        target: Of a PING and a PING_REQ: who is pinged.
        host: Of a PING_REQ: the target's address; else where the sender is reached.
        port: The port at that address; 0 for none.
        updates: Gossip on members.
        entries: Gossip on facts.
        timestamp: The sender's last of its hybrid logical clock.
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
        dial: The address by which the list's owner reaches it.
        site: Its zone.
        block: Its number of a failure domain within the zone.
        health: Its state.
        born_ms: When it started, in milliseconds of wall time.
    """

    host: Annotated[str, msgspec.Meta(max_length=256)]
    dial: Annotated[str, msgspec.Meta(max_length=64)]
    site: Name
    block: int
    health: Annotated[str, msgspec.Meta(max_length=16)]
    born_ms: WallTimeMs


class EndpointList(msgspec.Struct, array_like=True, frozen=True):
    """A complete endpoint list, and its number."""

    seq: Count
    hosts: Annotated[list[ListedHost], msgspec.Meta(max_length=MAX_LISTED_HOSTS)]


class RemainingQuota(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway knows to be left of a customer's quota.

    Attributes:
        key: The customer's key.
        plan: The customer's plan.
        even_share: The even share of one gateway, as a ratio of the quota.
        remaining_units: Units that all gateways have left together.
    """

    key: Annotated[str, msgspec.Meta(max_length=MAX_CUSTOMER_KEY_CHARS)]
    plan: Name
    even_share: Annotated[float, msgspec.Meta(gt=0, le=1)]
    remaining_units: Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Exchange(msgspec.Struct, array_like=True, frozen=True):
    """One side's state in an anti-entropy exchange by TCP (memberlist's push-pull).

    Attributes:
        sender: The sender's name.
        incarnation: The sender's.
        number: Rises with each message of an incarnation, so that a replay is known.
        answer: Whether this is the answer to the other side's state.
        updates: All members that the sender knows.
        entries: All facts that the sender knows.
        wants: Bits of `Wanted`: what the sender asks for.
        list_seq: The number of the sender's endpoint list; -1 where it has none.
        endpoint_list: Of an answer: the endpoint list, if it was wanted and is newer.
        remaining_quotas: Of an answer: the quotas, if they were wanted and are known.
        timestamp: The sender's last of its hybrid logical clock.
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
