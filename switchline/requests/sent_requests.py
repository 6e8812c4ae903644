"""The requests that were sent to a backend lately and must not be sent again if their id comes again.

A client sends a request one more time if its connection ends before the answer. The gateway, or the peer
process of an upgrade, may have sent it by then, so that it would run twice.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from switchline.clock import now_ms

MAX_REMEMBERED = 8_192


class SentRequests:
    """Remembers the ids of requests that may have run.

    Args:
        remembered_ms: How long; a client does not send a request again after its deadline.

    Attributes:
        on_added: Called with each id that is added here, for the peer process of an upgrade.
    """

    def __init__(self, remembered_ms: float) -> None:
        self.remembered_ms = remembered_ms
        self.on_added: Callable[[str], None] | None = None
        self._sent_at_ms: dict[str, float] = {}  # by id, the oldest first

    def add(self, request_id: str) -> None:
        """Remember a request that was sent by this process."""
        self.add_of_peer(request_id)
        if self.on_added is not None:
            self.on_added(request_id)

    def add_of_peer(self, request_id: str) -> None:
        """Remember a request that was sent by the peer process of an upgrade."""
        now = now_ms()
        self._sent_at_ms.pop(request_id, None)
        self._sent_at_ms[request_id] = now
        self._remove_old(now)

    def discard(self, request_id: str) -> None:
        """Forget a request that has certainly not run."""
        self._sent_at_ms.pop(request_id, None)

    def __contains__(self, request_id: str) -> bool:
        sent_at_ms = self._sent_at_ms.get(request_id)
        return sent_at_ms is not None and now_ms() - sent_at_ms <= self.remembered_ms

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._sent_at_ms))

    def _remove_old(self, now: float) -> None:
        while self._sent_at_ms:
            oldest = next(iter(self._sent_at_ms))
            is_recent = now - self._sent_at_ms[oldest] <= self.remembered_ms
            if is_recent and len(self._sent_at_ms) <= MAX_REMEMBERED:
                return
            del self._sent_at_ms[oldest]
