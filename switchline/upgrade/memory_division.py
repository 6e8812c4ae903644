"""Divides the memory limit of one gateway between its processes during an upgrade.

A process may take the whole limit while it is alone, less a reserve for the first steps of a next process.
A new process asks the one that serves for memory before it loads the program. That one reduces its own limit,
and grants the rest once it has given so much back. It never takes granted memory again while the new process
lives; as it drains it needs less, and grants more. Decisions only: no clock, no input or output.
"""

from __future__ import annotations

from dataclasses import dataclass

from switchline.units import MEBIBYTE

# A process that has not loaded the program yet: the interpreter, and what it needs to ask for memory.
START_RESERVE_BYTES = 6 * MEBIBYTE
# The least that a process may hold for its clients, also while memory is divided.
MIN_CLIENT_BYTES = MEBIBYTE // 2
# Left free, for what processes take between two looks at their memory; less of it while one of them starts.
MARGIN_RATIO = 1 / 16
START_MARGIN_RATIO = 3 / 64
MAX_WAIT_S = 2.0  # a new process has 6 s until it must serve


@dataclass(frozen=True, slots=True)
class ProcessNeed:
    """What this process takes at present, in bytes.

    Attributes:
        idle_bytes: Without clients; a next process is taken to need as much.
        present_bytes: Now, with what is promised to requests in flight.
        client_bytes: Held for clients, as counted.
        connections: Of clients, how many are open.
        waited_s: For how long a next process has waited for memory, in seconds.
    """

    idle_bytes: int
    present_bytes: int
    client_bytes: int
    connections: int
    waited_s: float = 0.0


class MemoryDivision:
    """Owns the memory limit of one process, and what that process has granted to the next one.

    Args:
        limit_bytes: The memory limit of the gateway, for all its processes together.
        granted_bytes: What an older process has granted to this one; None if there is no older process.
    """

    def __init__(self, limit_bytes: int, granted_bytes: int | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.granted_bytes = granted_bytes
        self.successor_bytes = 0  # granted to the next process
        self.has_successor = False  # a next process has asked for memory, and lives
        self._handed_over_connections: int | None = None  # open when the next process took the clients
        self._divided_limit_bytes: int | None = None  # of this process, while it has a successor

    @property
    def total_bytes(self) -> int:
        """What this process and the next one may take together."""
        return self.limit_bytes if self.granted_bytes is None else self.granted_bytes

    @property
    def margin_bytes(self) -> int:
        """What the two processes leave free."""
        return int(self.limit_bytes * MARGIN_RATIO)

    def own_limit_bytes(self, need: ProcessNeed) -> int:
        """Return how much memory this process may take now."""
        if self.has_successor:
            return self._divided_limit(need)
        least_bytes = min(self.total_bytes, need.idle_bytes + START_RESERVE_BYTES)
        return max(least_bytes, self.total_bytes - START_RESERVE_BYTES)

    def _divided_limit(self, need: ProcessNeed) -> int:
        """Divide what the two processes leave evenly; after a hand-over, keep less with each connection."""
        free_bytes = self.total_bytes - self.margin_bytes - 2 * need.idle_bytes
        client_bytes = max(MIN_CLIENT_BYTES, free_bytes // 2)
        if self._handed_over_connections is not None:
            kept_ratio = need.connections / max(1, self._handed_over_connections)
            client_bytes = max(MIN_CLIENT_BYTES, int(client_bytes * min(1.0, kept_ratio)))
        limit_bytes = need.idle_bytes + client_bytes
        if self._divided_limit_bytes is not None:
            limit_bytes = min(limit_bytes, self._divided_limit_bytes)
        self._divided_limit_bytes = limit_bytes
        return limit_bytes

    def grant(self, need: ProcessNeed) -> int | None:
        """Return how much the next process may take from now on; None if that is no more than before.

        The first grant is made once the next process can load the program with it. After `MAX_WAIT_S` it is
        also made if this one holds nothing for clients any more: then its allocator keeps the rest.
        """
        if not self.has_successor:
            return None
        kept_bytes = max(need.present_bytes, self.own_limit_bytes(need))
        grant_bytes = self.total_bytes - self.margin_bytes - kept_bytes
        start_bytes = self.total_bytes - int(self.limit_bytes * START_MARGIN_RATIO) - need.present_bytes
        keeps_too_much = need.client_bytes <= MIN_CLIENT_BYTES and need.waited_s >= MAX_WAIT_S
        fits = start_bytes >= need.idle_bytes or keeps_too_much
        if not fits or grant_bytes <= self.successor_bytes:
            return None
        self.successor_bytes = grant_bytes
        return grant_bytes

    def on_successor_asks(self) -> None:
        """Note that a next process needs memory to start."""
        self.has_successor = True

    def on_handed_over(self, connections: int) -> None:
        """Note that the next process takes the clients, and that this many are still connected here."""
        self._handed_over_connections = connections

    def on_successor_left(self) -> None:
        """Take back what was granted: the next process has ended."""
        self.has_successor = False
        self.successor_bytes = 0
        self._handed_over_connections = None
        self._divided_limit_bytes = None

    def on_grant(self, granted_bytes: int) -> None:
        """Note what the older process has granted to this one."""
        self.granted_bytes = granted_bytes

    def on_predecessor_left(self) -> None:
        """Take the whole limit, as the older process has ended."""
        self.granted_bytes = None
