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
RELIEF_BATCH = 8  # connections that may be closed to find descriptors: as many as are accepted in one turn


class Part(Enum):
    """Who holds descriptors."""

    OPERATORS = "operators"
    COUNTER = "counter"
    DISCOVERY = "discovery"
    CLIENTS = "clients"
    BACKENDS = "backends"


# Parts whose size no limit changes. Operators: 16 callers, and 8 accepted before the surplus is closed.
# Counter: four connections, and as many being replaced. Discovery: a watch and the one before it.
FIXED_PARTS = {Part.OPERATORS: 24, Part.COUNTER: 8, Part.DISCOVERY: 2}


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
        self.in_use: Counts[Part] = Counts()
        self.shortages = 0  # times that the system gave none
        self.relief_callbacks: list[Callable[[int], int]] = []  # each closes up to so many connections
        self.reserve: int | None = None
        self._frozen: Counts[Part] | None = None  # another process has taken over: no part grows from here

    @property
    def limit(self) -> int:
        """The configured limit, or the system's own for this process where that is lower."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            return self.configured_limit
        return min(self.configured_limit, soft)

    def limit_of(self, part: Part) -> int:
        """How many descriptors a part may hold now."""
        if part in FIXED_PARTS:
            return FIXED_PARTS[part]
        share = self.shares.clients if part is Part.CLIENTS else self.shares.backends
        available = max(0, self.limit - self.peer_process_descriptors)
        all_shares = self.shares.clients + self.shares.backends
        # Where the limit is low, the fixed parts take more than the shares leave.
        not_fixed = available - self.process_descriptors - sum(FIXED_PARTS.values())
        limit = int(min(available * share, not_fixed * share / all_shares))
        if self._frozen is not None:
            limit = min(limit, self._frozen[part])
        return max(MIN_CONNECTIONS, limit)

    def has_free(self, part: Part) -> bool:
        """Whether a part may open another descriptor."""
        return self.in_use[part] < self.limit_of(part)

    def acquire(self, part: Part) -> None:
        """Count a descriptor that a part has opened."""
        self.in_use[part] += 1

    def release(self, part: Part) -> None:
        """Count a descriptor that a part has closed."""
        self.in_use[part] -= 1

    @property
    def total(self) -> int:
        """Descriptors that this process holds."""
        return self.process_descriptors + self.in_use.total()

    def gauges(self) -> dict[str, int]:
        """Metrics for operators."""
        return {"descriptors.held": self.total, "descriptors.limit": self.limit}

    def freeze(self) -> None:
        """Let no part grow: another process of this gateway grows into what this one gives back."""
        self._frozen = self.in_use.copy()

    def unfreeze(self) -> None:
        """Let the parts grow again: the other process has ended."""
        self._frozen = None

    def relieve(self, error: OSError) -> bool:
        """Close idle connections if an error says that the system gave no descriptor.

        Returns:
            Whether it does say so.
        """
        if error.errno not in SHORTAGE_ERRORS:
            return False
        self.shortages += 1
        log.warning("the system gives no descriptor: %s", error)
        wanted = RELIEF_BATCH
        for close_idle in self.relief_callbacks:
            wanted -= close_idle(wanted)
        return True

    def keep_reserve(self) -> None:
        """Hold one descriptor back, so that an operator gets in whatever else is in use."""
        if self.reserve is None:
            with contextlib.suppress(OSError):  # tried again with the next sweep
                self.reserve = os.open(os.devnull, os.O_RDONLY)

    def lend_reserve(self) -> bool:
        """Give the reserve up for an operator's call; return whether there was one."""
        reserve = self.reserve
        self.reserve = None
        if reserve is not None:
            os.close(reserve)
        return reserve is not None

    def close(self) -> None:
        """Close the reserve."""
        self.lend_reserve()
