"""A gateway with a folder for its state: the restore after restarts, and its service during faults."""

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
from gateway_process import connect_client, start_gateway
from operator_calls import call, stats
from upgrade_site import UpgradeSite, running_site

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
    """Yield a folder for gateway processes, in memory if possible, as these use the real timeouts."""
    memory = Path("/dev/shm")
    with tempfile.TemporaryDirectory(dir=memory if memory.is_dir() else tmp_path) as directory:
        yield Path(directory) / "s"


class WorldWithState(World):
    """A world whose gateway stores its state in a folder."""

    def __init__(self, folder: Path, *backends: Backend, **limits: Any) -> None:
        super().__init__(*backends, **limits)
        self.folder = folder

    def config(self) -> dict[str, Any]:
        config = json.loads(json.dumps(super().config()))
        config["state"] = str(self.folder)
        config["settings"]["packages"][1]["rate"] = 0.01  # so low that no unit is refilled during the test
        # The counter is not read, only the state on disk.
        config["settings"]["familyInfo"]["mayCount"] = False
        return config


async def wait_for_commits(world: World) -> None:
    """Wait until all records saved so far are committed, if the state is stored on disk."""
    before = (await stats(world)).get("state.commits", 0)
    if (await stats(world)).get("state.on"):
        while (await stats(world))["state.commits"] < before + 2:
            await asyncio.sleep(0.01)


async def spend_burst(world: World, peer: Peer | None = None) -> int:
    """Spend a customer's burst with a commit after each request; return the number of admitted requests."""
    peer, number = peer or await world.client(), 0
    while await world.ask(peer, id=os.urandom(8).hex().encode(), plan=b"basic", name=b"wipe") == b"value":
        number += 1
        await wait_for_commits(world)
    return number


def test_a_planned_end_stores_the_remaining_units(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            peer = await world.client()
            assert await world.ask(peer, plan=b"basic", name=b"wipe") == b"value"
            await wait_for_commits(world)
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            assert await spend_burst(world) == 1  # after a kill the reserved units would count as spent

    in_loop(scenario)


def remove_override_files(tmp_path: Path) -> None:
    for path in tmp_path.glob("roadpulley-*"):
        path.unlink()


def test_spent_units_and_disabled_backends_are_restored_after_a_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert await spend_burst(world) >= 2
            assert (await call(world, "POST", DOWN, b'{"id": "h1"}'))[0] == 200
            assert (await stats(world))["state.on"] == 1
        remove_override_files(tmp_path)
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            metrics = await stats(world)
            assert metrics["state.restored"] > 3 and metrics["state.dropped"] == 0
            assert await spend_burst(world) == 0
            assert metrics["ejected"] == 1
            assert (await call(world, "POST", UP, b'{"id": "h1"}'))[0] == 200
        remove_override_files(tmp_path)
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert (await stats(world))["ejected"] == 0

    in_loop(scenario)


def test_without_a_state_folder_no_module_is_imported_and_nothing_is_restored(tmp_path: Path) -> None:
    unwanted = "{'sqlite3', 'switchline.state.store'}"
    code = f"import sys, switchline.service.program; sys.exit(bool({unwanted} & set(sys.modules)))"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=30).returncode == 0

    async def scenario() -> None:
        for _ in range(2):
            async with running(World(Backend())) as world:
                assert await spend_burst(world) >= 2
                assert not any(name.startswith("state.") for name in await stats(world))

    in_loop(scenario)


def test_the_saved_endpoint_list_is_restored_if_it_is_newer(tmp_path: Path) -> None:
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


