"""The anonymous memory of a gateway process, which its platform compares with the memory limit."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path


class PeakMemory:
    """The most anonymous memory of a process."""

    def __init__(self, pid: int) -> None:
        self.status = Path(f"/proc/{pid}/status")
        self.peak_mb = 0.0

    def current_mb(self) -> float:
        """Return the anonymous memory of the process now."""
        lines = self.status.read_text().splitlines()
        return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("RssAnon:")), 0.0)

    async def watch(self) -> None:
        while True:
            self.peak_mb = max(self.peak_mb, self.current_mb())
            await asyncio.sleep(0.02)


@asynccontextmanager
async def watched_memory(pid: int) -> AsyncIterator[PeakMemory]:
    """Watch the memory of a process."""
    memory = PeakMemory(pid)
    watching = asyncio.create_task(memory.watch())
    try:
        yield memory
    finally:
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
