"""Following the endpoint list: calls to discovery, one after another, and the changes they bring."""

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
from switchline.discovery.call import CallEvent, Ended, Opened, Received, call
from switchline.discovery.endpoint_list import DiscoveryError, ListedBackend, read_list
from switchline.discovery.poll_schedule import PollSchedule
from switchline.net.descriptors import FIXED_PARTS, Budget, Part
from switchline.net.json_stream import StreamError
from switchline.policy.interface import ListScope

log = logging.getLogger(__name__)

# The platform counts a change as notified 6 s after discovery had it, whatever became of calls meanwhile. So
# a silence, a call that is silent as well and the complete list from the one after it must fit into that.
SILENCE_LIMIT_S = 2.6  # an empty line comes every 2 s
ANSWER_LIMIT_S = 1.0  # from the opening of a call to the head of its answer
MAX_CALLS = FIXED_PARTS[Part.DISCOVERY]  # open at once

Listener = Callable[[ListScope, tuple[ListedBackend, ...]], None]


class OpenCall:
    """A call that is open.

    Args:
        silent_from_s: on the event loop's clock, when it counts as silent unless something arrives before.
    """

    def __init__(self, silent_from_s: float) -> None:
        self.silent_from_s = silent_from_s
        self.has_content = False  # something beyond the head of its answer has arrived
        self.task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Cancel the call."""
        if self.task is not None:
            self.task.cancel()


class Discovery:
    """Follows the list from a version on and reports each change.

    A call that falls silent is not closed at once: discovery may be down, and answers what it was asked as
    soon as it is back. Another call is opened beside it, and the first to bring something is followed from
    then on.

    Args:
        address: of discovery.
        version: of the list that this gateway has; None if it has none.
        listener: called with each change.
        rng: the gateway's random numbers.
        budget: of descriptors.
        spread_s: that the polls of the fleet are spread over; 0: a poll costs nobody anything.

    Attributes:
        valid_until_ms: by `now_ms`, until when the list was known to be valid.
        first_list_accepted: set once something has arrived.
        on_accepted: called after each change that was accepted.
        persist: called with each list or change that was accepted, as discovery sent it.
        filter_list: called with each list or change before it is accepted; returns what is accepted, or None.
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
        self.calls: list[OpenCall] = []  # the oldest first
        self._ended: OpenCall | None = None  # the newest call, if it has ended by itself
        self._wake = asyncio.Event()  # a call has ended, another one is followed, or all shall begin anew

    def change_address(self, address: Address) -> None:
        """Follow the list at another address, from the version that this gateway has."""
        if address != self.address:
            log.info("discovery moves to %s:%d", *address)
            self.address = address
            self.schedule.make_urgent()
            self._close_calls()

    def refetch_list(self) -> None:
        """Read the complete list again: what is known did not come from discovery alone."""
        self.version = None
        self._close_calls()

    async def run(self) -> None:
        """Follow the list until this is cancelled."""
        try:
            await self._pause(self.first_delay_s)
            while True:
                if not self._is_followed():
                    self._open()
                ended = await self._wait_until_call_is_needed()
                if ended is not None:
                    await self._pause(self.schedule.next_delay_s(ended.has_content))
                elif self.schedule.spread_s:
                    await self._pause(self.schedule.next_delay_s(received=True))
        finally:
            self._close_calls()

    async def _pause(self, seconds: float) -> None:
        """Wait, unless all shall begin anew meanwhile."""
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()

    def _is_followed(self) -> bool:
        """Whether there is a call that is worth waiting for."""
        return bool(self.calls) and self.calls[-1].silent_from_s > asyncio.get_running_loop().time()

    async def _wait_until_call_is_needed(self) -> OpenCall | None:
        """Wait until another call has to be opened; return the one that ended, if that is why."""
        while self._is_followed() and self._ended is None:
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self.calls[-1].silent_from_s):
                    await self._wake.wait()
        ended = self._ended
        self._ended = None
        return ended

    # ---- calls ----

    def _open(self) -> None:
        """Open a call; of those that are silent the oldest gives way."""
        while len(self.calls) >= MAX_CALLS:
            self._drop(self.calls[0])
        loop = asyncio.get_running_loop()
        limit_s = SILENCE_LIMIT_S if self.schedule.spread_s else ANSWER_LIMIT_S
        opened = OpenCall(loop.time() + limit_s)
        self.calls.append(opened)
        opened.task = loop.create_task(self._follow(opened))

    def _drop(self, dropped: OpenCall) -> None:
        self.calls.remove(dropped)
        dropped.close()

    def _close_calls(self) -> None:
        for open_call in list(self.calls):
            self._drop(open_call)
        self._wake.set()

    def _drop_others(self, followed: OpenCall) -> None:
        """Follow the first of the calls that brings something; no other is needed."""
        followed.has_content = True
        for other in [one for one in self.calls if one is not followed]:
            self._drop(other)
            self._wake.set()

    async def _follow(self, followed: OpenCall) -> None:
        """Read a call's answer to its end, whatever that is."""
        try:
            async with contextlib.aclosing(call(self.address, self.version, self.budget)) as events:
                async for event in events:
                    self._on_event(followed, event)
            reason = "ended"
        except (OSError, h11.ProtocolError, DiscoveryError, StreamError) as error:
            if isinstance(error, OSError):
                self.budget.relieve(error)
            reason = " ".join(str(error).split()) or type(error).__name__
        except Exception:  # without a watch the list goes stale and drains are missed, so it goes on
            log.exception("a change could not be taken")
            reason = "failed"
            self.version = None
        if followed in self.calls:
            log.info("watch %s", reason)
            self._ended = followed if followed is self.calls[-1] else None
            self.calls.remove(followed)
            self._wake.set()

    def _on_event(self, followed: OpenCall, event: CallEvent) -> None:
        if isinstance(event, Opened):
            log.info("watch open from %s on", self.version)
        if isinstance(event, Opened | Received):
            followed.silent_from_s = asyncio.get_running_loop().time() + SILENCE_LIMIT_S
        if isinstance(event, Received) and event.has_content:
            self._drop_others(followed)
        if isinstance(event, Received | Ended):
            for raw in event.lists:
                self._accept(raw)
        if isinstance(event, Received) and event.is_heartbeat and self.version is not None:
            self.valid_until_ms = now_ms()

    # ---- changes ----

    def _accept(self, raw: Any) -> None:
        try:
            received = read_list(raw)
        except DiscoveryError:
            self.version = None  # what this change held is not known: read everything again
            raise
        if not received.is_full and self.version is not None and received.version < self.version:
            self.version = None  # discovery counts anew, or repeats what is long over
            raise DiscoveryError(f"a change of an older list, {received.version}")
        accepted = self.filter_list(raw)
        if accepted is None:
            raise DiscoveryError("its list is held back")
        if accepted is not raw:
            received = read_list(accepted)
        if received.is_full or received.backends:
            self.listener(ListScope.FULL if received.is_full else ListScope.CHANGES, received.backends)
        self.version = received.version
        self.valid_until_ms = now_ms()
        self.persist(accepted)
        self.on_accepted()
        self.first_list_accepted.set()
