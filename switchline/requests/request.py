"""A request in flight; shared by the request lifecycle and the attempt sender."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from switchline.backends.attempt import Attempt
from switchline.clients.commands import Command
from switchline.clients.slot import Slot
from switchline.clock import Timer
from switchline.net.memory import MemoryEntry
from switchline.net.streams import StreamedResponse
from switchline.policy import interface as api
from switchline.requests.arrivals import MAX_CLIENT_WAIT_MS

# No retry is sent this close to the end of an idempotency key's window: it takes up to this time to arrive.
RETRY_MARGIN_MS = 50.0


@dataclass(slots=True, eq=False)
class Request:
    """A request that has not had its final answer yet, or still has attempts in flight.

    Attributes:
        command: The client's command.
        slot: The place of the answer among the answers on the client's connection.
        request_class: The class of the request.
        expires_at_ms: When the client's timeout ends, in Unix milliseconds.
        memory: The ledger's entry for its value, until it has its final answer.
        attempts_made: The number of attempts started so far; also the number of the next attempt.
        sent_at_ms: When the last byte of an attempt was sent, in Unix milliseconds, by the attempt's number.
            Only of attempts that may have run.
        in_flight: The attempts in flight, by number.
        expiry_timer: Ends the request at `expires_at_ms`.
        streaming_attempt: The number of the attempt whose long answer is being forwarded.
        response: The long answer that is being forwarded.
    """

    command: Command
    slot: Slot
    request_class: api.RequestClass
    expires_at_ms: float
    memory: MemoryEntry
    attempts_made: int = 0
    sent_at_ms: dict[int, float] = field(default_factory=dict)
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    expiry_timer: Timer | None = None
    streaming_attempt: int | None = None
    response: StreamedResponse | None = None

    @property
    def id(self) -> str:
        """The request's identifier, which is unique among the requests in flight."""
        return self.command.id

    @property
    def arrived_at_ms(self) -> float:
        """When the command's first arguments arrived, in Unix milliseconds."""
        return self.command.received_at_ms

    @property
    def body_due_ms(self) -> float:
        """When the client gives up, as far as is known while a streamed body arrives, in Unix milliseconds.

        Its timeout counts from the first byte, or from the last one if that is not written in time.
        """
        body = self.command.streamed_body
        incomplete_at_ms = body.incomplete_at_ms if body is not None else 0.0
        wait_ms = min(self.command.time_left_ms, MAX_CLIENT_WAIT_MS)
        expires_by_first_byte_ms = self.arrived_at_ms + wait_ms
        if incomplete_at_ms < expires_by_first_byte_ms:
            return expires_by_first_byte_ms
        return incomplete_at_ms + wait_ms

    @property
    def body_discarded(self) -> bool:
        """Whether the beginning of a streamed body is discarded, so that no further attempt can send it."""
        body = self.command.streamed_body
        return body is not None and not body.repeatable

    @property
    def retry_deadline_ms(self) -> float:
        """The latest time for a further attempt, in Unix milliseconds.

        After the deduplication window of an idempotency key, the backend would run the request again.
        """
        if not self.sent_at_ms or self.request_class.effect is not api.Effect.IDEMPOTENT_WITH_KEY:
            return math.inf
        return min(self.sent_at_ms.values()) + self.request_class.deduplication_window_ms - RETRY_MARGIN_MS
