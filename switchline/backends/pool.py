"""The pool of connections to all backends: it assigns attempts to connections, and opens and closes these."""

from __future__ import annotations

import asyncio
import errno
import logging
from functools import partial

from switchline.backends.attempt import Attempt
from switchline.backends.connection import Connection, ConnectionState
from switchline.backends.endpoint import Endpoint
from switchline.clock import Timers, now_ms
from switchline.config import Address
from switchline.net.descriptors import Budget, DescriptorOwner
from switchline.net.idle import IdleTimes
from switchline.net.memory import MAX_READ_BYTES
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics
from switchline.policy.interface import BackendState, Outcome

log = logging.getLogger(__name__)

# Idle connections are closed after this share of the keep-alive time, before the backend may close them
# while a request is being sent.
MAX_IDLE_RATIO = 0.6
SWEEP_INTERVAL_MS = 1_000.0
# A connection is not reused directly after an answer, so that unrequested bytes that follow the answer are
# not taken for the answer to the next request. The delay is this share of the time that the answer took, up
# to the maximum.
SETTLE_RATIO = 0.5
MAX_SETTLE_MS = 30.0
LOCAL_FAILURE_PAUSE_MS = 10.0  # delay before the retry of a handshake that failed on the local machine
# Errors of connect that are no evidence about the backend, in addition to `SHORTAGE_ERRORS`.
LOCAL_ERRORS = {errno.EAGAIN, errno.EINTR, errno.EPERM}


