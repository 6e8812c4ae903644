"""Data that the program at commit 2f3358c stored or sent is read as that program read it.

`tests/recorded/stored/` holds what one gateway of that program left: its state folder after a drain and after
a kill, the files of what operators had disabled, its audit, and the bytes of one hand-over between two of its
processes. `read_by_2f3358c.json` holds what the same program read there. The decisions of its policy on the
records are in the scenes `stored_*`, which `test_recorded_decisions.py` replays.
"""

from __future__ import annotations

import asyncio
import json
import lzma
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest
from operator_calls import stats
from test_recorded_decisions import RECORDED, lines

from switchline import clock
from switchline.audit import sources
from switchline.audit.segments import Segments, segment_paths
from switchline.operators.overrides import OperatorOverrides
from switchline.state.storage import StateStorage
from switchline.upgrade.handover import HandoverEvents, UpgradeHandover
from testbed.network.sockets import until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, running

STORED = RECORDED / "stored"
READ: dict[str, Any] = json.loads((STORED / "read_by_2f3358c.json").read_text())
GATEWAY_NAME = "n0"
STATE_FOLDERS = ["state_after_drain", "state_after_kill"]
OVERRIDES = ["roadpulley-n0-bans.json", "roadpulley-n0-zones.json"]
FLEET_OVERRIDES = ["roadpulley-n0-spare.json", "roadpulley-n0-floor.json"]
HANDOVER = STORED / "handover"


def unpack(state_folder: str, folder: Path) -> Path:
    folder.mkdir()
    for packed in (STORED / state_folder).glob("*.xz"):
        (folder / packed.stem).write_bytes(lzma.decompress(packed.read_bytes()))
    return folder


# ---- state on disk ----


@pytest.mark.parametrize("state_folder", STATE_FOLDERS)
def test_a_state_folder_is_read_complete(state_folder: str, tmp_path: Path) -> None:
    expected = READ[state_folder]
    storage = StateStorage(
        unpack(state_folder, tmp_path / "state"), GATEWAY_NAME, lambda: expected["read_at_ms"]
    )
    try:
        storage.lock(0)
        saved = storage.open(fresh=False)
    finally:
        storage.close()
    assert [[record.kind, record.name, record.at_ms, record.value] for record in saved.records] == expected[
        "rows"
    ]
    assert len(saved.records) >= 13
    assert saved.last_alive_ms == expected["last_written_ms"]
    assert list(saved.start_times_ms) == expected["restarts_ms"]
    assert saved.dropped == expected["dropped"] == 0


@pytest.mark.parametrize("state_folder", STATE_FOLDERS)
def test_the_replayed_scene_restores_the_records_of_the_folder(state_folder: str) -> None:
    kinds = ("customer", "backend", "gateway")
    stored = [
        [values, at]
        for kind in kinds
        for record_kind, _, at, values in READ[state_folder]["rows"]
        if record_kind == kind
    ]
    events = [line["event"] for line in lines(f"stored_{state_folder}") if "event" in line]
    restored = [event for event in events if event["event"] == "record_restored"]
    assert [[event["record"], event["written_at_ms"]] for event in restored] == stored
    assert all("refused" not in line for line in lines(f"stored_{state_folder}"))


class GatewayOnStoredState(World):
    """The gateway that stored the folder, started on it with no endpoint list but the stored one."""

    def __init__(self, folder: Path, *backends: Backend) -> None:
        super().__init__(*backends)
        self.folder = folder

    def config(self) -> dict[str, Any]:
        return {**super().config(), **READ["gateway"], "state": str(self.folder), "known": {}}


