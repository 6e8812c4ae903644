"""What a fleet loses to a lost zone and how much crosses, with zone awareness and without.

    .venv/bin/python measure/zones.py          # three seeds, the work fixed

On a hand-set clock: 24 gateways, 24 backends in three zones, 20 requests a second of each gateway. A zone is
lost after 4 s and back after 10 more, and 20 s more are played. 'Without': the same module sees one zone.
"""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(HERE), str(HERE / "tests")]

from fleet import Fleet  # noqa: E402

from mintford.zones import Zones  # noqa: E402

ZONES, GATEWAYS, GAP_MS = {"a": 8, "b": 8, "c": 8}, 24, 50.0


class Without(Zones):
    """Sees no zones."""

    def regroup(self, now: float, backends: object) -> None:
        self.several = False


def play(seed: int, zones: type[Zones], mode: str, price: float) -> str:
    fleet = Fleet(ZONES, GATEWAYS, own=lambda index: "abc"[index % 3], seed=seed, cross_zone=price)
    for gateway in fleet.gateways:
        gateway.zones.__class__ = zones
        gateway.regroup(fleet.now)
    fleet.run(4000, gap=GAP_MS)
    crossed = sum("abc"[i % 3] != fleet.zone_of[b] for _, i, b, _ in fleet.sent) / len(fleet.sent)
    lost, done = fleet.now, dict(fleet.ended)
    fleet.mode["b"] = mode
    fleet.run(10_000, gap=GAP_MS)
    wasted, back = fleet.to("b", lost), fleet.now
    fleet.mode.clear()
    fleet.run(20_000, gap=GAP_MS)
    first = max(fleet.share("b", back + 500 * s, back + 500 * (s + 1)) for s in range(4))
    served = fleet.ended["served"] - done.get("served", 0)
    other = sum(fleet.ended.values()) - sum(done.values()) - served
    waits = sorted(fleet.served_after)
    return (
        f"crossing {crossed:.2f}; attempts at the lost zone {wasted}; share in the first 2 s back at most "
        f"{first:.2f}; served {served}, refused or failed {other}; "
        f"99th percentile {waits[len(waits) * 99 // 100]:.0f} ms"
    )


if __name__ == "__main__":
    for mode in ("silent", "refuses"):
        for price in (0.0, 0.1):
            for name, zones in (("without", Without), ("with", Zones)):
                for seed in (1, 2, 3):
                    print(f"{mode}, price {price}, {name}, seed {seed}: {play(seed, zones, mode, price)}")
