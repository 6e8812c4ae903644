"""Translation of a client's command into an event for the policy, and rejection of malformed commands."""

from __future__ import annotations

from switchline.clients.commands import Command
from switchline.policy import interface as api

MAX_CLIENT_WAIT_MS = 60_000.0  # upper bound of a client's timeout; the longest deadlines are well under it
# Upper bound of the time in which a streamed body arrives; a client that stalls is disconnected much earlier.
MAX_BODY_TRANSFER_MS = 120_000.0


class MalformedCommandError(ValueError):
    """The settings do not allow the command, or an attribute is out of range; the client gets the message."""


class CommandReader:
    """Converts commands into events, checked against the classes, plans and gateways of the settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self._plans = {plan.name for plan in settings.plans}
        self._gateway_count = settings.gateways

    def read(self, command: Command) -> api.RequestArrived:
        """Return the event for a command.

        Unknown classes and plans are rejected here: each backend would fail a request of an unknown class, so
        that healthy backends would count as failing, and an unknown plan has no quota to meter.

        Raises:
            MalformedCommandError: If the settings do not allow the command, or an attribute is out of range.
            ValueError: If an attribute can't be parsed.
        """
        attributes = command.attributes
        event = api.RequestArrived(
            request=command.id,
            request_class=attributes[b"c"].decode(),
            plan=attributes.get(b"t", b"").decode(),
            customer=command.customer,
            expires_ms=command.received_at_ms + self._wait_ms(command),
            units=float(attributes.get(b"units", b"0")),
            customer_gateway_count=int(attributes.get(b"spread", b"1")),
            first_gateway=int(attributes.get(b"first", b"0")),
            is_repeat=attributes.get(b"r") == b"1",
            streamed=command.streamed_body is not None,
        )
        self._check(event, command)
        return event

    def _wait_ms(self, command: Command) -> float:
        return (
            MAX_BODY_TRANSFER_MS
            if command.streamed_body is not None
            else min(command.time_left_ms, MAX_CLIENT_WAIT_MS)
        )

    def _check(self, event: api.RequestArrived, command: Command) -> None:
        """Raise MalformedCommandError if the values are out of range or do not match the request's class."""
        request_class = self.classes.get(event.request_class)
        if request_class is None or event.plan not in self._plans:
            raise MalformedCommandError("unknown class or plan")
        if command.idempotent is not (request_class.effect is api.Effect.IDEMPOTENT):
            raise MalformedCommandError("wrong command for the class")
        if request_class.effect is api.Effect.IDEMPOTENT_WITH_KEY and not command.attributes.get(b"k"):
            raise MalformedCommandError("idempotency key missing")
        gateway_count = self._gateway_count
        if not (
            event.units > 0
            and 1 <= event.customer_gateway_count <= gateway_count
            and 0 <= event.first_gateway < gateway_count
        ):
            raise MalformedCommandError("malformed units or gateways")
