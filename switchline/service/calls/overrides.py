"""Operators' overrides: disabled backends and zones, gateways exempt from quarantine, version floors."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

from switchline import log_events
from switchline.clock import now_ms
from switchline.operators.calls import DeferredReply, Reply
from switchline.operators.override_order import OverrideChange
from switchline.operators.overrides import OperatorOverrides
from switchline.private_files import private_file
from switchline.service.audit_trail import AuditTrail
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts

if TYPE_CHECKING:
    from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

YES = Reply(200, "yes\n")

# Stores an override. Takes its kind, its name, whether it is set, and when it changed (Unix milliseconds).
Persist = Callable[[str, str, bool, float], object]


class OverrideKind(StrEnum):
    """What an override applies to; the value names its rows on disk and its facts in the fleet."""

    BACKEND = "held-host"
    ZONE = "held-zone"
    SPARED_GATEWAY = "held-spare"
    VERSION_FLOOR = "held-floor"


@dataclass(frozen=True, slots=True)
class OverrideForm:
    """How a kind of overrides is written.

    Attributes:
        file_name: The suffix of its file in `$TMPDIR`.
        audit_kind: The kind of its records in the audit.
        set_version: The version in the audit of an override that is set.
        cleared_version: The version in the audit of an override that is cleared.
    """

    file_name: str
    audit_kind: str
    set_version: str
    cleared_version: str


OVERRIDE_FORMS = {
    OverrideKind.BACKEND: OverrideForm("bans.json", "ban", "down", "up"),
    OverrideKind.ZONE: OverrideForm("zones.json", "zone ban", "down", "up"),
    OverrideKind.SPARED_GATEWAY: OverrideForm("spare.json", "spare", "set", "ended"),
    OverrideKind.VERSION_FLOOR: OverrideForm("floor.json", "floor", "set", "ended"),
}
LOCAL_KINDS = {OverrideKind.BACKEND, OverrideKind.ZONE}  # kinds that exist without a fleet too


class OverrideSet:
    """Owns the overrides of each kind, and applies each change to the policy, the disk and the audit.

    Kinds that need a fleet exist only if the configuration named one at the start.

    Attributes:
        persist: Stores each change on disk; None without a state on disk.
        by_kind: The overrides by the value of their kind.
    """

    def __init__(self, parts: GatewayParts, trail: AuditTrail) -> None:
        self.parts = parts
        self.trail = trail
        self.persist: Persist | None = None
        self.by_kind: dict[str, OperatorOverrides] = {}
        for kind, form in OVERRIDE_FORMS.items():
            if kind in LOCAL_KINDS or parts.config.fleet is not None:
                path = private_file(parts.config.name, form.file_name)
                changed = partial(self._on_changed, kind)
                self.by_kind[kind.value] = OperatorOverrides(path, parts.timers, changed)

    def get(self, kind: OverrideKind) -> OperatorOverrides | None:
        """Return the overrides of a kind; None if this gateway does not have the kind."""
        return self.by_kind.get(kind.value)

    def active_times_ms(self, kind: OverrideKind) -> dict[str, float]:
        """Return when each active override of a kind was set (Unix milliseconds), by name."""
        overrides = self.get(kind)
        return overrides.active if overrides is not None else {}

    def _on_changed(self, kind: OverrideKind, name: str, is_set: bool, changed_at_ms: float) -> None:
        """Apply a changed override to the policy, and record it in the audit and on disk."""
        effective_at_ms = min(changed_at_ms, now_ms())  # the clock of another gateway may be ahead
        if kind is OverrideKind.BACKEND:
            self.parts.driver.override_backend(name, is_set, effective_at_ms)
        elif kind is OverrideKind.ZONE:
            self.parts.driver.override_zone(name, is_set, effective_at_ms)
        form = OVERRIDE_FORMS[kind]
        version = form.set_version if is_set else form.cleared_version
        self.trail.record(form.audit_kind, name, f"{version} {changed_at_ms:.0f}", "by hand")
        if self.persist is not None:
            self.persist(kind.value, name, is_set, changed_at_ms)


class OverrideCalls:
    """Answers operators' calls that set or clear an override, at this gateway or at all of the fleet."""

    def __init__(
        self,
        parts: GatewayParts,
        overrides: OverrideSet,
        persistence: StatePersistence | None,
        fleet: OptionalFleet,
    ) -> None:
        self.parts = parts
        self.overrides = overrides
        self.persistence = persistence
        self.fleet = fleet

    def call(self, kind: OverrideKind, is_set: bool, name: str, whole_fleet: bool) -> Reply | DeferredReply:
        """Set or clear an override; one for the whole fleet is applied at this gateway first."""
        if whole_fleet and self.fleet.calls is None:
            return Reply(503, "there is no line to other gateways\n")
        change = OverrideChange(is_set, self._next_change_ms(kind, name))
        reply = self._call_here(kind, name, change, whole_fleet)
        return self._call_fleet(reply, kind, name, change) if whole_fleet else reply

    def _next_change_ms(self, kind: OverrideKind, name: str) -> float:
        """Return the time of a new change (Unix milliseconds), later than those known of any gateway."""
        calls = self.fleet.calls
        overrides = self.overrides.get(kind)
        if calls is None or overrides is None:
            return now_ms()
        from switchline.fleet.fact_kinds import FLEET_WIDE

        return calls.next_change_ms(FLEET_WIDE[kind.value], name)

    async def _call_fleet(
        self, reply: Reply | DeferredReply, kind: OverrideKind, name: str, change: OverrideChange
    ) -> Reply:
        """Publish a call to the other gateways once this gateway's own reply is yes."""
        local_reply = reply if isinstance(reply, Reply) else await reply
        if local_reply is not YES or self.fleet.calls is None:
            return local_reply
        from switchline.fleet.fact_kinds import FLEET_WIDE

        return await self.fleet.calls.propagate(FLEET_WIDE[kind.value], name, change.active, change.at_ms)

    def _call_here(
        self, kind: OverrideKind, name: str, change: OverrideChange, whole_fleet: bool
    ) -> Reply | DeferredReply:
        """Set or clear an override at this gateway; 404 for a kind or a name that it does not know."""
        overrides = self.overrides.get(kind)
        if overrides is None:
            return Reply(404, "no such path\n")
        if not (self._is_known(kind, name) or name in overrides.active):
            return Reply(404, "no such name\n")
        if self.persistence is not None:
            return self._commit(self.persistence, kind, name, change, whole_fleet)
        return self._set(kind, name, change, whole_fleet)

    def _is_known(self, kind: OverrideKind, name: str) -> bool:
        """Whether an override of this kind can apply to the name."""
        match kind:
            case OverrideKind.BACKEND:
                return self.parts.driver.knows_backend(name)
            case OverrideKind.ZONE:
                return self.parts.driver.knows_zone(name)
            case OverrideKind.SPARED_GATEWAY:
                return self.fleet.is_known_member(name)
            case OverrideKind.VERSION_FLOOR:
                from switchline.fleet.versions.staleness import parse_floors

                return bool(parse_floors([name]))

    def _set(self, kind: OverrideKind, name: str, change: OverrideChange, whole_fleet: bool) -> Reply:
        try:
            self.overrides.by_kind[kind.value].set(name, change.active, change.at_ms, renew=whole_fleet)
        except OSError as error:
            log.error(log_events.OVERRIDE_NOT_STORED, error)  # noqa: TRY400
            self.parts.descriptors.handle_shortage(error)
            return Reply(503, "it could not be kept\n")
        self._withdraw_acknowledgement(kind, name)
        return YES

    def _withdraw_acknowledgement(self, kind: OverrideKind, name: str) -> None:
        """Tell the other gateways if a call for the whole fleet is not in force here any more."""
        if self.fleet.calls is not None:
            from switchline.fleet.fact_kinds import FLEET_WIDE

            self.fleet.calls.on_changed_here(FLEET_WIDE[kind.value], name)

    async def _commit(
        self,
        persistence: StatePersistence,
        kind: OverrideKind,
        name: str,
        change: OverrideChange,
        whole_fleet: bool,
    ) -> Reply:
        """Set or clear an override that is stored on disk; answer yes only once it is on disk."""
        overrides = self.overrides.by_kind[kind.value]
        if not change.active and name not in overrides.active:
            return YES  # an operator may repeat a call
        if not await persistence.commit_override(kind.value, name, change.active, change.at_ms):
            return Reply(503, "it could not be kept on disk\n")
        reply = self._set(kind, name, change, whole_fleet)
        if reply is not YES:
            persistence.revert_override(kind.value, name)
        return reply
