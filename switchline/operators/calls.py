"""The calls of the operators' address: their paths, and how a call is carried out. Does no I/O."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

BODY_USAGE = 'the body is {"id":"ID"}, for the whole fleet {"id":"ID","fleet":true}\n'


class Reply(NamedTuple):
    """The reply to a call: an HTTP status, and a text that ends with a line feed."""

    status: int
    text: str


class Target(NamedTuple):
    """The subject of a call, as its body names it.

    Attributes:
        name: name of a backend, a zone, a gateway or a version floor.
        fleet: whether the call is for all gateways of the fleet.
    """

    name: str
    fleet: bool


# A reply that waits for the disk or for other gateways, within the time limit of a call.
DeferredReply = Coroutine[Any, Any, Reply]
Call = Callable[[], Reply]
# A call with a body; its arguments are the fields of `Target`.
TargetCall = Callable[[str, bool], Reply | DeferredReply]


class OperatorCalls(NamedTuple):
    """The functions that carry out the calls.

    Attributes:
        gets: functions of GET calls, by path.
        posts: functions of POST calls whose body is ignored, by path.
        id_posts: functions of POST calls whose body names a `Target`, by path.
    """

    gets: dict[str, Call]
    posts: dict[str, Call]
    id_posts: dict[str, TargetCall]

    def answer(self, method: str, path: str, body: bytes) -> Reply | DeferredReply:
        """Carry out a call and return its reply.

        The status is 404 for an unknown path, 405 for another method and 400 for a malformed body.
        """
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
        """Return the only HTTP method that a path allows."""
        return "GET" if path in self.gets else "POST"


def decode_target(body: bytes) -> Target | None:
    """Decode the JSON body of a call; return None if it is malformed."""
    try:
        fields: Any = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    name = fields.get("id")
    fleet = fields.get("fleet", False)
    if not isinstance(name, str) or not name or not isinstance(fleet, bool):
        return None
    return Target(name, fleet)
