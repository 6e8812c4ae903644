"""One gateway as a program: reads its configuration, serves until it is told to end, and drains."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import sys
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from switchline.config import Config, ConfigError, load_config
from switchline.discovery.endpoint_list import DiscoveryError
from switchline.net.listen import ListenError
from switchline.service.service import Service

log = logging.getLogger("switchline")

# The file may be half written, or no descriptor be left for it: at SIGHUP, the platform waits 4 s for its
# news to be taken.
CONFIG_TRIES, CONFIG_WAIT_S = 5, 0.2
# A system call that fails for a moment must not end a start: the platform allows 30 s for one.
START_WITHIN_S, START_AGAIN_S = 20.0, 0.1
SIGNAL_LOOK_MS = 100.0  # between two looks at the signals that were noted

early_reloads: list[int] = []  # SIGHUP before the event loop runs
# Event loops that could not run. They can't be closed, and their descriptors must not be closed by the
# collector once other parts of the program have the same numbers.
broken_loops: list[asyncio.AbstractEventLoop] = []


async def serve(
    config: Config,
    stop: asyncio.Event,
    ready: Callable[[int], None] | None = None,
    changes: asyncio.Queue[Config] | None = None,
    signals: Signals | None = None,
) -> None:
    """Serve until `stop` is set, then drain. `ready` is told the port once clients may come."""
    loop = asyncio.get_running_loop()
    service = Service(config, stop)
    if signals is not None:  # beside the looks at what is out by hand, so that it costs no wake-up more
        service.timers.every(SIGNAL_LOOK_MS, "signals", signals.take)
    loop.set_exception_handler(service.guard.on_loop_error)
    await service.load()
    watch = loop.create_task(service.guard.supervise("discovery", service.discovery.run))
    taken = changes or asyncio.Queue[Config]()
    following = loop.create_task(service.follow(taken))
    port = await service.open()
    if ready is not None:
        ready(port)
    await stop.wait()
    try:
        await service.drain()
    finally:
        watch.cancel()
        following.cancel()
        service.close()
        violated = {one.value: number for one, number in service.guard.violations.items()}
        log.info(
            "ended; faults contained %d, violated %s", service.guard.contained.total(), violated or "none"
        )


class Signals:
    """Hears signals, also where the event loop's own way of telling of them fails.

    A handler notes the signal and wakes the event loop up. What is noted is taken then, or when `take` is
    called now and then: a wake-up may be lost as any system call may fail, and a lost SIGTERM would cost all
    that is open.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, actions: dict[int, Callable[[], None]]) -> None:
        self.loop, self.actions = loop, actions
        self.noted: deque[int] = deque()
        for number in actions:
            signal.signal(number, self._note)

    def _note(self, number: int, _: object) -> None:
        self.noted.append(number)
        with contextlib.suppress(OSError, RuntimeError):
            self.loop.call_soon_threadsafe(self.take)

    def take(self) -> None:
        """Act on what has been noted."""
        while self.noted:
            self.actions[self.noted.popleft()]()


async def run(path: str, config: Config) -> None:
    """Serve with a configuration, whose file is read again at each SIGHUP, until SIGTERM or SIGINT."""
    stop, changes = asyncio.Event(), asyncio.Queue[Config]()
    loop = asyncio.get_running_loop()

    def reload(more_tries: int = CONFIG_TRIES - 1) -> None:
        try:
            changes.put_nowait(load_config(path))
        except ConfigError as error:
            if more_tries:
                loop.call_later(CONFIG_WAIT_S, reload, more_tries - 1)
            else:
                log.warning("the changed configuration is not taken: %s", error)  # the old one still holds

    signals = Signals(loop, {signal.SIGHUP: reload, signal.SIGTERM: stop.set, signal.SIGINT: stop.set})
    if early_reloads:
        reload()
    await serve(config, stop, changes=changes, signals=signals)


def read_config(path: str) -> Config:
    """The configuration at a start; raises ConfigError once it can't be had in several tries."""
    for _ in range(CONFIG_TRIES - 1):
        try:
            return load_config(path)
        except ConfigError:
            time.sleep(CONFIG_WAIT_S)
    return load_config(path)


def run_in_loop(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a program in an event loop; one whose descriptors can't be had for a moment is made again."""
    until = time.monotonic() + START_WITHIN_S
    begun = False

    async def begin() -> None:
        nonlocal begun
        begun = True
        await main()

    while True:
        runner = asyncio.Runner(loop_factory=working_loop)
        try:
            runner.get_loop()
            return runner.run(begin())
        except (OSError, RuntimeError) as error:  # the event loop raises the second over the first
            if begun or time.monotonic() > until:
                raise
            log.warning("no event loop yet: %s", error)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                runner.close()
        time.sleep(START_AGAIN_S)


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


def main(path: str) -> int:
    """Serve with the configuration at `path`; gives the exit code.

    SIGHUP before the event loop hears it is kept for then, and after it has ended there is nothing to reload.
    """
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    try:
        config = read_config(path)
        run_in_loop(lambda: run(path, config))
    except (ConfigError, DiscoveryError) as error:
        print(f"switchline: bad configuration: {error}", file=sys.stderr)
        return 2
    except (ListenError, OSError) as error:
        print(f"switchline: this machine does not let it serve: {error}", file=sys.stderr)
        return 1
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return 0