def test_the_descriptors_of_the_state_are_in_the_budget(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            await wait_for_commits(world)
            links = [os.path.realpath(link) for link in Path("/proc/self/fd").iterdir()]
            assert 0 < sum(link.startswith(str(tmp_path / "s")) for link in links) <= STATE_DESCRIPTORS

    in_loop(scenario)
    assert (
        Budget(256, process_descriptors=PROCESS_DESCRIPTORS + STATE_DESCRIPTORS).total_in_use
        == Budget(256).total_in_use + STATE_DESCRIPTORS
    )


def test_an_incomplete_saved_list_is_not_restored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def run_and_remove_a_host(*first: str) -> None:
        world = WorldWithState(tmp_path / "s", Backend(), Backend())
        async with running(world):
            assert [asked.rpartition("=")[2] for asked in world.discovery.requests[:1]] == list(first)
            world.discovery.change(50, {**host("h0", 1), "health": "removed"})
            while (await stats(world))["discovered"] != 1:
                await asyncio.sleep(0.01)

    async def scenario() -> None:
        await run_and_remove_a_host("41")
        with sqlite3.connect(tmp_path / "s" / DATABASE_FILE) as database:
            database.execute("DELETE FROM rows WHERE kind='host'")
        database.close()
        # A host record is missing, and discovery would not send that host again.
        await run_and_remove_a_host("41")
        await run_and_remove_a_host("50")
        shutil.rmtree(tmp_path / "s")
        monkeypatch.setattr(endpoint_list, "MAX_HOSTS", 1)
        await run_and_remove_a_host("41")
        await run_and_remove_a_host("41")  # only one of two hosts is saved

    in_loop(scenario)


@pytest.mark.parametrize("setting", [5, ["a"], {"a": 1}, True, "a\0b"])
def test_a_malformed_state_setting_fails_the_start_with_a_one_line_error(setting: object) -> None:
    with pytest.raises(ConfigError) as error:
        parse_config({**World().config(), "state": setting})
    assert "state: " in str(error.value) and "\n" not in str(error.value)


def test_the_environment_variable_overrides_the_state_setting(monkeypatch: pytest.MonkeyPatch) -> None:
    assert parse_config(World().config()).state_folder is None
    assert parse_config({**World().config(), "state": "/a"}).state_folder == Path("/a")
    monkeypatch.setenv("LB_STATE", "/b")
    assert parse_config({**World().config(), "state": "/a"}).state_folder == Path("/b")


def test_a_gateway_starts_without_state_if_its_folder_is_unusable(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / "s").write_text("what")
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            assert await spend_burst(world) >= 2
            metrics = await stats(world)
            assert metrics["state.on"] == 0 and metrics["state.failures"] >= 1
            # The override can't be stored.
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503

    in_loop(scenario)


def test_damaged_files_and_files_of_other_gateways_are_set_aside_at_the_start(tmp_path: Path) -> None:
    async def scenario() -> None:
        folder = tmp_path / "s"
        folder.mkdir()
        (folder / DATABASE_FILE).write_bytes(b"what" * 5_000)
        async with running(WorldWithState(folder, Backend())) as world:
            assert await spend_burst(world) >= 2
        assert (folder / "aside-1.db").exists()
        other = WorldWithState(folder, Backend())
        other.name = "n7"
        async with running(other) as world:
            assert await spend_burst(world) >= 2
        assert (folder / "aside-2.db").exists()

    in_loop(scenario)


def test_a_second_gateway_of_a_folder_serves_without_state(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as first:
            second = WorldWithState(tmp_path / "s", Backend())
            second.name = "n7"
            async with running(second):
                assert (await stats(second))["state.on"] == 0
                assert await spend_burst(second) >= 2
            assert (await stats(first))["state.on"] == 1
            assert not list((tmp_path / "s").glob("aside*"))

    in_loop(scenario)


def test_after_a_fault_the_gateway_serves_and_creates_a_new_database(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(persistence, "RETRY_INTERVAL_S", 0.2)

    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            commits_before = (await stats(world))["state.commits"]
            shutil.rmtree(tmp_path / "s")
            while not (metrics := await stats(world))["state.failures"]:
                await asyncio.sleep(0.01)
            peer = await world.client()
            assert await world.ask(peer, plan=b"basic", name=b"wipe") == b"value"
            while not (metrics := await stats(world))["state.on"]:
                await asyncio.sleep(0.01)
            assert metrics["state.failures"] == 1
            while (await stats(world))["state.commits"] <= commits_before + 1:
                await asyncio.sleep(0.01)
            assert await spend_burst(world) == 1
        async with running(WorldWithState(tmp_path / "s", Backend())) as world:
            assert await spend_burst(world) == 0

    in_loop(scenario)


def test_an_operator_s_call_succeeds_only_after_its_commit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = StateStorage.commit
    failing_commits: list[bool] = []

    def commit(self: StateStorage, records: dict[RecordKey, PendingRecord], replace_all: bool) -> None:
        if failing_commits and any(kind.startswith("held") for kind, _ in records):
            raise sqlite3.OperationalError("disk I/O error")
        original(self, records, replace_all)

    monkeypatch.setattr(StateStorage, "commit", commit)

    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            for path in (DOWN, UP):
                assert (await call(world, "POST", path, b'{"id": "h0"}'))[0] == 200
                assert (await call(world, "POST", path, b'{"id": "h0"}'))[0] == 200
            assert (await call(world, "POST", DOWN, b'{"id": "what"}'))[0] == 404
            failing_commits.append(True)
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            metrics = await stats(world)
            assert metrics["ejected"] == 0 and metrics["state.on"] == 0
            # While the folder fails, an override can't be stored, and a power loss would undo it.
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            assert (await stats(world))["ejected"] == 0
            failing_commits.clear()
            while not (await stats(world))["state.on"]:
                await asyncio.sleep(0.01)
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 200

    in_loop(scenario)


def test_an_operator_s_call_is_refused_if_its_commit_is_too_slow(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(persistence, "OVERRIDE_COMMIT_TIMEOUT_S", 0.1)
    monkeypatch.setattr(store, "COMMIT_TIMEOUT_S", 30.0)
    original, release_commit = StateStorage.commit, threading.Event()

    def commit(self: StateStorage, records: dict[RecordKey, PendingRecord], replace_all: bool) -> None:
        if any(kind.startswith("held") for kind, _ in records):
            release_commit.wait(15)
        original(self, records, replace_all)

    monkeypatch.setattr(StateStorage, "commit", commit)

    async def scenario() -> None:
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert (await call(world, "POST", DOWN, b'{"id": "h0"}'))[0] == 503
            assert (await stats(world))["ejected"] == 0
            release_commit.set()
        remove_override_files(tmp_path)
        async with running(WorldWithState(tmp_path / "s", Backend(), Backend())) as world:
            assert (await stats(world))["ejected"] == 0  # the refused override is reverted on disk

    in_loop(scenario)


def test_repeated_kills_do_not_grant_a_burst_twice(tmp_path: Path, folder: Path) -> None:
    async def scenario() -> None:
        world = WorldWithState(folder, Backend())
        for server in (*world.backends, world.counter, world.discovery):
            await server.start()
        world.operator, port = claimed_port(), claimed_port()
        config = tmp_path / "config.json"
        config.write_text(json.dumps({**world.config(), "listen": f"127.0.0.1:{port}"}))
        burst_sizes = list[int]()
        for _ in range(4):  # each process starts immediately after the previous one ends
            process = await start_gateway(config)
            try:
                burst_sizes.append(await spend_burst(world, await connect_client(port)))
            finally:
                process.kill()
                await process.wait()
        assert burst_sizes == [2, 0, 0, 0]
        process = await start_gateway(config)
        peer = await connect_client(port)
        await world.ask(peer, id=b"last", plan=b"basic", name=b"wipe")
        process.send_signal(signal.SIGTERM)  # it may come during a commit
        peer.close()
        assert await process.wait() == 0
        assert (folder / DATABASE_FILE).exists() and not list(folder.glob("aside*"))
        for server in (*world.backends, world.counter, world.discovery):
            await server.stop()

    in_loop(scenario)


def configure_state(site: UpgradeSite, folder: Path) -> None:
    config = json.loads(site.config.read_text())
    config["state"] = str(folder)
    config["settings"]["packages"][1]["rate"] = 0.01
    config["settings"]["familyInfo"]["mayCount"] = False
    site.config.write_text(json.dumps(config))


async def wait_for_metric(world: World, name: str, value: int) -> None:
    while (await stats(world)).get(name) != value:
        await asyncio.sleep(0.02)


def test_the_new_process_of_an_upgrade_takes_over_the_folder(tmp_path: Path, folder: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, Backend()) as site:
            configure_state(site, folder)
            old = await site.start()
            peer = await site.client()
            assert await spend_burst(site.world, peer) == 2
            peer.close()
            await site.start()
            await wait_for_metric(site.world, "state.on", 1)
            assert await old.wait() == 0
            new = site.processes[-1]
            new.kill()
            await new.wait()
            remove_override_files(tmp_path)
            await site.start()
            assert (await stats(site.world))["state.restored"] > 0
            late_client = await site.client()
            assert "BUSY" in str(await site.world.ask(late_client, plan=b"basic"))
            assert not list(folder.glob("aside*"))

    in_loop(scenario)


@pytest.mark.parametrize("is_stopped", [False, True])
def test_state_is_restored_if_the_old_process_dies_during_the_hand_over(
    tmp_path: Path, folder: Path, is_stopped: bool
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, Backend()) as site:
            configure_state(site, folder)
            old = await site.start()
            assert await spend_burst(site.world, await site.client()) == 2
            if is_stopped:
                old.send_signal(signal.SIGSTOP)  # it has the folder locked, and sends nothing
            start_task = asyncio.create_task(site.start())
            # The new process is at some step of its start after this time.
            await asyncio.sleep(0.4 if is_stopped else 0.2)
            old.kill()
            await start_task
            late_client = await site.client()
            assert "BUSY" in str(await site.world.ask(late_client, plan=b"basic"))
            await wait_for_metric(site.world, "state.on", 1)

    in_loop(scenario)
