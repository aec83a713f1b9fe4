"""A discrete-event queue in virtual time, for emulations that need no asyncio loop."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """Callbacks scheduled at times in seconds. ``now`` is the time of the callback that is running."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0  # callbacks so far; orders those of equal time by when they were scheduled

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` at this time."""
        self._scheduled += 1
        heapq.heappush(self._heap, (when, self._scheduled, callback))

    def run(self, until: float) -> None:
        """Run all callbacks due up to and including ``until``, and advance the time to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
            self.after_event()
        self.now = until

    def after_event(self) -> None:
        """Hook that runs after each callback, for checks of the state; does nothing by default."""
