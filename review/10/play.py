"""While the counter is silent, all gateways together must not pass the ceiling of a customer."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
from bed import Backend, Bed, Call, Front, Site, plan, run_case

# The figures of the fourth plan of solna-turnering: rate 8 to 14, 1.1 to 2.6 s of it at once, ceiling 1.7 to
# 2.5 times that, beyond the quota 0.1 is earned and nothing paid, the largest request has 4 units, slack 0.1.
RATE = 14.0
BURST = 28.0
CEILING_RATE = 28.0
CEILING_BURST = 56.0
SLACK = 5.6  # a tenth of the ceiling's burst; the largest request has less
SLACK_ON_SOCKETS = 0.150 * CEILING_RATE
LARGEST_REQUEST = 4
CALM_S = 18.0  # the busiest gateway of a customer changes every 7.5 to 25 s
CALM_PER_S = 6.0  # customers use 0.16 to 0.46 of their rate when calm
SPIKE_S = 4.6  # spikes last 1.3 to 4.8 s
SPIKE_PER_S = 84.0  # and ask for 2.1 to 6.5 times the rate
SILENT_S = 0.5  # before the spike
# Gateways count demand in periods of 15 s of Unix time. The spike begins this long after the begin of one, so
# that it lies within it: one right after such a begin passes the ceiling with a sound counter as well.
PERIOD_S = 15.0
SPIKE_AT_S = 6.0
SPIKING = "00000000b4d65521"
OTHERS = [f"{number:016x}" for number in range(1, 7)]
COUNTER_WAIT_MS = 50.0
STANDINGS = {
    "name": "standings", "aim": 1200.0, "deadline": 3000.0, "effect": "pure", "group": "all",
    "importance": 3.0, "lateWorth": 0.2, "repeatWindow": 5000.0, "stream": False,
}  # fmt: skip
PLAN = plan(
    "mastare", RATE, BURST,
    beyondEarns=0.1, overrunCost=0.0, neverOverRate=CEILING_RATE, hardBurst=CEILING_BURST, capSlack=SLACK,
)  # fmt: skip


async def ask_at_rate(fronts: list[Front], customer: str, per_s: float, for_s: float) -> None:
    """Send requests of one unit at a steady rate, through the given gateways in turn."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    attributes = "c=standings,t=mastare,d=3000,units=1,spread=3,first=0"
    tasks = []
    turn = itertools.cycle(fronts)
    for number in range(int(per_s * for_s)):
        await asyncio.sleep(max(0.0, begun + number / per_s - loop.time()))
        tasks.append(asyncio.create_task(next(turn).ask(customer, attributes)))
    await asyncio.gather(*tasks)


def breaches_of(bed: Bed, calls: list[Call]) -> list[str]:
    """Play the store of the ceiling with the first attempt of each request."""
    store, at = CEILING_BURST, 0.0
    seen: set[str] = set()
    breaches = []
    lowest = store
    for call in sorted(calls, key=lambda each: each.at):
        store = min(CEILING_BURST, store + (call.at - at) * CEILING_RATE)
        at = call.at
        if call.id in seen:
            continue
        seen.add(call.id)
        store -= float(call.attributes["units"])
        lowest = min(lowest, store)
        if store < -SLACK - SLACK_ON_SOCKETS:
            breaches.append(f"{call.id} at {call.at:.2f} takes the store of the ceiling to {store:.1f} units")
    bed.record.verdict(f"lowest: {lowest:.1f} units, allowed: {-SLACK - SLACK_ON_SOCKETS:.1f}")
    return breaches


async def play(bed: Bed) -> list[str]:
    """One customer is calm at its busiest gateway, then the counter falls silent and the customer spikes."""
    backends = [Backend(bed.record, f"s-{number}", cell=number // 3) for number in range(9)]
    bed.site = Site([STANDINGS], LARGEST_REQUEST, COUNTER_WAIT_MS)
    await bed.open(backends, 3, [PLAN])
    fronts = [Front(bed, gateway) for gateway in bed.gateways]
    await asyncio.sleep((SPIKE_AT_S - CALM_S - SILENT_S - time.time()) % PERIOD_S)
    others = [
        asyncio.create_task(ask_at_rate(fronts, customer, 1.0, CALM_S + SPIKE_S + 2)) for customer in OTHERS
    ]
    await ask_at_rate(fronts[:1], SPIKING, CALM_PER_S, CALM_S)
    if bed.trouble:
        bed.counter.silent = True
        bed.record.add("counter", "answers nothing from here on")
    await ask_at_rate(fronts[:1], SPIKING, CALM_PER_S, SILENT_S)
    await ask_at_rate(fronts, SPIKING, SPIKE_PER_S, SPIKE_S)
    bed.counter.silent = False
    bed.record.add("counter", "answers")
    await asyncio.gather(*others)
    return breaches_of(
        bed, [call for backend in backends for call in backend.calls if call.customer == SPIKING]
    )


sys.exit(run_case(Path(__file__).resolve().parent, play))
