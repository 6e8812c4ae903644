"""The policy gives the same actions for the same events as it did when they were recorded.

The events are those of commit 2f3358c. The actions are of that commit too, except where a plan has a ceiling:
these scenes were recorded again after review case 10 (`record_again.py`).

Each recording in `tests/recorded/` is a scene of one or more gateway processes on a hand-set clock: a line
for the start of a process with its settings and seed, a line for each event with all its actions, and a line
for the end of a process; some hold a status, as operators and other gateways see it. The names in them are
mapped to the present program by `tests/neutral_form.py` alone.
"""

from __future__ import annotations

import json
import lzma
import typing
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import neutral_form
import pytest
from neutral_form import Neutral

from switchline.policy import interface as api
from switchline.policy.gateway import Gateway

RECORDED = Path(__file__).parents[1] / "recorded"
SCENES = ["zones", "quotas", "durable_state", "upgrade", "power_loss", "streamed_requests", "large_fleet"]
# Scenes in which a new gateway gets the records of `tests/recorded/stored/`.
STORED_SCENES = ["stored_state_after_drain", "stored_state_after_kill", "stored_handover"]
OUTCOME_NAMES = ("actions", "refused", "status")
# Errors by which the policy refuses a record that is not valid; the driver handles them.
REFUSAL = (ValueError, TypeError, OverflowError)


def lines(scene: str) -> Iterator[Neutral]:
    with lzma.open(RECORDED / f"{scene}.jsonl.xz", "rt", encoding="utf-8") as recording:
        for text in recording:
            yield json.loads(text)


def deletes_backend_record(action: Neutral) -> bool:
    return action["action"] == "persist_record" and action["record"][:2] == ["forget", "backend"]


def comparable(outcome: Neutral) -> str:
    """Return an outcome as text in which 1 differs from 1.0 and every bit of a float counts.

    Records that delete several backends at once come in the order of a set of strings, which differs between
    runs of the interpreter. Only these records are sorted; their serial numbers keep their places.
    """
    actions = outcome.get("actions", [])
    records = iter(sorted(action["record"] for action in actions if deletes_backend_record(action)))
    ordered = [
        {**action, "record": next(records)} if deletes_backend_record(action) else action
        for action in actions
    ]
    return neutral_form.line({**outcome, "actions": ordered})


def handle_line(gateway: Gateway, line: Neutral) -> Neutral:
    """Pass the event of a line to a gateway, and return the outcome in the form of the recording."""
    event = neutral_form.decode_event(line["event"])
    try:
        actions = gateway.handle(line["at_ms"], event)
    except REFUSAL:
        return {"refused": True}
    return {"actions": [neutral_form.encode_action(action) for action in actions]}


def replay(scene: str) -> Iterator[tuple[Neutral, Neutral]]:
    """Yield each line of a recording, and what the present policy gives for it: a status, or an outcome."""
    gateways: dict[str, Gateway] = {}
    for line in lines(scene):
        process = line["process"]
        replayed: Neutral = {}
        if "settings" in line:
            gateways[process] = Gateway(neutral_form.decode_settings(line["settings"]), line["seed"])
        elif "ended" in line:
            del gateways[process]
        elif "status" in line:
            replayed = {"status": neutral_form.encode_status(gateways[process], line["at_ms"])}
        else:
            replayed = handle_line(gateways[process], line)
        yield line, replayed


@pytest.mark.parametrize("scene", SCENES + STORED_SCENES)
def test_each_event_of_a_recording_gives_the_recorded_actions(scene: str) -> None:
    for number, (line, replayed) in enumerate(replay(scene), 1):
        recorded = {name: line[name] for name in OUTCOME_NAMES if name in line}
        assert comparable(replayed) == comparable(recorded), f"{scene}, line {number}: {line}"


def test_the_recordings_hold_every_event_and_action() -> None:
    seen: Counter[str] = Counter()
    for scene in SCENES:
        for line in lines(scene):
            seen.update([line["event"]["event"]] if "event" in line else [])
            seen.update(action["action"] for action in line.get("actions", ()))
            seen.update(["refused"] if "refused" in line else [])
    assert seen.keys() == neutral_form.EVENTS.keys() | neutral_form.ACTIONS.keys() | {"refused"}
    assert sum(seen[name] for name in neutral_form.EVENTS) > 10_000


def test_the_neutral_form_maps_every_class_and_field() -> None:
    assert not neutral_form.unmapped_fields()
    assert set(neutral_form.EVENT_NAMES) == set(typing.get_args(api.Event))
    assert set(neutral_form.ACTION_NAMES) == set(typing.get_args(api.Action))
    assert set(neutral_form.OUTCOMES.values()) == set(api.Outcome)


def test_events_come_back_from_the_neutral_form_as_they_were() -> None:
    for line in lines("zones"):
        if "event" in line:
            event = neutral_form.decode_event(line["event"])
            assert neutral_form.line(neutral_form.encode_event(event)) == neutral_form.line(line["event"])
