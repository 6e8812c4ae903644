"""The budget of file descriptors: the limit of each owner, and the response to a shortage in the system."""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import resource
from collections import Counter as Counts
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

log = logging.getLogger(__name__)

# Errors that mean that the system has no descriptor, memory or port; they are no evidence about the peer.
SHORTAGE_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
# Descriptors of the process itself: standard streams 3, event loop and signals 6, listening sockets 3, the
# connection to the peer process of an upgrade 2, a file and its lock 2, the reserve 1.
PROCESS_DESCRIPTORS = 17
# Descriptors of the state on disk: lock 1, database 3, a journal while the database is opened 1, folder 2.
STATE_DESCRIPTORS = 7
# Descriptors of the fleet's transport: sockets 2, accepted exchanges 6, opened exchanges 2.
FLEET_DESCRIPTORS = 10
# Lower bound of the clients' and of the backends' limit, whatever the peer process of an upgrade has in use.
MIN_CONNECTIONS = 8
# Idle connections closed after a shortage: as many as are accepted in one event loop iteration.
MAX_SHORTAGE_CLOSES = 8


class DescriptorOwner(Enum):
    """The owners of descriptors, each with its own limit."""

    OPERATORS = "operators"
    COUNTER = "counter"
    DISCOVERY = "discovery"
    CLIENTS = "clients"
    BACKENDS = "backends"


# Limits that do not depend on the configured limit. Operators: 16 callers, and 8 accepted before the surplus
# is closed. Counter: 4 connections, and 4 that are being replaced. Discovery: a watch and the one before it.
FIXED_LIMITS = {DescriptorOwner.OPERATORS: 24, DescriptorOwner.COUNTER: 8, DescriptorOwner.DISCOVERY: 2}


@dataclass(frozen=True)
class Shares:
    """The configuration's settings for connections; the field names are its keys."""

    clients: float = 0.5  # share of the descriptors; the platform's clients use a third at most
    backends: float = 0.25  # share of the descriptors
    young: float = 0.25  # share of the clients' limit for peers that have not sent a valid request yet
    connects: int = 4  # concurrent handshakes with one backend, each of which costs the backend work


class Budget:
    """Owns the limit of descriptors for each owner and counts the descriptors that each has in use.

    Owners ask before they open a descriptor and report when they have closed it. Descriptors that neither the
    shares nor the fixed limits assign are headroom, as a closed connection keeps its descriptor for one
    iteration of the event loop.

    Args:
        configured_limit: The number of descriptors of this gateway; during an upgrade, of both processes.
        shares: The shares of the limit for clients and for backends.
        process_descriptors: The number of descriptors that the process uses apart from connections.
    """

    def __init__(
        self,
        configured_limit: int,
        shares: Shares = Shares(),
        process_descriptors: int = PROCESS_DESCRIPTORS,
    ) -> None:
        self.configured_limit = configured_limit
        self.shares = shares
        self.process_descriptors = process_descriptors
        self.peer_process_descriptors = 0  # in use by the other process of an upgrade
        self.in_use: Counts[DescriptorOwner] = Counts()
        self.shortages = 0  # how often the system had no descriptor
        # Each closes up to the given number of idle connections and returns how many it has closed.
        self.shortage_callbacks: list[Callable[[int], int]] = []
        self.reserve_fd: int | None = None
        # Limits in force while another process of this gateway takes over.
        self._frozen_limits: Counts[DescriptorOwner] | None = None

    @property
    def limit(self) -> int:
        """The configured limit, or the system's own for this process where that is lower."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            return self.configured_limit
        return min(self.configured_limit, soft)

    def limit_of(self, owner: DescriptorOwner) -> int:
        """Return how many descriptors an owner may have in use now."""
        if owner in FIXED_LIMITS:
            return FIXED_LIMITS[owner]
        share = self.shares.clients if owner is DescriptorOwner.CLIENTS else self.shares.backends
        available = max(0, self.limit - self.peer_process_descriptors)
        all_shares = self.shares.clients + self.shares.backends
        # If the limit is low, the fixed limits need more than the shares leave.
        not_fixed = available - self.process_descriptors - sum(FIXED_LIMITS.values())
        limit = int(min(available * share, not_fixed * share / all_shares))
        limit = min(limit, not_fixed - MIN_CONNECTIONS)  # which the other owner gets in any case
        if self._frozen_limits is not None:
            limit = min(limit, self._frozen_limits[owner])
        return max(MIN_CONNECTIONS, limit)

    def has_free(self, owner: DescriptorOwner) -> bool:
        """Whether an owner may open another descriptor."""
        return self.in_use[owner] < self.limit_of(owner)

    def acquire(self, owner: DescriptorOwner) -> None:
        """Count a descriptor that an owner has opened."""
        self.in_use[owner] += 1

    def release(self, owner: DescriptorOwner) -> None:
        """Count a descriptor that an owner has closed."""
        self.in_use[owner] -= 1

    @property
    def total_in_use(self) -> int:
        """The number of descriptors that this process has in use."""
        return self.process_descriptors + self.in_use.total()

    def gauges(self) -> dict[str, int]:
        """Return the budget's gauges by metric name."""
        return {"descriptors.held": self.total_in_use, "descriptors.limit": self.limit}

    def freeze(self) -> None:
        """Limit each owner to its present use: the other process of an upgrade takes what is freed."""
        self._frozen_limits = self.in_use.copy()

    def unfreeze(self) -> None:
        """Remove the limits of `freeze`, as the other process has ended."""
        self._frozen_limits = None

    def handle_shortage(self, error: OSError) -> bool:
        """Close idle connections if an error means that the system has no descriptor.

        Returns:
            Whether the error means that.
        """
        if error.errno not in SHORTAGE_ERRORS:
            return False
        self.shortages += 1
        log.warning("the system gives no descriptor: %s", error)
        remaining = MAX_SHORTAGE_CLOSES
        for close_idle in self.shortage_callbacks:
            remaining -= close_idle(remaining)
        return True

    def open_reserve(self) -> None:
        """Open the reserved descriptor, so that operators can connect when all others are in use."""
        if self.reserve_fd is None:
            with contextlib.suppress(OSError):  # the next sweep tries again
                self.reserve_fd = os.open(os.devnull, os.O_RDONLY)

    def close_reserve(self) -> bool:
        """Close the reserved descriptor to make room for an operator's call; return whether it was open."""
        reserve_fd = self.reserve_fd
        self.reserve_fd = None
        if reserve_fd is not None:
            os.close(reserve_fd)
        return reserve_fd is not None

    def close(self) -> None:
        """Close the reserved descriptor."""
        self.close_reserve()
