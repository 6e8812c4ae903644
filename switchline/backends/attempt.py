"""One attempt of a request at a backend, as the driver of the decisions and the connection pool share it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from switchline.clock import Timer
from switchline.net.streams import StreamedRequestBody, StreamedResponse
from switchline.policy.interface import Outcome

if TYPE_CHECKING:
    from switchline.backends.connection import Connection
    from switchline.backends.endpoint import Endpoint


@dataclass(eq=False, slots=True)
class Attempt:
    """An attempt; `on_ended` is called exactly once.

    Attributes:
        backend: its number.
        encode: returns the request's bytes, given the milliseconds that are left to the client.
        expires_at_ms: by `now_ms`, when the client gives up.
        on_ended: called with the outcome and the answer's value.
        on_written: called when the last byte of the request has left.
        on_streamed_answer: called with the length of a long answer that begins; returns where its bytes go,
            or None if nobody needs it.
        reason_not_to_send: returns why the attempt must not begin at a time, or None if it may.
        body: a long value that follows what `encode` returns.
        connection: that the attempt is on.
        endpoint: where it waits for a connection.
        handshake_started: while it waits, a handshake was begun for it.
        wait_timer: ends that wait.
        timeout_timer: gives the attempt up.
        true_units: what the request cost, as the answer says; 0 if it does not.
        ended: `on_ended` has been called.
    """

    backend: int
    encode: Callable[[int], bytes]
    expires_at_ms: float
    on_ended: Callable[[Attempt, Outcome, bytes], None]
    on_written: Callable[[Attempt], None]
    on_streamed_answer: Callable[[Attempt, int], StreamedResponse | None]
    reason_not_to_send: Callable[[float], Outcome | None]
    body: StreamedRequestBody | None = None
    connection: Connection | None = None
    endpoint: Endpoint | None = None
    handshake_started: bool = False
    wait_timer: Timer | None = None
    timeout_timer: Timer | None = None
    true_units: float = 0.0
    ended: bool = False

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        """End the attempt, unless it has ended."""
        if self.ended:
            return
        self.ended = True
        self.connection = None
        self.stop_waiting()
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        self.on_ended(self, outcome, value)

    def stop_waiting(self) -> None:
        """Leave the queue for a connection: it has got one, or has ended."""
        if self.endpoint is not None:
            del self.endpoint.waiting[self]
            self.endpoint = None
        if self.wait_timer is not None:
            self.wait_timer.cancel()
