"""What a fleet loses to a lost zone and how much crosses, with zone awareness and without.

    .venv/bin/python measure/zones.py          # three seeds, the work fixed; some minutes
    .venv/bin/python measure/zones.py wrong 10 # wrong leaves in so many minutes of lossy links; a minute each
    .venv/bin/python measure/zones.py thin     # 200 gateways at one request a second each
    .venv/bin/python measure/zones.py ramp     # what a zone that returns cold is given, against what it bears

On a hand-set clock: 24 gateways, 24 backends in three zones, 20 requests a second of each gateway. A zone is
lost after 4 s and back after 10 more, and 25 s more are played. 'Without': the same module sees one zone;
'alone': each gateway judges zones by itself; 'fleet': together, on a line between them.
"""

from __future__ import annotations

import itertools
import sys
from collections import Counter as Counts
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

HERE = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(HERE), str(HERE / "tests")]

from gateway_fleet import Fleet  # noqa: E402
from linked_fleet import LinkedFleet  # noqa: E402

from switchline.policy.backends.zones import Zones  # noqa: E402
from switchline.zones.decision import decode_decision  # noqa: E402
from switchline.zones.ramp import capacity_ratio_at  # noqa: E402

ZONES, GATEWAYS, GAP_MS = {"a": 8, "b": 8, "c": 8}, 24, 50.0


class Without(Zones):
    """Sees no zones."""

    def update_backends(self, now: float, backends: object) -> None:
        self.is_multi_zone = False


NAMES = "without", "alone", "fleet"


def own(index: int) -> str:
    return "abc"[index % 3]


def made(name: str, seed: int, gateways: int = GATEWAYS, price: float = 0.1) -> Fleet:
    kind = LinkedFleet if name == "fleet" else Fleet
    fleet = kind(ZONES, gateways, own=own, seed=seed, cross_zone_price=price)
    if name == "without":
        for gateway in fleet.gateways:
            gateway.zones.__class__ = Without
            gateway.backends.update_subset(fleet.now)
    return fleet


def watch_losses(fleet: Fleet) -> list[tuple[float, int]]:
    """When each loss is noted, and of which backend: the third one tells the floor."""
    found: list[tuple[float, int]] = []

    def noting(note: Callable[..., None]) -> Callable[..., None]:
        def noted(now: float, backend: int, name: str, is_lost: bool, has_ended: bool = True) -> None:
            if is_lost and name == "b":
                found.append((now, backend))
            note(now, backend, name, is_lost, has_ended)

        return noted

    for gateway in fleet.gateways:
        gateway.zones.on_outcome = noting(gateway.zones.on_outcome)  # type: ignore[method-assign]
    return found


def floor_of(fleet: Fleet, lost: float, losses: list[tuple[float, int]]) -> int:
    """Attempts that were sent before the third backend could be known to be lost."""
    seen: set[int] = set()
    for at, backend in losses:
        seen.add(backend)
        if len(seen) == 3:
            return fleet.to("b", lost, at)
    return 0


def play(given: tuple[int, str, str, float]) -> str:
    seed, name, mode, price = given
    fleet = made(name, seed, price=price)
    fleet.run(4000, gap=GAP_MS)
    crossed = sum(own(i) != fleet.zone_of[b] for _, i, b, _ in fleet.sent) / len(fleet.sent)
    lost, done, losses = fleet.now, dict(fleet.ended), watch_losses(fleet)
    fleet.mode["b"] = mode
    fleet.run(10_000, gap=GAP_MS)
    wasted, back = fleet.to("b", lost), fleet.now
    left = sorted(at - lost for at, _, text in fleet.remarks if "zone b is left" in text)
    fleet.mode.clear()
    fleet.run(25_000, gap=GAP_MS)
    first = max(fleet.share("b", back + 500 * s, back + 500 * (s + 1)) for s in range(8))
    served = fleet.ended["served"] - done.get("served", 0)
    other = sum(fleet.ended.values()) - sum(done.values()) - served
    all_left = f"{(left[-1] - left[0]) / 1000:.2f} s" if len(left) >= GATEWAYS else f"{len(left)} only"
    return (
        f"{mode}, price {price}, {name}, seed {seed}: crossing {crossed:.2f}; attempts at the lost zone "
        f"{wasted}, floor {floor_of(fleet, lost, losses)}; from the first to all left {all_left}; share in "
        f"the first 4 s back at most {first:.2f}; served {served}, refused or failed {other}"
    )


