"""A queue of calls in virtual time, for emulations that need no asyncio loop."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """Calls that are due at times in seconds. ``now`` is the time of the call that is being made."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0  # calls so far; keeps those of equal time in the order of their scheduling

    def schedule(self, when: float, act: Callable[[], None]) -> None:
        """Have ``act`` called at this time."""
        self._scheduled += 1
        heapq.heappush(self._heap, (when, self._scheduled, act))

    def run(self, until: float) -> None:
        """Let time pass up to and including ``until``, with all calls that are due."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self._heap)
            act()
            self.after_event()
        self.now = until

    def after_event(self) -> None:
        """Observe the state after each call; does nothing here."""
