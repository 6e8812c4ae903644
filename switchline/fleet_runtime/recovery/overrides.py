"""Operator overrides after a start: those that other gateways publish are adopted, and followed."""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping

from switchline import log_events
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.facts import Facts, StoredFact
from switchline.fleet.membership.members import Members
from switchline.fleet.outage import DOWNTIME_PUBLISHED_S
from switchline.operators.overrides import OperatorOverrides, OverrideChange

log = logging.getLogger(__name__)


class OverrideRecovery:
    """Owns which overrides came from other gateways.

    These follow the newest fact about them; an override called for here alone stays this gateway's own.
    """

    def __init__(self, overrides: Mapping[str, OperatorOverrides]) -> None:
        """`overrides` by the kind of their facts."""
        self.overrides = overrides
        self.adopted: set[tuple[str, str]] = set()  # kind and name
        # Members first seen in this incarnation: until when an override from before their start is adopted.
        self._observed_until_s: dict[str, float] = {}

    def adopt(self, node: ProtocolEndpoint, at_start: bool = False) -> None:
        """Follow the newest facts on what came from others.

        `at_start`: adopt all that is overridden elsewhere. What a member that is first seen later brings from
        before its start (by its own clock) is adopted too.
        """
        self._note_members(node.members)
        for kind, overrides in self.overrides.items():
            newer = self._newer(kind, overrides, node.facts, at_start)
            if not newer:
                continue
            self.adopted |= {(kind, name) for name in newer}
            try:
                overrides.merge(newer)
            except OSError as error:
                log.warning(log_events.PEER_OVERRIDES_NOT_STORED, error)

    def _newer(
        self, kind: str, overrides: OperatorOverrides, facts: Facts, at_start: bool
    ) -> dict[str, OverrideChange]:
        """The facts that are newer than what is known here, by name."""
        newer: dict[str, OverrideChange] = {}
        now_s = time.monotonic()
        for (name, _), held in facts.of_kind(kind).items():
            is_set = held.entry.value == "down"
            is_due = at_start or self._arrived_late(held, now_s)
            is_adopted = is_due and (is_set or name in overrides.active)
            if ((kind, name) in self.adopted or is_adopted) and held.entry.at_ms > overrides.last_changed_ms(
                name
            ):
                newer[name] = OverrideChange(is_set, held.entry.at_ms)
        return newer

    def _arrived_late(self, held: StoredFact, now_s: float) -> bool:
        entry = held.entry
        return entry.at_ms <= entry.incarnation[0] and now_s < self._observed_until_s.get(entry.origin, 0.0)

    def _note_members(self, members: Members) -> None:
        """A member that is seen for the first time was not there to be queried at this gateway's start."""
        until_s = time.monotonic() + DOWNTIME_PUBLISHED_S
        known = {name: at for name, at in self._observed_until_s.items() if name in members.others}
        self._observed_until_s = known | {name: until_s for name in members.present.keys() - known.keys()}
