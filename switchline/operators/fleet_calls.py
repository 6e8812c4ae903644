"""What operators take out or put back for the whole fleet with one call.

The call is a fact of the fleet: each gateway follows the newest, and tells that it took it. The gateway that
was called answers yes where more than half of all have it, and names those that are not known to. Only with
the configuration's table `fleet`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping

from switchline.clock import now_ms
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import FactLimitError
from switchline.fleet.messages import Entry, MemberState
from switchline.fleet_runtime.transport import Peers, Word
from switchline.operators.overrides import OperatorOverrides
from switchline.operators.server import Said

log = logging.getLogger(__name__)

WAIT_S = 0.7  # for the others to have it: the answer is due within 1 s, and the disk may have taken a part
LOOK_S = 0.02
AGAIN_S, AT_ONCE = 1.0, 2  # between two exchanges with members that lack a call made here; with how many
TAKEN_S = 60.0  # a gateway tells for so long that it took a call: far longer than anyone waits for it
MOST_TAKEN = 16  # calls that are told of at once
MOST_NAMED = 20  # gateways without it that an answer names
# Kinds of facts; value: the time of the call.
TOOK: dict[str, FactKind] = {
    FactKind.FLEET_BACKEND: FactKind.TOOK_BACKEND,
    FactKind.FLEET_ZONE: FactKind.TOOK_ZONE,
    FactKind.FLEET_SPARE: FactKind.TOOK_SPARE,
    FactKind.FLEET_FLOOR: FactKind.TOOK_FLOOR,
}


class FleetCalls:
    """Owns this gateway's part in calls for the whole fleet."""

    def __init__(self, hands: Mapping[str, OperatorOverrides]) -> None:
        self.hands = hands  # by kind of fact
        self.peers: Peers | None = None
        self.calls: dict[tuple[str, str], float] = {}  # made here, of those in `took`: the call's time
        self.again_at = 0.0
        self.took: dict[tuple[str, str], tuple[float, float]] = {}  # kind, name: the call's time, when here

    def attach(self, peers: Peers) -> None:
        """The line is open, or open anew."""
        self.peers = peers

    def heard(self, entry: Entry) -> None:
        """A fact that is new here: a call for the fleet is followed at once."""
        if entry.kind in self.hands:
            asyncio.get_running_loop().call_soon(self.follow, entry)

    def follow(self, entry: Entry) -> None:
        bans = self.hands[entry.kind]
        if entry.at > bans.since(entry.name) and (entry.value == "down" or entry.name in bans.out):
            log.info("%s is %s by a call for the fleet at %s", entry.name, entry.value, entry.origin)
            try:
                bans.recover({entry.name: (entry.value == "down", entry.at)})
            except OSError as error:
                log.warning("a call for the fleet can't be kept: %s", error)  # it holds here all the same
        self.take(entry.kind, entry.name, entry.at)

    def take(self, kind: str, name: str, at: float) -> None:
        self.took.pop((kind, name), None)
        while len(self.took) >= MOST_TAKEN:
            self.end(next(iter(self.took)))
        self.took[kind, name] = at, time.monotonic()
        self.say(TOOK[kind], name, repr(at))

    def end(self, key: tuple[str, str]) -> None:
        del self.took[key]
        self.calls.pop(key, None)
        self.say(TOOK[key[0]], key[1], None)

    def say(self, kind: str, name: str, value: str | None) -> None:
        if self.peers is not None:
            try:
                self.peers.say(Word(kind, name, value))
            except FactLimitError as error:
                log.warning("not told to the other gateways: %s", error)

    def look(self) -> None:
        """Called now and then: what nobody waits for any more is withdrawn.

        Who was cut off while a call was told would hear of it only with the next exchange of all, or once it
        is no longer held dead: the gateway that was called tries an exchange with it meanwhile.
        """
        now = time.monotonic()
        for key, (_, since) in list(self.took.items()):
            if now - since > TAKEN_S:
                self.end(key)
        if self.calls and self.peers is not None and now >= self.again_at:
            self.again_at = now + AGAIN_S
            others, calls = self.others(), self.calls.items()
            lack = [n for n in others if not all(self.has(n, kind, name, at) for (kind, name), at in calls)]
            known = self.peers.node.members.others
            self.peers.node.exchange_with([known[name].address for name in lack[:AT_ONCE]])

    # ---- a call here ----

    async def tell(self, kind: str, name: str, out: bool) -> Said:
        """Tell all of a call that holds here already; answers once more than half of those here have it."""
        if self.peers is None:
            return Said(503, "it holds here alone: there is no line to other gateways\n")
        bans = self.hands[kind]
        at = (bans.out if out else bans.back).get(name, now_ms())
        try:
            self.peers.say(Word(kind, name, "down" if out else "up", at))
        except FactLimitError as error:
            return Said(503, f"it holds here alone: {error}\n")
        self.take(kind, name, at)
        self.calls[kind, name] = at
        ends = time.monotonic() + WAIT_S
        while self.waits_for(kind, name, at) and time.monotonic() < ends:
            await asyncio.sleep(LOOK_S)
        others = self.others()
        without = [other for other in others if not self.has(other, kind, name, at)]
        everyone = 1 + len(others)
        has = everyone - len(without)
        said = f"{has} of {everyone} gateways have it"
        if without:
            named = ", ".join(without[:MOST_NAMED]) + (", ..." if len(without) > MOST_NAMED else "")
            said += f"; not known to have it: {named}"
        if 2 * has <= everyone:
            return Said(503, f"it holds here and goes on to spread, but {said}\n")
        return Said(200, f"yes: {said}\n")

    def others(self) -> list[str]:
        """All members that have not left, those lost to this one too: a minority does not speak for all."""
        if self.peers is None:
            return []
        members = self.peers.node.members.others
        return sorted(name for name, member in members.items() if member.state is not MemberState.LEFT)

    def waits_for(self, kind: str, name: str, at: float) -> bool:
        """Whether a member that is here has not got it yet."""
        here = self.peers.node.members.present if self.peers is not None else {}
        return not all(self.has(other, kind, name, at) for other in here)

    def has(self, other: str, kind: str, name: str, at: float) -> bool:
        """Whether a member has told that it took this call, or a newer one."""
        told = self.peers.node.facts.value(TOOK[kind], name, other) if self.peers is not None else None
        try:
            return float(told or 0) >= at
        except ValueError:
            return False
