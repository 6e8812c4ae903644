"""Operators' calls for the whole fleet: one call sets or clears an override at all gateways.

A call is a fact that gossip carries. Each gateway follows the newest one for a name, whatever its own
operators called for before, and acknowledges it by a fact of its own. The gateway that was called replies 200
once more than half of all gateways have acknowledged, and names the others. The override holds until
operators clear it, at one gateway or for the fleet; a gateway that could not be reached follows the call once
it hears of it.

Imported only with the configuration's table `fleet`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping
from typing import NamedTuple

from switchline.clock import now_ms
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import FactLimitError
from switchline.fleet.messages import Entry, MemberState
from switchline.fleet_runtime.transport import GossipTransport, PublishedFact
from switchline.operators.calls import Reply
from switchline.operators.overrides import OperatorOverrides, OverrideChange

log = logging.getLogger(__name__)

ACK_TIMEOUT_S = 0.7  # for the others: the reply is due within 1 s, of which the disk may have taken a part
ACK_POLL_S = 0.02
EXCHANGE_INTERVAL_S = 1.0  # between exchanges with members that lack a call made here
EXCHANGES_AT_ONCE = 2
ACK_LIFETIME_S = 60.0  # an acknowledgement is withdrawn then: far longer than anyone waits for it
MAX_ACKS = 16  # calls acknowledged at once
MAX_NAMED = 20  # gateways that a reply names
VALUE_ACTIVE = "down"  # of the fact of a call; any other value clears the override
VALUE_CLEARED = "up"
# The kind of the acknowledging fact by the kind of the call's; its value is the time of the call.
ACK_KINDS: dict[str, FactKind] = {
    FactKind.FLEET_OVERRIDE_BACKEND: FactKind.ACK_BACKEND,
    FactKind.FLEET_OVERRIDE_ZONE: FactKind.ACK_ZONE,
    FactKind.FLEET_OVERRIDE_SPARED_GATEWAY: FactKind.ACK_SPARED_GATEWAY,
    FactKind.FLEET_OVERRIDE_VERSION_FLOOR: FactKind.ACK_VERSION_FLOOR,
}


class CallKey(NamedTuple):
    """What a call is about: the kind of its fact, and the name of a backend, zone, gateway or floor."""

    kind: str
    name: str


class Acknowledged(NamedTuple):
    """A call that this gateway acknowledged.

    Attributes:
        called_at_ms: time of the call, Unix milliseconds.
        since_s: when it was acknowledged, by the monotonic clock.
    """

    called_at_ms: float
    since_s: float


class FleetCalls:
    """Owns this gateway's part in calls for the whole fleet.

    Args:
        overrides: this gateway's overrides, by the kind of fact that changes them.
    """

    def __init__(self, overrides: Mapping[str, OperatorOverrides]) -> None:
        self.overrides = overrides
        self.peers: GossipTransport | None = None
        self.acknowledged: dict[CallKey, Acknowledged] = {}  # the oldest first
        self.made_here: dict[CallKey, float] = {}  # time of the call; each is in `acknowledged` as well
        self.next_exchange_s = 0.0

    def attach(self, peers: GossipTransport) -> None:
        """Use the gossip transport, which is open, or open anew."""
        self.peers = peers

    def on_fact(self, entry: Entry) -> None:
        """Follow a fact that is new here if it is a call for the fleet."""
        if entry.kind in self.overrides:
            asyncio.get_running_loop().call_soon(self._follow, entry)

    def tick(self) -> None:
        """Withdraw old acknowledgements, and bring calls made here to members that lack them.

        Called a few times a second. A member that was cut off while a call was gossiped would hear of it only
        with the next full exchange, or once it is no longer held dead, so an exchange is begun with it.
        """
        now = time.monotonic()
        for key, acknowledged in list(self.acknowledged.items()):
            if now - acknowledged.since_s > ACK_LIFETIME_S:
                self._withdraw(key)
        if self.made_here and self.peers is not None and now >= self.next_exchange_s:
            self.next_exchange_s = now + EXCHANGE_INTERVAL_S
            self._exchange_with_members_that_lack_a_call(self.peers)

    def _exchange_with_members_that_lack_a_call(self, peers: GossipTransport) -> None:
        lacking = [
            member
            for member in self._other_members()
            if not all(self._has_acknowledged(member, key, at) for key, at in self.made_here.items())
        ]
        known = peers.node.members.others
        peers.node.exchange_with([known[member].address for member in lacking[:EXCHANGES_AT_ONCE]])

    async def propagate(self, kind: str, name: str, active: bool) -> Reply:
        """Bring a call, which holds here already, to all gateways.

        Returns:
            200 once more than half of all gateways have it; 503 if they have not within `ACK_TIMEOUT_S`: the
            call holds here and goes on to spread.
        """
        if self.peers is None:
            return Reply(503, "it holds here alone: there is no line to other gateways\n")
        overrides = self.overrides[kind]
        called_at_ms = (overrides.active if active else overrides.cleared).get(name, now_ms())
        value = VALUE_ACTIVE if active else VALUE_CLEARED
        try:
            self.peers.publish(PublishedFact(kind, name, value, called_at_ms))
        except FactLimitError as error:
            return Reply(503, f"it holds here alone: {error}\n")
        key = CallKey(kind, name)
        self._acknowledge(key, called_at_ms)
        self.made_here[key] = called_at_ms
        deadline = time.monotonic() + ACK_TIMEOUT_S
        while self._is_awaited(key, called_at_ms) and time.monotonic() < deadline:
            await asyncio.sleep(ACK_POLL_S)
        return self._summary(key, called_at_ms)

    def _summary(self, key: CallKey, called_at_ms: float) -> Reply:
        others = self._other_members()
        without = [member for member in others if not self._has_acknowledged(member, key, called_at_ms)]
        total = 1 + len(others)
        having = total - len(without)
        text = f"{having} of {total} gateways have it"
        if without:
            more = ", ..." if len(without) > MAX_NAMED else ""
            text += f"; not known to have it: {', '.join(without[:MAX_NAMED])}{more}"
        if 2 * having <= total:
            return Reply(503, f"it holds here and goes on to spread, but {text}\n")
        return Reply(200, f"yes: {text}\n")

    def _follow(self, entry: Entry) -> None:
        overrides = self.overrides[entry.kind]
        active = entry.value == VALUE_ACTIVE
        is_newer = entry.at_ms > overrides.last_changed_ms(entry.name)
        if is_newer and (active or entry.name in overrides.active):
            log.info("%s is %s by a call for the fleet at %s", entry.name, entry.value, entry.origin)
            try:
                overrides.merge({entry.name: OverrideChange(active, entry.at_ms)})
            except OSError as error:
                log.warning("a call for the fleet can't be stored: error=%s", error)  # it holds all the same
        self._acknowledge(CallKey(entry.kind, entry.name), entry.at_ms)

    def _acknowledge(self, key: CallKey, called_at_ms: float) -> None:
        self.acknowledged.pop(key, None)
        while len(self.acknowledged) >= MAX_ACKS:
            self._withdraw(next(iter(self.acknowledged)))
        self.acknowledged[key] = Acknowledged(called_at_ms, time.monotonic())
        self._gossip(ACK_KINDS[key.kind], key.name, repr(called_at_ms))

    def _withdraw(self, key: CallKey) -> None:
        del self.acknowledged[key]
        self.made_here.pop(key, None)
        self._gossip(ACK_KINDS[key.kind], key.name, None)

    def _gossip(self, kind: str, name: str, value: str | None) -> None:
        if self.peers is None:
            return
        try:
            self.peers.publish(PublishedFact(kind, name, value))
        except FactLimitError as error:
            log.warning("not told to the other gateways: %s", error)

    def _other_members(self) -> list[str]:
        """Return all members that have not left, dead ones too: a minority can't decide for all."""
        if self.peers is None:
            return []
        members = self.peers.node.members.others
        return sorted(name for name, member in members.items() if member.state is not MemberState.LEFT)

    def _is_awaited(self, key: CallKey, called_at_ms: float) -> bool:
        """Return whether a member that is reachable has not acknowledged a call yet."""
        present = self.peers.node.members.present if self.peers is not None else {}
        return not all(self._has_acknowledged(member, key, called_at_ms) for member in present)

    def _has_acknowledged(self, member: str, key: CallKey, called_at_ms: float) -> bool:
        """Return whether a member acknowledged this call, or a newer one for the same name."""
        if self.peers is None:
            return False
        value = self.peers.node.facts.value(ACK_KINDS[key.kind], key.name, member)
        try:
            return float(value or 0) >= called_at_ms
        except ValueError:
            return False
