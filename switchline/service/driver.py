"""Drives the policy: events in, actions out. Decides nothing itself.

Requests and attempts are in `switchline.requests`; this has the queue of events, the carrying out of actions,
and what the policy is told of backends and zones.
"""

from __future__ import annotations

import logging
import math
import re
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from functools import partial
from typing import Any, Generic, TypeVar

from switchline import log_events
from switchline.backends.pool import BackendPool
from switchline.clock import Timers, now_ms
from switchline.counter.client import Counter
from switchline.discovery.endpoint_list import ListedBackend, host_number
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics, OutcomeKind
from switchline.policy import Gateway, gateway_status
from switchline.policy import interface as api
from switchline.policy.persistence.codec import decode_record, encode_record
from switchline.requests.attempts import AttemptSender
from switchline.requests.context import RequestContext
from switchline.requests.lifecycle import REFUSED, RequestLifecycle
from switchline.requests.report import PeriodicReport

log = logging.getLogger(__name__)

MAX_KNOWN_NAMES = 1_024  # backends and zones that are remembered after they have left the list
NOT_IN_METRIC_NAMES = re.compile(r"[^A-Za-z0-9_-]")
MAX_METRIC_NAME_LENGTH = 64

Name = TypeVar("Name", bound=Hashable)


def zone_metric_name(zone: str) -> str:
    """A zone's name as it can stand in a metric's."""
    return NOT_IN_METRIC_NAMES.sub("_", zone)[:MAX_METRIC_NAME_LENGTH] or "_"


class KnownNames(Generic[Name]):
    """Owns the names that lists have had; the earliest are forgotten."""

    def __init__(self) -> None:
        self._names: dict[Name, None] = {}  # the last named at the end

    def add(self, name: Name) -> None:
        """A list has this name."""
        self._names.pop(name, None)
        self._names[name] = None
        while len(self._names) > MAX_KNOWN_NAMES:
            del self._names[next(iter(self._names))]

    def __contains__(self, name: Name) -> bool:
        return name in self._names


@dataclass(frozen=True, slots=True)
class DriverParts:
    """What the driver carries out actions with."""

    timers: Timers
    backends: BackendPool
    counter: Counter | None
    metrics: Metrics
    buffers: BufferBudget
    max_open: int  # requests at once
    replicate: Callable[[list[Any]], None]  # sends a message to the peer process of an upgrade


