"""The place of one command among the answers of its connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from switchline.guard import Invariant
from switchline.net.streams import StreamedResponse

if TYPE_CHECKING:
    from switchline.clients.connection import ClientConnection


class Slot:
    """Holds the answer of one command until those before it are written (commands may be pipelined).

    Args:
        connection: on which the command arrived.
    """

    __slots__ = ("answered", "connection", "on_written", "reply", "request", "response")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.request: str | None = None  # the id of a request that is still open
        self.answered = False
        self.reply: bytes | None = None
        self.response: StreamedResponse | None = None  # a long answer that is written as it arrives
        self.on_written: Callable[[], None] | None = None  # called when all of it has been written

    def answer(self, reply: bytes) -> None:
        """Give the final answer; a second one is not sent."""
        if not self.answered:
            self.answered = True
            self.reply = reply
            self.request = None
            self.connection.pump()
        elif self.reply is not None or self.response is not None:
            self.connection.guard.record_violation(Invariant.ONE_ANSWER, f"a second answer: {reply[:40]!r}")

    def stream(self, response: StreamedResponse, on_written: Callable[[], None]) -> None:
        """Give a long answer whose bytes are still arriving."""
        self.answered = True
        self.response = response
        self.on_written = on_written
        self.connection.begin_streaming()

    def abort_stream(self, reply: bytes) -> None:
        """Give up a long answer that can't be finished, so that the client can tell.

        Args:
            reply: sent in its place if none of it has been written; else the connection is closed.
        """
        self.request = None
        if self.response is not None and not self.response.started:  # it waits behind another's
            self.response = None
            self.reply = reply
            self.connection.pump()
        elif self.connection.transport is not None:
            self.connection.transport.close()
