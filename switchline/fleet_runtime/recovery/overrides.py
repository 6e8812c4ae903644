"""Operators' overrides after a start: those that other gateways publish are adopted and kept up to date."""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping

from switchline import log_events
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.facts import Facts, StoredFact
from switchline.fleet.membership.members import Members
from switchline.fleet.outage import DOWNTIME_PUBLISHED_S
from switchline.operators.override_order import OverrideChange
from switchline.operators.overrides import OperatorOverrides

log = logging.getLogger(__name__)


class OverrideRecovery:
    """Adopts overrides from other gateways; which ones are adopted is a part of the overrides themselves.

    An adopted override that is set follows the newest fact about it. An override that operators set here
    holds until they clear it here or for the whole fleet, also over a restart: other gateways' own do not
    change it.
    """

    def __init__(self, overrides: Mapping[str, OperatorOverrides]) -> None:
        """`overrides` maps the kind of a fact to the overrides of this kind."""
        self.overrides = overrides
        self.adopted: set[tuple[str, str]] = set()  # kind and name of each one since the start, for the count
        # For each member: until when (monotonic) overrides that it brings from before its start are adopted.
        self._adopt_until_s: dict[str, float] = {}

    def adopt(self, node: ProtocolEndpoint, at_start: bool = False) -> None:
        """Adopt the overrides of other gateways, and follow the newest facts about those adopted earlier.

        With `at_start` all active overrides of other gateways are adopted. Later only those are that a newly
        seen member brings from before its start, by its own clock.
        """
        self._record_members(node.members)
        for kind, overrides in self.overrides.items():
            newer = self._newer_changes(kind, overrides, node.facts, at_start)
            if not newer:
                continue
            self.adopted |= {(kind, name) for name in newer}
            try:
                overrides.merge(newer, are_adopted=True)
            except OSError as error:
                log.warning(log_events.PEER_OVERRIDES_NOT_STORED, error)

    def _newer_changes(
        self, kind: str, overrides: OperatorOverrides, facts: Facts, at_start: bool
    ) -> dict[str, OverrideChange]:
        """Return, by name, the changes of overrides that are newer than what is known here."""
        newer: dict[str, OverrideChange] = {}
        now_s = time.monotonic()
        for (name, _), stored in facts.of_kind(kind).items():
            is_set = stored.entry.value == "down"
            is_due = at_start or self._is_from_new_member(stored, now_s)
            is_adopted_now = is_due and is_set and name not in overrides.active
            is_newer = stored.entry.at_ms > overrides.last_changed_ms(name)
            if is_newer and (name in overrides.adopted or is_adopted_now):
                newer[name] = OverrideChange(is_set, stored.entry.at_ms)
        return newer

    def _is_from_new_member(self, stored: StoredFact, now_s: float) -> bool:
        entry = stored.entry
        return entry.at_ms <= entry.incarnation[0] and now_s < self._adopt_until_s.get(entry.origin, 0.0)

    def _record_members(self, members: Members) -> None:
        """Record members seen for the first time, which could not be queried at this gateway's start."""
        until_s = time.monotonic() + DOWNTIME_PUBLISHED_S
        known = {name: at for name, at in self._adopt_until_s.items() if name in members.others}
        self._adopt_until_s = known | {name: until_s for name in members.present.keys() - known.keys()}
