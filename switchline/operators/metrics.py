"""The metrics that operators fetch: what became of requests, attempts and connections since the start.

The names on the wire (`edge_lb.…`) are fixed: operators' dashboards and alerts depend on them.
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
    """Why the gateway closed a client's connection; the value is the metric's name."""

    YOUNG = "young"  # connections are scarce, and it has sent no valid request
    IDLE = "idle"  # connections are scarce, and no request is open on it
    NO_EVICTABLE_CONNECTION = "crowded"  # a new connection while none of the open ones may be closed
    INCOMPLETE_COMMAND = "owing"  # it left a command incomplete
    UNREAD_REPLIES = "unread"  # it left replies unread
    UNUSED = "unused"  # no request for a minute
    GRACEFUL_SHUTDOWN = "parting"  # idle during a graceful shutdown


class Metrics:
    """Owns the counters of one process.

    Args:
        classes: names of the request classes; each is shown from the start, with zeros.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.requests = {(outcome, name): 0 for outcome in OutcomeKind for name in classes}
        self.forwards = 0
        self.evictions = dict.fromkeys(EvictionReason, 0)
        self.handshakes_begun = 0
        self.handshakes_failed = 0
        self.handshake_waits = 0  # attempts that had to wait for a connection to a backend
        self.rejected_for_capacity = 0  # requests rejected as all request slots or connections were in use

    def count_outcome(self, class_name: str, outcome: OutcomeKind) -> None:
        """Count a request of a class that has ended."""
        self.requests[outcome, class_name] += 1

    def count_forward(self) -> None:
        """Count an attempt whose last byte has left for its backend."""
        self.forwards += 1

    def connection_counts(self) -> dict[str, int]:
        """Return the counters of connections by metric name, without the prefix."""
        counts = {f"evicted.{reason.value}": number for reason, number in self.evictions.items()}
        counts["handshakes.begun"] = self.handshakes_begun
        counts["handshakes.failed"] = self.handshakes_failed
        counts["handshakes.waited"] = self.handshake_waits
        counts["crowded"] = self.rejected_for_capacity
        return counts

    def render(
        self,
        gauges: Mapping[str, int],
        zones: Mapping[str, Mapping[str, int]],
        counts: Mapping[str, int] | None = None,
    ) -> str:
        """Return all metrics in the statsd line format, one a line.

        Args:
            gauges: gauges of the other parts, by name.
            zones: gauges and counters of each zone, by zone and name.
            counts: counters of the other parts, by name.
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
    """Yield the lines of the zones' metrics."""
    for zone, metrics in zones.items():
        for name, value in metrics.items():
            kind = "g" if name in ZONE_GAUGES else "c"
            yield f"{PREFIX}.zone.{zone}.{name}:{value}|{kind}"
