"""A gateway with a folder for its state: what it comes back with, and what faults leave of its service."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from gateway_process import connect, start
from operator_calls import call, stats
from upgrade_site import Site, site

from switchline.config import ConfigError, parse_config
from switchline.net.descriptors import PROCESS_DESCRIPTORS, STATE_DESCRIPTORS, Budget
from switchline.state import endpoint_list, persistence, store
from switchline.state.folder import DATABASE_FILE
from switchline.state.records import PendingRecord, RecordKey
from switchline.state.storage import StateStorage
from testbed.network.addresses import claimed_port
from testbed.network.sockets import Peer
from testbed.stand_ins.agents import host
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, running

ROOT = Path(__file__).parents[2]
DOWN = "/ops/backends/down"
UP = "/ops/backends/up"


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    """For the state of whole processes, which keep to their times: in memory, where there is such a place."""
    memory = Path("/dev/shm")
    with tempfile.TemporaryDirectory(dir=memory if memory.is_dir() else tmp_path) as made:
        yield Path(made) / "s"


class WorldWithState(World):
    """A world whose gateway has a folder."""

    def __init__(self, folder: Path, *backends: Backend, **limits: Any) -> None:
        super().__init__(*backends, **limits)
        self.folder = folder

    def config(self) -> dict[str, Any]:
        given = json.loads(json.dumps(super().config()))
        given["state"] = str(self.folder)
        given["settings"]["packages"][1]["rate"] = 0.01  # nothing comes back while the test runs
        given["settings"]["familyInfo"]["mayCount"] = False  # only what is on disk counts
        return given


async def committed(world: World) -> None:
    """Wait until all that has been told is on disk, if there is one."""
    before = (await stats(world)).get("state.commits", 0)
    if (await stats(world)).get("state.on"):
        while (await stats(world))["state.commits"] < before + 2:
            await asyncio.sleep(0.01)


async def spend(world: World, peer: Peer | None = None) -> int:
    """Spend a customer's bucket, a commit between any two requests; how much it held."""
    peer, number = peer or await world.client(), 0
    while await world.ask(peer, id=os.urandom(8).hex().encode(), plan=b"basic", name=b"wipe") == b"value":
        number += 1
        await committed(world)
    return number


def test_a_planned_end_keeps_what_is_left(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            peer = await world.client()
            assert await world.ask(peer, plan=b"basic", name=b"wipe") == b"value"
            await committed(world)
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            assert await spend(world) == 1  # after a kill it would count as spent

    in_loop(scenario)


def lose_tmp(tmp_path: Path) -> None:
    for path in tmp_path.glob("roadpulley-*"):
        path.unlink()


def test_what_was_spent_stays_spent_and_what_is_out_stays_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert await spend(world) >= 2
            assert (await call(world, "POST", DOWN, b'{"id": "h1"}'))[0] == 200
            assert (await stats(world))["state.on"] == 1
        lose_tmp(tmp_path)
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            figures = await stats(world)
            assert figures["state.restored"] > 3 and figures["state.dropped"] == 0
            assert await spend(world) == 0
            assert figures["ejected"] == 1
            assert (await call(world, "POST", UP, b'{"id": "h1"}'))[0] == 200
        lose_tmp(tmp_path)
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert (await stats(world))["ejected"] == 0

    in_loop(scenario)


def test_without_a_folder_nothing_is_imported_and_a_start_knows_nothing(tmp_path: Path) -> None:
    unwanted = "{'sqlite3', 'switchline.state.store'}"
    code = f"import sys, switchline.service.program; sys.exit(bool({unwanted} & set(sys.modules)))"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=30).returncode == 0

    async def scenario() -> None:
        for _ in range(2):
            async with running(World(Backend())) as world:
                assert await spend(world) >= 2
                assert not any(name.startswith("state.") for name in await stats(world))

    in_loop(scenario)


def test_the_last_list_is_known_if_it_is_newer(tmp_path: Path) -> None:
    async def scenario() -> None:
        first, second = Backend(), Backend()
        world = WorldWithState(tmp_path / "s", first, second)
        async with running(world):
            world.discovery.change(50, host("new", second.port), {**host("h0", 1), "health": "removed"})
            while (await stats(world))["discovered"] != 2:
                await asyncio.sleep(0.01)
            asked = world.discovery.requests
            assert asked[-1].endswith("index=41")
        again = WorldWithState(tmp_path / "s", Backend(), second)
        async with running(again):
            assert again.discovery.requests[0].endswith("index=50")
            assert (await call(again, "POST", DOWN, b'{"id": "new"}'))[0] == 200
            assert (await stats(again))["discovered"] == 2

    in_loop(scenario)


