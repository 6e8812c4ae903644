"""SWIM's failure detector: direct probes, indirect probes on others' behalf, and their timeouts. Pure.

A member is pinged; without an answer some helpers are asked to ping it (ping-req); without any answer it is
suspected (`suspicion`). Helpers answer with a nack where they have none either (Lifeguard),
so that missing nacks tell a member that it misses messages itself.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Protocol

from switchline.fleet.membership.member import Address, Member
from switchline.fleet.membership.members import Members
from switchline.fleet.messages import Datagram, MemberState, MemberUpdate, MessageKind

PROBE_INTERVAL_S = 0.4
PROBE_JITTER_RATIO = 0.1  # of the interval, either way
PROBE_TIMEOUT_S = 0.1  # for the answer to a direct probe; as much again for the indirect ones
INDIRECT_PROBES = 3  # helpers asked
NACK_TIMEOUT_RATIO = 0.8  # of the timeout: then a helper says that there is no answer
MAX_RELAYS = 64  # pings on others' behalf under way
RELAY_SEQ_BASE = 1 << 62  # sequence numbers of relayed pings: never those of the own ones
RELAY_SEQ_BITS = 60
NO_ADDRESS: Address = ("", 0)


class SendMessage(Protocol):
    """Sends one datagram; `address` is its address field, `first` gossip that goes before the queue's."""

    def __call__(
        self,
        to: Address,
        kind: MessageKind,
        *,
        seq: int = 0,
        target: str = "",
        address: Address = NO_ADDRESS,
        first: MemberUpdate | None = None,
    ) -> None:
        """Send to an address; the other arguments are fields of the datagram."""


@dataclass(slots=True)
class Probe:
    """The probe under way. Times are seconds.

    Attributes:
        name: The member that is probed.
        direct_until: When the indirect probes begin.
        until: When the member is suspected.
        is_indirect: Whether the indirect probes have begun.
        helpers: How many members were asked for an indirect probe.
        nacks: How many of them have answered that the member does not.
    """

    name: str
    direct_until: float
    until: float
    is_indirect: bool = False
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A ping on another member's behalf.

    Attributes:
        seq: Of that member's probe.
        requester: Where it is reached.
        nack_at: When it is told that there is no answer (seconds).
    """

    seq: int
    requester: Address
    nack_at: float


class Prober:
    """Owns the probe under way, and the pings that are relayed for others."""

    def __init__(
        self, members: Members, address: Address, send: SendMessage, rng: random.Random, now_s: float
    ) -> None:
        """`address`: where this member is reached; `rng`: source of its random choices."""
        self.seq = 0  # of the own probes
        self.probe_at = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._members = members
        self._address = address
        self._send = send
        self._rng = rng
        self._probe: Probe | None = None
        self._relays: dict[int, Relay] = {}  # by the sequence number of the relayed ping

    # The passing of time.

    def next_timeout_s(self) -> float:
        """Return when `run_due` is to be called at the latest for the pings under way."""
        due = min((relay.nack_at for relay in self._relays.values()), default=math.inf)
        probe = self._probe
        if probe is None:
            return due
        return min(due, probe.until if probe.is_indirect else probe.direct_until)

    def restart(self, now_s: float) -> None:
        """Drop the probe after this process stood still: its answer may have come in time."""
        self._probe = None
        self.probe_at = now_s + self._rng.uniform(0, PROBE_INTERVAL_S)

    def run_due(self, now_s: float) -> None:
        """Send nacks and indirect probes that are due, suspect who has not answered, and begin a probe."""
        self._nack_due(now_s)
        probe = self._probe
        if probe is not None and not probe.is_indirect and now_s >= probe.direct_until:
            self._probe_indirectly(probe, now_s)
        if probe is not None and now_s >= probe.until:
            self._fail(probe, now_s)
        if self._probe is None and now_s >= self.probe_at:
            self._begin_probe(now_s)

    def _nack_due(self, now_s: float) -> None:
        for seq, relay in list(self._relays.items()):
            if now_s >= relay.nack_at:
                del self._relays[seq]
                self._send(relay.requester, MessageKind.NACK, seq=relay.seq)

    def _probe_indirectly(self, probe: Probe, now_s: float) -> None:
        probe.is_indirect = True
        member = self._members.others.get(probe.name)
        if member is None:
            return
        for helper in self._members.sampler.helpers(INDIRECT_PROBES, probe.name, now_s):
            probe.helpers += 1
            self._send(
                helper.address, MessageKind.PING_REQ, seq=self.seq, target=probe.name, address=member.address
            )

    def _fail(self, probe: Probe, now_s: float) -> None:
        """Suspect a member; more than one missing nack tells that this one misses messages itself."""
        self._probe = None
        if probe.helpers:
            self._members.health.worsen(max(0, probe.helpers - probe.nacks - 1))
        self._members.suspect(probe.name, now_s)

    def _begin_probe(self, now_s: float) -> None:
        """Ping the next member; one that is suspected hears so, to refute it (Lifeguard's buddy system)."""
        multiplier = self._members.health.probe_multiplier
        jitter = self._rng.uniform(1 - PROBE_JITTER_RATIO, 1 + PROBE_JITTER_RATIO)
        self.probe_at = now_s + PROBE_INTERVAL_S * multiplier * jitter
        if self._members.superseded:
            return
        member = self._members.probe_ring.next()
        if member is None:
            return
        self.seq += 1
        timeout_s = PROBE_TIMEOUT_S * multiplier
        self._probe = Probe(member.update.name, now_s + timeout_s, now_s + 2 * timeout_s)
        first = member.update if member.state is MemberState.SUSPECT else None
        self._ping(member.address, self.seq, member.update.name, first)

    def _ping(self, to: Address, seq: int, target: str, first: MemberUpdate | None = None) -> None:
        self._send(to, MessageKind.PING, seq=seq, target=target, address=self._address, first=first)

    # Messages that came.

    def on_ack(self, message: Datagram) -> None:
        """Take the answer to a ping: of this member's probe, or of one on another's behalf."""
        probe = self._probe
        if probe is not None and message.seq == self.seq and probe.name in (message.sender, message.target):
            self._probe = None
            self._members.health.improve()
            return
        if (relay := self._relays.pop(message.seq, None)) is not None:
            self._send(relay.requester, MessageKind.ACK, seq=relay.seq, target=message.sender)

    def on_nack(self, message: Datagram) -> None:
        """Take a helper's word that the probed member has not answered it."""
        if self._probe is not None and message.seq == self.seq:
            self._probe.nacks += 1

    def on_ping_req(self, now_s: float, message: Datagram, requester: Member | None) -> None:
        """Ping a member on another's behalf."""
        if requester is None or self._members.superseded or len(self._relays) >= MAX_RELAYS:
            return
        if not (message.host and message.port):
            return
        seq = RELAY_SEQ_BASE + self._rng.getrandbits(RELAY_SEQ_BITS)
        nack_at = now_s + PROBE_TIMEOUT_S * NACK_TIMEOUT_RATIO
        self._relays[seq] = Relay(message.seq, requester.address, nack_at)
        self._ping((message.host, message.port), seq, message.target)
