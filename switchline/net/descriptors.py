"""The budget of file descriptors: who may hold how many, and what is done when the system gives none."""

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

# The system has no descriptor, or no memory or port for one: it says nothing of the other side.
SHORTAGE_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
# Of the process itself: standard streams 3, event loop and signals 6, listening sockets 3, the connection to
# the peer process of an upgrade 2, a file and its lock 2, the reserve 1.
PROCESS_DESCRIPTORS = 17
STATE_DESCRIPTORS = 7  # of the state on disk: lock 1, database 3, a journal while it begins 1, folder 2
FLEET_DESCRIPTORS = 10  # of the fleet's transport: two sockets, six exchanges accepted, two opened
MIN_CONNECTIONS = 8  # of clients and of backends, whatever the peer process of an upgrade holds
MAX_SHORTAGE_CLOSES = (
    8  # connections that may be closed to find descriptors: as many as are accepted in one turn
)


class DescriptorOwner(Enum):
    """Who holds descriptors."""

    OPERATORS = "operators"
    COUNTER = "counter"
    DISCOVERY = "discovery"
    CLIENTS = "clients"
    BACKENDS = "backends"


# Parts whose size no limit changes. Operators: 16 callers, and 8 accepted before the surplus is closed.
# Counter: four connections, and as many being replaced. Discovery: a watch and the one before it.
FIXED_LIMITS = {DescriptorOwner.OPERATORS: 24, DescriptorOwner.COUNTER: 8, DescriptorOwner.DISCOVERY: 2}


@dataclass(frozen=True)
class Shares:
    """What a configuration may say of connections; the fields are its keys."""

    clients: float = 0.5  # of the descriptors; the platform's clients hold a third at most
    backends: float = 0.25
    young: float = 0.25  # of the clients' part: for peers that have yet to send a proper request
    connects: int = 4  # handshakes under way to one backend: each costs it work before any request


class Budget:
    """Owns how many descriptors each part may hold, and counts how many each does.

    The parts ask before they open and report when they have closed. What the two shares and the fixed parts
    leave is headroom: a connection that is closed keeps its descriptor for a turn of the event loop.

    Args:
        configured_limit: descriptors of this gateway, both processes of an upgrade together.
        shares: of the limit, for clients and backends.
        process_descriptors: what the process holds beside connections.
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
        self.peer_process_descriptors = 0  # held by the other process of an upgrade
        self.in_use: Counts[DescriptorOwner] = Counts()
        self.shortages = 0  # times that the system gave none
        self.shortage_callbacks: list[Callable[[int], int]] = []  # each closes up to so many connections
        self.reserve_fd: int | None = None
        self._frozen: Counts[DescriptorOwner] | None = (
            None  # another process has taken over: no part grows from here
        )

    @property
    def limit(self) -> int:
        """The configured limit, or the system's own for this process where that is lower."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            return self.configured_limit
        return min(self.configured_limit, soft)

    def limit_of(self, owner: DescriptorOwner) -> int:
        """How many descriptors a part may hold now."""
        if owner in FIXED_LIMITS:
            return FIXED_LIMITS[owner]
        share = self.shares.clients if owner is DescriptorOwner.CLIENTS else self.shares.backends
        available = max(0, self.limit - self.peer_process_descriptors)
        all_shares = self.shares.clients + self.shares.backends
        # Where the limit is low, the fixed parts take more than the shares leave.
        not_fixed = available - self.process_descriptors - sum(FIXED_LIMITS.values())
        limit = int(min(available * share, not_fixed * share / all_shares))
        if self._frozen is not None:
            limit = min(limit, self._frozen[owner])
        return max(MIN_CONNECTIONS, limit)

    def has_free(self, owner: DescriptorOwner) -> bool:
        """Whether a part may open another descriptor."""
        return self.in_use[owner] < self.limit_of(owner)

    def acquire(self, owner: DescriptorOwner) -> None:
        """Count a descriptor that a part has opened."""
        self.in_use[owner] += 1

    def release(self, owner: DescriptorOwner) -> None:
        """Count a descriptor that a part has closed."""
        self.in_use[owner] -= 1

    @property
    def total_in_use(self) -> int:
        """Descriptors that this process holds."""
        return self.process_descriptors + self.in_use.total()

    def gauges(self) -> dict[str, int]:
        """Metrics for operators."""
        return {"descriptors.held": self.total_in_use, "descriptors.limit": self.limit}

    def freeze(self) -> None:
        """Let no part grow: another process of this gateway grows into what this one gives back."""
        self._frozen = self.in_use.copy()

    def unfreeze(self) -> None:
        """Let the parts grow again: the other process has ended."""
        self._frozen = None

    def handle_shortage(self, error: OSError) -> bool:
        """Close idle connections if an error says that the system gave no descriptor.

        Returns:
            Whether it does say so.
        """
        if error.errno not in SHORTAGE_ERRORS:
            return False
        self.shortages += 1
        log.warning("the system gives no descriptor: %s", error)
        wanted = MAX_SHORTAGE_CLOSES
        for close_idle in self.shortage_callbacks:
            wanted -= close_idle(wanted)
        return True

    def open_reserve(self) -> None:
        """Hold one descriptor back, so that an operator gets in whatever else is in use."""
        if self.reserve_fd is None:
            with contextlib.suppress(OSError):  # tried again with the next sweep
                self.reserve_fd = os.open(os.devnull, os.O_RDONLY)

    def close_reserve(self) -> bool:
        """Give the reserve up for an operator's call; return whether there was one."""
        reserve_fd = self.reserve_fd
        self.reserve_fd = None
        if reserve_fd is not None:
            os.close(reserve_fd)
        return reserve_fd is not None

    def close(self) -> None:
        """Close the reserve."""
        self.close_reserve()
