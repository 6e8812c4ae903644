"""What operators override by hand: disabled backends and zones, spared gateways, version floors."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

from switchline import log_events
from switchline.operators.calls import DeferredReply, Reply
from switchline.operators.overrides import OperatorOverrides, private_file
from switchline.service.audit_trail import AuditTrail
from switchline.service.optional_fleet import OptionalFleet
from switchline.service.parts import GatewayParts

if TYPE_CHECKING:
    from switchline.state.persistence import StatePersistence

log = logging.getLogger(__name__)

YES = Reply(200, "yes\n")

Persist = Callable[[str, str, bool, float], object]  # kind, name, whether it is set, since when


class OverrideKind(StrEnum):
    """What an override is about; the value names its rows on disk and its facts in the fleet."""

    BACKEND = "held-host"
    ZONE = "held-zone"
    SPARED_GATEWAY = "held-spare"
    VERSION_FLOOR = "held-floor"


@dataclass(frozen=True, slots=True)
class OverrideForm:
    """How a kind of overrides appears: its file in `$TMPDIR`, and its records in the audit."""

    file_name: str
    audit_kind: str
    set_version: str
    cleared_version: str


FORMS = {
    OverrideKind.BACKEND: OverrideForm("bans.json", "ban", "down", "up"),
    OverrideKind.ZONE: OverrideForm("zones.json", "zone ban", "down", "up"),
    OverrideKind.SPARED_GATEWAY: OverrideForm("spare.json", "spare", "set", "ended"),
    OverrideKind.VERSION_FLOOR: OverrideForm("floor.json", "floor", "set", "ended"),
}
LOCAL_KINDS = {OverrideKind.BACKEND, OverrideKind.ZONE}  # those that need no fleet


class OverrideSet:
    """Owns the overrides of each kind, and applies each change to the policy, the disk and the audit.

    Kinds that need a fleet exist if the configuration named one at the start.
    """

    def __init__(self, parts: GatewayParts, trail: AuditTrail) -> None:
        self.parts = parts
        self.trail = trail
        self.persist: Persist | None = None
        self.by_kind: dict[str, OperatorOverrides] = {}
        for kind, form in FORMS.items():
            if kind in LOCAL_KINDS or parts.config.fleet is not None:
                path = private_file(parts.config.name, form.file_name)
                changed = partial(self._on_changed, kind)
                self.by_kind[kind.value] = OperatorOverrides(path, parts.timers, changed)

    def get(self, kind: OverrideKind) -> OperatorOverrides | None:
        """The overrides of a kind; None where this gateway has none of it."""
        return self.by_kind.get(kind.value)

    def active_times_ms(self, kind: OverrideKind) -> dict[str, float]:
        """What is overridden now, and since when (Unix milliseconds)."""
        overrides = self.get(kind)
        return overrides.active if overrides is not None else {}

    def _on_changed(self, kind: OverrideKind, name: str, is_set: bool, since_ms: float) -> None:
        if kind is OverrideKind.BACKEND:
            self.parts.driver.override_backend(name, is_set, since_ms)
        elif kind is OverrideKind.ZONE:
            self.parts.driver.override_zone(name, is_set, since_ms)
        form = FORMS[kind]
        version = form.set_version if is_set else form.cleared_version
        self.trail.record(form.audit_kind, name, f"{version} {since_ms:.0f}", "by hand")
        if self.persist is not None:
            self.persist(kind.value, name, is_set, since_ms)


class OverrideCalls:
    """Answers operators' calls that set or clear an override, here or at all gateways of the fleet."""

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
        """Set or clear an override; where it is for the whole fleet, here first."""
        if whole_fleet and self.fleet.calls is None:
            return Reply(503, "there is no line to other gateways\n")
        answer = self._call_here(kind, is_set, name)
        return self._call_everywhere(answer, kind, is_set, name) if whole_fleet else answer

    async def _call_everywhere(
        self, answer: Reply | DeferredReply, kind: OverrideKind, is_set: bool, name: str
    ) -> Reply:
        here = answer if isinstance(answer, Reply) else await answer
        if here is not YES or self.fleet.calls is None:
            return here
        from switchline.fleet.fact_kinds import FLEET_WIDE

        return await self.fleet.calls.propagate(FLEET_WIDE[kind.value], name, is_set)

    def _call_here(self, kind: OverrideKind, is_set: bool, name: str) -> Reply | DeferredReply:
        overrides = self.overrides.get(kind)
        if overrides is None:
            return Reply(404, "no such path\n")
        if not (self._knows(kind, name) or name in overrides.active):
            return Reply(404, "no such name\n")
        if self.persistence is not None:
            return self._commit(self.persistence, kind, overrides, is_set, name)
        return self._set(overrides, is_set, name)

    def _knows(self, kind: OverrideKind, name: str) -> bool:
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

    def _set(self, overrides: OperatorOverrides, is_set: bool, name: str) -> Reply:
        try:
            overrides.set(name, is_set)
        except OSError as error:
            log.error(log_events.OVERRIDE_NOT_STORED, error)  # noqa: TRY400
            self.parts.descriptors.relieve(error)
            return Reply(503, "it could not be kept\n")
        return YES

    async def _commit(
        self,
        persistence: StatePersistence,
        kind: OverrideKind,
        overrides: OperatorOverrides,
        is_set: bool,
        name: str,
    ) -> Reply:
        """Answer yes once the override is on disk."""
        if not is_set and name not in overrides.active:
            return YES  # calls may be repeated
        if not await persistence.commit_override(kind.value, name, is_set):
            return Reply(503, "it could not be kept on disk\n")
        answer = self._set(overrides, is_set, name)
        if answer is not YES:
            persistence.revert_override(kind.value, name)
        return answer
