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

    async def watch(self) -> None:
        while True:
            for line in self.status.read_text().splitlines():
                if line.startswith("RssAnon:"):
                    self.peak_mb = max(self.peak_mb, int(line.split()[1]) / 1024)
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
