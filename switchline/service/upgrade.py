"""The gateway's part in an upgrade, in which a new process of a gateway takes over from the old one.

The new process asks the old one for all its state (`take_over`), and notifies it once it serves. The old one
then hands over: it gives up the listening socket, its name in the fleet and the state on disk. It reports how
many descriptors it still uses, and ends once none of its connections and requests is left. If the new process
ends first, the old one takes everything back.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from switchline import log_events
from switchline.policy import interface as api
from switchline.private_files import private_file
from switchline.service.memory_sharing import MemorySharing
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts
from switchline.upgrade.handover import HandoverEvents, UpgradeHandover

if TYPE_CHECKING:
    from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

SOCKET_FILE = "beside.sock"
DESCRIPTOR_REPORT_INTERVAL_S = 0.05
HAND_OVER_TIMEOUT_S = 0.25  # until this process is ready although the old one, which may be halted, is silent


class ProcessUpgrade:
    """Owns the hand-over between this process and the peer process of its gateway.

    Args:
        parts: Of this gateway.
        fleet: Left at the hand-over, and joined again if the new process is lost.
        persistence: Of the state on disk; None without one.
        memory: Divides the memory limit between the processes; None if this process's memory is not measured.
        stop: Set once this process has handed over and has no connection and no request left.
    """

    def __init__(
        self,
        parts: GatewayParts,
        fleet: OptionalFleet,
        persistence: StatePersistence | None,
        memory: MemorySharing | None,
        stop: asyncio.Event,
    ) -> None:
        self.parts = parts
        self.memory = memory
        self.fleet = fleet
        self.persistence = persistence
        self.stop = stop
        self.handover = UpgradeHandover(
            private_file(parts.config.name, SOCKET_FILE),
            HandoverEvents(
                peer_joined=self._on_peer_joined,
                record_received=parts.driver.on_peer_record,
                peer_serving=self._hand_over,
                peer_left=self._on_peer_left,
                descriptors_reported=self._on_descriptors_reported,
                request_sent=parts.driver.requests.sent.add_of_peer,
            ),
        )
        parts.driver.requests.sent.on_added = self.handover.report_request
        self._idle_task: asyncio.Task[None] | None = None
        self._return_task: asyncio.Task[None] | None = None
        self._awaits_hand_over_until_s = 0.0  # on the loop's clock; in the past once the old process is heard

    @property
    def is_ready(self) -> bool:
        """Whether new clients reach this process: it takes clients, and the old process takes none."""
        is_awaiting = self.parts.loop.time() < self._awaits_hand_over_until_s
        return self.parts.clients.takes_clients and not is_awaiting

    @property
    def took_over(self) -> bool:
        """Whether this process has taken over from an older one."""
        return self.handover.state_received.is_set()

    def request_hand_over(self) -> None:
        """Notify the old process, if there is one, that this one accepts clients."""
        if self.took_over:
            self._awaits_hand_over_until_s = self.parts.loop.time() + HAND_OVER_TIMEOUT_S
        self.handover.notify_serving()

    def _on_peer_joined(self) -> None:
        """Send a new process the state of the policy, and the requests that must not run twice."""
        self.parts.driver.dispatch(api.PeerProcessJoined())
        for request_id in self.parts.driver.requests.sent:
            self.handover.report_request(request_id)

    def _hand_over(self) -> None:
        """Hand over to the new process, which accepts clients; this one ends after its last connection."""
        log.info(log_events.HANDING_OVER)
        self.parts.clients.hand_over()
        if self.memory is not None:
            self.memory.on_handed_over()
        self.parts.descriptors.freeze()
        self.fleet.leave(announce=False)  # the new process has this name now
        if self.persistence is not None:
            self.persistence.release_folder()
        if self._idle_task is None:
            self._idle_task = self.parts.loop.create_task(self._wait_until_idle())

    async def _wait_until_idle(self) -> None:
        """Report the descriptors in use until no connection and no request is left; then end the process."""
        while self.parts.clients.has_connections or self.parts.driver.requests.in_flight:
            self._close_surplus_backends()
            self.handover.report_descriptors(self.parts.descriptors.total_in_use)
            await asyncio.sleep(DESCRIPTOR_REPORT_INTERVAL_S)
        self.stop.set()

    def _close_surplus_backends(self) -> None:
        """Close idle connections to backends that the remaining clients do not need."""
        backends = self.parts.backends
        needed = max(len(self.parts.clients.connections), len(self.parts.driver.requests.in_flight))
        backends.close_longest_idle(max(0, len(backends.connections) - needed))

    def _on_peer_left(self) -> None:
        """Note that the peer process is gone; take back what was handed over to it, if it was."""
        self.parts.driver.dispatch(api.PeerProcessLeft())
        self._set_peer_descriptors(0)
        self._awaits_hand_over_until_s = 0.0
        if self._idle_task is None:
            return
        self._idle_task.cancel()
        self._idle_task = None
        self.parts.descriptors.unfreeze()
        self.parts.clients.undo_hand_over()
        if self.persistence is not None:
            self.persistence.acquire_folder()
        self._return_task = self.parts.loop.create_task(self._return_to_service())

    async def _return_to_service(self) -> None:
        """Listen for a next process again, in place of the one that has ended, and join the fleet."""
        await self.listen()
        await self.fleet.join()

    async def listen(self) -> None:
        """Listen for the next process, which asks for the state and for memory."""
        await self.handover.listen()
        if self.memory is not None:
            await self.memory.listen()

    def _on_descriptors_reported(self, count: int) -> None:
        """Note the descriptors of the old process, which reports them once it has handed over."""
        self._awaits_hand_over_until_s = 0.0
        self._set_peer_descriptors(count)

    def _set_peer_descriptors(self, count: int) -> None:
        """Note how many descriptors the peer process uses: both processes together have one limit."""
        self.parts.descriptors.peer_process_descriptors = max(0, count)

    def stop_tasks(self) -> None:
        """Cancel the task that waits for the last connection and request."""
        if self._idle_task is not None:
            self._idle_task.cancel()

    def close(self) -> None:
        """Close the socket to the peer process."""
        self.parts.guard.call("closing the hand-over", self.handover.close)
