"""Operators' calls for the whole fleet: one call sets or clears an override at all gateways.

A call is published as a fact in gossip; its time is its version, later than all changes that its gateway
knows. Each gateway applies the newest call for a name, whatever its own operators have set before, and
acknowledges it by publishing a fact of its own once it is in force there. The gateway that received the
call replies 200 once more than half of all gateways have acknowledged it, and names the others. The override
holds until operators clear it, at one gateway or for the fleet. A gateway that could not be reached applies
the call when gossip reaches it later.

This module is imported only if the configuration has the table `fleet`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping
from typing import NamedTuple

from switchline.clock import now_ms
from switchline.fleet.fact_kinds import FLEET_WIDE, FactKind
from switchline.fleet.facts import FactLimitError
from switchline.fleet.messages import Entry, MemberState
from switchline.fleet_runtime.transport import GossipTransport, PublishedFact
from switchline.operators.calls import Reply
from switchline.operators.override_order import OverrideChange, next_change_ms, supersedes
from switchline.operators.overrides import OperatorOverrides

log = logging.getLogger(__name__)

# How long a reply waits for acknowledgements: it is due within 1 s, of which the disk may have used a part.
ACK_TIMEOUT_S = 0.7
ACK_POLL_INTERVAL_S = 0.02
EXCHANGE_INTERVAL_S = 1.0  # between exchanges with members that have not acknowledged a call
MAX_PARALLEL_EXCHANGES = 2
ACK_LIFETIME_S = 60.0  # then an acknowledgement is withdrawn; far longer than any gateway waits for it
MAX_ACKS = 16  # acknowledgements published at once
MAX_NAMED_GATEWAYS = 20  # in one reply
# Values of a call's fact; any value but the first clears the override.
VALUE_ACTIVE = "down"
VALUE_CLEARED = "up"
# The kind of the fact that acknowledges a call, by the kind of the call's fact. Its value is the call's time.
ACK_KINDS: dict[str, FactKind] = {
    FactKind.FLEET_OVERRIDE_BACKEND: FactKind.ACK_BACKEND,
    FactKind.FLEET_OVERRIDE_ZONE: FactKind.ACK_ZONE,
    FactKind.FLEET_OVERRIDE_SPARED_GATEWAY: FactKind.ACK_SPARED_GATEWAY,
    FactKind.FLEET_OVERRIDE_VERSION_FLOOR: FactKind.ACK_VERSION_FLOOR,
}


# The kind of the fact of an override at one gateway, by the kind of the same override for the fleet.
LOCAL_KINDS: dict[str, str] = {fleet_kind: kind for kind, fleet_kind in FLEET_WIDE.items()}


class CallKey(NamedTuple):
    """The subject of a call: the kind of its fact, and the name of a backend, zone, gateway or floor."""

    kind: str
    name: str


class Acknowledgement(NamedTuple):
    """This gateway's acknowledgement of a call.

    Attributes:
        called_at_ms: time of the call, in Unix milliseconds.
        active: whether the call sets the override.
        published_at_s: when the acknowledgement was published, in seconds of the monotonic clock.
    """

    called_at_ms: float
    active: bool
    published_at_s: float


class FleetCalls:
    """Publishes, applies and acknowledges calls for the whole fleet.

    Args:
        overrides: overrides of this gateway, by the kind of the fact that changes them.
    """

    def __init__(self, overrides: Mapping[str, OperatorOverrides]) -> None:
        self.overrides = overrides
        self.transport: GossipTransport | None = None
        self.acknowledgements: dict[CallKey, Acknowledgement] = {}  # the oldest first
        # Times (Unix ms) of the calls that operators made at this gateway; each is acknowledged here as well.
        self.own_calls: dict[CallKey, float] = {}
        self.next_exchange_s = 0.0

    def attach(self, transport: GossipTransport) -> None:
        """Use this gossip transport from now on; called again after gossip was opened anew."""
        self.transport = transport

    def on_fact(self, entry: Entry) -> None:
        """Apply a fact that is new to this gateway, if it is a call for the fleet."""
        if entry.kind in self.overrides:
            asyncio.get_running_loop().call_soon(self._apply_call, entry)

    def tick(self) -> None:
        """Withdraw expired acknowledgements, and exchange facts with members that lack a call made here.

        Called a few times a second. A member that was unreachable while a call was gossiped would receive it
        only with its next full exchange, or once it is no longer considered dead, so this gateway starts an
        exchange with it.
        """
        now_s = time.monotonic()
        for key, acknowledgement in list(self.acknowledgements.items()):
            if now_s - acknowledgement.published_at_s > ACK_LIFETIME_S:
                self._withdraw(key)
            self.on_changed_here(key.kind, key.name)
        if self.own_calls and self.transport is not None and now_s >= self.next_exchange_s:
            self.next_exchange_s = now_s + EXCHANGE_INTERVAL_S
            self._exchange_with_members_that_lack_a_call(self.transport)

    def on_changed_here(self, kind: str, name: str) -> None:
        """Withdraw the acknowledgement of a call that is not in force here any more."""
        key = CallKey(kind, name)
        acknowledgement = self.acknowledgements.get(key)
        if acknowledgement is not None and acknowledgement.active != (name in self.overrides[kind].active):
            self._withdraw(key)

    def _exchange_with_members_that_lack_a_call(self, transport: GossipTransport) -> None:
        lacking = [
            member
            for member in self._other_members()
            if not all(
                self._has_acknowledged(member, key, called_at_ms)
                for key, called_at_ms in self.own_calls.items()
            )
        ]
        others = transport.node.members.others
        transport.node.exchange_with([others[member].address for member in lacking[:MAX_PARALLEL_EXCHANGES]])

    def next_change_ms(self, kind: str, name: str) -> float:
        """Return the time of a new change, later than those known here of any gateway, in Unix ms.

        Args:
            kind: of the call's fact, for the whole fleet.
            name: of the override.
        """
        known_ms = [self.overrides[kind].last_changed_ms(name)]
        if self.transport is not None:
            facts = self.transport.node.facts
            entries = [facts.shared_entry(each, name) for each in (kind, LOCAL_KINDS[kind])]
            known_ms += [entry.at_ms for entry in entries if entry is not None]
        return next_change_ms(now_ms(), known_ms)

    async def propagate(self, kind: str, name: str, active: bool, called_at_ms: float) -> Reply:
        """Publish a call that is already in force here to all gateways, and wait for acknowledgements.

        Args:
            kind: of the call's fact.
            name: of the override.
            active: whether it is set.
            called_at_ms: the version of the call, by `next_change_ms`.

        Returns:
            Status 200 once more than half of all gateways have acknowledged the call. Status 503 if they have
            not within `ACK_TIMEOUT_S`; the call stays in force here, and gossip continues to spread it.
        """
        if self.transport is None:
            return Reply(503, "it holds here alone: there is no line to other gateways\n")
        value = VALUE_ACTIVE if active else VALUE_CLEARED
        try:
            self.transport.publish(PublishedFact(kind, name, value, called_at_ms))
        except FactLimitError as error:
            return Reply(503, f"it holds here alone: {error}\n")
        key = CallKey(kind, name)
        self._acknowledge(key, OverrideChange(active, called_at_ms))
        self.own_calls[key] = called_at_ms
        deadline_s = time.monotonic() + ACK_TIMEOUT_S
        while self._is_awaited(key, called_at_ms) and time.monotonic() < deadline_s:
            await asyncio.sleep(ACK_POLL_INTERVAL_S)
        return self._summary(key, called_at_ms, value)

    def _summary(self, key: CallKey, called_at_ms: float, value: str) -> Reply:
        """Return the reply to a call: how many gateways have acknowledged it, and the names of the others."""
        newest = self._newest_call(key)
        if newest is not None and newest.at_ms > called_at_ms and newest.value != value:
            return Reply(503, f"a newer call has replaced it, made at {newest.origin}\n")
        others = self._other_members()
        lacking = [member for member in others if not self._has_acknowledged(member, key, called_at_ms)]
        total = 1 + len(others)
        acknowledged = total - len(lacking)
        text = f"{acknowledged} of {total} gateways have it"
        if lacking:
            ellipsis = ", ..." if len(lacking) > MAX_NAMED_GATEWAYS else ""
            named = ", ".join(self._describe(member) for member in lacking[:MAX_NAMED_GATEWAYS])
            text += f"; not known to have it: {named}{ellipsis}"
        if 2 * acknowledged <= total:
            return Reply(503, f"it holds here and goes on to spread, but {text}\n")
        return Reply(200, f"yes: {text}\n")

    def _describe(self, member: str) -> str:
        """Return the name of another member, and how long ago it was heard."""
        if self.transport is None:
            return member
        heard_s = time.monotonic() - self.transport.node.members.others[member].last_heard_s
        return f"{member} (heard {max(0.0, heard_s):.1f} s ago)"

    def _newest_call(self, key: CallKey) -> Entry | None:
        """Return the newest call for a name that any gateway has made, as far as it is known here."""
        if self.transport is None:
            return None
        return self.transport.node.facts.shared_entry(key.kind, key.name)

    def _apply_call(self, entry: Entry) -> None:
        """Apply a call of another gateway unless a newer change is in force; acknowledge it if it is."""
        overrides = self.overrides[entry.kind]
        change = OverrideChange(entry.value == VALUE_ACTIVE, entry.at_ms)
        is_newer = supersedes(change, overrides.last_change(entry.name))
        if is_newer and (change.active or entry.name in overrides.active):
            log.info(
                "%s is %s by a call for the whole fleet, made at %s", entry.name, entry.value, entry.origin
            )
            try:
                overrides.merge({entry.name: change})
            except OSError as error:
                # The override is in force in this process although it is not stored.
                log.warning("a call for the whole fleet can't be stored: error=%s", error)
        if (entry.name in overrides.active) == change.active:
            self._acknowledge(CallKey(entry.kind, entry.name), change)

    def _acknowledge(self, key: CallKey, call: OverrideChange) -> None:
        self.acknowledgements.pop(key, None)
        while len(self.acknowledgements) >= MAX_ACKS:
            self._withdraw(next(iter(self.acknowledgements)))
        self.acknowledgements[key] = Acknowledgement(call.at_ms, call.active, time.monotonic())
        self._publish(ACK_KINDS[key.kind], key.name, repr(call.at_ms))

    def _withdraw(self, key: CallKey) -> None:
        del self.acknowledgements[key]
        self.own_calls.pop(key, None)
        self._publish(ACK_KINDS[key.kind], key.name, None)

    def _publish(self, kind: str, name: str, value: str | None) -> None:
        if self.transport is None:
            return
        try:
            self.transport.publish(PublishedFact(kind, name, value))
        except FactLimitError as error:
            log.warning("acknowledgement of a call not published: error=%s", error)

    def _other_members(self) -> list[str]:
        """Return the names of all other members that have not left the fleet.

        Dead ones are included: a minority must not decide for all gateways.
        """
        if self.transport is None:
            return []
        members = self.transport.node.members.others
        return sorted(name for name, member in members.items() if member.state is not MemberState.LEFT)

    def _is_awaited(self, key: CallKey, called_at_ms: float) -> bool:
        """Return whether a reachable member has not acknowledged a call yet."""
        present = self.transport.node.members.present if self.transport is not None else {}
        return not all(self._has_acknowledged(member, key, called_at_ms) for member in present)

    def _has_acknowledged(self, member: str, key: CallKey, called_at_ms: float) -> bool:
        """Return whether a member has acknowledged this call, or a newer one for the same name."""
        if self.transport is None:
            return False
        value = self.transport.node.facts.value(ACK_KINDS[key.kind], key.name, member)
        try:
            return float(value or 0) >= called_at_ms
        except ValueError:
            return False
