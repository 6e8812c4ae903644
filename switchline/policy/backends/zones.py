"""The state of each zone: what the outcomes of its backends show together, and when it is left and returns.

Where the endpoint list names one zone alone, nothing here changes a decision.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping

from switchline.policy import interface as api

OUTCOME_WEIGHT = 0.8  # in a backend's evidence: a gateway with thin traffic seldom has a second outcome
LOST_SCORE = 0.5  # a backend whose evidence is over this looks lost
# Backends that are assumed to be well beside those met: it takes three failing ones to leave a zone.
ASSUMED_WELL_BACKENDS = 0.75
# Pooled evidence at which a zone is left, and under which it may return.
LEAVE_SCORE = 0.5
RETURN_SCORE = 0.25
HEALTH_CHECK_INTERVAL_MS = 2_000.0  # of a zone that is left, by one gateway
# The time that a zone's return takes, in warm-ups of a backend: drawn by each gateway.
MIN_RAMP_RATIO = 0.5
MAX_RAMP_RATIO = 1.0
# A zone that is left again so soon takes twice as long to return; so many times at most.
FLAP_MS = 60_000.0
MAX_FLAPS = 2
TRAFFIC_MEMORY_MS = 10_000.0
ZONE_TTL_MS = 60_000.0  # a zone that no list has named for so long, and no operator disabled, is forgotten
MAX_ZONES = 64  # further ones of a list have no evidence of their own
INITIAL_MEMORY_MS = 4_000.0


class Zone:
    """What is known of one zone.

    Attributes:
        name: Its name.
        state: Whether it gets work.
        evidence: By backend, how surely it is lost.
        usable_backends: Number of its backends that may get work.
        listed_ms: When a list named it last.
        check_due_ms: When its next health check is due, while it is left.
        returned_ms: When its last return began.
        ramp_began_ms: The same, as the beginning of its ramp.
        ramp_ms: How long that ramp takes.
        flaps: How many times it was left again soon after it returned.
        attempts: Attempts there, ever.
        failures: Those that were lost, ever.
        recent_attempts: Attempts lately, fading.
        recent_at_ms: When that was updated.
        directive: What the fleet decided, while it has left the zone or returns there.
        granted: How many requests the fleet's ramp lets go there now.
        granted_at_ms: When that was updated.
    """

    __slots__ = (
        "attempts",
        "check_due_ms",
        "directive",
        "evidence",
        "failures",
        "flaps",
        "granted",
        "granted_at_ms",
        "listed_ms",
        "name",
        "ramp_began_ms",
        "ramp_ms",
        "recent_at_ms",
        "recent_attempts",
        "returned_ms",
        "state",
        "usable_backends",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = api.ZoneState.UP
        self.evidence: dict[int, api.FadingScore] = {}
        self.usable_backends = 0
        self.listed_ms = 0.0
        self.check_due_ms = 0.0
        self.returned_ms = -math.inf
        self.ramp_began_ms = 0.0
        self.ramp_ms = 0.0
        self.flaps = 0
        self.attempts = 0
        self.failures = 0
        self.recent_attempts = 0.0
        self.recent_at_ms = 0.0
        self.directive: api.ZoneDirective | None = None
        self.granted = 0.0
        self.granted_at_ms = 0.0

    def failure_score(self, now: float, memory_ms: float) -> float:
        """Give how surely the zone is failing, up to 1. The worst backend is left out: one alone is no zone.

        What was well before the failures began says nothing of now, and does not count against them.

        Args:
            now: The time in milliseconds.
            memory_ms: The time in which evidence fades to a third.
        """
        evidence = self.evidence.values()
        failing_since_ms = min((at for level, at in evidence if level > LOST_SCORE), default=now)
        weighted = [
            (math.exp((at - now) / memory_ms), level) for level, at in evidence if at >= failing_since_ms
        ]
        if len(weighted) < 2:
            return 0.0
        worst = max(weighted, key=lambda seen: seen[0] * seen[1])
        failing = sum(weight * level for weight, level in weighted) - worst[0] * worst[1]
        return failing / (sum(weight for weight, _ in weighted) - worst[0] + ASSUMED_WELL_BACKENDS)

    def has_returned(self, now: float) -> bool:
        """Whether its own ramp is complete; the fleet's ends with its directive."""
        is_complete = now >= self.ramp_began_ms + self.ramp_ms
        return self.state is api.ZoneState.RETURNING and self.directive is None and is_complete

    def faded_recent_attempts(self, now: float) -> float:
        """Give the attempts there of the last 10 s or so."""
        return self.recent_attempts * math.exp((self.recent_at_ms - now) / TRAFFIC_MEMORY_MS)


