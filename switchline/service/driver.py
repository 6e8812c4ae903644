"""Passes events to the policy and carries out the actions that it returns; takes no decisions itself.

`switchline.requests` has the handling of requests and attempts. This module has the queue of events, the
execution of actions, and the events about backends and zones.
"""

from __future__ import annotations

import logging
import math
import re
from collections import deque
from collections.abc import Callable, Hashable, Iterable
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
from switchline.requests.lifecycle import BUSY_REPLY, RequestLifecycle
from switchline.requests.report import PeriodicReport

log = logging.getLogger(__name__)

MAX_FORMER_NAMES = 1_024  # backends, and likewise zones, that are remembered after they have left the list
NOT_IN_METRIC_NAMES = re.compile(r"[^A-Za-z0-9_-]")
MAX_METRIC_NAME_LENGTH = 64

Name = TypeVar("Name", bound=Hashable)


def zone_metric_name(zone: str) -> str:
    """Return a zone's name in the characters and the length that a metric's name allows."""
    return NOT_IN_METRIC_NAMES.sub("_", zone)[:MAX_METRIC_NAME_LENGTH] or "_"


class KnownNames(Generic[Name]):
    """Remembers the names on the endpoint list, and of those that have left it the last `MAX_FORMER_NAMES`.

    Operators may disable a backend or zone although it has left the list; an unknown name is rejected.
    """

    def __init__(self) -> None:
        self._listed: set[Name] = set()
        self._former: dict[Name, None] = {}  # the one that left last is last

    def add(self, name: Name) -> None:
        """Note that the list has this name."""
        self._former.pop(name, None)
        self._listed.add(name)

    def remove(self, name: Name) -> None:
        """Note that the list does not have this name any more."""
        if name not in self._listed:
            return
        self._listed.remove(name)
        self._former[name] = None
        if len(self._former) > MAX_FORMER_NAMES:
            del self._former[next(iter(self._former))]

    def replace(self, names: Iterable[Name]) -> None:
        """Note that the list has these names, and no others."""
        listed = set(names)
        for name in self._listed - listed:
            self.remove(name)
        for name in listed:
            self.add(name)

    def __contains__(self, name: Name) -> bool:
        return name in self._listed or name in self._former


@dataclass(frozen=True, slots=True)
class DriverParts:
    """What the driver needs to carry out actions.

    Attributes:
        counter: None if the configuration names no counter.
        buffers: The memory budget of long values.
        max_open: How many requests may be in flight at once.
        replicate: Sends a record of the policy to the peer process of an upgrade.
    """

    timers: Timers
    backends: BackendPool
    counter: Counter | None
    metrics: Metrics
    buffers: BufferBudget
    max_open: int
    replicate: Callable[[list[Any]], None]


