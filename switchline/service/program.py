"""One gateway as a program: reads its configuration, serves until SIGTERM, and drains.

At SIGHUP the configuration is read again; SIGTERM and SIGINT end the process. See `service.py` for the steps
of a start, `reload.py` for what a changed configuration changes, and `drain.py` for the end.
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
from switchline.upgrade.start_grant import StartGrant

log = logging.getLogger("switchline")

# Reading is retried: the file may be half written, or the system may have no descriptor for it. The platform
# waits 4 s after SIGHUP for the change to be applied.
CONFIG_ATTEMPTS = 5
CONFIG_RETRY_S = 0.2
SIGNAL_POLL_INTERVAL_MS = 100.0

EXIT_OK = 0
EXIT_MACHINE = 1  # a system call that serving depends on failed
EXIT_CONFIG = 2

early_reloads: list[int] = []  # signal numbers of each SIGHUP that came before the event loop ran


async def serve(
    config: Config,
    stop: asyncio.Event,
    ready: Callable[[int], None] | None = None,
    changes: asyncio.Queue[Config] | None = None,
    signals: Signals | None = None,
    start_grant: StartGrant | None = None,
) -> None:
    """Serve until `stop` is set, then drain.

    Args:
        config: The configuration at the start.
        stop: Ends the service.
        ready: Called with the port once clients are accepted.
        changes: Later configurations, which are applied in turn.
        signals: Noted signals, which are also polled for.
        start_grant: Of memory by an older process; None if the memory of this process is not measured.
    """
    loop = asyncio.get_running_loop()
    service = Service(config, stop, start_grant)
    guard = service.parts.guard
    discovery = service.parts.discovery
    if signals is not None:  # the interval is that of polling overrides, so this causes no further wake-ups
        service.parts.timers.every(SIGNAL_POLL_INTERVAL_MS, "signals", signals.run_pending)
    loop.set_exception_handler(guard.on_loop_error)
    await service.load()
    discovery_task = loop.create_task(guard.supervise("discovery", discovery.run))
    reload_task = loop.create_task(service.reload.follow(changes or asyncio.Queue[Config]()))
    port = await service.open()
    if ready is not None:
        ready(port)
    await stop.wait()
    try:
        await service.drain.run()
    finally:
        discovery_task.cancel()
        reload_task.cancel()
        service.close()
        violated = {invariant.value: count for invariant, count in guard.violations.items()}
        log.info(log_events.ENDED, guard.contained_faults.total(), violated or "none")


async def run(path: str, config: Config, start_grant: StartGrant) -> None:
    """Serve until SIGTERM or SIGINT; at each SIGHUP the file at `path` is read again."""
    stop = asyncio.Event()
    changes = asyncio.Queue[Config]()
    loop = asyncio.get_running_loop()

    def reload(attempts_left: int = CONFIG_ATTEMPTS - 1) -> None:
        """Read the file again; retry later if it can't be read, and give up after `CONFIG_ATTEMPTS`."""
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
    await serve(config, stop, changes=changes, signals=signals, start_grant=start_grant)


def read_config(path: str) -> Config:
    """Return the configuration at a start.

    Raises:
        ConfigError: It could not be read in `CONFIG_ATTEMPTS` attempts.
    """
    for _ in range(CONFIG_ATTEMPTS - 1):
        try:
            return load_config(path)
        except ConfigError:
            time.sleep(CONFIG_RETRY_S)
    return load_config(path)


def main(path: str, start_grant: StartGrant) -> int:
    """Serve with the configuration at `path`; return the exit code.

    A SIGHUP before the event loop runs is noted, and the file is read again once the loop runs. After the
    loop has ended, SIGHUP is ignored, as there is nothing to reload.
    """
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    try:
        config = read_config(path)
        run_in_loop(lambda: run(path, config, start_grant))
    except (ConfigError, DiscoveryError) as error:
        print(f"switchline: bad configuration: {error}", file=sys.stderr)
        return EXIT_CONFIG
    except (ListenError, OSError) as error:
        print(f"switchline: a system call needed to serve failed: {error}", file=sys.stderr)
        return EXIT_MACHINE
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return EXIT_OK
