"""The figures that operators fetch: what became of requests and attempts since the process started."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

PREFIX = "edge_lb"
ZONE_GAUGES = {"share", "state"}


class OutcomeKind(Enum):
    """How a request ended, by the figures' names."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    ABORTED = "aborted"


class Evicted(Enum):
    """Why a client's connection was closed here, by the figures' names."""

    YOUNG = "young"  # places are few, and it has sent no proper request
    IDLE = "idle"  # places are few, and nothing is open on it
    CROWDED = "crowded"  # a newcomer, where nobody can give way
    OWING = "owing"  # it left a command hanging
    UNREAD = "unread"  # it left answers unread
    UNUSED = "unused"  # of no use for a minute
    PARTING = "parting"  # idle on a drain


class Metrics:
    """Owns the counts; every class that the settings name is shown from the start."""

    def __init__(self, classes: Sequence[str]) -> None:
        self.requests = {(ended, name): 0 for ended in OutcomeKind for name in classes}
        self.forwards = 0
        self.evicted = dict.fromkeys(Evicted, 0)
        self.handshakes_begun = 0
        self.handshakes_failed = 0
        self.handshake_waits = 0  # attempts that had to wait for a connection to a backend
        self.crowded = 0  # requests refused as all places for requests, or connections, were taken

    def ended(self, name: str, ended: OutcomeKind) -> None:
        self.requests[ended, name] += 1

    def count_forward(self) -> None:
        """An attempt's last byte has left for its backend."""
        self.forwards += 1

    def connections(self) -> dict[str, int]:
        """What became of connections, since the start."""
        counts = {f"evicted.{reason.value}": n for reason, n in self.evicted.items()}
        counts |= {"handshakes.begun": self.handshakes_begun, "handshakes.failed": self.handshakes_failed}
        return counts | {"handshakes.waited": self.handshake_waits, "crowded": self.crowded}

    def text(
        self, gauges: dict[str, int], zones: dict[str, dict[str, int]], counts: dict[str, int] | None = None
    ) -> str:
        lines = [f"{PREFIX}.{ended.value}.{name}:{n}|c" for (ended, name), n in self.requests.items()]
        lines.append(f"{PREFIX}.forwards:{self.forwards}|c")
        lines += [f"{PREFIX}.{name}:{n}|c" for name, n in (self.connections() | (counts or {})).items()]
        lines += [f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
        for zone, of_zone in zones.items():
            for name, value in of_zone.items():
                kind = "g" if name in ZONE_GAUGES else "c"
                lines.append(f"{PREFIX}.zone.{zone}.{name}:{value}|{kind}")
        return "\n".join(lines) + "\n"
