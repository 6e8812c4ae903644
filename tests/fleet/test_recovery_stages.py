"""The stages of a start in a fleet: which may follow which, and how staff see them."""

from __future__ import annotations

import pytest

from switchline.fleet_runtime.recovery.stages import TRANSITIONS, Stage, StageError, StageTracker

STEPS = [(before, after) for before in Stage for after in Stage]


def test_a_stage_outside_the_table_is_not_entered() -> None:
    for before, after in STEPS:
        tracker = StageTracker(0.0)
        tracker.stage = before
        if after in TRANSITIONS[before]:
            tracker.enter(after, "as the table says")
            assert tracker.stage is after
        else:
            with pytest.raises(StageError):
                tracker.enter(after, "not in the table")
            assert tracker.stage is before


def test_each_stage_leads_to_the_last_one() -> None:
    assert all(Stage.COMPLETE in TRANSITIONS[stage] for stage in Stage if stage is not Stage.COMPLETE)


def test_staff_see_the_stages_by_their_numbers_and_labels() -> None:
    assert [(int(stage), stage.label) for stage in Stage] == [
        (1, "facts"),
        (2, "spending"),
        (3, "cold"),
        (4, "whole"),
    ]
