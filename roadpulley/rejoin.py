"""What a gateway takes from the others at its start, before clients: what operators took out by hand.

A disk may be lost, or older than the fleet's word; a ban that operators were told of holds as long as one
gateway that they told of it has its own. Only with both `fleet` and `state`; each alone does what it did.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping

from .bans import Bans
from .peers import Peers

log = logging.getLogger(__name__)

HEAR_S = 2.0  # for word of the others; a gateway alone serves after it
ENOUGH = 3  # others whose whole state has come: fewer where fewer are there
LATER_S = 0.3  # after the last of them: who started a moment later has told by then what is on its disk
LOOK_S, ASK_S = 0.02, 0.15  # between two looks, and two asks of some that have not told yet


class Rejoin:
    """Owns what was taken from the others: that follows the fleet's word, the rest this gateway's calls."""

    def __init__(self, peers: Peers, hands: Mapping[str, Bans]) -> None:
        self.peers, self.hands = peers, hands
        self.taken: set[tuple[str, str]] = set()  # kind and name
        self.waited_ms = 0

    async def hear(self) -> None:
        """Wait, no longer than a bound, until what must be known before clients is known."""
        began = ask_at = time.monotonic()
        node = self.peers.node
        while (left := began + HEAR_S - time.monotonic()) > 0:
            others = len(node.members.here())
            if others and len(node.exchanged_with) >= min(ENOUGH, others):
                await asyncio.sleep(min(LATER_S, left))
                break
            if not (others or self.peers.line.seeds):
                break
            if time.monotonic() >= ask_at:
                ask_at = time.monotonic() + ASK_S
                node.ask_more(ENOUGH - 1)
            await asyncio.sleep(min(LOOK_S, left))
        self.adopt(anew=True)
        self.waited_ms = round((time.monotonic() - began) * 1000)
        log.info(
            "recovery: heard %d other gateways in %d ms; of them come %d that are out by hand",
            *(len(node.exchanged_with), self.waited_ms, len(self.taken)),
        )

    def adopt(self, anew: bool = False) -> None:
        """Follow the fleet's newest word on what was taken from it; `anew`: and take what is out there."""
        for kind, bans in self.hands.items():
            newer: dict[str, tuple[bool, float]] = {}
            for name, (out, at) in self.peers.node.facts.outs(kind).items():
                known = max(bans.out.get(name, 0.0), bans.back.get(name, 0.0))
                if at > known and ((kind, name) in self.taken or (anew and (out or name in bans.out))):
                    newer[name] = out, at
            if not newer:
                continue
            self.taken |= {(kind, name) for name in newer}
            try:
                bans.recover(newer)
            except OSError as error:
                log.warning("what is out by hand, as others tell, can't be kept: %s", error)

    def gauges(self) -> dict[str, int]:
        return {"recovery.from_peers": len(self.taken), "recovery.waited_ms": self.waited_ms}
