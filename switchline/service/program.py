"""One gateway as a program: reads its configuration, serves until SIGTERM, and drains.

SIGHUP reads the file again; SIGTERM and SIGINT end the process. `service.py` has the steps of a start,
`reload.py` what a changed configuration changes, and `drain.py` the end.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
import time
from collections.abc import Callable

from switchline import log_events
from switchline.config import Config, ConfigError, load_config
from switchline.discovery.endpoint_list import DiscoveryError
from switchline.net.listen import ListenError
from switchline.service.event_loop import run_in_loop
from switchline.service.service import Service
from switchline.service.signals import Signals

log = logging.getLogger("switchline")

# The file may be half written, or no descriptor be left for it: at SIGHUP, the platform waits 4 s for the
# change to be applied.
CONFIG_ATTEMPTS = 5
CONFIG_RETRY_S = 0.2
SIGNAL_POLL_INTERVAL_MS = 100.0

EXIT_OK = 0
EXIT_MACHINE = 1  # the machine does not let it serve
EXIT_CONFIG = 2

early_reloads: list[int] = []  # SIGHUP before the event loop runs


async def serve(
    config: Config,
    stop: asyncio.Event,
    ready: Callable[[int], None] | None = None,
    changes: asyncio.Queue[Config] | None = None,
    signals: Signals | None = None,
) -> None:
    """Serve until `stop` is set, then drain. `ready` is called with the port once clients may come."""
    loop = asyncio.get_running_loop()
    service = Service(config, stop)
    guard = service.parts.guard
    discovery = service.parts.discovery
    if signals is not None:  # in step with the looks at overrides, so that it costs no further wake-up
        service.parts.timers.every(SIGNAL_POLL_INTERVAL_MS, "signals", signals.run_pending)
    loop.set_exception_handler(guard.on_loop_error)
    await service.load()
    watching = loop.create_task(guard.supervise("discovery", discovery.run))
    reloading = loop.create_task(service.reload.follow(changes or asyncio.Queue[Config]()))
    port = await service.open()
    if ready is not None:
        ready(port)
    await stop.wait()
    try:
        await service.drain.run()
    finally:
        watching.cancel()
        reloading.cancel()
        service.close()
        violated = {one.value: number for one, number in guard.violations.items()}
        log.info(log_events.ENDED, guard.contained.total(), violated or "none")


async def run(path: str, config: Config) -> None:
    """Serve with a configuration, whose file is read again at each SIGHUP, until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    changes = asyncio.Queue[Config]()
    loop = asyncio.get_running_loop()

    def reload(attempts_left: int = CONFIG_ATTEMPTS - 1) -> None:
        """Read the file again; where it can't be read, later, and in the end not at all."""
        try:
            changes.put_nowait(load_config(path))
        except ConfigError as error:
            if attempts_left:
                loop.call_later(CONFIG_RETRY_S, reload, attempts_left - 1)
            else:
                log.warning(log_events.CONFIG_REJECTED, error)

    signals = Signals(loop, {signal.SIGHUP: reload, signal.SIGTERM: stop.set, signal.SIGINT: stop.set})
    if early_reloads:
        reload()
    await serve(config, stop, changes=changes, signals=signals)


def read_config(path: str) -> Config:
    """The configuration at a start; raises ConfigError once it can't be had in several attempts."""
    for _ in range(CONFIG_ATTEMPTS - 1):
        try:
            return load_config(path)
        except ConfigError:
            time.sleep(CONFIG_RETRY_S)
    return load_config(path)


def main(path: str) -> int:
    """Serve with the configuration at `path`; returns the exit code.

    SIGHUP before the event loop runs is remembered for then, and after its end there is nothing to reload.
    """
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    try:
        config = read_config(path)
        run_in_loop(lambda: run(path, config))
    except (ConfigError, DiscoveryError) as error:
        print(f"switchline: bad configuration: {error}", file=sys.stderr)
        return EXIT_CONFIG
    except (ListenError, OSError) as error:
        print(f"switchline: this machine does not let it serve: {error}", file=sys.stderr)
        return EXIT_MACHINE
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return EXIT_OK
