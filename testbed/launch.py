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
        owner = self.in_flight.get(request)
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

    replace(attempts, "encode_bulk_string", lambda value: b"$5\r\nhello\r\n")


def twice() -> None:
    """It sends work that must not run twice a second time."""
    from switchline.policy import interface
    from switchline.policy.requests.attempts import AttemptTracker

    def send(self: Any, now: float, request: Any, backend: Any, actions: Any) -> None:
        before(self, now, request, backend, actions)
        known = self._selection.backends.by_id.values()
        others = [other for other in known if other is not backend and other.cell != backend.cell]
        is_safe = request.request_class.effect is interface.Effect.IDEMPOTENT
        if request.attempts_made == 1 and not is_safe and others:
            before(self, now, request, others[0], actions)

    before = replace(AttemptTracker, "send", send)


def denies() -> None:
    """It says of work that may have run that it has not."""
    from switchline.requests import lifecycle

    replace(lifecycle, "FAILED_REPLY", b"-BUSY 100\r\n")


def deaf() -> None:
    """It does not hear of drains and removals, nor keep to operators' bans."""
    from switchline.backends import endpoint, pool
    from switchline.policy import interface
    from switchline.policy.backends.backend import Backend
    from switchline.policy.backends.backend_table import BackendTable

    replace(BackendTable, "is_usable", lambda self, backend: backend.is_ready)
    replace(endpoint.Endpoint, "accepts_attempts", property(lambda self: True))

    def update(self: Any, entry: Any) -> None:
        before(self, entry)
        self.is_ready = entry.state is not interface.BackendState.GONE

    before = replace(Backend, "update", update)
    replace(pool.BackendPool, "retire", lambda self, backend: None)


def eager() -> None:
    """It knows of no cold backends, ceilings or quotas."""
    from switchline.policy.backends.backend import Backend
    from switchline.policy.gateway import Gateway
    from switchline.policy.requests.load import LoadEstimate

    replace(Backend, "warm_ratio", lambda self, now: 1.0)

    def admit(self: Any, now: float, request: Any, actions: Any) -> None:
        customer = request.customer
        customer.tokens = customer.ceiling_tokens = customer.fleet_remaining_units = 1e9
        before(self, now, request, actions)

    replace(LoadEstimate, "expected_answer_ms", lambda self, now: 0.0)
    before = replace(Gateway, "admit", admit)


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
