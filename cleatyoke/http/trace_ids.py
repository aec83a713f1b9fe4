"""The ids of requests that are open, or were answered just now."""

from __future__ import annotations

from collections import deque

REMEMBERED_SECONDS = 2.0  # after its answer, for which an id still counts as in use


class TraceIds:
    """Rejects a request whose ``X-Trace-Id`` is in use.

    Prevents a request from running twice: the protocol gives each request its own id, so a second request
    with the id of an open or just answered one is a duplicate, which a backend would run again. Times are
    the caller's, in seconds.
    """

    def __init__(self) -> None:
        self.known: set[str] = set()
        self._expiries: deque[tuple[float, str]] = deque()  # when to forget which id, the earliest first

    def add(self, trace_id: str, now: float) -> bool:
        """Note an id as in use; False where it is so already."""
        while self._expiries and self._expiries[0][0] <= now:
            self.known.discard(self._expiries.popleft()[1])
        if trace_id in self.known:
            return False
        self.known.add(trace_id)
        return True

    def expire(self, trace_id: str, now: float) -> None:
        """Forget an id, whose request is over, in ``REMEMBERED_SECONDS``."""
        self._expiries.append((now + REMEMBERED_SECONDS, trace_id))
