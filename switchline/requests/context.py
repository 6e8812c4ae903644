"""The parts of the gateway that the request lifecycle and the attempt sender use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from switchline.backends.pool import BackendPool
from switchline.clock import Timers
from switchline.net.streams import BufferBudget
from switchline.operators.metrics import Metrics
from switchline.policy import interface as api
from switchline.requests.report import PeriodicReport


@dataclass(frozen=True, slots=True)
class RequestContext:
    """The parts of the gateway that handle requests.

    Attributes:
        settings: The policy's settings.
        max_in_flight: The maximum number of requests in flight.
        timers: The gateway's timers.
        backends: The connection pool.
        metrics: Counts outcomes of requests.
        buffer_budget: The memory budget for buffers of long values.
        report: Counts events for the periodic log line.
        send_event: Passes an event to the policy.
    """

    settings: api.Settings
    max_in_flight: int
    timers: Timers
    backends: BackendPool
    metrics: Metrics
    buffer_budget: BufferBudget
    report: PeriodicReport
    send_event: Callable[[api.Event], None]
