"""The sockets for gossip between gateways: datagrams over UDP, exchanges of the complete state over TCP.

`fleet.endpoint` decides what is sent; this module owns the sockets and the timer, and reads the clock. It is
imported only if the configuration has the table `fleet`.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, cast

from switchline import log_events
from switchline.clock import now_ms
from switchline.config import FleetConfig
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.facts import FactLimitError
from switchline.fleet.frames import FrameCodec
from switchline.fleet.membership.member import alive_claim
from switchline.fleet.messages import Incarnation
from switchline.fleet_runtime.exchange import ExchangePeer

log = logging.getLogger(__name__)

PUBLISH_INTERVAL_S = 0.25  # time between two checks for facts that this gateway has to publish
REOPEN_DELAY_S = 1.0  # delay before another attempt to listen at an unavailable address
REPORT_INTERVAL_S = 10.0  # time between two log lines about dropped messages
# After so many invalid frames of one host within a second its further frames are dropped undecoded.
MAX_INVALID_FRAMES_PER_S = 200
MAX_INVALID_HOSTS = 256  # the most hosts whose invalid frames are counted


@dataclass(frozen=True, slots=True)
class PublishedFact:
    """A fact that this gateway publishes. If `value` is None, the fact is withdrawn."""

    kind: str
    name: str
    value: str | None
    at_ms: float = 0.0  # wall time of the operator's call for it; 0: now


class InvalidFrameLimit:
    """Counts the invalid frames of each host within a second, so that a flood of them is not decoded."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._window_began_s = 0.0

    def is_exceeded(self, host: str, now_s: float) -> bool:
        """Return whether a frame of the host is to be dropped undecoded."""
        if self._counts and now_s - self._window_began_s >= 1.0:
            self._counts.clear()
        return self._counts.get(host, 0) >= MAX_INVALID_FRAMES_PER_S

    def count(self, host: str, now_s: float) -> None:
        """Count an invalid frame of the host."""
        if not self._counts:
            self._window_began_s = now_s
        if host in self._counts or len(self._counts) < MAX_INVALID_HOSTS:
            self._counts[host] = self._counts.get(host, 0) + 1


