"""The neutral form of the policy's events, actions and settings, in which the recordings are written.

The program at commit 2f3358c wrote the recordings in `tests/recorded/`. They use neutral names, which do not
change with the program. The tables below map them to the present classes and fields. If a class or a field of
`switchline/policy/interface` is renamed or changes its type, only this module has to change; the recordings
and their tests stay.

The neutral form is JSON. Floats are written by `repr`, so every bit is compared; state records are written as
they are stored and sent between processes.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from switchline.policy import gateway_status
from switchline.policy import interface as api
from switchline.policy.gateway import Gateway
from switchline.policy.persistence.codec import decode_record, decode_timer, encode_record, encode_timer

Neutral = dict[str, Any]


@dataclass(frozen=True, slots=True)
class FieldForm:
    """The present name of a field, and the conversions of its value from and to the neutral form."""

    name: str
    encode: Callable[[Any], Any] = lambda value: value
    decode: Callable[[Any], Any] = lambda value: value


@dataclass(frozen=True, slots=True)
class ObjectForm:
    """The mapping of one class: its fields by neutral name. It must name all fields of the class."""

    present: type[Any]
    fields: dict[str, FieldForm]

    def encode(self, value: Any) -> Neutral:
        """Convert an object of the present class to its neutral fields."""
        return {neutral: form.encode(getattr(value, form.name)) for neutral, form in self.fields.items()}

    def decode(self, neutral: Neutral) -> Any:
        """Make an object of the present class. Raises KeyError if a neutral field is unknown or missing."""
        if neutral.keys() != self.fields.keys():
            raise KeyError(f"fields of {self.present.__name__}: {sorted(neutral)}")
        return self.present(**{form.name: form.decode(neutral[name]) for name, form in self.fields.items()})


def names(**present: str | FieldForm) -> dict[str, FieldForm]:
    """Map neutral names of fields to present ones."""
    return {neutral: FieldForm(form) if isinstance(form, str) else form for neutral, form in present.items()}


def enum_form(name: str, present: dict[str, Enum]) -> FieldForm:
    """Map a field that holds a member of an enumeration, by the members' neutral names."""
    neutral = {member: word for word, member in present.items()}
    return FieldForm(name, encode=neutral.__getitem__, decode=present.__getitem__)


def objects_form(name: str, form: ObjectForm) -> FieldForm:
    """Map a field that holds a tuple of objects of one class."""
    return FieldForm(
        name,
        encode=lambda values: [form.encode(value) for value in values],
        decode=lambda values: tuple(form.decode(value) for value in values),
    )


def object_form(name: str, form: ObjectForm) -> FieldForm:
    """Map a field that holds one object."""
    return FieldForm(name, encode=form.encode, decode=form.decode)


def pairs_form(name: str) -> FieldForm:
    """Map a field that holds a tuple of pairs."""
    return FieldForm(
        name,
        encode=lambda pairs: [list(pair) for pair in pairs],
        decode=lambda pairs: tuple((first, second) for first, second in pairs),
    )


def record_form(name: str) -> FieldForm:
    """Map a field that holds a state record: the list that is stored on disk and sent between processes."""
    return FieldForm(name, encode=encode_record, decode=record_or_none)


def record_or_none(record: list[Any]) -> api.Record | None:
    """Decode a record as the gateway does; return None if it can't be read."""
    try:
        return decode_record(record)
    except ValueError:
        return None


def timer_form(name: str) -> FieldForm:
    """Map a field that holds a timer: its token."""
    return FieldForm(name, encode=encode_timer, decode=decode_timer)


def encode_zone_state(state: api.ZoneState | None) -> str:
    """Return the neutral name of a zone's state; "" is None."""
    return "" if state is None else state.value


def decode_zone_state(word: str) -> api.ZoneState | None:
    """Return the zone state of a neutral name; "" is None."""
    return api.ZoneState(word) if word else None


OUTCOMES: dict[str, Enum] = {
    "ok": api.Outcome.OK,
    "failed": api.Outcome.FAILED,
    "queue_full": api.Outcome.QUEUE_FULL,
    "timed_out": api.Outcome.TIMED_OUT,
    "connect_failed": api.Outcome.CONNECT_FAILED,
    "reset": api.Outcome.RESET,
    "cancelled": api.Outcome.CANCELLED,
    "ignored": api.Outcome.IGNORED,
    "no_connection_free": api.Outcome.NO_CONNECTION,
}
LIST_SCOPES: dict[str, Enum] = {
    "changes": api.ListScope.CHANGES,
    "full": api.ListScope.FULL,
    "saved": api.ListScope.SAVED,
    "failed": api.ListScope.FAILED,
}
BACKEND_STATES: dict[str, Enum] = {
    "ready": api.BackendState.READY,
    "draining": api.BackendState.DRAINING,
    "gone": api.BackendState.GONE,
}
EFFECTS: dict[str, Enum] = {
    "safe": api.Effect.IDEMPOTENT,
    "idempotency_key": api.Effect.IDEMPOTENT_WITH_KEY,
    "unsafe": api.Effect.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES: dict[str, Enum] = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}

