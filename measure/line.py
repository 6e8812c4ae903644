"""The line between gateways on a hand-set clock: deaths, false deaths, facts, and what it sends.

    .venv/bin/python measure/line.py 40 200 1000          # members; three seeds each
    .venv/bin/python measure/line.py 40 --false 10        # minutes
    .venv/bin/python measure/line.py 1000 --seeds 1       # some minutes
    .venv/bin/python measure/line.py 5000 --seeds 1 --deaths 1 --quiet 3
    .venv/bin/python measure/line.py 200 --gone 0.7       # so many die at once

False deaths are counted with 10% loss, while each 5 s one in twenty is stopped for 1 s. It needs the lab
extra. Times are of the hand-set clock, so they are the same on any machine.
"""

from __future__ import annotations

import argparse
import random
import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parents[1])]

from switchline.fleet.messages import MemberState  # noqa: E402
from testbed.network.fleet_link import Net, address_of, fleet  # noqa: E402

SEEDS, DEATHS, SETTLE_S, QUIET_S, LIMIT_S = (1, 2, 3), 5, 20.0, 10.0, 30.0
SHORT_S = 5.0  # in place of SETTLE_S where all know each other from the start
GONE_S = 120.0  # for all deaths to be known
MET = 2_000  # members; more begin with all known to all
LOSS, STOP_S, EACH_S, PART = 0.1, 1.0, 5.0, 20


def spread(values: list[float]) -> str:
    return f"{min(values):.2f} to {max(values):.2f}"


def deaths(net: Net, number_of: int) -> tuple[list[float], list[float]]:
    """Seconds until the first and until 99 in 100 know of each of some deaths."""
    first, most = [], []
    for number in range(5, 5 + number_of):
        net.remove(number)
        begun, name = net.now, f"g{number}"
        net.run(LIMIT_S, lambda name=name: net.known_dead > 0 if net.watch(name) else False)
        first.append(net.now - begun)
        net.run(LIMIT_S, lambda: net.known_dead >= 0.99 * len(net.nodes))
        most.append(net.now - begun)
        net.run(3.0)
    return first, most


def told(net: Net) -> float:
    """Seconds until a fact has reached all."""
    teller = net.nodes[address_of(20)]
    begun = net.now
    teller.publish(net.wall(address_of(20)), "measure", "", "1")
    net.run(LIMIT_S, lambda: net.counts["facts"] >= len(net.nodes) - 1)
    return net.now - begun


def play(size: int, seeds: list[int], deaths_each: int, quiet_s: float) -> None:
    first, most, facts, sent, octets = [], [], [], [], []
    for seed in seeds:
        met = size > MET
        net = fleet(size, seed, settle_s=SHORT_S if met else SETTLE_S, met=met)
        net.run(SHORT_S if met else SETTLE_S)
        before = dict(net.counts)
        net.run(quiet_s)
        sent.append((net.counts["datagrams"] - before["datagrams"]) / quiet_s / size)
        octets.append((net.counts["bytes"] - before["bytes"]) / quiet_s / size)
        net.count_facts("measure")
        facts.append(told(net))
        one, other = deaths(net, deaths_each)
        first += one
        most += other
    print(
        f"{size} members: first knows of a death after {spread(first)} s, 99% after {spread(most)} s; a fact "
        f"reaches all in {spread(facts)} s; quiet, a member and second: {spread(sent)} datagrams, "
        f"{spread(octets)} bytes",
        flush=True,
    )


def gone(size: int, part: float, seeds: list[int]) -> None:
    """So large a part dies at once: when the first and when 99 in 100 of all views know; who is held dead."""
    for seed in seeds:
        net = fleet(size, seed)
        chance, begun = random.Random(seed), net.now
        lost = set(chance.sample(range(size), round(part * size)))
        for number in lost:
            net.remove(number)
        names = {f"g{number}" for number in lost}
        marks: dict[float, float] = {}
        while net.now - begun < GONE_S and len(marks) < 4:
            net.run(0.25)
            views = [
                net.sees(node, name) is MemberState.DEAD for node in net.nodes.values() for name in names
            ]
            for mark in (1e-9, 0.5, 0.99, 1.0):
                if sum(views) >= mark * len(views):
                    marks.setdefault(mark, net.now - begun)
        wrong = sum(
            member.state is MemberState.DEAD and name not in names
            for node in net.nodes.values()
            for name, member in node.members.others.items()
        )
        few = sum(node.members.minority for node in net.nodes.values())
        told = ", ".join(f"{mark:.2f} after {at:.2f} s" for mark, at in marks.items())
        seen = f"views of the dead: {told}; wrong {wrong}; {few} of {len(net.nodes)} know a minority"
        print(f"{size} members, {part} gone, seed {seed}: {seen}", flush=True)


def false_deaths(size: int, minutes: float, seeds: list[int]) -> None:
    for seed in seeds:
        net, chance = fleet(size, seed), random.Random(seed)
        net.loss = LOSS
        before = sum(node.members.event_counts["died"] for node in net.nodes.values())
        stops = 0
        for _ in range(int(minutes * 60 / EACH_S)):
            for number in chance.sample(range(size), max(1, size // PART)):
                net.stop(number, STOP_S)
                stops += 1
            net.run(EACH_S)
        net.loss = 0.0
        net.run(20.0)
        died = sum(node.members.event_counts["died"] for node in net.nodes.values()) - before
        left = sum(
            m.state is not MemberState.ALIVE for n in net.nodes.values() for m in n.members.others.values()
        )
        seen = f"{stops} stops, {died} views of a false death, {left} left"
        print(f"{size} members, seed {seed}: {seen}", flush=True)


def main() -> None:
    words = argparse.ArgumentParser()
    words.add_argument("sizes", nargs="+", type=int)
    words.add_argument("--false", dest="minutes", type=float)
    words.add_argument("--gone", type=float)
    words.add_argument("--deaths", type=int, default=DEATHS)
    words.add_argument("--quiet", type=float, default=QUIET_S)
    words.add_argument("--seeds", nargs="+", type=int, default=list(SEEDS))
    given = words.parse_args()
    for size in given.sizes:
        if given.minutes:
            false_deaths(size, given.minutes, given.seeds)
        elif given.gone:
            gone(size, given.gone, given.seeds)
        else:
            play(size, given.seeds, given.deaths, given.quiet)


if __name__ == "__main__":
    main()
