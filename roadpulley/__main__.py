"""Runs one gateway: `python -m roadpulley`, told by LB_CONFIG what to do."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable

import uvloop

from . import logs
from .config import Config, ConfigError, load_config
from .discovery import DiscoveryError
from .service import Service

log = logging.getLogger("roadpulley")

RELOAD_TRIES, RELOAD_WAIT_S = 4, 0.2  # after SIGHUP, the platform waits 4 s for its news to be taken


async def serve(
    config: Config,
    stop: asyncio.Event,
    ready: Callable[[int], None] | None = None,
    changes: asyncio.Queue[Config] | None = None,
) -> None:
    """Serve until `stop` is set, then drain. `ready` is told the port once clients may come."""
    loop = asyncio.get_running_loop()
    service = Service(config, stop)
    await service.load()
    watch = loop.create_task(service.discovery.run())
    following = loop.create_task(service.follow(changes or asyncio.Queue()))
    port = await service.open()
    if ready is not None:
        ready(port)
    stopped = loop.create_task(stop.wait())
    await asyncio.wait({stopped, watch}, return_when=asyncio.FIRST_COMPLETED)
    if watch.done():
        stopped.cancel()
        watch.result()  # it never ends but by a fault: better a crash that is seen than a list that is stale
    await service.drain()
    watch.cancel()
    following.cancel()
    service.close()


async def run(path: str) -> None:
    config = load_config(path)
    stop, changes = asyncio.Event(), asyncio.Queue[Config]()

    loop = asyncio.get_running_loop()

    def reload(more_tries: int = RELOAD_TRIES) -> None:
        """Read the file again; not only once, as it may be half written or no descriptor be left for it."""
        try:
            changes.put_nowait(load_config(path))
        except ConfigError as error:
            if more_tries:
                loop.call_later(RELOAD_WAIT_S, reload, more_tries - 1)
            else:
                log.warning("the changed configuration is not taken: %s", error)  # the old one still holds

    loop.add_signal_handler(signal.SIGHUP, reload)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await serve(config, stop, changes=changes)


def main() -> int:
    logs.start()
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("roadpulley: LB_CONFIG is not set", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(path))
    except (ConfigError, DiscoveryError) as error:
        print(f"roadpulley: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
