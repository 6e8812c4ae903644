"""Requests that wait for memory: a short time often suffices, as answers before them are read meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from switchline.clients.commands import Command
from switchline.clients.slot import Slot
from switchline.clock import PeriodicTimer, Timers, now_ms
from switchline.net.memory import ANSWER_RESERVE_BYTES, KIBIBYTE, MemoryLedger, MemoryUse
from switchline.policy import interface as api

MAX_WAIT_MS = 500.0
MAX_WAIT_RATIO = 1 / 4  # of the time that the client waits
CHECK_INTERVAL_MS = 20.0
# Waiting requests take memory too: at most so many wait, each of at most this size.
MAX_WAITING = 256
MAX_REQUEST_BYTES = 4 * KIBIBYTE


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A valid request that is not accepted yet.

    Attributes:
        command: The client's command.
        slot: The place of its answer.
        event: For the policy, once it is accepted.
        until_ms: When it is rejected, in Unix milliseconds.
    """

    command: Command
    slot: Slot
    event: api.RequestArrived
    until_ms: float


class MemoryWait:
    """Owns the requests that wait for memory, in the order in which they came.

    Args:
        ledger: Decides whether there is memory.
        timers: The timers that check it.
        accept: Called with a request once there is memory for it.
        reject: Called with a request that has waited in vain.
    """

    def __init__(
        self,
        ledger: MemoryLedger,
        timers: Timers,
        accept: Callable[[WaitingRequest], None],
        reject: Callable[[WaitingRequest], None],
    ) -> None:
        self.ledger = ledger
        self.timers = timers
        self.accept = accept
        self.reject = reject
        self.waiting: dict[str, WaitingRequest] = {}  # by request id
        self._timer: PeriodicTimer | None = None

    def may_pass(self, command: Command) -> bool:
        """Whether a request may be accepted now: there is memory, and no other one waits for it."""
        return not self.waiting and self._fits(command)

    def _fits(self, command: Command) -> bool:
        return self.ledger.admits_request(command.held_bytes + ANSWER_RESERVE_BYTES)

    def add(self, command: Command, slot: Slot, event: api.RequestArrived) -> bool:
        """Let a request wait; return False if it can't, because of its size or of how many wait already."""
        if len(self.waiting) >= MAX_WAITING or command.streamed_body is not None:
            return False
        if command.held_bytes > MAX_REQUEST_BYTES:
            return False
        wait_ms = min(MAX_WAIT_MS, command.time_left_ms * MAX_WAIT_RATIO)
        self.waiting[command.id] = WaitingRequest(command, slot, event, command.received_at_ms + wait_ms)
        self.ledger.change(MemoryUse.COMMANDS, command.held_bytes)
        if self._timer is None:
            self._timer = self.timers.every(CHECK_INTERVAL_MS, "requests that wait for memory", self._check)
        return True

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request: it is accepted, rejected, or its client has left; None if it does not wait."""
        request = self.waiting.pop(request_id, None)
        if request is not None:
            self.ledger.change(MemoryUse.COMMANDS, -request.command.held_bytes)
        return request

    def _check(self) -> None:
        """Accept requests in their order as far as there is memory, and reject those whose time is over."""
        for request_id, request in list(self.waiting.items()):
            if request_id not in self.waiting:
                continue  # its client has left
            if not self._fits(request.command):
                break
            self.remove(request_id)
            self.accept(request)
        now = now_ms()
        self._reject_where(lambda request: request.until_ms <= now)
        if not self.waiting and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reject_all(self) -> None:
        """Reject all requests that wait, as the process is about to end."""
        self._reject_where(lambda _: True)

    def _reject_where(self, condition: Callable[[WaitingRequest], bool]) -> None:
        for request_id, request in list(self.waiting.items()):
            if condition(request) and self.remove(request_id) is not None:
                self.reject(request)
