"""The metrics that operators fetch: outcomes of requests, attempts and connections since the start.

The metrics' names (`edge_lb.…`) are fixed: operators' dashboards and alerts depend on them.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from enum import Enum

PREFIX = "edge_lb"
ZONE_GAUGES = frozenset({"share", "state"})  # the other metrics of a zone are counters


class OutcomeKind(Enum):
    """How a request ended; the value is the metric's name."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    ABORTED = "aborted"


class EvictionReason(Enum):
    """Why the gateway closed a client's connection; the value is the last part of the metric's name."""

    YOUNG = "young"  # connections are scarce, and the client has not sent a valid request yet
    IDLE = "idle"  # connections are scarce, and no request of the client is in flight
    NO_EVICTABLE_CONNECTION = "crowded"  # a new connection was closed, as none of the others could be
    INCOMPLETE_COMMAND = "owing"  # the client did not complete a command in time
    UNREAD_REPLIES = "unread"  # the client did not read its replies in time
    UNUSED = "unused"  # the client sent no request for a minute
    GRACEFUL_SHUTDOWN = "parting"  # the connection was idle during a graceful shutdown


class Metrics:
    """Owns the counters of one process.

    Args:
        classes: names of the request classes; their counters are shown from the start, as zero.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.requests = {(outcome, name): 0 for outcome in OutcomeKind for name in classes}
        self.forwards = 0
        self.evictions = dict.fromkeys(EvictionReason, 0)
        self.handshakes_begun = 0
        self.handshakes_failed = 0
        self.handshake_waits = 0  # attempts that had to wait for a connection to a backend
        # Requests rejected because all request slots or connections were in use.
        self.rejected_for_capacity = 0
        self.rejected_for_memory = 0  # requests rejected because the memory for them was used up

    def count_outcome(self, class_name: str, outcome: OutcomeKind) -> None:
        """Count a request of a class that has ended."""
        self.requests[outcome, class_name] += 1

    def count_forward(self) -> None:
        """Count an attempt that was written to its backend as a whole."""
        self.forwards += 1

    def connection_counts(self) -> dict[str, int]:
        """Return the counters of connections and of capacity by metric name, without the prefix."""
        counts = {f"evicted.{reason.value}": number for reason, number in self.evictions.items()}
        counts["handshakes.begun"] = self.handshakes_begun
        counts["handshakes.failed"] = self.handshakes_failed
        counts["handshakes.waited"] = self.handshake_waits
        counts["crowded"] = self.rejected_for_capacity
        counts["memory.declined"] = self.rejected_for_memory
        return counts

    def render(
        self,
        gauges: Mapping[str, int],
        zones: Mapping[str, Mapping[str, int]],
        counts: Mapping[str, int] | None = None,
    ) -> str:
        """Return all metrics in the statsd line format, one on each line.

        Args:
            gauges: gauges of other modules, by metric name without the prefix.
            zones: gauges and counters of each zone, by zone and then by name.
            counts: counters of other modules, by metric name without the prefix.
        """
        lines = [
            f"{PREFIX}.{outcome.value}.{name}:{number}|c" for (outcome, name), number in self.requests.items()
        ]
        lines.append(f"{PREFIX}.forwards:{self.forwards}|c")
        counters = self.connection_counts() | dict(counts or {})
        lines.extend(f"{PREFIX}.{name}:{number}|c" for name, number in counters.items())
        lines.extend(f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items())
        lines.extend(zone_lines(zones))
        return "\n".join(lines) + "\n"


def zone_lines(zones: Mapping[str, Mapping[str, int]]) -> Iterator[str]:
    """Yield the lines of the zones' metrics; `g` marks a gauge, `c` a counter."""
    for zone, metrics in zones.items():
        for name, value in metrics.items():
            kind = "g" if name in ZONE_GAUGES else "c"
            yield f"{PREFIX}.zone.{zone}.{name}:{value}|{kind}"
