"""The backends of the endpoint list, operators' overrides, and the subset that this gateway uses."""

from __future__ import annotations

from switchline.policy import interface as api
from switchline.policy.backends.backend import Backend
from switchline.policy.backends.subset import choose_subset
from switchline.policy.backends.zones import Zones

# Attempts in flight for each backend, over all gateways, that are allowed whatever the load.
FREE_IN_FLIGHT_PER_BACKEND = 3.0


class BackendTable:
    """Holds the backends, the numbers of those that operators disabled, and the subset.

    Attributes:
        by_id: The backends by number.
        disabled: Numbers of the backends that operators disabled.
        subset: Backends that this gateway uses.
        free_in_flight: Number of attempts that this gateway may have in flight whatever the load.
    """

    def __init__(self, settings: api.Settings, zones: Zones) -> None:
        self.by_id: dict[int, Backend] = {}
        self.disabled: set[int] = set()
        self.subset: list[Backend] = []
        self.free_in_flight = 0.0
        self._settings = settings
        self._zones = zones
        # When operators enabled backends again, in milliseconds, by number; only of those still warming up.
        self._enabled_ms: dict[int, float] = {}

    def is_usable(self, backend: Backend) -> bool:
        """Return whether the endpoint list and the operators' overrides allow work at a backend."""
        return (
            backend.is_ready and backend.id not in self.disabled and backend.zone not in self._zones.disabled
        )

    def warm_ratio(self, now: float) -> float:
        """Return the ratio of the subset's capacity that its backends certainly have, up to 1."""
        return sum(backend.warm_ratio(now) for backend in self.subset) / max(1, len(self.subset))

    def on_backends_changed(self, now: float, event: api.BackendsChanged, actions: api.Actions) -> None:
        """Apply the endpoint list or its changes.

        After a failed poll the old list stays, and a timer asks for the next poll.
        """
        if event.scope is api.ListScope.FAILED:
            delay_ms = self._settings.rules.drain_grace_ms
            actions.append(api.SetTimer(delay_ms, api.Timer(api.TimerPurpose.ENDPOINT_LIST)))
            return
        if event.scope is not api.ListScope.CHANGES:
            listed = {entry.backend for entry in event.entries}
            self.by_id = {number: backend for number, backend in self.by_id.items() if number in listed}
        for entry in event.entries:
            self._update(now, entry, event.previous_valid_until_ms)
        self.update_subset(now)

    def on_overridden(self, now: float, event: api.BackendOverridden, _: api.Actions) -> None:
        """Apply an operator's override of a backend: it overrides the list until it is revoked."""
        cold_since_ms = now - self._settings.rules.warm_up_ms
        self._enabled_ms = {number: at for number, at in self._enabled_ms.items() if at > cold_since_ms}
        if event.disabled:
            self.disabled.add(event.backend)
            self._enabled_ms.pop(event.backend, None)
        else:
            self.disabled.discard(event.backend)
            self._enabled_ms[event.backend] = event.overridden_at_ms
            backend = self.by_id.get(event.backend)
            if backend:
                backend.enable(now, event.overridden_at_ms)
        self.update_subset(now)

    def on_zone_overridden(self, now: float, event: api.ZoneOverridden, _: api.Actions) -> None:
        """Apply an operator's override of a zone; all backends of a zone that is enabled again are cold."""
        self._zones.override(now, event.zone, event.disabled)
        for backend in self.by_id.values():
            if backend.zone == event.zone and not event.disabled:
                self._enabled_ms[backend.id] = event.overridden_at_ms
                backend.enable(now, event.overridden_at_ms)
        self.update_subset(now)

    def on_outage(self, now: float, event: api.FleetOutage) -> None:
        """Treat backends as restarted after a power loss of the whole fleet.

        The backends may have lost power too, whatever start times an old list shows.
        """
        for backend in self.by_id.values():
            if backend.started_ms < event.earliest_power_loss_ms:
                backend.enable(now, event.recovered_at_ms, is_estimated=True)

    def update_subset(self, now: float) -> None:
        """Choose the subset again, and pass the backends to the zones."""
        settings = self._settings
        self.free_in_flight = FREE_IN_FLIGHT_PER_BACKEND * len(self.by_id) / max(1, settings.gateways)
        backends = list(self.by_id.values())
        self._zones.update_backends(
            now, [(backend.id, backend.zone, self.is_usable(backend)) for backend in backends]
        )
        usable = [backend for backend in backends if self.is_usable(backend)]
        self.subset = choose_subset(usable, settings.index, settings.gateways, self._zones.is_multi_zone)

    def _update(self, now: float, entry: api.BackendEntry, previous_valid_until_ms: float) -> None:
        if entry.state is api.BackendState.GONE:
            self.by_id.pop(entry.backend, None)
            return
        backend = self.by_id.get(entry.backend)
        if backend is not None:
            is_restarted = entry.started_ms != backend.started_ms
            if is_restarted:
                self._zones.forget_backend(backend.id, backend.zone)
            backend.update(entry)
            if is_restarted:
                backend.on_new_process(now, previous_valid_until_ms)
            return
        backend = self.by_id[entry.backend] = Backend(entry, self._settings.rules)
        backend.on_new_process(now, previous_valid_until_ms)
        if entry.backend in self._enabled_ms:
            backend.enable(now, self._enabled_ms[entry.backend])
