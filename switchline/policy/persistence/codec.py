"""Turns state records and timers into the lists and strings that are stored and sent, and back."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import fields
from typing import Any

from switchline.policy.interface import (
    BackendRecord,
    CustomerRecord,
    DeleteRecord,
    FadingScore,
    GatewayRecord,
    Record,
    RecordKind,
    SpendingRecord,
    Timer,
    TimerPurpose,
)

GATEWAY_FIELDS = tuple(one.name for one in fields(GatewayRecord))
# A customer's key, plan and open attempts stand before the list of its numbers.
CUSTOMER_FIELDS = tuple(one.name for one in fields(CustomerRecord))[3:]
SPENDING_FIELDS = tuple(one.name for one in fields(SpendingRecord))


class RecordError(ValueError):
    """A list is no record of this program."""


def encode_record(record: Record) -> list[Any]:
    """Give the list that is stored and sent for a record."""
    match record:
        case GatewayRecord():
            return ["gateway", *(getattr(record, name) for name in GATEWAY_FIELDS)]
        case BackendRecord(backend, scores, started_ms):
            return ["backend", backend, scores, started_ms]
        case CustomerRecord(customer, plan, in_flight):
            numbers = [getattr(record, name) + 0 for name in CUSTOMER_FIELDS]  # true is written as 1
            return ["customer", customer, plan, in_flight, numbers]
        case SpendingRecord():
            return ["spent", *(getattr(record, name) for name in SPENDING_FIELDS)]
        case DeleteRecord(kind, name):
            return ["forget", kind.value, name]


def decode_record(values: list[Any]) -> Record:
    """Read a record from the list that was stored or sent.

    Raises:
        RecordError: No process of this program writes such a list.
    """
    try:
        return read_record(values)
    except (TypeError, ValueError, OverflowError) as error:
        raise RecordError(str(error)) from error


def read_record(values: list[Any]) -> Record:
    """As `decode_record`, with the errors of the conversions as they come."""
    match values:
        case ["gateway", *numbers] if len(numbers) == len(GATEWAY_FIELDS):
            return GatewayRecord(*read_numbers(numbers))
        case ["backend", int(backend), dict(scores)]:
            return BackendRecord(backend, read_scores(scores), None)
        case ["backend", int(backend), dict(scores), started_ms]:
            return BackendRecord(backend, read_scores(scores), float(started_ms))
        case ["customer", str(customer), str(plan), int(in_flight), list(numbers)]:
            return read_customer(customer, plan, in_flight, numbers)
        case ["spent", str(customer), str(plan), *numbers] if len(numbers) == 6:
            return SpendingRecord(customer, plan, *read_numbers(numbers))
        case ["forget", ("customer" | "backend") as kind, str(name)]:
            return DeleteRecord(RecordKind(kind), name)
    raise RecordError(f"no state of this program: {values[:1]}")


def read_customer(customer: str, plan: str, in_flight: int, values: list[Any]) -> CustomerRecord:
    """Read a customer's record; its numbers are all floats but for the period and the flag."""
    numbers: dict[str, Any] = dict(zip(CUSTOMER_FIELDS, read_numbers(values), strict=True))
    numbers["has_valid_reading"] = bool(numbers["has_valid_reading"])
    numbers["period"] = int(numbers["period"])
    return CustomerRecord(customer, plan, in_flight, **numbers)


def read_scores(scores: dict[Any, Any]) -> dict[str, FadingScore]:
    """Read scores: pairs of a level and a time, by name."""
    return {str(name): FadingScore(*read_numbers(score)) for name, score in scores.items()}


def read_numbers(values: Iterable[Any]) -> list[float]:
    """Read finite numbers. Raises RecordError for an infinite one, ValueError or TypeError for none."""
    numbers = [float(number) for number in values]
    if not all(map(math.isfinite, numbers)):
        raise RecordError("no finite number")
    return numbers


def encode_timer(timer: Timer) -> str:
    """Give a timer's token, as the simulator knows it."""
    return timer.purpose.value + timer.request


def decode_timer(token: str) -> Timer:
    """Read a timer from its token."""
    if token in (TimerPurpose.ENDPOINT_LIST.value, TimerPurpose.PERSISTENCE.value):
        return Timer(TimerPurpose(token))
    return Timer(TimerPurpose.REQUEST, token[1:])
