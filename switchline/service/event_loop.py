"""Running the program in an event loop, on a machine that may fail to give one its descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from switchline import log_events

log = logging.getLogger("switchline")

START_TIMEOUT_S = 20.0  # the platform allows 30 s for a start
RETRY_INTERVAL_S = 0.1

# Event loops that could not run. They can't be closed, and their descriptors must not be closed by the
# garbage collector once other parts of the program have the same numbers.
broken_loops: list[asyncio.AbstractEventLoop] = []


def run_in_loop(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run `main` in an event loop; one whose descriptors can't be had for a moment is made again.

    Raises what `main` raises, and OSError or RuntimeError where there is no event loop in time.
    """
    give_up_at = time.monotonic() + START_TIMEOUT_S
    begun = False

    async def begin() -> None:
        """Run `main`, and note that it has begun: from then on its errors are its own."""
        nonlocal begun
        begun = True
        await main()

    while True:
        runner = asyncio.Runner(loop_factory=working_loop)
        try:
            runner.get_loop()
            runner.run(begin())
            return
        except (OSError, RuntimeError) as error:  # the event loop raises the second over the first
            if begun or time.monotonic() > give_up_at:
                raise
            log.warning(log_events.EVENT_LOOP_RETRIED, error)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                runner.close()
        time.sleep(RETRY_INTERVAL_S)


def working_loop() -> asyncio.AbstractEventLoop:
    """A new event loop that has run once; raises OSError or RuntimeError where it could not."""
    loop = uvloop.new_event_loop()
    done = loop.create_future()
    done.set_result(None)
    try:
        loop.run_until_complete(done)
    except (OSError, RuntimeError):
        broken_loops.append(loop)
        signal.set_wakeup_fd(-1)  # it may be a descriptor of the broken loop
        raise
    return loop
