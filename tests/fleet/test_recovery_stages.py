"""The stages of a start in a fleet: their allowed transitions, and their numbers and labels."""

from __future__ import annotations

import pytest

from switchline.fleet_runtime.recovery.stages import TRANSITIONS, Stage, StageError, StageTracker

STAGE_PAIRS = [(before, after) for before in Stage for after in Stage]


def test_a_transition_outside_the_table_raises_and_keeps_the_stage() -> None:
    for before, after in STAGE_PAIRS:
        tracker = StageTracker(0.0)
        tracker.stage = before
        if after in TRANSITIONS[before]:
            tracker.enter(after, "as the table says")
            assert tracker.stage is after
        else:
            with pytest.raises(StageError):
                tracker.enter(after, "not in the table")
            assert tracker.stage is before


def test_every_stage_can_be_followed_by_the_last_one() -> None:
    assert all(Stage.COMPLETE in TRANSITIONS[stage] for stage in Stage if stage is not Stage.COMPLETE)


def test_stages_have_their_published_numbers_and_labels() -> None:
    assert [(int(stage), stage.label) for stage in Stage] == [
        (1, "facts"),
        (2, "spending"),
        (3, "cold"),
        (4, "whole"),
    ]
