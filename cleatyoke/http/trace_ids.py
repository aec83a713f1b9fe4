"""Trace ids of open and recently answered requests."""

from __future__ import annotations

from collections import deque

ID_RETENTION = 2.0  # seconds after the response for which an id still counts as in use


class TraceIds:
    """Detects duplicate requests by their ``X-Trace-Id``.

    The protocol gives each request a unique id, so a request with the id of an open or recently answered one
    is a duplicate, which a backend would run again. Times are the caller's, in seconds.
    """

    def __init__(self) -> None:
        self.known: set[str] = set()
        self._expiries: deque[tuple[float, str]] = deque()  # expiry time and id, the earliest first

    def add(self, trace_id: str, now: float) -> bool:
        """Mark an id as in use; return False if it already is."""
        while self._expiries and self._expiries[0][0] <= now:
            self.known.discard(self._expiries.popleft()[1])
        if trace_id in self.known:
            return False
        self.known.add(trace_id)
        return True

    def expire(self, trace_id: str, now: float) -> None:
        """Release the id of a finished request after ``ID_RETENTION`` seconds."""
        self._expiries.append((now + ID_RETENTION, trace_id))
