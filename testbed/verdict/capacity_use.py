"""How much of what the backends can bear is used after a power loss, second by second.

What can be used in a second is the lesser of the capacity of the backends that operators let work go to and
of the work that clients ask for: each request once, at its class's mean, as who is beyond a quota tries again
and again, and nobody could serve that. The backends' capacity at each moment is the lab's own knowledge; a
policy that knew all would use the whole of it.
"""

from __future__ import annotations

from typing import Any

import numpy as np

from testbed import settings
from testbed.verdict.records import Event

BIN_S = 0.5
LATER_S = 3.0  # after the gateways' start: from then on the share is averaged
LONGEST_S = 16.0  # the backends' slow start; after it, nothing of a recovery is left
POINTS = 0.5, 0.9, 0.99
WAITS = 4  # bins over which the work of tries is spread: answers come some time after their tries


class Bearing:
    """Takes a play's events in their order; `figures` is empty where no power was lost."""

    def __init__(self, work: float) -> None:
        self.work_ms = {name: ms * work for name, ms in settings.WORK_MS.items()}
        self.lost_at = self.back_at = -1.0
        self.lost: set[str] = set()  # gateways that have not begun again
        self.struck = 0
        self.out: set[str] = set()  # by hand
        self.loads: list[tuple[float, float, float]] = []  # when, work done, what could be: ms a second
        self.asked: list[tuple[float, float]] = []  # requests: when, work
        self.refused: list[float] = []

    def feed(self, event: Event) -> None:
        if handler := getattr(self, "on_" + str(event["e"]), None):
            handler(event)

    def on_op(self, event: Event) -> None:
        if event["how"] == "yes" and event["call"] == "backends/down":
            self.out.add(event["id"])
        if event["how"] == "yes" and event["call"] == "backends/up":
            self.out.discard(event["id"])

    def on_life(self, event: Event) -> None:
        if event["what"] == "power":
            self.lost_at, self.back_at = event["t"], -1.0
            self.lost.add(event["g"])
            self.struck = len(self.lost)
        elif event["what"] == "start" and event["g"] in self.lost:
            self.lost.discard(event["g"])
            if self.back_at < 0 and 2 * len(self.lost) <= self.struck:
                self.back_at = event["t"]  # half of them: the lab itself may need seconds to start many

    def on_load(self, event: Event) -> None:
        if self.back_at >= 0:
            can = sum(of[1] for name, of in event["of"].items() if name not in self.out)
            self.loads.append((event["t"], sum(of[0] for of in event["of"].values()), can))

    def on_ask(self, event: Event) -> None:
        if self.lost_at >= 0 and event["k"] == 0:
            self.asked.append((event["t"], self.work_ms[event["cls"]]))

    def on_ans(self, event: Event) -> None:
        if self.back_at >= 0 and event["how"] == "refused":
            self.refused.append(event["t"])

    def shares(self) -> Any:
        """By bins from the gateways' start on: the share used, what could be, and tries refused; 3 rows."""
        if self.back_at < 0 or not self.loads:
            return np.zeros((3, 0))
        times, used, can = (np.array(column) for column in zip(*self.loads, strict=True))
        edges = np.arange(self.back_at, min(times[-1], self.back_at + LONGEST_S) + 1e-6, BIN_S)
        looks = np.maximum(1, np.histogram(times, edges)[0])
        did = np.histogram(times, edges, weights=used)[0] / looks
        could = np.histogram(times, edges, weights=can)[0] / looks
        at, work = (np.array(column) for column in zip(*self.asked, strict=True)) if self.asked else ((), ())
        asked = np.histogram(at, edges, weights=work)[0] / BIN_S
        asked = np.convolve(asked, np.ones(WAITS) / WAITS)[: len(asked)]
        bearable = np.minimum(could, asked)
        share = np.minimum(1.0, did / np.maximum(bearable, 1e-9))
        return np.vstack([share, bearable, np.histogram(self.refused, edges)[0]])

    def figures(self) -> dict[str, float]:
        share, bearable, refused = self.shares()
        if not len(share):
            return {}
        found = {}
        for point in POINTS:
            reached = np.flatnonzero(share >= point)
            after = float(reached[0] + 1) * BIN_S if len(reached) else -1.0
            found[f"s to {point:g} of what is borne"] = after
        later = slice(int(LATER_S / BIN_S), None)
        whole = float(np.sum(bearable[later]))
        if whole:
            found["share borne from 3 s on"] = round(float(np.sum((share * bearable)[later])) / whole, 3)
        room = (1 - share) * bearable * BIN_S / (sum(self.work_ms.values()) / len(self.work_ms))
        found["refused though there was room"] = round(float(np.sum(np.minimum(refused, room))), 1)
        return found
