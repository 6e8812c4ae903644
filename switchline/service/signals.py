"""Signals, also where the event loop's own way of hearing of them fails."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections import deque
from collections.abc import Callable


class Signals:
    """Notes each signal in its handler, and acts on it in the event loop.

    The handler wakes the event loop up. That wake-up may be lost, as any system call may fail, and a lost
    SIGTERM would cost all that is open: so `run_pending` is to be called periodically as well.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, actions: dict[int, Callable[[], None]]) -> None:
        """`actions` by the number of their signal."""
        self.loop = loop
        self.actions = actions
        self.noted: deque[int] = deque()
        for number in actions:
            signal.signal(number, self._note)

    def _note(self, number: int, _: object) -> None:
        self.noted.append(number)
        with contextlib.suppress(OSError, RuntimeError):
            self.loop.call_soon_threadsafe(self.run_pending)

    def run_pending(self) -> None:
        """Act on the signals that have been noted."""
        while self.noted:
            self.actions[self.noted.popleft()]()
