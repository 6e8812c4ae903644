"""The slot that holds the answer of one command until it can be written in order."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from switchline.guard import Invariant
from switchline.net.streams import StreamedResponse

if TYPE_CHECKING:
    from switchline.clients.connection import ClientConnection


class Slot:
    """Holds the answer of one command until the answers of earlier commands are written.

    Commands may be pipelined, and a client gets its answers in the order of its commands.

    Args:
        connection: the connection on which the command arrived.
    """

    __slots__ = ("answered", "connection", "on_written", "reply", "request_id", "response")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.request_id: str | None = None  # set while the command is a request in flight
        self.answered = False
        self.reply: bytes | None = None
        self.response: StreamedResponse | None = None  # a long answer, written as its bytes arrive
        self.on_written: Callable[[], None] | None = (
            None  # called after the last byte of `response` is written
        )

    @property
    def is_due(self) -> bool:
        """Whether all answers to earlier commands are written."""
        slots = self.connection.slots
        return bool(slots) and slots[0] is self

    def answer(self, reply: bytes) -> None:
        """Set the final answer. A second answer is not sent; it is counted as a violated invariant."""
        if not self.answered:
            self.answered = True
            self.reply = reply
            self.request_id = None
            self.connection.pump()
        elif self.reply is not None or self.response is not None:
            self.connection.guard.record_violation(
                Invariant.ONE_ANSWER, f"second answer to one command: {reply[:40]!r}"
            )

    def stream_response(self, response: StreamedResponse, on_written: Callable[[], None]) -> None:
        """Set a long answer whose bytes are still arriving.

        Args:
            response: the answer, written to the client as its bytes arrive.
            on_written: called after its last byte is written.
        """
        self.answered = True
        self.response = response
        self.on_written = on_written
        self.connection.pump()

    def abort_stream(self, reply: bytes) -> None:
        """Abandon a long answer that can't be completed, in a way that the client can detect.

        Args:
            reply: sent in its place if none of the long answer has been written. Otherwise the connection
                ends.
        """
        self.request_id = None
        if self.response is not None and not self.response.started:  # an earlier answer is still due
            self.response = None
            self.reply = reply
            self.connection.pump()
        else:
            self.connection.end.close_in_answer()
