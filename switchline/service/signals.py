"""Handles signals, also when waking up the event loop for one fails."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections import deque
from collections.abc import Callable


class Signals:
    """Notes each signal in its handler, and runs its action in the event loop.

    The handler wakes the event loop up. The wake-up may be lost, as any system call may fail, and a SIGTERM
    that is not acted on would cost all requests in flight. So `run_pending` has to be called periodically as
    well.

    Args:
        loop: Where the actions run.
        actions: The action of each signal, by signal number.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, actions: dict[int, Callable[[], None]]) -> None:
        self.loop = loop
        self.actions = actions
        self.pending: deque[int] = deque()
        for number in actions:
            signal.signal(number, self._note)

    def _note(self, number: int, _: object) -> None:
        self.pending.append(number)
        with contextlib.suppress(OSError, RuntimeError):
            self.loop.call_soon_threadsafe(self.run_pending)

    def run_pending(self) -> None:
        """Run the actions of the signals noted so far, in the order in which they came."""
        while self.pending:
            self.actions[self.pending.popleft()]()
