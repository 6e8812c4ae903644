"""The gateway's part in an upgrade: two processes of one gateway, of which the new one takes over.

The new process asks the old one for all it knows (`take_over`) and announces that it serves. The old one then
hands over: it gives up the listening socket, its name in the fleet and the state on disk, tells how many
descriptors it still holds, and ends once all that is open on it has ended. If the new process dies first, the
old one takes everything back.
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from typing import TYPE_CHECKING

from switchline import log_events
from switchline.operators.overrides import private_file
from switchline.policy import interface as api
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts
from switchline.upgrade.handover import HandoverEvents, UpgradeHandover

if TYPE_CHECKING:
    from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

SOCKET_FILE = "beside.sock"
DESCRIPTOR_REPORT_INTERVAL_S = 0.05


class ProcessUpgrade:
    """Owns the hand-over between this process and the peer process of its gateway."""

    def __init__(
        self,
        parts: GatewayParts,
        fleet: OptionalFleet,
        persistence: StatePersistence | None,
        stop: asyncio.Event,
    ) -> None:
        """`stop` is set once this process has handed over and nothing is open on it."""
        self.parts = parts
        self.fleet = fleet
        self.persistence = persistence
        self.stop = stop
        self.handover = UpgradeHandover(
            private_file(parts.config.name, SOCKET_FILE),
            HandoverEvents(
                peer_joined=partial(parts.driver.dispatch, api.PeerProcessJoined()),
                record_received=parts.driver.on_peer_record,
                peer_serving=self._hand_over,
                peer_left=self._on_peer_process_gone,
                descriptors_reported=self._set_peer_descriptors,
            ),
        )
        self._emptying: asyncio.Task[None] | None = None
        self._joining: asyncio.Task[None] | None = None

    @property
    def took_over(self) -> bool:
        """Whether this process has taken over from an older one."""
        return self.handover.state_received.is_set()

    def _hand_over(self) -> None:
        """The new process takes clients: what is open here ends, and then this process does."""
        log.info(log_events.HANDING_OVER)
        self.parts.clients.hand_over()
        self.parts.descriptors.freeze()
        self.fleet.leave(announce=False)  # the new process has this name now
        if self.persistence is not None:
            self.persistence.release_folder()
        if self._emptying is None:
            self._emptying = self.parts.loop.create_task(self._empty())

    async def _empty(self) -> None:
        """Report the descriptors held here until nothing is open, and then end the process."""
        while self.parts.clients.holds_clients or self.parts.driver.requests.open:
            self.handover.report_descriptors(self.parts.descriptors.total)
            await asyncio.sleep(DESCRIPTOR_REPORT_INTERVAL_S)
        self.stop.set()

    def _on_peer_process_gone(self) -> None:
        """The peer process is gone; an old process takes back what it had handed over to a new one."""
        self.parts.driver.dispatch(api.PeerProcessLeft())
        self._set_peer_descriptors(0)
        if self._emptying is None:
            return
        self._emptying.cancel()
        self._emptying = None
        self.parts.descriptors.unfreeze()
        self.parts.clients.take_back()
        if self.persistence is not None:
            self.persistence.acquire_folder()
        self._joining = self.parts.loop.create_task(self.fleet.join())

    def _set_peer_descriptors(self, held: int) -> None:
        """Both processes hold their descriptors under one limit."""
        self.parts.descriptors.peer_process_descriptors = max(0, held)

    def stop_tasks(self) -> None:
        """End what waits for open requests to end."""
        if self._emptying is not None:
            self._emptying.cancel()

    def close(self) -> None:
        """Close the socket to the peer process."""
        self.parts.guard.call("closing the hand-over", self.handover.close)
