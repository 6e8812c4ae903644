"""The one budget of file descriptors: which part may hold how many, and what if the system gives none."""

from __future__ import annotations

import errno
import logging
import os
import resource
from collections import Counter as Counts
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

log = logging.getLogger(__name__)

# The system has no descriptor, or no memory or port for one: it tells nothing of the other side.
SHORT = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
# Of the process itself: standard streams 3, event loop and signals 6, listening sockets 3, the line to the
# process beside it 2, a file and its lock 2, the spare one 1.
OWN = 17
OF_STATE = 7  # of the state on disk: lock 1, database 3, a journal while it begins 1, folder 2
OF_LINE = 10  # of the line between gateways: two sockets, six exchanges, two on their way out
LEAST = 8  # connections of clients and of backends, whatever the other process of an upgrade holds
RELIEVED = 8  # connections that may be closed to find descriptors: as many as are accepted in one turn


class Part(Enum):
    """Who holds descriptors."""

    OPERATORS = "operators"
    COUNTER = "counter"
    DISCOVERY = "discovery"
    CLIENTS = "clients"
    BACKENDS = "backends"


# Parts of a size that no limit changes: callers 16, and 8 accepted before the surplus is closed; four lanes
# of the counter and what they leave in a move; a watch of discovery and the one before it.
FIXED = {Part.OPERATORS: 24, Part.COUNTER: 8, Part.DISCOVERY: 2}


@dataclass(frozen=True)
class Shares:
    """What a configuration may say of connections."""

    clients: float = 0.5  # of the descriptors; the platform's clients hold a third at most
    backends: float = 0.25
    young: float = 0.25  # of the clients' part: for peers that have yet to send a proper request
    connects: int = 4  # handshakes under way to one backend: each costs it work before any request


class Budget:
    """Owns how many descriptors each part may hold, and knows how many each does.

    The parts ask before they open and tell when they have closed. What the two shares and the fixed parts
    leave is headroom: a connection that is closed keeps its descriptor for a turn of the event loop.
    """

    def __init__(self, limit: int, shares: Shares = Shares(), own: int = OWN) -> None:
        self.own = own
        self.shares, self.configured = shares, limit
        self.beside = 0  # held by the other process of an upgrade
        self.held: Counts[Part] = Counts()
        self.frozen: Counts[Part] | None = None  # another process has taken over: no part grows from here
        self.shortages = 0  # times that the system gave none
        self.relief: list[Callable[[int], int]] = []  # each closes up to so many connections, if it can
        self.spare: int | None = None

    @property
    def limit(self) -> int:
        """The configured limit, or the system's own for this process where that is lower."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return self.configured if soft == resource.RLIM_INFINITY else min(self.configured, soft)

    def most(self, part: Part) -> int:
        if part in FIXED:
            return FIXED[part]
        share = self.shares.clients if part is Part.CLIENTS else self.shares.backends
        left = max(0, self.limit - self.beside)
        whole = self.shares.clients + self.shares.backends
        # Of a low limit the fixed parts take more than the shares leave.
        most = int(min(left * share, (left - self.own - sum(FIXED.values())) * share / whole))
        if self.frozen is not None:
            most = min(most, self.frozen[part])
        return max(LEAST, most)

    def may(self, part: Part) -> bool:
        return self.held[part] < self.most(part)

    def take(self, part: Part) -> None:
        self.held[part] += 1

    def free(self, part: Part) -> None:
        self.held[part] -= 1

    @property
    def total(self) -> int:
        return self.own + self.held.total()

    def gauges(self) -> dict[str, int]:
        return {"descriptors.held": self.total, "descriptors.limit": self.limit}

    def hand_over(self) -> None:
        """Another process of this gateway grows into what this one gives back."""
        self.frozen = self.held.copy()

    def take_back(self) -> None:
        self.frozen = None

    # ---- when the system gives none ----

    def relieve(self, error: OSError) -> bool:
        """Whether `error` says that the system gave no descriptor; if so, what can be spared is closed."""
        if error.errno not in SHORT:
            return False
        self.shortages += 1
        log.warning("the system gives no descriptor: %s", error)
        wanted = RELIEVED
        for spare in self.relief:
            wanted -= spare(wanted)
        return True

    def keep_spare(self) -> None:
        """Hold one descriptor back, so that an operator gets in whatever else is held."""
        if self.spare is None:
            try:
                self.spare = os.open(os.devnull, os.O_RDONLY)
            except OSError:
                pass  # tried again with the next sweep

    def lend_spare(self) -> bool:
        """Give it up, for an operator's call; whether there was one."""
        spare, self.spare = self.spare, None
        if spare is not None:
            os.close(spare)
        return spare is not None

    def close(self) -> None:
        self.lend_spare()