@pytest.mark.parametrize("state_folder", STATE_FOLDERS)
def test_a_gateway_starts_on_the_stored_files(
    state_folder: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    expected = READ[state_folder]
    later_ms = expected["read_at_ms"] - clock.now_ms()
    monkeypatch.setattr(clock, "_OFFSET_MS", clock._OFFSET_MS + later_ms)
    for name in OVERRIDES + FLEET_OVERRIDES:
        shutil.copy(STORED / "overrides" / name, tmp_path / name)
    folder = unpack(state_folder, tmp_path / "state")

    async def scenario() -> None:
        async with running(GatewayOnStoredState(folder, Backend(), Backend(), Backend())) as world:
            figures = await stats(world)
            assert {name: figures[name] for name in expected["after_start"]} == expected["after_start"]

    in_loop(scenario)


# ---- what operators disabled ----


@pytest.mark.parametrize("name", OVERRIDES + FLEET_OVERRIDES)
def test_a_stored_override_file_gives_the_recorded_overrides(name: str, tmp_path: Path) -> None:
    changes: list[list[object]] = []
    shutil.copy(STORED / "overrides" / name, tmp_path / name)

    async def scenario() -> None:
        timers = clock.Timers(asyncio.get_running_loop())
        OperatorOverrides(tmp_path / name, timers, lambda *change: changes.append(list(change)))

    in_loop(scenario)
    assert changes == READ["overrides"][name] != []


# ---- the audit ----


def test_the_audit_is_read_and_continued(tmp_path: Path) -> None:
    number, checksum = READ["audit"]["head"]
    folder = Path(shutil.copytree(STORED / "audit", tmp_path / "audit"))
    source = sources.read_folder(folder)
    assert source.name == GATEWAY_NAME and not source.findings
    assert json.loads(msgspec.json.encode(source.records)) == READ["audit"]["records"]
    assert len(source.records) == number > 20
    before = segment_paths(folder)[0].read_bytes()
    segments = Segments(folder, GATEWAY_NAME)
    assert (segments.head.number, segments.head.digest, segments.bytes_cut) == (number, checksum, 0)
    segments.add(source.records[-1])
    segments.close()
    assert segment_paths(folder)[0].read_bytes().startswith(before)
    assert not sources.read_folder(folder).findings


# ---- a hand-over between two processes ----


class HandoverRecorder:
    """Records the calls of a hand-over, in order."""

    def __init__(self, path: Path) -> None:
        self.messages: list[list[Any]] = []
        self.calls: list[str] = []
        self.descriptors: list[int] = []
        events = HandoverEvents(
            peer_joined=lambda: self.calls.append("joined"),
            record_received=self.messages.append,
            peer_serving=lambda: self.calls.append("serving"),
            peer_left=lambda: self.calls.append("left"),
            descriptors_reported=self.descriptors.append,
            request_sent=lambda request: self.calls.append(f"sent {request}"),
        )
        self.handover = UpgradeHandover(path, events)


def sent(name: str) -> list[list[Any]]:
    return [json.loads(line) for line in (HANDOVER / name).read_text().splitlines()]


def records(messages: list[list[Any]]) -> list[list[Any]]:
    """Return the messages that hold records for the policy."""
    return [message for message in messages if message[0] not in ("told", "serving", "holds")]


def test_the_bytes_of_an_old_process_are_taken_over(tmp_path: Path) -> None:
    path, messages = tmp_path / "beside.sock", sent("from_old_process.jsonl")
    recorder = HandoverRecorder(path)

    async def old_process(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write((HANDOVER / "from_old_process.jsonl").read_bytes())
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_unix_server(old_process, path)
        await recorder.handover.take_over()
        await until(lambda: "left" in recorder.calls)
        server.close()

    in_loop(scenario)
    assert recorder.handover.state_received.is_set()
    assert recorder.messages == records(messages) and len(recorder.messages) >= 9
    assert recorder.descriptors == [message[1] for message in messages if message[0] == "holds"] != []


def test_the_bytes_of_a_new_process_are_understood(tmp_path: Path) -> None:
    path, messages = tmp_path / "beside.sock", sent("from_new_process.jsonl")
    recorder = HandoverRecorder(path)
    answered: list[bytes] = []

    async def scenario() -> None:
        await recorder.handover.listen()
        reader, writer = await asyncio.open_unix_connection(path)
        answered.append(await reader.readline())
        writer.write((HANDOVER / "from_new_process.jsonl").read_bytes())
        writer.close()
        await until(lambda: "left" in recorder.calls)
        recorder.handover.close()

    in_loop(scenario)
    assert answered == [b'["told"]\n']
    assert recorder.calls == ["joined", "serving", "left"]
    assert recorder.messages == records(messages) and len(recorder.messages) >= 9


def test_the_replayed_scene_gives_the_messages_of_both_processes() -> None:
    events = [line for line in lines("stored_handover") if "event" in line]
    for process, name in (("p0", "from_old_process.jsonl"), ("p1", "from_new_process.jsonl")):
        process_events = [line["event"] for line in events if line["process"] == process]
        replayed = [event["record"] for event in process_events if event["event"] == "peer_process_message"]
        assert replayed == records(sent(name))
