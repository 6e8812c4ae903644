"""The decisions of one gateway: passes each event to the parts that handle it.

The decisions depend only on the settings, the seed, the events and the times passed with them (`now`, in
milliseconds).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from switchline.policy import interface as api
from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.backends.recovery_ramp import RecoveryRamp
from switchline.policy.backends.selection import BackendSelection
from switchline.policy.backends.zones import Zones
from switchline.policy.persistence.durable_state import DurableState
from switchline.policy.persistence.replication import PeerReplication
from switchline.policy.persistence.restore import check_record
from switchline.policy.persistence.shared_state import SharedState
from switchline.policy.quota.admission import Admission, LoadShedding, QuotaCheck, RetryAfter
from switchline.policy.quota.customers import MIN_EVEN_SHARE, CustomerTable
from switchline.policy.quota.lease_sizing import PERIOD_MS
from switchline.policy.quota.leases import LeaseKeeper
from switchline.policy.requests.attempts import TIMER_TOLERANCE_MS, AttemptTracker
from switchline.policy.requests.latency import LatencyEstimate
from switchline.policy.requests.load import LoadEstimate
from switchline.policy.requests.request import Request

Handler = Callable[[float, Any, api.Actions], None]


class Gateway:
    """Handles events and returns the actions that they cause.

    Args:
        settings: The settings of the gateway's decisions.
        seed: The seed of its random numbers; the same seed and events give the same actions.

    Attributes:
        settings: The settings of the gateway's decisions.
        classes: The classes of requests by name.
        customers: The customers and their buckets.
        leases: The customers' leases and the calls to the counter that renew them.
        admission: The checks that admit or reject a request.
        retry_after: The Retry-After time of a rejected request.
        shared_state: The state records of the gateway and of backends.
        attempts: The requests that have no final answer yet, and their attempts.
        latency: The estimate of latency.
        load: The estimate of load from the attempts in flight.
        backends: The backends and the subset that this gateway uses.
        selection: The selection of the backend of an attempt.
        zones: The state of each zone.
        recovery_ramp: The recovery ramp of a whole fleet that lost power.
        durable_state: The state that is stored on disk.
        replication: The replication to the other process of this gateway in an upgrade.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        rng = random.Random(seed)
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.latency = LatencyEstimate()
        self.recovery_ramp = RecoveryRamp()
        self.replication = PeerReplication()
        # It has its own random numbers, so that it does not change those of other decisions.
        self.durable_state = DurableState(settings, random.Random(seed))
        self.zones = Zones(settings, rng)
        self.backends = BackendTable(settings, self.zones)
        self.selection = BackendSelection(
            settings, rng, self.backends, self.zones, self.recovery_ramp, self.latency
        )
        self.customers = CustomerTable(settings, self.durable_state)
        self.leases = LeaseKeeper(settings, rng, self.customers, self.durable_state, self.replication)
        self.attempts = AttemptTracker(settings, self.selection, self.latency, self.leases, self.replication)
        self.load = LoadEstimate(self.attempts.in_flight, self.latency, self.backends)
        self.admission = Admission(
            QuotaCheck(rng, self.leases.counter_capacity),
            LoadShedding(settings, rng, self.load, self.recovery_ramp, self.backends, self.latency),
            self.recovery_ramp,
            self.durable_state,
            self.attempts.retry_budget,
        )
        self.retry_after = RetryAfter(settings, rng)
        self.shared_state = SharedState(self.customers, self.backends, self.latency)
        self._handlers = self._handlers_by_event()

    def _handlers_by_event(self) -> dict[type, Handler]:
        """Return the handler of each type of event.

        `GossipReceived` and `AnswerStarted` have none, as no decision depends on them.
        """
        return {
            api.RequestArrived: self._on_request,
            api.AttemptEnded: self.attempts.on_ended,
            api.TimerFired: self._on_timer,
            api.CounterReplied: self._on_counter_reply,
            api.RequestBodyReceived: self.attempts.on_body_received,
            api.RequestBodySent: self.attempts.on_body_sent,
            api.StreamedAnswerStarted: self.attempts.on_answer_streamed,
            api.RequestAbandoned: self.attempts.on_abandoned,
            api.BackendsChanged: self.backends.on_backends_changed,
            api.BackendOverridden: self.backends.on_overridden,
            api.ZoneOverridden: self.backends.on_zone_overridden,
            api.ZoneDirective: self.zones.on_directive,
            api.RegionsChanged: self.zones.on_regions_changed,
            api.StalenessChanged: self._on_staleness,
            api.FleetOutage: self._on_outage,
            api.GatewayQuotaReport: self._on_peer_quota,
            api.PeerProcessJoined: self._on_peer_joined,
            api.PeerProcessMessage: self._on_peer_message,
            api.PeerProcessLeft: self._on_peer_left,
            api.PersistenceChanged: self._on_persistence,
            api.RecordsPersisted: self._on_persisted,
            api.StateFileFound: self.durable_state.on_file_found,
            api.RecordRestored: self._on_restored,
        }

    def handle(self, now: float, event: api.Event) -> api.Actions:
        """Handle an event and return the actions that it causes.

        Args:
            now: The time in milliseconds, which never goes back.
            event: The event.

        Raises:
            ValueError: A record of another process or from disk can't be applied.
        """
        actions: api.Actions = []
        if self.customers.gateway_created_ms < 0:
            self._start(now, actions)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event, actions)
        if self.zones.messages:
            actions.extend(api.LogMessage(text) for text in self.zones.messages)
            self.zones.messages.clear()
        return actions

    def admit(self, now: float, request: Request, actions: api.Actions) -> None:
        """Send a request if its customer's limits, the load and the backends allow it, else reject it."""
        verdict = self.admission.check(now, request)
        backend = self.selection.pick(now, request) if verdict.is_admitted else None
        if backend is None:
            retry_after_ms = self.retry_after.wait_ms(request, verdict)
            self.attempts.finish(request, actions, retry_after_ms, verdict.cause)
            return
        customer, units = request.customer, request.units
        tokens = units if 0 < units <= customer.tokens else 0.0
        customer.spend(tokens, units, units)
        self.durable_state.spend(now, customer, units, actions)
        self.replication.replicate_request(customer, tokens, units, actions)
        self.attempts.send(now, request, backend, actions)

    def _start(self, now: float, actions: api.Actions) -> None:
        self.customers.begin(now)
        self.latency.answered_at_ms = now
        if self.settings.must_watch_endpoint_list:
            actions.append(api.WatchEndpointList())

    def _on_request(self, now: float, event: api.RequestArrived, actions: api.Actions) -> None:
        self.customers.remove_idle(now, actions)
        self.customers.make_room(now, actions)
        remaining_ms = event.expires_ms - now
        request_class = self.classes.get(event.request_class) or api.RequestClass(
            event.request_class, remaining_ms, remaining_ms
        )
        customer = self.customers.get_or_create(
            now, event.customer, event.plan, 1 / max(1, event.customer_gateway_count)
        )
        self.leases.fill(now, customer)
        request = Request(event, request_class, customer, now)
        self.attempts.requests[event.request] = request
        if self.leases.refresh(now, request, actions):
            self.attempts.schedule_check(now, request, now + self.leases.max_reply_wait_ms(), actions)
        else:
            self.admit(now, request, actions)

    def _on_timer(self, now: float, event: api.TimerFired, actions: api.Actions) -> None:
        purpose, request_id = event.timer
        if purpose is api.TimerPurpose.ENDPOINT_LIST:
            actions.append(api.WatchEndpointList())
        elif purpose is api.TimerPurpose.PERSISTENCE:
            if now >= self.durable_state.next_write_ms - TIMER_TOLERANCE_MS:
                self.durable_state.write_changes(now, self.shared_state.records(), actions)
        else:
            request = self.attempts.requests.get(request_id)
            if request is not None and now >= request.check_at_ms - TIMER_TOLERANCE_MS:
                self._check_request(now, request, actions)

    def _check_request(self, now: float, request: Request, actions: api.Actions) -> None:
        """Check a request whose timer is due: it expires, or its counter call or attempt got no answer."""
        if self.attempts.is_expiring(now, request):
            self.attempts.finish(request, actions)  # at the latest here each request gets its final answer
        elif not request.attempts_made:
            self.admit(now, request, actions)
        else:
            self.attempts.on_overdue(now, request, actions)

    def _on_counter_reply(self, now: float, event: api.CounterReplied, actions: api.Actions) -> None:
        request = self.attempts.requests.get(self.leases.on_reply(now, event, actions))
        if request and not request.attempts_made:
            self.admit(now, request, actions)

    def _on_staleness(self, _: float, event: api.StalenessChanged, __: api.Actions) -> None:
        self.leases.is_stale = event.stale

    def _on_outage(self, now: float, event: api.FleetOutage, _: api.Actions) -> None:
        self.recovery_ramp.begin(now, event.recovered_at_ms + self.settings.rules.warm_up_ms)
        self.backends.on_outage(now, event)
        self.durable_state.spread_refreshes(now, self.customers.by_key.values())

    def _on_peer_quota(self, now: float, event: api.GatewayQuotaReport, _: api.Actions) -> None:
        """Limit a customer's units by another gateway's report of what is left of its quota.

        Used after a restart, if the disk is lost or out of date and does not show what was spent.
        """
        plan = self.customers.plans.get(event.plan)
        if plan and 0 <= event.remaining_units <= plan.burst_units and 0 < event.even_share <= 1:
            customer = self.customers.get_or_create(now, event.customer, event.plan, event.even_share)
            self.leases.fill(now, customer)
            customer.tokens = min(customer.tokens, event.remaining_units * customer.even_share)
            customer.fleet_remaining_units = min(customer.fleet_remaining_units, event.remaining_units)

    def _on_peer_joined(self, _: float, __: api.PeerProcessJoined, actions: api.Actions) -> None:
        records = self.shared_state.records().values()
        self.replication.on_joined(records, self.customers.by_key.values(), actions)

    def _on_peer_message(self, now: float, event: api.PeerProcessMessage, actions: api.Actions) -> None:
        self.replication.has_peer = True
        record = event.record
        if isinstance(record, api.SpendingRecord) and record.plan in self.customers.plans:
            self._on_peer_spending(now, record, actions)
            return
        customer = self.shared_state.merge(now, record)
        if customer:
            customer.limit_times(now)

    def _on_peer_spending(self, now: float, record: api.SpendingRecord, actions: api.Actions) -> None:
        """Take from a customer's buckets what the other process of this gateway took from its copy."""
        even_share = max(MIN_EVEN_SHARE, record.even_share)
        customer = self.customers.get_or_create(now, record.customer, record.plan, even_share)
        self.leases.fill(now, customer)
        customer.spend(record.tokens, record.units, record.ceiling_tokens)
        self.durable_state.spend(now, customer, record.units, actions)
        customer.unreported_units += record.unreported_units
        customer.peer_in_flight = max(0, customer.peer_in_flight + int(record.in_flight_change))

    def _on_peer_left(self, _: float, __: api.PeerProcessLeft, ___: api.Actions) -> None:
        self.replication.on_left(self.customers.by_key.values())

    def _on_persistence(self, now: float, event: api.PersistenceChanged, actions: api.Actions) -> None:
        state = self.shared_state.records()
        self.durable_state.on_persistence_changed(now, event, self.customers.by_key, state, actions)

    def _on_persisted(self, now: float, event: api.RecordsPersisted, actions: api.Actions) -> None:
        self.durable_state.on_committed(now, event.up_to_serial, actions)

    def _on_restored(self, now: float, event: api.RecordRestored, _: api.Actions) -> None:
        """Restore a record of an earlier incarnation.

        Raises:
            ValueError: The record can't be read, or a value is out of range.
        """
        record = event.record
        if not isinstance(record, api.CustomerRecord):
            if record is None:
                raise ValueError(
                    "a state record can't be read, expected a record of a gateway, a backend or a customer"
                )
            check_record(record)
            if self.durable_state.restarts.is_trusted:
                self.shared_state.merge(now, record)
                self.shared_state.limit_times(now)
            return
        customer = self.shared_state.merge(now, record)
        if customer is None:
            return
        try:
            self.durable_state.restore(now, customer, event.written_ms)
        except ValueError:
            self.customers.remove(customer.key)
            raise
        customer.peer_in_flight = 0  # the other process has ended, and its attempts with it
        customer.period = min(customer.period, int(now // PERIOD_MS))
        self.leases.fill(now, customer)
