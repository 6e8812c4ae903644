"""Requests that wait for memory: a short time often suffices, as answers before them are read meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from switchline.clients.commands import Command
from switchline.clients.slot import Slot
from switchline.clock import PeriodicTimer, Timers, now_ms
from switchline.net.memory import ANSWER_RESERVE_BYTES, MemoryLedger, MemoryUse
from switchline.policy import interface as api
from switchline.units import KIBIBYTE

MAX_WAIT_MS = 500.0
MAX_WAIT_RATIO = 1 / 4  # of the time that the client waits
CHECK_INTERVAL_MS = 5.0
# Accepted, and likewise rejected, in one turn of the event loop: more would hold up all other clients.
MAX_IN_ONE_CHECK = 16
# Waiting requests take memory too: at most so many wait, each of at most this size.
MAX_WAITING = 64
MAX_WAITING_PIPELINED = 192
MAX_REQUEST_BYTES = 4 * KIBIBYTE


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A valid request that is not accepted yet.

    Attributes:
        command: The client's command.
        slot: The place of its answer.
        event: For the policy, once it is accepted.
        is_pipelined: Whether its client sends commands before it has the answers to others.
        until_ms: When it is rejected, in Unix milliseconds.
    """

    command: Command
    slot: Slot
    event: api.RequestArrived
    is_pipelined: bool
    until_ms: float


class MemoryWait:
    """Owns the requests that wait for memory.

    They are accepted in the order in which they came, but those that are not pipelined go first: a client
    that sends many at once fills the memory, and would keep others waiting.

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
        self._single: dict[str, WaitingRequest] = {}  # by request id, the oldest first
        self._pipelined: dict[str, WaitingRequest] = {}  # likewise
        self._timer: PeriodicTimer | None = None

    def __len__(self) -> int:
        return len(self._single) + len(self._pipelined)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._single or request_id in self._pipelined

    def may_pass(self, command: Command, is_pipelined: bool) -> bool:
        """Whether a request may be accepted now: there is memory, and no other one goes first."""
        others_go_first = bool(self._single) or (is_pipelined and bool(self._pipelined))
        if others_go_first and self._can_wait(command):
            return False
        return self._fits(command)

    def _fits(self, command: Command) -> bool:
        return self.ledger.admits_request(command.held_bytes + ANSWER_RESERVE_BYTES)

    def _can_wait(self, command: Command) -> bool:
        return command.streamed_body is None and command.held_bytes <= MAX_REQUEST_BYTES

    def add(self, command: Command, slot: Slot, event: api.RequestArrived, is_pipelined: bool) -> bool:
        """Let a request wait; return False if it can't, because of its size or of how many wait already."""
        waiting = self._pipelined if is_pipelined else self._single
        limit = MAX_WAITING_PIPELINED if is_pipelined else MAX_WAITING
        if len(waiting) >= limit or not self._can_wait(command):
            return False
        wait_ms = min(MAX_WAIT_MS, command.time_left_ms * MAX_WAIT_RATIO)
        until_ms = command.received_at_ms + wait_ms
        waiting[command.id] = WaitingRequest(command, slot, event, is_pipelined, until_ms)
        self.ledger.change(MemoryUse.COMMANDS, command.held_bytes)
        if self._timer is None:
            self._timer = self.timers.every(CHECK_INTERVAL_MS, "requests that wait for memory", self._check)
        return True

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request: it is accepted, rejected, or its client has left; None if it does not wait."""
        request = self._single.pop(request_id, None) or self._pipelined.pop(request_id, None)
        if request is not None:
            self.ledger.change(MemoryUse.COMMANDS, -request.command.held_bytes)
        return request

    def _check(self) -> None:
        """Accept requests as far as there is memory, and reject those whose time is over."""
        self._accept_fitting()
        now = now_ms()
        late = (request for request in self._in_order() if request.until_ms <= now)
        self._reject(list(islice(late, MAX_IN_ONE_CHECK)))
        if not len(self) and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _accept_fitting(self) -> None:
        for request in self._in_order()[:MAX_IN_ONE_CHECK]:
            if request.command.id not in self:
                continue  # its client has left
            if not self._fits(request.command):
                return
            self.remove(request.command.id)
            self.accept(request)

    def reject_all(self) -> None:
        """Reject all requests that wait, as the process is about to end."""
        self._reject(self._in_order())

    def _in_order(self) -> list[WaitingRequest]:
        return [*self._single.values(), *self._pipelined.values()]

    def _reject(self, requests: list[WaitingRequest]) -> None:
        for request in requests:
            if self.remove(request.command.id) is not None:
                self.reject(request)
