"""The judge: checks the platform's rules against what clients, links and stand-ins recorded.

Its only input is the events of a play, in their order; it queries no gateway. A request without an answer is
a breach unless its gateway was killed, stopped or cut off from clients while it had the request.
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

# Tolerance that is added to every time limit, for the delay of sockets.
SLACK_S = 0.05
# The deadline that a gateway sends to a backend may be later than the client's by this much.
DEADLINE_SLACK_S = 0.15
# Event keys of a request that a gateway must forward unchanged.
FORWARDED_KEYS = "c", "cls", "plan", "units"
# An answer after the client's deadline is worth nothing to it, but only one later than this is a breach.
MAX_LATENESS_S = 0.5
# A gateway may send to a backend for this long after it received that the backend drains or is disabled.
DRAIN_GRACE_S = settings.RULES["drainGrace"] / 1000
# Precedes the names of the gateways without the override, in the answer to an operators' call for the fleet.
MISSING_GATEWAYS_PREFIX = "not known to have it: "
# An operators' call without an answer is in force after this time.
OPERATOR_CALL_TIMEOUT_S = 1.0
# Tolerance of a ceiling: the units of this many seconds at the ceiling's rate.
CEILING_SLACK_S = 0.15
# Failure of a cold backend is a breach if at least this share of its recent work came from gateways that
# discovery had informed of its start.
MIN_INFORMED_SHARE = 2 / 3
# Outcomes of an attempt that the backend rejected before it ran.
NOT_RUN_OUTCOMES = {"full", "over"}
# Breaches of one rule beyond this number are counted, but not listed.
MAX_LISTED_BREACHES = 200
# Sends by a stale endpoint list are counted from this time after most gateways had the newer list.
STALE_LIST_DELAY_S = 2.0
# Range (microseconds) and significant digits of the latency histogram.
MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS = 1, 60_000_000, 3

CLASSES = {kind["name"]: kind for kind in settings.CLASSES}
PLANS = {plan["name"]: plan for plan in settings.PLANS}


@dataclass
class Breach:
    """One breach of a rule. `at`: seconds from the start of the load."""

    rule: str
    at: float
    what: str
    request: str = ""
    gateways: list[str] = field(default_factory=list)
    backend: str = ""

    def line(self) -> str:
        subject = " ".join(part for part in (self.request, ",".join(self.gateways), self.backend) if part)
        return f"{self.at:8.3f} s  {self.rule}: {self.what} [{subject}]"


@dataclass
class ClientTry:
    """One try of a client: its `ask` event, its `ans` event, and the attempts it led to."""

    ask: Event
    answer: Event | None = None
    # `got` events: attempts that a backend received in full.
    attempts: list[Event] = field(default_factory=list)


class TokenBucket:
    """A token bucket. Tokens are units; `rate` is in units per second, `burst` is the capacity in units."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.tokens, self.refilled_at_s = rate, burst, burst, 0.0

    def refill(self, now: float) -> float:
        """Add the tokens that are due at `now`, in seconds, and return the tokens in the bucket."""
        self.tokens = min(self.burst, self.tokens + max(0.0, now - self.refilled_at_s) * self.rate)
        self.refilled_at_s = max(now, self.refilled_at_s)
        return self.tokens


