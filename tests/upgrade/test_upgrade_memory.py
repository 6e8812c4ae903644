"""Both processes of an upgrade together stay under the one memory limit of their gateway.

The processes are real ones, started as the platform starts them; their anonymous memory is watched.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from testbed.stand_ins.single_gateway import in_loop
from testbed.upgrade_memory import (
    ROOT,
    Limits,
    Load,
    Outcome,
    Platform,
    clients,
    compile_modules,
    kill,
    platform,
)

SMALL = Limits(memory_mb=32, sockets=256)
MEDIUM = Limits(memory_mb=64, sockets=512)
BEFORE_S = 2.5  # in which the first group of clients fills the old process
BEFORE_LATER_CLIENTS_S = 0.5
AFTER_S = 5.0  # in which the second group reads as well
READY_WITHIN_S = 6.0  # that the platform allows a new process
OVERLAP_S = 0.3

SLOW_READERS = Load(clients=42, later_clients=42)
LONG_VALUES = Load(clients=20, later_clients=20, commands=2, value_bytes=200_000, bytes_per_s=200_000)
BODIES = Load(clients=42, later_clients=42, commands=4, body_bytes=60_000, bytes_per_s=80_000)

SHORT_VALUES = Load(commands=32, value_bytes=1000)

Upgrade = Callable[[Platform, asyncio.subprocess.Process], Awaitable[None]]


@pytest.fixture(scope="session")
def modules(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The folder of the compiled modules, as the platform's build makes it."""
    folder = tmp_path_factory.mktemp("modules")
    compile_modules(ROOT, folder)
    return folder


async def upgrade(stage: Platform, old: asyncio.subprocess.Process) -> None:
    await stage.start()
    await stage.end(old)


async def upgrade_whose_old_process_is_killed(stage: Platform, old: asyncio.subprocess.Process) -> None:
    await stage.start()
    kill(old)


async def upgrade_whose_old_process_is_halted(stage: Platform, old: asyncio.subprocess.Process) -> None:
    await stage.start()
    old.send_signal(signal.SIGSTOP)


async def upgrade_after_one_that_was_killed(stage: Platform, old: asyncio.subprocess.Process) -> None:
    first = await stage.spawn()
    await asyncio.sleep(OVERLAP_S)
    kill(first)
    await first.wait()
    await upgrade(stage, old)


async def upgrade_after_one_that_was_killed_in_service(
    stage: Platform, old: asyncio.subprocess.Process
) -> None:
    first = await stage.start()
    await asyncio.sleep(OVERLAP_S)
    kill(first)
    await first.wait()
    await asyncio.sleep(OVERLAP_S)
    await upgrade(stage, old)


async def play(folder: Path, modules: Path, limits: Limits, load: Load, upgrade: Upgrade) -> Outcome:
    """Let clients read during an upgrade, and return what was seen."""
    async with platform(folder, modules, load, limits) as stage:
        old = await stage.start()
        async with clients(stage, load, 0, load.clients):
            await asyncio.sleep(BEFORE_S)
            upgrading = asyncio.create_task(upgrade(stage, old))
            await asyncio.sleep(BEFORE_LATER_CLIENTS_S)
            async with clients(stage, load, load.clients, load.later_clients):
                await asyncio.sleep(AFTER_S)
            await upgrading
        return stage.outcome


# Guards against: each process of an upgrade takes the whole limit, and both are killed (review case 7).
@pytest.mark.parametrize(
    ("upgrade", "load", "limits"),
    [
        (upgrade, SLOW_READERS, SMALL),
        (upgrade, LONG_VALUES, SMALL),
        (upgrade, BODIES, SMALL),
        (upgrade, SHORT_VALUES, SMALL),
        (upgrade, Load(clients=85, later_clients=85), MEDIUM),
        (upgrade_whose_old_process_is_killed, SLOW_READERS, SMALL),
        (upgrade_whose_old_process_is_halted, SLOW_READERS, SMALL),
        (upgrade_after_one_that_was_killed, SLOW_READERS, SMALL),
        (upgrade_after_one_that_was_killed_in_service, SLOW_READERS, SMALL),
    ],
    ids=[
        "slow-32",
        "long-values-32",
        "bodies-32",
        "short-values-32",
        "slow-64",
        "old-killed",
        "old-halted",
        "new-killed-starting",
        "new-killed-serving",
    ],
)
def test_both_processes_of_an_upgrade_stay_under_one_memory_limit(
    upgrade: Upgrade, load: Load, limits: Limits, modules: Path, tmp_path: Path
) -> None:
    async def scenario() -> None:
        outcome = await play(tmp_path, modules, limits, load, upgrade)
        assert outcome.peak_mb < limits.memory_mb, outcome.peak_by_process_mb
        assert outcome.served > load.clients
        assert not outcome.wrong
        assert max(outcome.ready_after_s) < READY_WITHIN_S

    in_loop(scenario)
