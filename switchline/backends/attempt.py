"""One attempt to send a request to a backend; shared by the attempt sender and the connection pool."""

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
    """One attempt; `on_ended` is called exactly once.

    Attributes:
        backend: The backend's number.
        encode: Returns the encoded request; its argument is the time left to the client, in milliseconds.
        expires_at_ms: When the client's timeout ends, in Unix milliseconds (the clock of `now_ms`).
        on_ended: Called with this attempt, its outcome and the value of the answer.
        on_written: Called when the last byte of the request has been written to the socket.
        on_streamed_answer: Called with this attempt and the length in bytes of a long answer that has begun;
            returns the response that its bytes are added to, or None if the answer is not needed.
        reason_not_to_send: Returns the outcome of an attempt that must not be sent at the given Unix time in
            milliseconds, or None if it may be sent.
        body: A long value that is sent after the bytes of `encode`; None if there is none.
        connection: The connection that the attempt is sent on; None before and after.
        endpoint: The endpoint whose queue the attempt waits in for a connection; None if it does not wait.
        handshake_started: Whether a handshake was started for the attempt while it waited.
        wait_timer: Ends the wait for a connection.
        timeout_timer: Gives the attempt up when its timeout ends.
        true_units: The units that the request cost according to the answer; 0 if the answer names none.
        ended: Whether `on_ended` has been called.
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
        """End the attempt with an outcome and the value of its answer; do nothing if it has already ended."""
        if self.ended:
            return
        self.ended = True
        self.connection = None
        self.stop_waiting()
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        self.on_ended(self, outcome, value)

    def stop_waiting(self) -> None:
        """Leave the endpoint's queue, as the attempt has got a connection or has ended."""
        if self.endpoint is not None:
            del self.endpoint.waiting[self]
            self.endpoint = None
        if self.wait_timer is not None:
            self.wait_timer.cancel()
