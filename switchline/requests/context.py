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
    """What a request needs of the gateway; `give` hands the policy an event."""

    settings: api.Settings
    max_open: int  # requests at once
    timers: Timers
    backends: BackendPool
    metrics: Metrics
    buffers: BufferBudget
    report: PeriodicReport
    give: Callable[[api.Event], None]