class Judge:
    """Takes events one after another. `finish` returns the breaches, `figures` the counts and shares."""

    def __init__(self, slack_s: float = SLACK_S) -> None:
        self.slack_s = slack_s
        self.breaches: list[Breach] = []
        self.counts: Counts[str] = Counts()
        self.tries: dict[str, ClientTry] = {}
        # Outcomes of attempts, by backend and the backend's number of the attempt.
        self.attempt_outcomes: dict[tuple[str, int], str] = {}
        # Runs of keyed requests, by rack and idempotency key: time, backend and request.
        self.keyed_runs: dict[tuple[str, str], list[tuple[float, str, str]]] = defaultdict(list)
        self.rack_by_backend: dict[str, str] = {}
        self.zone_by_backend: dict[str, str] = {}
        # By request.
        self.idempotency_keys: dict[str, str] = {}
        # By gateway and backend, as received from discovery: time of the last change, health, and time of
        # birth (above 0 for a backend that started cold).
        self.received_hosts: dict[str, dict[str, tuple[float, str, float]]] = defaultdict(dict)
        # By gateway: sequence number of the endpoint list that it received last.
        self.received_seqs: dict[str, int] = {}
        # Backends that are not `up` on discovery's list: since when, and by which sequence number.
        self.withdrawn_backends: dict[str, tuple[float, int]] = {}
        # By sequence number of an endpoint list: when most gateways had received it.
        self.majority_at_s: dict[int, float] = {}
        # By gateway and backend or zone: when operators' override came into force.
        self.disabled_at_s: dict[tuple[str, str], float] = {}
        # By gateway, kind of call and backend or zone: when operators called to disable it.
        self.down_called_at_s: dict[tuple[str, str, str], float] = {}
        # By gateway: periods (from, to) in which it may leave requests without an answer.
        self.excused_periods: dict[str, list[tuple[float, float]]] = defaultdict(list)
        # By gateway: periods (from, to) in which two of its processes ran.
        self.upgrade_periods: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.down_at_s: dict[str, float] = {}
        # By customer.
        self.ceiling_buckets: dict[str, TokenBucket] = {}
        self.quota_buckets: dict[str, TokenBucket] = {}
        self.gateways: list[str] = []
        # By class: number of first tries for each outcome.
        self.first_try_outcomes: dict[str, Counts[str]] = defaultdict(Counts)
        self.latency = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS)
        self.long_queued_count = 0
        # By gateway, samples: time, CPU seconds so far, resident kilobytes.
        self.process_usage: dict[str, list[tuple[float, float, int]]] = defaultdict(list)

    def breach(self, rule: str, at: float, what: str, request: str = "", **subject: Any) -> None:
        self.counts["breach." + rule] += 1
        if self.counts["breach." + rule] <= MAX_LISTED_BREACHES:
            self.breaches.append(Breach(rule, at, what, request, **subject))

    def feed(self, event: Event) -> None:
        if handler := getattr(self, "on_" + str(event["e"]), None):
            handler(event)

    # ---- the fleet ----

    def on_play(self, event: Event) -> None:
        self.gateways = event["gateways"]
        for name, zone, rack in event["backends"]:
            self.zone_by_backend[name], self.rack_by_backend[name] = zone, rack

    def on_life(self, event: Event) -> None:
        """Note when a gateway is down or upgraded, and check how its processes start and end.

        A gateway is down from its kill, power loss, stop or exit until it is ready or continued. An upgrade
        lasts from `beside`, the start of the new process, to `handed` or `undone`, the end of one of the two.
        """
        gateway, now, what = event["g"], event["t"], event["what"]
        if what == "start":
            self.received_hosts[gateway].clear()  # a new process has received nothing yet
            self.received_seqs.pop(gateway, None)
        elif what in ("kill", "power", "stop"):
            self.down_at_s.setdefault(gateway, now)
        elif what == "beside":
            self.upgrade_periods[gateway].append((now, math.inf))
        elif what in ("handed", "undone"):
            begun = self.upgrade_periods[gateway].pop()[0] if self.upgrade_periods[gateway] else now
            self.upgrade_periods[gateway].append((begun, now))
            if what == "undone":
                # The requests that the killed new process had accepted are lost.
                self.excused_periods[gateway].append((now, now))
        elif what == "forced":
            self.breach("ends", now, "the process did not exit in time after SIGTERM", gateways=[gateway])
        elif what in ("cont", "ready") and gateway in self.down_at_s:
            self.excused_periods[gateway].append((self.down_at_s.pop(gateway), now))
        elif what == "unready":
            self.breach("start", now, "the gateway was not ready in time after its start", gateways=[gateway])
        elif what == "exit":
            self.down_at_s.setdefault(gateway, now)
            if event["expected"]:
                if event["code"] not in (0, -9):
                    self.breach("crash", now, f"exit code {event['code']} after SIGTERM", gateways=[gateway])
                return
            last_log_line = str(event["log"]).strip().splitlines()[-1:] or [""]
            self.breach(
                "crash", now, f"exit code {event['code']}: {last_log_line[0][:120]}", gateways=[gateway]
            )

    def on_cut(self, event: Event) -> None:
        """A fault on the link between clients and a gateway excuses missing answers until it ends."""
        self.excused_periods[event["g"]].append((event["t"], event["until"]))

    def on_told(self, event: Event) -> None:
        """Note what a gateway received from discovery: the whole endpoint list, or the changes up to `seq`.

        The time of a change of health stays when the same health is received again.
        """
        known, now = self.received_hosts[event["g"]], event["t"]
        if event["whole"]:
            for name in known.keys() - event["hosts"].keys():
                known[name] = (now, "removed", 0.0)
        for name, (health, born) in event["hosts"].items():
            before = known.get(name)
            if before is None or before[1] != health:
                known[name] = (now, health, born)
            else:
                known[name] = (before[0], health, born)
        self.received_seqs[event["g"]] = event["seq"]
        for seq in range(max(self.majority_at_s, default=0) + 1, event["seq"] + 1):
            if sum(received >= seq for received in self.received_seqs.values()) * 2 > len(self.gateways):
                self.majority_at_s[seq] = now

    def on_list(self, event: Event) -> None:
        """Note from which time and sequence number of discovery's list a backend is not `up`."""
        if event["health"] == "up":
            self.withdrawn_backends.pop(event["b"], None)
        else:
            self.withdrawn_backends.setdefault(event["b"], (event["t"], event["seq"]))

    def on_op(self, event: Event) -> None:
        """Note from when a backend or zone is disabled by operators, and for which gateways.

        `call` is the path of the call, like `backends/down`. `how` is "called" when the call is made, and
        then "yes", "no" or "none" for its answer.
        """
        gateway, call, now = event["g"], event["call"], event["t"]
        kind, _, way = call.partition("/")
        if way == "down":
            if event["how"] == "called":
                self.down_called_at_s[gateway, kind, event["id"]] = now
            elif event["how"] == "yes":
                for name in self.gateways_with_override(event):
                    self.disabled_at_s.setdefault((name, event["id"]), now)
            else:
                self.counts["operators' calls without a yes"] += 1
                if event["how"] == "none":  # a call without an answer in time counts as accepted
                    called = self.down_called_at_s[gateway, kind, event["id"]]
                    self.disabled_at_s.setdefault((gateway, event["id"]), called + OPERATOR_CALL_TIMEOUT_S)
        elif way == "up" and event["how"] == "called":
            for name in self.gateways if event.get("fleet") else [gateway]:
                self.disabled_at_s.pop((name, event["id"]), None)

    def gateways_with_override(self, event: Event) -> list[str]:
        """The gateways with the override after a "yes": in a call for the fleet, all that it doesn't name."""
        if not event.get("fleet"):
            return [event["g"]]
        described = event["text"].partition(MISSING_GATEWAYS_PREFIX)[2].strip().split(", ")
        missing = {each.partition(" (")[0] for each in described}
        return [event["g"]] if "..." in missing else [name for name in self.gateways if name not in missing]

    def on_back(self, event: Event) -> None:
        """Check that a backend did not fail cold under work of gateways that had received its cold start.

        `parts`: by gateway, the ms of work that the backend received in the last 3 s.
        """
        if event["what"] != "fell":
            return
        self.counts["backends fallen"] += 1
        work_ms, name = event["parts"], event["b"]
        informed = [g for g in work_ms if self.received_hosts[g].get(name, (0, "", 0.0))[2] > 0]
        informed_ms, total_ms = sum(work_ms[g] for g in informed), sum(work_ms.values())
        if informed_ms >= MIN_INFORMED_SHARE * total_ms:
            text = f"cold, it got {total_ms:.0f} ms of work in 3 s, {informed_ms:.0f} by informed gateways"
            self.breach("cold", event["t"], text, gateways=sorted(informed), backend=name)

    # ---- requests at clients ----

    def on_ask(self, event: Event) -> None:
        self.tries[event["id"]] = ClientTry(event)
        self.counts["tries"] += 1

    def on_ans(self, event: Event) -> None:
        """Check an answer: the only one to its try, in time, and with a value made for its request."""
        client_try = self.tries.get(event["id"])
        if client_try is None:
            return
        if client_try.answer is not None:
            self.breach("answers", event["t"], "a second answer", event["id"], gateways=[event["g"]])
            return
        client_try.answer, how, now = event, event["how"], event["t"]
        self.counts["tries " + how] += 1
        if client_try.ask["k"] == 0:
            self.first_try_outcomes[client_try.ask["cls"]][how] += 1
        latency_s = now - client_try.ask["t"]
        lateness_s = latency_s - client_try.ask["d"] / 1000
        if how == "served":
            self.latency.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(latency_s * 1e6))))
            if latency_s * 1000 <= CLASSES[client_try.ask["cls"]]["aim"]:
                self.counts["served in their aim"] += 1
            value = str(event["value"])
            if not value.startswith("made-by-") or not value.endswith(self.expected_value_suffix(client_try)):
                text = f"served with {value[:40]!r}, which no backend returned for this request"
                self.breach("made-up", now, text, event["id"], gateways=[event["g"]])
        if event.get("extra"):
            self.breach(
                "answers",
                now,
                "an answer without a request",
                event["id"],
                gateways=[event["g"]],
            )
        too_late = lateness_s > MAX_LATENESS_S + self.slack_s and how not in ("silent", "unreached")
        if too_late and not self.is_excused(event["g"], client_try, now):
            text = f"answered {lateness_s:.2f} s after its deadline"
            self.breach("answers", now, text, event["id"], gateways=[event["g"]])
        if how == "refused":
            self.check_refusal(client_try, now)

    def expected_value_suffix(self, client_try: ClientTry) -> str:
        """The end of the value that serves this try; empty for requests with an idempotency key.

        A retry of a keyed request may be served with the value of its first try.
        """
        request_class = CLASSES[client_try.ask["cls"]]
        return "" if request_class["effect"] == "token" else f"-for-{client_try.ask['id']}"

    def check_refusal(self, client_try: ClientTry, now: float) -> None:
        """Check that a refused request did not run, unless it is idempotent.

        A refusal tells the client that a retry does no harm.
        """
        request_class = CLASSES[client_try.ask["cls"]]
        if request_class["effect"] == "pure":
            return
        for got in client_try.attempts:
            outcome = self.attempt_outcomes.get((got["b"], got["n"]))
            if outcome not in NOT_RUN_OUTCOMES:
                text = f"refused, though an attempt at {got['b']} may have run"
                self.breach(
                    "refusals", now, text, client_try.ask["id"], gateways=[got["g"]], backend=got["b"]
                )
                return

    def ended_during_upgrade(self, gateway: str, client_try: ClientTry, at: float) -> bool:
        """Whether an upgrade of the gateway overlaps the time from the request to `at`, in seconds."""
        begun = client_try.ask["t"] - self.slack_s
        return any(first <= at and begun <= last for first, last in self.upgrade_periods[gateway])

    def is_excused(self, gateway: str, client_try: ClientTry, at: float) -> bool:
        """Whether the gateway was killed, stopped or cut off between the request and `at`, in seconds."""
        begun = client_try.ask["t"] - self.slack_s
        if self.down_at_s.get(gateway, math.inf) <= at:
            return True
        return any(first <= at and begun <= last for first, last in self.excused_periods.get(gateway, ()))

    # ---- attempts at backends ----

    def on_got(self, event: Event) -> None:
        """Check an attempt that a backend has received; `ago` is the time in seconds since it was sent."""
        self.counts["attempts"] += 1
        now, sent = event["t"], event["t"] - event["ago"]
        gateway, name = event["g"], event["b"]
        self.check_destination(event, gateway, name, sent)
        client_try = self.tries.get(event["id"])
        if event["key"]:
            self.idempotency_keys[event["id"]] = event["key"]
        self.check_forwarded_request(client_try, event, sent)
        if client_try is not None:
            if client_try.attempts:
                self.check_repeat(client_try, event)
            else:
                self.charge_units(event, now)
            client_try.attempts.append(event)

    def check_forwarded_request(self, client_try: ClientTry | None, event: Event, sent: float) -> None:
        """Check that a client sent this request, and that its deadline is not later than the client's."""
        gateway, name = event["g"], event["b"]
        if not self.tries:
            return  # the record begins later and has no events of clients
        if client_try is None or any(event[key] != client_try.ask[key] for key in FORWARDED_KEYS):
            self.breach(
                "garbled",
                sent,
                "no client sent this request",
                event["id"],
                gateways=[gateway],
                backend=name,
            )
            return
        excess_s = sent + event["d"] / 1000 - client_try.ask["t"] - client_try.ask["d"] / 1000
        if excess_s > DEADLINE_SLACK_S + self.slack_s and not self.is_excused(
            gateway, client_try, event["t"]
        ):
            text = f"its deadline is {excess_s:.2f} s after its client's"
            self.breach("deadlines", sent, text, event["id"], gateways=[gateway], backend=name)

    def check_destination(self, event: Event, gateway: str, name: str, sent: float) -> None:
        """Check that neither discovery nor operators had withdrawn the backend when the attempt was sent."""
        known = self.received_hosts[gateway].get(name)
        if known is not None and known[1] != "up" and sent > known[0] + DRAIN_GRACE_S + self.slack_s:
            text = f"sent {sent - known[0]:.2f} s after it received that this backend is {known[1]}"
            self.breach("drains", sent, text, event["id"], gateways=[gateway], backend=name)
        for subject in (name, self.zone_by_backend[name]):
            disabled_at_s = self.disabled_at_s.get((gateway, subject), math.inf)
            if sent > disabled_at_s + DRAIN_GRACE_S + self.slack_s:
                self.counts["sends to what is out by hand"] += 1
                text = f"sent {sent - disabled_at_s:.2f} s after {subject} was disabled by an operator"
                self.breach("bans", sent, text, event["id"], gateways=[gateway], backend=name)
        withdrawn = self.withdrawn_backends.get(name)
        if withdrawn is not None and self.received_seqs.get(gateway, 0) < withdrawn[1]:
            if sent > self.majority_at_s.get(withdrawn[1], math.inf) + STALE_LIST_DELAY_S:
                self.counts["sends on an old list"] += 1
                self.counts[f"sends on an old list by {gateway}"] += 1

    def check_repeat(self, client_try: ClientTry, event: Event) -> None:
        """Check that the class allows one more attempt, as earlier attempts may have run."""
        request_class = CLASSES[event["cls"]]
        possibly_run = [
            got
            for got in client_try.attempts
            if self.attempt_outcomes.get((got["b"], got["n"])) not in NOT_RUN_OUTCOMES
        ]
        if not possibly_run or request_class["effect"] == "pure":
            return
        first, subject = possibly_run[0], {"gateways": [event["g"]], "backend": event["b"]}
        if request_class["effect"] == "side_effect":
            text = f"sent again, though the attempt at {first['b']} may have run"
            self.breach("repeats", event["t"], text, event["id"], **subject)
        elif self.rack_by_backend[first["b"]] != self.rack_by_backend[event["b"]]:
            text = f"sent to another rack than {first['b']}, which knows its key"
            self.breach("repeats", event["t"], text, event["id"], **subject)
        elif event["t"] - event["ago"] > first["t"] + request_class["repeatWindow"] / 1000 + self.slack_s:
            text = f"{event['t'] - first['t']:.2f} s after its first attempt, beyond the repeat window"
            self.breach("repeats", event["t"], text, event["id"], **subject)

    def on_run(self, event: Event) -> None:
        """A backend begins to run a request. A key runs once in a rack within the repeat window."""
        key, now = self.idempotency_keys.get(event["id"], ""), event["t"]
        if not key:
            return
        rack = self.rack_by_backend[event["b"]]
        window_s = CLASSES["spara"]["repeatWindow"] / 1000
        earlier = [run for run in self.keyed_runs[rack, key] if now - run[0] <= window_s]
        if earlier:
            text = f"run again, though {earlier[0][1]} of its rack ran it {now - earlier[0][0]:.2f} s before"
            self.breach("repeats", now, text, event["id"], backend=event["b"])
        self.keyed_runs[rack, key] = [*earlier, (now, event["b"], event["id"])]

    def on_end(self, event: Event) -> None:
        self.attempt_outcomes[event["b"], event["n"]] = event["how"]
        self.counts["attempts " + event["how"]] += 1

    def charge_units(self, event: Event, now: float) -> None:
        """Charge the units of a try, when a backend has received its first attempt in full."""
        plan, customer, units = PLANS[event["plan"]], event["c"], event["units"]
        if rate := plan.get("rate"):
            bucket = self.quota_buckets.setdefault(customer, TokenBucket(rate, plan["mostAtOnce"]))
            if bucket.refill(now) >= units:
                bucket.tokens -= units
            else:
                self.counts["units beyond quotas"] += units
        if rate := plan.get("neverOverRate"):
            bucket = self.ceiling_buckets.setdefault(customer, TokenBucket(rate, plan["hardBurst"]))
            bucket.refill(now)
            bucket.tokens -= units
            # A delayed test bed sees units that arrived over some time at one moment: its slack counts too.
            min_tokens = -plan["capSlack"] - (CEILING_SLACK_S + self.slack_s - SLACK_S) * rate
            if bucket.tokens < min_tokens:
                self.counts["units beyond ceilings"] += units
                text = f"{customer} is {-bucket.tokens:.1f} units beyond its ceiling, slack {-min_tokens:.1f}"
                self.breach("ceilings", now, text, event["id"], gateways=[event["g"]])

    # ---- the test bed ----

    def on_load(self, event: Event) -> None:
        self.long_queued_count += event.get("over3", 0)

    def on_proc(self, event: Event) -> None:
        for name, (cpu, kilobytes) in event["of"].items():
            self.process_usage[name].append((event["t"], cpu, kilobytes))

    # ---- the end ----

    def finish(self) -> list[Breach]:
        """All breaches, the earliest first, with those that are known only at the end of a play."""
        for gateway, down_at_s in self.down_at_s.items():
            self.excused_periods[gateway].append((down_at_s, math.inf))
        self.down_at_s.clear()
        for client_try in self.tries.values():
            answer = client_try.answer
            if answer is None or answer["how"] not in ("silent", "broken"):
                continue
            gateway, at = client_try.ask["g"], answer["t"]
            forwarded = any(got["g"] == gateway for got in client_try.attempts)
            if answer["how"] == "broken" and answer.get("fresh") and not forwarded:
                continue  # first request on its connection, not forwarded: it counts as failed, no breach
            if (
                answer["how"] == "broken"
                and not forwarded
                and self.ended_during_upgrade(gateway, client_try, at)
            ):
                # In an upgrade, the platform permits closing a connection whose request was not forwarded.
                self.counts["tries turned back by upgrades"] += 1
                continue
            if not self.is_excused(gateway, client_try, at):
                text = "never answered" if answer["how"] == "silent" else "its connection was closed"
                self.breach("answers", at, text, client_try.ask["id"], gateways=[gateway])
        self.breaches.sort(key=lambda breach: breach.at)
        return self.breaches

    def figures(self) -> dict[str, float]:
        """Counts, shares (0 to 1), latencies in ms and resource use of the play, by name."""
        figures: dict[str, float] = {name: float(count) for name, count in sorted(self.counts.items())}
        offered = sum(sum(outcomes.values()) for outcomes in self.first_try_outcomes.values())
        figures["offered"] = offered
        for how in ("served", "refused", "failed", "broken", "unreached", "silent"):
            count = sum(outcomes[how] for outcomes in self.first_try_outcomes.values())
            figures[how] = count
            figures[how + " share"] = round(count / offered, 4) if offered else 0.0
        for name, outcomes in self.first_try_outcomes.items():
            figures[f"{name} served share"] = round(outcomes["served"] / max(1, sum(outcomes.values())), 4)
        for name in ("sends to what is out by hand", "sends on an old list", "backends fallen"):
            figures.setdefault(name, 0.0)
        for name in ("units beyond quotas", "units beyond ceilings"):
            figures[name] = round(figures.get(name, 0.0), 1)
        figures["queued over 3 s"] = self.long_queued_count
        for percentile in (50, 90, 99):
            figures[f"latency p{percentile} ms"] = round(
                self.latency.get_value_at_percentile(percentile) / 1000, 1
            )
        cpu_s = [
            samples[-1][1] - samples[0][1] for samples in self.process_usage.values() if len(samples) > 1
        ]
        if cpu_s:
            span_s = max(samples[-1][0] - samples[0][0] for samples in self.process_usage.values())
            figures["gateway CPU share"] = round(float(np.mean(cpu_s)) / max(0.001, span_s), 4)
            figures["gateway memory MB"] = round(max(s[-1][2] for s in self.process_usage.values()) / 1024, 1)
        figures["breaches"] = sum(count for name, count in self.counts.items() if name.startswith("breach."))
        return figures

    def breach_records(self) -> list[dict[str, Any]]:
        return [asdict(breach) for breach in self.breaches]
