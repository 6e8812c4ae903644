"""The state of one gateway, which the parts of its decisions share."""

from __future__ import annotations

import random
from collections import deque

from switchline.policy import interface as api
from switchline.policy.customer import Customer
from switchline.policy.durable_state import DurableState
from switchline.policy.entities import Attempt, Backend, Request
from switchline.policy.recovery_ramp import RecoveryRamp
from switchline.policy.state_records import StateRecords
from switchline.policy.zones import Zones

RETRY_STORE = 10.0  # extra attempts that are saved up at most


class GatewayState(StateRecords):
    """All that a gateway remembers."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.top_importance = max((c.priority_weight for c in settings.classes), default=1.0)
        self.customers: dict[str, Customer] = {}
        self.beside, self.counts, self.lags = False, True, False
        self.calls: dict[str, deque[tuple[str, int, float, str]]] = {}  # customer, period, added, request
        self.backends: dict[int, Backend] = {}
        self.held: set[int] = set()  # backends that operators took out
        self.returned: dict[int, float] = {}  # backends that they put back lately, and when
        self.subset: list[Backend] = []  # the backends that this gateway uses
        self.zones = Zones(settings, self.random)
        self.recovery_ramp = RecoveryRamp()
        # With chance of its own: it changes no other decision.
        self.durable_state = DurableState(settings, random.Random(seed))
        self.met_others = False  # wants of other gateways were read in a period of this one's
        self.read_alone: set[str] = set()  # customers that were read and showed none
        self.requests: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # out, the oldest first
        self.created = -1.0  # the time of the first event
        self.typical, self.recent, self.recent_at = 0.0, 0.0, 0.0  # mean latency of the answers, and lately
        self.samples, self.rate, self.answered_at = 0.0, 0.0, 0.0  # answers; a second
        self.fitting = 1.0  # of the requests whose quota was read lately, the part that it held
        self.counter_room = 1.0  # the part of refreshes that a crowded counter leaves room for
        self.retries, self.tidied_at, self.floor = RETRY_STORE, 0.0, 0.0

    # What one part needs of another; each is defined by the part that owns it.

    def admit(self, now: float, request: Request, out: api.Actions) -> None:
        """Send a request on or refuse it."""
        raise NotImplementedError

    def watch(self, now: float, request: Request, at: float, out: api.Actions) -> None:
        """Look at a request again at a time, before it expires in any case."""
        raise NotImplementedError

    def pick(self, now: float, request: Request) -> Backend | None:
        """The backend for a request's next attempt."""
        raise NotImplementedError

    def failing(self, now: float, b: Backend, request: Request) -> float:
        """How likely a backend fails a request."""
        raise NotImplementedError

    def mark(self, now: float, b: Backend, name: str) -> float:
        """An outlier score of a backend as far as it has not faded."""
        raise NotImplementedError

    def settle(self, c: Customer, more: float, out: api.Actions) -> None:
        """Put a guess of units right."""
        raise NotImplementedError
