"""Encoding of events and actions on the simulator's wire: lists of JSON values, the name first.

Later versions of the simulator may add values at the end of a list; they are ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from switchline.policy import interface as api
from switchline.policy.persistence.codec import decode_timer, encode_timer

REPEAT_BIT = 2  # in the flags of a request: its client has sent it before


class WireError(Exception):
    """Input from the simulator does not follow its protocol."""


def decode_event(name: str, values: list[Any]) -> api.Event | None:
    """Decode an event; return None for one that changes no decision.

    Raises:
        WireError: The event is unknown, or has a value of another type where text is expected.
        ValueError: A value is missing or can't be read. TypeError and IndexError likewise.
    """
    if name not in DECODERS:
        raise WireError(f"unknown event {name!r}")
    return DECODERS[name](values)


def encode_action(action: api.Action) -> list[Any]:
    """Encode an action as a list of its name and values.

    Raises:
        WireError: The simulator's protocol has no such action.
    """
    encoder = ENCODERS.get(type(action))
    if encoder is None:
        raise WireError("the simulator's protocol has no form for this action")
    return encoder(action)


def read_text(value: Any) -> str:
    """Return a value that is text; raise WireError for any other."""
    if not isinstance(value, str):
        raise WireError(f"expected text, got {value!r}")
    return value


def read_entry(values: list[Any]) -> api.BackendEntry:
    """Decode one backend of the endpoint list."""
    zone, cell, started_ms, state, _weight, backend = values[:6]
    return api.BackendEntry(
        backend=int(backend),
        zone=str(zone or ""),
        cell=int(cell or 0),
        started_ms=float(started_ms or 0),
        state=api.BackendState(state),
    )


def read_list(values: list[Any]) -> api.Event:
    """Decode the endpoint list or its changes."""
    scope, _revision, entries = values[:3]
    return api.BackendsChanged(api.ListScope(scope), tuple(read_entry(entry) for entry in entries or ()))


def read_request(values: list[Any]) -> api.Event:
    """Decode a client's request."""
    request, request_class, plan, customer, expires_ms, units, spread, first = values[:8]
    flags = values[8] if len(values) > 8 else 0
    return api.RequestArrived(
        request=read_text(request),
        request_class=read_text(request_class),
        plan=str(plan or ""),
        customer=str(customer or ""),
        expires_ms=float(expires_ms),
        units=float(units or 0),
        customer_gateway_count=int(spread or 1),
        first_gateway=int(first or 0),
        is_repeat=bool(int(flags or 0) & REPEAT_BIT),
    )


def read_attempt_end(values: list[Any]) -> api.Event:
    """Decode the end of an attempt."""
    request, actual_units, latency_ms, outcome, finished, attempt, backend = values[:7]
    return api.AttemptEnded(
        request=read_text(request),
        attempt=int(attempt),
        backend=int(backend),
        outcome=api.Outcome(outcome),
        latency_ms=float(latency_ms or 0),
        request_finished=bool(finished),
        actual_units=float(actual_units or 0),
    )


def read_answer_start(values: list[Any]) -> api.Event:
    """Decode the event that a backend has begun to answer."""
    request, attempt, backend = values[:3]
    return api.AnswerStarted(read_text(request), int(attempt), int(backend))


def read_counter_reply(values: list[Any]) -> api.Event:
    """Decode a reply of the counter."""
    total, _latency_ms, outcome, name = values[:4]
    return api.CounterReplied(read_text(name), api.Outcome(outcome), float(total or 0))


def read_abandonment(values: list[Any]) -> api.Event:
    """Decode the event that a request needs no answer any more."""
    return api.RequestAbandoned(read_text(values[0]))


def read_timer(values: list[Any]) -> api.Event:
    """Decode the event that a timer is due."""
    return api.TimerFired(decode_timer(read_text(values[0])))


def read_gossip(values: list[Any]) -> api.Event:
    """Decode a gossip message of another gateway."""
    sender, payload = values[:2]
    return api.GossipReceived(int(sender), bytes.fromhex(payload))


def read_health(_: list[Any]) -> None:
    """Ignore a health report: no decision depends on it."""


DECODERS: dict[str, Callable[[list[Any]], api.Event | None]] = {
    "backendsChanged": read_list,
    "jobIn": read_request,
    "ended": read_attempt_end,
    "underWay": read_answer_start,
    "lapsed": read_abandonment,
    "ledgerReply": read_counter_reply,
    "wakeup": read_timer,
    "whisper": read_gossip,
    "health": read_health,
}
ENCODERS: dict[type, Callable[[Any], list[Any]]] = {
    api.Send: lambda action: ["callOut", action.request, action.timeout_ms, action.backend],
    api.Cancel: lambda action: ["cancel", action.request, action.attempt],
    api.Reject: lambda action: ["bounce", action.request, action.retry_after_ms],
    api.Fail: lambda action: ["dropRequest", action.request],
    api.SetTimer: lambda action: ["sleep", action.delay_ms, encode_timer(action.timer)],
    api.AddToCounter: lambda action: ["incr", action.name, action.expires_in_ms, action.amount],
    api.WatchEndpointList: lambda action: ["follow", action.enable],
    api.LogMessage: lambda action: ["remark", action.text],
}