def test_its_descriptors_are_in_the_budget(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            await committed(world)
            links = [os.path.realpath(link) for link in Path("/proc/self/fd").iterdir()]
            assert 0 < sum(link.startswith(str(tmp_path / "s")) for link in links) <= STATE_DESCRIPTORS

    in_loop(scenario)
    assert (
        Budget(256, process_descriptors=PROCESS_DESCRIPTORS + STATE_DESCRIPTORS).total
        == Budget(256).total + STATE_DESCRIPTORS
    )


def test_a_list_that_is_incomplete_on_disk_is_left_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play(*first: str) -> None:
        world = WorldWithState(tmp_path / "s", Backend(), Backend())
        async with running(world):
            assert [asked.rpartition("=")[2] for asked in world.discovery.requests[:1]] == list(first)
            world.discovery.change(50, {**host("h0", 1), "health": "removed"})
            while (await stats(world))["discovered"] != 1:
                await asyncio.sleep(0.01)

    async def scenario() -> None:
        await play("41")
        with sqlite3.connect(tmp_path / "s" / DATABASE_FILE) as database:
            database.execute("DELETE FROM rows WHERE kind='host'")
        database.close()
        await play("41")  # a host is missing, and would not be told again
        await play("50")
        shutil.rmtree(tmp_path / "s")
        monkeypatch.setattr(endpoint_list, "MAX_HOSTS", 1)
        await play("41")
        await play("41")  # of two hosts one was kept

    in_loop(scenario)


@pytest.mark.parametrize("given", [5, ["a"], {"a": 1}, True, "a\0b"])
def test_a_malformed_folder_refuses_the_start_in_one_line(given: object) -> None:
    with pytest.raises(ConfigError) as error:
        parse_config({**World().config(), "state": given})
    assert "state: " in str(error.value) and "\n" not in str(error.value)


def test_the_environment_goes_before_the_file(monkeypatch: pytest.MonkeyPatch) -> None:
    assert parse_config(World().config()).state is None
    assert parse_config({**World().config(), "state": "/a"}).state == Path("/a")
    monkeypatch.setenv("LB_STATE", "/b")
    assert parse_config({**World().config(), "state": "/a"}).state == Path("/b")


def test_a_folder_that_can_t_be_used_refuses_no_start(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / "s").write_text("what")
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            assert await spend(world) >= 2
            figures = await stats(world)
            assert figures["state.on"] == 0 and figures["state.failures"] >= 1
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503  # it could not be kept

    in_loop(scenario)


def test_files_of_others_or_spoilt_refuse_no_start_and_are_set_aside(tmp_path: Path) -> None:
    async def scenario() -> None:
        folder = tmp_path / "s"
        folder.mkdir()
        (folder / DATABASE_FILE).write_bytes(b"what" * 5_000)
        async with running(WorldWithState(folder, Backend())) as world:
            assert await spend(world) >= 2
        assert (folder / "aside-1.db").exists()
        other = WorldWithState(folder, Backend())
        other.name = "n7"
        async with running(other) as world:
            assert await spend(world) >= 2
        assert (folder / "aside-2.db").exists()

    in_loop(scenario)


def test_a_second_gateway_of_a_folder_serves_without_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as first:
            second = WorldWithState(tmp_path / "s", Backend())
            second.name = "n7"
            async with running(second):
                assert (await stats(second))["state.on"] == 0
                assert await spend(second) >= 2
            assert (await stats(first))["state.on"] == 1
            assert not list((tmp_path / "s").glob("aside*"))

    in_loop(scenario)


def test_a_fault_while_running_leaves_service_and_a_new_file_is_begun(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(persistence, "RETRY_INTERVAL_S", 0.2)

    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            was = (await stats(world))["state.commits"]
            shutil.rmtree(tmp_path / "s")
            while not (figures := await stats(world))["state.failures"]:
                await asyncio.sleep(0.01)
            peer = await world.client()
            assert await world.ask(peer, plan=b"basic", name=b"wipe") == b"value"
            while not (figures := await stats(world))["state.on"]:
                await asyncio.sleep(0.01)
            assert figures["state.failures"] == 1
            while (await stats(world))["state.commits"] <= was + 1:
                await asyncio.sleep(0.01)
            assert await spend(world) == 1
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            assert await spend(world) == 0

    in_loop(scenario)


def test_an_operator_s_yes_waits_for_the_commit(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    was = StateStorage.commit
    shut: list[bool] = []

    def commit(self: StateStorage, records: dict[RecordKey, PendingRecord], replace_all: bool) -> None:
        if shut and any(kind.startswith("held") for kind, _ in records):
            raise sqlite3.OperationalError("disk I/O error")
        was(self, records, replace_all)

    monkeypatch.setattr(StateStorage, "commit", commit)

    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            for path in (DOWN, UP):
                assert (await call(world, "POST", path, b'{"id": "h0"}'))[0] == 200
                assert (await call(world, "POST", path, b'{"id": "h0"}'))[0] == 200
            assert (await call(world, "POST", DOWN, b'{"id": "what"}'))[0] == 404
            shut.append(True)
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            figures = await stats(world)
            assert figures["ejected"] == 0 and figures["state.on"] == 0
            # While the folder fails, no word can be kept that a loss of power would not take away.
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            assert (await stats(world))["ejected"] == 0
            shut.clear()
            while not (await stats(world))["state.on"]:
                await asyncio.sleep(0.01)
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 200

    in_loop(scenario)


def test_an_operator_s_call_that_the_disk_keeps_waiting_is_a_no(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(persistence, "OVERRIDE_COMMIT_TIMEOUT_S", 0.1)
    monkeypatch.setattr(store, "COMMIT_TIMEOUT_S", 30.0)
    was, go_on = StateStorage.commit, threading.Event()

    def commit(self: StateStorage, records: dict[RecordKey, PendingRecord], replace_all: bool) -> None:
        if any(kind.startswith("held") for kind, _ in records):
            go_on.wait(15)
        was(self, records, replace_all)

    monkeypatch.setattr(StateStorage, "commit", commit)

    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            assert (await stats(world))["ejected"] == 0
            go_on.set()
        lose_tmp(tmp_path)
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert (await stats(world))["ejected"] == 0  # what was promised to nobody is taken back

    in_loop(scenario)


def test_however_often_it_is_killed_it_gives_a_burst_once(tmp_path: Path, folder: Path) -> None:
    async def scenario() -> None:
        world = WorldWithState(folder, Backend())
        for server in (*world.backends, world.counter, world.discovery):
            await server.start()
        world.operator, port = claimed_port(), claimed_port()
        config = tmp_path / "config.json"
        config.write_text(json.dumps({**world.config(), "listen": f"127.0.0.1:{port}"}))
        held = list[int]()
        for _ in range(4):  # each start comes at once after the last end
            process = await start(config)
            try:
                held.append(await spend(world, await connect(port)))
            finally:
                process.kill()
                await process.wait()
        assert held == [2, 0, 0, 0]
        process = await start(config)
        peer = await connect(port)
        await world.ask(peer, id=b"last", plan=b"basic", name=b"wipe")
        process.send_signal(signal.SIGTERM)  # it may come during a commit
        peer.close()
        assert await process.wait() == 0
        assert (folder / DATABASE_FILE).exists() and not list(folder.glob("aside*"))
        for server in (*world.backends, world.counter, world.discovery):
            await server.stop()

    in_loop(scenario)


def configure_state(made: Site, folder: Path) -> None:
    given = json.loads(made.config.read_text())
    given["state"] = str(folder)
    given["settings"]["packages"][1]["rate"] = 0.01
    given["settings"]["familyInfo"]["mayCount"] = False
    made.config.write_text(json.dumps(given))


async def wait_for(world: World, name: str, value: int) -> None:
    while (await stats(world)).get(name) != value:
        await asyncio.sleep(0.02)


def test_the_files_pass_to_the_new_process_of_an_upgrade(tmp_path: Path, folder: Path) -> None:
    async def scenario() -> None:
        async with site(tmp_path, Backend()) as made:
            configure_state(made, folder)
            old = await made.start()
            peer = await made.client()
            assert await spend(made.world, peer) == 2
            peer.close()
            await made.start()
            await wait_for(made.world, "state.on", 1)
            assert await old.wait() == 0
            new = made.processes[-1]
            new.kill()
            await new.wait()
            lose_tmp(tmp_path)
            await made.start()
            assert (await stats(made.world))["state.restored"] > 0
            late = await made.client()
            assert "BUSY" in str(await made.world.ask(late, plan=b"basic"))
            assert not list(folder.glob("aside*"))

    in_loop(scenario)


@pytest.mark.parametrize("mute", [False, True])
def test_an_old_process_that_dies_half_way_leaves_its_state(tmp_path: Path, folder: Path, mute: bool) -> None:
    async def scenario() -> None:
        async with site(tmp_path, Backend()) as made:
            configure_state(made, folder)
            old = await made.start()
            assert await spend(made.world, await made.client()) == 2
            if mute:
                old.send_signal(signal.SIGSTOP)  # it holds the files, and tells nothing
            starting = asyncio.create_task(made.start())
            await asyncio.sleep(0.4 if mute else 0.2)  # wherever the new one is by then
            old.kill()
            await starting
            late = await made.client()
            assert "BUSY" in str(await made.world.ask(late, plan=b"basic"))
            await wait_for(made.world, "state.on", 1)

    in_loop(scenario)
