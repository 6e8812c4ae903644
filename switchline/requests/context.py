"""The parts of the gateway that requests and attempts share."""

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
    """What a request needs of the gateway; `send_event` hands the policy an event."""

    settings: api.Settings
    max_in_flight: int  # requests at once
    timers: Timers
    backends: BackendPool
    metrics: Metrics
    buffer_budget: BufferBudget
    report: PeriodicReport
    send_event: Callable[[api.Event], None]
