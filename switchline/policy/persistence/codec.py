"""Encodes state records and timers as the lists and strings that are stored and sent, and decodes them."""

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

GATEWAY_FIELDS = tuple(field.name for field in fields(GatewayRecord))
# The customer's key, plan and attempts in flight precede the list of its numbers.
CUSTOMER_FIELDS = tuple(field.name for field in fields(CustomerRecord))[3:]
SPENDING_FIELDS = tuple(field.name for field in fields(SpendingRecord))


class RecordError(ValueError):
    """A list does not have the form of a state record of this program."""


def encode_record(record: Record) -> list[Any]:
    """Return the list that is stored and sent for a record."""
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
    """Return the record of a list that was stored or sent.

    Raises:
        RecordError: The list does not have the form of a record.
    """
    try:
        return read_record(values)
    except (TypeError, ValueError, OverflowError) as error:
        raise RecordError(str(error)) from error


def read_record(values: list[Any]) -> Record:
    """Return the record of a list.

    Raises:
        RecordError: The list is of no known form, or holds a number that is not finite.
        TypeError: A value has a type that can't be converted.
        ValueError: A value can't be converted.
        OverflowError: A number is too large to convert.
    """
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
    raise RecordError(f"expected a gateway, backend, customer, spent or forget record, got: {values[:1]}")


def read_customer(customer: str, plan: str, in_flight: int, values: list[Any]) -> CustomerRecord:
    """Return a customer's record; its numbers are floats, except the period (int) and the flag (bool)."""
    numbers: dict[str, Any] = dict(zip(CUSTOMER_FIELDS, read_numbers(values), strict=True))
    numbers["has_valid_reading"] = bool(numbers["has_valid_reading"])
    numbers["period"] = int(numbers["period"])
    return CustomerRecord(customer, plan, in_flight, **numbers)


def read_scores(scores: dict[Any, Any]) -> dict[str, FadingScore]:
    """Return scores by name; each is stored as a pair of a level and a time in milliseconds."""
    return {str(name): FadingScore(*read_numbers(score)) for name, score in scores.items()}


def read_numbers(values: Iterable[Any]) -> list[float]:
    """Return values as floats.

    Raises:
        RecordError: A number is not finite.
        TypeError: A value has a type that is not a number.
        ValueError: A text is not a number.
    """
    numbers = [float(number) for number in values]
    if not all(map(math.isfinite, numbers)):
        raise RecordError("a state record holds a number that is not finite, expected finite numbers")
    return numbers


def encode_timer(timer: Timer) -> str:
    """Return the token of a timer in the simulator's events and actions."""
    return timer.purpose.value + timer.request


def decode_timer(token: str) -> Timer:
    """Return the timer of a token."""
    if token in (TimerPurpose.ENDPOINT_LIST.value, TimerPurpose.PERSISTENCE.value):
        return Timer(TimerPurpose(token))
    return Timer(TimerPurpose.REQUEST, token[1:])
