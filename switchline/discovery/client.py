"""Follows the endpoint list by successive calls to discovery, and reports its changes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
from collections.abc import Callable
from typing import Any

import h11

from switchline.clock import now_ms
from switchline.config import Address
from switchline.discovery.call import AnswerEnded, BodyReceived, CallEvent, HeadReceived, call_discovery
from switchline.discovery.endpoint_list import DiscoveryError, ListedBackend, read_list
from switchline.discovery.poll_schedule import PollSchedule
from switchline.net.descriptors import FIXED_LIMITS, Budget, DescriptorOwner
from switchline.net.json_stream import StreamError
from switchline.policy.interface import ListScope

log = logging.getLogger(__name__)

# The platform counts a change as notified 6 s after discovery received it, even if calls failed meanwhile.
# One call that becomes silent, a second that is silent as well and the complete list from a third must fit
# into these 6 s.

# Discovery sends an empty line every 2 s, so a call without any bytes for longer than this counts as silent.
SILENCE_LIMIT_S = 2.6
# Limits the time from the opening of a call to the head of its answer.
HEAD_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = FIXED_LIMITS[DescriptorOwner.DISCOVERY]

Listener = Callable[[ListScope, tuple[ListedBackend, ...]], None]


class OpenCall:
    """A call to discovery that has not ended.

    Args:
        silence_deadline_s: Time on the event loop's clock, in seconds, from which the call counts as silent
            unless bytes arrive before.
    """

    def __init__(self, silence_deadline_s: float) -> None:
        self.silence_deadline_s = silence_deadline_s
        self.has_content = False  # whether something complete has arrived after the head of the answer
        self.task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Cancel the task that reads the answer, which closes the connection."""
        if self.task is not None:
            self.task.cancel()


