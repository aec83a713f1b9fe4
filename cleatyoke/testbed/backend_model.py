"""How a stand-in box works: its power, its queue, and what troubles do to a request. No socket or clock."""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from cleatyoke.testbed.scenario import BackendCapacity


class RequestOutcome(Enum):
    """What becomes of one request at a box."""

    ANSWERED = "answered"
    FULL = "full"  # turned away, unrun, and told so
    UNREAD = "unread"  # the connection is reset and nothing has run
    RESET = "reset"  # it runs, and the connection is reset before the answer
    LOST = "lost"  # it runs, and the answer never comes
    SPOILT = "spoilt"  # it runs, and what comes back is no answer


@dataclass(slots=True)
class Ticket:
    """A request that the box has taken in: from when to when it works on it."""

    outcome: RequestOutcome
    starts_at: float = 0.0
    ends_at: float = 0.0


def chance(seed: int, trace: str) -> float:
    """A number from 0 to 1 that an id draws, the same in every run and whatever else happens."""
    return zlib.crc32(f"{seed}:{trace}".encode()) / 2**32


@dataclass(slots=True)
class BackendModel:
    """One life of a box: it works on one request after the other, slower while it is cold."""

    capacity: BackendCapacity
    started_at: float | None  # when it started, or None: long ago, so it is warm
    seed: int = 0
    free_at: float = 0.0
    _ends: deque[float] = field(default_factory=deque)  # of the requests in work or waiting, in turn
    faults: dict[str, float] = field(default_factory=dict)  # trouble: part of the requests that it meets

    def rate(self, now: float) -> float:
        """Units a second that it can do at this moment."""
        if self.started_at is None or now - self.started_at >= self.capacity.ramp_duration:
            return self.capacity.units_per_second
        age = max(0.0, now - self.started_at) / self.capacity.ramp_duration
        return self.capacity.units_per_second * (
            self.capacity.initial_share + (1 - self.capacity.initial_share) * age
        )

    def accept(self, now: float, trace: str, units: float) -> Ticket:
        """A request whose last byte has come."""
        draw = chance(self.seed, trace)
        if draw < self.faults.get("reset", 0.0) / 2:
            return Ticket(RequestOutcome.UNREAD)
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        if len(self._ends) > self.capacity.max_queue:
            return Ticket(RequestOutcome.FULL)
        begins = max(now, self.free_at)
        speed = self.rate(begins) * self.faults.get("slow", 1.0)
        self.free_at = begins + units / speed
        self._ends.append(self.free_at)
        fate = RequestOutcome.ANSWERED
        for kind, met in (
            ("reset", RequestOutcome.RESET),
            ("lose_answers", RequestOutcome.LOST),
            ("spoil", RequestOutcome.SPOILT),
        ):
            if draw < self.faults.get(kind, 0.0):
                fate = met
        return Ticket(fate, begins, self.free_at)

    def withdraw(self, now: float, ticket: Ticket) -> bool:
        """Its front has gone: whether it was still waiting, and so never runs."""
        if now >= ticket.starts_at:
            return False
        self.free_at -= ticket.ends_at - ticket.starts_at
        self._ends.pop()
        return True

    def utilization(self, now: float) -> float:
        """The part of its power in use, as its load reports tell."""
        return min(1.0, max(0.0, self.free_at - now) * 2)

    def queue_length(self, now: float) -> int:
        return sum(1 for end in self._ends if end > now)
