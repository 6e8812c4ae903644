"""Starts a gateway whose program is altered to break a rule.

    python -m testbed.launch [ALTERATION ...]

An alteration breaks one rule on purpose, so that the judge can be seen to find it. Other gateways are started
as the deploy file says, without this.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

Patch = Callable[[], None]


def replace(owner: Any, name: str, new: Any) -> Any:
    """Put something in another's place; gives what was there."""
    before = getattr(owner, name)
    setattr(owner, name, new)
    return before


def lose() -> None:
    """It ends every tenth connection in place of an answer."""
    from switchline.requests import lifecycle

    def finish(self: Any, request: str, reply: bytes, ended: Any) -> None:
        self.lost = getattr(self, "lost", 0) + 1
        owner = self.open.get(request)
        if self.lost % 10 == 0 and owner is not None and owner.attempts_made:
            owner.slot.connection.transport.close()
        else:
            before(self, request, reply, ended)

    before = replace(lifecycle.RequestLifecycle, "finish", finish)


def late() -> None:
    """Every tenth answer is never given."""
    from switchline.requests import lifecycle

    def finish(self: Any, request: str, reply: bytes, ended: Any) -> None:
        seen.add(request)
        if len(seen) % 10 == 0:
            kept_back.add(request)
        if request not in kept_back:
            before(self, request, reply, ended)

    seen: set[str] = set()
    kept_back: set[str] = set()

    before = replace(lifecycle.RequestLifecycle, "finish", finish)


def made_up() -> None:
    """It answers with a value of its own."""
    from switchline.requests import attempts

    replace(attempts, "bulk", lambda value: b"$5\r\nhello\r\n")


def twice() -> None:
    """It sends work that must not run twice a second time."""
    from switchline.policy import gateway as rules
    from switchline.policy import interface

    def send(self: Any, now: float, request: Any, backend: Any, out: Any) -> None:
        before(self, now, request, backend, out)
        others = [b for b in self.backends.values() if b is not backend and b.cell != backend.cell]
        if request.attempts == 1 and request.kind.effect is not interface.Effect.SAFE and others:
            before(self, now, request, others[0], out)

    before = replace(rules.Gateway, "send", send)


def denies() -> None:
    """It says of work that may have run that it has not."""
    from switchline.requests import lifecycle

    replace(lifecycle, "FAILED", b"-BUSY 100\r\n")


def deaf() -> None:
    """It does not hear of drains and removals, nor keep to operators' bans."""
    from switchline.backends import endpoint, pool
    from switchline.policy import entities, interface
    from switchline.policy import gateway as rules

    replace(rules.Gateway, "usable", lambda self, b: b.ready)
    replace(endpoint.Endpoint, "takes_new", property(lambda self: True))

    def update(self: Any, entry: Any) -> None:
        before(self, entry)
        self.ready = entry.state is not interface.BackendState.GONE

    before = replace(entities.Backend, "update", update)
    replace(pool.BackendPool, "retire", lambda self, backend: None)


def eager() -> None:
    """It knows of no cold backends, ceilings or quotas."""
    from switchline.policy import entities
    from switchline.policy import gateway as rules

    replace(entities.Backend, "warmth", lambda self, now: 1.0)

    def admit(self: Any, now: float, request: Any, out: Any) -> None:
        customer = request.customer
        customer.tokens = customer.ceiling = customer.store = 1e9
        before(self, now, request, out)

    replace(rules.Gateway, "time_to_answer", lambda self, now: 0.0)
    before = replace(rules.Gateway, "admit", admit)


def falls() -> None:
    """It ends by itself after some requests."""
    from switchline.requests import lifecycle

    def finish(self: Any, request: str, reply: bytes, ended: Any) -> None:
        self.ended = getattr(self, "ended", 0) + 1
        if self.ended > 50:
            sys.exit(7)
        before(self, request, reply, ended)

    before = replace(lifecycle.RequestLifecycle, "finish", finish)


def stays() -> None:
    """It does not hear SIGTERM."""
    import asyncio

    from switchline.service import program

    async def serve(config: Any, stop: Any, **given: Any) -> None:
        await before(config, asyncio.Event(), **given)

    before = replace(program, "serve", serve)


def hangs() -> None:
    """It never gets ready."""
    import asyncio

    from switchline.service import service

    async def open(self: Any) -> None:
        await asyncio.Event().wait()

    replace(service.Service, "open", open)


ALTERATIONS: dict[str, Patch] = {
    "lose": lose,
    "late": late,
    "made-up": made_up,
    "twice": twice,
    "denies": denies,
    "deaf": deaf,
    "eager": eager,
    "falls": falls,
    "stays": stays,
    "hangs": hangs,
}


def main() -> int:
    from switchline import __main__ as program

    for word in sys.argv[1:]:
        ALTERATIONS[word]()
    del sys.argv[1:]
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
