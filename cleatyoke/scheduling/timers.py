"""Internal timers of the scheduler: what has to be checked again, and when."""

from __future__ import annotations

import math
from enum import Enum
from heapq import heappop, heappush
from typing import Final

from cleatyoke.scheduling.records import Node, Request


class Poll(Enum):
    """Subject of a timer that is neither a request nor a node."""

    ENDPOINTS = "endpoints"  # request the endpoint list


TimerSubject = Request | Node | Poll
IMMEDIATELY: Final = -math.inf  # due time of a timer that fires in the next step


class TimerQueue:
    """Timers by due time; those due at the same time fire in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerSubject]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, at: float, subject: TimerSubject) -> None:
        """Set a timer; other timers of the same subject stay set."""
        self._count += 1
        heappush(self._heap, (at, self._count, subject))

    def next_at(self) -> float:
        """Return when the earliest timer fires, infinity if there is none; drop timers of closed requests."""
        heap = self._heap
        while heap and isinstance(heap[0][2], Request) and heap[0][2].is_closed:
            heappop(heap)
        return heap[0][0] if heap else math.inf

    def take(self) -> TimerSubject:
        """Remove the earliest timer and return its subject."""
        return heappop(self._heap)[2]
