"""Drives the decision module: events in, actions out. Decides nothing itself."""

from __future__ import annotations

import logging
import math
import re
from collections import Counter as Counts
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from switchline.backends.attempt import Attempt
from switchline.backends.pool import BackendPool
from switchline.clients.commands import Command, bulk
from switchline.clients.slot import Slot
from switchline.clock import Timer, Timers, now_ms
from switchline.counter.client import Counter
from switchline.discovery.endpoint_list import Member, host_number
from switchline.guard import Invariant
from switchline.net.descriptors import Part
from switchline.net.streams import BufferBudget, StreamedResponse
from switchline.operators.metrics import Metrics, OutcomeKind
from switchline.policy import Gateway, gateway_status
from switchline.policy import interface as api
from switchline.policy.entities import NEVER_RAN
from switchline.policy.fair_shares import PRESSED, FairShares

log = logging.getLogger(__name__)

FAILED = b"-ERR failed\r\n"
REFUSED = b"-BUSY\r\n"
FULL_MS = 200  # after which a client may come again when all places for requests are taken
OPEN_PER_CONNECTION = 2  # requests open for each backend connection that there may be: one more waits for it
REPORT_MS = 10_000.0  # one line for all requests of that time
MOST_TOLD = 1_024  # backends that are remembered by their numbers, and zones by their names
UNFIT, LONGEST_ZONE = re.compile(r"[^A-Za-z0-9_-]"), 64  # in a zone's name, for a figure's; characters
REPEAT_MARGIN_MS = 50.0  # before a key's window ends: a repeat is on its way that long at most
# Outcomes of attempts that the log tells one by one, within its bound on lines of a kind.
WORTH_A_LINE = {api.Outcome.RESET, api.Outcome.CONNECT, api.Outcome.TIMED_OUT, api.Outcome.IGNORED}
LONGEST_WAIT_MS = 60_000.0  # that a client can ask for; the longest deadlines are well under it
LONGEST_BODY_MS = 120_000.0  # for a long value to come in; a client that stalls is left long before


def figure_name(zone: str) -> str:
    """A zone's name as it can stand in a figure's."""
    return UNFIT.sub("_", zone)[:LONGEST_ZONE] or "_"


class Request:
    """One request that is owed a final answer."""

    __slots__ = (
        "begun",
        "came_at",
        "command",
        "expires",
        "kind",
        "live",
        "made",
        "slot",
        "timer",
        "value",
        "written",
    )

    def __init__(self, command: Command, slot: Slot, kind: api.RequestClass, expires: float) -> None:
        self.command, self.slot, self.kind, self.expires = command, slot, kind, expires
        self.made = 0  # attempts so far
        self.written: dict[int, float] = {}  # attempts that may have run: when their last byte left
        self.live: dict[int, Attempt] = {}  # attempts out, by number
        self.timer: Timer | None = None  # of its end
        self.came_at = command.came_at  # its head
        self.begun: int | None = None  # the attempt whose long answer is being passed on
        self.value: StreamedResponse | None = None

    @property
    def repeat_until(self) -> float:
        """When a further attempt may begin at the latest: once a key's window is over, it would run again."""
        if not self.written or self.kind.effect is not api.Effect.KEYED:
            return math.inf
        return min(self.written.values()) + self.kind.repeat_window_ms - REPEAT_MARGIN_MS


