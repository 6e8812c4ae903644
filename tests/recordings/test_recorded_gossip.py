"""Gateways that gossip send the same bytes at the same times as they did at commit 2f3358c.

One scene on a hand-set clock: nine gateways in three zones. The backends of one zone stop answering and
return; then a tenth of the messages is lost and a tenth duplicated, one process is paused, one is removed,
and another is cut off. The recording holds a hash of each frame, and for one gateway each event of its policy
with all actions, among them the directives of the fleet.
"""

from __future__ import annotations

import hashlib
import lzma
from collections.abc import Iterator

import linked_fleet
import neutral_form
import pytest
from test_recorded_decisions import RECORDED

from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.membership.member import Address
from testbed.network.fleet_link import Net, address_of

RECORDING = RECORDED / "gossip.jsonl.xz"
HASH_BYTES = 4


class RecordingNet(Net):
    """A network that records each frame that is sent, and each exchange that begins."""

    frames: list[list[object]] = []

    def push(self, at: float, to: Address, frame: bytes | None, source: Address) -> None:
        if frame is not None:
            digest = hashlib.blake2b(frame, digest_size=HASH_BYTES).hexdigest()
            self.frames.append([at, source[0], to[0], len(frame), digest])
        super().push(at, to, frame, source)

    def exchange(self, source: Address, node: ProtocolEndpoint, to: Address) -> None:
        self.frames.append([self.now, source[0], to[0], "exchange"])
        super().exchange(source, node, to)


def play_scene(monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """Yield the scene as lines of its recording: all frames in order, then the first gateway's decisions."""
    monkeypatch.setattr(RecordingNet, "frames", [])
    monkeypatch.setattr(linked_fleet, "Net", RecordingNet)
    fleet = linked_fleet.LinkedFleet({"a": 4, "b": 4, "c": 4}, 9, own=lambda index: "abc"[index % 3], seed=7)
    fleet.run(2_000, gap=80)
    fleet.mode["b"] = "silent"
    fleet.run(3_500, gap=80)
    fleet.mode.clear()
    fleet.run(9_000, gap=120)
    fleet.net.loss = fleet.net.duplicate = 0.1
    fleet.net.stop(4, 1.5)
    fleet.run(2_500, gap=120)
    fleet.net.remove(8)
    fleet.net.cut = lambda source, to: address_of(5) in (source, to)
    fleet.run(5_000, gap=120)
    for frame in fleet.net.frames:  # type: ignore[attr-defined]
        yield neutral_form.line(frame)
    for at_ms, event, actions in fleet.events:
        encoded_actions = [neutral_form.encode_action(action) for action in actions]
        yield neutral_form.line(
            {"at_ms": at_ms, "event": neutral_form.encode_event(event), "actions": encoded_actions}
        )


def test_a_fleet_sends_the_recorded_frames_and_follows_the_recorded_directives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with lzma.open(RECORDING, "rt", encoding="utf-8") as recording:
        recorded = recording.read().splitlines()
    played = list(play_scene(monkeypatch))
    for number, (line, before) in enumerate(zip(played, recorded, strict=False), 1):
        assert line == before, f"line {number}"
    assert len(played) == len(recorded) > 4_000
    assert sum('"event":"zone_directive"' in line for line in recorded) > 5
