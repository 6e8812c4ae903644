"""SWIM's failure detector: direct probes, indirect probes on others' behalf, and their timeouts.

A member is pinged. If it does not answer, some helpers are asked to ping it (ping-req). If they get no answer
either, it is suspected (`suspicion`). A helper that gets no answer sends a nack (Lifeguard), so that
missing nacks tell a member that it misses messages itself.
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
PROBE_JITTER_RATIO = 0.1  # each interval is longer or shorter by at most this ratio, at random
PROBE_TIMEOUT_S = 0.1  # time for the answer to a direct probe, and as long again for indirect probes
INDIRECT_PROBES = 3  # number of helpers that are asked for an indirect probe
NACK_TIMEOUT_RATIO = 0.8  # a helper sends a nack after this ratio of the probe timeout
MAX_RELAYS = 64  # the most pings in flight on others' behalf
RELAY_SEQ_BASE = 1 << 62  # lowest sequence number of relayed pings, far above those of own pings
RELAY_SEQ_BITS = 60
NO_ADDRESS: Address = ("", 0)


class SendMessage(Protocol):
    """Sends one datagram."""

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
        """Send a datagram to the address `to`.

        `address` is the address that the datagram names (`Datagram.host` and `port`). `first` is a claim that
        it carries in addition to the queued gossip. The other arguments are its fields.
        """


@dataclass(slots=True)
class Probe:
    """The probe in flight. Times are seconds of a monotonic clock.

    Attributes:
        name: The member that is probed.
        direct_timeout_at_s: When the indirect probes begin.
        timeout_at_s: When the member is suspected.
        is_indirect: Whether the indirect probes have begun.
        helpers: Number of members that were asked for an indirect probe.
        nacks: Number of nacks from them.
    """

    name: str
    direct_timeout_at_s: float
    timeout_at_s: float
    is_indirect: bool = False
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A ping on another member's behalf, the requester's.

    Attributes:
        seq: The sequence number of the requester's probe.
        requester: The address of the requester.
        nack_at_s: When a nack is sent to the requester if there is no answer (seconds).
    """

    seq: int
    requester: Address
    nack_at_s: float


class Prober:
    """Owns the probe in flight, and the pings that are relayed for other members."""

    def __init__(
        self, members: Members, address: Address, send: SendMessage, rng: random.Random, now_s: float
    ) -> None:
        """`address` is where this member is reached; `rng` is the source of its random choices."""
        self.seq = 0  # sequence number of the last own probe
        self.next_probe_at_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._members = members
        self._address = address
        self._send = send
        self._rng = rng
        self._probe: Probe | None = None
        self._relays: dict[int, Relay] = {}  # by the sequence number of the relayed ping

    # Timeouts.

    def next_timeout_at_s(self) -> float:
        """Return the latest time (seconds) for the next `run_due`, as the pings in flight need it."""
        timeout_at_s = min((relay.nack_at_s for relay in self._relays.values()), default=math.inf)
        probe = self._probe
        if probe is None:
            return timeout_at_s
        return min(timeout_at_s, probe.timeout_at_s if probe.is_indirect else probe.direct_timeout_at_s)

    def restart(self, now_s: float) -> None:
        """Drop the probe in flight after this process was stalled, as the answer may have come in time."""
        self._probe = None
        self.next_probe_at_s = now_s + self._rng.uniform(0, PROBE_INTERVAL_S)

    def run_due(self, now_s: float) -> None:
        """Send the nacks and indirect probes that are due, suspect a member without answer, begin a probe."""
        self._send_due_nacks(now_s)
        probe = self._probe
        if probe is not None and not probe.is_indirect and now_s >= probe.direct_timeout_at_s:
            self._probe_indirectly(probe, now_s)
        if probe is not None and now_s >= probe.timeout_at_s:
            self._fail_probe(probe, now_s)
        if self._probe is None and now_s >= self.next_probe_at_s:
            self._begin_probe(now_s)

    def _send_due_nacks(self, now_s: float) -> None:
        for seq, relay in list(self._relays.items()):
            if now_s >= relay.nack_at_s:
                del self._relays[seq]
                self._send(relay.requester, MessageKind.NACK, seq=relay.seq)

    def _probe_indirectly(self, probe: Probe, now_s: float) -> None:
        probe.is_indirect = True
        member = self._members.others.get(probe.name)
        if member is None:
            return
        for helper in self._members.sampler.sample_helpers(INDIRECT_PROBES, probe.name, now_s):
            probe.helpers += 1
            self._send(
                helper.address, MessageKind.PING_REQ, seq=self.seq, target=probe.name, address=member.address
            )

    def _fail_probe(self, probe: Probe, now_s: float) -> None:
        """Suspect a member. More than one missing nack shows that this member misses messages itself."""
        self._probe = None
        if probe.helpers:
            self._members.health.worsen(max(0, probe.helpers - probe.nacks - 1))
        self._members.suspect(probe.name, now_s)

    def _begin_probe(self, now_s: float) -> None:
        """Ping the next member.

        The ping to a suspected member carries the suspicion, so that the member can refute it (Lifeguard's
        buddy system).
        """
        multiplier = self._members.health.probe_multiplier
        jitter = self._rng.uniform(1 - PROBE_JITTER_RATIO, 1 + PROBE_JITTER_RATIO)
        self.next_probe_at_s = now_s + PROBE_INTERVAL_S * multiplier * jitter
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

    # Received messages.

    def on_ack(self, message: Datagram) -> None:
        """Process the answer to a ping: of this member's probe, or of a ping on another's behalf."""
        probe = self._probe
        if probe is not None and message.seq == self.seq and probe.name in (message.sender, message.target):
            self._probe = None
            self._members.health.improve()
            return
        if (relay := self._relays.pop(message.seq, None)) is not None:
            self._send(relay.requester, MessageKind.ACK, seq=relay.seq, target=message.sender)

    def on_nack(self, message: Datagram) -> None:
        """Count the nack of a helper that got no answer from the probed member."""
        if self._probe is not None and message.seq == self.seq:
            self._probe.nacks += 1

    def on_ping_req(self, now_s: float, message: Datagram, requester: Member | None) -> None:
        """Ping a member on another's behalf."""
        if requester is None or self._members.superseded or len(self._relays) >= MAX_RELAYS:
            return
        if not (message.host and message.port):
            return
        seq = RELAY_SEQ_BASE + self._rng.getrandbits(RELAY_SEQ_BITS)
        nack_at_s = now_s + PROBE_TIMEOUT_S * NACK_TIMEOUT_RATIO
        self._relays[seq] = Relay(message.seq, requester.address, nack_at_s)
        self._ping((message.host, message.port), seq, message.target)
