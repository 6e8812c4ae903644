"""The judge: holds PROTOCOL's rules against what clients, links and stand-ins saw. It asks no gateway.

It is given a play's events in their order, and no other fact. A request counts as lost unless its gateway was
killed, stopped or cut off from clients meanwhile.
"""

from __future__ import annotations

import math
from collections import Counter as Counts
from collections import defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from testbed import settings
from testbed.verdict.records import Event

SLACK_S = 0.05  # by which sockets lengthen every limit
DEADLINE_SLACK_S = 0.15  # by which the deadline told to a backend may pass that of the client
PASSED_ON = "c", "cls", "plan", "units"  # of a request, unchanged
LATE_S = 0.5  # after its time an answer earns nothing; later it is lost
GRACE_S = settings.RULES["drainGrace"] / 1000
WITHOUT = "not known to have it: "  # before the names, in the answer to a call for the fleet
CALL_S = 1.0  # after which an operator's call binds, answered or not
CEILING_SLACK_S = 0.15  # of a ceiling's rate
TOLD_SHARE = 2 / 3  # of the work that pushed a cold backend over, from gateways told of its start
NEVER_RAN = {"full", "over"}  # of an attempt's ends at a backend: turned away unseen
MOST_TOLD = 200  # breaches of one rule that are listed
OLD_LIST_S = 2.0  # after most gateways had a newer list, sends by the older one count as such
FIRST_US, LAST_US, DIGITS = 1, 60_000_000, 3  # of the latency histogram, microseconds

CLASSES = {kind["name"]: kind for kind in settings.CLASSES}
PLANS = {plan["name"]: plan for plan in settings.PLANS}


@dataclass
class Breach:
    """One rule broken: when (seconds from the start of the load), by whom and on which request."""

    rule: str
    at: float
    what: str
    request: str = ""
    gateways: list[str] = field(default_factory=list)
    backend: str = ""

    def line(self) -> str:
        whose = " ".join(part for part in (self.request, ",".join(self.gateways), self.backend) if part)
        return f"{self.at:8.3f} s  {self.rule}: {self.what} [{whose}]"


@dataclass
class Asked:
    """A try as its client saw it."""

    event: Event
    answered: Event | None = None
    attempts: list[Event] = field(default_factory=list)  # whole at backends