class Driver:
    """Owns the policy; no other part passes events to it.

    Events are handled one after another: if an action causes an event while it is carried out, that event is
    queued and handled after the other actions that were returned with this one.

    Args:
        settings: Of the policy.
        seed: Of the policy's random choices.
        parts: What actions are carried out with.

    Attributes:
        persist: Stores a record on disk under its serial number; does nothing without a state on disk.
        recovery_rejections: Number of requests rejected in the recovery ramp of a whole fleet.
    """

    def __init__(self, settings: api.Settings, seed: int, parts: DriverParts) -> None:
        self.settings = settings
        self.gateway = Gateway(settings, seed)
        self.timers = parts.timers
        self.guard = parts.timers.guard
        self.backends = parts.backends
        self.counter = parts.counter
        self.replicate = parts.replicate
        self.persist: Callable[[int, list[Any]], None] = lambda serial, record: None
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
        self.recovery_rejections = 0
        self._known_backends = KnownNames[int]()
        self._known_zones = KnownNames[str]()
        self._zone_by_listed_backend: dict[int, str] = {}
        self._events: deque[api.Event] = deque()
        self._is_dispatching = False

    def gauges(self) -> dict[str, int]:
        """Return the metrics of the present state, which operators fetch together with the counts."""
        return {
            "outstanding": len(self.requests.in_flight),
            "discovered": len(self.gateway.backends.by_id),
            "ejected": gateway_status.ejected_backend_count(self.gateway, now_ms()),
        }

    def zone_metrics(self) -> dict[str, dict[str, int]]:
        """Return the metrics of zones by `zone_metric_name`; of zones with the same one, the last zone's."""
        by_zone = gateway_status.zone_metrics(self.gateway.zones, now_ms())
        return {zone_metric_name(zone): metrics for zone, metrics in by_zone.items()}

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the policy, after the events that are queued already."""
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: api.Event) -> None:
        """Pass one event to the policy and carry out its actions; a fault in one does not stop the others."""
        actions = self.guard.evaluate(type(event).__name__, self.gateway.handle, now_ms(), event)
        if actions is None:
            self._abandon(event)
            return
        for action in actions:
            succeeded = self.guard.call(type(action).__name__, self.execute, action)
            if not succeeded and isinstance(action, api.Send | api.Reject | api.Fail):
                self.requests.fail(action.request)

    def _abandon(self, event: api.Event) -> None:
        """Fail the request of an event that raised an error in the policy: it may or may not have run."""
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
                self._add_to_counter(action)
            case _:
                self._store_or_log(action)

    def _store_or_log(self, action: api.Action) -> None:
        """Carry out an action that concerns the peer process, the disk or the log."""
        match action:
            case api.Replicate(record):
                self.replicate(encode_record(record))
            case api.PersistRecord(serial, record):
                self.persist(serial, encode_record(record))
            case api.LogMessage(text):
                log.info("%s", text)
            case api.WatchEndpointList():
                pass  # discovery is followed from the start on, whether the policy asks for it or not

    def _reject(self, action: api.Reject) -> None:
        self.report.counts["refused for " + action.cause.value] += 1
        self.recovery_rejections += action.cause is api.RejectionCause.RECOVERY
        retry_after_ms = math.ceil(action.retry_after_ms)
        reply = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else BUSY_REPLY
        self.requests.finish(action.request, reply, OutcomeKind.DECLINED)

    def _add_to_counter(self, action: api.AddToCounter) -> None:
        if self.counter is None:
            self.dispatch(api.CounterReplied(action.name, api.Outcome.CONNECT_FAILED, 0.0))
        else:
            self.counter.add(action.name, action.amount, action.expires_in_ms, self._on_counter_reply)

    def _on_counter_reply(self, name: str, outcome: api.Outcome, reading: float) -> None:
        self.report.counts["counter " + outcome.value] += 1
        self.dispatch(api.CounterReplied(name, outcome, reading))

    def restore_record(self, record: list[Any], written_ms: float) -> bool:
        """Restore the policy's record of an earlier process, written at `written_ms` (Unix milliseconds).

        Return whether the policy could restore it.
        """
        try:
            self.gateway.handle(now_ms(), api.RecordRestored(decode_record(record), written_ms))
        except (ValueError, TypeError, OverflowError) as error:
            log.info(log_events.RECORD_REJECTED, error)
            return False
        return True

    def on_peer_record(self, values: list[Any]) -> None:
        """Pass a record of the peer process to the policy, or None if the record can't be decoded."""
        try:
            record = decode_record(values)
        except ValueError:
            record = None
        self.dispatch(api.PeerProcessMessage(record))

    def apply_list(
        self,
        scope: api.ListScope,
        members: tuple[ListedBackend, ...],
        previous_valid_until_ms: float = -math.inf,
    ) -> None:
        """Apply a new endpoint list, or changes to it.

        The policy gets the event first: removing a backend ends its attempts, and the policy is to retry them
        at other backends.

        Args:
            scope: Whether the members are a complete list or changes.
            members: The backends listed or changed.
            previous_valid_until_ms: Until when the list before this one was known to be valid, by `now_ms`
                (Unix milliseconds).
        """
        self.dispatch(
            api.BackendsChanged(scope, tuple(member.entry for member in members), previous_valid_until_ms)
        )
        # Ready backends come first: attempts of a retired one may be retried at a backend that is new here.
        for member in sorted(
            members, key=lambda listed_member: listed_member.entry.state is not api.BackendState.READY
        ):
            entry = member.entry
            self.backends.update(entry.backend, member.address, entry.state, entry.zone)
        if scope is not api.ListScope.CHANGES:
            listed_ids = {member.entry.backend for member in members}
            for backend in set(self.backends.endpoints) - listed_ids:
                self.backends.retire(backend)
        self._remember_names(scope, members)

    def _remember_names(self, scope: api.ListScope, members: tuple[ListedBackend, ...]) -> None:
        """Note the names of the backends and zones that are listed now, and of former ones."""
        if scope is not api.ListScope.CHANGES:
            self._zone_by_listed_backend.clear()
        for member in members:
            entry = member.entry
            self._known_backends.add(entry.backend)
            self._known_zones.add(entry.zone)
            if entry.state is api.BackendState.GONE:
                self._zone_by_listed_backend.pop(entry.backend, None)
                self._known_backends.remove(entry.backend)
            else:
                self._zone_by_listed_backend[entry.backend] = entry.zone
        if scope is not api.ListScope.CHANGES:
            self._known_backends.replace(self._zone_by_listed_backend)
        self._known_zones.replace(self._zone_by_listed_backend.values())

    def knows_backend(self, host: str) -> bool:
        """Return whether the endpoint list has, or had, a backend of this host name, as far as remembered."""
        return host_number(host) in self._known_backends

    def knows_zone(self, zone: str) -> bool:
        """Return whether the endpoint list has, or had, this zone, as far as remembered."""
        return zone in self._known_zones

    def override_backend(self, host: str, is_disabled: bool, overridden_at_ms: float) -> None:
        """Apply that operators disabled or enabled a backend, at `overridden_at_ms` (Unix milliseconds)."""
        log.info(log_events.BACKEND_OVERRIDDEN, host, "taken out" if is_disabled else "put back")
        backend = host_number(host)
        self.backends.override(backend, is_disabled)
        self.dispatch(api.BackendOverridden(backend, is_disabled, overridden_at_ms))

    def override_zone(self, zone: str, is_disabled: bool, overridden_at_ms: float) -> None:
        """Apply that operators disabled or enabled a zone, at `overridden_at_ms` (Unix milliseconds)."""
        self.backends.override_zone(zone, is_disabled)
        self.dispatch(api.ZoneOverridden(zone, is_disabled, overridden_at_ms))
