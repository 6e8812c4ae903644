"""Places for client connections in the descriptor budget, and eviction when places are scarce.

A connection is young until its peer has sent a valid request; from then on it is validated. The places for
clients are divided only when few are free: most of them may go to validated connections of any peer, and
the rest is for young connections and for peers with few connections. The oldest young connection is evicted
first, then the longest idle one of the peer that has most. A connection with a request in flight or partly
read is never evicted to make room.
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

# Evicted for these reasons, a connection is closed without lingering: its descriptor is needed at once, or
# its last answer was read long ago.
CLOSED_AT_ONCE = {EvictionReason.YOUNG, EvictionReason.IDLE, EvictionReason.UNUSED}


class ConnectionPlaces:
    """Owns the sets of young and of validated connections.

    Args:
        budget: the descriptor budget, which limits the number of connections.
        metrics: counts evictions.
    """

    def __init__(self, budget: Budget, metrics: Metrics) -> None:
        self.budget = budget
        self.metrics = metrics
        self.young: dict[ClientConnection, None] = {}  # the oldest first
        # By peer address; of each peer the longest unused connection first.
        self.validated: dict[str, dict[ClientConnection, None]] = {}
        self.shares = FairShares(0)  # divides validated connections among peers
        self._update_limits()
        budget.shortage_callbacks.append(self.make_room)

    @property
    def limit(self) -> int:
        """Maximum number of client connections."""
        return self.budget.limit_of(DescriptorOwner.CLIENTS)

    @property
    def young_limit(self) -> int:
        """Maximum number of young connections when places are scarce."""
        return max(1, int(self.limit * self.budget.shares.young))

    @property
    def live_count(self) -> int:
        """Number of connections that are not being closed by this side."""
        return len(self.young) + self.shares.slots_in_use

    def _update_limits(self) -> None:
        """Take the limits over from the budget.

        Places of validated connections are divided among peers only once all places but those for young
        connections are in use.
        """
        self.shares.limit = self.limit
        self.shares.pressure_threshold = self.limit - self.young_limit

    def add(self, connection: ClientConnection) -> None:
        """Give a new connection a place, or mark it as surplus.

        Once places are scarce, the number of young connections is limited too.
        """
        self.young[connection] = None
        limit = self.limit
        young_limit = self.young_limit
        has_too_many_young = self.live_count > limit - young_limit and len(self.young) > young_limit
        if self.live_count > limit or has_too_many_young:
            # Validated connections are evicted only while they use places meant for young ones.
            may_evict_idle = self.shares.slots_in_use > limit - young_limit
            evicted = self.evict_young(connection) or (may_evict_idle and self.evict_idle())
            connection.surplus = not evicted

    def promote(self, connection: ClientConnection) -> bool:
        """Give a connection that has sent a valid request a place as a validated one.

        Returns:
            Whether it got a place; else it stays young.
        """
        self._update_limits()
        connection_count = self.shares.slots_by_holder.get(connection.peer_address, 0)
        if not self.shares.admits(connection.peer_address) and not self.evict_idle(
            min_connections=connection_count
        ):
            return False
        del self.young[connection]
        connection.validated = True
        self.shares.take(connection.peer_address)
        self.validated.setdefault(connection.peer_address, {})[connection] = None
        return True

    def holds(self, connection: ClientConnection) -> bool:
        """Whether the connection has a place."""
        return connection in self.young or connection in self.validated.get(connection.peer_address, ())

    def record_use(self, connection: ClientConnection) -> None:
        """Record that an answer was written: the connection is now the most recently used of its peer."""
        peer_connections = self.validated.get(connection.peer_address)
        if peer_connections and connection in peer_connections:
            del peer_connections[connection]
            peer_connections[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Free the place of a connection. Its descriptor is freed once the transport has closed it."""
        self.young.pop(connection, None)
        peer_connections = self.validated.get(connection.peer_address)
        if peer_connections and connection in peer_connections:
            del peer_connections[connection]
            self.shares.release(connection.peer_address)
            if not peer_connections:
                del self.validated[connection.peer_address]

    # ---- eviction ----

    def make_room(self, wanted_count: int) -> int:
        """Close up to `wanted_count` young or idle connections; return how many were closed."""
        closed = 0
        while closed < wanted_count and (self.evict_young() or self.evict_idle()):
            closed += 1
        return closed

    def evict_young(self, newcomer: ClientConnection | None = None) -> bool:
        """Close the oldest young connection that may be evicted, other than `newcomer`.

        Returns:
            Whether a connection was closed.
        """
        candidates = (
            connection
            for connection in self.young
            if connection.may_be_evicted and connection is not newcomer
        )
        oldest = next(candidates, None)
        if oldest is not None:
            self.evict(oldest, EvictionReason.YOUNG)
        return oldest is not None

    def evict_idle(self, min_connections: int = 0) -> bool:
        """Close the longest idle connection of the peer with most connections, of those with an idle one.

        Args:
            min_connections: peers with fewer connections are skipped.

        Returns:
            Whether a connection was closed.
        """
        for peer_connections in sorted(self.validated.values(), key=len, reverse=True):
            if len(peer_connections) < min_connections:
                break
            longest_idle = next(
                (connection for connection in peer_connections if connection.may_be_evicted), None
            )
            if longest_idle is not None:
                self.evict(longest_idle, EvictionReason.IDLE)
                return True
        return False

    def evict(self, connection: ClientConnection, reason: EvictionReason) -> None:
        """Close a connection and count the eviction by its reason."""
        self.metrics.evictions[reason] += 1
        log.info("client connection from %s is evicted, reason: %s", connection.peer_address, reason.value)
        self.remove(connection)
        if reason is EvictionReason.UNREAD_REPLIES:
            connection.end.begin()
            if connection.transport is not None:
                connection.transport.abort()  # it reads nothing, so no pending answer can reach it
        elif reason in CLOSED_AT_ONCE:
            connection.end.begin()
            connection.end.close()
        else:
            connection.end.close_gracefully()

    def gauges(self) -> dict[str, int]:
        """Number of connections by state, as metrics for operators."""
        in_use = sum(
            not connection.idle
            for peer_connections in self.validated.values()
            for connection in peer_connections
        )
        return {
            "clients.young": len(self.young),
            "clients.in_use": in_use,
            "clients.idle": self.shares.slots_in_use - in_use,
        }