class Discovery:
    """Follows the endpoint list from a version on and reports each change.

    A call that becomes silent is not closed at once: discovery may be down, and answers a pending call as
    soon as it is available again. Another call is opened beside it; the first call that delivers something
    is followed from then on, and the other is closed.

    Args:
        address: Address of discovery.
        version: Version of the list that this gateway has; None if it has none.
        listener: Called with the scope and the backends of each list or change that was accepted.
        rng: Random number generator of the gateway.
        budget: Budget of descriptors, in which each connection is counted.
        spread_s: Time in seconds over which the polls of all gateways are spread; 0 if a poll
            takes no capacity from other gateways.

    Attributes:
        valid_until_ms: Last time, by `now_ms`, at which the list was known to be valid; -inf before that.
        first_list_accepted: Set once a list or a change has been accepted.
        on_accepted: Called after each list or change that was accepted.
        persist: Called with each list or change that was accepted, as decoded JSON.
        filter_list: Called with each list or change, as decoded JSON, before it is accepted. Returns what
            is accepted in its place, or None to reject it.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        listener: Listener,
        rng: random.Random,
        budget: Budget,
        spread_s: float = 0.0,
    ) -> None:
        self.address = address
        self.version = version
        self.listener = listener
        self.budget = budget
        self.schedule = PollSchedule(rng, spread_s)
        self.first_delay_s = self.schedule.first_delay_s() if version is not None else 0.0
        self.valid_until_ms = -math.inf
        self.first_list_accepted = asyncio.Event()
        self.on_accepted: Callable[[], None] = lambda: None
        self.persist: Callable[[dict[str, Any]], None] = lambda raw: None
        self.filter_list: Callable[[dict[str, Any]], dict[str, Any] | None] = lambda raw: raw
        self.calls: list[OpenCall] = []  # oldest first
        self._ended_call: OpenCall | None = None  # the newest call, if it has ended without being closed
        # Set when a call has ended, another call is followed, or all calls have been closed to start again.
        self._wake = asyncio.Event()

    def change_address(self, address: Address) -> None:
        """Follow the list at another address, from the version that this gateway has.

        If the address is the same, nothing happens.
        """
        if address != self.address:
            log.info("discovery address changed to %s:%d", *address)
            self.address = address
            self.schedule.make_urgent()
            self._close_calls()

    def refetch_list(self) -> None:
        """Fetch the complete list again, because the present one did not come from discovery alone."""
        self.version = None
        self._close_calls()

    async def run(self) -> None:
        """Follow the list until the task is cancelled; all calls are closed then."""
        try:
            await self._pause(self.first_delay_s)
            while True:
                if not self._has_responsive_call():
                    self._open_call()
                ended_call = await self._wait_until_call_is_needed()
                if ended_call is not None:
                    await self._pause(self.schedule.next_delay_s(ended_call.has_content))
                elif self.schedule.spread_s:
                    await self._pause(self.schedule.next_delay_s(received=True))
        finally:
            self._close_calls()

    async def _pause(self, seconds: float) -> None:
        """Wait for a time in seconds, or until `_wake` is set."""
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()

    def _has_responsive_call(self) -> bool:
        """Whether the newest call is open and not silent yet."""
        return bool(self.calls) and self.calls[-1].silence_deadline_s > asyncio.get_running_loop().time()

    async def _wait_until_call_is_needed(self) -> OpenCall | None:
        """Wait until another call has to be opened; return the call that has ended, or None if none has."""
        while self._has_responsive_call() and self._ended_call is None:
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self.calls[-1].silence_deadline_s):
                    await self._wake.wait()
        ended_call = self._ended_call
        self._ended_call = None
        return ended_call

    # ---- calls ----

    def _open_call(self) -> None:
        """Open a call; close the oldest ones first where there are too many."""
        while len(self.calls) >= MAX_CONCURRENT_CALLS:
            self._close_call(self.calls[0])
        loop = asyncio.get_running_loop()
        timeout_s = SILENCE_LIMIT_S if self.schedule.spread_s else HEAD_TIMEOUT_S
        new_call = OpenCall(loop.time() + timeout_s)
        self.calls.append(new_call)
        new_call.task = loop.create_task(self._read_answer(new_call))

    def _close_call(self, open_call: OpenCall) -> None:
        self.calls.remove(open_call)
        open_call.close()

    def _close_calls(self) -> None:
        for open_call in list(self.calls):
            self._close_call(open_call)
        self._wake.set()

    def _close_other_calls(self, followed: OpenCall) -> None:
        """Close all other calls: `followed` is the first that has delivered something."""
        followed.has_content = True
        for open_call in [open_call for open_call in self.calls if open_call is not followed]:
            self._close_call(open_call)
            self._wake.set()

    async def _read_answer(self, followed: OpenCall) -> None:
        """Read the answer of a call until it ends or fails; log the reason and wake `run`."""
        try:
            async with contextlib.aclosing(call_discovery(self.address, self.version, self.budget)) as events:
                async for event in events:
                    self._on_event(followed, event)
            reason = "end of the answer"
        except (OSError, h11.ProtocolError, DiscoveryError, StreamError) as error:
            if isinstance(error, OSError):
                self.budget.handle_shortage(error)
            reason = " ".join(str(error).split()) or type(error).__name__
        except Exception:
            # Without a watch the list becomes stale and drains are missed, so the client continues.
            log.exception("endpoint list could not be applied, the complete list is fetched again")
            reason = "internal error"
            self.version = None
        if followed in self.calls:
            log.info("watch ended: %s", reason)
            self._ended_call = followed if followed is self.calls[-1] else None
            self.calls.remove(followed)
            self._wake.set()

    def _on_event(self, followed: OpenCall, event: CallEvent) -> None:
        if isinstance(event, HeadReceived):
            log.info("watch opened from list version %s on", self.version)
        if isinstance(event, HeadReceived | BodyReceived):
            followed.silence_deadline_s = asyncio.get_running_loop().time() + SILENCE_LIMIT_S
        if isinstance(event, BodyReceived) and event.has_content:
            self._close_other_calls(followed)
        if isinstance(event, BodyReceived | AnswerEnded):
            for raw in event.objects:
                self._accept(raw)
        if isinstance(event, BodyReceived) and event.is_heartbeat and self.version is not None:
            self.valid_until_ms = now_ms()

    # ---- changes ----

    def _accept(self, raw: Any) -> None:
        try:
            received = read_list(raw)
        except DiscoveryError:
            self.version = None  # the content of this change is unknown, so the complete list is fetched
            raise
        if not received.is_full and self.version is not None and received.version < self.version:
            self.version = None  # discovery has restarted its versions, or repeats an old change
            raise DiscoveryError(
                f"expected a change no older than the accepted list, received version {received.version}"
            )
        accepted = self.filter_list(raw)
        if accepted is None:
            raise DiscoveryError("the received list is held back")
        if accepted is not raw:
            received = read_list(accepted)
        if received.is_full or received.backends:
            self.listener(ListScope.FULL if received.is_full else ListScope.CHANGES, received.backends)
        self.version = received.version
        self.valid_until_ms = now_ms()
        self.persist(accepted)
        self.on_accepted()
        self.first_list_accepted.set()
