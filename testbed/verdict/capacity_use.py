"""Share of the usable backend capacity that is used after a power loss, in bins of half a second.

The usable capacity is the smaller of two values: the capacity of the backends that no operator has disabled,
and the work that clients ask for. Each request counts once there, at the mean work of its class: a customer
beyond its quota retries again and again, and no gateway could serve those retries. The test bed knows the
capacity of its backends at each moment; a policy with the same knowledge would use all of it.
"""

from __future__ import annotations

from typing import Any

import numpy as np

from testbed import settings
from testbed.verdict.records import Event

BIN_S = 0.5
# The mean share is taken from this time after the gateways' start.
MEAN_FROM_S = 3.0
# Length of the backends' slow start: a recovery is over after it.
RECOVERY_S = 16.0
# For each of these shares, `figures` has the time until it is reached.
SHARE_THRESHOLDS = 0.5, 0.9, 0.99
# Work of requests is averaged over this many bins, as answers come some time after their requests.
SMOOTHING_BINS = 4


class CapacityUse:
    """Takes the events of a play in their order; `figures` is empty if no power was lost."""

    def __init__(self, work: float) -> None:
        """`work`: the scenario's factor on the mean work of each class."""
        self.work_ms = {name: ms * work for name, ms in settings.WORK_MS.items()}
        # Times of the power loss and of the gateways' restart, in seconds; -1: none so far.
        self.lost_at_s = self.restarted_at_s = -1.0
        # Gateways without power that have not started again.
        self.lost: set[str] = set()
        self.lost_count = 0
        # Backends that operators have disabled.
        self.disabled: set[str] = set()
        # Samples: time, work done and capacity, both in ms of work per second.
        self.loads: list[tuple[float, float, float]] = []
        # First tries: time and mean work in ms.
        self.requests: list[tuple[float, float]] = []
        # Times of refused tries.
        self.refused_at_s: list[float] = []

    def feed(self, event: Event) -> None:
        if handler := getattr(self, "on_" + str(event["e"]), None):
            handler(event)

    def on_op(self, event: Event) -> None:
        if event["how"] == "yes" and event["call"] == "backends/down":
            self.disabled.add(event["id"])
        if event["how"] == "yes" and event["call"] == "backends/up":
            self.disabled.discard(event["id"])

    def on_life(self, event: Event) -> None:
        """Note the power loss, and the restart once half of the gateways without power have started."""
        if event["what"] == "power":
            self.lost_at_s, self.restarted_at_s = event["t"], -1.0
            self.lost.add(event["g"])
            self.lost_count = len(self.lost)
        elif event["what"] == "start" and event["g"] in self.lost:
            self.lost.discard(event["g"])
            # Half of the gateways are enough: the test bed itself may need seconds to start many processes.
            if self.restarted_at_s < 0 and 2 * len(self.lost) <= self.lost_count:
                self.restarted_at_s = event["t"]

    def on_load(self, event: Event) -> None:
        if self.restarted_at_s >= 0:
            capacity = sum(sample[1] for name, sample in event["of"].items() if name not in self.disabled)
            self.loads.append((event["t"], sum(sample[0] for sample in event["of"].values()), capacity))

    def on_ask(self, event: Event) -> None:
        if self.lost_at_s >= 0 and event["k"] == 0:
            self.requests.append((event["t"], self.work_ms[event["cls"]]))

    def on_ans(self, event: Event) -> None:
        if self.restarted_at_s >= 0 and event["how"] == "refused":
            self.refused_at_s.append(event["t"])

    def shares(self) -> Any:
        """An array of 3 rows, with a column for each bin from the gateways' restart.

        The rows: share used (0 to 1), usable capacity (ms of work per second), and number of refused tries.
        """
        if self.restarted_at_s < 0 or not self.loads:
            return np.zeros((3, 0))
        times, used, capacity = (np.array(column) for column in zip(*self.loads, strict=True))
        edges = np.arange(self.restarted_at_s, min(times[-1], self.restarted_at_s + RECOVERY_S) + 1e-6, BIN_S)
        samples = np.maximum(1, np.histogram(times, edges)[0])
        mean_used = np.histogram(times, edges, weights=used)[0] / samples
        mean_capacity = np.histogram(times, edges, weights=capacity)[0] / samples
        at_s, work = (
            (np.array(column) for column in zip(*self.requests, strict=True)) if self.requests else ((), ())
        )
        demand = np.histogram(at_s, edges, weights=work)[0] / BIN_S
        demand = np.convolve(demand, np.ones(SMOOTHING_BINS) / SMOOTHING_BINS)[: len(demand)]
        usable = np.minimum(mean_capacity, demand)
        share = np.minimum(1.0, mean_used / np.maximum(usable, 1e-9))
        return np.vstack([share, usable, np.histogram(self.refused_at_s, edges)[0]])

    def figures(self) -> dict[str, float]:
        """Seconds to each threshold (-1: never), the mean share, and tries refused despite free capacity."""
        share, usable, refused = self.shares()
        if not len(share):
            return {}
        figures = {}
        for threshold in SHARE_THRESHOLDS:
            reached = np.flatnonzero(share >= threshold)
            reached_after_s = float(reached[0] + 1) * BIN_S if len(reached) else -1.0
            figures[f"s to {threshold:g} of what is borne"] = reached_after_s
        averaged = slice(int(MEAN_FROM_S / BIN_S), None)
        total = float(np.sum(usable[averaged]))
        if total:
            figures["share borne from 3 s on"] = round(float(np.sum((share * usable)[averaged])) / total, 3)
        unused_requests = (1 - share) * usable * BIN_S / (sum(self.work_ms.values()) / len(self.work_ms))
        figures["refused though there was room"] = round(
            float(np.sum(np.minimum(refused, unused_requests))), 1
        )
        return figures