def wrong(given: tuple[int, float, int]) -> str:
    """Leaves of zones that are well, while messages and requests are lost and processes stand still."""
    seed, loss, minutes = given
    fleet = made("fleet", seed)
    assert isinstance(fleet, LinkedFleet)
    fleet.run(3000, gap=100.0)
    fleet.loss, fleet.net.loss = loss, 0.1
    for _ in range(minutes * 12):
        fleet.net.stop(fleet.chance.randrange(GATEWAYS), 1.0)
        fleet.run(5000, gap=100.0)
        fleet.sent.clear()
        fleet.events.clear()
    acts = [entry.name for _, entry in fleet.decisions if decode_decision(entry.value).state == "left"]
    alone = sum("is left: failing" in text for _, _, text in fleet.remarks)
    return f"loss {loss}, seed {seed}, {minutes} min: left by the fleet {len(acts)}, by one alone {alone}"


def thin(given: tuple[int, str]) -> str:
    seed, name = given
    fleet = made(name, seed, gateways=200)
    fleet.run(8000, gap=1000.0)
    lost = fleet.now
    line = fleet.net.counts if isinstance(fleet, LinkedFleet) else Counts[str]()
    before = dict(line)
    fleet.mode["b"] = "silent"
    fleet.run(10_000, gap=1000.0)
    told = (f"{(line[kind] - before.get(kind, 0)) / 2000:.1f} {kind}" for kind in ("datagrams", "bytes"))
    gateways = {i for _, i, text in fleet.remarks if "zone b is left" in text}
    last = max((at for at, _, text in fleet.remarks if "zone b is left" in text), default=lost) - lost
    return (
        f"200 gateways, one request a second each, {name}, seed {seed}: attempts {fleet.to('b', lost)}, "
        f"left by {len(gateways)}, the last after {last / 1000:.2f} s; a member and second: {', '.join(told)}"
    )


def ramp(given: tuple[int, str]) -> str:
    """A zone comes back cold: what it and each backend get in a half second against what they bear.

    A warm one bears what those of the other zones take meanwhile; a cold one a part that rises with its age.
    """
    seed, name = given
    fleet = made(name, seed)
    fleet.run(10_000, gap=GAP_MS)
    fleet.mode["b"] = "refuses"
    fleet.run(10_000, gap=GAP_MS)
    fleet.mode.clear()
    back = fleet.now
    fleet.tell(fleet.of("b"), started=back)
    warm_ms = fleet.gateways[0].settings.rules.warm_up_ms
    fleet.run(warm_ms + 6_000, gap=GAP_MS)
    each = GATEWAYS * 1000 / GAP_MS / 16  # a warm one's, a second
    begun = next((at for at, _, b, _ in fleet.sent if at > back + 400 and fleet.zone_of[b] == "b"), back)
    zone, most, used = [], 0.0, []
    agreed = begun
    if isinstance(fleet, LinkedFleet):
        acts = ((at, decode_decision(entry.value).state) for at, entry in fleet.decisions)
        agreed = next((at for at, state in acts if at > back and state == "returning"), begun)
    for at in range(int(begun), int(back + 0.6 * warm_ms), 500):
        bears = capacity_ratio_at(0, 0.2) + 0.8 * min(1.0, (at + 500 - back) / warm_ms)
        got = [sum(at <= t < at + 500 and b == one for t, _, b, _ in fleet.sent) for one in fleet.of("b")]
        zone.append(sum(got) / (8 * each * bears / 2))
        most = max(most, max(got) / (each * bears / 2))
        if at >= agreed + 500:  # its first step has reached all; over its even part it is offered no more
            used.append(sum(got) / (8 * each * min(bears, 2 / 3) / 2))
    return (
        f"{name}, seed {seed}: first work {(begun - back) / 1000:.1f} s after the return; of what the zone "
        f"bears at most {max(zone):.2f}, on average {sum(zone) / len(zone):.2f}; of the lesser of that and "
        f"its even part of the load, from {(agreed - back) / 1000:.1f} s on, {sum(used) / len(used):.2f}; "
        f"of what a backend bears at most {most:.2f}"
    )


if __name__ == "__main__":
    what = sys.argv[1] if len(sys.argv) > 1 else ""
    with ProcessPoolExecutor() as pool:
        found: Iterator[str]
        if what == "wrong":
            found = pool.map(wrong, [(s, loss, int(sys.argv[2])) for loss in (0.02, 0.1) for s in (1, 2, 3)])
        elif what == "thin":
            found = pool.map(thin, itertools.product((1, 2, 3), NAMES[1:]))
        elif what == "ramp":
            found = pool.map(ramp, itertools.product((1, 2, 3), NAMES[1:]))
        else:
            given = itertools.product((1, 2, 3), NAMES, ("silent", "refuses"), (0.0, 0.1))
            found = pool.map(play, sorted(given, key=lambda one: (one[2], one[3], NAMES.index(one[1]))))
        for line in found:
            print(line, flush=True)
