"""One open request, as the lifecycle and the attempts share it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from switchline.backends.attempt import Attempt
from switchline.clients.commands import Command
from switchline.clients.slot import Slot
from switchline.clock import Timer
from switchline.net.streams import StreamedResponse
from switchline.policy import interface as api

RETRY_MARGIN_MS = 50.0  # before an idempotency key's window ends: a retry is on its way that long at most


@dataclass(slots=True, eq=False)
class Request:
    """One request that is owed a final answer. Times are Unix milliseconds."""

    command: Command
    slot: Slot
    kind: api.RequestClass
    expires_at_ms: float
    attempts_made: int = 0
    sent_at_ms: dict[int, float] = field(default_factory=dict)  # attempts that may have run: their last byte
    in_flight: dict[int, Attempt] = field(default_factory=dict)  # by number
    expiry_timer: Timer | None = None
    streaming_attempt: int | None = None  # whose long answer is being passed on
    response: StreamedResponse | None = None

    @property
    def id(self) -> str:
        """The request's name, unique among the open ones."""
        return self.command.id

    @property
    def arrived_at_ms(self) -> float:
        """When its head came."""
        return self.command.received_at_ms

    @property
    def body_discarded(self) -> bool:
        """Whether a streamed body has been sent so far that no further attempt can send it."""
        body = self.command.stream
        return body is not None and not body.repeatable

    @property
    def retry_deadline_ms(self) -> float:
        """When a further attempt may begin at the latest: after a key's window it would run again."""
        if not self.sent_at_ms or self.kind.effect is not api.Effect.IDEMPOTENT_WITH_KEY:
            return math.inf
        return min(self.sent_at_ms.values()) + self.kind.deduplication_window_ms - RETRY_MARGIN_MS
