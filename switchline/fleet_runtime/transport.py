"""The sockets of the gossip between gateways: datagrams by UDP, exchanges of all that is known by TCP.

`fleet.endpoint` decides all that is sent; this owns the sockets, the timer and the clock. Without the
configuration's table `fleet` nothing here is imported.
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

PUBLISH_INTERVAL_S = 0.25  # between two looks at what this gateway has to publish
REOPEN_S = 1.0  # until an address that could not be had is tried again
REPORT_INTERVAL_S = 10.0
MAX_INVALID_PER_S = (
    200  # frames of one host that are decoded once they are found invalid so often in a second
)
MAX_INVALID_HOSTS = 256  # whose invalid frames are counted


@dataclass(frozen=True, slots=True)
class PublishedFact:
    """Something that this gateway publishes; `value` None withdraws it."""

    kind: str
    name: str
    value: str | None
    at_ms: float = 0.0  # when an operator called for it; 0: now


class InvalidFrameLimit:
    """Counts the invalid frames of each host in a second, so that a flood of them costs no decoding."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._since_s = 0.0

    def is_exceeded(self, host: str, now_s: float) -> bool:
        """Whether a frame of the host is to be dropped undecoded."""
        if self._counts and now_s - self._since_s >= 1.0:
            self._counts.clear()
        return self._counts.get(host, 0) >= MAX_INVALID_PER_S

    def count(self, host: str, now_s: float) -> None:
        """A frame of the host was invalid."""
        if not self._counts:
            self._since_s = now_s
        if host in self._counts or len(self._counts) < MAX_INVALID_HOSTS:
            self._counts[host] = self._counts.get(host, 0) + 1


class GossipTransport(asyncio.DatagramProtocol):
    """One gateway's sockets in the gossip of its fleet, from `open` to `close`."""

    def __init__(
        self,
        name: str,
        fleet_config: FleetConfig,
        incarnation: Incarnation,
        rng: random.Random,
        own_facts: Callable[[], Iterator[PublishedFact]],
    ) -> None:
        """`own_facts` gives all that this gateway has to publish now."""
        self.loop = asyncio.get_running_loop()
        self.fleet_config = fleet_config
        self.own_facts = own_facts
        me = alive_claim(name, incarnation, fleet_config.advertise)
        codec = FrameCodec(fleet_config.name, fleet_config.secret)
        self.node = ProtocolEndpoint(me, fleet_config.seeds, codec, rng, self.loop.time(), now_ms())
        self.on_published: Callable[[], None] = lambda: None  # called after each look at `own_facts`
        self._exchanges = ExchangePeer(self.node, fleet_config.listen, self._after_merge)
        self._datagrams: asyncio.DatagramTransport | None = None
        self._reopening: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = 0.0
        self._publish_at_s = 0.0
        self._unpublished: set[tuple[str, str]] = set()  # facts over a bound that the log has named
        self._invalid = InvalidFrameLimit()
        self._report = DropReport(self.node, self.loop.time())
        self._closed = False

    async def open(self) -> None:
        """Open the sockets.

        Where the address can't be had it is tried again, and the gateway serves meanwhile.
        """
        self._publish()  # before anyone can ask
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
                self._timer = self.loop.call_later(REOPEN_S, self._reopen)
            return
        if self._closed:
            self.close()
            return
        log.info(log_events.GOSSIP_LISTENING, host, port)
        self._run_due()

    def _reopen(self) -> None:
        self._reopening = self.loop.create_task(self.open())

    def announce_leave(self) -> None:
        """Tell the other members that this gateway ends."""
        if self._datagrams is not None:
            self.node.leave()
            self._send_pending()

    def close(self) -> None:
        """Close the sockets and end what is under way."""
        self._closed = True
        if self._reopening is not None:
            self._reopening.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._exchanges.close()
        if self._datagrams is not None:
            self._datagrams.close()

    def publish(self, fact: PublishedFact) -> None:
        """Publish one fact at once; raises FactLimitError where a bound on facts does not allow it."""
        self._put(fact)
        self.flush()

    def flush(self) -> None:
        """Send what has been put into the node, and set the timer anew."""
        if self._datagrams is not None:
            self._after_merge()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The UDP socket is open."""
        self._datagrams = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A frame has come from another gateway."""
        now_s = self.loop.time()
        host = str(addr[0])
        if self._invalid.is_exceeded(host, now_s):
            self.node.count_refused("flood")
        elif self.node.receive_datagram(now_s, now_ms(), data):
            self._after_merge()
        else:
            self._invalid.count(host, now_s)

    def error_received(self, exc: Exception) -> None:
        """The system could not send a frame: as if it were lost on its way."""
        self.node.count_refused("unsent")

    def _after_merge(self) -> None:
        """What has been merged into the node may have to be passed on, and may move what is due."""
        self._send_pending()
        self._set_timer()

    def _send_pending(self) -> None:
        for address, frame in self.node.take_datagrams():
            if self._datagrams is not None and not self._datagrams.is_closing():
                self._datagrams.sendto(frame, address)
        for address in self.node.take_exchanges():
            self._exchanges.begin(address)

    def _run_due(self) -> None:
        """Do what is due, and wait for what is next. The timer may have called a little early."""
        now_s = self.loop.time()
        self._timer_due_s = 0.0
        if now_s >= self._publish_at_s:
            self._publish_at_s = now_s + PUBLISH_INTERVAL_S
            self._publish()
            self.on_published()
        self.node.tick(now_s, now_ms())
        self._send_pending()
        self._report.log_when_due(now_s)
        self._set_timer()

    def _set_timer(self) -> None:
        now_s = self.loop.time()
        due_s = min(self.node.next_tick_at_s(now_s), self._publish_at_s)
        if self._timer is not None:
            if now_s < self._timer_due_s <= due_s:
                return
            self._timer.cancel()
        self._timer_due_s = due_s
        self._timer = self.loop.call_at(due_s, self._run_due)

    def _publish(self) -> None:
        """Publish what has changed of this gateway."""
        for fact in self.own_facts():
            try:
                self._put(fact)
            except FactLimitError as error:
                if (fact.kind, fact.name) not in self._unpublished:
                    self._unpublished.add((fact.kind, fact.name))
                    log.warning(log_events.FACT_NOT_PUBLISHED, error)

    def _put(self, fact: PublishedFact) -> None:
        self.node.publish(fact.at_ms or now_ms(), fact.kind, fact.name, fact.value)


class DropReport:
    """Logs, in one line for `REPORT_INTERVAL_S`, which messages the node dropped and why."""

    def __init__(self, node: ProtocolEndpoint, now_s: float) -> None:
        self.node = node
        self._due_s = now_s + REPORT_INTERVAL_S
        self._reported: dict[str, int] = {}
        self._is_name_shared = False  # another process has this name

    def log_when_due(self, now_s: float) -> None:
        """Log what is new since the last report."""
        if now_s < self._due_s:
            return
        self._due_s = now_s + REPORT_INTERVAL_S
        refused = self.node.refused
        new = {why: number - self._reported.get(why, 0) for why, number in refused.items()}
        if any(new.values()):
            reasons = ", ".join(f"{why} {number}" for why, number in sorted(new.items()) if number)
            log.warning(log_events.GOSSIP_DROPPED, REPORT_INTERVAL_S, reasons)
        self._reported = dict(refused)
        is_shared = self.node.members.superseded
        if self._is_name_shared is not is_shared:
            self._is_name_shared = is_shared
            log.warning(log_events.GOSSIP_NAME_SHARED if is_shared else log_events.GOSSIP_NAME_FREE)
