"""The calls of the operators' address: which paths there are, and how a call becomes a reply. No I/O."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

BODY_USAGE = 'the body is {"id":"ID"}, for the whole fleet {"id":"ID","fleet":true}\n'


class Reply(NamedTuple):
    """The reply to a call: HTTP status, and text that ends with a line feed."""

    status: int
    text: str


class Target(NamedTuple):
    """What a call's body names.

    Attributes:
        name: of a backend, a zone, a gateway or a version floor.
        fleet: the call is for all gateways of the fleet.
    """

    name: str
    fleet: bool


DeferredReply = Coroutine[Any, Any, Reply]  # waits for the disk or for other gateways, within a call's time
Call = Callable[[], Reply]
TargetCall = Callable[[str, bool], Reply | DeferredReply]  # takes the fields of `Target`


class OperatorCalls(NamedTuple):
    """The functions behind the paths.

    Attributes:
        gets: by path; called without a body.
        posts: by path; the body is ignored.
        id_posts: by path; the body names a `Target`.
    """

    gets: dict[str, Call]
    posts: dict[str, Call]
    id_posts: dict[str, TargetCall]

    def answer(self, method: str, path: str, body: bytes) -> Reply | DeferredReply:
        """Carry out a call; 404, 405 or 400 for one that is not offered."""
        if path not in self.gets and path not in self.posts and path not in self.id_posts:
            return Reply(404, "no such path\n")
        allowed = self.allowed_method(path)
        if method != allowed:
            return Reply(405, f"the method is {allowed}\n")
        if path in self.id_posts:
            target = decode_target(body)
            return self.id_posts[path](*target) if target is not None else Reply(400, BODY_USAGE)
        return (self.gets.get(path) or self.posts[path])()

    def allowed_method(self, path: str) -> str:
        """Return the one method of a path."""
        return "GET" if path in self.gets else "POST"


def decode_target(body: bytes) -> Target | None:
    """Return what a body names; None if it is malformed."""
    try:
        given: Any = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(given, dict):
        return None
    name = given.get("id")
    fleet = given.get("fleet", False)
    if not isinstance(name, str) or not name or not isinstance(fleet, bool):
        return None
    return Target(name, fleet)