class GossipTransport(asyncio.DatagramProtocol):
    """Owns the sockets and the timer of one gateway's gossip, from `open` to `close`."""

    def __init__(
        self,
        name: str,
        fleet_config: FleetConfig,
        incarnation: Incarnation,
        rng: random.Random,
        own_facts: Callable[[], Iterator[PublishedFact]],
    ) -> None:
        """`own_facts` yields the facts that this gateway has to publish now."""
        self.loop = asyncio.get_running_loop()
        self.fleet_config = fleet_config
        self.own_facts = own_facts
        me = alive_claim(name, incarnation, fleet_config.advertise)
        codec = FrameCodec(fleet_config.name, fleet_config.secret)
        self.node = ProtocolEndpoint(me, fleet_config.seeds, codec, rng, self.loop.time(), now_ms())
        self.on_published: Callable[[], None] = lambda: None  # called after `own_facts` were published
        self._exchanges = ExchangePeer(self.node, fleet_config.listen, self._send_and_set_timer)
        self._datagrams: asyncio.DatagramTransport | None = None
        self._reopening: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_s = 0.0
        self._next_publish_at_s = 0.0
        self._logged_over_limit: set[tuple[str, str]] = set()  # facts over a limit that were logged already
        self._invalid = InvalidFrameLimit()
        self._report = DropReport(self.node, self.loop.time())
        self._closed = False

    async def open(self) -> None:
        """Open the sockets.

        If the address is not available, it is tried again later, and the gateway serves clients meanwhile.
        """
        self._publish()  # before another gateway can ask for the facts
        host, port = self.fleet_config.listen
        try:
            await self._exchanges.listen()
            await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.fleet_config.listen)
        except OSError as error:
            log.error(  # noqa: TRY400
                log_events.GOSSIP_NOT_LISTENING, host, port, error
            )
            self._exchanges.stop_listening()
            if not self._closed:
                self._timer = self.loop.call_later(REOPEN_DELAY_S, self._reopen)
            return
        if self._closed:
            self.close()
            return
        log.info(log_events.GOSSIP_LISTENING, host, port)
        self._run_due()

    def _reopen(self) -> None:
        self._reopening = self.loop.create_task(self.open())

    def announce_leave(self) -> None:
        """Send the other members the claim that this gateway leaves."""
        if self._datagrams is not None:
            self.node.leave()
            self._send_pending()

    def close(self) -> None:
        """Close the sockets, and cancel the exchanges and timers."""
        self._closed = True
        if self._reopening is not None:
            self._reopening.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._exchanges.close()
        if self._datagrams is not None:
            self._datagrams.close()

    def publish(self, fact: PublishedFact) -> None:
        """Publish one fact at once; raises FactLimitError if it exceeds a limit on facts."""
        self._publish_fact(fact)
        self.flush()

    def flush(self) -> None:
        """Send what the node has queued, and set the timer again."""
        if self._datagrams is not None:
            self._send_and_set_timer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio once the UDP socket is open."""
        self._datagrams = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Called by asyncio with each frame from another gateway."""
        now_s = self.loop.time()
        host = str(addr[0])
        if self._invalid.is_exceeded(host, now_s):
            self.node.count_refused("flood")
        elif self.node.receive_datagram(now_s, now_ms(), data):
            self._send_and_set_timer()
        else:
            self._invalid.count(host, now_s)

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio if the system could not send a frame: it is counted, and treated as lost."""
        self.node.count_refused("unsent")

    def _send_and_set_timer(self) -> None:
        """Send what the node has queued after a merge, and set the timer, as the next tick may be earlier."""
        self._send_pending()
        self._set_timer()

    def _send_pending(self) -> None:
        for address, frame in self.node.take_datagrams():
            if self._datagrams is not None and not self._datagrams.is_closing():
                self._datagrams.sendto(frame, address)
        for address in self.node.take_exchanges():
            self._exchanges.begin(address)

    def _run_due(self) -> None:
        """Do what is due, and set the timer for the next tick. The timer may fire a little early."""
        now_s = self.loop.time()
        self._timer_at_s = 0.0
        if now_s >= self._next_publish_at_s:
            self._next_publish_at_s = now_s + PUBLISH_INTERVAL_S
            self._publish()
            self.on_published()
        self.node.tick(now_s, now_ms())
        self._send_pending()
        self._report.log_when_due(now_s)
        self._set_timer()

    def _set_timer(self) -> None:
        now_s = self.loop.time()
        due_s = min(self.node.next_tick_at_s(now_s), self._next_publish_at_s)
        if self._timer is not None:
            if now_s < self._timer_at_s <= due_s:
                return
            self._timer.cancel()
        self._timer_at_s = due_s
        self._timer = self.loop.call_at(due_s, self._run_due)

    def _publish(self) -> None:
        """Publish the facts of this gateway that have changed; log those that exceed a limit once."""
        for fact in self.own_facts():
            try:
                self._publish_fact(fact)
            except FactLimitError as error:
                if (fact.kind, fact.name) not in self._logged_over_limit:
                    self._logged_over_limit.add((fact.kind, fact.name))
                    log.warning(log_events.FACT_NOT_PUBLISHED, error)

    def _publish_fact(self, fact: PublishedFact) -> None:
        self.node.publish(fact.at_ms or now_ms(), fact.kind, fact.name, fact.value)


class DropReport:
    """Logs one line for each `REPORT_INTERVAL_S` with the number of dropped messages by reason."""

    def __init__(self, node: ProtocolEndpoint, now_s: float) -> None:
        self.node = node
        self._next_report_at_s = now_s + REPORT_INTERVAL_S
        self._reported: dict[str, int] = {}
        self._is_name_shared = False  # whether the log said last that another process has this name

    def log_when_due(self, now_s: float) -> None:
        """Log the messages dropped since the last report, and whether the name is shared, if that changed."""
        if now_s < self._next_report_at_s:
            return
        self._next_report_at_s = now_s + REPORT_INTERVAL_S
        refused = self.node.refused
        new_counts = {reason: number - self._reported.get(reason, 0) for reason, number in refused.items()}
        if any(new_counts.values()):
            reasons = ", ".join(
                f"{reason} {number}" for reason, number in sorted(new_counts.items()) if number
            )
            log.warning(log_events.GOSSIP_DROPPED, REPORT_INTERVAL_S, reasons)
        self._reported = dict(refused)
        is_shared = self.node.members.superseded
        if self._is_name_shared is not is_shared:
            self._is_name_shared = is_shared
            log.warning(log_events.GOSSIP_NAME_SHARED if is_shared else log_events.GOSSIP_NAME_FREE)
