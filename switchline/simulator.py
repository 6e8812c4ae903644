"""Adapter between the simulator's protocol, JSON lines on standard streams, and the decisions.

The adapter makes no decisions. Each input line is a batch: the time in milliseconds, and the events of each
instance of a gateway. The reply to it is a line with the actions of the instances that have any.
"""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from switchline.policy.gateway import Gateway
from switchline.settings import read_settings
from switchline.simulator_codec import WireError, decode_event, encode_action

CREATE = "create"
EXIT = "exit"
BAD_INPUT_STATUS = 2


class GatewayHost:
    """Owns the gateways of this process, one for each instance that was created and has not exited."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}

    def handle_batch(self, line: str) -> str:
        """Handle the batch in an input line, and return the line of the reply, without a line feed.

        Raises:
            WireError: The line is not a batch as the protocol defines it.
        """
        try:
            message = json.loads(line)
            now_ms = float(message["moment"])
            groups = [
                {"gatewayId": group["gatewayId"], "out": self.handle_group(now_ms, group)}
                for group in message["groups"]
            ]
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise WireError(f"{type(error).__name__}: {error}") from error
        return json.dumps({"groups": [group for group in groups if group["out"]]}, separators=(",", ":"))

    def handle_group(self, now_ms: float, group: dict[str, Any]) -> list[list[Any]]:
        """Handle the events of one instance, and return its encoded actions.

        Raises:
            WireError: An event is unknown, malformed or for an instance that does not exist. ValueError,
                KeyError, TypeError, AttributeError and IndexError likewise.
        """
        instance = int(group["gatewayId"])
        actions: list[list[Any]] = []
        for name, *values in group["arrivals"]:
            if name == CREATE:
                seed, setup = values[:2]
                self.gateways[instance] = Gateway(read_settings(setup), int(seed))
                continue
            if instance not in self.gateways:
                raise WireError(f"event {name!r} for unknown instance {instance}")
            if name == EXIT:
                del self.gateways[instance]
                actions.clear()
                continue
            event = decode_event(name, values)
            if event is not None:
                actions += [encode_action(action) for action in self.gateways[instance].handle(now_ms, event)]
        return actions


def main(lines: TextIO = sys.stdin, replies: TextIO = sys.stdout) -> int:
    """Reply to input lines until the input ends or is bad; return the exit status."""
    host = GatewayHost()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(line)
        except WireError as error:
            print("switchline.simulator: bad input: " + " ".join(str(error).split()), file=sys.stderr)
            return BAD_INPUT_STATUS
        replies.write(reply + "\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
