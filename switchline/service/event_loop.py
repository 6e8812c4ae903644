"""Runs the program in an event loop, and retries if the system has no descriptors for the loop at first."""

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

# Event loops that could not run are kept referenced. They can't be closed, and the garbage collector must not
# close their descriptors after other parts of the program have been given descriptors of the same numbers.
broken_loops: list[asyncio.AbstractEventLoop] = []


def run_in_loop(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run `main` in an event loop; creating the loop is retried for `START_TIMEOUT_S`.

    Raises:
        OSError, RuntimeError: No event loop could be had in time.
        Exception: Whatever `main` raises.
    """
    retry_until_s = time.monotonic() + START_TIMEOUT_S
    main_begun = False

    async def begin() -> None:
        """Run `main` and note that it has begun: errors from then on are not retried."""
        nonlocal main_begun
        main_begun = True
        await main()

    while True:
        runner = asyncio.Runner(loop_factory=working_loop)
        try:
            runner.get_loop()
            runner.run(begin())
            return
        except (OSError, RuntimeError) as error:  # the event loop may raise RuntimeError over an OSError
            if main_begun or time.monotonic() > retry_until_s:
                raise
            log.warning(log_events.EVENT_LOOP_RETRIED, error)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                runner.close()
        time.sleep(RETRY_INTERVAL_S)


def working_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop that has run once.

    Raises:
        OSError, RuntimeError: The loop could not run.
    """
    loop = uvloop.new_event_loop()
    done = loop.create_future()
    done.set_result(None)
    try:
        loop.run_until_complete(done)
    except (OSError, RuntimeError):
        broken_loops.append(loop)
        signal.set_wakeup_fd(-1)  # the present one may be a descriptor of the broken loop
        raise
    return loop