class Driver:
    """Owns the policy, and is the only one to call it.

    Events are taken one after another: an action that ends at once brings its event after the actions that
    were given with it.
    """

    def __init__(self, settings: api.Settings, seed: int, parts: DriverParts) -> None:
        """`seed` of the policy's random choices."""
        self.settings = settings
        self.gateway = Gateway(settings, seed)
        self.timers = parts.timers
        self.guard = parts.timers.guard
        self.backends = parts.backends
        self.counter = parts.counter
        self.replicate = parts.replicate
        self.persist: Callable[[int, list[Any]], None] = lambda serial, record: None  # on disk
        self.report = PeriodicReport(parts.timers)
        context = RequestContext(
            settings,
            parts.max_open,
            parts.timers,
            parts.backends,
            parts.metrics,
            parts.buffers,
            self.report,
            self.dispatch,
        )
        self.requests = RequestLifecycle(context)
        self.attempts = AttemptSender(context, self.requests)
        self.recovery_rejections = 0  # rejections in the recovery ramp of a whole fleet
        self._known_backends = KnownNames[int]()
        self._known_zones = KnownNames[str]()
        self._events: deque[api.Event] = deque()
        self._is_busy = False

    def gauges(self) -> dict[str, int]:
        """The live state that operators fetch with the counts."""
        return {
            "outstanding": len(self.requests.open),
            "discovered": len(self.gateway.backends.by_id),
            "ejected": gateway_status.ejected_backend_count(self.gateway, now_ms()),
        }

    def zone_metrics(self) -> dict[str, dict[str, int]]:
        """The metrics of each zone, under a name that can stand in a metric's; of two alike, those of one."""
        by_zone = gateway_status.zone_metrics(self.gateway.zones, now_ms())
        return {zone_metric_name(zone): metrics for zone, metrics in by_zone.items()}

    def dispatch(self, event: api.Event) -> None:
        """Give the policy an event, after those that it has been given before."""
        self._events.append(event)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_busy = False

    def _handle(self, event: api.Event) -> None:
        """Give the policy one event and carry out its actions; a fault in one leaves the others alone."""
        actions = self.guard.evaluate(type(event).__name__, self.gateway.handle, now_ms(), event)
        if actions is None:
            self._abandon(event)
            return
        for action in actions:
            done = self.guard.call(type(action).__name__, self.execute, action)
            if not done and isinstance(action, api.Send | api.Reject | api.Fail):
                self.requests.fail(action.request)

    def _abandon(self, event: api.Event) -> None:
        """End a request whose event the policy failed at: whether it ran is not known."""
        if isinstance(event, api.RequestArrived | api.AttemptEnded):
            self.requests.fail(event.request)

    def execute(self, action: api.Action) -> None:
        """Carry out an action of the policy."""
        match action:
            case api.Send(request, backend, timeout):
                self.attempts.send(request, backend, timeout)
            case api.Cancel(request, number):
                self.attempts.cancel(request, number)
            case api.Reject():
                self._reject(action)
            case api.Fail(request):
                self.report.counts["failed"] += 1
                self.requests.fail(request)
            case api.SetTimer(delay, timer):
                self.timers.at(now_ms() + delay, partial(self.dispatch, api.TimerFired(timer)))
            case api.AddToCounter():
                self._count(action)
            case _:
                self._publish(action)

    def _publish(self, action: api.Action) -> None:
        """Carry out an action for the peer process, the disk or the log."""
        match action:
            case api.Replicate(record):
                self.replicate(encode_record(record))
            case api.PersistRecord(serial, record):
                self.persist(serial, encode_record(record))
            case api.LogMessage(text):
                log.info("%s", text)
            case api.WatchEndpointList():
                pass  # the list is always followed

    def _reject(self, action: api.Reject) -> None:
        self.report.counts["refused for " + action.cause.value] += 1
        self.recovery_rejections += action.cause is api.RejectionCause.RECOVERY
        retry_after_ms = math.ceil(action.retry_after_ms)
        reply = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else REFUSED
        self.requests.finish(action.request, reply, OutcomeKind.DECLINED)

    def _count(self, action: api.AddToCounter) -> None:
        if self.counter is None:
            self.dispatch(api.CounterReplied(action.name, api.Outcome.CONNECT_FAILED, 0.0))
        else:
            self.counter.add(action.name, action.amount, action.expires_in_ms, self._on_counted)

    def _on_counted(self, name: str, outcome: api.Outcome, reading: float) -> None:
        self.report.counts["counter " + outcome.value] += 1
        self.dispatch(api.CounterReplied(name, outcome, reading))

    def restore_record(self, record: list[Any], at: float) -> bool:
        """Give the policy a record of an earlier process; whether it could be restored."""
        try:
            self.gateway.handle(now_ms(), api.RecordRestored(decode_record(record), at))
        except (ValueError, TypeError, OverflowError) as error:
            log.info(log_events.RECORD_REJECTED, error)
            return False
        return True

    def on_peer_record(self, values: list[Any]) -> None:
        """Give the policy a record of the other process; it refuses one that can't be read."""
        try:
            record = decode_record(values)
        except ValueError:
            record = None
        self.dispatch(api.PeerProcessMessage(record))

    def apply_list(
        self, scope: api.ListScope, members: tuple[ListedBackend, ...], held_until: float = -math.inf
    ) -> None:
        """The list has changed. The policy hears first: it retries elsewhere the attempts that end now.

        `held_until`: when the list before it was last known to hold (Unix milliseconds).
        """
        self.dispatch(api.BackendsChanged(scope, tuple(member.entry for member in members), held_until))
        # What a retired backend's attempts are retried at may be listed for the first time.
        for member in sorted(members, key=lambda one: one.entry.state is not api.BackendState.READY):
            entry = member.entry
            self.backends.update(entry.backend, member.address, entry.state, entry.zone)
        if scope is not api.ListScope.CHANGES:
            listed = {member.entry.backend for member in members}
            for backend in set(self.backends.endpoints) - listed:
                self.backends.retire(backend)
        for member in members:
            self._known_backends.add(member.entry.backend)
            self._known_zones.add(member.entry.zone)

    def knows_backend(self, host: str) -> bool:
        """Whether a list has named this host."""
        return host_number(host) in self._known_backends

    def knows_zone(self, zone: str) -> bool:
        """Whether a list has named this zone."""
        return zone in self._known_zones

    def override_backend(self, host: str, is_disabled: bool, since: float) -> None:
        """Operators disabled a backend, or enabled it again, at `since` (Unix milliseconds)."""
        log.info(log_events.BACKEND_OVERRIDDEN, host, "taken out" if is_disabled else "put back")
        backend = host_number(host)
        self.backends.override(backend, is_disabled)
        self.dispatch(api.BackendOverridden(backend, is_disabled, since))

    def override_zone(self, zone: str, is_disabled: bool, since: float) -> None:
        """Operators disabled a zone, or enabled it again, at `since` (Unix milliseconds)."""
        self.backends.override_zone(zone, is_disabled)
        self.dispatch(api.ZoneOverridden(zone, is_disabled, since))