REQUEST_CLASS = ObjectForm(
    api.RequestClass,
    names(
        name="name",
        latency_objective_ms="latency_objective_ms",
        deadline_ms="deadline_ms",
        priority_weight="priority_weight",
        effect=enum_form("effect", EFFECTS),
        deduplication_scope=enum_form("deduplication_scope", DEDUPLICATION_SCOPES),
        deduplication_window_ms="deduplication_window_ms",
    ),
)
PLAN = ObjectForm(
    api.Plan,
    names(
        name="name",
        rate_per_s="rate_per_s",
        burst_units="burst_units",
        max_in_flight="max_in_flight",
        earns_beyond_quota="overage_revenue",
        costs_beyond_quota="overage_cost",
        ceiling_rate_per_s="ceiling_rate_per_s",
        ceiling_burst_units="ceiling_burst_units",
    ),
)
SAFETY_RULES = ObjectForm(
    api.SafetyRules,
    names(
        drain_grace_ms="drain_grace_ms",
        cold_capacity_ratio="start_capacity",
        warm_up_ms="warm_up_ms",
        max_load_multiple="overload_multiple",
    ),
)
SETTINGS = ObjectForm(
    api.Settings,
    names(
        gateway_index="index",
        gateways="gateways",
        zone="zone",
        request_classes=objects_form("classes", REQUEST_CLASS),
        plans=objects_form("plans", PLAN),
        safety_rules=object_form("rules", SAFETY_RULES),
        max_attempts="max_attempts",
        may_hedge="can_hedge",
        can_cancel="can_cancel",
        may_use_counter="uses_counter",
        must_poll_endpoint_list="must_watch_endpoint_list",
        max_retry_after_ms="max_retry_after_ms",
        counter_timeout_ms="counter_call_ms",
        max_request_units="max_request_units",
        cross_zone_price="cross_zone_price",
        zone_regions=pairs_form("regions"),
    ),
)
BACKEND_ENTRY = ObjectForm(
    api.BackendEntry,
    names(
        backend="backend",
        zone="zone",
        cell="cell",
        started_ms="started_ms",
        state=enum_form("state", BACKEND_STATES),
    ),
)

EVENTS: dict[str, ObjectForm] = {
    "endpoint_list_changed": ObjectForm(
        api.BackendsChanged,
        names(
            scope=enum_form("scope", LIST_SCOPES),
            entries=objects_form("entries", BACKEND_ENTRY),
            previous_list_valid_until_ms="previous_valid_until_ms",
        ),
    ),
    "backend_overridden": ObjectForm(
        api.BackendOverridden, names(backend="backend", disabled="disabled", since_ms="overridden_at_ms")
    ),
    "zone_overridden": ObjectForm(
        api.ZoneOverridden, names(zone="zone", disabled="disabled", since_ms="overridden_at_ms")
    ),
    "zone_directive": ObjectForm(
        api.ZoneDirective,
        names(
            zone="zone",
            state=FieldForm("state", encode=encode_zone_state, decode=decode_zone_state),
            rate_per_s="rate_per_s",
            backend_load_ratio="capacity_ratio",
            health_check_interval_ms="probe_interval_ms",
            slice_start="range_start",
            slice_width="range_width",
        ),
    ),
    "staleness_changed": ObjectForm(api.StalenessChanged, names(stale="stale")),
    "fleet_outage": ObjectForm(
        api.FleetOutage, names(since_ms="earliest_power_loss_ms", recovered_at_ms="recovered_at_ms")
    ),
    "peer_quota_report": ObjectForm(
        api.GatewayQuotaReport,
        names(customer="customer", plan="plan", even_share="even_share", units_left="remaining_units"),
    ),
    "regions_changed": ObjectForm(api.RegionsChanged, names(zone_regions=pairs_form("regions"))),
    "request_arrived": ObjectForm(
        api.RequestArrived,
        names(
            request="request",
            request_class="request_class",
            plan="plan",
            customer="customer",
            expires_ms="expires_ms",
            units="units",
            gateways_of_customer="customer_gateway_count",
            first_gateway="first_gateway",
            is_retry="is_repeat",
            is_streamed="streamed",
        ),
    ),
    "attempt_ended": ObjectForm(
        api.AttemptEnded,
        names(
            request="request",
            attempt="attempt",
            backend="backend",
            outcome=enum_form("outcome", OUTCOMES),
            latency_ms="latency_ms",
            request_is_answered="request_finished",
            true_units="actual_units",
            body_is_consumed="body_discarded",
        ),
    ),
    "request_body_received": ObjectForm(
        api.RequestBodyReceived, names(request="request", expires_ms="expires_ms")
    ),
    "request_body_sent": ObjectForm(api.RequestBodySent, names(request="request", attempt="attempt")),
    "streamed_answer_started": ObjectForm(
        api.StreamedAnswerStarted, names(request="request", attempt="attempt")
    ),
    "answer_started": ObjectForm(
        api.AnswerStarted, names(request="request", attempt="attempt", backend="backend")
    ),
    "request_lapsed": ObjectForm(api.RequestAbandoned, names(request="request")),
    "counter_replied": ObjectForm(
        api.CounterReplied,
        names(name="name", outcome=enum_form("outcome", OUTCOMES), total="total"),
    ),
    "timer_fired": ObjectForm(api.TimerFired, names(token=timer_form("timer"))),
    "gossip_received": ObjectForm(
        api.GossipReceived,
        names(sender="sender", payload=FieldForm("payload", encode=bytes.hex, decode=bytes.fromhex)),
    ),
    "peer_process_joined": ObjectForm(api.PeerProcessJoined, {}),
    "peer_process_message": ObjectForm(api.PeerProcessMessage, names(record=record_form("record"))),
    "peer_process_left": ObjectForm(api.PeerProcessLeft, {}),
    "persistence_changed": ObjectForm(
        api.PersistenceChanged, names(enabled="enabled", is_last_write="final")
    ),
    "records_persisted": ObjectForm(api.RecordsPersisted, names(up_to_serial="up_to_serial")),
    "state_file_found": ObjectForm(
        api.StateFileFound,
        names(
            last_written_ms="last_commit_ms",
            restarts_ms=FieldForm("restarts_ms", encode=list, decode=tuple),
            is_latest="is_latest",
        ),
    ),
    "record_restored": ObjectForm(
        api.RecordRestored, names(record=record_form("record"), written_at_ms="written_ms")
    ),
}