class Store:
    """Units that fill at a rate up to a burst."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def fill(self, now: float) -> float:
        self.level = min(self.burst, self.level + max(0.0, now - self.at) * self.rate)
        self.at = max(now, self.at)
        return self.level


class Judge:
    """Takes events one after another; `finish` gives the breaches, `figures` what happened."""

    def __init__(self, slack_s: float = SLACK_S) -> None:
        self.slack_s = slack_s
        self.breaches: list[Breach] = []
        self.counts: Counts[str] = Counts()
        self.asked: dict[str, Asked] = {}
        self.ends: dict[tuple[str, int], str] = {}  # of attempts, by backend and number
        self.ran: dict[tuple[str, str], list[tuple[float, str, str]]] = defaultdict(list)  # by rack and key
        self.racks: dict[str, str] = {}
        self.zones: dict[str, str] = {}  # of backends
        self.keys: dict[str, str] = {}  # of requests
        self.told: dict[str, dict[str, tuple[float, str, float]]] = defaultdict(dict)  # gateway, backend
        self.seqs: dict[str, int] = {}  # the list that a gateway has been told
        self.removed: dict[str, tuple[float, int]] = {}  # backends off the list: since when, and by which seq
        self.majority: dict[int, float] = {}  # a list's sequence: when most gateways had it
        self.bans: dict[tuple[str, str], float] = {}  # gateway, backend or zone: since when
        self.calls: dict[tuple[str, str, str], float] = {}
        self.excused: dict[str, list[tuple[float, float]]] = defaultdict(list)  # gateway: when it could not
        self.upgrades: dict[str, list[tuple[float, float]]] = defaultdict(list)  # of a gateway: from, to
        self.down_since: dict[str, float] = {}
        self.ceilings: dict[str, Store] = {}
        self.quotas: dict[str, Store] = {}
        self.gateways: list[str] = []
        self.offered: dict[str, Counts[str]] = defaultdict(Counts)  # class: how its first tries ended
        self.latency = HdrHistogram(FIRST_US, LAST_US, DIGITS)
        self.queued_long = 0
        self.costs: dict[str, list[tuple[float, float, int]]] = defaultdict(list)

    def breach(self, rule: str, at: float, what: str, request: str = "", **whose: Any) -> None:
        self.counts["breach." + rule] += 1
        if self.counts["breach." + rule] <= MOST_TOLD:
            self.breaches.append(Breach(rule, at, what, request, **whose))

    def feed(self, event: Event) -> None:
        if handler := getattr(self, "on_" + str(event["e"]), None):
            handler(event)

    # ---- the fleet ----

    def on_play(self, event: Event) -> None:
        self.gateways = event["gateways"]
        for name, zone, rack in event["backends"]:
            self.zones[name], self.racks[name] = zone, rack

    def on_life(self, event: Event) -> None:
        gateway, now, what = event["g"], event["t"], event["what"]
        if what == "start":
            self.told[gateway].clear()  # a new life knows what it is told from now on
            self.seqs.pop(gateway, None)
        elif what in ("kill", "power", "stop"):
            self.down_since.setdefault(gateway, now)
        elif what == "beside":
            self.upgrades[gateway].append((now, math.inf))
        elif what in ("handed", "undone"):
            begun = self.upgrades[gateway].pop()[0] if self.upgrades[gateway] else now
            self.upgrades[gateway].append((begun, now))
            if what == "undone":
                self.excused[gateway].append((now, now))  # what the new process had taken went with it
        elif what == "forced":
            self.breach("ends", now, "SIGTERM did not end it in its time", gateways=[gateway])
        elif what in ("cont", "ready") and gateway in self.down_since:
            self.excused[gateway].append((self.down_since.pop(gateway), now))
        elif what == "unready":
            self.breach("start", now, "it did not get ready in its time", gateways=[gateway])
        elif what == "exit":
            self.down_since.setdefault(gateway, now)
            if event["expected"]:
                if event["code"] not in (0, -9):
                    self.breach("crash", now, f"exit code {event['code']} after SIGTERM", gateways=[gateway])
                return
            why = str(event["log"]).strip().splitlines()[-1:] or [""]
            self.breach("crash", now, f"exit code {event['code']}: {why[0][:120]}", gateways=[gateway])

    def on_cut(self, event: Event) -> None:
        """A link between clients and a gateway is in no state to bear answers."""
        self.excused[event["g"]].append((event["t"], event["until"]))

    def on_told(self, event: Event) -> None:
        known, now = self.told[event["g"]], event["t"]
        if event["whole"]:
            for name in known.keys() - event["hosts"].keys():
                known[name] = (now, "removed", 0.0)
        for name, (health, born) in event["hosts"].items():
            before = known.get(name)
            if before is None or before[1] != health:
                known[name] = (now, health, born)
            else:
                known[name] = (before[0], health, born)
        self.seqs[event["g"]] = event["seq"]
        for seq in range(max(self.majority, default=0) + 1, event["seq"] + 1):
            if sum(s >= seq for s in self.seqs.values()) * 2 > len(self.gateways):
                self.majority[seq] = now

    def on_list(self, event: Event) -> None:
        if event["health"] == "up":
            self.removed.pop(event["b"], None)
        else:
            self.removed.setdefault(event["b"], (event["t"], event["seq"]))

    def on_op(self, event: Event) -> None:
        gateway, call, now = event["g"], event["call"], event["t"]
        kind, _, way = call.partition("/")
        if way == "down":
            if event["how"] == "called":
                self.calls[gateway, kind, event["id"]] = now
            elif event["how"] == "yes":
                for each in self.who_has(event):
                    self.bans.setdefault((each, event["id"]), now)
            else:
                self.counts["operators' calls without a yes"] += 1
                if event["how"] == "none":  # no answer within its time binds as a yes
                    called = self.calls[gateway, kind, event["id"]]
                    self.bans.setdefault((gateway, event["id"]), called + CALL_S)
        elif way == "up" and event["how"] == "called":
            for each in self.gateways if event.get("fleet") else [gateway]:
                self.bans.pop((each, event["id"]), None)

    def who_has(self, event: Event) -> list[str]:
        """The gateways that an operators' yes speaks for: for the fleet, all that it does not name."""
        if not event.get("fleet"):
            return [event["g"]]
        without = event["text"].partition(WITHOUT)[2].strip().split(", ")
        return [event["g"]] if "..." in without else [name for name in self.gateways if name not in without]

    def on_back(self, event: Event) -> None:
        if event["what"] != "fell":
            return
        self.counts["backends fallen"] += 1
        parts, name = event["parts"], event["b"]
        cold = [g for g in parts if self.told[g].get(name, (0, "", 0.0))[2] > 0]
        told, whole = sum(parts[g] for g in cold), sum(parts.values())
        if told >= TOLD_SHARE * whole:
            text = f"cold, it was sent {whole:.0f} ms of work in 3 s, {told:.0f} by gateways told of it"
            self.breach("cold", event["t"], text, gateways=sorted(cold), backend=name)

    # ---- requests at clients ----

    def on_ask(self, event: Event) -> None:
        self.asked[event["id"]] = Asked(event)
        self.counts["tries"] += 1

    def on_ans(self, event: Event) -> None:
        asked = self.asked.get(event["id"])
        if asked is None:
            return
        if asked.answered is not None:
            self.breach("answers", event["t"], "a second answer", event["id"], gateways=[event["g"]])
            return
        asked.answered, how, now = event, event["how"], event["t"]
        self.counts["tries " + how] += 1
        if asked.event["k"] == 0:
            self.offered[asked.event["cls"]][how] += 1
        took = now - asked.event["t"]
        over = took - asked.event["d"] / 1000
        if how == "served":
            self.latency.record_value(max(FIRST_US, min(LAST_US, int(took * 1e6))))
            if took * 1000 <= CLASSES[asked.event["cls"]]["aim"]:
                self.counts["served in their aim"] += 1
            value = str(event["value"])
            if not value.startswith("made-by-") or not value.endswith(self.first_of(asked)):
                text = f"served with {value[:40]!r}, which no backend made for it"
                self.breach("made-up", now, text, event["id"], gateways=[event["g"]])
        if event.get("extra"):
            self.breach("answers", now, "an answer to nothing came", event["id"], gateways=[event["g"]])
        too_late = over > LATE_S + self.slack_s and how not in ("silent", "unreached")
        if too_late and not self.excuses(event["g"], asked, now):
            text = f"answered {over:.2f} s after its time"
            self.breach("answers", now, text, event["id"], gateways=[event["g"]])
        if how == "refused":
            self.check_refused(asked, now)

    def first_of(self, asked: Asked) -> str:
        """A repeat of a keyed request may be served with what its first try brought."""
        kind = CLASSES[asked.event["cls"]]
        return "" if kind["effect"] == "token" else f"-for-{asked.event['id']}"

    def check_refused(self, asked: Asked, now: float) -> None:
        """A refusal says that trying again does no harm."""
        kind = CLASSES[asked.event["cls"]]
        if kind["effect"] == "pure":
            return
        for got in asked.attempts:
            end = self.ends.get((got["b"], got["n"]))
            if end not in NEVER_RAN:
                text = f"refused, though an attempt at {got['b']} may have run"
                self.breach("refusals", now, text, asked.event["id"], gateways=[got["g"]], backend=got["b"])
                return

    def upgraded(self, gateway: str, asked: Asked, at: float) -> bool:
        """Whether it came to an end while two processes stood beside each other."""
        begun = asked.event["t"] - self.slack_s
        return any(b <= at and begun <= e for b, e in self.upgrades[gateway])

    def excuses(self, gateway: str, asked: Asked, until: float) -> bool:
        """Whether the gateway was killed, stopped or cut off while it had the request."""
        begun = asked.event["t"] - self.slack_s
        if self.down_since.get(gateway, math.inf) <= until:
            return True
        return any(b <= until and begun <= e for b, e in self.excused.get(gateway, ()))

    # ---- attempts at backends ----

    def on_got(self, event: Event) -> None:
        self.counts["attempts"] += 1
        now, sent = event["t"], event["t"] - event["ago"]
        gateway, name = event["g"], event["b"]
        self.check_told(event, gateway, name, sent)
        asked = self.asked.get(event["id"])
        if event["key"]:
            self.keys[event["id"]] = event["key"]
        self.check_form(asked, event, sent)
        if asked is not None:
            if asked.attempts:
                self.check_repeat(asked, event)
            else:
                self.spend(event, now)
            asked.attempts.append(event)

    def check_form(self, asked: Asked | None, event: Event, sent: float) -> None:
        """Whether a client sent this, and whether its deadline is no later than the client's."""
        gateway, name = event["g"], event["b"]
        if not self.asked:
            return  # the record begins later
        if asked is None or any(event[key] != asked.event[key] for key in PASSED_ON):
            self.breach("garbled", sent, "no client sent this", event["id"], gateways=[gateway], backend=name)
            return
        over = sent + event["d"] / 1000 - asked.event["t"] - asked.event["d"] / 1000
        if over > DEADLINE_SLACK_S + self.slack_s and not self.excuses(gateway, asked, event["t"]):
            text = f"its deadline is {over:.2f} s after its client's"
            self.breach("deadlines", sent, text, event["id"], gateways=[gateway], backend=name)

    def check_told(self, event: Event, gateway: str, name: str, sent: float) -> None:
        known = self.told[gateway].get(name)
        if known is not None and known[1] != "up" and sent > known[0] + GRACE_S + self.slack_s:
            text = f"sent {sent - known[0]:.2f} s after it was told that this backend is {known[1]}"
            self.breach("drains", sent, text, event["id"], gateways=[gateway], backend=name)
        for what in (name, self.zones[name]):
            since = self.bans.get((gateway, what), math.inf)
            if sent > since + GRACE_S + self.slack_s:
                self.counts["sends to what is out by hand"] += 1
                text = f"sent {sent - since:.2f} s after {what} was taken out by hand"
                self.breach("bans", sent, text, event["id"], gateways=[gateway], backend=name)
        gone = self.removed.get(name)
        if gone is not None and self.seqs.get(gateway, 0) < gone[1]:
            if sent > self.majority.get(gone[1], math.inf) + OLD_LIST_S:
                self.counts["sends on an old list"] += 1
                self.counts[f"sends on an old list by {gateway}"] += 1

    def check_repeat(self, asked: Asked, event: Event) -> None:
        """Whether one more attempt is what its class allows, given what may have run."""
        kind = CLASSES[event["cls"]]
        may_have = [got for got in asked.attempts if self.ends.get((got["b"], got["n"])) not in NEVER_RAN]
        if not may_have or kind["effect"] == "pure":
            return
        first, whose = may_have[0], {"gateways": [event["g"]], "backend": event["b"]}
        if kind["effect"] == "side_effect":
            text = f"sent again, though the attempt at {first['b']} may have run"
            self.breach("repeats", event["t"], text, event["id"], **whose)
        elif self.racks[first["b"]] != self.racks[event["b"]]:
            text = f"its key is known at {first['b']}, of another rack"
            self.breach("repeats", event["t"], text, event["id"], **whose)
        elif event["t"] - event["ago"] > first["t"] + kind["repeatWindow"] / 1000 + self.slack_s:
            text = f"{event['t'] - first['t']:.2f} s after its first attempt, which is forgotten by then"
            self.breach("repeats", event["t"], text, event["id"], **whose)

    def on_run(self, event: Event) -> None:
        """Work begins: what is keyed begins once in a rack while the rack remembers."""
        key, now = self.keys.get(event["id"], ""), event["t"]
        if not key:
            return
        rack = self.racks[event["b"]]
        window = CLASSES["spara"]["repeatWindow"] / 1000
        earlier = [one for one in self.ran[rack, key] if now - one[0] <= window]
        if earlier:
            text = f"run again, though {earlier[0][1]} of its rack ran it {now - earlier[0][0]:.2f} s before"
            self.breach("repeats", now, text, event["id"], backend=event["b"])
        self.ran[rack, key] = [*earlier, (now, event["b"], event["id"])]

    def on_end(self, event: Event) -> None:
        self.ends[event["b"], event["n"]] = event["how"]
        self.counts["attempts " + event["how"]] += 1

    def spend(self, event: Event, now: float) -> None:
        """A try takes its units once its first attempt has come whole to a backend."""
        plan, customer, units = PLANS[event["plan"]], event["c"], event["units"]
        if rate := plan.get("rate"):
            store = self.quotas.setdefault(customer, Store(rate, plan["mostAtOnce"]))
            if store.fill(now) >= units:
                store.level -= units
            else:
                self.counts["units beyond quotas"] += units
        if rate := plan.get("neverOverRate"):
            store = self.ceilings.setdefault(customer, Store(rate, plan["hardBurst"]))
            store.fill(now)
            store.level -= units
            # A lab that is late sees what came over some time at one moment.
            least = -plan["capSlack"] - (CEILING_SLACK_S + self.slack_s - SLACK_S) * rate
            if store.level < least:
                self.counts["units beyond ceilings"] += units
                text = f"{customer} is {-store.level:.1f} units beyond its ceiling, slack {-least:.1f}"
                self.breach("ceilings", now, text, event["id"], gateways=[event["g"]])

    # ---- the lab ----

    def on_load(self, event: Event) -> None:
        self.queued_long += event.get("over3", 0)

    def on_proc(self, event: Event) -> None:
        for name, (cpu, kilobytes) in event["of"].items():
            self.costs[name].append((event["t"], cpu, kilobytes))

    # ---- the end ----

    def finish(self) -> list[Breach]:
        """All breaches, the earliest first: those that only the end of a play can show come in here."""
        for gateway, since in self.down_since.items():
            self.excused[gateway].append((since, math.inf))
        self.down_since.clear()
        for asked in self.asked.values():
            answered = asked.answered
            if answered is None or answered["how"] not in ("silent", "broken"):
                continue
            gateway, at = asked.event["g"], answered["t"]
            sent_on = any(got["g"] == gateway for got in asked.attempts)
            if answered["how"] == "broken" and answered.get("fresh") and not sent_on:
                continue  # the first on its connection, and nothing was sent on: it has failed
            if answered["how"] == "broken" and not sent_on and self.upgraded(gateway, asked, at):
                self.counts["tries turned back by upgrades"] += 1  # the platform's page allows it there
                continue
            if not self.excuses(gateway, asked, at):
                text = "never answered" if answered["how"] == "silent" else "its connection was ended"
                self.breach("answers", at, text, asked.event["id"], gateways=[gateway])
        self.breaches.sort(key=lambda one: one.at)
        return self.breaches

    def figures(self) -> dict[str, float]:
        """Sums of the play, by name."""
        found: dict[str, float] = {name: float(n) for name, n in sorted(self.counts.items())}
        offered = sum(sum(of.values()) for of in self.offered.values())
        found["offered"] = offered
        for how in ("served", "refused", "failed", "broken", "unreached", "silent"):
            number = sum(of[how] for of in self.offered.values())
            found[how] = number
            found[how + " share"] = round(number / offered, 4) if offered else 0.0
        for name, of in self.offered.items():
            found[f"{name} served share"] = round(of["served"] / max(1, sum(of.values())), 4)
        for name in ("sends to what is out by hand", "sends on an old list", "backends fallen"):
            found.setdefault(name, 0.0)
        for name in ("units beyond quotas", "units beyond ceilings"):
            found[name] = round(found.get(name, 0.0), 1)
        found["queued over 3 s"] = self.queued_long
        for part in (50, 90, 99):
            found[f"latency p{part} ms"] = round(self.latency.get_value_at_percentile(part) / 1000, 1)
        cpu = [each[-1][1] - each[0][1] for each in self.costs.values() if len(each) > 1]
        if cpu:
            span = max(each[-1][0] - each[0][0] for each in self.costs.values())
            found["gateway CPU share"] = round(float(np.mean(cpu)) / max(0.001, span), 4)
            found["gateway memory MB"] = round(max(e[-1][2] for e in self.costs.values()) / 1024, 1)
        found["breaches"] = sum(n for name, n in self.counts.items() if name.startswith("breach."))
        return found

    def told_breaches(self) -> list[dict[str, Any]]:
        return [asdict(one) for one in self.breaches]
