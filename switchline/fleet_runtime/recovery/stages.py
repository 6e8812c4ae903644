"""The stages of a gateway's start in a fleet, and the transitions between them."""

from __future__ import annotations

import logging
import time
from enum import IntEnum

from switchline import log_events
from switchline.service.audit_trail import RecordVersion, record_nothing

log = logging.getLogger(__name__)


class Stage(IntEnum):
    """The stage of a start. Its number is the value of the gauge `recovery.stage`."""

    QUERYING = 1  # asking for members, overrides and the newest list
    SPENDING = 2  # asking the nearest gateways for customers' spending
    WARMING_UP = 3  # serving clients at the reduced rate that cold backends can take
    COMPLETE = 4  # serving clients without restriction

    @property
    def label(self) -> str:
        """The stage's name in the log, the audit and `GET /ops/fleet`."""
        return LABELS[self]


LABELS = {
    Stage.QUERYING: "facts",
    Stage.SPENDING: "spending",
    Stage.WARMING_UP: "cold",
    Stage.COMPLETE: "whole",
}
# SPENDING is entered only if the own disk is lost or old, WARMING_UP only after a power loss of the whole
# fleet. If evidence of such a loss arrives late, a gateway in COMPLETE goes back to WARMING_UP.
TRANSITIONS = {
    Stage.QUERYING: {Stage.SPENDING, Stage.WARMING_UP, Stage.COMPLETE},
    Stage.SPENDING: {Stage.WARMING_UP, Stage.COMPLETE},
    Stage.WARMING_UP: {Stage.COMPLETE},
    Stage.COMPLETE: {Stage.WARMING_UP},
}


class StageError(Exception):
    """A transition between two stages is not allowed."""


class StageTracker:
    """Owns the current stage, and logs and records each change of it."""

    def __init__(self, began_s: float) -> None:
        self.stage = Stage.QUERYING
        self.entered_at_s = began_s  # monotonic time
        self.record: RecordVersion = record_nothing

    def enter(self, stage: Stage, why: str) -> None:
        """Enter another stage; raises StageError if `TRANSITIONS` does not allow it."""
        if stage not in TRANSITIONS[self.stage]:
            raise StageError(f"{stage.name} can't follow the stage {self.stage.name}")
        self.stage = stage
        self.entered_at_s = time.monotonic()
        log.info(log_events.STAGE_ENTERED, stage.label, why)
        self.record("stage", "", stage.label, why)

    def skip(self) -> None:
        """Set the stage to COMPLETE, as an older process hands over all its state."""
        self.stage = Stage.COMPLETE

    def elapsed_s(self) -> float:
        """Return the seconds since the last change of the stage."""
        return time.monotonic() - self.entered_at_s