ACTIONS: dict[str, ObjectForm] = {
    "send_attempt": ObjectForm(
        api.Send, names(request="request", backend="backend", timeout_ms="timeout_ms")
    ),
    "cancel_attempt": ObjectForm(api.Cancel, names(request="request", attempt="attempt")),
    "reject_request": ObjectForm(
        api.Reject,
        names(
            request="request",
            retry_after_ms="retry_after_ms",
            reason=FieldForm("cause", encode=lambda cause: cause.value, decode=api.RejectionCause),
        ),
    ),
    "fail_request": ObjectForm(api.Fail, names(request="request")),
    "set_timer": ObjectForm(api.SetTimer, names(delay_ms="delay_ms", token=timer_form("timer"))),
    "add_to_counter": ObjectForm(
        api.AddToCounter, names(name="name", amount="amount", expire_in_ms="expires_in_ms")
    ),
    "follow_endpoint_list": ObjectForm(api.WatchEndpointList, names(enabled="enable")),
    "replicate_record": ObjectForm(api.Replicate, names(record=record_form("record"))),
    "persist_record": ObjectForm(api.PersistRecord, names(serial="serial", record=record_form("record"))),
    "log_message": ObjectForm(api.LogMessage, names(text="text")),
}
EVENT_NAMES = {form.present: name for name, form in EVENTS.items()}
ACTION_NAMES = {form.present: name for name, form in ACTIONS.items()}


def encode_event(event: api.Event) -> Neutral:
    """Convert an event to its neutral form."""
    name = EVENT_NAMES[type(event)]
    return {"event": name, **EVENTS[name].encode(event)}


def decode_event(neutral: Neutral) -> api.Event:
    """Make the present event of a neutral form."""
    fields_by_name = dict(neutral)
    event: api.Event = EVENTS[fields_by_name.pop("event")].decode(fields_by_name)
    return event


def encode_action(action: api.Action) -> Neutral:
    """Convert an action to its neutral form."""
    name = ACTION_NAMES[type(action)]
    return {"action": name, **ACTIONS[name].encode(action)}


def decode_settings(neutral: Neutral) -> api.Settings:
    """Make the present settings of a neutral form."""
    settings: api.Settings = SETTINGS.decode(neutral)
    return settings


def encode_status(gateway: Gateway, now: float) -> Neutral:
    """Convert the status that operators and other gateways see of a gateway to its neutral form."""
    return {
        "backends_avoided": gateway_status.ejected_backend_count(gateway, now),
        "zone_metrics": gateway_status.zone_metrics(gateway.zones, now),
        "quota_reports": [encode_event(report) for report in gateway_status.quota_reports(gateway, now, 100)],
        "zone_observations": {
            zone: {
                "usable": observation.usable_backends,
                "lost_ms": [[backend, age] for backend, age in observation.lost_backend_ages_ms.items()],
                "answering_ms": [
                    [backend, age] for backend, age in observation.answering_backend_ages_ms.items()
                ],
                "slow": observation.slow_backends,
                "warmth": observation.warm_ratio,
            }
            for zone, observation in gateway_status.zone_observations(gateway, now).items()
        },
        "attempts_per_s": gateway_status.attempt_rate_per_s(gateway, now),
    }


def line(neutral: object) -> str:
    """Write one line of a recording."""
    return json.dumps(neutral, separators=(",", ":"), ensure_ascii=True)


def unmapped_fields() -> list[str]:
    """Return the fields of mapped classes that the tables do not name; the tests expect none."""
    forms = [*EVENTS.values(), *ACTIONS.values(), REQUEST_CLASS, PLAN, SAFETY_RULES, SETTINGS, BACKEND_ENTRY]
    return [
        f"{form.present.__name__}.{field.name}"
        for form in forms
        for field in fields(form.present)
        if field.name not in {mapped.name for mapped in form.fields.values()}
    ]
