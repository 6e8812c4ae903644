"""The stages of a gateway's start in a fleet, and which may follow which."""

from __future__ import annotations

import logging
import time
from enum import IntEnum

from switchline import log_events
from switchline.service.audit_trail import RecordVersion, record_nothing

log = logging.getLogger(__name__)


class Stage(IntEnum):
    """The stage of a start; its number is the gauge `recovery.stage`."""

    QUERYING = 1  # asking for members, overrides and the newest list
    SPENDING = 2  # asking the nearest gateways for customers' spending
    WARMING_UP = 3  # clients are served as far as cold backends bear
    COMPLETE = 4

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
# SPENDING only where the own disk is lost or old, WARMING_UP only after a power loss of the whole fleet. Late
# evidence of such a loss brings a gateway that is complete back to WARMING_UP.
TRANSITIONS = {
    Stage.QUERYING: {Stage.SPENDING, Stage.WARMING_UP, Stage.COMPLETE},
    Stage.SPENDING: {Stage.WARMING_UP, Stage.COMPLETE},
    Stage.WARMING_UP: {Stage.COMPLETE},
    Stage.COMPLETE: {Stage.WARMING_UP},
}


class StageError(Exception):
    """A stage was to follow one that it can't follow."""


class StageTracker:
    """Owns the stage; logs and records each change of it."""

    def __init__(self, began_s: float) -> None:
        self.stage = Stage.QUERYING
        self.entered_at_s = began_s  # monotonic
        self.record: RecordVersion = record_nothing

    def enter(self, stage: Stage, why: str) -> None:
        """Go on to another stage; raises StageError where the table of transitions has no such step."""
        if stage not in TRANSITIONS[self.stage]:
            raise StageError(f"{stage.name} can't follow {self.stage.name}")
        self.stage = stage
        self.entered_at_s = time.monotonic()
        log.info(log_events.STAGE_ENTERED, stage.label, why)
        self.record("stage", "", stage.label, why)

    def skip(self) -> None:
        """Nothing is to be recovered: an older process hands over all it knows."""
        self.stage = Stage.COMPLETE

    def elapsed_s(self) -> float:
        """Since the last change."""
        return time.monotonic() - self.entered_at_s