class Zones:
    """Owns the state of each zone and the evidence for it.

    Attributes:
        by_name: The zones.
        disabled: Those that operators disabled.
        regions: The region of each zone; empty: all are of one.
        is_multi_zone: Whether the endpoint list names more than one.
        memory_ms: The time in which evidence fades to a third; backend selection sets it.
        messages: Changes of state, for the log; the gateway takes them.
        lost_attempts: Outcomes that were lost, ever.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.by_name: dict[str, Zone] = {}
        self.disabled: dict[str, None] = {}
        self.regions: Mapping[str, str] = dict(settings.regions)
        self.is_multi_zone = False
        self.memory_ms = INITIAL_MEMORY_MS
        self.messages: list[str] = []
        self.lost_attempts = 0
        self._rng = rng
        self._warm_up_ms = settings.rules.warm_up_ms

    def on_regions_changed(self, _: float, event: api.RegionsChanged, __: api.Actions) -> None:
        """Another table of regions is valid."""
        self.regions = dict(event.regions)

    def update_backends(self, now: float, backends: Iterable[tuple[int, str, bool]]) -> None:
        """Take over which backends there are: the number, the zone, and whether it may be used."""
        listed: dict[str, list[int]] = {}
        for zone in self.by_name.values():
            zone.usable_backends = 0
        for backend, name, is_usable in backends:
            if name in self.by_name or len(self.by_name) < MAX_ZONES:
                zone = self.by_name.setdefault(name, Zone(name))
                zone.usable_backends += is_usable
                zone.listed_ms = now
                listed.setdefault(name, []).append(backend)
        for name, zone in list(self.by_name.items()):
            zone.evidence = {
                backend: zone.evidence[backend]
                for backend in listed.get(name, ())
                if backend in zone.evidence
            }
            is_outdated = now - zone.listed_ms > ZONE_TTL_MS
            if name not in listed and name not in self.disabled and is_outdated:
                del self.by_name[name]
        self.is_multi_zone = len(listed) > 1

    def on_directive(self, now: float, event: api.ZoneDirective, _: api.Actions) -> None:
        """The fleet's decision goes before the own evidence; without one, that alone decides."""
        zone = self.by_name.get(event.zone)
        if zone is None:
            return
        if event.state is api.ZoneState.RETURNING and not self.is_rationed(event.zone):
            zone.evidence = {}  # what was seen before says nothing now
            zone.granted = 0.0
            zone.granted_at_ms = now
        check_ms = now + event.probe_interval_ms * self._rng.random()
        if zone.directive is not None:
            zone.check_due_ms = min(zone.check_due_ms, check_ms)
        else:
            zone.check_due_ms = max(zone.check_due_ms, check_ms)
        is_decided = event.state in (api.ZoneState.LEFT, api.ZoneState.RETURNING)
        zone.directive = event if is_decided else None

    def override(self, now: float, name: str, disabled: bool) -> None:
        """An operator disables a zone, or enables it again."""
        self.disabled.pop(name, None)
        if disabled:
            self.disabled[name] = None
        zone = self.by_name.setdefault(name, Zone(name))
        zone.evidence.clear()
        zone.listed_ms = now
        if disabled:
            self._change(zone, api.ZoneState.DISABLED, "an operator has taken it out")
        elif zone.state is api.ZoneState.DISABLED:
            self._begin_return(now, zone, "an operator has put it back")

    def on_sent(self, now: float, name: str) -> None:
        """An attempt goes to a zone."""
        zone = self.by_name.get(name)
        if zone:
            zone.attempts += 1
            zone.recent_attempts = zone.faded_recent_attempts(now) + 1
            zone.recent_at_ms = now

    def on_outcome(self, now: float, backend: int, name: str, is_lost: bool, has_ended: bool = True) -> None:
        """Take an outcome of a backend as evidence, or that an attempt has been silent for too long.

        Args:
            now: The time in milliseconds.
            backend: The backend's number.
            name: Its zone.
            is_lost: Whether the attempt got no answer.
            has_ended: Whether it has ended.
        """
        zone = self.by_name.get(name)
        if zone is None:
            return
        self.lost_attempts += is_lost
        zone.failures += is_lost and has_ended
        level, at = zone.evidence.get(backend, (0.0, now))
        level *= math.exp((at - now) / self.memory_ms)
        zone.evidence[backend] = api.FadingScore(level + (is_lost - level) * OUTCOME_WEIGHT, now)

    def forget_backend(self, backend: int, name: str) -> None:
        """A new process under an old number: what was seen of the old one says nothing."""
        zone = self.by_name.get(name)
        if zone:
            zone.evidence.pop(backend, None)

    def update_states(self, now: float) -> None:
        """Leave zones, and let them return, as directives and evidence say."""
        for zone in self.by_name.values():
            if zone.state is not api.ZoneState.DISABLED:
                self._update_state(now, zone)

    def _update_state(self, now: float, zone: Zone) -> None:
        score = zone.failure_score(now, self.memory_ms)
        directive = zone.directive
        is_left = zone.state is api.ZoneState.LEFT
        has_recovered = is_left and score < RETURN_SCORE
        if directive is not None and directive.state is api.ZoneState.LEFT:
            self._change(zone, api.ZoneState.LEFT, "by the fleet's word")
        elif has_recovered or (directive is not None and zone.state is api.ZoneState.UP):
            self._begin_return(now, zone, f"its backends answer again (failing {score:.2f})")
        elif not is_left and score >= LEAVE_SCORE:
            is_flapping = now - zone.returned_ms < FLAP_MS
            zone.flaps = min(MAX_FLAPS, zone.flaps + 1) if is_flapping else 0
            self.on_checked(now, zone.name)
            reason = f"failing {score:.2f}, by {len(zone.evidence)} of its backends"
            self._change(zone, api.ZoneState.LEFT, reason)
        elif zone.has_returned(now):
            self._change(zone, api.ZoneState.UP, "its return is complete")

    def is_rationed(self, name: str) -> bool:
        """Whether a zone gets only what the fleet's recovery ramp grants."""
        directive = self.by_name[name].directive if name in self.by_name else None
        return directive is not None and directive.state is api.ZoneState.RETURNING

    def on_checked(self, now: float, name: str) -> None:
        """Set the next health check of a zone; not all gateways act at once."""
        zone = self.by_name[name]
        directive = zone.directive
        interval_ms = HEALTH_CHECK_INTERVAL_MS if directive is None else directive.probe_interval_ms
        zone.check_due_ms = now + interval_ms * self._rng.uniform(0.5, 1.5)

    def _begin_return(self, now: float, zone: Zone, reason: str) -> None:
        zone.ramp_began_ms = now
        zone.returned_ms = now
        ratio = self._rng.uniform(MIN_RAMP_RATIO, MAX_RAMP_RATIO)
        zone.ramp_ms = self._warm_up_ms * ratio * 2**zone.flaps
        self._change(zone, api.ZoneState.RETURNING, reason)

    def _change(self, zone: Zone, state: api.ZoneState, reason: str) -> None:
        if zone.state is not state:
            zone.state = state
            self.messages.append(f"zone {zone.name} is {state.value}: {reason}")
