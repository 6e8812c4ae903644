"""Which client connections may stay when descriptors are short, and which gives way.

A connection is young until its peer has sent a proper request, then it is proven. The descriptor budget's
part for clients is shared out under pressure alone: most places may be proven connections of any peer, the
rest is for young ones and for peers that hold little. Who gives way: the oldest young one, then the longest
idle one of the peer that holds most; never one with a request open or partly read.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.operators.metrics import EvictionReason, Metrics
from switchline.policy.quota.fair_shares import FairShares

if TYPE_CHECKING:
    from switchline.clients.connection import ClientConnection

log = logging.getLogger(__name__)

# Closed without a wait: descriptors are wanted, or the last answer was read long ago.
CLOSED_AT_ONCE = {EvictionReason.YOUNG, EvictionReason.IDLE, EvictionReason.UNUSED}


class ConnectionPlaces:
    """Owns which connections are young and which are proven.

    Args:
        budget: of descriptors.
        metrics: counts evictions.
    """

    def __init__(self, budget: Budget, metrics: Metrics) -> None:
        self.budget = budget
        self.metrics = metrics
        self.young: dict[ClientConnection, None] = {}  # the oldest first
        self.proven: dict[str, dict[ClientConnection, None]] = {}  # by peer, the longest unused first
        self.shares = FairShares(0)  # of proven connections, among peers
        self._follow_budget()
        budget.shortage_callbacks.append(self.make_room)

    @property
    def limit(self) -> int:
        """How many connections there may be."""
        return self.budget.limit_of(DescriptorOwner.CLIENTS)

    @property
    def young_limit(self) -> int:
        """How many of them may be young under pressure."""
        return max(1, int(self.limit * self.budget.shares.young))

    @property
    def live(self) -> int:
        """Connections that are not about to be closed here."""
        return len(self.young) + self.shares.slots_in_use

    def _follow_budget(self) -> None:
        """Let proven connections have all places but the young ones' before they are shared out."""
        self.shares.limit = self.limit
        self.shares.pressure_threshold = self.limit - self.young_limit

    def opened(self, connection: ClientConnection) -> None:
        """Give a newcomer a place, or mark it as surplus. Once places are few, young ones have a bound."""
        self.young[connection] = None
        limit = self.limit
        young_limit = self.young_limit
        crowded_by_young = self.live > limit - young_limit and len(self.young) > young_limit
        if self.live > limit or crowded_by_young:
            # Proven ones give way only for what they hold of the young ones' places.
            may_evict_idle = self.shares.slots_in_use > limit - young_limit
            evicted = self.evict_young(connection) or (may_evict_idle and self.evict_idle())
            connection.surplus = not evicted

    def prove(self, connection: ClientConnection) -> bool:
        """Give a connection that has sent a proper request a lasting place; return whether it got one."""
        self._follow_budget()
        held = self.shares.slots_by_holder.get(connection.peer, 0)
        if not self.shares.admits(connection.peer) and not self.evict_idle(min_held=held):
            return False
        del self.young[connection]
        connection.proven = True
        self.shares.take(connection.peer)
        self.proven.setdefault(connection.peer, {})[connection] = None
        return True

    def used(self, connection: ClientConnection) -> None:
        """Note that an answer was written: it is the last used one of its peer."""
        of_peer = self.proven.get(connection.peer)
        if of_peer and connection in of_peer:
            del of_peer[connection]
            of_peer[connection] = None

    def forget(self, connection: ClientConnection) -> None:
        """Free its place. Its descriptor is free once the transport has closed it."""
        self.young.pop(connection, None)
        of_peer = self.proven.get(connection.peer)
        if of_peer and connection in of_peer:
            del of_peer[connection]
            self.shares.release(connection.peer)
            if not of_peer:
                del self.proven[connection.peer]

    # ---- eviction ----

    def make_room(self, wanted: int) -> int:
        """Close up to `wanted` connections that nobody uses; return how many."""
        closed = 0
        while closed < wanted and (self.evict_young() or self.evict_idle()):
            closed += 1
        return closed

    def evict_young(self, newcomer: ClientConnection | None = None) -> bool:
        """Close the oldest young connection that may be, other than the newcomer; return whether one was."""
        candidates = (one for one in self.young if one.may_be_evicted and one is not newcomer)
        oldest = next(candidates, None)
        if oldest is not None:
            self.evict(oldest, EvictionReason.YOUNG)
        return oldest is not None

    def evict_idle(self, min_held: int = 0) -> bool:
        """Close the longest idle connection of the peer that holds most, of those that hold an idle one.

        Args:
            min_held: a peer with fewer connections gives none up.

        Returns:
            Whether one was closed.
        """
        for of_peer in sorted(self.proven.values(), key=len, reverse=True):
            if len(of_peer) < min_held:
                break
            longest_idle = next((one for one in of_peer if one.may_be_evicted), None)
            if longest_idle is not None:
                self.evict(longest_idle, EvictionReason.IDLE)
                return True
        return False

    def evict(self, connection: ClientConnection, reason: EvictionReason) -> None:
        """Close a connection and count the reason."""
        self.metrics.evictions[reason] += 1
        log.info("connection of %s is closed: %s", connection.peer, reason.value)
        self.forget(connection)
        if reason is EvictionReason.UNREAD:
            connection.begin_closing()
            if connection.transport is not None:
                connection.transport.abort()  # it reads nothing: no answer can reach it, whatever is open
        elif reason in CLOSED_AT_ONCE:
            connection.begin_closing()
            connection.close()
        else:
            connection.shut()

    def gauges(self) -> dict[str, int]:
        """Metrics for operators."""
        in_use = sum(not one.idle for of_peer in self.proven.values() for one in of_peer)
        return {
            "clients.young": len(self.young),
            "clients.in_use": in_use,
            "clients.idle": self.shares.slots_in_use - in_use,
        }