class BackendPool:
    """Owns the endpoints and their connections, and sends attempts to the backends they are addressed to.

    An attempt that finds no idle connection waits for the first that becomes free: either one whose
    handshake was started for it, or one that another attempt has finished with. The number of concurrent
    handshakes with one backend is limited, and the descriptor budget limits the number of all connections.
    An attempt that gets no connection within the time allowed for a handshake ends with CONNECT_FAILED if a
    handshake was in progress, otherwise with NO_CONNECTION.

    Args:
        loop: The event loop.
        timers: The gateway's timers.
        connect_timeout_ms: The time allowed for a handshake.
        keepalive_ms: The time after which backends may close an idle connection.
        budget: The descriptor budget.
        metrics: Counts handshakes and sent attempts.
        buffer_budget: The memory budget for buffers of long values.
    """

    def __init__(  # noqa: PLR0913 - collaborators of the pool
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        connect_timeout_ms: float,
        keepalive_ms: float,
        budget: Budget,
        metrics: Metrics,
        buffer_budget: BufferBudget,
    ) -> None:
        self.loop = loop
        self.timers = timers
        self.connect_timeout_ms = connect_timeout_ms
        self.budget = budget
        self.metrics = metrics
        self.buffer_budget = buffer_budget
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))  # shared: each read is parsed at once
        self.idle_times = IdleTimes(keepalive_ms * MAX_IDLE_RATIO)
        self.endpoints: dict[int, Endpoint] = {}
        self.connections: set[Connection] = set()
        self._disabled_backends: set[int] = set()  # disabled by operators, whether listed or not
        self._disabled_zones: set[str] = set()
        # Endpoints with waiting attempts for which no handshake may be started; the longest waiting first.
        self._starved: dict[Endpoint, None] = {}
        # `_serve_starved`, scheduled for the next event loop iteration.
        self._serving_starved: asyncio.Handle | None = None
        self._failed_opens: list[OSError] = []  # errors since the last sweep, which logs them in one line
        budget.shortage_callbacks.append(self.close_longest_idle)
        timers.every(SWEEP_INTERVAL_MS, "the sweep of backends", self.sweep)

    # ---- the endpoint list and operators' overrides ----

    def update(self, backend: int, address: Address, state: BackendState, zone: str = "") -> None:
        """Apply the endpoint list's entry of a backend; a backend that is not ready is retired."""
        if state is not BackendState.READY:
            self.retire(backend)
            return
        endpoint = self.endpoints.get(backend)
        if endpoint is None:
            endpoint = self.endpoints[backend] = Endpoint(address, zone)
        if endpoint.address != address:
            self._close_idle(endpoint)
            endpoint.address = address
        endpoint.listed = True
        endpoint.zone = zone
        self._apply_overrides(backend, endpoint)

    def retire(self, backend: int) -> None:
        """Stop sending to a backend that drains or is gone; attempts that wait for a connection fail."""
        if endpoint := self.endpoints.get(backend):
            endpoint.listed = False
            self._close_idle(endpoint)
            self._fail_waiting(endpoint)

    def override(self, backend: int, disabled: bool) -> None:
        """Apply an operator's override that disables or enables a backend, whether it is listed or not."""
        change = self._disabled_backends.add if disabled else self._disabled_backends.discard
        change(backend)
        if endpoint := self.endpoints.get(backend):
            self._apply_overrides(backend, endpoint)

    def override_zone(self, zone: str, disabled: bool) -> None:
        """Apply an operator's override that disables or enables all backends of a zone."""
        change = self._disabled_zones.add if disabled else self._disabled_zones.discard
        change(zone)
        for backend, endpoint in self.endpoints.items():
            self._apply_overrides(backend, endpoint)

    def _apply_overrides(self, backend: int, endpoint: Endpoint) -> None:
        endpoint.disabled = backend in self._disabled_backends or endpoint.zone in self._disabled_zones
        if endpoint.disabled:
            self._close_idle(endpoint)
            self._fail_waiting(endpoint)

    def _fail_waiting(self, endpoint: Endpoint) -> None:
        for attempt in list(endpoint.waiting):
            attempt.end(Outcome.CONNECT_FAILED)
        self._close_unneeded_handshakes(endpoint)

    # ---- attempts ----

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or queue it until a connection is free."""
        endpoint = self.endpoints.get(attempt.backend)
        if endpoint is None or not endpoint.accepts_attempts:
            attempt.end(Outcome.CONNECT_FAILED)
            return
        while endpoint.idle:
            connection = endpoint.idle.pop()
            now = now_ms()
            idle_ms = now - connection.idle_since_ms
            if self.idle_times.allows(now, idle_ms) and connection.is_alive():
                if not connection.start(attempt, idle_ms):
                    self.release(connection)
                return
            connection.close()
        self._wait_for_connection(attempt, endpoint)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt that is no longer needed or has timed out.

        A timed-out attempt ends with CONNECT_FAILED if its last byte has not been sent, as it can't have run.
        """
        connection = attempt.connection
        if connection is not None:
            unsent = outcome is Outcome.TIMED_OUT and connection.outcome_if_broken() is Outcome.CONNECT_FAILED
            connection.end(Outcome.CONNECT_FAILED if unsent else outcome)
            return
        endpoint = attempt.endpoint
        timed_out_waiting = endpoint is not None and outcome is Outcome.TIMED_OUT
        attempt.end(self._outcome_of_waiting(attempt) if timed_out_waiting else outcome)
        if endpoint is not None:
            self._close_unneeded_handshakes(endpoint)

    def _wait_for_connection(self, attempt: Attempt, endpoint: Endpoint) -> None:
        attempt.endpoint = endpoint
        endpoint.waiting[attempt] = None
        wait_deadline_ms = min(now_ms() + self.connect_timeout_ms, attempt.expires_at_ms)
        attempt.wait_timer = self.timers.at(wait_deadline_ms, partial(self._on_wait_ended, attempt))
        self.metrics.handshake_waits += 1
        self.connect_for_waiting(endpoint)

    def _on_wait_ended(self, attempt: Attempt) -> None:
        if attempt.endpoint is not None:
            attempt.end(self._outcome_of_waiting(attempt))

    def _outcome_of_waiting(self, attempt: Attempt) -> Outcome:
        """Return the outcome of an attempt that got no connection.

        It is IGNORED if the request has expired, CONNECT_FAILED if a handshake with the backend was in
        progress, and otherwise NO_CONNECTION, as the cause is then this pool.
        """
        if now_ms() >= attempt.expires_at_ms:
            return Outcome.IGNORED
        endpoint = attempt.endpoint
        handshake_in_progress = attempt.handshake_started or (
            endpoint is not None and bool(endpoint.connecting)
        )
        return Outcome.CONNECT_FAILED if handshake_in_progress else Outcome.NO_CONNECTION

    # ---- opening connections ----

    def connect_for_waiting(self, endpoint: Endpoint) -> None:
        """Start a handshake for each waiting attempt that has none, within the limits."""
        for attempt in [attempt for attempt in endpoint.waiting if not attempt.handshake_started]:
            # Each settling connection will soon be free for one of the waiting attempts.
            wanted_handshakes = len(endpoint.waiting) - len(endpoint.settling)
            if len(endpoint.connecting) >= min(wanted_handshakes, self.budget.shares.connects):
                return
            if not self.budget.has_free(DescriptorOwner.BACKENDS) and not self.close_longest_idle(1):
                self._starved[endpoint] = None
                return
            self._connect(endpoint, attempt)

    def _connect(self, endpoint: Endpoint, attempt: Attempt) -> None:
        """Start a handshake for an attempt. After a local failure it waits for a retry, else it fails."""
        try:
            connection = Connection(self, endpoint)
        except OSError as error:
            self._failed_opens.append(error)
            if self.budget.handle_shortage(error) or error.errno in LOCAL_ERRORS:
                self._starved[endpoint] = None
                self.timers.at(now_ms() + LOCAL_FAILURE_PAUSE_MS, self._serve_starved)
            else:
                attempt.end(Outcome.CONNECT_FAILED)
            return
        attempt.handshake_started = True
        self.metrics.handshakes_begun += 1
        self.budget.acquire(DescriptorOwner.BACKENDS)
        self.connections.add(connection)
        endpoint.connecting.add(connection)

    def _serve_starved(self) -> None:
        """Start the handshakes that had to wait for descriptors, the longest waiting endpoint first."""
        self._serving_starved = None
        starved = list(self._starved)
        self._starved = {}
        for endpoint in starved:
            self.connect_for_waiting(endpoint)

    def _close_unneeded_handshakes(self, endpoint: Endpoint) -> None:
        """Close connections in handshake that no attempt needs any more, as the attempts were given up."""
        for connection in list(endpoint.connecting)[len(endpoint.waiting) :]:
            connection.close()

    # ---- connections that become free ----

    def release(self, connection: Connection) -> None:
        """Use a free connection for the attempt that has waited longest, or make it idle, or close it."""
        endpoint = connection.endpoint
        while self._is_usable(connection) and not connection.closed:
            attempt = next(iter(endpoint.waiting), None)
            if attempt is None:
                break
            if connection.start(attempt, 0.0):
                return
        if not self._is_usable(connection):
            connection.close()
        elif self._starved and not self.budget.has_free(DescriptorOwner.BACKENDS):
            connection.close()  # another backend's handshake needs the descriptor
        elif not connection.closed:
            connection.idle_since_ms = now_ms()
            endpoint.idle.append(connection)

    def _is_usable(self, connection: Connection) -> bool:
        return connection.endpoint.accepts_attempts and connection.address == connection.endpoint.address

    def settle(self, connection: Connection) -> None:
        """Release a connection after the settle time, unless unrequested bytes have followed its answer."""
        connection.endpoint.settling.add(connection)
        settle_ms = min(MAX_SETTLE_MS, SETTLE_RATIO * (now_ms() - connection.sent_at_ms))
        self.loop.call_later(settle_ms / 1000, self._on_settled, connection)

    def _on_settled(self, connection: Connection) -> None:
        if connection not in connection.endpoint.settling:
            return
        connection.endpoint.settling.discard(connection)
        if connection.is_alive():
            self.release(connection)
        else:
            connection.close()

    # ---- closing connections ----

    def on_closed(self, connection: Connection) -> None:
        """Remove a closed connection and return its descriptor to the budget."""
        endpoint = connection.endpoint
        if connection in self.connections:
            self.connections.discard(connection)
            self.budget.release(DescriptorOwner.BACKENDS)
        if connection in endpoint.idle:
            endpoint.idle.remove(connection)
        if endpoint.waiting:
            self._starved[endpoint] = None
        if self._starved and self._serving_starved is None:
            self._serving_starved = self.loop.call_soon(self._serve_starved)

    def close_longest_idle(self, count: int) -> int:
        """Close up to `count` idle connections, the longest idle first; return the number closed."""
        idle = [connection for endpoint in self.endpoints.values() for connection in endpoint.idle]
        idle.sort(key=lambda connection: connection.idle_since_ms)
        for connection in idle[:count]:
            connection.close()
        return len(idle[:count])

    def sweep(self) -> None:
        """Close connections that are idle too long, over the limit or stalled; remove unlisted endpoints."""
        now = now_ms()
        excess = len(self.connections) - self.budget.limit_of(
            DescriptorOwner.BACKENDS
        )  # the limit may have become lower
        self.close_longest_idle(max(0, excess))
        for backend, endpoint in list(self.endpoints.items()):
            self._close_expired(endpoint, now)
            if not endpoint.listed:
                del self.endpoints[backend]
        for connection in list(self.connections):
            if connection.is_stalled(now):
                log.warning("backend left a long value hanging: %s", connection.address)
                connection.end(connection.outcome_if_broken())
            elif connection.has_waited_for_memory(now):
                connection.end(Outcome.CANCELLED)  # the backend is not at fault
        if self._failed_opens:
            last_error = self._failed_opens[-1]
            log.warning(
                "connections to backends not opened: count=%d last_error=%s",
                len(self._failed_opens),
                last_error,
            )
            self._failed_opens.clear()

    def _close_expired(self, endpoint: Endpoint, now: float) -> None:
        for connection in list(endpoint.idle):
            if self.idle_times.allows(now, now - connection.idle_since_ms):
                break  # the connections that follow were used more recently
            connection.close()

    def _close_idle(self, endpoint: Endpoint) -> None:
        for connection in list(endpoint.idle):
            connection.close()

    def close(self) -> None:
        """End all attempts and close all connections."""
        self._starved.clear()
        for endpoint in self.endpoints.values():
            for attempt in list(endpoint.waiting):
                attempt.end(Outcome.CONNECT_FAILED)
        for connection in list(self.connections):
            connection.end(connection.outcome_if_broken())

    def gauges(self) -> dict[str, int]:
        """Return the current values of this pool's gauges by metric name."""
        idle = sum(len(endpoint.idle) for endpoint in self.endpoints.values())
        connecting = sum(connection.state is ConnectionState.CONNECTING for connection in self.connections)
        waiting = sum(len(endpoint.waiting) for endpoint in self.endpoints.values())
        return {
            "backends.opening": connecting,
            "backends.in_use": len(self.connections) - idle - connecting,
            "backends.idle": idle,
            "backends.waiting": waiting,
        }
