"""The state of each zone: the pooled evidence of its backends, and when the zone is left and returns.

If the endpoint list names only one zone, nothing here changes a decision.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping

from switchline.policy import interface as api

# Weight of one outcome in the evidence of a backend. It is high, as a gateway with little traffic seldom has
# a second outcome.
OUTCOME_WEIGHT = 0.8
# Level of evidence above which a backend counts as lost.
LOST_BACKEND_SCORE = 0.5
# Healthy backends that are added to those with evidence, so that a zone is left only after three fail.
ASSUMED_HEALTHY_BACKENDS = 0.75
LEAVE_SCORE = 0.5  # a zone is left from this failure score on
RETURN_SCORE = 0.25  # a zone that is left may return below this failure score
# Mean time between two health checks of a zone that is left, by one gateway.
HEALTH_CHECK_INTERVAL_MS = 2_000.0
# Bounds of the duration of a zone's return, in warm-up times of a backend; each gateway draws its own.
MIN_RAMP_RATIO = 0.5
MAX_RAMP_RATIO = 1.0
# A zone that is left again within this time takes twice as long to return; the time doubles at most
# `MAX_FLAPS` times.
FLAP_WINDOW_MS = 60_000.0
MAX_FLAPS = 2
# Time constant of the decay of the number of recent attempts.
TRAFFIC_DECAY_MS = 10_000.0
# A zone that no list has named for this time is removed, unless an operator disabled it.
ZONE_TTL_MS = 60_000.0
MAX_ZONES = 64  # no evidence is collected of further zones of a list
INITIAL_DECAY_MS = 4_000.0


class Zone:
    """One zone with the evidence of its backends. All times are in milliseconds.

    Attributes:
        name: The name of the zone.
        state: Whether the zone gets work.
        evidence: Decaying score from 0 to 1 by backend: 1 means that the backend is surely lost.
        usable_backends: Number of its backends that may get work.
        last_listed_ms: Time of the last endpoint list or override that named it.
        check_due_ms: Time at which its next health check is due, while it is left.
        last_return_ms: Time at which its last return began; minus infinity if there was none.
        ramp_began_ms: Start time of its ramp: that of its last return, 0 if there was none.
        ramp_ms: Duration of that ramp.
        flaps: How often it was left again within `FLAP_WINDOW_MS` of its return, up to `MAX_FLAPS`.
        attempts: Number of attempts sent there since the start.
        failures: Number of those attempts that got no answer.
        recent_attempts: Exponentially decaying number of attempts sent there.
        recent_attempts_at_ms: Time of the last update of `recent_attempts`.
        directive: The fleet's decision, while the fleet has left the zone or returns to it.
        granted_requests: Number of requests that the fleet's ramp allows there now.
        granted_requests_at_ms: Time of the last update of `granted_requests`.
    """

    __slots__ = (
        "attempts",
        "check_due_ms",
        "directive",
        "evidence",
        "failures",
        "flaps",
        "granted_requests",
        "granted_requests_at_ms",
        "last_listed_ms",
        "name",
        "ramp_began_ms",
        "ramp_ms",
        "recent_attempts_at_ms",
        "recent_attempts",
        "last_return_ms",
        "state",
        "usable_backends",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = api.ZoneState.UP
        self.evidence: dict[int, api.FadingScore] = {}
        self.usable_backends = 0
        self.last_listed_ms = 0.0
        self.check_due_ms = 0.0
        self.last_return_ms = -math.inf
        self.ramp_began_ms = 0.0
        self.ramp_ms = 0.0
        self.flaps = 0
        self.attempts = 0
        self.failures = 0
        self.recent_attempts = 0.0
        self.recent_attempts_at_ms = 0.0
        self.directive: api.ZoneDirective | None = None
        self.granted_requests = 0.0
        self.granted_requests_at_ms = 0.0

    def failure_score(self, now: float, decay_ms: float) -> float:
        """Return the failure score of the zone, from 0 to 1, from the evidence of its backends.

        The worst backend is left out, as the failure of one backend is not the failure of a zone. Evidence
        from before the first of the present failures does not count: it says nothing of the present state.

        Args:
            now: The time in milliseconds.
            decay_ms: Time constant of the decay of evidence, in milliseconds.
        """
        evidence = self.evidence.values()
        first_loss_ms = min((at for level, at in evidence if level > LOST_BACKEND_SCORE), default=now)
        weighted = [(math.exp((at - now) / decay_ms), level) for level, at in evidence if at >= first_loss_ms]
        if len(weighted) < 2:
            return 0.0
        worst = max(weighted, key=lambda weighted_level: weighted_level[0] * weighted_level[1])
        failing = sum(weight * level for weight, level in weighted) - worst[0] * worst[1]
        return failing / (sum(weight for weight, _ in weighted) - worst[0] + ASSUMED_HEALTHY_BACKENDS)

    def has_returned(self, now: float) -> bool:
        """Return whether this gateway's own ramp to the zone is complete.

        The ramp of the fleet ends with its directive.
        """
        is_complete = now >= self.ramp_began_ms + self.ramp_ms
        return self.state is api.ZoneState.RETURNING and self.directive is None and is_complete

    def decayed_recent_attempts(self, now: float) -> float:
        """Return the number of recent attempts after its decay up to now: about those of the last 10 s."""
        return self.recent_attempts * math.exp((self.recent_attempts_at_ms - now) / TRAFFIC_DECAY_MS)


class Zones:
    """Holds the state of each zone and its evidence.

    Attributes:
        by_name: The zones by name.
        disabled: Names of the zones that operators disabled, in the order of the calls.
        regions: The region of each zone; if empty, all zones are in one region.
        is_multi_zone: Whether the endpoint list names more than one zone.
        decay_ms: Time constant of the decay of evidence, in milliseconds; backend selection sets it.
        messages: Log lines on changes of state; the gateway takes and clears them.
        lost_attempts: Number of attempts without an answer since the start, silent ones in flight too.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.by_name: dict[str, Zone] = {}
        self.disabled: dict[str, None] = {}
        self.regions: Mapping[str, str] = dict(settings.regions)
        self.is_multi_zone = False
        self.decay_ms = INITIAL_DECAY_MS
        self.messages: list[str] = []
        self.lost_attempts = 0
        self._rng = rng
        self._warm_up_ms = settings.rules.warm_up_ms

    def on_regions_changed(self, _: float, event: api.RegionsChanged, __: api.Actions) -> None:
        """Replace the table of regions."""
        self.regions = dict(event.regions)

    def update_backends(self, now: float, backends: Iterable[tuple[int, str, bool]]) -> None:
        """Apply the present backends.

        Args:
            now: The time in milliseconds.
            backends: The number and the zone of each backend, and whether it may be used.
        """
        listed: dict[str, list[int]] = {}
        for zone in self.by_name.values():
            zone.usable_backends = 0
        for backend, name, is_usable in backends:
            if name in self.by_name or len(self.by_name) < MAX_ZONES:
                zone = self.by_name.setdefault(name, Zone(name))
                zone.usable_backends += is_usable
                zone.last_listed_ms = now
                listed.setdefault(name, []).append(backend)
        for name, zone in list(self.by_name.items()):
            zone.evidence = {
                backend: zone.evidence[backend]
                for backend in listed.get(name, ())
                if backend in zone.evidence
            }
            is_expired = now - zone.last_listed_ms > ZONE_TTL_MS
            if name not in listed and name not in self.disabled and is_expired:
                del self.by_name[name]
        self.is_multi_zone = len(listed) > 1

    def on_directive(self, now: float, event: api.ZoneDirective, _: api.Actions) -> None:
        """Apply the fleet's decision on a zone.

        It takes precedence over this gateway's own evidence, which decides alone if there is no decision.
        """
        zone = self.by_name.get(event.zone)
        if zone is None:
            return
        if event.state is api.ZoneState.RETURNING and not self.is_rationed(event.zone):
            zone.evidence = {}  # earlier evidence says nothing of the returning zone
            zone.granted_requests = 0.0
            zone.granted_requests_at_ms = now
        check_ms = now + event.probe_interval_ms * self._rng.random()
        if zone.directive is not None:
            zone.check_due_ms = min(zone.check_due_ms, check_ms)
        else:
            zone.check_due_ms = max(zone.check_due_ms, check_ms)
        is_decided = event.state in (api.ZoneState.LEFT, api.ZoneState.RETURNING)
        zone.directive = event if is_decided else None

    def override(self, now: float, name: str, disabled: bool) -> None:
        """Disable a zone by an operator's override, or enable it again."""
        self.disabled.pop(name, None)
        if disabled:
            self.disabled[name] = None
        zone = self.by_name.setdefault(name, Zone(name))
        zone.evidence.clear()
        zone.last_listed_ms = now
        if disabled:
            self._set_state(zone, api.ZoneState.DISABLED, "an operator has taken it out")
        elif zone.state is api.ZoneState.DISABLED:
            self._begin_return(now, zone, "an operator has put it back")

    def on_sent(self, now: float, name: str) -> None:
        """Count an attempt that is sent to a zone."""
        zone = self.by_name.get(name)
        if zone:
            zone.attempts += 1
            zone.recent_attempts = zone.decayed_recent_attempts(now) + 1
            zone.recent_attempts_at_ms = now

    def on_outcome(self, now: float, backend: int, name: str, is_lost: bool, has_ended: bool = True) -> None:
        """Update the evidence of a backend with the outcome of an attempt, or with its long silence.

        Args:
            now: The time in milliseconds.
            backend: The backend's number.
            name: Its zone.
            is_lost: Whether the attempt got no answer.
            has_ended: Whether the attempt has ended; False for one in flight that is silent for too long.
        """
        zone = self.by_name.get(name)
        if zone is None:
            return
        self.lost_attempts += is_lost
        zone.failures += is_lost and has_ended
        level, at = zone.evidence.get(backend, (0.0, now))
        level *= math.exp((at - now) / self.decay_ms)
        zone.evidence[backend] = api.FadingScore(level + (is_lost - level) * OUTCOME_WEIGHT, now)

    def forget_backend(self, backend: int, name: str) -> None:
        """Drop the evidence of a backend, as a new process has its number."""
        zone = self.by_name.get(name)
        if zone:
            zone.evidence.pop(backend, None)

    def update_states(self, now: float) -> None:
        """Update the state of each zone by the fleet's directives and the evidence."""
        for zone in self.by_name.values():
            if zone.state is not api.ZoneState.DISABLED:
                self._update_state(now, zone)

    def _update_state(self, now: float, zone: Zone) -> None:
        score = zone.failure_score(now, self.decay_ms)
        directive = zone.directive
        is_left = zone.state is api.ZoneState.LEFT
        has_recovered = is_left and score < RETURN_SCORE
        if directive is not None and directive.state is api.ZoneState.LEFT:
            self._set_state(zone, api.ZoneState.LEFT, "by the fleet's word")
        elif has_recovered or (directive is not None and zone.state is api.ZoneState.UP):
            self._begin_return(now, zone, f"its backends answer again (failing {score:.2f})")
        elif not is_left and score >= LEAVE_SCORE:
            is_flapping = now - zone.last_return_ms < FLAP_WINDOW_MS
            zone.flaps = min(MAX_FLAPS, zone.flaps + 1) if is_flapping else 0
            self.schedule_health_check(now, zone.name)
            reason = f"failing {score:.2f}, by {len(zone.evidence)} of its backends"
            self._set_state(zone, api.ZoneState.LEFT, reason)
        elif zone.has_returned(now):
            self._set_state(zone, api.ZoneState.UP, "its return is complete")

    def is_rationed(self, name: str) -> bool:
        """Return whether a zone gets only the requests that the fleet's recovery ramp grants."""
        directive = self.by_name[name].directive if name in self.by_name else None
        return directive is not None and directive.state is api.ZoneState.RETURNING

    def schedule_health_check(self, now: float, name: str) -> None:
        """Set the time of the next health check of a zone, at random so that gateways do not act at once."""
        zone = self.by_name[name]
        directive = zone.directive
        interval_ms = HEALTH_CHECK_INTERVAL_MS if directive is None else directive.probe_interval_ms
        zone.check_due_ms = now + interval_ms * self._rng.uniform(0.5, 1.5)

    def _begin_return(self, now: float, zone: Zone, reason: str) -> None:
        zone.ramp_began_ms = now
        zone.last_return_ms = now
        ratio = self._rng.uniform(MIN_RAMP_RATIO, MAX_RAMP_RATIO)
        zone.ramp_ms = self._warm_up_ms * ratio * 2**zone.flaps
        self._set_state(zone, api.ZoneState.RETURNING, reason)

    def _set_state(self, zone: Zone, state: api.ZoneState, reason: str) -> None:
        if zone.state is not state:
            zone.state = state
            self.messages.append(f"zone {zone.name} is {state.value}: {reason}")