class Driver:
    """Owns the module, and is the only one to call it.

    Events are taken one after another: an action that ends at once brings its event after the actions that
    were given with it.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        timers: Timers,
        backends: BackendPool,
        counter: Counter | None,
        max_open: int,
        figures: Metrics,
        room: BufferBudget,
        tell: Callable[[list[Any]], None],
    ) -> None:
        self.shares = FairShares(max_open)  # of requests open at once, among customers
        self.gateway, self.settings = Gateway(settings, seed), settings
        self.timers, self.backends, self.counter, self.max_open = timers, backends, counter, max_open
        self.guard = timers.guard
        self.figures, self.room, self.tell = figures, room, tell
        self.keep: Callable[[int, list[Any]], None] = lambda serial, said: None  # of rows for the disk
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.plans = {plan.name for plan in settings.plans}
        self.requests: dict[str, Request] = {}
        self.ending = False  # the process is about to end
        self.withheld = 0  # refusals while a whole fleet returns
        self.attempts: dict[tuple[str, int], Attempt] = {}  # out, also those of requests that have ended
        self.events: deque[api.Event] = deque()
        self.busy = False
        self.told: dict[int, None] = {}  # backends that a list has named, the earliest first
        self.told_zones: dict[str, None] = {}  # zones likewise
        self.states: Callable[[], dict[str, int]] = dict  # of connections, for the report
        self.seen: Counts[str] = Counts()  # since the last report: what came, and what became of it
        self.timers.every(REPORT_MS, "the report", self.report)

    def report(self) -> None:
        """Tell what became of the requests, the attempts and the calls to the counter, and why."""
        if self.seen:
            told = ", ".join(f"{what} {number}" for what, number in sorted(self.seen.items()))
            now = ", ".join(f"{what} {number}" for what, number in self.states().items() if number)
            log.info("last %d s: %s; now: %s", REPORT_MS / 1000, told, now)
            self.seen.clear()

    def gauges(self) -> dict[str, int]:
        """The live state that operators fetch with the counts."""
        return {
            "outstanding": len(self.requests),
            "discovered": len(self.gateway.backends),
            "ejected": gateway_status.ejected(self.gateway, now_ms()),
        }

    def zones(self) -> dict[str, dict[str, int]]:
        """The figures of each zone, under a name that can stand in a figure's; of two alike, those of one."""
        given = gateway_status.figures_of(self.gateway.zones, now_ms())
        return {figure_name(zone): figures for zone, figures in given.items()}

    # ---- events ----

    def give(self, event: api.Event) -> None:
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.busy = False

    def handle(self, event: api.Event) -> None:
        """Give the module one event and carry out its actions; a fault of one takes no other along."""
        try:
            actions = self.gateway.handle(now_ms(), event)
        except Exception:
            self.guard.caught(type(event).__name__)
            return self.abandon(event)
        for action in actions:
            try:
                self.act(action)
            except Exception:
                self.guard.caught(type(action).__name__)
                if isinstance(action, api.Send | api.Reject | api.Fail):
                    self.finish(action.request, FAILED, OutcomeKind.ABORTED)

    def recover(self, said: list[Any], at: float) -> bool:
        """Give the module a row of an earlier life; whether it could be taken."""
        try:
            self.gateway.handle(now_ms(), api.RecordRestored(said, at))
        except (ValueError, TypeError, OverflowError) as error:
            log.info("a row of the state on disk is left out: %s", error)
            return False
        return True

    def abandon(self, event: api.Event) -> None:
        """The honest end of a request whose event the module failed at: whether it ran is not known."""
        if isinstance(event, api.RequestArrived | api.AttemptEnded):
            self.finish(event.request, FAILED, OutcomeKind.ABORTED)

    def members(
        self, scope: api.ListScope, members: tuple[Member, ...], held_until: float = -math.inf
    ) -> None:
        """The list has changed. The module hears first: attempts that end now are sent elsewhere by it.

        `held_until`: when the list before it was last known to hold.
        """
        self.give(api.BackendsChanged(scope, tuple(m.entry for m in members), held_until))
        # What a retired backend's attempts are sent to instead may be listed for the first time.
        for member in sorted(members, key=lambda one: one.entry.state is not api.BackendState.READY):
            entry = member.entry
            self.backends.update(entry.backend, member.address, entry.state, entry.zone)
        if scope is not api.ListScope.CHANGES:
            listed = {m.entry.backend for m in members}
            for backend in set(self.backends.endpoints) - listed:
                self.backends.retire(backend)
        for member in members:
            self.remember(self.told, member.entry.backend)
            self.remember(self.told_zones, member.entry.zone)

    def remember(self, told: dict[Any, None], name: Any) -> None:
        """The last named are at the end; the earliest are forgotten."""
        told.pop(name, None)
        told[name] = None
        while len(told) > MOST_TOLD:
            del told[next(iter(told))]

    def knows(self, host: str) -> bool:
        return host_number(host) in self.told

    def knows_zone(self, zone: str) -> bool:
        return zone in self.told_zones

    def hold(self, host: str, out: bool, since: float) -> None:
        """Operators took a host out, or put it back."""
        log.info("%s is %s by hand", host, "taken out" if out else "put back")
        self.backends.override(host_number(host), out)
        self.give(api.BackendOverridden(host_number(host), out, since))

    def hold_zone(self, zone: str, out: bool, since: float) -> None:
        """Operators took a zone out, or put it back."""
        self.backends.override_zone(zone, out)
        self.give(api.ZoneOverridden(zone, out, since))

    def on_command(self, command: Command, slot: Slot) -> None:
        if command.id in self.requests:
            raise ValueError("id in use")
        event = self.read(command)
        self.shares.most = min(
            self.max_open, OPEN_PER_CONNECTION * self.backends.budget.limit_of(Part.BACKENDS)
        )
        self.shares.pressed_at = int(self.shares.most * PRESSED)
        if self.ending or not self.shares.admits(event.customer):
            return self.crowd(event.request_class, slot)
        self.seen["requests taken"] += 1
        self.shares.take(event.customer)
        kind = self.kinds[event.request_class]
        owner = self.requests[command.id] = Request(command, slot, kind, event.expires_ms)
        owner.timer = self.timers.at(owner.expires, partial(self.on_expired, owner))
        self.give(event)

    def check(self, command: Command) -> None:
        self.read(command)

    def on_crowded(self, command: Command, slot: Slot) -> None:
        self.crowd(self.read(command).request_class, slot)

    def crowd(self, kind: str, slot: Slot) -> None:
        """Refuse a request before the module is told of it."""
        self.figures.count_outcome(kind, OutcomeKind.DECLINED)
        self.figures.rejected_for_capacity += 1
        self.seen["refused for room"] += 1
        slot.answer(b"-BUSY %d\r\n" % FULL_MS)

    def read(self, command: Command) -> api.RequestArrived:
        """A request that the settings know the class and the plan of; a backend may run nothing else.

        Passed on, a made-up class fails at each backend and marks healthy ones as failing, and a made-up plan
        has no quota to keep.
        """
        given = command.attributes
        event = api.RequestArrived(
            request=command.id,
            request_class=given[b"c"].decode(),
            plan=given.get(b"t", b"").decode(),
            customer=command.customer,
            expires_ms=command.came_at
            + (LONGEST_BODY_MS if command.stream is not None else min(command.wait, LONGEST_WAIT_MS)),
            units=float(given.get(b"units", b"0")),
            spread=int(given.get(b"spread", b"1")),
            first=int(given.get(b"first", b"0")),
            repeat=given.get(b"r") == b"1",
            streamed=command.stream is not None,
        )
        kind = self.kinds.get(event.request_class)
        if kind is None or event.plan not in self.plans:
            raise ValueError("unknown class or plan")
        if command.safe is not (kind.effect is api.Effect.SAFE):
            raise ValueError("wrong command for the class")
        if kind.effect is api.Effect.KEYED and not given.get(b"k"):
            raise ValueError("idempotency key missing")
        gateways = self.settings.gateways
        if not (event.units > 0 and 1 <= event.spread <= gateways and 0 <= event.first < gateways):
            raise ValueError("malformed units or gateways")
        return event

    def on_body_received(self, request: str) -> None:
        """A long value has come in whole: from now on its request is one as any other.

        Its client may count the time from its first byte or from its last. One that still sends has not given
        up, so where the first reckoning has run out, the second must be meant.
        """
        owner, now = self.requests.get(request), now_ms()
        if owner is None or owner.begun is not None:
            return
        wait = min(owner.command.wait, LONGEST_WAIT_MS)
        owner.expires = owner.came_at + wait if now < owner.came_at + wait else now + wait
        if owner.timer is not None:
            owner.timer.cancel()
        owner.timer = self.timers.at(owner.expires, partial(self.on_expired, owner))
        for attempt in owner.live.values():
            attempt.expires_at_ms = owner.expires
        self.give(api.RequestBodyReceived(request, owner.expires))

    def on_expired(self, owner: Request) -> None:
        """The client's patience ends: so do the attempts, and the module owes the final answer."""
        request = owner.command.id
        self.give_up(owner, api.Outcome.TIMED_OUT)
        if self.requests.get(request) is owner:
            # Only a fault brings a request here unanswered; its client must not wait in vain even so.
            log.error("request %s had no answer at its end", request)
            self.finish(request, FAILED, OutcomeKind.ABORTED)
            self.give(api.RequestLapsed(request))

    def on_client_gone(self, request: str) -> None:
        owner = self.leave(request)
        if owner is None:
            return
        self.figures.count_outcome(owner.kind.name, OutcomeKind.ABORTED)
        if owner.value is not None:
            owner.value.drop()
        self.leave_body(owner)
        self.give(api.RequestLapsed(request))
        # Nobody is waiting any more; a backend may then drop what it has not begun.
        self.give_up(owner, api.Outcome.CANCELLED)
        self.settle(owner)

    def on_ended(
        self,
        owner: Request,
        number: int,
        sent_at: float,
        attempt: Attempt,
        outcome: api.Outcome,
        value: bytes,
    ) -> None:
        request = owner.command.id
        self.seen["attempts " + outcome.value] += 1
        if outcome in WORTH_A_LINE:
            self.tell_of_attempt(request, number, attempt, outcome, now_ms() - sent_at)
        del self.attempts[request, number], owner.live[number]
        if outcome in NEVER_RAN:
            owner.written.pop(number, None)
        if owner.begun == number and owner.value is not None and outcome is api.Outcome.OK:
            owner.value.end()  # the request ends once its client has been given the last byte
        elif outcome is api.Outcome.OK and owner.begun is None:
            self.finish(request, bulk(value), OutcomeKind.SUCCEEDED)
        elif owner.begun == number:
            self.finish(request, FAILED, OutcomeKind.ABORTED)
        finished = owner.begun is not None or self.requests.get(request) is not owner
        if finished:
            self.settle(owner)
        body = owner.command.stream
        spent = body is not None and not body.repeatable
        lag = now_ms() - sent_at
        cost = attempt.true_units if outcome is api.Outcome.OK else 0.0
        self.give(api.AttemptEnded(request, number, attempt.backend, outcome, lag, finished, cost, spent))

    def tell_of_attempt(
        self, request: str, number: int, attempt: Attempt, outcome: api.Outcome, lag: float
    ) -> None:
        """Log an attempt that ended by a fault: whose it was, where, and how."""
        log.info(
            "request %s attempt %d at backend %x ended: %s after %.0f ms",
            request,
            number,
            attempt.backend,
            outcome.value,
            lag,
        )

    def hindrance(self, owner: Request, now: float) -> api.Outcome | None:
        """Why no byte of an attempt must leave now: the one guard of sending and of repeating.

        It is asked at the first byte and, where not all leaves at once, before the last: what was decided on
        may have been overtaken in its wait for a connection.
        """
        if self.requests.get(owner.command.id) is not owner or owner.begun is not None:
            return api.Outcome.IGNORED  # it has its final answer
        if owner.kind.effect is api.Effect.UNSAFE and owner.written:
            self.guard.violated(Invariant.NO_UNSAFE_REPEAT, f"request {owner.command.id}")
            return api.Outcome.IGNORED
        if now >= owner.repeat_until:  # what has run may by then run again
            return api.Outcome.IGNORED
        if owner.slot.connection.notice_departure():
            return api.Outcome.CANCELLED
        return None

    def on_written(self, owner: Request, number: int, attempt: Attempt) -> None:
        owner.written[number] = now_ms()
        if owner.command.stream is not None:
            self.give(api.RequestBodySent(owner.command.id, number))

    def on_began(self, owner: Request, number: int, attempt: Attempt, length: int) -> StreamedResponse | None:
        """A long answer has begun: it is the final one, and is passed on as it comes."""
        request = owner.command.id
        if self.requests.get(request) is not owner or owner.begun is not None:
            return None
        owner.begun = number
        if owner.timer is not None:
            owner.timer.cancel()
        value = owner.value = StreamedResponse(self.room, length, owner.slot.connection.pump)
        owner.slot.stream(value, partial(self.on_passed, owner))
        self.give(api.StreamedAnswerStarted(request, number))
        return value

    def on_passed(self, owner: Request) -> None:
        if self.leave(owner.command.id) is not None:
            self.figures.count_outcome(owner.kind.name, OutcomeKind.SUCCEEDED)
        if owner.value is not None:
            owner.value.drop()
        self.leave_body(owner)

    def on_counted(self, name: str, outcome: api.Outcome, reading: float) -> None:
        self.seen["counter " + outcome.value] += 1
        self.give(api.CounterReplied(name, outcome, reading))

    # ---- actions ----

    def act(self, action: api.Action) -> None:
        match action:
            case api.Send(request, backend, timeout):
                self.send(request, backend, timeout)
            case api.Cancel(request, number):
                if attempt := self.attempts.get((request, number)):
                    self.backends.give_up(attempt, api.Outcome.CANCELLED)
            case api.Reject(request, retry_after, reason):
                self.seen["refused for " + reason] += 1
                self.withheld += reason == "return"
                wait = math.ceil(retry_after)
                self.finish(
                    request, b"-BUSY %d\r\n" % wait if wait > 0 else b"-BUSY\r\n", OutcomeKind.DECLINED
                )
            case api.Fail(request):
                self.seen["failed"] += 1
                self.finish(request, FAILED, OutcomeKind.ABORTED)
            case api.SetTimer(delay, token):
                self.timers.at(now_ms() + delay, partial(self.give, api.TimerFired(token)))
            case api.Count(name, amount, expire_in):
                if self.counter is None:
                    self.give(api.CounterReplied(name, api.Outcome.CONNECT, 0.0))
                else:
                    self.counter.add(name, amount, expire_in, self.on_counted)
            case api.Replicate(said):
                self.tell(said)
            case api.PersistRecord(serial, said):
                self.keep(serial, said)
            case api.LogMessage(text):
                log.info("%s", text)
            case api.FollowList():
                pass  # the list is always followed

    def send(self, request: str, backend: int, timeout: float) -> None:
        now, owner = now_ms(), self.requests.get(request)
        body = owner.command.stream if owner is not None else None
        spent = body is not None and not body.repeatable
        if owner is None or spent or owner.made >= self.settings.max_attempts:
            number = owner.made if owner else 0
            ignored = api.Outcome.IGNORED
            self.give(
                api.AttemptEnded(request, number, backend, ignored, 0.0, owner is None, body_discarded=spent)
            )
            return
        number, owner.made = owner.made, owner.made + 1
        ended = partial(self.on_ended, owner, number, now)
        written, began = partial(self.on_written, owner, number), partial(self.on_began, owner, number)
        hindrance = partial(self.hindrance, owner)
        encode, expires = owner.command.encode, owner.expires
        attempt = Attempt(backend, encode, expires, ended, written, began, hindrance, body)
        self.attempts[request, number] = owner.live[number] = attempt
        if 0 < timeout < owner.expires - now:
            give_up = partial(self.backends.give_up, attempt, api.Outcome.TIMED_OUT)
            attempt.timeout_timer = self.timers.at(now + timeout, give_up)
        self.backends.send(attempt)

    def give_up(self, owner: Request, outcome: api.Outcome) -> None:
        for attempt in list(owner.live.values()):
            self.backends.give_up(attempt, outcome)

    def finish(self, request: str, reply: bytes, ended: OutcomeKind) -> None:
        """Give the one final answer; a second one is not sent."""
        if owner := self.leave(request):
            self.figures.count_outcome(owner.kind.name, ended)
            if owner.value is not None:  # begun, and not to be finished
                owner.slot.abort_stream(reply)
                owner.value.drop()
            else:
                owner.slot.answer(reply)
            self.leave_body(owner)
            self.settle(owner)

    def leave(self, request: str) -> Request | None:
        """A request has ended: its place is free."""
        owner = self.requests.pop(request, None)
        if owner is not None:
            self.shares.give_back(owner.command.customer)
        return owner

    def leave_body(self, owner: Request) -> None:
        """Nobody needs the rest of a request's long value: nor can an attempt be finished without it."""
        body = owner.command.stream
        if body is not None and not body.dropped:
            body.drop()
            if not body.complete or body.sent < body.length:
                self.give_up(owner, api.Outcome.CANCELLED)

    def settle(self, owner: Request) -> None:
        """Once a request is answered and nothing of it is out, its timer is not needed."""
        if owner.timer is not None and not owner.live:
            owner.timer.cancel()

    def end_all(self) -> None:
        """Answer what is open as the process has to end, and refuse what still comes."""
        self.ending = True
        for request, owner in list(self.requests.items()):
            if owner.written or any(attempt.connection for attempt in owner.live.values()):
                self.finish(request, FAILED, OutcomeKind.ABORTED)
            else:  # nothing of it has left
                self.finish(request, REFUSED, OutcomeKind.DECLINED)
            self.give(api.RequestLapsed(request))
